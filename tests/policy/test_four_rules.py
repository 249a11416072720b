"""Arbitrary legal event orders against an independent checker of the four rules."""

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

SLACK = 20 * MS
NAMES = [f"u{n}" for n in range(6)]
FAILURES = [o for o in Outcome if o is not Outcome.SUCCESS]


class Received:
    """What the checker knows of one request."""

    def __init__(self, settings: Settings, class_index: int, deadline: int) -> None:
        self.settings = settings
        self.request_class = settings.classes[class_index]
        self.deadline = deadline
        self.sent: list[tuple[str, int]] = []
        self.in_flight: set[int] = set()
        self.possible: list[int] = []
        self.over = False


class FourRules(RuleBasedStateMachine):
    """Plays the world; every action is judged from outside, by the wording of the rules alone."""

    @initialize(
        parallel=strategies.booleans(), seed=strategies.integers(0, 99), advisory=strategies.booleans()
    )
    def start(self, parallel: bool, seed: int, advisory: bool) -> None:
        self.removal_is_advisory = advisory  # only what was listed as draining binds, and for good
        self.settings = helpers.settings(
            may_run_parallel_attempts=parallel, slow_start_duration=0, removal_is_advisory=advisory
        )
        self.policy = SettingsSwitch(Balancer(self.settings, seed))
        self.now = 1000 * SECOND
        self.received: dict[int, Received] = {}
        self.timers: list[tuple[int, str]] = []
        self.unroutable: dict[str, int] = {}
        self.entries = {n: EndpointEntry(n, zone=k % 2, cell=k // 2) for k, n in enumerate(NAMES)}
        self.play(EndpointListUpdate(ListForm.CACHED, tuple(self.entries.values())))

    @rule(
        parallel=strategies.booleans(),
        attempts=strategies.integers(1, 4),
        live=strategies.booleans(),
        streams=strategies.sampled_from([1, 100]),
        fewer=strategies.booleans(),
    )
    def other_settings(self, parallel: bool, attempts: int, live: bool, streams: int, fewer: bool) -> None:
        """A switch at any point: what is open keeps the class and the limits with which it was taken."""
        self.settings = helpers.settings(
            classes=CLASSES[: 3 if fewer else None],
            may_run_parallel_attempts=parallel,
            max_attempts=attempts,
            capacity_varies_with_load=live,
            max_streams_per_connection=streams,
            slow_start_duration=0,
            removal_is_advisory=self.removal_is_advisory,
        )
        self.policy.switch(self.settings)

    def play(self, event: Event) -> None:
        for action in self.policy.handle(self.now, event):
            self.judge(action)

    def judge(self, action: Action) -> None:
        if isinstance(action, SetTimer):
            self.timers.append((self.now + action.delay, action.token))
        elif isinstance(action, StartAttempt):
            self.judge_send(self.received[action.request_id], action)
        elif isinstance(action, RejectRequest | FailRequest):
            one = self.received[action.request_id]
            assert not one.over, "a second final answer"
            assert self.now <= one.deadline + SLACK, "answered too late"
            may_be_executed = bool(one.in_flight or one.possible)
            if isinstance(action, RejectRequest) and may_be_executed:
                assert one.request_class.idempotency is not Idempotency.NON_IDEMPOTENT
                assert (
                    one.request_class.idempotency is Idempotency.IDEMPOTENT
                    or one.request_class.deduplication_scope is DeduplicationScope.ALL
                )
            one.over = True
        elif isinstance(action, CancelAttempt):
            assert action.attempt < len(self.received[action.request_id].sent)

    def judge_send(self, one: Received, action: StartAttempt) -> None:
        assert not one.over, "sent after the end"
        assert action.endpoint not in self.unroutable, "sent to an endpoint listed as draining or removed"
        assert len(one.sent) < one.settings.max_attempts
        assert one.settings.may_run_parallel_attempts or not one.in_flight, "two at once"
        before = sorted(one.in_flight | set(one.possible))
        if before and one.request_class.idempotency is Idempotency.NON_IDEMPOTENT:
            raise AssertionError("a non-idempotent request sent again")
        if before and one.request_class.idempotency is Idempotency.IDEMPOTENCY_KEY:
            endpoint, at = one.sent[before[0]]
            here, there = self.entries[endpoint], self.entries[action.endpoint]
            assert self.now < at + one.request_class.deduplication_window, "outside the window"
            assert (
                one.request_class.deduplication_scope is not DeduplicationScope.ZONE
                or here.zone == there.zone
            )
            assert one.request_class.deduplication_scope is not DeduplicationScope.CELL or (
                here.zone,
                here.cell,
            ) == (there.zone, there.cell)
        one.in_flight.add(len(one.sent))
        one.sent.append((action.endpoint, self.now))

    @rule(
        class_index=strategies.integers(0, len(CLASSES) - 1), timeout=strategies.integers(50 * MS, 2 * SECOND)
    )
    def request(self, class_index: int, timeout: int) -> None:
        number = len(self.received)
        class_index %= len(self.settings.classes)
        self.received[number] = Received(self.settings, class_index, self.now + timeout)
        self.play(RequestReceived(number, class_index, timeout))

    @rule(pick=strategies.randoms(use_true_random=False), outcome=strategies.sampled_from(list(Outcome)))
    def outcome(self, pick: Random, outcome: Outcome) -> None:
        out = [(n, a) for n, one in self.received.items() for a in sorted(one.in_flight)]
        if out:
            number, attempt = pick.choice(out)
            self.finish(number, attempt, outcome)

    def finish(self, number: int, attempt: int, outcome: Outcome) -> None:
        one = self.received[number]
        one.in_flight.discard(attempt)
        if outcome not in NEVER_EXECUTED:
            one.possible.append(attempt)
        endpoint, at = one.sent[attempt]
        if outcome is Outcome.SUCCESS:
            one.over = True
        self.play(AttemptEnded(number, attempt, endpoint, outcome, self.now - at, one.over, (1.0,)))

    @rule(step=strategies.integers(MS, 300 * MS))
    def time_passes(self, step: int) -> None:
        """Timers come as asked; attempts of a request time out at its deadline."""
        target = self.now + step
        while True:
            due = min(self.timers, default=(target + 1, ""))
            ends = [(o.deadline, n) for n, o in self.received.items() if o.in_flight and not o.over]
            end = min(ends, default=(target + 1, 0))
            if min(due[0], end[0]) > target:
                break
            if due[0] <= end[0]:
                self.timers.remove(due)
                self.now = max(self.now, due[0])
                self.play(TimerFired(due[1]))
            else:
                self.now = max(self.now, end[0])
                for attempt in sorted(self.received[end[1]].in_flight):
                    self.finish(end[1], attempt, Outcome.TIMEOUT)
        self.now = target

    @rule(name=strategies.sampled_from(NAMES), status=strategies.sampled_from(list(EndpointStatus)))
    def list_changes(self, name: str, status: EndpointStatus) -> None:
        self.note_status(name, status)
        self.play(EndpointListUpdate(ListForm.DELTA, (replace(self.entries[name], status=status),)))

    def note_status(self, name: str, status: EndpointStatus) -> None:
        if self.removal_is_advisory and status is not EndpointStatus.DRAINING:
            return
        if status is EndpointStatus.UP:
            self.unroutable.pop(name, None)
        else:
            self.unroutable[name] = self.now

    @rule(listed=strategies.sets(strategies.sampled_from(NAMES)))
    def list_snapshot(self, listed: set[str]) -> None:
        for name in NAMES:
            self.note_status(name, EndpointStatus.UP if name in listed else EndpointStatus.REMOVED)
        self.play(EndpointListUpdate(ListForm.SNAPSHOT, tuple(self.entries[n] for n in NAMES if n in listed)))

    @precondition(lambda self: any(not one.over for one in self.received.values()))
    @rule()
    def client_leaves(self) -> None:
        number = next(n for n, one in self.received.items() if not one.over)
        self.received[number].over = True
        self.play(ClientDisconnected(number))

    @invariant()
    def none_is_lost(self) -> None:
        for one in getattr(self, "received", {}).values():
            assert one.over or self.now <= one.deadline + SLACK, "a request without its answer"


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
def test_any_run_of_failures_ends_once(outcomes: list[Outcome]) -> None:
    for class_index in range(len(CLASSES)):
        driver = helpers.Driver()
        request, actions = driver.start_request(class_index)
        finals = 0
        for attempt, outcome in enumerate(outcomes):
            finals += sum(isinstance(a, RejectRequest | FailRequest) for a in actions)
            endpoints = helpers.sends(actions)
            if not endpoints:
                break
            actions = driver.end(request, endpoints[0], outcome, MS, attempt)
        assert finals == 1
