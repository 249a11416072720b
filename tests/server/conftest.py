"""Fixtures of the tests of the network code."""

from __future__ import annotations

from collections.abc import Iterator

import gevent
import pytest

from linetrack.server.budget import Budget
from linetrack.server.listener import Listener
from tests.server.in_process import InProcessSidecar
from tests.server.listener_client import StoppedDispatcher
from tests.support.servers import UpstreamServer
from tests.support.units import SECOND


@pytest.fixture
def sidecar() -> Iterator[InProcessSidecar]:
    """Listener, dispatcher and pool in this process, with a scripted policy."""
    sidecar = InProcessSidecar()
    yield sidecar
    sidecar.close()


@pytest.fixture
def dispatcher() -> StoppedDispatcher:
    """A dispatcher that does not run, so that requests stay pending."""
    return StoppedDispatcher()


@pytest.fixture
def listener(dispatcher: StoppedDispatcher) -> Listener:
    """A listener that accepts connections, in front of a dispatcher that does not run."""
    listener = Listener(dispatcher, Budget(1024, 192), ("look",), (2 * SECOND,), lambda: True)
    listener.listen(("127.0.0.1", 0))
    gevent.spawn(listener.accept)
    return listener


@pytest.fixture
def server() -> Iterator[UpstreamServer]:
    """One endpoint, `a`, that serves every request."""
    server = UpstreamServer("a")
    yield server
    server.close()
