"""The processes of one sidecar during a soak: started, reloaded, succeeded, terminated and killed.

What a process does that it must not, such as ending late or with another status, is noted as a finding.
"""

from __future__ import annotations

import contextlib
import json
import os
import signal
import socket
import subprocess
import threading
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from linetrack.emulator.ledger import now
from linetrack.experiments.audit import SidecarKill
from linetrack.experiments.sidecar_process import free_port

READY_SECONDS = 10.0  # by which a started process must be ready
KILL_GRACE_SECONDS = 0.7  # after the longest deadline from SIGTERM on, SIGKILL comes
READY_POLL_SECONDS = 0.02
ADMIN_TIMEOUT_SECONDS = 1.0
HEALTH_PATH = "/admin/health"
METRICS_PATH = "/admin/stats"
OPEN_REQUESTS_METRIC = "app_open_requests"
BROKEN_FILE = '{"name": "n0", "settings": {"classes": ['


@dataclass
class ProcessOfSidecar:
    """One process, with a configuration file and an operators' address of its own."""

    process: subprocess.Popen[bytes]
    config_path: Path
    config: dict[str, Any]

    @property
    def is_running(self) -> bool:
        """Whether it has not ended."""
        return self.process.poll() is None

    def signal(self, signal_: signal.Signals) -> None:
        """Send a signal, if it runs."""
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(signal_)

    def admin(self, path: str) -> str | None:
        """The response to a request at its operators' address; None where there is none with status 200."""
        host, _, port = self.config["admin_addr"].rpartition(":")
        try:
            with socket.create_connection((host, int(port)), ADMIN_TIMEOUT_SECONDS) as sock:
                sock.settimeout(ADMIN_TIMEOUT_SECONDS)
                sock.sendall(f"GET {path} HTTP/1.1\r\nHost: s\r\nConnection: close\r\n\r\n".encode())
                data = b"".join(iter(lambda: sock.recv(65536), b""))
        except OSError:
            return None
        return data.decode("latin-1") if data.startswith(b"HTTP/1.1 200") else None

    @property
    def is_ready(self) -> bool:
        """Whether it reports that it serves."""
        return self.admin(HEALTH_PATH) is not None

    def open_requests(self) -> int | None:
        """Requests that it has not answered; None where it does not say."""
        for line in (self.admin(METRICS_PATH) or "").splitlines():
            name, _, value = line.partition(" ")
            if name == OPEN_REQUESTS_METRIC:
                return int(float(value))
        return None

    def descriptors(self) -> int:
        """File descriptors that it has open; 0 once it has ended."""
        try:
            return len(os.listdir(f"/proc/{self.process.pid}/fd"))
        except OSError:
            return 0

    def memory_mb(self) -> float:
        """Its resident memory; 0 once it has ended."""
        with contextlib.suppress(OSError, StopIteration):
            lines = Path(f"/proc/{self.process.pid}/status").read_text().splitlines()
            return int(next(line for line in lines if line.startswith("VmRSS")).split()[1]) / 1024
        return 0.0


@dataclass
class SoakSidecar:
    """The processes that serve one address, one after the other or side by side."""

    index: int
    folder: Path
    command: list[str]
    working_folder: Path
    config: dict[str, Any]
    longest_timeout_s: float
    processes: list[ProcessOfSidecar] = field(default_factory=list)
    kills: list[SidecarKill] = field(default_factory=list)
    findings: list[str] = field(default_factory=list)
    started_count: int = 0
    lock: threading.Lock = field(default_factory=threading.Lock)  # its troubles come one after the other
    expected_to_end: set[int] = field(default_factory=set)  # process ids

    @property
    def address(self) -> str:
        """Where clients find it."""
        address: str = self.config["listen"]
        return address

    @property
    def current(self) -> ProcessOfSidecar:
        """The process started last."""
        return self.processes[-1]

    def start(self) -> ProcessOfSidecar:
        """Start a process, beside one that runs or alone."""
        number = self.started_count
        self.started_count += 1
        config = {**self.config, "admin_addr": f"127.0.0.1:{free_port()}"}
        path = self.folder / f"sidecar-{self.index}-{number}.json"
        path.write_text(json.dumps(config))
        shared = self.folder / f"shared-{self.index}"
        shared.mkdir(exist_ok=True)
        environ = {**os.environ, "EDGE_CONFIG": str(path), "TMPDIR": str(shared)}
        with (self.folder / f"sidecar-{self.index}-{number}.log").open("ab") as log:
            process = subprocess.Popen(
                self.command,
                cwd=self.working_folder,
                env=environ,
                stdout=log,
                stderr=log,
                start_new_session=True,
            )
        started = ProcessOfSidecar(process, path, config)
        self.processes.append(started)
        return started

    def wait_until_ready(self, process: ProcessOfSidecar) -> bool:
        """Wait until a process is ready; note it as a finding where that takes too long."""
        deadline = time.monotonic() + READY_SECONDS
        while time.monotonic() < deadline and process.is_running:
            if process.is_ready:
                return True
            time.sleep(READY_POLL_SECONDS)
        how = "not ready in time" if process.is_running else f"ended with {process.process.returncode}"
        self.findings.append(f"sidecar {self.index}: a started process is {how}")
        return False

    def begin_termination(self, process: ProcessOfSidecar) -> float:
        """Send SIGTERM; return the monotonic time at which SIGKILL comes."""
        self.expected_to_end.add(process.process.pid)
        process.signal(signal.SIGTERM)
        return time.monotonic() + self.longest_timeout_s + KILL_GRACE_SECONDS

    def finish_termination(self, process: ProcessOfSidecar, kill_at: float) -> None:
        """Wait until it has ended, and kill it once its time is over."""
        try:
            status = process.process.wait(max(0.0, kill_at - time.monotonic()))
        except subprocess.TimeoutExpired:
            self.findings.append(f"sidecar {self.index}: a terminated process did not end in its time")
            self.kill(process)
            return
        if status:
            self.findings.append(f"sidecar {self.index}: a terminated process ended with status {status}")

    def kill(self, process: ProcessOfSidecar) -> None:
        """Kill a process; what was in flight at the time is lost with it, and excused."""
        self.expected_to_end.add(process.process.pid)
        self.kills.append(SidecarKill(self.index, now()))
        process.process.kill()
        process.process.wait()

    def write_config(self, process: ProcessOfSidecar, text: str) -> None:
        """Replace a process's file as operators do, at one moment."""
        beside = process.config_path.with_suffix(".new")
        beside.write_text(text)
        beside.rename(process.config_path)

    def crashed(self) -> list[ProcessOfSidecar]:
        """The processes that have ended by themselves, each once."""
        ended = []
        for process in list(self.processes):
            if not process.is_running and process.process.pid not in self.expected_to_end:
                self.expected_to_end.add(process.process.pid)
                ended.append(process)
        return ended

    def end(self) -> None:
        """End whatever runs, at the end of the run."""
        for process in self.processes:
            if process.is_running:
                process.process.kill()
                process.process.wait()
