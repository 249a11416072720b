"""Computes the metrics of one run from its ledgers.

This module defines how each metric of `schema.METRICS` is computed; it checks no bounds.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from pathlib import Path

import numpy as np

from linetrack.emulator.ledger_events import (
    AttemptReceived,
    DiscoveryCalled,
    Event,
    RequestEnded,
    RequestSent,
)
from linetrack.emulator.schema import RequestClass
from linetrack.experiments import latency
from linetrack.experiments.audit import (
    EMULATOR_LEDGERS,
    LOAD_LEDGERS,
    REJECTION_STATUSES,
    Findings,
    Rule,
    RunFacts,
    read_events,
    read_facts,
)
from linetrack.experiments.queue_comparison import latency_differences
from linetrack.experiments.results import Series, WeightBySecond
from linetrack.experiments.schema import Experiment, Goal

SECOND_US = 1_000_000
RECOVERED_FRACTION = 0.9  # of the share served in time before the first fault
PLOTTED_PERCENTILES = [0, 10, 25, 50, 75, 90, 95, 99, 99.5, 99.9, 100]


@dataclass
class ClientOutcome:
    """The outcome of one client's request, over all its retries."""

    # Times are in microseconds.
    due_at: int
    sent_at: int  # send time of the request or retry that was served; of the first one if none was
    class_name: str
    served_at: int | None = None  # when the response was complete

    @property
    def latency(self) -> int:
        """Microseconds from the due time to the response; `-due_at` where the request was not served."""
        return (self.served_at or 0) - self.due_at

    @property
    def latency_from_send(self) -> int:
        """Microseconds from the send to the response; `-sent_at` where the request was not served."""
        return (self.served_at or 0) - self.sent_at


@dataclass
class Counts:
    """The measurements of a run that its ledgers do not contain."""

    late: int = 0
    not_sent: int = 0
    dialled: int = 0
    cpu_us: int = 0
    memory_mb: float = 0.0


@dataclass
class _Run:
    """The events of a run; `outcomes`, `ends` and `attempts` have only those after the warm-up."""

    experiment: Experiment
    facts: RunFacts
    load: list[Event]
    emulator: list[Event]

    def __post_init__(self) -> None:
        self.counted_from = self.facts.start + round(self.experiment.warm_s * 1e6)
        self.classes = {request_class.name: request_class for request_class in self.experiment.classes}
        self.sent = [event for event in self.load if isinstance(event, RequestSent)]
        self.all_outcomes = client_outcomes(self.load)
        self.outcomes = [outcome for outcome in self.all_outcomes if outcome.due_at >= self.counted_from]
        self.served = [outcome for outcome in self.outcomes if outcome.served_at is not None]
        self.in_time = [outcome for outcome in self.served if self._is_in_time(outcome)]
        self.ends = [
            event for event in self.load if isinstance(event, RequestEnded) and event.at >= self.counted_from
        ]
        self.attempts = [
            event
            for event in self.emulator
            if isinstance(event, AttemptReceived) and event.at >= self.counted_from
        ]

    def _is_in_time(self, outcome: ClientOutcome) -> bool:
        return outcome.latency <= self.classes[outcome.class_name].latency_objective_ms * 1000


def client_outcomes(load: list[Event]) -> list[ClientOutcome]:
    """Return the outcome of each client's request, in the order in which they were first sent."""
    outcomes: dict[int, ClientOutcome] = {}
    request_by_trace: dict[str, int] = {}
    for event in load:
        if isinstance(event, RequestSent):
            outcomes.setdefault(event.client_request, ClientOutcome(event.due_at, event.at, event.class_name))
            request_by_trace[event.trace] = event.client_request
        elif isinstance(event, RequestEnded) and event.status == 200 and event.trace in request_by_trace:
            outcome = outcomes[request_by_trace[event.trace]]
            if outcome.served_at is None:
                outcome.served_at = event.at
                outcome.sent_at = event.written_at
    return list(outcomes.values())


def measure_run(
    experiment: Experiment, folder: Path, findings: Findings, counts: Counts
) -> tuple[dict[str, float], Series]:
    """Return the metrics of the run in a folder, and the series for its plots."""
    run = _Run(
        experiment=experiment,
        facts=read_facts(folder),
        load=read_events(folder, LOAD_LEDGERS),
        emulator=read_events(folder, EMULATOR_LEDGERS),
    )
    weight = weight_by_second(
        run.all_outcomes, run.classes, run.facts.start, round(experiment.length_s * 1e6)
    )
    attempts_by_upstream = _attempts_by_upstream(run)
    metrics: dict[str, float] = {
        **_request_metrics(run),
        **_cost_metrics(run, counts),
        "crashed": run.facts.crashes,
        **{rule.value: findings.breaches[rule] for rule in Rule},
        **_discovery_metrics(run),
    }
    if run.facts.sidecar_zones:
        metrics["crossings"] = _cross_zone_share(run)
    metrics["goal"] = _goal_metric(run, weight, metrics)
    if experiment.faults:
        metrics["recovers_s"] = _recovery_metric(experiment, weight)
    if experiment.direct:
        metrics |= latency_differences(experiment, run.facts.start, run.sent, metrics)
    metrics["uneven"] = _unevenness(experiment, attempts_by_upstream)
    return metrics, Series(weight, attempts_by_upstream, _latency_curves(run))


# --- Groups of metrics -------------------------------------------------------------------------------------


def _request_metrics(run: _Run) -> dict[str, float]:
    offered_weight = sum(run.classes[outcome.class_name].priority_weight for outcome in run.outcomes)
    served_weight = sum(run.classes[outcome.class_name].priority_weight for outcome in run.in_time)
    count = max(1, len(run.outcomes))
    ends = max(1, len(run.ends))
    rejected = sum(end.status in REJECTION_STATUSES for end in run.ends)
    failed = sum(end.status not in (200, *REJECTION_STATUSES) for end in run.ends)
    return {
        "requests": len(run.outcomes),
        "in_time": len(run.in_time) / count,
        "served": len(run.served) / count,
        "worth": served_weight / max(offered_weight, 1e-9),
        "refused": rejected / ends,
        "failed": failed / ends,
        **latency.summarize("", [outcome.latency for outcome in run.served]),
        **latency.summarize("sent_", [outcome.latency_from_send for outcome in run.served]),
        "attempts": len(run.attempts) / ends,
    }


def _cost_metrics(run: _Run, counts: Counts) -> dict[str, float]:
    sent = max(1, len({event.trace for event in run.sent}))
    return {
        "dialled": counts.dialled / sent,
        "cpu_us": counts.cpu_us / sent,
        "memory_mb": counts.memory_mb,
        "late": (counts.late + counts.not_sent) / max(1, len(run.all_outcomes) + counts.not_sent),
    }


def _discovery_metrics(run: _Run) -> dict[str, float]:
    calls = sum(isinstance(event, DiscoveryCalled) for event in run.emulator)
    return {"discovery_calls": calls / run.experiment.length_s}


def _cross_zone_share(run: _Run) -> float:
    """Return the share of attempts to an upstream outside the zone of their sidecar."""
    sidecars = {event.trace: event.sidecar for event in run.sent}
    zones = {f"u{index}": zone for index, zone in run.facts.upstream_zones.items()}
    crossing = [
        attempt
        for attempt in run.attempts
        if run.facts.sidecar_zones[sidecars.get(attempt.trace, 0)]
        != zones.get(_without_version(attempt.upstream))
    ]
    return len(crossing) / max(1, len(run.attempts))


def _goal_metric(run: _Run, weight: WeightBySecond, metrics: dict[str, float]) -> float:
    goal = run.experiment.goal
    shares = [
        sum(outcome.class_name == name for outcome in run.in_time) / count
        for name in run.classes
        if (count := sum(outcome.class_name == name for outcome in run.outcomes))
    ]
    retries = max(0.0, metrics["attempts"] - 1)
    return (
        goal_value(goal, weight, run.counted_from - run.facts.start, min(shares, default=0.0))
        - goal.cross_zone_cost * metrics.get("crossings", 0.0)
        - goal.wasted_work_cost * retries
    )


def _recovery_metric(experiment: Experiment, weight: WeightBySecond) -> float:
    first_fault_s = min(fault.at_s for fault in experiment.faults)
    last_fault_end_s = max(fault.at_s + fault.duration_s for fault in experiment.faults)
    return recovery_seconds(weight, first_fault_s, last_fault_end_s)


# --- Single metrics ----------------------------------------------------------------------------------------


def weight_by_second(
    outcomes: list[ClientOutcome], classes: dict[str, RequestClass], start: int, length: int
) -> WeightBySecond:
    """Return the priority weight offered and served in time, by the second in which each request was due."""
    seconds = max(1, -(-length // SECOND_US))
    offered = [0.0] * seconds
    served = [0.0] * seconds
    for outcome in outcomes:
        second = (outcome.due_at - start) // SECOND_US
        if 0 <= second < seconds:
            request_class = classes[outcome.class_name]
            offered[second] += request_class.priority_weight
            objective = request_class.latency_objective_ms * 1000
            if outcome.served_at is not None and outcome.latency <= objective:
                served[second] += request_class.priority_weight
    return WeightBySecond(offered, served)


def recovery_seconds(weight: WeightBySecond, first_fault_s: float, last_fault_end_s: float) -> float:
    """Return the seconds from the end of the last fault until service has recovered.

    Service has recovered once two seconds in a row each serve nine tenths of the mean share that was served
    before the first fault; if that never happens, the rest of the run counts.
    """
    shares = [
        served / offered if offered else 1.0
        for served, offered in zip(weight.served, weight.offered, strict=True)
    ]
    shares_before = shares[1 : max(2, int(first_fault_s))]
    threshold = RECOVERED_FRACTION * float(np.mean(shares_before)) if shares_before else RECOVERED_FRACTION
    for second in range(int(np.ceil(last_fault_end_s)), len(shares)):
        if all(share >= threshold for share in shares[second : second + 2]):
            return max(0.0, second - last_fault_end_s)
    return max(0.0, len(shares) - last_fault_end_s)


def goal_value(goal: Goal, weight: WeightBySecond, counted_from: int, worst_class_share: float) -> float:
    """Return the weighted sum of shares of priority weight served in time, before costs.

    Args:
        goal: the weights of the sum.
        weight: the priority weight by second.
        counted_from: the end of the warm-up, in microseconds from the start.
        worst_class_share: the lowest share of requests served in time of any class.
    """
    first_second = -(-counted_from // SECOND_US)
    offered = np.array(weight.offered[first_second:])
    served = np.array(weight.served[first_second:])
    window_length = min(goal.window_s, len(offered))

    def share(begin: int, end: int) -> float:
        """Return the share served in time of the weight offered in these seconds."""
        offered_weight = offered[begin:end].sum()
        return float(served[begin:end].sum() / offered_weight) if offered_weight else 1.0

    windows = [share(begin, begin + window_length) for begin in range(len(offered) - window_length + 1)]
    total = goal.weight_of_total * share(0, len(offered))
    return total + goal.weight_of_worst_window * min(windows) + goal.weight_of_worst_class * worst_class_share


def _attempts_by_upstream(run: _Run) -> dict[str, list[int]]:
    """Return the number of attempts at each upstream address by second."""
    seconds = max(1, int(np.ceil(run.experiment.length_s)))
    counts: dict[str, list[int]] = defaultdict(lambda: [0] * seconds)
    for attempt in run.attempts:
        second = (attempt.at - run.facts.start) // SECOND_US
        if 0 <= second < seconds:
            counts[_without_version(attempt.upstream)][second] += 1
    return dict(sorted(counts.items()))


def _without_version(upstream: str) -> str:
    """Return an upstream's id without the version, which changes with each deploy."""
    return upstream.partition("v")[0]


def _unevenness(experiment: Experiment, attempts: dict[str, list[int]]) -> float:
    """Return the highest load of an address over the mean load; load is attempts divided by capacity."""
    fleet = experiment.fleet
    capacities = {host_class.name: host_class.cores * host_class.speed for host_class in fleet.host_classes}
    capacity_by_index = [capacities[group.host_class] for group in fleet.groups for _ in range(group.count)]
    loads = [
        sum(attempts.get(f"u{index}", [0])) / capacity for index, capacity in enumerate(capacity_by_index)
    ]
    return max(loads) / max(float(np.mean(loads)), 1e-9)


def _latency_curves(run: _Run) -> dict[str, list[tuple[float, float]]]:
    """Return for each class the latency in milliseconds at `PLOTTED_PERCENTILES`."""
    curves: dict[str, list[tuple[float, float]]] = {}
    for name in run.classes:
        latencies = [outcome.latency for outcome in run.served if outcome.class_name == name]
        if latencies:
            histogram = latency.histogram(latencies)
            curves[name] = [
                (percentile, histogram.get_value_at_percentile(percentile) / 1000)
                for percentile in PLOTTED_PERCENTILES
            ]
    return curves
