"""The records of one endpoint and of the attempts in flight on it.

Records hold state and make no decisions.  Each group of an endpoint's fields is written by the module named
above it.  All fields are in one record, as decisions read most of them for every endpoint.
"""

from __future__ import annotations

import zlib
from typing import NamedTuple

from linetrack.policy.decaying_average import DecayingAverage
from linetrack.policy.events import EndpointEntry, EndpointStatus
from linetrack.policy.settings import RequestClass, Settings
from linetrack.policy.time_units import SECOND

ESTIMATE_LIFETIME = SECOND  # time until the estimate for an idle endpoint is recomputed
MIN_WARM_FRACTION = 0.01  # an endpoint listed as up has some capacity, even if the settings say 0
HASH_MULTIPLIER = 0x9E3779B1  # 2^32 / golden ratio: spreads close values over the whole range
HASH_RANGE = 2**32


class ClassErrorRatio(NamedTuple):
    """The ratio of errors among an endpoint's responses to one request class."""

    ratio: float
    updated_at: int


class Ejection(NamedTuple):
    """Excludes an endpoint for one class: until `until`, then single trials until one succeeds."""

    duration: int  # doubles with each ejection in a row
    until: int


NO_EJECTION = Ejection(0, 0)


class EndpointState(NamedTuple):
    """The learnt state of one endpoint, in a form that another process can import."""

    started_at: int
    reported_load: float
    load_reported_at: int
    error_ratio: float
    fault_ratio: float
    last_response_at: int
    last_success_sent_at: int
    send_tokens: float
    send_tokens_at: int
    warmup_sends: list[int]
    latency_factor: DecayingAverage
    class_errors: dict[int, ClassErrorRatio] | None  # None where the importer's classes differ
    ejections: dict[int, Ejection] | None


class Attempt:
    """One attempt of a request, from its start to the event that reports its end."""

    __slots__ = (
        "backlog",
        "class_index",
        "endpoint",
        "expected_latency",
        "idle_time",
        "is_hedge",
        "number",
        "opens_connection",
        "request_class",
        "sent_at",
    )

    def __init__(self, number: int, class_index: int, endpoint: Endpoint, is_hedge: bool, now: int) -> None:
        """Capture the state of the endpoint's connections before this attempt is in flight."""
        self.number = number
        self.class_index = class_index  # in the settings of the instance that sent it
        self.request_class: RequestClass | None = None  # the class itself, set when the attempt is sent
        self.endpoint = endpoint
        self.is_hedge = is_hedge
        self.sent_at = now
        self.expected_latency = 0.0
        self.backlog = 0.0  # requests at the endpoint when this one was sent
        is_idle = endpoint.last_used_at and not endpoint.in_flight
        self.idle_time = now - endpoint.last_used_at if is_idle else 0
        self.opens_connection = endpoint.connected_until < now


class Endpoint:
    """The state of one endpoint, from its list entry, its load reports and this instance's attempts."""

    __slots__ = (
        "capacity", "cell", "class_errors", "connected_until", "ejections", "error_ratio",
        "estimate_expires_at", "fault_ratio", "host_class", "idle_factor", "in_flight", "is_routable",
        "is_unlisted", "last_response_at", "last_success_sent_at", "last_used_at", "latency_factor",
        "load_reported_at", "loaded_factor", "max_send_tokens", "name", "name_hash", "reported_load",
        "selection_weight", "send_allowance", "send_allowance_expires_at", "send_tokens", "send_tokens_at",
        "started_at", "warm_at", "warm_fraction", "warmup_sends", "warmup_started_at", "zone",
    )  # fmt: skip

    def __init__(self, entry: EndpointEntry) -> None:
        """Initialize the record of a newly listed endpoint."""
        self.name = entry.endpoint
        self.name_hash = zlib.crc32(entry.endpoint.encode())
        self.in_flight: dict[tuple[int, int], Attempt] = {}  # by request id and attempt number, oldest first
        self.reset(entry)

    def reset(self, entry: EndpointEntry) -> None:
        """Reset the state for a new process of the same name, but keep the attempts in flight."""
        # endpoint_list
        self.zone = entry.zone
        self.cell = entry.cell
        self.host_class = entry.host_class
        self.started_at = entry.started_at
        self.is_routable = entry.status is EndpointStatus.UP  # neither draining nor removed
        self.is_unlisted = False  # removed from the list, kept as removals are advisory
        self.capacity = 1.0
        # latency_model; factors are relative to the baseline latency, as of the latest estimate
        self.latency_factor = DecayingAverage()  # logarithm; its prior is the host class's factor
        self.idle_factor = 1.0  # latency factor without other requests at the endpoint
        self.loaded_factor = 1.0  # latency factor with its current requests and warm fraction
        self.warm_fraction = 1.0
        self.selection_weight = 1.0  # capacity / penalty, without the factors for zone and errors
        self.estimate_expires_at = 0
        # load_reports
        self.reported_load = 0.0  # requests at the endpoint beyond this instance's own
        self.load_reported_at = 0
        # success_model and outlier_detection; dictionaries are by request class
        self.error_ratio = 0.0
        self.fault_ratio = 0.0  # ratio of errors and resets only, over about 40 responses
        self.class_errors: dict[int, ClassErrorRatio] = {}
        self.ejections: dict[int, Ejection] = {}
        # attempt_outcomes
        self.last_response_at = 0
        self.last_used_at = 0  # time of the latest end of an attempt
        self.connected_until = 0  # time until which a connection is kept alive for reuse
        self.last_success_sent_at = 0  # latest send time among the successful attempts
        # slow_start
        self.warmup_started_at = entry.started_at  # listed start, or time of listing if that is earlier
        self.warm_at = 0  # time from which it has its full capacity
        self.warmup_sends: list[int] = []
        self.send_allowance = 0.0  # attempts that this instance may send per overload window
        self.send_allowance_expires_at = 0
        self.send_tokens = 0.0  # token bucket for randomly selected sends
        self.send_tokens_at = entry.started_at
        self.max_send_tokens = 0.0

    def rendezvous_rank(self, key_hash: int) -> float:
        """Return the endpoint's rank for this hash: over 0, at most 1, and equal at all instances."""
        return (((self.name_hash ^ key_hash) * HASH_MULTIPLIER & 0xFFFFFFFF) + 1) / HASH_RANGE

    def warm_fraction_at(self, now: int, settings: Settings) -> float:
        """Return the fraction of the full capacity that the endpoint has at this time.

        `settings` may be a predecessor's, without slow start, while its last requests end.
        """
        if now >= self.warm_at or not settings.slow_start_duration:
            return 1.0
        age = max(0, now - self.warmup_started_at) / settings.slow_start_duration
        initial = max(MIN_WARM_FRACTION, settings.slow_start_initial_fraction)
        return min(1.0, initial + (1 - initial) * age)

    def export_state(self) -> EndpointState:
        """Return the learnt state, for another process."""
        return EndpointState(
            started_at=self.started_at,
            reported_load=self.reported_load,
            load_reported_at=self.load_reported_at,
            error_ratio=self.error_ratio,
            fault_ratio=self.fault_ratio,
            last_response_at=self.last_response_at,
            last_success_sent_at=self.last_success_sent_at,
            send_tokens=self.send_tokens,
            send_tokens_at=self.send_tokens_at,
            warmup_sends=list(self.warmup_sends),
            latency_factor=self.latency_factor,
            class_errors=dict(self.class_errors),
            ejections=dict(self.ejections),
        )

    def import_state(self, state: EndpointState) -> None:
        """Replace the learnt state with what another process learnt of this endpoint."""
        self.reported_load = state.reported_load
        self.load_reported_at = state.load_reported_at
        self.error_ratio = state.error_ratio
        self.fault_ratio = state.fault_ratio
        self.last_response_at = state.last_response_at
        self.last_success_sent_at = state.last_success_sent_at
        self.send_tokens = state.send_tokens
        self.send_tokens_at = state.send_tokens_at
        self.warmup_sends = state.warmup_sends
        self.latency_factor = state.latency_factor
        if state.class_errors is not None:
            self.class_errors = state.class_errors
        if state.ejections is not None:
            self.ejections = state.ejections

    def forget_classes_and_load(self) -> None:
        """Drop the state that is invalid under other settings: loads, and everything by class."""
        self.class_errors = {}
        self.ejections = {}
        self.load_reported_at = 0
        self.reported_load = 0.0
        self.send_allowance_expires_at = 0
