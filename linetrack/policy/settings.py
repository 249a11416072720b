"""What an instance of the policy is configured with: typed and immutable.

All times are integer microseconds and all fractions are between 0 and 1.  The names that settings have in
the operators' files stand in `linetrack/settings.py`, the only reader.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto


class Idempotency(Enum):
    """What executing a request twice would do."""

    IDEMPOTENT = auto()  # nothing that executing it once did not do
    IDEMPOTENCY_KEY = auto()  # nothing, while its deduplication scope remembers the key
    NON_IDEMPOTENT = auto()  # its effect happens twice


class DeduplicationScope(Enum):
    """The endpoints that recognise a repeated idempotency key together."""

    ALL = auto()
    ZONE = auto()
    CELL = auto()


class LoadField(Enum):
    """A value that a load report may hold."""

    IN_FLIGHT = auto()
    QUEUE_DEPTH = auto()
    UTILIZATION = auto()
    MEAN_LATENCY = auto()
    REQUEST_RATE = auto()  # requests a second
    ERROR_RATE = auto()
    OTHER = auto()


@dataclass(slots=True, frozen=True)
class RequestClass:
    """One class of requests."""

    idempotency: Idempotency
    latency_objective: int  # a response within it earns the request's full weight
    timeout: int  # the usual time from a request's arrival until its client gives up
    latency_objective_stretch: float = 0.0  # read and checked; no decision uses it
    priority_weight: float = 1.0
    late_weight: float = 0.0  # share of the priority weight that a late response still earns
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window: int = 0  # how long a scope remembers a key, from the first execution
    streams_response: bool = False


@dataclass(slots=True, frozen=True)
class Settings:
    """The settings that an instance starts with, or is switched to."""

    classes: tuple[RequestClass, ...]
    instance: int = 0
    instance_count: int = 1
    zone: int = 0
    zone_count: int = 1
    load_report_fields: tuple[LoadField, ...] = ()  # in the order of the values in each report
    must_subscribe: bool = False  # endpoint lists come only after they were asked for
    poll_interval: int = 0
    drain_grace: int = 0
    # slow start of an endpoint, and what it bears meanwhile
    slow_start_initial_fraction: float = 1.0  # capacity at its start, as a fraction of its full capacity
    slow_start_duration: int = 0
    overload_multiple: float = 0.0  # it fails at this multiple of its capacity...
    overload_window: int = 0  # ...when it lasts so long
    # what the host allows
    may_cancel: bool = False
    may_send_health_checks: bool = False
    may_run_parallel_attempts: bool = False
    may_send_retry_after: bool = False
    max_retry_after: int = 0
    max_attempts: int = 1
    # what the goal deducts, in priority weights of a request
    cross_zone_cost: float = 0.0
    wasted_work_cost: float = 0.0
    late_failure_cost: float = 0.0
    weighs_by_work: bool = False  # a request weighs as much as the work it asks for
    goal_weight_of_total: float = 1.0
    goal_weight_of_worst_class: float = 0.0
    tenant_quotas: tuple[float, ...] = ()  # requests a second of each tenant, over all instances
    over_quota_weight: float = 1.0  # factor on the weight of what exceeds a quota
    has_affinity_keys: bool = False  # an endpoint serves a key that it served before with less work
    capacity_varies_with_load: bool = False  # listed as capacity / (1 + requests a core), some time ago
    max_streams_per_connection: int = 1
    keep_alive_timeout: int = 0  # how long a connection may be idle; 0 where it is not known
    # in any window one instance may make at most allowance + ratio x (requests it received in it) retries
    retry_window: int = 0  # 0 where there is no such limit
    retry_window_allowance: float = 0.0
    retry_window_ratio: float = 0.0
    removal_is_advisory: bool = False  # only endpoints that were listed as draining may get nothing new
