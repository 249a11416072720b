"""Metrics of a run: recovery time and the goal."""

import pytest

from linetrack.experiments.measurements import goal_value, recovery_seconds
from linetrack.experiments.results import WeightBySecond
from linetrack.experiments.schema import Goal


def test_recovery_ends_with_two_seconds_in_a_row_at_nine_tenths_of_the_share_before() -> None:
    weight = WeightBySecond([10.0] * 12, [10, 10, 10, 10, 2, 1, 1, 9.5, 4, 9.5, 10, 10])
    assert recovery_seconds(weight, 4, 6) == 3
    assert recovery_seconds(WeightBySecond([10.0] * 8, [10, 10, 10, 1, 1, 1, 1, 1]), 3, 5) == 3


def test_the_goal_is_the_weighted_sum_of_total_worst_window_and_worst_class() -> None:
    served = [0.0] * 2 + [10.0] * 8 + [5.0] * 10 + [10.0] * 10
    weight = WeightBySecond([10.0] * 30, served)
    value = goal_value(Goal(), weight, 2_000_000, 0.5)
    assert value == pytest.approx(0.7 * 230 / 280 + 0.2 * 0.5 + 0.1 * 0.5)
    value_of_one_window = goal_value(Goal(window_s=60), weight, 2_000_000, 1.0)
    assert value_of_one_window == pytest.approx(0.9 * 230 / 280 + 0.1)
