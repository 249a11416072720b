"""The clients' connections to one sidecar."""

from __future__ import annotations

import select

import gevent
from gevent import socket

from linetrack.emulator.ledger import now
from linetrack.load.http_client import seconds_until

SLOT_POLL_SECONDS = 0.002  # how often a client that waits for a connection looks again


class NotConnectedError(Exception):
    """No connection came up, so whoever listens there has not taken the request."""


class SidecarConnections:
    """A bounded number of connections to one address."""

    def __init__(self, address: str, max_open: int) -> None:
        host, _, port = address.rpartition(":")
        self.host = host
        self.max_open = max_open
        self.dialled = 0
        self._address = (host, int(port))
        self._idle: list[socket.socket] = []
        self._abandoned: list[socket.socket] = []
        self._open = 0

    def acquire(self, deadline: int) -> tuple[socket.socket, bool]:
        """A connection, and whether it was used before.

        Raises:
            TimeoutError: none was free before the deadline.
            NotConnectedError: a new one did not come up.
        """
        while self._idle:
            sock = self._idle.pop()
            if not _is_readable(sock):
                return sock, True
            self.close(sock)
        self._wait_for_slot(deadline)
        return self._dial(deadline), False

    def release(self, sock: socket.socket) -> None:
        """Keep a connection for further requests."""
        self._idle.append(sock)

    def abandon(self, sock: socket.socket) -> None:
        """Leave a connection open that its client will not use any more."""
        self._abandoned.append(sock)

    def close(self, sock: socket.socket) -> None:
        """Close a connection."""
        sock.close()
        self._open -= 1

    def _wait_for_slot(self, deadline: int) -> None:
        while self._open >= self.max_open:
            self._close_ended()
            if self._open < self.max_open:
                return
            if now() >= deadline:
                raise TimeoutError
            gevent.sleep(SLOT_POLL_SECONDS)

    def _close_ended(self) -> None:
        """Close abandoned connections that the sidecar has closed."""
        for sock in [sock for sock in self._abandoned if _is_readable(sock)]:
            self._abandoned.remove(sock)
            self.close(sock)

    def _dial(self, deadline: int) -> socket.socket:
        self._open += 1
        self.dialled += 1
        try:
            sock = socket.create_connection(self._address, seconds_until(deadline))
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError as error:
            self._open -= 1
            raise NotConnectedError from error
        return sock


def _is_readable(sock: socket.socket) -> bool:
    """Whether an idle connection was closed, or holds bytes that nobody asked for."""
    poller = select.poll()
    poller.register(sock.fileno(), select.POLLIN | select.POLLHUP | select.POLLERR)
    return bool(poller.poll(0))
