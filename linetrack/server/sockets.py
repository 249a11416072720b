"""Helpers for sockets: writing all of the data, and checking a socket's state without waiting."""

from __future__ import annotations

import errno
import fcntl
import select
import struct
import termios
from collections.abc import Callable
from enum import Enum, auto

from gevent import socket

#: The number of bytes to read from a socket at a time.
READ_SIZE = 64 * 1024
#: The number of bytes to read where nothing has arrived yet: most messages are shorter, and it is not known
#: how much memory will be free.
FIRST_READ_SIZE = 4 * 1024

_LINGER_ZERO = struct.pack("ii", 1, 0)  # the value of SO_LINGER: on, 0 seconds
_INT = struct.Struct("i")  # the C type of a count of bytes

_TRANSIENT_ACCEPT_ERRORS = (errno.EMFILE, errno.ENFILE, errno.ENOMEM, errno.ECONNABORTED)


class PeerState(Enum):
    """The state of the peer's side of a connection, regardless of unread bytes."""

    OPEN = auto()
    HALF_CLOSED = auto()
    """The peer sends no more; it may have closed the connection or may still read."""
    BROKEN = auto()
    """Nothing can be sent to the peer any more."""


def write(sock: socket.socket, data: bytes | bytearray) -> None:
    """Write all of the data, waiting if necessary.

    Usually the data fits the socket's buffer, so that one `send` suffices and the overhead of `sendall` is
    saved.
    """
    sent = sock.send(data)
    if sent < len(data):
        sock.sendall(memoryview(data)[sent:])


def write_within(sock: socket.socket, data: bytes | bytearray, seconds: float) -> None:
    """Write all of the data; raises a `TimeoutError` if that takes longer, with a part of it written."""
    sock.settimeout(max(0.0, seconds))
    try:
        sock.sendall(data)
    except BlockingIOError:
        raise TimeoutError("no time left to write") from None
    finally:
        sock.settimeout(None)


def reset_on_close(sock: socket.socket) -> None:
    """Make closing reset the connection: what was not sent is dropped, and the peer gets an error."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_ZERO)


def is_transient_accept_error(error: OSError) -> bool:
    """Return whether accepting failed for a temporary reason, which must not end the listener or the process.

    There was no descriptor or memory left, or the connection was aborted in the backlog.
    """
    return error.errno in _TRANSIENT_ACCEPT_ERRORS


def is_readable(sock: socket.socket) -> bool:
    """Return whether a read would not wait: bytes or an end of file have arrived, or the socket is closed."""
    return bool(_poll_events(sock, select.POLLIN))


def next_read_size(sock: socket.socket, read_size: Callable[[], int]) -> int:
    """Return how many bytes to read: few if the read has to wait, otherwise what `read_size` returns."""
    return read_size() if is_readable(sock) else FIRST_READ_SIZE


def unread_bytes(sock: socket.socket) -> int:
    """Return how many bytes have arrived and were not read; 0 if the system does not tell."""
    buffer = bytes(_INT.size)
    try:
        (count,) = _INT.unpack(fcntl.ioctl(sock.fileno(), termios.FIONREAD, buffer))
    except (OSError, ValueError):
        return 0
    return int(count)


def peer_state(sock: socket.socket) -> PeerState:
    """Return the state of the peer, as far as it is known without waiting."""
    events = _poll_events(sock, select.POLLRDHUP)
    if events & ~select.POLLRDHUP:
        return PeerState.BROKEN
    return PeerState.HALF_CLOSED if events else PeerState.OPEN


def _poll_events(sock: socket.socket, events: int) -> int:
    """Return the given events that have occurred, plus `POLLHUP` or `POLLERR` if the connection is broken.

    For a closed socket, all of the events and `POLLHUP` are returned.
    """
    if sock.fileno() < 0:
        return events | select.POLLHUP
    poll = select.poll()
    poll.register(sock.fileno(), events | select.POLLHUP | select.POLLERR)
    return sum(event for _, event in poll.poll(0))
