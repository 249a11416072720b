"""Endpoint lists: draining, removal, advisory removal, and the subscription."""

from __future__ import annotations

from collections import Counter

import pytest

from linetrack.policy.actions import (
    SetTimer,
    WatchEndpoints,
)
from linetrack.policy.balancer import Balancer
from linetrack.policy.events import (
    AttemptEnded,
    EndpointEntry,
    EndpointListUpdate,
    EndpointStatus,
    ListForm,
    Outcome,
    TimerFired,
)
from tests import helpers
from tests.helpers import MS, SECOND, Driver, listed_entries, sends


def sends_by_endpoint(driver: Driver, count: int = 300) -> Counter[str]:
    return Counter(driver.serve() for _ in range(count))


def test_draining_and_removed_endpoints_get_no_attempts() -> None:
    driver = Driver()
    driver.handle_event(
        EndpointListUpdate(ListForm.DELTA, (EndpointEntry("h0", status=EndpointStatus.DRAINING),))
    )
    driver.handle_event(
        EndpointListUpdate(ListForm.DELTA, (EndpointEntry("h1", status=EndpointStatus.REMOVED),))
    )
    assert not set(sends_by_endpoint(driver, 100)) & {"h0", "h1"}
    driver.handle_event(EndpointListUpdate(ListForm.SNAPSHOT, listed_entries(3, 0)[2:]))
    assert set(sends_by_endpoint(driver, 50)) == {"h2"}


def test_discovery_is_polled_again_with_backoff_and_jitter() -> None:
    driver = Driver(must_subscribe=True, poll_interval=8 * SECOND, entries=())
    delays = []
    for _ in range(6):
        timers = driver.handle_event(EndpointListUpdate(ListForm.REJECTED))
        assert isinstance(timers[0], SetTimer)
        delays.append(timers[0].delay)
        assert driver.handle_event(TimerFired("ask"), timers[0].delay) == [WatchEndpoints(True)]
    assert delays[0] <= 1.5 * SECOND < 2 * SECOND <= delays[-1] <= 6 * SECOND


@pytest.mark.parametrize("instances", [2, 500])
def test_first_polls_are_spread_by_the_number_of_instances(instances: int) -> None:
    """Hundreds of instances that start together must not poll at once, and a few must not wait long."""
    delays = []
    for seed in range(60):
        driver = Driver(
            seed=seed, must_subscribe=True, poll_interval=10 * SECOND, instance_count=instances, entries=()
        )
        timers = Balancer(driver.balancer.settings, seed).handle(
            0, EndpointListUpdate(ListForm.CACHED, listed_entries())
        )
        assert isinstance(timers[0], SetTimer)
        assert timers[0].token == "ask"
        delays.append(timers[0].delay)
    assert max(delays) <= min(5 * SECOND, instances * 10 * MS)
    assert max(delays) > 0.4 * min(5 * SECOND, instances * 10 * MS)


def test_records_of_removed_endpoints_are_dropped_while_their_attempts_are_in_flight() -> None:
    # memory must not grow with every endpoint, zone and host class that was ever listed
    driver = Driver()
    request, actions = driver.start_request()
    first = sends(actions)[0]
    for n in range(300):
        entry = EndpointEntry(f"n{n}", zone=n % 7, host_class=n % 11, started_at=driver.now)
        gone = [EndpointEntry(f"n{n - 1}", status=EndpointStatus.REMOVED)] if n else []
        driver.handle_event(
            EndpointListUpdate(
                ListForm.DELTA, (entry, *gone, EndpointEntry(first, status=EndpointStatus.REMOVED))
            ),
            20 * MS,
        )
    balancer = driver.balancer
    assert first not in balancer.endpoints
    assert len(balancer.endpoints) == 7
    # the rotation continues although the endpoint attempted last is no longer listed
    assert sends(driver.end(request, first, Outcome.RESET)) != [first]
    driver.handle_event(EndpointListUpdate(ListForm.SNAPSHOT, listed_entries(2, 0)))
    assert set(balancer.endpoints) == {"h0", "h1"}
    for _ in range(20):
        driver.serve(report=(1.0,))
    learnt = balancer.models.latency.export_state()
    assert learnt.zone_congestion is not None
    assert learnt.host_class_factors is not None
    assert len(learnt.zone_congestion) == len(learnt.host_class_factors) == 1
    assert not balancer.lifecycle.abandoned


def list_status(driver: Driver, status: EndpointStatus, name: str = "h0", started_at: int = 0) -> None:
    driver.handle_event(
        EndpointListUpdate(ListForm.DELTA, (EndpointEntry(name, status=status, started_at=started_at),))
    )


def count_sends_to(driver: Driver, name: str, is_down: bool = False) -> int:
    """Return how many attempts of 100 requests went to the endpoint, which answers or is down."""
    sent_count = 0
    for _ in range(100):
        driver.now += 50 * MS
        request, actions = driver.start_request()
        attempt = 0
        while endpoints := sends(actions):
            sent_count += endpoints[0] == name
            fails = is_down and endpoints[0] == name
            outcome = Outcome.CONNECT_FAILED if fails else Outcome.SUCCESS
            actions = driver.end(request, endpoints[0], outcome, 50 * MS, attempt)
            attempt += 1
    return sent_count


@pytest.mark.parametrize("is_omitted", [False, True])
def test_removal_is_advisory_if_configured(is_omitted: bool) -> None:
    for is_advisory in (False, True):
        driver = Driver(removal_is_advisory=is_advisory)
        if is_omitted:
            driver.handle_event(EndpointListUpdate(ListForm.SNAPSHOT, helpers.listed_entries()[1:]))
        else:
            list_status(driver, EndpointStatus.REMOVED)
        assert (count_sends_to(driver, "h0") > 10) is is_advisory


def test_a_removed_endpoint_that_is_down_gets_few_trials_and_is_dropped() -> None:
    driver = Driver(removal_is_advisory=True, entries=helpers.listed_entries(2, 0), max_attempts=1)
    list_status(driver, EndpointStatus.REMOVED)
    sent_count = 0
    for _ in range(100):
        sent_count += count_sends_to(driver, "h0", is_down=True)
        if "h0" not in driver.balancer.endpoints:
            break
    assert 0 < sent_count <= 5
    assert "h0" not in driver.balancer.endpoints


def test_an_endpoint_that_drained_gets_no_attempts_until_it_has_restarted() -> None:
    driver = Driver(removal_is_advisory=True, slow_start_duration=0)
    list_status(driver, EndpointStatus.DRAINING)
    list_status(driver, EndpointStatus.REMOVED)
    driver.handle_event(EndpointListUpdate(ListForm.SNAPSHOT, helpers.listed_entries()[1:]))
    assert not count_sends_to(driver, "h0")
    list_status(driver, EndpointStatus.UP)
    assert not count_sends_to(driver, "h0"), "it is still the same process"
    list_status(driver, EndpointStatus.UP, started_at=driver.now - 60 * SECOND)
    assert count_sends_to(driver, "h0") > 10


def test_records_of_unlisted_endpoints_are_limited_but_fit_a_fleet_of_1024() -> None:
    """Records must not accumulate, and the limit must not drop half of a large fleet at once."""
    driver = Driver(removal_is_advisory=True, entries=())
    for generation in range(4):
        fleet = tuple(EndpointEntry(f"{generation}-{n}") for n in range(1024))
        driver.handle_event(EndpointListUpdate(ListForm.SNAPSHOT, fleet))
        driver.handle_event(EndpointListUpdate(ListForm.SNAPSHOT, ()))
        assert all(entry.endpoint in driver.balancer.endpoints for entry in fleet)
    driver.handle_event(
        EndpointListUpdate(ListForm.SNAPSHOT, tuple(EndpointEntry(f"4-{n}") for n in range(1024)))
    )
    assert 2 * 1024 <= len(driver.balancer.endpoints) <= 3 * 1024


def test_unlisted_endpoints_are_removed_by_a_settings_switch_that_makes_removal_binding() -> None:
    driver = Driver(removal_is_advisory=True)
    list_status(driver, EndpointStatus.REMOVED)
    driver.switch_settings()
    assert not count_sends_to(driver, "h0")


def test_requests_open_at_a_settings_switch_see_drains_that_the_successor_was_notified_of() -> None:
    """With a list of its own, the predecessor would select a draining endpoint, and give up."""
    driver = Driver(slow_start_duration=0)
    request, actions = driver.start_request()
    first, predecessor = sends(actions)[0], driver.balancer
    driver.switch_settings(slow_start_duration=0)
    remaining = next(name for name in predecessor.endpoints if name != first)
    listed = tuple(entry for entry in helpers.listed_entries() if entry.endpoint in (first, remaining))
    driver.handle_event(EndpointListUpdate(ListForm.SNAPSHOT, listed))
    list_status(driver, EndpointStatus.DRAINING, first)
    ended = AttemptEnded(request, 0, first, Outcome.CONNECT_FAILED, MS)
    assert sends(predecessor.handle(driver.now, ended)) == [remaining]
