"""How long a client may take, in microseconds, for what it sends and for what is sent to it.

A connection has one deadline at a time, and the listener closes whoever has passed it: a client costs no
timer of its own.
"""

from __future__ import annotations

from typing import Protocol

from gevent import socket

from linetrack.policy.time_units import SECOND

#: For a request to be complete (the first one's from connecting, a later one's from its first byte), and
#: for a response to be taken.  A client that sends nothing must be closed within 3 s.
REQUEST_TIMEOUT_US = 2_250_000
#: Bytes of a body that extend the time for the rest of it by a second.
MIN_BODY_BYTES_PER_SECOND = 16 * 1024
#: After its head, for a body to begin, if the head took long.
BODY_START_TIMEOUT_US = 500_000
#: For a client to take some of a streamed response.
STREAM_WRITE_TIMEOUT_US = 10_000_000
#: For a client whose request was rejected to read why.
LINGER_TIMEOUT_US = 500_000
#: After its request, for which attempts are still started for a client that has closed its sending side, as
#: it had announced.  It may have disconnected, and nothing may be started more than 0.1 s after a client
#: has disconnected.
HALF_CLOSE_GRACE_US = 80_000


class DeadlineSocket(Protocol):
    """A client's socket and the moment after which it is closed."""

    sock: socket.socket
    deadline: int


def body_timeout(body_bytes: int) -> int:
    """How long a request may take of whose body so many bytes have arrived.

    A slow client is served, and one that sends a few bytes now and then does not hold its connection for
    ever.
    """
    return REQUEST_TIMEOUT_US + body_bytes * SECOND // MIN_BODY_BYTES_PER_SECOND
