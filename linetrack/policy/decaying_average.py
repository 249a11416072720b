"""Averages that know how many observations they rest on and forget them as time passes.

All times are integer microseconds.
"""

from __future__ import annotations

import math

from linetrack.policy.time_units import SECOND

DECAY_TIME = 12 * SECOND  # own observations fade towards what is known of their group over this time
MAX_WEIGHT = 10.0  # observations that an average rests on at most, so that each newer one still counts
PRIOR_WEIGHT = 2.0  # observations at which an own average counts as much as the prior

# weights of a new observation in plain exponentially weighted moving averages
EWMA_WEIGHT = 0.2  # about the last ten observations decide
SLOW_EWMA_WEIGHT = EWMA_WEIGHT / 4
SLOWEST_EWMA_WEIGHT = EWMA_WEIGHT / 8


def decayed(now: int, value: float, updated_at: int, mean: float, decay_time: int) -> float:
    """Return the value, the closer to the mean the older it is; the mean if it was never set."""
    return mean + (value - mean) * math.exp((updated_at - now) / decay_time) if updated_at else mean


class DecayingAverage:
    """A moving average with the weight of its observations, which decays with time.

    One instance may observe an endpoint only once in many seconds.  `estimate` therefore shrinks the average
    towards a prior, the more so the fewer and the older its observations are.
    """

    __slots__ = ("updated_at", "value", "weight")

    def __init__(self, value: float = 0.0, weight: float = 0.0, updated_at: int = 0) -> None:
        """Start without observations, or as exported by another process."""
        self.value = value
        self.weight = weight
        self.updated_at = updated_at

    def current_weight(self, now: int) -> float:
        """Return how many observations the average rests on, decayed as of now."""
        return self.weight * math.exp((self.updated_at - now) / DECAY_TIME) if self.weight else 0.0

    def add(self, now: int, value: float) -> None:
        """Take one observation in."""
        self.weight = min(self.current_weight(now) + 1, MAX_WEIGHT)
        self.value += (value - self.value) / self.weight
        self.updated_at = now

    def estimate(self, now: int, prior: float) -> float:
        """Return the average, shrunk towards the prior by how little it rests on."""
        if not self.weight:
            return prior
        weight = self.weight * math.exp((self.updated_at - now) / DECAY_TIME)
        return prior + weight / (weight + PRIOR_WEIGHT) * (self.value - prior)
