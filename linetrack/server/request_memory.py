"""The memory that the requests of one client connection have reserved.

It decides whether the body of a request is buffered or streamed.  Every wait for memory ends as soon as the
request is no longer worth serving.
"""

from __future__ import annotations

from collections.abc import Callable

from linetrack.server.http1.limits import MAX_BUFFERED_BODY_BYTES
from linetrack.server.memory_budget import SMALL_BODY_BYTES, MemoryBudget

BODY_RESERVATION_BYTES = 256 * 1024  # reserved at a time if the length of a body is unknown


class RequestMemory:
    """The reservation of one connection.

    Attributes:
        reserved_bytes: The memory reserved for a large request.
    """

    __slots__ = ("budget", "reserved_bytes")

    def __init__(self, budget: MemoryBudget) -> None:
        self.budget = budget
        self.reserved_bytes = 0

    def release(self) -> None:
        """Release all that is reserved."""
        self.budget.release(self.reserved_bytes)
        self.reserved_bytes = 0

    def reserve_for_request(self, body_bytes: int, is_wanted: Callable[[], bool]) -> bool:
        """Reserve memory for a complete request, waiting while it is wanted; return whether there was any."""
        if self.reserved_bytes:
            return True
        reserved = self.budget.reserve_while(body_bytes, is_wanted)
        self.reserved_bytes = reserved or 0
        return reserved is not None

    def reserve_for_body(
        self, declared_bytes: int | None, received_bytes: int, is_wanted: Callable[[], bool]
    ) -> bool:
        """Reserve memory for buffering an incomplete body; return False if it must be streamed.

        A long body that does not fit the memory is forwarded as it arrives.  A shorter one waits while it is
        wanted.

        Args:
            declared_bytes: The length of the body, if the head declares it.
            received_bytes: How much of the body has arrived.
            is_wanted: Returns whether the request may still wait for memory.
        """
        size = received_bytes if declared_bytes is None else declared_bytes
        if size <= SMALL_BODY_BYTES:
            return True
        if not self.reserved_bytes and size <= MAX_BUFFERED_BODY_BYTES:
            self.reserved_bytes = self.budget.reserve_while(MAX_BUFFERED_BODY_BYTES, is_wanted) or 0
            return True
        if size <= self.reserved_bytes:
            return True
        additional_bytes = BODY_RESERVATION_BYTES if declared_bytes is None else size - self.reserved_bytes
        if not self.budget.try_reserve(additional_bytes):
            return False
        self.reserved_bytes += additional_bytes
        return True
