"""Logging setup: JSON lines on standard error, limited in rate."""

from __future__ import annotations

import sys
from collections.abc import Callable

import structlog
from structlog.typing import EventDict

from linetrack.server.clock import clock

MIN_LINE_INTERVAL_US = 1_000_000  # between two lines of the same event


class LogRateLimiter:
    """A structlog processor that passes at most one line per second of each event.

    A flood of lines would keep the only core busy.  Lines of level info always pass: they report the
    lifecycle of the process, and are few.
    """

    def __init__(self, time: Callable[[], int] = clock) -> None:
        """Create a limiter; `time` returns the current time in microseconds."""
        self._time = time
        self._last_line_at: dict[str, int] = {}
        self._suppressed: dict[str, int] = {}

    def __call__(self, _logger: object, method: str, line: EventDict) -> EventDict:
        """Return a line with the number of lines suppressed before it, or raise structlog.DropEvent."""
        if method == "info":
            return line
        event = str(line["event"])
        now = self._time()
        if now - self._last_line_at.get(event, -MIN_LINE_INTERVAL_US) < MIN_LINE_INTERVAL_US:
            self._suppressed[event] = self._suppressed.get(event, 0) + 1
            raise structlog.DropEvent
        self._last_line_at[event] = now
        if suppressed := self._suppressed.pop(event, 0):
            line["suppressed"] = suppressed
        return line


def configure_logging() -> None:
    """Configure structlog to write JSON lines to standard error."""
    structlog.configure(
        processors=[
            LogRateLimiter(),
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso"),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )
