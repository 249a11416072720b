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
        assert one.ask()[1] == two.ask()[1]


def test_late_and_unknown_events_are_ignored() -> None:
    driver = Driver()
    request, actions = driver.ask()
    endpoint = sends(actions)[0]
    driver.end(request, endpoint)
    assert driver.end(request, endpoint) == []
    assert driver.end(999, "nowhere", Outcome.ERROR) == []
    assert driver.feed(ClientDisconnected(request)) == driver.feed(ClientDisconnected(777)) == []
    assert driver.feed(TimerFired("copy:1")) == driver.feed(TimerFired("nonsense")) == []
