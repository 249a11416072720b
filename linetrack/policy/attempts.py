"""The lifecycle of a request: its attempts, hedging, retries and final response.

The first attempt goes to the first candidate.  A hedged attempt follows after a timer, as in "The Tail at
Scale" by Dean and Barroso, and only where the request class and the settings allow parallel attempts.  A
failed attempt is retried if a retry is worthwhile and the retry budget has enough tokens.  All times are
integer microseconds.
"""

from __future__ import annotations

from linetrack.policy.actions import Action, CancelAttempt, SetTimer
from linetrack.policy.admission import Admission
from linetrack.policy.attempt_outcomes import OutcomeRecorder
from linetrack.policy.candidate_selection import CandidateSelector
from linetrack.policy.endpoint import Attempt, Endpoint
from linetrack.policy.events import NEVER_EXECUTED, AttemptEnded, Outcome, RequestReceived
from linetrack.policy.latency_model import HEDGE_DELAY_RATIO, LatencyModel
from linetrack.policy.request import Request
from linetrack.policy.retry_limits import HEDGE_PRICE, RETRY_PRICE, RetryLimits
from linetrack.policy.send_guard import SendGuard
from linetrack.policy.settings import Idempotency, Settings

WAIT_TOKEN = "hold"  # token of the timer after which a waiting request checks for an endpoint again
HEDGE_TOKEN = "copy"  # token of the timer after which a hedged attempt is due
WAIT_INTERVAL_US = 20_000  # interval at which a waiting request checks for an endpoint
MAX_WAIT_RATIO = 0.25  # maximum wait for an endpoint, as a share of the latency objective

# A hedged attempt waits until the time left to the objective is this multiple of its own expected latency.
HEDGE_RESERVE_RATIO = 5.0


class RequestLifecycle:
    """Handles the open requests of one instance until their final responses."""

    def __init__(
        self,
        settings: Settings,
        admission: Admission,
        selector: CandidateSelector,
        latency_model: LatencyModel,
        guard: SendGuard,
        outcomes: OutcomeRecorder,
        retry_limits: RetryLimits,
        actions: list[Action],
    ) -> None:
        """Initialize without requests; resulting actions are appended to `actions`."""
        self._settings = settings
        self._admission = admission
        self._selector = selector
        self._latency_model = latency_model
        self._guard = guard
        self._outcomes = outcomes
        self._retry_limits = retry_limits
        self._actions = actions
        self.requests: dict[int, Request] = {}  # requests without a final response, by request id
        # attempts in flight whose request is closed, by request id and attempt number
        self.abandoned: dict[tuple[int, int], Attempt] = {}

    def receive(self, now: int, received: RequestReceived) -> None:
        """Handle a new request: start its first attempt, let it wait for an endpoint, or reject it."""
        request = Request(received, self._settings.classes[received.class_index], now)
        self.requests[request.request_id] = request
        self._admission.record_request(now, request)
        self._retry_limits.record_request(now)
        self._admission.record_class(now, request.class_index)
        if self._admission.admits(now, received) and self._guard.scope(now, request) is not None:
            self._start(now, request)
        else:
            self._give_up(now, request)

    def timer_fired(self, now: int, kind: str, request_id: int) -> None:
        """Handle a timer of a request."""
        request = self.requests.get(request_id)
        if request is None:
            return
        if kind == WAIT_TOKEN and request.is_waiting:
            request.is_waiting = False
            self._start(now, request)
        elif kind == HEDGE_TOKEN and len(request.in_flight) == 1 and not request.response_started_at:
            self._hedge(now, request)

    def body_sent(self, now: int, request_id: int, attempt_number: int) -> None:
        """Restart the clock of an attempt whose long body has been sent completely."""
        request = self.requests.get(request_id)
        attempt = request.in_flight.get(attempt_number) if request else None
        if request is None or attempt is None:
            return
        attempt.sent_at = now
        if not request.received.is_replayable:
            request.started_at = now
            request.deadline = now + request.received.timeout
            attempt.endpoint.in_flight[(request_id, attempt_number)] = attempt

    def response_started(self, now: int, request_id: int, attempt_number: int) -> None:
        """Bind the request to the attempt whose streamed response begins, which no longer counts as load."""
        request = self.requests.get(request_id)
        if request is None:
            return
        if attempt := request.in_flight.get(attempt_number):
            attempt.endpoint.in_flight.pop((request_id, attempt_number), None)
        if self._settings.may_cancel:
            self._cancel([number for number in request.in_flight if number != attempt_number], request_id)
        request.response_started_at = now

    def attempt_ended(self, now: int, event: AttemptEnded) -> None:
        """Record the end of an attempt, and close or retry its request."""
        request = self.requests.get(event.request_id)
        key = (event.request_id, event.attempt)
        if request is None:
            attempt = self.abandoned.pop(key, None)
        else:
            attempt = request.in_flight.pop(event.attempt, None)
        if attempt is not None:
            attempt.endpoint.in_flight.pop(key, None)
            self._outcomes.record(now, attempt, event)
            is_success = event.outcome is Outcome.SUCCESS
            self._selector.refresh(now, attempt.endpoint, keep_others=is_success)
        if request is None:
            return
        if event.request_completed:
            is_served = event.outcome is Outcome.SUCCESS
            if is_served and attempt is not None and attempt.is_hedge:
                self._retry_limits.record_hedge_served()
            self._close(now, request, is_served)
        elif attempt is not None:
            self._attempt_failed(now, request, attempt, event.outcome)

    def client_disconnected(self, now: int, request_id: int) -> None:
        """Close a request whose client has disconnected."""
        if request := self.requests.get(request_id):
            self._close(now, request, False)

    def _start(self, now: int, request: Request) -> None:
        """Send the request to its first candidate, shed it, or let it wait for an endpoint."""
        self._selector.select_candidates(now, request)
        endpoint = request.first_candidate
        if endpoint is not None and request.net_value < 0:
            self._admission.record_shed(now, request)
            self._give_up(now, request)
        elif endpoint is None or not self._send(now, request, endpoint):
            self._wait(now, request)

    def _wait(self, now: int, request: Request) -> None:
        """Check for an endpoint again shortly, or give up after a share of the latency objective."""
        max_wait = int(MAX_WAIT_RATIO * request.request_class.latency_objective)
        wait_until = min(request.deadline - 2 * WAIT_INTERVAL_US, request.started_at + max_wait)
        if now + WAIT_INTERVAL_US > wait_until:
            self._give_up(now, request)
        else:
            request.is_waiting = True
            self._actions.append(SetTimer(WAIT_INTERVAL_US, f"{WAIT_TOKEN}:{request.request_id}"))

    def _send(self, now: int, request: Request, endpoint: Endpoint) -> bool:
        """Start the next attempt and the timer for hedging it; return whether the guard allowed it."""
        attempt = self._guard.send(now, request, endpoint)
        if attempt is None:
            return False
        self._selector.refresh(now, endpoint, keep_others=True)
        may_hedge = request.request_class.idempotency is not Idempotency.NON_IDEMPOTENT
        if self._settings.may_run_parallel_attempts and may_hedge and attempt.expected_latency:
            delay = self._hedge_delay(now, request, attempt)
            self._actions.append(SetTimer(int(delay) + 1, f"{HEDGE_TOKEN}:{request.request_id}"))
        return True

    def _hedge_delay(self, now: int, request: Request, attempt: Attempt) -> float:
        """Return the delay of a hedged attempt; most first attempts are answered within it."""
        hedge_latency = attempt.expected_latency
        if request.second_candidate:
            latency = self._latency_model.expected_latency(now, request.second_candidate)
            hedge_latency = request.class_cost * latency
        remaining_time = request.request_class.latency_objective - (now - request.started_at)
        return max(
            HEDGE_DELAY_RATIO * attempt.expected_latency, remaining_time - HEDGE_RESERVE_RATIO * hedge_latency
        )

    def _hedge(self, now: int, request: Request) -> None:
        """Start a hedged attempt, if it is worthwhile and the retry budget covers it."""
        self._try_next(now, request, HEDGE_PRICE)

    def _attempt_failed(self, now: int, request: Request, attempt: Attempt, outcome: Outcome) -> None:
        """Retry or give up a request after a failed attempt, unless another one is still in flight."""
        self._guard.record_end(request, attempt, outcome)
        if request.in_flight or request.is_waiting:
            return
        # an attempt that was never executed put no load on an endpoint, so its retry is free
        price = 0.0 if outcome in NEVER_EXECUTED else RETRY_PRICE
        if not self._try_next(now, request, price) and not request.in_flight:
            self._give_up(now, request)

    def _try_next(self, now: int, request: Request, price: float) -> bool:
        """Start one more attempt if an endpoint is available, it is worthwhile and the budget covers it."""
        endpoint = self._selector.next_endpoint(now, request)
        if endpoint is None:
            return False
        key_expires_at = self._guard.stored_key_expires_at(now, request)
        if not self._admission.is_retry_worthwhile(now, request, endpoint, key_expires_at):
            return False
        if not self._retry_limits.allows(now, price):
            return False
        if not self._send(now, request, endpoint):
            return False
        self._retry_limits.record_retry(price)
        return True

    def _give_up(self, now: int, request: Request) -> None:
        self._guard.respond(now, request)
        self._close(now, request, False)

    def _close(self, now: int, request: Request, is_served: bool) -> None:
        """Close the request: send nothing more for it and cancel its attempts in flight where allowed."""
        self._guard.close(request)
        del self.requests[request.request_id]
        self._admission.record_completion(now, request, is_served)
        for number, attempt in request.in_flight.items():
            self.abandoned[(request.request_id, number)] = attempt
        if self._settings.may_cancel and not request.response_started_at:
            self._cancel(list(request.in_flight), request.request_id)

    def _cancel(self, attempt_numbers: list[int], request_id: int) -> None:
        self._actions += [CancelAttempt(request_id, number) for number in attempt_numbers]
