"""The schedule of discovery polls in simulated time: each change is received before it is binding.

The model of discovery, and of when its changes are binding, follows the protocol and shares no code with the
schedule.
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
DRAIN_GRACE = 300 * MS  # the time in which attempts to a draining endpoint must end


class SimulatedDiscovery:
    """A discovery server with one change of its list, which answers, rejects or never answers a poll.

    A poll that waits at `silence_at` is never answered.  A poll that continues a watch is accepted at once,
    any other poll after up to `max_queue_delay`.  With `rejects_polls`, up to two of the latter in a row are
    rejected.
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

        A change that no poll waited for is binding `binding_delay` after it was made.
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
            wait_ends_at = start + poll.long_poll_wait
            has_change = self.change_at <= max(accepted_at, wait_ends_at) and received_at == until
            answered_at = max(accepted_at, self.change_at if has_change else wait_ends_at)
            is_watching = not (poll.long_poll_wait and start <= self.silence_at < answered_at)
            if not is_watching:
                timed_out_at = start + poll.response_timeout
                if received_at == until and self.change_at <= timed_out_at:
                    binding_at = max(self.silence_at + 6 * SECOND, wait_ends_at + 2 * SECOND)
                now = timed_out_at
                schedule.record_failure(now, PollFailure.TIMEOUT)
                continue
            now = answered_at
            if has_change:
                received_at = now
                if poll.long_poll_wait and start <= self.change_at:
                    binding_at = now  # a change that is sent to a waiting poll is binding when it is sent
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
def test_a_change_that_a_silent_watch_missed_is_received_before_it_is_binding(
    seed: int, silence_at: int, change_after: int, pushed: bool
) -> None:
    """A silent watch must time out early enough, and the backoff after it must be short enough.

    Otherwise attempts are sent to endpoints that have been announced as draining (the simulation "calm+brink"
    showed this with every seed).
    """
    max_queue_delay = 5 * MS if pushed else 600 * MS
    change_at = max(0, silence_at + change_after)
    discovery = SimulatedDiscovery(seed, change_at, silence_at, max_queue_delay, rejects_polls=not pushed)
    schedule = DiscoverySchedule(PUSHED if pushed else SUBSCRIBED, seed)
    until = silence_at + 60 * SECOND
    binding_at, received_at = discovery.play(schedule, until, 0 if pushed else 10 * SECOND)
    assert received_at <= binding_at + DRAIN_GRACE


@pytest.mark.parametrize("count", [230, 1024])
def test_after_silent_watches_the_polls_of_a_fleet_are_few_and_spread_over_time(count: int) -> None:
    """Discovery handles polls one after another, so a fleet must not repeat its polls at the same time."""
    discovery = SimulatedDiscovery(1, 3 * SECOND, 2 * SECOND, 600 * MS, rejects_polls=False)
    for seed in range(count):
        discovery.play(DiscoverySchedule(SUBSCRIBED, seed), 30 * SECOND, 10 * SECOND)
    # one poll at the start, one after the silence, and long polls of at least ten seconds
    assert len(discovery.polled_at) <= 5 * count
    polls_per_second = [
        sum(polled_at // SECOND == second for polled_at in discovery.polled_at) for second in range(5, 30)
    ]
    assert max(polls_per_second) <= count / 3


def polls_of_failing_server(
    schedule: DiscoverySchedule, failure: PollFailure, until: int, now: int = 0
) -> list[int]:
    """Return the times until `until` at which a discovery server is polled that fails every poll at once."""
    polled_at = []
    while (poll := schedule.next_poll(now)).due_at < until:
        now = poll.due_at
        polled_at.append(now)
        schedule.record_failure(now, failure)
    return polled_at


def silent_long_poll(schedule: DiscoverySchedule) -> tuple[int, int]:
    """Let the first long poll time out; return the time of the timeout, and the binding deadline."""
    poll = schedule.next_poll(0)
    assert schedule.binding_deadline is not None
    assert poll.long_poll_wait
    deadline = schedule.binding_deadline
    timed_out_at = poll.response_timeout
    schedule.record_failure(timed_out_at, PollFailure.TIMEOUT)
    return timed_out_at, deadline


@given(st.integers(0, 10**6))
def test_a_server_that_rejects_polls_is_polled_often_only_near_the_binding_deadline(seed: int) -> None:
    schedule = DiscoverySchedule(SUBSCRIBED, seed)
    now, deadline = silent_long_poll(schedule)
    polled_at = polls_of_failing_server(schedule, PollFailure.REJECTED, deadline + 60 * SECOND, now)
    assert sum(time <= deadline for time in polled_at) >= 4
    assert sum(time <= deadline + 2 * SECOND for time in polled_at) <= 25
    long_after_deadline = [time for time in polled_at if time > deadline + 30 * SECOND]
    assert all(after - before >= SECOND for before, after in pairwise(long_after_deadline))


@given(st.integers(0, 10**6))
def test_an_unreachable_server_is_polled_every_one_to_two_seconds(seed: int) -> None:
    """A change is binding 6 s after discovery is reachable again, regardless of earlier failures.

    A backoff that grows to half of the poll interval is too long.  A refused connection costs discovery
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


#: Behaviours of a discovery server that make a poll fail.
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
    """A discovery server that passes through several states and finally stays reachable.

    The state at the time of a poll determines its result; a lost poll stays lost when the state changes.
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
        """Return when the list was first read after `reachable_at`, and when it is binding at the latest."""
        now = 0
        binding_at = self.reachable_at + 6 * SECOND
        watch_ends_at = -1  # the end of the state in which a watch is open
        while True:
            poll = schedule.next_poll(now)
            if poll.due_at < watch_ends_at:
                wait_ends_at = poll.due_at + poll.long_poll_wait
                if wait_ends_at < watch_ends_at:
                    now = wait_ends_at
                    schedule.record_success(now, poll, False)
                    continue
                state = next(state for start, _, state in self.states if start == watch_ends_at)
                if state in ("refuses", "rejects"):
                    now = watch_ends_at
                    schedule.record_failure(now, PollFailure.UNREACHABLE)
                else:
                    now = poll.due_at + poll.response_timeout
                    schedule.record_failure(now, PollFailure.TIMEOUT)
                    binding_at = max(binding_at, wait_ends_at + 2 * SECOND)
                watch_ends_at = -1
                continue
            watch_ends_at = -1
            end, state = next((end, state) for start, end, state in self.states if start <= poll.due_at < end)
            accepted_at = poll.due_at + self.random.randrange(1, 900 * MS)
            if state == "answers" and accepted_at < end:
                if poll.due_at >= self.reachable_at:
                    return accepted_at, binding_at
                now = accepted_at
                watch_ends_at = end
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
def test_the_list_is_read_before_it_is_binding_once_discovery_is_reachable(
    last_state: str, seed: int, states: list[tuple[str, int]], duration: int, pushed: bool
) -> None:
    """Once discovery is reachable, timeouts and pauses add up to less than 6 s after any earlier failures."""
    states = [("refuses", MS), *states, (last_state, duration)]
    states = [state for n, state in enumerate(states) if n == 0 or state[0] != states[n - 1][0]]
    schedule = DiscoverySchedule(PUSHED if pushed else SUBSCRIBED, seed)
    read_at, binding_at = FailingDiscovery(seed, states).play(schedule)
    assert read_at <= binding_at


@given(st.integers(0, 10**6))
def test_with_pushed_updates_an_unreachable_server_is_polled_at_least_once_per_drain_grace(seed: int) -> None:
    """A change that discovery has when it returns is binding at once, even if no watch is open."""
    schedule = DiscoverySchedule(PUSHED, seed)
    polled_at = polls_of_failing_server(schedule, PollFailure.UNREACHABLE, 20 * SECOND)
    assert max(after - before for before, after in pairwise(polled_at)) <= DRAIN_GRACE


@given(st.integers(0, 10**6), st.integers(0, 30 * SECOND))
def test_a_new_server_is_polled_at_once_and_again_before_its_list_is_binding(
    seed: int, switched_at: int
) -> None:
    """Neither the old server's backoff nor rejections by the new one may last beyond 4 s after SIGHUP."""
    schedule = DiscoverySchedule(SUBSCRIBED, seed)
    polls_of_failing_server(schedule, PollFailure.UNREACHABLE, switched_at)
    schedule.switch_server(switched_at)
    polled_at = polls_of_failing_server(schedule, PollFailure.REJECTED, switched_at + 4 * SECOND, switched_at)
    assert polled_at[0] == switched_at
    assert len(polled_at) >= 5


@pytest.mark.parametrize(
    ("work", "max_queue_delay"), [(20 * MS, 3 * SECOND), (39 * MS, 3 * SECOND), (39 * MS, SECOND)]
)
@pytest.mark.parametrize("downtime", [300 * MS, 8 * SECOND, 60 * SECOND])
def test_a_waiting_fleet_keeps_the_queue_of_a_returning_server_busy(
    work: int, max_queue_delay: int, downtime: int
) -> None:
    """Discovery handles polls one after another and rejects at once a poll that would wait too long.

    A fleet of 230 must not lose its positions in that queue by timeouts, nor poll so rarely that the queue
    becomes empty.
    """
    fleet = [DiscoverySchedule(SUBSCRIBED, seed) for seed in range(230)]
    down_at = 20 * SECOND
    random = Random(work)
    # failed polls by time; at first, the watches of all instances fail, which began at different times
    failures: list[tuple[int, int, PollFailure]] = []
    for instance, schedule in enumerate(fleet):
        schedule.next_poll(random.randrange(down_at - 10 * SECOND, down_at))
        heapq.heappush(failures, (down_at, instance, PollFailure.UNREACHABLE))
    up_at = down_at + downtime
    polls_per_second = [0] * 100
    idle_at = up_at
    read_at = []
    while failures:
        now, instance, failure = heapq.heappop(failures)
        fleet[instance].record_failure(now, failure)
        poll = fleet[instance].next_poll(now)
        polls_per_second[poll.due_at // SECOND] += 1
        done_at = max(idle_at, poll.due_at) + work
        if poll.due_at < up_at:
            heapq.heappush(failures, (poll.due_at, instance, PollFailure.UNREACHABLE))
        elif done_at - poll.due_at > max_queue_delay:
            heapq.heappush(failures, (poll.due_at, instance, PollFailure.REJECTED))
        else:
            idle_at = done_at
            assert done_at <= poll.due_at + poll.response_timeout, "a poll timed out while it was queued"
            read_at.append(done_at)
    assert max(read_at) - up_at <= len(fleet) * work + 2 * SECOND
    # polls are refused while the server is down, and rejected when it returns
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
