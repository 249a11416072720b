"""The verdict."""

from linetrack.experiments.play import judge
from linetrack.experiments.results import (
    ArmResult,
    Results,
    RunResult,
    Series,
    Verdict,
    WeightBySecond,
)
from linetrack.experiments.schema import METRICS, read_experiment
from tests.support.paths import ROOT


def run_result(metrics: dict[str, float], is_valid: bool = True) -> RunResult:
    series = Series(WeightBySecond([], []), {}, {})
    return RunResult(metrics, series, 1, {"named": {}}, is_valid, False)


def test_a_verdict_needs_every_bound_and_a_machine_in_time() -> None:
    experiment = read_experiment(ROOT / "experiments" / "calm.yaml")

    def verdict(in_time: float, valid: bool = True, other: float = 0.9) -> Verdict | None:
        metrics = {**dict.fromkeys(METRICS, 0.0), "in_time": in_time}
        runs = [run_result(metrics, valid)] * 3
        others = [run_result({**metrics, "in_time": other})] * 3
        arms = {"main": ArmResult("linetrack", "", runs), "random": ArmResult("random", "", others)}
        results = Results("calm", "", False, [], 0.0, arms)
        judge(experiment, results)
        return results.verdict

    assert verdict(0.96) is Verdict.HELD
    assert verdict(0.94) is Verdict.NOT_HELD
    assert verdict(0.96, other=0.97) is Verdict.NOT_HELD
    assert verdict(0.96, valid=False) is Verdict.INVALID
