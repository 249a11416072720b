"""Tests of the soak: drawn scenarios, rules, and short runs of the program."""

from __future__ import annotations

import subprocess
import sys
from dataclasses import replace
from pathlib import Path

import msgspec
import pytest

from linetrack.emulator.ledger import Ledger
from linetrack.emulator.ledger_events import (
    STATUS_CLIENT_LEFT,
    AttemptReceived,
    LedgerEvent,
    RequestEnded,
    RequestSent,
)
from linetrack.experiments.audit import FACTS_FILE, Rule, RunFacts, audit
from linetrack.experiments.sidecar_process import free_port
from linetrack.experiments.soak.campaign import Campaign, replay_command
from linetrack.experiments.soak.run import SoakVerdict
from linetrack.experiments.soak.scenario import SidecarFaultKind, draw_scenario
from tests.support.paths import ROOT

CI_SEEDS = (1, 2, 3, 4)
CI_LENGTH_S = 14.0


def test_each_seed_draws_one_scenario_and_many_seeds_cover_every_sidecar_fault() -> None:
    assert draw_scenario(7) == draw_scenario(7)
    assert draw_scenario(7) != draw_scenario(8)
    scenarios = [draw_scenario(seed) for seed in range(200)]
    assert {fault.kind for scenario in scenarios for fault in scenario.sidecar_faults} == set(
        SidecarFaultKind
    )
    assert {scenario.has_overload_rule for scenario in scenarios} == {True, False}
    for scenario in scenarios:
        experiment = scenario.experiment
        assert 20 <= experiment.length_s <= 40
        assert 1 <= len(experiment.sidecars.zones) <= 4
        assert 4 <= sum(group.count for group in experiment.fleet.groups) <= 20
        assert all(300 <= request_class.timeout_ms <= 3000 for request_class in experiment.classes)


def test_a_scenario_leaves_out_faults_by_number() -> None:
    scenario = draw_scenario(3)
    descriptions = scenario.describe_faults()
    for number in range(scenario.fault_count):
        kept = scenario.without(frozenset({number})).describe_faults()
        assert kept == descriptions[:number] + descriptions[number + 1 :]
    assert scenario.without(frozenset(range(len(descriptions)))).fault_count == 0


def test_the_replay_command_names_seed_length_and_left_out_faults() -> None:
    assert replay_command(5, None) == "linetrack experiment soak --seed 5"
    without = frozenset({2, 0})
    assert replay_command(5, 14.0, without) == "linetrack experiment soak --seed 5 --length 14 --without 0,2"


@pytest.mark.parametrize(("after_us", "breaches"), [(-1000, 0), (100_000, 0), (200_000, 1)])
def test_the_audit_reports_attempts_that_begin_over_100_ms_after_the_client_left(
    tmp_path: Path, after_us: int, breaches: int
) -> None:
    left_at = 1_000_000
    sent = RequestSent(900_000, "t", 0, 900_000, 2_900_000, 1, 0, "k", "free")
    write_ledger(
        tmp_path / "load-0.jsonl", [sent, RequestEnded(left_at, "t", STATUS_CLIENT_LEFT, "", "", "")]
    )
    received_at = left_at + after_us
    write_ledger(
        tmp_path / "emulator-0.jsonl", [AttemptReceived(received_at, "u0", "t", received_at, "SERVING")]
    )
    facts = RunFacts(max_attempts=1, drain_grace=0, idempotency_by_class={})
    (tmp_path / FACTS_FILE).write_bytes(msgspec.json.encode(facts))
    findings = audit(tmp_path)
    assert findings.breaches[Rule.BEGUN_TOO_LATE] == breaches
    assert findings.breaches[Rule.LOST] == 0


def write_ledger(path: Path, events: list[LedgerEvent]) -> None:
    ledger = Ledger(path)
    for event in events:
        ledger.write(event)
    ledger.close()


@pytest.mark.parametrize("seed", CI_SEEDS)
def test_the_program_keeps_the_rules_in_short_scenarios(tmp_path: Path, seed: int) -> None:
    """Some failures occur only if faults overlap; `experiment soak` runs more and longer scenarios."""
    (result,) = Campaign((seed,), tmp_path, length_s=CI_LENGTH_S).run()
    assert result.verdict is SoakVerdict.HELD, (result.findings, replay_command(seed, CI_LENGTH_S))
    assert result.requests > 100
    assert list(Campaign((seed,), tmp_path, length_s=CI_LENGTH_S).run()) == [result], (
        "the stored result was not reused"
    )


def test_a_crash_of_the_program_is_reported(tmp_path: Path) -> None:
    build = tmp_path / "build"
    (build / "linetrack").mkdir(parents=True)
    (build / "linetrack" / "__init__.py").write_text(f"__path__.append({str(ROOT / 'linetrack')!r})\n")
    (build / "linetrack" / "__main__.py").write_text(
        f"import os, sys\nsys.path.insert(0, {str(ROOT)!r})\n"
        "from linetrack.server.lifecycle import main\nimport gevent\n"
        "gevent.spawn_later(3.0, os._exit, 7)\nsys.exit(main(os.environ))\n"
    )
    campaign = Campaign((1,), tmp_path / "out", length_s=10.0, build=build)
    scenario = draw_scenario(1, 10.0)
    campaign = replace(campaign, without=frozenset(range(scenario.fault_count)))
    (result,) = campaign.run()
    assert result.verdict is SoakVerdict.BROKEN
    assert any("ended by itself, status 7" in finding for finding in result.findings)


@pytest.mark.parametrize(
    ("arguments", "message"),
    [
        (["--seed", "x"], "--seed: 'x': expected a whole number"),
        (["--length", "1"], "--length: '1': expected 10 to 600 s"),
        (["--jobs", "100000"], "--jobs: "),
    ],
)
def test_invalid_arguments_are_reported_in_one_line_and_nothing_is_started(
    tmp_path: Path, arguments: list[str], message: str
) -> None:
    command = [sys.executable, "-m", "linetrack", "experiment", "soak", "--out", str(tmp_path / "out")]
    completed = subprocess.run([*command, *arguments], cwd=ROOT, capture_output=True, text=True, check=False)
    assert completed.returncode == 2
    assert completed.stderr.count("\n") == 1
    assert message in completed.stderr
    assert not (tmp_path / "out").exists()


def test_sidecar_ports_are_outside_the_range_of_outgoing_connections() -> None:
    """A sidecar could not listen again after a restart if an outgoing connection was given its port."""
    first_outgoing = int(Path("/proc/sys/net/ipv4/ip_local_port_range").read_text().split()[0])
    ports = [free_port() for _ in range(50)]
    assert max(ports) < first_outgoing
    assert len(set(ports)) == 50
