"""Experiment files, metrics and verdicts, and experiments on loopback."""

import json
import os
import re
import signal
import socket
import subprocess
import sys
from pathlib import Path
from typing import Any

import numpy as np
import pytest
import yaml
from click.testing import CliRunner

from linetrack.cli.main import cli
from linetrack.config.check import FileError
from linetrack.experiments import latency, sidecar_process
from linetrack.experiments.arms import arms_of
from linetrack.experiments.baselines import Baseline, BaselinePolicy
from linetrack.experiments.measurements import goal_value, recovery_seconds
from linetrack.experiments.play import judge
from linetrack.experiments.results import (
    ArmResult,
    Results,
    RunResult,
    Series,
    Verdict,
    WeightBySecond,
)
from linetrack.experiments.run import Run
from linetrack.experiments.schema import METRICS, Bound, Goal, read_experiment
from linetrack.experiments.sidecar_process import RunError
from linetrack.policy.actions import FailRequest, StartAttempt
from linetrack.policy.events import (
    AttemptEnded,
    EndpointEntry,
    EndpointListUpdate,
    EndpointStatus,
    ListForm,
    Outcome,
    RequestReceived,
)
from tests.helpers import Driver, listed_entries, settings
from tests.support.paths import ROOT
from tests.support.waiting import wait_until

FILES = sorted((ROOT / "experiments").glob("*.yaml"))

# --- Experiment files --------------------------------------------------------------------------------


@pytest.mark.parametrize("path", FILES, ids=[path.stem for path in FILES])
def test_every_experiment_that_comes_with_the_program_is_valid(path: Path) -> None:
    assert read_experiment(path).name == path.stem


INVALID: list[tuple[dict[str, Any], str]] = [
    ({"lenght_s": 3}, "lenght_s: unknown key; nearest known key: length_s"),
    ({"expect": {"in_tim": ">= 1"}}, "in_tim"),
    ({"expect": {"in_time": "high"}}, "bound"),
    ({"expect": {}}, "expect"),
    ({"faults": [{"kind": "slow", "at_s": 1, "who": {"zone": "west"}}]}, r"faults\[0\]"),
    ({"faults": [{"kind": "slwo", "at_s": 1}]}, r"faults\[0\].kind"),
    ({"faults": [{"kind": "slow", "at_s": 99}]}, r"faults\[0\].at_s"),
    ({"sidecars": {"zones": ["west"]}}, "west"),
    ({"fleet": {"upstreams": [{"zone": "n", "kind": "odd", "count": 1}]}}, "odd"),
    ({"load": {}}, "shapes or a trace"),
]


@pytest.mark.parametrize(("change", "line"), INVALID)
def test_an_invalid_experiment_is_named_and_nothing_is_started(
    tmp_path: Path, change: dict[str, Any], line: str
) -> None:
    path = tmp_path / "e.yaml"
    path.write_text(
        yaml.safe_dump({**yaml.safe_load((ROOT / "experiments" / "demo.yaml").read_text()), **change})
    )
    result = CliRunner().invoke(cli, ["experiment", "run", str(path), "--out", str(tmp_path / "out")])
    assert result.exit_code == 2
    assert re.search(line, result.stderr), result.stderr
    assert result.stderr.startswith(f"linetrack: {path}: ")
    assert not (tmp_path / "out").exists()


def test_values_are_set_by_path_and_invalid_yaml_is_located(tmp_path: Path) -> None:
    path = ROOT / "experiments" / "demo.yaml"
    found = read_experiment(path, ("load.shapes.0.rate=7", "faults=[]", "fleet.processes=2"))
    assert found.load.shapes[0].rate == 7
    assert not found.faults
    assert found.fleet.processes == 2
    for wrong in ("load.shapes.9.rate=7", "length_s", "name.x=1"):
        with pytest.raises(FileError, match="--set"):
            read_experiment(path, (wrong,))
    (tmp_path / "e.yaml").write_text("name: [demo\nversion: 1\n")
    with pytest.raises(FileError, match=r"e\.yaml:2:\d+: ") as raised:
        read_experiment(tmp_path / "e.yaml")
    assert raised.value.source.startswith(f"{tmp_path / 'e.yaml'}:2:")


# --- Figures and verdicts ----------------------------------------------------------------------------


def test_histograms_agree_with_the_exact_percentiles() -> None:
    values = np.random.Generator(np.random.PCG64(1)).lognormal(10, 1, 20_000).astype(int)
    found = latency.summarize("", values.tolist())
    for name, percentile in {"p50_ms": 50, "p99_ms": 99, "p999_ms": 99.9}.items():
        exact = np.sort(values)[round(percentile * 200) - 1]
        assert found[name] * 1000 == pytest.approx(exact, rel=0.002)


def test_an_interval_holds_the_median_and_narrows_with_more_seeds() -> None:
    generator = np.random.Generator(np.random.PCG64(2))
    few, many = (latency.interval(generator.normal(10, 1, count).tolist()) for count in (5, 80))
    assert few.low <= few.median <= few.high
    assert many.high - many.low < few.high - few.low
    assert latency.interval([3.0]) == latency.Interval(3.0, 3.0, 3.0)


def test_service_has_recovered_once_two_seconds_are_as_before() -> None:
    weight = WeightBySecond([10.0] * 12, [10, 10, 10, 10, 2, 1, 1, 9.5, 4, 9.5, 10, 10])
    assert recovery_seconds(weight, 4, 6) == 3
    assert recovery_seconds(WeightBySecond([10.0] * 8, [10, 10, 10, 1, 1, 1, 1, 1]), 3, 5) == 3


@pytest.mark.parametrize(
    ("text", "value", "held"), [(">= 0.9", 0.9, True), ("== 0", 1, False), ("< 5 %", 0.04, True)]
)
def test_bounds(text: str, value: float, held: bool) -> None:
    assert Bound.parse(text).holds(value) is held


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


# --- Baselines ---------------------------------------------------------------------------------------


@pytest.mark.parametrize("baseline", Baseline)
def test_baselines_keep_the_rules_that_any_policy_must(baseline: Baseline) -> None:
    policy = BaselinePolicy(baseline, settings(), 1)
    driver = Driver()
    policy.handle(0, EndpointListUpdate(ListForm.SNAPSHOT, listed_entries()))
    draining = EndpointEntry("h0", status=EndpointStatus.DRAINING)
    policy.handle(0, EndpointListUpdate(ListForm.DELTA, (draining,)))
    sent = set()
    for n in range(200):
        (action,) = policy.handle(n, RequestReceived(n, 0, 1000))
        assert isinstance(action, StartAttempt)
        assert action.endpoint != "h0"
        sent.add(action.endpoint)
        if n % 3 == 0:
            (again,) = policy.handle(n, AttemptEnded(n, 0, action.endpoint, Outcome.OVERLOADED, 1))
            assert isinstance(again, StartAttempt)
            assert again.endpoint != action.endpoint
            (failed,) = policy.handle(n, AttemptEnded(n, 1, again.endpoint, Outcome.RESET, 1))
            assert failed == FailRequest(n)
    assert len(sent) == 6
    assert driver.count == 0


# --- On loopback -------------------------------------------------------------------------------------


def run(*arguments: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "linetrack", *arguments], cwd=ROOT, capture_output=True, text=True, check=False
    )


def test_a_short_experiment_is_run_audited_judged_and_drawn(tmp_path: Path) -> None:
    # light load, so that a busy machine changes nothing: what is judged is that every part did its work
    sets = [
        "length_s=6",
        "warm_s=1",
        "load.shapes=[{rate: 60}]",
        "load.late_ms=200",
        "faults=[{kind: deploy, at_s: 1, who: {zone: south}, every_s: 0.5, grace_ms: 1500},"
        " {kind: errors, at_s: 2, for_s: 2, who: {ids: [u0]}, one_in: 2}, {kind: sidecars_term, at_s: 3}]",
        'expect={lost: "== 0", twice: "== 0", drained: "== 0", wrong: "== 0", served: "> 0.8"}',
    ]
    out = tmp_path / "out"
    done = run("experiment", "run", "demo", "--json", "--out", str(out), *(f"--set={text}" for text in sets))
    assert done.returncode == 0, done.stdout + done.stderr
    printed = json.loads(done.stdout)
    assert printed["verdict"] == "held"
    assert printed["figures"]["main"]["requests"][0] > 200
    again = run("audit", str(out / "main" / "1"), "--json")
    assert again.returncode == 0
    assert json.loads(again.stdout)["asked"] > 200
    page = (out / "report.html").read_text()
    assert page.count("<img") == 3
    assert 'src="data:' in page
    assert "http" not in page
    lines = (out / "main" / "1" / "emulator-discovery.jsonl").read_text()
    assert '"DRAINING"' in lines
    assert '"DELETED"' in lines
    # nothing that was started is left
    assert len(list((out / "main" / "1").glob("sidecar-*.json"))) == 2
    assert not listening(out / "main" / "1")


def test_a_sidecar_that_dies_is_a_finding_and_the_run_goes_on(tmp_path: Path) -> None:
    (tmp_path / "linetrack").mkdir()
    (tmp_path / "linetrack" / "__main__.py").write_text(
        f"import os, sys, threading\nsys.path.insert(0, {str(ROOT)!r})\n"
        "from linetrack.server.lifecycle import main\nimport gevent\n"
        "gevent.spawn_later(1.2, os._exit, 7)\nsys.exit(main(os.environ))\n"
    )
    (tmp_path / "linetrack" / "__init__.py").write_text(f"__path__.append({str(ROOT / 'linetrack')!r})\n")
    sets = [
        "length_s=4",
        "warm_s=0",
        "load.shapes=[{rate: 40}]",
        "load.late_ms=200",
        "faults=[]",
        f"sidecars.build={tmp_path}",
        'expect={crashed: "== 0"}',
    ]
    out = tmp_path / "out"
    done = run("experiment", "run", "demo", "--json", "--out", str(out), *(f"--set={text}" for text in sets))
    assert done.returncode == 1, done.stdout + done.stderr
    assert json.loads(done.stdout)["figures"]["main"]["crashed"][0] >= 2


def test_a_recorded_trace_comes_through_sockets_at_its_times_and_with_its_classes(tmp_path: Path) -> None:
    rows = [
        {"at_s": 10 + n * 0.02, "class": "sale" if n % 3 else "lookup", "key": f"k{n % 5}"}
        for n in range(100)
    ]
    rows[40], rows[60] = rows[60], rows[40]  # out of order
    (tmp_path / "trace.jsonl").write_text("".join(json.dumps(row) + "\n" for row in rows))
    demo = yaml.safe_load((ROOT / "experiments" / "demo.yaml").read_text())
    demo |= {"length_s": 4, "warm_s": 0, "faults": [], "expect": {"served": "== 1", "wrong": "== 0"}}
    demo["load"] = {"trace": {"file": "trace.jsonl"}, "workers": 2, "late_ms": 500}
    (tmp_path / "e.yaml").write_text(yaml.safe_dump(demo))
    out = tmp_path / "out"
    done = run("experiment", "run", str(tmp_path / "e.yaml"), "--json", "--no-report", "--out", str(out))
    assert done.returncode == 0, done.stdout + done.stderr
    start = json.loads((out / "main" / "1" / "run.json").read_text())["start"]
    lines = [json.loads(line) for path in (out / "main" / "1").glob("load-*.jsonl") for line in path.open()]
    asked = sorted((line for line in lines if line["e"] == "ask"), key=lambda line: line["due"])
    found = [(line["due"] - start, line["klass"]) for line in asked]
    wanted = sorted((round((float(row["at_s"]) - 10) * 1e6), row["class"]) for row in rows)
    assert [klass for _, klass in found] == [klass for _, klass in wanted]
    assert all(abs(at - due) <= 1 for (at, _), (due, _) in zip(found, wanted, strict=True))


def listening(folder: Path) -> list[str]:
    """Addresses of the run's sidecars at which somebody still listens."""
    addresses = [json.loads(path.read_text())["listen"] for path in folder.glob("sidecar-*.json")]
    table = Path("/proc/net/tcp").read_text()
    return [at for at in addresses if f":{int(at.rpartition(':')[2]):04X} 00000000:0000 0A" in table]


def test_ctrl_c_ends_all_that_was_started_and_keeps_what_there_is_as_partial(tmp_path: Path) -> None:
    out = tmp_path / "out"
    folder = out / "main" / "1"
    command = [
        sys.executable,
        "-m",
        "linetrack",
        "experiment",
        "run",
        "demo",
        "--no-report",
        "--out",
        str(out),
    ]
    with subprocess.Popen(
        command,
        cwd=ROOT,
        stderr=subprocess.PIPE,
        stdout=subprocess.DEVNULL,
        text=True,
        start_new_session=True,
    ) as running:
        wait_until(lambda: any(path.stat().st_size for path in folder.glob("load-*.jsonl")), "load began")
        assert len(listening(folder)) == 2
        os.killpg(running.pid, signal.SIGINT)
        _, errors = running.communicate(timeout=60)
    assert running.returncode == 3
    assert "marked as partial" in errors
    assert not listening(folder)
    results = json.loads((out / "results.json").read_text())
    assert results["partial"] is True
    assert results["arms"]["main"]["runs"] == []
    assert run("audit", str(folder), "--json").returncode in (0, 1)


def test_a_port_that_is_in_use_is_reported_and_nothing_is_left(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    experiment = read_experiment(ROOT / "experiments" / "demo.yaml")
    with socket.create_server(("127.0.0.1", 0)) as other:
        monkeypatch.setattr(sidecar_process, "free_port", lambda: other.getsockname()[1])
        one = Run(experiment, arms_of(experiment)[0], 1, ROOT, tmp_path / "out")
        with pytest.raises(RunError, match="sidecar 0 does not answer"):
            one.play()
    assert all(sidecar.process is None for sidecar in one.sidecars)


def test_the_goal_weighs_the_worst_window_and_the_worst_class() -> None:
    served = [0.0] * 2 + [10.0] * 8 + [5.0] * 10 + [10.0] * 10
    weight = WeightBySecond([10.0] * 30, served)
    value = goal_value(Goal(), weight, 2_000_000, 0.5)
    assert value == pytest.approx(0.7 * 230 / 280 + 0.2 * 0.5 + 0.1 * 0.5)
    wide = goal_value(Goal(window_s=60), weight, 2_000_000, 1.0)
    assert wide == pytest.approx(0.9 * 230 / 280 + 0.1)


def test_the_platforms_sidecar_imports_nothing_of_the_tools() -> None:
    code = "import sys, runpy; sys.argv = ['linetrack']\n"
    code += "try: runpy.run_module('linetrack', run_name='__main__')\nexcept SystemExit as end: "
    code += "print(end.code, *sys.modules)"
    environ = {name: value for name, value in os.environ.items() if not name.startswith("EDGE_")}
    out = subprocess.run(
        [".venv/bin/python", "-c", code], cwd=ROOT, capture_output=True, text=True, check=True, env=environ
    ).stdout.split()
    tools = ("click", "rich", "msgspec", "numpy", "hdrh", "matplotlib", "yaml")
    ours = (
        "linetrack.cli",
        "linetrack.config",
        "linetrack.emulator",
        "linetrack.load",
        "linetrack.experiments",
    )
    assert out[0] == "2"
    assert "linetrack.policy.balancer" in out
    assert not [name for name in out if name.split(".")[0] in tools or name.startswith(ours)]
