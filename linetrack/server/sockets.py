"""What sockets of any kind need: writing completely, and looking at their state without waiting."""

from __future__ import annotations

import errno
import select
from enum import Enum, auto

from gevent import socket

#: Bytes to read from a socket at once.
READ_SIZE = 64 * 1024

_TRANSIENT_ACCEPT_ERRORS = (errno.EMFILE, errno.ENFILE, errno.ENOMEM, errno.ECONNABORTED)


class PeerState(Enum):
    """What the other side of a connection has done with it, whatever it sent before."""

    OPEN = auto()
    HALF_CLOSED = auto()
    """It sends no more: it may have closed the connection, or may still read."""
    BROKEN = auto()
    """Nothing can be sent to it any more."""


def write(sock: socket.socket, data: bytes | bytearray) -> None:
    """Write all of it, waiting where needed.

    Usually it fits the socket's buffer and goes out with one `send`, without what `sendall` prepares for
    the rest.
    """
    sent = sock.send(data)
    if sent < len(data):
        sock.sendall(memoryview(data)[sent:])


def is_transient_accept_error(error: OSError) -> bool:
    """Whether accepting failed for a reason that passes, which must not end the listener or the process.

    No descriptor or memory was left, or the connection was aborted in the backlog.
    """
    return error.errno in _TRANSIENT_ACCEPT_ERRORS


def is_readable(sock: socket.socket) -> bool:
    """Whether a read would not wait: bytes or the end have arrived, or the socket is already closed here."""
    return bool(_poll_events(sock, select.POLLIN))


def peer_state(sock: socket.socket) -> PeerState:
    """The other side's state, as far as can be seen without waiting."""
    events = _poll_events(sock, select.POLLRDHUP)
    if events & ~select.POLLRDHUP:
        return PeerState.BROKEN
    return PeerState.HALF_CLOSED if events else PeerState.OPEN


def _poll_events(sock: socket.socket, events: int) -> int:
    """Which of these events hold now, or that the connection is broken; all of them for a closed socket."""
    if sock.fileno() < 0:
        return events | select.POLLHUP
    poll = select.poll()
    poll.register(sock.fileno(), events | select.POLLHUP | select.POLLERR)
    return sum(event for _, event in poll.poll(0))
