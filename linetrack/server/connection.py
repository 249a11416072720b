"""One connection out, to an upstream or to discovery: dialled, read for whole answers, looked at.

Owns how a socket is dialled and read.  Must never know who is on the other side, nor when to dial or give up.
"""

from __future__ import annotations

import errno
import select
from collections.abc import Callable
from enum import Enum

from gevent import socket
from gevent.event import AsyncResult

from linetrack.policy.events import Outcome
from linetrack.server.http1.errors import MalformedMessageError
from linetrack.server.http1.responses import Response, ResponseReader

READ_SIZE = 64 * 1024


class StalledError(MalformedMessageError):
    """An answer has begun and then stood still."""


class Connection:
    __slots__ = ("address", "idle_deadline", "idle_depth", "idle_since", "reader", "sock")

    def __init__(self, address: tuple[str, int], max_body_bytes: int, max_buffered_body_bytes: int) -> None:
        self.address = address
        self.reader = ResponseReader(max_body_bytes, max_buffered_body_bytes)
        # while it is idle, for its pool: since when, until when, and how many were idle before it
        self.idle_since = 0
        self.idle_deadline = 0
        self.idle_depth = 0
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)

    def dial(self, within: float) -> None:
        """Connect, in so many seconds; closed where that fails."""
        try:
            self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.sock.settimeout(within)
            self.sock.connect(self.address)
            # guards against the dial's time-out ending each read that is quiet for longer
            self.sock.settimeout(None)
        except BaseException:
            self.close()
            raise

    def close(self) -> None:
        self.sock.close()
        self.reader.close()

    def write(self, data: bytes | bytearray) -> None:
        write(self.sock, data)

    def read(self, within: float, room: Callable[[int], None]) -> Response | None:
        """The answer, whole, or a long one that has begun; None where the connection ended first.  `room` is
        told once of one that is large.

        Guards against an answer that has begun and then stands still for so many seconds: it would hold the
        connection and its request for as long as the client waits.
        """
        reader = self.reader
        data = self.sock.recv(READ_SIZE)
        answer = reader.feed(data) if data else reader.feed_eof()
        if answer is None and data and not reader.exceeds_body_buffer:
            told = False
            self.sock.settimeout(within)
            while answer is None and data and not reader.exceeds_body_buffer:
                if reader.response is not None and not told:
                    told = True
                    length = reader.response.content_length
                    room(reader.max_buffered_body_bytes if length is None else length)
                try:
                    data = self.sock.recv(READ_SIZE)
                except TimeoutError:
                    raise StalledError("the answer stands still") from None
                answer = reader.feed(data) if data else reader.feed_eof()
            self.sock.settimeout(None)
        return answer or (reader.response if reader.exceeds_body_buffer else None)


class ResponseStream:
    """A long answer on its way: whoever writes it to the client reads it here, and says how it ended."""

    def __init__(
        self, connection: Connection, answer: Response, within: float, piece: Callable[[], int]
    ) -> None:
        """`within` is how many seconds the upstream may give nothing; `piece` tells how many bytes to read at
        once."""
        self.connection, self.piece = connection, piece
        self.length, self.content_type = answer.content_length, answer.content_type
        self.over: AsyncResult[Outcome] = AsyncResult()
        connection.sock.settimeout(within)

    def next(self) -> list[bytes | bytearray]:
        """Wait for what comes next; nothing once the answer is whole.  An OSError or a MalformedMessageError
        where it breaks off."""
        reader = self.connection.reader
        while not (parts := reader.take_body_chunks()) and reader.completed_response is None:
            data = self.connection.sock.recv(self.piece())
            if data:
                reader.feed(data)
            elif reader.feed_eof() is None:
                raise ConnectionResetError("the answer ended short")
        return parts

    def end(self, outcome: Outcome) -> None:
        """How it ended; what is said first holds."""
        if not self.over.ready():
            self.over.set(outcome)


def write(sock: socket.socket, data: bytes | bytearray) -> None:
    """All of it, waiting where need be; as a rule it fits the socket's buffer and goes in one step, without
    what `sendall` prepares for the rest."""
    sent = sock.send(data)
    if sent < len(data):
        sock.sendall(memoryview(data)[sent:])


def is_transient_accept_error(fault: OSError) -> bool:
    """Whether what kept a connection from being accepted passes: no descriptor or memory left, or one
    that left the backlog.  Guards against a process that ends, or a listener that dies, of it."""
    return fault.errno in (errno.EMFILE, errno.ENFILE, errno.ENOMEM, errno.ECONNABORTED)


def _shows(sock: socket.socket, events: int) -> int:
    """Which of these have come, without waiting, also that the connection is broken; a socket already closed
    here shows all of them."""
    if sock.fileno() < 0:
        return events | select.POLLHUP
    poll = select.poll()
    poll.register(sock.fileno(), events | select.POLLHUP | select.POLLERR)
    return sum(shown for _, shown in poll.poll(0))


def readable(sock: socket.socket) -> bool:
    """Whether a read would not wait: bytes or the end have come, or the socket is already closed here."""
    return bool(_shows(sock, select.POLLIN))


class PeerState(Enum):
    """What the other side of a connection has done with it, whatever it sent before."""

    OPEN = "open"
    HALF_CLOSED = "sends no more: it may have closed, or may still read"
    BROKEN = "nothing can be sent to it any more"


def peer_state(sock: socket.socket) -> PeerState:
    """As far as can be seen without waiting."""
    shown = _shows(sock, select.POLLRDHUP)
    if shown & ~select.POLLRDHUP:
        return PeerState.BROKEN
    return PeerState.HALF_CLOSED if shown else PeerState.OPEN
