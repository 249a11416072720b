"""The lifecycle of requests: waiting, hedging, retries and final responses."""

from __future__ import annotations

import pytest

from linetrack.policy.actions import (
    CancelAttempt,
    RejectRequest,
    SetTimer,
)
from linetrack.policy.events import (
    EndpointListUpdate,
    ListForm,
    Outcome,
    TimerFired,
)
from tests.helpers import MS, SECOND, Driver, listed_entries, sends


def test_a_request_is_rejected_promptly_if_the_endpoint_list_is_empty() -> None:
    driver = Driver(entries=())
    request, actions = driver.start_request()
    waited = 0
    while timers := [a for a in actions if isinstance(a, SetTimer)]:
        waited += timers[0].delay
        actions = driver.handle_event(TimerFired(timers[0].token), timers[0].delay)
    assert actions == [RejectRequest(request, 500 * MS)]
    assert waited <= 250 * MS


def test_a_waiting_request_is_sent_once_an_endpoint_is_listed() -> None:
    driver = Driver(entries=())
    request, actions = driver.start_request()
    driver.handle_event(EndpointListUpdate(ListForm.DELTA, listed_entries(1, 0)))
    assert sends(driver.handle_event(TimerFired(f"hold:{request}"), 20 * MS)) == ["h0"]
    assert actions
    assert isinstance(actions[0], SetTimer)


def test_a_hedged_attempt_goes_to_the_second_candidate_after_the_timer() -> None:
    driver = Driver()
    for _ in range(60):
        driver.serve()
    request, actions = driver.start_request()
    timers = [a for a in actions if isinstance(a, SetTimer)]
    assert timers
    assert timers[0].token == f"copy:{request}"
    second = driver.balancer.lifecycle.requests[request].second_candidate
    hedged = sends(driver.handle_event(TimerFired(timers[0].token), timers[0].delay))
    assert second is not None
    assert hedged == [second.name]


def test_a_hedged_attempt_is_delayed_while_it_can_still_meet_the_objective() -> None:
    # most first attempts are answered before a hedged attempt would gain anything
    driver = Driver()
    for _ in range(50):
        driver.serve(latency=20 * MS)
    _, actions = driver.start_request()
    (delay,) = [a.delay for a in actions if isinstance(a, SetTimer)]
    assert 250 * MS < delay < 450 * MS  # of a 500 ms objective; three expected latencies are about 60 ms
    for _ in range(50):
        driver.serve(latency=150 * MS)
    _, actions = driver.start_request()
    (delay,) = [a.delay for a in actions if isinstance(a, SetTimer)]
    assert delay > 300 * MS  # three expected latencies


def test_the_slower_attempt_is_cancelled_only_where_allowed() -> None:
    for allowed in (True, False):
        driver = Driver(may_cancel=allowed)
        for _ in range(60):
            driver.serve()
        request, actions = driver.start_request()
        driver.handle_event(TimerFired(f"copy:{request}"), 200 * MS)
        actions = driver.end(request, sends(actions)[0])
        assert actions == ([CancelAttempt(request, 1)] if allowed else [])


def test_an_attempt_that_was_never_executed_is_retried_without_budget() -> None:
    # a request that one endpoint rejects must not be given up while others have capacity
    driver = Driver()
    driver.balancer.retry_budget.tokens = 0.0
    for _ in range(30):
        attempted = driver.finish(
            lambda endpoint: (Outcome.OVERLOADED, 1 * MS) if endpoint == "h0" else (Outcome.SUCCESS, 5 * MS)
        )
        assert attempted[-1] != "h0"
        driver.balancer.retry_budget.tokens = 0.0
        driver.balancer.endpoints["h0"].ejections.clear()


def hedge_timers(actions: list[object]) -> list[SetTimer]:
    return [a for a in actions if isinstance(a, SetTimer) and a.token.startswith("copy:")]


def count_hedged_attempts(driver: Driver, count: int) -> int:
    """Return how many hedged attempts are started for `count` requests that get no response."""
    hedged = 0
    for _ in range(count):
        _, actions = driver.start_request()
        for timer in hedge_timers(list(actions)):
            hedged += len(sends(driver.handle_event(TimerFired(timer.token))))
    return hedged


def test_an_instance_starts_without_a_burst_of_hedged_attempts() -> None:
    # hundreds of instances may start at the same time
    assert count_hedged_attempts(Driver(slow_start_duration=0), 6) == 0


def test_hedged_attempts_are_few_unless_they_serve_their_requests_and_are_refunded() -> None:
    unrefunded, refunded = Driver(slow_start_duration=0), Driver(slow_start_duration=0)
    served = 0
    for driver in (unrefunded, refunded):
        for _ in range(40):
            driver.serve()
    for _ in range(30):
        request, actions = refunded.start_request()
        first = sends(actions)[0]
        hedged = sends(refunded.handle_event(TimerFired(hedge_timers(list(actions))[0].token), 20 * MS))
        if hedged:
            served += 1
            refunded.end(request, hedged[0], attempt=1)
            refunded.end(request, first, Outcome.CANCELLED)
        else:
            refunded.end(request, first)
    assert count_hedged_attempts(unrefunded, 30) <= 3
    assert served > 20


@pytest.mark.parametrize("streams", [1, 100])
def test_an_abandoned_request_is_rejected_within_the_same_event(streams: int) -> None:
    """Rejections must not be delayed to slow down clients."""
    driver = Driver(
        entries=listed_entries(2, 0),
        max_streams_per_connection=streams,
        keep_alive_timeout=SECOND,
        max_attempts=1,
        slow_start_duration=0,
    )
    request, actions = driver.start_request()
    actions = driver.end(request, sends(actions)[0], Outcome.CONNECT_FAILED, MS)
    assert [a.request_id for a in actions if isinstance(a, RejectRequest)] == [request]
