"""Hypothesis strategies for settings at the limits of what the platform's and the operators' file accept."""

from __future__ import annotations

from typing import Any

import msgspec
from hypothesis import strategies as st

from linetrack.config.operators import OperatorsFile, platform_form
from linetrack.policy.settings import Settings
from linetrack.settings import MAX_DURATION_US, MAX_NUMBER, read_settings

ratios = st.sampled_from([0.0, 1e-9, 0.1, 1.0, 3.0, MAX_NUMBER])
fractions = st.sampled_from([0.0, 1e-9, 0.2, 1.0])
durations = st.sampled_from([0, 1, 1000, 1_000_000, 10_000_000, MAX_DURATION_US])
positive_durations = durations.filter(bool)
booleans = st.booleans()
names = st.lists(st.sampled_from(["a", "b", "c"]), unique=True)

request_class = st.fixed_dictionaries(
    {"deadlineUs": positive_durations},
    optional={
        "repeat": st.sampled_from(["free", "guarded", "single_shot"]),
        "aimUs": positive_durations,
        "worth": ratios,
        "lateWorth": ratios,
        "dedupScope": st.sampled_from(["all", "zone", "cell"]),
        "dedupWindowUs": durations,
        "stream": booleans,
    },
)
rules = st.fixed_dictionaries(
    {},
    optional={
        "askEveryUs": durations,
        "drainGraceUs": durations,
        "coldFrom": fractions,
        "warmUpUs": durations,
        "fallMultiple": ratios,
        "overloadForUs": durations,
        "goneIsAdvice": booleans,
    },
)
no_retry_window: st.SearchStrategy[dict[str, Any]] = st.just({})
retry_window = no_retry_window | st.fixed_dictionaries(
    {"extraWindowUs": positive_durations}, optional={"freeResends": ratios, "furtherRatio": ratios}
)
allowed = st.fixed_dictionaries(
    {},
    optional={
        "mayCancel": booleans,
        "parallelTries": booleans,
        "retryAfter": booleans,
        "maxRetryAfterUs": durations,
        "maxAttempts": st.sampled_from([1, 2, 4, 2**31]),
        "multiplex": st.sampled_from([1, 2, 2**31]),
        "keepaliveUs": durations,
    },
)
load_report_names = ["concurrent", "depth", "load_share", "mean_ms", "tps", "err_ps", "unknown"]
platform_values = st.fixed_dictionaries(
    {"classes": st.lists(request_class, min_size=1, max_size=3)},
    optional={
        "rules": st.builds(lambda base, window: {**base, **window}, rules, retry_window),
        "allowed": allowed,
        "azs": names,
        "zone": st.sampled_from([0, 1, 3]),
        "me": st.sampled_from([0, 1, 229]),
        "balancers": st.sampled_from([1, 2, 230, 2**31]),
        "registryMode": st.sampled_from(["automatic", "subscribe"]),
        "stats": st.fixed_dictionaries(
            {"how": st.just("inline"), "fields": st.lists(st.sampled_from(load_report_names), unique=True)}
        ),
        "deductions": st.fixed_dictionaries(
            {}, optional={"crossZone": ratios, "waste": ratios, "lateFail": ratios}
        ),
        "goal": st.fixed_dictionaries({}, optional={"whole": ratios, "worstClass": fractions}),
        "worthBy": st.sampled_from(["request", "work"]),
        "customers": st.lists(st.fixed_dictionaries({}, optional={"quotaRps": ratios}), max_size=2),
        "overShareWorth": fractions,
        "extra": st.fixed_dictionaries({}, optional={"warmKeys": booleans}),
        "weights": st.sampled_from(["off", "nominal", "rough", "live"]),
    },
)


milliseconds = st.sampled_from([0.0, 1e-9, 1.0, 1000.0, 10_000.0, MAX_DURATION_US / 1000])
operators_class = st.fixed_dictionaries(
    {
        "name": st.just("only"),
        "aim_ms": st.sampled_from([0.001, 1.0]),
        "deadline_ms": st.sampled_from([1.0, 2000.0]),
    },
    optional={"repeat": st.sampled_from(["free", "guarded", "single_shot"]), "dedup_window_ms": milliseconds},
)
operators_upstreams = st.fixed_dictionaries(
    {},
    optional={
        "cold_from": fractions,
        "warm_up_ms": milliseconds,
        "fall_multiple": ratios,
        "overload_ms": milliseconds,
        "drain_grace_ms": milliseconds,
        "weights": st.sampled_from(["off", "nominal", "rough", "live"]),
        "report_fields": st.lists(st.sampled_from(load_report_names), unique=True),
    },
)
operators_values = st.fixed_dictionaries(
    {
        "version": st.just(1),
        "sidecar": st.just({"name": "n", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "zone": "a"}),
        "zones": st.sampled_from([["a"], ["b", "a"]]),
        "classes": st.lists(operators_class, min_size=1, max_size=1),
    },
    optional={
        "upstreams": operators_upstreams,
        "retries": st.fixed_dictionaries(
            {}, optional={"max_attempts": st.just(1), "second_copies": booleans}
        ),
    },
)


@st.composite
def policy_settings(draw: st.DrawFn) -> Settings:
    """Draw the settings that are read from a platform's file or from an operators' file."""
    if draw(st.booleans()):
        return read_settings(draw(platform_values))
    file = msgspec.convert(draw(operators_values), OperatorsFile)
    return read_settings(platform_form(file)["settings"])
