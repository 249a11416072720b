"""What a host sees of a policy, and what the policy asks of the collaborators that a host may give it.

The collaborators stand in `linetrack/control/`, which the policy does not import.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from linetrack.policy.actions import Action
from linetrack.policy.events import Event, RequestReceived


@dataclass(slots=True, frozen=True)
class PossibleExecution:
    """Where and when an attempt was sent that may have been executed."""

    zone: int
    cell: int
    sent_at: int


class Policy(Protocol):
    """What decides about every request: `linetrack.policy.balancer.Balancer` in the program."""

    def handle(self, now: int, event: Event, /) -> list[Action]:
        """Take one event in and return the actions it calls for, in order."""


class OverloadController(Protocol):
    """How much load the endpoints can take, as `linetrack.control.overload_control` estimates it."""

    def admit(self, now: int, arrival: RequestReceived, priority_weight: float) -> bool:
        """Whether a new request is to be served; it is rejected otherwise."""

    def allow_retry(self, now: int) -> bool:
        """Whether there is capacity for a retry or a hedged attempt."""

    def record_response(self, now: int, in_time: bool, is_fast: bool) -> None:
        """Take in whether an attempt met its latency objective, and in half of that time."""

    def retry_after(self, now: int, default: int, maximum: int) -> int:
        """When a rejected client should return, in microseconds from now."""


class IdempotencyKeyStore(Protocol):
    """What may have been executed under each key, as `linetrack.control.idempotency_keys` keeps it."""

    def add(self, key: int, execution: PossibleExecution) -> None:
        """Note that an attempt under the key may have been executed, or may yet be."""

    def discard(self, key: int, execution: PossibleExecution) -> None:
        """Note that this attempt proved not to have been executed."""

    def executions(self, now: int, key: int) -> list[PossibleExecution]:
        """All that may have been executed under the key, the earliest first."""
