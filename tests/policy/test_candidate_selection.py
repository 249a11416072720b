"""Candidate selection: odds of 1 / penalty, spillover to other zones, and the rotation of retries."""

from __future__ import annotations

from collections import Counter

import pytest

from linetrack.policy import candidate_selection
from linetrack.policy.endpoint import Ejection, Endpoint
from linetrack.policy.endpoint_weights import WeightedEndpoints
from linetrack.policy.events import (
    EndpointEntry,
    Outcome,
)
from tests.helpers import (
    IDEMPOTENT,
    KEYED_EVERYWHERE,
    KEYED_IN_ZONE,
    MS,
    SECOND,
    Driver,
    listed_entries,
    sends,
)


def sends_by_endpoint(driver: Driver, count: int = 300) -> Counter[str]:
    return Counter(driver.serve() for _ in range(count))


def own_zone_weights(driver: Driver) -> list[float]:
    balancer = driver.balancer
    own_zone = [endpoint for endpoint in balancer.endpoints.values() if endpoint.zone == 0]
    return balancer.weights.weigh(driver.now, own_zone, IDEMPOTENT).weights


def test_first_candidates_are_in_the_own_zone_and_include_every_endpoint() -> None:
    counts = sends_by_endpoint(Driver())
    assert set(counts) == {"h0", "h1", "h2", "h3"}
    assert min(counts.values()) > 30


def test_endpoints_are_drawn_in_proportion_to_their_weights() -> None:
    driver = Driver()
    for _ in range(40):
        driver.serve()
    balancer = driver.balancer
    own_zone = [endpoint for endpoint in balancer.endpoints.values() if endpoint.zone == 0]
    weights = own_zone_weights(driver)
    drawn = Counter(balancer.selector.draw(driver.now, own_zone, weights) for _ in range(4000))
    for index, weight in enumerate(weights):
        assert drawn[index] / 4000 == pytest.approx(weight / sum(weights), abs=0.04)


def test_a_slower_endpoint_gets_fewer_requests() -> None:
    driver = Driver()
    counts: Counter[str] = Counter()
    for _ in range(300):
        request, actions = driver.start_request()
        endpoint = sends(actions)[0]
        counts[endpoint] += 1
        driver.end(request, endpoint, latency=200 * MS if endpoint == "h1" else 40 * MS)
    assert 0 < counts["h1"] < min(counts[n] for n in ("h0", "h2", "h3")) / 2


def test_the_penalty_of_a_hung_endpoint_rises() -> None:
    driver = Driver()
    for _ in range(60):
        driver.serve()
    counts: Counter[str] = Counter()
    for _ in range(100):
        request, actions = driver.start_request(after=20 * MS)
        endpoint = sends(actions)[0]
        counts[endpoint] += 1
        if endpoint != "h3":
            driver.end(request, endpoint)
    assert counts["h3"] <= 6


def test_an_endpoint_that_fails_fast_does_not_attract_traffic() -> None:
    driver = Driver()
    failed_attempts = 0
    for _ in range(200):
        attempted = driver.finish(
            lambda endpoint: (Outcome.ERROR, 2 * MS) if endpoint == "h0" else (Outcome.SUCCESS, 40 * MS)
        )
        failed_attempts += attempted.count("h0")
    assert failed_attempts < 25


@pytest.mark.parametrize("capacity", [2.0, 0.0, -1.0, float("nan"), float("inf")])
def test_listed_capacity_scales_the_weight_and_invalid_values_are_ignored(capacity: float) -> None:
    driver = Driver(entries=(EndpointEntry("h0", capacity=capacity), EndpointEntry("h1")))
    weights = own_zone_weights(driver)
    assert weights[0] == pytest.approx(weights[1] * (capacity if capacity == 2.0 else 1.0))


def test_a_zone_without_endpoints_is_served_from_another_zone() -> None:
    driver = Driver(entries=listed_entries(0, 3))
    assert sends(driver.start_request()[1])[0].startswith("a")


def test_spillover_requires_a_gain_that_exceeds_the_cross_zone_cost() -> None:
    for cost in (0.1, 50.0):
        driver = Driver(cross_zone_cost=cost)
        for _ in range(40):
            driver.serve(latency=60 * MS)
        attempted = {name[0] for _ in range(60) for name in sends(driver.start_request(IDEMPOTENT)[1])}
        assert attempted == ({"h", "a"} if cost < 1 else {"h"})


def test_a_failing_own_zone_spills_over() -> None:
    """Errors lower the success probability, which spillover depends on."""
    driver = Driver(entries=listed_entries(1, 3))
    for _ in range(40):
        driver.finish(lambda endpoint: (Outcome.ERROR if endpoint == "h0" else Outcome.SUCCESS, 30 * MS))
    assert sends(driver.start_request()[1])[0].startswith("a")


@pytest.mark.parametrize(("other_latency", "spills_over"), [(180 * MS, True), (50 * MS, False)])
def test_spillover_compares_with_a_mean_draw_not_with_the_best_endpoint(
    monkeypatch: pytest.MonkeyPatch, other_latency: int, spills_over: bool
) -> None:
    """The best of many uncertain estimates is too optimistic: a congested zone would never spill over."""
    driver = Driver(entries=listed_entries(20, 1))
    for _ in range(30):
        driver.serve(latency=60 * MS)
    balancer = driver.balancer

    def weigh(_now: int, part: list[Endpoint], _class_index: int) -> WeightedEndpoints:
        latencies = [float(50 * MS if endpoint.name in ("h0", "a0") else other_latency) for endpoint in part]
        return WeightedEndpoints(part, latencies, [1.0] * len(part), [1.0] * len(part))

    monkeypatch.setattr(balancer.weights, "weigh", weigh)
    monkeypatch.setattr(candidate_selection, "FULL_SPILLOVER_GAIN", 0.0)
    attempted = {sends(driver.start_request()[1])[0] for _ in range(40)}
    assert attempted == {"a0"} if spills_over else "a0" not in attempted


def test_limited_retries_go_to_endpoints_that_served_requests_recently() -> None:
    driver = Driver(
        entries=listed_entries(12, 0), retry_window=SECOND, retry_window_allowance=9.0, max_attempts=2
    )
    served = {driver.serve() for _ in range(4)}
    retried = set()
    for _ in range(60):
        driver.now += SECOND // 8
        request, actions = driver.start_request()
        first = next(iter(sends(actions)), "")
        if first not in served and first:
            retried.update(sends(driver.end(request, first, Outcome.CONNECT_FAILED, MS)))
        elif first:
            driver.end(request, first)
    assert retried
    assert retried <= served


def test_few_attempts_cross_into_a_zone_that_is_as_full_as_the_own_one() -> None:
    # repeated attempts would displace each other, and pay the cross-zone cost for it
    driver = Driver(
        entries=listed_entries(3, 6), cross_zone_cost=0.1, max_attempts=6, may_run_parallel_attempts=False
    )
    crossed = []
    for _ in range(100):
        attempted = driver.finish(lambda _: (Outcome.OVERLOADED, MS), KEYED_EVERYWHERE)
        crossed.append(sum(endpoint[0] == "a" for endpoint in attempted))
        driver.now += 100 * MS
    assert sum(crossed[40:]) < 60


def test_a_request_restricted_to_an_unreachable_zone_is_still_retried_there() -> None:
    # only that zone knows the request's key, so another zone that is reachable does not help
    driver = Driver(
        entries=listed_entries(4, 4), keep_alive_timeout=30 * SECOND, may_run_parallel_attempts=False
    )
    request, actions = driver.start_request(KEYED_IN_ZONE)
    (first,) = sends(actions)
    for endpoint in driver.balancer.endpoints.values():
        if endpoint.zone == 0:
            endpoint.ejections, endpoint.connected_until = (
                {KEYED_IN_ZONE: Ejection(SECOND, driver.now + 9 * SECOND)},
                0,
            )
        else:
            endpoint.connected_until = driver.now + 9 * SECOND
    retried = sends(driver.end(request, first, Outcome.RESET, 20 * MS))
    assert retried
    assert retried[0][0] == "h"
    assert retried[0] != first
