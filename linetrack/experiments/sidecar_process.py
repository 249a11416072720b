"""The sidecar processes of a run: start, restart, resource use, and free ports."""

from __future__ import annotations

import contextlib
import itertools
import os
import signal
import socket
import subprocess
import time
from dataclasses import dataclass
from pathlib import Path
from random import Random

READY_TIMEOUT_SECONDS = 20.0  # from the start of a sidecar until it responds
EXIT_TIMEOUT_SECONDS = 12.0  # from a signal until the sidecar has ended
READY_POLL_SECONDS = 0.02
MAX_PORT_TRIES = 1000
#: Sidecars listen below 32768, where the ports of outgoing connections begin, so that no connection is given
#: the port of a sidecar while it restarts.
PORTS_BEGIN = 12_000
PORTS_END = 32_768
CLOCK_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")

#: Begins at a random offset, so that two programs rarely try the same ports.  Threads may share the iterator.
_port_numbers = itertools.count(Random().randrange(PORTS_END - PORTS_BEGIN))


class RunError(Exception):
    """A run failed because a process did not start or ended early; it says nothing about the program."""


@dataclass
class SidecarProcess:
    """A sidecar of a run, and the process that currently serves its address."""

    index: int
    folder: Path
    command: list[str]
    working_folder: Path
    address: str
    process: subprocess.Popen[bytes] | None = None
    should_run: bool = True
    ended_cpu_us: int = 0  # CPU time of the processes that have ended
    current_cpu_us: int = 0  # CPU time of the current process
    max_memory_mb: float = 0.0

    def start(self) -> None:
        """Start the process; its output goes to `sidecar-N.log`."""
        environ = {**os.environ, "EDGE_CONFIG": str(self.folder / f"sidecar-{self.index}.json")}
        with (self.folder / f"sidecar-{self.index}.log").open("ab") as log:
            self.process = subprocess.Popen(
                self.command,
                cwd=self.working_folder,
                env=environ,
                stdout=log,
                stderr=log,
                start_new_session=True,
            )

    def wait_until_ready(self) -> None:
        """Wait until the sidecar responds that it is ready.

        Raises:
            RunError: it does not within `READY_TIMEOUT_SECONDS`, or its process ends.
        """
        deadline = time.monotonic() + READY_TIMEOUT_SECONDS
        while time.monotonic() < deadline and not self.has_ended:
            if self._is_ready():
                return
            time.sleep(READY_POLL_SECONDS)
        raise RunError(f"sidecar {self.index} does not answer at {self.address}: see its log")

    @property
    def has_ended(self) -> bool:
        """Whether a process was started and has ended unexpectedly."""
        process = self.process  # read once, as another thread may set it to None
        return process is not None and process.poll() is not None

    def _is_ready(self) -> bool:
        host, _, port = self.address.rpartition(":")
        with contextlib.suppress(OSError), socket.create_connection((host, int(port)), 1) as sock:
            sock.sendall(b"GET /_health HTTP/1.1\r\nHost: s\r\nConnection: close\r\n\r\n")
            return sock.recv(64).startswith(b"HTTP/1.1 200")
        return False

    def measure(self) -> None:
        """Record the CPU time and the peak memory that the process has used so far."""
        process = self.process
        if process is None:
            return
        with contextlib.suppress(OSError, ValueError, IndexError, StopIteration):
            folder = Path(f"/proc/{process.pid}")
            fields = (folder / "stat").read_text().rpartition(")")[2].split()
            ticks = int(fields[11]) + int(fields[12])
            self.current_cpu_us = ticks * 1_000_000 // CLOCK_TICKS_PER_SECOND
            lines = (folder / "status").read_text().splitlines()
            peak_kb = next(line for line in lines if line.startswith("VmHWM")).split()[1]
            self.max_memory_mb = max(self.max_memory_mb, int(peak_kb) / 1024)

    def end(self, signal_: signal.Signals) -> None:
        """End the process with a signal; kill it if it does not end within `EXIT_TIMEOUT_SECONDS`."""
        if self.process is None:
            return
        self.measure()
        self.ended_cpu_us += self.current_cpu_us
        self.current_cpu_us = 0
        if self.process.poll() is None:
            self.process.send_signal(signal_)
            try:
                self.process.wait(EXIT_TIMEOUT_SECONDS)
            except subprocess.TimeoutExpired:
                self.process.kill()
                self.process.wait()
        self.process = None


def free_port() -> int:
    """Return a free port on loopback that no outgoing connection will be given.

    Raises:
        RunError: no port is free.
    """
    for _ in range(MAX_PORT_TRIES):
        port = PORTS_BEGIN + next(_port_numbers) % (PORTS_END - PORTS_BEGIN)
        with contextlib.suppress(OSError), socket.create_server(("127.0.0.1", port)):
            return port
    raise RunError("no port on loopback is free")
