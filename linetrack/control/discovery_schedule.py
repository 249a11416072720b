"""When discovery is called, how long a call may wait, and when it counts as failed: one budget of time.

What discovery has to tell binds an instance from a moment that the protocol names, whether or not it was
heard.  All that is decided here follows from that moment, `due`; `docs/list.md` has the table of all cases.
Owns it, the failures in a row and the lots that spread calls over the fleet.  Must never make a call.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from random import Random

from linetrack.policy.settings import Settings

MS, SECOND = 1_000, 1_000_000

# --- The protocol's own figures ------------------------------------------------------------------
SILENCE = 6 * SECOND  # what a silent call misses counts as told so long after it fell silent,
AFTER_WAIT = 2 * SECOND  # or so long after its wait is over, if that is later
# whatever failed before, a change counts so long after discovery had it and could be reached
REACH = 6 * SECOND
MOVED = 4 * SECOND  # what another discovery tells counts so long after SIGHUP
ON_WATCH = 200 * MS  # a watch goes on if called again within this

# --- This program's ------------------------------------------------------------------------------
LONG_POLL = 20 * SECOND  # the longest wait of a watch; each waits for half of it at least, by lot
OVERDUE = 300 * MS  # an answer that is late by more than this will not come: sound ones are by 2 ms at most
DIAL = 1500 * MS  # the longest dial: what is reached is reached at once
# the longest wait until an answer that is due at once has begun: calls wait in turn for up to 3 s
ANSWER = 3500 * MS
ANSWER_LEAST = 1 * SECOND  # the shortest: a call that opens a watch was seen to take up to 0.7 s
WHOLE = 1500 * MS  # from an answer's first byte to its last at first; doubles with each failure in a row
WHOLE_MOST = 3 * SECOND  # and at most: guards against a long list on a slow way that is never read to its end
STILL = SECOND // 2  # an answer that has begun and stands still for so long is cut short; doubles too
AGAIN = 1 * SECOND  # the first wait before a discovery that is down is called again; doubles
AGAIN_MOST = 2 * SECOND  # the longest: from its return on, all that REACH has left is the answer's
AGAIN_LEAST = 100 * MS  # between two calls at least, however near the moment is
# from a call that is lost to the next one at most; what REACH has left is that one's answer's
ROUND = 5 * SECOND
TRIES = 4  # the part of what is left that is waited before another try
NO_NEWS = ON_WATCH // 2  # before the next call where a watch did not wait for news


class PollFailure(Enum):
    """How a call failed."""

    TIMEOUT = "silent"  # no answer
    TRUNCATED = "cut_short"  # it has begun and stands still, or ends before it is whole
    INVALID = "faulty"  # it makes no sense, or is older than what is known
    REJECTED = "turned_away"  # discovery answers that it does not answer
    UNREACHABLE = "down"  # no connection, or it was reset


@dataclass(slots=True, frozen=True)
class Poll:
    """One call to discovery.  Times in microseconds."""

    at: int  # when it is due
    long_poll: int  # how long it waits for news; 0: it is answered at once
    limit: int  # until its answer must have begun, dial included where it is due at once
    dial: int  # of that, how long the connection may take to come up
    still: int  # how long an answer that has begun may stand still
    whole: int  # how long it may take from its first byte to its last


class DiscoverySchedule:
    """Of one instance: ask `next`, make that call at its time, say how it ended; and again, for ever."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.random = Random(seed)
        self.due: int | None = None  # from when what was not heard may bind; None: nothing is missed yet
        self.began = 0  # when the call at hand began, which may be lost from its first moment on
        self.faults = 0  # in a row
        self.again, self.at = AGAIN, 0
        self.set(settings)
        # the last call was answered: a watch from here on misses nothing.  Guards against a list from before
        # the start that binds no more, where changes come by themselves
        self.current = not self.pushed

    def set(self, settings: Settings) -> None:
        """The settings from here on."""
        self.pushed, self.grace = not settings.must_subscribe, settings.drain_grace
        self.most = max(AGAIN, min(AGAIN_MOST, settings.poll_interval // 2))

    def moved(self, now: int) -> None:
        """Another discovery is to be called, at once."""
        self.due, self.current, self.faults, self.again, self.at = now + MOVED, False, 0, AGAIN, now

    def next(self, now: int) -> Poll:
        """The call to make next; once it is made, one of `answered`, `failed` and `moved` is due."""
        at = self.began = max(now, self.at)
        fold = min(self.faults, 8)
        still, whole = min(WHOLE, STILL << fold), min(WHOLE_MOST, WHOLE << fold)
        if self.current:
            # guards against a fleet whose watches fell silent together and are all given up together
            long_poll = int(LONG_POLL * (1 + self.random.random()) / 2) // MS * MS
            self.due = at + max(SILENCE, long_poll + AFTER_WAIT)
            return Poll(at, long_poll, long_poll + OVERDUE, DIAL, still, whole)
        left = 0 if self.pushed else 2 * ANSWER if self.due is None else self.due - at
        # guards against a place in discovery's queue given up again and again
        limit = min(ANSWER, max(ANSWER_LEAST, left // 2) << fold)
        return Poll(at, 0, limit, min(DIAL, limit), still, whole)

    def answered(self, now: int, call: Poll, news: bool) -> None:
        """Its answer has come whole; whether it told anything."""
        self.due, self.current, self.faults, self.again, self.at = None, True, 0, AGAIN, now
        if call.long_poll and not news and now < call.at + call.long_poll:
            # guards against calls without pause where discovery does not wait for news
            self.at = now + NO_NEWS

    def failed(self, now: int, fault: PollFailure) -> None:
        """It has failed; what it may have missed still binds when it did.  From any moment at which discovery
        can be reached on, its list is read within `REACH`, if it answers in what `ROUND` leaves of that."""
        watched, self.current, self.faults = self.current, False, self.faults + 1
        if watched and fault is PollFailure.UNREACHABLE and (self.due or 0) > now + REACH:
            # its moment is far off, so that `REACH` is what counts.  Guards against a fleet that comes to a
            # discovery that is down or overrun as often as if its watches had fallen silent
            self.due = None
        lot = 0.5 + self.random.random()
        wait, self.again = min(AGAIN_MOST, int(self.again * lot)), min(2 * self.again, self.most)
        if self.pushed:
            # all that discovery gets binds at once, heard or not
            wait = int(lot * min(AGAIN, max(AGAIN_LEAST, self.grace // TRIES)))
        elif self.due is not None:
            left = abs(self.due - now)  # once it is over, tries grow rare again
            wait = min(wait, int(lot * max(AGAIN_LEAST, left // TRIES)))
        if not watched:
            # guards against a wait behind a call that hung: discovery may have been there all the while
            wait = min(wait, max(AGAIN_LEAST, self.began + ROUND - now))
        if self.faults == 1 and fault in (PollFailure.TIMEOUT, PollFailure.TRUNCATED, PollFailure.INVALID):
            wait = 0  # discovery is up: only this call was not
        self.at = now + wait
