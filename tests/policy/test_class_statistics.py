"""Statistics by request class."""

from __future__ import annotations

import pytest
from hypothesis import given, strategies

from linetrack.policy.class_statistics import ClassStatistics
from tests.helpers import CLASSES, SECOND, settings


@given(strategies.lists(strategies.integers(0, len(CLASSES) - 1), max_size=60))
def test_request_shares_always_add_up_to_one(requests: list[int]) -> None:
    classes = ClassStatistics(settings())
    for class_index in requests:
        classes.record_request(class_index)
    assert sum(classes.request_shares) == pytest.approx(1.0)
    assert min(classes.request_shares) > 0


@given(strategies.lists(strategies.tuples(strategies.integers(0, len(CLASSES) - 1), strategies.booleans())))
def test_the_weight_of_the_worst_served_class_is_distributed_completely(ends: list[tuple[int, bool]]) -> None:
    classes = ClassStatistics(settings())
    for class_index, is_served in ends:
        classes.record_completion(class_index, is_served)
    weights = [classes.worst_served_weight(class_index, 3.0) for class_index in range(len(CLASSES))]
    assert sum(weights) == pytest.approx(3.0)


def test_a_class_is_failing_only_while_another_one_is_in_time() -> None:
    classes = ClassStatistics(settings())
    now = 1000 * SECOND
    for second in range(9):
        classes.record_response(now + second * SECOND, 0, in_time=False, is_late=True)
    now += 9 * SECOND
    assert not classes.is_failing(now, 0), "no responses to other classes yet"
    classes.record_response(now, 1, in_time=True, is_late=False)
    assert classes.is_failing(now, 0)
    assert not classes.is_failing(now, 1)
    assert not classes.is_failing(now + 60 * SECOND, 0), "the observations have decayed"
