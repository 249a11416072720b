"""A program that can be started again beside itself."""

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

MAX_REQUESTS = 100_000  # of one client


class RestartableWorld:
    """A world whose sidecar can be started again beside itself, with one folder for both."""

    def __init__(self, folder: Path, *upstreams: UpstreamServer) -> None:
        self.folder = folder
        (folder / "t").mkdir()
        self.world = Deployment(folder, *upstreams)
        self.old = self.world.sidecar
        self.old.environ["TMPDIR"] = str(folder / "t")
        enable_admin(self.old)
        self.successors: list[SidecarProcess] = []

    def __enter__(self) -> RestartableWorld:
        self.world.__enter__()
        return self

    def __exit__(self, *fault: Any) -> None:
        for successor in self.successors:
            successor.__exit__(None, None, None)
        self.world.__exit__(*fault)

    def start_successor(self, ready: bool = True, **changes: Any) -> SidecarProcess:
        """Start the program again, with its own admin address, and wait for it unless `ready` is false."""
        number = len(self.successors)
        folder = self.folder / f"successor-{number}"
        folder.mkdir()
        config = {**self.old.config, "admin_addr": unused_address(), **changes}
        successor = SidecarProcess(folder, config, self.old.address, environ=dict(self.old.environ))
        self.successors.append(successor)
        successor.launch()
        if ready:
            wait_until(lambda: is_running_and_ready(successor), "ready")
        return successor


class KeptConnectionLoad:
    """Clients that send one request after the other, each on one connection that is never to be closed."""

    def __init__(self, sidecar: SidecarProcess, clients: int) -> None:
        self.sidecar = sidecar
        self.faults: list[str] = []
        self.stopping = threading.Event()
        self.threads = [threading.Thread(target=self._run, args=(number,)) for number in range(clients)]

    def start(self) -> None:
        for thread in self.threads:
            thread.start()

    def stop(self) -> None:
        """Stop sending, once each client has its last response."""
        self.stopping.set()
        for thread in self.threads:
            thread.join()

    def _run(self, number: int) -> None:
        wire = self.sidecar.connect()
        with wire.sock:
            for turn in range(MAX_REQUESTS):
                if self.stopping.is_set() or not self._ask(wire, f"{number}-{turn}"):
                    return

    def _ask(self, wire: HttpConnection, request_id: str) -> bool:
        """Send one request; return whether it was answered and the connection kept."""
        try:
            wire.sock.sendall(http_request("/pay/k", "GET", f"X-Trace-Id: {request_id}", "X-Expires-In: 2.0"))
            reply = wire.read()
        except OSError as fault:
            self.faults.append(f"{request_id}: {fault}")
            return False
        if reply is None or reply.status != 200 or "connection" in reply.headers:
            self.faults.append(f"{request_id}: {reply}")
            return False
        return True


def is_running_and_ready(sidecar: SidecarProcess) -> bool:
    """Whether its admin address reports that it is ready; fails where the process has ended."""
    assert sidecar.process is not None
    assert sidecar.process.poll() is None, sidecar.log()
    return is_ready(sidecar)


def is_ready(sidecar: SidecarProcess) -> bool:
    """Whether its admin address reports that it is ready."""
    try:
        return send_admin_request(sidecar.config["admin_addr"], "/admin/health").status == 200
    except (OSError, AssertionError):
        return False


def respond_slowly(_message: HttpMessage, _wire: HttpConnection) -> bytes:
    """A script of an upstream that takes 20 ms."""
    time.sleep(0.02)
    return http_response(b"ok")
