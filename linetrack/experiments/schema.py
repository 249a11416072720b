"""An experiment file (YAML, version 1): topology, load, faults, and the bounds that it must hold.

The only module that knows its keys and checks, and the names of all metrics.
"""

from __future__ import annotations

import operator
import re
from dataclasses import dataclass
from enum import Enum
from pathlib import Path
from typing import Annotated, Any, Literal

import yaml
from msgspec import Meta, field

from linetrack.config.check import FileError, Table, convert, read_text
from linetrack.config.operators import (
    Fraction,
    Limits,
    Name,
    NotNegative,
    OverloadControl,
    Positive,
    Retries,
)
from linetrack.emulator.schema import Fault, Fleet, RequestClass
from linetrack.emulator.timeline import FaultError, timeline
from linetrack.load.schema import Load

#: Every metric that a run gives, and what it means.
METRICS = {
    "requests": "clients' requests, retries not counted",
    "in_time": "share of requests served within their class's latency objective, from the scheduled time",
    "served": "share of requests served at all, retries included",
    "worth": "priority weight served in time over that offered",
    "goal": "priority weight in time over the run, its worst window and worst class, less costs (`goal`)",
    "refused": "share of requests and retries rejected (429 or 503)",
    "failed": "share of requests and retries that failed otherwise",
    "p50_ms": "median latency of served requests from their scheduled time",
    "p99_ms": "99th percentile of the same",
    "p999_ms": "99.9th percentile of the same",
    "mean_ms": "mean of the same",
    "sent_p50_ms": "median latency from when the request was sent",
    "sent_p99_ms": "99th percentile of the same",
    "sent_p999_ms": "99.9th percentile of the same",
    "sent_mean_ms": "mean of the same",
    "attempts": "attempts at upstreams for each request or retry of a client",
    "crossings": "share of attempts that went to another zone than the sidecar's",
    "dialled": "connections that clients opened for each request or retry",
    "cpu_us": "microseconds of CPU of the sidecars for each request or retry",
    "memory_mb": "most resident memory of a sidecar",
    "discovery_calls": "calls to discovery a second, over all sidecars",
    "uneven": "most attempts at one upstream over the mean, by capacity",
    "recovers_s": "seconds after the last fault's end until a second is served as before the first",
    "disagrees": "largest relative difference of mean, p50, p99 from the queue model's (direct runs)",
    "disagrees_p999": "the same of p99.9, which rests on few requests",
    "late": "share of sends that left late",
    "lost": "requests lost: cut off, or without a response before the client gave up",
    "twice": "requests executed twice that must not be",
    "drained": "attempts at an upstream known as draining or removed, after the grace",
    "pushed_over": "upstreams that crashed in slow start",
    "too_many": "requests with more attempts than allowed",
    "wrong": "responses that belong to another request",
    "begun_late": "attempts that began over 0.1 s after their client had closed its connection",
    "crashed": "sidecars that ended on their own",
}

_BOUND = re.compile(r"^\s*(<=|>=|==|<|>)\s*(-?[0-9.]+(?:e-?[0-9]+)?)\s*(%?)\s*$")
_COMPARISONS = {
    "<=": operator.le,
    ">=": operator.ge,
    "==": operator.eq,
    "<": operator.lt,
    ">": operator.gt,
}


@dataclass(frozen=True, slots=True)
class Bound:
    """A bound on a metric, such as `>= 0.95`, `== 0` or `<= 5 %`."""

    comparison: str
    value: float

    @staticmethod
    def parse(text: str) -> Bound:
        """The bound that a text means.

        Raises:
            ValueError: it means none.
        """
        match = _BOUND.match(text)
        if match is None:
            raise ValueError(f"expected a bound such as '>= 0.95', not {text!r}")
        return Bound(match[1], float(match[2]) / (100 if match[3] else 1))

    def holds(self, value: float) -> bool:
        """Whether a value is within the bound."""
        return bool(_COMPARISONS[self.comparison](value, self.value))

    def __str__(self) -> str:
        return f"{self.comparison} {self.value:g}"


class PolicyName(Enum):
    """The policies that sidecars can run, by the file's words."""

    LINETRACK = "linetrack"
    RANDOM = "random"
    ROUND_ROBIN = "round_robin"
    LEAST_REQUESTS = "least_requests"


class Omission(Enum):
    """What an arm is run without, by the file's words."""

    FAULTS = "faults"
    RETRIES = "retries"
    OVERLOAD_CONTROL = "storms"


class Sidecars(
    Table,
    frozen=True,
    kw_only=True,
    rename={"overload_control": "storms", "cross_zone_cost": "price_cross_zone"},
):
    """The sidecars, one for each entry of `zones`."""

    zones: Annotated[tuple[Name, ...], Meta(min_length=1)] = ("north", "south")
    limits: Limits = Limits(sockets=512, memory_mb=128)
    retries: Retries = Retries()
    overload_control: OverloadControl = OverloadControl()
    policy: PolicyName = PolicyName.LINETRACK
    build: str = ""  # the folder of an earlier build, instead of this one
    drain_grace_ms: Positive = 1000.0
    cross_zone_cost: NotNegative = 0.1


class Comparison(Table, frozen=True, kw_only=True):
    """What the same experiment is run with once more, and bounds on the differences (this less that one)."""

    name: Name
    policy: PolicyName = PolicyName.LINETRACK
    build: str = ""
    without: tuple[Omission, ...] = ()
    expect: dict[str, str] = field(default_factory=dict)


class Goal(
    Table,
    frozen=True,
    kw_only=True,
    rename={
        "weight_of_total": "whole",
        "weight_of_worst_window": "worst_window",
        "weight_of_worst_class": "worst_class",
        "cross_zone_cost": "cross_zone",
        "wasted_work_cost": "waste",
    },
):
    """One metric for a whole day: weighted shares of priority weight served in time, less costs."""

    weight_of_total: Fraction = 0.7
    weight_of_worst_window: Fraction = 0.2
    weight_of_worst_class: Fraction = 0.1
    window_s: Annotated[int, Meta(ge=1)] = 10
    cross_zone_cost: NotNegative = 0.0  # for each request of which an attempt went to another zone
    wasted_work_cost: NotNegative = 0.0  # for each attempt beyond a request's first


class Experiment(Table, frozen=True, kw_only=True, rename={"comparisons": "against"}):
    """One question, and how its answer is judged."""

    version: Literal[1]
    name: Name
    question: Annotated[str, Meta(min_length=1)]
    length_s: Annotated[float, Meta(gt=0, le=7200)] = 10.0
    warm_s: NotNegative = 1.0  # at the beginning, which metrics leave out
    seeds: Annotated[tuple[int, ...], Meta(min_length=1)] = (1,)
    sidecars: Sidecars = Sidecars()
    direct: bool = False  # load goes to the upstreams themselves, with no sidecar between
    fleet: Fleet = Fleet()
    classes: Annotated[tuple[RequestClass, ...], Meta(min_length=1)] = (RequestClass(name="lookup"),)
    load: Load
    faults: tuple[Fault, ...] = ()
    goal: Goal = Goal()
    expect: Annotated[dict[str, str], Meta(min_length=1)]
    comparisons: tuple[Comparison, ...] = ()

    def __post_init__(self) -> None:
        """Check the tables against one another."""
        for bounds in (self.expect, *(comparison.expect for comparison in self.comparisons)):
            for metric, text in bounds.items():
                if metric not in METRICS:
                    raise ValueError(f"expected one of the figures for {metric!r}: {', '.join(METRICS)}")
                Bound.parse(text)
        if self.warm_s >= self.length_s:
            raise ValueError("expected warm_s to be less than length_s")
        for zone in self.sidecars.zones:
            if zone not in self.fleet.zones:
                expected = ", ".join(self.fleet.zones)
                raise ValueError(f"expected zone {zone!r} of sidecars to be one of {expected}")
        for index, fault in enumerate(self.faults):
            if fault.at_s > self.length_s:
                raise ValueError(f"expected faults[{index}].at_s to lie within length_s")


def read_experiment(path: Path, overrides: tuple[str, ...] = ()) -> Experiment:
    """The file, with overrides of the form `path=value` applied to it.

    Raises:
        FileError: it cannot be read, or a value is missing or invalid.
    """
    values = _load_yaml(path)
    for override in overrides:
        _apply(override, values)
    experiment = convert(values, Experiment, path)
    try:
        timeline(experiment.fleet, experiment.faults, experiment.seeds[0])
    except FaultError as error:
        raise FileError(path, error.reason, key=error.key) from None
    return experiment


def _load_yaml(path: Path) -> Any:
    try:
        return yaml.safe_load(read_text(path))
    except yaml.YAMLError as error:
        mark = getattr(error, "problem_mark", None)
        position = f":{mark.line + 1}:{mark.column + 1}" if mark else ""
        raise FileError(f"{path}{position}", str(getattr(error, "problem", error))) from None


def _apply(override: str, values: Any) -> None:
    """Set one value of the file."""
    path, sign, value = override.partition("=")
    source = f"--set {override}"
    if not sign:
        raise FileError(source, "expected path=value")
    *parents, last = path.split(".")
    node = values
    try:
        for name in parents:
            node = node[int(name)] if isinstance(node, list) else node.setdefault(name, {})
        if isinstance(node, list):
            node[int(last)] = yaml.safe_load(value)
        else:
            node[last] = yaml.safe_load(value)
    except (IndexError, ValueError, TypeError, AttributeError, yaml.YAMLError):
        raise FileError(source, "there is no such place") from None
