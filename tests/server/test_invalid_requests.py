"""Bytes that are no valid request, sent to the program over sockets."""

from __future__ import annotations

import threading
from pathlib import Path
from typing import Any

import pytest

from tests.support.http import HttpConnection, HttpMessage, class_request, http_request, http_response
from tests.support.servers import UpstreamServer
from tests.support.sidecar_process import Deployment, SidecarProcess
from tests.support.waiting import wait_until

VALID_HEADERS = ("X-Trace-Id: 1", "X-Expires-In: 2.0")


CONTRADICTORY_LENGTHS = ("Content-Length: 5", "Transfer-Encoding: chunked")


INVALID_REQUESTS: list[tuple[str, bytes, int]] = [
    ("not HTTP", b"HELLO\r\n\r\n", 400),
    ("an unknown class", http_request("/other/k", "GET", *VALID_HEADERS), 400),
    ("no class", http_request("/", "GET", *VALID_HEADERS), 400),
    ("no id", http_request("/look/k", "GET", "X-Expires-In: 2.0"), 400),
    ("no deadline", http_request("/look/k", "GET", "X-Trace-Id: 1"), 400),
    ("a deadline that is no number", class_request(expires="soon"), 400),
    ("a deadline that is not finite", class_request(expires="nan"), 400),
    ("a negative deadline", class_request(expires="-1"), 400),
    ("a deadline already over", class_request(expires="0"), 504),
    (
        "two lengths",
        http_request("/look/k", "POST", *VALID_HEADERS, "Content-Length: 1", "Content-Length: 2"),
        400,
    ),
    (
        "a length twice",
        http_request("/look/k", "POST", *VALID_HEADERS, "Content-Length: 0", "Content-Length: 0"),
        400,
    ),
    (
        "a length with a sign",
        http_request("/look/k", "POST", *VALID_HEADERS, "Content-Length: +1") + b"x",
        400,
    ),
    ("a negative length", http_request("/look/k", "POST", *VALID_HEADERS, "Content-Length: -1") + b"x", 400),
    (
        "a length with a space",
        http_request("/look/k", "POST", *VALID_HEADERS, "Content-Length: 1 1") + b"x",
        400,
    ),
    (
        "a length and chunks",
        http_request("/look/k", "POST", *VALID_HEADERS, *CONTRADICTORY_LENGTHS)
        + b"0\r\n\r\n"
        + class_request(),
        400,
    ),
    (
        "chunks and a length",
        http_request("/look/k", "POST", *VALID_HEADERS, *CONTRADICTORY_LENGTHS[::-1])
        + b"0\r\n\r\n"
        + class_request(),
        400,
    ),
    (
        "a wrong chunk size",
        http_request("/look/k", "POST", *VALID_HEADERS, CONTRADICTORY_LENGTHS[1]) + b"zz\r\n",
        400,
    ),
    (
        "a huge chunk size",
        http_request("/look/k", "POST", *VALID_HEADERS, CONTRADICTORY_LENGTHS[1])
        + b"fffffff\r\n"
        + b"x" * 70_000,
        408,
    ),
    (
        "a chunk size beyond all",
        http_request("/look/k", "POST", *VALID_HEADERS, CONTRADICTORY_LENGTHS[1]) + b"f" * 40 + b"\r\n",
        400,
    ),
    ("a deadline with other signs", class_request(expires="1_0"), 400),
    ("a body too large", http_request("/look/k", "POST", *VALID_HEADERS, "Content-Length: 33554433"), 413),
    (
        "a body too large, sent",
        http_request("/look/k", "POST", *VALID_HEADERS, "Content-Length: 33600000") + b"x" * 200_000,
        413,
    ),
    ("a head too large", http_request("/look/k", "GET", *VALID_HEADERS, "X-A: " + "y" * 50_000), 431),
]


@pytest.fixture(scope="module")
def serving(tmp_path_factory: pytest.TempPathFactory) -> Any:
    server = UpstreamServer("a")
    with Deployment(tmp_path_factory.mktemp("bad"), server) as sidecar:
        yield sidecar, server


@pytest.mark.parametrize(
    ("data", "status"), [bad[1:] for bad in INVALID_REQUESTS], ids=[bad[0] for bad in INVALID_REQUESTS]
)
def test_an_invalid_request_is_rejected_without_the_policy(
    serving: tuple[SidecarProcess, UpstreamServer], data: bytes, status: int
) -> None:
    sidecar, server = serving
    seen = len(server.seen)
    assert sidecar.exchange(data).status == status
    assert len(server.seen) == seen
    assert sidecar.send_class_request().status == 200


def test_a_complete_request_is_served_before_invalid_bytes_behind_it_are_rejected(
    serving: tuple[SidecarProcess, UpstreamServer],
) -> None:
    # what comes behind a request in the same bytes must not lose it
    wire = serving[0].connect()
    wire.sock.sendall(class_request() + class_request() + b"NONSENSE\r\n\r\n")
    assert [reply and reply.status for reply in (wire.read(), wire.read(), wire.read())] == [200, 200, 400]
    assert wire.wait_for_close()
    wire.sock.close()


def test_a_request_id_that_is_in_flight_or_ended_lately_is_rejected(tmp_path: Path) -> None:
    # one client's request must not run, nor be answered, under the id of another's
    let = threading.Event()

    def script(request: HttpMessage, _wire: HttpConnection) -> bytes:
        let.wait(20)
        return http_response(request.target.encode())

    server = UpstreamServer("a", script)
    with Deployment(tmp_path, server) as sidecar:
        first = sidecar.connect()
        first.sock.sendall(http_request("/look/mine", "GET", "X-Trace-Id: 7", "X-Expires-In: 2.0"))
        wait_until(lambda: server.seen)
        copy = http_request("/look/theirs", "GET", "X-Trace-Id: 7", "X-Expires-In: 2.0")
        assert sidecar.exchange(copy).status == 409
        let.set()
        reply = first.read()
        assert reply
        assert reply.body == b"/look/mine"
        assert sidecar.exchange(copy).status == 409
        assert len(server.seen) == 1
        first.sock.close()


def test_nothing_behind_an_invalid_request_is_served(serving: tuple[SidecarProcess, UpstreamServer]) -> None:
    sidecar, server = serving
    seen = len(server.seen)
    for data in (http_request("/other/k", "GET", *VALID_HEADERS), http_request("/look/k", "GET")):
        wire = sidecar.connect()
        wire.sock.sendall(data + class_request())
        reply = wire.read()
        assert reply
        assert reply.status == 400
        assert wire.wait_for_close()
        wire.sock.close()
    assert len(server.seen) == seen


def test_a_client_that_closes_within_a_request_does_no_harm(
    serving: tuple[SidecarProcess, UpstreamServer],
) -> None:
    sidecar, _ = serving
    for data in (b"", b"GET /lo", class_request(body=b"hello")[:-2]):
        wire = sidecar.connect()
        wire.sock.sendall(data)
        wire.sock.close()
    assert sidecar.send_class_request().status == 200


def test_a_very_long_timeout_is_accepted(serving: tuple[SidecarProcess, UpstreamServer]) -> None:
    assert serving[0].send_class_request(expires="1e300").status == 200
