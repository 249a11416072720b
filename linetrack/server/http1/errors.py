"""The error for bytes that are not a valid HTTP message."""

from __future__ import annotations

from linetrack.errors import LinetrackError
from linetrack.server.http1.statuses import BAD_REQUEST


class MalformedMessageError(LinetrackError):
    """Raised for bytes that are not a valid HTTP message, or for a message that exceeds a size limit.

    Attributes:
        reason: What is wrong, for the log.
        status: The status code to respond with if a client sent the bytes.
    """

    def __init__(self, reason: str, status: int = BAD_REQUEST) -> None:
        super().__init__(reason)
        self.reason = reason
        self.status = status
