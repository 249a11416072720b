"""Selection weights: their computation, the cache, and the preferences of instances and keys."""

from __future__ import annotations

from collections import Counter

import pytest

from linetrack.policy.endpoint import Endpoint
from linetrack.policy.endpoint_weights import EndpointWeights, WeightedEndpoints
from linetrack.policy.events import (
    EndpointEntry,
    EndpointListUpdate,
    ListForm,
    Outcome,
    RequestReceived,
)
from linetrack.policy.latency_model import LatencyModel
from tests.helpers import IDEMPOTENT, MS, SECOND, Driver, listed_entries, sends


def test_each_expected_latency_is_computed_once_per_decision(monkeypatch: pytest.MonkeyPatch) -> None:
    """Weighing a large fleet several times per request takes too long."""
    driver = Driver(entries=listed_entries(60, 40))
    for _ in range(30):
        driver.serve()
    computed: Counter[str] = Counter()
    expected_latency = LatencyModel.expected_latency

    def counted(model: LatencyModel, now: int, endpoint: Endpoint) -> float:
        computed.update([endpoint.name])
        return expected_latency(model, now, endpoint)

    monkeypatch.setattr(LatencyModel, "expected_latency", counted)
    assert sends(driver.start_request()[1])
    assert sum(computed.values()) <= 100 + 2  # two more for the selected endpoint


def test_weights_of_other_zones_are_cached_while_endpoints_warm_up(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """During a release, the work per request must not grow with the size of the fleet."""
    weighed = 0
    weigh = EndpointWeights.weigh

    def counted(
        weights: EndpointWeights, now: int, endpoints: list[Endpoint], class_index: int
    ) -> WeightedEndpoints:
        nonlocal weighed
        weighed += sum(endpoint.zone != 0 for endpoint in endpoints)
        return weigh(weights, now, endpoints, class_index)

    entries = [EndpointEntry(f"h{n}", zone=0) for n in range(4)]
    entries += [EndpointEntry(f"a{n}", zone=1, started_at=1000 * SECOND) for n in range(40)]
    driver = Driver(entries=tuple(entries), instance_count=300, cross_zone_cost=10.0)
    monkeypatch.setattr(EndpointWeights, "weigh", counted)
    for _ in range(50):
        driver.serve(latency=10 * MS)
    assert driver.balancer.slow_start.is_any_warming(driver.now)
    assert weighed <= 2 * 40 + 50, "the requests take half a second, for which the weights are cached"


def test_a_failure_in_another_zone_affects_the_next_request() -> None:
    """The weights of other zones are cached; a failure there must not wait for the cache to expire."""
    driver = Driver(entries=listed_entries(0, 4))
    request, actions = driver.start_request()
    broken = sends(actions)[0]
    (other,) = sends(driver.end(request, broken, Outcome.CONNECT_FAILED, MS))
    driver.end(request, other, attempt=1)
    assert broken not in {driver.serve() for _ in range(15)}
    driver.handle_event(EndpointListUpdate(ListForm.SNAPSHOT, listed_entries(0, 1)))
    assert {driver.serve() for _ in range(15)} == {"a0"}


def test_an_affinity_key_prefers_the_same_endpoints_at_all_instances_and_excludes_none() -> None:
    counts_by_instance = []
    for seed in (1, 2):
        driver = Driver(seed=seed, has_affinity_keys=True, entries=listed_entries(20, 0))
        counts: Counter[str] = Counter()
        for number in range(300):
            actions = driver.handle_event(RequestReceived(number, IDEMPOTENT, 2 * SECOND, affinity_key="k:1"))
            counts[sends(actions)[0]] += 1
            driver.end(number, sends(actions)[0])
        counts_by_instance.append(counts)
    first, second = ({name for name, _ in counts.most_common(3)} for counts in counts_by_instance)
    assert first == second
    assert all(len(counts) > 6 for counts in counts_by_instance)


@pytest.mark.parametrize("has_affinity_keys", [True, False])
def test_no_endpoint_is_preferred_for_a_request_without_an_affinity_key(has_affinity_keys: bool) -> None:
    driver = Driver(has_affinity_keys=has_affinity_keys, entries=listed_entries(4, 0))
    request, _ = driver.start_request()
    balancer = driver.balancer
    weighted = WeightedEndpoints(list(balancer.endpoints.values()), [], [], [1.0] * 4)
    received = balancer.lifecycle.requests[request]
    assert balancer.weights.apply_preferences(driver.now, received, weighted) == [1.0] * 4


def attempts_by_endpoint(instance: int, refusing_endpoints: frozenset[str] = frozenset()) -> Counter[str]:
    """Return the attempts of an instance by endpoint, including those that are refused a connection."""
    driver = Driver(
        seed=instance,
        entries=listed_entries(24, 0),
        max_streams_per_connection=100,
        keep_alive_timeout=60 * SECOND,
        instance=instance,
        slow_start_duration=0,
    )
    counts: Counter[str] = Counter()

    def answer(name: str) -> tuple[Outcome, int]:
        counts[name] += 1
        return (Outcome.CONNECT_FAILED, MS) if name in refusing_endpoints else (Outcome.SUCCESS, 20 * MS)

    for _ in range(150):
        driver.finish(answer)
    return counts


def test_an_instance_prefers_a_subset_of_endpoints_if_connections_are_multiplexed() -> None:
    preferred = [set(attempts_by_endpoint(instance)) for instance in range(12)]
    assert max(map(len, preferred)) <= 14
    assert set.union(*preferred) == {f"h{n}" for n in range(24)}, "no instance prefers some endpoint"
    assert len(set(map(frozenset, preferred))) > 6, "instances prefer the same endpoints"


def test_all_endpoints_are_used_if_connections_are_not_multiplexed() -> None:
    driver = Driver(entries=listed_entries(24, 0), slow_start_duration=0)
    assert len({driver.serve() for _ in range(400)}) == 24


def test_endpoints_that_refuse_connections_get_fewer_attempts() -> None:
    refusing = frozenset(f"h{n}" for n in range(0, 24, 2))
    counts = [attempts_by_endpoint(instance, refusing) for instance in range(8)]
    refused_count = sum(count for by_name in counts for name, count in by_name.items() if name in refusing)
    assert refused_count < 0.12 * sum(sum(by_name.values()) for by_name in counts), refused_count
