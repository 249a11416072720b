"""The policy as a whole: it is deterministic for a seed, and ignores late and unknown events."""

from __future__ import annotations

from linetrack.policy.events import (
    ClientDisconnected,
    Outcome,
    TimerFired,
)
from tests.helpers import Driver, sends


def test_same_events_give_same_actions() -> None:
    one, two = Driver(seed=9), Driver(seed=9)
    for _ in range(50):
        assert one.start_request()[1] == two.start_request()[1]


def test_late_and_unknown_events_are_ignored() -> None:
    driver = Driver()
    request, actions = driver.start_request()
    endpoint = sends(actions)[0]
    driver.end(request, endpoint)
    assert driver.end(request, endpoint) == []
    assert driver.end(999, "nowhere", Outcome.ERROR) == []
    assert (
        driver.handle_event(ClientDisconnected(request)) == driver.handle_event(ClientDisconnected(777)) == []
    )
    assert driver.handle_event(TimerFired("copy:1")) == driver.handle_event(TimerFired("nonsense")) == []
