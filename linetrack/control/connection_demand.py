"""Demand for connections: what a slot is worth, and how many descriptors upstream connections need.

No I/O and no clock: the host passes each moment as integer microseconds, which never decrease.  Nothing
here belongs to one protocol, and every call takes constant time.
"""

from __future__ import annotations

import math

from linetrack.control.decaying_rate import DecayingRate
from linetrack.policy.time_units import SECOND

RECONNECT_DECAY_US = 2 * SECOND  # in which the expected return of a closed connection is forgotten to 1/e
MIN_SLOT_PRICE = 1 / 60  # reconnects per second of a slot: a reconnect is worth a slot for a minute
UNCONTENDED_SHARE = 0.5  # of the capacity, up to which a slot costs no more than the minimum
RESERVED_SHARE = 0.1  # of the capacity, left for new connections
UPSTREAM_PEAK_DECAY_US = 10 * SECOND  # in which the peak of upstream connections is forgotten to 1/e
UPSTREAM_HEADROOM = 1.5  # times that peak is reserved for upstream connections
MIN_UPSTREAM_SHARE = 4  # and at least one descriptor in so many


def slot_price(in_use: int, capacity: int, connections_per_second: float) -> float:
    """What a second of a slot is worth, in reconnects, while so many new connections arrive per second."""
    share = in_use / capacity
    if share <= UNCONTENDED_SHARE:
        return MIN_SLOT_PRICE
    demand = max(0.0, connections_per_second) / capacity
    free_share = max(1 - RESERVED_SHARE - share, 1 / capacity)
    return MIN_SLOT_PRICE + demand * (share - UNCONTENDED_SHARE) / free_share


class ConnectionDemand:
    """New connections per second, without those that only replace a connection that was closed here.

    If replacements counted as demand, each closed connection would raise the price that closes further ones.
    """

    def __init__(self) -> None:
        self.rate = DecayingRate()
        self.expected_reconnects = 0.0
        self.updated_at = 0

    def record_close(self, now: int, reuse_probability: float) -> None:
        """A connection was closed that would have been used again with that probability."""
        self._decay(now)
        self.expected_reconnects += reuse_probability

    def record_connection(self, now: int) -> None:
        """A new connection has sent its first request."""
        self._decay(now)
        replaced = min(1.0, self.expected_reconnects)
        self.expected_reconnects -= replaced
        self.rate.add(now, 1.0 - replaced)

    def _decay(self, now: int) -> None:
        if now > self.updated_at:
            self.expected_reconnects *= math.exp((self.updated_at - now) / RECONNECT_DECAY_US)
            self.updated_at = now


class UpstreamReserve:
    """How many connections to upstreams were in use at once, lately.

    Clients may have the other descriptors.
    """

    def __init__(self) -> None:
        self.peak = 0.0
        self.updated_at = 0

    def record_in_use(self, now: int, in_use: int) -> None:
        """So many descriptors are held by connections to upstreams."""
        self.peak = max(in_use, self._decayed_peak(now))
        self.updated_at = max(now, self.updated_at)

    def client_capacity(self, now: int, descriptors: int) -> int:
        """How many of `descriptors` client connections may hold."""
        needed = int(self._decayed_peak(now) * UPSTREAM_HEADROOM) + 1
        reserved = max(descriptors // MIN_UPSTREAM_SHARE, needed)
        return max(descriptors - reserved, descriptors // 2)

    def _decayed_peak(self, now: int) -> float:
        if now <= self.updated_at:
            return self.peak
        return self.peak * math.exp((self.updated_at - now) / UPSTREAM_PEAK_DECAY_US)
