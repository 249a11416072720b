"""The probability that an idle connection is reused, estimated from how earlier idle times ended.

Keeping a connection saves a reconnect if it is reused, and occupies a slot while it is idle.  The model
estimates the rate of reuse as a function of the time that a connection has been idle, and derives how long a
connection is worth keeping at a given price of a slot.  It does no I/O and reads no clock; times are integer
microseconds.  It does not depend on a protocol.

Every call takes constant time: at most one step for each of the fixed number of buckets.
"""

from __future__ import annotations

import math
from bisect import bisect_right
from dataclasses import dataclass

from linetrack.policy.time_units import SECOND

#: Ends of the buckets of idle time, in microseconds.  A connection is kept until the end of a bucket, or not
#: at all.
IDLE_BUCKET_ENDS_US = tuple(1000 * ms for ms in (10, 30, 100, 300, 1000, 2000, 4000, 8000, 16000, 30000))
SAMPLE_MEMORY = 128  # number of samples after which the weight of an older sample has decayed to 1/e
PRIOR_SAMPLES = 4.0  # weight of the prior, in samples
PRIOR_USES_PER_SECOND = 4.0  # reuse rate of the prior
PRIOR_DECAY_PER_BUCKET = 0.5  # ratio of a bucket's prior rate to the rate of the bucket before it
RATE_REFRESH_SAMPLES = 64  # number of samples after which the rates are computed again


@dataclass(slots=True, frozen=True)
class KeepTime:
    """How long to keep a connection that becomes idle, and the probability that it is reused by then."""

    duration: int
    """Microseconds for which the connection is worth its slot; 0 if it is not worth it at all."""
    reuse_probability: float
    """The probability of a reuse within `duration`, or within the minimum duration if `duration` is 0."""


class IdleTimeModel:
    """Reuse rates by group of connections and bucket of idle time.

    The host numbers the groups.  The parent of a group is a group with a smaller number, or None; its rates
    are the prior of the group's own rates.  The time in a bucket counts whether the idle time ended in a
    reuse or was cut short, so closing connections early does not bias the rates (the usual estimate of a
    hazard from censored lifetimes).
    """

    def __init__(self, parents: tuple[int | None, ...]) -> None:
        self.parents = parents
        self.uses = [[0.0] * len(IDLE_BUCKET_ENDS_US) for _ in parents]
        self.idle_seconds = [[0.0] * len(IDLE_BUCKET_ENDS_US) for _ in parents]
        self._rates: list[list[float]] = []
        self._samples_since_refresh = 0

    def record(self, group: int, idle_time: int, was_used: bool) -> None:
        """Add a sample: an idle time of `idle_time` microseconds, which ended in a reuse or not."""
        uses = self.uses[group]
        seconds = self.idle_seconds[group]
        retained = 1 - 1 / SAMPLE_MEMORY
        last = min(bisect_right(IDLE_BUCKET_ENDS_US, idle_time), len(IDLE_BUCKET_ENDS_US) - 1)
        begin = 0
        for bucket in range(last + 1):
            # Only the buckets that this idle time reached decay: the sample has no information on later ones.
            end = IDLE_BUCKET_ENDS_US[bucket]
            uses[bucket] *= retained
            seconds[bucket] = seconds[bucket] * retained + max(0, min(idle_time, end) - begin) / SECOND
            begin = end
        if was_used:
            uses[last] += 1
        self._samples_since_refresh += 1

    def reuse_rates(self) -> list[list[float]]:
        """Return the reuses per second of idle time, by group and bucket."""
        if not self._rates or self._samples_since_refresh >= RATE_REFRESH_SAMPLES:
            self._rates = []
            self._samples_since_refresh = 0
            for group in range(len(self.parents)):
                self._rates.append(self._group_rates(group))
        return self._rates

    def _group_rates(self, group: int) -> list[float]:
        """Return the rates of one group; those of its parent must have been computed before."""
        parent = self.parents[group]
        uses = self.uses[group]
        seconds = self.idle_seconds[group]
        rates: list[float] = []
        rate = PRIOR_USES_PER_SECOND / PRIOR_DECAY_PER_BUCKET
        begin = 0
        for bucket, end in enumerate(IDLE_BUCKET_ENDS_US):
            prior = PRIOR_DECAY_PER_BUCKET * rate if parent is None else self._rates[parent][bucket]
            weight = PRIOR_SAMPLES * (end - begin) / SECOND
            rate = (uses[bucket] + weight * prior) / (seconds[bucket] + weight)
            begin = end
            rates.append(rate)
        return rates

    def best_keep_time(self, group: int, price: float, min_duration: int, max_duration: int) -> KeepTime:
        """Return how long a connection that becomes idle now is worth its slot.

        Args:
            group: The connection's group.
            price: The price of a second of a slot, in reuses.
            min_duration: The shortest time for which a connection can be kept, in microseconds.
            max_duration: The longest time for which a connection can be kept, in microseconds.
        """
        survival = 1.0  # probability that the connection has not been reused by the end of the bucket
        net = 0.0  # expected reuses minus the price of the slot until then
        best_net = 0.0
        best_duration = 0
        best_probability = 0.0
        min_probability = 0.0
        begin = 0
        for rate, bucket_end in zip(self.reuse_rates()[group], IDLE_BUCKET_ENDS_US, strict=True):
            end = min(bucket_end, max_duration)
            if end <= begin:
                break
            width = (end - begin) / SECOND
            next_survival = survival * math.exp(-rate * width)
            net += survival - next_survival - price * (survival + next_survival) / 2 * width
            survival = next_survival
            begin = end
            if end <= min_duration:
                min_probability = 1 - survival
            if end >= min(min_duration, max_duration) and net > best_net:
                best_net = net
                best_duration = end
                best_probability = 1 - survival
        return KeepTime(best_duration, best_probability if best_duration else min_probability)
