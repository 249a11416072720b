"""Experiment files: errors that name the key, overrides by path, and bounds."""

import re
from pathlib import Path
from typing import Any

import pytest
import yaml
from click.testing import CliRunner

from linetrack.cli.main import cli
from linetrack.config.check import FileError
from linetrack.experiments.schema import Bound, read_experiment
from tests.support.paths import ROOT

FILES = sorted((ROOT / "experiments").glob("*.yaml"))


@pytest.mark.parametrize("path", FILES, ids=[path.stem for path in FILES])
def test_every_shipped_experiment_is_valid(path: Path) -> None:
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


@pytest.mark.parametrize(("change", "pattern"), INVALID)
def test_an_invalid_experiment_is_reported_with_its_key_and_nothing_is_started(
    tmp_path: Path, change: dict[str, Any], pattern: str
) -> None:
    path = tmp_path / "e.yaml"
    path.write_text(
        yaml.safe_dump({**yaml.safe_load((ROOT / "experiments" / "demo.yaml").read_text()), **change})
    )
    result = CliRunner().invoke(cli, ["experiment", "run", str(path), "--out", str(tmp_path / "out")])
    assert result.exit_code == 2
    assert re.search(pattern, result.stderr), result.stderr
    assert result.stderr.startswith(f"linetrack: {path}: ")
    assert not (tmp_path / "out").exists()


def test_overrides_set_values_by_path_and_yaml_errors_have_a_position(tmp_path: Path) -> None:
    path = ROOT / "experiments" / "demo.yaml"
    experiment = read_experiment(path, ("load.shapes.0.rate=7", "faults=[]", "fleet.processes=2"))
    assert experiment.load.shapes[0].rate == 7
    assert not experiment.faults
    assert experiment.fleet.processes == 2
    for override in ("load.shapes.9.rate=7", "length_s", "name.x=1"):
        with pytest.raises(FileError, match="--set"):
            read_experiment(path, (override,))
    (tmp_path / "e.yaml").write_text("name: [demo\nversion: 1\n")
    with pytest.raises(FileError, match=r"e\.yaml:2:\d+: ") as raised:
        read_experiment(tmp_path / "e.yaml")
    assert raised.value.source.startswith(f"{tmp_path / 'e.yaml'}:2:")


@pytest.mark.parametrize(
    ("text", "value", "held"), [(">= 0.9", 0.9, True), ("== 0", 1, False), ("< 5 %", 0.04, True)]
)
def test_a_bound_is_parsed_and_applied(text: str, value: float, held: bool) -> None:
    assert Bound.parse(text).holds(value) is held
