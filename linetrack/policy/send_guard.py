"""Checks every attempt and every final response against four rules that no other component may override.

1. Each request gets exactly one final response, and no attempt after it.
2. No effect happens twice: a non-idempotent request is not sent again once it may have been executed.  A
   request with an idempotency key is then sent only to endpoints that recognise the key, and only while they
   remember it.  The number of attempts is limited, and attempts beyond the first also by a sliding window.
3. A draining or removed endpoint gets no new attempts.
4. A warming endpoint gets no more than it can bear from all instances together.
"""

from __future__ import annotations

from typing import NamedTuple

from linetrack.policy.actions import Action, CloseIdleConnections, FailRequest, RejectRequest, StartAttempt
from linetrack.policy.endpoint import Attempt, Endpoint
from linetrack.policy.events import NEVER_EXECUTED, Outcome
from linetrack.policy.models import Models
from linetrack.policy.protocols import IdempotencyKeyStore, OverloadController, PossibleExecution
from linetrack.policy.request import Request
from linetrack.policy.retry_limits import RetryWindow
from linetrack.policy.settings import DeduplicationScope, Idempotency, Settings
from linetrack.policy.slow_start import SlowStart


class Scope(NamedTuple):
    """The zone and cell to which a request's next attempt is restricted; None: unrestricted."""

    zone: int | None
    cell: int | None


EVERYWHERE = Scope(None, None)


class SendGuard:
    """Checks each attempt against the rules and starts it; gives the policy's final responses."""

    def __init__(
        self,
        settings: Settings,
        retry_window: RetryWindow,
        slow_start: SlowStart,
        models: Models,
        overload_controller: OverloadController | None,
        key_store: IdempotencyKeyStore | None,
        actions: list[Action],
    ) -> None:
        """Initialize with the components that the rules depend on; actions are appended to `actions`."""
        self._settings = settings
        self._retry_window = retry_window
        self._slow_start = slow_start
        self._latency_model = models.latency
        self._idle_connections = models.idle_connections
        self._overload_controller = overload_controller
        self._key_store = key_store
        self._actions = actions

    def scope(self, now: int, request: Request) -> Scope | None:
        """Return the scope of the request's next attempt; None if there must not be another attempt.

        An unrestricted scope is the object `EVERYWHERE` itself, so that callers can compare by identity.
        """
        settings = self._settings
        max_attempts = settings.max_attempts if request.received.is_replayable else 1
        if request.response_started_at or now >= request.deadline or request.attempt_count >= max_attempts:
            return None
        if not request.attempt_count and not self._key_store:
            return EVERYWHERE
        idempotency = request.request_class.idempotency
        executions = self._executions(now, request)
        if request.in_flight and not settings.may_run_parallel_attempts:
            return None
        if executions and idempotency is Idempotency.NON_IDEMPOTENT:
            return None
        if request.attempt_count and self._retry_window.is_exhausted(now):
            return None
        if executions and idempotency is Idempotency.IDEMPOTENCY_KEY:
            # the last byte of a long body may arrive after the key has been forgotten
            if request.received.has_long_body or now >= self.key_expires_at(now, request):
                return None
            return _deduplication_scope(request, executions[0])
        return EVERYWHERE

    def permits(self, now: int, request: Request, scope: Scope, endpoint: Endpoint) -> bool:
        """Return whether the request's next attempt, in this scope, may go to the endpoint."""
        if not endpoint.is_routable or (scope.zone is not None and endpoint.zone != scope.zone):
            return False
        if scope.cell is not None and endpoint.cell != scope.cell:
            return False
        return now >= endpoint.warm_at or self._slow_start.permits(now, request, endpoint)

    def send(self, now: int, request: Request, endpoint: Endpoint) -> Attempt | None:
        """Start the request's next attempt at the endpoint; return None if a rule forbids it."""
        scope = self.scope(now, request) if request.is_open else None
        if scope is None or not self.permits(now, request, scope, endpoint):
            return None
        attempt = Attempt(request.attempt_count, request.class_index, endpoint, bool(request.in_flight), now)
        attempt.request_class = request.request_class
        if self._idle_connections.is_expired(now, attempt):
            # a request sent on a dropped connection is lost, but has to count as possibly executed
            self._actions.append(CloseIdleConnections(endpoint.name))
            attempt.idle_time = 0
        is_key_known = request.attempt_count or self._key_store
        write_deadline = self.key_expires_at(now, request) if is_key_known else 0
        self._latency_model.predict(now, attempt)
        self._record(now, request, attempt)
        self._actions.append(StartAttempt(request.request_id, endpoint.name, write_deadline=write_deadline))
        return attempt

    def record_end(self, request: Request, attempt: Attempt, outcome: Outcome) -> None:
        """Record the end of an attempt: it may have been executed unless the outcome rules that out."""
        execution = PossibleExecution(attempt.endpoint.zone, attempt.endpoint.cell, attempt.sent_at)
        if outcome not in NEVER_EXECUTED:
            request.possible_executions.append(execution)
        elif self._key_store:
            self._key_store.discard(request.received.idempotency_key, execution)

    def respond(self, now: int, request: Request) -> None:
        """Give the final response to an abandoned request: a rejection if a client retry is harmless."""
        if not request.is_open:
            return
        request.is_open = False
        request_class = request.request_class
        has_key = request_class.idempotency is Idempotency.IDEMPOTENCY_KEY
        is_key_known_to_all = request_class.deduplication_scope is DeduplicationScope.ALL
        is_retry_harmless = request_class.idempotency is Idempotency.IDEMPOTENT or (
            has_key and is_key_known_to_all
        )
        max_retry_after = self._settings.max_retry_after
        retry_after = (
            min(max_retry_after, request_class.latency_objective)
            if self._settings.may_send_retry_after
            else 0
        )
        may_be_executed = bool(self._executions(now, request))
        if self._key_store and may_be_executed and has_key:
            # a client retry is not harmless after endpoints have forgotten the key
            latest_retry = now + (max_retry_after if self._overload_controller else retry_after)
            is_retry_harmless = is_retry_harmless and latest_retry < self.key_expires_at(now, request)
        if may_be_executed and not is_retry_harmless:
            self._actions.append(FailRequest(request.request_id))
            return
        if retry_after and self._overload_controller:
            retry_after = self._overload_controller.retry_after(
                now, request_class.latency_objective, max_retry_after
            )
        self._actions.append(RejectRequest(request.request_id, retry_after))

    def close(self, request: Request) -> None:
        """Forbid further attempts and responses: the client has a response, or has disconnected."""
        request.is_open = False

    def key_expires_at(self, now: int, request: Request) -> int:
        """Return when endpoints begin to forget the request's key; 0 if it has none or none can know it."""
        if request.request_class.idempotency is not Idempotency.IDEMPOTENCY_KEY:
            return 0
        executions = self._executions(now, request)
        if not executions:
            return 0
        return min(execution.sent_at for execution in executions) + request.request_class.deduplication_window

    def stored_key_expires_at(self, now: int, request: Request) -> int:
        """Return `key_expires_at` if keys are stored across requests, and 0 otherwise."""
        return self.key_expires_at(now, request) if self._key_store else 0

    def _executions(self, now: int, request: Request) -> list[PossibleExecution]:
        """Return the executions that are possible now or later, of all requests with its key if stored."""
        if self._key_store and self._has_stored_key(request):
            return self._key_store.executions(now, request.received.idempotency_key)
        in_flight = [
            PossibleExecution(attempt.endpoint.zone, attempt.endpoint.cell, attempt.sent_at)
            for attempt in request.in_flight.values()
        ]
        return request.possible_executions + in_flight if in_flight else request.possible_executions

    def _has_stored_key(self, request: Request) -> bool:
        has_key = request.request_class.idempotency is Idempotency.IDEMPOTENCY_KEY
        return bool(request.received.idempotency_key) and has_key

    def _record(self, now: int, request: Request, attempt: Attempt) -> None:
        """Record the attempt in all state that counts attempts, before it starts."""
        endpoint = attempt.endpoint
        request.in_flight[attempt.number] = attempt
        if request.received.is_replayable:
            # a streamed body counts as load only after its last byte was sent
            endpoint.in_flight[(request.request_id, attempt.number)] = attempt
        if self._key_store and self._has_stored_key(request):
            execution = PossibleExecution(endpoint.zone, endpoint.cell, now)
            self._key_store.add(request.received.idempotency_key, execution)
        if request.attempt_count:
            self._retry_window.record_retry(now)
        request.attempt_count += 1
        request.attempted.append(endpoint)
        self._slow_start.record_send(now, endpoint)


def _deduplication_scope(request: Request, execution: PossibleExecution) -> Scope:
    """Return the scope that knows the request's key if this attempt was executed."""
    match request.request_class.deduplication_scope:
        case DeduplicationScope.ALL:
            return EVERYWHERE
        case DeduplicationScope.ZONE:
            return Scope(execution.zone, None)
        case DeduplicationScope.CELL:
            return Scope(execution.zone, execution.cell)
