"""Plain policies behind the decision module's interface, to compare with: never part of the program.

Owns three choices of the server: at random, in turn, and by the fewest own requests out.  Each sends once
more elsewhere what never ran, holds drains and the limit of attempts, and does nothing else.

Run with `python -m linetrack.experiments.baselines NAME`: a sidecar on EDGE_* with that policy.
"""

from __future__ import annotations

import os
import random
import sys
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
    AttemptEnded,
    ClientDisconnected,
    EndpointEntry,
    EndpointListUpdate,
    EndpointStatus,
    Event,
    ListForm,
    NEVER_EXECUTED,
    RequestReceived,
    TimerFired,
)
from linetrack.policy.settings import Settings
from linetrack.server.config import read_config
from linetrack.server.lifecycle import serve

NAMES = ("random", "round_robin", "least_requests")


class Plain:
    def __init__(self, choice: str, settings: Settings, seed: int) -> None:
        self.choice, self.settings = choice, settings
        self.chance = random.Random(seed)
        self.entries: dict[str, EndpointEntry] = {}
        self.out: dict[str, int] = {}
        self.asked: dict[int, tuple[RequestReceived, set[str]]] = {}
        self.turn = 0
        self.watching = False

    def handle(self, now: int, event: Event) -> list[Action]:
        match event:
            case EndpointListUpdate(form, entries):
                if form is ListForm.SNAPSHOT:
                    self.entries = {}
                if form is not ListForm.REJECTED:
                    self.entries.update((entry.endpoint, entry) for entry in entries)
                actions: list[Action] = [] if self.watching else [WatchEndpoints(True)]
                self.watching = True
                if form is ListForm.REJECTED:
                    actions.append(SetTimer(1_000_000, "watch"))
                return actions
            case TimerFired():
                return [WatchEndpoints(True)]
            case RequestReceived():
                self.asked[event.request_id] = (event, set())
                return self._send(event.request_id)
            case AttemptEnded(request_id=request, endpoint=upstream):
                self.out[upstream] = self.out.get(upstream, 1) - 1
                if event.request_completed or request not in self.asked:
                    self.asked.pop(request, None)
                    return []
                if (
                    event.outcome in NEVER_EXECUTED
                    and len(self.asked[request][1]) < self.settings.max_attempts
                ):
                    return self._send(request)
                del self.asked[request]
                return [RejectRequest(request) if event.outcome in NEVER_EXECUTED else FailRequest(request)]
            case ClientDisconnected(request):
                self.asked.pop(request, None)
        return []

    def _send(self, request: int) -> list[Action]:
        tried = self.asked[request][1]
        ready = [
            n for n, entry in self.entries.items() if entry.status is EndpointStatus.UP and n not in tried
        ]
        if not ready:
            del self.asked[request]
            return [RejectRequest(request)]
        if self.choice == "random":
            chosen = self.chance.choice(ready)
        elif self.choice == "round_robin":
            self.turn += 1
            chosen = ready[self.turn % len(ready)]
        else:
            self.chance.shuffle(ready)
            chosen = min(ready, key=lambda name: self.out.get(name, 0))
        tried.add(chosen)
        self.out[chosen] = self.out.get(chosen, 0) + 1
        return [StartAttempt(request, chosen)]


if __name__ == "__main__":
    sys.exit(serve(partial(read_config, os.environ), partial(Plain, sys.argv[1])))
