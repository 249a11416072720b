"""Timeouts for sending to clients and for receiving from them, in microseconds.

A connection has one deadline at a time, and the listener closes connections whose deadline has passed, so
that no connection needs a timer of its own.
"""

from __future__ import annotations

from typing import Protocol

from gevent import socket

from linetrack.policy.time_units import SECOND

#: The time within which a request must be complete, and within which the client must accept a complete
#: response.  It starts when the connection is accepted for the first request, and with the first byte for
#: later ones.  A client that sends nothing must be closed within 3 s.
REQUEST_TIMEOUT_US = 2_250_000
#: The minimum rate of a body: each second's worth of bytes that arrives extends its timeout by a second.
MIN_BODY_BYTES_PER_SECOND = 16 * 1024
#: The time for a body to begin after its head, even if the head used up the time of the request.
BODY_START_TIMEOUT_US = 500_000
#: The time within which a client must accept the next part of a streamed response.
STREAM_WRITE_TIMEOUT_US = 10_000_000
#: The time for a client to read the last response, such as a rejection, before its connection is closed.
LINGER_TIMEOUT_US = 500_000
#: The time after a request during which attempts are started although the client, as it had announced, has
#: closed its sending side.  It may have disconnected instead, and no attempt may be started more than 0.1 s
#: after a client has disconnected.
HALF_CLOSE_GRACE_US = 80_000


class DeadlineSocket(Protocol):
    """A client's socket and the time after which it is closed, in microseconds of the clock."""

    sock: socket.socket
    deadline: int


def body_timeout(body_bytes: int) -> int:
    """Return the time that a request may take, given how many bytes of its body have arrived.

    It grows with the bytes, so that slow clients are served while a client that sends a few bytes now and
    then cannot hold its connection forever.
    """
    return REQUEST_TIMEOUT_US + body_bytes * SECOND // MIN_BODY_BYTES_PER_SECOND


def request_deadline(started_at: int, last_read_at: int, body_bytes: int | None, is_body_due: bool) -> int:
    """Return when an incomplete request has stalled.

    Args:
        started_at: When the time for the request started.
        last_read_at: When bytes of it were last read.
        body_bytes: How much of its body has arrived; None if its head is incomplete.
        is_body_due: Whether its head has just become complete, so that the body still has to begin.
    """
    if body_bytes is None:
        return started_at + REQUEST_TIMEOUT_US
    deadline = min(started_at + body_timeout(body_bytes), last_read_at + REQUEST_TIMEOUT_US)
    return max(deadline, last_read_at + BODY_START_TIMEOUT_US) if is_body_due else deadline
