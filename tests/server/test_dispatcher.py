"""The owner: order of events and timers, one answer for each request, one end for each attempt."""

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
from linetrack.policy.settings import Idempotency, RequestClass, Settings
from linetrack.server import dispatcher as module
from linetrack.server.http1.requests import ClientRequest
from linetrack.server.http1.responses import Response
from linetrack.server.dispatcher import Attempt, FinishedAttempt, FinalResponse, DisconnectedClient, Dispatcher, IncomingRequest
from tests.stand_ins import MS, PATIENCE, SECOND

SETTINGS = Settings(classes=(RequestClass(Idempotency.IDEMPOTENT, 500 * MS, 2 * SECOND),))
GET = ClientRequest("GET", "/look/k", "1")


class Scripted:
    """In the module's place: records what it is told and returns what a test wants."""

    def __init__(self) -> None:
        self.told: list[tuple[int, Event]] = []
        self.wants: Callable[[Event], list[Action]] = lambda event: []

    def handle(self, now: int, event: Event) -> list[Action]:
        self.told.append((now, event))
        return self.wants(event)

    def ended(self) -> list[tuple[int, Outcome, bool]]:
        return [(e.attempt, e.outcome, e.request_completed) for _, e in self.told if isinstance(e, AttemptEnded)]


class Played:
    """An owner whose clock a test moves, and what it did."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.now = 1000 * SECOND
        monkeypatch.setattr(module, "clock", lambda: self.now)
        self.started: list[Attempt] = []
        self.given_up: list[Attempt] = []
        self.watches = 0
        self.replies: list[FinalResponse] = []
        self.module = Scripted()
        self.owner = Dispatcher(self.module, self.started.append, self.given_up.append, self.watch)
        self.greenlet = gevent.spawn(self.owner.run)

    def watch(self) -> None:
        self.watches += 1

    def take(self, number: int = 1, patience: int = 2 * SECOND) -> None:
        self.put(IncomingRequest(GET, RequestReceived(number, 0, patience), self.replies.append))

    def put(self, item: module.Notification, seen: int | None = None) -> None:
        self.owner.put(item, self.now if seen is None else seen)
        self.settle()

    def settle(self) -> None:
        """Until the owner has nothing left that is due."""
        with gevent.Timeout(PATIENCE):
            while self.owner.queue:
                gevent.sleep(0)
            gevent.sleep(0)

    def wait(self, time: int) -> None:
        """Move the clock on; the owner looks at it once anything is told."""
        self.now += time
        self.put(EndpointListUpdate(ListForm.DELTA))


@pytest.fixture
def played(monkeypatch: pytest.MonkeyPatch) -> Played:
    return Played(monkeypatch)


def send(event: Event) -> list[Action]:
    return [StartAttempt(event.request_id, "a")] if isinstance(event, RequestReceived) else []


def ok(attempt: Attempt, latency: int = 5 * MS) -> FinishedAttempt:
    attempt.ended = True
    return FinishedAttempt(attempt, Outcome.SUCCESS, latency, Response(200, b"body"))


def test_the_first_answer_goes_to_the_client_and_ends_the_request(played: Played) -> None:
    played.module.wants = send
    played.take()
    played.put(ok(played.started[0]))
    assert played.replies == [FinalResponse(200, b"body")]
    assert played.module.ended() == [(0, Outcome.SUCCESS, True)]
    assert not played.owner.open


def test_an_answer_is_written_before_the_module_works_on_its_end(played: Played) -> None:
    # guards against the client waiting for what the module learns from the answer
    order: list[str] = []

    def wants(event: Event) -> list[Action]:
        order.append(type(event).__name__)
        return send(event)

    result: AsyncResult[FinalResponse] = AsyncResult()
    result.rawlink(lambda given: order.append("written"))
    played.module.wants = wants
    played.put(IncomingRequest(GET, RequestReceived(1, 0, 2 * SECOND), result.set))
    played.put(ok(played.started[0]))
    assert order == ["RequestReceived", "written", "AttemptEnded"]


def test_a_second_copy_is_told_as_over_and_answers_nobody(played: Played) -> None:
    played.module.wants = lambda event: 2 * send(event)
    played.take()
    first, second = played.started
    played.put(ok(second))
    played.put(ok(first))
    assert len(played.replies) == 1
    assert played.module.ended() == [(1, Outcome.SUCCESS, True), (0, Outcome.SUCCESS, True)]
    assert not played.owner.open


def test_a_cancelled_attempt_is_closed_at_once_and_told_after_the_action(played: Played) -> None:
    def wants(event: Event) -> list[Action]:
        if isinstance(event, AttemptEnded) and event.outcome is Outcome.SUCCESS:
            return [CancelAttempt(1, 0), CancelAttempt(1, 0)]
        return 2 * send(event)

    played.module.wants = wants
    played.take()
    first, second = played.started
    played.now += 7 * MS
    played.put(ok(second))
    assert played.given_up == [first]
    assert played.module.ended() == [(1, Outcome.SUCCESS, True), (0, Outcome.CANCELLED, True)]
    assert not played.owner.open


def test_an_attempt_times_out_with_the_client_and_the_answer_is_still_owed(played: Played) -> None:
    def wants(event: Event) -> list[Action]:
        return [FailRequest(1)] if isinstance(event, AttemptEnded) else send(event)

    played.module.wants = wants
    played.take(patience=300 * MS)
    played.wait(299 * MS)
    assert not played.given_up
    played.wait(1 * MS)
    assert played.given_up == played.started
    assert played.module.ended() == [(0, Outcome.TIMEOUT, False)]
    assert played.replies == [FinalResponse(502)]


def test_a_sends_own_timeout_ends_it_sooner(played: Played) -> None:
    played.module.wants = lambda event: [StartAttempt(1, "a", 50 * MS)] if isinstance(event, RequestReceived) else []
    played.take()
    played.wait(50 * MS)
    assert played.module.ended() == [(0, Outcome.TIMEOUT, False)]


def test_a_refusal_carries_its_advice_and_a_late_answer_changes_nothing(played: Played) -> None:
    def wants(event: Event) -> list[Action]:
        return [*send(event), RejectRequest(1, 250 * MS)]

    played.module.wants = wants
    played.take()
    played.put(ok(played.started[0]))
    assert played.replies == [FinalResponse(503, retry_after=250 * MS)]
    assert played.module.ended() == [(0, Outcome.SUCCESS, True)]


def test_a_client_that_left_is_told_once_and_owed_nothing(played: Played) -> None:
    played.module.wants = lambda event: [CancelAttempt(1, 0)] if isinstance(event, ClientDisconnected) else send(event)
    played.take()
    played.put(DisconnectedClient(1))
    played.put(DisconnectedClient(1))
    assert [type(e) for _, e in played.module.told].count(ClientDisconnected) == 1
    assert played.given_up == played.started and not played.replies and not played.owner.open


def test_due_timers_come_before_later_events_each_at_its_own_time(played: Played) -> None:
    def wants(event: Event) -> list[Action]:
        if isinstance(event, RequestReceived):
            return [SetTimer(30 * MS, "late"), SetTimer(10 * MS, "soon"), SetTimer(10 * MS, "then")]
        return []

    played.module.wants = wants
    at = played.now
    played.take()
    played.now += 100 * MS
    played.put(EndpointListUpdate(ListForm.REJECTED), seen=at + 20 * MS)
    told = [(now - at, getattr(e, "token", type(e).__name__)) for now, e in played.module.told[1:]]
    assert told[:3] == [(10 * MS, "soon"), (10 * MS, "then"), (20 * MS, "EndpointListUpdate")]
    played.wait(0)
    assert (played.module.told[4][0] - at, played.module.told[4][1]) == (30 * MS, TimerFired("late"))


def test_the_modules_clock_never_goes_back(played: Played) -> None:
    played.put(EndpointListUpdate(ListForm.REJECTED), seen=played.now + 5)
    played.put(EndpointListUpdate(ListForm.REJECTED), seen=played.now)
    times = [now for now, _ in played.module.told]
    assert times == sorted(times)


def test_own_lag_does_not_count_as_latency(played: Played) -> None:
    # guards against a busy moment read as slow upstreams: an event carries the time the socket showed it
    played.module.wants = send
    played.take()
    seen = played.now + 5 * MS
    played.now += 500 * MS
    played.put(ok(played.started[0]), seen=seen)
    now, event = played.module.told[-1]
    assert isinstance(event, AttemptEnded) and event.latency == 5 * MS and now == seen


def test_what_is_over_holds_no_bodies_until_its_time_would_have_ended(played: Played) -> None:
    # guards against memory: the timer of an attempt stands for seconds after the answer
    class Reply:
        def __call__(self, final: FinalResponse) -> None:
            self.final = final

    reply = Reply()
    kept = weakref.ref(reply)
    played.module.wants = send
    played.put(IncomingRequest(GET, RequestReceived(1, 0, 2 * SECOND), reply))
    del reply
    assert kept() is not None
    played.put(ok(played.started[0]))
    gevent.sleep(0)
    assert played.owner.timers and kept() is None
    assert played.started[0].open.request is not GET


def test_a_watch_is_asked_for(played: Played) -> None:
    played.module.wants = lambda event: [WatchEndpoints(True)]
    played.put(EndpointListUpdate(ListForm.CACHED))
    assert played.watches == 1


def test_an_action_never_seen_before_ends_the_greenlet(played: Played) -> None:
    played.module.wants = lambda event: [SendHealthCheck("a")]
    played.put(EndpointListUpdate(ListForm.CACHED))
    with gevent.Timeout(PATIENCE):
        played.greenlet.join()
    assert isinstance(played.greenlet.exception, NotImplementedError)


class Wild:
    """In the module's place: sends, cancels and ends requests as drawn, within what the interface allows."""

    def __init__(self, draw: Callable[[int], int]) -> None:
        self.draw = draw
        self.sent: dict[int, int] = {}
        self.closed: set[int] = set()
        self.ended: list[tuple[int, int]] = []

    def handle(self, now: int, event: Event) -> list[Action]:
        number = getattr(event, "request", 0)
        if isinstance(event, AttemptEnded):
            self.ended.append((number, event.attempt))
            assert event.request_completed == (number in self.closed or event.outcome is Outcome.SUCCESS)
        if isinstance(event, ClientDisconnected) or (isinstance(event, AttemptEnded) and event.request_completed):
            self.closed.add(number)
        if not isinstance(event, RequestReceived | AttemptEnded) or number in self.closed:
            return [CancelAttempt(number, n) for n in range(self.sent.get(number, 0)) if self.draw(2)]
        if self.sent.get(number, 0) < 4 and self.draw(3):
            sends = 1 + self.draw(2)
            self.sent[number] = self.sent.get(number, 0) + sends
            return [StartAttempt(number, "a", self.draw(2) * 100 * MS) for _ in range(sends)]
        self.closed.add(number)
        final: list[Action] = [RejectRequest(number) if self.draw(2) else FailRequest(number)]
        return final + [CancelAttempt(number, 0)] * self.draw(2)


@given(st.integers(0, 2**32))
def test_every_send_ends_once_and_every_request_is_answered_once(seed: int) -> None:
    # not drawn from hypothesis itself: the owner's greenlet, too, takes from it
    random = Random(seed)
    with pytest.MonkeyPatch.context() as patch:
        played = Played(patch)
        wild = Wild(random.randrange)
        played.owner.policy = wild
        replies: dict[int, int] = {}
        left: set[int] = set()
        for number in range(1, 9):

            def reply(final: FinalResponse, number: int = number) -> None:
                replies[number] = replies.get(number, 0) + 1

            played.put(IncomingRequest(GET, RequestReceived(number, 0, 300 * MS), reply))
            if random.random() < 0.2:
                left.add(number)
                played.put(DisconnectedClient(number))
            for attempt in played.started:
                if not attempt.ended and random.random() < 0.4:
                    attempt.ended = True
                    good = random.random() < 0.5
                    outcome = Outcome.SUCCESS if good else Outcome.RESET
                    played.put(FinishedAttempt(attempt, outcome, MS, Response(200, b"") if good else None))
            played.wait(random.randrange(150) * MS)
        for _ in range(12):
            played.wait(300 * MS)
        assert all(attempt.ended for attempt in played.started)
        sent = sorted((attempt.open.number, attempt.number) for attempt in played.started)
        assert sorted(wild.ended) == sent
        assert all(replies.get(n, 0) == 1 for n in range(1, 9) if n not in left)
        assert all(count == 1 for count in replies.values())
        assert not played.owner.open
        played.greenlet.kill()
