"""The settings pairs of the wire to the decision module's settings."""

from __future__ import annotations

from linetrack import interface as i
from linetrack.simhost.wire import Fields, WireError, number, whole

EFFECTS = {"free": i.Effect.SAFE, "guarded": i.Effect.KEYED, "single_shot": i.Effect.UNSAFE}
GROUPS = {"all": i.Group.ALL, "zone": i.Group.ZONE, "cell": i.Group.CELL}
LOADS = {
    "concurrent": i.Load.INFLIGHT,
    "depth": i.Load.QUEUE,
    "load_share": i.Load.UTIL,
    "mean_ms": i.Load.LATENCY_MS,
    "tps": i.Load.RATE,
    "err_ps": i.Load.ERROR_RATE,
}


def _flag(pairs: Fields, name: str, default: bool = False) -> bool:
    value = pairs.get(name, "true" if default else "false")
    if value not in ("true", "false", "1", "0"):
        raise WireError(f"{name}={value!r} is not true or false")
    return value in ("true", "1")


def _list(pairs: Fields, name: str) -> list[str]:
    return [part for part in pairs.get(name, "").split(",") if part]


def _class(pairs: Fields, at: str) -> i.RequestClass:
    effect = pairs.get(at + "repeat", "single_shot")
    group = pairs.get(at + "dedupScope", "all")
    if effect not in EFFECTS or group not in GROUPS:
        raise WireError(f"{at}: repeat={effect!r} dedupScope={group!r} is not known")
    deadline = whole(pairs, at + "deadlineUs")
    return i.RequestClass(
        effect=EFFECTS[effect],
        aim=whole(pairs, at + "aimUs", deadline),
        deadline=deadline,
        aim_stretch=number(pairs, at + "aimStretch", 0.0),
        worth=number(pairs, at + "worth", 1.0),
        late_worth=number(pairs, at + "lateWorth", 0.0),
        group=GROUPS[group],
        window=whole(pairs, at + "dedupWindowUs", 0),
        stream=_flag(pairs, at + "stream"),
    )


def read_settings(pairs: Fields) -> i.Settings:
    """Settings from path=value pairs; unknown paths are passed over."""
    inline = pairs.get("stats.how", "off") != "off"
    tenants = whole(pairs, "customers.count", 0)
    return i.Settings(
        classes=tuple(_class(pairs, f"classes.{n}.") for n in range(whole(pairs, "classes.count"))),
        instance=whole(pairs, "me", 0),
        instances=max(1, whole(pairs, "balancers", 1)),
        zone=whole(pairs, "zone", 0),
        zones=max(1, len(_list(pairs, "azs"))),
        report_fields=tuple(
            LOADS.get(f, i.Load.OTHER) for f in (_list(pairs, "stats.fields") if inline else ())
        ),
        must_ask=pairs.get("registryMode", "automatic") == "subscribe",
        ask_every=whole(pairs, "rules.askEveryUs", 0),
        drain_grace=whole(pairs, "rules.drainGraceUs", 0),
        cold_from=number(pairs, "rules.coldFrom", 1.0),
        warm_up=whole(pairs, "rules.warmUpUs", 0),
        fall_multiple=number(pairs, "rules.fallMultiple", 0.0),
        overload_for=whole(pairs, "rules.overloadForUs", 0),
        may_cancel=_flag(pairs, "allowed.mayCancel"),
        may_probe=_flag(pairs, "allowed.mayProbe"),
        parallel=_flag(pairs, "allowed.parallelTries"),
        retry_advice=_flag(pairs, "allowed.retryAfter"),
        max_retry_after=whole(pairs, "allowed.maxRetryAfterUs", 0),
        max_attempts=max(1, whole(pairs, "allowed.maxAttempts", 1)),
        price_cross=number(pairs, "deductions.crossZone", 0.0),
        price_waste=number(pairs, "deductions.waste", 0.0),
        price_late=number(pairs, "deductions.lateFail", 0.0),
        worth_by_work=pairs.get("worthBy") == "work",
        weight_whole=number(pairs, "goal.whole", 1.0),
        weight_class=number(pairs, "goal.worstClass", 0.0),
        tenant_rates=tuple(number(pairs, f"customers.{n}.quotaRps", 0.0) for n in range(tenants)),
        over_share_worth=number(pairs, "overShareWorth", 1.0),
        warm_keys=_flag(pairs, "extra.warmKeys"),
    )
