"""Files that are checked, verdicts, and a whole experiment on loopback."""

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
from linetrack.config import operators
from linetrack.config.check import FileError
from linetrack.experiments import figures
from linetrack.experiments import run as runs
from linetrack.experiments.baselines import NAMES, Plain
from linetrack.experiments.run import judge
from linetrack.experiments.schema import FIGURES, Bound, Goal, read
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
from linetrack.policy.settings import Idempotency
from linetrack.server.config import config_of
from tests.helpers import Driver, listed_entries, settings
from tests.stand_ins import ROOT, until

FILES = sorted((ROOT / "experiments").glob("*.yaml"))
SAMPLE = ROOT / "deploy" / "sidecar.toml"

# --- The operators' file -----------------------------------------------------------------------------


def test_the_sample_file_is_sound_and_says_what_the_program_reads() -> None:
    file = operators.read(SAMPLE)
    config = config_of(operators.platform(file), {})
    assert config.name == "n0" and config.class_names == ("lookup", "sale")
    assert config.deadlines == (1_000_000, 2_000_000) and config.settings.max_attempts == 3
    assert config.settings.classes[1].idempotency is Idempotency.IDEMPOTENCY_KEY and config.settings.slow_start_initial_fraction == 0.2


def test_limits_on_further_attempts_are_off_until_the_file_says_them(tmp_path: Path) -> None:
    assert not config_of(operators.platform(operators.read(SAMPLE)), {}).settings.further_window
    path = tmp_path / "f.toml"
    keys = "max_attempts = 3\nfurther_window_ms = 2000\nfurther_free = 2\nfurther_share = 0.1"
    path.write_text(SAMPLE.read_text().replace("max_attempts = 3", keys, 1))
    told = config_of(operators.platform(operators.read(path)), {}).settings
    assert (told.retry_window, told.retry_window_allowance, told.retry_window_ratio) == (2_000_000, 2.0, 0.1)
    path.write_text(SAMPLE.read_text().replace("max_attempts = 3", "max_attempts = 3\nfurther_free = 2", 1))
    result = CliRunner().invoke(cli, ["config", "check", str(path)])
    assert result.exit_code == 2 and "extraWindowUs" in result.stderr


FAULTY = [
    (
        "max_attempts = 3",
        "max_attemps = 3",
        r"retries.max_attemps: unknown key; nearest known key: max_attempts",
    ),
    ("max_attempts = 3", 'max_attempts = "3"', r"retries.max_attempts: '3': expected `int`"),
    ("max_attempts = 3", "max_attempts = 0", r"retries.max_attempts: 0: expected `int` >= 1"),
    ('name = "n0"', "", r"sidecar.name: missing"),
    ("version = 1", "version = 2", r"version: 2: "),
    ("aim_ms = 200", "aim_ms = 2000", r"classes\[0\]: .*aim_ms of 'lookup'"),
    ('zone = "north"', 'zone = "west"', r"sidecar.zone 'west'"),
    ("version = 1", "version = ", r"line 3"),
]


@pytest.mark.parametrize(("old", "new", "said"), FAULTY)
def test_a_faulty_file_is_one_line_that_names_file_key_and_what_was_expected(
    tmp_path: Path, old: str, new: str, said: str
) -> None:
    path = tmp_path / "f.toml"
    path.write_text(SAMPLE.read_text().replace(old, new, 1))
    with pytest.raises(FileError) as fault:
        operators.read(path)
    text = str(fault.value)
    assert text.startswith(f"{path}: ") and "\n" not in text and re.search(said, text), text
    result = CliRunner().invoke(cli, ["config", "check", str(path)])
    assert result.exit_code == 2 and str(path) in result.stderr


# --- Experiment files --------------------------------------------------------------------------------


@pytest.mark.parametrize("path", FILES, ids=[path.stem for path in FILES])
def test_every_experiment_that_comes_with_the_program_is_sound(path: Path) -> None:
    assert read(path).name == path.stem


WRONG: list[tuple[dict[str, Any], str]] = [
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


@pytest.mark.parametrize(("change", "said"), WRONG)
def test_a_faulty_experiment_is_named_and_nothing_is_started(
    tmp_path: Path, change: dict[str, Any], said: str
) -> None:
    path = tmp_path / "e.yaml"
    path.write_text(
        yaml.safe_dump({**yaml.safe_load((ROOT / "experiments" / "demo.yaml").read_text()), **change})
    )
    result = CliRunner().invoke(cli, ["experiment", "run", str(path), "--out", str(tmp_path / "out")])
    assert result.exit_code == 2 and re.search(said, result.stderr), result.stderr
    assert result.stderr.startswith(f"linetrack: {path}: ") and not (tmp_path / "out").exists()


def test_values_are_set_by_path_and_bad_yaml_is_placed() -> None:
    path = ROOT / "experiments" / "demo.yaml"
    found = read(path, ("load.shapes.0.rate=7", "faults=[]", "fleet.processes=2"))
    assert found.load.shapes[0].rate == 7 and not found.faults and found.fleet.processes == 2
    for wrong in ("load.shapes.9.rate=7", "length_s", "name.x=1"):
        with pytest.raises(FileError, match="--set"):
            read(path, (wrong,))


# --- Figures and verdicts ----------------------------------------------------------------------------


def test_histograms_agree_with_the_exact_percentiles() -> None:
    values = np.random.Generator(np.random.PCG64(1)).lognormal(10, 1, 20_000).astype(int)
    told = figures.latencies("", values.tolist())
    for name, at in {"p50_ms": 50, "p99_ms": 99, "p999_ms": 99.9}.items():
        assert told[name] * 1000 == pytest.approx(np.sort(values)[round(at * 200) - 1], rel=0.002)


def test_an_interval_holds_the_median_and_narrows_with_more_seeds() -> None:
    chance = np.random.Generator(np.random.PCG64(2))
    few, many = (figures.interval(chance.normal(10, 1, count).tolist()) for count in (5, 80))
    assert few[1] <= few[0] <= few[2] and many[2] - many[1] < few[2] - few[1]
    assert figures.interval([3.0]) == (3.0, 3.0, 3.0)


def test_service_is_back_once_two_seconds_are_as_before() -> None:
    kept = {"offered": [10.0] * 12, "served": [10, 10, 10, 10, 2, 1, 1, 9.5, 4, 9.5, 10, 10]}
    assert figures.recovers(kept, 4, 6) == 3
    assert figures.recovers({"offered": [10.0] * 8, "served": [10, 10, 10, 1, 1, 1, 1, 1]}, 3, 5) == 3


@pytest.mark.parametrize(
    ("text", "value", "held"), [(">= 0.9", 0.9, True), ("== 0", 1, False), ("< 5 %", 0.04, True)]
)
def test_bounds(text: str, value: float, held: bool) -> None:
    assert Bound.of(text).holds(value) is held


def test_a_verdict_needs_every_bound_and_a_machine_in_time() -> None:
    experiment = read(ROOT / "experiments" / "calm.yaml")

    def verdict(in_time: float, valid: bool = True, other: float = 0.9) -> str:
        values = {**dict.fromkeys(FIGURES, 0.0), "in_time": in_time}
        runs = [{"values": values, "valid": valid, "audit": {"named": {}}}] * 3
        base = [{"values": {**values, "in_time": other}, "valid": True, "audit": {"named": {}}}] * 3
        results: dict[str, Any] = {"arms": {"main": {"runs": runs}, "random": {"runs": base}}}
        judge(experiment, results)
        told: str = results["verdict"]
        return told

    assert verdict(0.96) == "held" and verdict(0.94) == "not_held"
    assert verdict(0.96, other=0.97) == "not_held" and verdict(0.96, valid=False) == "invalid"


# --- Baselines ---------------------------------------------------------------------------------------


@pytest.mark.parametrize("name", NAMES)
def test_baselines_keep_to_the_rules_that_any_policy_must(name: str) -> None:
    plain = Plain(name, settings(), 1)
    driver = Driver()
    plain.handle(0, EndpointListUpdate(ListForm.SNAPSHOT, listed_entries()))
    plain.handle(0, EndpointListUpdate(ListForm.DELTA, (EndpointEntry("h0", status=EndpointStatus.DRAINING),)))
    sent = set()
    for n in range(200):
        (action,) = plain.handle(n, RequestReceived(n, 0, 1000))
        assert isinstance(action, StartAttempt) and action.endpoint != "h0"
        sent.add(action.endpoint)
        if n % 3 == 0:
            (again,) = plain.handle(n, AttemptEnded(n, 0, action.endpoint, Outcome.OVERLOADED, 1))
            assert isinstance(again, StartAttempt) and again.endpoint != action.endpoint
            (failed,) = plain.handle(n, AttemptEnded(n, 1, again.endpoint, Outcome.RESET, 1))
            assert failed == FailRequest(n)
    assert len(sent) == 6 and driver.count == 0


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
    told = json.loads(done.stdout)
    assert told["verdict"] == "held" and told["figures"]["main"]["requests"][0] > 200
    again = run("audit", str(out / "main" / "1"), "--json")
    assert again.returncode == 0 and json.loads(again.stdout)["asked"] > 200
    page = (out / "report.html").read_text()
    assert page.count("<img") == 3 and 'src="data:' in page and "http" not in page
    lines = (out / "main" / "1" / "emulator-discovery.jsonl").read_text()
    assert '"DRAINING"' in lines and '"DELETED"' in lines
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
    told = [json.loads(path.read_text())["listen"] for path in folder.glob("sidecar-*.json")]
    table = Path("/proc/net/tcp").read_text()
    return [at for at in told if f":{int(at.rpartition(':')[2]):04X} 00000000:0000 0A" in table]


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
        until(lambda: any(path.stat().st_size for path in folder.glob("load-*.jsonl")), "load began")
        assert len(listening(folder)) == 2
        os.killpg(running.pid, signal.SIGINT)
        _, said = running.communicate(timeout=60)
    assert running.returncode == 3 and "marked as partial" in said
    assert not listening(folder)
    kept = json.loads((out / "results.json").read_text())
    assert kept["partial"] is True and kept["arms"]["main"]["runs"] == []
    assert run("audit", str(folder), "--json").returncode in (0, 1)


def test_a_port_that_is_taken_is_said_and_nothing_is_left(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    experiment = read(ROOT / "experiments" / "demo.yaml")
    with socket.create_server(("127.0.0.1", 0)) as taken:
        monkeypatch.setattr(runs, "_free_port", lambda: taken.getsockname()[1])
        one = runs.Run(experiment, runs.arms(experiment)[0], 1, ROOT, tmp_path / "out")
        with pytest.raises(runs.RunError, match="sidecar 0 does not answer"):
            one.play()
    assert all(side.process is None for side in one.sides)


def test_the_goal_weighs_the_worst_window_and_the_worst_class() -> None:
    kept = {"offered": [10.0] * 30, "served": [0.0] * 2 + [10.0] * 8 + [5.0] * 10 + [10.0] * 10}
    told = figures.goal(Goal(), kept, 2_000_000, 0.5)
    assert told == pytest.approx(0.7 * 230 / 280 + 0.2 * 0.5 + 0.1 * 0.5)
    assert figures.goal(Goal(window_s=60), kept, 2_000_000, 1.0) == pytest.approx(0.9 * 230 / 280 + 0.1)


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
    assert out[0] == "2" and "linetrack.policy.balancer" in out
    assert not [name for name in out if name.split(".")[0] in tools or name.startswith(ours)]
