"""The dispatcher: the order of events and timers, one response per request, one end per attempt."""

import weakref
from collections.abc import Callable
from random import Random

import gevent
import pytest
from gevent.event import AsyncResult
from hypothesis import given
from hypothesis import strategies as st

from linetrack.policy.actions import (
    Action,
    CancelAttempt,
    FailRequest,
    RejectRequest,
    SendHealthCheck,
    SetTimer,
    StartAttempt,
    WatchEndpoints,
)
from linetrack.policy.events import (
    AttemptEnded,
    ClientDisconnected,
    EndpointListUpdate,
    Event,
    ListForm,
    Outcome,
    RequestReceived,
    TimerFired,
)
from linetrack.server import dispatcher as dispatcher_module
from linetrack.server.active_request import Attempt, FinalResponse
from linetrack.server.dispatcher import Dispatcher
from linetrack.server.http1.requests import ClientRequest
from linetrack.server.http1.responses import Response
from linetrack.server.notifications import (
    DisconnectedClient,
    FinishedAttempt,
    IncomingRequest,
    Notification,
)
from tests.support.units import MS, SECOND
from tests.support.waiting import TIMEOUT_SECONDS

GET = ClientRequest("GET", "/look/k", "1")


class ScriptedPolicy:
    """Stands in for the policy: records the events and returns the actions that the test sets."""

    def __init__(self) -> None:
        self.events: list[tuple[int, Event]] = []
        self.decide: Callable[[Event], list[Action]] = lambda _event: []

    def handle(self, now: int, event: Event) -> list[Action]:
        self.events.append((now, event))
        return self.decide(event)

    def attempt_ends(self) -> list[tuple[int, Outcome, bool]]:
        events = [event for _, event in self.events if isinstance(event, AttemptEnded)]
        return [(event.attempt, event.outcome, event.request_completed) for event in events]


class DispatcherDriver:
    """A dispatcher whose clock the test controls, with records of its calls and responses."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.now = 1000 * SECOND
        monkeypatch.setattr(dispatcher_module, "clock", lambda: self.now)
        self.started: list[Attempt] = []
        self.aborted: list[Attempt] = []
        self.watch_count = 0
        self.responses: list[FinalResponse] = []
        self.policy = ScriptedPolicy()
        self.dispatcher = Dispatcher(self.policy, self.started.append, self.aborted.append, self.watch)
        self.greenlet = gevent.spawn(self.dispatcher.run)

    def watch(self) -> None:
        self.watch_count += 1

    def receive(self, request_id: int = 1, timeout: int = 2 * SECOND) -> None:
        received = RequestReceived(request_id, 0, timeout)
        self.enqueue(IncomingRequest(GET, received, self.responses.append))

    def enqueue(self, notification: Notification, seen_at: int | None = None) -> None:
        self.dispatcher.enqueue(notification, self.now if seen_at is None else seen_at)
        self.settle()

    def settle(self) -> None:
        """Wait until the dispatcher has processed its queue and all due timers."""
        with gevent.Timeout(TIMEOUT_SECONDS):
            while self.dispatcher.queue:
                gevent.sleep(0)
            gevent.sleep(0)

    def advance_clock(self, time: int) -> None:
        """Advance the clock, and enqueue a notification so that the dispatcher checks its timers."""
        self.now += time
        self.enqueue(EndpointListUpdate(ListForm.DELTA))


@pytest.fixture
def driver(monkeypatch: pytest.MonkeyPatch) -> DispatcherDriver:
    return DispatcherDriver(monkeypatch)


def start_one_attempt(event: Event) -> list[Action]:
    return [StartAttempt(event.request_id, "a")] if isinstance(event, RequestReceived) else []


def succeed(attempt: Attempt, latency: int = 5 * MS) -> FinishedAttempt:
    attempt.has_ended = True
    return FinishedAttempt(attempt, Outcome.SUCCESS, latency, Response(200, b"body"))


def test_the_first_response_goes_to_the_client_and_ends_the_request(driver: DispatcherDriver) -> None:
    driver.policy.decide = start_one_attempt
    driver.receive()
    driver.enqueue(succeed(driver.started[0]))
    assert driver.responses == [FinalResponse(200, b"body")]
    assert driver.policy.attempt_ends() == [(0, Outcome.SUCCESS, True)]
    assert not driver.dispatcher.active_requests


def test_a_response_is_written_before_the_policy_handles_the_end_of_its_attempt(
    driver: DispatcherDriver,
) -> None:
    """The client must not wait for the policy to process the end of the attempt."""
    order: list[str] = []

    def decide(event: Event) -> list[Action]:
        order.append(type(event).__name__)
        return start_one_attempt(event)

    result: AsyncResult[FinalResponse] = AsyncResult()
    result.rawlink(lambda _result: order.append("written"))
    driver.policy.decide = decide
    driver.enqueue(IncomingRequest(GET, RequestReceived(1, 0, 2 * SECOND), result.set))
    driver.enqueue(succeed(driver.started[0]))
    assert order == ["RequestReceived", "written", "AttemptEnded"]


def test_the_later_response_of_a_hedged_request_is_discarded(driver: DispatcherDriver) -> None:
    driver.policy.decide = lambda event: 2 * start_one_attempt(event)
    driver.receive()
    first, second = driver.started
    driver.enqueue(succeed(second))
    driver.enqueue(succeed(first))
    assert len(driver.responses) == 1
    assert driver.policy.attempt_ends() == [(1, Outcome.SUCCESS, True), (0, Outcome.SUCCESS, True)]
    assert not driver.dispatcher.active_requests


def test_a_cancelled_attempt_is_aborted_at_once_and_its_end_is_reported_after_the_action(
    driver: DispatcherDriver,
) -> None:
    def decide(event: Event) -> list[Action]:
        if isinstance(event, AttemptEnded) and event.outcome is Outcome.SUCCESS:
            return [CancelAttempt(1, 0), CancelAttempt(1, 0)]
        return 2 * start_one_attempt(event)

    driver.policy.decide = decide
    driver.receive()
    first, second = driver.started
    driver.now += 7 * MS
    driver.enqueue(succeed(second))
    assert driver.aborted == [first]
    assert driver.policy.attempt_ends() == [(1, Outcome.SUCCESS, True), (0, Outcome.CANCELLED, True)]
    assert not driver.dispatcher.active_requests


def test_an_attempt_times_out_at_the_clients_timeout_and_the_client_gets_a_response(
    driver: DispatcherDriver,
) -> None:
    def decide(event: Event) -> list[Action]:
        return [FailRequest(1)] if isinstance(event, AttemptEnded) else start_one_attempt(event)

    driver.policy.decide = decide
    driver.receive(timeout=300 * MS)
    driver.advance_clock(299 * MS)
    assert not driver.aborted
    driver.advance_clock(1 * MS)
    assert driver.aborted == driver.started
    assert driver.policy.attempt_ends() == [(0, Outcome.TIMEOUT, False)]
    assert driver.responses == [FinalResponse(502)]


def test_an_attempt_times_out_at_its_own_earlier_timeout(driver: DispatcherDriver) -> None:
    def decide(event: Event) -> list[Action]:
        return [StartAttempt(1, "a", 50 * MS)] if isinstance(event, RequestReceived) else []

    driver.policy.decide = decide
    driver.receive()
    driver.advance_clock(50 * MS)
    assert driver.policy.attempt_ends() == [(0, Outcome.TIMEOUT, False)]


def test_a_rejection_carries_its_retry_after_and_a_later_response_is_discarded(
    driver: DispatcherDriver,
) -> None:
    def decide(event: Event) -> list[Action]:
        return [*start_one_attempt(event), RejectRequest(1, 250 * MS)]

    driver.policy.decide = decide
    driver.receive()
    driver.enqueue(succeed(driver.started[0]))
    assert driver.responses == [FinalResponse(503, retry_after=250 * MS)]
    assert driver.policy.attempt_ends() == [(0, Outcome.SUCCESS, True)]


def test_the_policy_is_notified_of_a_disconnect_once_and_no_response_is_sent(
    driver: DispatcherDriver,
) -> None:
    def decide(event: Event) -> list[Action]:
        return [CancelAttempt(1, 0)] if isinstance(event, ClientDisconnected) else start_one_attempt(event)

    driver.policy.decide = decide
    driver.receive()
    driver.enqueue(DisconnectedClient(1))
    driver.enqueue(DisconnectedClient(1))
    assert [type(event) for _, event in driver.policy.events].count(ClientDisconnected) == 1
    assert driver.aborted == driver.started
    assert not driver.responses
    assert not driver.dispatcher.active_requests


def test_due_timers_fire_before_later_events_each_at_its_own_time(driver: DispatcherDriver) -> None:
    def decide(event: Event) -> list[Action]:
        if isinstance(event, RequestReceived):
            return [SetTimer(30 * MS, "late"), SetTimer(10 * MS, "soon"), SetTimer(10 * MS, "then")]
        return []

    driver.policy.decide = decide
    start = driver.now
    driver.receive()
    driver.now += 100 * MS
    driver.enqueue(EndpointListUpdate(ListForm.REJECTED), seen_at=start + 20 * MS)
    events = [(now - start, getattr(e, "token", type(e).__name__)) for now, e in driver.policy.events[1:]]
    assert events[:3] == [(10 * MS, "soon"), (10 * MS, "then"), (20 * MS, "EndpointListUpdate")]
    driver.advance_clock(0)
    last_fired_at, last_event = driver.policy.events[4]
    assert (last_fired_at - start, last_event) == (30 * MS, TimerFired("late"))


def test_the_time_passed_to_the_policy_never_decreases(driver: DispatcherDriver) -> None:
    driver.enqueue(EndpointListUpdate(ListForm.REJECTED), seen_at=driver.now + 5)
    driver.enqueue(EndpointListUpdate(ListForm.REJECTED), seen_at=driver.now)
    times = [now for now, _ in driver.policy.events]
    assert times == sorted(times)


def test_the_dispatchers_delay_does_not_count_as_latency(driver: DispatcherDriver) -> None:
    """A busy sidecar must not look like slow endpoints.

    The time of an event is when it was seen on the socket, not when the dispatcher processes it.
    """
    driver.policy.decide = start_one_attempt
    driver.receive()
    seen_at = driver.now + 5 * MS
    driver.now += 500 * MS
    driver.enqueue(succeed(driver.started[0]), seen_at=seen_at)
    now, event = driver.policy.events[-1]
    assert isinstance(event, AttemptEnded)
    assert event.latency == 5 * MS
    assert now == seen_at


def test_a_completed_request_is_freed_before_its_timers_are_due(driver: DispatcherDriver) -> None:
    """The timer of an attempt remains for seconds after the response and must not keep its body in memory."""

    class Reply:
        def __call__(self, final: FinalResponse) -> None:
            self.final = final

    reply = Reply()
    reference = weakref.ref(reply)
    driver.policy.decide = start_one_attempt
    driver.enqueue(IncomingRequest(GET, RequestReceived(1, 0, 2 * SECOND), reply))
    del reply
    assert reference() is not None
    driver.enqueue(succeed(driver.started[0]))
    gevent.sleep(0)
    assert driver.dispatcher.timers
    assert reference() is None
    assert driver.started[0].request.client_request is not GET


def test_the_policy_can_subscribe_to_endpoints(driver: DispatcherDriver) -> None:
    driver.policy.decide = lambda _event: [WatchEndpoints(True)]
    driver.enqueue(EndpointListUpdate(ListForm.CACHED))
    assert driver.watch_count == 1


def test_an_unsupported_action_ends_the_greenlet(driver: DispatcherDriver) -> None:
    driver.policy.decide = lambda _event: [SendHealthCheck("a")]
    driver.enqueue(EndpointListUpdate(ListForm.CACHED))
    with gevent.Timeout(TIMEOUT_SECONDS):
        driver.greenlet.join()
    assert isinstance(driver.greenlet.exception, NotImplementedError)


class RandomPolicy:
    """Starts and cancels attempts and completes requests at random, as the policy's interface allows."""

    def __init__(self, draw: Callable[[int], int]) -> None:
        self.draw = draw
        self.attempt_counts: dict[int, int] = {}
        self.completed: set[int] = set()
        self.attempt_ends: list[tuple[int, int]] = []

    def handle(self, _now: int, event: Event) -> list[Action]:
        if not isinstance(event, RequestReceived | AttemptEnded | ClientDisconnected):
            return []
        request_id = event.request_id
        if isinstance(event, AttemptEnded):
            self.attempt_ends.append((request_id, event.attempt))
            is_completed = request_id in self.completed or event.outcome is Outcome.SUCCESS
            assert event.request_completed == is_completed
        if isinstance(event, ClientDisconnected) or (
            isinstance(event, AttemptEnded) and event.request_completed
        ):
            self.completed.add(request_id)
        if request_id in self.completed:
            attempts = range(self.attempt_counts.get(request_id, 0))
            return [CancelAttempt(request_id, attempt) for attempt in attempts if self.draw(2)]
        return self.proceed(request_id)

    def proceed(self, request_id: int) -> list[Action]:
        """Start one or two attempts, or complete the request."""
        attempt_count = self.attempt_counts.get(request_id, 0)
        if attempt_count < 4 and self.draw(3):
            starts = 1 + self.draw(2)
            self.attempt_counts[request_id] = attempt_count + starts
            return [StartAttempt(request_id, "a", self.draw(2) * 100 * MS) for _ in range(starts)]
        self.completed.add(request_id)
        final: list[Action] = [RejectRequest(request_id) if self.draw(2) else FailRequest(request_id)]
        return final + [CancelAttempt(request_id, 0)] * self.draw(2)


REQUEST_IDS = range(1, 9)


@given(st.integers(0, 2**32))
def test_every_attempt_ends_once_and_every_request_gets_one_response(seed: int) -> None:
    # Random numbers are not drawn from Hypothesis directly, as the dispatcher's greenlet draws them, too.
    random = Random(seed)
    with pytest.MonkeyPatch.context() as patch:
        driver = DispatcherDriver(patch)
        policy = RandomPolicy(random.randrange)
        driver.dispatcher.policy = policy
        responses: dict[int, int] = {}
        disconnected: set[int] = set()
        for request_id in REQUEST_IDS:

            def reply(_final: FinalResponse, request_id: int = request_id) -> None:
                responses[request_id] = responses.get(request_id, 0) + 1

            driver.enqueue(IncomingRequest(GET, RequestReceived(request_id, 0, 300 * MS), reply))
            if random.random() < 0.2:
                disconnected.add(request_id)
                driver.enqueue(DisconnectedClient(request_id))
            finish_some(driver, random)
            driver.advance_clock(random.randrange(150) * MS)
        for _ in range(12):
            driver.advance_clock(300 * MS)
        assert all(attempt.has_ended for attempt in driver.started)
        started = sorted((attempt.request.request_id, attempt.index) for attempt in driver.started)
        assert sorted(policy.attempt_ends) == started
        assert all(responses.get(number, 0) == 1 for number in REQUEST_IDS if number not in disconnected)
        assert all(count == 1 for count in responses.values())
        assert not driver.dispatcher.active_requests
        driver.greenlet.kill()


def finish_some(driver: DispatcherDriver, random: Random) -> None:
    """End two in five of the attempts in flight, half of them successfully."""
    for attempt in driver.started:
        if not attempt.has_ended and random.random() < 0.4:
            attempt.has_ended = True
            if random.random() < 0.5:
                finished = FinishedAttempt(attempt, Outcome.SUCCESS, MS, Response(200, b""))
            else:
                finished = FinishedAttempt(attempt, Outcome.RESET, MS)
            driver.enqueue(finished)
