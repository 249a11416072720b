"""Checks the policy's source files: the list of files, size limits, and independence of any deployment."""

import ast
import re
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
POLICY = [ROOT / name for name in tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["policy"]]
MAX_MODULE_LINES = 400
MAX_FUNCTION_LINES = 40
MAX_LINE_LENGTH = 110


def test_every_policy_file_is_listed() -> None:
    files = {path for path in (ROOT / "linetrack" / "policy").iterdir() if path.suffix == ".py"}
    assert set(POLICY) == {path for path in files if path.name != "__init__.py"}
    assert len(POLICY) == len(set(POLICY))


@pytest.mark.parametrize("path", POLICY, ids=lambda path: path.stem)
def test_modules_functions_and_lines_are_short(path: Path) -> None:
    lines = path.read_text().splitlines()
    assert sum(1 for line in lines if line.strip()) <= MAX_MODULE_LINES
    assert max(map(len, lines)) <= MAX_LINE_LENGTH
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.FunctionDef):
            assert node.end_lineno is not None
            assert node.end_lineno - node.lineno < MAX_FUNCTION_LINES, node.name


def test_the_entry_module_names_the_interface_in_its_first_lines() -> None:
    entry = ROOT / "linetrack" / "policy" / "balancer.py"
    assert "linetrack/policy/events.py" in "\n".join(entry.read_text().splitlines()[:5])


@pytest.mark.parametrize("path", POLICY, ids=lambda path: path.stem)
def test_mentions_no_place_or_deployment_and_reads_no_environment_or_files(path: Path) -> None:
    text = path.read_text()
    assert not re.search(r"bajio|tiendas|abholung|wien|hq.quotes|regina|leon|environ|\bopen\(", text)
