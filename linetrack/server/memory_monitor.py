"""Measures the resident memory of the process, and gives free memory back to the system.

A measurement costs one system call, and is made where a decision needs one and the last is too old.  Between
decisions nothing runs.
"""

from __future__ import annotations

import ctypes
import gc
from collections.abc import Callable

from linetrack.control.memory_pressure import CRITICAL_SHARE, MemoryLevel, MemoryPressure
from linetrack.policy.time_units import MILLISECOND
from linetrack.server.clock import clock
from linetrack.server.logging_setup import get_logger
from linetrack.server.process_memory import ProcessMemory
from linetrack.server.sockets import READ_SIZE

log = get_logger(__name__)

MIB = 1024 * 1024
#: How old a measurement may be for a decision about many bytes, and about a small request.
MEASURE_INTERVAL_US = MILLISECOND
SMALL_REQUEST_INTERVAL_US = 10 * MILLISECOND
#: The time between two attempts to give memory back, each of which takes milliseconds.
RELEASE_INTERVAL_US = 100 * MILLISECOND
MIN_READ_BYTES = 2 * 1024
#: One read takes at most this part of what is left, so that many at once cannot take all of it.
FREE_BYTES_PER_READ_BYTE = 32


def release_free_memory() -> None:
    """Collect garbage, and give what the allocator keeps for reuse back to the system, as far as it can."""
    gc.collect()
    if _malloc_trim is not None:
        _malloc_trim(0)


def _find_malloc_trim() -> Callable[[int], object] | None:
    """Return glibc's function; None where the C library is another one."""
    try:
        found: Callable[[int], object] = ctypes.CDLL(None).malloc_trim
    except (OSError, AttributeError):
        return None
    return found


_malloc_trim = _find_malloc_trim()


class MemoryMonitor:
    """Keeps the memory pressure up to date.

    Args:
        memory_mb: The memory limit.
        memory: Measures the resident memory.
        release: Gives free memory back to the system.
        time: Returns the current time in microseconds.
    """

    def __init__(
        self,
        memory_mb: int,
        memory: ProcessMemory | None = None,
        release: Callable[[], None] = release_free_memory,
        time: Callable[[], int] = clock,
    ) -> None:
        self.pressure = MemoryPressure(memory_mb * MIB)
        self.count_closed_clients: Callable[[], int] = int
        self.describe_holders: Callable[[], dict[str, int]] = dict
        self._memory = memory or ProcessMemory()
        self._release = release
        self._time = time
        self._measured_at = -SMALL_REQUEST_INTERVAL_US
        self._next_release_at = 0
        self._own_limit_bytes = self.pressure.limit_bytes

    def set_base(self) -> None:
        """Take the present resident memory for that of the program without any connection."""
        self._release()
        self.pressure.base_bytes = self._memory.resident_bytes()
        self.measure()

    def leave_base_to_other_process(self) -> None:
        """Leave what the program itself needs to another process, which does not serve yet."""
        self.pressure.limit_bytes = self._own_limit_bytes - self.pressure.base_bytes

    def share_with_other_process(self) -> None:
        """Leave half of the memory to another process of the same sidecar, which serves as well."""
        self.pressure.limit_bytes = self._own_limit_bytes // 2

    def restore(self) -> None:
        """Use all of the memory again."""
        self.pressure.limit_bytes = self._own_limit_bytes

    def resident_bytes(self) -> int:
        """Return the resident memory as measured now; 0 if unknown."""
        return self._memory.resident_bytes()

    def measure(self, max_age_us: int = MEASURE_INTERVAL_US) -> MemoryLevel:
        """Measure, unless there is a measurement that is not older, and return the level."""
        now = self._time()
        if now - self._measured_at < max_age_us or not self.pressure.base_bytes:
            return self.pressure.level
        self._measured_at = now
        previous = self.pressure.level
        level = self._update()
        if level is not MemoryLevel.NORMAL and now >= self._next_release_at:
            self._next_release_at = now + RELEASE_INTERVAL_US
            self._release()
            level = self._update()
        if level is not previous:
            self._log_level(previous)
        return level

    def allows(self, byte_count: int) -> bool:
        """Return whether so many more bytes of large messages may become resident."""
        self.measure()
        return not self.pressure.base_bytes or self.pressure.allows(byte_count)

    def read_size(self) -> int:
        """Return how many bytes to read at a time."""
        self.measure()
        pressure = self.pressure
        if not pressure.base_bytes:
            return READ_SIZE
        free_bytes = pressure.free_bytes - int(CRITICAL_SHARE * pressure.usable_bytes)
        return max(MIN_READ_BYTES, min(READ_SIZE, free_bytes // FREE_BYTES_PER_READ_BYTE))

    def _update(self) -> MemoryLevel:
        return self.pressure.update(self._memory.resident_bytes(), self.count_closed_clients())

    def _log_level(self, previous: MemoryLevel) -> None:
        pressure = self.pressure
        log.warning(
            "memory_level_changed",
            memory_level=pressure.level.name.lower(),
            previous=previous.name.lower(),
            resident_bytes=pressure.resident_bytes,
            base_bytes=pressure.base_bytes,
            limit_bytes=pressure.limit_bytes,
            holders=self.describe_holders(),
        )
