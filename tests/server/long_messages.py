"""Helpers for long messages: encoding them, and reading responses with any framing."""

from __future__ import annotations

import re
import socket
from collections.abc import Callable
from pathlib import Path

from tests.support.http import http_request, http_response
from tests.support.sidecar_process import SidecarProcess

MB = 1024 * 1024
LONG_BODY = bytes(range(256)) * 1024  # 256 KiB


def request_head(class_name: str, request_id: str, *headers: str, method: str = "GET") -> bytes:
    """Return the head of a valid request."""
    return http_request(
        f"/{class_name}/k", method, f"X-Trace-Id: {request_id}", "X-Expires-In: 2.0", *headers
    )


def encode_chunks(body: bytes, size: int = 10_000, extension: bytes = b"", trailer: bytes = b"") -> bytes:
    """Return a body in chunked transfer coding, in chunks of `size` bytes."""
    parts = [body[start : start + size] for start in range(0, len(body), size)]
    framed = b"".join(b"%x%b\r\n%b\r\n" % (len(part), extension, part) for part in parts)
    return framed + b"0\r\n" + trailer + b"\r\n"


def chunked_response(body: bytes, extension: bytes = b"", trailer: bytes = b"") -> bytes:
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    return head + encode_chunks(body, extension=extension, trailer=trailer)


def read_response(sock: socket.socket, has_body: bool = True) -> tuple[bytes, bytes]:
    """Return the head and the body of one response; raises an AssertionError if it is truncated."""
    # Unbuffered, so that no bytes of the next response are lost with this reader.
    file = sock.makefile("rb", buffering=0)

    def read_exactly(size: int) -> bytes:
        data = bytearray()
        while len(data) < size and (chunk := file.read(size - len(data))):
            data += chunk
        return bytes(data)

    lines = []
    while (line := file.readline()) not in (b"\r\n", b""):
        lines.append(line)
    head = b"".join(lines).lower()
    if not has_body:
        return head, b""
    if found := re.search(rb"content-length: (\d+)", head):
        body = read_exactly(int(found[1]))
        assert len(body) == int(found[1]), "the body is shorter than its declared length"
        return head, body
    if b"chunked" not in head:
        return head, file.read()
    body = b""
    while size := int(file.readline() or b"-1", 16):
        assert size > 0, "the response ends before its last chunk"
        body += read_exactly(size)
        file.readline()
    while file.readline() not in (b"\r\n", b""):
        pass  # skip the trailer
    return head, body


RESPONSE_FORMS: dict[str, Callable[[bytes], bytes]] = {
    "length": lambda body: http_response(body),
    "chunks": chunked_response,
    "extensions and a trailer": lambda body: chunked_response(body, extension=b";a=1", trailer=b"X-T: 1\r\n"),
    "1xx ahead": lambda body: b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + http_response(body),
    "until close": lambda body: b"HTTP/1.1 200 OK\r\n\r\n" + body,
    "1.0": lambda body: b"HTTP/1.0 200 OK\r\n\r\n" + body,
}


def resident_bytes(sidecar: SidecarProcess) -> int:
    """Return the resident memory of the program."""
    assert sidecar.process
    status = Path(f"/proc/{sidecar.process.pid}/status").read_text()
    found = re.search(r"VmRSS:\s+(\d+) kB", status)
    assert found
    return int(found[1]) * 1024
