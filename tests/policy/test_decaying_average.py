"""Averages that forget."""

from __future__ import annotations

import pytest

from linetrack.policy.decaying_average import DecayingAverage
from tests.helpers import SECOND


def test_observations_count_by_number_and_freshness() -> None:
    figure = DecayingAverage()
    assert figure.estimate(0, 1.0) == 1.0
    figure.add(0, 5.0)
    one = figure.estimate(0, 1.0)
    figure.add(0, 5.0)
    assert 1.0 < one < figure.estimate(0, 1.0) < 5.0
    assert figure.estimate(120 * SECOND, 1.0) == pytest.approx(1.0, abs=0.01)
