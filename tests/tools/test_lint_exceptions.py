"""Tests that the list of exceptions to lint rules is accurate and does not grow."""

import pytest

from tests.tools.lint_exceptions import (
    EXCEPTABLE,
    PERMANENT,
    ROOT,
    Exceptions,
    count_pairs,
    find_needed,
    read_listed,
)

#: Pairs of file and rule in `pyproject.toml`.  Lower it whenever an entry is removed; never raise it.
RECORDED_PAIRS = 0
#: Folders in which no file may have exceptions.
FINISHED = ("linetrack/", "tests/")


@pytest.fixture(scope="module")
def listed() -> Exceptions:
    return read_listed()


def test_the_permanent_exceptions_are_listed_unchanged(listed: Exceptions) -> None:
    assert {name: codes for name, codes in listed.items() if name in PERMANENT} == PERMANENT


def test_only_exceptable_rules_have_exceptions(listed: Exceptions) -> None:
    assert not [code for codes in listed.values() for code in codes if not code.startswith(EXCEPTABLE)]


def test_exceptions_name_existing_files(listed: Exceptions) -> None:
    missing = [name for name in listed if name not in PERMANENT and not (ROOT / name).is_file()]
    assert not missing


def test_every_exception_is_still_needed(listed: Exceptions) -> None:
    needed = find_needed()
    unneeded = {name: codes - needed.get(name, frozenset()) for name, codes in listed.items()}
    assert not {name: sorted(codes) for name, codes in unneeded.items() if codes and name not in PERMANENT}


def test_the_number_of_exceptions_does_not_grow(listed: Exceptions) -> None:
    assert count_pairs(listed) == RECORDED_PAIRS


def test_finished_folders_have_no_exceptions(listed: Exceptions) -> None:
    assert not [name for name in listed if name not in PERMANENT and name.startswith(FINISHED)]


def test_no_line_suppresses_a_lint_rule() -> None:
    mark = "# no" + "qa"
    files = [path for folder in ("linetrack", "tests") for path in (ROOT / folder).rglob("*.py")]
    assert not [path.relative_to(ROOT).as_posix() for path in files if mark in path.read_text()]
