"""Estimates which share of the fleet's traffic one instance carries.

Instances share nothing, but the load report of an endpoint holds the rate of requests that it serves for all
instances together.  The own sends, divided by the sum of these rates over all warm endpoints, are the own
share.  Warming endpoints are left out of both, as their rates are rarely reported.  Rates are in requests a
microsecond, times in microseconds.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable, Mapping

from linetrack.policy.decaying_average import DECAY_TIME, DecayingAverage
from linetrack.policy.endpoint import Endpoint
from linetrack.policy.time_units import SECOND

SEND_DECAY_TIME = 5 * SECOND  # time constant of the count of own sends
SHARE_LIFETIME = SECOND  # an estimate stands for so long, as it takes a look at every endpoint
EVEN_WEIGHT = 0.25  # weight of the even share in each estimate, so that no instance ends up without any


class TrafficShare:
    """The estimate of one instance.  The estimates of all instances add up to about one."""

    def __init__(self, instance_count: int) -> None:
        """Start with the even share."""
        self._even = 1.0 / instance_count
        self._sends = 0.0
        self._sends_at = 0
        self._fleet_rate = 0.0
        self._fleet_rate_at = 0
        self._share = self._even
        self._expires_at = 0

    def record_send(self, now: int) -> None:
        """Count one send to a warm endpoint."""
        self._sends = 1.0 + self._recent_sends(now)
        self._sends_at = now

    def estimate(
        self, now: int, endpoints: Iterable[Endpoint], rates: Mapping[int, DecayingAverage]
    ) -> float:
        """Return the share, over 0 and at most 1; the even share while some host class has not reported.

        `rates` holds the reported rate of a warm endpoint by host class.
        """
        if now >= self._expires_at:
            self._share = self._measure(now, endpoints, rates)
            self._expires_at = now + SHARE_LIFETIME
        return self._share

    def _measure(
        self, now: int, endpoints: Iterable[Endpoint], rates: Mapping[int, DecayingAverage]
    ) -> float:
        warm = Counter(each.host_class for each in endpoints if each.is_routable and now >= each.warm_at)
        if not warm or not all(host_class in rates and rates[host_class].weight for host_class in warm):
            return self._even
        rate = sum(count * rates[host_class].value for host_class, count in warm.items())
        # When instances fail, those that are left serve most of the rate while those that start again claim
        # the even share.  The highest rate is therefore remembered for a while, or shares would exceed one.
        remembered = self._fleet_rate * math.exp((self._fleet_rate_at - now) / DECAY_TIME)
        self._fleet_rate = max(rate, remembered)
        self._fleet_rate_at = now
        sends = self._fleet_rate * SEND_DECAY_TIME
        measured = min(1.0, self._recent_sends(now) / max(1.0, sends))
        return EVEN_WEIGHT * self._even + (1.0 - EVEN_WEIGHT) * measured

    def _recent_sends(self, now: int) -> float:
        return self._sends * math.exp((self._sends_at - now) / SEND_DECAY_TIME)
