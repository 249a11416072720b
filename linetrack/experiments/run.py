"""One run of an experiment: emulator, sidecars and load started, watched and ended; its ledgers audited.

Every process that a run starts is ended by it, also when it fails or is interrupted.
"""

from __future__ import annotations

import json
import signal
import sys
import threading
from collections import Counter
from collections.abc import Callable
from pathlib import Path

import msgspec

from linetrack.emulator.emulator import Emulator
from linetrack.emulator.ledger import now
from linetrack.emulator.schema import FaultKind
from linetrack.emulator.timeline import RestartSidecars, timeline, upstream_specs
from linetrack.experiments import sidecar_process
from linetrack.experiments.arms import Arm
from linetrack.experiments.audit import FACTS_FILE, RunFacts, SidecarKill, audit, summary
from linetrack.experiments.measurements import Counts, measure_run
from linetrack.experiments.results import RunResult
from linetrack.experiments.schema import Experiment, PolicyName
from linetrack.experiments.sidecar_config import sidecar_config
from linetrack.experiments.sidecar_process import RunError, SidecarProcess
from linetrack.load.workers import WorkerGroup

ROOT = Path(__file__).parent.parent.parent
START_DELAY_US = 400_000  # between the order to start and the first send
WATCH_INTERVAL_SECONDS = 0.05

#: Called with what is under way and how much of it is done, from 0 to 1.
Progress = Callable[[str, float], None]


def no_progress(what: str, fraction: float) -> None:
    """Show no progress."""


class Run:
    """One seed of one arm, in a folder of its own."""

    def __init__(
        self,
        experiment: Experiment,
        arm: Arm,
        seed: int,
        source: Path,
        folder: Path,
        progress: Progress = no_progress,
    ) -> None:
        """`source` is the folder of the experiment's file, `folder` that of the run."""
        self.experiment = arm.adapt(experiment)
        self.faults = arm.faults_of(experiment)
        self.load = arm.load_of(experiment)
        self.arm = arm
        self.seed = seed
        self.source = source
        self.folder = folder
        self.progress = progress
        self.length = round(experiment.length_s * 1e6)
        self.sidecars: list[SidecarProcess] = []
        self.kills: list[SidecarKill] = []
        self.crashes = 0
        self.ending = threading.Event()

    def play(self) -> RunResult:
        """Run it, audit and measure it.

        Raises:
            RunError, ChildFailedError: something did not come up, or a process of the emulator ended early.
        """
        self.folder.mkdir(parents=True, exist_ok=True)
        for old_ledger in self.folder.glob("*.jsonl"):
            old_ledger.unlink()
        load_counts = self._play()
        counts = Counts(
            late=load_counts["late"],
            not_sent=load_counts["unsent"],
            dialled=load_counts["dialled"],
            cpu_us=sum(sidecar.ended_cpu_us for sidecar in self.sidecars),
            memory_mb=round(max((sidecar.max_memory_mb for sidecar in self.sidecars), default=0.0), 1),
        )
        findings = audit(self.folder)
        metrics, series = measure_run(self.experiment, self.folder, findings, counts)
        return RunResult(
            metrics=metrics,
            series=series,
            seed=self.seed,
            audit=summary(findings),
            is_valid=metrics["late"] <= self.load.max_late_share,
            is_partial=False,
        )

    def _play(self) -> Counter[str]:
        """Run everything until the load has ended; the load's counts."""
        experiment = self.experiment
        sidecar_count = 1 if experiment.direct else len(experiment.sidecars.zones)
        start = 0
        emulator = Emulator(
            experiment.fleet, experiment.classes, self.faults, self.seed, sidecar_count, self.folder
        )
        try:
            with emulator:
                addresses = self._start_sidecars(emulator)
                workers = WorkerGroup(
                    self.load,
                    experiment.classes,
                    self.length,
                    self.seed,
                    addresses,
                    self.source,
                    self.folder,
                )
                with workers:
                    start = now() + START_DELAY_US
                    emulator.start(start)
                    workers.start(start)
                    threading.Thread(target=self._watch, args=(start,), daemon=True).start()
                    counts = workers.wait_for_counts()
                if not emulator.is_running():
                    raise RunError("a process of the emulator ended early")
        finally:
            self.ending.set()
            self._write_facts(start)
            for sidecar in self.sidecars:
                sidecar.end(signal.SIGTERM)
        self._write_facts(start)
        return counts

    def _start_sidecars(self, emulator: Emulator) -> tuple[str, ...]:
        """The addresses to which the load goes."""
        if self.experiment.direct:
            return (emulator.entries[0]["addr"],)
        build = Path(self.arm.build).resolve() if self.arm.build else ROOT
        command = self._sidecar_command(build)
        for index in range(len(self.experiment.sidecars.zones)):
            listen = f"127.0.0.1:{sidecar_process.free_port()}"
            config = sidecar_config(self.experiment, index, emulator, listen)
            (self.folder / f"sidecar-{index}.json").write_text(json.dumps(config))
            self.sidecars.append(SidecarProcess(index, self.folder, command, build, listen))
        for sidecar in self.sidecars:
            sidecar.start()
        for sidecar in self.sidecars:
            sidecar.wait_until_ready()
        return tuple(sidecar.address for sidecar in self.sidecars)

    def _sidecar_command(self, build: Path) -> list[str]:
        if self.arm.policy is not PolicyName.LINETRACK:
            return [sys.executable, "-m", "linetrack.experiments.baselines", self.arm.policy.value]
        # the platform's environment where it is built: that of the tools holds packages which the program
        # would load
        python = build / ".venv" / "bin" / "python"
        return [str(python) if python.exists() else sys.executable, "-m", "linetrack"]

    # --- While it runs ---------------------------------------------------------------------------------

    def _watch(self, start: int) -> None:
        """Restart sidecars by the timeline and those that end on their own, and show the progress."""
        restarts = self._planned_restarts(start)
        while not self.ending.wait(WATCH_INTERVAL_SECONDS):
            fraction = min(1.0, max(0.0, (now() - start) / self.length))
            self.progress(f"{self.arm.name}, seed {self.seed}", fraction)
            while restarts and restarts[0][0] <= now():
                _, index, kind = restarts.pop(0)
                threading.Thread(target=self._restart, args=(index, kind), daemon=True).start()
            for sidecar in self.sidecars:
                sidecar.measure()
                if sidecar.should_run and sidecar.has_ended:
                    self._restart_crashed(sidecar)

    def _planned_restarts(self, start: int) -> list[tuple[int, int, FaultKind]]:
        """The time, sidecar and kind of each restart of the timeline, in order."""
        steps = timeline(self.experiment.fleet, self.faults, self.seed)
        restarts = [
            (start + step.at + index // step.batch_size * step.batch_interval, index, step.kind)
            for step in steps
            if isinstance(step, RestartSidecars)
            for index in range(len(self.sidecars))
        ]
        return sorted(restarts, key=lambda restart: (restart[0], restart[1], restart[2].value))

    def _restart_crashed(self, sidecar: SidecarProcess) -> None:
        """A sidecar that ended on its own is a finding about the program, and ends no run."""
        self.crashes += 1
        sidecar.end(signal.SIGKILL)
        self.kills.append(SidecarKill(sidecar.index, now()))
        sidecar.start()

    def _restart(self, index: int, kind: FaultKind) -> None:
        sidecar = self.sidecars[index]
        sidecar.should_run = False
        try:
            if kind is FaultKind.SIDECARS_KILLED:
                self.kills.append(SidecarKill(index, now()))
                sidecar.end(signal.SIGKILL)
            else:
                sidecar.end(signal.SIGTERM)
            if not self.ending.is_set():
                sidecar.start()
        finally:
            sidecar.should_run = True

    def _write_facts(self, start: int) -> None:
        """Write what the audit needs to know."""
        experiment = self.experiment
        facts = RunFacts(
            max_attempts=experiment.sidecars.retries.max_attempts,
            drain_grace=round(experiment.sidecars.drain_grace_ms * 1000),
            idempotency_by_class={one.name: one.idempotency for one in experiment.classes},
            upstream_zones={str(spec.index): spec.zone for spec in upstream_specs(experiment.fleet)},
            sidecar_zones=() if experiment.direct else experiment.sidecars.zones,
            start=start,
            kills=tuple(self.kills),
            crashes=self.crashes,
        )
        (self.folder / FACTS_FILE).write_bytes(msgspec.json.encode(facts))
