"""The settings object, nested and with the wire's names, to the decision module's `Settings`.

Used by both hosts.  Owns the names and defaults of every setting; must never know which host reads it.
Values may be typed (JSON) or text (the simulator's pairs).  Unknown keys are passed over.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import Any

from linetrack.policy.settings import DeduplicationScope, Idempotency, LoadField, RequestClass, Settings

EFFECTS = {
    "free": Idempotency.IDEMPOTENT,
    "guarded": Idempotency.IDEMPOTENCY_KEY,
    "single_shot": Idempotency.NON_IDEMPOTENT,
}
GROUPS = {"all": DeduplicationScope.ALL, "zone": DeduplicationScope.ZONE, "cell": DeduplicationScope.CELL}
LOADS = {
    "concurrent": LoadField.IN_FLIGHT,
    "depth": LoadField.QUEUE_DEPTH,
    "load_share": LoadField.UTILIZATION,
    "mean_ms": LoadField.MEAN_LATENCY,
    "tps": LoadField.REQUEST_RATE,
    "err_ps": LoadField.ERROR_RATE,
}
SIZES = {"off": False, "nominal": False, "rough": False, "live": True}  # whether they move with load
FLAGS = {"true": True, "1": True, "false": False, "0": False}


class SettingsError(Exception):
    """A setting that is missing or makes no sense; the message names its key."""


class Node:
    """One object of the settings, and the path that leads to it."""

    def __init__(self, value: Any, path: str) -> None:
        if not isinstance(value, Mapping):
            raise SettingsError(f"{path}: {value!r} is no object")
        self.values, self.path = value, path

    def at(self, name: str) -> str:
        return f"{self.path}.{name}" if self.path else name

    def part(self, name: str) -> Node:
        """A part that may be left out."""
        return Node(self.values.get(name) or {}, self.at(name))

    def parts(self, name: str) -> list[Node]:
        value = self.values.get(name) or []
        if not isinstance(value, list):
            raise SettingsError(f"{self.at(name)}: {value!r} is no list")
        return [Node(item, f"{self.at(name)}.{n}") for n, item in enumerate(value)]

    def names(self, name: str) -> list[str]:
        value = self.values.get(name) or []
        if isinstance(value, str):
            value = [part for part in value.split(",") if part]
        if not isinstance(value, list) or not all(isinstance(part, str) for part in value):
            raise SettingsError(f"{self.at(name)}: {value!r} is no list of names")
        return value

    def text(self, name: str, default: str) -> str:
        value = self.values.get(name, default)
        if not isinstance(value, str):
            raise SettingsError(f"{self.at(name)}: {value!r} is no text")
        return value

    def one_of(self, name: str, choices: dict[str, Any], default: str) -> Any:
        value = self.text(name, default)
        if value not in choices:
            raise SettingsError(f"{self.at(name)}: {value!r} is none of {', '.join(choices)}")
        return choices[value]

    def number(self, name: str, default: float | None = None) -> float:
        value = self.values.get(name, default)
        if value is None:
            raise SettingsError(f"{self.at(name)} is missing")
        try:
            number = float("nan") if isinstance(value, bool) else float(value)
        except (TypeError, ValueError, OverflowError):
            number = math.nan
        if not math.isfinite(number):
            raise SettingsError(f"{self.at(name)}: {value!r} is not a number")
        return number

    def whole(self, name: str, default: int | None = None) -> int:
        number = self.number(name, default)
        if number != int(number):
            raise SettingsError(f"{self.at(name)}: {self.values.get(name)!r} is not a whole number")
        return int(number)

    def least(self, name: str, least: float, default: float | None = None) -> float:
        """A number that is no less."""
        number = self.number(name, default)
        if number < least:
            raise SettingsError(f"{self.at(name)}: {number:g} is under {least:g}")
        return number

    def above(self, name: str, least: int, default: int | None = None) -> int:
        """A whole number that is no less."""
        number = self.whole(name, default)
        if number < least:
            raise SettingsError(f"{self.at(name)}: {number} is under {least}")
        return number

    def flag(self, name: str) -> bool:
        value = self.values.get(name, False)
        flag = FLAGS.get(str(value).lower())
        if flag is None:
            raise SettingsError(f"{self.at(name)}: {value!r} is not true or false")
        return flag


def _class(node: Node) -> RequestClass:
    deadline = node.above("deadlineUs", 1)
    return RequestClass(
        idempotency=node.one_of("repeat", EFFECTS, "single_shot"),
        latency_objective=node.above("aimUs", 1, deadline),
        timeout=deadline,
        latency_objective_stretch=node.number("aimStretch", 0.0),
        priority_weight=node.number("worth", 1.0),
        late_weight=node.number("lateWorth", 0.0),
        deduplication_scope=node.one_of("dedupScope", GROUPS, "all"),
        deduplication_window=node.whole("dedupWindowUs", 0),
        streams_response=node.flag("stream"),
    )


def read_settings(values: Mapping[str, Any], path: str = "") -> Settings:
    root = Node(values, path)
    classes = tuple(_class(node) for node in root.parts("classes"))
    if not classes:
        raise SettingsError(f"{root.at('classes')} is missing or empty")
    stats, rules, allowed = root.part("stats"), root.part("rules"), root.part("allowed")
    prices, goal = root.part("deductions"), root.part("goal")
    inline = stats.text("how", "off") != "off"
    limited = any(name in rules.values for name in ("freeResends", "furtherRatio", "extraWindowUs"))
    return Settings(
        classes=classes,
        instance=root.whole("me", 0),
        instance_count=root.above("balancers", 1, 1),
        zone=root.whole("zone", 0),
        zone_count=max(1, len(root.names("azs"))),
        load_report_fields=tuple(
            LOADS.get(f, LoadField.OTHER) for f in (stats.names("fields") if inline else [])
        ),
        must_subscribe=root.text("registryMode", "automatic") == "subscribe",
        poll_interval=rules.whole("askEveryUs", 0),
        drain_grace=rules.whole("drainGraceUs", 0),
        slow_start_initial_fraction=rules.number("coldFrom", 1.0),
        slow_start_duration=rules.whole("warmUpUs", 0),
        overload_multiple=rules.number("fallMultiple", 0.0),
        overload_window=rules.whole("overloadForUs", 0),
        may_cancel=allowed.flag("mayCancel"),
        may_send_health_checks=allowed.flag("mayProbe"),
        may_run_parallel_attempts=allowed.flag("parallelTries"),
        may_send_retry_after=allowed.flag("retryAfter"),
        max_retry_after=allowed.whole("maxRetryAfterUs", 0),
        max_attempts=allowed.above("maxAttempts", 1, 1),
        cross_zone_cost=prices.number("crossZone", 0.0),
        wasted_work_cost=prices.number("waste", 0.0),
        late_failure_cost=prices.number("lateFail", 0.0),
        weighs_by_work=root.text("worthBy", "request") == "work",
        goal_weight_of_total=goal.number("whole", 1.0),
        goal_weight_of_worst_class=goal.number("worstClass", 0.0),
        tenant_quotas=tuple(node.number("quotaRps", 0.0) for node in root.parts("customers")),
        over_quota_weight=root.number("overShareWorth", 1.0),
        has_affinity_keys=root.part("extra").flag("warmKeys"),
        capacity_varies_with_load=root.one_of("weights", SIZES, "off"),
        max_streams_per_connection=allowed.above("multiplex", 1, 1),
        keep_alive_timeout=allowed.above("keepaliveUs", 0, 0),
        # one of them said without the window would be a limit that never binds
        retry_window=rules.above("extraWindowUs", 1) if limited else 0,
        retry_window_allowance=rules.least("freeResends", 0.0, 0.0),
        retry_window_ratio=rules.least("furtherRatio", 0.0, 0.0),
        removal_is_advisory=rules.flag("goneIsAdvice"),
    )
