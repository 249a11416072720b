"""Tests that are known to fail for a real fault: passed over by exact name, printed, and few."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

import pytest

MOST = 3


@dataclass(frozen=True)
class Red:
    name: str
    cause: str
    issue: str


def read(text: str) -> list[Red]:
    """The lines of the file, but for comments; a ValueError that names what is wrong with one."""
    reds = []
    for line in text.splitlines():
        if not line.strip() or line.startswith("#"):
            continue
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 3 or not all(parts) or "::" not in parts[0]:
            raise ValueError(f"not `test | cause | issue`: {line!r}")
        reds.append(Red(*parts))
    if len(reds) > MOST:
        raise ValueError(f"{len(reds)} tests, {MOST} at most")
    if len({red.name for red in reds}) < len(reds):
        raise ValueError("a test is there twice")
    return reds


class KnownRed:
    """A plugin of pytest: what the file lists may fail, and must."""

    def __init__(self, file: Path) -> None:
        try:
            self.reds = read(file.read_text()) if file.exists() else []
        except ValueError as fault:
            raise pytest.UsageError(f"{file.name}: {fault}") from None
        self.file = file

    @pytest.hookimpl(tryfirst=True)
    def pytest_collection_modifyitems(self, config: pytest.Config, items: list[pytest.Item]) -> None:
        """Before anything is deselected; a file that was not asked for is not looked for."""
        known = {item.nodeid: item for item in items}
        files = {nodeid.partition("::")[0] for nodeid in known}
        whole = not any("::" in str(argument) for argument in config.args)
        for red in self.reds:
            file = red.name.partition("::")[0]
            if red.name in known:
                reason = f"{red.cause} ({red.issue})"
                known[red.name].add_marker(pytest.mark.xfail(reason=reason, strict=True))
            elif whole and (file in files or not (config.rootpath / file).exists()):
                # guards against a line that outlives its test, or never named one
                raise pytest.UsageError(f"{self.file.name}: there is no test {red.name}")

    def pytest_terminal_summary(self, terminalreporter: pytest.TerminalReporter) -> None:
        for red in self.reds:
            terminalreporter.write_line(f"known red: {red.name}: {red.cause} ({red.issue})")
