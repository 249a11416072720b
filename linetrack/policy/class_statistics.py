"""What is counted by request class: its share of all requests, and how many are served in time."""

from __future__ import annotations

import math
from typing import NamedTuple

from linetrack.policy.decaying_average import DECAY_TIME, SLOWEST_EWMA_WEIGHT, decayed
from linetrack.policy.settings import Settings
from linetrack.policy.time_units import SECOND

FAILING_RATIO = 0.4  # a class with less than this of the best class's on-time ratio fails by itself
ON_TIME_WEIGHT = 0.5  # weight of a new response in a class's on-time ratio
LATE_RESPONSES_APART = SECOND // 4  # late responses of a class that come closer together count as one
FAIRNESS_WIDTH = 0.1  # served ratios within which classes count as equally badly served


class OnTimeRatio(NamedTuple):
    """The ratio of responses to a class that met its latency objective."""

    ratio: float
    updated_at: int


class ClassState(NamedTuple):
    """What was counted, by class, in a form that another process can take over.

    The lists are None where the classes mean something else there.
    """

    request_shares: list[float] | None
    served_ratios: list[float] | None


class ClassStatistics:
    """Moving ratios by request class."""

    def __init__(self, settings: Settings) -> None:
        """Start with equal shares and everything served."""
        count = len(settings.classes)
        self._request_shares = [1.0 / count] * count
        self._served_ratios = [1.0] * count
        self._on_time = [OnTimeRatio(1.0, 0)] * count
        self._is_any_failing = False  # whether one of the on-time ratios is low at all

    @property
    def request_shares(self) -> list[float]:
        """Return each class's share of all requests."""
        return self._request_shares

    def record_request(self, class_index: int) -> None:
        """Count a request of the class."""
        self._request_shares = [
            share + SLOWEST_EWMA_WEIGHT * ((index == class_index) - share)
            for index, share in enumerate(self._request_shares)
        ]

    def record_completion(self, class_index: int, is_served_in_time: bool) -> None:
        """Count the end of a request of the class."""
        ratio = self._served_ratios[class_index]
        self._served_ratios[class_index] += SLOWEST_EWMA_WEIGHT * (is_served_in_time - ratio)

    def record_response(self, now: int, class_index: int, in_time: bool, is_late: bool) -> None:
        """Take in whether a response of the class met its objective; of late ones close together, the first.

        Many late responses at one moment may have one cause, such as a standstill of this process.
        """
        ratio, updated_at = self._on_time[class_index]
        if in_time or (is_late and now - updated_at > LATE_RESPONSES_APART):
            self._on_time[class_index] = OnTimeRatio(ratio + ON_TIME_WEIGHT * (in_time - ratio), now)
            self._is_any_failing = min(self._on_time)[0] <= FAILING_RATIO

    def relative_on_time_ratio(self, now: int, class_index: int) -> float:
        """Return the class's on-time ratio over the best class's; near 0 if it alone is always late.

        Requests of a class that is late wherever they go hold the capacity that others need, and their
        latencies look like congestion.  While no class's latest response was in time, load is the cause, and
        no class is singled out.
        """
        if not self._is_any_failing:
            return 1.0
        ratios = [decayed(now, ratio, at, 1.0, 4 * DECAY_TIME) for ratio, at in self._on_time]
        best = max([ratio for ratio, at in self._on_time if at > now - DECAY_TIME], default=0.0)
        return ratios[class_index] / max(ratios) if best > ON_TIME_WEIGHT else 1.0

    def is_failing(self, now: int, class_index: int) -> bool:
        """Return whether the class is late although others are not."""
        return self._is_any_failing and self.relative_on_time_ratio(now, class_index) < FAILING_RATIO

    def worst_served_part(self, class_index: int, weight: float) -> float:
        """Return how much of the weight that the goal gives the worst-served class falls to this one."""
        worst = min(self._served_ratios)
        parts = [math.exp((worst - ratio) / FAIRNESS_WIDTH) for ratio in self._served_ratios]
        return weight * parts[class_index] / sum(parts)

    def export_state(self) -> ClassState:
        """Return what was counted."""
        return ClassState(list(self._request_shares), list(self._served_ratios))

    def import_state(self, state: ClassState) -> None:
        """Take over what was counted elsewhere."""
        if state.request_shares is not None:
            self._request_shares = state.request_shares
        if state.served_ratios is not None:
            self._served_ratios = state.served_ratios
