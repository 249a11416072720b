"""The settings of a policy instance, typed and immutable.

All times are integer microseconds and all fractions are between 0 and 1.  `linetrack/settings.py` reads the
settings; only that module knows their names in the operators' files.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto


class Idempotency(Enum):
    """The effect of executing a request twice."""

    IDEMPOTENT = auto()  # the same as executing it once
    IDEMPOTENCY_KEY = auto()  # the same as once, while its deduplication scope remembers the key
    NON_IDEMPOTENT = auto()  # the effect happens twice


class DeduplicationScope(Enum):
    """The group of endpoints that recognise each other's idempotency keys."""

    ALL = auto()
    ZONE = auto()
    CELL = auto()


class LoadField(Enum):
    """A value that a load report may contain."""

    IN_FLIGHT = auto()
    QUEUE_DEPTH = auto()
    UTILIZATION = auto()
    MEAN_LATENCY = auto()
    REQUEST_RATE = auto()  # requests per second
    ERROR_RATE = auto()
    OTHER = auto()


@dataclass(slots=True, frozen=True)
class RequestClass:
    """One class of requests."""

    idempotency: Idempotency
    latency_objective: int  # a response within this time earns the request's full weight
    timeout: int  # usual time from a request's arrival until its client gives up
    latency_objective_stretch: float = 0.0  # validated, but not used by any decision
    priority_weight: float = 1.0
    late_weight: float = 0.0  # share of the priority weight that a late response still earns
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window: int = 0  # time for which a scope remembers a key, from its first execution
    streams_response: bool = False


@dataclass(slots=True, frozen=True)
class Settings:
    """The settings of one instance, at its start or after a settings switch."""

    classes: tuple[RequestClass, ...]
    instance: int = 0
    instance_count: int = 1
    zone: int = 0
    zone_count: int = 1
    load_report_fields: tuple[LoadField, ...] = ()  # in the order of the values in each report
    must_subscribe: bool = False  # endpoint lists are sent only after a subscription
    poll_interval: int = 0
    drain_grace: int = 0
    # slow start of an endpoint, and the load that it can bear meanwhile
    slow_start_initial_fraction: float = 1.0  # capacity at its start, as a fraction of its full capacity
    slow_start_duration: int = 0
    # an endpoint fails if its load stays at this multiple of its capacity for this time
    overload_multiple: float = 0.0
    overload_window: int = 0
    # what the instance is allowed to do
    may_cancel: bool = False
    may_send_health_checks: bool = False
    may_run_parallel_attempts: bool = False
    may_send_retry_after: bool = False
    max_retry_after: int = 0
    max_attempts: int = 1
    # deductions of the goal, in units of priority weight
    cross_zone_cost: float = 0.0
    wasted_work_cost: float = 0.0
    late_failure_cost: float = 0.0
    weighs_by_work: bool = False  # weigh each request by its work
    goal_weight_of_total: float = 1.0
    goal_weight_of_worst_class: float = 0.0
    tenant_quotas: tuple[float, ...] = ()  # requests per second of each tenant, over all instances
    over_quota_weight: float = 1.0  # factor on the weight of requests beyond a quota
    has_affinity_keys: bool = False  # an endpoint serves a key with less work if it has served it before
    # the listed capacity is capacity / (1 + requests per core), as of some time ago
    capacity_varies_with_load: bool = False
    max_streams_per_connection: int = 1
    keep_alive_timeout: int = 0  # maximum idle time of a connection; 0: unknown
    # in any window, an instance may make at most allowance + ratio x (its requests in that window) retries
    retry_window: int = 0  # 0: no limit
    retry_window_allowance: float = 0.0
    retry_window_ratio: float = 0.0
    # endpoints removed from the list may still get attempts, unless they were listed as draining
    removal_is_advisory: bool = False
