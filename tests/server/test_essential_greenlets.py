"""Greenlets without which the program must not go on."""

import os

import gevent
import pytest

from linetrack.server.greenlets import spawn_essential
from tests.support.waiting import TIMEOUT_SECONDS


def test_an_essential_greenlet_that_fails_ends_the_process(monkeypatch: pytest.MonkeyPatch) -> None:
    # an unhandled exception must not end a greenlet silently while the others go on
    exit_statuses: list[int] = []
    monkeypatch.setattr(os, "_exit", exit_statuses.append)

    def fail() -> None:
        raise RuntimeError("a defect")

    spawn_essential("failing", fail).join(TIMEOUT_SECONDS)
    assert exit_statuses == [1]
    spawn_essential("killed", lambda: gevent.sleep(TIMEOUT_SECONDS)).kill()
    assert exit_statuses == [1]
