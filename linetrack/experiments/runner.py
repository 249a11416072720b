"""Runs all arms and seeds of an experiment, and determines its verdict."""

from __future__ import annotations

from pathlib import Path

import msgspec

from linetrack.experiments.arms import Arm, arms_of
from linetrack.experiments.latency import Interval, interval
from linetrack.experiments.results import (
    MAIN_ARM,
    ArmResult,
    BoundResult,
    Results,
    RunResult,
    Verdict,
    write_results,
)
from linetrack.experiments.run import Progress, Run, no_progress
from linetrack.experiments.schema import Bound, Experiment


def run_experiment(
    experiment: Experiment,
    experiment_folder: Path,
    out: Path,
    seeds: tuple[int, ...] = (),
    progress: Progress = no_progress,
) -> Results:
    """Run every arm with every seed, and determine the verdict.

    The results are written into `out` after each run, so that the runs completed before an interruption are
    kept; results are marked as partial until the last run has ended.

    Args:
        experiment: the experiment.
        experiment_folder: the folder of its file; the path of a recorded trace is relative to it.
        out: the folder for ledgers and results.
        seeds: the seeds to run; empty uses those of the experiment.
        progress: called with the progress of each run.

    Raises:
        RunError, ChildFailedError: a process that a run needs did not start, or ended early.
        LedgerError: a ledger is invalid.
    """
    out.mkdir(parents=True, exist_ok=True)
    results = _partial_results(experiment)
    for arm in arms_of(experiment):
        runs: list[RunResult] = []
        results.arms[arm.name] = ArmResult(arm.policy.value, arm.build, runs)
        for seed in seeds or experiment.seeds:
            run = Run(experiment, arm, seed, experiment_folder, out / arm.name / str(seed), progress)
            try:
                runs.append(run.execute())
            finally:
                write_results(results, out)
    results.is_partial = False
    evaluate(experiment, results)
    write_results(results, out)
    return results


def _partial_results(experiment: Experiment) -> Results:
    """Return the results as they are before the first run."""
    return Results(
        name=experiment.name,
        question=experiment.question,
        is_partial=True,
        faults=[msgspec.to_builtins(fault) for fault in experiment.faults],
        warm_s=experiment.warm_s,
        arms={},
    )


def evaluate(experiment: Experiment, results: Results) -> None:
    """Add the metrics over all seeds, the outcome of each bound and the verdict to the results."""
    main = results.arms[MAIN_ARM]
    for name, result in results.arms.items():
        result.metrics = _intervals(result.runs)
        if name != MAIN_ARM:
            result.differences = _differences(main, result)
    bounds: list[BoundResult] = []
    for arm in arms_of(experiment):
        bounds += _check_bounds(arm, results.arms[arm.name])
    results.bounds = bounds
    if not all(run.is_valid for result in results.arms.values() for run in result.runs):
        results.verdict = Verdict.INVALID
    else:
        results.verdict = Verdict.HELD if all(bound.held for bound in bounds) else Verdict.NOT_HELD


def _intervals(runs: list[RunResult]) -> dict[str, Interval]:
    """Return the interval of each metric that every run has."""
    return {
        metric: interval([run.metrics[metric] for run in runs])
        for metric in runs[0].metrics
        if all(metric in run.metrics for run in runs)
    }


def _differences(main: ArmResult, other: ArmResult) -> dict[str, Interval]:
    """Return the intervals of the main arm's metrics minus those of another arm, paired by seed."""
    assert main.metrics is not None
    assert other.metrics is not None
    pairs = list(zip(main.runs, other.runs, strict=True))
    return {
        metric: interval([ours.metrics[metric] - theirs.metrics[metric] for ours, theirs in pairs])
        for metric in other.metrics
        if metric in main.metrics
    }


def _check_bounds(arm: Arm, result: ArmResult) -> list[BoundResult]:
    """Check the bounds on the metrics of the main arm, or on the differences of another arm."""
    values = result.metrics if arm.is_main else result.differences
    assert values is not None
    bounds = []
    for metric, text in arm.expect.items():
        bound = Bound.parse(text)
        value = values.get(metric)
        bounds.append(
            BoundResult(
                metric=metric if arm.is_main else f"{metric}, beside {arm.name}",
                bound=str(bound),
                found=value,
                held=value is not None and bound.holds(value.median),
            )
        )
    return bounds
