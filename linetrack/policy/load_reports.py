"""Estimates the load from other instances, from load reports and the endpoint list."""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Mapping
from typing import NamedTuple

from linetrack.policy.decaying_average import EWMA_WEIGHT, SLOW_EWMA_WEIGHT, DecayingAverage, decayed
from linetrack.policy.endpoint import Endpoint
from linetrack.policy.settings import LoadField, Settings
from linetrack.policy.time_units import SECOND

MAX_REPORTED_VALUE = 1e9  # greater values are ignored as invalid
MAX_UTILIZATION = 0.85  # a reported utilization from here on is saturated and says little about the load

# Time constant with which a load report decays to the mean of its zone.
REPORT_DECAY_TIME = 1 * SECOND

# Time constant for smoothing loads from the endpoint list, as all instances react to the same list.
LIST_SMOOTHING_TIME = 3 * SECOND

# Weight of a reported request relative to an own one, as reports are late and noisy.
REPORT_WEIGHT = 0.2

# Minimum weight of a new report in the average, even if it follows the previous one closely.
MIN_REPORT_EWMA_WEIGHT = 2 * EWMA_WEIGHT

# Change of an endpoint's load, relative to 1 + the load, from which its latency estimate is recomputed.
SIGNIFICANT_LOAD_CHANGE = 0.15


class LoadState(NamedTuple):
    """The learnt state, in a form that another process can import."""

    utilization: float
    load_per_core: float
    work_fraction: float
    # by zone or host class; None where the importer numbers these differently
    zone_loads: Mapping[int, float] | None
    full_capacities: Mapping[int, float] | None
    request_rates: Mapping[int, DecayingAverage] | None


class LoadReports:
    """Maintains the reported load by endpoint, zone and host class."""

    def __init__(self, settings: Settings) -> None:
        """Initialize without any reports."""
        self._settings = settings
        self._zone_loads: defaultdict[int, float] = defaultdict(float)  # mean load from other instances
        self._full_capacities: dict[int, float] = {}  # largest listed capacity by host class
        self._request_rates: defaultdict[int, DecayingAverage] = defaultdict(DecayingAverage)
        # mean reported utilization of cores, and mean listed load per core at the times of these reports
        self._utilization = 0.0
        self._load_per_core = 0.0
        # fraction of a request's uncongested time in which a core works on it; otherwise it waits
        self._work_fraction = 1.0

    @property
    def work_fraction(self) -> float:
        """Return the fraction of a request's time in which it keeps a core busy."""
        return self._work_fraction

    @property
    def request_rates(self) -> defaultdict[int, DecayingAverage]:
        """Return the rate that warm endpoints report, by host class, in requests per microsecond."""
        return self._request_rates

    def record_report(self, now: int, endpoint: Endpoint, values: tuple[float, ...]) -> None:
        """Record a load report; invalid values are ignored."""
        fields = zip(self._settings.load_report_fields, values, strict=False)
        report = {field: value for field, value in fields if 0 <= value <= MAX_REPORTED_VALUE}
        if LoadField.REQUEST_RATE in report and endpoint.warm_fraction_at(now, self._settings) >= 1:
            self._request_rates[endpoint.host_class].add(now, report[LoadField.REQUEST_RATE] / SECOND)
        if self._settings.capacity_varies_with_load:
            # the list has the loads of all endpoints at once, while an endpoint may rarely send a report
            if report.get(LoadField.UTILIZATION, 1.0) < MAX_UTILIZATION and endpoint.load_reported_at:
                self._record_utilization(report[LoadField.UTILIZATION], endpoint.reported_load)
            return
        load = report.get(LoadField.QUEUE_DEPTH, report.get(LoadField.IN_FLIGHT))
        if load is not None:
            self._record_load(now, endpoint, load, REPORT_DECAY_TIME, MIN_REPORT_EWMA_WEIGHT)

    def record_listed_capacity(self, now: int, endpoint: Endpoint, capacity: float) -> None:
        """Split a capacity that varies with load into the host class's full capacity and the load.

        Used as a plain capacity, it would count the load twice.
        """
        full_capacity = max(capacity, self._full_capacities.get(endpoint.host_class, 0.0))
        self._full_capacities[endpoint.host_class] = full_capacity
        endpoint.capacity = full_capacity
        self._record_load(now, endpoint, full_capacity / capacity - 1, LIST_SMOOTHING_TIME, 0.0)

    def load_from_other_instances(self, now: int, endpoint: Endpoint) -> float:
        """Return other instances' requests at the endpoint: as reported, decaying to its zone's mean."""
        if not endpoint.load_reported_at:
            return 0.0
        mean = self._zone_loads[endpoint.zone]
        return decayed(now, endpoint.reported_load, endpoint.load_reported_at, mean, REPORT_DECAY_TIME)

    def keep_only(self, zones: set[int], host_classes: set[int]) -> None:
        """Drop the state of zones and host classes that no listed endpoint has."""
        for host_class in self._request_rates.keys() - host_classes:
            del self._request_rates[host_class]
        for host_class in self._full_capacities.keys() - host_classes:
            del self._full_capacities[host_class]
        for zone in self._zone_loads.keys() - zones:
            del self._zone_loads[zone]

    def take_over(self, predecessor: LoadReports) -> None:
        """Take over the request rates of an instance under other settings, but not its loads."""
        self._request_rates = predecessor._request_rates

    def export_state(self) -> LoadState:
        """Return the learnt state."""
        return LoadState(
            utilization=self._utilization,
            load_per_core=self._load_per_core,
            work_fraction=self._work_fraction,
            zone_loads=dict(self._zone_loads),
            full_capacities=dict(self._full_capacities),
            request_rates=dict(self._request_rates),
        )

    def import_state(self, state: LoadState) -> None:
        """Replace the learnt state with that of another process."""
        self._utilization = state.utilization
        self._load_per_core = state.load_per_core
        self._work_fraction = state.work_fraction
        self._zone_loads.update(state.zone_loads or {})
        self._full_capacities.update(state.full_capacities or {})
        self._request_rates.update(state.request_rates or {})

    def _record_utilization(self, utilization: float, load: float) -> None:
        """Estimate the work fraction as utilization / listed requests per core, by Little's law."""
        self._utilization += SLOW_EWMA_WEIGHT * (utilization - self._utilization)
        self._load_per_core += SLOW_EWMA_WEIGHT * (load - self._load_per_core)
        self._work_fraction = min(1.0, self._utilization / max(1e-9, self._load_per_core))

    def _record_load(
        self, now: int, endpoint: Endpoint, load: float, smoothing_time: int, min_weight: float
    ) -> None:
        """Record the number of requests at the endpoint, less this instance's own, which it counts itself.

        Reports are smoothed, as they are late and would make the traffic oscillate.
        """
        from_others = max(0.0, load - len(endpoint.in_flight))
        age_weight = 1.0
        if endpoint.load_reported_at:
            age_weight = 1 - math.exp((endpoint.load_reported_at - now) / smoothing_time)
        change = max(min_weight, age_weight) * (from_others - endpoint.reported_load)
        endpoint.reported_load += change
        endpoint.load_reported_at = now
        if abs(change) > SIGNIFICANT_LOAD_CHANGE * (1 + endpoint.reported_load):
            endpoint.estimate_expires_at = 0
        self._zone_loads[endpoint.zone] += SLOW_EWMA_WEIGHT * (from_others - self._zone_loads[endpoint.zone])
