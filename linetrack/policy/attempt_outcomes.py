"""Passes the outcome of each attempt to every component that learns from it, in a fixed order."""

from __future__ import annotations

from linetrack.policy.actions import Action, CloseIdleConnections
from linetrack.policy.admission import Admission
from linetrack.policy.endpoint import Attempt, Endpoint
from linetrack.policy.endpoint_list import EndpointList
from linetrack.policy.events import AttemptEnded, Outcome
from linetrack.policy.models import Models
from linetrack.policy.outlier_detection import OutlierDetector
from linetrack.policy.protocols import OverloadController
from linetrack.policy.settings import Settings

BROKEN_CONNECTION_OUTCOMES = (Outcome.CONNECT_FAILED, Outcome.RESET)
NO_RESPONSE_OUTCOMES = (Outcome.TIMEOUT, Outcome.CANCELLED)


class OutcomeRecorder:
    """Records outcomes until the instance is retired."""

    def __init__(
        self,
        settings: Settings,
        models: Models,
        outlier_detector: OutlierDetector,
        endpoint_list: EndpointList,
        admission: Admission,
        overload_controller: OverloadController | None,
        actions: list[Action],
    ) -> None:
        """Initialize with the components to update; resulting actions are appended to `actions`."""
        self._settings = settings
        self._models = models
        self._outlier_detector = outlier_detector
        self._endpoint_list = endpoint_list
        self._admission = admission
        self._overload_controller = overload_controller
        self._actions = actions
        self._is_retired = False

    def retire(self) -> None:
        """Stop learning: from now on, the successor under other settings learns instead."""
        self._is_retired = True

    def record(self, now: int, attempt: Attempt, event: AttemptEnded) -> None:
        """Update the models with the outcome of an attempt."""
        endpoint = attempt.endpoint
        endpoint.estimate_expires_at = 0
        if self._is_retired:
            return
        if event.load_report:
            self._models.load_reports.record_report(now, endpoint, event.load_report)
        if event.outcome is Outcome.NOT_SENT:
            return
        is_idle_reset = self._record_connection(now, attempt, event)
        if is_idle_reset:
            return
        self._models.success.record_acceptance(now, endpoint.zone, event.outcome is Outcome.OVERLOADED)
        self._record_latency(now, attempt, event)
        if event.outcome is Outcome.CANCELLED:
            return
        self._record_load(now, attempt, event)
        if event.outcome is Outcome.TIMEOUT and endpoint.last_response_at > attempt.sent_at:
            return  # the endpoint is slow, which its latency shows: overload must not count as failure
        if event.outcome is not Outcome.TIMEOUT:
            endpoint.last_response_at = now
            self._admission.record_response(now)
        self._models.success.record_outcome(now, endpoint, attempt.class_index, event.outcome)
        self._detect_outlier(now, endpoint, attempt.class_index, event.outcome)

    def _record_connection(self, now: int, attempt: Attempt, event: AttemptEnded) -> bool:
        """Update connection state; return whether an idle connection was reset, which is not an error."""
        endpoint = attempt.endpoint
        endpoint.last_used_at = now
        is_broken = event.outcome in BROKEN_CONNECTION_OUTCOMES
        endpoint.connected_until = 0 if is_broken else now + self._settings.keep_alive_timeout
        if attempt.opens_connection:
            self._models.success.record_connect(now, event.outcome is Outcome.CONNECT_FAILED)
        if event.outcome is not Outcome.RESET:
            return False
        if not self._models.idle_connections.is_idle_reset(attempt, event.latency):
            return False
        self._models.idle_connections.record_reset(now, attempt)
        self._actions.append(CloseIdleConnections(endpoint.name))
        return True

    def _record_latency(self, now: int, attempt: Attempt, event: AttemptEnded) -> None:
        """Record the latency of a response, or the time waited without one."""
        endpoint = attempt.endpoint
        is_success = event.outcome is Outcome.SUCCESS
        if is_success:
            endpoint.last_success_sent_at = max(endpoint.last_success_sent_at, attempt.sent_at)
        is_unanswered = event.outcome in NO_RESPONSE_OUTCOMES and event.latency > attempt.expected_latency
        # if a later attempt was answered, this response was lost and tells nothing about the endpoint's speed
        if not is_success and not (is_unanswered and attempt.sent_at >= endpoint.last_success_sent_at):
            return
        is_late = event.latency > self._objective(attempt)
        self._models.classes.record_response(now, attempt.class_index, is_success and not is_late, is_late)
        self._models.latency.record_latency(now, attempt, event.latency)

    def _record_load(self, now: int, attempt: Attempt, event: AttemptEnded) -> None:
        """Report to the overload controller whether the response met the objective, or half of it."""
        if self._overload_controller:
            objective = self._objective(attempt)
            is_success = event.outcome is Outcome.SUCCESS
            in_time = is_success and event.latency <= objective
            self._overload_controller.record_response(
                now, in_time, is_success and 2 * event.latency <= objective
            )

    def _detect_outlier(self, now: int, endpoint: Endpoint, class_index: int, outcome: Outcome) -> None:
        is_ejected = self._outlier_detector.record_outcome(now, endpoint, class_index, outcome)
        if is_ejected and self._outlier_detector.is_unlisted_and_failing(endpoint, class_index):
            self._endpoint_list.forget_unlisted(endpoint)

    def _objective(self, attempt: Attempt) -> int:
        return self._settings.classes[attempt.class_index].latency_objective
