"""When rejected clients are asked to return while a fleet is overloaded, and which of them did as asked.

The times are spread at a rate that the fleet can bear, so that clients do not come back in one wave.  A
client that returns at such a time is recognised by the time alone, as clients do not identify themselves.
This module reads no clock: times are integer microseconds that the caller gives, and they never go back.
"""

from __future__ import annotations

import heapq
from random import Random

from linetrack.policy.time_units import SECOND

RETURN_GRACE_US = 2 * SECOND  # after a scheduled return in which a retry still counts as that return
MAX_SCHEDULED_RETURNS = 4096  # remembered at once


class RetrySchedule:
    """The times at which rejected clients were asked to return, in bounded memory."""

    def __init__(self, random: Random) -> None:
        self.scheduled_returns: list[int] = []  # a heap
        self._random = random
        self._last_return_at = 0

    def restart(self, now: int) -> None:
        """Give out times from now on, whatever was given out before."""
        self._last_return_at = now

    def schedule_return(self, now: int, default: int, maximum: int, returns_per_second: float) -> int:
        """Return after how many microseconds one more rejected client should come back.

        The times begin at half of `default` from now and follow one another at `returns_per_second`; none is
        later than `maximum` from now.
        """
        interval = SECOND / returns_per_second
        self._last_return_at = int(max(self._last_return_at, now + default // 2) + interval)
        delay = self._last_return_at - now
        if delay > maximum:
            # the backlog is longer than the latest time allowed: spread the rest over its second half
            self._last_return_at -= int(interval)
            delay = maximum // 2 + int(maximum / 2 * self._random.random())
        if len(self.scheduled_returns) < MAX_SCHEDULED_RETURNS:
            heapq.heappush(self.scheduled_returns, now + delay)
        return min(maximum, delay)

    def claim_return(self, now: int) -> bool:
        """Return whether a retry that came now can be a scheduled return, which is then taken as made."""
        returns = self.scheduled_returns
        while returns and returns[0] < now - RETURN_GRACE_US:
            heapq.heappop(returns)
        if returns and returns[0] <= now:
            heapq.heappop(returns)
            return True
        return False
