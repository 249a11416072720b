"""The two candidates, at odds of one over penalty; spillover; retries in rotation."""

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


def home_weights(driver: Driver) -> list[float]:
    balancer = driver.balancer
    home = [u for u in balancer.endpoints.values() if u.zone == 0]
    return balancer.weights.weigh(driver.now, home, IDEMPOTENT).weights


def test_first_candidate_is_of_the_own_zone_and_none_is_removed() -> None:
    got = sends_by_endpoint(Driver())
    assert set(got) == {"h0", "h1", "h2", "h3"}
    assert min(got.values()) > 30


def test_odds_are_one_over_penalty() -> None:
    driver = Driver()
    for _ in range(40):
        driver.serve()
    balancer = driver.balancer
    home = [u for u in balancer.endpoints.values() if u.zone == 0]
    odds = home_weights(driver)
    drawn = Counter(balancer.selector.draw(driver.now, home, odds) for _ in range(4000))
    for at, weight in enumerate(odds):
        assert drawn[at] / 4000 == pytest.approx(weight / sum(odds), abs=0.04)


def test_slower_endpoint_gets_less() -> None:
    driver = Driver()
    got: Counter[str] = Counter()
    for _ in range(300):
        request, actions = driver.start_request()
        endpoint = sends(actions)[0]
        got[endpoint] += 1
        driver.end(request, endpoint, latency=200 * MS if endpoint == "h1" else 40 * MS)
    assert 0 < got["h1"] < min(got[n] for n in ("h0", "h2", "h3")) / 2


def test_hung_endpoint_loses_its_low_penalty() -> None:
    driver = Driver()
    for _ in range(60):
        driver.serve()
    got: Counter[str] = Counter()
    for _ in range(100):
        request, actions = driver.start_request(after=20 * MS)
        endpoint = sends(actions)[0]
        got[endpoint] += 1
        if endpoint != "h3":
            driver.end(request, endpoint)
    assert got["h3"] <= 6


def test_fast_failing_endpoint_does_not_attract_traffic() -> None:
    driver = Driver()
    met = 0
    for _ in range(200):
        went = driver.finish(lambda u: (Outcome.ERROR, 2 * MS) if u == "h0" else (Outcome.SUCCESS, 40 * MS))
        met += went.count("h0")
    assert met < 25


@pytest.mark.parametrize("size", [2.0, 0.0, -1.0, float("nan"), float("inf")])
def test_listed_capacity_weighs_the_odds_and_nonsense_does_not(size: float) -> None:
    driver = Driver(entries=(EndpointEntry("h0", capacity=size), EndpointEntry("h1")))
    odds = home_weights(driver)
    assert odds[0] == pytest.approx(odds[1] * (size if size == 2.0 else 1.0))


def test_zone_without_endpoints_is_served_from_the_other() -> None:
    driver = Driver(entries=listed_entries(0, 3))
    assert sends(driver.start_request()[1])[0].startswith("a")


def test_spillover_only_where_the_value_gained_exceeds_the_price() -> None:
    for price in (0.1, 50.0):
        driver = Driver(cross_zone_cost=price)
        for _ in range(40):
            driver.serve(latency=60 * MS)
        went = {name[0] for _ in range(60) for name in sends(driver.start_request(IDEMPOTENT)[1])}
        assert went == ({"h", "a"} if price < 1 else {"h"})


def test_failing_own_zone_spills_over() -> None:
    """Errors count into the chance that decides spillover."""
    driver = Driver(entries=listed_entries(1, 3))
    for _ in range(40):
        driver.finish(lambda u: (Outcome.ERROR if u == "h0" else Outcome.SUCCESS, 30 * MS))
    assert sends(driver.start_request()[1])[0].startswith("a")


@pytest.mark.parametrize(("others", "away"), [(180 * MS, True), (50 * MS, False)])
def test_spillover_goes_by_a_usual_draw_not_by_the_best_of_many(
    monkeypatch: pytest.MonkeyPatch, others: int, away: bool
) -> None:
    """The best of many weak estimates flatters: a congested zone would never spill over."""
    driver = Driver(entries=listed_entries(20, 1))
    for _ in range(30):
        driver.serve(latency=60 * MS)
    balancer = driver.balancer

    def weigh(_now: int, part: list[Endpoint], _class_index: int) -> WeightedEndpoints:
        latencies = [float(50 * MS if u.name in ("h0", "a0") else others) for u in part]
        return WeightedEndpoints(part, latencies, [1.0] * len(part), [1.0] * len(part))

    monkeypatch.setattr(balancer.weights, "weigh", weigh)
    monkeypatch.setattr(candidate_selection, "SPILLOVER_WIDTH", 0.0)
    went = {sends(driver.start_request()[1])[0] for _ in range(40)}
    assert went == {"a0"} if away else "a0" not in went


def test_limited_retries_go_where_something_was_served_lately() -> None:
    driver = Driver(
        entries=listed_entries(12, 0), retry_window=SECOND, retry_window_allowance=9.0, max_attempts=2
    )
    served = {driver.serve() for _ in range(4)}
    further = set()
    for _ in range(60):
        driver.now += SECOND // 8
        request, actions = driver.start_request()
        first = next(iter(sends(actions)), "")
        if first not in served and first:
            further.update(sends(driver.end(request, first, Outcome.CONNECT_FAILED, MS)))
        elif first:
            driver.end(request, first)
    assert further
    assert further <= served


def test_no_attempt_crosses_into_a_zone_as_full_as_the_own_one() -> None:
    # attempts after attempts would take each other's room, and cross for it
    driver = Driver(
        entries=listed_entries(3, 6), cross_zone_cost=0.1, max_attempts=6, may_run_parallel_attempts=False
    )
    crossed = []
    for _ in range(100):
        went = driver.finish(lambda _: (Outcome.OVERLOADED, MS), KEYED_EVERYWHERE)
        crossed.append(sum(u[0] == "a" for u in went))
        driver.now += 100 * MS
    assert sum(crossed[40:]) < 60


def test_request_bound_to_an_unreachable_zone_may_still_try_it() -> None:
    # its key is known in that zone alone: that another zone can be reached is no help to it
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
