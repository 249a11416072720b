"""Tests that are known to fail for a real fault: excused by exact name, printed, and few."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

import pytest

MAX_KNOWN_FAILURES = 3


@dataclass(frozen=True)
class KnownFailure:
    """One line of the list: a test's node id, why it fails, and the issue that mends it."""

    test: str
    cause: str
    issue: str

    @property
    def file(self) -> str:
        """The file that holds the test."""
        return self.test.partition("::")[0]

    @property
    def reason(self) -> str:
        """The cause and the issue, as they are printed."""
        return f"{self.cause} ({self.issue})"


def parse(text: str) -> list[KnownFailure]:
    """Return the lines of the list, without comments.

    Raises:
        ValueError: A line is malformed, a test is listed twice, or there are too many.
    """
    failures = []
    for line in text.splitlines():
        if not line.strip() or line.startswith("#"):
            continue
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 3 or not all(parts) or "::" not in parts[0]:
            raise ValueError(f"not `test | cause | issue`: {line!r}")
        failures.append(KnownFailure(*parts))
    if len(failures) > MAX_KNOWN_FAILURES:
        raise ValueError(f"{len(failures)} tests, {MAX_KNOWN_FAILURES} at most")
    if len({failure.test for failure in failures}) < len(failures):
        raise ValueError("a test is there twice")
    return failures


class KnownRed:
    """A plugin of pytest: what the list names may fail, and must."""

    def __init__(self, file: Path) -> None:
        try:
            self.failures = parse(file.read_text()) if file.exists() else []
        except ValueError as error:
            raise pytest.UsageError(f"{file.name}: {error}") from None
        self.file = file

    @pytest.hookimpl(tryfirst=True)
    def pytest_collection_modifyitems(self, config: pytest.Config, items: list[pytest.Item]) -> None:
        """Mark the listed tests, before anything is deselected; files that do not run are passed over."""
        items_by_name = {item.nodeid: item for item in items}
        collected_files = {name.partition("::")[0] for name in items_by_name}
        runs_complete_files = not any("::" in str(argument) for argument in config.args)
        for failure in self.failures:
            if failure.test in items_by_name:
                mark = pytest.mark.xfail(reason=failure.reason, strict=True)
                items_by_name[failure.test].add_marker(mark)
                continue
            is_missing = failure.file in collected_files or not (config.rootpath / failure.file).exists()
            if runs_complete_files and is_missing:
                # a line that outlives its test, or never named one, would excuse nothing
                raise pytest.UsageError(f"{self.file.name}: there is no test {failure.test}")

    def pytest_terminal_summary(self, terminalreporter: pytest.TerminalReporter) -> None:
        """Print the listed tests."""
        for failure in self.failures:
            terminalreporter.write_line(f"known red: {failure.test}: {failure.reason}")
