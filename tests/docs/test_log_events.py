"""Tests that each log event has a row in docs/on-call.md with its level and fields, and vice versa."""

import ast
import re
from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).parent.parent.parent
LEVELS = {"info": "info", "warning": "warning", "error": "error", "exception": "error"}
#: | `event` | level | `field`, `field` | ...
ROW = re.compile(r"^\| `(\w+)` \| (info|warning|error) \|([^|]*)\|", re.MULTILINE)
NAME = re.compile(r"`(\w+)`")


@dataclass
class LoggedEvent:
    """The levels and fields of all log calls of one event."""

    levels: set[str] = field(default_factory=set)
    fields: set[str] = field(default_factory=set)


def find_logged_events() -> dict[str, LoggedEvent]:
    """Return the events that the code in `linetrack/` logs, by name."""
    events: defaultdict[str, LoggedEvent] = defaultdict(LoggedEvent)
    for path in sorted((ROOT / "linetrack").rglob("*.py")):
        for call, method in find_log_calls(ast.parse(path.read_text())):
            event = events[read_event_name(call)]
            event.levels.add(LEVELS[method])
            event.fields |= {keyword.arg for keyword in call.keywords if keyword.arg}
    return dict(events)


def find_log_calls(tree: ast.Module) -> Iterator[tuple[ast.Call, str]]:
    """Yield each call of a logging method of `log`, and the method's name."""
    for node in ast.walk(tree):
        match node:
            case ast.Call(func=ast.Attribute(value=ast.Name(id="log"), attr=method)) if method in LEVELS:
                yield node, method


def read_event_name(call: ast.Call) -> str:
    """Return the event name of a log call: its first argument, which must be a string literal."""
    name = call.args[0]
    assert isinstance(name, ast.Constant), ast.unparse(call)
    assert isinstance(name.value, str), ast.unparse(call)
    return name.value


def read_documented_events() -> dict[str, LoggedEvent]:
    """Return the events of the page's tables, by name."""
    rows = ROW.findall((ROOT / "docs/on-call.md").read_text())
    assert len({name for name, _, _ in rows}) == len(rows), "an event has two rows"
    return {name: LoggedEvent({level}, set(NAME.findall(fields))) for name, level, fields in rows}


def test_each_event_is_documented_with_its_level_and_fields() -> None:
    logged, documented = find_logged_events(), read_documented_events()
    assert logged
    assert documented.keys() == logged.keys()
    assert {name: event.levels for name, event in documented.items()} == {
        name: event.levels for name, event in logged.items()
    }
    assert not {
        name: event.fields - documented[name].fields
        for name, event in logged.items()
        if event.fields - documented[name].fields
    }
