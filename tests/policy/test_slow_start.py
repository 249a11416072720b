"""Slow start at one or more instances; `test_slow_start_fleet.py` simulates whole fleets."""

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
def test_a_warming_endpoint_is_not_overloaded_by_all_instances_together(instances: int) -> None:
    start, service_time = 1000 * SECOND, 50 * MS
    drivers = []
    for instance in range(instances):
        driver = Driver(
            seed=instance, instance=instance, instance_count=instances, entries=listed_entries(2, 0)
        )
        for _ in range(20):
            driver.serve(latency=service_time)
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
                driver.handle_event(AttemptEnded(request, 0, "cold", Outcome.SUCCESS, service_time, True))
    assert sent
    for sent_at in sent:
        warm_fraction = 0.2 + 0.8 * (sent_at - start - 10 * SECOND) / (10 * SECOND)
        work = service_time * sum(1 for other_sent_at in sent if sent_at <= other_sent_at < sent_at + SECOND)
        assert work <= 3.0 * warm_fraction * SECOND


def test_a_restarted_endpoint_warms_up_again_and_its_learnt_state_is_dropped() -> None:
    driver = Driver(entries=listed_entries(2, 0))
    for _ in range(20):
        driver.serve()
    driver.handle_event(EndpointListUpdate(ListForm.DELTA, (EndpointEntry("h0", started_at=driver.now),)))
    record = driver.balancer.endpoints["h0"]
    assert record.latency_factor.weight == 0
    assert record.warm_fraction_at(driver.now, driver.balancer.settings) == pytest.approx(0.2)


def test_a_warm_endpoint_is_not_limited_while_another_one_warms_up() -> None:
    """The warm endpoint has a listed start, too."""
    driver = Driver(entries=listed_entries(2, 0))
    driver.now += 30 * SECOND
    old, new = (
        EndpointEntry("old", started_at=driver.now - 20 * SECOND),
        EndpointEntry("new", started_at=driver.now),
    )
    driver.handle_event(EndpointListUpdate(ListForm.SNAPSHOT, (old, new)))
    assert {driver.serve(latency=10 * MS) for _ in range(20)} >= {"old"}


def test_hundreds_of_instances_use_a_warming_endpoint_and_do_not_overload_it() -> None:
    """Each instance's share is far below one send; turns would be too rare, so sends are random."""
    count, service_time, start = 300, 50 * MS, 1010 * SECOND
    drivers = []
    for instance in range(count):
        driver = Driver(seed=instance, instance=instance, instance_count=count, entries=listed_entries(4, 0))
        for _ in range(5):
            driver.serve(latency=service_time)
        driver.now = start
        driver.handle_event(EndpointListUpdate(ListForm.DELTA, (EndpointEntry("cold", started_at=start),)))
        drivers.append(driver)
    sent: list[int] = []
    for step in range(20):
        for instance, driver in enumerate(drivers):
            driver.now = start + step * 500 * MS + instance * MS
            request, actions = driver.start_request()
            sent += [driver.now for name in sends(actions) if name == "cold"]
            for name in sends(actions):
                driver.handle_event(AttemptEnded(request, 0, name, Outcome.SUCCESS, service_time, True))
    assert len(sent) > 10
    for sent_at in sent:
        warm_fraction = 0.2 + 0.8 * (sent_at - start) / (10 * SECOND)
        assert (
            service_time * sum(1 for other_sent_at in sent if sent_at <= other_sent_at < sent_at + SECOND)
            <= 3.0 * warm_fraction * SECOND
        )


@given(
    strategies.lists(
        strategies.tuples(strategies.floats(0, 100), strategies.floats(0, 1) | strategies.none()),
        min_size=1,
        max_size=8,
    )
)
def test_shares_of_warming_endpoints_are_limited_to_their_tokens_and_warm_ones_get_the_rest(
    parts: list[tuple[float, float | None]],
) -> None:
    entries = tuple(
        EndpointEntry(f"h{index}", started_at=0 if tokens is None else 1000 * SECOND)
        for index, (_, tokens) in enumerate(parts)
    )
    driver = Driver(entries=entries, instance_count=10_000)
    balancer, weights = driver.balancer, [weight for weight, _ in parts]
    endpoints = list(balancer.endpoints.values())
    for endpoint, (_, tokens) in zip(endpoints, parts, strict=True):
        endpoint.send_tokens = tokens or 0.0
        endpoint.send_tokens_at = driver.now
    clipped = balancer.slow_start.clip_weights(driver.now, endpoints, weights)
    clipped_total, total = sum(clipped) or 1.0, sum(weights) or 1.0
    caps = [0.0 if tokens is None else min(weight / total, tokens) for weight, tokens in parts]
    warm_weights = [weight if tokens is None else 0.0 for weight, tokens in parts]
    if sum(caps) >= 1 - 1e-9 or 0 < sum(warm_weights) <= 1e-6 * total:
        return
    for index, (_, tokens) in enumerate(parts):
        expected = (
            caps[index]
            if tokens is not None
            else (1 - sum(caps)) * warm_weights[index] / (sum(warm_weights) or 1.0)
        )
        assert clipped[index] / clipped_total == pytest.approx(expected, abs=1e-6)


@pytest.mark.parametrize("start_offset", [1, 3 * SECOND, 300 * SECOND])
def test_without_slow_start_an_endpoint_whose_start_is_in_the_future_is_warm(start_offset: int) -> None:
    """A division by 0 once terminated the process at its first request."""
    driver = Driver(entries=(), slow_start_duration=0)
    entry = EndpointEntry("new", started_at=driver.now + start_offset)
    driver.handle_event(EndpointListUpdate(ListForm.SNAPSHOT, (entry,)))
    assert [driver.serve(latency=MS) for _ in range(20)] == ["new"] * 20


def test_a_start_in_the_future_counts_as_the_time_of_listing() -> None:
    """The difference of two clocks must not prolong the warm-up, and no later list may restart it."""
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
def test_without_an_overload_rule_a_warming_endpoint_gets_reduced_odds(
    overload_multiple: float, overload_window: int
) -> None:
    """A division by 0 or an overflow once terminated the process at its first request."""
    entries = (EndpointEntry("warm"), EndpointEntry("new", started_at=999 * SECOND))
    driver = Driver(entries=entries, overload_multiple=overload_multiple, overload_window=overload_window)
    served = Counter(driver.serve(latency=MS) for _ in range(500))
    # with a fraction w of its capacity, an endpoint's odds are multiplied by w ** 1.5: 0.28 ** 1.5 is 0.15
    assert 0.05 < served["new"] / served["warm"] < 0.30


def test_open_requests_end_under_earlier_settings_without_slow_start_beside_a_warming_endpoint() -> None:
    """After a settings switch, a division by 0 once occurred in the instance with the open requests."""
    driver = Driver(entries=(EndpointEntry("new", started_at=990 * SECOND),), slow_start_duration=0)
    request, actions = driver.start_request()
    earlier = driver.balancer
    driver.switch_settings(slow_start_duration=60 * SECOND)
    ended = AttemptEnded(request, 0, sends(actions)[0], Outcome.CONNECT_FAILED, MS)
    assert earlier.handle(driver.now + MS, ended)


@pytest.mark.parametrize("overload_multiple", [0.0, 3.0])
def test_an_endpoint_that_starts_without_capacity_is_used_as_it_warms_up(overload_multiple: float) -> None:
    """A division by 0 once occurred at the start time of such an endpoint."""
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
    """The predecessor must neither divide by 0 nor lift the limit for its successor."""
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
