"""Essential greenlets, whose failure must end the process."""

import os

import gevent
import pytest

from linetrack.server.greenlets import spawn_essential
from tests.support.waiting import TIMEOUT_SECONDS


def test_an_essential_greenlet_that_fails_ends_the_process(monkeypatch: pytest.MonkeyPatch) -> None:
    # An unhandled exception must not end one greenlet silently while the others keep running.
    exit_statuses: list[int] = []
    monkeypatch.setattr(os, "_exit", exit_statuses.append)

    def fail() -> None:
        raise RuntimeError("a defect")

    spawn_essential("failing", fail).join(TIMEOUT_SECONDS)
    assert exit_statuses == [1]
    spawn_essential("killed", lambda: gevent.sleep(TIMEOUT_SECONDS)).kill()
    assert exit_statuses == [1]
