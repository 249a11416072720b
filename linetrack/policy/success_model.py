"""Estimates the probability that an attempt is accepted and ends without an error."""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Mapping
from typing import NamedTuple

from linetrack.policy.decaying_average import (
    EWMA_WEIGHT,
    OBSERVATION_DECAY_TIME,
    SLOWEST_EWMA_WEIGHT,
    DecayingAverage,
    decayed,
)
from linetrack.policy.endpoint import ClassErrorRatio, Endpoint
from linetrack.policy.events import Outcome
from linetrack.policy.settings import Settings

MAX_FAILURE_PROBABILITY = 0.9  # maximum per kind of failure, so that every endpoint can be selected


class SuccessState(NamedTuple):
    """The learnt state, in a form that another process can import."""

    usual_error_ratio: float
    connect_failures: DecayingAverage


class SuccessModel:
    """Learns the ratios of rejected and failed attempts, by endpoint, zone and request class."""

    def __init__(self, settings: Settings, endpoints: Mapping[str, Endpoint]) -> None:
        """Initialize without failures; `endpoints` are the listed ones, by name."""
        self._settings = settings
        self._endpoints = endpoints
        self._connect_failures = DecayingAverage()  # ratio of connection attempts that failed
        self._rejections: defaultdict[int, DecayingAverage] = defaultdict(DecayingAverage)  # ratio by zone
        self._usual_error_ratio = 0.0
        self._zone_acceptance: dict[int, float] = {}  # cache for the current event

    def start_event(self) -> None:
        """Clear the values cached for the previous event."""
        self._zone_acceptance.clear()

    def zone_acceptance(self, now: int, zone: int) -> float:
        """Return the probability that an endpoint of the zone accepts an attempt.

        Rejections count for the whole zone, as queues are often full at many of its endpoints at once.
        """
        if zone not in self._zone_acceptance:
            rejections = self._rejections.get(zone)
            rejection_ratio = rejections.estimate(now, 0.0) if rejections else 0.0
            self._zone_acceptance[zone] = 1.0 - MAX_FAILURE_PROBABILITY * rejection_ratio
        return self._zone_acceptance[zone]

    def success_probability(self, now: int, endpoint: Endpoint, class_index: int) -> float:
        """Return the probability that the endpoint accepts an attempt of the class and serves it.

        The usual error ratio is excluded: if any response may fail by chance, an error ratio measured over
        few responses deviates by up to the square root of the usual one, and healthy endpoints would be
        avoided one after the other.
        """
        probability = self.zone_acceptance(now, endpoint.zone)
        if self._settings.max_streams_per_connection > 1 and endpoint.connected_until < now:
            connect_probability = 1.0 - MAX_FAILURE_PROBABILITY * self._connect_failures.value
            probability = min(probability, connect_probability)
        if endpoint.error_ratio:
            excess = self.excess_error_ratio(now, endpoint, class_index)
            if excess > 0:
                probability *= 1 - min(MAX_FAILURE_PROBABILITY, excess)
        return probability

    def excess_error_ratio(self, now: int, endpoint: Endpoint, class_index: int) -> float:
        """Return the endpoint's error ratio for a class in excess of the usual one; it may be negative.

        The ratio of the class decays to that of all classes.
        """
        class_errors = endpoint.class_errors.get(class_index)
        ratio = endpoint.error_ratio
        if class_errors:
            ratio = decayed(
                now, class_errors.ratio, class_errors.updated_at, endpoint.error_ratio, OBSERVATION_DECAY_TIME
            )
        return ratio - math.sqrt(self._usual_error_ratio)

    def record_connect(self, now: int, is_failed: bool) -> None:
        """Record whether a connection could be opened."""
        self._connect_failures.add(now, float(is_failed))

    def record_acceptance(self, now: int, zone: int, is_rejected: bool) -> None:
        """Record whether an endpoint of the zone accepted an attempt."""
        self._rejections[zone].add(now, float(is_rejected))

    def record_outcome(self, now: int, endpoint: Endpoint, class_index: int, outcome: Outcome) -> None:
        """Record whether an attempt failed; a rejection is not a failure."""
        is_failed = outcome not in (Outcome.SUCCESS, Outcome.OVERLOADED)
        class_errors = endpoint.class_errors.get(class_index)
        ratio = class_errors.ratio if class_errors else endpoint.error_ratio
        endpoint.class_errors[class_index] = ClassErrorRatio(ratio + EWMA_WEIGHT * (is_failed - ratio), now)
        endpoint.error_ratio += EWMA_WEIGHT * (is_failed - endpoint.error_ratio)
        # failed connections and timeouts are excluded, as half of the endpoints may be unreachable at once,
        # which must not count as usual
        is_fault = outcome in (Outcome.ERROR, Outcome.RESET)
        endpoint.fault_ratio += SLOWEST_EWMA_WEIGHT * (is_fault - endpoint.fault_ratio)
        if is_failed:
            ratios = sorted([record.fault_ratio for record in self._endpoints.values()])
            self._usual_error_ratio = ratios[(len(ratios) - 1) // 2] if ratios else 0.0

    def keep_only(self, zones: set[int]) -> None:
        """Drop the state of zones that no listed endpoint has."""
        for zone in self._rejections.keys() - zones:
            del self._rejections[zone]

    def take_over(self, predecessor: SuccessModel) -> None:
        """Take over what an instance under other settings learnt."""
        self._connect_failures = predecessor._connect_failures
        self._rejections = predecessor._rejections

    def export_state(self) -> SuccessState:
        """Return the learnt state."""
        return SuccessState(self._usual_error_ratio, self._connect_failures)

    def import_state(self, state: SuccessState) -> None:
        """Replace the learnt state with that of another process."""
        self._usual_error_ratio = state.usual_error_ratio
        self._connect_failures = state.connect_failures
