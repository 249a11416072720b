"""A host that feeds a policy random events of all kinds, with settings switches and handovers."""

from __future__ import annotations

import json
import math
from collections import Counter
from collections.abc import Callable
from random import Random

from linetrack.control.idempotency_keys import IdempotencyKeyTable
from linetrack.control.overload_control import AdaptiveOverloadController
from linetrack.control.settings_switch import SettingsSwitch
from linetrack.policy.actions import SetTimer, StartAttempt
from linetrack.policy.balancer import Balancer
from linetrack.policy.events import (
    AttemptEnded,
    ClientDisconnected,
    EndpointEntry,
    EndpointListUpdate,
    EndpointStatus,
    Event,
    HealthCheckEnded,
    ListForm,
    Outcome,
    PeerMessageReceived,
    RequestBodySent,
    RequestReceived,
    ResponseStarted,
    TimerFired,
)
from linetrack.policy.settings import Settings
from tests.helpers import MS, SECOND

CLOCK_DIFFERENCES = (0, 1, MS, 3 * SECOND, 300 * SECOND)
NUMBERS = (0.0, 0.5, 1.0, 50.0, -1.0, 1e-300, 1e300, math.inf, math.nan)
STATUSES = (*[EndpointStatus.UP] * 4, EndpointStatus.DRAINING, EndpointStatus.REMOVED)
TIME_STEPS = (0, 0, 1, MS, 20 * MS, 500 * MS, 3 * SECOND, 60 * SECOND)
TIMEOUTS = (0, 1, MS, 2 * SECOND, 3600 * SECOND)
LATENCIES = (0, 1, 50 * MS, SECOND, 1000 * SECOND)
TENANT_WITHOUT_QUOTA = 99  # an index that no list of quotas contains

AttemptKey = tuple[int, int]  # request id and attempt number


class RandomHost:
    """Feeds events drawn from one seed, and tracks what a host tracks: attempts in flight and timers."""

    def __init__(self, settings: Settings, seed: int, has_overload_control: bool) -> None:
        self.random = Random(seed)
        self.seed = seed
        self.has_overload_control = has_overload_control
        self.now = self.random.choice((0, 1000 * SECOND))
        self.switch = SettingsSwitch(self.make_policy(settings))
        self.request_id = 0
        self.in_flight: dict[AttemptKey, str] = {}
        self.attempt_counts = Counter[int]()
        self.timers: list[tuple[int, str]] = []
        self.feed(EndpointListUpdate(ListForm.CACHED, self.entries()))

    def make_policy(self, settings: Settings) -> Balancer:
        if not self.has_overload_control:
            return Balancer(settings, self.seed)
        controller = AdaptiveOverloadController(self.seed)
        return Balancer(settings, self.seed, controller, IdempotencyKeyTable())

    @property
    def settings(self) -> Settings:
        assert isinstance(self.switch.policy, Balancer)
        return self.switch.policy.settings

    def feed(self, event: Event) -> list[str]:
        """Pass one event to the policy; return the endpoints of the attempts that it started."""
        endpoints = []
        for action in self.switch.handle(self.now, event):
            if isinstance(action, SetTimer):
                self.timers.append((self.now + action.delay, action.token))
            elif isinstance(action, StartAttempt):
                attempt = self.attempt_counts[action.request_id]
                self.attempt_counts[action.request_id] += 1
                self.in_flight[(action.request_id, attempt)] = action.endpoint
                endpoints.append(action.endpoint)
        return endpoints

    def step(self) -> None:
        """Advance the time, then feed one event of any kind."""
        self.now += self.random.choice(TIME_STEPS)
        steps: list[Callable[[], None]] = [self.request, self.end_attempt, self.fire_timer]
        steps = [*steps * 3, self.update_list, self.feed_attempt_event, self.feed_unrelated_event]
        self.random.choice(steps)()

    def request(self) -> None:
        self.request_id += 1
        received = RequestReceived(
            self.request_id,
            self.random.randrange(len(self.settings.classes)),
            self.random.choice(TIMEOUTS),
            tenant=self.random.randrange(3),
            affinity_key=self.random.choice(("", "key")),
            work=self.random.choice((0, 100)),
            is_retry=self.random_bool(),
            is_write=self.random_bool(),
            idempotency_key=self.random.randrange(3),
            is_replayable=self.random.random() < 0.8,
        )
        self.feed(received)

    def end_attempt(self) -> None:
        if not self.in_flight:
            return
        key = self.random.choice(list(self.in_flight))
        endpoint = self.in_flight.pop(key)
        outcome = self.random.choice(list(Outcome))
        latency = self.random.choice(LATENCIES)
        self.feed(AttemptEnded(*key, endpoint, outcome, latency, self.random_bool(), self.load_report()))

    def fire_timer(self) -> None:
        if self.timers:
            self.timers.sort()
            due_at, token = self.timers.pop(0)
            self.now = max(self.now, min(due_at, self.now + 100 * SECOND))
            self.feed(TimerFired(token))

    def update_list(self) -> None:
        self.feed(EndpointListUpdate(self.random.choice(list(ListForm)), self.entries()))

    def feed_attempt_event(self) -> None:
        if self.in_flight:
            key = self.random.choice(list(self.in_flight))
            started = ResponseStarted(*key, self.in_flight[key], MS)
            events: list[Event] = [RequestBodySent(*key), started, ClientDisconnected(key[0])]
            self.feed(self.random.choice(events))

    def feed_unrelated_event(self) -> None:
        """Feed an event of a request, timer, endpoint or peer that the policy does not know."""
        events: list[Event] = [
            AttemptEnded(10**9, 3, "gone", Outcome.SUCCESS, MS, True, self.load_report()),
            RequestBodySent(10**9, 0),
            ResponseStarted(10**9, 0, "gone", MS),
            ClientDisconnected(10**9),
            TimerFired("hold:12345"),
            TimerFired("unknown"),
            HealthCheckEnded("gone", Outcome.SUCCESS, MS, self.load_report()),
            PeerMessageReceived(1, b"garbage"),
        ]
        self.feed(self.random.choice(events))

    def change_settings(self, settings: Settings) -> None:
        self.switch.switch(settings)

    def hand_over(self, settings: Settings) -> None:
        """Continue in another process, which restores the snapshot after encoding and decoding as JSON."""
        values = json.loads(json.dumps(self.switch.hand_over()))
        is_same = settings == self.settings
        self.switch = SettingsSwitch(self.make_policy(settings))
        self.in_flight.clear()
        self.timers.clear()
        self.feed(EndpointListUpdate(ListForm.CACHED, self.entries()))
        assert self.switch.restore(values, self.now, same_classes=is_same, same_zones=is_same)

    def serves_through_a_ready_endpoint(self) -> bool:
        """Return whether, a minute later, an attempt starts at the only listed endpoint, which is fast."""
        self.now += 61 * SECOND
        ready = EndpointEntry("ready", zone=self.settings.zone)
        self.feed(EndpointListUpdate(ListForm.SNAPSHOT, (ready,)))
        min_objective = min(request_class.latency_objective for request_class in self.settings.classes)
        for number in range(300):
            self.now += 100 * MS
            self.request_id += 1
            class_index = number % len(self.settings.classes)
            endpoints = self.feed(
                RequestReceived(self.request_id, class_index, 2 * SECOND, TENANT_WITHOUT_QUOTA)
            )
            if "ready" in endpoints:
                return True
            self.feed(AttemptEnded(self.request_id, 0, "ready", Outcome.SUCCESS, min_objective // 4, True))
        return False

    def entries(self) -> tuple[EndpointEntry, ...]:
        return tuple(self.entry() for _ in range(self.random.randrange(6)))

    def entry(self) -> EndpointEntry:
        difference = self.random.choice((-1, 1)) * self.random.choice(CLOCK_DIFFERENCES)
        return EndpointEntry(
            f"endpoint-{self.random.randrange(6)}",
            zone=self.random.randrange(3),
            host_class=self.random.randrange(2),
            cell=self.random.randrange(3),
            status=self.random.choice(STATUSES),
            capacity=self.random.choice(NUMBERS),
            started_at=self.random.choice((0, 1, max(1, self.now + difference))),
        )

    def load_report(self) -> tuple[float, ...]:
        return tuple(self.random.choice(NUMBERS) for _ in range(self.random.randrange(5)))

    def random_bool(self) -> bool:
        return self.random.random() < 0.5
