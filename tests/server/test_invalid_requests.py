"""Invalid requests, sent to the program over sockets."""

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


CONFLICTING_FRAMINGS = ("Content-Length: 5", "Transfer-Encoding: chunked")


INVALID_REQUESTS: list[tuple[str, bytes, int]] = [
    ("not HTTP", b"HELLO\r\n\r\n", 400),
    ("unknown class", http_request("/other/k", "GET", *VALID_HEADERS), 400),
    ("no class", http_request("/", "GET", *VALID_HEADERS), 400),
    ("no request id", http_request("/look/k", "GET", "X-Expires-In: 2.0"), 400),
    ("no timeout", http_request("/look/k", "GET", "X-Trace-Id: 1"), 400),
    ("non-numeric timeout", class_request(expires="soon"), 400),
    ("non-finite timeout", class_request(expires="nan"), 400),
    ("negative timeout", class_request(expires="-1"), 400),
    ("expired timeout", class_request(expires="0"), 504),
    (
        "conflicting lengths",
        http_request("/look/k", "POST", *VALID_HEADERS, "Content-Length: 1", "Content-Length: 2"),
        400,
    ),
    (
        "repeated length",
        http_request("/look/k", "POST", *VALID_HEADERS, "Content-Length: 0", "Content-Length: 0"),
        400,
    ),
    (
        "length with a sign",
        http_request("/look/k", "POST", *VALID_HEADERS, "Content-Length: +1") + b"x",
        400,
    ),
    ("negative length", http_request("/look/k", "POST", *VALID_HEADERS, "Content-Length: -1") + b"x", 400),
    (
        "length with a space",
        http_request("/look/k", "POST", *VALID_HEADERS, "Content-Length: 1 1") + b"x",
        400,
    ),
    (
        "length, then chunked coding",
        http_request("/look/k", "POST", *VALID_HEADERS, *CONFLICTING_FRAMINGS)
        + b"0\r\n\r\n"
        + class_request(),
        400,
    ),
    (
        "chunked coding, then length",
        http_request("/look/k", "POST", *VALID_HEADERS, *CONFLICTING_FRAMINGS[::-1])
        + b"0\r\n\r\n"
        + class_request(),
        400,
    ),
    (
        "invalid chunk size",
        http_request("/look/k", "POST", *VALID_HEADERS, CONFLICTING_FRAMINGS[1]) + b"zz\r\n",
        400,
    ),
    (
        "huge chunk size",
        http_request("/look/k", "POST", *VALID_HEADERS, CONFLICTING_FRAMINGS[1])
        + b"fffffff\r\n"
        + b"x" * 70_000,
        408,
    ),
    (
        "overflowing chunk size",
        http_request("/look/k", "POST", *VALID_HEADERS, CONFLICTING_FRAMINGS[1]) + b"f" * 40 + b"\r\n",
        400,
    ),
    ("timeout with an underscore", class_request(expires="1_0"), 400),
    ("body too large", http_request("/look/k", "POST", *VALID_HEADERS, "Content-Length: 33554433"), 413),
    (
        "body too large, partly sent",
        http_request("/look/k", "POST", *VALID_HEADERS, "Content-Length: 33600000") + b"x" * 200_000,
        413,
    ),
    ("head too large", http_request("/look/k", "GET", *VALID_HEADERS, "X-A: " + "y" * 50_000), 431),
]


@pytest.fixture(scope="module")
def serving(tmp_path_factory: pytest.TempPathFactory) -> Any:
    server = UpstreamServer("a")
    with Deployment(tmp_path_factory.mktemp("bad"), server) as sidecar:
        yield sidecar, server


@pytest.mark.parametrize(
    ("data", "status"), [bad[1:] for bad in INVALID_REQUESTS], ids=[bad[0] for bad in INVALID_REQUESTS]
)
def test_an_invalid_request_is_rejected_and_not_forwarded(
    serving: tuple[SidecarProcess, UpstreamServer], data: bytes, status: int
) -> None:
    sidecar, server = serving
    seen = len(server.seen)
    assert sidecar.exchange(data).status == status
    assert len(server.seen) == seen
    assert sidecar.send_class_request().status == 200


def test_complete_requests_are_served_before_invalid_bytes_after_them_are_rejected(
    serving: tuple[SidecarProcess, UpstreamServer],
) -> None:
    # Invalid bytes that arrive together with complete requests must not cause these to be lost.
    wire = serving[0].connect()
    wire.sock.sendall(class_request() + class_request() + b"NONSENSE\r\n\r\n")
    assert [reply and reply.status for reply in (wire.read(), wire.read(), wire.read())] == [200, 200, 400]
    assert wire.wait_for_close()
    wire.sock.close()


def test_a_request_id_that_is_in_flight_or_was_used_recently_is_rejected(tmp_path: Path) -> None:
    # A request must neither be executed nor get a response under the identifier of another client's request.
    may_respond = threading.Event()

    def script(request: HttpMessage, _wire: HttpConnection) -> bytes:
        may_respond.wait(20)
        return http_response(request.target.encode())

    server = UpstreamServer("a", script)
    with Deployment(tmp_path, server) as sidecar:
        first = sidecar.connect()
        first.sock.sendall(http_request("/look/mine", "GET", "X-Trace-Id: 7", "X-Expires-In: 2.0"))
        wait_until(lambda: server.seen)
        copy = http_request("/look/theirs", "GET", "X-Trace-Id: 7", "X-Expires-In: 2.0")
        assert sidecar.exchange(copy).status == 409
        may_respond.set()
        reply = first.read()
        assert reply
        assert reply.body == b"/look/mine"
        assert sidecar.exchange(copy).status == 409
        assert len(server.seen) == 1
        first.sock.close()


def test_a_request_after_an_invalid_one_is_not_served(serving: tuple[SidecarProcess, UpstreamServer]) -> None:
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


def test_a_client_that_closes_within_a_request_does_not_affect_others(
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
