"""The memory that the requests of one client connection have reserved.

It decides whether the body of a request is buffered or streamed.  Every wait for memory ends after a share of
the request's time, or with the connection.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from linetrack.server.budget import Budget
from linetrack.server.clock import clock
from linetrack.server.http1 import statuses
from linetrack.server.http1.errors import MalformedMessageError
from linetrack.server.http1.limits import MAX_BUFFERED_BODY_BYTES
from linetrack.server.http1.requests import ClientRequest, RequestReader
from linetrack.server.logging_setup import get_logger
from linetrack.server.memory_budget import SMALL_BODY_BYTES
from linetrack.server.request_validation import RequestValidator

log = get_logger(__name__)

# Memory for an incomplete body is reserved in steps of this size, as its bytes arrive.
RESERVATION_STEP_BYTES = 16 * 1024
# The share of its time that a request may wait for memory, before it is rejected.
MAX_WAIT_SHARE = 0.25


class MemoryHost(Protocol):
    """What the connections of a process have in common, as far as their memory is concerned.

    Attributes:
        budget: The budget of the process.
        validator: Validates the requests.
    """

    budget: Budget
    validator: RequestValidator

    def reject_stalled_request(self) -> None:
        """Reject the incomplete request that has stalled longest, as there is no memory for others."""
        ...


class RequestMemory:
    """The reservation of one connection.

    Attributes:
        reserved_bytes: The memory reserved for a large request.
        is_upload: Whether the current request counts as one whose body is streamed.
    """

    __slots__ = ("host", "is_open", "is_upload", "reserved_bytes")

    def __init__(self, host: MemoryHost, is_open: Callable[[], bool]) -> None:
        """Reserve nothing yet; `is_open` returns whether the connection is still open."""
        self.host = host
        self.is_open = is_open
        self.reserved_bytes = 0
        self.is_upload = False

    def release(self) -> None:
        """Release all that is reserved."""
        self.host.budget.memory.release(self.reserved_bytes)
        self.reserved_bytes = 0

    def end_upload(self) -> None:
        """Leave its place to another request whose body is streamed, if it had one."""
        if self.is_upload:
            self.is_upload = False
            self.host.budget.memory.end_upload()

    # --- Complete requests -------------------------------------------------------------------------------
    def reserve_for_request(self, request: ClientRequest, received_at: int) -> bool:
        """Reserve memory for a complete request with a large body; return False if it must be rejected.

        Raises:
            RejectedRequestError: The request is invalid.
            OSError: The connection was closed.
        """
        give_up_at = self._give_up_at(request, received_at)
        reserved = self.host.budget.memory.reserve_while(
            len(request.body), lambda: self._can_wait(give_up_at), self.reserved_bytes
        )
        if not self.is_open():
            self.host.budget.memory.release(reserved or 0)
            raise ConnectionAbortedError("the connection was closed while its request waited for memory")
        if reserved is None:
            self._record_shortage(request, len(request.body))
            return False
        self.reserved_bytes += reserved
        return True

    # --- Incomplete requests -----------------------------------------------------------------------------
    def reserve_for_body(self, reader: RequestReader, received_at: int) -> bool:
        """Reserve memory for what has arrived of the current body; return False if it must be streamed.

        A long body that does not fit the memory is forwarded as it arrives; a shorter one waits.

        Raises:
            RejectedRequestError: The request has a large body and is invalid, so its body is not read.
            MalformedMessageError: There was no memory for a body that is not long.
        """
        declared_bytes = reader.declared_content_length()
        size = reader.body_size if declared_bytes is None else declared_bytes
        if size <= SMALL_BODY_BYTES:
            return True
        if not self.reserved_bytes:
            self.host.validator.validate(reader.request)
        if self._try_buffer(size, reader.body_size):
            return True
        if size > MAX_BUFFERED_BODY_BYTES:
            return False
        self._wait_to_buffer(reader, size, received_at)
        return True

    def _try_buffer(self, size: int, received_bytes: int) -> bool:
        """Reserve memory for what has arrived of a body; return whether there is any.

        Nothing is reserved for bytes that the head announces, as clients may never send them.  A long body
        that would not fit is not begun.
        """
        if received_bytes <= SMALL_BODY_BYTES and size <= MAX_BUFFERED_BODY_BYTES:
            return True
        memory = self.host.budget.memory
        if size > MAX_BUFFERED_BODY_BYTES and not self.reserved_bytes and not memory.fits(size):
            return False
        steps = -(-received_bytes // RESERVATION_STEP_BYTES)
        missing_bytes = steps * RESERVATION_STEP_BYTES - self.reserved_bytes
        if missing_bytes <= 0:
            return True
        if not memory.try_reserve(missing_bytes):
            return False
        self.reserved_bytes += missing_bytes
        return True

    def begin_upload(self, reader: RequestReader, received_at: int) -> None:
        """Wait until the body of the current request may be streamed.

        Raises:
            RejectedRequestError: The request is invalid.
            MalformedMessageError: Too many other bodies were streamed for too long.
        """
        self._wait(self.host.budget.memory.try_begin_upload, reader, received_at)
        self.is_upload = True

    def _wait_to_buffer(self, reader: RequestReader, size: int, received_at: int) -> None:
        self._wait(lambda: self._try_buffer(size, reader.body_size), reader, received_at)

    def _wait(self, succeeds: Callable[[], bool], reader: RequestReader, received_at: int) -> None:
        """Try again until it succeeds; raises a `MalformedMessageError` if that takes too long."""
        give_up_at = self._give_up_at(reader.request, received_at)
        while not succeeds():
            if not self._can_wait(give_up_at):
                self._record_shortage(reader.request, reader.body_size)
                raise MalformedMessageError("no memory for the body", statuses.SERVICE_UNAVAILABLE)
            self.host.budget.memory.wait()

    # --- Waiting -----------------------------------------------------------------------------------------
    def _give_up_at(self, request: ClientRequest, received_at: int) -> int:
        """Return until when a request may wait; raises a `RejectedRequestError` if it is invalid."""
        timeout = self.host.validator.effective_timeout(request)
        return received_at + int(timeout * MAX_WAIT_SHARE)

    def _can_wait(self, give_up_at: int) -> bool:
        """Return whether a request may wait longer, and make room for it if so."""
        if clock() >= give_up_at or not self.is_open():
            return False
        self.host.reject_stalled_request()
        return True

    def _record_shortage(self, request: ClientRequest, body_bytes: int) -> None:
        memory = self.host.budget.memory
        log.warning(
            "no_memory_available",
            body_bytes=body_bytes,
            trace_id=request.trace_id,
            reserved_bytes=memory.reserved_bytes,
            max_bytes=memory.max_bytes,
        )
        self.host.validator.count_rejection(request)
