"""Snapshots of the policy's learned state, taken in one process and restored in another."""

from __future__ import annotations

import json
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from linetrack.control import policy_snapshot as snapshot
from linetrack.policy.balancer import Balancer
from linetrack.policy.events import Outcome
from tests.helpers import IDEMPOTENT, MS, Driver


def trained_driver(seed: int = 3) -> Driver:
    driver = Driver(seed, slow_start_duration=0)
    for n in range(120):
        driver.finish(
            lambda name: (Outcome.ERROR if name == "h1" else Outcome.SUCCESS, 30 * MS), n % 2 * IDEMPOTENT
        )
    return driver


def fresh_balancer() -> Balancer:
    return Driver(seed=9, slow_start_duration=0).balancer


def test_a_restored_snapshot_is_complete_and_gives_the_same_estimates_for_each_endpoint() -> None:
    driver = trained_driver()
    balancer, restored = driver.balancer, fresh_balancer()
    values = json.loads(json.dumps(snapshot.take(balancer)))
    assert snapshot.restore(restored, values, driver.now, True, True)
    balancer.models.success.start_event()
    for original, copy in zip(balancer.endpoints.values(), restored.endpoints.values(), strict=True):
        assert original.name == copy.name
        assert original.ejections == copy.ejections
        assert original.warmup_sends == copy.warmup_sends
        probability = balancer.models.success.success_probability(driver.now, original, IDEMPOTENT)
        assert probability == restored.models.success.success_probability(driver.now, copy, IDEMPOTENT)
        factor = balancer.models.latency.endpoint_log(driver.now, original)
        assert factor == pytest.approx(restored.models.latency.endpoint_log(driver.now, copy))
    assert restored.count_unavailable(driver.now) == balancer.count_unavailable(driver.now)
    assert json.loads(json.dumps(snapshot.take(restored))) == values


SNAPSHOT_KEYS = ("calm", "answers", "work", "sizes", "zones", "others", "served", "upstreams", "version")
INVALID_VALUES: tuple[Any, ...] = (
    None,
    "x",
    float("nan"),
    [],
    {"h0": {}},
    [[1, 2]],
    {"a": [1.0, 1.0, 1]},
    99,
)


@given(st.sampled_from(SNAPSHOT_KEYS), st.sampled_from(INVALID_VALUES))
def test_an_invalid_snapshot_changes_nothing(key: str, invalid_value: Any) -> None:
    driver = trained_driver()
    balancer = fresh_balancer()
    before = snapshot.take(balancer)
    values = {**snapshot.take(driver.balancer), key: invalid_value}
    if not snapshot.restore(balancer, values, driver.now, True, True):
        assert snapshot.take(balancer) == before


def test_values_by_index_are_skipped_under_other_classes_or_zones() -> None:
    driver = trained_driver()
    balancer = fresh_balancer()
    before = snapshot.take(balancer)
    assert snapshot.restore(balancer, snapshot.take(driver.balancer), driver.now, False, False)
    after = snapshot.take(balancer)
    assert after["served"] == before["served"]
    assert after["zones"] == before["zones"]
    assert after["calm"] != before["calm"]
