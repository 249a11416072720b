"""An event rate that decays exponentially, with a time constant of one second.

Does no I/O and reads no clock: the host passes times as integer microseconds, which never decrease.
"""

from __future__ import annotations

import math

from linetrack.policy.time_units import SECOND


class DecayingRate:
    """Events per second, over about the last second."""

    def __init__(self) -> None:
        self.value = 0.0
        self.updated_at = 0

    def per_second(self, now: int) -> float:
        """Return the rate at `now`."""
        if now > self.updated_at:
            self.value *= math.exp((self.updated_at - now) / SECOND)
            self.updated_at = now
        return self.value

    def add(self, now: int, count: float = 1.0) -> None:
        """Record `count` events at `now`."""
        self.value = self.per_second(now) + count
