"""Tests of the operators' file: the settings it gives, and errors that name file, key and expected value."""

import re
from pathlib import Path

import pytest
from click.testing import CliRunner

from linetrack.cli.main import cli
from linetrack.config.check import FileError
from linetrack.config.operators import platform_form, read_operators_file
from linetrack.policy.settings import Idempotency, Settings
from linetrack.server.config import parse_config
from tests.support.paths import ROOT

SAMPLE = ROOT / "deploy" / "sidecar.toml"


def policy_settings(path: Path) -> Settings:
    return parse_config(platform_form(read_operators_file(path)), {}).settings


def test_the_sample_file_is_valid_and_gives_the_expected_configuration() -> None:
    config = parse_config(platform_form(read_operators_file(SAMPLE)), {})
    assert config.name == "n0"
    assert config.class_names == ("lookup", "sale")
    assert config.class_timeouts == (1_000_000, 2_000_000)
    assert config.settings.max_attempts == 3
    assert config.settings.classes[1].idempotency is Idempotency.IDEMPOTENCY_KEY
    assert config.settings.slow_start_initial_fraction == 0.2


def test_the_retry_limit_is_off_by_default_and_an_incomplete_limit_is_rejected(tmp_path: Path) -> None:
    assert not policy_settings(SAMPLE).retry_window
    path = tmp_path / "f.toml"
    keys = "max_attempts = 3\nfurther_window_ms = 2000\nfurther_free = 2\nfurther_share = 0.1"
    path.write_text(SAMPLE.read_text().replace("max_attempts = 3", keys, 1))
    limited = policy_settings(path)
    assert (limited.retry_window, limited.retry_window_allowance) == (2_000_000, 2.0)
    assert limited.retry_window_ratio == 0.1
    path.write_text(SAMPLE.read_text().replace("max_attempts = 3", "max_attempts = 3\nfurther_free = 2", 1))
    result = CliRunner().invoke(cli, ["config", "check", str(path)])
    assert result.exit_code == 2
    assert "extraWindowUs" in result.stderr


@pytest.mark.parametrize(
    ("keys", "expected"),
    [
        ("fall_multiple = 3.0\noverload_ms = 1000", []),
        ("fall_multiple = 3.0", ["fall_multiple without upstreams.overload_ms", "weighted, not bounded"]),
        ("overload_ms = 1000", ["overload_ms without upstreams.fall_multiple", "weighted, not bounded"]),
        ("", ["weighted, not bounded"]),
    ],
)
def test_config_check_warns_if_the_overload_rule_lacks_a_key(
    tmp_path: Path, keys: str, expected: list[str]
) -> None:
    path = tmp_path / "f.toml"
    rule = "fall_multiple = 3.0\noverload_ms = 1000"
    assert rule in SAMPLE.read_text()
    path.write_text(SAMPLE.read_text().replace(rule, keys, 1))
    result = CliRunner().invoke(cli, ["config", "check", str(path)])
    lines = result.stderr.splitlines()
    assert result.exit_code == 0
    assert len(lines) == len(expected)
    assert all(part in line for part, line in zip(expected, lines, strict=True))


INVALID = [
    (
        "max_attempts = 3",
        "max_attemps = 3",
        "retries.max_attemps",
        r"retries.max_attemps: unknown key; nearest known key: max_attempts",
    ),
    (
        "max_attempts = 3",
        'max_attempts = "3"',
        "retries.max_attempts",
        r"retries.max_attempts: '3': expected `int`",
    ),
    (
        "max_attempts = 3",
        "max_attempts = 0",
        "retries.max_attempts",
        r"retries.max_attempts: 0: expected `int` >= 1",
    ),
    ('name = "n0"', "", "sidecar.name", r"sidecar.name: missing"),
    ("version = 1", "version = 2", "version", r"version: 2: "),
    ("aim_ms = 200", "aim_ms = 2000", "classes[0]", r"classes\[0\]: .*aim_ms of 'lookup'"),
    ('zone = "north"', 'zone = "west"', "the whole file", r"sidecar.zone 'west'"),
    ("version = 1", "version = ", "", r"line 3"),
]


@pytest.mark.parametrize(("old", "new", "key", "line"), INVALID)
def test_an_invalid_file_gives_a_one_line_error_with_file_key_and_expected_value(
    tmp_path: Path, old: str, new: str, key: str, line: str
) -> None:
    path = tmp_path / "f.toml"
    path.write_text(SAMPLE.read_text().replace(old, new, 1))
    with pytest.raises(FileError) as raised:
        read_operators_file(path)
    text = str(raised.value)
    assert text.startswith(f"{path}: ")
    assert "\n" not in text
    assert re.search(line, text), text
    assert (raised.value.source, raised.value.key) == (str(path), key)
    result = CliRunner().invoke(cli, ["config", "check", str(path)])
    assert result.exit_code == 2
    assert str(path) in result.stderr
