"""A long request body that is forwarded as it arrives from the client."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

import gevent

from linetrack.policy.time_units import SECOND
from linetrack.server import client_timeouts
from linetrack.server.client_timeouts import DeadlineSocket, body_timeout
from linetrack.server.clock import NEVER, clock
from linetrack.server.greenlets import yield_to_event_loop
from linetrack.server.http1.errors import MalformedMessageError
from linetrack.server.http1.requests import RequestReader
from linetrack.server.read_ahead import ReadAhead
from linetrack.server.sockets import is_readable, unread_bytes

#: How many bytes the client's system may hold of what the client has sent.
CLIENT_SEND_BUFFER_BYTES = 4 * 1024 * 1024

#: The time between checks whether the client may have sent its last byte, which cost system calls.
CHECK_INTERVAL_US = SECOND // 10
#: The time without a byte to the upstream after which the client's bytes no longer count as awaited.
UPSTREAM_STALL_TIMEOUT_US = 5 * SECOND
#: The time without a byte to the upstream after which it, and nothing else, keeps the body from going on.
UPSTREAM_PAUSE_US = SECOND // 2


class UploadSource(DeadlineSocket, Protocol):
    """The client connection from which a body is read."""

    reader: RequestReader
    read_ahead: ReadAhead

    def read_next(self, max_bytes: int) -> bytes:
        """Return the next bytes of the client; wait for them if necessary."""
        ...

    def receive(self, data: bytes) -> None:
        """Parse bytes that have arrived."""
        ...

    def send_continue(self) -> None:
        """Send a 100 response if the client waits for one before it sends the body."""
        ...

    def release_memory(self) -> None:
        """Release the memory that was reserved for the body."""
        ...


class UploadAbortedError(Exception):
    """Raised in the greenlet of an attempt whose client does not send the rest of the body."""


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
        self._has_returned_chunks = False
        self._is_detached = False
        self._waiting_greenlet: Any = None  # the one that waits for the client
        self._waited_us = 0  # time spent waiting for the client
        self._last_incomplete_at = clock()
        self._forwarding_since = self._last_incomplete_at  # NEVER while it waits for the client

    def detach(self) -> None:
        """Read and parse nothing more and call no callbacks, as the request has its final response.

        From here on the greenlet of the client's connection reads from it again.
        """
        self.on_aborted = _do_nothing
        self.on_complete = _do_nothing
        self._is_detached = True
        if self._waiting_greenlet is not None:
            gevent.get_hub().loop.run_callback(self._stop_waiting)
            gevent.sleep(0)

    @property
    def is_waiting_for_client(self) -> bool:
        """Whether it waits for the client's next bytes."""
        return self._waiting_greenlet is not None

    def abort(self, error: MalformedMessageError) -> None:
        """End the upload with this error if it still waits for the client; called by the event loop."""
        if self._waiting_greenlet is not None:
            self.error = error
            self._stop_waiting()

    def _stop_waiting(self) -> None:
        """Raise an error in the greenlet that waits for the client, if any; called by the event loop."""
        if self._waiting_greenlet is not None:
            self._waiting_greenlet.throw(UploadAbortedError)

    def read_chunks(self) -> list[bytes | bytearray]:
        """Wait for the next chunks and return them; returns an empty list once the body is complete.

        Raises:
            UploadAbortedError: The client disconnected, sent nothing in time, or sent a malformed body.
        """
        if self._has_returned_chunks:
            self.source.release_memory()  # of the chunks returned before, which have been written
        try:
            while not (chunks := self._take_chunks()) and not self.request.is_complete:
                self._receive()
        except UploadAbortedError:
            self.on_aborted()
            raise
        except (OSError, MalformedMessageError) as error:
            self.error = error
            self.on_aborted()
            raise UploadAbortedError from error
        if self.request.is_complete:
            on_complete = self.on_complete
            self.on_complete = _do_nothing
            on_complete()
        self._has_returned_chunks = True
        return chunks

    def last_incomplete_at(self) -> int:
        """Return the latest time at which the client surely had not sent the last byte, in microseconds.

        The bytes that wait in this system and the client's may include the last one, so that the time of the
        request may have begun although the body is still being read.  If the upstream has taken no byte for
        `UPSTREAM_STALL_TIMEOUT_US`, the time is not later than the end of that.
        """
        now = clock()
        is_stalled = now - self._forwarding_since >= UPSTREAM_STALL_TIMEOUT_US
        if not self.request.is_complete and not is_stalled and self._is_surely_incomplete():
            self._last_incomplete_at = now
        return self._last_incomplete_at

    def is_held_up_by_upstream(self) -> bool:
        """Return whether the upstream has taken no byte for a while that were there for it."""
        return clock() - self._forwarding_since >= UPSTREAM_PAUSE_US

    def _is_surely_incomplete(self) -> bool:
        sock = self.source.sock
        read_ahead_bytes = self.source.read_ahead.size
        if not read_ahead_bytes and not is_readable(sock):
            return True
        if self.content_length is None:
            return False
        unread_body_bytes = self.content_length - self.source.reader.body_size
        return unread_body_bytes - read_ahead_bytes - unread_bytes(sock) > CLIENT_SEND_BUFFER_BYTES

    def _receive(self) -> None:
        """Wait for more bytes, no longer than the rest of the client's time for its body."""
        if self._is_detached:
            raise UploadAbortedError
        source = self.source
        source.send_continue()
        remaining_us = body_timeout(source.reader.body_size) - self._waited_us
        wait_started_at = clock()
        source.deadline = wait_started_at + min(client_timeouts.REQUEST_TIMEOUT_US, remaining_us)
        self._forwarding_since = NEVER
        if wait_started_at - self._last_incomplete_at >= CHECK_INTERVAL_US:
            self.last_incomplete_at()
        had_to_wait = not source.read_ahead.size and not is_readable(source.sock)
        self._waiting_greenlet = gevent.getcurrent()
        try:
            data = source.read_next(self.read_size())
        finally:
            self._waiting_greenlet = None
        source.deadline = NEVER
        now = self._forwarding_since = clock()
        self._waited_us += now - wait_started_at
        if had_to_wait:
            self._last_incomplete_at = now
        else:
            yield_to_event_loop()
        if self._is_detached:
            raise UploadAbortedError
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
        """Return the chunks that have arrived since the last call."""
        if self.request.is_complete:
            chunks = list(self.request.body_chunks)
            self.request.body_chunks = []
        else:
            chunks = self.source.reader.take_body_chunks()
        return chunks
