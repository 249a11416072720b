"""Baseline policies that implement the policy interface, for comparisons; the program does not use them.

A baseline selects an endpoint at random, in turn, or by the fewest requests that the sidecar itself has in
flight.  All of them retry a request that was not executed on another endpoint, send nothing to draining
endpoints and respect the limit of attempts; they have no other features.

`python -m linetrack.experiments.baselines NAME` runs a sidecar with that policy, set up by EDGE_* variables.
"""

from __future__ import annotations

import os
import random
import sys
from dataclasses import dataclass, field
from enum import Enum
from functools import partial

from linetrack.policy.actions import (
    Action,
    FailRequest,
    RejectRequest,
    SetTimer,
    StartAttempt,
    WatchEndpoints,
)
from linetrack.policy.events import (
    NEVER_EXECUTED,
    AttemptEnded,
    ClientDisconnected,
    EndpointEntry,
    EndpointListUpdate,
    EndpointStatus,
    Event,
    ListForm,
    RequestReceived,
    TimerFired,
)
from linetrack.policy.settings import Settings
from linetrack.server.config import read_config
from linetrack.server.lifecycle import serve

WATCH_RETRY_US = 1_000_000


class Baseline(Enum):
    """The ways to select an endpoint; their values are the names in experiment files."""

    RANDOM = "random"
    ROUND_ROBIN = "round_robin"
    LEAST_REQUESTS = "least_requests"


@dataclass
class _Request:
    """A request that has no final response yet."""

    attempted: set[str] = field(default_factory=set)


class BaselinePolicy:
    """A policy that selects endpoints as its baseline does."""

    def __init__(self, baseline: Baseline, settings: Settings, seed: int) -> None:
        self.baseline = baseline
        self.settings = settings
        self._random = random.Random(seed)
        self._entries: dict[str, EndpointEntry] = {}
        self._in_flight: dict[str, int] = {}
        self._requests: dict[int, _Request] = {}
        self._round_robin_index = 0
        self._is_watching = False

    def handle(self, _now: int, event: Event) -> list[Action]:
        """Return the actions that an event requires."""
        match event:
            case EndpointListUpdate():
                return self._update_endpoints(event)
            case TimerFired():
                return [WatchEndpoints(True)]
            case RequestReceived():
                self._requests[event.request_id] = _Request()
                return self._start_attempt(event.request_id)
            case AttemptEnded():
                return self._end_attempt(event)
            case ClientDisconnected():
                self._requests.pop(event.request_id, None)
        return []

    def _update_endpoints(self, update: EndpointListUpdate) -> list[Action]:
        if update.form is ListForm.SNAPSHOT:
            self._entries = {}
        if update.form is not ListForm.REJECTED:
            self._entries.update((entry.endpoint, entry) for entry in update.entries)
        actions: list[Action] = [] if self._is_watching else [WatchEndpoints(True)]
        self._is_watching = True
        if update.form is ListForm.REJECTED:
            actions.append(SetTimer(WATCH_RETRY_US, "watch"))
        return actions

    def _end_attempt(self, event: AttemptEnded) -> list[Action]:
        self._in_flight[event.endpoint] = self._in_flight.get(event.endpoint, 1) - 1
        request = self._requests.get(event.request_id)
        if event.request_completed or request is None:
            self._requests.pop(event.request_id, None)
            return []
        was_executed = event.outcome not in NEVER_EXECUTED
        if not was_executed and len(request.attempted) < self.settings.max_attempts:
            return self._start_attempt(event.request_id)
        del self._requests[event.request_id]
        return [FailRequest(event.request_id) if was_executed else RejectRequest(event.request_id)]

    def _start_attempt(self, request_id: int) -> list[Action]:
        attempted = self._requests[request_id].attempted
        candidates = [
            endpoint
            for endpoint, entry in self._entries.items()
            if entry.status is EndpointStatus.UP and endpoint not in attempted
        ]
        if not candidates:
            del self._requests[request_id]
            return [RejectRequest(request_id)]
        selected = self._select(candidates)
        attempted.add(selected)
        self._in_flight[selected] = self._in_flight.get(selected, 0) + 1
        return [StartAttempt(request_id, selected)]

    def _select(self, candidates: list[str]) -> str:
        if self.baseline is Baseline.RANDOM:
            return self._random.choice(candidates)
        if self.baseline is Baseline.ROUND_ROBIN:
            self._round_robin_index += 1
            return candidates[self._round_robin_index % len(candidates)]
        self._random.shuffle(candidates)
        return min(candidates, key=lambda endpoint: self._in_flight.get(endpoint, 0))


if __name__ == "__main__":
    sys.exit(serve(partial(read_config, os.environ), partial(BaselinePolicy, Baseline(sys.argv[1]))))
