"""What is wrong with bytes that were to be an HTTP message."""

from __future__ import annotations

from linetrack.errors import LinetrackError
from linetrack.server.http1.statuses import BAD_REQUEST


class MalformedMessageError(LinetrackError):
    """Bytes that are no message of the protocol, or one beyond its limits.

    `reason` is for the log, `status` is what a client that sent them is answered with.
    """

    def __init__(self, reason: str, status: int = BAD_REQUEST) -> None:
        super().__init__(reason)
        self.reason = reason
        self.status = status
