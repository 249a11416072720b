"""Demand for connections: the price of a slot, and how many descriptors upstream connections need.

Does no I/O and reads no clock: the host passes times as integer microseconds, which never decrease.  Nothing
here depends on a protocol, and every call takes constant time.
"""

from __future__ import annotations

import math

from linetrack.control.decaying_rate import DecayingRate
from linetrack.policy.time_units import SECOND

RECONNECT_DECAY_US = 2 * SECOND  # time in which the expected reconnects decay to 1/e
MIN_SLOT_PRICE = 1 / 60  # reconnects per second of a slot: a reconnect is worth a slot for a minute
UNCONTENDED_SHARE = 0.5  # share of the capacity up to which a slot costs the minimum
RESERVED_SHARE = 0.1  # share of the capacity that is left for new connections
UPSTREAM_PEAK_DECAY_US = 10 * SECOND  # time in which the peak of upstream connections decays to 1/e
UPSTREAM_HEADROOM_FACTOR = 1.5  # multiple of the peak that is reserved for upstream connections
MIN_UPSTREAM_DIVISOR = 4  # at least one descriptor in four is reserved for upstream connections


def slot_price(in_use: int, capacity: int, connections_per_second: float) -> float:
    """Return the price of a second of a slot, in reconnects.

    Args:
        in_use: The slots in use.
        capacity: All slots.
        connections_per_second: The rate of new connections.
    """
    share = in_use / capacity
    if share <= UNCONTENDED_SHARE:
        return MIN_SLOT_PRICE
    demand = max(0.0, connections_per_second) / capacity
    free_share = max(1 - RESERVED_SHARE - share, 1 / capacity)
    return MIN_SLOT_PRICE + demand * (share - UNCONTENDED_SHARE) / free_share


class ConnectionDemand:
    """The rate of new connections, without those that only replace a connection closed by this process.

    If replacements counted as demand, each closed connection would raise the price and so close further ones.
    """

    def __init__(self) -> None:
        self.rate = DecayingRate()
        self.expected_reconnects = 0.0
        self.updated_at = 0

    def record_close(self, now: int, reuse_probability: float) -> None:
        """Record that a connection was closed that would have been reused with `reuse_probability`."""
        self._decay(now)
        self.expected_reconnects += reuse_probability

    def record_connection(self, now: int) -> None:
        """Record the first request of a new connection."""
        self._decay(now)
        replaced = min(1.0, self.expected_reconnects)
        self.expected_reconnects -= replaced
        self.rate.add(now, 1.0 - replaced)

    def _decay(self, now: int) -> None:
        if now > self.updated_at:
            self.expected_reconnects *= math.exp((self.updated_at - now) / RECONNECT_DECAY_US)
            self.updated_at = now


class UpstreamReserve:
    """Reserves descriptors for upstream connections, by the recent peak of those in use at the same time.

    Client connections may use the other descriptors.
    """

    def __init__(self) -> None:
        self.peak = 0.0
        self.updated_at = 0

    def record_in_use(self, now: int, in_use: int) -> None:
        """Record that upstream connections hold `in_use` descriptors."""
        self.peak = max(in_use, self._decayed_peak(now))
        self.updated_at = max(now, self.updated_at)

    def client_capacity(self, now: int, descriptors: int) -> int:
        """Return how many of all `descriptors` client connections may hold."""
        needed = int(self._decayed_peak(now) * UPSTREAM_HEADROOM_FACTOR) + 1
        reserved = max(descriptors // MIN_UPSTREAM_DIVISOR, needed)
        return max(descriptors - reserved, descriptors // 2)

    def _decayed_peak(self, now: int) -> float:
        if now <= self.updated_at:
            return self.peak
        return self.peak * math.exp((self.updated_at - now) / UPSTREAM_PEAK_DECAY_US)
