"""The program, started by the command of `run`, spoken to over sockets."""

import contextlib
import json
import os
import re
import signal
import socket
import subprocess
import sys
import threading
import time
from functools import partial
from pathlib import Path
from typing import Any

import pytest

from linetrack.server.connection import readable
from tests.stand_ins import (
    MS,
    ROOT,
    SECOND,
    Discovery,
    Message,
    Sidecar,
    Upstream,
    Wire,
    World,
    answer,
    call,
    config,
    free_address,
    last_counts,
    request,
    silent,
    until,
)


def refusing(request: Message, wire: Wire) -> bytes:
    return answer(b"", 503, "X-Never-Ran: 1")


# --- Serving ---------------------------------------------------------------------------------------


def test_a_request_goes_on_and_its_answer_comes_back_unchanged(tmp_path: Path) -> None:
    body = bytes(range(256)) * 256
    server = Upstream("a", lambda request, wire: answer(request.body[::-1], 200, "Content-Type: x/y"))
    with World(tmp_path, server) as sidecar:
        headers = ["X-Trace-Id: 9b1f", "X-Expires-In: 1.5", "Idempotency-Key: 5c0f"]
        reply = sidecar.talk(request("/book/k9?q=%20", "POST", *headers, body=body))
        (seen,) = server.seen
        assert (reply.status, reply.body, reply.headers["content-type"]) == (200, body[::-1], "x/y")
        assert seen.start == "POST /book/k9?q=%20 HTTP/1.1" and seen.body == body
        assert (seen.headers["x-trace-id"], seen.headers["idempotency-key"]) == ("9b1f", "5c0f")
        assert 0 < float(seen.headers["x-expires-in"]) <= 1.5


def test_connections_are_kept_and_take_split_chunked_and_pipelined_input(tmp_path: Path) -> None:
    server = Upstream("a", lambda request, wire: answer(request.target.encode() + request.body))
    with World(tmp_path, server) as sidecar:
        wire = sidecar.connect()
        for at in range(len(data := call(body=b"hello"))):
            wire.sock.sendall(data[at : at + 1])
        first = wire.read()
        chunked = request("/look/c", "POST", "X-Trace-Id: 2", "X-Expires-In: 2", "Transfer-Encoding: chunked")
        wire.sock.sendall(chunked + b"2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n" + call() + call())
        rest = [wire.read() for _ in range(3)]
        replies = [reply.body for reply in (first, *rest) if reply]
        assert replies == [b"/look/k1hello", b"/look/chello", b"/look/k1", b"/look/k1"]
        wire.sock.close()


def test_many_connections_at_once_each_get_their_own_answer(tmp_path: Path) -> None:
    together = threading.Barrier(20)

    def script(request: Message, wire: Wire) -> bytes:
        together.wait(20)
        return answer(request.headers["x-trace-id"].encode())

    with World(tmp_path, Upstream("a", script)) as sidecar:
        wires = [sidecar.connect() for _ in range(20)]
        for n, wire in enumerate(wires):
            wire.sock.sendall(request(f"/look/{n}", "GET", f"X-Trace-Id: t{n}", "X-Expires-In: 2.0"))
        replies = [wire.read() for wire in wires]
        assert [reply.body for reply in replies if reply] == [b"t%d" % n for n in range(20)]
        for wire in wires:
            wire.sock.close()


def test_with_nobody_to_send_to_it_is_refused_with_advice(tmp_path: Path) -> None:
    with World(tmp_path) as sidecar:
        reply = sidecar.ask()
        assert reply.status == 503 and float(reply.headers["retry-after"]) == 0.5


def test_what_never_ran_goes_elsewhere_even_where_nothing_may_run_twice(tmp_path: Path) -> None:
    full, down, good = Upstream("a", refusing), Upstream("b"), Upstream("c")
    down.close()
    with World(tmp_path, full, down, good) as sidecar:
        assert [sidecar.ask("pay").status for _ in range(8)] == [200] * 8
        assert len(good.seen) == 8


def test_what_may_have_run_is_not_sent_again_below_the_module(tmp_path: Path) -> None:
    broken, spare = Upstream("a", lambda request, wire: None), Upstream("b", lambda request, wire: None)
    with World(tmp_path, broken, spare) as sidecar:
        assert [sidecar.ask("pay").status for _ in range(4)] == [502] * 4
        assert len(broken.seen) + len(spare.seen) == 4


BROKEN: dict[str, bytes | None] = {
    "cut short": None,
    "malformed": b"\x00\x01\x02\r\n\r\n",
    "said to be too large": b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + b"x" * 100_000,
    "an error": answer(b"no", 500),
}


@pytest.mark.parametrize("reply", BROKEN.values(), ids=BROKEN)
def test_an_upstreams_broken_answer_is_a_failure_and_serving_goes_on(
    tmp_path: Path, reply: bytes | None
) -> None:
    server = Upstream("a", lambda request, wire: reply)
    with World(tmp_path, server) as sidecar:
        assert sidecar.ask("pay").status == 502
        server.script = lambda request, wire: answer(b"ok", 200, "Endpoint-Load-Metrics: TEXT depth=\xff,=")
        assert sidecar.ask("look").status == 200


def test_a_large_answer_is_served(tmp_path: Path) -> None:
    # guards against good answers taken for spoilt, and asked for from one upstream after the other
    body = bytes(range(256)) * 1400
    server = Upstream("a", lambda request, wire: answer(body))
    with World(tmp_path, server) as sidecar:
        assert sidecar.ask("pay").body == body and len(server.seen) == 1


def test_half_an_answer_is_never_passed_on(tmp_path: Path) -> None:
    def half(request: Message, wire: Wire) -> None:
        wire.sock.sendall(answer(b"x" * 1000)[:500])

    with World(tmp_path, Upstream("a", half)) as sidecar:
        reply = sidecar.ask("pay")
        assert (reply.status, reply.body) == (502, b"")


def test_a_silent_upstream_costs_its_own_request_only_and_is_hung_up_on(tmp_path: Path) -> None:
    server = Upstream("a", lambda request, wire: silent(request, wire) if request.body else answer(b"ok"))
    with World(tmp_path, server) as sidecar:
        stuck = sidecar.connect()
        stuck.sock.sendall(call("pay", "0.4", b"hold"))
        until(lambda: server.seen)
        assert sidecar.ask().status == 200
        reply = stuck.read()
        assert reply and reply.status == 502
        until(lambda: server.closed, "hung up")
        stuck.sock.close()


def test_a_client_that_leaves_is_noticed_while_its_request_is_out(tmp_path: Path) -> None:
    server = Upstream("a", silent)
    with World(tmp_path, server) as sidecar:
        wire = sidecar.connect()
        wire.sock.sendall(call(expires="2.0"))
        until(lambda: server.seen)
        wire.sock.close()
        until(lambda: server.closed, "the attempt was called off")
        server.script = lambda request, wire: answer(b"ok")
        assert sidecar.ask().status == 200
        sidecar.end()
        assert last_counts(sidecar.log())["disconnected"] == 1


def test_an_upstream_that_drains_is_left_and_its_connections_closed(tmp_path: Path) -> None:
    a, b = Upstream("a"), Upstream("b")
    world = World(tmp_path, a, b)
    with world as sidecar:
        until(lambda: sidecar.ask("pay").body == b"a")
        until(lambda: world.discovery.calls)
        world.discovery.change(a.entry(state="DRAINING"))
        until(lambda: a.closed == len(a.connections))
        seen = len(a.seen)
        assert {sidecar.ask("pay").body for _ in range(10)} == {b"b"}
        assert len(a.seen) == seen


def test_a_new_address_is_used_under_the_same_id(tmp_path: Path) -> None:
    a, moved = Upstream("a"), Upstream("moved")
    world = World(tmp_path, a)
    with world as sidecar:
        assert sidecar.ask().body == b"a"
        until(lambda: world.discovery.calls)
        world.discovery.change(a.entry(addr=moved.address))
        until(lambda: sidecar.ask().body == b"moved")
    moved.close()


# --- Bad input -------------------------------------------------------------------------------------

PROPER = ("X-Trace-Id: 1", "X-Expires-In: 2.0")
BOTH = ("Content-Length: 5", "Transfer-Encoding: chunked")
BAD: list[tuple[str, bytes, int]] = [
    ("no HTTP", b"HELLO\r\n\r\n", 400),
    ("an unknown class", request("/other/k", "GET", *PROPER), 400),
    ("no class", request("/", "GET", *PROPER), 400),
    ("no id", request("/look/k", "GET", "X-Expires-In: 2.0"), 400),
    ("no deadline", request("/look/k", "GET", "X-Trace-Id: 1"), 400),
    ("a deadline that is no number", call(expires="soon"), 400),
    ("a deadline that is not finite", call(expires="nan"), 400),
    ("a negative deadline", call(expires="-1"), 400),
    ("a deadline already over", call(expires="0"), 504),
    ("two lengths", request("/look/k", "POST", *PROPER, "Content-Length: 1", "Content-Length: 2"), 400),
    ("a length twice", request("/look/k", "POST", *PROPER, "Content-Length: 0", "Content-Length: 0"), 400),
    ("a length with a sign", request("/look/k", "POST", *PROPER, "Content-Length: +1") + b"x", 400),
    ("a negative length", request("/look/k", "POST", *PROPER, "Content-Length: -1") + b"x", 400),
    ("a length with a space", request("/look/k", "POST", *PROPER, "Content-Length: 1 1") + b"x", 400),
    ("a length and chunks", request("/look/k", "POST", *PROPER, *BOTH) + b"0\r\n\r\n" + call(), 400),
    ("chunks and a length", request("/look/k", "POST", *PROPER, *BOTH[::-1]) + b"0\r\n\r\n" + call(), 400),
    ("a wrong chunk size", request("/look/k", "POST", *PROPER, BOTH[1]) + b"zz\r\n", 400),
    ("a huge chunk size", request("/look/k", "POST", *PROPER, BOTH[1]) + b"fffffff\r\n" + b"x" * 70_000, 408),
    ("a chunk size beyond all", request("/look/k", "POST", *PROPER, BOTH[1]) + b"f" * 40 + b"\r\n", 400),
    ("a deadline with other signs", call(expires="1_0"), 400),
    ("a body too large", request("/look/k", "POST", *PROPER, "Content-Length: 33554433"), 413),
    (
        "a body too large, sent",
        request("/look/k", "POST", *PROPER, "Content-Length: 33600000") + b"x" * 200_000,
        413,
    ),
    ("a head too large", request("/look/k", "GET", *PROPER, "X-A: " + "y" * 50_000), 431),
]


@pytest.fixture(scope="module")
def serving(tmp_path_factory: pytest.TempPathFactory) -> Any:
    server = Upstream("a")
    with World(tmp_path_factory.mktemp("bad"), server) as sidecar:
        yield sidecar, server


@pytest.mark.parametrize(("data", "status"), [bad[1:] for bad in BAD], ids=[bad[0] for bad in BAD])
def test_what_is_no_request_is_answered_without_the_module(
    serving: tuple[Sidecar, Upstream], data: bytes, status: int
) -> None:
    sidecar, server = serving
    seen = len(server.seen)
    assert sidecar.talk(data).status == status
    assert len(server.seen) == seen
    assert sidecar.ask().status == 200


def test_a_whole_request_is_served_before_what_follows_it_is_refused(
    serving: tuple[Sidecar, Upstream],
) -> None:
    # guards against a taken request lost for what came behind it in the same bytes
    wire = serving[0].connect()
    wire.sock.sendall(call() + call() + b"NONSENSE\r\n\r\n")
    assert [reply and reply.status for reply in (wire.read(), wire.read(), wire.read())] == [200, 200, 400]
    assert wire.ended()
    wire.sock.close()


def test_an_id_that_is_open_or_was_a_moment_ago_is_turned_away(tmp_path: Path) -> None:
    # guards against one client's request run and answered under the id of another's
    let = threading.Event()

    def script(request: Message, wire: Wire) -> bytes:
        let.wait(20)
        return answer(request.target.encode())

    server = Upstream("a", script)
    with World(tmp_path, server) as sidecar:
        first = sidecar.connect()
        first.sock.sendall(request("/look/mine", "GET", "X-Trace-Id: 7", "X-Expires-In: 2.0"))
        until(lambda: server.seen)
        copy = request("/look/theirs", "GET", "X-Trace-Id: 7", "X-Expires-In: 2.0")
        assert sidecar.talk(copy).status == 409
        let.set()
        reply = first.read()
        assert reply and reply.body == b"/look/mine"
        assert sidecar.talk(copy).status == 409
        assert len(server.seen) == 1
        first.sock.close()


def test_nothing_behind_what_is_no_request_is_served(serving: tuple[Sidecar, Upstream]) -> None:
    sidecar, server = serving
    seen = len(server.seen)
    for data in (request("/other/k", "GET", *PROPER), request("/look/k", "GET")):
        wire = sidecar.connect()
        wire.sock.sendall(data + call())
        reply = wire.read()
        assert reply and reply.status == 400 and wire.ended()
        wire.sock.close()
    assert len(server.seen) == seen


def test_a_client_that_closes_half_way_is_forgotten(serving: tuple[Sidecar, Upstream]) -> None:
    sidecar, _ = serving
    for data in (b"", b"GET /lo", call(body=b"hello")[:-2]):
        wire = sidecar.connect()
        wire.sock.sendall(data)
        wire.sock.close()
    assert sidecar.ask().status == 200


def test_a_very_long_deadline_is_no_trouble(serving: tuple[Sidecar, Upstream]) -> None:
    assert serving[0].ask(expires="1e300").status == 200


FAULTY: list[tuple[str, str]] = [("{", "EDGE_CONFIG"), ("{}", "name"), ('{"name":"n","listen":7}', "listen")]


@pytest.mark.parametrize(("text", "key"), FAULTY)
def test_a_faulty_configuration_ends_the_program_and_names_the_key(
    tmp_path: Path, text: str, key: str
) -> None:
    sidecar = Sidecar(tmp_path, {})
    sidecar.environ = {"EDGE_CONFIG": str(tmp_path / "faulty.json")}
    (tmp_path / "faulty.json").write_text(text)
    assert sidecar.launch().wait(20) == 2
    assert key in sidecar.log() and "Traceback" not in sidecar.log()


def test_an_address_that_cannot_be_bound_ends_the_program(tmp_path: Path) -> None:
    with socket.create_server(("127.0.0.1", 0)) as taken:
        values = {**config("127.0.0.1:9", []), "listen": f"127.0.0.1:{taken.getsockname()[1]}"}
        sidecar = Sidecar(tmp_path, values)
        assert sidecar.launch().wait(20) == 1
    assert "cannot_listen" in sidecar.log() and "Traceback" not in sidecar.log()


def test_discovery_out_of_reach_leaves_the_remembered_list(tmp_path: Path) -> None:
    server = Upstream("a")
    sidecar = Sidecar(tmp_path, config(free_address(), [server.entry()]))
    with sidecar:
        until(lambda: "discovery_poll_failed" in sidecar.log())
        assert sidecar.ask().status == 200
    server.close()


def test_descriptors_used_up_close_idle_connections_and_drop_nobody(tmp_path: Path) -> None:
    server = Upstream("a")
    world = World(tmp_path, server)
    world.sidecar.config["limits"]["sockets"] = 80
    world.sidecar.prefix = "ulimit -n 80; "
    with world as sidecar:
        idle = [sidecar.connect() for _ in range(100)]
        assert [sidecar.ask().status for _ in range(5)] == [200] * 5
        process = sidecar.process
        assert process and len(os.listdir(f"/proc/{process.pid}/fd")) < 80
        for wire in idle:
            wire.sock.close()
        assert "accept_failed" not in sidecar.log()


def test_callers_that_ask_once_and_stay_never_run_out_of_places(tmp_path: Path) -> None:
    # guards against connections kept for nobody until callers may open no more: 64 here, a third of 192
    world = World(tmp_path, Upstream("a"))
    world.sidecar.config["limits"]["sockets"] = 192
    held: list[Wire] = []
    with world as sidecar:
        for _ in range(400):
            held = [wire for wire in held if not readable(wire.sock)]
            assert len(held) < 64
            held.append(sidecar.connect())
            held[-1].sock.sendall(call())
            reply = held[-1].read()
            assert reply and reply.status == 200
        for wire in held:
            wire.sock.close()


def test_a_request_right_behind_the_one_before_is_served_although_places_are_short(tmp_path: Path) -> None:
    # guards against closing with an answer while what came behind its request has been taken
    world = World(tmp_path, Upstream("a"))
    world.sidecar.config["limits"]["sockets"] = 128
    wires = []
    with world as sidecar:
        for _ in range(100):
            wires.append(sidecar.connect())
            wires[-1].sock.sendall(call() + call() + call())
            for _ in range(3):
                reply = wires[-1].read()
                assert reply and reply.status == 200
        assert any(readable(wire.sock) for wire in wires)
        for wire in wires:
            wire.sock.close()


def test_http_1_0_is_answered_and_closed_unless_it_asks_to_stay(tmp_path: Path) -> None:
    with World(tmp_path, Upstream("a")) as sidecar:
        for more, kept in ((b"", False), (b"Connection: keep-alive\r\n", True)):
            wire = sidecar.connect()
            for _ in range(1 + kept):
                wire.sock.sendall(call().replace(b"HTTP/1.1\r\n", b"HTTP/1.0\r\n" + more))
                reply = wire.read()
                assert reply and reply.status == 200
            assert kept or wire.ended()
            wire.sock.close()


def test_where_lists_are_pushed_nothing_goes_by_a_list_from_before_the_start(tmp_path: Path) -> None:
    """Guards against readiness at the first call that discovery, which all that start together call at once,
    turns away: what it has counts as told from the first moment of a new process."""
    a, b = Upstream("a"), Upstream("b")
    world = World(tmp_path, a, b)
    world.sidecar.config["settings"]["registryMode"] = "automatic"
    world.discovery.entries = [a.entry(state="DRAINING"), b.entry()]
    world.discovery.version = 2
    away, listed = answer(b"", 503), {"version": 2, "full": True, "servers": world.discovery.entries}
    world.discovery.scripted = [away, answer(b"no list"), away, answer(json.dumps(listed).encode())]
    with world as sidecar:
        assert {sidecar.ask().body for _ in range(20)} == {b"b"}
        assert not a.seen and "endpoint_list_timeout" not in sidecar.log()


def test_where_lists_are_pushed_a_start_is_ready_though_discovery_never_answers(tmp_path: Path) -> None:
    """Guards against a process that is never ready because a way that is cut says nothing."""
    world = World(tmp_path, Upstream("a"))
    world.sidecar.config["settings"]["registryMode"] = "automatic"
    world.discovery.scripted = [b""] * 100
    with world as sidecar:
        assert sidecar.ask().status == 200 and "endpoint_list_timeout" in sidecar.log()


def test_idle_clients_that_fill_the_descriptors_keep_out_neither_discovery_nor_calls(
    tmp_path: Path,
) -> None:
    """While discovery is down.  Guards against a process that ends, or goes on by an old list, because its
    clients left no descriptor for a call."""
    a, b = Upstream("a"), Upstream("b")
    world = World(tmp_path, a, b)
    world.discovery.scripted = [None] * 10_000
    world.sidecar.config["limits"]["sockets"] = 96
    world.sidecar.prefix = "ulimit -n 96; "
    with world as sidecar:
        idlers = [sidecar.connect() for _ in range(150)]
        for wire in idlers[::2]:
            wire.sock.sendall(b"GET /look")
        calls = len(world.discovery.calls)
        until(lambda: len(world.discovery.calls) > calls + 1, "called while it is down")
        assert sidecar.ask().status == 200
        world.discovery.change(a.entry(state="DRAINING"))
        world.discovery.entries = [a.entry(state="DRAINING"), b.entry()]
        world.discovery.scripted.clear()
        until(lambda: {sidecar.ask().body for _ in range(10)} == {b"b"}, "what it tells at its return")
        assert sidecar.process is not None and sidecar.process.poll() is None
        for wire in idlers:
            wire.sock.close()


# --- Reload ----------------------------------------------------------------------------------------


def reload(sidecar: Sidecar, text: str) -> None:
    assert sidecar.process is not None
    (sidecar.folder / "config.json").write_text(text)
    sidecar.process.send_signal(signal.SIGHUP)


def test_a_new_discovery_is_in_force_after_sighup_and_requests_notice_nothing(tmp_path: Path) -> None:
    a, b = Upstream("a"), Upstream("b")
    world = World(tmp_path, a)
    with world as sidecar:
        assert sidecar.ask().body == b"a"
        wire = sidecar.connect()
        for _ in range(2):
            other = Discovery([b.entry()])
            sidecar.config["discovery"] = other.address
            reload(sidecar, json.dumps(sidecar.config))
            until(partial(lambda name: sidecar.ask().body == name, b.name.encode()))
            wire.sock.sendall(call())
            reply = wire.read()
            assert reply and reply.body == b.name.encode()
            a, b = b, a
            other.close()
        wire.sock.close()
        assert sidecar.end() == 0


def test_the_file_names_discovery_before_the_environment(tmp_path: Path) -> None:
    # guards against an environment that stays as it was and hides what the new file says
    world, other = World(tmp_path, Upstream("a")), Discovery([])
    world.sidecar.environ["EDGE_DISCOVERY"] = world.discovery.address
    with world as sidecar:
        until(lambda: world.discovery.calls)
        sidecar.config["discovery"] = other.address
        reload(sidecar, json.dumps(sidecar.config))
        until(lambda: other.calls)
    other.close()


def faulty(values: dict[str, Any]) -> list[tuple[str, str]]:
    classes = {**values["settings"], "classes": [{"name": "look", "deadlineUs": "soon"}]}
    return [
        (json.dumps(values)[:200], "EDGE_CONFIG"),
        ("", "EDGE_CONFIG"),
        (json.dumps({**values, "discovery": "nowhere"}), "discovery"),
        (json.dumps({**values, "settings": classes}), "settings.classes.0.deadlineUs"),
    ]


def test_a_faulty_file_is_logged_by_key_and_the_old_one_stays_in_force(tmp_path: Path) -> None:
    server = Upstream("a")
    with World(tmp_path, server) as sidecar:
        for text, key in faulty(dict(sidecar.config)):
            before = len(sidecar.log())
            reload(sidecar, text)
            until(partial(lambda at: "reload_rejected" in sidecar.log()[at:], before))
            assert f'"{key}' in sidecar.log()[before:]
            assert sidecar.ask().status == 200
            time.sleep(1.0)  # a line of one event a second
        (tmp_path / "config.json").unlink()
        assert sidecar.process is not None
        sidecar.process.send_signal(signal.SIGHUP)
        until(lambda: "No such file" in sidecar.log())
        reload(sidecar, json.dumps({**sidecar.config, "name": "other", "limits": {"sockets": 100}}))
        until(lambda: "reloaded" in sidecar.log())
        assert '"needs_restart": ["limits.sockets", "name"]' in sidecar.log()
        assert sidecar.end() == 0


def test_sighup_on_the_way_out_changes_nothing(tmp_path: Path) -> None:
    with World(tmp_path, Upstream("a")) as sidecar:
        assert sidecar.process is not None
        sidecar.process.send_signal(signal.SIGTERM)
        until(lambda: '"draining"' in sidecar.log())
        sidecar.process.send_signal(signal.SIGHUP)
        assert sidecar.process.wait(20) == 0


# --- Start and exit --------------------------------------------------------------------------------


def test_at_sigterm_everything_taken_is_answered_and_the_status_is_zero(tmp_path: Path) -> None:
    let = threading.Event()

    def script(request: Message, wire: Wire) -> bytes:
        if request.body:
            let.wait(20)
        return answer(b"ok")

    server = Upstream("a", script)
    with World(tmp_path, server) as sidecar:
        assert sidecar.process is not None
        taken, idle = sidecar.connect(), sidecar.connect()
        taken.sock.sendall(call(body=b"hold"))
        idle.sock.sendall(call())
        kept = idle.read()
        until(lambda: len(server.seen) == 2)
        sidecar.process.send_signal(signal.SIGTERM)
        sidecar.process.send_signal(signal.SIGTERM)
        until(lambda: '"draining"' in sidecar.log())
        # new connections still come for a while and are served; readiness is over
        try:
            assert sidecar.ask().status == 200
            assert sidecar.get("/_health").status == 503
        except OSError:
            until(lambda: '"shutting_down"' in sidecar.log(), "a machine too slow to ask in that while")
        assert kept and kept.status == 200 and idle.ended()
        until(lambda: '"shutting_down"' in sidecar.log())
        sidecar.process.send_signal(signal.SIGTERM)
        let.set()
        reply = taken.read()
        assert reply and reply.status == 200 and reply.headers["connection"] == "close" and taken.ended()
        assert sidecar.process.wait(20) == 0


def test_what_stands_in_the_backlog_at_sigterm_is_served(tmp_path: Path) -> None:
    with World(tmp_path, Upstream("a")) as sidecar:
        assert sidecar.process is not None
        sidecar.process.send_signal(signal.SIGSTOP)
        wires = [sidecar.connect() for _ in range(5)]
        for wire in wires:
            wire.sock.sendall(call())
        sidecar.process.send_signal(signal.SIGTERM)
        sidecar.process.send_signal(signal.SIGCONT)
        replies = [wire.read() for wire in wires]
        assert [reply.status for reply in replies if reply] == [200] * 5
        assert sidecar.process.wait(20) == 0


def test_under_traffic_all_that_was_taken_before_the_end_is_answered(tmp_path: Path) -> None:
    answered: list[int] = []

    def keep_asking(sidecar: Sidecar) -> None:
        """One request after the other, on kept connections, until none can be opened any more."""
        while True:
            try:
                wire = sidecar.connect()
            except OSError:
                return
            with wire.sock, contextlib.suppress(OSError):
                wire.sock.sendall(call(expires="20.0"))
                while reply := wire.read():
                    answered.append(reply.status)
                    wire.sock.sendall(call(expires="20.0"))

    world = World(tmp_path, Upstream("a"), Upstream("b"))
    # guards against a verdict on the machine: where this process or the sidecar stood still for 100 ms, the
    # policy took that for crowding and refused a few (503), as aims of 500 ms let it; now it takes seconds
    for klass in world.sidecar.config["settings"]["classes"]:
        klass["aimUs"] = klass["deadlineUs"] = 20 * SECOND
    with world as sidecar:
        threads = [threading.Thread(target=keep_asking, args=(sidecar,)) for _ in range(6)]
        for thread in threads:
            thread.start()
        until(lambda: len(answered) > 50)
        assert sidecar.end() == 0
        for thread in threads:
            thread.join(20)
        last = last_counts(sidecar.log())
        assert last["disconnected"] == 0 and last["received"] == len(answered)
        assert set(answered) == {200}


def test_a_restart_serves_again_on_the_same_address(tmp_path: Path) -> None:
    world = World(tmp_path, Upstream("a"))
    with world as sidecar:
        assert sidecar.ask().status == 200
        assert sidecar.end() == 0
        sidecar.launch()
        until(sidecar._ready)
        assert sidecar.ask().status == 200


def test_it_writes_no_file_and_no_line_for_a_request(tmp_path: Path) -> None:
    with World(tmp_path, Upstream("a")) as sidecar:
        lines = len(sidecar.log().splitlines())
        for _ in range(10):
            sidecar.ask()
        assert len(sidecar.log().splitlines()) == lines
        assert not re.search("Traceback|error", sidecar.log())


def test_the_simulators_side_imports_nothing_of_the_sockets() -> None:
    code = "import sys, linetrack.simhost.host; print(*sys.modules)"
    out = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True
    ).stdout
    assert not {name for name in out.split() if name.startswith(("gevent", "linetrack.server", "structlog"))}


def test_the_sweep_closes_idle_connections_before_the_upstream_does(tmp_path: Path) -> None:
    server = Upstream("a")
    with World(tmp_path, server, keepaliveUs=500 * MS, dialTimeoutUs=SECOND) as sidecar:
        assert sidecar.ask().status == 200
        until(lambda: server.closed == 1, "closed as idle")
