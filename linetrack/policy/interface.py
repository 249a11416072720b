"""The whole interface of the decision module: settings, events, actions.

Protocol-neutral: an adapter turns its own words into these and back.  All times are integer
microseconds; `now` is the only clock.  Upstream names are opaque text, request ids opaque numbers.
Nothing here changes once made; what is made for each request is not frozen, as that costs three times as
much.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol


class Effect(Enum):
    """What running a request twice would do."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Group(Enum):
    """The upstreams that discard a keyed request's repeats."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Outcome(Enum):
    """How an attempt (or a probe) ended."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    MOOT = "moot"


#: Outcomes that prove that the attempt never ran.
NEVER_RAN = frozenset({Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT})


class Load(Enum):
    """A value that a load report may hold."""

    INFLIGHT = "inflight"
    QUEUE = "queue"
    UTIL = "util"
    LATENCY_MS = "latency_ms"
    RATE = "rate"
    ERROR_RATE = "error_rate"
    OTHER = "other"


class Health(Enum):
    """What discovery says of an upstream."""

    UP = "up"
    DRAINING = "draining"
    GONE = "gone"


class ListForm(Enum):
    """What a piece of fleet news holds."""

    CHANGES = "changes"
    WHOLE = "whole"
    REMEMBERED = "remembered"
    REFUSED = "refused"


@dataclass(slots=True, frozen=True)
class RequestClass:
    """One class of requests."""

    effect: Effect
    aim: int
    deadline: int
    aim_stretch: float = 0.0
    worth: float = 1.0
    late_worth: float = 0.0
    group: Group = Group.ALL
    window: int = 0
    stream: bool = False


@dataclass(slots=True, frozen=True)
class Settings:
    """What an instance is told when it starts."""

    classes: tuple[RequestClass, ...]
    instance: int = 0
    instances: int = 1
    zone: int = 0
    zones: int = 1
    report_fields: tuple[Load, ...] = ()
    must_ask: bool = False
    ask_every: int = 0
    drain_grace: int = 0
    cold_from: float = 1.0
    warm_up: int = 0
    fall_multiple: float = 0.0
    overload_for: int = 0
    may_cancel: bool = False
    may_probe: bool = False
    parallel: bool = False
    retry_advice: bool = False
    max_retry_after: int = 0
    max_attempts: int = 1
    price_cross: float = 0.0
    price_waste: float = 0.0
    price_late: float = 0.0
    worth_by_work: bool = False
    weight_whole: float = 1.0
    weight_class: float = 0.0
    tenant_rates: tuple[float, ...] = ()
    over_share_worth: float = 1.0
    warm_keys: bool = False
    live_sizes: bool = False  # sizes are listed over 1 + requests held a core, as of some time ago
    streams: int = 1  # attempts that one connection carries at once
    keep_alive: int = 0  # for how long a connection may rest; 0 where it is not told
    # further attempts of one instance in any window: at most the free ones + ratio x requests it took in it
    further_window: int = 0  # 0 where there is no such limit
    further_free: float = 0.0
    further_ratio: float = 0.0
    gone_is_advice: bool = False  # only what was listed as draining may get nothing new


@dataclass(slots=True, frozen=True)
class Entry:
    """One upstream as discovery lists it."""

    upstream: str
    zone: int = 0
    kind: int = 0
    cell: int = 0
    health: Health = Health.UP
    size: float = 1.0
    started: int = 0


@dataclass(slots=True, frozen=True)
class FleetNews:
    form: ListForm
    entries: tuple[Entry, ...] = ()


@dataclass(slots=True)
class Arrival:
    """A client's request; from here on it is owed one final answer within `patience`."""

    request: int
    klass: int
    patience: int
    tenant: int = 0
    key: str = ""
    work: int = 0
    repeat: bool = False
    write: bool = False
    once: int = 0  # stands for the key under which its repeats are discarded; 0 where it has none
    held: bool = True  # its body can be sent again; one that goes on as it comes cannot


@dataclass(slots=True, frozen=True)
class Written:
    """An attempt with a long body has its last byte written: from here on it takes its time."""

    request: int
    attempt: int


@dataclass(slots=True, frozen=True)
class Begun:
    """A streamed answer has begun: the request is bound to this attempt."""

    request: int
    attempt: int
    upstream: str
    latency: int


@dataclass(slots=True)
class Ended:
    """An attempt has ended; `over` tells that its request has its final answer.  `latency` is the time until
    the answer was whole, or, of a streamed one, until it began."""

    request: int
    attempt: int
    upstream: str
    outcome: Outcome
    latency: int
    over: bool = False
    report: tuple[float, ...] = ()


@dataclass(slots=True, frozen=True)
class ClientLeft:
    request: int


@dataclass(slots=True, frozen=True)
class TimerDue:
    token: str


@dataclass(slots=True, frozen=True)
class ProbeEnded:
    upstream: str
    outcome: Outcome
    latency: int
    report: tuple[float, ...] = ()


@dataclass(slots=True, frozen=True)
class PeerMessage:
    sender: int
    body: bytes


Event = FleetNews | Arrival | Written | Begun | Ended | ClientLeft | TimerDue | ProbeEnded | PeerMessage


@dataclass(slots=True)
class Send:
    """Start the request's next attempt; a timeout of 0 means until the client gives up.  After the time `by`
    nothing of it may be written any more (0: there is no such time), and it ends as moot."""

    request: int
    upstream: str
    timeout: int = 0
    by: int = 0


@dataclass(slots=True, frozen=True)
class Refuse:
    """Final answer: turned away, trying again is harmless."""

    request: int
    retry_after: int = 0


@dataclass(slots=True, frozen=True)
class Fail:
    """Final answer: failed, no promise."""

    request: int


@dataclass(slots=True, frozen=True)
class Cancel:
    request: int
    attempt: int


@dataclass(slots=True)
class SetTimer:
    after: int
    token: str


@dataclass(slots=True, frozen=True)
class Watch:
    on: bool = True


@dataclass(slots=True, frozen=True)
class FetchList:
    pass


@dataclass(slots=True, frozen=True)
class Probe:
    upstream: str


@dataclass(slots=True, frozen=True)
class CloseIdle:
    upstream: str


@dataclass(slots=True, frozen=True)
class Tell:
    """A message to one peer, or to all of them (-1)."""

    receiver: int
    body: bytes = field(default=b"")


@dataclass(slots=True, frozen=True)
class Note:
    text: str


Action = Send | Refuse | Fail | Cancel | SetTimer | Watch | FetchList | Probe | CloseIdle | Tell | Note


@dataclass(slots=True, frozen=True)
class Ran:
    """Where and when an attempt that may have run was sent."""

    zone: int
    cell: int
    sent: int


class Policy(Protocol):
    """What decides every request: events in, actions out; `linetrack/policy/balancer.py` in the program."""

    def handle(self, now: int, event: Event, /) -> list[Action]: ...


class Guide(Protocol):
    """How much the fleet can be given, worked out beside the policy, which asks and decides
    (`linetrack/control/overload_control.py`)."""

    def admits(self, now: int, arrival: Arrival, worth: float) -> bool: ...
    def further(self, now: int) -> bool: ...
    def ended(self, now: int, good: bool, quick: bool) -> None: ...
    def returns(self, now: int, usual: int, most: int) -> int: ...


class Memory(Protocol):
    """Keys under which something may have run (`linetrack/control/idempotency_keys.py`)."""

    def ran(self, key: int, ran: Ran) -> None: ...
    def never(self, key: int, ran: Ran) -> None: ...
    def recall(self, now: int, key: int) -> list[Ran]: ...
