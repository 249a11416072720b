"""The record of one endpoint, and of the attempts that are in flight on it.

Records hold state and decide nothing.  Each group of an endpoint's fields is written by one part of the
policy, named above it; the fields stand in one record, as decisions read most of them for every endpoint.
"""

from __future__ import annotations

import zlib
from typing import NamedTuple

from linetrack.policy.decaying_average import DecayingAverage
from linetrack.policy.events import EndpointEntry, EndpointStatus
from linetrack.policy.settings import Settings
from linetrack.policy.time_units import SECOND

ESTIMATE_LIFETIME = SECOND  # for so long an estimate for an idle endpoint is used before it is renewed
MIN_WARM_FRACTION = 0.01  # one that is listed as up has some capacity, whatever the settings say
HASH_MULTIPLIER = 0x9E3779B1  # 2^32 over the golden ratio: spreads near values over the range
HASH_RANGE = 2**32


class ClassErrorRatio(NamedTuple):
    """The ratio of errors among an endpoint's responses to one request class."""

    ratio: float
    updated_at: int


class Ejection(NamedTuple):
    """An endpoint gets no requests of a class until then, and trials until the first success after that."""

    duration: int  # doubles with each ejection in a row
    until: int


NO_EJECTION = Ejection(0, 0)


class EndpointState(NamedTuple):
    """What was learnt of one endpoint, in a form that another process can take over."""

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
    class_errors: dict[int, ClassErrorRatio] | None  # None where the classes mean something else here
    ejections: dict[int, Ejection] | None


class Attempt:
    """One attempt of a request, from its start until its end is notified."""

    __slots__ = (
        "backlog",
        "class_index",
        "endpoint",
        "expected_latency",
        "idle_time",
        "is_hedge",
        "number",
        "opens_connection",
        "sent_at",
    )

    def __init__(self, number: int, class_index: int, endpoint: Endpoint, is_hedge: bool, now: int) -> None:
        """Note what the endpoint's connections look like before this attempt is in flight."""
        self.number = number
        self.class_index = class_index
        self.endpoint = endpoint
        self.is_hedge = is_hedge
        self.sent_at = now
        self.expected_latency = 0.0
        self.backlog = 0.0  # requests at the endpoint before this one
        is_idle = endpoint.last_used_at and not endpoint.in_flight
        self.idle_time = now - endpoint.last_used_at if is_idle else 0
        self.opens_connection = endpoint.connected_until < now


class Endpoint:
    """What is known of one endpoint: its entry in the list, load reports, and own attempts."""

    __slots__ = (
        "capacity", "cell", "class_errors", "connected_until", "ejections", "error_ratio",
        "estimate_expires_at", "fault_ratio", "host_class", "idle_factor", "in_flight", "is_routable",
        "is_unlisted", "last_response_at", "last_success_sent_at", "last_used_at", "latency_factor",
        "load_reported_at", "loaded_factor", "max_send_tokens", "name", "name_hash", "reported_load",
        "selection_weight", "send_allowance", "send_allowance_expires_at", "send_tokens", "send_tokens_at",
        "started_at", "warm_at", "warm_fraction", "warmup_sends", "warmup_started_at", "zone",
    )  # fmt: skip

    def __init__(self, entry: EndpointEntry) -> None:
        """Make the record of a newly listed endpoint."""
        self.name = entry.endpoint
        self.name_hash = zlib.crc32(entry.endpoint.encode())
        self.in_flight: dict[tuple[int, int], Attempt] = {}  # by request id and attempt number, oldest first
        self.reset(entry)

    def reset(self, entry: EndpointEntry) -> None:
        """Start over for a new process behind the same name; its attempts in flight stay."""
        # endpoint_list
        self.zone = entry.zone
        self.cell = entry.cell
        self.host_class = entry.host_class
        self.started_at = entry.started_at
        self.is_routable = entry.status is EndpointStatus.UP  # neither draining nor removed
        self.is_unlisted = False  # removed from the list where that is advisory
        self.capacity = 1.0
        # latency_model; the factors are relative to the baseline latency, as of the last estimate
        self.latency_factor = DecayingAverage()  # logarithm, relative to the endpoint's host class
        self.idle_factor = 1.0  # without other requests at the endpoint
        self.loaded_factor = 1.0  # with the requests that are there, and as far as it has warmed up
        self.warm_fraction = 1.0
        self.selection_weight = 1.0  # 1 / penalty times capacity, but for zone and errors
        self.estimate_expires_at = 0
        # load_reports
        self.reported_load = 0.0  # requests at the endpoint beyond own ones
        self.load_reported_at = 0
        # success_model and outlier_detection, by request class where it is a dict
        self.error_ratio = 0.0
        self.fault_ratio = 0.0  # errors and resets alone, over some forty responses
        self.class_errors: dict[int, ClassErrorRatio] = {}
        self.ejections: dict[int, Ejection] = {}
        # attempt_outcomes
        self.last_response_at = 0
        self.last_used_at = 0  # when an attempt on it last ended
        self.connected_until = 0  # until when there is a connection to it that may be reused
        self.last_success_sent_at = 0  # when the latest of those attempts was sent that were answered
        # slow_start
        self.warmup_started_at = entry.started_at  # the stated start, or when it was listed if that lay ahead
        self.warm_at = 0  # until then it has a part of its capacity only
        self.warmup_sends: list[int] = []
        self.send_allowance = 0.0  # this instance's attempts in one overload window
        self.send_allowance_expires_at = 0
        self.send_tokens = 0.0  # what random selection may still give it
        self.send_tokens_at = entry.started_at
        self.max_send_tokens = 0.0

    def rendezvous_rank(self, mark: int) -> float:
        """Return its rank for whatever has this mark, over 0 and at most 1, alike at all instances."""
        return (((self.name_hash ^ mark) * HASH_MULTIPLIER & 0xFFFFFFFF) + 1) / HASH_RANGE

    def warm_fraction_at(self, now: int, settings: Settings) -> float:
        """Return the fraction of its capacity that it can be counted on to have at this time.

        The settings may be earlier ones, under which requests still end and no endpoint warms up.
        """
        if now >= self.warm_at or not settings.slow_start_duration:
            return 1.0
        age = max(0, now - self.warmup_started_at) / settings.slow_start_duration
        initial = max(MIN_WARM_FRACTION, settings.slow_start_initial_fraction)
        return min(1.0, initial + (1 - initial) * age)

    def export_state(self) -> EndpointState:
        """Return what was learnt of it, for another process."""
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
        """Take over what another process learnt of this endpoint since it started."""
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
        """Forget what does not hold under other settings: loads, and what is known by class."""
        self.class_errors = {}
        self.ejections = {}
        self.load_reported_at = 0
        self.reported_load = 0.0
        self.send_allowance_expires_at = 0
