"""Predicts the latency of attempts.

With the backlog of an endpoint at the start of an attempt, log(latency / (1 + backlog)) is modelled as a sum:

    baseline + zone congestion + host class factor + endpoint factor + class cost

The baseline is the latency of a mean request without congestion.  Each term is learnt from the residual of
the others.  Logarithms limit the influence of single very heavy requests.  All times are integer
microseconds; factors and costs are logarithms unless stated otherwise.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Mapping
from typing import NamedTuple

from linetrack.policy.class_statistics import ClassStatistics
from linetrack.policy.decaying_average import SLOW_EWMA_WEIGHT, DecayingAverage
from linetrack.policy.endpoint import ESTIMATE_LIFETIME, Attempt, Endpoint
from linetrack.policy.load_reports import REPORT_WEIGHT, LoadReports
from linetrack.policy.settings import Settings

# Weight of a response that raises the baseline.  The weight is BASELINE_FALL_RATIO times as large for one
# that lowers it, which keeps the baseline close to uncongested latencies.
BASELINE_EWMA_WEIGHT = 0.03
BASELINE_FALL_RATIO = 3.0

# Baseline as a ratio of the shortest latency objective: its maximum, as fleets are sized to answer in time,
# and its value before the first response.
MAX_BASELINE_RATIO = 0.5
INITIAL_BASELINE_RATIO = 0.25

# Maximum logarithm of one uncongested response's latency / baseline in the mean service time.
MAX_SERVICE_TIME_LOG = 3

# penalty = (expected latency / mean latency of the zone) ** PENALTY_EXPONENT, where the ratio is at least
# MIN_LOADED_FACTOR.  An endpoint with a fraction w of its capacity has its odds multiplied by
# w ** WARM_FRACTION_EXPONENT.
PENALTY_EXPONENT = 6.0
MIN_LOADED_FACTOR = 0.05
WARM_FRACTION_EXPONENT = 1.5

# Minimum delay of a hedged attempt, in expected latencies of the first attempt.
HEDGE_DELAY_RATIO = 3.0


class LatencyState(NamedTuple):
    """The learnt state, in a form that another process can import."""

    baseline: float
    mean_endpoint_factor: float
    response_count: int
    service_time: DecayingAverage
    # by zone, host class or request class; None where the importer numbers these differently
    zone_congestion: Mapping[int, DecayingAverage] | None
    host_class_factors: Mapping[int, DecayingAverage] | None
    class_costs: list[DecayingAverage] | None


class LatencyModel:
    """Learns from the latencies of responses and predicts those of further attempts."""

    def __init__(self, settings: Settings, load_reports: LoadReports, classes: ClassStatistics) -> None:
        """Initialize the baseline from the shortest latency objective, with equal endpoints."""
        self._settings = settings
        self._load_reports = load_reports
        self._classes = classes
        shortest = max(2, min(request_class.latency_objective for request_class in settings.classes))
        self._baseline = math.log(INITIAL_BASELINE_RATIO * shortest)
        self._max_baseline = math.log(MAX_BASELINE_RATIO * shortest)
        self._zone_congestion: defaultdict[int, DecayingAverage] = defaultdict(DecayingAverage)
        self._host_class_factors: defaultdict[int, DecayingAverage] = defaultdict(DecayingAverage)
        self._class_costs = [DecayingAverage() for _ in settings.classes]
        self._mean_endpoint_factor = 0.0  # over all responses; subtracted from each endpoint's factor
        self._response_count = 0
        self._service_time = DecayingAverage()  # mean over all classes without congestion; not a logarithm
        self._zone_latencies: dict[int, float] = {}  # cache for the current event

    def start_event(self) -> None:
        """Clear the values cached for the previous event."""
        self._zone_latencies.clear()

    @property
    def service_time(self) -> float:
        """Return the mean latency of uncongested responses; 0 before the first one."""
        return self._service_time.value

    def baseline_latency(self) -> float:
        """Return the latency of a mean request without congestion."""
        return math.exp(self._baseline)

    def zone_latency(self, now: int, zone: int) -> float:
        """Return the latency of a mean request at the zone's mean endpoint without other requests."""
        if zone not in self._zone_latencies:
            congestion = self._zone_congestion.get(zone)
            factor = math.exp(congestion.estimate(now, 0.0)) if congestion else 1.0
            self._zone_latencies[zone] = math.exp(self._baseline) * factor
        return self._zone_latencies[zone]

    def congestion_log(self, now: int, zone: int) -> float:
        """Return the logarithm of the zone's congestion factor, which is 1 without congestion."""
        return self._zone_congestion[zone].estimate(now, 0.0)

    def host_class_log(self, now: int, endpoint: Endpoint) -> float:
        """Return the logarithm of the latency factor of the endpoint's host class."""
        return self._host_class_factors[endpoint.host_class].estimate(now, 0.0)

    def endpoint_log(self, now: int, endpoint: Endpoint) -> float:
        """Return the logarithm of the endpoint's latency relative to the mean endpoint's."""
        prior = self._host_class_factors[endpoint.host_class].estimate(now, 0.0)
        return endpoint.latency_factor.estimate(now, prior) - self._mean_endpoint_factor

    def class_cost(self, now: int, class_index: int) -> float:
        """Return the latency of the class's mean request relative to all classes' mean; not a logarithm."""
        return math.exp(self._class_costs[class_index].estimate(now, 0.0))

    def backlog(self, now: int, endpoint: Endpoint) -> float:
        """Return the requests at the endpoint: own ones in flight, and a fraction of others' reported ones.

        Own requests whose response is probably lost are excluded: a later one was answered, and their
        expected latency has passed several times over.
        """
        own_count = len(endpoint.in_flight)
        for attempt in endpoint.in_flight.values():
            is_overtaken = attempt.sent_at < endpoint.last_success_sent_at
            if not is_overtaken or now - attempt.sent_at < HEDGE_DELAY_RATIO * attempt.expected_latency:
                break
            own_count -= 1
        return own_count + REPORT_WEIGHT * self._load_reports.load_from_other_instances(now, endpoint)

    def expected_latency(self, now: int, endpoint: Endpoint) -> float:
        """Return the expected latency of a mean request sent to the endpoint now.

        This runs for every request and every endpoint with requests in flight, so the cached estimate is
        updated here instead of in a separate method.
        """
        in_flight = endpoint.in_flight
        if in_flight or now >= endpoint.estimate_expires_at:
            endpoint.idle_factor = math.exp(self.endpoint_log(now, endpoint))
            backlog = self.backlog(now, endpoint) if in_flight or endpoint.load_reported_at else 0.0
            endpoint.warm_fraction = endpoint.warm_fraction_at(now, self._settings)
            endpoint.loaded_factor = endpoint.idle_factor * (1 + backlog) / endpoint.warm_fraction
            host_class_factor = 1.0
            if self._settings.capacity_varies_with_load:
                # the listed capacity includes the host class's speed, which must not count twice
                host_class_factor = math.exp(self.host_class_log(now, endpoint))
            relative = max(
                MIN_LOADED_FACTOR, endpoint.loaded_factor * endpoint.warm_fraction / host_class_factor
            )
            available = endpoint.capacity * endpoint.warm_fraction**WARM_FRACTION_EXPONENT
            endpoint.selection_weight = available * relative**-PENALTY_EXPONENT
            lifetime = ESTIMATE_LIFETIME if endpoint.load_reported_at else 2 * ESTIMATE_LIFETIME
            endpoint.estimate_expires_at = now + lifetime
        expected = self.zone_latency(now, endpoint.zone) * endpoint.loaded_factor
        if in_flight:
            # a hung endpoint must not keep a low penalty: its longest unanswered wait is a lower bound
            for attempt in in_flight.values():
                is_overtaken = attempt.sent_at < endpoint.last_success_sent_at
                if not is_overtaken and not self._is_failing(now, attempt):
                    excess_wait = now - attempt.sent_at - 2 * attempt.expected_latency
                    return max(expected, excess_wait + expected)
        return expected

    def _is_failing(self, now: int, attempt: Attempt) -> bool:
        """Return whether the attempt's class is failing; of another instance's attempts it is not known."""
        classes = self._settings.classes
        index = attempt.class_index
        is_own = index < len(classes) and classes[index] is attempt.request_class
        return is_own and self._classes.is_failing(now, index)

    def predict(self, now: int, attempt: Attempt) -> None:
        """Set the attempt's expected latency and backlog, before it is in flight."""
        cost = self.class_cost(now, attempt.class_index)
        attempt.expected_latency = cost * self.expected_latency(now, attempt.endpoint)
        attempt.backlog = self.backlog(now, attempt.endpoint)

    def record_latency(self, now: int, attempt: Attempt, latency: int) -> None:
        """Update the model with the latency of a response, or the time waited without one.

        Warming endpoints are skipped, as their actual capacity is unknown, and so are failing classes, which
        are late at every endpoint.
        """
        endpoint = attempt.endpoint
        if endpoint.warm_fraction_at(now, self._settings) < 1:
            return
        if self._classes.is_failing(now, attempt.class_index):
            return
        zone_congestion = self._zone_congestion[endpoint.zone]
        host_class_factor = self._host_class_factors[endpoint.host_class]
        class_cost = self._class_costs[attempt.class_index]
        # a coarse clock may measure 0, which has no logarithm
        observed = math.log(max(1, latency) / (1 + attempt.backlog))
        endpoint_log = self.endpoint_log(now, endpoint)
        class_log = class_cost.estimate(now, 0.0)
        congestion_log = zone_congestion.estimate(now, 0.0)
        self._move_baseline(observed - class_log - endpoint_log - self._baseline)
        residual = observed - class_log - self._baseline
        zone_congestion.add(now, residual - endpoint_log)
        host_class_factor.add(now, residual - congestion_log)
        endpoint.latency_factor.add(now, residual - congestion_log)
        class_cost.add(now, observed - self._baseline - congestion_log - endpoint_log)
        self._center_factors(now, endpoint_log)
        uncongested = min(observed - congestion_log - endpoint_log, self._baseline + MAX_SERVICE_TIME_LOG)
        self._service_time.add(now, math.exp(uncongested))

    def keep_only(self, zones: set[int], host_classes: set[int]) -> None:
        """Drop the state of zones and host classes that no listed endpoint has."""
        for host_class in self._host_class_factors.keys() - host_classes:
            del self._host_class_factors[host_class]
        for zone in self._zone_congestion.keys() - zones:
            del self._zone_congestion[zone]

    def take_over(self, predecessor: LatencyModel) -> None:
        """Take over what an instance under other settings learnt, except for the costs by class."""
        self._zone_congestion = predecessor._zone_congestion
        self._host_class_factors = predecessor._host_class_factors
        self._service_time = predecessor._service_time
        self._baseline = min(predecessor._baseline, self._max_baseline)
        self._response_count = predecessor._response_count
        self._mean_endpoint_factor = predecessor._mean_endpoint_factor

    def export_state(self) -> LatencyState:
        """Return the learnt state."""
        return LatencyState(
            baseline=self._baseline,
            mean_endpoint_factor=self._mean_endpoint_factor,
            response_count=self._response_count,
            service_time=self._service_time,
            zone_congestion=dict(self._zone_congestion),
            host_class_factors=dict(self._host_class_factors),
            class_costs=list(self._class_costs),
        )

    def import_state(self, state: LatencyState) -> None:
        """Replace the learnt state with that of another process."""
        self._baseline = min(state.baseline, self._max_baseline)
        self._mean_endpoint_factor = state.mean_endpoint_factor
        self._response_count = state.response_count
        self._service_time = state.service_time
        self._zone_congestion.update(state.zone_congestion or {})
        self._host_class_factors.update(state.host_class_factors or {})
        if state.class_costs is not None:
            self._class_costs = state.class_costs

    def _move_baseline(self, residual: float) -> None:
        self._response_count += 1
        ratio = 1.0 if residual > 0 else BASELINE_FALL_RATIO
        step = max(1 / self._response_count, BASELINE_EWMA_WEIGHT * ratio)
        self._baseline = min(self._baseline + min(1.0, step) * residual, self._max_baseline)

    def _center_factors(self, now: int, endpoint_log: float) -> None:
        """Keep the means of factors and costs at 0; otherwise they would rise and the baseline sink."""
        self._mean_endpoint_factor += SLOW_EWMA_WEIGHT * endpoint_log
        shares = self._classes.request_shares
        mean = sum(
            share * cost.estimate(now, 0.0) for share, cost in zip(shares, self._class_costs, strict=True)
        )
        for cost in self._class_costs:
            cost.value -= mean
