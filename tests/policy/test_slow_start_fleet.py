"""One endpoint that warms up, and what all instances of a fleet send it together, in simulated time.

In any overload window, what is sent beyond the budget N of a warming endpoint may be 2 x root of N + 2, which
is put down to chance.
"""

from __future__ import annotations

import heapq
import math
from collections import defaultdict
from dataclasses import dataclass
from random import Random
from typing import Any

import pytest

from linetrack.policy.actions import Action, CancelAttempt, FailRequest, RejectRequest, SetTimer, StartAttempt
from linetrack.policy.balancer import Balancer
from linetrack.policy.events import (
    AttemptEnded,
    EndpointEntry,
    EndpointListUpdate,
    Event,
    ListForm,
    Outcome,
    RequestReceived,
    TimerFired,
)
from linetrack.policy.settings import LoadField
from linetrack.policy.slow_start import SlowStart
from tests.helpers import IDEMPOTENT, KEYED_EVERYWHERE, KEYED_IN_CELL, MS, NON_IDEMPOTENT, SECOND, settings

BEGIN = 1000 * SECOND
START = BEGIN + 8 * SECOND  # of the warming endpoint
WARMING = "warming"


@dataclass
class Fleet:
    """A fleet of instances, its endpoints and their load."""

    instances: int
    warm: int  # endpoints beside the warming one
    cores: int
    work: int  # of a mean request
    load: float  # share of what the warm ones can do; of one core's where there is none
    overload_window: int
    overload_multiple: float
    reports: bool
    initial_fraction: float = 0.2
    slow_start_duration: int = 8 * SECOND


class Simulation:
    """Every instance's events in order of time; requests arrive at random, unevenly and in bursts."""

    def __init__(self, fleet: Fleet, seed: int) -> None:
        self.fleet = fleet
        self.random = Random(seed)
        self.count = 0
        fields = (LoadField.QUEUE_DEPTH, LoadField.REQUEST_RATE) if fleet.reports else ()
        self.balancers = [
            Balancer(
                settings(
                    instance_count=fleet.instances,
                    instance=n,
                    load_report_fields=fields,
                    slow_start_initial_fraction=fleet.initial_fraction,
                    slow_start_duration=fleet.slow_start_duration,
                    overload_multiple=fleet.overload_multiple,
                    overload_window=fleet.overload_window,
                ),
                seed * 1000 + n,
            )
            for n in range(fleet.instances)
        ]
        self.queue: list[tuple[int, int, int, Any]] = []
        self.free: dict[str, list[int]] = defaultdict(lambda: [0] * fleet.cores)
        self.served: dict[str, list[int]] = defaultdict(list)
        self.attempts: dict[tuple[int, int], int] = {}
        self.ended: set[tuple[int, int, int]] = set()
        self.over: set[tuple[int, int]] = set()
        self.sent: list[int] = []  # when the warming endpoint was sent to, by whomever
        self.retries = 0  # of those, retries and hedged attempts
        self._plan()

    def put(self, at: int, instance: int, what: Any) -> None:
        self.count += 1
        heapq.heappush(self.queue, (at, self.count, instance, what))

    def warm_fraction(self, at: int) -> float:
        fleet = self.fleet
        return fleet.initial_fraction + (1 - fleet.initial_fraction) * min(
            1.0, max(0, at - START) / fleet.slow_start_duration
        )

    def _plan(self) -> None:
        fleet = self.fleet
        random = self.random
        old = tuple(EndpointEntry(f"warm{n}") for n in range(fleet.warm))
        shares = [1 / (n + 1) ** 1.2 for n in range(fleet.instances)]
        rate = fleet.load * fleet.cores / fleet.work * max(1, fleet.warm)
        for n, share in enumerate(shares):
            self.put(BEGIN, n, EndpointListUpdate(ListForm.CACHED, old))
            listed_at = START + random.randrange(0, 600 * MS)
            self.put(
                listed_at, n, EndpointListUpdate(ListForm.DELTA, (EndpointEntry(WARMING, started_at=START),))
            )
            at = BEGIN
            while at < START + fleet.slow_start_duration:
                burst = 3.0 if at // SECOND % 5 == 0 else 1.0
                at += 1 + int(random.expovariate(rate * burst * share / sum(shares)))
                self.put(
                    at,
                    n,
                    RequestReceived(
                        0,
                        random.choice(
                            (IDEMPOTENT, IDEMPOTENT, NON_IDEMPOTENT, KEYED_IN_CELL, KEYED_EVERYWHERE)
                        ),
                        2 * SECOND,
                    ),
                )

    def run(self) -> Simulation:
        number = 0
        while self.queue:
            now, _, n, what = heapq.heappop(self.queue)
            event: Event = what
            if isinstance(what, RequestReceived):
                number += 1
                self.attempts[n, number] = 0
                event = RequestReceived(number, what.class_index, what.timeout)
            elif isinstance(what, AttemptEnded):
                key = (n, what.request_id, what.attempt)
                if key in self.ended:
                    continue
                self.ended.add(key)
                if what.outcome is Outcome.SUCCESS:
                    self.over.add((n, what.request_id))
                what.request_completed = (n, what.request_id) in self.over
                if self.fleet.reports:
                    lately = [at for at in self.served[what.endpoint][-300:] if at > now - SECOND]
                    what.load_report = (0.0, float(len(lately)))
            for action in self.balancers[n].handle(now, event):
                self._act(now, n, action)
        return self

    def _act(self, now: int, n: int, action: Action) -> None:
        match action:
            case StartAttempt(request, endpoint):
                self._send(now, n, request, endpoint)
            case SetTimer(after, token):
                self.put(now + after, n, TimerFired(token))
            case CancelAttempt(request, attempt):
                if (n, request, attempt) not in self.ended:
                    took = AttemptEnded(request, attempt, WARMING, Outcome.CANCELLED, 0, True)
                    self.put(now, n, took)
            case RejectRequest(request) | FailRequest(request):
                self.over.add((n, request))

    def _send(self, now: int, n: int, request: int, endpoint: str) -> None:
        attempt = self.attempts[n, request]
        self.attempts[n, request] += 1
        work = self.fleet.work / 2 + self.random.expovariate(2 / self.fleet.work)
        if endpoint == WARMING:
            self.sent.append(now)
            self.retries += attempt > 0
            work /= self.warm_fraction(now)
        cores = self.free[endpoint]
        core = min(range(len(cores)), key=cores.__getitem__)
        done = cores[core] = max(now, cores[core]) + int(work)
        self.served[endpoint].append(now)
        if self.random.random() < 0.08:
            outcome = self.random.choice((Outcome.ERROR, Outcome.RESET, Outcome.CONNECT_FAILED))
            self.put(now + 5 * MS, n, AttemptEnded(request, attempt, endpoint, outcome, 5 * MS, False))
        else:
            self.put(done, n, AttemptEnded(request, attempt, endpoint, Outcome.SUCCESS, done - now, True))
        late = AttemptEnded(request, attempt, endpoint, Outcome.TIMEOUT, 2 * SECOND, False)
        self.put(now + 2 * SECOND, n, late)

    def excess(self) -> float:
        """Return by how many requests some window exceeds its budget and chance, at most."""
        fleet = self.fleet
        sent = sorted(self.sent)
        worst = -math.inf
        for n, at in enumerate(sent):
            count = sum(1 for other in sent[n:] if other < at + fleet.overload_window)
            budget = (
                fleet.overload_multiple
                * self.warm_fraction(at)
                * fleet.cores
                / fleet.work
                * fleet.overload_window
            )
            worst = max(worst, count - budget - 2 * math.sqrt(budget) - 2)
        return worst


FLEETS = [
    Fleet(1, 1, 1, 30 * MS, 3.0, 1500 * MS, 2.0, True, 0.13),
    Fleet(2, 0, 2, 30 * MS, 3.0, 2500 * MS, 2.0, False, 0.13),
    Fleet(3, 0, 1, 20 * MS, 4.0, 1200 * MS, 2.0, True, 0.13),
    Fleet(5, 1, 2, 30 * MS, 3.0, 1500 * MS, 2.0, True, 0.13),
    Fleet(8, 0, 1, 40 * MS, 4.0, 2500 * MS, 2.0, False, 0.13),
    Fleet(12, 0, 2, 40 * MS, 3.0, 2500 * MS, 2.0, False, 0.13),
    Fleet(20, 1, 1, 20 * MS, 3.0, 1200 * MS, 2.0, True, 0.13),
    Fleet(20, 0, 1, 30 * MS, 4.0, 2000 * MS, 2.0, False, 0.13),
    Fleet(30, 1, 1, 20 * MS, 4.0, 2000 * MS, 2.0, True, 0.13),
    Fleet(32, 0, 2, 40 * MS, 3.0, 1500 * MS, 2.0, True, 0.13),
    Fleet(32, 0, 1, 40 * MS, 4.0, 1500 * MS, 2.0, False, 0.13),
    Fleet(40, 8, 1, 30 * MS, 1.2, 1000 * MS, 3.0, True, 0.13),
    Fleet(40, 3, 2, 30 * MS, 2.0, 1000 * MS, 3.0, True, 0.2),
    Fleet(12, 5, 1, 20 * MS, 2.0, 1200 * MS, 2.0, True, 0.13),
]


@pytest.mark.parametrize("fleet", FLEETS, ids=lambda fleet: f"{fleet.instances}-{fleet.warm}")
def test_all_instances_together_send_a_warming_endpoint_no_more_than_its_budget_and_chance(
    fleet: Fleet,
) -> None:
    """No instance sees what others send, so each must keep to its part, retries included."""
    simulation = Simulation(fleet, 1).run()
    assert simulation.sent
    assert simulation.excess() <= 0


def test_without_the_limit_the_budget_would_be_exceeded(monkeypatch: pytest.MonkeyPatch) -> None:
    """The test above must not hold because too little is sent.

    Instances without the limit overload the warming endpoint, and those with it have retries and hedged
    attempts to send as well.
    """
    assert sum(Simulation(fleet, 1).run().retries for fleet in (FLEETS[0], FLEETS[3])) > 0
    monkeypatch.setattr(SlowStart, "permits", lambda *_: True)
    monkeypatch.setattr(SlowStart, "_uses_tokens", lambda *_: False)
    assert Simulation(FLEETS[4], 1).run().excess() > 10
    assert Simulation(FLEETS[7], 1).run().excess() > 10
