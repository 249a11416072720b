"""Statistics by request class: the share of all requests, and the ratio that is served in time."""

from __future__ import annotations

import math
from typing import NamedTuple

from linetrack.policy.decaying_average import OBSERVATION_DECAY_TIME, SLOWEST_EWMA_WEIGHT, decayed
from linetrack.policy.settings import Settings
from linetrack.policy.time_units import SECOND

FAILING_RATIO = 0.4  # a class is failing below this fraction of the best class's on-time ratio
ON_TIME_EWMA_WEIGHT = 0.5  # weight of a new response in a class's on-time ratio
LATE_RESPONSE_SPACING = SECOND // 4  # late responses of a class at shorter intervals count as one
FAIRNESS_WIDTH = 0.1  # difference of served ratios within which classes count as about equally served


class OnTimeRatio(NamedTuple):
    """The ratio of a class's responses that met the latency objective."""

    ratio: float
    updated_at: int


class ClassState(NamedTuple):
    """The statistics by class, in a form that another process can import.

    The lists are None where the importer has other classes.
    """

    request_shares: list[float] | None
    served_ratios: list[float] | None


class ClassStatistics:
    """Maintains moving averages by request class."""

    def __init__(self, settings: Settings) -> None:
        """Initialize with equal request shares, and served ratios of 1."""
        count = len(settings.classes)
        self._request_shares = [1.0 / count] * count
        self._served_ratios = [1.0] * count
        self._on_time = [OnTimeRatio(1.0, 0)] * count
        self._is_any_failing = False  # whether any on-time ratio is at most FAILING_RATIO

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
        """Update the served ratio of the class after the end of a request."""
        ratio = self._served_ratios[class_index]
        self._served_ratios[class_index] += SLOWEST_EWMA_WEIGHT * (is_served_in_time - ratio)

    def record_response(self, now: int, class_index: int, in_time: bool, is_late: bool) -> None:
        """Update the class's on-time ratio; of late responses in quick succession, only the first counts.

        Many late responses at once may have a single cause, such as a pause of this process.
        """
        ratio, updated_at = self._on_time[class_index]
        if in_time or (is_late and now - updated_at > LATE_RESPONSE_SPACING):
            self._on_time[class_index] = OnTimeRatio(ratio + ON_TIME_EWMA_WEIGHT * (in_time - ratio), now)
            self._is_any_failing = min(self._on_time)[0] <= FAILING_RATIO

    def relative_on_time_ratio(self, now: int, class_index: int) -> float:
        """Return the class's on-time ratio divided by the best class's; near 0 if only this class is late.

        Requests of a class that is late at every endpoint occupy capacity that others need, and their
        latencies look like congestion.  While no class has had an in-time response recently, load is assumed
        to be the cause, and 1 is returned for every class.
        """
        if not self._is_any_failing:
            return 1.0
        ratios = [
            decayed(now, ratio, updated_at, 1.0, 4 * OBSERVATION_DECAY_TIME)
            for ratio, updated_at in self._on_time
        ]
        best = max(
            [ratio for ratio, updated_at in self._on_time if updated_at > now - OBSERVATION_DECAY_TIME],
            default=0.0,
        )
        return ratios[class_index] / max(ratios) if best > ON_TIME_EWMA_WEIGHT else 1.0

    def is_failing(self, now: int, class_index: int) -> bool:
        """Return whether the class is late while others are not."""
        return self._is_any_failing and self.relative_on_time_ratio(now, class_index) < FAILING_RATIO

    def worst_served_weight(self, class_index: int, weight: float) -> float:
        """Return this class's part of the weight that the goal gives to the worst-served class.

        Classes that are about as badly served as the worst share the weight.
        """
        worst = min(self._served_ratios)
        weights = [math.exp((worst - ratio) / FAIRNESS_WIDTH) for ratio in self._served_ratios]
        return weight * weights[class_index] / sum(weights)

    def export_state(self) -> ClassState:
        """Return the statistics."""
        return ClassState(list(self._request_shares), list(self._served_ratios))

    def import_state(self, state: ClassState) -> None:
        """Replace the statistics with those of another process."""
        if state.request_shares is not None:
            self._request_shares = state.request_shares
        if state.served_ratios is not None:
            self._served_ratios = state.served_ratios
