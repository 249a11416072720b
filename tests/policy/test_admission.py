"""Value against cost, load shedding, quotas, and classes that are late wherever they go."""

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


def test_overload_is_shed_at_once_and_shedding_does_not_last() -> None:
    """Shed requests have no outcomes, so an estimate that sheds everything must fade by itself."""
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


def one_received() -> tuple[Balancer, Request, Endpoint]:
    """Return a balancer used to 100 ms, a request that it has just received, and one of its endpoints."""
    driver = Driver()
    for _ in range(30):
        driver.serve(latency=100 * MS)
    request, _ = driver.start_request()
    return driver.balancer, driver.balancer.lifecycle.requests[request], driver.balancer.endpoints["h0"]


def test_congestion_raises_the_cost_of_work() -> None:
    """One more request delays the others the more, the longer requests take than without congestion."""
    net_values = []
    latencies = []
    for congestion in (0.0, 1.0):
        balancer, request, endpoint = one_received()
        model = balancer.models.latency
        endpoint.in_flight.clear()
        endpoint.latency_factor = DecayingAverage()
        # the same latency is expected both times, once as baseline and once as congestion
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


def test_many_late_responses_make_work_dearer() -> None:
    """A jam can look like slow endpoints; that responses are late raises the cost of work all the same."""
    net_values = []
    for late in (0.05, 0.5):
        balancer, request, endpoint = one_received()
        admission = balancer.admission
        late_ratio = DecayingAverage(late, 1.0, balancer.now)
        admission.import_state(admission.export_state()._replace(late_ratio=late_ratio))
        admission.assess(balancer.now, request)
        weighted = WeightedEndpoints([endpoint], [400.0 * MS], [1.0], [])
        net_values += admission.net_values(balancer.now, request, weighted)
    assert net_values[1] < net_values[0]


def test_a_tenant_beyond_its_quota_loses_value_and_one_within_keeps_it() -> None:
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


def test_client_retries_do_not_count_as_a_tenants_traffic() -> None:
    quotas = TenantQuotas(helpers.settings(tenant_quotas=(30.0,), over_quota_weight=0.1, instance_count=3))
    for number in range(300):
        received = RequestReceived(number, IDEMPOTENT, SECOND, 0, is_retry=number % 10 != 0)
        quotas.record_request(1000 * SECOND + number * 10 * MS, received)
    assert quotas.record_request(1003 * SECOND, RequestReceived(999, IDEMPOTENT, SECOND, 0)) == 1.0


def test_a_client_retry_with_less_time_is_judged_by_what_the_first_request_used() -> None:
    driver = Driver(slow_start_duration=0)
    driver.start_request(timeout=SECOND)
    driver.handle_event(RequestReceived(7, IDEMPOTENT, 800 * MS, is_retry=True), 10 * MS)
    driver.handle_event(RequestReceived(8, IDEMPOTENT, SECOND, is_retry=True), 10 * MS)
    driver.handle_event(RequestReceived(9, IDEMPOTENT, 800 * MS), 10 * MS)
    at = {n: driver.now - driver.balancer.lifecycle.requests[n].started_at for n in (7, 8, 9)}
    assert at == {7: 1200 * MS + 20 * MS, 8: 10 * MS, 9: 0}


def admitted(driver: Driver, class_index: int, latency: int, count: int = 40) -> int:
    """Of so many requests of each of two classes, how many of this one were sent; the other's are quick."""
    sent = 0
    for _ in range(count):
        driver.now += 20 * MS
        driver.serve(IDEMPOTENT if class_index != IDEMPOTENT else KEYED_EVERYWHERE)
        request, actions = driver.start_request(class_index)
        if endpoints := sends(actions):
            sent += 1
            driver.now -= latency  # both are in flight at once; their latencies alone matter here
            driver.end(request, endpoints[0], latency=latency)
    return sent


def test_a_class_that_alone_is_late_everywhere_is_sampled_only() -> None:
    """Its requests take capacity from all others, which would be shed as in an overload."""
    driver = Driver(max_attempts=1)
    assert admitted(driver, KEYED_EVERYWHERE, 50 * MS) == 40
    admitted(driver, KEYED_EVERYWHERE, 900 * MS, 20)
    assert 0 < admitted(driver, KEYED_EVERYWHERE, 900 * MS, 200) < 30
    assert sends(driver.start_request(IDEMPOTENT)[1]), "the others go on"
    admitted(driver, KEYED_EVERYWHERE, 50 * MS, 200)
    assert admitted(driver, KEYED_EVERYWHERE, 50 * MS, 20) == 20, "and the few that are sampled bring it back"


def test_classes_that_are_late_together_are_not_failing() -> None:
    driver = Driver()
    late = 0
    for class_index in (IDEMPOTENT, KEYED_EVERYWHERE) * 20:
        request, actions = driver.start_request(class_index, after=6 * SECOND)
        if endpoints := sends(actions):
            late += 1
            driver.end(request, endpoints[0], latency=900 * MS)
    assert late > 20
    classes = driver.balancer.models.classes
    assert classes.relative_on_time_ratio(driver.now, IDEMPOTENT) > 0.5
    assert classes.relative_on_time_ratio(driver.now, KEYED_EVERYWHERE) > 0.5
