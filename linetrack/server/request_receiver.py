"""The receiving half of a client connection: reads the bytes of its requests and parses them.

It sets the deadline by which an incomplete request must go on, and reserves memory for its body or makes it a
stream.  Serving the requests is left to `client_connection.py`.
"""

from __future__ import annotations

from collections import deque

from gevent import socket

from linetrack.server import client_timeouts
from linetrack.server.clock import clock
from linetrack.server.connection_host import ConnectionHost
from linetrack.server.greenlets import yield_to_event_loop
from linetrack.server.http1.requests import ClientRequest, RequestReader
from linetrack.server.http1.responses import CONTINUE_RESPONSE
from linetrack.server.read_ahead import ReadAhead
from linetrack.server.request_memory import RequestMemory
from linetrack.server.request_upload import RequestUpload
from linetrack.server.sockets import FIRST_READ_SIZE, next_read_size


class RequestReceiver:
    """The state of a client connection that concerns the receiving of requests.

    Attributes:
        reader: Parses the bytes that arrive.
        pending_requests: Complete requests that are not served yet.
        received_at: When bytes were last read; initially, when the connection was accepted.
        timeout_started_at: When the timeout of the current request started.
        deadline: When the listener ends the current read or write.
        is_busy: Whether a request is being served.
        memory: The memory reserved for a large request.
        read_ahead: Bytes that arrived while an earlier request was being served.
        response_count: The number of responses of any kind that were written.
    """

    __slots__ = (
        "deadline",
        "host",
        "is_busy",
        "memory",
        "pending_requests",
        "read_ahead",
        "reader",
        "received_at",
        "response_count",
        "slot",
        "sock",
        "timeout_started_at",
    )

    def __init__(self, sock: socket.socket, host: ConnectionHost) -> None:
        now = clock()
        self.sock = sock
        self.host = host
        self.reader = RequestReader()
        self.pending_requests: deque[ClientRequest] = deque()
        self.slot = host.slots.open(now)
        self.received_at = now
        self.timeout_started_at = now
        self.deadline = now + client_timeouts.REQUEST_TIMEOUT_US
        self.is_busy = False
        self.read_ahead = ReadAhead(host.budget.memory)
        self.memory = RequestMemory(host, self.is_open)
        self.response_count = 0

    def is_open(self) -> bool:
        """Return whether the socket has not been closed by this process."""
        return bool(self.sock.fileno() >= 0)

    @property
    def has_begun_request(self) -> bool:
        """Whether bytes of a request were read that is not complete or not parsed yet."""
        return self.reader.has_begun_request or self.read_ahead.size > 0

    def release_memory(self) -> None:
        """Release the memory that was reserved for a large request."""
        self.memory.release()

    def read_requests(self) -> bool:
        """Read until there is a request to serve; return False if the connection ends first.

        Raises:
            MalformedMessageError: What arrived is no request.
            OSError: The connection failed.
        """
        reader = self.reader
        while not self.pending_requests:
            if reader.deferred_error is not None:
                raise reader.deferred_error
            if (
                reader.has_partial_request
                and reader.is_head_complete
                and not self.memory.reserve_for_body(reader, self.received_at)
            ):
                self.memory.begin_upload(reader, self.received_at)
                reader.request.body_stream = RequestUpload(self, self.host.budget.memory.chunk_size)
                self.pending_requests.append(reader.request)
            elif reader.has_unparsed_bytes:
                self._parse()
            elif not self._receive_next():
                return False
            if not self.pending_requests:
                self.host.slots.begin_request(self.slot, self.received_at)
                yield_to_event_loop()
        return True

    def _receive_next(self) -> bool:
        """Wait for more bytes and parse them; return False if the connection has ended."""
        if self.reader.request.expects_continue:
            self.send_continue()
        data = self.read_next(self._read_size())
        if data:
            self.receive(data)
        return bool(data)

    def _read_size(self) -> int:
        if not self.reader.has_begun_request:
            return FIRST_READ_SIZE
        return next_read_size(self.sock, self.host.budget.memory.read_size)

    def read_next(self, max_bytes: int) -> bytes:
        """Return the next bytes, which may have been read before; wait for them if necessary."""
        segment = self.read_ahead.pop()
        if segment is not None:
            self.received_at = segment.received_at
            return segment.data
        data: bytes = self.sock.recv(max_bytes)
        self.received_at = clock()
        return data

    def send_continue(self) -> None:
        """Send a 100 response if the client waits for one before it sends the body."""
        request = self.reader.request
        is_reading_body = self.reader.has_partial_request and self.reader.is_head_complete
        if request.expects_continue and is_reading_body:
            request.expects_continue = False
            if not self.reader.body_size:
                self.sock.sendall(CONTINUE_RESPONSE)

    def receive(self, data: bytes) -> None:
        """Take bytes that have arrived, and parse them as far as the next complete request."""
        self.reader.add(data)
        self._parse()

    def _parse(self) -> None:
        """Parse bytes as far as the next complete request, and set the deadline of an incomplete one."""
        reader = self.reader
        had_partial_request = reader.has_partial_request
        was_head_complete = reader.is_head_complete
        self.pending_requests.extend(reader.parse_next())
        if not reader.has_partial_request:
            return
        if self.pending_requests or (not had_partial_request and self.response_count):
            # A new request has begun.  The timeout of the first one started when the connection was accepted,
            # that of one that arrived with earlier ones starts when those have their responses.
            self.timeout_started_at = max(self.timeout_started_at, self.received_at)
        if not self.is_busy:
            self._set_request_deadline(was_head_complete)

    def _set_request_deadline(self, was_head_complete: bool) -> None:
        """Set the deadline for the rest of the incomplete request."""
        reader = self.reader
        self.deadline = client_timeouts.request_deadline(
            started_at=self.timeout_started_at,
            last_read_at=max(self.timeout_started_at, self.received_at),
            body_bytes=reader.body_size if reader.is_head_complete else None,
            is_body_due=reader.is_head_complete and not was_head_complete,
        )
