"""The base of the readers of requests and responses: one message at a time, its head and body limited."""

from __future__ import annotations

from typing import Any

import httptools

from linetrack.server.http1.errors import MalformedMessageError
from linetrack.server.http1.headers import CONTENT_LENGTH, TRANSFER_ENCODING, HeaderName
from linetrack.server.http1.limits import (
    MAX_BUFFERED_BODY_BYTES,
    MAX_HEAD_BYTES,
    MIN_SEPARATE_CHUNK_BYTES,
)
from linetrack.server.http1.statuses import CONTENT_TOO_LARGE, REQUEST_HEADER_FIELDS_TOO_LARGE


class MessageReader:
    """Collects the parts of the current message as the parser reports them.

    The `on_...` methods are called by the parser, which a subclass sets.
    """

    parser: Any

    def __init__(self, max_body_bytes: int, max_buffered_body_bytes: int) -> None:
        self.max_body_bytes = max_body_bytes
        self.max_buffered_body_bytes = max_buffered_body_bytes
        # Whether the body is, or will be, longer than what is buffered until it is complete.
        self.exceeds_body_buffer = False
        # Whether what the parser reports of a body is of no use any more.
        self.ignores_body = False
        self.headers: dict[bytes, bytes] = {}
        self.content_lengths: set[bytes] = set()
        self.body_chunks: list[bytes | bytearray] = []
        self.body_size = 0  # bytes of the body so far
        self.head_size = 0  # bytes of the head's names and values so far
        self.incomplete_head_bytes = 0  # bytes fed to the parser since the head was last complete
        self.is_head_complete = False

    def on_message_begin(self) -> None:
        """Start on a new message."""
        self.headers = {}
        self.body_chunks = []
        self.is_head_complete = False
        self.content_lengths.clear()
        self.body_size = 0
        self.exceeds_body_buffer = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take one header of the head, or of the trailer, which is counted and not kept."""
        self.head_size += len(name) + len(value)
        if self.head_size > MAX_HEAD_BYTES:
            raise MalformedMessageError("the head is too large", REQUEST_HEADER_FIELDS_TOO_LARGE)
        if self.is_head_complete:
            # A trailer must not replace what the head said.
            return
        key = name.lower()
        if key == CONTENT_LENGTH.key:
            self.content_lengths.add(value.strip())
            if len(self.content_lengths) > 1:
                raise MalformedMessageError("two lengths that disagree")
        self.headers[key] = value

    def on_headers_complete(self) -> None:
        """Check what the head says of the body."""
        self.head_size = 0
        self.incomplete_head_bytes = 0
        self.is_head_complete = True
        if self.content_lengths and TRANSFER_ENCODING.key in self.headers:
            raise MalformedMessageError("a length and chunks at once")
        length = self.declared_content_length()
        if length is not None and length > self.max_buffered_body_bytes:
            self.exceeds_body_buffer = True
            if length > self.max_body_bytes:
                raise MalformedMessageError("the body is too large", CONTENT_TOO_LARGE)

    def on_body(self, body: bytes) -> None:
        """Take the next bytes of the body."""
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
            # A body that comes byte by byte would cost forty bytes for each as chunks of their own.
            self.body_chunks[-1] = bytearray(last) + body

    def take_body_chunks(self) -> list[bytes | bytearray]:
        """Return what came of the body since the last call; it is not kept here any longer."""
        chunks = self.body_chunks
        self.body_chunks = []
        return chunks

    def declared_content_length(self) -> int | None:
        """Return the current body's length in bytes as its head says; None where it does not."""
        for length in self.content_lengths:
            if length.isdigit():
                return int(length)
        return None

    def close(self) -> None:
        """Free the parser; nothing may be fed afterwards.

        Parser and reader refer to each other, so that only a full garbage collection would free them.
        """
        self.parser = None

    def header_text(self, name: HeaderName) -> str:
        """Return the value of a header of the current message; empty where there is none."""
        return self.headers.get(name.key, b"").decode("latin-1").strip()

    def _feed_parser(self, data: bytes) -> None:
        """Feed the parser; raises a `MalformedMessageError` for whatever is wrong with the bytes."""
        self.incomplete_head_bytes = 0 if self.is_head_complete else self.incomplete_head_bytes + len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as error:
            cause = error.__context__
            if isinstance(cause, MalformedMessageError):
                raise cause from None
            raise MalformedMessageError(f"not HTTP: {error}") from None
        # The parser buffers a header without an end and reports nothing of it: what was fed is counted here.
        if not self.is_head_complete and self.incomplete_head_bytes > 2 * MAX_HEAD_BYTES:
            raise MalformedMessageError("the head is too large", REQUEST_HEADER_FIELDS_TOO_LARGE)
