"""Ejects endpoints that fail, and lets them back by trials.

As Envoy's outlier detection, with these differences: an endpoint is ejected by request class, as it may fail
one class alone; a rejection or a refused connection ejects it at once, for all classes; and after an ejection
it gets single trials until one succeeds.  All times are integer microseconds.
"""

from __future__ import annotations

from linetrack.policy.endpoint import NO_EJECTION, Ejection, Endpoint
from linetrack.policy.events import Outcome
from linetrack.policy.request import Request
from linetrack.policy.settings import Idempotency, Settings
from linetrack.policy.success_model import SuccessModel
from linetrack.policy.time_units import SECOND

BASE_EJECTION_TIME = 1 * SECOND  # doubles while trials fail
MAX_EJECTION_TIME = 8 * SECOND  # so that a recovered endpoint is not kept out for long
ERROR_THRESHOLD = 0.3  # error ratio, over what is usual, from which an endpoint is ejected
RECOVERY_THRESHOLD = ERROR_THRESHOLD / 3  # a success under this ratio ends the series of ejections
IMMEDIATE_OUTCOMES = (Outcome.OVERLOADED, Outcome.CONNECT_FAILED)  # these hold for every class at once


class OutlierDetector:
    """Starts, prolongs and ends ejections, and says who may be tried."""

    def __init__(self, settings: Settings, success_model: SuccessModel) -> None:
        """Judge by these settings and error ratios."""
        self._settings = settings
        self._success_model = success_model

    def record_outcome(self, now: int, endpoint: Endpoint, class_index: int, outcome: Outcome) -> bool:
        """Take in an outcome that the success model knows; return whether it ejects the endpoint."""
        excess = self._success_model.excess_error_ratio(now, endpoint, class_index)
        if outcome is Outcome.SUCCESS:
            # one success by luck must not bring a flaky endpoint back: its ratio has to fall first
            if excess < RECOVERY_THRESHOLD:
                endpoint.ejections.pop(class_index, None)
            return False
        is_immediate = outcome in IMMEDIATE_OUTCOMES
        if not is_immediate and class_index not in endpoint.ejections and excess < ERROR_THRESHOLD:
            return False
        for each in range(len(self._settings.classes)) if is_immediate else (class_index,):
            self._eject(now, endpoint, each)
        return True

    def eject_unlisted(self, now: int, endpoint: Endpoint) -> None:
        """Leave an endpoint that discovery no longer lists to trials, in every class."""
        for class_index in range(len(self._settings.classes)):
            endpoint.ejections.setdefault(class_index, Ejection(BASE_EJECTION_TIME, now + BASE_EJECTION_TIME))

    def is_lost(self, endpoint: Endpoint, class_index: int) -> bool:
        """Return whether an endpoint that is no longer listed has failed its trials for long."""
        if not endpoint.is_unlisted or not endpoint.is_routable:
            return False
        return endpoint.ejections[class_index].duration >= MAX_EJECTION_TIME

    def admits(self, now: int, endpoint: Endpoint, request: Request) -> bool:
        """Return whether the request may go there: no ejection, or it is the one trial after it.

        A trial may cost its request, so non-idempotent requests are none: they go where another class was
        served since the ejection.
        """
        until = endpoint.ejections.get(request.class_index, NO_EJECTION).until
        if not until or until > now:
            return not until
        is_idempotent = request.request_class.idempotency is not Idempotency.NON_IDEMPOTENT
        may_try = is_idempotent or endpoint.last_success_sent_at > until
        return may_try and all(
            attempt.class_index != request.class_index for attempt in endpoint.in_flight.values()
        )

    def is_unavailable(self, now: int, endpoint: Endpoint) -> bool:
        """Return whether the endpoint gets nothing while others may: draining, or ejected in every class."""
        classes = range(len(self._settings.classes))
        return not endpoint.is_routable or all(
            endpoint.ejections.get(class_index, NO_EJECTION).until > now for class_index in classes
        )

    def _eject(self, now: int, endpoint: Endpoint, class_index: int) -> None:
        duration, until = endpoint.ejections.get(class_index, NO_EJECTION)
        if now >= until:
            duration = min(MAX_EJECTION_TIME, 2 * duration) or BASE_EJECTION_TIME
        endpoint.ejections[class_index] = Ejection(duration, max(until, now + duration))
