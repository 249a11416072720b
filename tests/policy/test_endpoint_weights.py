"""What weights are worked out, what is cached, and whom an instance or a key prefers."""

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


def test_each_expected_latency_is_worked_out_once_a_decision(monkeypatch: pytest.MonkeyPatch) -> None:
    """Weighing a large fleet several times for one request takes too long."""
    driver = Driver(entries=listed_entries(60, 40))
    for _ in range(30):
        driver.serve()
    worked: Counter[str] = Counter()
    expected_latency = LatencyModel.expected_latency

    def counted(model: LatencyModel, now: int, endpoint: Endpoint) -> float:
        worked.update([endpoint.name])
        return expected_latency(model, now, endpoint)

    monkeypatch.setattr(LatencyModel, "expected_latency", counted)
    assert sends(driver.start_request()[1])
    assert sum(worked.values()) <= 100 + 2  # and the one sent to once more at each of its steps


def test_while_endpoints_warm_up_the_other_zones_are_not_weighed_for_each_request(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The work for a request must not grow with the fleet for the whole time of a release."""
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
    assert weighed <= 2 * 40 + 50, "over half a second, in which their cached weights stand"


def test_failure_in_another_zone_is_seen_at_the_next_request() -> None:
    """The other zones are weighed once in a while only; a failure there must not wait for the next time."""
    driver = Driver(entries=listed_entries(0, 4))
    request, actions = driver.start_request()
    broken = sends(actions)[0]
    (other,) = sends(driver.end(request, broken, Outcome.CONNECT_FAILED, MS))
    driver.end(request, other, attempt=1)
    assert broken not in {driver.serve() for _ in range(15)}
    driver.handle_event(EndpointListUpdate(ListForm.SNAPSHOT, listed_entries(0, 1)))
    assert {driver.serve() for _ in range(15)} == {"a0"}


def test_affinity_key_prefers_the_same_endpoints_at_all_instances_and_excludes_none() -> None:
    went = []
    for seed in (1, 2):
        driver = Driver(seed=seed, has_affinity_keys=True, entries=listed_entries(20, 0))
        got: Counter[str] = Counter()
        for number in range(300):
            actions = driver.handle_event(RequestReceived(number, IDEMPOTENT, 2 * SECOND, affinity_key="k:1"))
            got[sends(actions)[0]] += 1
            driver.end(number, sends(actions)[0])
        went.append(got)
    first, second = ({name for name, _ in got.most_common(3)} for got in went)
    assert first == second
    assert all(len(got) > 6 for got in went)


@pytest.mark.parametrize("warm", [True, False])
def test_without_affinity_keys_no_endpoint_is_preferred(warm: bool) -> None:
    driver = Driver(has_affinity_keys=warm, entries=listed_entries(4, 0))
    request, _ = driver.start_request()
    balancer = driver.balancer
    weighted = WeightedEndpoints(list(balancer.endpoints.values()), [], [], [1.0] * 4)
    received = balancer.lifecycle.requests[request]
    assert balancer.weights.apply_preferences(driver.now, received, weighted) == [1.0] * 4


def endpoints_reached(instance: int, refusing: frozenset[str] = frozenset()) -> Counter[str]:
    """Return where an instance's attempts go, also those to endpoints that refuse its connections."""
    driver = Driver(
        seed=instance,
        entries=listed_entries(24, 0),
        max_streams_per_connection=100,
        keep_alive_timeout=60 * SECOND,
        instance=instance,
        slow_start_duration=0,
    )
    got: Counter[str] = Counter()

    def answer(name: str) -> tuple[Outcome, int]:
        got[name] += 1
        return (Outcome.CONNECT_FAILED, MS) if name in refusing else (Outcome.SUCCESS, 20 * MS)

    for _ in range(150):
        driver.finish(answer)
    return got


def test_an_instance_keeps_to_some_endpoints_where_a_connection_carries_many_requests() -> None:
    sets = [set(endpoints_reached(instance)) for instance in range(12)]
    assert max(map(len, sets)) <= 14
    assert set.union(*sets) == {f"h{n}" for n in range(24)}, "some endpoint is nobody's"
    assert len(set(map(frozenset, sets))) > 6, "instances keep to the same ones"


def test_where_a_connection_carries_one_request_all_are_used() -> None:
    driver = Driver(entries=listed_entries(24, 0), slow_start_duration=0)
    assert len({driver.serve() for _ in range(400)}) == 24


def test_endpoints_that_refuse_connections_are_tried_less_and_less() -> None:
    full = frozenset(f"h{n}" for n in range(0, 24, 2))
    got = [endpoints_reached(instance, full) for instance in range(8)]
    tried = sum(count for one in got for name, count in one.items() if name in full)
    assert tried < 0.12 * sum(sum(one.values()) for one in got), tried
