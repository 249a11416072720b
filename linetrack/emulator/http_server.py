"""Loopback listeners and HTTP messages of the emulator, on the parser of a library.

Shares nothing with the program's codec, and binds to loopback only.
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

LOOPBACK = "127.0.0.1"
READ_BYTES = 64 * 1024
BACKLOG = 1024


@dataclass(slots=True)
class Request:
    """A complete request."""

    method: str
    target: str
    headers: dict[str, str]  # names in lower case
    body: bytes
    first_byte_at: int
    last_byte_at: int


class RequestReader:
    """Reads complete requests from one connection, one at a time.

    The methods `on_...` are what the library's parser calls.
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
        """A request begins."""
        self._headers = {}
        self._body = []
        self._target = b""

    def on_url(self, url: bytes) -> None:
        """A piece of the target has come."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """A header has come."""
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1").strip()

    def on_body(self, body: bytes) -> None:
        """A piece of the body has come."""
        self._body.append(body)

    def on_message_complete(self) -> None:
        """The request is complete."""
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
        """The next request, or None where the connection has ended.

        Raises:
            httptools.HttpParserError: what came is no request.
        """
        while not self._complete:
            data = self._sock.recv(READ_BYTES)
            if not data:
                return None
            self._first_byte_at = self._first_byte_at or now()
            self._parser.feed_data(data)
        return self._complete.pop(0)


def listen(port: int = 0) -> socket.socket:
    """A listening socket; on a free port where none is given."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((LOOPBACK, port))
    sock.listen(BACKLOG)
    return sock


def address_of(sock: socket.socket) -> str:
    """The address of a listening socket, as text."""
    host, port = sock.getsockname()
    return f"{host}:{port}"


def format_response(status: int, body: bytes = b"", *headers: str) -> bytes:
    """The bytes of a response."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *headers, "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


def reset(sock: socket.socket) -> None:
    """Close a connection with a reset, whatever is still under way."""
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
