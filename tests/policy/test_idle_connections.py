"""Resets of idle connections."""

from __future__ import annotations

from linetrack.policy.actions import (
    CloseIdleConnections,
)
from linetrack.policy.endpoint import Attempt, Endpoint
from linetrack.policy.events import (
    EndpointEntry,
    Outcome,
)
from linetrack.policy.idle_connections import IdleConnections
from tests.helpers import IDEMPOTENT, MS, NON_IDEMPOTENT, SECOND, Driver, listed_entries, sends


def test_an_immediate_reset_after_idle_time_is_not_an_error_of_the_endpoint() -> None:
    driver = Driver(entries=listed_entries(1, 0), slow_start_duration=0)
    for _ in range(10):
        driver.serve()
    request, actions = driver.start_request(after=3 * SECOND)
    assert not any(isinstance(action, CloseIdleConnections) for action in actions)
    actions = driver.end(request, "h0", Outcome.RESET, MS)
    assert CloseIdleConnections("h0") in actions
    assert driver.balancer.endpoints["h0"].error_ratio == 0.0
    assert not driver.balancer.endpoints["h0"].ejections
    # after the same idle time, connections are now closed before the next use; after a short one they are not
    _, actions = driver.start_request(after=3 * SECOND)
    assert actions.index(CloseIdleConnections("h0")) < [sends([a]) != [] for a in actions].index(True)
    driver.serve()
    _, actions = driver.start_request(after=100 * MS)
    assert CloseIdleConnections("h0") not in actions


def test_a_reset_of_a_busy_connection_or_after_some_time_is_an_error() -> None:
    for has_others, latency in ((True, MS), (False, 300 * MS)):
        driver = Driver(entries=listed_entries(1, 0), slow_start_duration=0)
        for _ in range(10):
            driver.serve()
        if has_others:
            driver.start_request()
        request, _ = driver.start_request(after=3 * SECOND if not has_others else 0)
        driver.end(request, "h0", Outcome.RESET, latency)
        assert driver.balancer.endpoints["h0"].error_ratio > 0.0, (has_others, latency)


def test_a_non_idempotent_request_is_not_sent_again_after_a_reset_of_an_idle_connection() -> None:
    driver = Driver(slow_start_duration=0)
    driver.serve(NON_IDEMPOTENT)
    request, actions = driver.start_request(NON_IDEMPOTENT, after=3 * SECOND)
    assert sends(driver.end(request, sends(actions)[0], Outcome.RESET, MS)) == []


def test_the_limit_on_idle_time_rises_so_that_longer_times_are_tried_again() -> None:
    endpoint = Endpoint(EndpointEntry("a"))
    endpoint.last_used_at = SECOND
    connections = IdleConnections()
    attempt = Attempt(0, IDEMPOTENT, endpoint, False, 5 * SECOND)
    assert not connections.is_expired(5 * SECOND, attempt), "there is no limit yet"
    connections.record_reset(5 * SECOND, attempt)
    assert connections.is_expired(5 * SECOND, attempt)
    assert not connections.is_expired(65 * SECOND, attempt)
    restored = IdleConnections()
    restored.import_state(connections.export_state())
    assert restored.is_expired(5 * SECOND, attempt)
