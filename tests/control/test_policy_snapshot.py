"""What the policy has learnt, taken from one process and restored in another."""

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


def test_a_restored_snapshot_is_complete_and_judges_each_endpoint_the_same() -> None:
    driver = trained_driver()
    balancer, other = driver.balancer, fresh_balancer()
    values = json.loads(json.dumps(snapshot.take(balancer)))
    assert snapshot.restore(other, values, driver.now, True, True)
    balancer.models.success.start_event()
    for one, two in zip(balancer.endpoints.values(), other.endpoints.values(), strict=True):
        assert one.name == two.name
        assert one.ejections == two.ejections
        assert one.warmup_sends == two.warmup_sends
        probability = balancer.models.success.success_probability(driver.now, one, IDEMPOTENT)
        assert probability == other.models.success.success_probability(driver.now, two, IDEMPOTENT)
        factor = balancer.models.latency.endpoint_log(driver.now, one)
        assert factor == pytest.approx(other.models.latency.endpoint_log(driver.now, two))
    assert other.count_unavailable(driver.now) == balancer.count_unavailable(driver.now)
    assert json.loads(json.dumps(snapshot.take(other))) == values


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
def test_an_invalid_snapshot_changes_nothing(name: str, bad: Any) -> None:
    driver = trained_driver()
    other = fresh_balancer()
    before = snapshot.take(other)
    values = {**snapshot.take(driver.balancer), name: bad}
    if not snapshot.restore(other, values, driver.now, True, True):
        assert snapshot.take(other) == before


def test_under_other_classes_or_zones_what_goes_by_index_is_left_out() -> None:
    driver = trained_driver()
    other = fresh_balancer()
    fresh = snapshot.take(other)
    assert snapshot.restore(other, snapshot.take(driver.balancer), driver.now, False, False)
    now = snapshot.take(other)
    assert now["served"] == fresh["served"]
    assert now["zones"] == fresh["zones"]
    assert now["calm"] != fresh["calm"]
