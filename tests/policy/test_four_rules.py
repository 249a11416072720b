"""Arbitrary valid sequences of events, checked by an independent model of the four rules."""

from __future__ import annotations

from dataclasses import replace
from random import Random

from hypothesis import HealthCheck, given, settings, strategies
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from linetrack.control.settings_switch import SettingsSwitch
from linetrack.policy.actions import Action, CancelAttempt, FailRequest, RejectRequest, SetTimer, StartAttempt
from linetrack.policy.balancer import Balancer
from linetrack.policy.events import (
    NEVER_EXECUTED,
    AttemptEnded,
    ClientDisconnected,
    EndpointEntry,
    EndpointListUpdate,
    EndpointStatus,
    Event,
    ListForm,
    Outcome,
    RequestReceived,
    TimerFired,
)
from linetrack.policy.settings import DeduplicationScope, Idempotency, Settings
from tests import helpers
from tests.helpers import CLASSES, MS, SECOND

TOLERANCE_US = 20 * MS
NAMES = [f"u{n}" for n in range(6)]
FAILURES = [o for o in Outcome if o is not Outcome.SUCCESS]


class TrackedRequest:
    """The state of one request in the model."""

    def __init__(self, settings: Settings, class_index: int, deadline: int) -> None:
        self.settings = settings
        self.request_class = settings.classes[class_index]
        self.deadline = deadline
        self.sent: list[tuple[str, int]] = []
        self.in_flight: set[int] = set()
        self.possibly_executed: list[int] = []
        self.is_over = False


class FourRules(RuleBasedStateMachine):
    """Simulates host, clients and endpoints, and checks every action against the text of the rules alone."""

    @initialize(
        parallel=strategies.booleans(), seed=strategies.integers(0, 99), is_advisory=strategies.booleans()
    )
    def start(self, parallel: bool, seed: int, is_advisory: bool) -> None:
        # if removal is advisory, only endpoints listed as draining are excluded, and permanently
        self.removal_is_advisory = is_advisory
        self.settings = helpers.settings(
            may_run_parallel_attempts=parallel, slow_start_duration=0, removal_is_advisory=is_advisory
        )
        self.policy = SettingsSwitch(Balancer(self.settings, seed))
        self.now = 1000 * SECOND
        self.received: dict[int, TrackedRequest] = {}
        self.timers: list[tuple[int, str]] = []
        self.unroutable: dict[str, int] = {}
        self.entries = {
            name: EndpointEntry(name, zone=index % 2, cell=index // 2) for index, name in enumerate(NAMES)
        }
        self.handle_event(EndpointListUpdate(ListForm.CACHED, tuple(self.entries.values())))

    @rule(
        parallel=strategies.booleans(),
        max_attempts=strategies.integers(1, 4),
        capacity_varies=strategies.booleans(),
        max_streams=strategies.sampled_from([1, 100]),
        has_fewer_classes=strategies.booleans(),
    )
    def switch_settings(
        self,
        parallel: bool,
        max_attempts: int,
        capacity_varies: bool,
        max_streams: int,
        has_fewer_classes: bool,
    ) -> None:
        """Switch settings at any time; open requests keep the class and limits that they arrived with."""
        self.settings = helpers.settings(
            classes=CLASSES[: 3 if has_fewer_classes else None],
            may_run_parallel_attempts=parallel,
            max_attempts=max_attempts,
            capacity_varies_with_load=capacity_varies,
            max_streams_per_connection=max_streams,
            slow_start_duration=0,
            removal_is_advisory=self.removal_is_advisory,
        )
        self.policy.switch(self.settings)

    def handle_event(self, event: Event) -> None:
        for action in self.policy.handle(self.now, event):
            self.check_action(action)

    def check_action(self, action: Action) -> None:
        if isinstance(action, SetTimer):
            self.timers.append((self.now + action.delay, action.token))
        elif isinstance(action, StartAttempt):
            self.check_send(self.received[action.request_id], action)
        elif isinstance(action, RejectRequest | FailRequest):
            request = self.received[action.request_id]
            assert not request.is_over, "a second final response"
            assert self.now <= request.deadline + TOLERANCE_US, "the final response is too late"
            may_be_executed = bool(request.in_flight or request.possibly_executed)
            if isinstance(action, RejectRequest) and may_be_executed:
                assert request.request_class.idempotency is not Idempotency.NON_IDEMPOTENT
                assert (
                    request.request_class.idempotency is Idempotency.IDEMPOTENT
                    or request.request_class.deduplication_scope is DeduplicationScope.ALL
                )
            request.is_over = True
        elif isinstance(action, CancelAttempt):
            assert action.attempt < len(self.received[action.request_id].sent)

    def check_send(self, request: TrackedRequest, action: StartAttempt) -> None:
        assert not request.is_over, "an attempt after the final response"
        assert action.endpoint not in self.unroutable, "sent to an endpoint listed as draining or removed"
        assert len(request.sent) < request.settings.max_attempts
        assert request.settings.may_run_parallel_attempts or not request.in_flight, (
            "parallel attempts are not allowed"
        )
        earlier_attempts = sorted(request.in_flight | set(request.possibly_executed))
        if earlier_attempts and request.request_class.idempotency is Idempotency.NON_IDEMPOTENT:
            raise AssertionError("a non-idempotent request was sent again")
        if earlier_attempts and request.request_class.idempotency is Idempotency.IDEMPOTENCY_KEY:
            endpoint, sent_at = request.sent[earlier_attempts[0]]
            first, next_ = self.entries[endpoint], self.entries[action.endpoint]
            assert self.now < sent_at + request.request_class.deduplication_window, (
                "outside the deduplication window"
            )
            assert (
                request.request_class.deduplication_scope is not DeduplicationScope.ZONE
                or first.zone == next_.zone
            )
            assert request.request_class.deduplication_scope is not DeduplicationScope.CELL or (
                first.zone,
                first.cell,
            ) == (next_.zone, next_.cell)
        request.in_flight.add(len(request.sent))
        request.sent.append((action.endpoint, self.now))

    @rule(
        class_index=strategies.integers(0, len(CLASSES) - 1), timeout=strategies.integers(50 * MS, 2 * SECOND)
    )
    def receive_request(self, class_index: int, timeout: int) -> None:
        number = len(self.received)
        class_index %= len(self.settings.classes)
        self.received[number] = TrackedRequest(self.settings, class_index, self.now + timeout)
        self.handle_event(RequestReceived(number, class_index, timeout))

    @rule(random=strategies.randoms(use_true_random=False), outcome=strategies.sampled_from(list(Outcome)))
    def end_random_attempt(self, random: Random, outcome: Outcome) -> None:
        in_flight = [
            (number, attempt)
            for number, request in self.received.items()
            for attempt in sorted(request.in_flight)
        ]
        if in_flight:
            number, attempt = random.choice(in_flight)
            self.finish(number, attempt, outcome)

    def finish(self, number: int, attempt: int, outcome: Outcome) -> None:
        request = self.received[number]
        request.in_flight.discard(attempt)
        if outcome not in NEVER_EXECUTED:
            request.possibly_executed.append(attempt)
        endpoint, sent_at = request.sent[attempt]
        if outcome is Outcome.SUCCESS:
            request.is_over = True
        self.handle_event(
            AttemptEnded(number, attempt, endpoint, outcome, self.now - sent_at, request.is_over, (1.0,))
        )

    @rule(step=strategies.integers(MS, 300 * MS))
    def advance_time(self, step: int) -> None:
        """Advance the clock; timers fire when due, and attempts time out at their request's deadline."""
        target = self.now + step
        while True:
            next_timer = min(self.timers, default=(target + 1, ""))
            timeouts = [
                (request.deadline, number)
                for number, request in self.received.items()
                if request.in_flight and not request.is_over
            ]
            next_timeout = min(timeouts, default=(target + 1, 0))
            if min(next_timer[0], next_timeout[0]) > target:
                break
            if next_timer[0] <= next_timeout[0]:
                self.timers.remove(next_timer)
                self.now = max(self.now, next_timer[0])
                self.handle_event(TimerFired(next_timer[1]))
            else:
                self.now = max(self.now, next_timeout[0])
                for attempt in sorted(self.received[next_timeout[1]].in_flight):
                    self.finish(next_timeout[1], attempt, Outcome.TIMEOUT)
        self.now = target

    @rule(name=strategies.sampled_from(NAMES), status=strategies.sampled_from(list(EndpointStatus)))
    def update_endpoint(self, name: str, status: EndpointStatus) -> None:
        self.record_status(name, status)
        self.handle_event(EndpointListUpdate(ListForm.DELTA, (replace(self.entries[name], status=status),)))

    def record_status(self, name: str, status: EndpointStatus) -> None:
        if self.removal_is_advisory and status is not EndpointStatus.DRAINING:
            return
        if status is EndpointStatus.UP:
            self.unroutable.pop(name, None)
        else:
            self.unroutable[name] = self.now

    @rule(listed=strategies.sets(strategies.sampled_from(NAMES)))
    def replace_list(self, listed: set[str]) -> None:
        for name in NAMES:
            self.record_status(name, EndpointStatus.UP if name in listed else EndpointStatus.REMOVED)
        self.handle_event(
            EndpointListUpdate(
                ListForm.SNAPSHOT, tuple(self.entries[name] for name in NAMES if name in listed)
            )
        )

    @precondition(lambda self: any(not request.is_over for request in self.received.values()))
    @rule()
    def client_disconnects(self) -> None:
        number = next(number for number, request in self.received.items() if not request.is_over)
        self.received[number].is_over = True
        self.handle_event(ClientDisconnected(number))

    @invariant()
    def every_request_is_answered_in_time(self) -> None:
        for request in getattr(self, "received", {}).values():
            assert request.is_over or self.now <= request.deadline + TOLERANCE_US, (
                "a request without a final response"
            )


TestFourRules = FourRules.TestCase
TestFourRules.settings = settings(
    max_examples=150,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=list(HealthCheck),
)


@settings(max_examples=40, deadline=None, derandomize=True, database=None)
@given(outcomes=strategies.lists(strategies.sampled_from(FAILURES), min_size=8, max_size=8))
def test_any_sequence_of_failures_ends_with_one_final_response(outcomes: list[Outcome]) -> None:
    for class_index in range(len(CLASSES)):
        driver = helpers.Driver()
        request, actions = driver.start_request(class_index)
        final_response_count = 0
        for attempt, outcome in enumerate(outcomes):
            final_response_count += sum(isinstance(a, RejectRequest | FailRequest) for a in actions)
            endpoints = helpers.sends(actions)
            if not endpoints:
                break
            actions = driver.end(request, endpoints[0], outcome, MS, attempt)
        assert final_response_count == 1
