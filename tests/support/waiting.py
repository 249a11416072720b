"""Functions that wait for a condition, with a time limit."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

import gevent

TIMEOUT_SECONDS = 20.0  # after which a test that waits for a condition fails


def wait_until(condition: Callable[[], Any], description: str = "") -> Any:
    """Return the first true value of the condition; raise AssertionError after `TIMEOUT_SECONDS`."""
    deadline = time.monotonic() + TIMEOUT_SECONDS
    while time.monotonic() < deadline:
        if value := condition():
            return value
        time.sleep(0.002)
    raise AssertionError(f"not reached in time: {description or condition}")


def run_until(condition: Callable[[], Any]) -> None:
    """Run this process's greenlets until the condition holds; raise a timeout after `TIMEOUT_SECONDS`."""
    with gevent.Timeout(TIMEOUT_SECONDS):
        while not condition():
            gevent.sleep(0.001)
