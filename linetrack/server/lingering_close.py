"""Closing a connection whose client may still be sending."""

from __future__ import annotations

from gevent import socket

from linetrack.policy.time_units import SECOND
from linetrack.server import client_timeouts
from linetrack.server.client_timeouts import DeadlineSocket
from linetrack.server.clock import clock
from linetrack.server.greenlets import yield_to_event_loop
from linetrack.server.http1.limits import MAX_BODY_BYTES

# The most bytes that are read and discarded before closing, unless the client is in the middle of a body.
MAX_DISCARDED_BYTES = 256 * 1024

# How many bytes are read at a time; the last ones stay in memory while the next ones are awaited.
DISCARD_READ_SIZE = 4 * 1024


def discard_until_close(client: DeadlineSocket, is_body_incomplete: bool) -> None:
    """After the last response, read and discard what the client still sends.

    Closing at once would reset the connection, and the client could lose the response because of the reset.
    A client in the middle of a body, which is discarded, gets the same time as for a body that is used.
    """
    started_at = clock()
    max_discarded = MAX_BODY_BYTES if is_body_incomplete else MAX_DISCARDED_BYTES
    client.deadline = started_at + client_timeouts.LINGER_TIMEOUT_US
    discarded = 0
    try:
        client.sock.shutdown(socket.SHUT_WR)
        while discarded < max_discarded and (data := client.sock.recv(DISCARD_READ_SIZE)):
            yield_to_event_loop()
            discarded += len(data)
            if is_body_incomplete:
                extension = discarded * SECOND // client_timeouts.MIN_BODY_BYTES_PER_SECOND
                client.deadline = min(clock(), started_at + extension) + client_timeouts.REQUEST_TIMEOUT_US
    except OSError:
        pass
