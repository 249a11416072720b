"""A deployment whose sidecar can have successors in a hot restart, and a load on keep-alive connections."""

from __future__ import annotations

import threading
import time
from pathlib import Path
from typing import Any

from tests.server.admin_client import enable_admin, send_admin_request
from tests.support.http import HttpConnection, HttpMessage, http_request, http_response
from tests.support.servers import UpstreamServer, unused_address
from tests.support.sidecar_process import Deployment, SidecarProcess
from tests.support.waiting import wait_until

MAX_REQUESTS = 100_000  # per client


class RestartableDeployment:
    """A deployment whose sidecar and its successors share the folder of the hot-restart socket."""

    def __init__(self, folder: Path, *upstreams: UpstreamServer) -> None:
        self.folder = folder
        (folder / "t").mkdir()
        self.deployment = Deployment(folder, *upstreams)
        self.predecessor = self.deployment.sidecar
        self.predecessor.environ["TMPDIR"] = str(folder / "t")
        enable_admin(self.predecessor)
        self.successors: list[SidecarProcess] = []

    def __enter__(self) -> RestartableDeployment:
        self.deployment.__enter__()
        return self

    def __exit__(self, *exception: Any) -> None:
        for successor in self.successors:
            successor.__exit__(None, None, None)
        self.deployment.__exit__(*exception)

    def start_successor(self, ready: bool = True, **changes: Any) -> SidecarProcess:
        """Start a successor with its own admin address; wait until it is ready, unless `ready` is false."""
        number = len(self.successors)
        folder = self.folder / f"successor-{number}"
        folder.mkdir()
        config = {**self.predecessor.config, "admin_addr": unused_address(), **changes}
        successor = SidecarProcess(
            folder, config, self.predecessor.address, environ=dict(self.predecessor.environ)
        )
        self.successors.append(successor)
        successor.launch()
        if ready:
            wait_until(lambda: is_running_and_ready(successor), "ready")
        return successor


class KeepAliveLoad:
    """Clients that send one request after another, each on a keep-alive connection that must stay open."""

    def __init__(self, sidecar: SidecarProcess, clients: int) -> None:
        self.sidecar = sidecar
        self.errors: list[str] = []
        self.stopping = threading.Event()
        self.threads = [threading.Thread(target=self._run, args=(number,)) for number in range(clients)]

    def start(self) -> None:
        for thread in self.threads:
            thread.start()

    def stop(self) -> None:
        """Stop sending, and wait until each client has its last response."""
        self.stopping.set()
        for thread in self.threads:
            thread.join()

    def _run(self, number: int) -> None:
        connection = self.sidecar.connect()
        with connection.sock:
            for index in range(MAX_REQUESTS):
                if self.stopping.is_set() or not self._send_request(connection, f"{number}-{index}"):
                    return

    def _send_request(self, connection: HttpConnection, request_id: str) -> bool:
        """Send one request; return whether it succeeded and the connection stayed open."""
        try:
            connection.sock.sendall(
                http_request("/pay/k", "GET", f"X-Trace-Id: {request_id}", "X-Expires-In: 2.0")
            )
            reply = connection.read()
        except OSError as error:
            self.errors.append(f"{request_id}: {error}")
            return False
        if reply is None or reply.status != 200 or "connection" in reply.headers:
            self.errors.append(f"{request_id}: {reply}")
            return False
        return True


def is_running_and_ready(sidecar: SidecarProcess) -> bool:
    """Return whether the admin server reports that the sidecar is ready; fails if the process has ended."""
    assert sidecar.process is not None
    assert sidecar.process.poll() is None, sidecar.log()
    return is_ready(sidecar)


def is_ready(sidecar: SidecarProcess) -> bool:
    """Return whether the admin server reports that the sidecar is ready."""
    try:
        return send_admin_request(sidecar.config["admin_addr"], "/admin/health").status == 200
    except (OSError, AssertionError):
        return False


def respond_after_20_ms(_message: HttpMessage, _connection: HttpConnection) -> bytes:
    """Respond after 20 ms, as the script of an upstream."""
    time.sleep(0.02)
    return http_response(b"ok")
