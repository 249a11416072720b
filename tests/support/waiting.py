"""Waiting for a condition, with a time limit."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

import gevent

TIMEOUT_SECONDS = 20.0  # until a test that waits for something fails


def wait_until(condition: Callable[[], Any], description: str = "") -> Any:
    """Return the first true value of the condition; raises an AssertionError if it takes too long."""
    limit = time.monotonic() + TIMEOUT_SECONDS
    while time.monotonic() < limit:
        if value := condition():
            return value
        time.sleep(0.002)
    raise AssertionError(f"never came: {description or condition}")


def run_until(condition: Callable[[], Any]) -> None:
    """Run this process's greenlets until the condition holds."""
    with gevent.Timeout(TIMEOUT_SECONDS):
        while not condition():
            gevent.sleep(0.001)
