"""Bytes that a client sends while an earlier request of its connection is being served.

They are read as they arrive, within limits, for two reasons: the time of a request starts with its last byte,
not when its turn comes, and the end of a connection is seen only behind the bytes before it.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from gevent import socket

from linetrack.server.clock import clock
from linetrack.server.memory_budget import MemoryBudget
from linetrack.server.sockets import is_readable

MAX_READ_AHEAD_BYTES = 256 * 1024  # per connection
READ_AHEAD_STEP_BYTES = 16 * 1024


class Segment(NamedTuple):
    """Bytes that arrived together, and when, in microseconds of the clock."""

    received_at: int
    data: bytes


class ReadAhead:
    """The bytes of one connection that were read before their turn.

    Attributes:
        size: How many bytes there are.
    """

    __slots__ = ("_memory", "_segments", "size")

    def __init__(self, memory: MemoryBudget) -> None:
        self._memory = memory
        self._segments: deque[Segment] = deque()
        self.size = 0

    def receive(self, sock: socket.socket) -> bool:
        """Read what has arrived, without waiting; return whether more may be read.

        No more is read at the end of the connection, beyond the limit, and where memory is short.
        """
        if not is_readable(sock):
            return True
        if self.size >= MAX_READ_AHEAD_BYTES or not self._memory.try_reserve(READ_AHEAD_STEP_BYTES):
            return False
        try:
            data = sock.recv(READ_AHEAD_STEP_BYTES)
        except OSError:
            data = b""
        self._memory.release(READ_AHEAD_STEP_BYTES - len(data))
        if data:
            self._segments.append(Segment(clock(), data))
            self.size += len(data)
        return bool(data)

    def pop(self) -> Segment | None:
        """Remove and return the bytes that arrived first, or None."""
        if not self._segments:
            return None
        segment = self._segments.popleft()
        self.size -= len(segment.data)
        self._memory.release(len(segment.data))
        return segment

    def discard(self) -> None:
        """Drop all bytes."""
        while self.pop() is not None:
            pass
