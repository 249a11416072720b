"""Shutdown of the program at SIGTERM."""

from __future__ import annotations

import contextlib
import signal
import threading
import time
from pathlib import Path

from tests.support.http import HttpConnection, HttpMessage, class_request, http_response
from tests.support.servers import UpstreamServer
from tests.support.sidecar_process import Deployment, SidecarProcess, final_counts
from tests.support.units import SECOND
from tests.support.waiting import wait_until


def test_after_sigterm_requests_in_flight_get_responses_and_the_exit_status_is_zero(tmp_path: Path) -> None:
    release = threading.Event()

    def hold_requests_with_a_body(request: HttpMessage, _connection: HttpConnection) -> bytes:
        if request.body:
            release.wait(20)
        return http_response(b"ok")

    server = UpstreamServer("a", hold_requests_with_a_body)
    with Deployment(tmp_path, server) as sidecar:
        assert sidecar.process is not None
        busy, idle = sidecar.connect(), sidecar.connect()
        busy.sock.sendall(class_request(body=b"hold"))
        idle.sock.sendall(class_request())
        idle_reply = idle.read()
        wait_until(lambda: len(server.seen) == 2)
        sidecar.process.send_signal(signal.SIGTERM)
        sidecar.process.send_signal(signal.SIGTERM)
        wait_until(lambda: '"draining"' in sidecar.log())
        # For a grace period new connections are served, but the process is not ready any more.
        try:
            assert sidecar.send_class_request().status == 200
            assert sidecar.get("/_health").status == 503
        except OSError:
            wait_until(
                lambda: '"shutting_down"' in sidecar.log(),
                "the machine was too slow to connect in the grace period",
            )
        assert idle_reply
        assert idle_reply.status == 200
        assert idle.wait_for_close()
        wait_until(lambda: '"shutting_down"' in sidecar.log())
        sidecar.process.send_signal(signal.SIGTERM)
        release.set()
        reply = busy.read()
        assert reply
        assert reply.status == 200
        assert reply.headers["connection"] == "close"
        assert busy.wait_for_close()
        assert sidecar.process.wait(20) == 0


def test_connections_in_the_backlog_at_sigterm_are_served(tmp_path: Path) -> None:
    with Deployment(tmp_path, UpstreamServer("a")) as sidecar:
        assert sidecar.process is not None
        sidecar.process.send_signal(signal.SIGSTOP)
        connections = [sidecar.connect() for _ in range(5)]
        for connection in connections:
            connection.sock.sendall(class_request())
        sidecar.process.send_signal(signal.SIGTERM)
        sidecar.process.send_signal(signal.SIGCONT)
        replies = [connection.read() for connection in connections]
        assert [reply.status for reply in replies if reply] == [200] * 5
        assert sidecar.process.wait(20) == 0


def test_under_load_every_accepted_request_gets_a_response_before_the_exit(tmp_path: Path) -> None:
    statuses: list[int] = []

    def send_until_refused(sidecar: SidecarProcess) -> None:
        """Send sequential requests on keep-alive connections until no connection can be opened."""
        while True:
            try:
                connection = sidecar.connect()
            except OSError:
                return
            with connection.sock, contextlib.suppress(OSError):
                connection.sock.sendall(class_request(expires="20.0"))
                while reply := connection.read():
                    statuses.append(reply.status)
                    connection.sock.sendall(class_request(expires="20.0"))

    deployment = Deployment(tmp_path, UpstreamServer("a"), UpstreamServer("b"))
    # The result must not depend on the speed of the machine: if this process or the sidecar stalls for
    # 100 ms, the policy treats that as congestion, and rejects a few requests with objectives of 500 ms but
    # not of seconds.
    for request_class in deployment.sidecar.config["settings"]["classes"]:
        request_class["aimUs"] = request_class["deadlineUs"] = 20 * SECOND
    with deployment as sidecar:
        threads = [threading.Thread(target=send_until_refused, args=(sidecar,)) for _ in range(6)]
        for thread in threads:
            thread.start()
        wait_until(lambda: len(statuses) > 50)
        assert sidecar.end() == 0
        for thread in threads:
            thread.join(20)
        last = final_counts(sidecar.log())
        assert last["disconnected"] == 0
        assert last["received"] == len(statuses)
        assert set(statuses) == {200}


def test_a_response_that_is_being_streamed_at_sigterm_is_written_completely(tmp_path: Path) -> None:
    """Guards against long responses that were cut off, although nobody had ended the process."""
    size = 400_000
    has_begun = threading.Event()

    def send_slowly(_request: HttpMessage, connection: HttpConnection) -> bytes:
        response = http_response(bytes(size))
        connection.sock.sendall(response[:200_000])
        has_begun.set()
        for start in range(200_000, len(response), 5_000):
            time.sleep(0.1)  # 4 s in all, where the longest timeout of a class is 2 s
            connection.sock.sendall(response[start : start + 5_000])
        return b""

    with Deployment(tmp_path, UpstreamServer("a", send_slowly)) as sidecar:
        assert sidecar.process is not None
        connection = sidecar.connect()
        connection.sock.sendall(class_request())
        assert has_begun.wait(20)
        sidecar.process.send_signal(signal.SIGTERM)
        reply = connection.read()
        assert reply
        assert len(reply.body) == size
        assert sidecar.process.wait(20) == 0
