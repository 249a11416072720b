"""Requests over sockets through the program, which is started by its `run` command."""

from __future__ import annotations

import re
import threading
from pathlib import Path

import pytest

from tests.support.http import HttpConnection, HttpMessage, class_request, http_request, http_response
from tests.support.servers import UpstreamServer, never_respond
from tests.support.sidecar_process import Deployment, final_counts
from tests.support.units import MS, SECOND
from tests.support.waiting import wait_until


def reject_as_never_run(_request: HttpMessage, _wire: HttpConnection) -> bytes:
    return http_response(b"", 503, "X-Never-Ran: 1")


def test_a_request_and_its_response_are_forwarded_unchanged(tmp_path: Path) -> None:
    body = bytes(range(256)) * 256
    server = UpstreamServer(
        "a", lambda request, _wire: http_response(request.body[::-1], 200, "Content-Type: x/y")
    )
    with Deployment(tmp_path, server) as sidecar:
        headers = ["X-Trace-Id: 9b1f", "X-Expires-In: 1.5", "Idempotency-Key: 5c0f"]
        reply = sidecar.exchange(http_request("/book/k9?q=%20", "POST", *headers, body=body))
        (seen,) = server.seen
        assert (reply.status, reply.body, reply.headers["content-type"]) == (200, body[::-1], "x/y")
        assert seen.start == "POST /book/k9?q=%20 HTTP/1.1"
        assert seen.body == body
        assert (seen.headers["x-trace-id"], seen.headers["idempotency-key"]) == ("9b1f", "5c0f")
        assert 0 < float(seen.headers["x-expires-in"]) <= 1.5


def test_a_persistent_connection_accepts_split_chunked_and_pipelined_requests(tmp_path: Path) -> None:
    server = UpstreamServer("a", lambda request, _wire: http_response(request.target.encode() + request.body))
    with Deployment(tmp_path, server) as sidecar:
        wire = sidecar.connect()
        for start in range(len(data := class_request(body=b"hello"))):
            wire.sock.sendall(data[start : start + 1])
        first = wire.read()
        chunked = http_request(
            "/look/c", "POST", "X-Trace-Id: 2", "X-Expires-In: 2", "Transfer-Encoding: chunked"
        )
        wire.sock.sendall(chunked + b"2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n" + class_request() + class_request())
        later = [wire.read() for _ in range(3)]
        replies = [reply.body for reply in (first, *later) if reply]
        assert replies == [b"/look/k1hello", b"/look/chello", b"/look/k1", b"/look/k1"]
        wire.sock.close()


def test_concurrent_connections_each_get_their_own_response(tmp_path: Path) -> None:
    all_in_flight = threading.Barrier(20)

    def script(request: HttpMessage, _wire: HttpConnection) -> bytes:
        all_in_flight.wait(20)
        return http_response(request.headers["x-trace-id"].encode())

    with Deployment(tmp_path, UpstreamServer("a", script)) as sidecar:
        wires = [sidecar.connect() for _ in range(20)]
        for number, wire in enumerate(wires):
            wire.sock.sendall(
                http_request(f"/look/{number}", "GET", f"X-Trace-Id: t{number}", "X-Expires-In: 2.0")
            )
        replies = [wire.read() for wire in wires]
        assert [reply.body for reply in replies if reply] == [b"t%d" % number for number in range(20)]
        for wire in wires:
            wire.sock.close()


def test_without_endpoints_a_request_is_rejected_with_retry_after(tmp_path: Path) -> None:
    with Deployment(tmp_path) as sidecar:
        reply = sidecar.send_class_request()
        assert reply.status == 503
        assert float(reply.headers["retry-after"]) == 0.5


def test_an_attempt_that_was_not_executed_is_retried_even_if_non_idempotent(tmp_path: Path) -> None:
    full, down, good = UpstreamServer("a", reject_as_never_run), UpstreamServer("b"), UpstreamServer("c")
    down.close()
    with Deployment(tmp_path, full, down, good) as sidecar:
        assert [sidecar.send_class_request("pay").status for _ in range(8)] == [200] * 8
        assert len(good.seen) == 8


def test_a_non_idempotent_request_that_may_have_been_executed_is_not_retried(tmp_path: Path) -> None:
    broken, spare = (
        UpstreamServer("a", lambda _request, _wire: None),
        UpstreamServer("b", lambda _request, _wire: None),
    )
    with Deployment(tmp_path, broken, spare) as sidecar:
        assert [sidecar.send_class_request("pay").status for _ in range(4)] == [502] * 4
        assert len(broken.seen) + len(spare.seen) == 4


INVALID_RESPONSES: dict[str, bytes | None] = {
    "connection closed": None,
    "malformed": b"\x00\x01\x02\r\n\r\n",
    "declared body too large": b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + b"x" * 100_000,
    "error status": http_response(b"no", 500),
}


@pytest.mark.parametrize("reply", INVALID_RESPONSES.values(), ids=INVALID_RESPONSES)
def test_an_invalid_response_fails_only_its_own_request(tmp_path: Path, reply: bytes | None) -> None:
    server = UpstreamServer("a", lambda _request, _wire: reply)
    with Deployment(tmp_path, server) as sidecar:
        assert sidecar.send_class_request("pay").status == 502
        server.script = lambda _request, _wire: http_response(
            b"ok", 200, "Endpoint-Load-Metrics: TEXT depth=\xff,="
        )
        assert sidecar.send_class_request("look").status == 200


def test_a_large_response_is_served(tmp_path: Path) -> None:
    # A response that exceeds the buffer must not count as invalid and cause a retry at another upstream.
    body = bytes(range(256)) * 1400
    server = UpstreamServer("a", lambda _request, _wire: http_response(body))
    with Deployment(tmp_path, server) as sidecar:
        assert sidecar.send_class_request("pay").body == body
        assert len(server.seen) == 1


def test_a_truncated_response_is_not_forwarded(tmp_path: Path) -> None:
    def send_half(_request: HttpMessage, wire: HttpConnection) -> None:
        wire.sock.sendall(http_response(b"x" * 1000)[:500])

    with Deployment(tmp_path, UpstreamServer("a", send_half)) as sidecar:
        reply = sidecar.send_class_request("pay")
        assert (reply.status, reply.body) == (502, b"")


def test_a_silent_upstream_fails_only_its_own_request_and_is_disconnected(tmp_path: Path) -> None:
    server = UpstreamServer(
        "a", lambda request, wire: never_respond(request, wire) if request.body else http_response(b"ok")
    )
    with Deployment(tmp_path, server) as sidecar:
        stuck = sidecar.connect()
        stuck.sock.sendall(class_request("pay", "0.4", b"hold"))
        wait_until(lambda: server.seen)
        assert sidecar.send_class_request().status == 200
        reply = stuck.read()
        assert reply
        assert reply.status == 502
        wait_until(lambda: server.closed, "the sidecar closed the connection")
        stuck.sock.close()


def test_a_client_disconnect_cancels_the_attempt_in_flight(tmp_path: Path) -> None:
    server = UpstreamServer("a", never_respond)
    with Deployment(tmp_path, server) as sidecar:
        wire = sidecar.connect()
        wire.sock.sendall(class_request(expires="2.0"))
        wait_until(lambda: server.seen)
        wire.sock.close()
        wait_until(lambda: server.closed, "the attempt was cancelled")
        server.script = lambda _request, _wire: http_response(b"ok")
        assert sidecar.send_class_request().status == 200
        sidecar.end()
        assert final_counts(sidecar.log())["disconnected"] == 1


def test_a_draining_endpoint_gets_no_new_requests_and_its_connections_are_closed(tmp_path: Path) -> None:
    a, b = UpstreamServer("a"), UpstreamServer("b")
    deployment = Deployment(tmp_path, a, b)
    with deployment as sidecar:
        wait_until(lambda: sidecar.send_class_request("pay").body == b"a")
        wait_until(lambda: deployment.discovery.calls)
        deployment.discovery.change(a.entry(state="DRAINING"))
        wait_until(lambda: a.closed == len(a.connections))
        seen = len(a.seen)
        assert {sidecar.send_class_request("pay").body for _ in range(10)} == {b"b"}
        assert len(a.seen) == seen


def test_a_changed_address_of_an_endpoint_is_used(tmp_path: Path) -> None:
    a, moved = UpstreamServer("a"), UpstreamServer("moved")
    deployment = Deployment(tmp_path, a)
    with deployment as sidecar:
        assert sidecar.send_class_request().body == b"a"
        wait_until(lambda: deployment.discovery.calls)
        deployment.discovery.change(a.entry(addr=moved.address))
        wait_until(lambda: sidecar.send_class_request().body == b"moved")
    moved.close()


def test_http_1_0_connections_are_closed_unless_keep_alive_is_requested(tmp_path: Path) -> None:
    with Deployment(tmp_path, UpstreamServer("a")) as sidecar:
        for header, is_kept in ((b"", False), (b"Connection: keep-alive\r\n", True)):
            wire = sidecar.connect()
            for _ in range(1 + is_kept):
                wire.sock.sendall(class_request().replace(b"HTTP/1.1\r\n", b"HTTP/1.0\r\n" + header))
                reply = wire.read()
                assert reply
                assert reply.status == 200
            assert is_kept or wire.wait_for_close()
            wire.sock.close()


def test_idle_connections_are_closed_before_the_upstream_closes_them(tmp_path: Path) -> None:
    server = UpstreamServer("a")
    with Deployment(tmp_path, server, keepaliveUs=500 * MS, dialTimeoutUs=SECOND) as sidecar:
        assert sidecar.send_class_request().status == 200
        wait_until(lambda: server.closed == 1, "the idle connection was closed")


def test_a_request_writes_no_log_line(tmp_path: Path) -> None:
    with Deployment(tmp_path, UpstreamServer("a")) as sidecar:
        lines = len(sidecar.log().splitlines())
        for _ in range(10):
            sidecar.send_class_request()
        assert len(sidecar.log().splitlines()) == lines
        assert not re.search("Traceback|error", sidecar.log())
