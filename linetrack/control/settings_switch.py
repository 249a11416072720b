"""Other settings in a running instance: which policy decides about what is open, and which about all else.

Each event goes to the one policy instance that holds its request, and everything else to the newest.  What is
open under old settings ends under them, within its own deadline.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, assert_never

from linetrack.control import policy_snapshot
from linetrack.policy.actions import Action
from linetrack.policy.balancer import Balancer
from linetrack.policy.events import (
    AttemptEnded,
    ClientDisconnected,
    EndpointListUpdate,
    Event,
    HealthCheckEnded,
    PeerMessageReceived,
    RequestBodySent,
    RequestReceived,
    ResponseStarted,
    TimerFired,
)
from linetrack.policy.protocols import Policy
from linetrack.policy.settings import Settings


class SettingsSwitch:
    """Takes the policy's place for its host; one instance of it but for moments after a switch."""

    def __init__(self, policy: Policy) -> None:
        """Start with this policy; only a `Balancer` can be given other settings."""
        self.policy = policy
        self.draining_policies: list[Balancer] = []  # older ones with something open

    @property
    def is_supported(self) -> bool:
        """Return whether the policy can be given other settings while it runs."""
        return isinstance(self.policy, Balancer)

    def switch(self, settings: Settings) -> int:
        """Use other settings from here on; return how many requests are open under older ones.

        Raises:
            TypeError: the policy is not a `Balancer` and takes its settings at its start only.
        """
        if not isinstance(self.policy, Balancer):
            raise TypeError("this policy takes its settings at its start only")
        predecessor = self.policy
        self.policy = predecessor.make_successor(settings)
        self.draining_policies.append(predecessor)
        self._drop_drained()
        return sum(policy.open_request_count for policy in self.draining_policies)

    def handle(self, now: int, event: Event) -> list[Action]:
        """Hand the event to the policy instance that it concerns; return the actions it calls for."""
        if not self.draining_policies:
            return self.policy.handle(now, event)
        request_id = _request_id(event)
        actions = self._holder(request_id).handle(now, event)
        self._drop_drained()
        return actions

    def hand_over(self) -> dict[str, Any]:
        """Return what the newest instance has learnt, for another process; nothing if it is no `Balancer`.

        Where retries are limited over a window, they are the other process's from here on: two that count
        apart would together make more in a window than one may.
        """
        if not isinstance(self.policy, Balancer):
            return {}
        values = policy_snapshot.take(self.policy)
        self.policy.retry_window.block_forever()
        return values

    def resume(self, now: int) -> None:
        """Go on after another process made retries that were not counted here: none for one window."""
        if isinstance(self.policy, Balancer):
            self.policy.retry_window.block(now)

    def restore(self, values: Mapping[str, Any], now: int, same_classes: bool, same_zones: bool) -> bool:
        """Take over what another process learnt; return whether the values made sense."""
        return isinstance(self.policy, Balancer) and policy_snapshot.restore(
            self.policy, values, now, same_classes, same_zones
        )

    def count_unavailable(self, now: int) -> int:
        """Return how many listed endpoints are out of rotation; 0 if the policy is no `Balancer`."""
        return self.policy.count_unavailable(now) if isinstance(self.policy, Balancer) else 0

    def _holder(self, request_id: int | None) -> Policy:
        for policy in self.draining_policies:
            if policy.holds_request(request_id):
                return policy
        return self.policy

    def _drop_drained(self) -> None:
        self.draining_policies = [policy for policy in self.draining_policies if policy.has_open_work]


def _request_id(event: Event) -> int | None:
    """Return the request that an event is about, if any; a timer names it in its token."""
    match event:
        case (
            RequestReceived() | RequestBodySent() | ResponseStarted() | AttemptEnded() | ClientDisconnected()
        ):
            return event.request_id
        case TimerFired(token):
            request_id = token.partition(":")[2]
            return int(request_id) if request_id.isdigit() else None
        case EndpointListUpdate() | HealthCheckEnded() | PeerMessageReceived():
            return None
        case _:
            assert_never(event)
