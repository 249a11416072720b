"""Estimates the share of the fleet's traffic that one instance carries.

Instances share no state, but the load report of an endpoint contains its request rate from all instances
together.  The share is this instance's send rate divided by the sum of these rates over all warm endpoints.
Warming endpoints are excluded from both, as their rates are rarely reported.  Rates are in requests per
microsecond, times in microseconds.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable, Mapping

from linetrack.policy.decaying_average import OBSERVATION_DECAY_TIME, DecayingAverage
from linetrack.policy.endpoint import Endpoint
from linetrack.policy.time_units import SECOND

SEND_DECAY_TIME = 5 * SECOND  # time constant of the count of this instance's sends
SHARE_LIFETIME = SECOND  # time for which an estimate is cached, as it iterates over every endpoint
EVEN_SHARE_WEIGHT = 0.25  # weight of the even share in an estimate, so that each instance gets some


class TrafficShare:
    """Maintains the estimate of one instance.  The estimates of all instances add up to about 1."""

    def __init__(self, instance_count: int) -> None:
        """Initialize with the even share."""
        self._even_share = 1.0 / instance_count
        self._sends = 0.0
        self._sends_at = 0
        self._fleet_rate = 0.0
        self._fleet_rate_at = 0
        self._share = self._even_share
        self._expires_at = 0

    def record_send(self, now: int) -> None:
        """Record a send to a warm endpoint."""
        self._sends = 1.0 + self._recent_sends(now)
        self._sends_at = now

    def estimate(
        self, now: int, endpoints: Iterable[Endpoint], rates: Mapping[int, DecayingAverage]
    ) -> float:
        """Return the share, over 0 and at most 1; the even share until every host class has reported.

        `rates` holds the mean reported request rate of warm endpoints by host class.
        """
        if now >= self._expires_at:
            self._share = self._measure(now, endpoints, rates)
            self._expires_at = now + SHARE_LIFETIME
        return self._share

    def _measure(
        self, now: int, endpoints: Iterable[Endpoint], rates: Mapping[int, DecayingAverage]
    ) -> float:
        warm_counts = Counter(
            endpoint.host_class for endpoint in endpoints if endpoint.is_routable and now >= endpoint.warm_at
        )
        if not warm_counts or not all(
            host_class in rates and rates[host_class].weight for host_class in warm_counts
        ):
            return self._even_share
        rate = sum(count * rates[host_class].value for host_class, count in warm_counts.items())
        # When instances fail, the remaining ones carry most of the current rate, while restarted ones assume
        # the even share: the shares would add up to more than 1.  The highest rate therefore decays slowly.
        decayed_rate = self._fleet_rate * math.exp((self._fleet_rate_at - now) / OBSERVATION_DECAY_TIME)
        self._fleet_rate = max(rate, decayed_rate)
        self._fleet_rate_at = now
        expected_fleet_sends = self._fleet_rate * SEND_DECAY_TIME
        measured = min(1.0, self._recent_sends(now) / max(1.0, expected_fleet_sends))
        return EVEN_SHARE_WEIGHT * self._even_share + (1.0 - EVEN_SHARE_WEIGHT) * measured

    def _recent_sends(self, now: int) -> float:
        return self._sends * math.exp((self._sends_at - now) / SEND_DECAY_TIME)
