"""The dispatcher, the only greenlet that calls the policy: it owns the notification queue and the timers.

Every notification reaches the policy through `Dispatcher.enqueue`, with the time at which it was seen, and
the dispatcher performs every action that the policy returns.  It uses no socket and makes no decisions about
requests.  It waits only for its queue, except for one turn of the event loop in which a response is written
before the policy is called.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from itertools import count

import gevent
import gevent.event

from linetrack.control.metrics import Metrics, RequestOutcome
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
    ResponseStarted,
    TimerFired,
)
from linetrack.policy.protocols import Policy
from linetrack.policy.settings import Settings
from linetrack.policy.time_units import MILLISECOND, SECOND
from linetrack.server.active_request import ActiveRequest, Attempt, FinalResponse
from linetrack.server.clock import NEVER, clock
from linetrack.server.http1 import statuses
from linetrack.server.http1.responses import Response
from linetrack.server.logging_setup import get_logger
from linetrack.server.notifications import (
    DisconnectedClient,
    FinishedAttempt,
    IncomingRequest,
    Notification,
    SentBody,
    SerializedCallback,
    StartedResponse,
)
from linetrack.server.timer_queue import TimerQueue

log = get_logger(__name__)

PolicyFactory = Callable[[Settings, int], Policy]


def _ignore_endpoint(endpoint: str) -> None:
    """Do nothing; used where there are no idle connections to close."""


class Dispatcher:
    """Passes events to one policy and performs its actions.

    Times are in microseconds of `linetrack.server.clock`.
    """

    def __init__(
        self,
        policy: Policy,
        start_attempt: Callable[[Attempt], None],
        abort_attempt: Callable[[Attempt], None],
        watch_endpoints: Callable[[], None],
        close_idle_connections: Callable[[str], None] = _ignore_endpoint,
        metrics: Metrics | None = None,
    ) -> None:
        """Create a dispatcher, which does not process anything until `run` is called.

        Args:
            policy: Decides about every request.
            start_attempt: Starts sending an attempt, without waiting.
            abort_attempt: Closes the connection of an attempt that the dispatcher has ended, without waiting.
            watch_endpoints: Subscribes to endpoint lists.
            close_idle_connections: Closes the idle connections to an endpoint.
            metrics: The counters of the process.
        """
        self.policy = policy
        self.metrics = metrics or Metrics()
        self.queue: deque[tuple[int, Notification]] = deque()
        self.active_requests: dict[int, ActiveRequest] = {}
        self.timers: TimerQueue[TimerFired | Attempt] = TimerQueue()
        self.shutdown_deadline = NEVER  # during shutdown, when all requests must have their responses
        self._start_attempt = start_attempt
        self._abort_attempt = abort_attempt
        self._watch_endpoints = watch_endpoints
        self._close_idle_connections = close_idle_connections
        self._policy_time = clock()
        self._request_ids = count(1)
        self._wakeup = gevent.event.Event()
        self._alarm = gevent.get_hub().loop.timer(0)
        self._alarm_at = NEVER

    def enqueue(self, notification: Notification, seen_at: int) -> None:
        """Add a notification whose cause was seen at `seen_at`; may be called from any greenlet."""
        self.queue.append((seen_at, notification))
        self._wakeup.set()

    def next_request_id(self) -> int:
        """Return an identifier for a new request, unique within the process."""
        return next(self._request_ids)

    def has_open_streams(self) -> bool:
        """Return whether a response is being streamed to a client."""
        return any(request.stream and not request.is_completed for request in self.active_requests.values())

    def run(self) -> None:
        """Process notifications and timers forever."""
        while True:
            item = self._next_notification()
            if item is not None:
                seen_at, notification = item
                self._fire_due_timers(seen_at)
                self._process(seen_at, notification)
            else:
                self._fire_due_timers(clock())

    # --- The queue and the timers --------------------------------------------------------------------
    def _next_notification(self) -> tuple[int, Notification] | None:
        """Wait for the next notification and return it, or return None as soon as a timer is due."""
        while not self.queue:
            due_at = self.timers.next_due_at()
            if due_at is not None and due_at <= clock():
                return None
            self._wait(due_at)
        return self.queue.popleft()

    def _wait(self, due_at: int | None) -> None:
        """Wait until a notification is enqueued or the next timer is due.

        All timers share one timer of the event loop, the alarm.  It is replaced only if the next timer is due
        earlier, as most waits end long before the alarm.
        """
        if due_at is not None and due_at < self._alarm_at:
            self._alarm_at = due_at
            self._alarm.close()
            self._alarm = gevent.get_hub().loop.timer(max(0, due_at - clock()) / SECOND)
            self._alarm.start(self._on_alarm)
        self._wakeup.clear()
        self._wakeup.wait()

    def _on_alarm(self) -> None:
        self._alarm_at = NEVER
        self._wakeup.set()

    def _fire_due_timers(self, now: int) -> None:
        """Fire the timers that are due by now in order, passing each one's due time as the current time."""
        while (timer := self.timers.pop_due(now)) is not None:
            due_at, item = timer
            if isinstance(item, Attempt):
                self.time_out(item, due_at)
            else:
                self._notify_policy(due_at, item)

    # --- Notifications -------------------------------------------------------------------------------
    def _process(self, seen_at: int, notification: Notification) -> None:
        match notification:
            case IncomingRequest():
                self._on_request(seen_at, notification)
            case FinishedAttempt():
                self._on_attempt_finished(seen_at, notification)
            case DisconnectedClient(request_id):
                self._on_client_disconnected(seen_at, request_id)
            case SentBody(attempt):
                self._on_body_sent(seen_at, attempt)
            case StartedResponse():
                self._on_response_started(seen_at, notification)
            case EndpointListUpdate():
                self._notify_policy(seen_at, notification)
            case SerializedCallback(callback):
                callback()

    def _on_request(self, seen_at: int, incoming: IncomingRequest) -> None:
        received = incoming.received
        self.metrics.requests_received += 1
        self.active_requests[received.request_id] = ActiveRequest(
            received, incoming.request, seen_at, incoming.reply, incoming.has_client_disconnected
        )
        self._notify_policy(seen_at, received)

    def _on_client_disconnected(self, seen_at: int, request_id: int) -> None:
        request = self.active_requests.get(request_id)
        if request is None or request.is_completed:
            return
        request.is_completed = True
        self.metrics.clients_disconnected += 1
        self._notify_policy(seen_at, ClientDisconnected(request_id))
        if request.stream is not None:
            request.stream.finish(Outcome.CANCELLED)
        self._forget_if_finished(request)

    def _on_body_sent(self, seen_at: int, attempt: Attempt) -> None:
        """Measure an attempt's latency from the last byte of its long body.

        The timeout of a request with a streamed body may have started before, with the client's last byte.
        """
        request = attempt.request
        if attempt.has_ended or request.is_completed:
            return
        attempt.sent_at = seen_at
        if not request.is_replayable:
            request.extend_deadline()
            attempt.deadline = min(request.deadline, self.shutdown_deadline)
            self.timers.schedule(attempt.deadline, attempt)
        self._notify_policy(seen_at, RequestBodySent(request.request_id, attempt.index))

    def _on_response_started(self, seen_at: int, started: StartedResponse) -> None:
        """Reply with a streamed response, unless the request has a response or the attempt has ended."""
        attempt = started.attempt
        request = attempt.request
        stream = started.stream
        if request.is_completed or attempt.has_ended or request.stream is not None:
            stream.finish(Outcome.CANCELLED)
            return
        attempt.has_response_started = True
        request.stream = stream
        request.reply(FinalResponse(statuses.OK, content_type=stream.content_type, stream=stream))
        event = ResponseStarted(request.request_id, attempt.index, attempt.endpoint, started.latency)
        self._notify_policy(seen_at, event)
        gevent.sleep(0)

    def _on_attempt_finished(self, seen_at: int, finished: FinishedAttempt) -> None:
        attempt = finished.attempt
        request = attempt.request
        attempt.outcome = finished.outcome
        self.metrics.diagnostics.attempt_ends[finished.outcome] += 1
        if attempt.has_response_started:
            self._on_stream_finished(request, finished.outcome)
        elif finished.response is not None and not request.is_completed and request.stream is None:
            self._forward_response(request, finished.response)
        event = AttemptEnded(
            request.request_id,
            attempt.index,
            attempt.endpoint,
            finished.outcome,
            finished.latency,
            request.is_completed,
            finished.load_report,
        )
        self._notify_policy(seen_at, event)
        self._forget_if_finished(request)

    def _on_stream_finished(self, request: ActiveRequest, outcome: Outcome) -> None:
        """Complete a request whose response was streamed, and count its outcome."""
        if request.is_completed:
            return
        request.is_completed = True
        if outcome is Outcome.CANCELLED:
            self.metrics.clients_disconnected += 1
        elif outcome is Outcome.SUCCESS:
            self.metrics.record_outcome(request.class_name, RequestOutcome.SERVED)
        else:
            self.metrics.record_outcome(request.class_name, RequestOutcome.FAILED)

    # --- Final responses -----------------------------------------------------------------------------
    def _forward_response(self, request: ActiveRequest, response: Response) -> None:
        """Send an endpoint's response to the client."""
        final = FinalResponse(
            statuses.OK, response.body, response.content_type, content_length=response.content_length
        )
        self._reply(request, final, RequestOutcome.SERVED)
        # The client's greenlet writes the response before the policy processes the end of the attempt.
        # Notifications that arrive meanwhile are processed after it.
        gevent.sleep(0)

    def _complete(self, request_id: int, final: FinalResponse, outcome: RequestOutcome) -> None:
        """Send a final response that the policy decided on, unless the request is already completed."""
        request = self.active_requests.get(request_id)
        if request is not None and not request.is_completed:
            log.warning(
                "request_not_served",
                trace_id=request.client_request.trace_id,
                request_class=request.class_name,
                status=final.status,
                time_left_ms=(request.deadline - clock()) // MILLISECOND,
                attempts=request.describe_attempts(),
            )
            self._reply(request, final, outcome)
            self._forget_if_finished(request)

    def _reply(self, request: ActiveRequest, final: FinalResponse, outcome: RequestOutcome) -> None:
        request.is_completed = True
        self.metrics.record_outcome(request.class_name, outcome)
        request.reply(final)

    def _forget_if_finished(self, request: ActiveRequest) -> None:
        if request.is_completed and all(attempt.has_ended for attempt in request.attempts):
            self.active_requests.pop(request.request_id, None)
            request.release_references()

    # --- Attempts that the dispatcher ends -----------------------------------------------------------
    def time_out(self, attempt: Attempt, due_at: int) -> None:
        """End an attempt at its deadline: close its connection at once and notify the policy."""
        # A streamed response has timeouts of its own, and a deadline that was moved has another timer.
        if attempt.has_ended or attempt.has_response_started or attempt.deadline > due_at:
            return
        if self._extend_upload(attempt, due_at):
            return
        attempt.has_ended = True
        # The endpoint has no part in a body that did not come, and has not got its last byte.
        is_unsent = not attempt.is_written and attempt.request.is_upload_held_up_elsewhere()
        self._abort_attempt(attempt)
        latency = max(0, due_at - attempt.sent_at)
        outcome = Outcome.NOT_SENT if is_unsent else Outcome.TIMEOUT
        self._on_attempt_finished(due_at, FinishedAttempt(attempt, outcome, latency))

    def _extend_upload(self, attempt: Attempt, due_at: int) -> bool:
        """Postpone the deadline of an attempt whose client is still sending; return whether it was moved."""
        request = attempt.request
        if request.is_replayable:
            return False
        request.extend_deadline()
        attempt.deadline = min(request.deadline, self.shutdown_deadline)
        if attempt.deadline <= due_at:
            return False
        self.timers.schedule(attempt.deadline, attempt)
        return True

    def _cancel(self, request_id: int, attempt_index: int) -> None:
        """Cancel an attempt; its end is enqueued, as actions of the policy are still being performed."""
        request = self.active_requests.get(request_id)
        if request is None or request.attempts[attempt_index].has_ended:
            return
        attempt = request.attempts[attempt_index]
        cancelled_at = clock()
        attempt.has_ended = True
        self._abort_attempt(attempt)
        finished = FinishedAttempt(attempt, Outcome.CANCELLED, cancelled_at - attempt.sent_at)
        self.enqueue(finished, cancelled_at)

    # --- The policy ----------------------------------------------------------------------------------
    def _notify_policy(self, now: int, event: Event) -> None:
        """Pass an event to the policy with a time that never decreases, and perform the returned actions."""
        self._policy_time = max(self._policy_time, now)
        for action in self.policy.handle(self._policy_time, event):
            self.perform(action)

    def perform(self, action: Action) -> None:
        """Perform one action of the policy.

        Raises:
            NotImplementedError: The action is one that the policies of this program do not return.
        """
        match action:
            case StartAttempt():
                self._start(action)
            case SetTimer(delay, token):
                self.timers.schedule(self._policy_time + delay, TimerFired(token))
            case RejectRequest(request_id, retry_after):
                final = FinalResponse(statuses.SERVICE_UNAVAILABLE, retry_after=retry_after)
                self._complete(request_id, final, RequestOutcome.REJECTED)
            case FailRequest(request_id):
                self._complete(request_id, FinalResponse(statuses.BAD_GATEWAY), RequestOutcome.FAILED)
            case CancelAttempt(request_id, attempt_index):
                self._cancel(request_id, attempt_index)
            case WatchEndpoints(True):
                self._watch_endpoints()
            case CloseIdleConnections(endpoint):
                self._close_idle_connections(endpoint)
            case _:
                raise NotImplementedError(f"unsupported action of the policy: {action!r}")

    def _start(self, action: StartAttempt) -> None:
        request = self.active_requests[action.request_id]
        self.metrics.attempts_started += 1
        deadline = request.deadline
        if action.timeout:
            deadline = min(deadline, self._policy_time + action.timeout)
        attempt = Attempt(request, action.endpoint, clock(), deadline, action.write_deadline)
        request.attempts.append(attempt)
        self.timers.schedule(deadline, attempt)
        self._start_attempt(attempt)
