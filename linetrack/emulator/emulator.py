"""The emulator's entry point: launches, starts and stops the emulator's processes."""

from __future__ import annotations

from pathlib import Path
from typing import Any

from linetrack.config.operators import DeduplicationScope, Idempotency
from linetrack.emulator.child_process import ChildProcess, ChildProcessGroup
from linetrack.emulator.loopback import unique_loopback_host
from linetrack.emulator.schema import Fault, Fleet, RequestClass
from linetrack.emulator.timeline import timeline, upstream_specs

PROCESS_MODULE = "linetrack.emulator.process"


class Emulator(ChildProcessGroup):
    """Upstreams and their discovery on loopback.

    `entries` and `discovery_addresses` (one for each sidecar) are set on entry of the context manager.  The
    timeline begins with `start`.  The ledgers are the files `emulator-*.jsonl` in `folder`.
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
        """Check the faults; nothing is launched yet.

        Raises:
            FaultError: a fault affects no upstream.
        """
        super().__init__()
        timeline(fleet, faults, seed)
        self.sidecar_count = sidecar_count
        self.folder = folder
        self.entries: list[dict[str, Any]] = []
        self.discovery_addresses: list[str] = []
        self._common_config = {"fleet": fleet, "classes": classes, "faults": faults, "seed": seed}
        self._common_config["host"] = unique_loopback_host()
        self._upstreams_by_process = _divide_upstreams(fleet, classes)

    def _launch(self) -> None:
        upstreams = [
            self._launch_process(f"fleet{n}", upstreams=share)
            for n, share in enumerate(self._upstreams_by_process)
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
        """Return whether all processes are still running."""
        return all(child.is_running for child in self.children)


def _divide_upstreams(fleet: Fleet, classes: tuple[RequestClass, ...]) -> list[list[int]]:
    """Return the upstreams of each process; upstreams that share a deduplication table share a process."""
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
