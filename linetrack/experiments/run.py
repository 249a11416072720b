"""One run of an experiment: starts, watches and ends emulator, sidecars and load, and audits the ledgers.

A run ends every process that it started, also when it fails or is interrupted.
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
START_DELAY_US = 400_000  # from the start command until the load begins
WATCH_INTERVAL_SECONDS = 0.05

#: Called with the name of the run in progress and the fraction of it that is done.
Progress = Callable[[str, float], None]


def no_progress(run_name: str, fraction: float) -> None:
    """Do nothing, as a progress callback."""


class Run:
    """The run of one seed of one arm, in a folder of its own."""

    def __init__(
        self,
        experiment: Experiment,
        arm: Arm,
        seed: int,
        experiment_folder: Path,
        folder: Path,
        progress: Progress = no_progress,
    ) -> None:
        """`experiment_folder` is the folder of the experiment's file, `folder` that of the run."""
        self.experiment = arm.adapt(experiment)
        self.faults = arm.faults_of(experiment)
        self.load = arm.load_of(experiment)
        self.arm = arm
        self.seed = seed
        self.experiment_folder = experiment_folder
        self.folder = folder
        self.progress = progress
        self.length_us = round(experiment.length_s * 1e6)
        self.sidecars: list[SidecarProcess] = []
        self.kills: list[SidecarKill] = []
        self.crashes = 0
        self.ending = threading.Event()

    def execute(self) -> RunResult:
        """Execute the run, audit its ledgers and compute its metrics.

        Raises:
            RunError, ChildFailedError: a process did not start, or one of the emulator ended early.
        """
        self.folder.mkdir(parents=True, exist_ok=True)
        for old_ledger in self.folder.glob("*.jsonl"):
            old_ledger.unlink()
        load_counts = self._run_deployment()
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

    def _run_deployment(self) -> Counter[str]:
        """Run emulator, sidecars and load until the load has ended; return the load generator's counts."""
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
                    self.length_us,
                    self.seed,
                    addresses,
                    self.experiment_folder,
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
        """Start the sidecars, if any, and return the addresses to which the load is sent."""
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
        # The build's own environment is used if there is one, as the environment of the tools has packages
        # that the program would load.
        python = build / ".venv" / "bin" / "python"
        return [str(python) if python.exists() else sys.executable, "-m", "linetrack"]

    # --- While it runs ---------------------------------------------------------------------------------

    def _watch(self, start: int) -> None:
        """Restart sidecars as planned by the timeline or after a crash, and report the progress."""
        restarts = self._planned_restarts(start)
        while not self.ending.wait(WATCH_INTERVAL_SECONDS):
            fraction = min(1.0, max(0.0, (now() - start) / self.length_us))
            self.progress(f"{self.arm.name}, seed {self.seed}", fraction)
            while restarts and restarts[0][0] <= now():
                _, index, kind = restarts.pop(0)
                threading.Thread(target=self._restart, args=(index, kind), daemon=True).start()
            for sidecar in self.sidecars:
                sidecar.measure()
                if sidecar.should_run and sidecar.has_ended:
                    self._restart_crashed(sidecar)

    def _planned_restarts(self, start: int) -> list[tuple[int, int, FaultKind]]:
        """Return the time, sidecar index and fault kind of each restart of the timeline, by time."""
        steps = timeline(self.experiment.fleet, self.faults, self.seed)
        restarts = [
            (start + step.at + index // step.batch_size * step.batch_interval, index, step.kind)
            for step in steps
            if isinstance(step, RestartSidecars)
            for index in range(len(self.sidecars))
        ]
        return sorted(restarts, key=lambda restart: (restart[0], restart[1], restart[2].value))

    def _restart_crashed(self, sidecar: SidecarProcess) -> None:
        """Record the crash of a sidecar and restart it; the run goes on."""
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
        """Write the facts of the run that the audit needs."""
        experiment = self.experiment
        facts = RunFacts(
            max_attempts=experiment.sidecars.retries.max_attempts,
            drain_grace=round(experiment.sidecars.drain_grace_ms * 1000),
            idempotency_by_class={
                request_class.name: request_class.idempotency for request_class in experiment.classes
            },
            upstream_zones={str(spec.index): spec.zone for spec in upstream_specs(experiment.fleet)},
            sidecar_zones=() if experiment.direct else experiment.sidecars.zones,
            start=start,
            kills=tuple(self.kills),
            crashes=self.crashes,
        )
        (self.folder / FACTS_FILE).write_bytes(msgspec.json.encode(facts))
