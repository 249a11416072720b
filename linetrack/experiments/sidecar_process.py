"""One sidecar of a run: its process, started, restarted and measured."""

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

READY_TIMEOUT_SECONDS = 20.0  # for a sidecar to respond
EXIT_TIMEOUT_SECONDS = 12.0  # for one to end after a signal
READY_POLL_SECONDS = 0.02
MAX_PORT_TRIES = 1000
#: A sidecar's port stays free while it is restarted: outgoing connections get those from 32768 on.
PORTS_BEGIN = 12_000
PORTS_END = 32_768
CLOCK_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")

#: Begins anywhere, so that two programs rarely meet; safe to advance from several threads.
_port_numbers = itertools.count(Random().randrange(PORTS_END - PORTS_BEGIN))


class RunError(Exception):
    """Something that a run needs did not come up; nothing is claimed of the program."""


@dataclass
class SidecarProcess:
    """Where a sidecar listens, and its process, whichever serves there now."""

    index: int
    folder: Path
    command: list[str]
    working_folder: Path
    address: str
    process: subprocess.Popen[bytes] | None = None
    should_run: bool = True
    ended_cpu_us: int = 0  # of processes that have ended
    current_cpu_us: int = 0
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
        """Wait until it responds that it is ready.

        Raises:
            RunError: it does not.
        """
        deadline = time.monotonic() + READY_TIMEOUT_SECONDS
        while time.monotonic() < deadline and not self.has_ended:
            if self._is_ready():
                return
            time.sleep(READY_POLL_SECONDS)
        raise RunError(f"sidecar {self.index} does not answer at {self.address}: see its log")

    @property
    def has_ended(self) -> bool:
        """Whether a process was started and has ended on its own."""
        process = self.process  # another thread may end it meanwhile
        return process is not None and process.poll() is not None

    def _is_ready(self) -> bool:
        host, _, port = self.address.rpartition(":")
        with contextlib.suppress(OSError), socket.create_connection((host, int(port)), 1) as sock:
            sock.sendall(b"GET /_health HTTP/1.1\r\nHost: s\r\nConnection: close\r\n\r\n")
            return sock.recv(64).startswith(b"HTTP/1.1 200")
        return False

    def measure(self) -> None:
        """Record the processor time and memory that it has used so far."""
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
        """End the process with a signal, and kill it where that takes too long."""
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
    """A port on loopback that nobody uses at present, and that no outgoing connection will be given.

    Raises:
        RunError: there is none.
    """
    for _ in range(MAX_PORT_TRIES):
        port = PORTS_BEGIN + next(_port_numbers) % (PORTS_END - PORTS_BEGIN)
        with contextlib.suppress(OSError), socket.create_server(("127.0.0.1", port)):
            return port
    raise RunError("no port of loopback is free")
