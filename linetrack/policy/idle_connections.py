"""Learns how long a connection may be idle before it should be closed instead of reused.

An endpoint, or a device on the network path, may silently drop idle connections.  A request that is written
to such a connection is reset at once, and may count as executed although the endpoint never read it.
"""

from __future__ import annotations

import math
from typing import NamedTuple

from linetrack.policy.decaying_average import OBSERVATION_DECAY_TIME
from linetrack.policy.endpoint import Attempt

MAX_IDLE_RATIO = 0.7  # the limit, as a fraction of the idle time after which a connection was reset


class IdleConnectionState(NamedTuple):
    """The learnt state, in a form that another process can import."""

    max_idle: float
    learnt_at: int


class IdleConnections:
    """Maintains the longest idle time after which connections are reused, learnt from resets."""

    def __init__(self) -> None:
        """Initialize without a limit."""
        self._max_idle = math.inf  # microseconds
        self._learnt_at = 0

    def is_expired(self, now: int, attempt: Attempt) -> bool:
        """Return whether the connections available to the attempt have been idle for too long.

        The limit rises with its age, so that longer idle times are tried again.
        """
        return attempt.idle_time * math.exp((self._learnt_at - now) / OBSERVATION_DECAY_TIME) > self._max_idle

    def is_idle_reset(self, attempt: Attempt, latency: int) -> bool:
        """Return whether a reset after this latency shows a dropped idle connection rather than an error."""
        return attempt.idle_time > 0 and 4 * latency < attempt.expected_latency

    def record_reset(self, now: int, attempt: Attempt) -> None:
        """Set the limit after a reset of an idle connection."""
        self._max_idle = MAX_IDLE_RATIO * attempt.idle_time
        self._learnt_at = now

    def export_state(self) -> IdleConnectionState:
        """Return the learnt state."""
        return IdleConnectionState(self._max_idle, self._learnt_at)

    def import_state(self, state: IdleConnectionState) -> None:
        """Replace the learnt state with that of another process."""
        self._max_idle = state.max_idle
        self._learnt_at = state.learnt_at
