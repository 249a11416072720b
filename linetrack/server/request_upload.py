"""A long request body that is forwarded as it arrives from the client."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from linetrack.server import client_timeouts
from linetrack.server.client_timeouts import DeadlineSocket, body_timeout
from linetrack.server.clock import NEVER, clock
from linetrack.server.http1.errors import MalformedMessageError
from linetrack.server.http1.requests import RequestReader


class UploadSource(DeadlineSocket, Protocol):
    """The client connection from which a body is read."""

    reader: RequestReader

    def receive(self, data: bytes) -> None:
        """Parse bytes that have arrived."""
        ...

    def send_continue(self) -> None:
        """Send a 100 response if the client waits for one before it sends the body."""
        ...

    def release_memory(self) -> None:
        """Release the memory that was reserved for the body."""
        ...


def _do_nothing() -> None:
    """Serve as a callback until one is set."""


class RequestUpload:
    """A body that the greenlet of an attempt reads from the client while it forwards the request.

    Attributes:
        content_length: The length of the body in bytes; None if the request's head does not declare it.
        error: The error that aborted the upload, if any.
        on_aborted: Called when the upload is aborted.
        on_complete: Called when the body is complete.
    """

    def __init__(self, source: UploadSource, read_size: Callable[[], int]) -> None:
        """Create an upload; `read_size` returns how many bytes to read at a time."""
        self.source = source
        self.read_size = read_size
        self.request = source.reader.request
        self.content_length = source.reader.declared_content_length()
        self.error: OSError | MalformedMessageError | None = None
        self.on_aborted: Callable[[], None] = _do_nothing
        self.on_complete: Callable[[], None] = _do_nothing
        self._waited_us = 0  # time spent waiting for the client

    def read_chunks(self) -> list[bytes | bytearray]:
        """Wait for the next chunks and return them; returns an empty list once the body is complete.

        Raises:
            OSError: The client disconnected, or its connection was closed as it sent nothing in time.
            MalformedMessageError: The body is malformed.
        """
        try:
            while not (chunks := self._take_chunks()) and not self.request.is_complete:
                self._receive()
        except (OSError, MalformedMessageError) as error:
            self.error = error
            self.on_aborted()
            raise
        if self.request.is_complete:
            on_complete = self.on_complete
            self.on_complete = _do_nothing
            on_complete()
        return chunks

    def _receive(self) -> None:
        """Wait for more bytes, no longer than the rest of the client's time for its body."""
        source = self.source
        source.send_continue()
        remaining_us = body_timeout(source.reader.body_size) - self._waited_us
        wait_started_at = clock()
        source.deadline = wait_started_at + min(client_timeouts.REQUEST_TIMEOUT_US, remaining_us)
        data = source.sock.recv(self.read_size())
        source.deadline = NEVER
        self._waited_us += clock() - wait_started_at
        if not data:
            raise ConnectionResetError("the client disconnected before the end of its request")
        try:
            source.receive(data)
        except MalformedMessageError as error:
            if not self.request.is_complete:
                raise
            # The malformed bytes follow this request, which is served first.
            source.reader.deferred_error = error

    def _take_chunks(self) -> list[bytes | bytearray]:
        """Return the chunks that have arrived since the last call, and release their reserved memory."""
        if self.request.is_complete:
            chunks = list(self.request.body_chunks)
            self.request.body_chunks = []
        else:
            chunks = self.source.reader.take_body_chunks()
        self.source.release_memory()
        return chunks
