"""Streamed responses, and bodies that are forwarded as they come."""

from __future__ import annotations

from linetrack.policy.actions import CancelAttempt, RejectRequest, SetTimer
from linetrack.policy.events import Outcome, RequestBodySent, RequestReceived, ResponseStarted, TimerFired
from tests.helpers import IDEMPOTENT, KEYED_IN_ZONE, MS, SECOND, Driver, sends


def test_a_response_that_has_started_cancels_other_attempts_and_is_no_load() -> None:
    driver = Driver(slow_start_duration=0)
    for _ in range(30):
        driver.serve()
    number, actions = driver.start_request(IDEMPOTENT)
    (timer,) = [a for a in actions if isinstance(a, SetTimer)]
    (first,) = sends(actions)
    driver.balancer.retry_budget.tokens = 8.0
    hedged = driver.handle_event(TimerFired(timer.token), timer.delay)
    assert len(sends(hedged)) == 1
    started = driver.handle_event(ResponseStarted(number, 0, first, 50 * MS))
    assert started == [CancelAttempt(number, 1)]
    endpoint = driver.balancer.endpoints[first]
    assert not endpoint.in_flight
    driver.end(number, sends(hedged)[0], Outcome.CANCELLED, attempt=1)
    assert number in driver.balancer.lifecycle.requests
    late = driver.balancer.admission.export_state().late_ratio.value
    driver.now += 20 * SECOND
    driver.end(number, first)
    assert number not in driver.balancer.lifecycle.requests
    assert not driver.balancer.lifecycle.abandoned
    assert driver.balancer.admission.export_state().late_ratio.value <= late, "its first bytes were in time"


def test_a_body_that_cannot_be_replayed_is_sent_once_and_its_time_begins_with_its_last_byte() -> None:
    driver = Driver(slow_start_duration=0)
    for _ in range(30):
        driver.serve(KEYED_IN_ZONE)
    driver.count += 1
    number = driver.count
    actions = driver.handle_event(RequestReceived(number, KEYED_IN_ZONE, 2 * SECOND, is_replayable=False))
    (first,) = sends(actions)
    endpoint = driver.balancer.endpoints[first]
    assert not endpoint.in_flight, "what is still being written is no load"
    for timer in [a for a in actions if isinstance(a, SetTimer)]:
        assert not sends(driver.handle_event(TimerFired(timer.token), timer.delay))
    driver.handle_event(RequestBodySent(number, 0), 20 * SECOND)
    assert len(endpoint.in_flight) == 1
    assert driver.balancer.lifecycle.requests[number].deadline == driver.now + 2 * SECOND
    ended = driver.end(number, first, Outcome.CONNECT_FAILED)
    assert [type(action) for action in ended] == [RejectRequest]
