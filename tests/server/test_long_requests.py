"""Long requests: buffered while memory allows, else streamed; slow clients and stalled ones."""

from __future__ import annotations

import socket
import threading
import time
from pathlib import Path

import pytest

from tests.server.long_messages import (
    LONG_BODY,
    MB,
    encode_chunks,
    read_response,
    request_head,
    resident_bytes,
)
from tests.support.http import HttpConnection, HttpMessage, http_response
from tests.support.servers import UpstreamServer
from tests.support.sidecar_process import Deployment


def body_digest(body: bytes) -> bytes:
    return b"%d %d" % (len(body), hash(body) % 1000)


def respond_with_digest(message: HttpMessage, wire: HttpConnection) -> bytes:
    """An upstream's script: read a body, chunked ones too, and respond with its digest."""
    body = message.body
    if "chunked" in message.headers.get("transfer-encoding", ""):
        rest = wire.buffer
        while not rest.endswith(b"0\r\n\r\n"):
            rest += wire.sock.recv(65536)
        wire.buffer, body = b"", b""
        while rest != b"0\r\n\r\n":
            line, _, rest = rest.partition(b"\r\n")
            size = int(line, 16)
            body += rest[:size]
            rest = rest[size + 2 :]
    return http_response(body_digest(body))


@pytest.mark.parametrize("memory_mb", [24, 192])  # all is streamed; all is buffered
@pytest.mark.parametrize("form", ["length", "chunks", "expect", "pieces"])
def test_a_long_body_arrives_completely_and_so_does_a_pipelined_request(
    tmp_path: Path, form: str, memory_mb: int
) -> None:
    world = Deployment(tmp_path, server := UpstreamServer("a", respond_with_digest))
    world.sidecar.config["limits"]["memory_mb"] = memory_mb
    body = LONG_BODY * 5
    with world as sidecar:
        wire = sidecar.connect()
        with wire.sock:
            if form == "chunks":
                head = request_head("look", "1", "Transfer-Encoding: chunked", method="POST")
                chunks = encode_chunks(body, trailer=b"X-Trace-Id: evil\r\n")
                wire.sock.sendall(head + chunks + request_head("look", "2"))
            else:
                fields = [
                    f"Content-Length: {len(body)}",
                    *(["Expect: 100-continue"] if form == "expect" else []),
                ]
                wire.sock.sendall(request_head("look", "1", *fields, method="POST"))
                if form == "expect":
                    assert wire.sock.recv(100).startswith(b"HTTP/1.1 100")
                step = 200_001 if form == "pieces" else len(body)
                for at in range(0, len(body), step):
                    wire.sock.sendall(body[at : at + step])
                    time.sleep(0.01)
                wire.sock.sendall(request_head("look", "2"))
            assert read_response(wire.sock)[1] == body_digest(body)
            assert read_response(wire.sock)[1] == body_digest(b"")
        assert [seen.headers["x-trace-id"] for seen in server.seen] == ["1", "2"]


def test_a_buffered_body_is_retried_elsewhere_and_a_streamed_one_is_rejected(tmp_path: Path) -> None:
    """An upstream that closes the connection within the body has not executed the request."""

    class ClosingUpstream(UpstreamServer):
        def serve_connection(self, wire: HttpConnection) -> None:
            wire.sock.recv(1000)

    for memory_mb, statuses in ((192, {200}), (24, {200, 503})):
        folder = tmp_path / str(memory_mb)
        folder.mkdir()
        world = Deployment(folder, ClosingUpstream("a"), good := UpstreamServer("b", respond_with_digest))
        world.sidecar.config["limits"]["memory_mb"] = memory_mb
        got = set()
        with world as sidecar:
            for turn in range(12):
                with sidecar.connect().sock as sock:
                    sock.sendall(request_head("pay", f"{turn}", f"Content-Length: {4 * MB}", method="POST"))
                    try:
                        sock.sendall(bytes(4 * MB))
                    except OSError:
                        continue
                    head, _ = read_response(sock)
                got.add(int(head.split()[1]))
                assert got <= statuses
        assert 200 in got
        assert good.seen


def test_a_slow_head_and_a_slow_body_are_served_and_a_stalled_one_times_out(tmp_path: Path) -> None:
    with Deployment(tmp_path, server := UpstreamServer("a", respond_with_digest)) as sidecar:
        slow, stalled = sidecar.connect(), sidecar.connect()
        body = bytes(160_000)
        data = request_head("look", "1", f"Content-Length: {len(body)}", method="POST")
        stalled_head = request_head("look", "2", f"Content-Length: {len(body)}", method="POST")
        stalled.sock.sendall(stalled_head + body[:50_000])
        slow.sock.sendall(data[:-1])
        time.sleep(1.5)
        slow.sock.sendall(data[-1:])
        for at in range(0, len(body), 16_000):  # 64 kB/s
            time.sleep(0.25)
            slow.sock.sendall(body[at : at + 16_000])
        assert read_response(slow.sock)[1] == body_digest(body)
        assert read_response(stalled.sock)[0].startswith(b"http/1.1 408")
        assert [seen.headers["x-trace-id"] for seen in server.seen] == ["1"]
        slow.sock.close()
        stalled.sock.close()


def test_a_flood_of_long_bodies_leaves_memory_for_small_requests(tmp_path: Path) -> None:
    def respond_and_drop_body(message: HttpMessage, wire: HttpConnection) -> bytes:
        response = respond_with_digest(message, wire)
        message.body = b""  # upstream servers keep the messages they saw: here hundreds of megabytes
        return response

    world = Deployment(tmp_path, *(UpstreamServer(name, respond_and_drop_body) for name in "abc"))
    world.sidecar.config["limits"]["memory_mb"] = 48
    with world as sidecar:
        stop = threading.Event()

        def send_long_bodies(number: int) -> None:
            while not stop.is_set():
                with sidecar.connect().sock as sock:
                    trace = f"{number}-{time.monotonic()}"
                    sock.sendall(request_head("look", trace, f"Content-Length: {8 * MB}", method="POST"))
                    for _ in range(8):
                        sock.sendall(bytes(MB))
                    assert read_response(sock)[0].split()[1] in (b"200", b"503")

        threads = [threading.Thread(target=send_long_bodies, args=(n,), daemon=True) for n in range(8)]
        for thread in threads:
            thread.start()
        max_resident = 0
        for _ in range(40):
            assert sidecar.send_class_request("look").status in (200, 503)
            max_resident = max(max_resident, resident_bytes(sidecar))
        stop.set()
        for thread in threads:
            thread.join(20)
        assert max_resident < 80 * MB


def test_a_client_that_announced_its_half_close_gets_its_response(tmp_path: Path) -> None:
    def script(_message: HttpMessage, _wire: HttpConnection) -> bytes:
        time.sleep(0.1)
        return http_response(b"ok")

    with Deployment(tmp_path, UpstreamServer("a", script)) as sidecar:
        wire = sidecar.connect()
        with wire.sock:
            wire.sock.sendall(request_head("pay", "1", "Connection: close"))
            wire.sock.shutdown(socket.SHUT_WR)
            assert read_response(wire.sock)[1] == b"ok"
