"""Snapshots of the policy's learned state, as plain values that another process can restore.

This module defines the snapshot's keys and validates its values; an invalid snapshot changes nothing, as does
one of another version.  State that is specific to one process is not part of a snapshot: requests, attempts,
connections, random state and the retry budget.  The keys are those of snapshot version 1 and must not change
within that version.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Mapping
from typing import Any, TypeVar

from linetrack.policy.admission import AdmissionState
from linetrack.policy.balancer import Balancer, PolicyState
from linetrack.policy.class_statistics import ClassState
from linetrack.policy.decaying_average import DecayingAverage
from linetrack.policy.endpoint import ClassErrorRatio, Ejection, EndpointState
from linetrack.policy.idle_connections import IdleConnectionState
from linetrack.policy.latency_model import LatencyState
from linetrack.policy.load_reports import LoadState
from linetrack.policy.retry_limits import RetryWindowState
from linetrack.policy.success_model import SuccessState

T = TypeVar("T")

VERSION = 1

VERSION_KEY = "version"
ENDPOINTS = "upstreams"
# latency model
BASELINE = "calm"
MEAN_ENDPOINT_FACTOR = "mean_pace"
RESPONSE_COUNT = "answers"
SERVICE_TIME = "work"
ZONE_CONGESTION = "zones"
HOST_CLASS_FACTORS = "kinds"
CLASS_COSTS = "sizes"
# load reports
UTILIZATION = "busy"
LOAD_PER_CORE = "holds"
WORK_FRACTION = "working"
ZONE_LOADS = "others"
FULL_CAPACITIES = "nominal"
REQUEST_RATES = "rates"
# success model
USUAL_ERROR_RATIO = "usual_errors"
CONNECT_FAILURES = "refused"
# class statistics and admission
REQUEST_SHARES = "asked"
SERVED_RATIOS = "served"
SHED_AT = "shed"
LONGEST_TIMEOUTS = "patience"
MEAN_VALUE = "mean_worth"
LAST_RESPONSE_AT = "heard_at"
LATE_RATIO = "late"
# idle connections
MAX_IDLE = "rest"
MAX_IDLE_LEARNT_AT = "rest_at"
# retry window
RETRIES = "further"
REQUESTS = "taken"
WINDOW = "window"
# each endpoint
STARTED_AT = "started"
REPORTED_LOAD = "others"
LOAD_REPORTED_AT = "load_at"
ERROR_RATIO = "errors"
FAULT_RATIO = "faults"
ENDPOINT_LAST_RESPONSE_AT = "heard_at"
LAST_SUCCESS_SENT_AT = "answered"
SEND_TOKENS = "credit"
SEND_TOKENS_AT = "credit_at"
WARMUP_SENDS = "cold_sent"
LATENCY_FACTOR = "pace"
CLASS_ERRORS = "own"
EJECTIONS = "spells"

#: What reading an invalid snapshot raises.
INVALID_SNAPSHOT_ERRORS = (KeyError, TypeError, ValueError, AttributeError, OverflowError, IndexError)


def take(policy: Balancer) -> dict[str, Any]:
    """Return the policy's learned state as values that can be encoded as JSON."""
    state = policy.export_state()
    return {
        VERSION_KEY: VERSION,
        **_latency_values(state.latency),
        **_load_values(state.load),
        USUAL_ERROR_RATIO: state.success.usual_error_ratio,
        CONNECT_FAILURES: _average_values(state.success.connect_failures),
        REQUEST_SHARES: state.classes.request_shares,
        SERVED_RATIOS: state.classes.served_ratios,
        SHED_AT: state.admission.shed_at,
        LONGEST_TIMEOUTS: state.admission.longest_timeouts,
        MEAN_VALUE: state.admission.mean_value,
        LAST_RESPONSE_AT: state.admission.last_response_at,
        LATE_RATIO: _average_values(state.admission.late_ratio),
        MAX_IDLE: state.idle_connections.max_idle,
        MAX_IDLE_LEARNT_AT: state.idle_connections.learnt_at,
        RETRIES: state.retry_window.retries,
        REQUESTS: state.retry_window.requests,
        WINDOW: state.retry_window.window,
        ENDPOINTS: {name: _endpoint_values(endpoint) for name, endpoint in state.endpoints.items()},
    }


def restore(
    policy: Balancer, values: Mapping[str, Any], now: int, same_classes: bool, same_zones: bool
) -> bool:
    """Restore a snapshot in a policy that has just started and has the endpoint list.

    Args:
        policy: The policy that takes the values over.
        values: The snapshot.
        now: The current time, in microseconds.
        same_classes: Whether the indices of request classes have the same meaning here; otherwise values by
            request class are skipped.
        same_zones: The same for the indices of zones and host classes.

    Returns:
        False if the snapshot is invalid, in which case the policy is unchanged.
    """
    try:
        if values[VERSION_KEY] != VERSION:
            return False
        state = _Reader(policy, values, now, same_classes, same_zones).policy_state()
    except INVALID_SNAPSHOT_ERRORS:
        return False
    policy.import_state(now, state)
    return True


def _latency_values(state: LatencyState) -> dict[str, Any]:
    return {
        BASELINE: state.baseline,
        MEAN_ENDPOINT_FACTOR: state.mean_endpoint_factor,
        RESPONSE_COUNT: state.response_count,
        SERVICE_TIME: _average_values(state.service_time),
        ZONE_CONGESTION: _table_values(state.zone_congestion),
        HOST_CLASS_FACTORS: _table_values(state.host_class_factors),
        CLASS_COSTS: [_average_values(cost) for cost in state.class_costs or ()],
    }


def _load_values(state: LoadState) -> dict[str, Any]:
    return {
        UTILIZATION: state.utilization,
        LOAD_PER_CORE: state.load_per_core,
        WORK_FRACTION: state.work_fraction,
        ZONE_LOADS: state.zone_loads,
        FULL_CAPACITIES: state.full_capacities,
        REQUEST_RATES: _table_values(state.request_rates),
    }


def _endpoint_values(state: EndpointState) -> dict[str, Any]:
    class_errors = state.class_errors or {}
    ejections = state.ejections or {}
    return {
        STARTED_AT: state.started_at,
        REPORTED_LOAD: state.reported_load,
        LOAD_REPORTED_AT: state.load_reported_at,
        ERROR_RATIO: state.error_ratio,
        FAULT_RATIO: state.fault_ratio,
        ENDPOINT_LAST_RESPONSE_AT: state.last_response_at,
        LAST_SUCCESS_SENT_AT: state.last_success_sent_at,
        SEND_TOKENS: state.send_tokens,
        SEND_TOKENS_AT: state.send_tokens_at,
        WARMUP_SENDS: state.warmup_sends,
        LATENCY_FACTOR: _average_values(state.latency_factor),
        CLASS_ERRORS: [[index, error.ratio, error.updated_at] for index, error in class_errors.items()],
        EJECTIONS: [[index, ejection.duration, ejection.until] for index, ejection in ejections.items()],
    }


def _average_values(average: DecayingAverage) -> list[float]:
    return [average.value, average.weight, average.updated_at]


def _table_values(table: Mapping[int, DecayingAverage] | None) -> dict[int, list[float]]:
    return {index: _average_values(average) for index, average in (table or {}).items()}


class _Reader:
    """Reads a snapshot; raises one of `INVALID_SNAPSHOT_ERRORS` for an invalid value."""

    def __init__(
        self, policy: Balancer, values: Mapping[str, Any], now: int, same_classes: bool, same_zones: bool
    ) -> None:
        self._policy = policy
        self._values = values
        self._now = now
        self._same_classes = same_classes
        self._same_zones = same_zones

    def policy_state(self) -> PolicyState:
        """Return the whole snapshot as the policy's state."""
        values = self._values
        return PolicyState(
            latency=self._latency(),
            load=self._load(),
            success=SuccessState(
                usual_error_ratio=self._number(values[USUAL_ERROR_RATIO]),
                connect_failures=self._average(values[CONNECT_FAILURES]),
            ),
            classes=self._classes(),
            admission=self._admission(),
            idle_connections=IdleConnectionState(
                max_idle=self._number(values[MAX_IDLE]),
                learnt_at=self._number(values[MAX_IDLE_LEARNT_AT]),
            ),
            retry_window=RetryWindowState(
                window=int(values[WINDOW]),
                retries=sorted(self._times(values[RETRIES])),
                requests=sorted(self._times(values[REQUESTS])),
            ),
            endpoints=self._endpoints(),
        )

    def _latency(self) -> LatencyState:
        values = self._values
        return LatencyState(
            baseline=self._number(values[BASELINE]),
            mean_endpoint_factor=self._number(values[MEAN_ENDPOINT_FACTOR]),
            response_count=int(values[RESPONSE_COUNT]),
            service_time=self._average(values[SERVICE_TIME]),
            zone_congestion=self._by_zone(ZONE_CONGESTION, self._average),
            host_class_factors=self._by_zone(HOST_CLASS_FACTORS, self._average),
            class_costs=self._by_class(CLASS_COSTS, self._average) if self._same_classes else None,
        )

    def _load(self) -> LoadState:
        values = self._values
        return LoadState(
            utilization=self._number(values[UTILIZATION]),
            load_per_core=self._number(values[LOAD_PER_CORE]),
            work_fraction=self._number(values[WORK_FRACTION]),
            zone_loads=self._by_zone(ZONE_LOADS, self._number),
            full_capacities=self._by_zone(FULL_CAPACITIES, self._number),
            request_rates=self._by_zone(REQUEST_RATES, self._average),
        )

    def _classes(self) -> ClassState:
        if not self._same_classes:
            return ClassState(None, None)
        return ClassState(
            request_shares=self._by_class(REQUEST_SHARES, self._number),
            served_ratios=self._by_class(SERVED_RATIOS, self._number),
        )

    def _admission(self) -> AdmissionState:
        values = self._values
        return AdmissionState(
            last_response_at=self._number(values[LAST_RESPONSE_AT]),
            late_ratio=self._average(values[LATE_RATIO]),
            mean_value=self._number(values[MEAN_VALUE]) if self._same_classes else None,
            shed_at=self._by_class(SHED_AT, self._number) if self._same_classes else None,
            longest_timeouts=self._by_class(LONGEST_TIMEOUTS, self._number) if self._same_classes else None,
        )

    def _endpoints(self) -> dict[str, EndpointState]:
        """Read the state of the endpoints that are listed here and have not been restarted since."""
        states = {}
        for name, values in self._values[ENDPOINTS].items():
            endpoint = self._policy.endpoints.get(name)
            if endpoint is not None and values[STARTED_AT] == endpoint.started_at:
                states[name] = self._endpoint(values)
        return states

    def _endpoint(self, values: Mapping[str, Any]) -> EndpointState:
        return EndpointState(
            started_at=values[STARTED_AT],
            reported_load=self._number(values[REPORTED_LOAD]),
            load_reported_at=self._number(values[LOAD_REPORTED_AT]),
            error_ratio=self._number(values[ERROR_RATIO]),
            fault_ratio=self._number(values[FAULT_RATIO]),
            last_response_at=self._number(values[ENDPOINT_LAST_RESPONSE_AT]),
            last_success_sent_at=self._number(values[LAST_SUCCESS_SENT_AT]),
            send_tokens=self._number(values[SEND_TOKENS]),
            send_tokens_at=self._number(values[SEND_TOKENS_AT]),
            warmup_sends=self._times(values[WARMUP_SENDS]),
            latency_factor=self._average(values[LATENCY_FACTOR]),
            class_errors=self._class_errors(values[CLASS_ERRORS]) if self._same_classes else None,
            ejections=self._ejections(values[EJECTIONS]) if self._same_classes else None,
        )

    def _class_errors(self, rows: Iterable[Any]) -> dict[int, ClassErrorRatio]:
        return {
            int(class_index): ClassErrorRatio(float(ratio), min(self._now, int(updated_at)))
            for class_index, ratio, updated_at in rows
        }

    def _ejections(self, rows: Iterable[Any]) -> dict[int, Ejection]:
        """Read ejections; none ends later than if it began now, as the clocks of two processes may differ."""
        ejections = {}
        for class_index, duration, until in rows:
            max_until = self._now + int(duration)
            ejections[int(class_index)] = Ejection(int(duration), min(int(until), max_until))
        return ejections

    def _by_zone(self, key: str, read: Callable[[Any], T]) -> dict[int, T] | None:
        """Read a table by index of zone or host class; None if the indices have another meaning here."""
        if not self._same_zones:
            return None
        return {int(index): read(value) for index, value in self._values[key].items()}

    def _by_class(self, key: str, read: Callable[[Any], T]) -> list[T]:
        """Read a list that has one value for each request class."""
        values = self._values[key]
        if len(values) != len(self._policy.settings.classes):
            raise ValueError(f"{key} has {len(values)} values, not one for each request class")
        return [read(value) for value in values]

    def _times(self, values: Iterable[Any]) -> list[int]:
        return [min(self._now, int(value)) for value in values]

    def _number(self, value: Any) -> Any:
        """Read a number, or a time, which is limited to now as the clocks of two processes may differ."""
        if isinstance(value, bool) or not isinstance(value, int | float) or math.isnan(value):
            raise ValueError(f"{value!r} is not a number")
        return min(value, self._now) if isinstance(value, int) else value

    def _average(self, values: Any) -> DecayingAverage:
        value, weight, updated_at = values
        average = DecayingAverage(float(value), float(weight), min(self._now, int(updated_at)))
        if math.isnan(average.value) or not average.weight >= 0:
            raise ValueError(f"{values!r} is not an average")
        return average
