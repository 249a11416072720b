"""The usual rate of an event, as a mean over the latest while in which it was observed.

No I/O and no clock: the host passes times as integer microseconds.
"""

from __future__ import annotations

from linetrack.policy.time_units import SECOND

WINDOW_SECONDS = 20.0
DELAY_SECONDS = 1.0  # from the start until a first rate is known


class BaselineRate:
    """Events per second, 0 until a first rate is known; observation may pause while the rate is unusual."""

    def __init__(self) -> None:
        self.per_second = 0.0
        self._observed_seconds = -DELAY_SECONDS

    def observe(self, elapsed: int, rate: float) -> None:
        """Take in the rate of the time elapsed since it was observed last, one second at most."""
        seconds = min(1.0, elapsed / SECOND)
        self._observed_seconds = min(WINDOW_SECONDS, self._observed_seconds + seconds)
        if self._observed_seconds > 0:
            weight = min(1.0, seconds / self._observed_seconds)
            self.per_second += (rate - self.per_second) * weight
