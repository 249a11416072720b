"""Tests that modules are short, and that no import gets a one-letter name."""

import ast
from pathlib import Path

ROOT = Path(__file__).parent.parent.parent
MAX_LINES = 400  # per module


def find_modules(*folders: str) -> list[Path]:
    return sorted(path for folder in folders for path in (ROOT / folder).rglob("*.py"))


def test_no_module_exceeds_the_line_limit() -> None:
    lengths = {path: len(path.read_text().splitlines()) for path in find_modules("linetrack")}
    assert not {
        path.relative_to(ROOT).as_posix(): lines for path, lines in lengths.items() if lines > MAX_LINES
    }


def test_no_import_is_renamed_to_one_letter() -> None:
    short = [
        f"{path.relative_to(ROOT)}:{node.lineno}: {alias.asname}"
        for path in find_modules("linetrack", "tests")
        for node in ast.walk(ast.parse(path.read_text()))
        if isinstance(node, ast.Import | ast.ImportFrom)
        for alias in node.names
        if alias.asname and len(alias.asname) == 1
    ]
    assert not short
