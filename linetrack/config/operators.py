"""The operators' file (TOML, version 1), which configures one sidecar that runs outside the platform.

The only module that knows the file's keys, units and defaults, and how they map to the platform's form.
Durations are in milliseconds, as the suffixes of the keys state.  `linetrack/settings.py` documents what the
settings mean to the policy.
"""

from __future__ import annotations

from enum import Enum
from pathlib import Path
from typing import Annotated, Any, Literal

from msgspec import Meta

from linetrack.config.check import Table, read_toml

Positive = Annotated[float, Meta(gt=0)]
NotNegative = Annotated[float, Meta(ge=0)]
Fraction = Annotated[float, Meta(ge=0, le=1)]
Count = Annotated[int, Meta(ge=1)]
Index = Annotated[int, Meta(ge=0)]
Name = Annotated[str, Meta(min_length=1, pattern=r"^[A-Za-z0-9_.-]+$")]

POLL_INTERVAL_US = 10_000_000


class Idempotency(Enum):
    """Whether executing a request twice is safe; values are those of the file."""

    IDEMPOTENT = "free"
    IDEMPOTENCY_KEY = "guarded"
    NON_IDEMPOTENT = "single_shot"


class DeduplicationScope(Enum):
    """The set of upstreams that detect duplicate idempotency keys together; values are those of the file."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class RequestClass(
    Table,
    frozen=True,
    kw_only=True,
    rename={
        "idempotency": "repeat",
        "latency_objective_ms": "aim_ms",
        "timeout_ms": "deadline_ms",
        "priority_weight": "worth",
        "late_weight": "late_worth",
        "deduplication_scope": "dedup_scope",
        "deduplication_window_ms": "dedup_window_ms",
    },
):
    """A class of requests: whether retries are safe, and the value of a response by its latency."""

    name: Name
    idempotency: Idempotency = Idempotency.NON_IDEMPOTENT
    latency_objective_ms: Positive
    timeout_ms: Positive
    priority_weight: NotNegative = 1.0
    late_weight: NotNegative = 0.0
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window_ms: NotNegative = 0.0

    def __post_init__(self) -> None:
        """Check that the values are consistent with one another."""
        if self.latency_objective_ms > self.timeout_ms:
            raise ValueError(f"expected aim_ms of {self.name!r} to be at most its deadline_ms")


class Retries(
    Table,
    frozen=True,
    kw_only=True,
    rename={
        "may_hedge": "second_copies",
        "may_cancel": "cancel",
        "may_send_retry_after": "advice",
        "max_retry_after_ms": "max_advice_ms",
        "retry_window_ms": "further_window_ms",
        "retry_window_allowance": "further_free",
        "retry_window_ratio": "further_share",
    },
):
    """What the sidecar may do beyond forwarding each request once."""

    max_attempts: Count = 3
    may_hedge: bool = False
    may_cancel: bool = True
    may_send_retry_after: bool = True  # send `Retry-After` with rejections
    max_retry_after_ms: NotNegative = 1000.0
    # Retries in any window are limited to the allowance + the ratio x requests received in it; 0: no limit.
    retry_window_ms: NotNegative = 0.0
    retry_window_allowance: NotNegative = 0.0
    retry_window_ratio: NotNegative = 0.0


class OverloadControl(
    Table,
    frozen=True,
    kw_only=True,
    rename={"enabled": "damp", "retry_after_in_whole_seconds": "whole_seconds"},
):
    """Overload control, which limits retry storms (docs/operating/overload-control.md)."""

    enabled: bool = False  # admit by goodput while most requests fail, and remember clients' idempotency keys
    retry_after_in_whole_seconds: bool = False  # for clients that accept only whole seconds


class Upstreams(
    Table,
    frozen=True,
    kw_only=True,
    rename={
        "load_report_fields": "report_fields",
        "listed_capacity": "weights",
        "host_classes": "kinds",
        "slow_start_initial_fraction": "cold_from",
        "slow_start_ms": "warm_up_ms",
        "overload_multiple": "fall_multiple",
        "overload_window_ms": "overload_ms",
        "removal_is_advisory": "gone_is_advice",
        "cross_zone_cost": "price_cross_zone",
    },
):
    """What the sidecar assumes about the upstreams and its connections to them."""

    dial_timeout_ms: Positive = 250.0
    keep_alive_ms: Positive = 30_000.0
    load_report_fields: tuple[str, ...] = ()
    # live: the listed capacity is the nominal one divided by 1 + requests per core.
    listed_capacity: Literal["off", "nominal", "rough", "live"] = "off"
    host_classes: tuple[str, ...] = ()
    slow_start_initial_fraction: Fraction = 1.0  # of the full capacity, at a start
    slow_start_ms: NotNegative = 0.0
    overload_multiple: NotNegative = 0.0
    overload_window_ms: NotNegative = 0.0
    drain_grace_ms: NotNegative = 1000.0
    removal_is_advisory: bool = False  # true: removed upstreams may still get new requests, draining ones not
    cross_zone_cost: NotNegative = 0.0


class Tenant(Table, frozen=True, kw_only=True):
    """The quota of one tenant; a request names a tenant by `party`, its index in the file."""

    name: Name
    rate: Positive  # requests per second, over all sidecars


class Sidecar(Table, frozen=True, kw_only=True, rename={"instance": "number", "instance_count": "sidecars"}):
    """The sidecar itself and its addresses."""

    name: Name
    listen: str
    discovery: str
    admin: str = ""  # address of the admin listener; empty: no admin listener
    zone: Name
    instance: Index = 0
    instance_count: Count = 1
    seed: Index = 0


class Limits(Table, frozen=True, kw_only=True):
    """Limits on the resources of the process."""

    sockets: Annotated[int, Meta(ge=64)] = 1024
    memory_mb: Annotated[int, Meta(ge=24)] = 192


class OperatorsFile(
    Table,
    frozen=True,
    kw_only=True,
    rename={"overload_control": "storms", "over_quota_weight": "over_share_worth"},
):
    """The whole file; each subsystem has a table of its own."""

    version: Literal[1]
    sidecar: Sidecar
    zones: Annotated[tuple[Name, ...], Meta(min_length=1)]
    classes: Annotated[tuple[RequestClass, ...], Meta(min_length=1)]
    limits: Limits = Limits()
    retries: Retries = Retries()
    upstreams: Upstreams = Upstreams()
    overload_control: OverloadControl = OverloadControl()
    tenants: tuple[Tenant, ...] = ()
    over_quota_weight: Fraction = 1.0  # factor on the priority weight of a request beyond its tenant's quota

    def __post_init__(self) -> None:
        """Check that the tables are consistent with one another."""
        if self.sidecar.zone not in self.zones:
            raise ValueError(f"expected sidecar.zone {self.sidecar.zone!r} to be one of zones")
        names = [request_class.name for request_class in self.classes]
        if len(set(names)) < len(names):
            raise ValueError("expected the names of classes to differ")
        if self.sidecar.instance >= self.sidecar.instance_count:
            raise ValueError("expected sidecar.number to be below sidecar.sidecars")


def read_operators_file(path: Path) -> OperatorsFile:
    """Read and check an operators' file.

    Raises:
        FileError: the file cannot be read, or a value is missing or invalid.
    """
    return read_toml(path, OperatorsFile)


def warnings(file: OperatorsFile) -> list[str]:
    """Return warnings about values of a valid file that are probably unintended, one line each."""
    upstreams = file.upstreams
    has_multiple = bool(upstreams.overload_multiple)
    has_window = bool(upstreams.overload_window_ms)
    lines = []
    if has_multiple != has_window:
        given, missing = (
            ("fall_multiple", "overload_ms") if has_multiple else ("overload_ms", "fall_multiple")
        )
        lines.append(f"upstreams.{given} without upstreams.{missing}: there is no overload rule")
    if upstreams.slow_start_ms and not (has_multiple and has_window):
        lines.append(
            "upstreams.warm_up_ms without fall_multiple and overload_ms: attempts at an upstream"
            " in warm-up are weighted, not bounded"
        )
    return lines


def platform_form(file: OperatorsFile) -> dict[str, Any]:
    """Return the file's values in the platform's form, which `linetrack/server/config.py` parses."""
    sidecar = file.sidecar
    overload_control = file.overload_control
    return {
        "name": sidecar.name,
        "listen": sidecar.listen,
        "discovery": sidecar.discovery,
        "admin_addr": sidecar.admin,
        "seed": sidecar.seed,
        "limits": {"sockets": file.limits.sockets, "memory_mb": file.limits.memory_mb},
        "settings": _settings(file),
        "storms": {
            "damp": overload_control.enabled,
            "wholeSeconds": overload_control.retry_after_in_whole_seconds,
        },
    }


def _settings(file: OperatorsFile) -> dict[str, Any]:
    sidecar = file.sidecar
    upstreams = file.upstreams
    report_fields = list(upstreams.load_report_fields)
    return {
        "classes": [_class(request_class) for request_class in file.classes],
        "azs": list(file.zones),
        "skus": list(upstreams.host_classes),
        "zone": file.zones.index(sidecar.zone),
        "me": sidecar.instance,
        "balancers": sidecar.instance_count,
        "registryMode": "subscribe",
        "rules": {**_endpoint_rules(upstreams), **_retry_window(file.retries)},
        "stats": {"how": "inline" if report_fields else "off", "fields": report_fields},
        "allowed": _permissions(file.retries, upstreams),
        "deductions": {"crossZone": upstreams.cross_zone_cost},
        "weights": upstreams.listed_capacity,
        "customers": [{"name": tenant.name, "quotaRps": tenant.rate} for tenant in file.tenants],
        "overShareWorth": file.over_quota_weight,
    }


def _class(request_class: RequestClass) -> dict[str, Any]:
    return {
        "name": request_class.name,
        "repeat": request_class.idempotency.value,
        "aimUs": _microseconds(request_class.latency_objective_ms),
        "deadlineUs": _microseconds(request_class.timeout_ms),
        "worth": request_class.priority_weight,
        "lateWorth": request_class.late_weight,
        "dedupScope": request_class.deduplication_scope.value,
        "dedupWindowUs": _microseconds(request_class.deduplication_window_ms),
    }


def _endpoint_rules(upstreams: Upstreams) -> dict[str, Any]:
    return {
        "askEveryUs": POLL_INTERVAL_US,
        "drainGraceUs": _microseconds(upstreams.drain_grace_ms),
        "coldFrom": upstreams.slow_start_initial_fraction,
        "warmUpUs": _microseconds(upstreams.slow_start_ms),
        "fallMultiple": upstreams.overload_multiple,
        "overloadForUs": _microseconds(upstreams.overload_window_ms),
        "goneIsAdvice": upstreams.removal_is_advisory,
    }


def _retry_window(retries: Retries) -> dict[str, Any]:
    """Return the three keys of the retry limit, or none if no limit is set."""
    limit = {
        "freeResends": retries.retry_window_allowance,
        "furtherRatio": retries.retry_window_ratio,
        "extraWindowUs": _microseconds(retries.retry_window_ms),
    }
    return limit if any(limit.values()) else {}


def _permissions(retries: Retries, upstreams: Upstreams) -> dict[str, Any]:
    return {
        "maxAttempts": retries.max_attempts,
        "parallelTries": retries.may_hedge,
        "mayCancel": retries.may_cancel,
        "retryAfter": retries.may_send_retry_after,
        "maxRetryAfterUs": _microseconds(retries.max_retry_after_ms),
        "dialTimeoutUs": _microseconds(upstreams.dial_timeout_ms),
        "keepaliveUs": _microseconds(upstreams.keep_alive_ms),
    }


def _microseconds(milliseconds: float) -> int:
    return round(milliseconds * 1000)
