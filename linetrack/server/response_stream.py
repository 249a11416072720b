"""A long response that is forwarded from an upstream to a client as it arrives."""

from __future__ import annotations

from collections.abc import Callable

from gevent.event import AsyncResult

from linetrack.policy.events import Outcome
from linetrack.server.connection import Connection
from linetrack.server.greenlets import yield_to_event_loop
from linetrack.server.http1.responses import Response


class ResponseStream:
    """The body of a long response; the client's connection reads it, writes it and reports its outcome.

    Args:
        connection: The connection to the upstream, on which the response has begun.
        response: The head of the response.
        stall_timeout: Seconds without a byte from the upstream after which reading fails.
        read_size: Returns how many bytes to read at a time.
    """

    def __init__(
        self,
        connection: Connection,
        response: Response,
        stall_timeout: float,
        read_size: Callable[[], int],
    ) -> None:
        self.connection = connection
        self.content_length = response.content_length
        self.content_type = response.content_type
        self.read_size = read_size
        self.outcome: AsyncResult[Outcome] = AsyncResult()
        connection.sock.settimeout(stall_timeout)

    def read_chunks(self) -> list[bytes | bytearray]:
        """Wait for the next chunks of the body and return them; returns an empty list once it is complete.

        Raises:
            OSError: The connection failed or ended early, or the upstream stalled.
            MalformedMessageError: The body is not well-formed.
        """
        reader = self.connection.reader
        while not (chunks := reader.take_body_chunks()) and reader.completed_response is None:
            yield_to_event_loop()
            data = self.connection.sock.recv(self.read_size())
            if data:
                reader.feed(data)
            elif reader.feed_eof() is None:
                raise ConnectionResetError("the response ended early")
        return chunks

    def finish(self, outcome: Outcome) -> None:
        """Report the outcome of the stream; only the first report counts."""
        if not self.outcome.ready():
            self.outcome.set(outcome)
