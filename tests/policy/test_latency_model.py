"""The latency model."""

from __future__ import annotations

import math
from random import Random

import pytest

from linetrack.policy.events import (
    AttemptEnded,
    EndpointEntry,
    Outcome,
    TimerFired,
)
from tests.helpers import MS, SECOND, Driver, listed_entries, sends


def test_a_latency_of_zero_is_recorded() -> None:
    """A latency of zero microseconds has no logarithm."""
    driver = Driver()
    for _ in range(20):
        driver.serve(latency=0)
    assert sends(driver.start_request()[1])


def test_host_classes_are_opaque_groups() -> None:
    """Endpoints of one host class share estimates; the number of the class has no meaning."""
    runs = []
    for numbers in ((0, 1), (7, 3)):
        entries = tuple(EndpointEntry(f"h{n}", host_class=numbers[n % 2]) for n in range(8))
        driver = Driver(entries=entries)
        runs.append(
            [
                driver.finish(lambda endpoint: (Outcome.SUCCESS, 40 * MS + 60 * MS * (int(endpoint[1]) % 2)))
                for _ in range(60)
            ]
        )
    assert runs[0] == runs[1]


def test_the_estimate_for_a_rarely_observed_endpoint_comes_from_its_host_class() -> None:
    """With few requests per endpoint, the responses of its host class are the better estimate."""
    entries = (
        *(EndpointEntry(f"f{n}", host_class=0) for n in range(20)),
        *(EndpointEntry(f"s{n}", host_class=1) for n in range(20)),
    )
    driver = Driver(entries=entries)
    for _ in range(15):
        request, actions = driver.start_request(after=SECOND)
        name = sends(actions)[0]
        driver.end(request, name, latency=200 * MS if name[0] == "s" else 40 * MS)
    unobserved = {
        endpoint.host_class: driver.balancer.models.latency.expected_latency(driver.now, endpoint)
        for endpoint in driver.balancer.endpoints.values()
        if not endpoint.latency_factor.weight
    }
    assert unobserved[1] > 1.5 * unobserved[0]


def test_a_lost_response_counts_neither_as_load_nor_as_a_hung_endpoint() -> None:
    # a few lost responses at each endpoint would otherwise cause half of the requests to be shed
    driver = Driver(entries=listed_entries(1, 0))
    for _ in range(30):
        driver.serve()
    endpoint = driver.balancer.endpoints["h0"]
    model = driver.balancer.models.latency
    before = model.expected_latency(driver.now, endpoint)
    (lost_request, _), (answered_request, _) = driver.start_request(), driver.start_request(after=1 * MS)
    driver.handle_event(TimerFired("none"), 400 * MS)
    assert model.expected_latency(driver.now, endpoint) > 4 * before  # no response since, so it may be hung
    driver.end(answered_request, "h0", latency=50 * MS)
    # a later request was answered, so the response to the earlier one is lost
    assert model.expected_latency(driver.now, endpoint) < 1.5 * before
    factor = endpoint.latency_factor.value
    driver.handle_event(AttemptEnded(lost_request, 0, "h0", Outcome.TIMEOUT, 2 * SECOND), 1500 * MS)
    assert endpoint.latency_factor.value == factor


def test_the_baseline_does_not_sink_below_true_latencies() -> None:
    # if factors and costs were not centered, they would rise, the baseline would sink, and congestion would
    # be overestimated by far
    driver, random = Driver(), Random(2)
    for n in range(4000):
        driver.serve(class_index=n % 2, latency=round(40 * MS * math.exp(random.gauss(0, 0.7))))
    balancer = driver.balancer
    assert 15 * MS < balancer.models.latency.baseline_latency() < 50 * MS
    class_costs = [balancer.models.latency.class_cost(driver.now, n) for n in range(2)]
    assert sum(
        share * math.log(s)
        for share, s in zip(balancer.models.classes.request_shares, class_costs, strict=False)
    ) == pytest.approx(0.0, abs=0.1)
