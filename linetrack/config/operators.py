"""The operators' file (TOML, version 1): what one sidecar is told outside the platform.

Owns the file's keys, units and defaults.  Must never open a socket or hold anything that changes.  Times are
milliseconds as the keys say; what a key means to the policy is `linetrack/settings.py`'s.
"""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Any, Literal

from msgspec import Meta

from linetrack.config.check import FileError, Part, read_toml

Positive = Annotated[float, Meta(gt=0)]
NotNegative = Annotated[float, Meta(ge=0)]
Share = Annotated[float, Meta(ge=0, le=1)]
Count = Annotated[int, Meta(ge=1)]
Name = Annotated[str, Meta(min_length=1, pattern=r"^[A-Za-z0-9_.-]+$")]


class RequestClass(Part, frozen=True, kw_only=True):
    """One class of requests: what a repeat does, and what an answer is worth by when it comes."""

    name: Name
    repeat: Literal["free", "guarded", "single_shot"] = "single_shot"
    aim_ms: Positive
    deadline_ms: Positive
    worth: NotNegative = 1.0
    late_worth: NotNegative = 0.0
    dedup_scope: Literal["all", "zone", "cell"] = "all"
    dedup_window_ms: NotNegative = 0.0

    def __post_init__(self) -> None:
        if self.aim_ms > self.deadline_ms:
            raise ValueError(f"expected aim_ms of {self.name!r} to be at most its deadline_ms")


class Retries(Part, frozen=True, kw_only=True):
    """What the sidecar may do on its own account."""

    max_attempts: Count = 3
    second_copies: bool = False
    cancel: bool = True
    advice: bool = True  # Retry-After with refusals
    max_advice_ms: NotNegative = 1000.0
    # attempts beyond first ones in any window: the free ones + share x requests taken in it; 0: no limit
    further_window_ms: NotNegative = 0.0
    further_free: NotNegative = 0.0
    further_share: NotNegative = 0.0


class Storms(Part, frozen=True, kw_only=True):
    """Storms of retries (docs/storms/operate.md)."""

    damp: bool = False  # admit by what is answered well while most fails, and remember callers' keys
    whole_seconds: bool = False  # Retry-After in whole seconds, for callers that read only those


class Upstreams(Part, frozen=True, kw_only=True):
    dial_timeout_ms: Positive = 250.0
    keep_alive_ms: Positive = 30_000.0
    report_fields: tuple[str, ...] = ()
    weights: Literal["off", "nominal", "rough", "live"] = "off"  # live: over 1 + requests held a core
    kinds: tuple[str, ...] = ()
    cold_from: Share = 1.0  # of the capacity, at a start
    warm_up_ms: NotNegative = 0.0
    fall_multiple: NotNegative = 0.0
    overload_ms: NotNegative = 0.0
    drain_grace_ms: NotNegative = 1000.0
    gone_is_advice: bool = False  # only what was listed as draining may get nothing new
    price_cross_zone: NotNegative = 0.0


class Tenant(Part, frozen=True, kw_only=True):
    """One tenant's share; a request's `party` is its place in the file, from 0."""

    name: Name
    rate: Positive  # requests a second, over all sidecars


class Sidecar(Part, frozen=True, kw_only=True):
    name: Name
    listen: str
    discovery: str
    admin: str = ""  # the operators' own address; empty: nothing listens there
    zone: Name
    number: Annotated[int, Meta(ge=0)] = 0
    sidecars: Count = 1
    seed: Annotated[int, Meta(ge=0)] = 0


class Limits(Part, frozen=True, kw_only=True):
    sockets: Annotated[int, Meta(ge=64)] = 1024
    memory_mb: Annotated[int, Meta(ge=24)] = 192


class OperatorsFile(Part, frozen=True, kw_only=True):
    """The whole file.  Later subsystems add a table each."""

    version: Literal[1]
    sidecar: Sidecar
    zones: Annotated[tuple[Name, ...], Meta(min_length=1)]
    classes: Annotated[tuple[RequestClass, ...], Meta(min_length=1)]
    limits: Limits = Limits()
    retries: Retries = Retries()
    upstreams: Upstreams = Upstreams()
    storms: Storms = Storms()
    tenants: tuple[Tenant, ...] = ()
    over_share_worth: Share = 1.0  # of a request beyond its tenant's share, as a part of its worth

    def __post_init__(self) -> None:
        if self.sidecar.zone not in self.zones:
            raise ValueError(f"expected sidecar.zone {self.sidecar.zone!r} to be one of zones")
        names = [klass.name for klass in self.classes]
        if len(set(names)) < len(names):
            raise ValueError("expected the names of classes to differ")
        if self.sidecar.number >= self.sidecar.sidecars:
            raise ValueError("expected sidecar.number to be below sidecar.sidecars")


def read(path: Path) -> OperatorsFile:
    """The file, checked; a `FileError` says what is wrong with it."""
    return read_toml(path, OperatorsFile)


def platform(file: OperatorsFile) -> dict[str, Any]:
    """The same in the platform's form, which the program reads (its page on deployment has the names)."""
    side, may, up = file.sidecar, file.retries, file.upstreams

    def us(ms: float) -> int:
        return round(ms * 1000)

    limit = {
        "freeResends": may.further_free,
        "furtherRatio": may.further_share,
        "extraWindowUs": us(may.further_window_ms),
    }
    if not any(limit.values()):
        limit = {}
    settings = {
        "classes": [
            {
                "name": klass.name,
                "repeat": klass.repeat,
                "aimUs": us(klass.aim_ms),
                "deadlineUs": us(klass.deadline_ms),
                "worth": klass.worth,
                "lateWorth": klass.late_worth,
                "dedupScope": klass.dedup_scope,
                "dedupWindowUs": us(klass.dedup_window_ms),
            }
            for klass in file.classes
        ],
        "azs": list(file.zones),
        "skus": list(up.kinds),
        "zone": file.zones.index(side.zone),
        "me": side.number,
        "balancers": side.sidecars,
        "registryMode": "subscribe",
        "rules": {
            "askEveryUs": 10_000_000,
            "drainGraceUs": us(up.drain_grace_ms),
            "coldFrom": up.cold_from,
            "warmUpUs": us(up.warm_up_ms),
            "fallMultiple": up.fall_multiple,
            "overloadForUs": us(up.overload_ms),
            "goneIsAdvice": up.gone_is_advice,
            **limit,
        },
        "stats": {"how": "inline" if up.report_fields else "off", "fields": list(up.report_fields)},
        "allowed": {
            "maxAttempts": may.max_attempts,
            "parallelTries": may.second_copies,
            "mayCancel": may.cancel,
            "retryAfter": may.advice,
            "maxRetryAfterUs": us(may.max_advice_ms),
            "dialTimeoutUs": us(up.dial_timeout_ms),
            "keepaliveUs": us(up.keep_alive_ms),
        },
        "deductions": {"crossZone": up.price_cross_zone},
        "weights": up.weights,
        "customers": [{"name": tenant.name, "quotaRps": tenant.rate} for tenant in file.tenants],
        "overShareWorth": file.over_share_worth,
    }
    return {
        "name": side.name,
        "listen": side.listen,
        "discovery": side.discovery,
        "admin_addr": side.admin,
        "seed": side.seed,
        "limits": {"sockets": file.limits.sockets, "memory_mb": file.limits.memory_mb},
        "settings": settings,
        "storms": {"damp": file.storms.damp, "wholeSeconds": file.storms.whole_seconds},
    }


__all__ = ["FileError", "OperatorsFile", "platform", "read"]
