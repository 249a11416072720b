"""Whether a request is admitted: its value, its cost to others, and load shedding.

Values and costs are in units of a mean request's value.  The value of an attempt is the chance that it is
answered in time, times the request's priority weight.  Its cost is what its work delays the other requests:
where requests take longer than without congestion, one more delays them all.  All times are integer
microseconds.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from random import Random
from typing import NamedTuple

from linetrack.policy.class_statistics import FAILING_RATIO
from linetrack.policy.decaying_average import DECAY_TIME, SLOW_EWMA_WEIGHT, DecayingAverage, decayed
from linetrack.policy.endpoint import Endpoint
from linetrack.policy.endpoint_weights import WeightedEndpoints
from linetrack.policy.events import RequestReceived
from linetrack.policy.models import Models
from linetrack.policy.protocols import OverloadController
from linetrack.policy.request import Request
from linetrack.policy.settings import Settings
from linetrack.policy.tenant_quotas import TenantQuotas
from linetrack.policy.time_units import SECOND

ON_TIME_STEEPNESS = 2.5  # chance to meet the objective: 1 / (1 + (expected latency / objective) ** this)
LATE_COST_RATIO = 16.0  # work costs 1 + this x the ratio of late requests beyond the usual one
USUAL_LATE_RATIO = 0.1  # of requests that chance alone may make late, for very uneven work
REJECTION_COST = 0.3  # value of a mean request's room in a zone whose queues are all full
MAX_LISTED_LOAD_RATIO = 2.0  # listed load makes an attempt look at most so many times as slow as responses do
SHED_HOLD_TIME = 6_000  # by endpoint: for so long clients' retries are shed after a request of their class
FAILING_CLASS_SAMPLE = 0.04  # share of a failing class's requests that is admitted at least
MIN_SUCCESS_PROBABILITY = 0.05  # of a retry
RETRY_TIMEOUT_RATIO = 0.95  # a client's retry with less than this of the longest timeout used time up before


class AdmissionState(NamedTuple):
    """What was learnt, in a form that another process can take over."""

    last_response_at: int
    late_ratio: DecayingAverage
    # by class, or in units that depend on the classes; None where these mean something else here
    mean_value: float | None
    shed_at: list[int] | None
    longest_timeouts: list[int] | None


class Admission:
    """Values requests, sheds those whose cost exceeds their value, and values retries."""

    def __init__(
        self,
        settings: Settings,
        random: Random,
        endpoints: Mapping[str, Endpoint],
        models: Models,
        overload_controller: OverloadController | None,
    ) -> None:
        """Start with nothing late and nothing shed; `endpoints` are the listed ones, by name."""
        self._settings = settings
        self._random = random
        self._endpoints = endpoints
        self._latency_model = models.latency
        self._success_model = models.success
        self._load_reports = models.load_reports
        self._classes = models.classes
        self._overload_controller = overload_controller
        self._quotas = TenantQuotas(settings)
        self._mean_value = 0.0  # of a request, in priority weights; 0 before the first
        self._late_ratio = DecayingAverage()  # of the requests that were sent
        self._shed_at = [-SECOND] * len(settings.classes)  # when a request of each class was last shed
        self._longest_timeouts = [0] * len(settings.classes)  # of requests that are no client's retry
        self._last_response_at = 0

    def record_request(self, now: int, request: Request) -> None:
        """Take in a new request, before it is valued."""
        received = request.received
        class_index = request.class_index
        request.quota_factor = self._quotas.record_request(now, received)
        if not received.is_retry:
            self._longest_timeouts[class_index] = max(self._longest_timeouts[class_index], received.timeout)
        elif received.timeout < RETRY_TIMEOUT_RATIO * self._longest_timeouts[class_index]:
            # the time that first requests have beyond a client's retry was used up before it
            request.started_at = now + min(0, received.timeout - request.request_class.timeout)

    def record_class(self, now: int, class_index: int) -> None:
        """Count a request of the class, and its value in the mean."""
        self._classes.record_request(class_index)
        cost = self._latency_model.class_cost(now, class_index) if self._settings.weighs_by_work else 1.0
        value = self._settings.classes[class_index].priority_weight * cost
        self._mean_value += SLOW_EWMA_WEIGHT * (value - self._mean_value) if self._mean_value else value

    def admits(self, now: int, received: RequestReceived) -> bool:
        """Return whether a new request is to be considered at all."""
        class_index = received.class_index
        value_by_work = 0.0
        if self._overload_controller:
            cost = self._latency_model.class_cost(now, class_index)
            value_by_work = self._class_value(now, class_index) / cost
        # retries of what was just shed are not valued one by one against every endpoint
        hold_time = SHED_HOLD_TIME * len(self._endpoints)
        is_held = received.is_retry and now - self._shed_at[class_index] < hold_time
        is_admitted = not is_held and (
            not self._overload_controller or self._overload_controller.admit(now, received, value_by_work)
        )
        return not self._is_sampled_out(now, class_index) and is_admitted

    def assess(self, now: int, request: Request) -> None:
        """Work out what of the request's value and cost is the same for every endpoint."""
        classes = self._settings.classes
        costs = [self._latency_model.class_cost(now, index) for index in range(len(classes))]
        request.class_cost = costs[request.class_index]
        request.value = self._class_value(now, request.class_index) * request.quota_factor
        request.jitter = 0.5 + self._random.random()
        # a jam can look like slow endpoints, so lateness itself makes work dearer
        late = decayed(now, self._late_ratio.value, self._late_ratio.updated_at, 0.0, DECAY_TIME)
        request.overload_factor = 1 + LATE_COST_RATIO * max(0.0, late - USUAL_LATE_RATIO)
        objectives = [each.latency_objective / cost for each, cost in zip(classes, costs, strict=True)]
        request.mean_objective = sum(objectives) / len(classes)
        # without responses for a while nothing is known to be full, or requests would be shed for ever
        request.staleness_discount = decayed(now, 1.0, self._last_response_at, 0.0, DECAY_TIME)

    def net_values(self, now: int, request: Request, weighted: WeightedEndpoints) -> list[float]:
        """Return for each endpoint the value likely gained there less what the work costs others.

        Where requests take n times as long as without congestion, one more delays them by its latency
        x (n - 1) in all; the slope of the chance to be in time turns that into value.  One loop, as it runs
        over every endpoint of the own zone for every request.
        """
        baseline = self._latency_model.baseline_latency()
        capacity_varies_with_load = self._settings.capacity_varies_with_load
        discount = request.staleness_discount
        left = request.useful_until - now
        in_time = (request.class_cost * discount / left) ** ON_TIME_STEEPNESS if left > 0 else math.inf
        in_time_others = (discount / request.mean_objective) ** ON_TIME_STEEPNESS
        value = request.value
        work_cost = request.jitter * request.overload_factor * request.class_cost * ON_TIME_STEEPNESS
        room_cost = 0.0
        zone = -1
        net_values = []
        for endpoint, latency, probability in zip(
            weighted.endpoints, weighted.latencies, weighted.success_probabilities, strict=True
        ):
            if endpoint.zone != zone:
                zone = endpoint.zone
                room_cost = self._room_cost(now, request, zone)
            warm_fraction = endpoint.warm_fraction
            uncongested = baseline * endpoint.idle_factor
            if capacity_varies_with_load:
                latency = self._latency_by_listed_load(now, endpoint, uncongested, latency)
            if warm_fraction < 1:
                # its congestion is that of the warm endpoints, or it would idle while they are jammed
                latency *= math.exp(-self._latency_model.congestion_log(now, endpoint.zone))
            power = latency**ON_TIME_STEEPNESS
            net_value = probability / (1 + in_time * power) * value - room_cost
            congestion = latency * warm_fraction / uncongested
            if congestion > 1:
                late = in_time_others * power if in_time_others * power < 1 else 1.0
                # the jitter in the cost grades this: all instances must not shed all and then nothing
                net_value -= work_cost * late / (1 + late) ** 2 * (congestion - 1)
            net_values.append(net_value)
        return net_values

    def is_retry_worthwhile(
        self, now: int, request: Request, endpoint: Endpoint, key_expires_at: int
    ) -> bool:
        """Return whether a retry or hedged attempt is likely to gain more than it costs.

        `key_expires_at` is when the endpoint may have forgotten the request's key; 0 if never.
        """
        latency = request.class_cost * self._latency_model.expected_latency(now, endpoint)
        if key_expires_at and now + latency >= key_expires_at:
            # it would be taken up when the key is forgotten
            return False
        cost = self._settings.cross_zone_cost if endpoint.zone != self._settings.zone else 0.0
        left = request.useful_until - now
        gain: float = self._success_model.success_probability(now, endpoint, request.class_index)
        ratio = request.staleness_discount * latency / left if left > 0 else math.inf
        gain *= 1 / (1 + ratio**ON_TIME_STEEPNESS)
        if latency < request.deadline - now:
            gain = max(gain, request.request_class.late_weight)
        # where all queues are full, each retry takes the room of another request
        cost += self._room_cost(now, request, endpoint.zone)
        return gain * request.value > cost and gain > MIN_SUCCESS_PROBABILITY

    def record_shed(self, now: int, request: Request) -> None:
        """Note that a request was shed."""
        self._shed_at[request.class_index] = now

    def record_response(self, now: int) -> None:
        """Note that some endpoint responded."""
        self._last_response_at = now

    def record_completion(self, now: int, request: Request, is_served: bool) -> None:
        """Count the end of a request, whichever way."""
        took = (request.response_started_at or now) - request.started_at
        is_late = took > request.request_class.latency_objective
        if request.attempt_count and not self._classes.is_failing(now, request.class_index):
            self._late_ratio.add(now, float(is_late))
        self._classes.record_completion(request.class_index, is_served and not is_late)

    def take_over(self, predecessor: Admission) -> None:
        """Go on after an instance under other settings; what it learnt by class is dropped."""
        self._last_response_at = predecessor._last_response_at

    def export_state(self) -> AdmissionState:
        """Return what was learnt."""
        return AdmissionState(
            last_response_at=self._last_response_at,
            late_ratio=self._late_ratio,
            mean_value=self._mean_value,
            shed_at=list(self._shed_at),
            longest_timeouts=list(self._longest_timeouts),
        )

    def import_state(self, state: AdmissionState) -> None:
        """Take over what was learnt elsewhere."""
        self._last_response_at = state.last_response_at
        self._late_ratio = state.late_ratio
        if state.mean_value is not None:
            self._mean_value = state.mean_value
        if state.shed_at is not None:
            self._shed_at = state.shed_at
        if state.longest_timeouts is not None:
            self._longest_timeouts = state.longest_timeouts

    def _is_sampled_out(self, now: int, class_index: int) -> bool:
        """Return whether a request is left out as its class is late wherever it goes; a few are not."""
        ratio = self._classes.relative_on_time_ratio(now, class_index)
        if ratio >= FAILING_RATIO:
            return False
        return self._random.random() > max(FAILING_CLASS_SAMPLE, (ratio / FAILING_RATIO) ** 2)

    def _class_value(self, now: int, class_index: int) -> float:
        """Return the mean value of a class's requests, with what the goal adds for the worst served."""
        settings = self._settings
        cost = self._latency_model.class_cost(now, class_index) if settings.weighs_by_work else 1.0
        weight = max(1e-9, settings.classes[class_index].priority_weight) * cost
        value = weight / (self._mean_value or 1.0)
        if not 0 < settings.goal_weight_of_worst_class < 1:
            return value
        odds = settings.goal_weight_of_worst_class / (1 - settings.goal_weight_of_worst_class)
        share = max(0.01, self._classes.request_shares[class_index])
        return value + self._classes.worst_served_part(class_index, odds / share)

    def _room_cost(self, now: int, request: Request, zone: int) -> float:
        """Return what an attempt's room in the zone costs others: full queues reject all classes."""
        rejection = 1.0 - self._success_model.zone_acceptance(now, zone)
        return REJECTION_COST * request.jitter * request.class_cost * rejection

    def _latency_by_listed_load(
        self, now: int, endpoint: Endpoint, uncongested: float, latency: float
    ) -> float:
        """Return the latency with the listed load counted in full: responses show an overload too late."""
        load = 1 + self._load_reports.load_beyond_own(now, endpoint)
        by_load = uncongested * self._load_reports.work_fraction * load / endpoint.warm_fraction
        return max(latency, min(by_load, MAX_LISTED_LOAD_RATIO * latency))
