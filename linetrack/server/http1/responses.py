"""Responses: parsing the bytes of an upstream or of discovery, and encoding responses to clients."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto

import httptools

from linetrack.server.http1.encoding import CHUNKED, encode_head
from linetrack.server.http1.errors import MalformedMessageError
from linetrack.server.http1.headers import (
    CONNECTION,
    CONTENT_LENGTH,
    CONTENT_TYPE,
    FLAG_SET,
    LOAD_REPORT,
    RETRY_AFTER,
    TRANSFER_ENCODING,
    UNPROCESSED,
    format_seconds,
)
from linetrack.server.http1.message_reader import MessageReader
from linetrack.server.http1.statuses import OK, REASON_PHRASES

FIRST_FINAL_STATUS = OK  # lower (1xx) statuses are informational: the final response follows
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"


@dataclass(slots=True)
class Response:
    """One response from an upstream or from discovery."""

    status: int
    body: bytes = b""
    content_type: str = ""
    is_unprocessed: bool = False  # the upstream says that it did not process the request
    load_report: str = ""
    keep_alive: bool = True
    content_length: int | None = None  # as declared by the head, also if there is no body (HEAD)


class ResponseReader(MessageReader):
    """Parses one response at a time from the bytes of a connection to an upstream or to discovery."""

    def __init__(self, max_body_bytes: int, max_buffered_body_bytes: int) -> None:
        """Create a reader.

        A body longer than `max_buffered_body_bytes` is not stored in the response; the caller gets it from
        `take_body_chunks`.
        """
        super().__init__(max_body_bytes, max_buffered_body_bytes)
        self.parser = httptools.HttpResponseParser(self)
        self.response: Response | None = None  # the current response, once its head is complete
        self.completed_response: Response | None = None
        self.has_unexpected_data = False  # whether bytes that no request asked for have arrived
        # Set by the caller for the response to a HEAD request, which never has a body.
        self.is_response_to_head = False

    def on_message_begin(self) -> None:
        """Reset the state for a new response."""
        self.has_unexpected_data = self.completed_response is not None
        if not self.has_unexpected_data:
            # Unexpected data after a response must not overwrite chunks that were not taken yet.
            super().on_message_begin()

    def on_headers_complete(self) -> None:
        """Create the response from its head, unless it is informational."""
        super().on_headers_complete()
        status = self.parser.get_status_code()
        if status < FIRST_FINAL_STATUS or self.completed_response is not None:
            return
        self.response = Response(
            status=status,
            content_type=self.header_text(CONTENT_TYPE),
            is_unprocessed=self.header_text(UNPROCESSED) == FLAG_SET,
            load_report=self.header_text(LOAD_REPORT),
            keep_alive=False,
            content_length=self.declared_content_length(),
        )
        if self.is_response_to_head:
            # The parser now waits for a body, so the connection cannot be reused.
            self.completed_response = self.response
            self.ignores_body = True

    def on_message_complete(self) -> None:
        """Complete the response with its body."""
        if self.response is not None and self.completed_response is None:
            self._complete(self.response, self.parser.should_keep_alive())

    def _complete(self, response: Response, keep_alive: bool) -> None:
        self.completed_response = response
        response.keep_alive = keep_alive
        self.ignores_body = True
        if not self.exceeds_body_buffer:
            response.body = b"".join(self.take_body_chunks())

    def feed(self, data: bytes) -> Response | None:
        """Return the response once it is complete, and None before.

        Bytes after the response make the connection unusable but leave the response valid.

        Raises:
            MalformedMessageError: The response itself is malformed.
        """
        try:
            self._feed_parser(data)
        except MalformedMessageError:
            if self.completed_response is None:
                raise
            self.has_unexpected_data = True
        return self.completed_response

    def feed_eof(self) -> Response | None:
        """Return the response if it is complete, or if the end of the connection ends its body.

        A response whose body would end with the connection, but is empty, is not returned: it cannot be
        distinguished from a truncated response.
        """
        if self.response is None or self.completed_response is not None:
            return self.completed_response
        if self.body_size and self._ends_with_connection():
            self._complete(self.response, keep_alive=False)
        return self.completed_response

    def _ends_with_connection(self) -> bool:
        return not self.content_lengths and TRANSFER_ENCODING.key not in self.headers

    def stop_buffering(self) -> None:
        """Treat a successful response that has begun, and declares no length, as one that is too long."""
        response = self.response
        if response is not None and response.status == OK and not self.content_lengths and self.body_size:
            self.exceeds_body_buffer = True

    def start_next_response(self) -> None:
        """Discard the completed response, as the connection is reused for another request."""
        self.response = None
        self.completed_response = None
        self.ignores_body = False


def encode_response(
    status: int,
    body: bytes = b"",
    retry_after: int = 0,
    keep_alive: bool = True,
    content_type: str = "",
    is_http10: bool = False,
    content_length: int | None = None,
) -> bytes:
    """Return the bytes of a response to a client.

    `retry_after` is in microseconds and is never rounded to zero.  `content_length` is the length of a body
    that is not sent (HEAD).
    """
    length = len(body) if content_length is None else content_length
    headers = [
        (CONTENT_TYPE, content_type),
        (CONTENT_LENGTH, str(length)),
        (RETRY_AFTER, format_seconds(retry_after) if retry_after else ""),
        (CONNECTION, _connection_header(keep_alive, is_http10)),
    ]
    return encode_head(f"HTTP/1.1 {status} {REASON_PHRASES[status]}", headers, body)


class BodyFraming(Enum):
    """How the end of a streamed body is marked on the wire."""

    CONTENT_LENGTH = auto()
    CHUNKED = auto()
    CONNECTION_CLOSE = auto()


def select_framing(content_length: int | None, is_http10: bool) -> BodyFraming:
    """Return the framing of a streamed body; `content_length` is None if the length is unknown."""
    if content_length is not None:
        return BodyFraming.CONTENT_LENGTH
    return BodyFraming.CONNECTION_CLOSE if is_http10 else BodyFraming.CHUNKED


def encode_response_head(
    framing: BodyFraming, content_length: int | None, keep_alive: bool, content_type: str, is_http10: bool
) -> bytes:
    """Return the head of a successful response whose body is streamed."""
    headers = [
        (CONTENT_TYPE, content_type),
        (CONTENT_LENGTH, str(content_length) if framing is BodyFraming.CONTENT_LENGTH else ""),
        (TRANSFER_ENCODING, CHUNKED if framing is BodyFraming.CHUNKED else ""),
        (CONNECTION, _connection_header(keep_alive, is_http10)),
    ]
    return encode_head("HTTP/1.1 200 OK", headers)


def _connection_header(keep_alive: bool, is_http10: bool) -> str:
    if not keep_alive:
        return "close"
    return "keep-alive" if is_http10 else ""
