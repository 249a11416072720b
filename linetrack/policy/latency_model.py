"""What an attempt is expected to take.

The logarithm of a response's latency, with the backlog at its start divided out, is modelled as a sum:

    baseline + zone congestion + host class factor + endpoint factor + class cost

The baseline is the time of a mean request without congestion.  Each part learns what the others leave
unexplained.  Logarithms are used because one very heavy request says little about the rest.  All times are
integer microseconds; factors and costs are logarithms unless said otherwise.
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

BASELINE_STEP = 0.03  # of the baseline, per response
BASELINE_FALL_RATIO = 3.0  # it falls so many times as fast as it rises: it stays near uncongested responses
MAX_BASELINE_RATIO = 0.5  # of the shortest latency objective: fleets are built to answer in time
INITIAL_BASELINE_RATIO = 0.25  # of the shortest latency objective, before any response
MAX_SERVICE_TIME_LOG = 3  # over the baseline; a single response beyond it counts as this
SHARPNESS = 6.0  # penalty = (expected latency / mean of the zone) ** this
MIN_LOADED_FACTOR = 0.05  # in the penalty
WARM_FRACTION_EXPONENT = 1.5  # a fraction w of its capacity weighs an endpoint's odds by w ** this
HEDGE_DELAY_RATIO = 3.0  # a hedged attempt waits so many expected latencies of the first attempt


class LatencyState(NamedTuple):
    """What was learnt, in a form that another process can take over."""

    baseline: float
    mean_endpoint_factor: float
    response_count: int
    service_time: DecayingAverage
    # by zone, host class or request class; None where these numbers mean something else here
    zone_congestion: Mapping[int, DecayingAverage] | None
    host_class_factors: Mapping[int, DecayingAverage] | None
    class_costs: list[DecayingAverage] | None


class LatencyModel:
    """Learns from latencies and predicts those of the next attempts."""

    def __init__(self, settings: Settings, load_reports: LoadReports, classes: ClassStatistics) -> None:
        """Start at a share of the shortest latency objective, with all endpoints alike."""
        self._settings = settings
        self._load_reports = load_reports
        self._classes = classes
        shortest = max(2, min(each.latency_objective for each in settings.classes))
        self._baseline = math.log(INITIAL_BASELINE_RATIO * shortest)
        self._max_baseline = math.log(MAX_BASELINE_RATIO * shortest)
        self._zone_congestion: defaultdict[int, DecayingAverage] = defaultdict(DecayingAverage)
        self._host_class_factors: defaultdict[int, DecayingAverage] = defaultdict(DecayingAverage)
        self._class_costs = [DecayingAverage() for _ in settings.classes]
        self._mean_endpoint_factor = 0.0  # over all responses; kept out of the factors
        self._response_count = 0
        self._service_time = DecayingAverage()  # of an uncongested response, over all classes; no logarithm
        self._zone_latencies: dict[int, float] = {}  # of this event, so as not to work them out by endpoint

    def start_event(self) -> None:
        """Drop what was worked out for the event before."""
        self._zone_latencies.clear()

    @property
    def service_time(self) -> float:
        """Return the mean time of an uncongested response; 0 before the first."""
        return self._service_time.value

    def baseline_latency(self) -> float:
        """Return the time of a mean request without congestion."""
        return math.exp(self._baseline)

    def zone_latency(self, now: int, zone: int) -> float:
        """Return the time of a mean request, alone at the zone's mean endpoint."""
        if zone not in self._zone_latencies:
            congestion = self._zone_congestion.get(zone)
            factor = math.exp(congestion.estimate(now, 0.0)) if congestion else 1.0
            self._zone_latencies[zone] = math.exp(self._baseline) * factor
        return self._zone_latencies[zone]

    def congestion_log(self, now: int, zone: int) -> float:
        """Return the logarithm of how much longer requests take in the zone than without congestion."""
        return self._zone_congestion[zone].estimate(now, 0.0)

    def host_class_log(self, now: int, endpoint: Endpoint) -> float:
        """Return the logarithm of the time that the endpoint's host class takes over the mean's."""
        return self._host_class_factors[endpoint.host_class].estimate(now, 0.0)

    def endpoint_log(self, now: int, endpoint: Endpoint) -> float:
        """Return the logarithm of the time that the endpoint itself takes over the mean's."""
        prior = self._host_class_factors[endpoint.host_class].estimate(now, 0.0)
        return endpoint.latency_factor.estimate(now, prior) - self._mean_endpoint_factor

    def class_cost(self, now: int, class_index: int) -> float:
        """Return the time of the class's mean request over the mean of all; no logarithm."""
        return math.exp(self._class_costs[class_index].estimate(now, 0.0))

    def backlog(self, now: int, endpoint: Endpoint) -> float:
        """Return the requests at the endpoint: own ones in flight, and part of those reported beyond them.

        Own ones whose response is probably lost do not count: later ones were answered, and their time is
        long over.
        """
        own = len(endpoint.in_flight)
        for attempt in endpoint.in_flight.values():
            is_overtaken = attempt.sent_at < endpoint.last_success_sent_at
            if not is_overtaken or now - attempt.sent_at < HEDGE_DELAY_RATIO * attempt.expected_latency:
                break
            own -= 1
        return own + REPORT_WEIGHT * self._load_reports.load_beyond_own(now, endpoint)

    def expected_latency(self, now: int, endpoint: Endpoint) -> float:
        """Return the expected latency of a mean request sent to the endpoint now.

        This runs for each endpoint with requests in flight for each request, so the estimate is renewed here
        and not in a method of its own.
        """
        in_flight = endpoint.in_flight
        if in_flight or now >= endpoint.estimate_expires_at:
            endpoint.idle_factor = math.exp(self.endpoint_log(now, endpoint))
            backlog = self.backlog(now, endpoint) if in_flight or endpoint.load_reported_at else 0.0
            endpoint.warm_fraction = endpoint.warm_fraction_at(now, self._settings)
            endpoint.loaded_factor = endpoint.idle_factor * (1 + backlog) / endpoint.warm_fraction
            usual = 1.0
            if self._settings.capacity_varies_with_load:
                # the listed capacity stands for the host class's speed, which is not to count twice
                usual = math.exp(self.host_class_log(now, endpoint))
            relative = max(MIN_LOADED_FACTOR, endpoint.loaded_factor * endpoint.warm_fraction / usual)
            available = endpoint.capacity * endpoint.warm_fraction**WARM_FRACTION_EXPONENT
            endpoint.selection_weight = available * relative**-SHARPNESS
            lifetime = ESTIMATE_LIFETIME if endpoint.load_reported_at else 2 * ESTIMATE_LIFETIME
            endpoint.estimate_expires_at = now + lifetime
        expected = self.zone_latency(now, endpoint.zone) * endpoint.loaded_factor
        if in_flight:
            # a hung endpoint must not keep its low penalty: its oldest silence is a lower bound
            for oldest in in_flight.values():
                is_overtaken = oldest.sent_at < endpoint.last_success_sent_at
                if not is_overtaken and not self._classes.is_failing(now, oldest.class_index):
                    silence = now - oldest.sent_at - 2 * oldest.expected_latency
                    return max(expected, silence + expected)
        return expected

    def predict(self, now: int, attempt: Attempt) -> None:
        """Note in the attempt what it is expected to take, before it is in flight."""
        cost = self.class_cost(now, attempt.class_index)
        attempt.expected_latency = cost * self.expected_latency(now, attempt.endpoint)
        attempt.backlog = self.backlog(now, attempt.endpoint)

    def record_latency(self, now: int, attempt: Attempt, latency: int) -> None:
        """Learn from the latency of a response, or of a silence that was given up.

        Nothing is learnt from endpoints that warm up, as it is not known how far they are, nor from classes
        that are late wherever they go.
        """
        endpoint = attempt.endpoint
        if endpoint.warm_fraction_at(now, self._settings) < 1:
            return
        if self._classes.is_failing(now, attempt.class_index):
            return
        zone_congestion = self._zone_congestion[endpoint.zone]
        host_class_factor = self._host_class_factors[endpoint.host_class]
        class_cost = self._class_costs[attempt.class_index]
        # a clock may be too coarse to tell a very short time, which is never none
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
        """Forget zones and host classes that no listed endpoint has."""
        for host_class in self._host_class_factors.keys() - host_classes:
            del self._host_class_factors[host_class]
        for zone in self._zone_congestion.keys() - zones:
            del self._zone_congestion[zone]

    def take_over(self, predecessor: LatencyModel) -> None:
        """Go on with what an instance under other settings learnt; what it learnt by class is dropped."""
        self._zone_congestion = predecessor._zone_congestion
        self._host_class_factors = predecessor._host_class_factors
        self._service_time = predecessor._service_time
        self._baseline = min(predecessor._baseline, self._max_baseline)
        self._response_count = predecessor._response_count
        self._mean_endpoint_factor = predecessor._mean_endpoint_factor

    def export_state(self) -> LatencyState:
        """Return what was learnt."""
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
        """Take over what was learnt elsewhere."""
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
        step = max(1 / self._response_count, BASELINE_STEP * ratio)
        self._baseline = min(self._baseline + min(1.0, step) * residual, self._max_baseline)

    def _center_factors(self, now: int, endpoint_log: float) -> None:
        """Keep the means of factors and costs at 0, or the baseline would sink as they rise."""
        self._mean_endpoint_factor += SLOW_EWMA_WEIGHT * endpoint_log
        shares = self._classes.request_shares
        mean = sum(
            share * cost.estimate(now, 0.0) for share, cost in zip(shares, self._class_costs, strict=True)
        )
        for cost in self._class_costs:
            cost.value -= mean
