"""What the tests of the network code share."""

from __future__ import annotations

from collections.abc import Iterator

import gevent
import pytest

from linetrack.server.budget import Budget
from linetrack.server.listener import Listener
from tests.server.in_process import InProcessSidecar
from tests.server.listener_client import RecordingDispatcher
from tests.support.servers import UpstreamServer
from tests.support.units import SECOND


@pytest.fixture
def sidecar() -> Iterator[InProcessSidecar]:
    """Listener, dispatcher and pool in this process, with a scripted policy."""
    made = InProcessSidecar()
    yield made
    made.close()


@pytest.fixture
def dispatcher() -> RecordingDispatcher:
    """Takes requests and responds to none by itself."""
    return RecordingDispatcher()


@pytest.fixture
def listener(dispatcher: RecordingDispatcher) -> Listener:
    """A listener that accepts connections, without a dispatcher or a policy behind it."""
    made = Listener(dispatcher, Budget(1024, 192), ("look",), (2 * SECOND,), lambda: True)  # type: ignore[arg-type]
    made.listen(("127.0.0.1", 0))
    gevent.spawn(made.accept)
    return made


@pytest.fixture
def server() -> Iterator[UpstreamServer]:
    """One endpoint, `a`, that serves every request."""
    made = UpstreamServer("a")
    yield made
    made.close()
