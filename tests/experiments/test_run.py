"""Complete experiments on loopback."""

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


def test_a_short_experiment_gives_a_verdict_an_audit_and_a_report(tmp_path: Path) -> None:
    # The load is light, so that a busy machine does not change the result; the test checks that all parts
    # work together.
    overrides = [
        "length_s=6",
        "warm_s=1",
        "load.shapes=[{rate: 60}]",
        "load.late_ms=200",
        "faults=[{kind: deploy, at_s: 1, who: {zone: south}, every_s: 0.5, grace_ms: 1500},"
        " {kind: errors, at_s: 2, for_s: 2, who: {ids: [u0]}, one_in: 2}, {kind: sidecars_term, at_s: 3}]",
        'expect={lost: "== 0", twice: "== 0", drained: "== 0", wrong: "== 0", served: "> 0.8"}',
    ]
    out = tmp_path / "out"
    completed = run(
        "experiment",
        "run",
        "demo",
        "--json",
        "--out",
        str(out),
        *(f"--set={override}" for override in overrides),
    )
    assert completed.returncode == 0, completed.stdout + completed.stderr
    printed = json.loads(completed.stdout)
    assert printed["verdict"] == "held"
    assert printed["figures"]["main"]["requests"][0] > 200
    audit = run("audit", str(out / "main" / "1"), "--json")
    assert audit.returncode == 0
    assert json.loads(audit.stdout)["asked"] > 200
    report = (out / "report.html").read_text()
    assert report.count("<img") == 3
    assert 'src="data:' in report
    assert "http" not in report
    ledger = (out / "main" / "1" / "emulator-discovery.jsonl").read_text()
    assert '"DRAINING"' in ledger
    assert '"DELETED"' in ledger
    # No sidecar is left running.
    assert len(list((out / "main" / "1").glob("sidecar-*.json"))) == 2
    assert not listening_addresses(out / "main" / "1")


def test_a_sidecar_crash_is_counted_and_the_run_continues(tmp_path: Path) -> None:
    (tmp_path / "linetrack").mkdir()
    (tmp_path / "linetrack" / "__main__.py").write_text(
        f"import os, sys, threading\nsys.path.insert(0, {str(ROOT)!r})\n"
        "from linetrack.server.lifecycle import main\nimport gevent\n"
        "gevent.spawn_later(1.2, os._exit, 7)\nsys.exit(main(os.environ))\n"
    )
    (tmp_path / "linetrack" / "__init__.py").write_text(f"__path__.append({str(ROOT / 'linetrack')!r})\n")
    overrides = [
        "length_s=4",
        "warm_s=0",
        "load.shapes=[{rate: 40}]",
        "load.late_ms=200",
        "faults=[]",
        f"sidecars.build={tmp_path}",
        'expect={crashed: "== 0"}',
    ]
    out = tmp_path / "out"
    completed = run(
        "experiment",
        "run",
        "demo",
        "--json",
        "--out",
        str(out),
        *(f"--set={override}" for override in overrides),
    )
    assert completed.returncode == 1, completed.stdout + completed.stderr
    assert json.loads(completed.stdout)["figures"]["main"]["crashed"][0] >= 2


def test_a_recorded_trace_is_sent_at_its_times_and_with_its_classes(tmp_path: Path) -> None:
    rows = [
        {"at_s": 10 + number * 0.02, "class": "sale" if number % 3 else "lookup", "key": f"k{number % 5}"}
        for number in range(100)
    ]
    rows[40], rows[60] = rows[60], rows[40]  # out of order
    (tmp_path / "trace.jsonl").write_text("".join(json.dumps(row) + "\n" for row in rows))
    experiment = yaml.safe_load((ROOT / "experiments" / "demo.yaml").read_text())
    experiment |= {"length_s": 4, "warm_s": 0, "faults": [], "expect": {"served": "== 1", "wrong": "== 0"}}
    experiment["load"] = {"trace": {"file": "trace.jsonl"}, "workers": 2, "late_ms": 500}
    (tmp_path / "e.yaml").write_text(yaml.safe_dump(experiment))
    out = tmp_path / "out"
    completed = run("experiment", "run", str(tmp_path / "e.yaml"), "--json", "--no-report", "--out", str(out))
    assert completed.returncode == 0, completed.stdout + completed.stderr
    start = json.loads((out / "main" / "1" / "run.json").read_text())["start"]
    lines = [json.loads(line) for path in (out / "main" / "1").glob("load-*.jsonl") for line in path.open()]
    sent = sorted((line for line in lines if line["e"] == "ask"), key=lambda line: line["due"])
    actual = [(line["due"] - start, line["klass"]) for line in sent]
    expected = sorted((round((float(row["at_s"]) - 10) * 1e6), row["class"]) for row in rows)
    assert [class_name for _, class_name in actual] == [class_name for _, class_name in expected]
    assert all(abs(due - scheduled) <= 1 for (due, _), (scheduled, _) in zip(actual, expected, strict=True))


def listening_addresses(folder: Path) -> list[str]:
    """Return the addresses of the run's sidecars at which a process still listens."""
    addresses = [json.loads(path.read_text())["listen"] for path in folder.glob("sidecar-*.json")]
    tcp_sockets = Path("/proc/net/tcp").read_text()
    return [
        address
        for address in addresses
        if f":{int(address.rpartition(':')[2]):04X} 00000000:0000 0A" in tcp_sockets
    ]


def test_ctrl_c_ends_all_processes_and_keeps_partial_results(tmp_path: Path) -> None:
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
        assert len(listening_addresses(folder)) == 2
        os.killpg(running.pid, signal.SIGINT)
        _, errors = running.communicate(timeout=60)
    assert running.returncode == 3
    assert "marked as partial" in errors
    assert not listening_addresses(folder)
    results = json.loads((out / "results.json").read_text())
    assert results["partial"] is True
    assert results["arms"]["main"]["runs"] == []
    assert run("audit", str(folder), "--json").returncode in (0, 1)


def test_a_port_in_use_is_reported_and_no_process_is_left(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    experiment = read_experiment(ROOT / "experiments" / "demo.yaml")
    with socket.create_server(("127.0.0.1", 0)) as occupied:
        monkeypatch.setattr(sidecar_process, "free_port", lambda: occupied.getsockname()[1])
        experiment_run = Run(experiment, arms_of(experiment)[0], 1, ROOT, tmp_path / "out")
        with pytest.raises(RunError, match="sidecar 0 does not answer"):
            experiment_run.execute()
    assert all(sidecar.process is None for sidecar in experiment_run.sidecars)
