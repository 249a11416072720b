"""Clients of a listener in the test's own process, and what takes the dispatcher's place."""

from __future__ import annotations

from typing import Any

import gevent

from linetrack.server.active_request import FinalResponse
from linetrack.server.clock import NEVER
from linetrack.server.listener import Listener
from tests.support.http import class_request
from tests.support.waiting import TIMEOUT_SECONDS, run_until


class RecordingDispatcher:
    """Takes requests, to which the test responds."""

    def __init__(self) -> None:
        self.requests: list[
            Any
        ] = []  # as `IncomingRequest`, or `DisconnectedClient` once a client disconnects
        self.shutdown_deadline = NEVER

    def next_request_id(self) -> int:
        return 1

    def enqueue(self, notification: Any, _seen_at: int) -> None:
        self.requests.append(notification)


def connect(listener: Listener) -> Any:
    """A client's socket."""
    assert listener.listener is not None
    sock = gevent.socket.create_connection(listener.listener.getsockname())
    sock.settimeout(TIMEOUT_SECONDS)
    return sock


def exchange(dispatcher: RecordingDispatcher, sock: Any) -> None:
    """Send one request on this connection and get its response."""
    count = len(dispatcher.requests)
    sock.sendall(class_request())
    run_until(lambda: len(dispatcher.requests) > count)
    dispatcher.requests[-1].reply(FinalResponse(200, b"ok"))
    assert sock.recv(65536).startswith(b"HTTP/1.1 200")
