"""The policy of one instance: dispatches each event to the component that handles it.

The events are in `linetrack/policy/events.py`, the actions in `linetrack/policy/actions.py`, the settings
in `linetrack/policy/settings.py`; these and `linetrack/policy/protocols.py` are the whole interface.  The
algorithm, based on "Load Balancing in FoundationDB", is in `linetrack/policy/candidate_selection.py` and
`linetrack/policy/attempts.py`; `docs/design/policy.md` lists each departure from it and when it applies.
"""

from __future__ import annotations

from collections.abc import Mapping
from random import Random
from typing import NamedTuple

from linetrack.policy.actions import Action
from linetrack.policy.admission import Admission, AdmissionState
from linetrack.policy.attempt_outcomes import OutcomeRecorder
from linetrack.policy.attempts import RequestLifecycle
from linetrack.policy.candidate_selection import CandidateSelector
from linetrack.policy.class_statistics import ClassState
from linetrack.policy.endpoint import Endpoint, EndpointState
from linetrack.policy.endpoint_list import POLL_TOKEN, EndpointList
from linetrack.policy.endpoint_weights import EndpointWeights
from linetrack.policy.events import (
    AttemptEnded,
    ClientDisconnected,
    EndpointListUpdate,
    Event,
    ListForm,
    RequestBodySent,
    RequestReceived,
    ResponseStarted,
    TimerFired,
)
from linetrack.policy.idle_connections import IdleConnectionState
from linetrack.policy.latency_model import LatencyState
from linetrack.policy.load_reports import LoadState
from linetrack.policy.models import Models
from linetrack.policy.outlier_detection import OutlierDetector
from linetrack.policy.protocols import IdempotencyKeyStore, OverloadController
from linetrack.policy.retry_limits import RetryBudget, RetryLimits, RetryWindow, RetryWindowState
from linetrack.policy.send_guard import SendGuard
from linetrack.policy.settings import Settings
from linetrack.policy.slow_start import SlowStart
from linetrack.policy.success_model import SuccessState

SEED_BITS = 64


class PolicyState(NamedTuple):
    """The learnt state of an instance, in a form that another process can import."""

    latency: LatencyState
    load: LoadState
    success: SuccessState
    classes: ClassState
    admission: AdmissionState
    idle_connections: IdleConnectionState
    retry_window: RetryWindowState
    endpoints: Mapping[str, EndpointState]  # by name


class SharedState(NamedTuple):
    """State that an instance shares with its successors under other settings."""

    endpoints: dict[str, Endpoint]  # by name, in list order
    retry_window: RetryWindow


class Balancer:
    """One instance of the policy: `handle` takes one event and returns the resulting actions, in order.

    It reads no clock and does no I/O.  Equal events with equal seeds yield equal actions.
    """

    def __init__(
        self,
        settings: Settings,
        seed: int,
        overload_controller: OverloadController | None = None,
        key_store: IdempotencyKeyStore | None = None,
        shared: SharedState | None = None,
    ) -> None:
        """Initialize without learnt state.

        Args:
            settings: the settings of this instance.
            seed: the seed of all random decisions.
            overload_controller: limits load and retries; None in deployments without one.
            key_store: keeps idempotency keys across requests; None in deployments without one.
            shared: the state shared with a predecessor under other settings; None without one.
        """
        self.settings = settings
        self.now = 0  # time of the latest event
        self.random = Random(seed)
        self._overload_controller = overload_controller
        self._key_store = key_store
        self._actions: list[Action] = []  # actions of the current event; components append to it
        self._shared = shared or SharedState({}, RetryWindow(settings))
        self.endpoints = self._shared.endpoints
        self.retry_window = self._shared.retry_window
        self.retry_budget = RetryBudget()
        self.models = Models(settings, self.endpoints)
        self.outlier_detector = OutlierDetector(settings, self.models.success)
        self.slow_start = SlowStart(settings, self.endpoints, self.models)
        self._make_selection()
        self._make_lifecycle()

    def _make_selection(self) -> None:
        """Create the components that value requests and select endpoints."""
        settings = self.settings
        self.admission = Admission(
            settings, self.random, self.endpoints, self.models, self._overload_controller
        )
        self.endpoint_list = EndpointList(
            settings,
            self.endpoints,
            self.random,
            self.models,
            self.outlier_detector,
            self.slow_start,
            self._actions,
        )
        self.guard = SendGuard(
            settings,
            self.retry_window,
            self.slow_start,
            self.models,
            self._overload_controller,
            self._key_store,
            self._actions,
        )
        self.weights = EndpointWeights(settings, self.models)
        self.selector = CandidateSelector(
            settings,
            self.random,
            self.endpoint_list,
            self.weights,
            self.outlier_detector,
            self.slow_start,
            self.admission,
            self.guard,
        )

    def _make_lifecycle(self) -> None:
        """Create the components that handle requests until their final responses."""
        self.outcomes = OutcomeRecorder(
            self.settings,
            self.models,
            self.outlier_detector,
            self.endpoint_list,
            self.admission,
            self._overload_controller,
            self._actions,
        )
        self.lifecycle = RequestLifecycle(
            self.settings,
            self.admission,
            self.selector,
            self.models.latency,
            self.guard,
            self.outcomes,
            RetryLimits(self.retry_budget, self.retry_window, self._overload_controller),
            self._actions,
        )

    def handle(self, now: int, event: Event) -> list[Action]:
        """Handle one event at `now`, in microseconds; return the resulting actions, in order.

        Health check results and peer messages are ignored, as the policy sends neither.
        """
        self.now = now
        self._actions.clear()
        self.models.start_event()
        match event:
            case RequestReceived():
                self.lifecycle.receive(now, event)
            case AttemptEnded():
                self.lifecycle.attempt_ended(now, event)
            case TimerFired():
                self._timer_fired(now, event.token)
            case EndpointListUpdate():
                self._update_endpoints(now, event)
            case ClientDisconnected():
                self.lifecycle.client_disconnected(now, event.request_id)
            case ResponseStarted():
                self.lifecycle.response_started(now, event.request_id, event.attempt)
            case RequestBodySent():
                self.lifecycle.body_sent(now, event.request_id, event.attempt)
        return self._actions.copy()

    @property
    def open_request_count(self) -> int:
        """Return the number of requests without a final response."""
        return len(self.lifecycle.requests)

    @property
    def has_open_work(self) -> bool:
        """Return whether any request is open or any attempt in flight."""
        return bool(self.lifecycle.requests or self.lifecycle.abandoned)

    def holds_request(self, request_id: int | None) -> bool:
        """Return whether this instance has the request open, or an attempt of it in flight."""
        return request_id in self.lifecycle.requests or any(
            request_id == abandoned_id for abandoned_id, _ in self.lifecycle.abandoned
        )

    def count_unavailable(self, now: int) -> int:
        """Return the number of listed endpoints that are draining, or ejected for every class."""
        return sum(
            self.outlier_detector.is_unavailable(now, endpoint) for endpoint in self.endpoints.values()
        )

    def make_successor(self, settings: Settings) -> Balancer:
        """Return a successor under other settings; open requests end here, under the old settings.

        The successor takes over the endpoints, the retry limits and the learnt latencies.  Learnt state by
        class, load and tenant is dropped, and this instance stops learning from the attempts that end here.
        """
        seed = self.random.getrandbits(SEED_BITS)
        successor = Balancer(settings, seed, self._overload_controller, self._key_store, self._shared)
        successor.retry_window.apply(settings, self.now)
        successor.retry_budget.take_over(self.retry_budget)
        successor.models.take_over(self.models)
        successor.admission.take_over(self.admission)
        self.outcomes.retire()
        self.weights.stop_caching()
        self.slow_start.assume_always_warming()  # this instance no longer receives list updates
        if successor.endpoint_list.take_over(self.now, self.endpoint_list):
            self.weights.clear_cache()
        return successor

    def export_state(self) -> PolicyState:
        """Return the learnt state, for another process."""
        return PolicyState(
            latency=self.models.latency.export_state(),
            load=self.models.load_reports.export_state(),
            success=self.models.success.export_state(),
            classes=self.models.classes.export_state(),
            admission=self.admission.export_state(),
            idle_connections=self.models.idle_connections.export_state(),
            retry_window=self.retry_window.export_state(),
            endpoints={name: endpoint.export_state() for name, endpoint in self.endpoints.items()},
        )

    def import_state(self, now: int, state: PolicyState) -> None:
        """Import the learnt state of another process; call it at the start, once the endpoints are listed."""
        self.models.latency.import_state(state.latency)
        self.models.load_reports.import_state(state.load)
        self.models.success.import_state(state.success)
        self.models.classes.import_state(state.classes)
        self.admission.import_state(state.admission)
        self.models.idle_connections.import_state(state.idle_connections)
        self.retry_window.import_state(now, state.retry_window)
        for name, endpoint in self.endpoints.items():
            if name in state.endpoints:
                endpoint.import_state(state.endpoints[name])

    def _timer_fired(self, now: int, token: str) -> None:
        kind, _, request_id = token.partition(":")
        if kind == POLL_TOKEN:
            self.endpoint_list.poll()
        if request_id.isdigit():
            self.lifecycle.timer_fired(now, kind, int(request_id))

    def _update_endpoints(self, now: int, event: EndpointListUpdate) -> None:
        if event.form is ListForm.REJECTED:
            self.endpoint_list.handle_rejection()
            return
        self.endpoint_list.update(now, event)
        self.weights.clear_cache()
