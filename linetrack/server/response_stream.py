"""A long response on its way from an upstream to a client."""

from __future__ import annotations

from collections.abc import Callable

from gevent.event import AsyncResult

from linetrack.policy.events import Outcome
from linetrack.server.connection import Connection
from linetrack.server.http1.responses import Response


class ResponseStream:
    """Read by whoever writes it to the client, who also reports how it ended.

    Args:
        connection: The upstream's, on which the response has begun.
        response: Its head.
        stall_timeout: Seconds for which the upstream may send nothing.
        read_size: Returns how many bytes to read at once.
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
        """Wait for the next chunks of the body; empty once it is complete.

        Raises:
            OSError: The connection failed or ended early, or the upstream stalled.
            MalformedMessageError: The body is not well-formed.
        """
        reader = self.connection.reader
        while not (chunks := reader.take_body_chunks()) and reader.completed_response is None:
            data = self.connection.sock.recv(self.read_size())
            if data:
                reader.feed(data)
            elif reader.feed_eof() is None:
                raise ConnectionResetError("the response ended early")
        return chunks

    def finish(self, outcome: Outcome) -> None:
        """Report how it ended; the first report counts."""
        if not self.outcome.ready():
            self.outcome.set(outcome)
