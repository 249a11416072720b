"""The load generator as whoever runs it sees it: workers started together, their counts added up."""

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
    """Workers that share a schedule.  Ledgers are files of `out` named `load-*.jsonl`."""

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
        """Raises a `FileError` for a trace that is invalid, before anything is launched.

        Args:
            load: the load.
            classes: the request classes.
            length: microseconds.
            seed: the seed of the schedule.
            sidecars: their addresses.
            folder: a trace's file is relative to it.
            out: the folder of the ledgers.
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
        """Wait for the end; counts over all workers."""
        total: Counter[str] = Counter()
        for child in self.children:
            total.update(child.receive())
        return total
