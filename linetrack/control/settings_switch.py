"""Switching the settings of a running instance: routes each event to the policy instance that handles it.

An event goes to the policy instance that holds its request, and any other event to the newest instance.
Requests that are open under old settings end under them, within their own deadlines.
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
    """The policy as its host sees it: the newest instance, and older ones that drain after a switch."""

    def __init__(self, policy: Policy) -> None:
        """Start with this policy; only a `Balancer` supports a switch of settings."""
        self.policy = policy
        self.draining_policies: list[Balancer] = []  # older instances with open work

    @property
    def is_supported(self) -> bool:
        """Whether the policy supports a switch of settings while it runs."""
        return isinstance(self.policy, Balancer)

    def switch(self, settings: Settings) -> int:
        """Use other settings from now on; return how many requests are open under older ones.

        Raises:
            TypeError: the policy is not a `Balancer` and accepts settings only at its start.
        """
        if not isinstance(self.policy, Balancer):
            raise TypeError("this policy accepts settings only at its start")
        predecessor = self.policy
        self.policy = predecessor.make_successor(settings)
        self.draining_policies.append(predecessor)
        self._drop_drained()
        return sum(policy.open_request_count for policy in self.draining_policies)

    def handle(self, now: int, event: Event) -> list[Action]:
        """Pass the event to the policy instance that handles it; return the resulting actions."""
        if not self.draining_policies:
            return self.policy.handle(now, event)
        request_id = _request_id(event)
        actions = self._select_policy(request_id).handle(now, event)
        self._drop_drained()
        return actions

    def hand_over(self) -> dict[str, Any]:
        """Return the newest instance's snapshot for another process; it is empty if that is not a `Balancer`.

        If retries are limited over a window, only the other process makes retries from now on: two processes
        that count separately could together exceed the limit of a window.
        """
        if not isinstance(self.policy, Balancer):
            return {}
        values = policy_snapshot.take(self.policy)
        self.policy.retry_window.block_forever()
        return values

    def resume(self, now: int) -> None:
        """Make no retries for one window, because another process made retries that are not counted here."""
        if isinstance(self.policy, Balancer):
            self.policy.retry_window.block(now)

    def restore(self, values: Mapping[str, Any], now: int, same_classes: bool, same_zones: bool) -> bool:
        """Restore the snapshot of another process; return whether its values are valid."""
        return isinstance(self.policy, Balancer) and policy_snapshot.restore(
            self.policy, values, now, same_classes, same_zones
        )

    def count_unavailable(self, now: int) -> int:
        """Return how many listed endpoints are out of rotation; 0 if the policy is not a `Balancer`."""
        return self.policy.count_unavailable(now) if isinstance(self.policy, Balancer) else 0

    def _select_policy(self, request_id: int | None) -> Policy:
        for policy in self.draining_policies:
            if policy.holds_request(request_id):
                return policy
        return self.policy

    def _drop_drained(self) -> None:
        self.draining_policies = [policy for policy in self.draining_policies if policy.has_open_work]


def _request_id(event: Event) -> int | None:
    """Return the id of the request that an event concerns, if any; a timer's token contains it."""
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
