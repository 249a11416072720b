"""Places for connections: which are kept after an answer and for how long, and who makes way.

Owns what was seen of connections that rest between two uses, and the order in which those that hold a place
would give it up.  Must never touch a socket or read a clock: a host tells what happens and when (integer
microseconds, never going back), and does what it is told.  Nothing here belongs to one protocol.

A kept connection saves a new one if it is used again, and costs a place while it rests.  What resting
connections did before says how likely the next use is by the time it has rested; a price on a second of
a place says what that is worth.  The price is made by demand: new connections come for the places that are
held, and the fewer are free the more each counts.  A connection is kept with the answer if it is then likely
to be used for more than its place costs, or else closed with the answer, which crosses with nothing.  Once it
may be closed without a word it stays for as long as the next second of its place is worth the price of then.

Constant time each: every call here, but for `kept`, which looks at a fixed number of spans.
"""

from __future__ import annotations

import math
from bisect import bisect_right
from collections import OrderedDict
from enum import Enum

SECOND = 1_000_000
#: Ends of the spans of a rest, in microseconds; a rest is kept to the end of one of them or not at all.
SPANS = tuple(1000 * ms for ms in (10, 30, 100, 300, 1000, 2000, 4000, 8000, 16000, 30000))
FEW = (2, 4, 8)  # uses of a connection from which on it is counted with those that had more
OWED_FOR = 2 * SECOND  # in which the return of one that was closed is forgotten to 1/e
OLD = 2 * SECOND  # age from which on it is counted with the old ones
MEMORY = 128  # rests after which an older one counts 1/e
GUESS = 4.0  # rests' worth of evidence that stand for what has not been seen yet
FIRST = 4.0  # uses a second of rest, where nothing at all has been seen
FADES = 0.5  # of one span's rate of use, taken to hold in the next for so long as nothing is known of it
RENEW = 64  # rests after which rates are worked out anew
FLOOR = 1 / 60  # the least price: a reconnect is worth a place for a minute
FREE = 0.5  # share of the places in use up to which a place costs no more than that
SPARE = 0.1  # share of the places that is left for those who come


class IdleTimeModel:
    """What connections did that were kept: for each group and span, how many were used and for how long they
    rested.  A group is a number that a host chooses; `Rests` holds one row of spans for each, and takes the
    rates of its parent (a group of a smaller number, or None) for what it has not seen itself.

    Time in a span counts whether the rest ended in a use or was cut short, so rests that were ended early
    bias nothing (the usual estimate of a hazard from censored lifetimes)."""

    def __init__(self, parents: tuple[int | None, ...]) -> None:
        self.parents = parents
        self.uses = [[0.0] * len(SPANS) for _ in parents]
        self.time = [[0.0] * len(SPANS) for _ in parents]  # seconds
        self.count = 0
        self.rows: list[list[float]] = []

    def ended(self, group: int, rested: int, used: bool) -> None:
        """A rest of so many microseconds ended, in a use or not."""
        uses, time, keep = self.uses[group], self.time[group], 1 - 1 / MEMORY
        last = min(bisect_right(SPANS, rested), len(SPANS) - 1)
        begin = 0
        for span in range(last + 1):
            # only spans that the rest reached learn from it: news of the first say nothing of the last
            uses[span] *= keep
            time[span] = time[span] * keep + max(0, min(rested, SPANS[span]) - begin) / SECOND
            begin = SPANS[span]
        if used:
            uses[last] += 1
        self.count += 1

    def rates(self) -> list[list[float]]:
        """Uses a second of rest, by group and span."""
        if not self.rows or self.count >= RENEW:
            self.rows, self.count = [], 0
            for parent, uses, time in zip(self.parents, self.uses, self.time, strict=True):
                row, begin, rate = [], 0, FIRST / FADES
                for span, end in enumerate(SPANS):
                    guess = FADES * rate if parent is None else self.rows[parent][span]
                    weight = GUESS * (end - begin) / SECOND
                    rate, begin = (uses[span] + weight * guess) / (time[span] + weight), end
                    row.append(rate)
                self.rows.append(row)
        return self.rows

    def kept(self, group: int, price: float, least: int, most: int) -> tuple[int, float]:
        """For how long a rest that begins now is worth its place, and the chance that it is used within that
        time (within `least`, where it is worth none).

        `price` is in uses for a second of a place; times are microseconds, of which `least` is the shortest
        that can be kept at all and `most` the longest.
        """
        alive, net, best, until, begin = 1.0, 0.0, 0.0, 0, 0
        chance = within = 0.0
        for rate, span in zip(self.rates()[group], SPANS, strict=True):
            end = min(span, most)
            if end <= begin:
                break
            width = (end - begin) / SECOND
            left = alive * math.exp(-rate * width)
            net += alive - left - price * (alive + left) / 2 * width
            alive, begin = left, end
            if end <= least:
                within = 1 - alive
            if end >= min(least, most) and net > best:
                best, until, chance = net, end, 1 - alive
        return until, chance if until else within


def slot_price(held: int, most: int, rate: float) -> float:
    """What a second of a place is worth, in new connections, of which `rate` come a second."""
    share = held / most
    if share <= FREE:
        return FLOOR
    return FLOOR + max(0.0, rate) / most * (share - FREE) / max(1 - SPARE - share, 1 / most)


class DecayingRate:
    """How many a second, over about the last second."""

    def __init__(self) -> None:
        self.value, self.at = 0.0, 0

    def of(self, now: int) -> float:
        if now > self.at:
            self.value *= math.exp((self.at - now) / SECOND)
            self.at = now
        return self.value

    def add(self, now: int, count: float = 1.0) -> None:
        self.value = self.of(now) + count


class Demand:
    """New connections a second that come for a place of their own: not those that come back only because they
    were closed, or closing would call for more closing."""

    def __init__(self) -> None:
        self.rate, self.owed, self.at = DecayingRate(), 0.0, 0

    def _settle(self, now: int) -> None:
        if now > self.at:
            self.owed *= math.exp((self.at - now) / OWED_FOR)
            self.at = now

    def closed(self, now: int, chance: float) -> None:
        """One was closed that would have been used with that chance."""
        self._settle(now)
        self.owed += chance

    def came(self, now: int) -> None:
        self._settle(now)
        paid = min(1.0, self.owed)
        self.owed -= paid
        self.rate.add(now, 1.0 - paid)


class UpstreamReserve:
    """How many connections upstreams need at once, lately: the rest of the descriptors may be callers'."""

    def __init__(self) -> None:
        self.peak, self.at = 0.0, 0

    def seen(self, now: int, held: int) -> None:
        self.peak, self.at = max(held, self._now(now)), max(now, self.at)

    def _now(self, now: int) -> float:
        return self.peak * math.exp((self.at - now) / NEED_OVER) if now > self.at else self.peak

    def room(self, now: int, most: int) -> int:
        """Of `most` descriptors, those that callers may hold."""
        kept = max(most // NEED_LEAST, int(self._now(now) * NEED_SPARE) + 1)
        return max(most - kept, most // 2)


class State(Enum):
    FRESH = "never asked"
    HALF = "part of a request has come"
    BUSY = "in a request"
    RESTING = "between requests"
    GONE = "closed"


class ConnectionSlot:
    """One connection's place; made by `Places.opened` and changed by it alone."""

    __slots__ = ("on_trial", "opened", "queue", "served", "since", "state")

    def __init__(self, now: int) -> None:
        self.opened = self.since = now
        self.state = State.FRESH
        self.served = 0  # uses so far
        self.on_trial = False  # kept only to see what it does
        self.queue: OrderedDict[ConnectionSlot, None] | None = None  # of those that are as it is, in order of time

    def group(self, now: int) -> int:
        return bisect_right(FEW, self.served) * 2 + (now - self.opened >= OLD)


#: By uses, then age: of what an old one does the young ones of as many uses tell, of those the ones of fewer.
GROUPS = (None, 0, *(n - 2 if n % 2 == 0 else n - 1 for n in range(2, (len(FEW) + 1) * 2)))
TRIAL_SHARE = 16  # one place of so many is for connections kept on trial
TERM = 2 * SECOND  # a resting connection may be closed without a word after so long, and not before
YOUNG = SECOND // 20  # the same for one that never asked: its first request may well be on its way
HALF_TERM = SECOND  # the same for one whose request stands still half-way
LONGEST = SPANS[-1]  # no rest is longer
NEED_OVER = 10 * SECOND  # in which the need of upstreams is forgotten to 1/e
NEED_SPARE = 1.5  # times that need is kept free for them
NEED_LEAST = 4  # and at least one descriptor in so many


class ConnectionSlots:
    """Who holds a place among callers' connections.

    `most` is how many of them may be open for requests before callers find none, as the configuration tells.
    """

    def __init__(self, most: int) -> None:
        self.most = most
        self.rests = IdleTimeModel(GROUPS)
        # in the order in which they came to be so; those that rest, by group
        self.fresh: OrderedDict[ConnectionSlot, None] = OrderedDict()
        self.half: OrderedDict[ConnectionSlot, None] = OrderedDict()
        self.resting: tuple[OrderedDict[ConnectionSlot, None], ...] = tuple(OrderedDict() for _ in GROUPS)
        self.busy = self.speaking = 0  # in a request; and with those that rest
        self.trials = 0
        self.demand = Demand()

    # --- What happens --------------------------------------------------------------------------------
    def opened(self, now: int) -> ConnectionSlot:
        seat = ConnectionSlot(now)
        seat.queue = self.fresh
        self.fresh[seat] = None
        return seat

    def begun(self, seat: ConnectionSlot, now: int) -> None:
        """The first part of a request has come; told again for each part, which changes nothing."""
        if seat.state in (State.FRESH, State.RESTING):
            self._rested(seat, now, True)
            self._move(seat, State.HALF, now)

    def asked(self, seat: ConnectionSlot, now: int) -> None:
        """A request is whole."""
        if seat.state is State.RESTING:
            self._rested(seat, now, True)
        if seat.state is not State.BUSY and seat.state is not State.GONE:
            self._move(seat, State.BUSY, now)
            if not seat.served:
                self.demand.came(now)
            seat.served += 1

    def answered(self, seat: ConnectionSlot, now: int) -> bool:
        """The request's answer is about to go: whether its connection is kept, or closed with the answer."""
        if self.speaking <= self.most * FREE:
            return True  # nobody needs the place
        kept, chance = self.rests.kept(seat.group(now), self.price(now), TERM, TERM)
        if kept:
            return True
        if self.trials < max(1, self.most // TRIAL_SHARE) and self.speaking < self.most:
            # guards against never hearing of callers that have begun to come back
            seat.on_trial = True
            self.trials += 1
            return True
        self.demand.closed(now, chance)
        return False

    def rests_now(self, seat: ConnectionSlot, now: int) -> None:
        """The answer has gone and the connection stays."""
        self._move(seat, State.RESTING, now)

    def looked(self, seat: ConnectionSlot, now: int) -> None:
        """What was asked was no request for upstreams, but a look whether this side is ready."""
        if seat.state is State.HALF:
            self._move(seat, State.RESTING if seat.served else State.FRESH, now)

    def closed(self, seat: ConnectionSlot, now: int) -> None:
        """Whoever ended it; a second time changes nothing."""
        if seat.state is not State.GONE:
            self._rested(seat, now, False)
            self._move(seat, State.GONE, now)

    # --- What is decided -----------------------------------------------------------------------------
    def price(self, now: int) -> float:
        return slot_price(self.speaking, self.most, self.demand.rate.of(now))

    def makes_way(self, now: int) -> ConnectionSlot | None:
        """Who is to be closed for a new connection: whoever never asked, then who rests longest, then whose
        request stands still; None where nobody may be yet.  The host closes it, or tells what it did."""
        return (
            _ripe(self.fresh, now, YOUNG)
            or self._least_used(now, math.inf)
            or _ripe(self.half, now, HALF_TERM)
        )

    def lets_go(self, now: int) -> ConnectionSlot | None:
        """Who rests and is no longer worth its place; the host closes it, or tells what it did."""
        return self._least_used(now, self.price(now))

    # --- Within --------------------------------------------------------------------------------------
    def _move(self, seat: ConnectionSlot, state: State, now: int) -> None:
        """Several times a request, so each step is looked up once."""
        queue = seat.queue
        if queue is not None:
            del queue[seat]
        if seat.state is State.BUSY or seat.state is State.RESTING:
            self.speaking -= 1
            self.busy -= seat.state is State.BUSY
        if state is State.BUSY:
            queue = None
            self.busy += 1
            self.speaking += 1
        elif state is State.RESTING:
            queue = self.resting[seat.group(now)]
            self.speaking += 1
        elif state is State.HALF:
            queue = self.half
        else:
            queue = self.fresh if state is State.FRESH else None
        if queue is not None:
            queue[seat] = None
        seat.queue, seat.state, seat.since = queue, state, now

    def _rested(self, seat: ConnectionSlot, now: int, used: bool) -> None:
        if seat.state is State.RESTING:
            self.rests.ended(seat.group(seat.since), now - seat.since, used)
        if seat.on_trial:
            seat.on_trial = False
            self.trials -= 1

    def _least_used(self, now: int, most: float) -> ConnectionSlot | None:
        """Of those that have rested for the term, the least likely to be used by now, if it is used less than
        `most` times a second; one that rests for the longest time has had its day."""
        rates, least, found = self.rests.rates(), most, None
        for group, seats in enumerate(self.resting):
            if seat := _ripe(seats, now, TERM):
                rested = now - seat.since
                rate = rates[group][bisect_right(SPANS, rested)] if rested < LONGEST else 0.0
                if rate < least:
                    least, found = rate, seat
        return found


def _ripe(seats: OrderedDict[ConnectionSlot, None], now: int, term: int) -> ConnectionSlot | None:
    """The first of them, if it has been so for that long."""
    first = next(iter(seats), None)
    return first if first is not None and now - first.since >= term else None
