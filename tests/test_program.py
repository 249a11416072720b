"""The program's parts in one process: log lines, greenlets that must live, clients that stall."""

import contextlib
import os
import socket
from typing import Any

import gevent
import pytest
import structlog

from linetrack.policy.events import RequestReceived
from linetrack.server import client_connection
from linetrack.server import listener as clients_module
from linetrack.server.budget import CLIENT_KB, FEWEST, PROGRAM_MB, Budget
from linetrack.server.listener import Listener
from linetrack.server.clock import NEVER, clock
from linetrack.server.connection import readable
from linetrack.server.http1.requests import ClientRequest
from linetrack.server.active_request import FinalResponse
from linetrack.server.request_validation import RejectedRequestError
from linetrack.server.greenlets import spawn_essential
from linetrack.server.logging_setup import MIN_LINE_INTERVAL_US, LogRateLimiter
from tests.stand_ins import MS, PATIENCE, SECOND, call, turns_until


def test_a_flood_of_one_event_is_one_line_a_second_and_a_count() -> None:
    now = 0
    sparing = LogRateLimiter(lambda: now)
    assert sparing(None, "warning", {"event": "a"}) == {"event": "a"}
    for _ in range(5):
        with pytest.raises(structlog.DropEvent):
            sparing(None, "warning", {"event": "a"})
    assert sparing(None, "warning", {"event": "b"}) == {"event": "b"}
    assert sparing(None, "info", {"event": "a"}) == {"event": "a"}
    now = MIN_LINE_INTERVAL_US
    assert sparing(None, "warning", {"event": "a"}) == {"event": "a", "suppressed": 5}


def test_a_greenlet_that_must_live_ends_the_process_when_it_breaks(monkeypatch: pytest.MonkeyPatch) -> None:
    # guards against a program half alive: one unhandled exception must not end a greenlet silently
    ended: list[int] = []
    monkeypatch.setattr(os, "_exit", ended.append)

    def broken() -> None:
        raise RuntimeError("a defect")

    spawn_essential("broken", broken).join(PATIENCE)
    assert ended == [1]
    spawn_essential("killed", lambda: gevent.sleep(PATIENCE)).kill()
    assert ended == [1]


@pytest.mark.parametrize(
    ("sockets", "memory_mb", "clients", "held_mb"),
    [(1024, 192, 500, 80), (256, 64, 120, 20), (256, 32, 85, 5)],
)
def test_a_small_memory_limit_still_takes_usual_clients(
    sockets: int, memory_mb: int, clients: int, held_mb: int
) -> None:
    # guards against places reckoned by the largest request there may be, when most are small: clients hold up
    # to a third of the descriptors for requests
    budget = Budget(sockets, memory_mb)
    assert budget.most_clients >= clients and budget.most_held >= held_mb * 2**20
    assert budget.most_clients * CLIENT_KB * 1024 + budget.most_held <= (memory_mb - PROGRAM_MB) * 2**20
    assert Budget(64, 192).most_clients >= 10 and Budget(256, 16).most_clients == FEWEST


def test_large_requests_wait_for_room_and_small_ones_do_not(clients: Listener) -> None:
    # guards against large requests that together need more memory than there is
    clients.budget.most_held = 300_000
    first, second, small = (connect(clients) for _ in range(3))
    first.sendall(call(body=b"x" * 60_000))
    turns_until(lambda: len(clients.owner.told) == 1)  # type: ignore[attr-defined]
    second.sendall(call(body=b"y" * 60_000))
    gevent.sleep(0.05)
    small.sendall(call(body=b"z" * 1000))
    turns_until(lambda: len(clients.owner.told) == 2)  # type: ignore[attr-defined]
    told = clients.owner.told  # type: ignore[attr-defined]
    assert told[1].request.body == b"z" * 1000
    told[0].reply(FinalResponse(200, b"done"))
    turns_until(lambda: len(told) == 3)
    assert told[2].request.body == b"y" * 60_000
    second.close()
    told[2].reply(FinalResponse(200, b"done"))
    turns_until(lambda: clients.budget.held == 0)


class Deaf:
    """In the owner's place: takes requests and answers none."""

    def __init__(self) -> None:
        self.told: list[Any] = []
        self.shutdown_deadline = NEVER

    def next_request_id(self) -> int:
        return 1

    def enqueue(self, item: Any, seen: int) -> None:
        self.told.append(item)


@pytest.fixture
def clients() -> Listener:
    made = Listener(Deaf(), Budget(1024, 192), ("look",), (2 * SECOND,), lambda: True)  # type: ignore[arg-type]
    made.listen(("127.0.0.1", 0))
    gevent.spawn(made.accept)
    return made


def connect(clients: Listener) -> Any:
    assert clients.listener is not None
    wire = gevent.socket.create_connection(clients.listener.getsockname())
    wire.settimeout(PATIENCE)
    return wire


def test_without_room_the_longest_idle_makes_way_and_only_for_one_that_waits(clients: Listener) -> None:
    # guards against closing an idle connection that nobody's place depends on, the newest even
    clients.budget.most_clients = 3
    first, second, third = (connect(clients) for _ in range(3))
    turns_until(lambda: len(clients.open) >= 3)
    gevent.sleep(5 * clients_module.ROOM_WAIT)
    assert len(clients.open) == 3
    fourth = connect(clients)
    assert first.recv(1) == b""
    for wire in (second, third, fourth):
        wire.sendall(b"GET /_health HTTP/1.1\r\n\r\n")
        assert wire.recv(65536).startswith(b"HTTP/1.1 200")


def test_a_silent_client_is_let_go_and_never_one_whose_request_is_out(
    clients: Listener, monkeypatch: pytest.MonkeyPatch
) -> None:
    # guards against places held for good, and against closing under a request that has come
    monkeypatch.setattr(client_connection, "WITHIN", 150 * MS)
    gevent.spawn(clients.sweep)
    silent, asking = connect(clients), connect(clients)
    asking.sendall(call())
    assert silent.recv(1) == b""
    turns_until(lambda: clients.owner.told)  # type: ignore[attr-defined]
    gevent.sleep(0.4)
    clients.owner.told[0].reply(FinalResponse(200, b"late"))  # type: ignore[attr-defined]
    assert asking.recv(65536).endswith(b"late")
    assert asking.recv(1) == b""  # idle since
    turns_until(lambda: not clients.open)


@pytest.mark.parametrize("first", [True, False])
def test_a_request_that_drips_in_is_told_and_closed(
    clients: Listener, monkeypatch: pytest.MonkeyPatch, first: bool
) -> None:
    # guards against a time limit that starts anew with each byte
    monkeypatch.setattr(client_connection, "WITHIN", 300 * MS)
    gevent.spawn(clients.sweep)
    wire = connect(clients)
    if not first:
        wire.sendall(b"GET /_health HTTP/1.1\r\n\r\n")
        wire.recv(65536)
    began = clock()
    data = iter(call(body=b"x" * 10_000))
    with gevent.Timeout(PATIENCE), contextlib.suppress(OSError):
        while not readable(wire):
            wire.sendall(bytes([next(data)]))
            gevent.sleep(0.01)
    assert wire.recv(65536).startswith(b"HTTP/1.1 408") and wire.recv(1) == b""
    assert not clients.owner.told  # type: ignore[attr-defined]
    assert clock() - began >= 150 * MS


def test_a_client_that_takes_no_answer_is_let_go(clients: Listener, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(client_connection, "WITHIN", 50 * MS)
    gevent.spawn(clients.sweep)
    wire = connect(clients)
    wire.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    with gevent.Timeout(PATIENCE), contextlib.suppress(OSError):
        for _ in range(200):
            wire.sendall(call())
            gevent.sleep(0.005)
            for taken in clients.owner.told:  # type: ignore[attr-defined]
                taken.reply(FinalResponse(200, b"x" * 65536))
            clients.owner.told.clear()  # type: ignore[attr-defined]
            if not clients.open:
                break
    turns_until(lambda: not clients.open)


def ask(clients: Listener, wire: Any) -> None:
    """One request on this connection, answered."""
    told = clients.owner.told  # type: ignore[attr-defined]
    before = len(told)
    wire.sendall(call())
    turns_until(lambda: len(told) > before)
    told[-1].reply(FinalResponse(200, b"ok"))
    assert wire.recv(65536).startswith(b"HTTP/1.1 200")


def test_silent_ones_make_way_before_any_that_has_asked(clients: Listener) -> None:
    # guards against connections by the hundred that say nothing in the places of those that ask
    clients.budget.most_clients = 20
    asking = connect(clients)
    ask(clients, asking)
    silent = [connect(clients) for _ in range(100)]
    late = connect(clients)
    late.sendall(b"GET /_health HTTP/1.1\r\n\r\n")
    assert late.recv(65536).startswith(b"HTTP/1.1 200")
    assert not readable(asking) and readable(silent[0])
    ask(clients, asking)


def test_those_that_asked_and_stay_make_way_although_new_ones_come(clients: Listener) -> None:
    # guards against a house full of connections that asked once, kept from closing by each young new one
    clients.budget.most_clients = 10
    for _ in range(30):
        ask(clients, connect(clients))
        connect(clients).sendall(b"GET")
    assert len(clients.open) <= 10


def test_all_that_wait_are_taken_in_one_turn(clients: Listener) -> None:
    # guards against connections that wait in the backlog for a turn of a busy event loop each
    gevent.sleep(0.01)
    assert clients.listener is not None
    waiting = [socket.create_connection(clients.listener.getsockname()) for _ in range(40)]
    gevent.sleep(0.001)
    taken = len(clients.open)
    for wire in waiting:
        wire.close()
    assert taken == 40


def test_ids_are_forgotten_once_no_copy_can_be_on_its_way(
    clients: Listener, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(clients_module, "WITHIN", 100 * MS)
    gevent.spawn(clients.sweep)
    request = ClientRequest("GET", "/look", "1", expires_in="0.5")
    intake = clients.intake
    assert isinstance(intake.arrival(request), RequestReceived)
    with pytest.raises(RejectedRequestError) as rejected:
        intake.arrival(request)
    assert rejected.value.status == 409
    intake.over("1")
    with pytest.raises(RejectedRequestError) as rejected:
        intake.arrival(request)
    assert rejected.value.status == 409
    turns_until(lambda: not intake.ids and not any(intake.lately))
    assert isinstance(intake.arrival(request), RequestReceived)


def test_what_the_module_is_told_of_a_request(clients: Listener) -> None:
    props = {"party": "3", "workUs": "12000", "update": "1", "other": "x"}
    request = ClientRequest(
        "GET", "/look/a/k7?q=1", "1", expires_in="0.5", is_client_retry=True, properties=props
    )
    assert clients.intake.arrival(request) == RequestReceived(1, 0, SECOND // 2, 3, "k7", 12000, True, True)
    odd = ClientRequest("GET", "/look", "2", expires_in="9e99", properties={"party": "-1", "workUs": "x" * 99})
    assert clients.intake.arrival(odd) == RequestReceived(1, 0, 2 * SECOND)
