"""A timer that wakes greenlets with a precision of some tens of microseconds, and never early.

The event loop's own timers are up to a millisecond late.  One greenlet therefore sleeps until shortly before
the next deadline, and then yields to the loop repeatedly, so that other greenlets run until the deadline.
"""

from __future__ import annotations

import heapq
from itertools import count

import gevent
from gevent.event import Event

from linetrack.emulator.ledger import now

LOOP_TIMER_DELAY_US = 1300  # upper bound on the delay of a timer of the event loop


class PreciseTimer:
    """Wakes the greenlets of one process at their deadlines."""

    def __init__(self) -> None:
        self._deadlines: list[tuple[int, int, Event]] = []
        self._sequence = count()
        self._changed = Event()
        self._greenlet = gevent.spawn(self._run)

    def sleep_until(self, deadline: int) -> None:
        """Sleep until the deadline, a time of the ledger's clock; return at once if it has passed."""
        if deadline <= now():
            return
        due = Event()
        heapq.heappush(self._deadlines, (deadline, next(self._sequence), due))
        if self._deadlines[0][2] is due:
            self._changed.set()
        due.wait()

    def _run(self) -> None:
        loop = gevent.get_hub().loop
        while True:
            if not self._deadlines:
                self._changed.clear()
                self._changed.wait()
                continue
            time_left = self._deadlines[0][0] - now()
            if time_left > LOOP_TIMER_DELAY_US:
                self._changed.clear()
                loop.update_now()
                self._changed.wait((time_left - LOOP_TIMER_DELAY_US) / 1e6)
            elif time_left > 0:
                gevent.sleep(0)
            else:
                heapq.heappop(self._deadlines)[2].set()
