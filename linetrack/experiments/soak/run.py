"""One soak run: executes a scenario against the real program and checks the outcome.

The checks are what callers and operators are promised: the rules of `audit.py`, readiness within 10 s of a
start, an exit with status 0 within the longest request timeout plus 0.7 s of SIGTERM, the configured limits,
no crash, no traceback, and no open request once all faults are over.
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
from linetrack.experiments.soak.clients import MisbehavingClients
from linetrack.experiments.soak.processes import SoakSidecar
from linetrack.experiments.soak.scenario import Scenario
from linetrack.experiments.soak.sidecar_faults import inject
from linetrack.load.workers import WorkerGroup

RESULT_FILE = "soak.json"
SAMPLE_INTERVAL_SECONDS = 0.1  # between samples of descriptors, memory and crashes
SETTLE_SECONDS = 1.0  # wait after the load; no request may be open at its end
FAULT_TIMEOUT_SECONDS = 40.0  # wait for the faults in progress after the last one has started
#: Parts of log lines that show a defect of the program.
FORBIDDEN_LOG = re.compile(r"greenlet_crashed|internal_error|client_connection_failed|Traceback")
MAX_EXAMPLES = 5  # forbidden lines reported for one log file


class SoakVerdict(Enum):
    """The outcome of one seed: whether the program kept all rules."""

    HELD = "held"
    BROKEN = "broken"
    INVALID = "invalid"  # too many sends were late, so the test machine was too slow for a verdict


class SoakResult(msgspec.Struct, frozen=True):
    """The result of one seed, as stored in `soak.json`."""

    seed: int
    verdict: SoakVerdict
    findings: list[str]
    requests: int
    attempts: int
    excused: int  # requests lost with a process that was killed
    late_share: float  # share of sends that left late because the test machine was slow
    troubles: list[str]  # descriptions of the faults, by their numbers
    without: list[int] = []


class SoakRun:
    """Executes one scenario in a folder of its own."""

    def __init__(self, scenario: Scenario, folder: Path, build: Path = ROOT) -> None:
        """Prepare the run of a scenario in `folder`; `build` is the folder of the build under test."""
        self.scenario = scenario
        self.folder = folder
        self.build = build
        self.sidecars: list[SoakSidecar] = []
        self._findings: list[str] = []
        self._crash_count = 0
        self._ending = threading.Event()

    def execute(self) -> SoakResult:
        """Execute the scenario, check the outcome and store the result; end every process that was started.

        Raises:
            RunError, ChildFailedError: a process that the run needs did not start, or ended early.
        """
        self.folder.mkdir(parents=True, exist_ok=True)
        for old_file in [*self.folder.glob("*.jsonl"), *self.folder.glob("*.log")]:
            old_file.unlink()
        counts = self._run_deployment()
        findings = audit(self.folder)
        self._findings += [
            f"{rule.value}: {example}" for rule, examples in findings.examples.items() for example in examples
        ]
        self._findings += _forbidden_log_lines(self.folder)
        for sidecar in self.sidecars:
            self._findings += sidecar.findings
        late_share = counts["late"] / max(1, counts["sent"])
        verdict = SoakVerdict.BROKEN if self._findings else SoakVerdict.HELD
        if late_share > self.scenario.experiment.load.max_late_share:
            verdict = SoakVerdict.INVALID
        result = SoakResult(
            seed=self.scenario.seed,
            verdict=verdict,
            findings=self._findings,
            requests=findings.requests,
            attempts=findings.attempts,
            excused=findings.excused,
            late_share=round(late_share, 4),
            troubles=self.scenario.describe_faults(),
        )
        (self.folder / RESULT_FILE).write_bytes(msgspec.json.encode(result))
        return result

    def _run_deployment(self) -> dict[str, int]:
        experiment = self.scenario.experiment
        seed = self.scenario.seed
        length_us = round(experiment.length_s * 1e6)
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
                    experiment.load, experiment.classes, length_us, seed, addresses, self.folder, self.folder
                )
                with workers:
                    clients = MisbehavingClients(self.folder, self._idempotent_class(), addresses, seed)
                    start = now() + START_DELAY_US
                    emulator.start(start)
                    workers.start(start)
                    clients.start()
                    watcher = threading.Thread(target=self._watch, daemon=True)
                    watcher.start()
                    self._inject_sidecar_faults(start)
                    counts = workers.wait_for_counts()
                    clients.stop()
                    time.sleep(SETTLE_SECONDS)
                    self._check_final_state()
                    self._ending.set()
                    watcher.join()
                if not emulator.is_running():
                    raise RunError("a process of the emulator ended early")
        finally:
            self._ending.set()
            self._write_facts(start)
            for sidecar in self.sidecars:
                sidecar.end()
        return dict(counts)

    def _idempotent_class(self) -> Any:
        classes = self.scenario.experiment.classes
        return next(
            request_class for request_class in classes if request_class.idempotency is Idempotency.IDEMPOTENT
        )

    def _start_sidecars(self, emulator: Emulator) -> None:
        experiment = self.scenario.experiment
        python = self.build / ".venv" / "bin" / "python"
        command = [str(python) if python.exists() else sys.executable, "-m", "linetrack"]
        longest_timeout_s = max(request_class.timeout_ms for request_class in experiment.classes) / 1000
        for index in range(len(experiment.sidecars.zones)):
            config = sidecar_config(experiment, index, emulator, f"127.0.0.1:{free_port()}")
            if not self.scenario.has_overload_rule:
                config["settings"]["rules"] |= {"fallMultiple": 0, "overloadForUs": 0}
            self.sidecars.append(
                SoakSidecar(index, self.folder, command, self.build, config, longest_timeout_s)
            )
        for sidecar in self.sidecars:
            sidecar.start()
        for sidecar in self.sidecars:
            if not sidecar.wait_until_ready(sidecar.current):
                raise RunError(f"sidecar {sidecar.index} did not start: see its log")

    def _inject_sidecar_faults(self, start: int) -> None:
        """Inject the faults of sidecars at their times; the faults of one sidecar run one at a time."""
        faults = self.scenario.sidecar_faults
        if not faults:
            return
        with ThreadPoolExecutor(len(faults)) as pool:
            futures = []
            for fault in faults:
                time.sleep(max(0.0, (start - now()) / 1e6 + fault.at_s))
                futures.append(pool.submit(inject, self.sidecars[fault.sidecar], fault))
            done, unfinished = wait(futures, FAULT_TIMEOUT_SECONDS)
        self._findings += [
            f"injecting a fault failed: {future.exception()!r}" for future in done if future.exception()
        ]
        self._findings += ["a fault did not end in time" for _ in unfinished]

    # --- While it runs ---------------------------------------------------------------------------------
    def _watch(self) -> None:
        """Check the limits, and restart processes that crashed."""
        while not self._ending.wait(SAMPLE_INTERVAL_SECONDS):
            for sidecar in self.sidecars:
                self._check_limits(sidecar)
                for process in sidecar.take_crashed():
                    self._crash_count += 1
                    status = process.process.returncode
                    self._findings.append(
                        f"sidecar {sidecar.index}: a process ended by itself, status {status}"
                    )
                    if process is sidecar.current and not sidecar.lock.locked():
                        sidecar.start()

    def _check_limits(self, sidecar: SoakSidecar) -> None:
        """Record a finding where the processes of a sidecar together exceed its limits."""
        limits = sidecar.config["limits"]
        running = [process for process in list(sidecar.processes) if process.is_running]
        descriptors = sum(process.descriptor_count() for process in running)
        if descriptors > limits["sockets"]:
            self._findings.append(
                f"sidecar {sidecar.index}: {descriptors} descriptors, {limits['sockets']} allowed"
            )
        memory = sum(process.memory_mb() for process in running)
        if memory > limits["memory_mb"]:
            self._findings.append(f"sidecar {sidecar.index}: {memory:.0f} MB, {limits['memory_mb']} allowed")

    def _check_final_state(self) -> None:
        """Check that each sidecar responds and has no open request once load and faults are over."""
        for sidecar in self.sidecars:
            open_requests = sidecar.current.open_requests()
            if open_requests is None:
                self._findings.append(
                    f"sidecar {sidecar.index}: the admin address does not respond at the end"
                )
            elif open_requests:
                self._findings.append(
                    f"sidecar {sidecar.index}: {open_requests} requests are still open at the end"
                )

    def _write_facts(self, start: int) -> None:
        """Write the facts of the run that the audit needs."""
        experiment = self.scenario.experiment
        facts = RunFacts(
            max_attempts=experiment.sidecars.retries.max_attempts,
            drain_grace=round(experiment.sidecars.drain_grace_ms * 1000),
            idempotency_by_class={
                request_class.name: request_class.idempotency for request_class in experiment.classes
            },
            upstream_zones={str(spec.index): spec.zone for spec in upstream_specs(experiment.fleet)},
            sidecar_zones=experiment.sidecars.zones,
            start=start,
            kills=tuple(kill for sidecar in self.sidecars for kill in sidecar.kills),
            crashes=self._crash_count,
        )
        (self.folder / FACTS_FILE).write_bytes(msgspec.json.encode(facts))


def _forbidden_log_lines(folder: Path) -> list[str]:
    """Return lines of the sidecars' logs that show a defect, at most `MAX_EXAMPLES` of each log."""
    examples = []
    for path in sorted(folder.glob("sidecar-*.log")):
        lines = [line for line in path.read_text(errors="replace").splitlines() if FORBIDDEN_LOG.search(line)]
        examples += [f"{path.name}: {_summarize_log_line(line)}" for line in lines[:MAX_EXAMPLES]]
    return examples


def _summarize_log_line(line: str) -> str:
    """Return the event of a log line and the last line of its traceback; the line itself if not JSON."""
    try:
        values = json.loads(line)
    except ValueError:
        return line[:200]
    error = str(values.get("exception", "")).strip().rpartition("\n")[2]
    return f"{values.get('event')}: {error}"[:200]
