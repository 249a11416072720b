"""Validation of the requests that clients send, and their conversion to events for the policy.

A request that fails a check raises a `RejectedRequestError` with the status to respond with.  Nothing here
reads from sockets or writes to them.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto

from linetrack.control.metrics import RequestOutcome
from linetrack.policy.events import RequestReceived
from linetrack.server.clock import clock
from linetrack.server.dispatcher import Dispatcher
from linetrack.server.http1 import statuses
from linetrack.server.http1.errors import MalformedMessageError
from linetrack.server.http1.headers import TENANT_PROPERTY, WORK_PROPERTY, WRITE_PROPERTY, parse_timeout
from linetrack.server.http1.requests import ClientRequest
from linetrack.server.recent_request_ids import RecentRequestIds

MAX_LOGGED_PATH_LENGTH = 80  # characters
MAX_INTEGER_DIGITS = 15

WRITE_VALUES = ("1", "true")


class RejectionReason(Enum):
    """Why a request is rejected before it reaches the policy."""

    UNKNOWN_CLASS = auto()
    MISSING_REQUEST_ID = auto()
    INVALID_TIMEOUT = auto()
    DUPLICATE_REQUEST_ID = auto()
    TIMEOUT_EXPIRED = auto()
    PROCESS_ENDING = auto()


REJECTION_STATUSES = {
    RejectionReason.UNKNOWN_CLASS: statuses.BAD_REQUEST,
    RejectionReason.MISSING_REQUEST_ID: statuses.BAD_REQUEST,
    RejectionReason.INVALID_TIMEOUT: statuses.BAD_REQUEST,
    RejectionReason.DUPLICATE_REQUEST_ID: statuses.CONFLICT,
    RejectionReason.TIMEOUT_EXPIRED: statuses.GATEWAY_TIMEOUT,
    RejectionReason.PROCESS_ENDING: statuses.SERVICE_UNAVAILABLE,
}


class RejectedRequestError(MalformedMessageError):
    """Raised for a request that is rejected before it reaches the policy.

    Attributes:
        rejection: Which check the request failed.
        path: The path of the request.
    """

    def __init__(self, rejection: RejectionReason, path: str) -> None:
        status = REJECTION_STATUSES[rejection]
        super().__init__(f"{rejection.name.lower()}: {path[:MAX_LOGGED_PATH_LENGTH]!r}", status)
        self.rejection = rejection
        self.path = path


@dataclass(slots=True, frozen=True)
class ValidRequest:
    """The values parsed from a request that passed the checks."""

    class_name: str
    class_index: int
    affinity_key: str
    timeout: int
    """How long the client waits, in microseconds."""


class RequestValidator:
    """Validates the requests of one process.

    Args:
        dispatcher: Assigns the identifiers of requests, counts requests and knows the shutdown deadline.
        class_names: The request classes, in the order of their indices.
        deadlines: The maximum duration of a request of each class, in microseconds.
    """

    def __init__(
        self, dispatcher: Dispatcher, class_names: tuple[str, ...], deadlines: tuple[int, ...]
    ) -> None:
        self.dispatcher = dispatcher
        self.recent_ids = RecentRequestIds()
        self.configure(class_names, deadlines)

    def configure(self, class_names: tuple[str, ...], deadlines: tuple[int, ...]) -> None:
        """Use these classes and deadlines for requests that are checked from now on."""
        self.class_indices = {name: index for index, name in enumerate(class_names)}
        self.deadlines = deadlines

    def validate(self, request: ClientRequest) -> ValidRequest:
        """Return the values parsed from a request; raises a `RejectedRequestError` if it fails a check."""
        segments = request.path_segments()
        class_index = self.class_indices.get(segments[0]) if segments else None
        timeout = parse_timeout(request.expires_in)
        if class_index is None:
            raise RejectedRequestError(RejectionReason.UNKNOWN_CLASS, request.path)
        if not request.trace_id:
            raise RejectedRequestError(RejectionReason.MISSING_REQUEST_ID, request.path)
        if timeout is None or timeout < 0:
            raise RejectedRequestError(RejectionReason.INVALID_TIMEOUT, request.path)
        if request.trace_id in self.recent_ids:
            # It could be executed twice, or get the response to the other request with this identifier.
            raise RejectedRequestError(RejectionReason.DUPLICATE_REQUEST_ID, request.path)
        if timeout == 0:
            raise RejectedRequestError(RejectionReason.TIMEOUT_EXPIRED, request.path)
        affinity_key = segments[-1] if len(segments) > 1 else ""
        return ValidRequest(segments[0], class_index, affinity_key, timeout)

    def effective_timeout(self, request: ClientRequest) -> int:
        """Return the time within which a request gets its response, in microseconds.

        Raises:
            RejectedRequestError: The request fails a check.
        """
        valid = self._validate_and_count(request)
        return min(valid.timeout, self.deadlines[valid.class_index])

    def accept(self, request: ClientRequest) -> RequestReceived:
        """Validate a request and return its event for the policy.

        The request is open until `finish` is called with its identifier.

        Raises:
            RejectedRequestError: The request fails a check, or the process ends before it could be served.
        """
        valid = self._validate_and_count(request)
        request.class_name = valid.class_name
        # A request that arrives during the shutdown must get its response before the process ends.
        time_until_shutdown = self.dispatcher.shutdown_deadline - clock()
        timeout = min(valid.timeout, self.deadlines[valid.class_index], time_until_shutdown)
        if timeout <= 0:
            self._count(request.class_name, RequestOutcome.REJECTED)
            raise RejectedRequestError(RejectionReason.PROCESS_ENDING, request.path)
        self.recent_ids.add(request.trace_id)
        return RequestReceived(
            request_id=self.dispatcher.next_request_id(),
            class_index=valid.class_index,
            timeout=timeout,
            tenant=_parse_integer(request.properties.get(TENANT_PROPERTY, "")),
            affinity_key=valid.affinity_key,
            work=_parse_integer(request.properties.get(WORK_PROPERTY, "")),
            is_retry=request.is_client_retry,
            is_write=request.properties.get(WRITE_PROPERTY) in WRITE_VALUES,
            idempotency_key=hash(request.idempotency_key) if request.idempotency_key else 0,
            is_replayable=request.body_stream is None,
            has_long_body=bool(request.body_chunks) or request.body_stream is not None,
        )

    def finish(self, request_id: str) -> None:
        """Mark the request with this identifier as finished."""
        self.recent_ids.finish(request_id)

    def count_rejection(self, request: ClientRequest) -> None:
        """Count a valid request that is rejected as there is no memory for it."""
        self._count(request.path_segments()[0], RequestOutcome.REJECTED)

    def _validate_and_count(self, request: ClientRequest) -> ValidRequest:
        """Validate a request; if its timeout had expired when it arrived, count it as failed."""
        try:
            return self.validate(request)
        except RejectedRequestError as error:
            if error.rejection is RejectionReason.TIMEOUT_EXPIRED:
                self._count(request.path_segments()[0], RequestOutcome.FAILED)
            raise

    def _count(self, class_name: str, outcome: RequestOutcome) -> None:
        """Count a request that does not reach the policy, with its outcome."""
        self.dispatcher.metrics.requests_received += 1
        self.dispatcher.metrics.record_outcome(class_name, outcome)


def _parse_integer(text: str) -> int:
    """Return the value of a property that is a number of at most 15 digits, and 0 for any other text."""
    return int(text) if text.isdecimal() and len(text) <= MAX_INTEGER_DIGITS else 0
