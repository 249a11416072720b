"""Logging: events with fields as JSON lines on standard error, limited in rate.

It builds on the standard library's `logging` and imports nothing larger, as each sidecar holds it in memory.
"""

from __future__ import annotations

import json
import logging
import sys
from collections.abc import Callable
from datetime import UTC, datetime

from linetrack.server.clock import clock

MIN_LINE_INTERVAL_US = 1_000_000  # between two lines of the same event
ROOT_LOGGER = "linetrack"


class EventLogger:
    """Logs named events with fields; the name is a literal, as it identifies the event."""

    __slots__ = ("_logger",)

    def __init__(self, logger: logging.Logger) -> None:
        self._logger = logger

    def info(self, event: str, **fields: object) -> None:
        """Log a step in the lifecycle of the process; such lines are few, and never suppressed."""
        self._logger.info(event, extra={"fields": fields})

    def warning(self, event: str, **fields: object) -> None:
        """Log a fault of something outside the program."""
        self._logger.warning(event, extra={"fields": fields})

    def error(self, event: str, **fields: object) -> None:
        """Log a fault that operators have to mend."""
        self._logger.error(event, extra={"fields": fields})

    def exception(self, event: str, **fields: object) -> None:
        """Log a defect of the program with the traceback of the exception that is being handled."""
        self._logger.error(event, extra={"fields": fields}, exc_info=sys.exc_info())


def get_logger(name: str) -> EventLogger:
    """Return the logger of a module, given the module's name."""
    return EventLogger(logging.getLogger(name))


class EventRateLimiter(logging.Filter):
    """Passes at most one line per second of each event.

    A flood of lines would keep the only core busy.  Lines of level info always pass: they report the
    lifecycle of the process, and are few.
    """

    def __init__(self, time: Callable[[], int] = clock) -> None:
        """Create a limiter; `time` returns the current time in microseconds."""
        super().__init__()
        self._time = time
        self._last_line_at: dict[str, int] = {}
        self._suppressed: dict[str, int] = {}

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether the line passes; it then gets the number of lines suppressed before it."""
        if record.levelno <= logging.INFO:
            return True
        event = record.msg
        now = self._time()
        if now - self._last_line_at.get(event, -MIN_LINE_INTERVAL_US) < MIN_LINE_INTERVAL_US:
            self._suppressed[event] = self._suppressed.get(event, 0) + 1
            return False
        self._last_line_at[event] = now
        record.suppressed = self._suppressed.pop(event, 0)
        return True


class JsonFormatter(logging.Formatter):
    """Formats an event as one JSON object: its fields, its name, its level and its time."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the line without its end."""
        line: dict[str, object] = {**getattr(record, "fields", {}), "event": record.msg}
        if suppressed := getattr(record, "suppressed", 0):
            line["suppressed"] = suppressed
        line["level"] = record.levelname.lower()
        created = datetime.fromtimestamp(record.created, UTC)
        line["timestamp"] = created.isoformat(timespec="microseconds").replace("+00:00", "Z")
        if record.exc_info:
            line["exception"] = self.formatException(record.exc_info)
        return json.dumps(line, default=repr)


def configure_logging() -> None:
    """Write the events of this program to standard error; a line that cannot be written is dropped."""
    logging.raiseExceptions = False
    handler = logging.StreamHandler(sys.stderr)
    handler.addFilter(EventRateLimiter())
    handler.setFormatter(JsonFormatter())
    logger = logging.getLogger(ROOT_LOGGER)
    logger.handlers = [handler]
    logger.setLevel(logging.INFO)
    logger.propagate = False
