"""When discovery is called, in simulated time: nothing that counts as told is heard too late.

The model of discovery and of when its news binds is written from the protocol, apart from what is tested.
"""

import heapq
from itertools import pairwise
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from linetrack.control.discovery_schedule import Poll, DiscoverySchedule, PollFailure
from linetrack.policy.settings import Settings

MS, SECOND = 1_000, 1_000_000
GRACE = 300 * MS  # in which sends to one that drains must end


class Discovery:
    """One change of the list, and calls to it: answered in turn, turned away, or silent.

    All that wait at `silence` are never answered.  A call that goes on a watch is taken at once, another one
    after up to `slow`; of those, up to two in a row are turned away where `turns_away`.
    """

    def __init__(self, seed: int, change: int, silence: int, slow: int, turns_away: bool) -> None:
        self.random, self.change, self.silence, self.slow = Random(seed), change, silence, slow
        self.turns_away, self.turned = turns_away, 0
        self.made: list[int] = []  # when each call was made

    def play(self, schedule: DiscoverySchedule, until: int, least: int) -> tuple[int, int]:
        """When the change counts as told and when it was heard, for an instance that starts at 0.  One that
        met no waiting call counts `least` after it was made."""
        now, told, heard, on_watch = 0, self.change + least, until, False
        while now < until:
            poll = schedule.next_poll(now)
            start = taken = poll.due_at
            self.made.append(start)
            if not on_watch:
                if self.turns_away and self.turned < 2 and self.random.random() < 0.5:
                    self.turned += 1
                    schedule.record_failure(start, PollFailure.REJECTED)
                    now = start
                    continue
                taken, self.turned = start + self.random.randrange(1, self.slow), 0
            news = self.change <= max(taken, start + poll.long_poll_wait) and heard == until
            answered = max(taken, self.change if news else start + poll.long_poll_wait)
            on_watch = not (poll.long_poll_wait and start <= self.silence < answered)
            if not on_watch:
                if heard == until and self.change <= start + poll.response_timeout:
                    told = max(self.silence + 6 * SECOND, start + poll.long_poll_wait + 2 * SECOND)
                now = start + poll.response_timeout
                schedule.record_failure(now, PollFailure.TIMEOUT)
                continue
            now = answered
            if news:
                heard = now
                if poll.long_poll_wait and start <= self.change:
                    told = now  # it counts when it is written
            schedule.record_success(now, poll, news)
        return told, heard


ASKED = Settings((), must_subscribe=True, poll_interval=10 * SECOND, drain_grace=GRACE)
PUSHED = Settings((), drain_grace=GRACE)


@settings(max_examples=200, deadline=None)
@given(st.integers(0, 10**6), st.integers(0, 60 * SECOND), st.integers(-SECOND, 20 * SECOND), st.booleans())
def test_what_a_silent_watch_missed_is_heard_before_it_binds(
    seed: int, silence: int, after: int, pushed: bool
) -> None:
    """Guards against a silent watch given up so late, and followed by a back-off so long, that servers which
    had been announced as leaving were still sent to (days calm+brink, every seed)."""
    slow = 5 * MS if pushed else 600 * MS
    discovery = Discovery(seed, max(0, silence + after), silence, slow, turns_away=not pushed)
    schedule = DiscoverySchedule(PUSHED if pushed else ASKED, seed)
    until = silence + 60 * SECOND
    told, heard = discovery.play(schedule, until, 0 if pushed else 10 * SECOND)
    assert heard <= told + GRACE


@pytest.mark.parametrize("count", [230, 1024])
def test_a_fleet_whose_watches_fall_silent_together_calls_little_and_spread(count: int) -> None:
    """Guards against all of a fleet calling again at one moment: discovery works through calls in turn."""
    discovery = Discovery(1, 3 * SECOND, 2 * SECOND, 600 * MS, turns_away=False)
    for n in range(count):
        discovery.play(DiscoverySchedule(ASKED, n), 30 * SECOND, 10 * SECOND)
    # one at the start, one after the silence, and watches of ten seconds at least
    assert len(discovery.made) <= 5 * count
    seconds = [sum(at // SECOND == s for at in discovery.made) for s in range(5, 30)]
    assert max(seconds) <= count / 3


def failing(schedule: DiscoverySchedule, fault: PollFailure, until: int, now: int = 0) -> list[int]:
    """When it calls a discovery that fails at once, until then."""
    at = []
    while (poll := schedule.next_poll(now)).at < until:
        now = poll.due_at
        at.append(now)
        schedule.record_failure(now, fault)
    return at


def silent(schedule: DiscoverySchedule) -> tuple[int, int]:
    """A first watch that says nothing: when it was given up, and when what it missed binds."""
    poll = schedule.next_poll(0)
    assert schedule.binding_deadline is not None and poll.long_poll_wait
    due, now = schedule.binding_deadline, poll.response_timeout
    schedule.record_failure(now, PollFailure.TIMEOUT)
    return now, due


@given(st.integers(0, 10**6))
def test_a_discovery_that_turns_calls_away_is_tried_often_only_near_the_moment(seed: int) -> None:
    schedule = DiscoverySchedule(ASKED, seed)
    now, due = silent(schedule)
    tries = failing(schedule, PollFailure.REJECTED, due + 60 * SECOND, now)
    assert sum(at <= due for at in tries) >= 4
    assert sum(at <= due + 2 * SECOND for at in tries) <= 25
    late = [at for at in tries if at > due + 30 * SECOND]
    assert all(after - before >= SECOND for before, after in pairwise(late))


@given(st.integers(0, 10**6))
def test_a_discovery_that_is_down_is_called_often_enough_to_be_met_and_no_oftener(seed: int) -> None:
    """Whatever failed before, a change counts 6 s after discovery could be reached: waits that grew to half
    of `ask_every` were too long.  A refused call costs discovery nothing."""
    schedule = DiscoverySchedule(ASKED, seed)
    poll = schedule.next_poll(0)
    schedule.binding_deadline = None
    schedule.record_failure(poll.due_at, PollFailure.UNREACHABLE)
    tries = [0, *failing(schedule, PollFailure.UNREACHABLE, 120 * SECOND)]
    waits = [after - before for before, after in pairwise(tries)]
    assert max(waits) <= 2 * SECOND and len(tries) < 100
    assert waits[0] <= 1500 * MS and min(waits[10:]) >= SECOND


#: How a call may fail, and what of a discovery makes it so.
WAYS = ("refuses", "cannot be dialled", "is silent", "turns away", "spoils", "cuts short", "drips")


class Troubled:
    """A discovery in one state after another, reached for good in the end; each call meets the state of the
    moment at which it is made, and one that is lost is lost whatever comes."""

    def __init__(self, seed: int, states: list[tuple[str, int]]) -> None:
        self.random, self.states, end = Random(seed), [], 0
        for state, lasts in states:
            self.states.append((end, end + lasts, state))
            end += lasts
        self.reached = end
        self.states.append((end, end + 60 * SECOND, "answers"))

    def play(self, schedule: DiscoverySchedule) -> tuple[int, int]:
        """When the first answer after it could be reached for good was read, and when it binds at the
        latest."""
        now, binds, watched = 0, self.reached + 6 * SECOND, -1  # the last: the end of a watch's state
        while True:
            poll = schedule.next_poll(now)
            if poll.due_at < watched:
                quiet = poll.due_at + poll.long_poll_wait
                if quiet < watched:
                    now = quiet
                    schedule.record_success(now, poll, False)
                    continue
                state = next(s[2] for s in self.states if s[0] == watched)
                if state in ("refuses", "turns away"):
                    now = watched
                    schedule.record_failure(now, PollFailure.UNREACHABLE)
                else:
                    now = poll.due_at + poll.response_timeout
                    schedule.record_failure(now, PollFailure.TIMEOUT)
                    binds = max(binds, quiet + 2 * SECOND)
                watched = -1
                continue
            watched = -1
            _, end, state = next(s for s in self.states if s[0] <= poll.due_at < s[1])
            taken = poll.due_at + self.random.randrange(1, 900 * MS)
            if state == "answers" and taken < end:
                if poll.due_at >= self.reached:
                    return taken, binds
                now, watched = taken, end
                schedule.record_success(now, poll, poll.long_poll_wait > 0)
                continue
            now, fault = {
                "refuses": (poll.due_at, PollFailure.UNREACHABLE),
                "cannot be dialled": (poll.due_at + poll.connect_timeout, PollFailure.UNREACHABLE),
                "turns away": (poll.due_at + MS, PollFailure.REJECTED),
                "spoils": (taken, PollFailure.INVALID),
                "cuts short": (taken + poll.stall_timeout, PollFailure.TRUNCATED),
                "drips": (taken + poll.transfer_timeout, PollFailure.TRUNCATED),
            }.get(state, (poll.due_at + poll.response_timeout, PollFailure.TIMEOUT))
            schedule.record_failure(now, fault)


STATES = st.tuples(st.sampled_from((*WAYS, "answers")), st.integers(MS, 40 * SECOND))


@pytest.mark.parametrize("last", WAYS)
@settings(max_examples=150, deadline=None)
@given(
    seed=st.integers(0, 10**6),
    states=st.lists(STATES, max_size=3),
    lasts=st.integers(10 * SECOND, 60 * SECOND),
    pushed=st.booleans(),
)
def test_whatever_failed_before_the_list_is_read_in_time_once_discovery_can_be_reached(
    last: str, seed: int, states: list[tuple[str, int]], lasts: int, pushed: bool
) -> None:
    """Guards against waits and limits that, each bounded, together outlast the 6 s from the moment at which
    discovery could be reached: a dial of 5 s, a call that hangs for 5 s, a wait of half of `ask_every`."""
    states = [("refuses", MS), *states, (last, lasts)]
    states = [s for n, s in enumerate(states) if n == 0 or s[0] != states[n - 1][0]]
    read, binds = Troubled(seed, states).play(DiscoverySchedule(PUSHED if pushed else ASKED, seed))
    assert read <= binds


@given(st.integers(0, 10**6))
def test_where_lists_are_pushed_a_discovery_that_was_down_is_met_within_the_grace(seed: int) -> None:
    """What it gets at its return counts at once, whether or not a watch is open."""
    schedule = DiscoverySchedule(PUSHED, seed)
    tries = failing(schedule, PollFailure.UNREACHABLE, 20 * SECOND)
    assert max(after - before for before, after in pairwise(tries)) <= GRACE


@given(st.integers(0, 10**6), st.integers(0, 30 * SECOND))
def test_another_discovery_is_called_at_once_and_again_before_its_news_counts(seed: int, at: int) -> None:
    """Guards against the back-off of the old discovery, and against three refusals of the new one that
    outlast the four seconds after SIGHUP."""
    schedule = DiscoverySchedule(ASKED, seed)
    failing(schedule, PollFailure.UNREACHABLE, at)
    schedule.switch_server(at)
    tries = failing(schedule, PollFailure.REJECTED, at + 4 * SECOND, at)
    assert tries[0] == at and len(tries) >= 5


@pytest.mark.parametrize(
    ("work", "most_wait"), [(20 * MS, 3 * SECOND), (39 * MS, 3 * SECOND), (39 * MS, SECOND)]
)
@pytest.mark.parametrize("down", [300 * MS, 8 * SECOND, 60 * SECOND])
def test_a_discovery_that_returns_loses_no_work_to_a_fleet_that_waited_for_it(
    work: int, most_wait: int, down: int
) -> None:
    """Discovery works through calls in turn and turns away at once what would wait too long.  Guards against
    a fleet of 230 that gives up its places in that queue, or comes so seldom that the queue runs empty."""
    fleet, began, random = [DiscoverySchedule(ASKED, n) for n in range(230)], 20 * SECOND, Random(work)
    ends: list[tuple[int, int, PollFailure]] = []  # when each call fails; watches of every age at first
    for n, schedule in enumerate(fleet):
        schedule.next_poll(random.randrange(began - 10 * SECOND, began))
        heapq.heappush(ends, (began, n, PollFailure.UNREACHABLE))
    down += began
    made, free, read = [0] * 100, down, []
    while ends:
        now, n, fault = heapq.heappop(ends)
        fleet[n].record_failure(now, fault)
        poll = fleet[n].next_poll(now)
        made[poll.due_at // SECOND] += 1
        if poll.due_at < down:
            heapq.heappush(ends, (poll.due_at, n, PollFailure.UNREACHABLE))
        elif max(free, poll.due_at) + work - poll.due_at > most_wait:
            heapq.heappush(ends, (poll.due_at, n, PollFailure.REJECTED))
        else:
            free = max(free, poll.due_at) + work
            assert free <= poll.due_at + poll.response_timeout, "a place in the queue was given up"
            read.append(free)
    assert max(read) - down <= len(fleet) * work + 2 * SECOND
    # refused while it is down, and turned away at its return
    assert max(made) <= 2 * len(fleet) and max(made[30:]) <= 0.9 * len(fleet)


def test_a_call_after_a_failure_is_answered_at_once_and_a_watch_comes_behind_it() -> None:
    schedule = DiscoverySchedule(ASKED, 1)
    now, _ = silent(schedule)
    prompt = schedule.next_poll(now)
    assert prompt.long_poll_wait == 0 and prompt.due_at == now
    schedule.record_success(now + MS, prompt, False)
    watch = schedule.next_poll(now + MS)
    assert isinstance(watch, Poll) and watch.long_poll_wait and watch.due_at - now <= 200 * MS
