"""The probability that an attempt finds capacity and ends without an error."""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Mapping
from typing import NamedTuple

from linetrack.policy.decaying_average import (
    DECAY_TIME,
    EWMA_WEIGHT,
    SLOWEST_EWMA_WEIGHT,
    DecayingAverage,
    decayed,
)
from linetrack.policy.endpoint import ClassErrorRatio, Endpoint
from linetrack.policy.events import Outcome
from linetrack.policy.settings import Settings

MAX_FAILURE_PROBABILITY = 0.9  # of one kind of failure: no endpoint is without any chance


class SuccessState(NamedTuple):
    """What was learnt, in a form that another process can take over."""

    usual_error_ratio: float
    connect_failures: DecayingAverage


class SuccessModel:
    """Learns which attempts are rejected or fail, by endpoint, zone and request class."""

    def __init__(self, settings: Settings, endpoints: Mapping[str, Endpoint]) -> None:
        """Start without failures; `endpoints` are the listed ones, by name."""
        self._settings = settings
        self._endpoints = endpoints
        self._connect_failures = DecayingAverage()  # ratio of connection attempts that failed
        self._rejections: defaultdict[int, DecayingAverage] = defaultdict(DecayingAverage)  # ratio, by zone
        self._usual_error_ratio = 0.0
        self._zone_acceptance: dict[int, float] = {}  # of this event

    def start_event(self) -> None:
        """Drop what was worked out for the event before."""
        self._zone_acceptance.clear()

    def zone_acceptance(self, now: int, zone: int) -> float:
        """Return the probability that an endpoint of the zone has room for an attempt.

        Queues may be full at many endpoints of a zone at once, so rejections count for the zone.
        """
        if zone not in self._zone_acceptance:
            rejections = self._rejections.get(zone)
            rejected = rejections.estimate(now, 0.0) if rejections else 0.0
            self._zone_acceptance[zone] = 1.0 - MAX_FAILURE_PROBABILITY * rejected
        return self._zone_acceptance[zone]

    def success_probability(self, now: int, endpoint: Endpoint, class_index: int) -> float:
        """Return the probability that an attempt of the class finds room at the endpoint and no error.

        Errors that are usual are left out: while any response may fail by chance, the ratio of few responses
        strays by up to its root, and healthy endpoints would be avoided one after the other.
        """
        probability = self.zone_acceptance(now, endpoint.zone)
        if self._settings.max_streams_per_connection > 1 and endpoint.connected_until < now:
            connects = 1.0 - MAX_FAILURE_PROBABILITY * self._connect_failures.value
            probability = min(probability, connects)
        if endpoint.error_ratio:
            excess = self.excess_error_ratio(now, endpoint, class_index)
            if excess > 0:
                probability *= 1 - min(MAX_FAILURE_PROBABILITY, excess)
        return probability

    def excess_error_ratio(self, now: int, endpoint: Endpoint, class_index: int) -> float:
        """Return the endpoint's error ratio for a class over what is usual; may be negative.

        The class's own ratio counts while it is fresh, then that of all classes.
        """
        own = endpoint.class_errors.get(class_index)
        ratio = endpoint.error_ratio
        if own:
            ratio = decayed(now, own.ratio, own.updated_at, endpoint.error_ratio, DECAY_TIME)
        return ratio - math.sqrt(self._usual_error_ratio)

    def record_connect(self, now: int, is_failed: bool) -> None:
        """Take in whether a connection could be opened."""
        self._connect_failures.add(now, float(is_failed))

    def record_acceptance(self, now: int, zone: int, is_rejected: bool) -> None:
        """Take in whether an endpoint of the zone had room for an attempt."""
        self._rejections[zone].add(now, float(is_rejected))

    def record_outcome(self, now: int, endpoint: Endpoint, class_index: int, outcome: Outcome) -> None:
        """Take in whether an attempt failed; a rejection is no failure."""
        is_failed = outcome not in (Outcome.SUCCESS, Outcome.OVERLOADED)
        own = endpoint.class_errors.get(class_index)
        ratio = own.ratio if own else endpoint.error_ratio
        endpoint.class_errors[class_index] = ClassErrorRatio(ratio + EWMA_WEIGHT * (is_failed - ratio), now)
        endpoint.error_ratio += EWMA_WEIGHT * (is_failed - endpoint.error_ratio)
        # refused connections and silence are left out: half of the endpoints may be unreachable at
        # once, which is not to be taken for usual
        is_fault = outcome in (Outcome.ERROR, Outcome.RESET)
        endpoint.fault_ratio += SLOWEST_EWMA_WEIGHT * (is_fault - endpoint.fault_ratio)
        if is_failed:
            ratios = sorted([each.fault_ratio for each in self._endpoints.values()])
            self._usual_error_ratio = ratios[(len(ratios) - 1) // 2] if ratios else 0.0

    def keep_only(self, zones: set[int]) -> None:
        """Forget zones that no listed endpoint has."""
        for zone in self._rejections.keys() - zones:
            del self._rejections[zone]

    def take_over(self, predecessor: SuccessModel) -> None:
        """Go on with what an instance under other settings learnt."""
        self._connect_failures = predecessor._connect_failures
        self._rejections = predecessor._rejections

    def export_state(self) -> SuccessState:
        """Return what was learnt."""
        return SuccessState(self._usual_error_ratio, self._connect_failures)

    def import_state(self, state: SuccessState) -> None:
        """Take over what was learnt elsewhere."""
        self._usual_error_ratio = state.usual_error_ratio
        self._connect_failures = state.connect_failures
