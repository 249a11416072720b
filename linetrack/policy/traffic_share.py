"""Estimates which share of the fleet's traffic one instance carries.

Instances share nothing, but the load report of an upstream tells the rate of requests that it serves for all
instances together.  The own sends, divided by the sum of these rates over all warm upstreams, are the own
share.  Cold upstreams are left out of both, as their rates are rarely reported.  Rates are in requests a
microsecond, times in microseconds.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable, Mapping

from linetrack.policy.decaying_average import FORGET_SPEED, SECOND, Evidence
from linetrack.policy.records import Upstream

WINDOW = 5 * SECOND  # time constant of the count of own sends
RENEW_AFTER = SECOND  # an estimate stands for so long, as it takes a look at every upstream
EVEN_WEIGHT = 0.25  # weight of the even share in each estimate, so that no instance ends up without any


class TrafficShare:
    """The estimate of one instance.  The estimates of all instances add up to about one."""

    def __init__(self, instances: int) -> None:
        self.even = 1.0 / instances
        self._sends, self._sends_at = 0.0, 0
        self._fleet_rate, self._fleet_rate_at = 0.0, 0
        self._share, self._renew_at = self.even, 0

    def sent(self, now: int) -> None:
        """Count one send to a warm upstream."""
        self._sends = 1.0 + self._recent_sends(now)
        self._sends_at = now

    def estimate(self, now: int, upstreams: Iterable[Upstream], rates: Mapping[int, Evidence]) -> float:
        """Return the share, over 0 and at most 1; the even share while some kind has not reported its rate.

        `rates` holds the reported rate of a warm upstream by kind.
        """
        if now >= self._renew_at:
            self._share = self._measure(now, upstreams, rates)
            self._renew_at = now + RENEW_AFTER
        return self._share

    def _measure(self, now: int, upstreams: Iterable[Upstream], rates: Mapping[int, Evidence]) -> float:
        warm = Counter(each.kind for each in upstreams if not each.gone and now >= each.warm_at)
        if not warm or not all(kind in rates and rates[kind].weight for kind in warm):
            return self.even
        rate = sum(count * rates[kind].value for kind, count in warm.items())
        # Guards against shares that add up to more than one once instances fail: those that are left serve
        # most of the rate, and those that start again claim the even share.
        remembered = self._fleet_rate * math.exp((self._fleet_rate_at - now) / FORGET_SPEED)
        self._fleet_rate, self._fleet_rate_at = max(rate, remembered), now
        measured = min(1.0, self._recent_sends(now) / max(1.0, self._fleet_rate * WINDOW))
        return EVEN_WEIGHT * self.even + (1.0 - EVEN_WEIGHT) * measured

    def _recent_sends(self, now: int) -> float:
        return self._sends * math.exp((self._sends_at - now) / WINDOW)
