"""Requests that pass through the program, started by the command of `run`, over sockets."""

from __future__ import annotations

import re
import threading
from pathlib import Path

import pytest

from tests.stand_ins import (
    MS,
    SECOND,
    Message,
    Upstream,
    Wire,
    World,
    answer,
    call,
    last_counts,
    request,
    silent,
    until,
)


def reject_as_never_run(_request: Message, _wire: Wire) -> bytes:
    return answer(b"", 503, "X-Never-Ran: 1")


def test_a_request_is_forwarded_and_its_response_comes_back_unchanged(tmp_path: Path) -> None:
    body = bytes(range(256)) * 256
    server = Upstream("a", lambda request, _wire: answer(request.body[::-1], 200, "Content-Type: x/y"))
    with World(tmp_path, server) as sidecar:
        headers = ["X-Trace-Id: 9b1f", "X-Expires-In: 1.5", "Idempotency-Key: 5c0f"]
        reply = sidecar.talk(request("/book/k9?q=%20", "POST", *headers, body=body))
        (seen,) = server.seen
        assert (reply.status, reply.body, reply.headers["content-type"]) == (200, body[::-1], "x/y")
        assert seen.start == "POST /book/k9?q=%20 HTTP/1.1"
        assert seen.body == body
        assert (seen.headers["x-trace-id"], seen.headers["idempotency-key"]) == ("9b1f", "5c0f")
        assert 0 < float(seen.headers["x-expires-in"]) <= 1.5


def test_kept_connections_take_split_chunked_and_pipelined_requests(tmp_path: Path) -> None:
    server = Upstream("a", lambda request, _wire: answer(request.target.encode() + request.body))
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


def test_concurrent_connections_each_get_their_own_response(tmp_path: Path) -> None:
    together = threading.Barrier(20)

    def script(request: Message, _wire: Wire) -> bytes:
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


def test_without_endpoints_a_request_is_rejected_with_retry_after(tmp_path: Path) -> None:
    with World(tmp_path) as sidecar:
        reply = sidecar.ask()
        assert reply.status == 503
        assert float(reply.headers["retry-after"]) == 0.5


def test_an_attempt_that_never_ran_is_retried_even_if_non_idempotent(tmp_path: Path) -> None:
    full, down, good = Upstream("a", reject_as_never_run), Upstream("b"), Upstream("c")
    down.close()
    with World(tmp_path, full, down, good) as sidecar:
        assert [sidecar.ask("pay").status for _ in range(8)] == [200] * 8
        assert len(good.seen) == 8


def test_a_non_idempotent_request_that_may_have_run_is_not_retried(tmp_path: Path) -> None:
    broken, spare = Upstream("a", lambda _request, _wire: None), Upstream("b", lambda _request, _wire: None)
    with World(tmp_path, broken, spare) as sidecar:
        assert [sidecar.ask("pay").status for _ in range(4)] == [502] * 4
        assert len(broken.seen) + len(spare.seen) == 4


INVALID_RESPONSES: dict[str, bytes | None] = {
    "cut short": None,
    "malformed": b"\x00\x01\x02\r\n\r\n",
    "said to be too large": b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + b"x" * 100_000,
    "an error": answer(b"no", 500),
}


@pytest.mark.parametrize("reply", INVALID_RESPONSES.values(), ids=INVALID_RESPONSES)
def test_an_invalid_response_fails_its_own_request_only(tmp_path: Path, reply: bytes | None) -> None:
    server = Upstream("a", lambda _request, _wire: reply)
    with World(tmp_path, server) as sidecar:
        assert sidecar.ask("pay").status == 502
        server.script = lambda _request, _wire: answer(b"ok", 200, "Endpoint-Load-Metrics: TEXT depth=\xff,=")
        assert sidecar.ask("look").status == 200


def test_a_large_response_is_served(tmp_path: Path) -> None:
    # larger than what is buffered for a retry: it must not count as invalid and be requested again elsewhere
    body = bytes(range(256)) * 1400
    server = Upstream("a", lambda _request, _wire: answer(body))
    with World(tmp_path, server) as sidecar:
        assert sidecar.ask("pay").body == body
        assert len(server.seen) == 1


def test_half_a_response_is_never_forwarded(tmp_path: Path) -> None:
    def half(_request: Message, wire: Wire) -> None:
        wire.sock.sendall(answer(b"x" * 1000)[:500])

    with World(tmp_path, Upstream("a", half)) as sidecar:
        reply = sidecar.ask("pay")
        assert (reply.status, reply.body) == (502, b"")


def test_a_silent_upstream_fails_its_own_request_only_and_is_disconnected(tmp_path: Path) -> None:
    server = Upstream("a", lambda request, wire: silent(request, wire) if request.body else answer(b"ok"))
    with World(tmp_path, server) as sidecar:
        stuck = sidecar.connect()
        stuck.sock.sendall(call("pay", "0.4", b"hold"))
        until(lambda: server.seen)
        assert sidecar.ask().status == 200
        reply = stuck.read()
        assert reply
        assert reply.status == 502
        until(lambda: server.closed, "hung up")
        stuck.sock.close()


def test_a_client_disconnect_cancels_the_attempt_in_flight(tmp_path: Path) -> None:
    server = Upstream("a", silent)
    with World(tmp_path, server) as sidecar:
        wire = sidecar.connect()
        wire.sock.sendall(call(expires="2.0"))
        until(lambda: server.seen)
        wire.sock.close()
        until(lambda: server.closed, "the attempt was called off")
        server.script = lambda _request, _wire: answer(b"ok")
        assert sidecar.ask().status == 200
        sidecar.end()
        assert last_counts(sidecar.log())["disconnected"] == 1


def test_a_draining_endpoint_gets_nothing_new_and_its_connections_are_closed(tmp_path: Path) -> None:
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


def test_a_changed_address_of_an_endpoint_is_used(tmp_path: Path) -> None:
    a, moved = Upstream("a"), Upstream("moved")
    world = World(tmp_path, a)
    with world as sidecar:
        assert sidecar.ask().body == b"a"
        until(lambda: world.discovery.calls)
        world.discovery.change(a.entry(addr=moved.address))
        until(lambda: sidecar.ask().body == b"moved")
    moved.close()


def test_http_1_0_connections_are_closed_unless_keep_alive_is_asked_for(tmp_path: Path) -> None:
    with World(tmp_path, Upstream("a")) as sidecar:
        for more, kept in ((b"", False), (b"Connection: keep-alive\r\n", True)):
            wire = sidecar.connect()
            for _ in range(1 + kept):
                wire.sock.sendall(call().replace(b"HTTP/1.1\r\n", b"HTTP/1.0\r\n" + more))
                reply = wire.read()
                assert reply
                assert reply.status == 200
            assert kept or wire.ended()
            wire.sock.close()


def test_idle_connections_are_closed_before_the_upstream_closes_them(tmp_path: Path) -> None:
    server = Upstream("a")
    with World(tmp_path, server, keepaliveUs=500 * MS, dialTimeoutUs=SECOND) as sidecar:
        assert sidecar.ask().status == 200
        until(lambda: server.closed == 1, "closed as idle")


def test_a_request_writes_no_log_line(tmp_path: Path) -> None:
    with World(tmp_path, Upstream("a")) as sidecar:
        lines = len(sidecar.log().splitlines())
        for _ in range(10):
            sidecar.ask()
        assert len(sidecar.log().splitlines()) == lines
        assert not re.search("Traceback|error", sidecar.log())
