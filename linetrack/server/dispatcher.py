"""The one greenlet that owns the decision module, its queue, its timers and its clock.

Everything that the module is told comes through `put` with the time at which it was seen; every action that
it returns is turned into one call here.  Must never touch a socket, wait for anything but its queue (save one
turn, so that an answer is written first), or decide what becomes of a request.
"""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from itertools import count
from typing import Protocol

import gevent
import structlog
from gevent.event import Event as WakeUp

from linetrack.policy.actions import (
    Action,
    CancelAttempt,
    CloseIdleConnections,
    FailRequest,
    RejectRequest,
    SetTimer,
    StartAttempt,
    WatchEndpoints,
)
from linetrack.policy.events import (
    AttemptEnded,
    ClientDisconnected,
    EndpointListUpdate,
    Event,
    Outcome,
    RequestBodySent,
    RequestReceived,
    ResponseStarted,
    TimerFired,
)
from linetrack.policy.protocols import Policy
from linetrack.policy.settings import Settings
from linetrack.control.metrics import RequestOutcome, Metrics
from linetrack.server.clock import NEVER, clock
from linetrack.server.connection import ResponseStream
from linetrack.server.http1.requests import ClientRequest
from linetrack.server.http1.responses import Response

log = structlog.get_logger()


MakePolicy = Callable[[Settings, int], Policy]


@dataclass(slots=True)
class FinalResponse:
    """A request's one final answer: an upstream's, a refusal (503, with advice) or a failure (502)."""

    status: int
    body: bytes = b""
    content_type: str = ""
    retry_after: int = 0
    length: int | None = None  # of a body that there is, and that does not go on (HEAD)
    stream: ResponseStream | None = None  # a long answer, from its first bytes on


#: In place of a request that is over, and of who waited for its answer.
NOTHING = ClientRequest("", "")


def _to_nobody(final: FinalResponse) -> None:
    """Nobody waits any more."""


def _stays() -> bool:
    """Of a client that cannot be looked at."""
    return False


class ActiveRequest:
    """A request from the moment it is taken until it is over and its last attempt has ended."""

    __slots__ = (
        "attempts",
        "gone",
        "held",
        "klass",
        "number",
        "over",
        "patience",
        "reply",
        "request",
        "stream",
        "until",
    )

    def __init__(
        self,
        arrival: RequestReceived,
        request: ClientRequest,
        seen: int,
        reply: Callable[[FinalResponse], None],
        gone: Callable[[], bool] = _stays,
    ) -> None:
        self.gone = gone  # whether its client is seen to have left: asked before the first byte of an attempt
        self.number, self.patience, self.held = arrival.request_id, arrival.timeout, arrival.is_replayable
        self.request, self.reply, self.klass = request, reply, request.class_name
        # a body that goes on as it comes has limits of its own; the request's time begins with its last byte
        self.until = seen + arrival.timeout if arrival.is_replayable else NEVER
        self.attempts: list[Attempt] = []
        self.over = False
        self.stream: ResponseStream | None = None  # the answer on its way, from one of its attempts


class Socket(Protocol):
    """What giving an attempt up asks of its connection."""

    def shutdown(self, how: int, /) -> object: ...
    def close(self) -> object: ...


class Attempt:
    """One send; whoever ends it first, its greenlet or the owner, says how it ended."""

    __slots__ = ("begun", "by", "ended", "number", "open", "sent", "sock", "until", "upstream")

    def __init__(self, open_: ActiveRequest, upstream: str, sent: int, until: int, by: int = 0) -> None:
        self.open, self.upstream, self.sent, self.until = open_, upstream, sent, until
        self.by = by or until  # after which nothing of it may be written
        self.number = len(open_.attempts)
        self.ended = False
        self.begun = False  # its answer is on its way to the client
        self.sock: Socket | None = None  # what its greenlet waits on: giving up closes it


@dataclass(slots=True)
class IncomingRequest:
    """A client's request has been read whole."""

    request: ClientRequest
    arrival: RequestReceived
    reply: Callable[[FinalResponse], None]
    gone: Callable[[], bool] = _stays


@dataclass(slots=True, frozen=True)
class DisconnectedClient:
    number: int


@dataclass(slots=True, frozen=True)
class SentBody:
    """An attempt's long body is written whole."""

    attempt: Attempt


@dataclass(slots=True)
class StartedResponse:
    """An attempt's long answer has begun."""

    attempt: Attempt
    latency: int
    stream: ResponseStream


@dataclass(slots=True)
class FinishedAttempt:
    """An attempt has ended."""

    attempt: Attempt
    outcome: Outcome
    latency: int
    answer: Response | None = None
    report: tuple[float, ...] = ()


@dataclass(slots=True, frozen=True)
class SerializedCallback:
    """Something to be done between two events: what was put before is told first, what is put later after."""

    work: Callable[[], None]


Notification = IncomingRequest | DisconnectedClient | SentBody | StartedResponse | FinishedAttempt | SerializedCallback | EndpointListUpdate


class Dispatcher:
    def __init__(
        self,
        policy: Policy,
        start: Callable[[Attempt], None],
        give_up: Callable[[Attempt], None],
        watch: Callable[[], None],
        close_idle: Callable[[str], None] = lambda upstream: None,
        metrics: Metrics | None = None,
    ) -> None:
        self.policy = policy
        self.start, self.give_up, self.watch, self.close_idle = start, give_up, watch, close_idle
        self.queue: deque[tuple[int, Notification]] = deque()
        self.rung = WakeUp()
        self.alarm, self.alarm_due = gevent.get_hub().loop.timer(0), NEVER
        self.now = clock()
        self.open: dict[int, ActiveRequest] = {}
        self.timers: list[tuple[int, int, TimerFired | Attempt]] = []
        self.order = count()
        self.numbers = count(1)
        self.metrics = metrics or Metrics()
        self.ends = NEVER  # once the process is to end: when all that it has taken is to be answered

    def put(self, item: Notification, seen: int) -> None:
        """Called from any greenlet: `seen` is when the socket showed it."""
        self.queue.append((seen, item))
        self.rung.set()

    def number(self) -> int:
        """A new request's number; never used twice."""
        return next(self.numbers)

    def run(self) -> None:
        while True:
            item = self._next()
            if item is not None:
                seen, what = item
                self._due(seen)
                self._step(seen, what)
            else:
                self._due(clock())

    def _next(self) -> tuple[int, Notification] | None:
        """The next thing told, or None once the next timer is due."""
        while not self.queue:
            if self.timers and self.timers[0][0] <= clock():
                return None
            self._sleep()
        return self.queue.popleft()

    def _sleep(self) -> None:
        """Until something is told or the next timer is due: one alarm for all timers, set anew only for an
        earlier one, as most sleeps end long before it."""
        if self.timers and self.timers[0][0] < self.alarm_due:
            self.alarm_due = self.timers[0][0]
            self.alarm.close()
            self.alarm = gevent.get_hub().loop.timer(max(0, self.alarm_due - clock()) / 1_000_000)
            self.alarm.start(self._ring)
        self.rung.clear()
        self.rung.wait()

    def _ring(self) -> None:
        self.alarm_due = NEVER
        self.rung.set()

    def _due(self, now: int) -> None:
        """Timers that were due by then, in their order, each at its own time."""
        while self.timers and self.timers[0][0] <= now:
            due, _, what = heapq.heappop(self.timers)
            if isinstance(what, Attempt):
                self._expire(what, due)
            else:
                self._handle(due, what)

    def _step(self, seen: int, what: Notification) -> None:
        match what:
            case IncomingRequest(request, arrival, reply, gone):
                self.metrics.requests_received += 1
                self.open[arrival.request_id] = ActiveRequest(arrival, request, seen, reply, gone)
                self._handle(seen, arrival)
            case FinishedAttempt():
                self._done(seen, what)
            case DisconnectedClient(number):
                if (open_ := self.open.get(number)) and not open_.over:
                    open_.over = True
                    self.metrics.clients_disconnected += 1
                    self._handle(seen, ClientDisconnected(number))
                    if open_.stream is not None:
                        open_.stream.end(Outcome.CANCELLED)
                    self._forget(open_)
            case SentBody(attempt):
                self._sent(seen, attempt)
            case StartedResponse(attempt, latency, stream):
                self._started(seen, attempt, latency, stream)
            case EndpointListUpdate():
                self._handle(seen, what)
            case SerializedCallback(work):
                work()

    def _sent(self, seen: int, attempt: Attempt) -> None:
        """An attempt's time begins with the last byte of its long body, and that of a request whose body went
        on as it came."""
        open_ = attempt.open
        if attempt.ended or open_.over:
            return
        attempt.sent = seen
        if not open_.held:
            open_.until = attempt.until = min(seen + open_.patience, self.ends)
            self._set(attempt.until, attempt)
        self._handle(seen, RequestBodySent(open_.number, attempt.number))

    def _started(self, seen: int, attempt: Attempt, latency: int, stream: ResponseStream) -> None:
        """An attempt's answer has begun: it is the answer, unless the request has one."""
        open_ = attempt.open
        if open_.over or attempt.ended or open_.stream is not None:
            stream.end(Outcome.CANCELLED)
            return
        attempt.begun, open_.stream = True, stream
        open_.reply(FinalResponse(200, content_type=stream.content_type, stream=stream))
        self._handle(seen, ResponseStarted(open_.number, attempt.number, attempt.upstream, latency))
        gevent.sleep(0)

    def _expire(self, attempt: Attempt, due: int) -> None:
        """An attempt's time is over: its connection is closed at once, and the module is told."""
        # an answer on its way has limits of its own, and one whose body is written later a later time
        if not attempt.ended and not attempt.begun and attempt.until <= due:
            attempt.ended = True
            self.give_up(attempt)
            self._done(due, FinishedAttempt(attempt, Outcome.TIMEOUT, max(0, due - attempt.sent)))

    def _cancel(self, number: int, nth: int) -> None:
        """Call an attempt off; its end is told in its turn, not from within the module's own actions."""
        open_ = self.open.get(number)
        if open_ is not None and not open_.attempts[nth].ended:
            attempt, seen = open_.attempts[nth], clock()
            attempt.ended = True
            self.give_up(attempt)
            self.put(FinishedAttempt(attempt, Outcome.CANCELLED, seen - attempt.sent), seen)

    def _end(self, number: int, final: FinalResponse, fate: RequestOutcome) -> None:
        """The module's own final answer; what is over stays as it is."""
        open_ = self.open.get(number)
        if open_ is not None and not open_.over:
            self._answer(open_, final, fate)
            self._forget(open_)

    def _done(self, seen: int, done: FinishedAttempt) -> None:
        attempt, open_ = done.attempt, done.attempt.open
        if attempt.begun:
            self._streamed(open_, done.outcome)
        elif done.answer is not None and not open_.over and open_.stream is None:
            answer = done.answer
            final = FinalResponse(200, answer.body, answer.content_type, length=answer.content_length)
            self._answer(open_, final, RequestOutcome.SERVED)
            # guards against the client waiting for what the module learns: its greenlet writes first.  What
            # others put meanwhile stands in the queue, behind this end
            gevent.sleep(0)
        ended = AttemptEnded(
            open_.number,
            attempt.number,
            attempt.upstream,
            done.outcome,
            done.latency,
            open_.over,
            done.report,
        )
        self._handle(seen, ended)
        self._forget(open_)

    def _streamed(self, open_: ActiveRequest, outcome: Outcome) -> None:
        """A long answer has ended on its way."""
        if open_.over:
            return
        open_.over = True
        if outcome is Outcome.CANCELLED:
            self.metrics.clients_disconnected += 1
        else:
            self.metrics.record_outcome(open_.klass, RequestOutcome.SERVED if outcome is Outcome.SUCCESS else RequestOutcome.FAILED)

    def _answer(self, open_: ActiveRequest, final: FinalResponse, fate: RequestOutcome) -> None:
        open_.over = True
        self.metrics.record_outcome(open_.klass, fate)
        open_.reply(final)

    def _forget(self, open_: ActiveRequest) -> None:
        if open_.over and all(attempt.ended for attempt in open_.attempts):
            self.open.pop(open_.number, None)
            # the timers of its attempts still stand: they must not hold the bodies until they are due
            open_.request, open_.reply, open_.gone = NOTHING, _to_nobody, _stays

    def _handle(self, now: int, event: Event) -> None:
        self.now = max(self.now, now)
        for action in self.policy.handle(self.now, event):
            self._act(action)

    def _act(self, action: Action) -> None:
        match action:
            case StartAttempt(number, upstream, timeout, by):
                open_ = self.open[number]
                self.metrics.attempts_started += 1
                until = min(open_.until, self.now + timeout) if timeout else open_.until
                attempt = Attempt(open_, upstream, clock(), until, by)
                open_.attempts.append(attempt)
                if until != NEVER:
                    self._set(until, attempt)
                self.start(attempt)
            case SetTimer(after, token):
                self._set(self.now + after, TimerFired(token))
            case RejectRequest(number, retry_after):
                self._end(number, FinalResponse(503, retry_after=retry_after), RequestOutcome.REJECTED)
            case FailRequest(number):
                self._end(number, FinalResponse(502), RequestOutcome.FAILED)
            case CancelAttempt(number, nth):
                self._cancel(number, nth)
            case WatchEndpoints(True):
                self.watch()
            case CloseIdleConnections(upstream):
                self.close_idle(upstream)
            case _:
                raise NotImplementedError(f"the module never emitted {action!r} before")

    def _set(self, due: int, what: TimerFired | Attempt) -> None:
        heapq.heappush(self.timers, (due, next(self.order), what))
