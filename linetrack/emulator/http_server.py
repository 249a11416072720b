"""Loopback listeners and HTTP messages of the emulator, based on the parser of `httptools`.

Shares no code with the sidecar's HTTP codec, and binds to loopback only.
"""

from __future__ import annotations

import contextlib
import struct
from collections.abc import Callable
from dataclasses import dataclass

import gevent
import httptools
from gevent import socket

from linetrack.emulator.ledger import now

DEFAULT_HOST = "127.0.0.1"
READ_BYTES = 64 * 1024
BACKLOG = 1024


@dataclass(slots=True)
class Request:
    """A complete HTTP request, with the times at which its first and last bytes were received."""

    method: str
    target: str
    headers: dict[str, str]  # names in lower case
    body: bytes
    first_byte_at: int
    last_byte_at: int


class RequestReader:
    """Reads complete requests from one connection, one at a time.

    The methods `on_...` are callbacks of the `httptools` parser.
    """

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock
        self._complete: list[Request] = []
        self._headers: dict[str, str] = {}
        self._body: list[bytes] = []
        self._target = b""
        self._first_byte_at = 0
        self._parser = httptools.HttpRequestParser(self)

    def on_message_begin(self) -> None:
        """Begin a new request."""
        self._headers = {}
        self._body = []
        self._target = b""

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header."""
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1").strip()

    def on_body(self, body: bytes) -> None:
        """Append a part of the body."""
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Queue the complete request."""
        request = Request(
            method=self._parser.get_method().decode("latin-1"),
            target=self._target.decode("latin-1"),
            headers=self._headers,
            body=b"".join(self._body),
            first_byte_at=self._first_byte_at,
            last_byte_at=now(),
        )
        self._complete.append(request)
        self._first_byte_at = 0

    def next(self) -> Request | None:
        """Return the next request, or None if the connection has ended.

        Raises:
            httptools.HttpParserError: the received bytes are not a valid request.
        """
        while not self._complete:
            data = self._sock.recv(READ_BYTES)
            if not data:
                return None
            self._first_byte_at = self._first_byte_at or now()
            self._parser.feed_data(data)
        return self._complete.pop(0)


def listen(host: str = DEFAULT_HOST, port: int = 0) -> socket.socket:
    """Return a listening socket on a loopback host; port 0 selects a free port."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((host, port))
    sock.listen(BACKLOG)
    return sock


def address_of(sock: socket.socket) -> str:
    """Return the address of a listening socket as `host:port`."""
    host, port = sock.getsockname()
    return f"{host}:{port}"


def format_response(status: int, body: bytes = b"", *headers: str) -> bytes:
    """Return a response as bytes."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *headers, "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


def reset(sock: socket.socket) -> None:
    """Close a connection with a TCP reset, which discards unsent data."""
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


def serve(sock: socket.socket, handle: Callable[[socket.socket], None]) -> gevent.Greenlet:
    """Accept connections until the socket is closed, and handle each in a greenlet of its own."""

    def handle_connection(connection: socket.socket) -> None:
        """Handle one connection, which may end at any time."""
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with contextlib.suppress(OSError, httptools.HttpParserError), connection:
            handle(connection)

    def accept() -> None:
        """Accept until the socket is closed."""
        while True:
            try:
                connection, _ = sock.accept()
            except OSError:
                return
            gevent.spawn(handle_connection, connection)

    return gevent.spawn(accept)
