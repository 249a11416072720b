"""The verdict of an experiment."""

from linetrack.experiments.results import (
    ArmResult,
    Results,
    RunResult,
    Series,
    Verdict,
    WeightBySecond,
)
from linetrack.experiments.runner import evaluate
from linetrack.experiments.schema import METRICS, read_experiment
from tests.support.paths import ROOT


def run_result(metrics: dict[str, float], is_valid: bool = True) -> RunResult:
    series = Series(WeightBySecond([], []), {}, {})
    return RunResult(metrics, series, 1, {"named": {}}, is_valid, False)


def test_the_verdict_requires_that_every_bound_holds_and_every_run_is_valid() -> None:
    experiment = read_experiment(ROOT / "experiments" / "calm.yaml")

    def verdict(in_time: float, is_valid: bool = True, baseline_in_time: float = 0.9) -> Verdict | None:
        metrics = {**dict.fromkeys(METRICS, 0.0), "in_time": in_time}
        runs = [run_result(metrics, is_valid)] * 3
        others = [run_result({**metrics, "in_time": baseline_in_time})] * 3
        arms = {"main": ArmResult("linetrack", "", runs), "random": ArmResult("random", "", others)}
        results = Results("calm", "", False, [], 0.0, arms)
        evaluate(experiment, results)
        return results.verdict

    assert verdict(0.96) is Verdict.HELD
    assert verdict(0.94) is Verdict.NOT_HELD
    assert verdict(0.96, baseline_in_time=0.97) is Verdict.NOT_HELD
    assert verdict(0.96, is_valid=False) is Verdict.INVALID
