"""What the policy asks its host to do, in the order in which it is to be done.

All times are integer microseconds.  The actions that come with each request are not frozen, as constructing
a frozen one takes three times as long; nothing changes them either.
"""

from __future__ import annotations

from dataclasses import dataclass

ALL_PEERS = -1


@dataclass(slots=True)
class StartAttempt:
    """Send the request to an endpoint, as its next attempt."""

    request_id: int
    endpoint: str
    timeout: int = 0  # 0: until the client gives up
    write_deadline: int = 0  # the moment after which none of it may be written, it ends as NOT_SENT; 0: none


@dataclass(slots=True, frozen=True)
class RejectRequest:
    """Final response: rejected, and a retry by the client is harmless."""

    request_id: int
    retry_after: int = 0  # 0: no advice


@dataclass(slots=True, frozen=True)
class FailRequest:
    """Final response: failed, and the request may have been executed."""

    request_id: int


@dataclass(slots=True, frozen=True)
class CancelAttempt:
    """Give an attempt up; its end is notified like any other."""

    request_id: int
    attempt: int


@dataclass(slots=True)
class SetTimer:
    """Notify `TimerFired` with this token after the delay."""

    delay: int
    token: str


@dataclass(slots=True, frozen=True)
class WatchEndpoints:
    """Subscribe to endpoint lists, or end the subscription."""

    enabled: bool = True


@dataclass(slots=True, frozen=True)
class FetchEndpoints:
    """Get the endpoint list once."""


@dataclass(slots=True, frozen=True)
class SendHealthCheck:
    """Check the health of an endpoint."""

    endpoint: str


@dataclass(slots=True, frozen=True)
class CloseIdleConnections:
    """Close the idle connections to an endpoint, as it has probably closed them."""

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
