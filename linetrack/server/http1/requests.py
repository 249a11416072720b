"""Requests: parsing the bytes of a client, and encoding requests that are forwarded to an upstream."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import Protocol

import httptools

from linetrack.server.http1.encoding import CHUNKED, encode_head
from linetrack.server.http1.errors import MalformedMessageError
from linetrack.server.http1.headers import (
    CLIENT_RETRY,
    CONTENT_LENGTH,
    CONTENT_TYPE,
    EXPECT,
    EXPECT_CONTINUE,
    EXPIRES_IN,
    FLAG_SET,
    HOST,
    IDEMPOTENCY_KEY,
    INTERPRETED_PROPERTIES,
    MICROSECONDS_PER_SECOND,
    PROPERTIES,
    TRACE_ID,
    TRANSFER_ENCODING,
    parse_properties,
)
from linetrack.server.http1.limits import (
    CHUNKED_BODY_PARSE_BYTES,
    HEAD_PARSE_BYTES,
    MAX_BODY_BYTES,
    MAX_BUFFERED_BODY_BYTES,
    MAX_HEAD_BYTES,
)
from linetrack.server.http1.message_reader import MessageReader
from linetrack.server.http1.statuses import REQUEST_HEADER_FIELDS_TOO_LARGE

# The path of the readiness check, which the sidecar answers itself.
READINESS_PATH = "/_health"
METHODS_WITHOUT_BODY = ("GET", "HEAD", "DELETE", "OPTIONS")
HTTP_1_0 = "1.0"


class BodyStream(Protocol):
    """A request body that is forwarded as it arrives."""

    content_length: int | None  # in bytes; None if the head does not declare it

    def read_chunks(self) -> list[bytes | bytearray]:
        """Wait for the next chunks and return them; returns an empty list once the body is complete.

        Raises:
            Exception: The rest of the body will not come, which is not the fault of the receiver.
        """
        ...

    def last_incomplete_at(self) -> int:
        """Return the latest time at which the client surely had not sent the last byte, in microseconds."""
        ...

    def is_held_up_by_upstream(self) -> bool:
        """Return whether it is the upstream that has kept the body from going on."""
        ...


@dataclass(slots=True)
class ClientRequest:
    """One request from the application, as parsed from its bytes."""

    method: str
    target: str
    trace_id: str = ""
    idempotency_key: str = ""
    content_type: str = ""
    expires_in: str = ""  # the header's text, for `parse_timeout`
    is_client_retry: bool = False
    properties: Mapping[str, str] = field(default_factory=dict)  # those that are interpreted
    body: bytes = b""
    keep_alive: bool = True
    is_http10: bool = False  # HTTP/1.0 has no chunked transfer coding
    expects_continue: bool = False  # the client waits for a 100 response before it sends the body
    body_chunks: Sequence[bytes | bytearray] = ()  # the whole of a long body, or the end of a streamed one
    body_stream: BodyStream | None = None  # a body that is forwarded as it arrives
    is_complete: bool = False  # whether the whole request has been read
    class_name: str = ""  # the name of its request class; empty until the request is validated

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]

    def path_segments(self) -> list[str]:
        """Return the non-empty segments of the path."""
        return [segment for segment in self.path.split("/") if segment]


class RequestReader(MessageReader):
    """Parses requests from the bytes of one client connection."""

    def __init__(self) -> None:
        super().__init__(MAX_BODY_BYTES, MAX_BUFFERED_BODY_BYTES)
        self.parser = httptools.HttpRequestParser(self)
        self.target = b""
        self.request = ClientRequest("", "")  # the latest request whose head is complete
        self.completed_requests: list[ClientRequest] = []
        self.has_partial_request = False  # whether a request has begun and is incomplete
        self._unparsed = memoryview(b"")
        # The error found in the bytes after the requests that `feed` returned.
        self.deferred_error: MalformedMessageError | None = None

    def on_message_begin(self) -> None:
        """Reset the state for a new request."""
        super().on_message_begin()
        self.target = b""
        self.has_partial_request = True

    def on_url(self, url: bytes) -> None:
        """Append the next bytes of the request target."""
        self.target += url
        if len(self.target) > MAX_HEAD_BYTES:
            raise MalformedMessageError("the request target is too long", REQUEST_HEADER_FIELDS_TOO_LARGE)

    def on_headers_complete(self) -> None:
        """Create the request from its head."""
        super().on_headers_complete()
        self.request = ClientRequest(
            method=self.parser.get_method().decode("latin-1"),
            target=self.target.decode("latin-1"),
            trace_id=self.header_text(TRACE_ID),
            idempotency_key=self.header_text(IDEMPOTENCY_KEY),
            content_type=self.header_text(CONTENT_TYPE),
            expires_in=self.header_text(EXPIRES_IN),
            is_client_retry=self.header_text(CLIENT_RETRY) == FLAG_SET,
            properties=parse_properties(self.header_text(PROPERTIES), INTERPRETED_PROPERTIES),
            keep_alive=self.parser.should_keep_alive(),
            is_http10=self.parser.get_http_version() == HTTP_1_0,
            expects_continue=self.header_text(EXPECT).lower() == EXPECT_CONTINUE,
        )

    def on_message_complete(self) -> None:
        """Store the body, or the end of a streamed body; `feed` returns only requests without a stream."""
        if self.parser.should_upgrade():
            raise MalformedMessageError("protocol upgrades are not supported")
        request = self.request
        self.has_partial_request = False
        request.is_complete = True
        if request.body_stream is None and self.body_size <= MAX_BUFFERED_BODY_BYTES:
            request.body = b"".join(self.take_body_chunks())
        else:
            request.body_chunks = self.take_body_chunks()
        if request.body_stream is None:
            self.completed_requests.append(request)

    @property
    def has_unparsed_bytes(self) -> bool:
        """Whether bytes were added that are not parsed yet."""
        return bool(self._unparsed)

    @property
    def has_begun_request(self) -> bool:
        """Whether bytes of a request have arrived that was not returned."""
        return self.has_partial_request or self.has_unparsed_bytes

    @property
    def buffered_bytes(self) -> int:
        """The bytes of the current request that are held, parsed or not."""
        return len(self._unparsed) + sum(map(len, self.body_chunks)) + self.incomplete_head_bytes

    def add(self, data: bytes) -> None:
        """Keep bytes that have arrived, for `parse_next`."""
        self._unparsed = memoryview(bytes(self._unparsed) + data if self._unparsed else data)

    def discard_bytes(self) -> None:
        """Drop what has arrived and was not returned, as no more requests are read."""
        self._unparsed = memoryview(b"")
        self.body_chunks = []

    def close(self) -> None:
        """Free the parser and the bytes; no more bytes may be fed afterwards."""
        super().close()
        self.discard_bytes()

    def parse_next(self) -> list[ClientRequest]:
        """Parse the bytes that were added as far as the next complete request, and return what they complete.

        Several short requests may be returned at once.  Raises the errors of `feed`.
        """
        requests: list[ClientRequest] = []
        while self._unparsed and not requests:
            size = self._parse_size()
            part = self._unparsed[:size]
            # An empty view would keep all of the bytes in memory.
            self._unparsed = self._unparsed[size:] if size < len(self._unparsed) else memoryview(b"")
            requests = self.feed(part)
        return requests

    def _parse_size(self) -> int:
        """Return how many bytes to parse at once, so that few belong to what follows the current request."""
        if not (self.has_partial_request and self.is_head_complete):
            return HEAD_PARSE_BYTES
        length = self.declared_content_length()
        return CHUNKED_BODY_PARSE_BYTES if length is None else max(1, length - self.body_size)

    def feed(self, data: bytes | memoryview) -> list[ClientRequest]:
        """Return the requests that these bytes complete, in order.

        If the bytes after a completed request are malformed, the error is stored as `deferred_error`.

        Raises:
            MalformedMessageError: The bytes are malformed and complete no request.
        """
        try:
            self._feed_parser(data)
        except MalformedMessageError as error:
            if not self.completed_requests:
                raise
            self.deferred_error = error
        requests = self.completed_requests
        self.completed_requests = []
        return requests


def encode_request(request: ClientRequest, address: tuple[str, int], timeout: int) -> bytes:
    """Return the bytes of a request to an upstream, without the chunks of a long body.

    `timeout` is how long the sidecar will wait for the upstream's response, in microseconds.
    """
    headers = [
        (HOST, f"{address[0]}:{address[1]}"),
        (TRACE_ID, request.trace_id),
        (IDEMPOTENCY_KEY, request.idempotency_key),
        (EXPIRES_IN, f"{max(0, timeout) / MICROSECONDS_PER_SECOND:.6f}"),
        (CONTENT_TYPE, request.content_type),
    ]
    body_size = len(request.body) + sum(map(len, request.body_chunks))
    if request.body_stream is not None:
        content_length = request.body_stream.content_length
        if content_length is None:
            headers.append((TRANSFER_ENCODING, CHUNKED))
        else:
            headers.append((CONTENT_LENGTH, str(content_length)))
    elif body_size or request.method not in METHODS_WITHOUT_BODY:
        headers.append((CONTENT_LENGTH, str(body_size)))
    return encode_head(f"{request.method} {request.target} HTTP/1.1", headers, request.body)
