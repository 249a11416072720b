"""The usual rate of an event: a mean over the latest time in which the event was observed.

Does no I/O and reads no clock: callers pass times as integer microseconds.
"""

from __future__ import annotations

from linetrack.policy.time_units import SECOND

WINDOW_SECONDS = 20.0  # averaging window
DELAY_SECONDS = 1.0  # time of observation before a first rate is known


class BaselineRate:
    """Mean events per second, 0 until a first rate is known; callers pause it while the rate is unusual."""

    def __init__(self) -> None:
        self.per_second = 0.0
        self._observed_seconds = -DELAY_SECONDS

    def observe(self, elapsed: int, rate: float) -> None:
        """Add the `rate` of the last `elapsed` microseconds, which count as one second at most."""
        seconds = min(1.0, elapsed / SECOND)
        self._observed_seconds = min(WINDOW_SECONDS, self._observed_seconds + seconds)
        if self._observed_seconds > 0:
            weight = min(1.0, seconds / self._observed_seconds)
            self.per_second += (rate - self.per_second) * weight
