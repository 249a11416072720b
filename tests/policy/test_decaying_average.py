"""Moving averages that decay over time."""

from __future__ import annotations

import pytest

from linetrack.policy.decaying_average import DecayingAverage
from tests.helpers import SECOND


def test_an_estimate_depends_on_the_number_and_age_of_observations() -> None:
    average = DecayingAverage()
    assert average.estimate(0, 1.0) == 1.0
    average.add(0, 5.0)
    first_estimate = average.estimate(0, 1.0)
    average.add(0, 5.0)
    assert 1.0 < first_estimate < average.estimate(0, 1.0) < 5.0
    assert average.estimate(120 * SECOND, 1.0) == pytest.approx(1.0, abs=0.01)
