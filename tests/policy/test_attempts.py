"""A request's life: waiting, hedging, retries and final responses."""

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


def test_empty_list_is_answered_promptly() -> None:
    driver = Driver(entries=())
    request, actions = driver.start_request()
    waited = 0
    while timers := [a for a in actions if isinstance(a, SetTimer)]:
        waited += timers[0].delay
        actions = driver.handle_event(TimerFired(timers[0].token), timers[0].delay)
    assert actions == [RejectRequest(request, 500 * MS)]
    assert waited <= 250 * MS


def test_waiting_request_is_sent_once_an_endpoint_appears() -> None:
    driver = Driver(entries=())
    request, actions = driver.start_request()
    driver.handle_event(EndpointListUpdate(ListForm.DELTA, listed_entries(1, 0)))
    assert sends(driver.handle_event(TimerFired(f"hold:{request}"), 20 * MS)) == ["h0"]
    assert actions
    assert isinstance(actions[0], SetTimer)


def test_hedged_attempt_goes_to_the_second_candidate_after_the_timer() -> None:
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


def test_a_hedged_attempt_waits_while_it_would_still_be_in_time_itself() -> None:
    # the first attempt mostly answers by itself before a hedged one would gain anything
    driver = Driver()
    for _ in range(50):
        driver.serve(latency=20 * MS)
    _, actions = driver.start_request()
    (wait,) = [a.delay for a in actions if isinstance(a, SetTimer)]
    assert 250 * MS < wait < 450 * MS  # of 500 ms; three expected latencies are some 60 ms
    for _ in range(50):
        driver.serve(latency=150 * MS)
    _, actions = driver.start_request()
    (wait,) = [a.delay for a in actions if isinstance(a, SetTimer)]
    assert wait > 300 * MS  # three expected latencies


def test_losing_attempt_is_cancelled_only_where_allowed() -> None:
    for allowed in (True, False):
        driver = Driver(may_cancel=allowed)
        for _ in range(60):
            driver.serve()
        request, actions = driver.start_request()
        driver.handle_event(TimerFired(f"copy:{request}"), 200 * MS)
        actions = driver.end(request, sends(actions)[0])
        assert actions == ([CancelAttempt(request, 1)] if allowed else [])


def test_what_was_never_executed_is_retried_without_budget() -> None:
    # what one endpoint rejects must not be given up while the others have room
    driver = Driver()
    driver.balancer.retry_budget.tokens = 0.0
    for _ in range(30):
        went = driver.finish(
            lambda u: (Outcome.OVERLOADED, 1 * MS) if u == "h0" else (Outcome.SUCCESS, 5 * MS)
        )
        assert went[-1] != "h0"
        driver.balancer.retry_budget.tokens = 0.0
        driver.balancer.endpoints["h0"].ejections.clear()


def hedge_timers(actions: list[object]) -> list[SetTimer]:
    return [a for a in actions if isinstance(a, SetTimer) and a.token.startswith("copy:")]


def count_hedged(driver: Driver, count: int) -> int:
    """Return how many hedged attempts are started for so many requests without a response."""
    out = 0
    for _ in range(count):
        _, actions = driver.start_request()
        for timer in hedge_timers(list(actions)):
            out += len(sends(driver.handle_event(TimerFired(timer.token))))
    return out


def test_an_instance_starts_without_a_burst_of_hedged_attempts() -> None:
    # hundreds of instances may start together
    assert count_hedged(Driver(slow_start_duration=0), 6) == 0


def test_hedged_attempts_that_gain_nothing_are_few_and_those_that_serve_pay_for_the_next() -> None:
    idle, serving = Driver(slow_start_duration=0), Driver(slow_start_duration=0)
    served = 0
    for driver in (idle, serving):
        for _ in range(40):
            driver.serve()
    for _ in range(30):
        request, actions = serving.start_request()
        first = sends(actions)[0]
        out = sends(serving.handle_event(TimerFired(hedge_timers(list(actions))[0].token), 20 * MS))
        if out:
            served += 1
            serving.end(request, out[0], attempt=1)
            serving.end(request, first, Outcome.CANCELLED)
        else:
            serving.end(request, first)
    assert count_hedged(idle, 30) <= 3
    assert served > 20


@pytest.mark.parametrize("streams", [1, 100])
def test_what_is_given_up_is_answered_at_once(streams: int) -> None:
    """Nothing is held back for the client's sake: the answer stands among the actions of the same event."""
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
