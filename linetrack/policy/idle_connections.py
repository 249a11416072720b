"""How long a connection may be idle before it is better closed than used again.

An endpoint, or something on the way to it, may drop idle connections without a word.  A request that is
written to such a connection is reset at once, and may count as executed although nobody read it.
"""

from __future__ import annotations

import math
from typing import NamedTuple

from linetrack.policy.decaying_average import DECAY_TIME
from linetrack.policy.endpoint import Attempt

MAX_IDLE_RATIO = 0.7  # of the idle time after which a connection was reset at once


class IdleConnectionState(NamedTuple):
    """What was learnt, in a form that another process can take over."""

    max_idle: float
    learnt_at: int


class IdleConnections:
    """The longest idle time of connections that is still safe, as learnt from resets."""

    def __init__(self) -> None:
        """Start without a limit."""
        self._max_idle = math.inf  # microseconds
        self._learnt_at = 0

    def is_expired(self, now: int, attempt: Attempt) -> bool:
        """Return whether the connections that the attempt could use were idle for too long.

        What was learnt fades, so that longer idle times are tried again.
        """
        return attempt.idle_time * math.exp((self._learnt_at - now) / DECAY_TIME) > self._max_idle

    def is_idle_reset(self, attempt: Attempt, latency: int) -> bool:
        """Return whether a reset after this latency is an idle connection's end, not an error."""
        return attempt.idle_time > 0 and 4 * latency < attempt.expected_latency

    def record_reset(self, now: int, attempt: Attempt) -> None:
        """Take in that an idle connection was reset at once."""
        self._max_idle = MAX_IDLE_RATIO * attempt.idle_time
        self._learnt_at = now

    def export_state(self) -> IdleConnectionState:
        """Return what was learnt."""
        return IdleConnectionState(self._max_idle, self._learnt_at)

    def import_state(self, state: IdleConnectionState) -> None:
        """Take over what was learnt elsewhere."""
        self._max_idle = state.max_idle
        self._learnt_at = state.learnt_at
