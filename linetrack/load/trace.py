"""Reads recorded traces and builds schedules from them."""

from __future__ import annotations

import csv
import json
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import numpy as np

from linetrack.config.check import FileError, read_text
from linetrack.load.schedule import Schedule
from linetrack.load.schema import Trace

MAX_TIME_S = 1e9  # bound on `at_s`


@dataclass
class _Rows:
    """The rows of a trace as columns; classes and keys are stored as indices."""

    at_s: list[float] = field(default_factory=list)
    class_index: list[int] = field(default_factory=list)
    key_index: list[int] = field(default_factory=list)
    key_indices: dict[str, int] = field(default_factory=dict)

    def add(self, row: dict[str, Any], class_names: list[str], source: str) -> None:
        """Check a row and add it; `source` is its file and line, for error messages."""
        try:
            at_s = float(row["at_s"])
            class_index = class_names.index(row["class"])
            key = str(row["key"])
        except KeyError as error:
            raise FileError(source, "missing", key=str(error.args[0])) from None
        except (TypeError, ValueError):
            reason = f"expected seconds and one of {', '.join(class_names)}"
            shown = f"at_s {row['at_s']!r}, class {row['class']!r}"
            raise FileError(source, reason, value=shown) from None
        if not 0 <= at_s < MAX_TIME_S:
            reason = "expected seconds, at least 0"
            raise FileError(source, reason, key="at_s", value=repr(row["at_s"]))
        self.at_s.append(at_s)
        self.class_index.append(class_index)
        self.key_index.append(self.key_indices.setdefault(key, len(self.key_indices)))


def schedule_from_trace(
    trace: Trace, length: int, class_names: list[str], folder: Path, generator: np.random.Generator
) -> Schedule:
    """Return the requests of a trace within `length` microseconds; its file is relative to `folder`.

    Raises:
        FileError: the file cannot be read, or a row is invalid.
    """
    path = folder / trace.file
    rows = _Rows()
    for line, row in _read_rows(path):
        rows.add(row, class_names, f"{path}:{line}")
    if not rows.at_s:
        raise FileError(path, "the trace has no rows")
    recorded_at = (np.array(rows.at_s) - min(rows.at_s)) / trace.time_compression * 1e6
    # Each row gives `scale` requests on average, which keeps the relative popularity of the keys.
    copies = np.floor(trace.scale + generator.uniform(size=len(recorded_at))).astype(np.int64)
    row_of = np.repeat(np.arange(len(recorded_at)), copies)
    is_first_copy = np.concatenate([[True], row_of[1:] != row_of[:-1]]) if len(row_of) else np.zeros(0, bool)
    spread = generator.uniform(0, max(trace.spread_ms, 1e-9) * 1000, len(row_of))
    due_at = (recorded_at[row_of] + np.where(is_first_copy, 0.0, spread)).astype(np.int64)
    order = np.argsort(due_at, kind="stable")
    order = order[due_at[order] < length]
    return Schedule(
        due_at=due_at[order],
        class_index=np.array(rows.class_index)[row_of][order],
        key_index=np.array(rows.key_index)[row_of][order],
        key_names=tuple(rows.key_indices),
    )


def _read_rows(path: Path) -> Iterator[tuple[int, dict[str, Any]]]:
    """Yield the rows of a trace with their line numbers."""
    text = read_text(path)
    if path.suffix == ".csv":
        reader = csv.DictReader(text.splitlines())
        for row in reader:
            yield reader.line_num, row
        return
    for line, content in enumerate(text.splitlines(), 1):
        if content.strip():
            yield line, _parse_object(content, f"{path}:{line}")


def _parse_object(content: str, source: str) -> dict[str, Any]:
    try:
        row = json.loads(content)
    except ValueError as error:
        raise FileError(source, f"not JSON: {error}") from None
    if not isinstance(row, dict):
        raise FileError(source, "expected an object", value=repr(row))
    return row
