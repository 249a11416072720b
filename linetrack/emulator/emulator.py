"""The emulator as whoever runs it sees it: processes launched, started at one time, stopped."""

from __future__ import annotations

from pathlib import Path
from typing import Any

from linetrack.config.operators import DeduplicationScope, Idempotency
from linetrack.emulator.child_process import ChildProcess, ChildProcessGroup
from linetrack.emulator.schema import Fault, Fleet, RequestClass
from linetrack.emulator.timeline import timeline, upstream_specs

PROCESS_MODULE = "linetrack.emulator.process"


class Emulator(ChildProcessGroup):
    """Upstreams and their discovery on loopback.

    `entries` and `discovery_addresses` (one for each sidecar) are known once it is entered; the timeline
    begins with `start`.  Ledgers are files of `folder` named `emulator-*.jsonl`.
    """

    def __init__(
        self,
        fleet: Fleet,
        classes: tuple[RequestClass, ...],
        faults: tuple[Fault, ...],
        seed: int,
        sidecar_count: int,
        folder: Path,
    ) -> None:
        """Raises a `FaultError` for a fault that cannot be, before anything is launched."""
        super().__init__()
        timeline(fleet, faults, seed)
        self.sidecar_count = sidecar_count
        self.folder = folder
        self.entries: list[dict[str, Any]] = []
        self.discovery_addresses: list[str] = []
        self._common_config = {"fleet": fleet, "classes": classes, "faults": faults, "seed": seed}
        self._shares = _shares(fleet, classes)

    def _launch(self) -> None:
        upstreams = [
            self._launch_process(f"fleet{n}", upstreams=share) for n, share in enumerate(self._shares)
        ]
        self.entries = [entry for process in upstreams for entry in process.receive()["entries"]]
        discovery = self._launch_process("discovery", entries=self.entries, sidecar_count=self.sidecar_count)
        addresses = discovery.receive()
        self.discovery_addresses = addresses["sidecars"]
        for process in upstreams:
            process.send({"control": addresses["control"]})

    def _launch_process(self, name: str, **config: Any) -> ChildProcess:
        ledger = str(self.folder / f"emulator-{name}.jsonl")
        process = ChildProcess(PROCESS_MODULE, {**self._common_config, "ledger": ledger, **config})
        self.children.append(process)
        return process

    def is_running(self) -> bool:
        """Whether no process has ended."""
        return all(child.is_running for child in self.children)


def _shares(fleet: Fleet, classes: tuple[RequestClass, ...]) -> list[list[int]]:
    """The upstreams of each process: those that share a deduplication table share a process."""
    scopes = {
        request_class.deduplication_scope
        for request_class in classes
        if request_class.idempotency is Idempotency.IDEMPOTENCY_KEY
    }
    count = 1 if DeduplicationScope.ALL in scopes else min(fleet.processes, len(fleet.zones))
    return [
        [spec.index for spec in upstream_specs(fleet) if fleet.zones.index(spec.zone) % count == n]
        for n in range(count)
    ]
