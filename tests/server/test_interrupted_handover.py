"""The successor ends during a handover: the predecessor undoes the handover and shuts down without one."""

from __future__ import annotations

import signal
import socket
import threading
import time
from collections.abc import Callable, Iterator
from pathlib import Path

import gevent
import pytest

from linetrack.control.hot_restart import Command
from linetrack.policy.balancer import Balancer
from linetrack.server.clock import clock
from linetrack.server.config import parse_config
from linetrack.server.hot_restart_channel import HotRestartChannel, socket_path
from linetrack.server.hot_restart_messages import ClientHandover, Handover, HotRestartMessage
from linetrack.server.hot_restart_predecessor import Predecessor
from linetrack.server.lifecycle import Sidecar
from tests.server.recorded_hot_restart import RecordedPeer, recorded
from tests.support.configuration import sidecar_config
from tests.support.http import HttpConnection, HttpMessage, class_request, http_response
from tests.support.servers import UpstreamServer
from tests.support.sidecar_process import Deployment, SidecarProcess
from tests.support.units import SECOND
from tests.support.waiting import wait_until

RETRY_WINDOW = 2 * SECOND


class EndingChannel(HotRestartChannel):
    """A channel to a successor that ends at one step, which is noticed while a frame is being sent."""

    def __init__(self, step: str, on_end: Callable[[], None]) -> None:
        super().__init__(gevent.socket.socket())
        self.step = step
        self.on_end = on_end
        self.has_ended = False

    def end(self) -> None:
        self.has_ended = True
        self.on_end()

    def send(self, message: HotRestartMessage, _descriptors: tuple[int, ...] = ()) -> bool:
        is_state = isinstance(message, Handover)
        if is_state and self.step == "while the state is written":
            self.end()
        if is_state and self.step == "between the state and the first client":
            gevent.spawn(self.end)
        if isinstance(message, ClientHandover) and self.step == "while a client is written":
            self.end()
        return not self.has_ended


STEPS = (
    "before the state",
    "while the state is written",
    "between the state and the first client",
    "while a client is written",
)


@pytest.fixture
def predecessor(tmp_path: Path) -> Iterator[Sidecar]:
    """A sidecar in this process, which serves one client and accepts successors."""
    values = sidecar_config("127.0.0.1:9", [])
    values["settings"]["rules"] = {"extraWindowUs": RETRY_WINDOW, "freeResends": 1}
    sidecar = Sidecar(lambda: parse_config({**values, "listen": "127.0.0.1:1"}, {}))
    sidecar.listener.listen(("127.0.0.1", 0))
    assert sidecar.listener.listening_socket is not None
    hot_restart = sidecar.hot_restart
    hot_restart._predecessor_role = Predecessor(
        tmp_path / "s", hot_restart._identity, hot_restart._grant_listener, hot_restart.execute
    )
    hot_restart.start_accepting()
    with gevent.Timeout(20), gevent.socket.create_connection(sidecar.listener.listening_socket.getsockname()):
        while not sidecar.listener.connections:
            gevent.sleep(0)
        yield sidecar
    hot_restart.stop_accepting()


@pytest.mark.parametrize("step", STEPS)
def test_a_predecessor_undoes_the_handover_if_its_successor_ends_at_any_step(
    predecessor: Sidecar, step: str
) -> None:
    """A handover that continued after it was undone would keep the process from draining."""
    hot_restart = predecessor.hot_restart
    limit = predecessor.budget.descriptors.limit
    channel = EndingChannel(step, lambda: hot_restart.execute(Command.RESUME))
    assert hot_restart._predecessor_role is not None
    hot_restart._predecessor_role.channel = channel
    if step == "before the state":
        gevent.spawn(channel.end)
    hot_restart.execute(Command.HAND_OVER)
    assert not hot_restart.wait_for_handover(clock() + 10 * SECOND)
    assert channel.has_ended
    assert hot_restart.is_accepting
    assert predecessor.listener.migrate is None
    assert len(predecessor.listener.connections) == 1
    assert predecessor.budget.descriptors.limit == limit
    policy = predecessor.policy_switch.policy
    assert isinstance(policy, Balancer)
    assert not policy.retry_window.is_exhausted(clock() + RETRY_WINDOW + SECOND)


def connect_ready_successor(sidecar: SidecarProcess, folder: Path) -> RecordedPeer:
    """Connect to the program as its successor and report that the successor is ready."""
    host, port = sidecar.address.split(":")
    path = socket_path(str(folder), sidecar.config["name"], (host, int(port)))
    sock = socket.socket(socket.AF_UNIX)
    sock.connect(str(path))
    peer = RecordedPeer(sock)
    peer.send(recorded("hello"))
    grant = peer.receive_next("grant")
    peer.send(recorded("ready"))
    wait_until(lambda: "hot_restart_ready" in sidecar.log())
    socket.close(grant.descriptors[0])
    return peer


# The longest class deadline, plus the time that the platform adds before SIGKILL.
MAX_SHUTDOWN_SECONDS = 2.0 + 0.7


@pytest.mark.parametrize("frames", [(), ("leave",), ("leave", "client"), ("leave", "client", "client")])
def test_a_predecessor_responds_to_all_requests_if_its_successor_ends(
    tmp_path: Path, frames: tuple[str, ...]
) -> None:
    """A process that did not stop accepting would be killed with requests in flight."""
    release = threading.Event()

    def respond_late(_message: HttpMessage, _connection: HttpConnection) -> bytes:
        release.wait(20)
        return http_response(b"late")

    deployment = Deployment(tmp_path, server := UpstreamServer("a", respond_late))
    deployment.sidecar.environ["TMPDIR"] = str(tmp_path)
    with deployment as sidecar:
        assert sidecar.process is not None
        in_flight, partly_sent, *idle = [sidecar.connect() for _ in range(4)]
        in_flight.sock.sendall(class_request())
        partly_sent.sock.sendall(class_request()[:20])
        wait_until(lambda: server.seen)
        peer = connect_ready_successor(sidecar, tmp_path)
        sidecar.process.send_signal(signal.SIGTERM)
        terminated_at = time.monotonic()
        descriptors = [descriptor for name in frames for descriptor in peer.receive_next(name).descriptors]
        peer.sock.close()
        for descriptor in descriptors:
            socket.close(descriptor)
        partly_sent.sock.sendall(class_request()[20:])
        late_client = sidecar.connect()
        late_client.sock.sendall(class_request())
        wait_until(lambda: len(server.seen) == 3)
        release.set()
        replies = [connection.read() for connection in (in_flight, partly_sent, late_client)]
        assert [reply and reply.status for reply in replies] == [200, 200, 200]
        assert sidecar.process.wait(20) == 0, sidecar.log()
        assert time.monotonic() - terminated_at < MAX_SHUTDOWN_SECONDS
        for connection in idle:
            connection.sock.close()


def test_a_process_that_resumes_late_in_its_shutdown_ends_by_the_deadline(predecessor: Sidecar) -> None:
    """A grace period for new connections that outlasted the deadline would end with the process killed."""
    deadline = clock() + SECOND // 5
    predecessor.dispatcher.shutdown_deadline = deadline
    predecessor._shut_down(deadline)
    assert clock() < deadline + SECOND // 5
