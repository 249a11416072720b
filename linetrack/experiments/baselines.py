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

from linetrack.policy import interface as i
from linetrack.server.config import read_config
from linetrack.server.lifecycle import serve

NAMES = ("random", "round_robin", "least_requests")


class Plain:
    def __init__(self, choice: str, settings: i.Settings, seed: int) -> None:
        self.choice, self.settings = choice, settings
        self.chance = random.Random(seed)
        self.entries: dict[str, i.Entry] = {}
        self.out: dict[str, int] = {}
        self.asked: dict[int, tuple[i.Arrival, set[str]]] = {}
        self.turn = 0
        self.watching = False

    def handle(self, now: int, event: i.Event) -> list[i.Action]:
        match event:
            case i.FleetNews(form, entries):
                if form is i.ListForm.WHOLE:
                    self.entries = {}
                if form is not i.ListForm.REFUSED:
                    self.entries.update((entry.upstream, entry) for entry in entries)
                actions: list[i.Action] = [] if self.watching else [i.Watch(True)]
                self.watching = True
                if form is i.ListForm.REFUSED:
                    actions.append(i.SetTimer(1_000_000, "watch"))
                return actions
            case i.TimerDue():
                return [i.Watch(True)]
            case i.Arrival():
                self.asked[event.request] = (event, set())
                return self._send(event.request)
            case i.Ended(request=request, upstream=upstream):
                self.out[upstream] = self.out.get(upstream, 1) - 1
                if event.over or request not in self.asked:
                    self.asked.pop(request, None)
                    return []
                if event.outcome in i.NEVER_RAN and len(self.asked[request][1]) < self.settings.max_attempts:
                    return self._send(request)
                del self.asked[request]
                return [i.Refuse(request) if event.outcome in i.NEVER_RAN else i.Fail(request)]
            case i.ClientLeft(request):
                self.asked.pop(request, None)
        return []

    def _send(self, request: int) -> list[i.Action]:
        tried = self.asked[request][1]
        ready = [n for n, entry in self.entries.items() if entry.health is i.Health.UP and n not in tried]
        if not ready:
            del self.asked[request]
            return [i.Refuse(request)]
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
        return [i.Send(request, chosen)]


if __name__ == "__main__":
    sys.exit(serve(partial(read_config, os.environ), partial(Plain, sys.argv[1])))
