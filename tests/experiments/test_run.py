"""Whole experiments on loopback."""

import json
import os
import signal
import socket
import subprocess
import sys
from pathlib import Path

import pytest
import yaml

from linetrack.experiments import sidecar_process
from linetrack.experiments.arms import arms_of
from linetrack.experiments.run import Run
from linetrack.experiments.schema import read_experiment
from linetrack.experiments.sidecar_process import RunError
from tests.support.paths import ROOT
from tests.support.waiting import wait_until


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
