"""The rules that the send guard enforces against every decision."""

from __future__ import annotations

import pytest

from linetrack.policy.actions import (
    FailRequest,
    RejectRequest,
    SetTimer,
)
from linetrack.policy.events import (
    Outcome,
    TimerFired,
)
from tests.helpers import (
    KEYED_EVERYWHERE,
    KEYED_IN_CELL,
    KEYED_IN_ZONE,
    MS,
    NON_IDEMPOTENT,
    SECOND,
    Driver,
    sends,
)


def test_a_non_idempotent_request_is_never_hedged_and_fails_after_a_timeout() -> None:
    driver = Driver()
    for _ in range(30):
        driver.serve()
    request, actions = driver.start_request(NON_IDEMPOTENT)
    assert not [a for a in actions if isinstance(a, SetTimer)]
    assert driver.handle_event(TimerFired(f"copy:{request}"), SECOND) == []
    assert driver.end(request, sends(actions)[0], Outcome.TIMEOUT) == [FailRequest(request)]


def test_a_non_idempotent_request_is_retried_if_it_was_certainly_not_executed() -> None:
    driver = Driver()
    request, actions = driver.start_request(NON_IDEMPOTENT)
    assert sends(driver.end(request, sends(actions)[0], Outcome.OVERLOADED, MS))


@pytest.mark.parametrize(
    ("class_index", "bound_to"), [(KEYED_IN_ZONE, "zone"), (KEYED_IN_CELL, "cell"), (KEYED_EVERYWHERE, "")]
)
def test_a_request_with_a_key_stays_in_its_deduplication_scope_and_window(
    class_index: int, bound_to: str
) -> None:
    for seed in range(20):
        driver = Driver(seed=seed)
        request, actions = driver.start_request(class_index)
        first = driver.balancer.endpoints[sends(actions)[0]]
        for name in sends(driver.end(request, first.name, Outcome.RESET, MS)):
            endpoint = driver.balancer.endpoints[name]
            assert bound_to != "zone" or endpoint.zone == first.zone
            assert bound_to != "cell" or (endpoint.zone, endpoint.cell) == (first.zone, first.cell)
        driver = Driver(seed=seed)
        request, actions = driver.start_request(class_index)
        assert not sends(driver.end(request, sends(actions)[0], Outcome.RESET, SECOND))


def test_no_parallel_attempts_where_not_allowed() -> None:
    driver = Driver(may_run_parallel_attempts=False)
    for _ in range(30):
        driver.serve()
    request, _ = driver.start_request()
    assert sends(driver.handle_event(TimerFired(f"copy:{request}"), SECOND)) == []


def test_attempts_never_exceed_the_maximum() -> None:
    driver = Driver(max_attempts=2)
    request, actions = driver.start_request()
    attempt_count = 0
    while endpoints := sends(actions):
        actions = driver.end(request, endpoints[0], Outcome.OVERLOADED, MS, attempt_count)
        attempt_count += 1
    assert attempt_count == 2
    assert isinstance(actions[0], RejectRequest)


def test_the_guard_gives_one_final_response_and_no_attempt_after_it() -> None:
    driver = Driver()
    request_id, _ = driver.start_request()
    balancer = driver.balancer
    request = balancer.lifecycle.requests[request_id]
    endpoint = balancer.endpoints["h1"]
    assert balancer.guard.send(driver.now, request, endpoint) is not None, "a hedged attempt"
    balancer.guard.respond(driver.now, request)
    balancer.guard.respond(driver.now, request)
    assert balancer.guard.send(driver.now, request, endpoint) is None


def test_the_guard_sends_no_attempt_to_a_draining_endpoint() -> None:
    driver = Driver()
    request_id, _ = driver.start_request()
    balancer = driver.balancer
    balancer.endpoints["h1"].is_routable = False
    request = balancer.lifecycle.requests[request_id]
    assert balancer.guard.send(driver.now, request, balancer.endpoints["h1"]) is None
