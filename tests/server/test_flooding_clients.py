"""Clients that send at full speed: they neither delay other clients nor use up the memory."""

from __future__ import annotations

import contextlib
import itertools
import socket
import threading
import time
from pathlib import Path

import pytest

from linetrack.server.http1.requests import RequestReader
from linetrack.server.listener import Listener
from tests.server.listener_client import StoppedDispatcher, connect
from tests.support.http import class_request, http_request
from tests.support.servers import UpstreamServer
from tests.support.sidecar_process import Deployment
from tests.support.waiting import run_until

HEALTH = b"GET /_health HTTP/1.1\r\n\r\n"
SHORT_REQUEST = b"GET /x HTTP/1.1\r\n\r\n"
CHUNKED_HEAD = http_request(
    "/look/k", "POST", "X-Trace-Id: f", "X-Expires-In: 2.0", "Transfer-Encoding: chunked"
)
FLOODS = {
    "readiness checks": (b"", HEALTH * 500),
    "blank lines": (HEALTH, b"\r\n" * 30_000),
    "tiny chunks": (CHUNKED_HEAD, b"1;a=b\r\nx\r\n" * 5000),
}


@pytest.mark.parametrize("kind", FLOODS)
def test_one_flooding_connection_does_not_delay_other_clients(tmp_path: Path, kind: str) -> None:
    """Guards against a connection that never waits: nobody else was served while it sent."""
    first, repeated = FLOODS[kind]
    is_over = threading.Event()

    def read(sock: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while sock.recv(65536):
                pass

    with Deployment(tmp_path, UpstreamServer("a")) as sidecar:

        def flood() -> None:
            while not is_over.is_set():
                with sidecar.connect().sock as sock, contextlib.suppress(OSError):
                    threading.Thread(target=read, args=(sock,), daemon=True).start()
                    sock.sendall(first)
                    while not is_over.is_set():
                        sock.sendall(repeated)

        thread = threading.Thread(target=flood)
        thread.start()
        try:
            for _ in range(20):
                started_at = time.monotonic()
                assert sidecar.send_class_request().status == 200
                assert time.monotonic() - started_at < 2.0
        finally:
            is_over.set()
            thread.join()


def test_requests_that_arrive_at_once_take_turns_with_those_of_other_clients(listener: Listener) -> None:
    flooding, other = connect(listener), connect(listener)
    run_until(lambda: len(listener.connections) == 2)
    flooding_connection, _ = listener.connections.values()
    flooding.sendall(HEALTH * 2000)
    other.sendall(HEALTH)
    assert other.recv(65536).startswith(b"HTTP/1.1 200")
    assert flooding_connection.response_count < 100


def test_few_of_many_short_requests_are_parsed_at_once() -> None:
    """Guards against memory used up by many clients: 64 KB of short requests needed megabytes."""
    reader = RequestReader()
    count = 3000
    reader.add(SHORT_REQUEST * count)
    parsed = [len(reader.parse_next()) for _ in range(count) if reader.has_unparsed_bytes]
    assert sum(parsed) == count
    assert max(parsed) <= 1 + 1024 // len(SHORT_REQUEST)


@pytest.mark.parametrize("sizes", list(itertools.product((0, 1, 5000, 70_000), repeat=2)))
def test_requests_with_bodies_that_arrive_at_once_are_parsed_completely(sizes: tuple[int, ...]) -> None:
    data = b"".join(class_request(body=bytes(size)) for size in sizes)
    whole = RequestReader().feed(data)
    reader = RequestReader()
    reader.add(data[:700])
    requests = reader.parse_next()
    reader.add(data[700:])
    while reader.has_unparsed_bytes:
        requests += reader.parse_next()
    assert [request.trace_id for request in requests] == [request.trace_id for request in whole]
    assert [len(r.body) + sum(map(len, r.body_chunks)) for r in requests] == list(sizes)
    assert not reader.has_begun_request


def test_a_complete_request_is_served_although_an_invalid_one_follows_it(
    listener: Listener, dispatcher: StoppedDispatcher
) -> None:
    """Guards against a large invalid request that ended the connection before the first was dispatched."""
    sock = connect(listener)
    invalid = http_request("/unknown/k", "POST", "X-Trace-Id: i", "X-Expires-In: 1", "Content-Length: 20000")
    sock.sendall(class_request() + invalid)
    run_until(lambda: dispatcher.requests)
