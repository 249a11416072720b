"""The interface of a policy to its host, and those of the collaborators that a host may provide.

The collaborators are implemented in `linetrack/control/`, which the policy does not import.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from linetrack.policy.actions import Action
from linetrack.policy.events import Event, RequestReceived


@dataclass(slots=True, frozen=True)
class PossibleExecution:
    """The destination and send time of an attempt that may have been executed."""

    zone: int
    cell: int
    sent_at: int


class Policy(Protocol):
    """Decides about every request; implemented by `linetrack.policy.balancer.Balancer`."""

    def handle(self, now: int, event: Event, /) -> list[Action]:
        """Handle one event and return the resulting actions, in order."""


class OverloadController(Protocol):
    """Limits load to what the endpoints can take; implemented in `linetrack.control.overload_control`."""

    def admit(self, now: int, received: RequestReceived, value_per_work: float) -> bool:
        """Return whether to serve a new request; it is rejected otherwise."""

    def allow_retry(self, now: int) -> bool:
        """Return whether there is capacity for a retry or a hedged attempt."""

    def record_response(self, now: int, in_time: bool, is_fast: bool) -> None:
        """Record whether an attempt met its latency objective, and whether it took at most half of it."""

    def retry_after(self, now: int, default: int, maximum: int) -> int:
        """Return the time after which a rejected client should retry, in microseconds from now."""


class IdempotencyKeyStore(Protocol):
    """Stores possible executions by key; implemented in `linetrack.control.idempotency_keys`."""

    def add(self, key: int, execution: PossibleExecution) -> None:
        """Record an attempt under the key that may have been executed, or may be in the future."""

    def discard(self, key: int, execution: PossibleExecution) -> None:
        """Remove an attempt that turned out not to have been executed."""

    def executions(self, now: int, key: int) -> list[PossibleExecution]:
        """Return all possible executions under the key, the earliest first."""
