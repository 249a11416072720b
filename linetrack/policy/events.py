"""Events: what a host notifies the policy of.

The events are protocol-neutral: each host translates its protocol into them.  All times are integer
microseconds.  Endpoint names are opaque strings, request ids opaque numbers.  The event classes that are used
for every request are not frozen, as constructing a frozen dataclass takes three times as long; instances of
these are never modified either.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto


class Outcome(Enum):
    """The outcome of an attempt or a health check."""

    SUCCESS = auto()
    ERROR = auto()
    OVERLOADED = auto()  # the endpoint rejected it, as its queue is full
    TIMEOUT = auto()
    CONNECT_FAILED = auto()
    RESET = auto()
    CANCELLED = auto()
    NOT_SENT = auto()  # the host did not write all of it, for a reason that is not the endpoint's


#: Outcomes that prove that the attempt was not executed.
NEVER_EXECUTED = frozenset({Outcome.OVERLOADED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT})


class EndpointStatus(Enum):
    """The status of an endpoint in discovery."""

    UP = auto()
    DRAINING = auto()
    REMOVED = auto()


class ListForm(Enum):
    """What the entries of an endpoint list update are."""

    DELTA = auto()  # the entries that changed
    SNAPSHOT = auto()  # all entries
    CACHED = auto()  # all entries, from before this instance started
    REJECTED = auto()  # none: discovery rejected the subscription


@dataclass(slots=True, frozen=True)
class EndpointEntry:
    """One endpoint as discovery lists it."""

    endpoint: str
    zone: int = 0
    host_class: int = 0
    cell: int = 0
    status: EndpointStatus = EndpointStatus.UP
    capacity: float = 1.0
    started_at: int = 0  # 0: unknown


@dataclass(slots=True, frozen=True)
class EndpointListUpdate:
    """Discovery has published endpoints, or has rejected the subscription."""

    form: ListForm
    entries: tuple[EndpointEntry, ...] = ()


@dataclass(slots=True)
class RequestReceived:
    """A client's request has arrived; it must get one final response within `timeout`."""

    request_id: int
    class_index: int
    timeout: int
    tenant: int = 0
    affinity_key: str = ""
    work: int = 0
    is_retry: bool = False  # whether it is a client's retry
    is_write: bool = False
    idempotency_key: int = 0  # a number that identifies the key; 0: none
    is_replayable: bool = True  # whether its body can be sent again; a streamed body cannot
    has_long_body: bool = False  # whether its last byte may reach an endpoint long after an attempt's start


@dataclass(slots=True, frozen=True)
class RequestBodySent:
    """The last byte of an attempt's long body was sent; its latency is measured from here."""

    request_id: int
    attempt: int


@dataclass(slots=True, frozen=True)
class ResponseStarted:
    """A streamed response has begun: the request is bound to this attempt."""

    request_id: int
    attempt: int
    endpoint: str
    latency: int


@dataclass(slots=True)
class AttemptEnded:
    """An attempt has ended."""

    request_id: int
    attempt: int
    endpoint: str
    outcome: Outcome
    latency: int  # until the end of the response, or until its start if it is streamed
    request_completed: bool = False  # the request has its final response
    load_report: tuple[float, ...] = ()


@dataclass(slots=True, frozen=True)
class ClientDisconnected:
    """The client of a request has disconnected: nothing more must be sent for it."""

    request_id: int


@dataclass(slots=True, frozen=True)
class TimerFired:
    """A timer set by the policy has expired."""

    token: str


@dataclass(slots=True, frozen=True)
class HealthCheckEnded:
    """A health check has ended.  The policy does not send any yet."""

    endpoint: str
    outcome: Outcome
    latency: int
    load_report: tuple[float, ...] = ()


@dataclass(slots=True, frozen=True)
class PeerMessageReceived:
    """Another instance has sent a message.  The policy neither sends nor evaluates any."""

    sender: int
    body: bytes


Event = (
    EndpointListUpdate
    | RequestReceived
    | RequestBodySent
    | ResponseStarted
    | AttemptEnded
    | ClientDisconnected
    | TimerFired
    | HealthCheckEnded
    | PeerMessageReceived
)
