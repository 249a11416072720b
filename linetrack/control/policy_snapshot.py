"""What the policy has learnt, as plain values that another process of the same version can take over.

Owns which figures go over, and their check: values that make no sense change nothing.  Must never decide, nor
carry what only holds in one process: requests, attempts, connections, chance, or a budget saved up.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Mapping
from typing import Any

from linetrack.policy.decaying_average import Evidence
from linetrack.policy.records import Upstream
from linetrack.policy.balancer import Balancer

VERSION = 1
FIGURES = ("calm", "mean_pace", "busy", "holds", "working", "rest", "rest_at", "heard_at", "usual_errors")
COUNTS = ("answers",)
SINGLE = ("work", "late", "refused")  # evidence
OF_PLACES = ("zones", "kinds", "rates")  # evidence by number
LEVELS = ("others", "nominal")  # figures by number
OF_CLASSES = ("asked", "served", "shed", "patience")
LEDGER = ("further", "taken")  # times, in order, as of the window that limits further attempts
UPSTREAM = ("others", "errors", "faults", "heard_at", "load_at", "answered", "credit", "credit_at")


def take(policy: Balancer) -> dict[str, Any]:
    """All of it, ready for JSON."""
    return {
        "version": VERSION,
        **{name: getattr(policy, name) for name in (*FIGURES, *COUNTS, *LEVELS, *OF_CLASSES)},
        **{name: _told(getattr(policy, name)) for name in SINGLE},
        **{name: {n: _told(e) for n, e in getattr(policy, name).items()} for name in OF_PLACES},
        "sizes": [_told(evidence) for evidence in policy.sizes],
        "mean_worth": policy.mean_worth,
        **{name: list(getattr(policy.ledger, name)) for name in LEDGER},
        "window": policy.s.retry_window,
        "upstreams": {name: _upstream(upstream) for name, upstream in policy.fleet.items()},
    }


def restore(
    policy: Balancer, values: Mapping[str, Any], now: int, same_classes: bool, same_places: bool
) -> bool:
    """Whether a policy at its start, which has the list, has taken these values over; else it is as it was.

    What stands by numbers of classes or places is passed over where these mean something else here.
    """
    sets: list[tuple[object, str, Any]] = []
    try:
        if values["version"] != VERSION:
            return False
        sets += [(policy, name, _figure(values[name], now)) for name in FIGURES]
        sets += [(policy, name, int(values[name])) for name in COUNTS]
        sets += [(policy, name, _evidence(values[name], now)) for name in SINGLE]
        if same_classes:
            for name in OF_CLASSES:
                if len(values[name]) != len(policy.s.classes):
                    return False
                sets.append((policy, name, [_figure(value, now) for value in values[name]]))
            if len(values["sizes"]) != len(policy.s.classes):
                return False
            sets.append((policy, "sizes", [_evidence(value, now) for value in values["sizes"]]))
            sets.append((policy, "mean_worth", _figure(values["mean_worth"], now)))
        if policy.s.retry_window > int(values["window"]):  # more was sent in it than was kept count of
            sets.append((policy.ledger, "closed", now + policy.s.retry_window))
        for name in LEDGER:
            sets.append((policy.ledger, name, deque(sorted(min(now, int(at)) for at in values[name]))))
        places: dict[str, dict[int, Any]] = {}
        if same_places:
            for name in OF_PLACES:
                places[name] = {int(n): _evidence(value, now) for n, value in values[name].items()}
            for name in LEVELS:
                places[name] = {int(n): _figure(value, now) for n, value in values[name].items()}
        for name, told in values["upstreams"].items():
            if (upstream := policy.fleet.get(name)) is not None:
                sets += _of_upstream(upstream, told, now, same_classes)
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError, IndexError):
        return False
    for owner, name, value in sets:
        setattr(owner, name, value)
    for name, table in places.items():
        getattr(policy, name).update(table)
    policy.calm = min(policy.calm, policy.calm_most)
    return True


def _told(evidence: Evidence) -> list[float]:
    return [evidence.value, evidence.weight, evidence.at]


def _upstream(upstream: Upstream) -> dict[str, Any]:
    return {
        **{name: getattr(upstream, name) for name in UPSTREAM},
        "started": upstream.listed_start,
        "pace": _told(upstream.pace),
        "cold_sent": upstream.cold_sent,
        "own": [[klass, *own] for klass, own in upstream.own.items()],
        "spells": [[klass, *spell] for klass, spell in upstream.spells.items()],
    }


def _of_upstream(
    upstream: Upstream, told: Mapping[str, Any], now: int, same_classes: bool
) -> list[tuple[object, str, Any]]:
    if told["started"] != upstream.listed_start:
        return []  # another process: nothing learnt before holds
    sets: list[tuple[object, str, Any]] = [(upstream, name, _figure(told[name], now)) for name in UPSTREAM]
    sets.append((upstream, "pace", _evidence(told["pace"], now)))
    sets.append((upstream, "cold_sent", [min(now, int(at)) for at in told["cold_sent"]]))
    if same_classes:
        sets.append(
            (upstream, "own", {int(c): (float(share), min(now, int(at))) for c, share, at in told["own"]})
        )
        spells = {int(c): (int(length), int(until)) for c, length, until in told["spells"]}
        sets.append(
            (upstream, "spells", {c: (long, min(until, now + long)) for c, (long, until) in spells.items()})
        )
    return sets


def _figure(value: Any, now: int) -> float:
    """A figure, or a moment, which is not to lie ahead: the clocks of two processes may differ a little."""
    if isinstance(value, bool) or not isinstance(value, int | float) or math.isnan(value):
        raise ValueError(f"{value!r} is no figure")
    return min(value, now) if isinstance(value, int) else value


def _evidence(value: Any, now: int) -> Evidence:
    evidence = Evidence()
    mean, weight, at = value
    evidence.value, evidence.weight, evidence.at = float(mean), float(weight), min(now, int(at))
    if math.isnan(evidence.value) or not evidence.weight >= 0:
        raise ValueError(f"{value!r} is no evidence")
    return evidence
