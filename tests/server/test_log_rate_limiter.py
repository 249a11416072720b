"""The limit on log lines of one event."""

import pytest
import structlog

from linetrack.server.logging_setup import MIN_LINE_INTERVAL_US, LogRateLimiter


def test_repeated_events_are_one_line_a_second_and_a_count() -> None:
    now = 0
    limiter = LogRateLimiter(lambda: now)
    assert limiter(None, "warning", {"event": "a"}) == {"event": "a"}
    for _ in range(5):
        with pytest.raises(structlog.DropEvent):
            limiter(None, "warning", {"event": "a"})
    assert limiter(None, "warning", {"event": "b"}) == {"event": "b"}
    assert limiter(None, "info", {"event": "a"}) == {"event": "a"}
    now = MIN_LINE_INTERVAL_US
    assert limiter(None, "warning", {"event": "a"}) == {"event": "a", "suppressed": 5}
