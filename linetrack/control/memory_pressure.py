"""The level of memory pressure of a process, from its resident memory as measured.

Does no I/O and reads no clock.  The levels are ordered; each includes the actions of those below it.  A level
is left only once there is clearly more memory than where it is entered, so that it does not alternate.

The resident memory includes what the allocator keeps for reuse.  What fewer clients than before surely leave
free in it does not count towards the lower levels, or one burst would keep them up; it does count towards
the upper ones, which keep the limit.
"""

from __future__ import annotations

from enum import IntEnum

#: The least memory beyond the program's own with which levels are told apart.  With a lower limit, which the
#: process can't keep, they are set as if there were so much.
MIN_USABLE_BYTES = 8 * 1024 * 1024
#: The shares of the usable memory that are left where a level is entered, and how much more where it is left.
REDUCED_SHARE = 0.45
SHEDDING_SHARE = 0.2
REFUSING_SHARE = 0.1
CRITICAL_SHARE = 0.05
LEAVE_MARGIN_SHARE = 0.03
#: The share of the usable memory that large messages leave to connections and small requests.
SMALL_MESSAGE_SHARE = 0.4
#: What a connection that was closed leaves for reuse at least, of what it needed.
REUSABLE_BYTES_PER_CLIENT = 8 * 1024


class MemoryLevel(IntEnum):
    """How short memory is, with what is done about it."""

    NORMAL = 0
    REDUCED = 1
    """Free memory is given back to the system, and messages are read in smaller pieces."""
    SHEDDING = 2
    """Idle connections are closed, and incomplete requests that have stalled are rejected."""
    REFUSING = 3
    """Complete requests are refused before the policy sees them."""
    CRITICAL = 4
    """No connection is accepted, and the requests that hold most are ended."""


#: The levels above `NORMAL`, the highest first, with the share of the usable memory where each is entered.
_ENTER_SHARES = (
    (MemoryLevel.CRITICAL, CRITICAL_SHARE),
    (MemoryLevel.REFUSING, REFUSING_SHARE),
    (MemoryLevel.SHEDDING, SHEDDING_SHARE),
    (MemoryLevel.REDUCED, REDUCED_SHARE),
)


class MemoryPressure:
    """The level of one process.

    Attributes:
        limit_bytes: The memory limit.
        base_bytes: The resident memory of the program without any connection.
        resident_bytes: The resident memory as last measured.
        level: The current level.
    """

    def __init__(self, limit_bytes: int, base_bytes: int = 0) -> None:
        self.limit_bytes = limit_bytes
        self.base_bytes = base_bytes
        self.resident_bytes = base_bytes
        self.level = MemoryLevel.NORMAL

    @property
    def usable_bytes(self) -> int:
        """The memory that connections and messages may use."""
        return max(MIN_USABLE_BYTES, self.limit_bytes - self.base_bytes)

    @property
    def free_bytes(self) -> int:
        """The memory that may still become resident; negative beyond the limit."""
        return self.base_bytes + self.usable_bytes - self.resident_bytes

    def update(self, resident_bytes: int, closed_clients: int) -> MemoryLevel:
        """Return the level at this resident memory.

        Args:
            resident_bytes: The resident memory; 0 if unknown, which changes nothing.
            closed_clients: How many clients fewer there are than at the most.
        """
        if resident_bytes:
            self.resident_bytes = resident_bytes
            reusable_bytes = min(
                closed_clients * REUSABLE_BYTES_PER_CLIENT, max(0, resident_bytes - self.base_bytes)
            )
            self.level = self._select_level(reusable_bytes)
        return self.level

    def allows(self, byte_count: int) -> bool:
        """Return whether so many more bytes of large messages may become resident."""
        return self.free_bytes - byte_count >= SMALL_MESSAGE_SHARE * self.usable_bytes

    def _select_level(self, reusable_bytes: int) -> MemoryLevel:
        usable_bytes = self.usable_bytes
        for level, enter_share in _ENTER_SHARES:
            free_bytes = self.free_bytes
            if level <= MemoryLevel.SHEDDING:
                free_bytes += reusable_bytes
            margin_share = LEAVE_MARGIN_SHARE if self.level >= level else 0.0
            if free_bytes < (enter_share + margin_share) * usable_bytes:
                return level
        return MemoryLevel.NORMAL
