"""The load generator's entry point: starts the workers together and adds up their counts."""

from __future__ import annotations

from collections import Counter
from pathlib import Path
from typing import Any

from linetrack.emulator.child_process import ChildProcess, ChildProcessGroup
from linetrack.emulator.schema import RequestClass
from linetrack.load.client_requests import class_shares
from linetrack.load.plan import build_schedule
from linetrack.load.schema import Load

WORKER_MODULE = "linetrack.load.worker"


class WorkerGroup(ChildProcessGroup):
    """Workers that share a schedule; their ledgers are the files `load-*.jsonl` in `out`."""

    def __init__(
        self,
        load: Load,
        classes: tuple[RequestClass, ...],
        length: int,
        seed: int,
        sidecars: tuple[str, ...],
        folder: Path,
        out: Path,
    ) -> None:
        """Build the schedule, which checks the trace; nothing is launched yet.

        Args:
            load: the load.
            classes: the request classes.
            length: duration of the load in microseconds.
            seed: the seed of the schedule.
            sidecars: the addresses of the sidecars.
            folder: the folder to which the path of the trace's file is relative.
            out: the folder of the ledgers.

        Raises:
            FileError: the trace cannot be read, or a row is invalid.
        """
        super().__init__()
        self.requests = len(build_schedule(load, length, class_shares(classes), seed, folder))
        self.worker_count = load.workers
        self.out = out
        self._common_config: dict[str, Any] = {
            "load": load,
            "classes": classes,
            "length": length,
            "seed": seed,
            "sidecars": sidecars,
            "folder": str(folder),
        }

    def _launch(self) -> None:
        for worker in range(self.worker_count):
            ledger = str(self.out / f"load-{worker}.jsonl")
            config = {**self._common_config, "worker": worker, "ledger": ledger}
            self.children.append(ChildProcess(WORKER_MODULE, config))
        for child in self.children:
            child.receive()

    def wait_for_counts(self) -> Counter[str]:
        """Wait until all workers have finished, and return the sums of their counts."""
        total: Counter[str] = Counter()
        for child in self.children:
            total.update(child.receive())
        return total
