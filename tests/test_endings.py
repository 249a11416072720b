"""What ends at the instant in which something is still owed: each crossing forced, over loopback sockets.

The sidecar's own parts run in the test's process; the test takes its turns between theirs, so that what has
come in the kernel and was not read yet is known.  `docs/endings.md` has the table of all endings.
"""

from __future__ import annotations

import errno
import os
import select
import socket
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import gevent
import pytest

from linetrack.control.hot_restart import Command, Identity
from linetrack.policy.actions import Action, RejectRequest, StartAttempt
from linetrack.policy.events import (
    AttemptEnded,
    ClientDisconnected,
    EndpointStatus,
    Event,
    Outcome,
    RequestReceived,
)
from linetrack.server import client_connection
from linetrack.server.admin import AdminServer
from linetrack.server.budget import RESERVE, Budget
from linetrack.server.listener import Listener
from linetrack.server.clock import clock
from linetrack.server.config import config_of
from linetrack.server.connection import Connection, readable
from linetrack.server.hot_restart_channel import GrantedListener
from linetrack.server.hot_restart_messages import Grant
from linetrack.server.hot_restart_predecessor import Predecessor
from linetrack.server.hot_restart_successor import Successor
from linetrack.server.address import parse_address
from linetrack.server.endpoint_list import EndpointRecord
from linetrack.server.attempt_runner import AttemptRunner
from linetrack.server.dispatcher import Dispatcher
from linetrack.server.lifecycle import Sidecar
from linetrack.server.upstream_pool import REUSE_DELAY_US, UpstreamPool
from tests.stand_ins import (
    MS,
    PATIENCE,
    SECOND,
    Upstream,
    answer,
    call,
    config,
    request,
    silent,
    turns_until,
)


class Script:
    """In the policy's place: keeps what it was told and answers as the test says."""

    def __init__(self) -> None:
        self.told: list[Event] = []
        self.wants: Callable[[Event], list[Action]] = lambda event: []

    def handle(self, now: int, event: Event) -> list[Action]:
        self.told.append(event)
        return self.wants(event)

    def ends(self) -> list[Outcome]:
        return [event.outcome for event in self.told if isinstance(event, AttemptEnded)]

    def left(self) -> int:
        return sum(isinstance(event, ClientDisconnected) for event in self.told)


class Node:
    """Clients, owner and upstreams as the program has them, one upstream `a`, and a policy that is played."""

    def __init__(self, sockets: int = 1024) -> None:
        self.server = Upstream("a")
        self.policy = Script()
        self.budget = Budget(sockets, 192)
        self.upstreams = UpstreamPool(self.budget, 250 * MS, 30 * SECOND)
        self.attempts = AttemptRunner(
            self.upstreams, self.budget, (), lambda notification, seen_at: self.owner.enqueue(notification, seen_at)
        )
        self.upstreams.update_endpoints((self.member(),), True)
        self.owner = Dispatcher(self.policy, self.attempts.start, self.attempts.abort, lambda: None)
        self.clients = Listener(self.owner, self.budget, ("look",), (20 * SECOND,), lambda: True)
        self.clients.listen(("127.0.0.1", 0))
        self.accepting = gevent.spawn(self.clients.accept)
        self.running = [self.accepting, gevent.spawn(self.owner.run)]

    def member(self, health: EndpointStatus = EndpointStatus.UP) -> EndpointRecord:
        return EndpointRecord("a", parse_address(self.server.address), "north", "plain", 1, health, 1.0, 0)

    def connect(self) -> Any:
        assert self.clients.listener is not None
        wire = gevent.socket.create_connection(self.clients.listener.getsockname())
        wire.settimeout(PATIENCE)
        return wire

    def ask(self, wire: Any, data: bytes | None = None) -> int:
        """A request, taken by the policy; its number."""
        before = len(self.arrivals())
        wire.sendall(data or call(expires="20.0"))
        turns_until(lambda: len(self.arrivals()) > before)
        return self.arrivals()[-1].request_id

    def arrivals(self) -> list[RequestReceived]:
        return [event for event in self.policy.told if isinstance(event, RequestReceived)]

    def served(self) -> Any:
        """A client whose request was served, so that a connection rests on each side."""
        self.policy.wants = lambda event: [StartAttempt(event.request_id, "a")] if isinstance(event, RequestReceived) else []
        wire = self.connect()
        wire.sendall(call(expires="20.0"))
        assert wire.recv(65536).startswith(b"HTTP/1.1 200")
        self.policy.wants = lambda event: []
        gevent.sleep(2 * REUSE_DELAY_US / SECOND)
        turns_until(lambda: self.upstreams.endpoints["a"].idle)
        return wire

    def send(self, number: int) -> None:
        """The policy sends this request on, now, whatever stands in the owner's queue."""
        self.owner.perform(StartAttempt(number, "a"))

    def close(self) -> None:
        gevent.killall(self.running)
        self.server.close()
        for client in list(self.clients.open.values()):
            client.sock.close()
        turns_until(lambda: not self.clients.open)


@pytest.fixture
def node() -> Iterator[Node]:
    made = Node()
    yield made
    made.close()


def shows(sock: Any, events: int) -> None:
    """Until the kernel shows it; no greenlet runs meanwhile."""
    poll = select.poll()
    poll.register(sock.fileno(), events)
    assert poll.poll(PATIENCE * 1000)


def client_side(node: Node) -> Any:
    (client,) = node.clients.open.values()
    return client


# --- A client that leaves --------------------------------------------------------------------------------


@pytest.mark.parametrize("tried", [False, True])
@pytest.mark.parametrize("behind", [b"", b"GET /look HTTP/1.1\r\n"])
def test_nothing_begins_for_a_client_that_has_left(node: Node, tried: bool, behind: bytes) -> None:
    """Before the first attempt, and between attempts.  Guards against sends while its leaving still stands in
    the owner's queue, or is hidden by what it had sent behind its request."""
    wire = node.served()
    number = node.ask(wire)
    if tried:
        node.server.script = lambda message, wire: answer(b"", 500)
        node.send(number)
        turns_until(lambda: Outcome.ERROR in node.policy.ends())
        gevent.sleep(2 * REUSE_DELAY_US / SECOND)
        turns_until(lambda: node.upstreams.endpoints["a"].idle)
    if behind:
        wire.sendall(behind)
        turns_until(lambda: node.clients.unread)
    seen = len(node.server.seen)
    sock = client_side(node).sock
    wire.close()
    shows(sock, select.POLLRDHUP)
    node.send(number)  # in this very moment: no greenlet has seen it
    turns_until(node.policy.left)
    turns_until(lambda: Outcome.NOT_SENT in node.policy.ends() or Outcome.CANCELLED in node.policy.ends())
    assert len(node.server.seen) == seen and not node.owner.active_requests
    turns_until(lambda: not node.clients.open)


def test_one_that_leaves_with_bytes_unread_behind_its_request_is_told_of_and_its_attempt_given_up(
    node: Node,
) -> None:
    """Guards against bytes behind a request that hide the close of who sent them."""
    node.server.script = silent
    wire = node.connect()
    number = node.ask(wire)
    node.send(number)
    turns_until(lambda: node.server.seen)
    wire.sendall(b"GET /look HT")
    turns_until(lambda: node.clients.unread)
    wire.close()
    sweeping = gevent.spawn(node.clients.sweep)
    turns_until(node.policy.left)
    sweeping.kill()
    assert not node.clients.unread


def test_nothing_begins_for_one_that_left_behind_a_body_that_goes_on_as_it_came(node: Node) -> None:
    """Guards against a long body after which nobody looks whether its client is still there."""
    node.served().close()
    turns_until(lambda: not node.clients.open)
    node.budget.most_held = 0
    wire = node.connect()
    number = node.ask(wire, call(expires="20.0", body=b"x" * 100_000))
    sock = client_side(node).sock
    wire.close()
    shows(sock, select.POLLRDHUP)
    seen = len(node.server.seen)
    node.send(number)
    turns_until(node.policy.left)
    turns_until(lambda: node.policy.ends()[-1] is Outcome.NOT_SENT)
    assert len(node.server.seen) == seen


def test_one_that_leaves_once_its_long_body_is_whole_is_told_of(node: Node) -> None:
    node.server.script = silent
    node.budget.most_held = 0
    wire = node.connect()
    node.send(node.ask(wire, call(expires="20.0", body=b"x" * 100_000)))
    turns_until(lambda: node.server.seen)
    wire.close()
    turns_until(node.policy.left)


def test_who_closed_its_own_side_is_sent_on_for_at_first_and_answered_in_any_case(
    node: Node, monkeypatch: pytest.MonkeyPatch
) -> None:
    """One that said `Connection: close` and sends no more may have left, or may wait: nothing is begun for it
    after a while, and what the policy answers then still reaches it."""
    node.served().close()
    data = request("/look/k", "GET", "X-Trace-Id: h", "X-Expires-In: 20", "Connection: close")
    first, second = node.connect(), node.connect()
    number = node.ask(first, data)
    first.shutdown(socket.SHUT_WR)
    monkeypatch.setattr(client_connection, "SHUT_FOR", 20 * SECOND)
    node.send(number)
    assert first.recv(65536).startswith(b"HTTP/1.1 200")
    number = node.ask(second, data.replace(b": h", b": i"))
    second.shutdown(socket.SHUT_WR)
    shows(next(c for c in node.clients.open.values() if c.busy).sock, select.POLLRDHUP)
    monkeypatch.setattr(client_connection, "SHUT_FOR", 0)
    seen = len(node.server.seen)
    node.send(number)
    turns_until(lambda: node.policy.ends()[-1] is Outcome.NOT_SENT)
    node.owner.perform(RejectRequest(number, 0))
    assert second.recv(65536).startswith(b"HTTP/1.1 503")
    assert len(node.server.seen) == seen and not node.policy.left()


# --- A connection of a client that is closed ----------------------------------------------------------------


@pytest.mark.parametrize("ends", ["its time is over", "another needs its place"])
def test_a_request_that_comes_as_its_connection_is_to_be_closed_is_served(node: Node, ends: str) -> None:
    """Guards against a close over bytes that have come and were not read: a reset, and a request lost."""
    if ends == "its time is over":
        wire = node.connect()
        turns_until(lambda: node.clients.open)
    else:
        wire = node.served()
    client = client_side(node)
    node.policy.wants = lambda event: [StartAttempt(event.request_id, "a")] if isinstance(event, RequestReceived) else []
    gevent.sleep(0)
    wire.sendall(call(expires="20.0"))
    shows(client.sock, select.POLLIN)
    if ends == "its time is over":
        node.clients.look(client.due)
    else:
        later = clock() + 10 * SECOND
        while seat := node.clients.places.makes_way(later):
            assert seat is client.seat
            assert not client.idle()
            node.clients.places.begun(seat, later)
    assert wire.recv(65536).startswith(b"HTTP/1.1 200")


def test_what_stands_in_the_backlog_has_a_place_though_all_are_taken(node: Node) -> None:
    """At SIGTERM: guards against a request that has come to the backlog, which is lost with the listener
    because clients that say nothing hold all places."""
    node.budget.most_clients = 2
    idlers = [node.connect(), node.connect()]
    turns_until(lambda: len(node.clients.open) == 2)
    waiting = node.connect()
    node.policy.wants = lambda event: [StartAttempt(event.request_id, "a")] if isinstance(event, RequestReceived) else []
    waiting.sendall(call(expires="20.0"))
    node.accepting.kill()
    node.clients.close_between_requests()
    node.clients.stop_accepting()
    assert waiting.recv(65536).startswith(b"HTTP/1.1 200")
    for wire in idlers:
        assert wire.recv(1) == b""
    with pytest.raises(OSError):
        node.connect()


def test_a_request_that_comes_late_in_the_end_is_answered_before_the_end(node: Node) -> None:
    """Guards against half a request that becomes whole so late after SIGTERM that its own time ends after the
    process has: nobody would answer it."""
    wire = node.connect()
    node.owner.shutdown_deadline = clock() + SECOND
    node.ask(wire)
    assert node.arrivals()[-1].timeout <= SECOND
    node.owner.shutdown_deadline = clock()
    late = node.connect()
    late.sendall(call(expires="20.0"))
    assert late.recv(65536).startswith(b"HTTP/1.1 503") and len(node.arrivals()) == 1
    # a body that goes on as it comes has its time from its last byte on
    node.budget.most_held = 0
    node.owner.shutdown_deadline = clock() + 2 * SECOND
    node.server.script = silent
    slow = node.connect()
    number = node.ask(slow, call(expires="20.0", body=b"x" * 100_000))
    node.send(number)
    turns_until(lambda: node.server.seen)
    turns_until(lambda: node.owner.active_requests[number].deadline <= node.owner.shutdown_deadline)


@pytest.mark.parametrize("ends", ["its time is over", "it goes to another process"])
def test_a_request_that_becomes_whole_as_its_greenlet_is_to_be_woken_is_answered(
    node: Node, ends: str
) -> None:
    """Guards against waking whoever waits for an answer by what was meant for one that waits for a request:
    between the two the rest of a request may be read."""
    wire = node.served()
    client = client_side(node)
    planned: list[Callable[[], None]] = []
    later, node.clients.later = node.clients.later, planned.append
    data = call(expires="20.0")
    if ends == "its time is over":
        wire.sendall(data[:20])
        turns_until(lambda: client.reader.has_partial_request)
        client.out_of_time()
        data = data[20:]
    else:
        node.clients.hand_on(lambda fd, answers: True)
    (now,) = planned
    number = node.ask(wire, data)
    later(now)
    gevent.sleep(0)
    node.clients.passes = None
    node.owner.perform(RejectRequest(number, 0))
    assert wire.recv(65536).startswith(b"HTTP/1.1 503")


# --- An attempt that ends -----------------------------------------------------------------------------------


@pytest.mark.parametrize(
    "reply", [b"HTTP/1.1 2", answer(b"late"), b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhal"]
)
def test_an_answer_that_crosses_with_the_end_of_its_attempt_reaches_nobody(node: Node, reply: bytes) -> None:
    """Half a line, a whole answer or a part of one has come and was not read as the attempt is given up.
    Guards against a second final answer, and against a connection used again with the rest of that on it."""
    node.server.script = silent
    wire = node.connect()
    number = node.ask(wire)
    node.send(number)
    turns_until(lambda: node.server.seen)
    (attempt,) = node.owner.active_requests[number].attempts
    node.server.connections[0].sendall(reply)
    shows(attempt.sock, select.POLLIN)
    node.owner.time_out(attempt, attempt.deadline)
    node.owner.perform(RejectRequest(number, 0))
    assert wire.recv(65536).startswith(b"HTTP/1.1 503")
    turns_until(lambda: node.budget.used == 1)
    assert node.policy.ends() == [Outcome.TIMEOUT] and not node.upstreams.endpoints["a"].idle
    assert not readable(wire)
    node.server.script = lambda message, wire: answer(b"next")
    node.send(node.ask(wire))
    assert wire.recv(65536).endswith(b"next")


@pytest.mark.parametrize("ends", ["given up", "drains", "client left"])
def test_a_dial_that_completes_after_its_attempt_has_ended_carries_nothing(
    node: Node, ends: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a first byte behind a drain, an end or a close that was known by then."""
    wire = node.connect()
    number = node.ask(wire)
    sock = client_side(node).sock
    dial = Connection.dial

    def crossing(self: Connection, within: float) -> None:
        dial(self, within)
        (attempt,) = node.owner.active_requests[number].attempts
        if ends == "given up":
            attempt.has_ended = True
            node.attempts.abort(attempt)
        elif ends == "drains":
            node.upstreams.update_endpoints((node.member(EndpointStatus.DRAINING),), False)
        else:
            wire.close()
            shows(sock, select.POLLRDHUP)

    monkeypatch.setattr(Connection, "dial", crossing)
    node.send(number)
    turns_until(lambda: node.server.closed == 1)
    turns_until(lambda: node.budget.used == node.budget.clients)
    assert not node.server.seen and Outcome.SUCCESS not in node.policy.ends()


# --- No descriptor ---


def fails_once(monkeypatch: pytest.MonkeyPatch, owner: Any, name: str) -> list[int]:
    """The first call of it finds no descriptor; whether it was made."""
    made, called = getattr(owner, name), []

    def none_left(*args: Any, **kwargs: Any) -> Any:
        monkeypatch.setattr(owner, name, made)
        called.append(1)
        raise OSError(errno.EMFILE, "Too many open files")

    monkeypatch.setattr(owner, name, none_left)
    return called


def test_without_a_descriptor_for_a_client_it_waits_and_is_served(
    node: Node, monkeypatch: pytest.MonkeyPatch
) -> None:
    called = fails_once(monkeypatch, node.clients, "_take_one")
    wire = node.connect()
    wire.sendall(b"GET /_health HTTP/1.1\r\n\r\n")
    assert wire.recv(65536).startswith(b"HTTP/1.1 200") and called


def test_without_a_descriptor_for_an_attempt_it_never_ran(
    node: Node, monkeypatch: pytest.MonkeyPatch
) -> None:
    wire = node.connect()
    number = node.ask(wire)
    called = fails_once(monkeypatch, Connection, "dial")
    node.send(number)
    turns_until(node.policy.ends)
    assert called and node.policy.ends() == [Outcome.CONNECT_FAILED] and node.budget.used == 1
    node.send(number)
    assert wire.recv(65536).startswith(b"HTTP/1.1 200")


class Listener:
    """A listening socket whose first call finds no descriptor."""

    def __init__(self, sock: Any) -> None:
        self.sock, self.failed = sock, 0

    def accept(self) -> Any:
        if not self.failed:
            self.failed = 1
            raise OSError(errno.EMFILE, "Too many open files")
        return self.sock.accept()


def test_without_a_descriptor_for_an_operators_call_it_waits_and_is_answered() -> None:
    admin = AdminServer(("127.0.0.1", 0), lambda: True, lambda: "")
    where = admin.listener.getsockname()
    admin.listener = made = Listener(admin.listener)
    accepting = gevent.spawn(admin.accept)
    caller = gevent.socket.create_connection(where)
    caller.settimeout(PATIENCE)
    caller.sendall(request("/admin/health"))
    assert caller.recv(65536).startswith(b"HTTP/1.1 200") and made.failed
    caller.close()
    accepting.kill()


def test_without_a_descriptor_for_its_link_a_successor_waits_and_has_its_grant(tmp_path: Path) -> None:
    """Guards against a process that serves and ends because one that would take its place called."""
    path, own = tmp_path / "link.sock", Identity(("look",), "1")
    granted = GrantedListener(0, Grant(own, endpoint_list=None, discovery_address=None))
    old = Predecessor(path, lambda: own, lambda: granted, lambda command: None)
    old.open_socket()
    old.publish_socket()
    old.listener = made = Listener(old.listener)
    running = gevent.spawn(old.run)
    new = Successor(path, own, lambda command: None, lambda message, descriptors: None)
    with gevent.Timeout(PATIENCE):
        received = new.connect()
    assert received is not None and made.failed
    os.close(received.descriptor)
    assert new.channel is not None
    new.channel.close()
    running.kill()
    made.sock.close()


def test_clients_that_say_nothing_keep_no_attempt_from_its_descriptor() -> None:
    """While every place is taken by them, they come at once for each one that goes, and discovery is down."""
    node = Node(sockets=RESERVE + 8)
    try:
        idlers = [node.connect() for _ in range(30)]
        assert node.clients.listener is not None
        turns_until(lambda: node.budget.used >= 4 and readable(node.clients.listener))
        wire = node.connect()
        node.policy.wants = lambda event: [StartAttempt(event.request_id, "a")] if isinstance(event, RequestReceived) else []
        wire.sendall(call(expires="20.0"))
        assert wire.recv(65536).startswith(b"HTTP/1.1 200")
        assert node.budget.used <= 8
        for idler in idlers:
            idler.close()
    finally:
        node.close()


# --- A successor that ends half-way ---


def test_one_whose_successor_has_ended_has_all_places_again() -> None:
    """Guards against an old process that accepts again and has no room for who comes back to it."""
    values = config("127.0.0.1:9", [])
    sidecar = Sidecar(lambda: config_of({**values, "listen": "127.0.0.1:1"}, {}))
    sidecar.listener.listen(("127.0.0.1", 0))
    whole = sidecar.budget.most
    sidecar.budget.leave_to_successor()
    assert sidecar.budget.most < whole
    sidecar.hot_restart.execute(Command.RESUME)
    assert sidecar.budget.most == whole and sidecar.listener.passes is None
    sidecar.hot_restart.stop_accepting()
