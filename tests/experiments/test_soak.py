"""The soak: what its seeds draw, what it judges, and a short part of it on the program itself."""

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
from linetrack.experiments.soak.history import SidecarTrouble, draw_history
from linetrack.experiments.soak.run import SoakVerdict
from tests.support.paths import ROOT

CI_SEEDS = (1, 2, 3, 4)
CI_LENGTH_S = 14.0


def test_a_seed_draws_one_history_and_the_seeds_together_every_trouble() -> None:
    assert draw_history(7) == draw_history(7)
    assert draw_history(7) != draw_history(8)
    histories = [draw_history(seed) for seed in range(200)]
    assert {step.kind for history in histories for step in history.steps} == set(SidecarTrouble)
    assert {history.has_overload_rule for history in histories} == {True, False}
    for history in histories:
        experiment = history.experiment
        assert 20 <= experiment.length_s <= 40
        assert 1 <= len(experiment.sidecars.zones) <= 4
        assert 4 <= sum(group.count for group in experiment.fleet.groups) <= 20
        assert all(300 <= one.timeout_ms <= 3000 for one in experiment.classes)


def test_troubles_are_left_out_by_their_numbers() -> None:
    history = draw_history(3)
    names = history.trouble_names()
    for number in range(history.trouble_count):
        kept = history.without(frozenset({number})).trouble_names()
        assert kept == names[:number] + names[number + 1 :]
    assert history.without(frozenset(range(len(names)))).trouble_count == 0


def test_a_command_plays_a_seed_again_with_what_was_left_out() -> None:
    assert replay_command(5, None) == "linetrack experiment soak --seed 5"
    without = frozenset({2, 0})
    assert replay_command(5, 14.0, without) == "linetrack experiment soak --seed 5 --length 14 --without 0,2"


@pytest.mark.parametrize(("after_us", "breaches"), [(-1000, 0), (100_000, 0), (200_000, 1)])
def test_an_attempt_that_begins_after_its_client_has_left_is_found(
    tmp_path: Path, after_us: int, breaches: int
) -> None:
    left_at = 1_000_000
    sent = RequestSent(900_000, "t", 0, 900_000, 2_900_000, 1, 0, "k", "free")
    write_ledger(
        tmp_path / "load-0.jsonl", [sent, RequestEnded(left_at, "t", STATUS_CLIENT_LEFT, "", "", "")]
    )
    begun_at = left_at + after_us
    write_ledger(tmp_path / "emulator-0.jsonl", [AttemptReceived(begun_at, "u0", "t", begun_at, "SERVING")])
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
def test_a_short_history_breaks_nothing(tmp_path: Path, seed: int) -> None:
    """Guards against what only troubles one upon the other show; `experiment soak` plays more, and longer."""
    (result,) = Campaign((seed,), tmp_path, length_s=CI_LENGTH_S).play()
    assert result.verdict is SoakVerdict.HELD, (result.findings, replay_command(seed, CI_LENGTH_S))
    assert result.requests > 100
    assert list(Campaign((seed,), tmp_path, length_s=CI_LENGTH_S).play()) == [result], (
        "it is not played again"
    )


def test_a_program_that_crashes_is_found(tmp_path: Path) -> None:
    build = tmp_path / "build"
    (build / "linetrack").mkdir(parents=True)
    (build / "linetrack" / "__init__.py").write_text(f"__path__.append({str(ROOT / 'linetrack')!r})\n")
    (build / "linetrack" / "__main__.py").write_text(
        f"import os, sys\nsys.path.insert(0, {str(ROOT)!r})\n"
        "from linetrack.server.lifecycle import main\nimport gevent\n"
        "gevent.spawn_later(3.0, os._exit, 7)\nsys.exit(main(os.environ))\n"
    )
    campaign = Campaign((1,), tmp_path / "out", length_s=10.0, build=build)
    history = draw_history(1, 10.0)
    campaign = replace(campaign, without=frozenset(range(history.trouble_count)))
    (result,) = campaign.play()
    assert result.verdict is SoakVerdict.BROKEN
    assert any("ended by itself, status 7" in finding for finding in result.findings)


@pytest.mark.parametrize(
    ("arguments", "said"),
    [
        (["--seed", "x"], "--seed: 'x': expected a whole number"),
        (["--length", "1"], "--length: '1': expected 10 to 600 s"),
        (["--jobs", "100000"], "--jobs: "),
    ],
)
def test_bad_input_is_one_line_and_nothing_is_started(
    tmp_path: Path, arguments: list[str], said: str
) -> None:
    command = [sys.executable, "-m", "linetrack", "experiment", "soak", "--out", str(tmp_path / "out")]
    done = subprocess.run([*command, *arguments], cwd=ROOT, capture_output=True, text=True, check=False)
    assert done.returncode == 2
    assert done.stderr.count("\n") == 1
    assert said in done.stderr
    assert not (tmp_path / "out").exists()


def test_ports_of_sidecars_are_none_that_outgoing_connections_are_given() -> None:
    """Guards against a sidecar that cannot listen again as a connection has its port."""
    first_outgoing = int(Path("/proc/sys/net/ipv4/ip_local_port_range").read_text().split()[0])
    ports = [free_port() for _ in range(50)]
    assert max(ports) < first_outgoing
    assert len(set(ports)) == 50
