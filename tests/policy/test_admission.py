"""Admission control: values against costs, load shedding, tenant quotas, and failing classes."""

from __future__ import annotations

import math

import pytest

from linetrack.policy.actions import (
    RejectRequest,
)
from linetrack.policy.balancer import Balancer
from linetrack.policy.decaying_average import DecayingAverage
from linetrack.policy.endpoint import Endpoint
from linetrack.policy.endpoint_weights import WeightedEndpoints
from linetrack.policy.events import (
    RequestReceived,
)
from linetrack.policy.request import Request
from linetrack.policy.tenant_quotas import TenantQuotas
from tests import helpers
from tests.helpers import IDEMPOTENT, KEYED_EVERYWHERE, MS, SECOND, Driver, listed_entries, sends


def test_load_is_shed_under_overload_and_admitted_again_after_it() -> None:
    """Shed requests have no outcomes, so estimates that shed every request must decay with time."""
    driver = Driver(entries=listed_entries(2, 0))
    rejected = 0
    for _ in range(90):
        request, actions = driver.start_request()
        rejected += any(isinstance(a, RejectRequest) for a in actions)
        for endpoint in sends(actions):
            driver.end(request, endpoint, latency=900 * MS)
    assert rejected > 10
    driver.now += 60 * SECOND
    for _ in range(60):
        request, actions = driver.start_request(after=100 * MS)
        for endpoint in sends(actions):
            driver.end(request, endpoint, latency=30 * MS)
    assert sends(driver.start_request()[1])


def balancer_with_open_request() -> tuple[Balancer, Request, Endpoint]:
    """Return a balancer that has learnt latencies of 100 ms, an open request, and one of its endpoints."""
    driver = Driver()
    for _ in range(30):
        driver.serve(latency=100 * MS)
    request, _ = driver.start_request()
    return driver.balancer, driver.balancer.lifecycle.requests[request], driver.balancer.endpoints["h0"]


def test_congestion_raises_the_cost_of_work() -> None:
    """The delay that one more request causes grows with the ratio of latencies to uncongested ones."""
    net_values = []
    latencies = []
    for congestion in (0.0, 1.0):
        balancer, request, endpoint = balancer_with_open_request()
        model = balancer.models.latency
        endpoint.in_flight.clear()
        endpoint.latency_factor = DecayingAverage()
        # the expected latency is the same in both runs; in the second, part of it is due to congestion
        state = model.export_state()._replace(
            baseline=math.log(200.0 * MS) - congestion,
            mean_endpoint_factor=0.0,
            zone_congestion={0: DecayingAverage(congestion, 1e9, balancer.now)},
            host_class_factors={0: DecayingAverage()},
        )
        model.import_state(state)
        model.start_event()
        latencies.append(model.expected_latency(balancer.now, endpoint))
        weighted = WeightedEndpoints([endpoint], latencies[-1:], [1.0], [])
        net_values += balancer.admission.net_values(balancer.now, request, weighted)
    assert latencies[0] == pytest.approx(latencies[1])
    assert net_values[1] < net_values[0]


def test_many_late_responses_raise_the_cost_of_work() -> None:
    """The model may mistake congestion for slow endpoints, so late responses raise the cost as well."""
    net_values = []
    for late_ratio_value in (0.05, 0.5):
        balancer, request, endpoint = balancer_with_open_request()
        admission = balancer.admission
        late_ratio = DecayingAverage(late_ratio_value, 1.0, balancer.now)
        admission.import_state(admission.export_state()._replace(late_ratio=late_ratio))
        admission.assess(balancer.now, request)
        weighted = WeightedEndpoints([endpoint], [400.0 * MS], [1.0], [])
        net_values += admission.net_values(balancer.now, request, weighted)
    assert net_values[1] < net_values[0]


def test_requests_of_a_tenant_lose_value_only_beyond_its_quota() -> None:
    driver = Driver(
        tenant_quotas=(30.0, 30.0), over_quota_weight=0.1, instance_count=3, slow_start_duration=0
    )
    quota_factors = {}
    for number in range(600):
        tenant = int(number % 12 == 0)
        driver.handle_event(RequestReceived(number, IDEMPOTENT, SECOND, tenant), 10 * MS)
        if number in driver.balancer.lifecycle.requests:
            quota_factors[tenant] = driver.balancer.lifecycle.requests[number].quota_factor
    assert quota_factors[1] == 1.0
    assert 0.1 < quota_factors[0] < 0.4


def test_client_retries_do_not_count_towards_a_tenants_quota() -> None:
    quotas = TenantQuotas(helpers.settings(tenant_quotas=(30.0,), over_quota_weight=0.1, instance_count=3))
    for number in range(300):
        received = RequestReceived(number, IDEMPOTENT, SECOND, 0, is_retry=number % 10 != 0)
        quotas.record_request(1000 * SECOND + number * 10 * MS, received)
    assert quotas.record_request(1003 * SECOND, RequestReceived(999, IDEMPOTENT, SECOND, 0)) == 1.0


def test_a_client_retry_with_a_shorter_timeout_counts_the_time_used_before_it() -> None:
    driver = Driver(slow_start_duration=0)
    driver.start_request(timeout=SECOND)
    driver.handle_event(RequestReceived(7, IDEMPOTENT, 800 * MS, is_retry=True), 10 * MS)
    driver.handle_event(RequestReceived(8, IDEMPOTENT, SECOND, is_retry=True), 10 * MS)
    driver.handle_event(RequestReceived(9, IDEMPOTENT, 800 * MS), 10 * MS)
    ages = {
        request_id: driver.now - driver.balancer.lifecycle.requests[request_id].started_at
        for request_id in (7, 8, 9)
    }
    assert ages == {7: 1200 * MS + 20 * MS, 8: 10 * MS, 9: 0}


def count_admitted(driver: Driver, class_index: int, latency: int, count: int = 40) -> int:
    """Serve `count` requests of each of two classes; return how many of this class were sent.

    Responses to the other class are fast.
    """
    sent = 0
    for _ in range(count):
        driver.now += 20 * MS
        driver.serve(IDEMPOTENT if class_index != IDEMPOTENT else KEYED_EVERYWHERE)
        request, actions = driver.start_request(class_index)
        if endpoints := sends(actions):
            sent += 1
            driver.now -= latency  # move the clock back: only the latency matters, not the order
            driver.end(request, endpoints[0], latency=latency)
    return sent


def test_only_a_sample_is_admitted_of_a_class_that_alone_is_late() -> None:
    """The late class would take capacity from other classes, which would be shed as in an overload."""
    driver = Driver(max_attempts=1)
    assert count_admitted(driver, KEYED_EVERYWHERE, 50 * MS) == 40
    count_admitted(driver, KEYED_EVERYWHERE, 900 * MS, 20)
    assert 0 < count_admitted(driver, KEYED_EVERYWHERE, 900 * MS, 200) < 30
    assert sends(driver.start_request(IDEMPOTENT)[1]), "the other class is still admitted"
    count_admitted(driver, KEYED_EVERYWHERE, 50 * MS, 200)
    assert count_admitted(driver, KEYED_EVERYWHERE, 50 * MS, 20) == 20, (
        "responses to the sample readmit the class"
    )


def test_classes_that_are_late_together_are_not_failing() -> None:
    driver = Driver()
    late_count = 0
    for class_index in (IDEMPOTENT, KEYED_EVERYWHERE) * 20:
        request, actions = driver.start_request(class_index, after=6 * SECOND)
        if endpoints := sends(actions):
            late_count += 1
            driver.end(request, endpoints[0], latency=900 * MS)
    assert late_count > 20
    classes = driver.balancer.models.classes
    assert classes.relative_on_time_ratio(driver.now, IDEMPOTENT) > 0.5
    assert classes.relative_on_time_ratio(driver.now, KEYED_EVERYWHERE) > 0.5
