"""The client connections of a worker to one sidecar."""

from __future__ import annotations

import select

import gevent
from gevent import socket

from linetrack.emulator.ledger import now
from linetrack.load.http_client import seconds_until

SLOT_POLL_SECONDS = 0.002  # interval at which a client checks for a free connection


class NotConnectedError(Exception):
    """No connection was established, so the sidecar has not received the request."""


class SidecarConnections:
    """A pool with a bounded number of connections to one address."""

    def __init__(self, address: str, max_open: int) -> None:
        host, _, port = address.rpartition(":")
        self.host = host
        self.max_open = max_open
        self.dial_count = 0
        self._address = (host, int(port))
        self._idle: list[socket.socket] = []
        self._abandoned: list[socket.socket] = []
        self._open = 0

    def acquire(self, deadline: int) -> tuple[socket.socket, bool]:
        """Return a connection, and whether it was used before.

        Raises:
            TimeoutError: no connection was free before the deadline.
            NotConnectedError: a new connection was not established.
        """
        while self._idle:
            sock = self._idle.pop()
            if not _is_readable(sock):
                return sock, True
            self.close(sock)
        self._wait_for_slot(deadline)
        return self._dial(deadline), False

    def release(self, sock: socket.socket) -> None:
        """Return a connection to the pool."""
        self._idle.append(sock)

    def abandon(self, sock: socket.socket) -> None:
        """Leave a connection open without using it again."""
        self._abandoned.append(sock)

    def close(self, sock: socket.socket) -> None:
        """Close a connection."""
        sock.close()
        self._open -= 1

    def _wait_for_slot(self, deadline: int) -> None:
        while self._open >= self.max_open:
            self._close_abandoned()
            if self._open < self.max_open:
                return
            if now() >= deadline:
                raise TimeoutError
            gevent.sleep(SLOT_POLL_SECONDS)

    def _close_abandoned(self) -> None:
        """Close the abandoned connections that the sidecar has closed."""
        for sock in [sock for sock in self._abandoned if _is_readable(sock)]:
            self._abandoned.remove(sock)
            self.close(sock)

    def _dial(self, deadline: int) -> socket.socket:
        self._open += 1
        self.dial_count += 1
        try:
            sock = socket.create_connection(self._address, seconds_until(deadline))
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError as error:
            self._open -= 1
            raise NotConnectedError from error
        return sock


def _is_readable(sock: socket.socket) -> bool:
    """Return whether an idle connection was closed by the peer or holds unexpected bytes."""
    poller = select.poll()
    poller.register(sock.fileno(), select.POLLIN | select.POLLHUP | select.POLLERR)
    return bool(poller.poll(0))
