"""An outgoing connection to an upstream or to discovery: connecting, and reading one response at a time.

Its caller decides when to connect and when to give up.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from gevent import socket

from linetrack.policy.time_units import SECOND
from linetrack.server import sockets
from linetrack.server.clock import NEVER, clock
from linetrack.server.greenlets import yield_to_event_loop
from linetrack.server.http1.errors import MalformedMessageError
from linetrack.server.http1.responses import Response, ResponseReader


class StalledError(MalformedMessageError):
    """Raised if a response has begun and then no byte of it arrived for `timeout` seconds."""

    def __init__(self, timeout: float) -> None:
        super().__init__("the response stalled")
        self.timeout = timeout


def never() -> int:
    """Return a time that does not come."""
    return NEVER


def default_read_size() -> int:
    """Return the number of bytes to read at a time where memory is of no concern."""
    return sockets.READ_SIZE


@dataclass(slots=True)  # not frozen, as each attempt constructs one
class ResponseHold:
    """Until when a response that declares no length is held back to see whether it is complete.

    Attributes:
        until: The time from which it is streamed as soon as more of it arrives.
        latest: Returns the time at which it is streamed although it pauses, if a part of its body is there.
    """

    until: int = NEVER
    latest: Callable[[], int] = never


UNLIMITED_HOLD = ResponseHold()


class Connection:
    """A TCP connection that carries one request and its response at a time.

    Args:
        address: The address of the peer.
        max_body_bytes: The maximum size of a response's body.
        max_buffered_body_bytes: The maximum size of a body that is buffered until it is complete.
    """

    __slots__ = ("address", "idle_depth", "idle_since", "idle_until", "reader", "sock")

    def __init__(self, address: tuple[str, int], max_body_bytes: int, max_buffered_body_bytes: int) -> None:
        self.address = address
        self.reader = ResponseReader(max_body_bytes, max_buffered_body_bytes)
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        # Set by the pool when the connection becomes idle.  Times are microseconds of the clock.
        self.idle_since = 0
        self.idle_until = 0
        self.idle_depth = 0  # how many connections to the endpoint were idle already, capped by the pool

    def connect(self, timeout: float) -> None:
        """Connect within `timeout` seconds; on failure, close the connection and raise the error."""
        try:
            self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.sock.settimeout(timeout)
            self.sock.connect(self.address)
            # The timeout is for connecting only: a response may take longer to begin.
            self.sock.settimeout(None)
        except BaseException:
            self.close()
            raise

    def close(self) -> None:
        """Close the socket and free the parser."""
        self.sock.close()
        self.reader.close()

    def write(self, data: bytes | bytearray) -> None:
        """Write all of the data, waiting if necessary."""
        sockets.write(self.sock, data)

    def write_within(self, data: bytes, seconds: float) -> None:
        """Write all of the data; raises a `TimeoutError` if that takes longer, with a part of it written."""
        sockets.write_within(self.sock, data, seconds)

    def read_response(
        self,
        on_large_body: Callable[[int], None],
        hold: ResponseHold = UNLIMITED_HOLD,
        stall_timeout: float | None = None,
        read_size: Callable[[], int] = default_read_size,
    ) -> Response | None:
        """Wait until the response is complete or, if its body is too long to be buffered, has begun.

        Args:
            on_large_body: Called once with the expected size of the body, if the body does not arrive
                together with its head.
            hold: When a response that declares no length is treated as one that is too long: nobody knows how
                long the rest takes.
            stall_timeout: Seconds without a byte after which a response that has begun is given up; None if
                only the caller ends it, by closing the connection.
            read_size: Returns how many bytes to read at a time.

        Returns:
            The response, or None if the connection ended first.

        Raises:
            StalledError: The response stalled.
            MalformedMessageError: The bytes are not a valid response.
            OSError: The connection failed.
        """
        reader = self.reader
        data = self.sock.recv(sockets.FIRST_READ_SIZE)
        response = reader.feed(data) if data else reader.feed_eof()
        if response is None and data and not reader.exceeds_body_buffer:
            response = self._read_rest(on_large_body, hold, stall_timeout, read_size)
        return response or (reader.response if reader.exceeds_body_buffer else None)

    def _read_rest(
        self,
        on_large_body: Callable[[int], None],
        hold: ResponseHold,
        stall_timeout: float | None,
        read_size: Callable[[], int],
    ) -> Response | None:
        """Read until the response is complete or exceeds the buffer, or the connection ends."""
        reader = self.reader
        response: Response | None = None
        has_more = True
        is_reported = False
        while response is None and has_more and not reader.exceeds_body_buffer:
            if reader.response is not None and not is_reported:
                is_reported = True
                length = reader.response.content_length
                on_large_body(reader.max_buffered_body_bytes if length is None else length)
            yield_to_event_loop()
            data = self._receive(hold, stall_timeout, sockets.next_read_size(self.sock, read_size))
            if data is None:
                reader.stop_buffering()
                continue
            has_more = bool(data)
            response = reader.feed(data) if data else reader.feed_eof()
            if response is None and has_more and clock() >= hold.until:
                reader.stop_buffering()
        self.sock.settimeout(None)
        return response

    def _receive(self, hold: ResponseHold, stall_timeout: float | None, max_bytes: int) -> bytes | None:
        """Return the next bytes; None if they have not arrived at the latest time of the hold.

        Raises:
            StalledError: No byte arrived within the stall timeout.
            OSError: The connection failed.
        """
        latest = hold.latest()
        hold_seconds = (latest - clock()) / SECOND
        ends_with_hold = hold_seconds > 0 and (
            latest < NEVER if stall_timeout is None else hold_seconds < stall_timeout
        )
        self.sock.settimeout(hold_seconds if ends_with_hold else stall_timeout)
        try:
            data: bytes = self.sock.recv(max_bytes)
        except TimeoutError:
            if ends_with_hold:
                return None
            raise StalledError(stall_timeout or 0.0) from None
        return data
