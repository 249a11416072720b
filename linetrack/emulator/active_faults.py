"""The request faults that are active at one upstream."""

from __future__ import annotations

from dataclasses import dataclass

from linetrack.emulator.schema import FaultKind
from linetrack.emulator.timeline import RequestFault


@dataclass(slots=True)
class _ActiveFault:
    fault: RequestFault
    ends_at: int
    requests: int = 0

    def affects_next_request(self) -> bool:
        """Count a request and return whether the fault affects it."""
        self.requests += 1
        return self.requests % self.fault.one_in == 0


class ActiveFaults:
    """The active faults of one upstream, each of which affects every nth request (`one_in`)."""

    def __init__(self) -> None:
        self._faults: dict[int, _ActiveFault] = {}

    def begin(self, fault: RequestFault, start: int) -> None:
        """Add a fault that begins now; `start` is when the timeline began."""
        self._faults[fault.fault_index] = _ActiveFault(fault, start + fault.ends_at)

    def end(self, fault_index: int) -> RequestFault:
        """Remove a fault that ends now, and return it."""
        return self._faults.pop(fault_index).fault

    def affects_request(self, kind: FaultKind) -> bool:
        """Return whether a fault of this kind affects the next request; counts the request."""
        return any(
            active.affects_next_request() for active in self._faults.values() if active.fault.kind is kind
        )

    def slowdown(self) -> float:
        """Return the factor by which slow faults multiply the work of the next request; counts it."""
        factor = 1.0
        for active in self._faults.values():
            if active.fault.kind is FaultKind.SLOW and active.affects_next_request():
                factor *= active.fault.factor
        return factor

    def stalled_until(self) -> int:
        """Return the time before which no work may begin, or 0 if no stall is active."""
        stalls = [active.ends_at for active in self._faults.values() if active.fault.kind is FaultKind.STALL]
        return max(stalls, default=0)
