"""Places for connections, in simulated time: callers of all manners, and what each of them costs."""

import random
from dataclasses import dataclass
from heapq import heappop, heappush
from itertools import count

import pytest
from hypothesis import given
from hypothesis import strategies as st

from linetrack.control import connection_slots as p
from linetrack.control.connection_slots import LONGEST, SECOND, SPANS, TERM, YOUNG, UpstreamReserve, ConnectionSlots, IdleTimeModel, ConnectionSlot, State

MS = 1000


@dataclass
class Told:
    asked: int = 0  # requests
    dialled: int = 0  # connections made
    waited: int = 0  # requests that found no place
    closed: int = 0  # by the side that serves, with the answer
    wordless: int = 0  # and without a word
    longest: int = 0  # microseconds that a caller without a place had to wait


class House:
    """Callers that hold at most `most` connections together, and a side that keeps them as `Places` says.

    An independent model of both ends: `once` callers never use a connection again and leave it open, `steady`
    ones use what they have, each with one request at a time and a gap between them.
    """

    def __init__(self, most: int, seed: int) -> None:
        self.places, self.most = ConnectionSlots(most), most
        self.chance = random.Random(seed)
        self.now, self.swept, self.order = SECOND, 0, count()
        self.open: set[ConnectionSlot] = set()
        self.told, self.runs, self.manner = Told(), 0, (0.0, 0, 0)
        self.work: list[tuple[int, int, int, str, ConnectionSlot | None, int]] = []

    def drop(self, seat: ConnectionSlot) -> None:
        self.places.closed(seat, self.now)
        self.open.discard(seat)

    def dial(self) -> ConnectionSlot | None:
        if len(self.open) >= self.most and (seat := self.places.makes_way(self.now)):
            self.drop(seat)
            self.told.wordless += 1
        if len(self.open) >= self.most:
            return None
        seat = self.places.opened(self.now)
        self.open.add(seat)
        self.told.dialled += 1
        return seat

    def later(self, after: float, what: str, seat: ConnectionSlot | None = None, began: int = 0) -> None:
        heappush(self.work, (self.now + int(after), next(self.order), self.runs, what, seat, began))

    def run(self, length: int, rate: float, steady: int, gap: int = 200 * MS, busy: int = 10 * MS) -> Told:
        """So long: `rate` callers a second ask once, `steady` ones ask for ever with about that gap.  Callers
        of earlier runs still get their answers, and then are silent."""
        self.runs, self.manner = self.runs + 1, (rate, gap, busy)
        if rate:
            self.later(0, "once")
        for _ in range(steady):
            self.later(self.chance.uniform(0, gap), "steady")
        return self.go_on(length)

    def go_on(self, length: int) -> Told:
        """So much longer, with the same callers."""
        self.told = told = Told()
        end, (rate, gap, busy) = self.now + length, self.manner
        while self.work and self.work[0][0] <= end:
            self.now, _, run, what, seat, began = heappop(self.work)
            if self.now >= self.swept + 100 * MS:
                self.swept = self.now
                while other := self.places.lets_go(self.now):
                    self.drop(other)
            if what in ("answer", "last"):
                assert seat is not None
                kept = self.places.answered(seat, self.now)
                if kept:
                    self.places.rests_now(seat, self.now)
                else:
                    told.closed += 1
                    self.drop(seat)
                if what == "answer" and run == self.runs:
                    self.later(self.chance.uniform(gap / 2, gap * 1.5), "steady", seat if kept else None)
                continue
            if run != self.runs:
                continue
            if what == "once" and not began:
                self.later(self.chance.expovariate(rate) * SECOND, "once")
            if seat is None or seat not in self.open:
                seat = self.dial()
            if seat is None:
                told.waited += not began
                self.later(5 * MS, what, None, began or self.now)
                told.longest = max(told.longest, self.now - (began or self.now))
                continue
            told.asked += 1
            self.places.asked(seat, self.now)
            self.later(busy, "answer" if what == "steady" else "last", seat)
        self.now = end
        return told


@pytest.mark.parametrize("most", [20, 128, 341])
def test_callers_that_ask_once_always_find_a_place(most: int) -> None:
    # guards against connections kept for nobody in all the places that callers may hold
    told = House(most, 1).run(20 * SECOND, rate=2.0 * most, steady=0)
    assert told.asked > 30 * most
    assert told.waited < told.asked / 50 and told.longest <= TERM
    assert told.wordless < told.asked / 50


@pytest.mark.parametrize("share", [0.3, 0.9, 1.0])
def test_steady_callers_keep_their_connections(share: float) -> None:
    house = House(128, 2)
    house.run(5 * SECOND, rate=0, steady=int(128 * share))
    told = house.go_on(20 * SECOND)
    assert told.asked > 3000 and told.closed <= told.asked / 100 and not told.waited


def test_among_those_that_ask_once_steady_ones_keep_theirs() -> None:
    house = House(128, 3)
    house.run(5 * SECOND, rate=200, steady=40)
    told = house.go_on(20 * SECOND)
    steady = told.asked - 200 * 20
    # each caller that asks once needs a connection of its own; what is more was closed on a steady one
    assert told.dialled - 200 * 20 < steady / 10 and told.waited < told.asked / 50


def test_a_change_from_one_manner_to_the_other_is_followed_in_seconds() -> None:
    house = House(128, 4)
    house.run(10 * SECOND, rate=0, steady=100)
    first = house.run(10 * SECOND, rate=400, steady=0)
    assert first.longest <= TERM + 50 * MS and first.waited < first.asked / 20
    house.run(3 * SECOND, rate=0, steady=100)
    again = house.go_on(5 * SECOND)
    assert again.closed < again.asked / 50


def test_long_gaps_are_learnt_where_places_are_free() -> None:
    # callers that come back every five seconds are kept so long once some have shown that they do
    house = House(128, 5)
    house.run(60 * SECOND, rate=0, steady=20, gap=1500 * MS)
    house.run(120 * SECOND, rate=0, steady=20, gap=3 * SECOND)
    told = house.go_on(60 * SECOND)
    assert told.dialled < told.asked / 4


def test_a_full_house_of_requests_gives_nobody_up_and_comes_back() -> None:
    house = House(64, 6)
    stalled = house.run(5 * SECOND, rate=300, steady=0, busy=4 * SECOND)
    assert stalled.asked <= 64 * 2 and not stalled.wordless
    house.run(5 * SECOND, rate=100, steady=0)
    told = house.go_on(10 * SECOND)
    assert told.waited < told.asked / 50


# --- The order of who makes way ----------------------------------------------------------------------


@given(st.lists(st.tuples(st.sampled_from(["open", "begin", "ask", "end", "close"]), st.integers(0, 30))))
def test_only_who_may_makes_way_and_the_counts_hold(steps: list[tuple[str, int]]) -> None:
    places, seats, now = ConnectionSlots(8), [], SECOND
    for what, nth in steps:
        now += nth * 97 * MS
        if what == "open":
            seats.append(places.opened(now))
        elif seats:
            seat = seats[nth % len(seats)]
            if what == "begin" and seat.state is not State.BUSY:
                places.begun(seat, now)
            elif what == "ask" and seat.state not in (State.BUSY, State.GONE):
                places.asked(seat, now)
            elif what == "end" and seat.state is State.BUSY:
                kept = places.answered(seat, now)
                (places.rests_now if kept else places.closed)(seat, now)
            elif what == "close":
                places.closed(seat, now)
        states = [seat.state for seat in seats]
        assert places.busy == states.count(State.BUSY)
        assert places.speaking == places.busy + states.count(State.RESTING)
        assert 0 <= places.trials <= 1 and sum(seat.on_trial for seat in seats) == places.trials
        out = places.makes_way(now)
        if out is not None:
            assert out.state in (State.FRESH, State.RESTING, State.HALF) and now - out.since >= YOUNG
            assert out.state is not State.RESTING or now - out.since >= TERM
            same = [seat for seat in seats if seat.state is out.state]
            assert out.since == min(seat.since for seat in same)
    for seat in seats:
        places.closed(seat, now)
        places.closed(seat, now)
    assert places.speaking == places.trials == 0 and places.makes_way(now + LONGEST) is None


def test_silent_ones_make_way_before_any_that_asked() -> None:
    places = ConnectionSlots(8)
    asked, silent, half = (places.opened(SECOND) for _ in range(3))
    places.asked(asked, SECOND)
    assert places.answered(asked, SECOND)
    places.rests_now(asked, SECOND)
    places.begun(half, SECOND)
    order = []
    while out := places.makes_way(10 * SECOND):
        order.append(out)
        places.closed(out, 10 * SECOND)
    assert order == [silent, asked, half]


def test_a_look_whether_this_side_is_ready_is_no_request() -> None:
    places = ConnectionSlots(8)
    seat = places.opened(SECOND)
    places.begun(seat, SECOND)
    places.looked(seat, SECOND)
    assert seat.state is State.FRESH and not places.speaking and places.makes_way(SECOND + YOUNG) is seat


# --- What was seen of rests --------------------------------------------------------------------------


@given(st.lists(st.tuples(st.integers(0, 60 * SECOND), st.booleans()), max_size=50), st.floats(0.001, 1000))
def test_a_rest_is_kept_within_its_limits_and_the_dearer_the_shorter(
    rests: list[tuple[int, bool]], price: float
) -> None:
    seen = IdleTimeModel((None,))
    for rested, used in rests:
        seen.ended(0, rested, used)
    cheap, chance = seen.kept(0, price, TERM, LONGEST)
    dear, _ = seen.kept(0, price * 4, TERM, LONGEST)
    assert 0 <= chance <= 1 and dear <= cheap and cheap in (0, *SPANS[SPANS.index(TERM) :])
    assert seen.kept(0, price, 0, 5 * SECOND)[0] <= 5 * SECOND


@pytest.mark.parametrize("mean", [50 * MS, 400 * MS, 3 * SECOND])
def test_the_chance_of_a_use_is_learnt_although_rests_are_cut_short(mean: int) -> None:
    # guards against taking what was closed early for what was never used
    seen, chance = IdleTimeModel((None,)), random.Random(1)
    for _ in range(20_000):
        rest = int(chance.expovariate(1 / mean))
        seen.ended(0, min(rest, TERM), rest < TERM)
    hazards = [
        u / t for u, t, end in zip(seen.uses[0], seen.time[0], SPANS, strict=True) if t and end <= TERM
    ]
    usual = sorted(hazards)[len(hazards) // 2]
    assert usual == pytest.approx(SECOND / mean, rel=0.5)


def test_the_need_of_upstreams_is_kept_free_and_given_back() -> None:
    need = UpstreamReserve()
    assert need.room(0, 344) == 344 - 344 // p.NEED_LEAST
    need.seen(SECOND, 80)
    assert need.room(SECOND, 344) == 344 - 121
    need.seen(SECOND, 300)
    assert need.room(SECOND, 344) == 172
    assert need.room(120 * SECOND, 344) == 344 - 344 // p.NEED_LEAST
