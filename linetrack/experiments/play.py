"""All runs of an experiment, and its verdict."""

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
    source: Path,
    out: Path,
    seeds: tuple[int, ...] = (),
    progress: Progress = no_progress,
) -> Results:
    """Run every arm and seed, and judge them.

    The results are written into `out` after each run, so that what was completed before an interruption is
    kept and marked as partial.

    Args:
        experiment: the experiment.
        source: the folder of its file.
        out: the folder of ledgers and results.
        seeds: instead of the experiment's.
        progress: is called with the progress of each run.

    Raises:
        RunError, ChildFailedError: something that a run needs did not come up.
        LedgerError: a ledger is invalid.
    """
    out.mkdir(parents=True, exist_ok=True)
    results = _partial_results(experiment)
    for arm in arms_of(experiment):
        runs: list[RunResult] = []
        results.arms[arm.name] = ArmResult(arm.policy.value, arm.build, runs)
        for seed in seeds or experiment.seeds:
            run = Run(experiment, arm, seed, source, out / arm.name / str(seed), progress)
            try:
                runs.append(run.play())
            finally:
                write_results(results, out)
    results.is_partial = False
    judge(experiment, results)
    write_results(results, out)
    return results


def _partial_results(experiment: Experiment) -> Results:
    """The results before the first run."""
    return Results(
        name=experiment.name,
        question=experiment.question,
        is_partial=True,
        faults=[msgspec.to_builtins(fault) for fault in experiment.faults],
        warm_s=experiment.warm_s,
        arms={},
    )


def judge(experiment: Experiment, results: Results) -> None:
    """Add the metrics over all seeds, each bound with what was found, and the verdict."""
    main = results.arms[MAIN_ARM]
    for name, result in results.arms.items():
        result.metrics = _intervals(result.runs)
        if name != MAIN_ARM:
            result.differences = _differences(main, result)
    bounds: list[BoundResult] = []
    for arm in arms_of(experiment):
        bounds += _judge_arm(arm, results.arms[arm.name])
    results.bounds = bounds
    if not all(run.is_valid for result in results.arms.values() for run in result.runs):
        results.verdict = Verdict.INVALID
    else:
        results.verdict = Verdict.HELD if all(bound.held for bound in bounds) else Verdict.NOT_HELD


def _intervals(runs: list[RunResult]) -> dict[str, Interval]:
    """Each metric that every run has."""
    return {
        metric: interval([run.metrics[metric] for run in runs])
        for metric in runs[0].metrics
        if all(metric in run.metrics for run in runs)
    }


def _differences(main: ArmResult, other: ArmResult) -> dict[str, Interval]:
    """Differences of the main arm from another one, paired by seed."""
    assert main.metrics is not None
    assert other.metrics is not None
    pairs = list(zip(main.runs, other.runs, strict=True))
    return {
        metric: interval([ours.metrics[metric] - theirs.metrics[metric] for ours, theirs in pairs])
        for metric in other.metrics
        if metric in main.metrics
    }


def _judge_arm(arm: Arm, result: ArmResult) -> list[BoundResult]:
    """The bounds on the metrics of the main arm, or on the differences of another one."""
    found = result.metrics if arm.is_main else result.differences
    assert found is not None
    bounds = []
    for metric, text in arm.expect.items():
        bound = Bound.parse(text)
        value = found.get(metric)
        bounds.append(
            BoundResult(
                metric=metric if arm.is_main else f"{metric}, beside {arm.name}",
                bound=str(bound),
                found=value,
                held=value is not None and bound.holds(value.median),
            )
        )
    return bounds
