"""Switching the settings of a running instance: which policy instance handles which event."""

from __future__ import annotations

from typing import get_args

import pytest

from linetrack.control.settings_switch import SettingsSwitch
from linetrack.policy.actions import Action, RejectRequest
from linetrack.policy.balancer import Balancer
from linetrack.policy.events import (
    AttemptEnded,
    ClientDisconnected,
    EndpointListUpdate,
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
from tests.helpers import CLASSES, IDEMPOTENT, MS, SECOND, Driver, listed_entries, sends, settings

NOW = 1000 * SECOND


class FixedPolicy:
    """A policy that is not a `Balancer`, such as one that a benchmark uses."""

    def handle(self, now: int, event: Event) -> list[Action]:
        return [RejectRequest(event.request_id, now)] if isinstance(event, RequestReceived) else []


def started_switch() -> SettingsSwitch:
    switch = SettingsSwitch(Balancer(settings(), seed=1))
    switch.handle(NOW, EndpointListUpdate(ListForm.CACHED, listed_entries()))
    return switch


def test_an_open_request_ends_under_the_settings_it_was_received_with() -> None:
    switch = started_switch()
    predecessor = switch.policy
    (endpoint,) = sends(switch.handle(NOW, RequestReceived(1, IDEMPOTENT, 2 * SECOND)))
    assert switch.switch(settings(max_attempts=1)) == 1
    assert switch.draining_policies == [predecessor]
    failed = AttemptEnded(1, 0, endpoint, Outcome.CONNECT_FAILED, MS)
    (retried,) = sends(switch.handle(NOW + MS, failed))
    assert switch.draining_policies == [predecessor], "the older settings allow a retry"
    switch.handle(NOW + 2 * MS, AttemptEnded(1, 1, retried, Outcome.SUCCESS, MS, request_completed=True))
    assert not switch.draining_policies


def test_a_request_received_after_a_switch_is_handled_by_the_newest_instance() -> None:
    switch = started_switch()
    switch.handle(NOW, RequestReceived(1, IDEMPOTENT, 2 * SECOND))
    switch.switch(settings(max_attempts=1))
    (endpoint,) = sends(switch.handle(NOW, RequestReceived(2, IDEMPOTENT, 2 * SECOND)))
    actions = switch.handle(NOW + MS, AttemptEnded(2, 0, endpoint, Outcome.CONNECT_FAILED, MS))
    assert [type(action) for action in actions] == [RejectRequest]


def test_an_instance_without_open_work_is_dropped_at_once() -> None:
    switch = started_switch()
    assert switch.switch(settings()) == 0
    assert not switch.draining_policies


def test_a_policy_that_is_not_a_balancer_is_used_without_switching_or_handover() -> None:
    switch = SettingsSwitch(FixedPolicy())
    assert not switch.is_supported
    assert switch.handle(NOW, RequestReceived(1, IDEMPOTENT, SECOND)) == [RejectRequest(1, NOW)]
    assert switch.hand_over() == {}
    assert not switch.restore({}, NOW, same_classes=True, same_zones=True)
    assert switch.count_unavailable(NOW) == 0


class RecordingBalancer(Balancer):
    """A policy that records the events it handles; its successors are ordinary policies."""

    def __init__(self) -> None:
        super().__init__(settings(), seed=1)
        self.handled: list[Event] = []

    def handle(self, now: int, event: Event) -> list[Action]:
        self.handled.append(event)
        return super().handle(now, event)


#: One event of each kind, and whether it goes to the policy instance that holds request 1.
ROUTES: list[tuple[Event, bool]] = [
    (RequestReceived(2, IDEMPOTENT, SECOND), False),
    (RequestBodySent(1, 0), True),
    (ResponseStarted(1, 0, "h0", MS), True),
    (AttemptEnded(1, 0, "h0", Outcome.RESET, MS), True),
    (ClientDisconnected(1), True),
    (TimerFired("copy:1"), True),
    (TimerFired("ask"), False),
    (EndpointListUpdate(ListForm.DELTA), False),
    (HealthCheckEnded("h0", Outcome.SUCCESS, MS), False),
    (PeerMessageReceived(1, b""), False),
]


@pytest.mark.parametrize(("event", "goes_to_holder"), ROUTES, ids=str)
def test_each_event_reaches_the_instance_that_holds_its_request(event: Event, goes_to_holder: bool) -> None:
    """An event must not change the timing of a request in an instance that does not hold it."""
    switch = SettingsSwitch(holder := RecordingBalancer())
    switch.handle(NOW, EndpointListUpdate(ListForm.CACHED, listed_entries()))
    switch.handle(NOW, RequestReceived(1, IDEMPOTENT, 2 * SECOND, is_replayable=False))
    switch.switch(settings(max_attempts=1))
    holder.handled.clear()
    switch.handle(NOW + MS, event)
    assert holder.handled == ([event] if goes_to_holder else [])


def test_every_kind_of_event_has_a_route() -> None:
    assert {type(event) for event, _ in ROUTES} == set(get_args(Event))


def respond(driver: Driver, class_index: int, latency: int) -> None:
    """Run one request, unless it is rejected, whose first attempt gets a response after `latency`."""
    request, actions = driver.start_request(class_index)
    for endpoint in sends(actions)[:1]:
        driver.end(request, endpoint, latency=latency)


def make_class_fail(driver: Driver, class_index: int) -> None:
    """Let responses of one class be late while those of class 0 are not."""
    for _ in range(5):
        respond(driver, class_index, 1900 * MS)
        respond(driver, 0, 10 * MS)
    assert driver.balancer.models.classes.is_failing(driver.now, class_index)


@pytest.mark.parametrize("dropped_class", range(2, len(CLASSES)))
def test_attempts_of_a_class_that_was_dropped_do_not_end_the_instance_after_a_switch(
    dropped_class: int,
) -> None:
    """Guards against review/1: the index of a dropped class was looked up among fewer classes."""
    driver = Driver(slow_start_duration=0)
    for _ in range(20):
        driver.start_request(dropped_class)  # in flight at any endpoint
    driver.switch_settings(classes=CLASSES[:2], slow_start_duration=0)
    make_class_fail(driver, 1)
    driver.start_request(0)


def test_attempts_of_a_class_that_was_added_do_not_end_the_instance_before_a_switch() -> None:
    """Guards against the same fault in the instance that drains, whose classes are fewer."""
    driver = Driver(classes=CLASSES[:2], slow_start_duration=0)
    make_class_fail(driver, 1)
    request, actions = driver.start_request(0)
    (first,) = sends(actions)
    predecessor = driver.balancer
    driver.switch_settings(slow_start_duration=0)
    for _ in range(20):
        driver.start_request(len(CLASSES) - 1)
    assert predecessor.handle(driver.now, AttemptEnded(request, 0, first, Outcome.NOT_SENT, 10 * MS))
