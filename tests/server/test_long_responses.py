"""Long responses: forwarded as they arrive, with any framing; an aborted one is recognisable as such."""

from __future__ import annotations

import socket
import threading
import time
from pathlib import Path

import pytest

from linetrack.server.http1.limits import MAX_BUFFERED_BODY_BYTES
from tests.server.admin_client import enable_admin, outcome_metric, read_metrics
from tests.server.long_messages import (
    LONG_BODY,
    MB,
    RESPONSE_FORMS,
    chunked_response,
    read_response,
    request_head,
    resident_bytes,
)
from tests.support.http import HttpConnection, HttpMessage, http_response
from tests.support.servers import UpstreamServer
from tests.support.sidecar_process import Deployment
from tests.support.waiting import wait_until


@pytest.mark.parametrize("form", RESPONSE_FORMS)
@pytest.mark.parametrize("size", [1000, MAX_BUFFERED_BODY_BYTES, 66_000, 131_000, len(LONG_BODY)])
def test_a_response_of_any_framing_and_size_arrives_unchanged(tmp_path: Path, form: str, size: int) -> None:
    # A response that exceeds the buffer and ends within the same read must not lose its body.
    def script(_message: HttpMessage, wire: HttpConnection) -> bytes | None:
        data = RESPONSE_FORMS[form](LONG_BODY[:size])
        if form in ("until close", "1.0"):
            wire.sock.sendall(data)
            return None
        return data

    with Deployment(tmp_path, UpstreamServer("a", script)) as sidecar:
        for version in ("1.1", "1.0"):
            wire = sidecar.connect()
            with wire.sock:
                wire.sock.sendall(
                    request_head("look", f"v{version}").replace(b"HTTP/1.1", f"HTTP/{version}".encode())
                )
                head, body = read_response(wire.sock)
            assert head.startswith(b"http/1.1 200")
            assert body == LONG_BODY[:size]
            assert version == "1.1" or b"chunked" not in head


def test_a_long_response_is_forwarded_from_its_first_bytes_and_beyond_the_timeout(tmp_path: Path) -> None:
    may_continue = threading.Event()

    def script(_message: HttpMessage, wire: HttpConnection) -> bytes:
        wire.sock.sendall(http_response(LONG_BODY)[:100_000])
        assert may_continue.wait(20)
        return http_response(LONG_BODY)[100_000:]

    deployment = Deployment(tmp_path, UpstreamServer("a", script))
    address = enable_admin(deployment.sidecar)
    with deployment as sidecar:
        wire = sidecar.connect()
        with wire.sock:
            request = request_head("look", "1").replace(b"X-Expires-In: 2.0", b"X-Expires-In: 0.2")
            wire.sock.sendall(request)
            first_bytes = wire.sock.recv(60_000)
            assert first_bytes.startswith(b"HTTP/1.1 200")
            assert read_metrics(address)["app_open_requests"] == 1
            time.sleep(0.4)  # until after the timeout of the request
            may_continue.set()
            received = first_bytes
            while len(received) < len(LONG_BODY):
                received += wire.sock.recv(100_000)
        assert received.endswith(LONG_BODY)
        wait_until(lambda: read_metrics(address)[outcome_metric("look", "fulfilled")] == 1)
        assert read_metrics(address)["app_open_requests"] == 0


@pytest.mark.parametrize("form", ["length", "chunks", "1.0 client"])
def test_an_aborted_response_is_recognisable_as_incomplete(tmp_path: Path, form: str) -> None:
    def script(_message: HttpMessage, wire: HttpConnection) -> None:
        wire.sock.sendall(
            (http_response(LONG_BODY) if form == "length" else chunked_response(LONG_BODY))[:150_000]
        )

    deployment = Deployment(tmp_path, server := UpstreamServer("a", script))
    address = enable_admin(deployment.sidecar)
    with deployment as sidecar:
        wire = sidecar.connect()
        with wire.sock:
            request = request_head("look", "1")
            wire.sock.sendall(request.replace(b"HTTP/1.1", b"HTTP/1.0") if form == "1.0 client" else request)
            with pytest.raises((AssertionError, ConnectionResetError)):
                read_response(wire.sock)
        assert len(server.seen) == 1, "a request whose response has begun was retried"
        wait_until(lambda: read_metrics(address)[outcome_metric("look", "faulted")] == 1)


def test_a_slow_client_gets_the_whole_body_and_a_disconnect_ends_the_upstreams_response(
    tmp_path: Path,
) -> None:
    body = LONG_BODY * 96  # 24 MiB, more than the socket buffers of the kernel hold
    ended = threading.Event()

    def script(_message: HttpMessage, wire: HttpConnection) -> None:
        try:
            wire.sock.sendall(http_response(body))
        finally:
            ended.set()

    deployment = Deployment(tmp_path, UpstreamServer("a", script))
    deployment.sidecar.config["limits"]["memory_mb"] = 32
    with deployment as sidecar:
        wire = sidecar.connect()
        with wire.sock:
            wire.sock.sendall(request_head("look", "1"))
            time.sleep(0.3)
            assert not ended.is_set(), "the sidecar read the response faster than the client did"
            _, received = read_response(wire.sock)
            assert received == body
        ended.clear()
        disconnecting = sidecar.connect()
        disconnecting.sock.sendall(request_head("look", "2"))
        disconnecting.sock.recv(1000)
        disconnecting.sock.close()
        assert ended.wait(20), "the upstream still writes after the client has disconnected"
        assert resident_bytes(sidecar) < 64 * MB


def test_a_client_connection_is_reused_after_the_response_to_head(tmp_path: Path) -> None:
    def script(message: HttpMessage, _wire: HttpConnection) -> bytes:
        if message.start.startswith("HEAD"):
            return b"HTTP/1.1 200 OK\r\nContent-Length: 400000\r\n\r\n"
        return http_response(message.target.encode())

    with Deployment(tmp_path, UpstreamServer("a", script)) as sidecar:
        wire = sidecar.connect()
        with wire.sock:
            wire.sock.sendall(request_head("look", "1", method="HEAD"))
            head, _ = read_response(wire.sock, has_body=False)
            assert b"200" in head
            assert b"content-length: 400000" in head
            wire.sock.sendall(request_head("look", "2"))
            assert read_response(wire.sock)[1] == b"/look/k"


def test_the_helper_reads_responses_that_arrive_together_one_by_one() -> None:
    ours, theirs = socket.socketpair()
    with ours, theirs:
        theirs.sendall(http_response(b"one") + chunked_response(b"two") + http_response(b"three"))
        ours.settimeout(5)
        assert [read_response(ours)[1] for _ in range(3)] == [b"one", b"two", b"three"]


def test_a_response_without_a_length_that_is_written_slowly_is_not_cut_off(tmp_path: Path) -> None:
    """Guards against a response that was held back until it exceeded the buffer, beyond the deadline."""

    def script(_message: HttpMessage, wire: HttpConnection) -> bytes:
        wire.sock.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        for _ in range(30):
            wire.sock.sendall(b"%x\r\n%b\r\n" % (2000, bytes(2000)))
            time.sleep(0.1)
        return b"0\r\n\r\n"

    with Deployment(tmp_path, UpstreamServer("a", script)) as sidecar, sidecar.connect().sock as sock:
        started_at = time.monotonic()
        sock.sendall(request_head("look", "1"))
        sock.recv(1, socket.MSG_PEEK)
        assert time.monotonic() - started_at < 2.0
        head, body = read_response(sock)
        assert head.startswith(b"http/1.1 200")
        assert body == bytes(60_000)
