"""The sidecar as a separate process, and the servers that it calls."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
from dataclasses import dataclass, field
from pathlib import Path
from types import TracebackType
from typing import Any

from tests.support.configuration import sidecar_config
from tests.support.http import HttpConnection, HttpMessage, class_request, http_request
from tests.support.paths import DEPLOY, ROOT
from tests.support.servers import DiscoveryServer, UpstreamServer, unused_address
from tests.support.waiting import TIMEOUT_SECONDS, wait_until


@dataclass
class SidecarProcess:
    """The sidecar, started by the `run` command of the deploy file, and its log."""

    folder: Path
    config: dict[str, Any]
    address: str = ""
    process: subprocess.Popen[bytes] | None = None
    environ: dict[str, str] = field(default_factory=dict)
    prefix: str = ""

    def launch(self) -> subprocess.Popen[bytes]:
        file = self.folder / "config.json"
        file.write_text(json.dumps(self.config))
        environ = {**os.environ, "EDGE_CONFIG": str(file), **self.environ}
        with (self.folder / "log").open("wb") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", self.prefix + DEPLOY["run"]], cwd=ROOT, env=environ, stdout=log, stderr=log
            )
        return self.process

    def start(self) -> SidecarProcess:
        self.address = unused_address()
        self.config["listen"] = self.address
        self.launch()
        wait_until(self._ready, "ready")
        return self

    def _ready(self) -> bool:
        assert self.process is not None
        assert self.process.poll() is None, self.log()
        try:
            return self.get("/_health").status == 200
        except (OSError, AssertionError):
            return False

    def log(self) -> str:
        return (self.folder / "log").read_text()

    def connect(self) -> HttpConnection:
        host, port = self.address.split(":")
        return HttpConnection(socket.create_connection((host, int(port)), TIMEOUT_SECONDS))

    def get(self, path: str) -> HttpMessage:
        return self.exchange(http_request(path))

    def exchange(self, data: bytes) -> HttpMessage:
        """Send bytes on a new connection and return the response."""
        connection = self.connect()
        with connection.sock:
            connection.sock.sendall(data)
            message = connection.read()
        assert message is not None, "closed without a response"
        return message

    def send_class_request(
        self, class_name: str = "look", expires: str = "2.0", body: bytes = b""
    ) -> HttpMessage:
        return self.exchange(class_request(class_name, expires, body))

    def end(self) -> int:
        assert self.process is not None
        self.process.send_signal(signal.SIGTERM)
        return self.process.wait(TIMEOUT_SECONDS)

    def __enter__(self) -> SidecarProcess:
        return self.start()

    def __exit__(self, kind: type[BaseException] | None, fault: object, trace: TracebackType | None) -> None:
        assert self.process is not None
        if self.process.poll() is None:
            self.process.kill()
            self.process.wait(TIMEOUT_SECONDS)


class Deployment:
    """Upstreams, discovery and one sidecar, which is started on entry of the context manager."""

    def __init__(self, folder: Path, *upstreams: UpstreamServer, **allowed: Any) -> None:
        self.upstreams = upstreams
        entries = [upstream.entry() for upstream in upstreams]
        self.discovery = DiscoveryServer(entries)
        self.sidecar = SidecarProcess(folder, sidecar_config(self.discovery.address, entries, **allowed))

    def __enter__(self) -> SidecarProcess:
        return self.sidecar.__enter__()

    def __exit__(self, kind: type[BaseException] | None, fault: object, trace: TracebackType | None) -> None:
        self.sidecar.__exit__(kind, fault, trace)
        for server in (*self.upstreams, self.discovery):
            server.close()


def final_counts(log: str) -> dict[str, Any]:
    """Return the counts that the sidecar logged when it ended."""
    (ended,) = [line for line in map(json.loads, log.splitlines()) if line.get("phase") == "ended"]
    counts: dict[str, Any] = ended
    return counts
