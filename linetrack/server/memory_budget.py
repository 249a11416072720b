"""The budget of memory for large messages, which clients and upstreams share.

Memory is reserved here before a large body is held, and released afterwards.  What may be reserved follows
from what was counted and from the resident memory as measured.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager

import gevent

from linetrack.server.memory_monitor import MIB, MemoryMonitor

BASE_MEMORY_MB = 20  # the memory of the program without any connections, before it is measured
# The largest body that counts as part of its connection's memory; most bodies are far smaller.
SMALL_BODY_BYTES = 8 * 1024
COPIES_PER_LARGE_BODY = 4  # held at the same time: as received, joined, as forwarded, as sent
#: The share of the memory for large messages that incomplete and long request bodies may use; the rest
#: remains for complete requests and for responses that are buffered until they are complete.
MAX_UNFINISHED_BODY_SHARE = 0.75
# The chunks of all streamed messages together use at most half of the memory for large messages.
STREAM_MEMORY_DIVISOR = 2
# The limits of the chunk size, which is the number of bytes read at a time from a streamed message.
MIN_CHUNK_BYTES = 4 * 1024
MAX_CHUNK_BYTES = 64 * 1024
#: The memory of a request whose body is streamed, with its attempt, its connection and its chunks; the share
#: of the memory that such requests may use together; and how many may go on at the same time in any case.
UPLOAD_BYTES = 64 * 1024
UPLOAD_SHARE = 0.25
MIN_UPLOADS = 16
POLL_INTERVAL_SECONDS = 0.005  # between checks whether a large body fits
WAITERS_PER_INTERVAL = 16  # which check in one such interval; with more, each waits longer between its checks


def connection_memory_bytes(memory_mb: int) -> int:
    """Return the memory for client connections in bytes: half of what the program itself does not need.

    The other half is for large bodies.
    """
    return max(0, memory_mb - BASE_MEMORY_MB) * MIB // 2


class MemoryBudget:
    """Counts the bytes reserved for large bodies, and sets the chunk size of streamed messages."""

    def __init__(self, memory_mb: int, monitor: MemoryMonitor | None = None) -> None:
        """Create a budget; without a monitor's base of measurement, what was counted decides alone."""
        self.monitor = monitor or MemoryMonitor(memory_mb)
        self.memory_mb = memory_mb
        self.max_bytes = connection_memory_bytes(memory_mb)
        self.reserved_bytes = 0
        self.stream_count = 0
        self.waiting_count = 0  # requests that wait for memory
        self.upload_count = 0  # requests whose body is streamed

    def share_with_other_process(self) -> None:
        """Leave memory for another process: for its base memory and its large bodies."""
        self.max_bytes = max(0, self.memory_mb - 2 * BASE_MEMORY_MB) * MIB // 2
        self.monitor.share_with_other_process()

    def restore(self) -> None:
        """Use all of the memory again."""
        self.max_bytes = connection_memory_bytes(self.memory_mb)
        self.monitor.restore()

    def reserve_while(
        self, body_bytes: int, is_wanted: Callable[[], bool], held_bytes: int = 0
    ) -> int | None:
        """Reserve memory for a complete body of this size as soon as it fits, waiting while it is wanted.

        If nothing else is reserved, a body of any size fits.

        Args:
            body_bytes: The size of the body.
            is_wanted: Called between checks; must return False after some time.
            held_bytes: What is already reserved for this body.

        Returns:
            How many more bytes to release later, which are none for a small body; None if the body did not
            fit while it was wanted.
        """
        if body_bytes <= SMALL_BODY_BYTES:
            return 0
        reservation = max(0, COPIES_PER_LARGE_BODY * body_bytes - held_bytes)
        while self.reserved_bytes > held_bytes and not self._fits_complete(reservation):
            if not is_wanted():
                return None
            self.wait()
        self.reserved_bytes += reservation
        return reservation

    def wait(self) -> None:
        """Wait until the next check whether there is memory."""
        self.waiting_count += 1
        try:
            gevent.sleep(POLL_INTERVAL_SECONDS * max(1.0, self.waiting_count / WAITERS_PER_INTERVAL))
        finally:
            self.waiting_count -= 1

    def _fits_complete(self, byte_count: int) -> bool:
        return self.reserved_bytes + byte_count <= self.max_bytes and self.monitor.allows(byte_count)

    def fits(self, byte_count: int) -> bool:
        """Return whether so many more bytes of incomplete and of long bodies fit."""
        max_bytes = self.max_bytes * MAX_UNFINISHED_BODY_SHARE
        return self.reserved_bytes + byte_count <= max_bytes and self.monitor.allows(byte_count)

    def try_reserve(self, byte_count: int) -> bool:
        """Reserve more bytes for an incomplete or long body if they fit; return whether they do."""
        if not self.fits(byte_count):
            return False
        self.reserved_bytes += byte_count
        return True

    def release(self, byte_count: int) -> None:
        """Release reserved bytes."""
        self.reserved_bytes -= byte_count

    def try_begin_upload(self) -> bool:
        """Count one more request whose body is streamed, unless there are too many; return whether it was."""
        usable_bytes = self.monitor.pressure.usable_bytes
        if self.upload_count >= max(MIN_UPLOADS, int(usable_bytes * UPLOAD_SHARE) // UPLOAD_BYTES):
            return False
        self.upload_count += 1
        return True

    def end_upload(self) -> None:
        """Count one request less whose body is streamed."""
        self.upload_count -= 1

    @contextmanager
    def streaming(self) -> Iterator[None]:
        """Count one more streamed message while the context is active."""
        self.stream_count += 1
        try:
            yield
        finally:
            self.stream_count -= 1

    def chunk_size(self) -> int:
        """Return how many bytes to read at a time from each streamed message."""
        share = self.max_bytes // STREAM_MEMORY_DIVISOR // max(1, self.stream_count)
        return max(MIN_CHUNK_BYTES, min(MAX_CHUNK_BYTES, share, self.monitor.read_size()))

    def read_size(self) -> int:
        """Return how many bytes to read at a time from a message that is not streamed."""
        return self.monitor.read_size()
