"""One run of the soak: a history played against the program as operators start it, and judged.

Bounds come from what is promised to callers and operators: the rules of `audit.py`, readiness within 10 s, an
end with status 0 within the longest deadline and 0.7 s of SIGTERM, the configured limits, no crash, no
traceback, and no request left once all troubles are over.
"""

from __future__ import annotations

import json
import re
import sys
import threading
import time
from concurrent.futures import ThreadPoolExecutor, wait
from enum import Enum
from pathlib import Path
from typing import Any

import msgspec

from linetrack.config.operators import Idempotency
from linetrack.emulator.emulator import Emulator
from linetrack.emulator.ledger import now
from linetrack.emulator.timeline import upstream_specs
from linetrack.experiments.audit import FACTS_FILE, RunFacts, audit
from linetrack.experiments.run import ROOT, START_DELAY_US
from linetrack.experiments.sidecar_config import sidecar_config
from linetrack.experiments.sidecar_process import RunError, free_port
from linetrack.experiments.soak.clients import RudeClients
from linetrack.experiments.soak.history import History
from linetrack.experiments.soak.processes import SoakSidecar
from linetrack.experiments.soak.troubles import carry_out
from linetrack.load.workers import WorkerGroup

RESULT_FILE = "soak.json"
SAMPLE_SECONDS = 0.25  # between two looks at descriptors, memory and crashes
SETTLE_SECONDS = 1.0  # after the last response, until nothing may be left
STEP_TIMEOUT_SECONDS = 40.0  # for the troubles that are still under way at the end
#: What a log must not hold.
FORBIDDEN_LOG = re.compile(r"greenlet_crashed|internal_error|client_connection_failed|Traceback")
MAX_EXAMPLES = 5  # log lines that are shown of one file


class SoakVerdict(Enum):
    """What became of one seed."""

    HELD = "held"
    BROKEN = "broken"
    INVALID = "invalid"  # the machine was late, so that nothing is claimed


class SoakResult(msgspec.Struct, frozen=True):
    """One seed: what was found, and what it is called by."""

    seed: int
    verdict: SoakVerdict
    findings: list[str]
    requests: int
    attempts: int
    excused: int  # lost with a process that was killed
    late_share: float  # of sends that the machine let leave late
    troubles: list[str]
    without: list[int] = []


class SoakRun:
    """Plays one history in a folder of its own."""

    def __init__(self, history: History, folder: Path, build: Path = ROOT) -> None:
        """`build` is the folder of the program that is played."""
        self.history = history
        self.folder = folder
        self.build = build
        self.sidecars: list[SoakSidecar] = []
        self._findings: list[str] = []
        self._crash_count = 0
        self._ending = threading.Event()

    def play(self) -> SoakResult:
        """Run it and judge it; ends every process that it started.

        Raises:
            RunError, ChildFailedError: something that the run needs did not come up.
        """
        self.folder.mkdir(parents=True, exist_ok=True)
        for old in [*self.folder.glob("*.jsonl"), *self.folder.glob("*.log")]:
            old.unlink()
        counts = self._play()
        findings = audit(self.folder)
        self._findings += [
            f"{rule.value}: {example}" for rule, examples in findings.examples.items() for example in examples
        ]
        self._findings += _forbidden_log_lines(self.folder)
        for sidecar in self.sidecars:
            self._findings += sidecar.findings
        late_share = counts["late"] / max(1, counts["sent"])
        verdict = SoakVerdict.BROKEN if self._findings else SoakVerdict.HELD
        if late_share > self.history.experiment.load.max_late_share:
            verdict = SoakVerdict.INVALID
        result = SoakResult(
            seed=self.history.seed,
            verdict=verdict,
            findings=self._findings,
            requests=findings.requests,
            attempts=findings.attempts,
            excused=findings.excused,
            late_share=round(late_share, 4),
            troubles=self.history.trouble_names(),
        )
        (self.folder / RESULT_FILE).write_bytes(msgspec.json.encode(result))
        return result

    def _play(self) -> dict[str, int]:
        experiment = self.history.experiment
        seed = self.history.seed
        length = round(experiment.length_s * 1e6)
        start = 0
        emulator = Emulator(
            experiment.fleet,
            experiment.classes,
            experiment.faults,
            seed,
            len(experiment.sidecars.zones),
            self.folder,
        )
        try:
            with emulator:
                self._start_sidecars(emulator)
                addresses = tuple(sidecar.address for sidecar in self.sidecars)
                workers = WorkerGroup(
                    experiment.load, experiment.classes, length, seed, addresses, self.folder, self.folder
                )
                with workers:
                    rude = RudeClients(self.folder, self._idempotent_class(), addresses, seed)
                    start = now() + START_DELAY_US
                    emulator.start(start)
                    workers.start(start)
                    rude.start()
                    watching = threading.Thread(target=self._watch, daemon=True)
                    watching.start()
                    self._play_troubles(start)
                    counts = workers.wait_for_counts()
                    rude.stop()
                    time.sleep(SETTLE_SECONDS)
                    self._check_nothing_left()
                    self._ending.set()
                    watching.join()
                if not emulator.is_running():
                    raise RunError("a process of the emulator ended early")
        finally:
            self._ending.set()
            self._write_facts(start)
            for sidecar in self.sidecars:
                sidecar.end()
        return dict(counts)

    def _idempotent_class(self) -> Any:
        classes = self.history.experiment.classes
        return next(one for one in classes if one.idempotency is Idempotency.IDEMPOTENT)

    def _start_sidecars(self, emulator: Emulator) -> None:
        experiment = self.history.experiment
        python = self.build / ".venv" / "bin" / "python"
        command = [str(python) if python.exists() else sys.executable, "-m", "linetrack"]
        longest = max(one.timeout_ms for one in experiment.classes) / 1000
        for index in range(len(experiment.sidecars.zones)):
            config = sidecar_config(experiment, index, emulator, f"127.0.0.1:{free_port()}")
            if not self.history.has_overload_rule:
                config["settings"]["rules"] |= {"fallMultiple": 0, "overloadForUs": 0}
            self.sidecars.append(SoakSidecar(index, self.folder, command, self.build, config, longest))
        for sidecar in self.sidecars:
            sidecar.start()
        for sidecar in self.sidecars:
            if not sidecar.wait_until_ready(sidecar.current):
                raise RunError(f"sidecar {sidecar.index} did not start: see its log")

    def _play_troubles(self, start: int) -> None:
        """Carry out the troubles of sidecars at their times; those of one sidecar wait for one another."""
        steps = self.history.steps
        if not steps:
            return
        with ThreadPoolExecutor(len(steps)) as pool:
            futures = []
            for step in steps:
                time.sleep(max(0.0, (start - now()) / 1e6 + step.at_s))
                futures.append(pool.submit(carry_out, self.sidecars[step.sidecar], step))
            done, late = wait(futures, STEP_TIMEOUT_SECONDS)
        self._findings += [
            f"a trouble failed: {future.exception()!r}" for future in done if future.exception()
        ]
        self._findings += ["a trouble did not end" for _ in late]

    # --- While it runs ---------------------------------------------------------------------------------
    def _watch(self) -> None:
        """Hold the limits, and start again what ended by itself."""
        while not self._ending.wait(SAMPLE_SECONDS):
            for sidecar in self.sidecars:
                self._check_limits(sidecar)
                for process in sidecar.crashed():
                    self._crash_count += 1
                    status = process.process.returncode
                    self._findings.append(
                        f"sidecar {sidecar.index}: a process ended by itself, status {status}"
                    )
                    if process is sidecar.current and not sidecar.lock.locked():
                        sidecar.start()

    def _check_limits(self, sidecar: SoakSidecar) -> None:
        """Two processes of one sidecar share its limits."""
        limits = sidecar.config["limits"]
        running = [process for process in list(sidecar.processes) if process.is_running]
        descriptors = sum(process.descriptors() for process in running)
        if descriptors > limits["sockets"]:
            self._findings.append(
                f"sidecar {sidecar.index}: {descriptors} descriptors, {limits['sockets']} allowed"
            )
        memory = sum(process.memory_mb() for process in running)
        if memory > limits["memory_mb"]:
            self._findings.append(f"sidecar {sidecar.index}: {memory:.0f} MB, {limits['memory_mb']} allowed")

    def _check_nothing_left(self) -> None:
        """Once all is over, each sidecar serves and has no request left."""
        for sidecar in self.sidecars:
            left = sidecar.current.open_requests()
            if left is None:
                self._findings.append(f"sidecar {sidecar.index} does not answer operators at the end")
            elif left:
                self._findings.append(f"sidecar {sidecar.index}: {left} requests are left at the end")

    def _write_facts(self, start: int) -> None:
        """Write what the audit needs to know."""
        experiment = self.history.experiment
        facts = RunFacts(
            max_attempts=experiment.sidecars.retries.max_attempts,
            drain_grace=round(experiment.sidecars.drain_grace_ms * 1000),
            idempotency_by_class={one.name: one.idempotency for one in experiment.classes},
            upstream_zones={str(spec.index): spec.zone for spec in upstream_specs(experiment.fleet)},
            sidecar_zones=experiment.sidecars.zones,
            start=start,
            kills=tuple(kill for sidecar in self.sidecars for kill in sidecar.kills),
            crashes=self._crash_count,
        )
        (self.folder / FACTS_FILE).write_bytes(msgspec.json.encode(facts))


def _forbidden_log_lines(folder: Path) -> list[str]:
    """Lines of the sidecars' logs that tell of a defect."""
    found = []
    for path in sorted(folder.glob("sidecar-*.log")):
        lines = [line for line in path.read_text(errors="replace").splitlines() if FORBIDDEN_LOG.search(line)]
        found += [f"{path.name}: {_event(line)}" for line in lines[:MAX_EXAMPLES]]
    return found


def _event(line: str) -> str:
    """The event of a log line with its last line of a traceback, or the line itself."""
    try:
        values = json.loads(line)
    except ValueError:
        return line[:200]
    last = str(values.get("exception", "")).strip().rpartition("\n")[2]
    return f"{values.get('event')}: {last}"[:200]
