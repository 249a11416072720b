"""What the end of an attempt teaches: hands it to each part that learns from it, in a fixed order."""

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

BROKEN_CONNECTION = (Outcome.CONNECT_FAILED, Outcome.RESET)
SILENCE = (Outcome.TIMEOUT, Outcome.CANCELLED)


class OutcomeRecorder:
    """Learns from outcomes, until another instance takes over."""

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
        """Hand outcomes to these parts; append to `actions` what is to be done."""
        self._settings = settings
        self._models = models
        self._outlier_detector = outlier_detector
        self._endpoint_list = endpoint_list
        self._admission = admission
        self._overload_controller = overload_controller
        self._actions = actions
        self._is_retired = False

    def retire(self) -> None:
        """Learn nothing any more, as an instance under other settings does from here on."""
        self._is_retired = True

    def record(self, now: int, attempt: Attempt, event: AttemptEnded) -> None:
        """Take in how an attempt ended."""
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
        self._record_time(now, attempt, event)
        if event.outcome is Outcome.CANCELLED:
            return
        self._record_load(now, attempt, event)
        if event.outcome is Outcome.TIMEOUT and endpoint.last_response_at > attempt.sent_at:
            return  # it is slow and not silent, which its latency counts: overload must not look like failure
        if event.outcome is not Outcome.TIMEOUT:
            endpoint.last_response_at = now
            self._admission.record_response(now)
        self._models.success.record_outcome(now, endpoint, attempt.class_index, event.outcome)
        self._detect_outlier(now, endpoint, attempt.class_index, event.outcome)

    def _record_connection(self, now: int, attempt: Attempt, event: AttemptEnded) -> bool:
        """Learn about connections; return whether an idle one was reset, which is no error."""
        endpoint = attempt.endpoint
        endpoint.last_used_at = now
        is_broken = event.outcome in BROKEN_CONNECTION
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

    def _record_time(self, now: int, attempt: Attempt, event: AttemptEnded) -> None:
        """Learn from the time that a response took, or for which there was none."""
        endpoint = attempt.endpoint
        is_success = event.outcome is Outcome.SUCCESS
        if is_success:
            endpoint.last_success_sent_at = max(endpoint.last_success_sent_at, attempt.sent_at)
        is_silence = event.outcome in SILENCE and event.latency > attempt.expected_latency
        # a silence that later attempts overtook is a lost response, and says nothing of the endpoint's speed
        if not is_success and not (is_silence and attempt.sent_at >= endpoint.last_success_sent_at):
            return
        is_late = event.latency > self._objective(attempt)
        self._models.classes.record_response(now, attempt.class_index, is_success and not is_late, is_late)
        self._models.latency.record_latency(now, attempt, event.latency)

    def _record_load(self, now: int, attempt: Attempt, event: AttemptEnded) -> None:
        """Tell the overload controller whether the response was in time, and in half of that time."""
        if self._overload_controller:
            objective = self._objective(attempt)
            is_success = event.outcome is Outcome.SUCCESS
            in_time = is_success and event.latency <= objective
            self._overload_controller.record_response(
                now, in_time, is_success and 2 * event.latency <= objective
            )

    def _detect_outlier(self, now: int, endpoint: Endpoint, class_index: int, outcome: Outcome) -> None:
        is_ejected = self._outlier_detector.record_outcome(now, endpoint, class_index, outcome)
        if is_ejected and self._outlier_detector.is_lost(endpoint, class_index):
            self._endpoint_list.remove_lost(endpoint)

    def _objective(self, attempt: Attempt) -> int:
        return self._settings.classes[attempt.class_index].latency_objective
