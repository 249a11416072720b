"""HTTP messages and connections for the clients and servers of tests."""

from __future__ import annotations

import socket
from dataclasses import dataclass

from tests.support.waiting import TIMEOUT_SECONDS


@dataclass
class HttpMessage:
    """One HTTP message that was read from a socket."""

    start: str  # the request line or status line
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        return int(self.start.split(" ")[1])

    @property
    def target(self) -> str:
        return self.start.split(" ")[1]


class HttpConnection:
    """Reads complete HTTP messages from a socket."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.buffer = b""
        sock.settimeout(TIMEOUT_SECONDS)

    def read(self) -> HttpMessage | None:
        """Return the next message, or None if the connection ends between two messages."""
        while b"\r\n\r\n" not in self.buffer:
            if not self._receive():
                assert not self.buffer, f"connection ended within the head: {self.buffer!r}"
                return None
        head, _, self.buffer = self.buffer.partition(b"\r\n\r\n")
        start, *lines = head.decode("latin-1").split("\r\n")
        headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
        length = int(headers.get("content-length", 0))
        while len(self.buffer) < length:
            assert self._receive(), f"connection ended within the body of {start!r}"
        body, self.buffer = self.buffer[:length], self.buffer[length:]
        return HttpMessage(start, headers, body)

    def _receive(self) -> bool:
        """Append received bytes to the buffer; return whether there were any."""
        try:
            data = self.sock.recv(65536)
        except ConnectionResetError:
            return False
        self.buffer += data
        return bool(data)

    def wait_for_close(self) -> bool:
        """Wait until the other side has closed the connection, and return True."""
        while self._receive():
            pass
        return True


def http_response(body: bytes = b"ok", status: int = 200, *headers: str) -> bytes:
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *headers, "", ""]
    return "\r\n".join(lines).encode() + body


def http_request(path: str, method: str = "GET", *headers: str, body: bytes = b"") -> bytes:
    lines = [f"{method} {path} HTTP/1.1", "Host: backend.local", *headers]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


_request_numbers = iter(range(1, 1_000_000))


def class_request(class_name: str = "look", expires: str = "2.0", body: bytes = b"") -> bytes:
    """Return a valid request of a class, with a unique trace id."""
    method = "POST" if body else "GET"
    headers = [f"X-Trace-Id: {next(_request_numbers):016x}", f"X-Expires-In: {expires}"]
    return http_request(f"/{class_name}/k1", method, *headers, body=body)
