"""Admission control: values requests, estimates what they cost others, and sheds load.

Values and costs are in units of a mean request's value.  The value of an attempt is the probability that it
is answered in time, times the request's priority weight.  Its cost is the delay that its work causes for
other requests: under congestion, each additional request delays all others.  All times are integer
microseconds.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from random import Random
from typing import NamedTuple

from linetrack.policy.class_statistics import FAILING_RATIO
from linetrack.policy.decaying_average import (
    OBSERVATION_DECAY_TIME,
    SLOW_EWMA_WEIGHT,
    DecayingAverage,
    decayed,
)
from linetrack.policy.endpoint import Endpoint
from linetrack.policy.endpoint_weights import WeightedEndpoints
from linetrack.policy.events import RequestReceived
from linetrack.policy.models import Models
from linetrack.policy.protocols import OverloadController
from linetrack.policy.request import Request
from linetrack.policy.settings import Settings
from linetrack.policy.tenant_quotas import TenantQuotas
from linetrack.policy.time_units import SECOND

# P(latency objective met) = 1 / (1 + odds).  The odds that a response is late are
# (expected latency / objective) ** ON_TIME_STEEPNESS.
#
# The cost to others follows from it: where requests take n times as long as without congestion, one more
# delays the others by its latency x (n - 1) in total.  The slope of their probability to be in time,
# ON_TIME_STEEPNESS x odds / (1 + odds)^2, converts that delay to value.  Odds over 1, where the slope is
# greatest, count as 1.
ON_TIME_STEEPNESS = 2.5

# The cost of work is multiplied by 1 + LATE_WORK_COST_FACTOR x (late ratio - TOLERATED_LATE_RATIO).  Where
# the work of requests varies widely, up to the tolerated ratio of them may be late by chance alone.
LATE_WORK_COST_FACTOR = 16.0
TOLERATED_LATE_RATIO = 0.1

# Cost of the queue slot of a mean request in a zone whose queues are all full.
FULL_QUEUE_SLOT_COST = 0.3

# Limit on the latency derived from listed load, as a multiple of the latency expected from responses.
MAX_LISTED_LOAD_SLOWDOWN = 2.0

# After a request was shed, client retries of its class are rejected for this time x the number of endpoints.
CLIENT_RETRY_BLOCK_TIME_PER_ENDPOINT_US = 6_000

# Minimum share of a failing class's requests that is admitted, to notice when the class recovers.
MIN_FAILING_CLASS_SAMPLE = 0.04

# Minimum share of a request's value that a retry must be expected to gain.
MIN_RETRY_GAIN = 0.05

# A client retry whose timeout is below this share of its class's longest timeout is assumed to have lost the
# difference to earlier attempts.
CLIENT_RETRY_TIMEOUT_RATIO = 0.95


class AdmissionState(NamedTuple):
    """The learnt state, in a form that another process can import."""

    last_response_at: int
    late_ratio: DecayingAverage
    # by request class, or in units that depend on the classes; None where the importer's classes differ
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
        """Initialize without any late or shed requests.

        Args:
            settings: the settings of this instance.
            random: the source of jitter and samples.
            endpoints: the listed endpoints, by name.
            models: the learnt models, which other components update.
            overload_controller: consulted about each new request; None in deployments without one.
        """
        self._settings = settings
        self._random = random
        self._endpoints = endpoints
        self._latency_model = models.latency
        self._success_model = models.success
        self._load_reports = models.load_reports
        self._classes = models.classes
        self._overload_controller = overload_controller
        self._quotas = TenantQuotas(settings)
        self._mean_value = 0.0  # mean priority weight, times cost where requests weigh by work; 0 if unknown
        self._late_ratio = DecayingAverage()  # share of the sent requests that missed their objective
        self._shed_at = [-SECOND] * len(settings.classes)  # time of the last shed request, by class
        self._longest_timeouts = [0] * len(settings.classes)  # by class, client retries excluded
        self._last_response_at = 0

    def record_request(self, now: int, request: Request) -> None:
        """Record a new request; must be called before it is valued."""
        received = request.received
        class_index = request.class_index
        request.quota_factor = self._quotas.record_request(now, received)
        if not received.is_retry:
            self._longest_timeouts[class_index] = max(self._longest_timeouts[class_index], received.timeout)
        elif received.timeout < CLIENT_RETRY_TIMEOUT_RATIO * self._longest_timeouts[class_index]:
            # earlier attempts of the client have used up the difference between its timeout and the usual one
            request.started_at = now + min(0, received.timeout - request.request_class.timeout)

    def record_class(self, now: int, class_index: int) -> None:
        """Count a request of the class and update the mean value."""
        self._classes.record_request(class_index)
        cost = self._latency_model.class_cost(now, class_index) if self._settings.weighs_by_work else 1.0
        value = self._settings.classes[class_index].priority_weight * cost
        self._mean_value += SLOW_EWMA_WEIGHT * (value - self._mean_value) if self._mean_value else value

    def admits(self, now: int, received: RequestReceived) -> bool:
        """Return whether a new request is considered for sending; it is rejected otherwise."""
        class_index = received.class_index
        value_per_work = 0.0
        if self._overload_controller:
            cost = self._latency_model.class_cost(now, class_index)
            value_per_work = self._class_value(now, class_index) / cost
        # after shedding, reject client retries of the class without valuing each against every endpoint
        block_time = CLIENT_RETRY_BLOCK_TIME_PER_ENDPOINT_US * len(self._endpoints)
        is_blocked = received.is_retry and now - self._shed_at[class_index] < block_time
        is_admitted = not is_blocked and (
            not self._overload_controller or self._overload_controller.admit(now, received, value_per_work)
        )
        return not self._is_sampled_out(now, class_index) and is_admitted

    def assess(self, now: int, request: Request) -> None:
        """Compute the terms of the request's value and cost that do not depend on the endpoint."""
        classes = self._settings.classes
        costs = [self._latency_model.class_cost(now, index) for index in range(len(classes))]
        request.class_cost = costs[request.class_index]
        request.value = self._class_value(now, request.class_index) * request.quota_factor
        request.jitter = 0.5 + self._random.random()
        # the latency model may mistake congestion for slow endpoints, so lateness itself raises the cost
        late_ratio = decayed(
            now, self._late_ratio.value, self._late_ratio.updated_at, 0.0, OBSERVATION_DECAY_TIME
        )
        request.overload_factor = 1 + LATE_WORK_COST_FACTOR * max(0.0, late_ratio - TOLERATED_LATE_RATIO)
        objectives = [each.latency_objective / cost for each, cost in zip(classes, costs, strict=True)]
        request.mean_objective = sum(objectives) / len(classes)
        # estimates of congestion fade without responses, as shedding every request would keep them unchanged
        request.staleness_discount = decayed(now, 1.0, self._last_response_at, 0.0, OBSERVATION_DECAY_TIME)

    def net_values(self, now: int, request: Request, weighted: WeightedEndpoints) -> list[float]:
        """Return for each endpoint the expected value of the request there minus its cost to others.

        `ON_TIME_STEEPNESS` says how the cost is derived; its jitter keeps instances from shedding all at once
        and then nothing.  This is one loop, as it runs for every endpoint of the own zone and every request.
        """
        baseline = self._latency_model.baseline_latency()
        capacity_varies_with_load = self._settings.capacity_varies_with_load
        discount = request.staleness_discount
        remaining = request.useful_until - now
        odds_factor = (
            (request.class_cost * discount / remaining) ** ON_TIME_STEEPNESS if remaining > 0 else math.inf
        )
        others_factor = (discount / request.mean_objective) ** ON_TIME_STEEPNESS
        value = request.value
        work_cost = request.jitter * request.overload_factor * request.class_cost * ON_TIME_STEEPNESS
        queue_slot_cost = 0.0
        zone = -1
        net_values = []
        for endpoint, latency, probability in zip(
            weighted.endpoints, weighted.latencies, weighted.success_probabilities, strict=True
        ):
            if endpoint.zone != zone:
                zone = endpoint.zone
                queue_slot_cost = self._queue_slot_cost(now, request, zone)
            warm_fraction = endpoint.warm_fraction
            uncongested = baseline * endpoint.idle_factor
            if capacity_varies_with_load:
                latency = self._latency_by_listed_load(now, endpoint, uncongested, latency)
            if warm_fraction < 1:
                # exclude the congestion of the zone's warm endpoints, or this one would idle meanwhile
                latency *= math.exp(-self._latency_model.congestion_log(now, endpoint.zone))
            latency_power = latency**ON_TIME_STEEPNESS
            net_value = probability / (1 + odds_factor * latency_power) * value - queue_slot_cost
            congestion = latency * warm_fraction / uncongested
            if congestion > 1:
                others_odds = others_factor * latency_power if others_factor * latency_power < 1 else 1.0
                net_value -= work_cost * others_odds / (1 + others_odds) ** 2 * (congestion - 1)
            net_values.append(net_value)
        return net_values

    def is_retry_worthwhile(
        self, now: int, request: Request, endpoint: Endpoint, key_expires_at: int
    ) -> bool:
        """Return whether the expected value of a retry or hedged attempt exceeds its cost.

        `key_expires_at` is when endpoints begin to forget the request's idempotency key; 0: never.
        """
        latency = request.class_cost * self._latency_model.expected_latency(now, endpoint)
        if key_expires_at and now + latency >= key_expires_at:
            # the endpoint could execute it after it has forgotten the key, and so a second time
            return False
        cost = self._settings.cross_zone_cost if endpoint.zone != self._settings.zone else 0.0
        remaining = request.useful_until - now
        gain: float = self._success_model.success_probability(now, endpoint, request.class_index)
        ratio = request.staleness_discount * latency / remaining if remaining > 0 else math.inf
        gain *= 1 / (1 + ratio**ON_TIME_STEEPNESS)
        if latency < request.deadline - now:
            gain = max(gain, request.request_class.late_weight)
        # where all queues are full, each retry displaces another request
        cost += self._queue_slot_cost(now, request, endpoint.zone)
        return gain * request.value > cost and gain > MIN_RETRY_GAIN

    def record_shed(self, now: int, request: Request) -> None:
        """Record that a request was shed."""
        self._shed_at[request.class_index] = now

    def record_response(self, now: int) -> None:
        """Record that an endpoint responded."""
        self._last_response_at = now

    def record_completion(self, now: int, request: Request, is_served: bool) -> None:
        """Record the end of a request, served or not."""
        latency = (request.response_started_at or now) - request.started_at
        is_late = latency > request.request_class.latency_objective
        if request.attempt_count and not self._classes.is_failing(now, request.class_index):
            self._late_ratio.add(now, float(is_late))
        self._classes.record_completion(request.class_index, is_served and not is_late)

    def take_over(self, predecessor: Admission) -> None:
        """Continue from an instance under other settings, without what it learnt by class."""
        self._last_response_at = predecessor._last_response_at

    def export_state(self) -> AdmissionState:
        """Return the learnt state."""
        return AdmissionState(
            last_response_at=self._last_response_at,
            late_ratio=self._late_ratio,
            mean_value=self._mean_value,
            shed_at=list(self._shed_at),
            longest_timeouts=list(self._longest_timeouts),
        )

    def import_state(self, state: AdmissionState) -> None:
        """Replace the learnt state with that of another process."""
        self._last_response_at = state.last_response_at
        self._late_ratio = state.late_ratio
        if state.mean_value is not None:
            self._mean_value = state.mean_value
        if state.shed_at is not None:
            self._shed_at = state.shed_at
        if state.longest_timeouts is not None:
            self._longest_timeouts = state.longest_timeouts

    def _is_sampled_out(self, now: int, class_index: int) -> bool:
        """Return whether to reject a request as its class is late at every endpoint; a sample is admitted."""
        ratio = self._classes.relative_on_time_ratio(now, class_index)
        if ratio >= FAILING_RATIO:
            return False
        return self._random.random() > max(MIN_FAILING_CLASS_SAMPLE, (ratio / FAILING_RATIO) ** 2)

    def _class_value(self, now: int, class_index: int) -> float:
        """Return the mean value of a class's requests, including the goal's weight of the worst class."""
        settings = self._settings
        cost = self._latency_model.class_cost(now, class_index) if settings.weighs_by_work else 1.0
        weight = max(1e-9, settings.classes[class_index].priority_weight) * cost
        value = weight / (self._mean_value or 1.0)
        if not 0 < settings.goal_weight_of_worst_class < 1:
            return value
        odds = settings.goal_weight_of_worst_class / (1 - settings.goal_weight_of_worst_class)
        share = max(0.01, self._classes.request_shares[class_index])
        return value + self._classes.worst_served_weight(class_index, odds / share)

    def _queue_slot_cost(self, now: int, request: Request, zone: int) -> float:
        """Return the cost of an attempt's queue slot in the zone: full queues reject all classes."""
        rejection_probability = 1.0 - self._success_model.zone_acceptance(now, zone)
        return FULL_QUEUE_SLOT_COST * request.jitter * request.class_cost * rejection_probability

    def _latency_by_listed_load(
        self, now: int, endpoint: Endpoint, uncongested: float, latency: float
    ) -> float:
        """Return the latency raised for the listed load, as responses show an overload too late."""
        load = 1 + self._load_reports.load_from_other_instances(now, endpoint)
        load_latency = uncongested * self._load_reports.work_fraction * load / endpoint.warm_fraction
        return max(latency, min(load_latency, MAX_LISTED_LOAD_SLOWDOWN * latency))
