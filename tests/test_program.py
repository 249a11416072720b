"""The program's parts in one process: log lines, greenlets that must live, clients that stall."""

import os
import socket
from typing import Any

import gevent
import pytest
import structlog

from linetrack.interface import Arrival
from linetrack.net import clients as clients_module
from linetrack.net.budget import Budget
from linetrack.net.clients import Clients
from linetrack.net.messages import ClientRequest
from linetrack.net.owner import Final
from linetrack.net.sidecar import LINE_EVERY, Sparing, must_live
from tests.stand_ins import PATIENCE, SECOND, call, turns_until


def test_a_flood_of_one_event_is_one_line_a_second_and_a_count() -> None:
    now = 0
    sparing = Sparing(lambda: now)
    assert sparing(None, "warning", {"event": "a"}) == {"event": "a"}
    for _ in range(5):
        with pytest.raises(structlog.DropEvent):
            sparing(None, "warning", {"event": "a"})
    assert sparing(None, "warning", {"event": "b"}) == {"event": "b"}
    assert sparing(None, "info", {"event": "a"}) == {"event": "a"}
    now = LINE_EVERY
    assert sparing(None, "warning", {"event": "a"}) == {"event": "a", "unsaid": 5}


def test_a_greenlet_that_must_live_ends_the_process_when_it_breaks(monkeypatch: pytest.MonkeyPatch) -> None:
    # guards against a program half alive: one unhandled exception must not end a greenlet silently
    ended: list[int] = []
    monkeypatch.setattr(os, "_exit", ended.append)

    def broken() -> None:
        raise RuntimeError("a defect")

    must_live("broken", broken).join(PATIENCE)
    assert ended == [1]
    must_live("killed", lambda: gevent.sleep(PATIENCE)).kill()
    assert ended == [1]


@pytest.mark.parametrize(("memory_mb", "fewest", "most"), [(192, 300, 500), (64, 50, 100), (24, 16, 16)])
def test_memory_bounds_the_clients_and_a_small_limit_still_serves(
    memory_mb: int, fewest: int, most: int
) -> None:
    # guards against a limit a little above the program's own need that let one client in at a time
    assert fewest <= Budget(1024, memory_mb).most_clients <= most
    assert Budget(64, 192).most_clients >= 10


class Deaf:
    """In the owner's place: takes requests and answers none."""

    def __init__(self) -> None:
        self.told: list[Any] = []

    def number(self) -> int:
        return 1

    def put(self, item: Any, seen: int) -> None:
        self.told.append(item)


@pytest.fixture
def clients() -> Clients:
    made = Clients(Deaf(), Budget(1024, 192), ("look",), (2 * SECOND,), lambda: True)  # type: ignore[arg-type]
    made.listen(("127.0.0.1", 0))
    gevent.spawn(made.accept)
    return made


def connect(clients: Clients) -> Any:
    assert clients.listener is not None
    wire = gevent.socket.create_connection(clients.listener.getsockname())
    wire.settimeout(PATIENCE)
    return wire


def test_without_room_the_longest_idle_makes_way_and_only_for_one_that_waits(clients: Clients) -> None:
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


def test_a_client_that_stalls_half_way_is_told_and_closed(
    clients: Clients, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(clients_module, "STALL", 0.05)
    wire = connect(clients)
    wire.sendall(call(body=b"hello")[:-1])
    assert wire.recv(65536).startswith(b"HTTP/1.1 408") and wire.recv(1) == b""
    assert not clients.owner.told  # type: ignore[attr-defined]


def test_a_client_that_takes_no_answer_is_let_go(clients: Clients, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(clients_module, "STALL", 0.05)
    wire = connect(clients)
    wire.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    with gevent.Timeout(PATIENCE):
        for _ in range(200):
            wire.sendall(call())
            gevent.sleep(0.005)
            for taken in clients.owner.told:  # type: ignore[attr-defined]
                taken.reply(Final(200, b"x" * 65536))
            clients.owner.told.clear()  # type: ignore[attr-defined]
            if not clients.open:
                break
        while clients.open:
            gevent.sleep(0.005)


def test_what_the_module_is_told_of_a_request(clients: Clients) -> None:
    props = {"party": "3", "workUs": "12000", "update": "1", "other": "x"}
    request = ClientRequest("GET", "/look/a/k7?q=1", "1", expires="0.5", again=True, props=props)
    assert clients.arrival(request) == Arrival(1, 0, SECOND // 2, 3, "k7", 12000, True, True)
    odd = ClientRequest("GET", "/look", "1", expires="9e99", props={"party": "-1", "workUs": "x" * 99})
    assert clients.arrival(odd) == Arrival(1, 0, 2 * SECOND)
