"""What the policy is notified of.

The events are protocol-neutral: a host translates what it sees into them.  All times are integer
microseconds.  Endpoint names are opaque text, request ids opaque numbers.  The events that come with each
request are not frozen, as constructing a frozen one takes three times as long; nothing changes them either.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto


class Outcome(Enum):
    """How an attempt (or a health check) ended."""

    SUCCESS = auto()
    ERROR = auto()
    OVERLOADED = auto()  # rejected by an endpoint whose queue is full
    TIMEOUT = auto()
    CONNECT_FAILED = auto()
    RESET = auto()
    CANCELLED = auto()
    NOT_SENT = auto()  # the host never wrote it, as it had become pointless


#: Outcomes that prove that the attempt was not executed.
NEVER_EXECUTED = frozenset({Outcome.OVERLOADED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT})


class EndpointStatus(Enum):
    """What discovery says of an endpoint."""

    UP = auto()
    DRAINING = auto()
    REMOVED = auto()


class ListForm(Enum):
    """What an endpoint list update holds."""

    DELTA = auto()  # the entries that changed
    SNAPSHOT = auto()  # all entries
    CACHED = auto()  # all entries, as known before this instance started
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
    started_at: int = 0  # 0 where it is not known


@dataclass(slots=True, frozen=True)
class EndpointListUpdate:
    """Discovery has published endpoints, or has rejected the subscription."""

    form: ListForm
    entries: tuple[EndpointEntry, ...] = ()


@dataclass(slots=True)
class RequestReceived:
    """A client's request has arrived; it is owed one final response within `timeout`."""

    request_id: int
    class_index: int
    timeout: int
    tenant: int = 0
    affinity_key: str = ""
    work: int = 0
    is_retry: bool = False  # the client's own
    is_write: bool = False
    idempotency_key: int = 0  # stands for the key, alike for equal keys; 0 where it has none
    is_replayable: bool = True  # its body can be sent again; one that is forwarded as it comes cannot


@dataclass(slots=True, frozen=True)
class RequestBodySent:
    """The last byte of an attempt's long body is written: from here on the attempt takes its time."""

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
    latency: int  # until the response was complete or, where it is streamed, until it began
    request_completed: bool = False  # the request has its final response
    load_report: tuple[float, ...] = ()


@dataclass(slots=True, frozen=True)
class ClientDisconnected:
    """The client of a request has disconnected: nothing more is to be sent for it."""

    request_id: int


@dataclass(slots=True, frozen=True)
class TimerFired:
    """A timer that the policy set is due."""

    token: str


@dataclass(slots=True, frozen=True)
class HealthCheckEnded:
    """A health check has ended; the policy sends none so far."""

    endpoint: str
    outcome: Outcome
    latency: int
    load_report: tuple[float, ...] = ()


@dataclass(slots=True, frozen=True)
class PeerMessageReceived:
    """Another instance has sent a message; the policy sends none and passes over those it gets."""

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
