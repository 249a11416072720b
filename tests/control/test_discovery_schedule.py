"""When discovery is polled, in simulated time: no change is received after it is binding.

The model of discovery, and of when its changes are binding, is written from the protocol and shares nothing
with the schedule.
"""

import heapq
from itertools import pairwise
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from linetrack.control.discovery_schedule import DiscoverySchedule, Poll, PollFailure
from linetrack.policy.settings import Settings

MS, SECOND = 1_000, 1_000_000
DRAIN_GRACE = 300 * MS  # in which attempts to a draining endpoint must end


class SimulatedDiscovery:
    """One change of the list, and polls: answered in turn, rejected, or silent.

    All that wait at `silence_at` are never answered.  A poll that continues a watch is accepted at once,
    another one after up to `max_queue_delay`; of those, up to two in a row are rejected where
    `rejects_polls`.
    """

    def __init__(
        self, seed: int, change_at: int, silence_at: int, max_queue_delay: int, rejects_polls: bool
    ) -> None:
        self.random = Random(seed)
        self.change_at = change_at
        self.silence_at = silence_at
        self.max_queue_delay = max_queue_delay
        self.rejects_polls = rejects_polls
        self.rejections_in_a_row = 0
        self.polled_at: list[int] = []

    def play(self, schedule: DiscoverySchedule, until: int, binding_delay: int) -> tuple[int, int]:
        """Return when the change is binding and when it was received, for an instance that starts at 0.

        A change that met no waiting poll is binding `binding_delay` after it was made.
        """
        now = 0
        binding_at = self.change_at + binding_delay
        received_at = until
        is_watching = False
        while now < until:
            poll = schedule.next_poll(now)
            start = accepted_at = poll.due_at
            self.polled_at.append(start)
            if not is_watching:
                if self._rejects_next():
                    schedule.record_failure(start, PollFailure.REJECTED)
                    now = start
                    continue
                accepted_at = start + self.random.randrange(1, self.max_queue_delay)
                self.rejections_in_a_row = 0
            wait_ends = start + poll.long_poll_wait
            has_change = self.change_at <= max(accepted_at, wait_ends) and received_at == until
            answered_at = max(accepted_at, self.change_at if has_change else wait_ends)
            is_watching = not (poll.long_poll_wait and start <= self.silence_at < answered_at)
            if not is_watching:
                given_up_at = start + poll.response_timeout
                if received_at == until and self.change_at <= given_up_at:
                    binding_at = max(self.silence_at + 6 * SECOND, wait_ends + 2 * SECOND)
                now = given_up_at
                schedule.record_failure(now, PollFailure.TIMEOUT)
                continue
            now = answered_at
            if has_change:
                received_at = now
                if poll.long_poll_wait and start <= self.change_at:
                    binding_at = now  # it is binding when it is written
            schedule.record_success(now, poll, has_change)
        return binding_at, received_at

    def _rejects_next(self) -> bool:
        if self.rejects_polls and self.rejections_in_a_row < 2 and self.random.random() < 0.5:
            self.rejections_in_a_row += 1
            return True
        return False


SUBSCRIBED = Settings((), must_subscribe=True, poll_interval=10 * SECOND, drain_grace=DRAIN_GRACE)
PUSHED = Settings((), drain_grace=DRAIN_GRACE)


@settings(max_examples=200, deadline=None)
@given(st.integers(0, 10**6), st.integers(0, 60 * SECOND), st.integers(-SECOND, 20 * SECOND), st.booleans())
def test_what_a_silent_watch_missed_is_received_before_it_is_binding(
    seed: int, silence_at: int, change_after: int, pushed: bool
) -> None:
    """A silent watch is given up early enough, and the backoff behind it is short enough.

    Otherwise attempts go to endpoints that have been announced as draining (seen in the simulation
    "calm+brink", with every seed).
    """
    max_queue_delay = 5 * MS if pushed else 600 * MS
    change_at = max(0, silence_at + change_after)
    discovery = SimulatedDiscovery(seed, change_at, silence_at, max_queue_delay, rejects_polls=not pushed)
    schedule = DiscoverySchedule(PUSHED if pushed else SUBSCRIBED, seed)
    until = silence_at + 60 * SECOND
    binding_at, received_at = discovery.play(schedule, until, 0 if pushed else 10 * SECOND)
    assert received_at <= binding_at + DRAIN_GRACE


@pytest.mark.parametrize("count", [230, 1024])
def test_a_fleet_whose_watches_fall_silent_together_polls_little_and_spread_out(count: int) -> None:
    """Discovery works through polls in turn: a fleet must not poll again at one moment."""
    discovery = SimulatedDiscovery(1, 3 * SECOND, 2 * SECOND, 600 * MS, rejects_polls=False)
    for seed in range(count):
        discovery.play(DiscoverySchedule(SUBSCRIBED, seed), 30 * SECOND, 10 * SECOND)
    # one at the start, one after the silence, and long polls of ten seconds at least
    assert len(discovery.polled_at) <= 5 * count
    polls_per_second = [sum(at // SECOND == s for at in discovery.polled_at) for s in range(5, 30)]
    assert max(polls_per_second) <= count / 3


def polls_of_failing_server(
    schedule: DiscoverySchedule, failure: PollFailure, until: int, now: int = 0
) -> list[int]:
    """Return when a discovery server that fails at once is polled, until then."""
    polled_at = []
    while (poll := schedule.next_poll(now)).due_at < until:
        now = poll.due_at
        polled_at.append(now)
        schedule.record_failure(now, failure)
    return polled_at


def silent_long_poll(schedule: DiscoverySchedule) -> tuple[int, int]:
    """Play a first long poll that times out; return when it was given up, and its binding deadline."""
    poll = schedule.next_poll(0)
    assert schedule.binding_deadline is not None
    assert poll.long_poll_wait
    deadline = schedule.binding_deadline
    given_up_at = poll.response_timeout
    schedule.record_failure(given_up_at, PollFailure.TIMEOUT)
    return given_up_at, deadline


@given(st.integers(0, 10**6))
def test_a_server_that_rejects_polls_is_polled_often_only_near_the_binding_deadline(seed: int) -> None:
    schedule = DiscoverySchedule(SUBSCRIBED, seed)
    now, deadline = silent_long_poll(schedule)
    polled_at = polls_of_failing_server(schedule, PollFailure.REJECTED, deadline + 60 * SECOND, now)
    assert sum(at <= deadline for at in polled_at) >= 4
    assert sum(at <= deadline + 2 * SECOND for at in polled_at) <= 25
    late = [at for at in polled_at if at > deadline + 30 * SECOND]
    assert all(after - before >= SECOND for before, after in pairwise(late))


@given(st.integers(0, 10**6))
def test_a_server_that_is_down_is_polled_often_enough_to_find_it_up_and_no_oftener(seed: int) -> None:
    """Whatever failed before, a change is binding 6 s after discovery was reachable.

    A backoff that grew to half of the poll interval was too long.  A refused connection costs discovery
    nothing.
    """
    schedule = DiscoverySchedule(SUBSCRIBED, seed)
    poll = schedule.next_poll(0)
    schedule.binding_deadline = None
    schedule.record_failure(poll.due_at, PollFailure.UNREACHABLE)
    polled_at = [0, *polls_of_failing_server(schedule, PollFailure.UNREACHABLE, 120 * SECOND)]
    pauses = [after - before for before, after in pairwise(polled_at)]
    assert max(pauses) <= 2 * SECOND
    assert len(polled_at) < 100
    assert pauses[0] <= 1500 * MS
    assert min(pauses[10:]) >= SECOND


#: What a discovery server may do so that a poll fails.
FAILING_STATES = (
    "refuses",
    "drops connects",
    "is silent",
    "rejects",
    "sends invalid lists",
    "stalls",
    "trickles",
)


class FailingDiscovery:
    """A discovery server in one state after another, reachable for good in the end.

    Each poll meets the state of the moment at which it is made; one that is lost stays lost whatever comes.
    """

    def __init__(self, seed: int, states: list[tuple[str, int]]) -> None:
        self.random = Random(seed)
        self.states: list[tuple[int, int, str]] = []  # start, end, state
        end = 0
        for state, duration in states:
            self.states.append((end, end + duration, state))
            end += duration
        self.reachable_at = end
        self.states.append((end, end + 60 * SECOND, "answers"))

    def play(self, schedule: DiscoverySchedule) -> tuple[int, int]:
        """Return when the list was read once reachable for good, and when it is binding at the latest."""
        now = 0
        binding_at = self.reachable_at + 6 * SECOND
        watch_ends = -1  # the end of the state in which a watch is open
        while True:
            poll = schedule.next_poll(now)
            if poll.due_at < watch_ends:
                wait_ends = poll.due_at + poll.long_poll_wait
                if wait_ends < watch_ends:
                    now = wait_ends
                    schedule.record_success(now, poll, False)
                    continue
                state = next(state for start, _, state in self.states if start == watch_ends)
                if state in ("refuses", "rejects"):
                    now = watch_ends
                    schedule.record_failure(now, PollFailure.UNREACHABLE)
                else:
                    now = poll.due_at + poll.response_timeout
                    schedule.record_failure(now, PollFailure.TIMEOUT)
                    binding_at = max(binding_at, wait_ends + 2 * SECOND)
                watch_ends = -1
                continue
            watch_ends = -1
            end, state = next((end, state) for start, end, state in self.states if start <= poll.due_at < end)
            accepted_at = poll.due_at + self.random.randrange(1, 900 * MS)
            if state == "answers" and accepted_at < end:
                if poll.due_at >= self.reachable_at:
                    return accepted_at, binding_at
                now = accepted_at
                watch_ends = end
                schedule.record_success(now, poll, poll.long_poll_wait > 0)
                continue
            now, failure = self._failure(state, poll, accepted_at)
            schedule.record_failure(now, failure)

    def _failure(self, state: str, poll: Poll, accepted_at: int) -> tuple[int, PollFailure]:
        """Return when and how a poll fails."""
        start = poll.due_at
        match state:
            case "refuses":
                return start, PollFailure.UNREACHABLE
            case "drops connects":
                return start + poll.connect_timeout, PollFailure.UNREACHABLE
            case "rejects":
                return start + MS, PollFailure.REJECTED
            case "sends invalid lists":
                return accepted_at, PollFailure.INVALID
            case "stalls":
                return accepted_at + poll.stall_timeout, PollFailure.TRUNCATED
            case "trickles":
                return accepted_at + poll.transfer_timeout, PollFailure.TRUNCATED
        return start + poll.response_timeout, PollFailure.TIMEOUT


STATES = st.tuples(st.sampled_from((*FAILING_STATES, "answers")), st.integers(MS, 40 * SECOND))


@pytest.mark.parametrize("last_state", FAILING_STATES)
@settings(max_examples=150, deadline=None)
@given(
    seed=st.integers(0, 10**6),
    states=st.lists(STATES, max_size=3),
    duration=st.integers(10 * SECOND, 60 * SECOND),
    pushed=st.booleans(),
)
def test_whatever_failed_before_the_list_is_read_in_time_once_discovery_is_reachable(
    last_state: str, seed: int, states: list[tuple[str, int]], duration: int, pushed: bool
) -> None:
    """Timeouts and pauses that are each bounded do not together outlast the 6 s since it is reachable."""
    states = [("refuses", MS), *states, (last_state, duration)]
    states = [s for n, s in enumerate(states) if n == 0 or s[0] != states[n - 1][0]]
    schedule = DiscoverySchedule(PUSHED if pushed else SUBSCRIBED, seed)
    read_at, binding_at = FailingDiscovery(seed, states).play(schedule)
    assert read_at <= binding_at


@given(st.integers(0, 10**6))
def test_where_updates_are_pushed_a_server_that_was_down_is_polled_within_the_drain_grace(seed: int) -> None:
    """What it gets at its return is binding at once, whether or not a watch is open."""
    schedule = DiscoverySchedule(PUSHED, seed)
    polled_at = polls_of_failing_server(schedule, PollFailure.UNREACHABLE, 20 * SECOND)
    assert max(after - before for before, after in pairwise(polled_at)) <= DRAIN_GRACE


@given(st.integers(0, 10**6), st.integers(0, 30 * SECOND))
def test_another_server_is_polled_at_once_and_again_before_its_list_is_binding(seed: int, at: int) -> None:
    """Neither the previous backoff nor rejections by the new server outlast the 4 s after SIGHUP."""
    schedule = DiscoverySchedule(SUBSCRIBED, seed)
    polls_of_failing_server(schedule, PollFailure.UNREACHABLE, at)
    schedule.switch_server(at)
    polled_at = polls_of_failing_server(schedule, PollFailure.REJECTED, at + 4 * SECOND, at)
    assert polled_at[0] == at
    assert len(polled_at) >= 5


@pytest.mark.parametrize(
    ("work", "max_queue_delay"), [(20 * MS, 3 * SECOND), (39 * MS, 3 * SECOND), (39 * MS, SECOND)]
)
@pytest.mark.parametrize("downtime", [300 * MS, 8 * SECOND, 60 * SECOND])
def test_a_server_that_returns_loses_no_work_to_a_fleet_that_waited_for_it(
    work: int, max_queue_delay: int, downtime: int
) -> None:
    """Discovery works through polls in turn and rejects at once what would wait too long.

    A fleet of 230 must not give up its positions in that queue, nor poll so seldom that the queue runs empty.
    """
    fleet = [DiscoverySchedule(SUBSCRIBED, seed) for seed in range(230)]
    down_at = 20 * SECOND
    random = Random(work)
    failures: list[tuple[int, int, PollFailure]] = []  # when each poll fails; watches of every age at first
    for n, schedule in enumerate(fleet):
        schedule.next_poll(random.randrange(down_at - 10 * SECOND, down_at))
        heapq.heappush(failures, (down_at, n, PollFailure.UNREACHABLE))
    up_at = down_at + downtime
    polls_per_second = [0] * 100
    idle_at = up_at
    read_at = []
    while failures:
        now, n, failure = heapq.heappop(failures)
        fleet[n].record_failure(now, failure)
        poll = fleet[n].next_poll(now)
        polls_per_second[poll.due_at // SECOND] += 1
        done_at = max(idle_at, poll.due_at) + work
        if poll.due_at < up_at:
            heapq.heappush(failures, (poll.due_at, n, PollFailure.UNREACHABLE))
        elif done_at - poll.due_at > max_queue_delay:
            heapq.heappush(failures, (poll.due_at, n, PollFailure.REJECTED))
        else:
            idle_at = done_at
            assert done_at <= poll.due_at + poll.response_timeout, "a position in the queue was given up"
            read_at.append(done_at)
    assert max(read_at) - up_at <= len(fleet) * work + 2 * SECOND
    # refused while it is down, and rejected at its return
    assert max(polls_per_second) <= 2 * len(fleet)
    assert max(polls_per_second[30:]) <= 0.9 * len(fleet)


def test_the_poll_after_a_failure_is_immediate_and_a_long_poll_follows_it() -> None:
    schedule = DiscoverySchedule(SUBSCRIBED, 1)
    now, _ = silent_long_poll(schedule)
    immediate = schedule.next_poll(now)
    assert immediate.long_poll_wait == 0
    assert immediate.due_at == now
    schedule.record_success(now + MS, immediate, False)
    following = schedule.next_poll(now + MS)
    assert isinstance(following, Poll)
    assert following.long_poll_wait
    assert following.due_at - now <= 200 * MS
