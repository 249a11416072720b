"""The rate limit on log lines of the same event."""

import pytest
import structlog

from linetrack.server.logging_setup import MIN_LINE_INTERVAL_US, LogRateLimiter


def test_a_repeated_event_is_logged_once_a_second_with_the_number_suppressed() -> None:
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
