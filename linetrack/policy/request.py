"""The record of one open request.  Records hold state and make no decisions."""

from __future__ import annotations

from linetrack.policy.endpoint import Attempt, Endpoint
from linetrack.policy.events import RequestReceived
from linetrack.policy.protocols import PossibleExecution
from linetrack.policy.settings import RequestClass


class Request:
    """The state of one request, from its arrival to its final response."""

    __slots__ = (
        "attempt_count", "attempted", "class_cost", "class_index", "deadline", "first_candidate", "in_flight",
        "is_open", "is_waiting", "jitter", "mean_objective", "net_value", "overload_factor",
        "possible_executions", "quota_factor", "received", "request_class", "request_id",
        "response_started_at", "second_candidate", "staleness_discount", "started_at", "value",
    )  # fmt: skip

    def __init__(self, received: RequestReceived, request_class: RequestClass, now: int) -> None:
        """Initialize the record of a request that arrives now."""
        self.received = received
        self.request_class = request_class
        self.request_id = received.request_id
        self.class_index = received.class_index
        self.started_at = now  # start of the latency objective
        self.deadline = now + received.timeout
        self.is_open = True  # whether it has no final response yet
        self.is_waiting = False  # whether it waits for an available endpoint
        self.response_started_at = 0  # start of a streamed response; 0: none
        # attempts
        self.attempt_count = 0
        self.attempted: list[Endpoint] = []
        self.in_flight: dict[int, Attempt] = {}  # by attempt number
        self.possible_executions: list[PossibleExecution] = []  # ended attempts only
        # candidate_selection
        self.first_candidate: Endpoint | None = None
        self.second_candidate: Endpoint | None = None
        self.net_value = 0.0  # net value of sending it to the first candidate
        # admission: values and costs in units of a mean request's value and cost
        self.value = 1.0
        self.quota_factor = 1.0  # share of its value that remains after its tenant's quota is applied
        self.class_cost = 1.0
        self.overload_factor = 1.0  # factor on the cost of work while many requests are late
        self.mean_objective = 1.0  # mean over the classes of latency objective / class cost
        self.staleness_discount = 1.0  # decays to 0 while no endpoint responds
        self.jitter = 1.0  # random factor on costs, so that the instances do not all switch at once

    @property
    def useful_until(self) -> int:
        """Return the time after which a response is late or the client has given up."""
        return min(self.request_class.latency_objective + self.started_at, self.deadline)
