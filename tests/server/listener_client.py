"""Clients of a listener in the test's own process, and a stand-in for its dispatcher."""

from __future__ import annotations

from typing import Any

import gevent

from linetrack.server.active_request import FinalResponse
from linetrack.server.dispatcher import Dispatcher
from linetrack.server.listener import Listener
from tests.server.in_process import ScriptedPolicy
from tests.support.http import class_request
from tests.support.waiting import TIMEOUT_SECONDS, run_until


def _do_nothing(*_: object) -> None:
    """Stand in for the callbacks of a dispatcher that runs."""


class StoppedDispatcher(Dispatcher):
    """A dispatcher that does not run: it keeps its queue, and the test responds to the requests."""

    def __init__(self) -> None:
        super().__init__(ScriptedPolicy(), _do_nothing, _do_nothing, _do_nothing)

    @property
    def requests(self) -> list[Any]:
        """The enqueued notifications: `IncomingRequest`, and `DisconnectedClient` if a client disconnects."""
        return [notification for _, notification in self.queue]


def connect(listener: Listener) -> Any:
    """Return the socket of a new client."""
    assert listener.listening_socket is not None
    sock = gevent.socket.create_connection(listener.listening_socket.getsockname())
    sock.settimeout(TIMEOUT_SECONDS)
    return sock


def exchange(dispatcher: StoppedDispatcher, sock: Any) -> None:
    """Send one request on this connection and receive its response."""
    count = len(dispatcher.requests)
    sock.sendall(class_request())
    run_until(lambda: len(dispatcher.requests) > count)
    dispatcher.requests[-1].reply(FinalResponse(200, b"ok"))
    assert sock.recv(65536).startswith(b"HTTP/1.1 200")
