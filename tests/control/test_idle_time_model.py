"""The idle-time model: keep times stay within their limits, and reuse rates are estimated without bias."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from linetrack.control.connection_slots import MAX_IDLE_US, MIN_IDLE_US
from linetrack.control.idle_time_model import IDLE_BUCKET_ENDS_US, IdleTimeModel
from linetrack.policy.time_units import SECOND

MS = 1000


@given(st.lists(st.tuples(st.integers(0, 60 * SECOND), st.booleans()), max_size=50), st.floats(0.001, 1000))
def test_keep_times_are_within_their_limits_and_not_longer_at_a_higher_price(
    samples: list[tuple[int, bool]], price: float
) -> None:
    model = IdleTimeModel((None,))
    for idle_time, was_used in samples:
        model.record(0, idle_time, was_used)
    at_low_price = model.best_keep_time(0, price, MIN_IDLE_US, MAX_IDLE_US)
    at_high_price = model.best_keep_time(0, price * 4, MIN_IDLE_US, MAX_IDLE_US)
    allowed = (0, *IDLE_BUCKET_ENDS_US[IDLE_BUCKET_ENDS_US.index(MIN_IDLE_US) :])
    assert 0 <= at_low_price.reuse_probability <= 1
    assert at_high_price.duration <= at_low_price.duration
    assert at_low_price.duration in allowed
    assert model.best_keep_time(0, price, 0, 5 * SECOND).duration <= 5 * SECOND


@pytest.mark.parametrize("mean", [50 * MS, 400 * MS, 3 * SECOND])
def test_the_reuse_rate_is_estimated_without_bias_from_idle_times_cut_short(mean: int) -> None:
    # a connection that was closed early must not count as one that would never have been reused
    model = IdleTimeModel((None,))
    generator = random.Random(1)
    for _ in range(20_000):
        idle_time = int(generator.expovariate(1 / mean))
        model.record(0, min(idle_time, MIN_IDLE_US), idle_time < MIN_IDLE_US)
    hazards = [
        uses / seconds
        for uses, seconds, end in zip(model.uses[0], model.idle_seconds[0], IDLE_BUCKET_ENDS_US, strict=True)
        if seconds and end <= MIN_IDLE_US
    ]
    median = sorted(hazards)[len(hazards) // 2]
    assert median == pytest.approx(SECOND / mean, rel=0.5)
