"""Checks of what clients send, which turn a message into the event that the policy handles.

A message that fails a check raises a `RejectedRequestError` with the status to respond with; nothing is
read from or written to a socket here.
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
from linetrack.server.http1.headers import parse_timeout
from linetrack.server.http1.requests import ClientRequest
from linetrack.server.recent_request_ids import RecentRequestIds

MAX_LOGGED_PATH_LENGTH = 80
MAX_INTEGER_DIGITS = 15

# Names on the wire, in the header of properties.
TENANT_PROPERTY = "party"
WORK_PROPERTY = "workUs"
WRITE_PROPERTY = "update"
WRITE_VALUES = ("1", "true")


class RejectionReason(Enum):
    """Why a message is no request that the policy could handle."""

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
    """A message that is not forwarded.

    Attributes:
        rejection: Which check it failed.
        path: Its path.
    """

    def __init__(self, rejection: RejectionReason, path: str) -> None:
        status = REJECTION_STATUSES[rejection]
        super().__init__(f"{rejection.name.lower()}: {path[:MAX_LOGGED_PATH_LENGTH]!r}", status)
        self.rejection = rejection
        self.path = path


@dataclass(slots=True, frozen=True)
class ValidRequest:
    """What a message that passed the checks says."""

    class_name: str
    class_index: int
    affinity_key: str
    timeout: int
    """Microseconds for which the client waits."""


class RequestValidator:
    """The checks of one process.

    Args:
        dispatcher: Numbers the requests, counts them and has the moment at which the process ends.
        class_names: The request classes, in the order of their indices.
        deadlines: Microseconds that a request of each class may take.
    """

    def __init__(
        self, dispatcher: Dispatcher, class_names: tuple[str, ...], deadlines: tuple[int, ...]
    ) -> None:
        self.dispatcher = dispatcher
        self.recent_ids = RecentRequestIds()
        self.configure(class_names, deadlines)

    def configure(self, class_names: tuple[str, ...], deadlines: tuple[int, ...]) -> None:
        """Use these classes and deadlines for what is checked from here on."""
        self.class_indices = {name: index for index, name in enumerate(class_names)}
        self.deadlines = deadlines

    def validate(self, request: ClientRequest) -> ValidRequest:
        """Return what a message says; raises a `RejectedRequestError` where it fails a check."""
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
            # It could be executed twice, or get the response to the other request of this identifier.
            raise RejectedRequestError(RejectionReason.DUPLICATE_REQUEST_ID, request.path)
        if timeout == 0:
            raise RejectedRequestError(RejectionReason.TIMEOUT_EXPIRED, request.path)
        affinity_key = segments[-1] if len(segments) > 1 else ""
        return ValidRequest(segments[0], class_index, affinity_key, timeout)

    def accept(self, request: ClientRequest) -> RequestReceived:
        """Return the event for the policy; the request is open until `finish` is called with its identifier.

        Raises:
            RejectedRequestError: It fails a check, or there is no time left to serve it.
        """
        valid = self._validate_and_count(request)
        request.class_name = valid.class_name
        # A request that arrives while the process ends must get its response before the end.
        time_left = self.dispatcher.shutdown_deadline - clock()
        timeout = min(valid.timeout, self.deadlines[valid.class_index], time_left)
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
        )

    def finish(self, request_id: str) -> None:
        """The request with this identifier is finished."""
        self.recent_ids.finish(request_id)

    def _validate_and_count(self, request: ClientRequest) -> ValidRequest:
        """Validate, and count a request whose time was over when it arrived."""
        try:
            return self.validate(request)
        except RejectedRequestError as error:
            if error.rejection is RejectionReason.TIMEOUT_EXPIRED:
                self._count(request.path_segments()[0], RequestOutcome.FAILED)
            raise

    def _count(self, class_name: str, outcome: RequestOutcome) -> None:
        """Count a request that ends here."""
        self.dispatcher.metrics.requests_received += 1
        self.dispatcher.metrics.record_outcome(class_name, outcome)


def _parse_integer(text: str) -> int:
    """The value of a property that is a number of at most 15 digits; 0 for anything else."""
    return int(text) if text.isdecimal() and len(text) <= MAX_INTEGER_DIGITS else 0
