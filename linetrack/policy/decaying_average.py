"""Moving averages that track the number of their observations and decay over time.

All times are integer microseconds.
"""

from __future__ import annotations

import math

from linetrack.policy.time_units import SECOND

# Time constant of the exponential decay of observations, in microseconds.  As they decay, an estimate
# approaches its prior, such as the average of the endpoint's host class.
OBSERVATION_DECAY_TIME = 12 * SECOND
MAX_WEIGHT = 10.0  # maximum weight of an average, in observations, so that each new observation still counts
PRIOR_WEIGHT = 2.0  # weight of the prior in an estimate, in observations

# Weights of a new observation in plain exponentially weighted moving averages.
EWMA_WEIGHT = 0.2  # about the last ten observations count
SLOW_EWMA_WEIGHT = EWMA_WEIGHT / 4
SLOWEST_EWMA_WEIGHT = EWMA_WEIGHT / 8


def decayed(now: int, value: float, updated_at: int, mean: float, decay_time: int) -> float:
    """Return the value, decayed exponentially towards the mean with its age; the mean if it was never set."""
    return mean + (value - mean) * math.exp((updated_at - now) / decay_time) if updated_at else mean


class DecayingAverage:
    """A moving average with the total weight of its observations, which decays with time.

    One instance may observe an endpoint only once in many seconds.  `estimate` therefore shrinks the average
    towards a prior: the fewer and older the observations, the closer the estimate is to the prior.
    """

    __slots__ = ("updated_at", "value", "weight")

    def __init__(self, value: float = 0.0, weight: float = 0.0, updated_at: int = 0) -> None:
        """Initialize without observations, or with the values exported by another process."""
        self.value = value
        self.weight = weight
        self.updated_at = updated_at

    def current_weight(self, now: int) -> float:
        """Return the weight of the observations, in observations, decayed to `now`."""
        return (
            self.weight * math.exp((self.updated_at - now) / OBSERVATION_DECAY_TIME) if self.weight else 0.0
        )

    def add(self, now: int, value: float) -> None:
        """Add one observation."""
        self.weight = min(self.current_weight(now) + 1, MAX_WEIGHT)
        self.value += (value - self.value) / self.weight
        self.updated_at = now

    def estimate(self, now: int, prior: float) -> float:
        """Return the average, shrunk towards the prior according to its weight."""
        if not self.weight:
            return prior
        weight = self.weight * math.exp((self.updated_at - now) / OBSERVATION_DECAY_TIME)
        return prior + weight / (weight + PRIOR_WEIGHT) * (self.value - prior)
