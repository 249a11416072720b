"""Encoding shared by requests and responses: message heads and body chunks."""

from __future__ import annotations

from collections.abc import Callable

from linetrack.server.http1.headers import HeaderName

LAST_CHUNK = b"0\r\n\r\n"
CHUNKED = "chunked"


def encode_head(start_line: str, headers: list[tuple[HeaderName, str]], body: bytes = b"") -> bytes:
    """Return a message's start line and headers, followed by `body`.

    Headers with an empty value are omitted.
    """
    lines = "".join([f"{name.canonical}: {value}\r\n" for name, value in headers if value])
    return f"{start_line}\r\n{lines}\r\n".encode("latin-1") + body


def encode_chunk(data: bytes | bytearray) -> bytes:
    """Return one chunk of a body in chunked transfer coding."""
    return b"%x\r\n%b\r\n" % (len(data), bytes(data))


def write_chunks(
    write: Callable[[bytes | bytearray], None], chunks: list[bytes | bytearray], is_chunked: bool
) -> None:
    """Write chunks of a body and drop them, so that they do not stay in memory during the caller's next wait.

    Args:
        write: Writes bytes, waiting if necessary.
        chunks: The chunks; empty afterwards.
        is_chunked: Whether each gets the framing of the chunked transfer coding.
    """
    for chunk in chunks:
        write(encode_chunk(chunk) if is_chunked else chunk)
    chunks.clear()
