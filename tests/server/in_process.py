"""The sidecar's network code in the test's own process, where its greenlets run only while the test waits.

This lets a test control which bytes have arrived in the kernel without being read, and so provoke race
conditions.
"""

from __future__ import annotations

import select
from collections.abc import Callable
from typing import Any

import gevent

from linetrack.policy.actions import Action, StartAttempt
from linetrack.policy.events import (
    AttemptEnded,
    ClientDisconnected,
    EndpointStatus,
    Event,
    Outcome,
    RequestReceived,
)
from linetrack.server.address import parse_address
from linetrack.server.attempt_runner import AttemptRunner
from linetrack.server.budget import Budget
from linetrack.server.client_connection import ClientConnection
from linetrack.server.dispatcher import Dispatcher
from linetrack.server.endpoint_list import EndpointRecord
from linetrack.server.listener import Listener
from linetrack.server.upstream_pool import REUSE_DELAY_US, UpstreamPool
from tests.support.http import class_request
from tests.support.servers import UpstreamServer
from tests.support.units import MS, SECOND
from tests.support.waiting import TIMEOUT_SECONDS, run_until

ENDPOINT = "a"


class ScriptedPolicy:
    """Stands in for the policy: records the events and returns the actions that the test sets."""

    def __init__(self) -> None:
        self.events: list[Event] = []
        self.respond: Callable[[Event], list[Action]] = lambda _event: []

    def handle(self, _now: int, event: Event) -> list[Action]:
        self.events.append(event)
        return self.respond(event)

    def forward_all(self) -> None:
        """Start an attempt for each request from now on."""
        self.respond = lambda event: (
            [StartAttempt(event.request_id, ENDPOINT)] if isinstance(event, RequestReceived) else []
        )

    def forward_nothing(self) -> None:
        """Return no actions from now on."""
        self.respond = lambda _event: []

    def attempt_outcomes(self) -> list[Outcome]:
        return [event.outcome for event in self.events if isinstance(event, AttemptEnded)]

    def disconnect_count(self) -> int:
        return sum(isinstance(event, ClientDisconnected) for event in self.events)

    def received_requests(self) -> list[RequestReceived]:
        return [event for event in self.events if isinstance(event, RequestReceived)]


class InProcessSidecar:
    """A listener, a dispatcher and an upstream pool, connected as in the program, with one upstream."""

    def __init__(self, sockets: int = 1024) -> None:
        self.upstream = UpstreamServer(ENDPOINT)
        self.policy = ScriptedPolicy()
        self.budget = Budget(sockets, 192)
        self.pool = UpstreamPool(self.budget.descriptors, 250 * MS, 30 * SECOND)
        self.runner = AttemptRunner(
            self.pool,
            self.budget,
            (),
            lambda notification, seen_at: self.dispatcher.enqueue(notification, seen_at),
        )
        self.pool.update_endpoints((self.endpoint_record(),), True)
        self.dispatcher = Dispatcher(self.policy, self.runner.start, self.runner.abort, lambda: None)
        self.listener = Listener(self.dispatcher, self.budget, ("look",), (20 * SECOND,), lambda: True)
        self.listener.listen(("127.0.0.1", 0))
        self.accepting = gevent.spawn(self.listener.accept)
        self.greenlets = [self.accepting, gevent.spawn(self.dispatcher.run)]

    def endpoint_record(self, status: EndpointStatus = EndpointStatus.UP) -> EndpointRecord:
        address = parse_address(self.upstream.address)
        return EndpointRecord(ENDPOINT, address, "north", "plain", 1, status, 1.0, 0)

    def connect(self) -> Any:
        """Return the socket of a new client."""
        assert self.listener.listening_socket is not None
        sock = gevent.socket.create_connection(self.listener.listening_socket.getsockname())
        sock.settimeout(TIMEOUT_SECONDS)
        return sock

    def send_request(self, sock: Any, data: bytes | None = None) -> int:
        """Send a request, wait until the policy has received it, and return its identifier."""
        count = len(self.policy.received_requests())
        sock.sendall(data or class_request(expires="20.0"))
        run_until(lambda: len(self.policy.received_requests()) > count)
        return self.policy.received_requests()[-1].request_id

    def connect_and_exchange(self) -> Any:
        """Return the socket of a client that got a response; a connection is then idle on each side."""
        self.policy.forward_all()
        sock = self.connect()
        sock.sendall(class_request(expires="20.0"))
        assert sock.recv(65536).startswith(b"HTTP/1.1 200")
        self.policy.forward_nothing()
        self.wait_for_idle_upstream_connection()
        return sock

    def wait_for_idle_upstream_connection(self) -> None:
        gevent.sleep(2 * REUSE_DELAY_US / SECOND)
        run_until(lambda: self.pool.endpoints[ENDPOINT].idle)

    def start_attempt(self, request_id: int) -> None:
        """Start an attempt immediately, ahead of the notifications in the dispatcher's queue."""
        self.dispatcher.perform(StartAttempt(request_id, ENDPOINT))

    def only_connection(self) -> ClientConnection:
        """Return the sidecar's side of the only client connection."""
        (connection,) = self.listener.connections.values()
        return connection

    def close(self) -> None:
        gevent.killall(self.greenlets)
        self.upstream.close()
        for connection in list(self.listener.connections.values()):
            connection.sock.close()
        run_until(lambda: not self.listener.connections)


def wait_in_kernel(sock: Any, events: int) -> None:
    """Wait until the kernel reports one of the events on a socket, without letting any greenlet run."""
    poll = select.poll()
    poll.register(sock.fileno(), events)
    assert poll.poll(TIMEOUT_SECONDS * 1000)
