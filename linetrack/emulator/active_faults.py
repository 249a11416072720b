"""The faults that affect one upstream's requests at present."""

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
        """Whether it affects this request; counts it."""
        self.requests += 1
        return self.requests % self.fault.one_in == 0


class ActiveFaults:
    """Faults begin and end by the timeline; each affects every nth request."""

    def __init__(self) -> None:
        self._faults: dict[int, _ActiveFault] = {}

    def begin(self, fault: RequestFault, start: int) -> None:
        """A fault begins; `start` is when the timeline began."""
        self._faults[fault.fault_index] = _ActiveFault(fault, start + fault.ends_at)

    def end(self, fault_index: int) -> RequestFault:
        """A fault ends; returns it."""
        return self._faults.pop(fault_index).fault

    def affects_request(self, kind: FaultKind) -> bool:
        """Whether a fault of this kind affects this request."""
        return any(
            active.affects_next_request() for active in self._faults.values() if active.fault.kind is kind
        )

    def slowdown(self) -> float:
        """The factor on the work of this request."""
        factor = 1.0
        for active in self._faults.values():
            if active.fault.kind is FaultKind.SLOW and active.affects_next_request():
                factor *= active.fault.factor
        return factor

    def stalled_until(self) -> int:
        """Until when no work begins; 0 where it may begin at once."""
        stalls = [active.ends_at for active in self._faults.values() if active.fault.kind is FaultKind.STALL]
        return max(stalls, default=0)
