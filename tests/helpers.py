"""Test settings and a driver for one balancer; the values are not those of any deployment."""

from collections.abc import Callable
from typing import Any

from linetrack.policy.actions import Action, StartAttempt
from linetrack.policy.balancer import Balancer
from linetrack.policy.events import (
    AttemptEnded,
    EndpointEntry,
    EndpointListUpdate,
    Event,
    ListForm,
    Outcome,
    RequestReceived,
)
from linetrack.policy.settings import DeduplicationScope, Idempotency, LoadField, RequestClass, Settings

MS = 1000
SECOND = 1_000_000

CLASSES = (
    RequestClass(Idempotency.IDEMPOTENT, 500 * MS, 2 * SECOND, priority_weight=3.0),
    RequestClass(
        Idempotency.IDEMPOTENCY_KEY,
        500 * MS,
        2 * SECOND,
        priority_weight=5.0,
        deduplication_scope=DeduplicationScope.ZONE,
        deduplication_window=SECOND,
    ),
    RequestClass(Idempotency.NON_IDEMPOTENT, 500 * MS, 2 * SECOND, priority_weight=9.0),
    RequestClass(
        Idempotency.IDEMPOTENCY_KEY,
        500 * MS,
        2 * SECOND,
        priority_weight=1.0,
        deduplication_scope=DeduplicationScope.CELL,
        deduplication_window=SECOND,
    ),
    RequestClass(
        Idempotency.IDEMPOTENCY_KEY,
        500 * MS,
        2 * SECOND,
        priority_weight=1.0,
        deduplication_scope=DeduplicationScope.ALL,
        deduplication_window=SECOND,
    ),
)
IDEMPOTENT, KEYED_IN_ZONE, NON_IDEMPOTENT, KEYED_IN_CELL, KEYED_EVERYWHERE = range(5)


def settings(**changes: Any) -> Settings:
    values: dict[str, Any] = {
        "classes": CLASSES,
        "instance_count": 3,
        "zone_count": 2,
        "load_report_fields": (LoadField.QUEUE_DEPTH,),
        "slow_start_initial_fraction": 0.2,
        "slow_start_duration": 10 * SECOND,
        "overload_multiple": 3.0,
        "overload_window": SECOND,
        "drain_grace": SECOND,
        "may_cancel": True,
        "may_run_parallel_attempts": True,
        "may_send_retry_after": True,
        "max_retry_after": SECOND,
        "max_attempts": 4,
        "cross_zone_cost": 0.1,
    }
    return Settings(**{**values, **changes})


def listed_entries(zone_0_count: int = 4, zone_1_count: int = 3) -> tuple[EndpointEntry, ...]:
    entries = [EndpointEntry(f"h{n}", zone=0, cell=n // 2) for n in range(zone_0_count)]
    return (*entries, *(EndpointEntry(f"a{n}", zone=1, cell=10 + n // 2) for n in range(zone_1_count)))


class Driver:
    """Passes events to one balancer, with a simulated clock."""

    def __init__(
        self, seed: int = 1, entries: tuple[EndpointEntry, ...] | None = None, **changes: Any
    ) -> None:
        self.balancer = Balancer(settings(**changes), seed)
        self.now = 1000 * SECOND
        self.count = 0
        self.handle_event(
            EndpointListUpdate(ListForm.CACHED, listed_entries() if entries is None else entries)
        )

    def handle_event(self, event: Event, after: int = 0) -> list[Action]:
        """Advance the clock by `after` microseconds, and return the balancer's actions on the event."""
        self.now += after
        return self.balancer.handle(self.now, event)

    def switch_settings(self, **changes: Any) -> None:
        """Replace the balancer by its successor with other settings."""
        self.balancer = self.balancer.make_successor(settings(**changes))

    def start_request(
        self, class_index: int = IDEMPOTENT, after: int = 0, timeout: int = 2 * SECOND
    ) -> tuple[int, list[Action]]:
        """Return a new request's id, and the balancer's actions on it."""
        self.count += 1
        return self.count, self.handle_event(RequestReceived(self.count, class_index, timeout), after)

    def end(
        self,
        request: int,
        endpoint: str,
        outcome: Outcome = Outcome.SUCCESS,
        latency: int = 50 * MS,
        attempt: int = 0,
        report: tuple[float, ...] = (),
    ) -> list[Action]:
        """End an attempt after `latency`, and return the balancer's actions."""
        is_final = outcome is Outcome.SUCCESS
        return self.handle_event(
            AttemptEnded(request, attempt, endpoint, outcome, latency, is_final, report), latency
        )

    def finish(
        self, attempt_result: Callable[[str], tuple[Outcome, int]], class_index: int = IDEMPOTENT
    ) -> list[str]:
        """Run one request until no attempt starts; return the endpoints of its attempts.

        `attempt_result` gives the outcome and latency of an attempt at an endpoint.
        """
        request, actions = self.start_request(class_index)
        attempted: list[str] = []
        while endpoints := sends(actions):
            outcome, latency = attempt_result(endpoints[0])
            attempted.append(endpoints[0])
            actions = self.end(request, endpoints[0], outcome, latency, len(attempted) - 1)
        return attempted

    def serve(
        self, class_index: int = IDEMPOTENT, latency: int = 50 * MS, report: tuple[float, ...] = ()
    ) -> str:
        """Run one request whose first attempt succeeds; return the endpoint of that attempt."""
        request, actions = self.start_request(class_index)
        endpoint = sends(actions)[0]
        self.end(request, endpoint, latency=latency, report=report)
        return endpoint


def sends(actions: list[Action]) -> list[str]:
    """Return the endpoints of the attempts that the actions start."""
    return [action.endpoint for action in actions if isinstance(action, StartAttempt)]
