"""Arbitrary legal event orders against an independent checker of the four rules."""

from __future__ import annotations

from dataclasses import replace

from hypothesis import HealthCheck, given, settings, strategies
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from linetrack.control.settings_switch import SettingsSwitch
from linetrack.policy.actions import Action, CancelAttempt, FailRequest, RejectRequest, SetTimer, StartAttempt
from linetrack.policy.events import (
    AttemptEnded,
    ClientDisconnected,
    EndpointEntry,
    EndpointListUpdate,
    EndpointStatus,
    Event,
    ListForm,
    NEVER_EXECUTED,
    Outcome,
    RequestReceived,
    TimerFired,
)
from linetrack.policy.settings import DeduplicationScope, Idempotency, Settings
from linetrack.policy.balancer import Balancer
from tests import helpers
from tests.helpers import CLASSES, MS, SECOND

SLACK = 20 * MS
NAMES = [f"u{n}" for n in range(6)]
FAILURES = [o for o in Outcome if o is not Outcome.SUCCESS]


class Asked:
    """What the checker knows of one request."""

    def __init__(self, settings: Settings, klass: int, until: int) -> None:
        self.settings, self.klass, self.until = settings, settings.classes[klass], until
        self.sent: list[tuple[str, int]] = []
        self.out: set[int] = set()
        self.maybe: list[int] = []
        self.over = False


class FourRules(RuleBasedStateMachine):
    """Plays the world; every action is judged from outside, by the wording of the rules alone."""

    @initialize(parallel=strategies.booleans(), seed=strategies.integers(0, 99), advice=strategies.booleans())
    def start(self, parallel: bool, seed: int, advice: bool) -> None:
        self.advice = advice  # only what was listed as draining binds, and for good
        self.settings = helpers.settings(may_run_parallel_attempts=parallel, slow_start_duration=0, removal_is_advisory=advice)
        self.balancer = SettingsSwitch(Balancer(self.settings, seed))
        self.now = 1000 * SECOND
        self.asked: dict[int, Asked] = {}
        self.timers: list[tuple[int, str]] = []
        self.told_gone: dict[str, int] = {}
        self.places = {n: EndpointEntry(n, zone=k % 2, cell=k // 2) for k, n in enumerate(NAMES)}
        self.play(EndpointListUpdate(ListForm.CACHED, tuple(self.places.values())))

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
            removal_is_advisory=self.advice,
        )
        self.balancer.switch(self.settings)

    def play(self, event: Event) -> None:
        for action in self.balancer.handle(self.now, event):
            self.judge(action)

    def judge(self, action: Action) -> None:
        if isinstance(action, SetTimer):
            self.timers.append((self.now + action.delay, action.token))
        elif isinstance(action, StartAttempt):
            self.judge_send(self.asked[action.request_id], action)
        elif isinstance(action, RejectRequest | FailRequest):
            one = self.asked[action.request_id]
            assert not one.over, "a second final answer"
            assert self.now <= one.until + SLACK, "answered too late"
            maybe = bool(one.out or one.maybe)
            if isinstance(action, RejectRequest) and maybe:
                assert one.klass.idempotency is not Idempotency.NON_IDEMPOTENT
                assert one.klass.idempotency is Idempotency.IDEMPOTENT or one.klass.deduplication_scope is DeduplicationScope.ALL
            one.over = True
        elif isinstance(action, CancelAttempt):
            assert action.attempt < len(self.asked[action.request_id].sent)

    def judge_send(self, one: Asked, action: StartAttempt) -> None:
        assert not one.over, "sent after the end"
        assert action.endpoint not in self.told_gone, "sent to one told as draining or gone"
        assert len(one.sent) < one.settings.max_attempts
        assert one.settings.may_run_parallel_attempts or not one.out, "two at once"
        before = sorted(one.out | set(one.maybe))
        if before and one.klass.idempotency is Idempotency.NON_IDEMPOTENT:
            raise AssertionError("an unsafe request sent again")
        if before and one.klass.idempotency is Idempotency.IDEMPOTENCY_KEY:
            upstream, at = one.sent[before[0]]
            here, there = self.places[upstream], self.places[action.endpoint]
            assert self.now < at + one.klass.deduplication_window, "outside the window"
            assert one.klass.deduplication_scope is not DeduplicationScope.ZONE or here.zone == there.zone
            assert one.klass.deduplication_scope is not DeduplicationScope.CELL or (here.zone, here.cell) == (there.zone, there.cell)
        one.out.add(len(one.sent))
        one.sent.append((action.endpoint, self.now))

    @rule(klass=strategies.integers(0, len(CLASSES) - 1), patience=strategies.integers(50 * MS, 2 * SECOND))
    def request(self, klass: int, patience: int) -> None:
        number = len(self.asked)
        klass %= len(self.settings.classes)
        self.asked[number] = Asked(self.settings, klass, self.now + patience)
        self.play(RequestReceived(number, klass, patience))

    @rule(pick=strategies.randoms(use_true_random=False), outcome=strategies.sampled_from(list(Outcome)))
    def outcome(self, pick: object, outcome: Outcome) -> None:
        out = [(n, a) for n, one in self.asked.items() for a in sorted(one.out)]
        if out:
            number, attempt = pick.choice(out)  # type: ignore[attr-defined]
            self.finish(number, attempt, outcome)

    def finish(self, number: int, attempt: int, outcome: Outcome) -> None:
        one = self.asked[number]
        one.out.discard(attempt)
        if outcome not in NEVER_EXECUTED:
            one.maybe.append(attempt)
        upstream, at = one.sent[attempt]
        if outcome is Outcome.SUCCESS:
            one.over = True
        self.play(AttemptEnded(number, attempt, upstream, outcome, self.now - at, one.over, (1.0,)))

    @rule(step=strategies.integers(MS, 300 * MS))
    def time_passes(self, step: int) -> None:
        """Timers come as asked; attempts of a request time out at its deadline."""
        target = self.now + step
        while True:
            due = min(self.timers, default=(target + 1, ""))
            ends = [(o.until, n) for n, o in self.asked.items() if o.out and not o.over]
            end = min(ends, default=(target + 1, 0))
            if min(due[0], end[0]) > target:
                break
            if due[0] <= end[0]:
                self.timers.remove(due)
                self.now = max(self.now, due[0])
                self.play(TimerFired(due[1]))
            else:
                self.now = max(self.now, end[0])
                for attempt in sorted(self.asked[end[1]].out):
                    self.finish(end[1], attempt, Outcome.TIMEOUT)
        self.now = target

    @rule(name=strategies.sampled_from(NAMES), health=strategies.sampled_from(list(EndpointStatus)))
    def news(self, name: str, health: EndpointStatus) -> None:
        self.tell(name, health)
        self.play(EndpointListUpdate(ListForm.DELTA, (replace(self.places[name], status=health),)))

    def tell(self, name: str, health: EndpointStatus) -> None:
        if self.advice and health is not EndpointStatus.DRAINING:
            return
        if health is EndpointStatus.UP:
            self.told_gone.pop(name, None)
        else:
            self.told_gone[name] = self.now

    @rule(listed=strategies.sets(strategies.sampled_from(NAMES)))
    def whole_list(self, listed: set[str]) -> None:
        for name in NAMES:
            self.tell(name, EndpointStatus.UP if name in listed else EndpointStatus.REMOVED)
        self.play(EndpointListUpdate(ListForm.SNAPSHOT, tuple(self.places[n] for n in NAMES if n in listed)))

    @precondition(lambda self: any(not one.over for one in self.asked.values()))
    @rule()
    def client_leaves(self) -> None:
        number = next(n for n, one in self.asked.items() if not one.over)
        self.asked[number].over = True
        self.play(ClientDisconnected(number))

    @invariant()
    def none_is_lost(self) -> None:
        for one in getattr(self, "asked", {}).values():
            assert one.over or self.now <= one.until + SLACK, "a request without its answer"


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
    for klass in range(len(CLASSES)):
        driver = helpers.Driver()
        request, actions = driver.ask(klass)
        finals = 0
        for attempt, outcome in enumerate(outcomes):
            finals += sum(isinstance(a, RejectRequest | FailRequest) for a in actions)
            upstreams = helpers.sends(actions)
            if not upstreams:
                break
            actions = driver.end(request, upstreams[0], outcome, MS, attempt)
        assert finals == 1
