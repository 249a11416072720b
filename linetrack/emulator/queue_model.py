"""A model of one upstream's cores and queue, without I/O: computes when submitted work begins and ends.

Models the queue, the reduced speed in slow start, and the crash of an overloaded upstream in slow start.
Reads no clock: the caller passes times as integer microseconds that never decrease.
"""

from __future__ import annotations

import heapq
from collections import deque
from dataclasses import dataclass

from linetrack.emulator.schema import HostClass


@dataclass(frozen=True, slots=True)
class Execution:
    """The times at which a piece of work begins and ends."""

    begins_at: int
    ends_at: int


class OverloadCrashError(Exception):
    """An upstream in slow start was overloaded for too long and crashes, losing all accepted work."""


class UpstreamQueue:
    """A FIFO queue served by several cores; work keeps the speed at which it begins until it ends."""

    def __init__(self, host_class: HostClass, started_at: int | None) -> None:
        """Create an empty queue; `started_at` is None for an upstream past its slow start."""
        self.host_class = host_class
        self.started_at = started_at
        self.slow_start = round(host_class.slow_start_ms * 1000)
        self.overload_window = round(host_class.overload_window_ms * 1000)
        self._cores_free_at = [0] * host_class.cores
        self._waiting_begin_at: deque[int] = deque()
        self._accepted_end_at: list[int] = []
        # Times and amounts of the work submitted in slow start within the overload window, and their sum.
        self._recent_work: deque[tuple[int, int]] = deque()
        self._recent_work_sum = 0

    def speed_fraction(self, now: int) -> float:
        """Return the fraction of the full speed: below 1 in slow start, rising linearly to 1."""
        if self.started_at is None or not self.slow_start or now >= self.started_at + self.slow_start:
            return 1.0
        elapsed = max(0, now - self.started_at) / self.slow_start
        initial = self.host_class.slow_start_initial_fraction
        return initial + (1 - initial) * elapsed

    def load(self, now: int) -> tuple[int, int]:
        """Return the number of pieces of work that wait, and the number that wait or are being executed."""
        self._remove_past(now)
        return len(self._waiting_begin_at), len(self._accepted_end_at)

    def submit(self, now: int, work: int, slowdown: float = 1.0, not_before: int = 0) -> Execution | None:
        """Submit a piece of work.

        Args:
            now: the current time.
            work: microseconds of a core at speed 1.
            slowdown: a factor by which the work is multiplied.
            not_before: the time before which no work begins.

        Returns:
            When the work is executed, or None if the queue is full.

        Raises:
            OverloadCrashError: the upstream is in slow start and this work overloads it.
        """
        self._remove_past(now)
        self._check_overload(now, work)
        begins_at = max(now, self._cores_free_at[0], not_before)
        if begins_at > now and len(self._waiting_begin_at) >= self.host_class.max_queue_length:
            return None
        speed = self.host_class.speed * self.speed_fraction(begins_at)
        ends_at = begins_at + max(1, round(work * slowdown / speed))
        heapq.heapreplace(self._cores_free_at, ends_at)
        heapq.heappush(self._accepted_end_at, ends_at)
        if begins_at > now:
            self._waiting_begin_at.append(begins_at)
        return Execution(begins_at, ends_at)

    def _remove_past(self, now: int) -> None:
        while self._waiting_begin_at and self._waiting_begin_at[0] <= now:
            self._waiting_begin_at.popleft()
        while self._accepted_end_at and self._accepted_end_at[0] <= now:
            heapq.heappop(self._accepted_end_at)

    def _check_overload(self, now: int, work: int) -> None:
        """Raise OverloadCrashError if too much work, rejected work included, is submitted in slow start."""
        fraction = self.speed_fraction(now)
        if fraction >= 1.0:
            return
        self._recent_work.append((now, work))
        self._recent_work_sum += work
        while self._recent_work[0][0] <= now - self.overload_window:
            self._recent_work_sum -= self._recent_work.popleft()[1]
        host_class = self.host_class
        capacity = host_class.overload_multiple * fraction * host_class.cores * host_class.speed
        if self._recent_work_sum > capacity * self.overload_window:
            raise OverloadCrashError
