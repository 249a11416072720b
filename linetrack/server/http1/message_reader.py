"""The base class of the request and response readers; it limits the size of a message's head and body."""

from __future__ import annotations

from typing import Any

import httptools

from linetrack.server.http1.errors import MalformedMessageError
from linetrack.server.http1.headers import (
    CONTENT_LENGTH,
    INTERPRETED_HEADER_KEYS,
    TRANSFER_ENCODING,
    HeaderName,
)
from linetrack.server.http1.limits import (
    MAX_BUFFERED_BODY_BYTES,
    MAX_HEAD_BYTES,
    MIN_SEPARATE_CHUNK_BYTES,
)
from linetrack.server.http1.statuses import CONTENT_TOO_LARGE, REQUEST_HEADER_FIELDS_TOO_LARGE

FIELD_SEPARATOR_BYTES = 4  # the colon, a space and the end of the line


class MessageReader:
    """Collects the parts of the current message as the parser reports them.

    A subclass creates the parser, which calls the `on_...` methods.
    """

    parser: Any

    def __init__(self, max_body_bytes: int, max_buffered_body_bytes: int) -> None:
        self.max_body_bytes = max_body_bytes
        self.max_buffered_body_bytes = max_buffered_body_bytes
        # Whether the body is, or is declared to be, longer than `max_buffered_body_bytes`.
        self.exceeds_body_buffer = False
        # Whether body bytes that the parser reports are discarded.
        self.ignores_body = False
        self.headers: dict[bytes, bytes] = {}
        self.content_lengths: set[bytes] = set()
        self.body_chunks: list[bytes | bytearray] = []
        self.body_size = 0  # bytes of the body received so far
        self.head_size = 0  # bytes of header fields received so far
        self.incomplete_head_bytes = 0  # bytes fed to the parser while the current head is incomplete
        self.is_head_complete = False

    def on_message_begin(self) -> None:
        """Reset the state for a new message."""
        self.headers = {}
        self.body_chunks = []
        self.is_head_complete = False
        self.content_lengths.clear()
        self.body_size = 0
        self.exceeds_body_buffer = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header field if it is interpreted; each one, of a trailer too, counts towards the limit."""
        self.head_size += len(name) + len(value) + FIELD_SEPARATOR_BYTES
        if self.head_size > MAX_HEAD_BYTES:
            raise MalformedMessageError("the head is too large", REQUEST_HEADER_FIELDS_TOO_LARGE)
        if self.is_head_complete:
            # A trailer field must not overwrite a header field.
            return
        key = name.lower()
        if key not in INTERPRETED_HEADER_KEYS:
            # An object of its own for each of thousands of short fields would need tens of times their size.
            return
        if key == CONTENT_LENGTH.key:
            self.content_lengths.add(value.strip())
            if len(self.content_lengths) > 1:
                raise MalformedMessageError("conflicting Content-Length headers")
        self.headers[key] = value

    def on_headers_complete(self) -> None:
        """Check the framing and the size that the head declares for the body."""
        self.head_size = 0
        self.incomplete_head_bytes = 0
        self.is_head_complete = True
        if self.content_lengths and TRANSFER_ENCODING.key in self.headers:
            raise MalformedMessageError("both Content-Length and Transfer-Encoding are set")
        length = self.declared_content_length()
        if length is not None and length > self.max_buffered_body_bytes:
            self.exceeds_body_buffer = True
            if length > self.max_body_bytes:
                raise MalformedMessageError("the body is too large", CONTENT_TOO_LARGE)

    def on_body(self, body: bytes) -> None:
        """Store the next bytes of the body."""
        if self.ignores_body:
            return
        self.body_size += len(body)
        if self.body_size > self.max_buffered_body_bytes:
            self.exceeds_body_buffer = True
            if self.body_size > self.max_body_bytes:
                raise MalformedMessageError("the body is too large", CONTENT_TOO_LARGE)
        self._append_to_body(body)

    def _append_to_body(self, body: bytes) -> None:
        last = self.body_chunks[-1] if self.body_chunks else None
        is_separate = len(body) >= MIN_SEPARATE_CHUNK_BYTES
        if last is None or is_separate or len(last) >= MAX_BUFFERED_BODY_BYTES:
            self.body_chunks.append(body)
        elif isinstance(last, bytearray):
            last += body
        else:
            # Each chunk has an overhead of about 40 bytes, which matters if the body arrives byte by byte.
            self.body_chunks[-1] = bytearray(last) + body

    def take_body_chunks(self) -> list[bytes | bytearray]:
        """Remove and return the body chunks received since the last call."""
        chunks = self.body_chunks
        self.body_chunks = []
        return chunks

    def declared_content_length(self) -> int | None:
        """Return the body's length in bytes as declared by its head, or None if it declares none."""
        for length in self.content_lengths:
            if length.isdigit():
                return int(length)
        return None

    def close(self) -> None:
        """Free the parser; no more bytes may be fed afterwards.

        The parser and the reader refer to each other; otherwise only a full garbage collection would free
        them.
        """
        self.parser = None

    def header_text(self, name: HeaderName) -> str:
        """Return the value of a header of the current message, or an empty string if it is absent."""
        return self.headers.get(name.key, b"").decode("latin-1").strip()

    def _feed_parser(self, data: bytes | memoryview) -> None:
        """Feed bytes to the parser; raises a `MalformedMessageError` if they are invalid."""
        self.incomplete_head_bytes = 0 if self.is_head_complete else self.incomplete_head_bytes + len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as error:
            # It gets no name here: the frame, which its traceback refers to, would keep it alive.
            raise _to_malformed_message(error) from None
        # The parser buffers an unterminated header without reporting it, so the bytes fed are limited too.
        if not self.is_head_complete and self.incomplete_head_bytes > 2 * MAX_HEAD_BYTES:
            raise MalformedMessageError("the head is too large", REQUEST_HEADER_FIELDS_TOO_LARGE)


def _to_malformed_message(error: httptools.HttpParserError) -> MalformedMessageError:
    """Return the error that a callback of the parser raised, or one for what the parser itself found."""
    cause = error.__context__
    if isinstance(cause, MalformedMessageError):
        return cause
    return MalformedMessageError(f"invalid HTTP: {error}")
