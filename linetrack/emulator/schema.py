"""Tables of an experiment file that configure the emulator: upstreams, request classes, faults on a timeline.

The only module that knows their keys, units and checks.  The suffix of a key gives its unit of time.
"""

from __future__ import annotations

from enum import Enum
from typing import Annotated, Literal

from msgspec import Meta

from linetrack.config.check import Table
from linetrack.config.operators import (
    Count,
    DeduplicationScope,
    Fraction,
    Idempotency,
    Name,
    NotNegative,
    Positive,
)

PositiveFraction = Annotated[float, Meta(gt=0, le=1)]


class WorkDistribution(Enum):
    """The distribution from which the work of a request is drawn."""

    FIXED = "fixed"
    EXPONENTIAL = "exponential"
    LOGNORMAL = "lognormal"


class FaultKind(Enum):
    """The kind of a fault; values are those of the experiment file."""

    # Faults that change how an upstream handles requests while they are active.
    SLOW = "slow"
    ERRORS = "errors"
    NO_RESPONSE = "silence"  # the request is executed, and its connection stays open
    RESET = "reset"  # the connection is reset in the middle of the response
    MALFORMED_RESPONSE = "spoil"
    UNREACHABLE = "cut"
    STALL = "stall"  # no work begins until the fault ends
    # Faults that change which upstreams serve.
    CRASH = "crash"
    VANISH = "vanish"  # unreachable first, removed from the endpoint list later
    DEPLOY = "deploy"
    DRAIN = "drain"
    # Faults that affect discovery, or restart sidecars.
    DISCOVERY_DOWN = "discovery_down"
    DISCOVERY_LAG = "discovery_lag"
    DISCOVERY_STALE = "discovery_old"
    SIDECARS_TERMINATED = "sidecars_term"
    SIDECARS_KILLED = "sidecars_kill"


#: Faults that change how an upstream handles requests while they are active.
REQUEST_FAULTS = frozenset(
    {
        FaultKind.SLOW,
        FaultKind.ERRORS,
        FaultKind.NO_RESPONSE,
        FaultKind.RESET,
        FaultKind.MALFORMED_RESPONSE,
        FaultKind.UNREACHABLE,
        FaultKind.STALL,
    }
)
DISCOVERY_FAULTS = frozenset({FaultKind.DISCOVERY_DOWN, FaultKind.DISCOVERY_LAG, FaultKind.DISCOVERY_STALE})
SIDECAR_FAULTS = frozenset({FaultKind.SIDECARS_TERMINATED, FaultKind.SIDECARS_KILLED})


class RequestClass(
    Table,
    frozen=True,
    kw_only=True,
    rename={
        "idempotency": "repeat",
        "latency_objective_ms": "aim_ms",
        "timeout_ms": "deadline_ms",
        "priority_weight": "worth",
        "deduplication_scope": "dedup_scope",
        "deduplication_window_ms": "dedup_window_ms",
        "work_distribution": "work",
        "work_variation": "work_cv",
        "response_bytes": "answer_bytes",
    },
):
    """A class of requests: how clients send its requests and how upstreams execute them."""

    name: Name
    share: Positive = 1.0  # of all requests, relative to the shares of the other classes
    idempotency: Idempotency = Idempotency.IDEMPOTENT
    latency_objective_ms: Positive = 200.0
    timeout_ms: Positive = 1000.0
    priority_weight: NotNegative = 1.0
    deduplication_scope: DeduplicationScope = DeduplicationScope.ZONE
    deduplication_window_ms: NotNegative = 1000.0
    work_ms: Positive = 5.0  # mean, in time of a core at speed 1
    work_distribution: WorkDistribution = WorkDistribution.EXPONENTIAL
    work_variation: Positive = 1.0  # coefficient of variation, for lognormal work
    response_bytes: Annotated[int, Meta(ge=0, le=1_000_000)] = 200
    request_bytes: Annotated[int, Meta(ge=0, le=65_536)] = 0


class HostClass(
    Table,
    frozen=True,
    kw_only=True,
    rename={
        "max_queue_length": "queue",
        "slow_start_initial_fraction": "cold_from",
        "slow_start_ms": "warm_up_ms",
        "overload_multiple": "fall_multiple",
        "overload_window_ms": "overload_ms",
        "restart_ms": "down_ms",
        "response_delay_ms": "delay_ms",
        "cached_key_saving": "warm_key_saves",
    },
):
    """The capacity and slow start of the upstreams of one class."""

    name: Name
    cores: Count = 1
    speed: Positive = 1.0
    max_queue_length: Annotated[int, Meta(ge=0)] = 100  # requests that may wait; further ones are rejected
    slow_start_initial_fraction: PositiveFraction = 0.2  # of the full speed, at a start
    slow_start_ms: NotNegative = 10_000.0
    # In slow start, an upstream crashes when the work it is sent within the window exceeds this multiple of
    # its capacity.
    overload_multiple: Positive = 3.0
    overload_window_ms: Positive = 1000.0
    restart_ms: Positive = 3000.0  # from a crash to the restart
    response_delay_ms: NotNegative = 0.0  # constant delay added to every response
    cached_key_saving: Fraction = 0.0  # of the work of a request whose key was served recently


class UpstreamGroup(Table, frozen=True, kw_only=True, rename={"host_class": "kind", "capacity": "weight"}):
    """A number of identical upstreams."""

    zone: Name
    host_class: Name
    count: Count
    cells: Count = 1
    capacity: Positive = 1.0


class LoadReports(Table, frozen=True, kw_only=True, rename={"interval_ms": "every_ms"}):
    """The load reports that upstreams send with responses."""

    fields: tuple[Literal["concurrent", "depth", "load_share", "mean_ms", "tps"], ...] = (
        "depth",
        "concurrent",
    )
    interval_ms: NotNegative = 200.0  # between updates of the values; 0: updated for each response


class Discovery(Table, frozen=True, kw_only=True, rename={"max_long_poll_ms": "hold_ms_most"}):
    """The emulated discovery."""

    lag_ms: NotNegative = 200.0  # from a change until it is in the endpoint list
    max_long_poll_ms: Positive = 20_000.0


class UpstreamSelector(Table, frozen=True, kw_only=True, rename={"host_class": "kind"}):
    """Selects the upstreams that match every given key; all upstreams if no key is given."""

    ids: tuple[str, ...] = ()
    zone: str = ""
    host_class: str = ""
    share: PositiveFraction = 1.0  # of the matching upstreams, drawn with the seed; at least one


class Fault(
    Table,
    frozen=True,
    kw_only=True,
    rename={"duration_s": "for_s", "upstreams": "who", "batch_size": "batch", "batch_interval_s": "every_s"},
):
    """A fault that begins at `at_s`; faults may overlap."""

    kind: FaultKind
    at_s: NotNegative
    duration_s: NotNegative = 0.0
    upstreams: UpstreamSelector = UpstreamSelector()
    factor: Positive = 5.0  # slow: multiplies the work
    one_in: Count = 1  # errors, silence, reset, spoil, slow: affects every nth request
    batch_size: Count = 1  # upstreams (deploy) or sidecars (restarts) at a time
    batch_interval_s: Positive = 2.0  # deploy, restarts: between the starts of two batches
    grace_ms: NotNegative = 1500.0  # deploy, drain, vanish: until the affected upstream is removed
    lag_ms: NotNegative = 2000.0  # discovery_lag: added to the lag of discovery


class Fleet(
    Table,
    frozen=True,
    kw_only=True,
    rename={
        "host_classes": "kinds",
        "groups": "upstreams",
        "load_reports": "report",
        "max_connections": "connections",
    },
):
    """All emulated upstreams, and discovery."""

    host_classes: Annotated[tuple[HostClass, ...], Meta(min_length=1)] = (HostClass(name="plain"),)
    groups: Annotated[tuple[UpstreamGroup, ...], Meta(min_length=1)] = (
        UpstreamGroup(zone="north", host_class="plain", count=4),
        UpstreamGroup(zone="south", host_class="plain", count=4),
    )
    processes: Annotated[int, Meta(ge=1, le=16)] = 1
    load_reports: LoadReports = LoadReports()
    discovery: Discovery = Discovery()
    keep_alive_ms: Positive = 30_000.0
    max_connections: Count = 1000  # to one upstream; further ones are closed at once

    def __post_init__(self) -> None:
        """Check that each group has a known host class."""
        names = [host_class.name for host_class in self.host_classes]
        for group in self.groups:
            if group.host_class not in names:
                expected = ", ".join(names)
                raise ValueError(f"expected kind {group.host_class!r} of upstreams to be one of {expected}")

    @property
    def zones(self) -> tuple[str, ...]:
        """The zones, in the order of their first group."""
        return tuple(dict.fromkeys(group.zone for group in self.groups))
