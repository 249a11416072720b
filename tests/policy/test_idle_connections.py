"""Resets of connections that were idle."""

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


def test_a_reset_at_once_after_idle_time_is_the_connections_end_not_the_endpoints_error() -> None:
    driver = Driver(entries=listed_entries(1, 0), slow_start_duration=0)
    for _ in range(10):
        driver.serve()
    request, actions = driver.start_request(after=3 * SECOND)
    assert not any(isinstance(action, CloseIdleConnections) for action in actions)
    actions = driver.end(request, "h0", Outcome.RESET, MS)
    assert CloseIdleConnections("h0") in actions
    assert driver.balancer.endpoints["h0"].error_ratio == 0.0
    assert not driver.balancer.endpoints["h0"].ejections
    # a later rest as long is ended before the next use; a short one is not
    _, actions = driver.start_request(after=3 * SECOND)
    assert actions.index(CloseIdleConnections("h0")) < [sends([a]) != [] for a in actions].index(True)
    driver.serve()
    _, actions = driver.start_request(after=100 * MS)
    assert CloseIdleConnections("h0") not in actions


def test_a_reset_on_a_new_connection_or_after_work_still_counts() -> None:
    for busy, latency in ((True, MS), (False, 300 * MS)):
        driver = Driver(entries=listed_entries(1, 0), slow_start_duration=0)
        for _ in range(10):
            driver.serve()
        if busy:
            driver.start_request()
        request, _ = driver.start_request(after=3 * SECOND if not busy else 0)
        driver.end(request, "h0", Outcome.RESET, latency)
        assert driver.balancer.endpoints["h0"].error_ratio > 0.0, (busy, latency)


def test_a_non_idempotent_request_that_was_reset_after_idle_time_is_not_sent_again() -> None:
    driver = Driver(slow_start_duration=0)
    driver.serve(NON_IDEMPOTENT)
    request, actions = driver.start_request(NON_IDEMPOTENT, after=3 * SECOND)
    assert sends(driver.end(request, sends(actions)[0], Outcome.RESET, MS)) == []


def test_a_limit_on_idle_time_fades_so_that_longer_times_are_tried_again() -> None:
    endpoint = Endpoint(EndpointEntry("a"))
    endpoint.last_used_at = SECOND
    connections = IdleConnections()
    attempt = Attempt(0, IDEMPOTENT, endpoint, False, 5 * SECOND)
    assert not connections.is_expired(5 * SECOND, attempt), "nothing was learnt yet"
    connections.record_reset(5 * SECOND, attempt)
    assert connections.is_expired(5 * SECOND, attempt)
    assert not connections.is_expired(65 * SECOND, attempt)
    new = IdleConnections()
    new.import_state(connections.export_state())
    assert new.is_expired(5 * SECOND, attempt)
