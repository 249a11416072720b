"""The processes of one sidecar during a soak run: starts, reloads, hot restarts, terminations and kills.

A finding is recorded for each process that breaks a requirement, for example by ending late or with a status
other than 0.
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

READY_TIMEOUT_SECONDS = 10.0  # from the start of a process
KILL_GRACE_SECONDS = 0.7  # SIGKILL follows SIGTERM after the longest request timeout plus this grace
READY_POLL_SECONDS = 0.02
ADMIN_TIMEOUT_SECONDS = 1.0
HEALTH_PATH = "/admin/health"
METRICS_PATH = "/admin/stats"
OPEN_REQUESTS_METRIC = "app_open_requests"
TRUNCATED_CONFIG = '{"name": "n0", "settings": {"classes": ['


@dataclass
class SoakProcess:
    """One process of a sidecar, with a configuration file and an admin address of its own."""

    process: subprocess.Popen[bytes]
    config_path: Path
    config: dict[str, Any]

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self.process.poll() is None

    def signal(self, signal_: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(signal_)

    def admin(self, path: str) -> str | None:
        """Return the response of the admin address to a GET; None unless its status is 200."""
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
        """Whether the health check reports that the process serves."""
        return self.admin(HEALTH_PATH) is not None

    def open_requests(self) -> int | None:
        """Return the number of requests in progress; None where the process does not report it."""
        for line in (self.admin(METRICS_PATH) or "").splitlines():
            name, _, value = line.partition(" ")
            if name == OPEN_REQUESTS_METRIC:
                return int(float(value))
        return None

    def descriptor_count(self) -> int:
        """Return the number of open file descriptors; 0 once the process has ended."""
        try:
            return len(os.listdir(f"/proc/{self.process.pid}/fd"))
        except OSError:
            return 0

    def memory_mb(self) -> float:
        """Return the resident memory in MB; 0 once the process has ended."""
        with contextlib.suppress(OSError, StopIteration):
            lines = Path(f"/proc/{self.process.pid}/status").read_text().splitlines()
            return int(next(line for line in lines if line.startswith("VmRSS")).split()[1]) / 1024
        return 0.0


@dataclass
class SoakSidecar:
    """The processes that serve one address, one after the other or at the same time.

    Attributes:
        index: the number of the sidecar.
        folder: the folder of the run, for configuration files and logs.
        command: the command that starts a process.
        working_folder: the folder in which the command runs.
        config: the configuration, without the admin address of each process.
        longest_timeout_s: the longest request timeout of all classes.
        processes: all processes that were started, the latest last.
        kills: the kills, each of which excuses the requests then in flight.
        findings: the requirements that processes have broken.
        started_count: the number of processes started.
        lock: held while a fault is injected, as the faults of one sidecar run one at a time.
        expected_to_end: ids of the processes whose end does not count as a crash.
    """

    index: int
    folder: Path
    command: list[str]
    working_folder: Path
    config: dict[str, Any]
    longest_timeout_s: float
    processes: list[SoakProcess] = field(default_factory=list)
    kills: list[SidecarKill] = field(default_factory=list)
    findings: list[str] = field(default_factory=list)
    started_count: int = 0
    lock: threading.Lock = field(default_factory=threading.Lock)
    expected_to_end: set[int] = field(default_factory=set)

    @property
    def address(self) -> str:
        """The address at which the sidecar listens for clients."""
        address: str = self.config["listen"]
        return address

    @property
    def current(self) -> SoakProcess:
        """The process that was started last."""
        return self.processes[-1]

    def start(self) -> SoakProcess:
        """Start a process; processes that already run are not affected."""
        number = self.started_count
        self.started_count += 1
        config = {**self.config, "admin_addr": f"127.0.0.1:{free_port()}"}
        path = self.folder / f"sidecar-{self.index}-{number}.json"
        path.write_text(json.dumps(config))
        shared_folder = self.folder / f"shared-{self.index}"
        shared_folder.mkdir(exist_ok=True)
        environ = {**os.environ, "EDGE_CONFIG": str(path), "TMPDIR": str(shared_folder)}
        with (self.folder / f"sidecar-{self.index}-{number}.log").open("ab") as log:
            process = subprocess.Popen(
                self.command,
                cwd=self.working_folder,
                env=environ,
                stdout=log,
                stderr=log,
                start_new_session=True,
            )
        started = SoakProcess(process, path, config)
        self.processes.append(started)
        return started

    def wait_until_ready(self, process: SoakProcess) -> bool:
        """Wait until a process is ready; if it is not in time, record a finding and return False."""
        deadline = time.monotonic() + READY_TIMEOUT_SECONDS
        while time.monotonic() < deadline and process.is_running:
            if process.is_ready:
                return True
            time.sleep(READY_POLL_SECONDS)
        problem = (
            "is not ready in time"
            if process.is_running
            else f"ended with status {process.process.returncode} before it was ready"
        )
        self.findings.append(f"sidecar {self.index}: a started process {problem}")
        return False

    def begin_termination(self, process: SoakProcess) -> float:
        """Send SIGTERM; return the monotonic time in seconds at which `finish_termination` sends SIGKILL."""
        self.expected_to_end.add(process.process.pid)
        process.signal(signal.SIGTERM)
        return time.monotonic() + self.longest_timeout_s + KILL_GRACE_SECONDS

    def finish_termination(self, process: SoakProcess, kill_at: float) -> None:
        """Wait for the end of a terminated process; kill it at `kill_at`, and record late or failed ends."""
        try:
            status = process.process.wait(max(0.0, kill_at - time.monotonic()))
        except subprocess.TimeoutExpired:
            self.findings.append(f"sidecar {self.index}: a terminated process did not end in time")
            self.kill(process)
            return
        if status:
            self.findings.append(f"sidecar {self.index}: a terminated process ended with status {status}")

    def kill(self, process: SoakProcess) -> None:
        """Kill a process; the audit excuses the loss of the requests that are in flight at the time."""
        self.expected_to_end.add(process.process.pid)
        self.kills.append(SidecarKill(self.index, now()))
        process.process.kill()
        process.process.wait()

    def write_config(self, process: SoakProcess, text: str) -> None:
        """Replace the configuration file of a process atomically, as operators do."""
        new_file = process.config_path.with_suffix(".new")
        new_file.write_text(text)
        new_file.rename(process.config_path)

    def take_crashed(self) -> list[SoakProcess]:
        """Return the processes that ended unexpectedly since the last call."""
        crashed = []
        for process in list(self.processes):
            if not process.is_running and process.process.pid not in self.expected_to_end:
                self.expected_to_end.add(process.process.pid)
                crashed.append(process)
        return crashed

    def end(self) -> None:
        """Kill the processes that still run, at the end of the run."""
        for process in self.processes:
            if process.is_running:
                process.process.kill()
                process.process.wait()
