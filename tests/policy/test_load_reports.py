"""Load reports, and listed capacities that vary with load."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

import pytest

from linetrack.policy.endpoint import Endpoint
from linetrack.policy.events import (
    EndpointEntry,
    EndpointListUpdate,
    ListForm,
)
from linetrack.policy.load_reports import LoadReports
from linetrack.policy.settings import LoadField
from tests import helpers
from tests.helpers import IDEMPOTENT, MS, SECOND, Driver, listed_entries, sends


def own_zone_weights(driver: Driver) -> list[float]:
    balancer = driver.balancer
    own_zone = [endpoint for endpoint in balancer.endpoints.values() if endpoint.zone == 0]
    return balancer.weights.weigh(driver.now, own_zone, IDEMPOTENT).weights


def test_a_reported_queue_depth_lowers_the_weight() -> None:
    driver = Driver()
    for _ in range(30):
        driver.serve()
    for name in ("h0", "h1", "h2", "h3"):
        record = driver.balancer.endpoints[name]
        driver.balancer.models.load_reports.record_report(
            driver.now, record, (30.0 if name == "h2" else 0.0,)
        )
    weights = own_zone_weights(driver)
    assert weights[2] == min(weights)


@pytest.mark.parametrize("report", [(), (float("nan"),), (-3.0,), (float("inf"),), (1.0, 2.0, 3.0)])
def test_invalid_reports_are_ignored(report: tuple[float, ...]) -> None:
    driver = Driver()
    for _ in range(30):
        driver.serve(report=report)
    assert sends(driver.start_request()[1])


@pytest.mark.parametrize("field", list(LoadField))
def test_every_load_report_field_is_accepted(field: LoadField) -> None:
    driver = Driver(load_report_fields=(field,))
    for _ in range(30):
        driver.serve(report=(0.5,))
    assert sends(driver.start_request()[1])


def list_update(
    capacities: dict[str, float], host_classes: dict[str, int] | None = None
) -> EndpointListUpdate:
    host_classes = host_classes or {}
    entries = (
        EndpointEntry(name, host_class=host_classes.get(name, 0), capacity=capacity)
        for name, capacity in capacities.items()
    )
    return EndpointListUpdate(ListForm.DELTA, tuple(entries))


def driver_with_varying_capacities(
    capacities: dict[str, float], host_classes: dict[str, int] | None = None
) -> Driver:
    driver = Driver(
        entries=(),
        capacity_varies_with_load=True,
        load_report_fields=(LoadField.UTILIZATION, LoadField.IN_FLIGHT),
        slow_start_duration=0,
    )
    driver.handle_event(list_update(capacities, host_classes))
    return driver


def test_a_capacity_that_varies_with_load_is_split_into_capacity_and_load() -> None:
    host_classes = {"a": 0, "b": 1}
    driver = driver_with_varying_capacities({"a": 2.0, "b": 0.5}, host_classes)
    driver.handle_event(list_update({"a": 0.5, "b": 0.5}, host_classes), SECOND)
    first, second = (driver.balancer.endpoints[name] for name in "ab")
    assert (first.capacity, second.capacity) == (2.0, 0.5)
    assert 0 < first.reported_load <= 3.0
    assert second.reported_load == 0.0


def test_a_single_list_update_does_not_move_all_traffic() -> None:
    # all instances react to the same list, so the load of a single update is smoothed
    driver = driver_with_varying_capacities(dict.fromkeys("abcd", 1.0))
    driver.handle_event(list_update({"a": 1 / 7, "b": 1.0, "c": 1.0, "d": 1.0}), SECOND)
    counts = Counter(driver.serve(latency=1) for _ in range(400))
    assert counts["a"] > 15, counts
    assert counts["a"] < min(counts[name] for name in "bcd")


def test_a_persistent_load_moves_most_traffic_away() -> None:
    driver = driver_with_varying_capacities(dict.fromkeys("ab", 1.0))
    for _ in range(20):
        driver.serve(latency=40 * MS)
    for _ in range(12):
        driver.handle_event(list_update({"a": 1 / 9, "b": 1.0}), SECOND)
    counts = Counter(driver.serve(latency=1) for _ in range(200))
    assert counts["a"] < 10, counts


def test_a_capacity_that_is_not_a_positive_number_implies_no_load() -> None:
    driver = driver_with_varying_capacities({"a": 1.0, "b": 1.0})
    driver.handle_event(list_update({"a": 0.0, "b": float("nan")}), SECOND)
    assert all(
        endpoint.reported_load == 0.0 and endpoint.capacity == 1.0
        for endpoint in driver.balancer.endpoints.values()
    )


def test_endpoints_keep_their_attempts_in_flight_when_the_list_changes() -> None:
    driver = driver_with_varying_capacities({"a": 1.0})
    request, _ = driver.start_request()
    (entry,) = list_update({"a": 0.5}).entries
    driver.handle_event(EndpointListUpdate(ListForm.DELTA, (replace(entry),)), SECOND)
    assert len(driver.balancer.endpoints["a"].in_flight) == 1
    driver.end(request, "a")
    assert not driver.balancer.endpoints["a"].in_flight


def test_a_report_decays_to_the_mean_of_its_zone() -> None:
    reports = LoadReports(helpers.settings())
    busy, idle = Endpoint(EndpointEntry("busy")), Endpoint(EndpointEntry("idle"))
    for second in range(1, 60):
        reports.record_report(second * SECOND, busy, (8.0,))
        reports.record_report(second * SECOND, idle, (0.0,))
    now = 59 * SECOND
    assert reports.load_from_other_instances(now, busy) == pytest.approx(8.0, rel=0.01)
    later = now + 30 * SECOND
    assert reports.load_from_other_instances(later, busy) == pytest.approx(
        reports.load_from_other_instances(later, idle)
    )
    assert 2.0 < reports.load_from_other_instances(later, busy) < 6.0


@pytest.mark.parametrize("value", [1e300, 1e-300, float("inf"), float("nan"), -1.0])
def test_a_report_or_capacity_out_of_range_is_ignored(value: float) -> None:
    """A single corrupt value from one endpoint once overflowed and terminated the process."""
    driver = Driver(entries=listed_entries(2, 0), load_report_fields=(LoadField.QUEUE_DEPTH,))
    for _ in range(20):
        driver.serve(report=(value,))
    varying = driver_with_varying_capacities({"a": 1.0, "b": 1.0})
    for _ in range(20):
        varying.handle_event(list_update({"a": value, "b": 1e300}), SECOND)
        varying.serve(report=(value,))
    assert all(record.reported_load <= 1 for record in varying.balancer.endpoints.values())
