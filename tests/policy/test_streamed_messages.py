"""Streamed responses and streamed request bodies."""

from __future__ import annotations

import pytest

from linetrack.policy.actions import CancelAttempt, RejectRequest, SetTimer
from linetrack.policy.events import Outcome, RequestBodySent, RequestReceived, ResponseStarted, TimerFired
from tests.helpers import IDEMPOTENT, KEYED_IN_ZONE, MS, SECOND, Driver, sends


def test_a_started_response_cancels_other_attempts_and_does_not_count_as_load() -> None:
    driver = Driver(slow_start_duration=0)
    for _ in range(30):
        driver.serve()
    request_id, actions = driver.start_request(IDEMPOTENT)
    (timer,) = [a for a in actions if isinstance(a, SetTimer)]
    (first,) = sends(actions)
    driver.balancer.retry_budget.tokens = 8.0
    hedged = driver.handle_event(TimerFired(timer.token), timer.delay)
    assert len(sends(hedged)) == 1
    started = driver.handle_event(ResponseStarted(request_id, 0, first, 50 * MS))
    assert started == [CancelAttempt(request_id, 1)]
    endpoint = driver.balancer.endpoints[first]
    assert not endpoint.in_flight
    driver.end(request_id, sends(hedged)[0], Outcome.CANCELLED, attempt=1)
    assert request_id in driver.balancer.lifecycle.requests
    late_ratio = driver.balancer.admission.export_state().late_ratio.value
    driver.now += 20 * SECOND
    driver.end(request_id, first)
    assert request_id not in driver.balancer.lifecycle.requests
    assert not driver.balancer.lifecycle.abandoned
    assert driver.balancer.admission.export_state().late_ratio.value <= late_ratio, (
        "the response started in time"
    )


def test_a_streamed_body_is_sent_once_and_its_attempt_is_timed_from_its_last_byte() -> None:
    driver = Driver(slow_start_duration=0)
    for _ in range(30):
        driver.serve(KEYED_IN_ZONE)
    driver.count += 1
    request_id = driver.count
    actions = driver.handle_event(RequestReceived(request_id, KEYED_IN_ZONE, 2 * SECOND, is_replayable=False))
    (first,) = sends(actions)
    endpoint = driver.balancer.endpoints[first]
    assert not endpoint.in_flight, "an attempt does not count as load while its body is sent"
    for timer in [a for a in actions if isinstance(a, SetTimer)]:
        assert not sends(driver.handle_event(TimerFired(timer.token), timer.delay))
    driver.handle_event(RequestBodySent(request_id, 0), 20 * SECOND)
    assert len(endpoint.in_flight) == 1
    assert driver.balancer.lifecycle.requests[request_id].deadline == driver.now + 2 * SECOND
    ended = driver.end(request_id, first, Outcome.CONNECT_FAILED)
    assert [type(action) for action in ended] == [RejectRequest]


@pytest.mark.parametrize(
    ("outcome", "is_sent_again"), [(Outcome.ERROR, False), (Outcome.RESET, False), (Outcome.NOT_SENT, True)]
)
def test_a_keyed_request_with_a_long_body_is_not_sent_again_once_it_may_have_been_executed(
    outcome: Outcome, is_sent_again: bool
) -> None:
    """Guards against review/8: the last byte of the repeat came after the key had been forgotten."""
    driver = Driver(slow_start_duration=0)
    for _ in range(30):
        driver.serve(KEYED_IN_ZONE)
    for has_long_body in (True, False):
        driver.count += 1
        request_id = driver.count
        received = RequestReceived(request_id, KEYED_IN_ZONE, 2 * SECOND, has_long_body=has_long_body)
        (first,) = sends(driver.handle_event(received))
        repeated = sends(driver.end(request_id, first, outcome))
        assert bool(repeated) is (is_sent_again or not has_long_body)
        if repeated:
            driver.end(request_id, repeated[0], attempt=1)
