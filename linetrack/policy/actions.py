"""Actions: what the policy asks its host to do.  The host executes them in the order of the list.

All times are integer microseconds.  The action classes that are used for every request are not frozen, as
constructing a frozen dataclass takes three times as long; their instances are never modified either.
"""

from __future__ import annotations

from dataclasses import dataclass

ALL_PEERS = -1


@dataclass(slots=True)
class StartAttempt:
    """Send the request to an endpoint, as its next attempt."""

    request_id: int
    endpoint: str
    timeout: int = 0  # 0: until the request's own deadline
    write_deadline: int = 0  # time by which its last byte is written, or it ends as NOT_SENT; 0: none


@dataclass(slots=True, frozen=True)
class RejectRequest:
    """Give the final response: rejected; the client may safely retry."""

    request_id: int
    retry_after: int = 0  # 0: send no retry-after advice


@dataclass(slots=True, frozen=True)
class FailRequest:
    """Give the final response: failed; the request may have been executed."""

    request_id: int


@dataclass(slots=True, frozen=True)
class CancelAttempt:
    """Cancel an attempt.  The host still notifies the policy of its end with `AttemptEnded`."""

    request_id: int
    attempt: int


@dataclass(slots=True)
class SetTimer:
    """Send the policy a `TimerFired` with this token after the delay."""

    delay: int
    token: str


@dataclass(slots=True, frozen=True)
class WatchEndpoints:
    """Subscribe to endpoint list updates, or end the subscription."""

    enabled: bool = True


@dataclass(slots=True, frozen=True)
class FetchEndpoints:
    """Request the endpoint list once."""


@dataclass(slots=True, frozen=True)
class SendHealthCheck:
    """Send a health check to an endpoint."""

    endpoint: str


@dataclass(slots=True, frozen=True)
class CloseIdleConnections:
    """Close the idle connections to an endpoint, which has probably dropped them already."""

    endpoint: str


@dataclass(slots=True, frozen=True)
class SendToPeer:
    """Send a message to one peer, or to `ALL_PEERS`."""

    receiver: int
    body: bytes = b""


@dataclass(slots=True, frozen=True)
class Log:
    """Write a line to the host's log."""

    text: str


Action = (
    StartAttempt
    | RejectRequest
    | FailRequest
    | CancelAttempt
    | SetTimer
    | WatchEndpoints
    | FetchEndpoints
    | SendHealthCheck
    | CloseIdleConnections
    | SendToPeer
    | Log
)
