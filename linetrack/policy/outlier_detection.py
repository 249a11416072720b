"""Ejects failing endpoints, and readmits them after a successful trial.

This works like Envoy's outlier detection, with these differences: an endpoint is ejected by request class, as
it may fail for one class only; a rejection or a failed connection ejects it at once, for all classes; and
after an ejection it gets single trials until one succeeds.  All times are integer microseconds.
"""

from __future__ import annotations

from linetrack.policy.endpoint import NO_EJECTION, Ejection, Endpoint
from linetrack.policy.events import Outcome
from linetrack.policy.request import Request
from linetrack.policy.settings import Idempotency, Settings
from linetrack.policy.success_model import SuccessModel
from linetrack.policy.time_units import SECOND

BASE_EJECTION_TIME = 1 * SECOND  # doubles with each failed trial
MAX_EJECTION_TIME = 8 * SECOND  # a recovered endpoint must not stay ejected for long
ERROR_THRESHOLD = 0.3  # error ratio in excess of the usual one from which an endpoint is ejected
RECOVERY_THRESHOLD = ERROR_THRESHOLD / 3  # excess ratio below which a success ends the ejection
# Outcomes that eject an endpoint at once, for every class.
IMMEDIATE_EJECTION_OUTCOMES = (Outcome.OVERLOADED, Outcome.CONNECT_FAILED)


class OutlierDetector:
    """Starts, extends and ends ejections, and decides which endpoints may get a trial."""

    def __init__(self, settings: Settings, success_model: SuccessModel) -> None:
        """Initialize with the model that provides the error ratios."""
        self._settings = settings
        self._success_model = success_model

    def record_outcome(self, now: int, endpoint: Endpoint, class_index: int, outcome: Outcome) -> bool:
        """Process an outcome after the success model has; return whether it ejects the endpoint."""
        excess = self._success_model.excess_error_ratio(now, endpoint, class_index)
        if outcome is Outcome.SUCCESS:
            # one success must not readmit a flaky endpoint: its error ratio has to fall first
            if excess < RECOVERY_THRESHOLD:
                endpoint.ejections.pop(class_index, None)
            return False
        is_immediate = outcome in IMMEDIATE_EJECTION_OUTCOMES
        if not is_immediate and class_index not in endpoint.ejections and excess < ERROR_THRESHOLD:
            return False
        for index in range(len(self._settings.classes)) if is_immediate else (class_index,):
            self._eject(now, endpoint, index)
        return True

    def eject_unlisted(self, now: int, endpoint: Endpoint) -> None:
        """Restrict an endpoint that discovery no longer lists to trials, for every class."""
        for class_index in range(len(self._settings.classes)):
            endpoint.ejections.setdefault(class_index, Ejection(BASE_EJECTION_TIME, now + BASE_EJECTION_TIME))

    def is_unlisted_and_failing(self, endpoint: Endpoint, class_index: int) -> bool:
        """Return whether an unlisted endpoint has failed trials up to the maximum ejection time."""
        if not endpoint.is_unlisted or not endpoint.is_routable:
            return False
        return endpoint.ejections[class_index].duration >= MAX_EJECTION_TIME

    def admits(self, now: int, endpoint: Endpoint, request: Request) -> bool:
        """Return whether the endpoint may get the request: it is not ejected, or this is its one trial.

        A trial may fail its request.  A non-idempotent request is therefore admitted only where a request of
        another class has succeeded since the ejection.
        """
        until = endpoint.ejections.get(request.class_index, NO_EJECTION).until
        if not until or until > now:
            return not until
        is_idempotent = request.request_class.idempotency is not Idempotency.NON_IDEMPOTENT
        may_try = is_idempotent or endpoint.last_success_sent_at > until
        return may_try and all(
            attempt.request_class is not request.request_class for attempt in endpoint.in_flight.values()
        )

    def is_unavailable(self, now: int, endpoint: Endpoint) -> bool:
        """Return whether the endpoint is draining, or ejected for every class."""
        classes = range(len(self._settings.classes))
        return not endpoint.is_routable or all(
            endpoint.ejections.get(class_index, NO_EJECTION).until > now for class_index in classes
        )

    def _eject(self, now: int, endpoint: Endpoint, class_index: int) -> None:
        duration, until = endpoint.ejections.get(class_index, NO_EJECTION)
        if now >= until:
            duration = min(MAX_EJECTION_TIME, 2 * duration) or BASE_EJECTION_TIME
        endpoint.ejections[class_index] = Ejection(duration, max(until, now + duration))
