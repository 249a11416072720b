"""When rejected clients are asked to return while a fleet is overloaded, and which retries match those times.

The times are spread at a rate that the fleet can serve, so that clients do not return all at once.  Clients
do not identify themselves, so a retry counts as a scheduled return by its time alone.  This module reads no
clock: the caller passes times as integer microseconds, which never decrease.
"""

from __future__ import annotations

import heapq
from random import Random

from linetrack.policy.time_units import SECOND

RETURN_GRACE_US = 2 * SECOND  # how long after its time a scheduled return can still be claimed by a retry
MAX_SCHEDULED_RETURNS = 4096  # number of scheduled returns that are kept at the same time


class RetrySchedule:
    """The times at which rejected clients were asked to return, in bounded memory."""

    def __init__(self, random: Random) -> None:
        self.scheduled_returns: list[int] = []  # a heap
        self._random = random
        self._last_return_at = 0

    def restart(self, now: int) -> None:
        """Schedule the next return from `now` on, independent of the times given before."""
        self._last_return_at = now

    def schedule_return(self, now: int, default: int, maximum: int, returns_per_second: float) -> int:
        """Return the delay in microseconds after which another rejected client should return.

        The scheduled times start half of `default` from now and follow one another at `returns_per_second`;
        none is later than `maximum` from now.
        """
        interval = SECOND / returns_per_second
        self._last_return_at = int(max(self._last_return_at, now + default // 2) + interval)
        delay = self._last_return_at - now
        if delay > maximum:
            # the backlog extends beyond `maximum`: spread the rest over the second half of that time
            self._last_return_at -= int(interval)
            delay = maximum // 2 + int(maximum / 2 * self._random.random())
        if len(self.scheduled_returns) < MAX_SCHEDULED_RETURNS:
            heapq.heappush(self.scheduled_returns, now + delay)
        return min(maximum, delay)

    def claim_return(self, now: int) -> bool:
        """Return whether a retry at `now` matches a scheduled return, which is then removed."""
        returns = self.scheduled_returns
        while returns and returns[0] < now - RETURN_GRACE_US:
            heapq.heappop(returns)
        if returns and returns[0] <= now:
            heapq.heappop(returns)
            return True
        return False
