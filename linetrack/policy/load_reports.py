"""What load reports and the endpoint list tell of load beyond this instance's own requests."""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Mapping
from typing import NamedTuple

from linetrack.policy.decaying_average import EWMA_WEIGHT, SLOW_EWMA_WEIGHT, DecayingAverage, decayed
from linetrack.policy.endpoint import Endpoint
from linetrack.policy.settings import LoadField, Settings
from linetrack.policy.time_units import SECOND

MAX_REPORTED_VALUE = 1e9  # a greater one says nothing
MAX_UTILIZATION = 0.85  # a reported utilization from here on says little about the load
REPORT_DECAY_TIME = 1 * SECOND  # a load report that is not renewed fades to its zone's mean over this time
LIST_SMOOTHING_TIME = 3 * SECOND  # all instances see the same list; a load from it is smoothed over this time
REPORT_WEIGHT = 0.2  # a reported request beside an own one: reports are late and noisy
MIN_REPORT_SHARE = 2 * EWMA_WEIGHT  # of a new report, however soon it follows
SIGNIFICANT_CHANGE = 0.15  # a load that changes by more than this share renews the endpoint's estimate


class LoadState(NamedTuple):
    """What was learnt, in a form that another process can take over."""

    utilization: float
    load_per_core: float
    work_fraction: float
    # by zone or host class; None where these numbers mean something else here
    zone_loads: Mapping[int, float] | None
    full_capacities: Mapping[int, float] | None
    request_rates: Mapping[int, DecayingAverage] | None


class LoadReports:
    """Reported load by endpoint, zone and host class."""

    def __init__(self, settings: Settings) -> None:
        """Start without any report."""
        self._settings = settings
        self._zone_loads: defaultdict[int, float] = defaultdict(float)  # mean load beyond own requests
        self._full_capacities: dict[int, float] = {}  # by host class, the largest that was listed
        self._request_rates: defaultdict[int, DecayingAverage] = defaultdict(DecayingAverage)
        self._utilization = 0.0  # of cores, beside the load per core that was listed at the time
        self._load_per_core = 0.0
        self._work_fraction = 1.0  # of a request's time alone that is work; the rest it waits for others

    @property
    def work_fraction(self) -> float:
        """Return the fraction of a request's time that keeps a core at work."""
        return self._work_fraction

    @property
    def request_rates(self) -> defaultdict[int, DecayingAverage]:
        """Return what warm endpoints of each host class report to serve, in requests a microsecond."""
        return self._request_rates

    def record_report(self, now: int, endpoint: Endpoint, values: tuple[float, ...]) -> None:
        """Take in a load report; values that make no sense are passed over."""
        fields = zip(self._settings.load_report_fields, values, strict=False)
        report = {field: value for field, value in fields if 0 <= value <= MAX_REPORTED_VALUE}
        if LoadField.REQUEST_RATE in report and endpoint.warm_fraction_at(now, self._settings) >= 1:
            self._request_rates[endpoint.host_class].add(now, report[LoadField.REQUEST_RATE] / SECOND)
        if self._settings.capacity_varies_with_load:
            # the list has the load of all endpoints at once, a response that of one that may be rarely used
            if report.get(LoadField.UTILIZATION, 1.0) < MAX_UTILIZATION and endpoint.load_reported_at:
                self._record_utilization(report[LoadField.UTILIZATION], endpoint.reported_load)
            return
        load = report.get(LoadField.QUEUE_DEPTH, report.get(LoadField.IN_FLIGHT))
        if load is not None:
            self._record_load(now, endpoint, load, REPORT_DECAY_TIME, MIN_REPORT_SHARE)

    def record_listed_capacity(self, now: int, endpoint: Endpoint, capacity: float) -> None:
        """Part a capacity that varies with load into the host class's full capacity and the load.

        Taken as a plain capacity it would count the load a second time.
        """
        full = max(capacity, self._full_capacities.get(endpoint.host_class, 0.0))
        self._full_capacities[endpoint.host_class] = full
        endpoint.capacity = full
        self._record_load(now, endpoint, full / capacity - 1, LIST_SMOOTHING_TIME, 0.0)

    def load_beyond_own(self, now: int, endpoint: Endpoint) -> float:
        """Return the requests there beyond own ones: as reported, fading to the mean of its zone."""
        if not endpoint.load_reported_at:
            return 0.0
        mean = self._zone_loads[endpoint.zone]
        return decayed(now, endpoint.reported_load, endpoint.load_reported_at, mean, REPORT_DECAY_TIME)

    def keep_only(self, zones: set[int], host_classes: set[int]) -> None:
        """Forget zones and host classes that no listed endpoint has."""
        for host_class in self._request_rates.keys() - host_classes:
            del self._request_rates[host_class]
        for host_class in self._full_capacities.keys() - host_classes:
            del self._full_capacities[host_class]
        for zone in self._zone_loads.keys() - zones:
            del self._zone_loads[zone]

    def take_over(self, predecessor: LoadReports) -> None:
        """Go on with the rates of an instance under other settings; loads are learnt anew."""
        self._request_rates = predecessor._request_rates

    def export_state(self) -> LoadState:
        """Return what was learnt."""
        return LoadState(
            utilization=self._utilization,
            load_per_core=self._load_per_core,
            work_fraction=self._work_fraction,
            zone_loads=dict(self._zone_loads),
            full_capacities=dict(self._full_capacities),
            request_rates=dict(self._request_rates),
        )

    def import_state(self, state: LoadState) -> None:
        """Take over what was learnt elsewhere."""
        self._utilization = state.utilization
        self._load_per_core = state.load_per_core
        self._work_fraction = state.work_fraction
        self._zone_loads.update(state.zone_loads or {})
        self._full_capacities.update(state.full_capacities or {})
        self._request_rates.update(state.request_rates or {})

    def _record_utilization(self, utilization: float, load: float) -> None:
        """Compare cores at work with the listed requests per core, by Little's law."""
        self._utilization += SLOW_EWMA_WEIGHT * (utilization - self._utilization)
        self._load_per_core += SLOW_EWMA_WEIGHT * (load - self._load_per_core)
        self._work_fraction = min(1.0, self._utilization / max(1e-9, self._load_per_core))

    def _record_load(
        self, now: int, endpoint: Endpoint, load: float, smoothing: int, min_share: float
    ) -> None:
        """Take in how many requests are at the endpoint; those that are not own ones count.

        Late reports would swing the traffic, so they are smoothed; own requests are counted as they are sent.
        """
        beyond_own = max(0.0, load - len(endpoint.in_flight))
        age_share = 1.0
        if endpoint.load_reported_at:
            age_share = 1 - math.exp((endpoint.load_reported_at - now) / smoothing)
        change = max(min_share, age_share) * (beyond_own - endpoint.reported_load)
        endpoint.reported_load += change
        endpoint.load_reported_at = now
        if abs(change) > SIGNIFICANT_CHANGE * (1 + endpoint.reported_load):
            endpoint.estimate_expires_at = 0
        self._zone_loads[endpoint.zone] += SLOW_EWMA_WEIGHT * (beyond_own - self._zone_loads[endpoint.zone])
