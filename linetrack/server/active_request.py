"""A request from the moment it is received until its last attempt has ended, and its attempts.

All times are microseconds of `linetrack.server.clock`.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from linetrack.policy.events import RequestReceived
from linetrack.server.clock import NEVER
from linetrack.server.http1.requests import ClientRequest
from linetrack.server.response_stream import ResponseStream


@dataclass(slots=True)
class FinalResponse:
    """A request's one final response: an endpoint's, a rejection (503, with advice) or a failure (502)."""

    status: int
    body: bytes = b""
    content_type: str = ""
    retry_after: int = 0  # microseconds; 0: no advice
    content_length: int | None = None  # of a body that exists and is not forwarded (HEAD)
    stream: ResponseStream | None = None  # a long response, from its first bytes on


#: Stands in for a request that has ended, so that its body can be freed.
RELEASED_REQUEST = ClientRequest("", "")


def ignore_response(final: FinalResponse) -> None:
    """Drop a response that no client waits for."""


def never_disconnected() -> bool:
    """Stand in for the check of a client whose connection cannot be looked at."""
    return False


class ActiveRequest:
    """A request from the moment it is received until it is completed and its last attempt has ended."""

    __slots__ = (
        "attempts",
        "class_name",
        "client_request",
        "deadline",
        "has_client_disconnected",
        "is_completed",
        "is_replayable",
        "reply",
        "request_id",
        "stream",
        "timeout",
    )

    def __init__(
        self,
        received: RequestReceived,
        client_request: ClientRequest,
        received_at: int,
        reply: Callable[[FinalResponse], None],
        has_client_disconnected: Callable[[], bool] = never_disconnected,
    ) -> None:
        """Begin the life of a request.

        Args:
            received: What the policy is notified of.
            client_request: What is forwarded.
            received_at: When its last byte was seen; its timeout runs from then on.
            reply: Takes the final response.
            has_client_disconnected: Called before the first byte of an attempt is written.
        """
        self.request_id = received.request_id
        self.timeout = received.timeout
        self.is_replayable = received.is_replayable
        self.class_name = client_request.class_name
        self.client_request = client_request
        self.reply = reply
        self.has_client_disconnected = has_client_disconnected
        # a streamed body has limits of its own; the request's timeout begins with its last byte
        self.deadline = received_at + received.timeout if received.is_replayable else NEVER
        self.attempts: list[Attempt] = []
        self.is_completed = False  # it has its final response, or its client has disconnected
        self.stream: ResponseStream | None = None  # the streamed response of one of its attempts

    def release_references(self) -> None:
        """Drop what may hold the request's body: timers of its attempts refer to it until they are due."""
        self.client_request = RELEASED_REQUEST
        self.reply = ignore_response
        self.has_client_disconnected = never_disconnected


class Socket(Protocol):
    """What aborting an attempt needs of its connection's socket."""

    def shutdown(self, how: int, /) -> object:
        """Shut down one or both directions of the connection."""

    def close(self) -> object:
        """Close the socket."""


class Attempt:
    """One attempt of a request.  Whoever ends it first, its greenlet or the dispatcher, reports its end."""

    __slots__ = (
        "deadline",
        "endpoint",
        "has_ended",
        "has_response_started",
        "index",
        "request",
        "sent_at",
        "sock",
        "write_deadline",
    )

    def __init__(
        self, request: ActiveRequest, endpoint: str, sent_at: int, deadline: int, write_deadline: int = 0
    ) -> None:
        """Begin an attempt; without a `write_deadline` it may be written until its deadline."""
        self.request = request
        self.endpoint = endpoint
        self.sent_at = sent_at
        self.deadline = deadline
        self.write_deadline = write_deadline or deadline  # after which none of it may be written
        self.index = len(request.attempts)
        self.has_ended = False
        self.has_response_started = False  # its response is being streamed to the client
        self.sock: Socket | None = None  # what its greenlet waits on: closing it aborts the attempt
