"""A request and its attempts, from when it is received until its last attempt has ended.

All times are in microseconds of `linetrack.server.clock`.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from linetrack.policy.events import Outcome, RequestReceived
from linetrack.server.http1.requests import ClientRequest
from linetrack.server.response_stream import ResponseStream


@dataclass(slots=True)
class FinalResponse:
    """The final response to a request: an endpoint's response, a rejection (503) or a failure (502)."""

    status: int
    body: bytes = b""
    content_type: str = ""
    retry_after: int = 0  # the advice when to retry, in microseconds from now; 0: no advice
    content_length: int | None = None  # the length of a body that is not forwarded (HEAD)
    stream: ResponseStream | None = None  # the body of a long response, which is forwarded as it arrives


#: Replaces a request that has ended, so that its body can be freed.
RELEASED_REQUEST = ClientRequest("", "")


def ignore_response(final: FinalResponse) -> None:
    """Discard a response that no client waits for."""


def never_disconnected() -> bool:
    """Return False; used where there is no client connection to check."""
    return False


class ActiveRequest:
    """A request from when it is received until it is completed and its last attempt has ended."""

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
        """Create a request without attempts.

        Args:
            received: The event that the policy is notified of.
            client_request: The request to forward.
            received_at: When the last byte of the request was seen, which is when its timeout starts.
            reply: Called with the final response.
            has_client_disconnected: Called before the first byte of an attempt is written; if it returns
                True, the attempt is not sent.
        """
        self.request_id = received.request_id
        self.timeout = received.timeout
        self.is_replayable = received.is_replayable
        self.class_name = client_request.class_name
        self.client_request = client_request
        self.reply = reply
        self.has_client_disconnected = has_client_disconnected
        # The timeout starts with the last byte, which of a streamed body may not have been sent yet.
        self.deadline = received_at + received.timeout
        self.attempts: list[Attempt] = []
        self.is_completed = False  # whether it has its final response or its client has disconnected
        self.stream: ResponseStream | None = None  # the streamed response of one of its attempts

    def extend_deadline(self) -> None:
        """Move the deadline of a request with a streamed body, if its client had not sent all of it."""
        body = self.client_request.body_stream
        if body is not None:
            self.deadline = max(self.deadline, body.last_incomplete_at() + self.timeout)

    def is_upload_held_up_elsewhere(self) -> bool:
        """Return whether a streamed body is incomplete for another reason than its upstream."""
        body = self.client_request.body_stream
        if body is None or self.client_request.is_complete:
            return False
        return not body.is_held_up_by_upstream()

    def describe_attempts(self) -> list[str]:
        """Return each attempt's endpoint with its outcome, or `open`, for the log."""
        outcomes = ((attempt.endpoint, attempt.outcome) for attempt in self.attempts)
        return [f"{endpoint} {outcome.name.lower() if outcome else 'open'}" for endpoint, outcome in outcomes]

    def release_references(self) -> None:
        """Drop the references that may keep the body of the request in memory.

        The timers of its attempts refer to the request until they are due.
        """
        self.client_request = RELEASED_REQUEST
        self.reply = ignore_response
        self.has_client_disconnected = never_disconnected


class Socket(Protocol):
    """The methods of a connection's socket that are needed to abort an attempt."""

    def shutdown(self, how: int, /) -> object:
        """Shut down one or both directions of the connection."""

    def close(self) -> object:
        """Close the socket."""


class Attempt:
    """One attempt of a request.

    Either its greenlet or the dispatcher ends it; the one that does so first reports its end.
    """

    __slots__ = (
        "deadline",
        "endpoint",
        "has_ended",
        "has_response_started",
        "index",
        "is_written",
        "outcome",
        "request",
        "sent_at",
        "sock",
        "write_deadline",
    )

    def __init__(
        self, request: ActiveRequest, endpoint: str, sent_at: int, deadline: int, write_deadline: int = 0
    ) -> None:
        """Create an attempt; without a `write_deadline` it may be written until its deadline."""
        self.request = request
        self.endpoint = endpoint
        self.sent_at = sent_at
        self.deadline = deadline
        self.write_deadline = write_deadline or deadline  # after which no byte of it must be written
        self.index = len(request.attempts)
        self.has_ended = False
        self.is_written = False  # whether the whole request was written
        self.outcome: Outcome | None = None  # once the policy was notified of its end
        self.has_response_started = False  # whether its response is being streamed to the client
        self.sock: Socket | None = None  # its greenlet waits on it, so that closing it aborts the attempt
