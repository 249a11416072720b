"""The list of files that may still break a lint rule can only shrink."""

import pytest

from tests.tools.lint_exceptions import (
    EXCEPTABLE,
    ROOT,
    STANDING,
    Exceptions,
    count_pairs,
    find_needed,
    read_listed,
)

#: Pairs of a file and a rule in `pyproject.toml`.  Lower it with each entry that goes; it is never raised.
RECORDED_PAIRS = 0
#: Folders whose every file keeps every rule.
FINISHED = ("linetrack/", "tests/")


@pytest.fixture(scope="module")
def listed() -> Exceptions:
    return read_listed()


def test_standing_exceptions_are_the_stated_ones(listed: Exceptions) -> None:
    assert {name: codes for name, codes in listed.items() if name in STANDING} == STANDING


def test_only_the_newer_rules_have_exceptions(listed: Exceptions) -> None:
    assert not [code for codes in listed.values() for code in codes if not code.startswith(EXCEPTABLE)]


def test_every_other_exception_names_a_file_that_exists(listed: Exceptions) -> None:
    missing = [name for name in listed if name not in STANDING and not (ROOT / name).is_file()]
    assert not missing


def test_every_exception_is_still_needed(listed: Exceptions) -> None:
    needed = find_needed()
    idle = {name: codes - needed.get(name, frozenset()) for name, codes in listed.items()}
    assert not {name: sorted(codes) for name, codes in idle.items() if codes and name not in STANDING}


def test_the_number_of_exceptions_does_not_grow(listed: Exceptions) -> None:
    assert count_pairs(listed) == RECORDED_PAIRS


def test_finished_folders_have_no_exceptions(listed: Exceptions) -> None:
    assert not [name for name in listed if name not in STANDING and name.startswith(FINISHED)]


def test_no_line_is_excepted() -> None:
    mark = "# no" + "qa"
    files = [path for folder in ("linetrack", "tests") for path in (ROOT / folder).rglob("*.py")]
    assert not [path.relative_to(ROOT).as_posix() for path in files if mark in path.read_text()]
