"""Checks what clients send and turns it into the arrivals that the decision module is told of.

Owns the ids of open requests and of those that are lately over.  Must never read a socket or write an answer:
what is no request raises a `RejectedRequestError` with the status that answers it.
"""

from __future__ import annotations

from dataclasses import dataclass
from hashlib import blake2b

from linetrack.control.metrics import RequestOutcome
from linetrack.policy.events import RequestReceived
from linetrack.server.clock import clock
from linetrack.server.http1.errors import MalformedMessageError
from linetrack.server.http1.headers import parse_timeout
from linetrack.server.http1.requests import ClientRequest
from linetrack.server.dispatcher import Dispatcher

LONGEST_ID = 128  # characters of an id that are kept as they are

BAD_REQUEST, CONFLICT, UNAVAILABLE, GATEWAY_TIMEOUT = 400, 409, 503, 504


class RejectedRequestError(MalformedMessageError):
    """A message that the decision module is not told of, as its class, id or deadline makes no sense."""

    def __init__(self, request: ClientRequest, status: int) -> None:
        super().__init__(f"class, id or deadline of {request.path[:80]!r}", status)


@dataclass(slots=True, frozen=True)
class CheckedRequest:
    """What a request that passed the checks says.  `patience` is in microseconds."""

    class_name: str
    klass: int
    key: str
    id_mark: str
    patience: int


class RequestValidator:
    """The checks of one process; the ids that it has seen are its own."""

    def __init__(self, owner: Dispatcher, classes: tuple[str, ...], deadlines: tuple[int, ...]) -> None:
        self.owner = owner
        self.set(classes, deadlines)
        # the ids of open requests and of those lately over: a copy may have been sent meanwhile
        self.ids: set[str] = set()
        self.lately: tuple[set[str], set[str]] = (set(), set())

    def set(self, classes: tuple[str, ...], deadlines: tuple[int, ...]) -> None:
        """The classes of what is read from here on, and their deadlines in microseconds."""
        self.classes = {name: n for n, name in enumerate(classes)}
        self.deadlines = deadlines

    def check(self, request: ClientRequest) -> CheckedRequest:
        """Return what a request says; raises a `RejectedRequestError` where it is none."""
        steps, mark = request.path_segments(), _mark(request.trace_id)
        klass = self.classes.get(steps[0]) if steps else None
        patience = parse_timeout(request.expires_in)
        if klass is None or not request.trace_id or patience is None or patience < 0:
            raise RejectedRequestError(request, BAD_REQUEST)
        if mark in self.ids or mark in self.lately[0] or mark in self.lately[1]:
            # guards against running a request of this id twice, and against an answer for the wrong one
            raise RejectedRequestError(request, CONFLICT)
        if patience == 0:
            raise RejectedRequestError(request, GATEWAY_TIMEOUT)
        key = steps[-1] if len(steps) > 1 else ""
        return CheckedRequest(steps[0], klass, key, mark, patience)

    def arrival(self, request: ClientRequest) -> RequestReceived:
        """Return what the module is told of a request, whose id is open from here on; raises a
        `RejectedRequestError` where it is none, or where its time is over."""
        try:
            checked = self.check(request)
        except RejectedRequestError as rejected:
            if rejected.status == GATEWAY_TIMEOUT:
                # it was a request, whose time was over when it came
                self._count_as_over(request.path_segments()[0], RequestOutcome.FAILED)
            raise
        request.class_name = checked.class_name
        # guards against a request that comes late in this process's end and outlasts it
        patience = min(checked.patience, self.deadlines[checked.klass], self.owner.shutdown_deadline - clock())
        if patience <= 0:
            self._count_as_over(request.class_name, RequestOutcome.REJECTED)
            raise RejectedRequestError(request, UNAVAILABLE)
        self.ids.add(checked.id_mark)
        return RequestReceived(
            self.owner.next_request_id(),
            checked.klass,
            patience,
            _whole(request.properties.get("party", "")),
            checked.key,
            _whole(request.properties.get("workUs", "")),
            request.is_client_retry,
            request.properties.get("update") in ("1", "true"),
            hash(request.idempotency_key) if request.idempotency_key else 0,
            request.body_stream is None,
        )

    def over(self, request_id: str) -> None:
        """The request of this id is over; the id is remembered until `forget_older` was called twice."""
        mark = _mark(request_id)
        self.ids.discard(mark)
        self.lately[0].add(mark)

    def forget_older(self) -> None:
        """Forget the ids of requests that were over before the last call."""
        self.lately = set(), self.lately[0]

    def marks(self) -> list[str]:
        """The ids that are open or were a moment ago."""
        return [*self.ids, *self.lately[0], *self.lately[1]]

    def remember(self, marks: list[str]) -> None:
        """Take over the ids that another process remembers."""
        self.lately[0].update(marks)

    def _count_as_over(self, class_name: str, outcome: RequestOutcome) -> None:
        self.owner.metrics.requests_received += 1
        self.owner.metrics.record_outcome(class_name, outcome)


def _mark(trace: str) -> str:
    """Stands for an id, here and in a process that takes this one's place: the id itself, but for long ones,
    of which many would cost memory."""
    return trace if len(trace) <= LONGEST_ID else blake2b(trace.encode("latin-1", "replace")).hexdigest()


def _whole(text: str) -> int:
    return int(text) if text.isdecimal() and len(text) < 16 else 0
