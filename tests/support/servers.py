"""Servers on loopback that replace upstreams and discovery in tests, with scripted responses."""

from __future__ import annotations

import contextlib
import itertools
import json
import os
import socket
import threading
import zlib
from collections.abc import Callable
from typing import Any

from tests.support.http import HttpConnection, HttpMessage, http_response
from tests.support.waiting import TIMEOUT_SECONDS

MAX_UNUSED_PORT = 1000  # nothing listens at these ports on loopback

_host_numbers = itertools.cycle(range(1, 251))


def unique_loopback_host() -> str:
    """Return a loopback address that nothing else uses.

    This prevents a released port from being taken by an outgoing connection, whose source is 127.0.0.1, or by
    another run of the tests.
    """
    pid = os.getpid()
    return f"127.{1 + pid % 250}.{1 + pid // 250 % 250}.{next(_host_numbers)}"


class StandInServer:
    """Listens on a free port; a subclass serves each connection, in a thread of its own."""

    def __init__(self) -> None:
        self.listener = socket.create_server((unique_loopback_host(), 0))
        self.address = "{}:{}".format(*self.listener.getsockname())
        self.connections: list[socket.socket] = []
        self.closing = threading.Event()
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while not self.closing.is_set():
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            self.connections.append(sock)
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        with contextlib.suppress(OSError, AssertionError), sock:
            self.serve_connection(HttpConnection(sock))

    def serve_connection(self, connection: HttpConnection) -> None:
        """Serve one connection, which is closed when this method returns."""
        raise NotImplementedError

    def close(self) -> None:
        self.closing.set()
        with contextlib.suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        for sock in self.connections:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)


def endpoint_entry(name: str, addr: str = "", **changes: Any) -> dict[str, Any]:
    """Return an endpoint as discovery lists it, by default at an address of its own."""
    own_address = f"127.0.0.1:{1 + zlib.crc32(name.encode()) % MAX_UNUSED_PORT}"
    defaults = {"id": name, "addr": addr or own_address, "zone": "north", "kind": "plain", "cell": 1}
    return {**defaults, "state": "SERVING", "weight": 1.0, "started_ms": 0, **changes}


Script = Callable[[HttpMessage, HttpConnection], bytes | None]


class UpstreamServer(StandInServer):
    """Responds by its script, which returns bytes to send, or None to close the connection."""

    def __init__(self, name: str, script: Script | None = None) -> None:
        self.name = name
        self.script: Script = script or (lambda _request, _wire: http_response(name.encode()))
        self.seen: list[HttpMessage] = []
        self.closed = 0
        super().__init__()

    def serve_connection(self, connection: HttpConnection) -> None:
        try:
            while request := connection.read():
                self.seen.append(request)
                response = self.script(request, connection)
                if response is None:
                    return
                connection.sock.sendall(response)
        finally:
            self.closed += 1

    def entry(self, **changes: Any) -> dict[str, Any]:
        return endpoint_entry(self.name, **{"addr": self.address, **changes})


def never_respond(_request: HttpMessage, connection: HttpConnection) -> None:
    """Wait until the sidecar closes the connection; a script for `UpstreamServer`."""
    connection.wait_for_close()


class DiscoveryServer(StandInServer):
    """Serves one endpoint list and responds to long polls when it changes; `scripted` responses go first."""

    def __init__(self, entries: list[dict[str, Any]]) -> None:
        self.version = 1
        self.entries = entries
        self.changed: list[dict[str, Any]] = []
        self.scripted: list[bytes | None] = []
        self.calls: list[str] = []
        self.change_condition = threading.Condition()
        super().__init__()

    def change(self, *entries: dict[str, Any]) -> None:
        with self.change_condition:
            self.version += 1
            self.changed = list(entries)
            self.change_condition.notify_all()

    def serve_connection(self, connection: HttpConnection) -> None:
        while request := connection.read():
            with self.change_condition:
                self.calls.append(request.target)
                if self.scripted:
                    response = self.scripted.pop(0)
                    if response is None:
                        return
                    connection.sock.sendall(response)
                    continue
                endpoint_list = self._endpoint_list(request.target)
            connection.sock.sendall(http_response(json.dumps(endpoint_list).encode()))

    def _endpoint_list(self, target: str) -> dict[str, Any]:
        if "?" not in target:
            return {"version": self.version, "full": True, "servers": self.entries}
        known_version = int(target.partition("from=")[2].partition("&")[0])
        timeout = min(TIMEOUT_SECONDS, int(target.partition("hold_ms=")[2]) / 1000)
        has_changed = self.change_condition.wait_for(
            lambda: self.version > known_version or self.closing.is_set(), timeout
        )
        return {"version": self.version, "full": False, "servers": self.changed if has_changed else []}

    def close(self) -> None:
        super().close()
        with self.change_condition:
            self.change_condition.notify_all()


def unused_address() -> str:
    """Return an address at which nothing listens and which no other socket is assigned by chance."""
    with socket.create_server((unique_loopback_host(), 0)) as probe:
        return "{}:{}".format(*probe.getsockname())
