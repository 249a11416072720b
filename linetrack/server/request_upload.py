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
    """The client connection that a body is read from."""

    reader: RequestReader

    def receive(self, data: bytes) -> None:
        """Parse bytes that have arrived."""
        ...

    def send_continue(self) -> None:
        """Ask for the body, if the client waits to be asked."""
        ...

    def release_memory(self) -> None:
        """Give back what was reserved for the body."""
        ...


def _ignore() -> None:
    """Nobody is to be notified."""


class RequestUpload:
    """A body that is read from its client by whoever forwards the request.

    Attributes:
        content_length: Of the body in bytes; None where the request's head does not say it.
        error: What aborted it.
        on_aborted: Called once it is aborted.
        on_complete: Called once it is complete.
    """

    def __init__(self, source: UploadSource, read_size: Callable[[], int]) -> None:
        """`read_size` returns how many bytes to read at once."""
        self.source = source
        self.read_size = read_size
        self.request = source.reader.request
        self.content_length = source.reader.declared_content_length()
        self.error: OSError | MalformedMessageError | None = None
        self.on_aborted: Callable[[], None] = _ignore
        self.on_complete: Callable[[], None] = _ignore
        self._time_waited = 0  # microseconds for the client

    def read_chunks(self) -> list[bytes | bytearray]:
        """Wait for the next chunks; empty once the body is complete.

        Raises:
            OSError: The client has disconnected, or was closed as it sent nothing in time.
            MalformedMessageError: The body is not well-formed.
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
            self.on_complete = _ignore
            on_complete()
        return chunks

    def _receive(self) -> None:
        """Wait for more bytes, within the time that the client has left."""
        source = self.source
        source.send_continue()
        time_left = body_timeout(source.reader.body_size) - self._time_waited
        began = clock()
        source.deadline = began + min(client_timeouts.REQUEST_TIMEOUT_US, time_left)
        data = source.sock.recv(self.read_size())
        source.deadline = NEVER
        self._time_waited += clock() - began
        if not data:
            raise ConnectionResetError("the client disconnected within its request")
        try:
            source.receive(data)
        except MalformedMessageError as error:
            if not self.request.is_complete:
                raise
            # What is malformed came behind this request, which is served first.
            source.reader.deferred_error = error

    def _take_chunks(self) -> list[bytes | bytearray]:
        """What has arrived of the body and was not taken yet."""
        if self.request.is_complete:
            chunks = list(self.request.body_chunks)
            self.request.body_chunks = []
        else:
            chunks = self.source.reader.take_body_chunks()
        self.source.release_memory()
        return chunks
