"""Tests that links between pages, and references from code and settings to pages, resolve."""

import re
from pathlib import Path

ROOT = Path(__file__).parent.parent.parent
LINK = re.compile(r"\]\(([^)\s]+)\)")
PAGE = re.compile(r"\bdocs/[\w/.-]+\.(?:md|toml)\b")


def find_files(*patterns: str) -> list[Path]:
    """Return the project's files that match the patterns, without hidden files and journal entries."""
    found = {path for pattern in patterns for path in ROOT.glob(pattern)}
    hidden = {path for path in found if any(part.startswith(".") for part in path.relative_to(ROOT).parts)}
    return sorted(path for path in found - hidden if path.relative_to(ROOT).parts[0] != "journal")


def test_relative_links_of_pages_resolve() -> None:
    broken = [
        f"{page.relative_to(ROOT)}: {target}"
        for page in find_files("*.md", "docs/**/*.md")
        for target in LINK.findall(page.read_text())
        if "://" not in target and not (page.parent / target.partition("#")[0]).exists()
    ]
    assert not broken


def test_pages_that_code_and_settings_name_exist() -> None:
    broken = [
        f"{path.relative_to(ROOT)}: {page}"
        for path in find_files(
            "linetrack/**/*.py", "tests/**/*.py", "deploy/**/*.toml", "*.toml", "experiments/*"
        )
        for page in PAGE.findall(path.read_text())
        if not (ROOT / page).exists()
    ]
    assert not broken
