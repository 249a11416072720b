"""Load reports, and capacities that vary with load."""

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


def home_weights(driver: Driver) -> list[float]:
    balancer = driver.balancer
    home = [u for u in balancer.endpoints.values() if u.zone == 0]
    return balancer.weights.weigh(driver.now, home, IDEMPOTENT).weights


def test_reported_queue_depth_moves_the_odds() -> None:
    driver = Driver()
    for _ in range(30):
        driver.serve()
    for name in ("h0", "h1", "h2", "h3"):
        record = driver.balancer.endpoints[name]
        driver.balancer.models.load_reports.record_report(
            driver.now, record, (30.0 if name == "h2" else 0.0,)
        )
    odds = home_weights(driver)
    assert odds[2] == min(odds)


@pytest.mark.parametrize("report", [(), (float("nan"),), (-3.0,), (float("inf"),), (1.0, 2.0, 3.0)])
def test_absurd_reports_do_no_harm(report: tuple[float, ...]) -> None:
    driver = Driver()
    for _ in range(30):
        driver.serve(report=report)
    assert sends(driver.start_request()[1])


@pytest.mark.parametrize("field", list(LoadField))
def test_any_reported_field_serves(field: LoadField) -> None:
    driver = Driver(load_report_fields=(field,))
    for _ in range(30):
        driver.serve(report=(0.5,))
    assert sends(driver.start_request()[1])


def list_update(sizes: dict[str, float], kinds: dict[str, int] | None = None) -> EndpointListUpdate:
    kinds = kinds or {}
    entries = (
        EndpointEntry(name, host_class=kinds.get(name, 0), capacity=size) for name, size in sizes.items()
    )
    return EndpointListUpdate(ListForm.DELTA, tuple(entries))


def driver_with_varying_capacities(sizes: dict[str, float], kinds: dict[str, int] | None = None) -> Driver:
    driver = Driver(
        entries=(),
        capacity_varies_with_load=True,
        load_report_fields=(LoadField.UTILIZATION, LoadField.IN_FLIGHT),
        slow_start_duration=0,
    )
    driver.handle_event(list_update(sizes, kinds))
    return driver


def test_a_capacity_that_varies_with_load_is_parted_into_capacity_and_load() -> None:
    kinds = {"a": 0, "b": 1}
    driver = driver_with_varying_capacities({"a": 2.0, "b": 0.5}, kinds)
    driver.handle_event(list_update({"a": 0.5, "b": 0.5}, kinds), SECOND)
    a, b = (driver.balancer.endpoints[name] for name in "ab")
    assert (a.capacity, b.capacity) == (2.0, 0.5)
    assert 0 < a.reported_load <= 3.0
    assert b.reported_load == 0.0


def test_one_late_list_does_not_turn_all_traffic() -> None:
    # every instance follows the same list: a load that was listed once moves shares by less than it says
    driver = driver_with_varying_capacities(dict.fromkeys("abcd", 1.0))
    driver.handle_event(list_update({"a": 1 / 7, "b": 1.0, "c": 1.0, "d": 1.0}), SECOND)
    got = Counter(driver.serve(latency=1) for _ in range(400))
    assert got["a"] > 15, got
    assert got["a"] < min(got[name] for name in "bcd")


def test_a_load_that_stays_moves_most_traffic_away() -> None:
    driver = driver_with_varying_capacities(dict.fromkeys("ab", 1.0))
    for _ in range(20):
        driver.serve(latency=40 * MS)
    for _ in range(12):
        driver.handle_event(list_update({"a": 1 / 9, "b": 1.0}), SECOND)
    got = Counter(driver.serve(latency=1) for _ in range(200))
    assert got["a"] < 10, got


def test_a_capacity_that_is_no_positive_number_tells_no_load() -> None:
    driver = driver_with_varying_capacities({"a": 1.0, "b": 1.0})
    driver.handle_event(list_update({"a": 0.0, "b": float("nan")}), SECOND)
    assert all(u.reported_load == 0.0 and u.capacity == 1.0 for u in driver.balancer.endpoints.values())


def test_endpoints_of_a_changed_list_keep_their_attempts_in_flight() -> None:
    driver = driver_with_varying_capacities({"a": 1.0})
    request, _ = driver.start_request()
    (entry,) = list_update({"a": 0.5}).entries
    driver.handle_event(EndpointListUpdate(ListForm.DELTA, (replace(entry),)), SECOND)
    assert len(driver.balancer.endpoints["a"].in_flight) == 1
    driver.end(request, "a")
    assert not driver.balancer.endpoints["a"].in_flight


def test_a_report_that_is_not_renewed_fades_to_the_mean_of_its_zone() -> None:
    reports = LoadReports(helpers.settings())
    busy, idle = Endpoint(EndpointEntry("busy")), Endpoint(EndpointEntry("idle"))
    for second in range(1, 60):
        reports.record_report(second * SECOND, busy, (8.0,))
        reports.record_report(second * SECOND, idle, (0.0,))
    now = 59 * SECOND
    assert reports.load_beyond_own(now, busy) == pytest.approx(8.0, rel=0.01)
    later = now + 30 * SECOND
    assert reports.load_beyond_own(later, busy) == pytest.approx(reports.load_beyond_own(later, idle))
    assert 2.0 < reports.load_beyond_own(later, busy) < 6.0


@pytest.mark.parametrize("value", [1e300, 1e-300, float("inf"), float("nan"), -1.0])
def test_a_report_or_capacity_beyond_all_measure_is_passed_over(value: float) -> None:
    """Guards against one garbled number of one endpoint that overflowed and ended the process."""
    driver = Driver(entries=listed_entries(2, 0), load_report_fields=(LoadField.QUEUE_DEPTH,))
    for _ in range(20):
        driver.serve(report=(value,))
    varying = driver_with_varying_capacities({"a": 1.0, "b": 1.0})
    for _ in range(20):
        varying.handle_event(list_update({"a": value, "b": 1e300}), SECOND)
        varying.serve(report=(value,))
    assert all(record.reported_load <= 1 for record in varying.balancer.endpoints.values())
