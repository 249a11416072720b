"""The record of one open request.  Records hold state and decide nothing."""

from __future__ import annotations

from linetrack.policy.endpoint import Attempt, Endpoint
from linetrack.policy.events import RequestReceived
from linetrack.policy.protocols import PossibleExecution
from linetrack.policy.settings import RequestClass


class Request:
    """One request, from its arrival until its final response."""

    __slots__ = (
        "attempt_count", "attempted", "class_cost", "class_index", "deadline", "first_candidate", "in_flight",
        "is_open", "is_waiting", "jitter", "mean_objective", "net_value", "overload_factor",
        "possible_executions", "quota_factor", "received", "request_class", "request_id",
        "response_started_at", "second_candidate", "staleness_discount", "started_at", "value",
    )  # fmt: skip

    def __init__(self, received: RequestReceived, request_class: RequestClass, now: int) -> None:
        """Make the record of a request that arrives now."""
        self.received = received
        self.request_class = request_class
        self.request_id = received.request_id
        self.class_index = received.class_index
        self.started_at = now  # the latency objective counts from here
        self.deadline = now + received.timeout
        self.is_open = True  # until it has its final response
        self.is_waiting = False  # for an endpoint that may be sent to
        self.response_started_at = 0  # when a streamed response began
        # its attempts
        self.attempt_count = 0
        self.attempted: list[Endpoint] = []
        self.in_flight: dict[int, Attempt] = {}  # by attempt number
        self.possible_executions: list[PossibleExecution] = []  # of attempts that have ended
        # candidate_selection
        self.first_candidate: Endpoint | None = None
        self.second_candidate: Endpoint | None = None
        self.net_value = 0.0  # of sending it to the first candidate
        # admission: values and costs in units of a mean request's value and cost
        self.value = 1.0
        self.quota_factor = 1.0  # share of its value that its tenant's quota leaves it
        self.class_cost = 1.0
        self.overload_factor = 1.0  # how much dearer work is while many requests are late
        self.mean_objective = 1.0
        self.staleness_discount = 1.0  # falls to 0 while no endpoint responds
        self.jitter = 1.0  # grades decisions, so that all instances do not turn at once

    @property
    def useful_until(self) -> int:
        """Return the moment after which a response is late, or its client has given up."""
        return min(self.request_class.latency_objective + self.started_at, self.deadline)
