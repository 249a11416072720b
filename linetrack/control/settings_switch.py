"""Other settings in a running instance: who decides what is still open, and who all that comes.

Owns the order of successors.  Must never decide itself: each event goes to the one policy instance that
holds its request, and all else to the newest.  What is open under old settings ends under them, within its
own deadline.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from linetrack.policy.actions import Action
from linetrack.policy.events import AttemptEnded, ClientDisconnected, Event, ResponseStarted, TimerFired
from linetrack.policy.protocols import Policy
from linetrack.policy.settings import Settings
from linetrack.control import policy_snapshot as snapshot
from linetrack.policy.balancer import Balancer

FOR_EVER = 1 << 62


class SettingsSwitch:
    """In the policy's place for its host; one instance but for moments after a switch."""

    def __init__(self, policy: Policy) -> None:
        self.policy = policy
        self.before: list[Balancer] = []  # older ones with something open, each gone with its last attempt

    @property
    def can(self) -> bool:
        """Whether the policy can be given other settings while it runs."""
        return isinstance(self.policy, Balancer)

    def switch(self, settings: Settings) -> int:
        """Other settings for all that comes from here on; how many requests are still open under older ones.

        Raises TypeError where the policy is not ours and takes its settings at its start only.
        """
        if not isinstance(self.policy, Balancer):
            raise TypeError("this policy takes its settings at its start only")
        old, self.policy = self.policy, make_successor(self.policy, settings)
        self.before.append(old)
        self._let_go()
        return sum(len(policy.requests) for policy in self.before)

    def handle(self, now: int, event: Event) -> list[Action]:
        if not self.before:
            return self.policy.handle(now, event)
        number = _request(event)
        holder = next((policy for policy in self.before if _holds(policy, number)), self.policy)
        actions = holder.handle(now, event)
        self._let_go()
        return actions

    def learnt(self) -> dict[str, Any]:
        """What the newest instance has learnt, for another process; nothing where the policy is not ours.

        Where further attempts are limited, they are the other process's from here on: two that count apart
        would together make more in a window than one may.
        """
        if not isinstance(self.policy, Balancer):
            return {}
        told = snapshot.take(self.policy)
        self.policy.ledger.closed = FOR_EVER
        return told

    def alone(self, now: int) -> None:
        """Another process made further attempts untold: none until they are out of the window."""
        if isinstance(self.policy, Balancer):
            self.policy.ledger.closed = now + self.policy.s.retry_window

    def restore(self, values: Mapping[str, Any], now: int, same_classes: bool, same_places: bool) -> bool:
        """Whether what another process learnt was taken over."""
        return isinstance(self.policy, Balancer) and snapshot.restore(
            self.policy, values, now, same_classes, same_places
        )

    def avoided(self, now: int) -> int:
        """How many listed upstreams are out of rotation; none where the policy is not ours."""
        return count_unavailable(self.policy, now) if isinstance(self.policy, Balancer) else 0

    def _let_go(self) -> None:
        self.before = [policy for policy in self.before if policy.requests or policy.orphans]


def make_successor(old: Balancer, settings: Settings) -> Balancer:
    """The same instance under other settings: the heir has its fleet view, what is open ends where it is.

    Guards against a switch that forgets drains, budgets or what is out.  What was learnt of classes,
    loads and tenants is forgotten, and what still ends at the old one teaches nothing any more."""
    new = Balancer(settings, old.random.getrandbits(64), old.guide, old.memory)
    new.fleet, new.budget, new.ledger, old.retired = old.fleet, old.budget, old.ledger, True
    new.ledger.limit(settings, old.now)
    new.zones, new.kinds, new.rates, new.work = old.zones, old.kinds, old.rates, old.work
    new.calm, new.answers, new.mean_pace = min(old.calm, new.calm_most), old.answers, old.mean_pace
    new.watching, new.heard_at, old.cold_until = old.watching, old.heard_at, FOR_EVER  # it hears no news
    new.rest, new.rest_at, new.refused, new.full = old.rest, old.rest_at, old.refused, old.full
    for upstream in list(old.fleet.values()):
        if upstream.absent and not settings.removal_is_advisory:
            old.fleet.pop(upstream.name).gone = True  # what the list calls gone binds from here on
            old.up, old.kept = [], {}
        upstream.own, upstream.spells, upstream.load_at, upstream.others = {}, {}, 0, 0.0
        upstream.part_until = 0
        upstream.warm_at = upstream.listed_start + settings.slow_start_duration if upstream.listed_start else 0
        new.cold_until = max(new.cold_until, upstream.warm_at)
    return new


def count_unavailable(policy: Balancer, now: int) -> int:
    """How many listed upstreams get nothing while others may: draining, or in a spell in every class."""
    classes = range(len(policy.s.classes))
    return sum(
        u.gone or all(u.spells.get(c, (0, 0))[1] > now for c in classes) for u in policy.fleet.values()
    )


def _holds(policy: Balancer, number: int | None) -> bool:
    return number in policy.requests or any(number == request for request, _ in policy.orphans)


def _request(event: Event) -> int | None:
    """The request that an event is about; a timer names it in its token."""
    match event:
        case AttemptEnded() | ResponseStarted() | ClientDisconnected():
            return event.request_id
        case TimerFired(token):
            number = token.partition(":")[2]
            return int(number) if number.isdigit() else None
        case _:
            return None
