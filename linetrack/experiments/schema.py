"""The experiment file (YAML, version 1): topology, load, faults, and the bounds that the metrics must meet.

This module alone defines its keys and checks, and the names of all metrics.
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

#: The metrics of a run, by name, and their descriptions.
METRICS = {
    "requests": "client requests, not counting retries",
    "in_time": "share of requests served within their class's latency objective, from the scheduled time",
    "served": "share of requests served at all, retries included",
    "worth": "priority weight served in time relative to the offered weight",
    "goal": "priority weight served in time (whole run, worst window, worst class), less costs (`goal`)",
    "refused": "share of requests and retries that were rejected (429 or 503)",
    "failed": "share of requests and retries that failed in another way",
    "p50_ms": "median latency of served requests from their scheduled time",
    "p99_ms": "99th percentile of latency from the scheduled time",
    "p999_ms": "99.9th percentile of latency from the scheduled time",
    "mean_ms": "mean latency from the scheduled time",
    "sent_p50_ms": "median latency from the time at which the request was sent",
    "sent_p99_ms": "99th percentile of latency from the send time",
    "sent_p999_ms": "99.9th percentile of latency from the send time",
    "sent_mean_ms": "mean latency from the send time",
    "attempts": "attempts at upstreams per request or retry of a client",
    "crossings": "share of attempts to upstreams outside the zone of the sidecar",
    "dialled": "connections that clients opened per request or retry",
    "cpu_us": "CPU time of the sidecars per request or retry, in microseconds",
    "memory_mb": "highest resident memory of a sidecar, in MB",
    "discovery_calls": "calls to discovery per second, over all sidecars",
    "uneven": "highest load of an upstream relative to the mean; load is attempts per capacity",
    "recovers_s": "seconds from the end of the last fault until service is as before the first fault",
    "disagrees": "largest relative difference of mean, p50, p99 from the queue model (direct runs)",
    "disagrees_p999": "relative difference of p99.9 from the queue model; few requests determine it",
    "late": "share of sends that were late or did not happen",
    "lost": "requests lost: cut off, or without a response before the client's timeout",
    "twice": "requests executed twice although they must not be",
    "drained": "attempts at an upstream known to be draining or removed, after the drain grace",
    "pushed_over": "upstreams that crashed in slow start",
    "too_many": "requests with more attempts than allowed",
    "wrong": "responses that belong to another request",
    "begun_late": "attempts that began over 0.1 s after their client had closed its connection",
    "crashed": "sidecars that ended unexpectedly",
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
        """Parse the text of a bound.

        Raises:
            ValueError: the text is not a bound.
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
    """The policies that sidecars can run; the values are the names in experiment files."""

    LINETRACK = "linetrack"
    RANDOM = "random"
    ROUND_ROBIN = "round_robin"
    LEAST_REQUESTS = "least_requests"


class Omission(Enum):
    """What an arm can be run without; the values are the names in experiment files."""

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
    """Another arm of the experiment, and bounds on the differences (main arm minus this one)."""

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
    """The metric `goal` of a whole day: weighted shares of priority weight served in time, less costs."""

    weight_of_total: Fraction = 0.7
    weight_of_worst_window: Fraction = 0.2
    weight_of_worst_class: Fraction = 0.1
    window_s: Annotated[int, Meta(ge=1)] = 10
    cross_zone_cost: NotNegative = 0.0  # per request of which an attempt went to another zone
    wasted_work_cost: NotNegative = 0.0  # per attempt beyond the first of a request


class Experiment(Table, frozen=True, kw_only=True, rename={"comparisons": "against"}):
    """An experiment: the question that it answers, its setup, and the bounds that decide the answer."""

    version: Literal[1]
    name: Name
    question: Annotated[str, Meta(min_length=1)]
    length_s: Annotated[float, Meta(gt=0, le=7200)] = 10.0
    warm_s: NotNegative = 1.0  # the warm-up at the beginning, which the metrics leave out
    seeds: Annotated[tuple[int, ...], Meta(min_length=1)] = (1,)
    sidecars: Sidecars = Sidecars()
    direct: bool = False  # whether the load is sent to an upstream directly, without sidecars
    fleet: Fleet = Fleet()
    classes: Annotated[tuple[RequestClass, ...], Meta(min_length=1)] = (RequestClass(name="lookup"),)
    load: Load
    faults: tuple[Fault, ...] = ()
    goal: Goal = Goal()
    expect: Annotated[dict[str, str], Meta(min_length=1)]
    comparisons: tuple[Comparison, ...] = ()

    def __post_init__(self) -> None:
        """Check the values that depend on one another."""
        for bounds in (self.expect, *(comparison.expect for comparison in self.comparisons)):
            for metric, text in bounds.items():
                if metric not in METRICS:
                    raise ValueError(f"unknown metric {metric!r}, expected one of: {', '.join(METRICS)}")
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
    """Read an experiment file and apply overrides of the form `path=value`.

    Raises:
        FileError: the file cannot be read, or a value is missing or invalid.
    """
    values = _load_yaml(path)
    for override in overrides:
        _apply_override(override, values)
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


def _apply_override(override: str, values: Any) -> None:
    """Set the value at the path of an override."""
    path, separator, value = override.partition("=")
    source = f"--set {override}"
    if not separator:
        raise FileError(source, "expected path=value")
    *parents, last_name = path.split(".")
    node = values
    try:
        for name in parents:
            node = node[int(name)] if isinstance(node, list) else node.setdefault(name, {})
        if isinstance(node, list):
            node[int(last_name)] = yaml.safe_load(value)
        else:
            node[last_name] = yaml.safe_load(value)
    except (IndexError, ValueError, TypeError, AttributeError, yaml.YAMLError):
        raise FileError(source, "the path does not exist, or the value is not valid YAML") from None
