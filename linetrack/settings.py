"""Reads the platform's nested settings object into the policy's `Settings`.

This is the only module that knows the names and defaults of the policy's settings.  Both hosts use it: the
sidecar with typed values (JSON), the simulator's adapter with text values.  Unknown keys are ignored.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import replace
from typing import Any

from linetrack.errors import LinetrackError
from linetrack.policy.settings import DeduplicationScope, Idempotency, LoadField, RequestClass, Settings

IDEMPOTENCY_BY_NAME = {
    "free": Idempotency.IDEMPOTENT,
    "guarded": Idempotency.IDEMPOTENCY_KEY,
    "single_shot": Idempotency.NON_IDEMPOTENT,
}
DEDUPLICATION_SCOPE_BY_NAME = {
    "all": DeduplicationScope.ALL,
    "zone": DeduplicationScope.ZONE,
    "cell": DeduplicationScope.CELL,
}
LOAD_FIELD_BY_NAME = {
    "concurrent": LoadField.IN_FLIGHT,
    "depth": LoadField.QUEUE_DEPTH,
    "load_share": LoadField.UTILIZATION,
    "mean_ms": LoadField.MEAN_LATENCY,
    "tps": LoadField.REQUEST_RATE,
    "err_ps": LoadField.ERROR_RATE,
}
#: Whether the listed capacities vary with load, by value of `weights`.
CAPACITY_VARIES_BY_NAME = {"off": False, "nominal": False, "rough": False, "live": True}
#: Larger values are not plausible, and their sums and powers could overflow.
MAX_NUMBER = 1e30
MAX_DURATION_US = 366 * 24 * 3600 * 1_000_000
BOOLEAN_BY_TEXT = {"true": True, "1": True, "false": False, "0": False}
#: Keys of `rules` that limit retries; if any of them is present, `extraWindowUs` is required.
RETRY_WINDOW_KEYS = ("freeResends", "furtherRatio", "extraWindowUs")


def describe_invalid_key(key: str, reason: str, value: str | None) -> str:
    """Return the message about an invalid key; `value` is None if the key is missing."""
    return f"{key} {reason}" if value is None else f"{key}: {value} {reason}"


class SettingsError(LinetrackError):
    """A setting is missing or invalid.

    Attributes:
        key: the full path of the setting.
        reason: what is wrong with it.
        value: the value as shown to the operator; None if it is missing.
    """

    def __init__(self, key: str, reason: str, value: str | None = None) -> None:
        self.key = key
        self.reason = reason
        self.value = value
        super().__init__(describe_invalid_key(key, reason, value))


class SettingsNode:
    """One object within the settings, with its path.

    Every method that reads a value raises a `SettingsError` with the full path of the key if it is invalid.
    """

    def __init__(self, values: Any, path: str) -> None:
        if not isinstance(values, Mapping):
            raise SettingsError(path, "is not an object", repr(values))
        self.values = values
        self.path = path

    def path_of(self, name: str) -> str:
        """Return the full path of a key of this object."""
        return f"{self.path}.{name}" if self.path else name

    def _error(self, name: str, reason: str, value: Any) -> SettingsError:
        return SettingsError(self.path_of(name), reason, repr(value))

    def child(self, name: str) -> SettingsNode:
        """Return the object under this key, or an empty one if the key is missing."""
        return SettingsNode(self.values.get(name) or {}, self.path_of(name))

    def children(self, name: str) -> list[SettingsNode]:
        """Return the objects of the list under this key, or no objects if the key is missing."""
        value = self.values.get(name) or []
        if not isinstance(value, list):
            raise self._error(name, "is not a list", value)
        return [SettingsNode(item, f"{self.path_of(name)}.{index}") for index, item in enumerate(value)]

    def names(self, name: str) -> list[str]:
        """Return a list of names, given as a list or as text separated by commas; empty if it is missing."""
        value = self.values.get(name) or []
        if isinstance(value, str):
            value = [part for part in value.split(",") if part]
        if not isinstance(value, list) or not all(isinstance(part, str) for part in value):
            raise self._error(name, "is not a list of names", value)
        return value

    def text(self, name: str, default: str) -> str:
        """Return the text under this key."""
        value = self.values.get(name, default)
        if not isinstance(value, str):
            raise self._error(name, "is not a string", value)
        return value

    def one_of(self, name: str, choices: Mapping[str, Any], default: str) -> Any:
        """Return what `choices` maps the text under this key to."""
        value = self.text(name, default)
        if value not in choices:
            raise self._error(name, f"is not one of {', '.join(choices)}", value)
        return choices[value]

    def number(self, name: str, default: float | None = None) -> float:
        """Return a finite number, which is required if there is no default."""
        value = self.values.get(name, default)
        if value is None:
            raise SettingsError(self.path_of(name), "is missing")
        try:
            number = math.nan if isinstance(value, bool) else float(value)
        except (TypeError, ValueError, OverflowError):
            number = math.nan
        if not math.isfinite(number):
            raise self._error(name, "is not a number", value)
        return number

    def duration(self, name: str, minimum: int, default: int | None = None) -> int:
        """Return a time in microseconds, up to `MAX_DURATION_US`; it is required if there is no default."""
        number = self.integer_at_least(name, minimum, default)
        if number > MAX_DURATION_US:
            raise SettingsError(self.path_of(name), f"is over {MAX_DURATION_US}", str(number))
        return number

    def integer(self, name: str, default: int | None = None) -> int:
        """Return a whole number, which is required if there is no default."""
        number = self.number(name, default)
        if number != int(number):
            raise self._error(name, "is not a whole number", self.values.get(name))
        return int(number)

    def number_at_least(self, name: str, minimum: float, default: float | None = None) -> float:
        """Return a number between the minimum and `MAX_NUMBER`."""
        number = self.number(name, default)
        if number < minimum:
            raise SettingsError(self.path_of(name), f"is under {minimum:g}", f"{number:g}")
        if number > MAX_NUMBER:
            raise SettingsError(self.path_of(name), f"is over {MAX_NUMBER:g}", f"{number:g}")
        return number

    def integer_at_least(self, name: str, minimum: int, default: int | None = None) -> int:
        """Return a whole number that is not below the minimum."""
        number = self.integer(name, default)
        if number < minimum:
            raise SettingsError(self.path_of(name), f"is under {minimum}", str(number))
        return number

    def boolean(self, name: str) -> bool:
        """Return a boolean, given as such or as text; False if it is missing."""
        value = self.values.get(name, False)
        boolean = BOOLEAN_BY_TEXT.get(str(value).lower())
        if boolean is None:
            raise self._error(name, "is not true or false", value)
        return boolean


def read_settings(values: Mapping[str, Any], path: str = "") -> Settings:
    """Return the policy's settings.

    Args:
        values: the settings object of the platform.
        path: the object's path in its file, for error messages.

    Raises:
        SettingsError: a setting is missing or invalid.
    """
    root = SettingsNode(values, path)
    settings = Settings(classes=_read_classes(root))
    load_reports = root.child("stats")
    rules = root.child("rules")
    allowed = root.child("allowed")
    costs = root.child("deductions")
    goal = root.child("goal")
    settings = _with_deployment(settings, root, load_reports)
    settings = _with_endpoint_rules(settings, rules)
    settings = _with_permissions(settings, allowed)
    settings = _with_goal(settings, root, costs, goal)
    settings = _with_capacity(settings, root)
    settings = _with_connections(settings, allowed)
    return _with_retry_window(settings, rules)


def _read_classes(root: SettingsNode) -> tuple[RequestClass, ...]:
    classes = tuple(_read_class(node) for node in root.children("classes"))
    if not classes:
        raise SettingsError(root.path_of("classes"), "is missing or empty")
    return classes


def _read_class(node: SettingsNode) -> RequestClass:
    timeout = node.duration("deadlineUs", 1)
    return RequestClass(
        idempotency=node.one_of("repeat", IDEMPOTENCY_BY_NAME, "single_shot"),
        latency_objective=node.duration("aimUs", 1, timeout),
        timeout=timeout,
        latency_objective_stretch=node.number("aimStretch", 0.0),
        priority_weight=node.number_at_least("worth", 0.0, 1.0),
        late_weight=node.number_at_least("lateWorth", 0.0, 0.0),
        deduplication_scope=node.one_of("dedupScope", DEDUPLICATION_SCOPE_BY_NAME, "all"),
        deduplication_window=node.duration("dedupWindowUs", 0, 0),
        streams_response=node.boolean("stream"),
    )


def _with_deployment(settings: Settings, root: SettingsNode, load_reports: SettingsNode) -> Settings:
    """Read this instance's place in the deployment, and the reports and list updates that it receives."""
    reports_inline = load_reports.text("how", "off") != "off"
    return replace(
        settings,
        instance=root.integer("me", 0),
        instance_count=root.integer_at_least("balancers", 1, 1),
        zone=root.integer("zone", 0),
        zone_count=max(1, len(root.names("azs"))),
        load_report_fields=_load_fields(load_reports) if reports_inline else (),
        must_subscribe=root.text("registryMode", "automatic") == "subscribe",
    )


def _load_fields(load_reports: SettingsNode) -> tuple[LoadField, ...]:
    return tuple(LOAD_FIELD_BY_NAME.get(name, LoadField.OTHER) for name in load_reports.names("fields"))


def _with_endpoint_rules(settings: Settings, rules: SettingsNode) -> Settings:
    """Read the rules for draining, slow start and overload of endpoints."""
    return replace(
        settings,
        poll_interval=rules.duration("askEveryUs", 0, 0),
        drain_grace=rules.duration("drainGraceUs", 0, 0),
        slow_start_initial_fraction=rules.number_at_least("coldFrom", 0.0, 1.0),
        slow_start_duration=rules.duration("warmUpUs", 0, 0),
        overload_multiple=rules.number_at_least("fallMultiple", 0.0, 0.0),
        overload_window=rules.duration("overloadForUs", 0, 0),
    )


def _with_permissions(settings: Settings, allowed: SettingsNode) -> Settings:
    """Read which optional actions an instance may take, and the limit of its attempts."""
    return replace(
        settings,
        may_cancel=allowed.boolean("mayCancel"),
        may_send_health_checks=allowed.boolean("mayProbe"),
        may_run_parallel_attempts=allowed.boolean("parallelTries"),
        may_send_retry_after=allowed.boolean("retryAfter"),
        max_retry_after=allowed.duration("maxRetryAfterUs", 0, 0),
        max_attempts=allowed.integer_at_least("maxAttempts", 1, 1),
    )


def _with_goal(settings: Settings, root: SettingsNode, costs: SettingsNode, goal: SettingsNode) -> Settings:
    """Read the weights and costs of the deployment's score."""
    return replace(
        settings,
        cross_zone_cost=costs.number_at_least("crossZone", 0.0, 0.0),
        wasted_work_cost=costs.number_at_least("waste", 0.0, 0.0),
        late_failure_cost=costs.number_at_least("lateFail", 0.0, 0.0),
        weighs_by_work=root.text("worthBy", "request") == "work",
        goal_weight_of_total=goal.number("whole", 1.0),
        goal_weight_of_worst_class=goal.number("worstClass", 0.0),
        tenant_quotas=tuple(
            tenant.number_at_least("quotaRps", 0.0, 0.0) for tenant in root.children("customers")
        ),
        over_quota_weight=root.number_at_least("overShareWorth", 0.0, 1.0),
    )


def _with_capacity(settings: Settings, root: SettingsNode) -> Settings:
    """Read what is known of the endpoints' capacity."""
    return replace(
        settings,
        has_affinity_keys=root.child("extra").boolean("warmKeys"),
        capacity_varies_with_load=root.one_of("weights", CAPACITY_VARIES_BY_NAME, "off"),
    )


def _with_connections(settings: Settings, allowed: SettingsNode) -> Settings:
    """Read the limits of connections to endpoints."""
    return replace(
        settings,
        max_streams_per_connection=allowed.integer_at_least("multiplex", 1, 1),
        keep_alive_timeout=allowed.duration("keepaliveUs", 0, 0),
    )


def _with_retry_window(settings: Settings, rules: SettingsNode) -> Settings:
    """Read the limit on retries over a sliding window, and whether a removal is advisory."""
    # without a window, an allowance or ratio would limit nothing
    is_limited = any(key in rules.values for key in RETRY_WINDOW_KEYS)
    return replace(
        settings,
        retry_window=rules.duration("extraWindowUs", 1) if is_limited else 0,
        retry_window_allowance=rules.number_at_least("freeResends", 0.0, 0.0),
        retry_window_ratio=rules.number_at_least("furtherRatio", 0.0, 0.0),
        removal_is_advisory=rules.boolean("goneIsAdvice"),
    )
