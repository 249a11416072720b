"""What a warming endpoint is sent; `test_slow_start_fleet.py` plays whole fleets."""

from __future__ import annotations

from collections import Counter

import pytest
from hypothesis import given, strategies

from linetrack.policy.events import (
    AttemptEnded,
    EndpointEntry,
    EndpointListUpdate,
    ListForm,
    Outcome,
)
from tests.helpers import MS, SECOND, Driver, listed_entries, sends


@pytest.mark.parametrize("instances", [1, 3, 9])
def test_warming_endpoint_is_not_overloaded_by_all_instances_together(instances: int) -> None:
    start, service = 1000 * SECOND, 50 * MS
    drivers = []
    for n in range(instances):
        driver = Driver(seed=n, instance=n, instance_count=instances, entries=listed_entries(2, 0))
        for _ in range(20):
            driver.serve(latency=service)
        driver.now = start + 10 * SECOND
        driver.handle_event(
            EndpointListUpdate(ListForm.SNAPSHOT, (EndpointEntry("cold", started_at=driver.now),))
        )
        drivers.append(driver)
    sent: list[int] = []
    for step in range(1000):
        for driver in drivers:
            driver.now = start + 10 * SECOND + step * 10 * MS
            request, actions = driver.start_request()
            if sends(actions):
                sent.append(driver.now)
                driver.handle_event(AttemptEnded(request, 0, "cold", Outcome.SUCCESS, service, True))
    assert sent
    for at in sent:
        share = 0.2 + 0.8 * (at - start - 10 * SECOND) / (10 * SECOND)
        work = service * sum(1 for t in sent if at <= t < at + SECOND)
        assert work <= 3.0 * share * SECOND


def test_restarted_endpoint_warms_up_again_and_nothing_learnt_holds() -> None:
    driver = Driver(entries=listed_entries(2, 0))
    for _ in range(20):
        driver.serve()
    driver.handle_event(EndpointListUpdate(ListForm.DELTA, (EndpointEntry("h0", started_at=driver.now),)))
    record = driver.balancer.endpoints["h0"]
    assert record.latency_factor.weight == 0
    assert record.warm_fraction_at(driver.now, driver.balancer.settings) == pytest.approx(0.2)


def test_warm_and_warming_endpoints_side_by_side() -> None:
    """A warm endpoint with a stated start beside a warming one: the warm one has no limit."""
    driver = Driver(entries=listed_entries(2, 0))
    driver.now += 30 * SECOND
    old, new = (
        EndpointEntry("old", started_at=driver.now - 20 * SECOND),
        EndpointEntry("new", started_at=driver.now),
    )
    driver.handle_event(EndpointListUpdate(ListForm.SNAPSHOT, (old, new)))
    assert {driver.serve(latency=10 * MS) for _ in range(20)} >= {"old"}


def test_hundreds_of_instances_use_a_warming_endpoint_and_do_not_overload_it() -> None:
    """Each one's part is far under a send: turns would leave it unused, so sends are chosen at random."""
    count, service, start = 300, 50 * MS, 1010 * SECOND
    drivers = []
    for n in range(count):
        driver = Driver(seed=n, instance=n, instance_count=count, entries=listed_entries(4, 0))
        for _ in range(5):
            driver.serve(latency=service)
        driver.now = start
        driver.handle_event(EndpointListUpdate(ListForm.DELTA, (EndpointEntry("cold", started_at=start),)))
        drivers.append(driver)
    sent: list[int] = []
    for step in range(20):
        for n, driver in enumerate(drivers):
            driver.now = start + step * 500 * MS + n * MS
            request, actions = driver.start_request()
            sent += [driver.now for name in sends(actions) if name == "cold"]
            for name in sends(actions):
                driver.handle_event(AttemptEnded(request, 0, name, Outcome.SUCCESS, service, True))
    assert len(sent) > 10
    for at in sent:
        share = 0.2 + 0.8 * (at - start) / (10 * SECOND)
        assert service * sum(1 for t in sent if at <= t < at + SECOND) <= 3.0 * share * SECOND


@given(
    strategies.lists(
        strategies.tuples(strategies.floats(0, 100), strategies.floats(0, 1) | strategies.none()),
        min_size=1,
        max_size=8,
    )
)
def test_shares_of_warming_endpoints_keep_to_their_tokens_and_warm_ones_have_the_rest(
    parts: list[tuple[float, float | None]],
) -> None:
    entries = tuple(
        EndpointEntry(f"h{n}", started_at=0 if tokens is None else 1000 * SECOND)
        for n, (_, tokens) in enumerate(parts)
    )
    driver = Driver(entries=entries, instance_count=10_000)
    balancer, odds = driver.balancer, [share for share, _ in parts]
    endpoints = list(balancer.endpoints.values())
    for endpoint, (_, tokens) in zip(endpoints, parts, strict=True):
        endpoint.send_tokens = tokens or 0.0
        endpoint.send_tokens_at = driver.now
    clipped = balancer.slow_start.clip_weights(driver.now, endpoints, odds)
    total, whole = sum(clipped) or 1.0, sum(odds) or 1.0
    caps = [0.0 if c is None else min(o / whole, c) for o, c in parts]
    warm = [o if c is None else 0.0 for o, c in parts]
    if sum(caps) >= 1 - 1e-9 or 0 < sum(warm) <= 1e-6 * whole:
        return
    for at, (_, tokens) in enumerate(parts):
        wanted = caps[at] if tokens is not None else (1 - sum(caps)) * warm[at] / (sum(warm) or 1.0)
        assert clipped[at] / total == pytest.approx(wanted, abs=1e-6)


@pytest.mark.parametrize("ahead", [1, 3 * SECOND, 300 * SECOND])
def test_without_a_warm_up_an_endpoint_is_warm_although_its_start_lies_ahead(ahead: int) -> None:
    """Guards against a division by 0 that ended the process at its first request."""
    driver = Driver(entries=(), slow_start_duration=0)
    entry = EndpointEntry("new", started_at=driver.now + ahead)
    driver.handle_event(EndpointListUpdate(ListForm.SNAPSHOT, (entry,)))
    assert [driver.serve(latency=MS) for _ in range(20)] == ["new"] * 20


def test_a_start_that_lies_ahead_counts_as_the_moment_at_which_it_was_listed() -> None:
    """Guards against a warm-up that lasts longer by what two clocks differ, or begins anew with each list."""
    driver = Driver(entries=())
    listed_at = driver.now
    entry = EndpointEntry("new", started_at=listed_at + 300 * SECOND)
    for _ in range(5):
        driver.handle_event(EndpointListUpdate(ListForm.SNAPSHOT, (entry,)), after=SECOND)
    settings, record = driver.balancer.settings, driver.balancer.endpoints["new"]
    first_listed_at = listed_at + SECOND
    assert record.warm_fraction_at(first_listed_at, settings) == pytest.approx(0.2)
    assert record.warm_fraction_at(first_listed_at + 5 * SECOND, settings) == pytest.approx(0.6)
    assert record.warm_fraction_at(first_listed_at + 10 * SECOND, settings) == 1


@pytest.mark.parametrize(
    ("overload_multiple", "overload_window"), [(0.0, 0), (0.0, SECOND), (3.0, 0)], ids=str
)
def test_without_an_overload_rule_a_warming_endpoint_gets_its_graded_odds_and_no_more(
    overload_multiple: float, overload_window: int
) -> None:
    """Guards against a division by 0 or an overflow that ended the process at its first request."""
    entries = (EndpointEntry("warm"), EndpointEntry("new", started_at=999 * SECOND))
    driver = Driver(entries=entries, overload_multiple=overload_multiple, overload_window=overload_window)
    served = Counter(driver.serve(latency=MS) for _ in range(500))
    # a fraction w of the capacity weighs the odds by w ** 1.5: 0.28 ** 1.5 is 0.15 of the warm one's
    assert 0.05 < served["new"] / served["warm"] < 0.30


def test_requests_under_earlier_settings_without_a_warm_up_end_beside_a_warming_endpoint() -> None:
    """Guards against a division by 0 in the instance that still ends them after a switch of settings."""
    driver = Driver(entries=(EndpointEntry("new", started_at=990 * SECOND),), slow_start_duration=0)
    request, actions = driver.start_request()
    earlier = driver.balancer
    driver.switch_settings(slow_start_duration=60 * SECOND)
    ended = AttemptEnded(request, 0, sends(actions)[0], Outcome.CONNECT_FAILED, MS)
    assert earlier.handle(driver.now + MS, ended)


@pytest.mark.parametrize("overload_multiple", [0.0, 3.0])
def test_an_endpoint_that_starts_with_no_capacity_is_used_as_it_warms_up(overload_multiple: float) -> None:
    """Guards against a division by 0 at the moment of its start."""
    driver = Driver(
        entries=(EndpointEntry("new", started_at=1000 * SECOND),),
        slow_start_initial_fraction=0.0,
        overload_multiple=overload_multiple,
    )
    served = 0
    for step in range(100):
        request, actions = driver.start_request(after=100 * MS if step else 0)
        for endpoint in sends(actions):
            driver.end(request, endpoint, latency=MS)
            served += 1
    assert served


def test_instances_under_settings_with_and_without_an_overload_rule_share_a_warming_endpoint() -> None:
    """Guards against a division by 0 in the earlier one, and a bound that it lifts for the later one."""
    entries = (EndpointEntry("warm"), EndpointEntry("new", started_at=995 * SECOND))
    driver = Driver(entries=entries, overload_window=0, instance_count=3)
    request, actions = driver.start_request()
    earlier = driver.balancer
    driver.switch_settings(instance_count=3)
    record = driver.balancer.endpoints["new"]
    driver.start_request()
    assert 0.25 < record.send_allowance < 1
    (attempted,) = sends(actions)
    retried = sends(
        earlier.handle(driver.now, AttemptEnded(request, 0, attempted, Outcome.CONNECT_FAILED, MS))
    )
    assert retried == ["new" if attempted == "warm" else "warm"]
    assert 0.25 < record.send_allowance < 1
