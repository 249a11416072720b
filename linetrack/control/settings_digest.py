"""A digest of all settings that decisions depend on.

Two processes of one sidecar compare their digests in a hot restart: if the digests are equal, the indices of
classes, zones and host classes have the same meaning in both.  As the two may be different builds, the
digested text is fixed: it uses the names of fields and enum members of the first build that sent a digest,
independent of their names in the code.  A setting that is added later must be left out of the text while it
has its default value.
"""

from __future__ import annotations

from enum import Enum

from linetrack.control.digest import hex_digest
from linetrack.policy.settings import (
    DeduplicationScope,
    Idempotency,
    LoadField,
    RequestClass,
    Settings,
)

DIGEST_BYTES = 16

# The names of fields and enum members in the digested text.
_CLASS_FIELDS = {
    "idempotency": "effect",
    "latency_objective": "aim",
    "timeout": "deadline",
    "latency_objective_stretch": "aim_stretch",
    "priority_weight": "worth",
    "late_weight": "late_worth",
    "deduplication_scope": "group",
    "deduplication_window": "window",
    "streams_response": "stream",
}

_SETTINGS_FIELDS = {
    "classes": "classes",
    "instance": "instance",
    "instance_count": "instances",
    "zone": "zone",
    "zone_count": "zones",
    "load_report_fields": "report_fields",
    "must_subscribe": "must_ask",
    "poll_interval": "ask_every",
    "drain_grace": "drain_grace",
    "slow_start_initial_fraction": "cold_from",
    "slow_start_duration": "warm_up",
    "overload_multiple": "fall_multiple",
    "overload_window": "overload_for",
    "may_cancel": "may_cancel",
    "may_send_health_checks": "may_probe",
    "may_run_parallel_attempts": "parallel",
    "may_send_retry_after": "retry_advice",
    "max_retry_after": "max_retry_after",
    "max_attempts": "max_attempts",
    "cross_zone_cost": "price_cross",
    "wasted_work_cost": "price_waste",
    "late_failure_cost": "price_late",
    "weighs_by_work": "worth_by_work",
    "goal_weight_of_total": "weight_whole",
    "goal_weight_of_worst_class": "weight_class",
    "tenant_quotas": "tenant_rates",
    "over_quota_weight": "over_share_worth",
    "has_affinity_keys": "warm_keys",
    "capacity_varies_with_load": "live_sizes",
    "max_streams_per_connection": "streams",
    "keep_alive_timeout": "keep_alive",
    "retry_window": "further_window",
    "retry_window_allowance": "further_free",
    "retry_window_ratio": "further_ratio",
    "removal_is_advisory": "gone_is_advice",
}

_ENUM_MEMBERS: dict[Enum, str] = {
    Idempotency.IDEMPOTENT: "<Effect.SAFE: 'safe'>",
    Idempotency.IDEMPOTENCY_KEY: "<Effect.KEYED: 'keyed'>",
    Idempotency.NON_IDEMPOTENT: "<Effect.UNSAFE: 'unsafe'>",
    DeduplicationScope.ALL: "<Group.ALL: 'all'>",
    DeduplicationScope.ZONE: "<Group.ZONE: 'zone'>",
    DeduplicationScope.CELL: "<Group.CELL: 'cell'>",
    LoadField.IN_FLIGHT: "<Load.INFLIGHT: 'inflight'>",
    LoadField.QUEUE_DEPTH: "<Load.QUEUE: 'queue'>",
    LoadField.UTILIZATION: "<Load.UTIL: 'util'>",
    LoadField.MEAN_LATENCY: "<Load.LATENCY_MS: 'latency_ms'>",
    LoadField.REQUEST_RATE: "<Load.RATE: 'rate'>",
    LoadField.ERROR_RATE: "<Load.ERROR_RATE: 'error_rate'>",
    LoadField.OTHER: "<Load.OTHER: 'other'>",
}


def settings_digest(
    settings: Settings,
    class_names: tuple[str, ...],
    zone_names: tuple[str, ...],
    host_class_names: tuple[str, ...],
    load_report_names: tuple[str, ...],
) -> str:
    """Return the digest of the settings and of the names behind their indices, in hexadecimal."""
    text = _text((settings, class_names, zone_names, host_class_names, load_report_names))
    return hex_digest(text.encode(), DIGEST_BYTES)


def _text(value: object) -> str:
    """Return the `repr` of a value as it was in the first build that sent a digest."""
    if isinstance(value, tuple):
        items = [_text(item) for item in value]
        return f"({items[0]},)" if len(items) == 1 else f"({', '.join(items)})"
    if isinstance(value, Settings):
        return f"Settings({_fields(value, _SETTINGS_FIELDS)})"
    if isinstance(value, RequestClass):
        return f"RequestClass({_fields(value, _CLASS_FIELDS)})"
    if isinstance(value, Enum):
        return _ENUM_MEMBERS[value]
    return repr(value)


def _fields(value: object, digested_names: dict[str, str]) -> str:
    return ", ".join(
        f"{digested_name}={_text(getattr(value, field))}" for field, digested_name in digested_names.items()
    )
