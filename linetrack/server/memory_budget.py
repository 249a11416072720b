"""The memory that large messages may use, shared by clients and upstreams.

It counts and does not allocate: whoever holds a large body reserves its bytes here and releases them.
"""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager

import gevent

MIB = 1024 * 1024
BASE_MEMORY_MB = 20  # the program itself, with nothing on its connections
SMALL_BODY_BYTES = 8 * 1024  # up to which a body is part of its connection's memory; most are far smaller
COPIES_PER_LARGE_BODY = 4  # held at once: as received, joined, as forwarded, as sent
#: Of the memory for large messages; the rest is for responses that are buffered until they are complete.
MAX_LONG_BODY_SHARE = 0.75
STREAM_MEMORY_DIVISOR = 8  # the chunks of all streamed messages together are at most this part of the memory
MIN_CHUNK_BYTES = 4 * 1024  # of a streamed message, read at once
MAX_CHUNK_BYTES = 64 * 1024
POLL_INTERVAL_SECONDS = 0.005  # until it is checked again whether a large body fits


def connection_memory(memory_mb: int) -> int:
    """Half of what the program leaves of its memory, in bytes.

    One half is for connections, the other for large bodies.
    """
    return max(0, memory_mb - BASE_MEMORY_MB) * MIB // 2


class MemoryBudget:
    """Bytes for large bodies, and the size of the chunks in which messages are streamed."""

    def __init__(self, memory_mb: int) -> None:
        self.memory_mb = memory_mb
        self.max_bytes = connection_memory(memory_mb)
        self.reserved_bytes = 0
        self.stream_count = 0

    def share_with_other_process(self) -> None:
        """Another process beside this one has a base of its own and its large bodies."""
        self.max_bytes = max(0, self.memory_mb - 2 * BASE_MEMORY_MB) * MIB // 2

    def restore(self) -> None:
        """All of the memory is this process's."""
        self.max_bytes = connection_memory(self.memory_mb)

    def wait_and_reserve(self, body_bytes: int) -> int:
        """Wait until a body of this size fits, and reserve memory for it; one alone always fits.

        Returns:
            The bytes to release later; none for a small body.
        """
        if body_bytes <= SMALL_BODY_BYTES:
            return 0
        reservation = COPIES_PER_LARGE_BODY * body_bytes
        while self.reserved_bytes and self.reserved_bytes + reservation > self.max_bytes:
            gevent.sleep(POLL_INTERVAL_SECONDS)
        self.reserved_bytes += reservation
        return reservation

    def try_reserve(self, count: int) -> bool:
        """Reserve so many more bytes of a long body, if they fit."""
        if self.reserved_bytes + count > self.max_bytes * MAX_LONG_BODY_SHARE:
            return False
        self.reserved_bytes += count
        return True

    def release(self, count: int) -> None:
        """Give reserved bytes back."""
        self.reserved_bytes -= count

    @contextmanager
    def streaming(self) -> Iterator[None]:
        """Count one more message that is streamed."""
        self.stream_count += 1
        try:
            yield
        finally:
            self.stream_count -= 1

    def chunk_size(self) -> int:
        """Bytes to read at once of each streamed message."""
        share = self.max_bytes // STREAM_MEMORY_DIVISOR // max(1, self.stream_count)
        return max(MIN_CHUNK_BYTES, min(MAX_CHUNK_BYTES, share))
