"""Measures one sidecar beside a crowd of slow clients: its peak memory, and how usual clients are served.

The sidecar runs as operators start it; the stand-ins for upstreams and discovery, the crowd and the usual
clients run in processes of their own.  A figure of one run is no verdict about another machine.
"""

from __future__ import annotations

import json
import multiprocessing
import os
import signal
import socket
import subprocess
import sys
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack, suppress
from dataclasses import dataclass, field
from enum import Enum
from multiprocessing.connection import Connection
from pathlib import Path
from typing import Any

from linetrack.experiments import crowd_stand_in
from linetrack.experiments.crowd import REQUEST_TIMEOUT_SECONDS, ClientEnd, Crowd, CrowdCounts, CrowdKind
from linetrack.experiments.run import ROOT
from linetrack.experiments.sidecar_process import RunError, free_port

#: Children are started afresh, as the parent may have threads.
CHILDREN = multiprocessing.get_context("spawn")
UPSTREAM_COUNT = 6
CLASS_NAME = "look"
SOCKET_LIMIT = 1024
MEMORY_SAMPLE_SECONDS = 0.1
READY_TIMEOUT_SECONDS = 10.0
LATE_GRACE_SECONDS = 0.5  # after its time a response only earns nothing; later it is lost
USUAL_REQUESTS_PER_SECOND = 10.0
MAX_USUAL_CLIENTS = 64
KB_PER_MB = 1024


class ProcessEvent(Enum):
    """What happens to the sidecar's process in the middle of a run."""

    NONE = "none"
    KILL = "kill"
    """SIGKILL, and a new process at once, into the clients that reconnect."""
    HOT_RESTART = "hot_restart"
    """A new process beside the old one, and SIGTERM to the old one once the new one is ready."""


@dataclass
class UsualClients:
    """How the requests of usual clients ended, beside a crowd."""

    latencies: list[float] = field(default_factory=list)  # seconds, of those that were served
    late: int = 0  # a final response after the timeout
    refused: int = 0
    failed: int = 0
    lost: int = 0  # no final response within the timeout and its grace

    def percentile(self, share: float) -> float:
        """Return a percentile of the latencies in seconds; 0 if there are none."""
        ordered = sorted(self.latencies)
        return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else 0.0


@dataclass
class CrowdReport:
    """The figures of one run.

    Attributes:
        idle_mb: the resident memory before the crowd.
        peak_mb: the largest resident memory of all processes of the sidecar together.
        cpu_seconds: the processor time of the sidecar's processes.
        crashed: whether a process ended by itself.
        usual: the usual clients.
        crowd: how the connections of the crowd ended.
    """

    idle_mb: float = 0.0
    peak_mb: float = 0.0
    cpu_seconds: float = 0.0
    crashed: bool = False
    usual: UsualClients = field(default_factory=UsualClients)
    crowd: CrowdCounts = field(default_factory=CrowdCounts)


@dataclass(frozen=True)
class CrowdBenchmark:
    """One run.

    Attributes:
        folder: for configuration and log.
        memory_mb: the memory limit of the sidecar.
        kinds: what the crowd's clients do; none leaves the crowd out.
        client_count: how many clients the crowd has.
        seconds: the length of the run.
        event: what happens to the process in the middle.
        build: the folder of the build to measure.
        seed: the seed of the crowd.
    """

    folder: Path
    memory_mb: int
    kinds: tuple[CrowdKind, ...]
    client_count: int = 400
    seconds: float = 10.0
    event: ProcessEvent = ProcessEvent.NONE
    build: Path = ROOT
    seed: int = 0

    def run(self) -> CrowdReport:
        """Run it and return the figures; every process that was started is ended.

        Raises:
            RunError: a process did not start.
        """
        self.folder.mkdir(parents=True, exist_ok=True)
        with ExitStack() as stack:
            pipe, child_pipe = CHILDREN.Pipe()
            stand_in = CHILDREN.Process(
                target=crowd_stand_in.serve, args=(child_pipe, UPSTREAM_COUNT), daemon=True
            )
            stand_in.start()
            stack.callback(stand_in.kill)
            sidecar = MeasuredSidecar(self, pipe.recv())
            stack.callback(sidecar.end)
            sidecar.start()
            return self._measure(sidecar)

    def _measure(self, sidecar: MeasuredSidecar) -> CrowdReport:
        report = CrowdReport(idle_mb=sidecar.resident_mb())
        receiver, sender = CHILDREN.Pipe(duplex=False)
        crowd = CHILDREN.Process(target=_run_crowd, args=(sender, sidecar.address, self), daemon=True)
        if self.kinds:
            crowd.start()
        ending = threading.Event()
        sampler = threading.Thread(target=sidecar.sample_memory, args=(ending,), daemon=True)
        sampler.start()
        event = threading.Timer(self.seconds / 2, sidecar.apply, (self.event,))
        event.start()
        _send_usual_requests(sidecar.address, self.seconds, report.usual)
        if self.kinds:
            report.crowd = receiver.recv()
            crowd.join()
        event.join()
        ending.set()
        sampler.join()
        report.peak_mb = sidecar.peak_mb
        report.crashed = sidecar.has_crashed
        report.cpu_seconds = sidecar.cpu_seconds()
        return report


class MeasuredSidecar:
    """The processes of the sidecar that is measured."""

    def __init__(self, benchmark: CrowdBenchmark, addresses: list[str]) -> None:
        self.address = ("127.0.0.1", free_port())
        self.peak_mb = 0.0
        self.has_crashed = False
        self._benchmark = benchmark
        self._processes: list[subprocess.Popen[bytes]] = []
        self._expected_to_end: set[int] = set()
        self._config = _sidecar_config(benchmark.memory_mb, self.address, addresses[:-1], addresses[-1])

    def start(self) -> subprocess.Popen[bytes]:
        """Start a process and wait until it is ready."""
        process, admin_port = self._launch()
        deadline = time.monotonic() + READY_TIMEOUT_SECONDS
        while time.monotonic() < deadline and process.poll() is None:
            if _is_ready(admin_port):
                return process
            time.sleep(0.01)
        raise RunError(f"the sidecar is not ready: see the logs in {self._benchmark.folder}")

    def _launch(self) -> tuple[subprocess.Popen[bytes], int]:
        folder = self._benchmark.folder
        number = len(self._processes)
        admin_port = free_port()
        path = folder / f"sidecar-{number}.json"
        path.write_text(json.dumps({**self._config, "admin_addr": f"127.0.0.1:{admin_port}"}))
        python = self._benchmark.build / ".venv" / "bin" / "python"
        command = [str(python) if python.exists() else sys.executable, "-m", "linetrack"]
        environ = {**os.environ, "EDGE_CONFIG": str(path), "TMPDIR": str(folder)}
        with (folder / f"sidecar-{number}.log").open("ab") as log:
            process = subprocess.Popen(
                command, cwd=self._benchmark.build, env=environ, stdout=log, stderr=log
            )
        self._processes.append(process)
        return process, admin_port

    def apply(self, event: ProcessEvent) -> None:
        """Kill or replace the process."""
        old = self._processes[-1]
        if event is ProcessEvent.KILL:
            self._expected_to_end.add(old.pid)
            old.kill()
            old.wait()
            self.start()
        elif event is ProcessEvent.HOT_RESTART:
            self.start()
            self._expected_to_end.add(old.pid)
            old.send_signal(signal.SIGTERM)

    def sample_memory(self, ending: threading.Event) -> None:
        """Record the peak of the resident memory, and processes that end by themselves."""
        while not ending.wait(MEMORY_SAMPLE_SECONDS):
            self.peak_mb = max(self.peak_mb, self.resident_mb(), self._high_water_mb())
            ended = [process for process in self._processes if process.poll() is not None]
            self.has_crashed |= any(process.pid not in self._expected_to_end for process in ended)

    def resident_mb(self) -> float:
        """Return the resident memory of all processes together."""
        return sum(_status_mb(process.pid, "VmRSS") for process in self._processes)

    def _high_water_mb(self) -> float:
        """Return the largest peak of one process since its start."""
        return max(_status_mb(process.pid, "VmHWM") for process in self._processes)

    def cpu_seconds(self) -> float:
        """Return the processor time of the processes that run."""
        total = 0.0
        for process in self._processes:
            with suppress(OSError):
                fields = Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2].split()
                total += (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
        return total

    def end(self) -> None:
        """Kill the processes."""
        for process in self._processes:
            self._expected_to_end.add(process.pid)
            process.kill()
            process.wait()


def _run_crowd(pipe: Connection, address: tuple[str, int], benchmark: CrowdBenchmark) -> None:
    crowd = Crowd(address, benchmark.kinds, benchmark.client_count, CLASS_NAME, benchmark.seed)
    pipe.send(crowd.run(benchmark.seconds))


def _send_usual_requests(address: tuple[str, int], seconds: float, usual: UsualClients) -> None:
    """Send requests at a constant rate, each on a connection of its own; wait for their ends."""
    started_at = time.monotonic()
    with ThreadPoolExecutor(MAX_USUAL_CLIENTS) as pool:
        for number in range(int(seconds * USUAL_REQUESTS_PER_SECOND)):
            due_at = started_at + number / USUAL_REQUESTS_PER_SECOND
            time.sleep(max(0.0, due_at - time.monotonic()))
            pool.submit(_send_usual_request, address, f"usual-{number}", usual)


def _send_usual_request(address: tuple[str, int], trace: str, usual: UsualClients) -> None:
    head = (
        f"GET /{CLASS_NAME}/k HTTP/1.1\r\nHost: s\r\nX-Trace-Id: {trace}\r\n"
        f"X-Expires-In: {REQUEST_TIMEOUT_SECONDS}\r\n\r\n"
    )
    started_at = time.monotonic()
    data = b""
    with suppress(OSError), socket.create_connection(address, REQUEST_TIMEOUT_SECONDS) as sock:
        sock.settimeout(REQUEST_TIMEOUT_SECONDS + LATE_GRACE_SECONDS)
        sock.sendall(head.encode())
        data = sock.recv(1024)
    latency = time.monotonic() - started_at
    if not data.startswith(b"HTTP/1.1 ") or latency > REQUEST_TIMEOUT_SECONDS + LATE_GRACE_SECONDS:
        usual.lost += 1
    elif latency > REQUEST_TIMEOUT_SECONDS:
        usual.late += 1
    elif data[9:12] == b"200":
        usual.latencies.append(latency)
    elif data[9:12] in (b"429", b"503"):
        usual.refused += 1
    else:
        usual.failed += 1


def _is_ready(admin_port: int) -> bool:
    with suppress(OSError), socket.create_connection(("127.0.0.1", admin_port), 1.0) as sock:
        sock.sendall(b"GET /admin/health HTTP/1.1\r\n\r\n")
        return sock.recv(64).startswith(b"HTTP/1.1 200")
    return False


def _status_mb(pid: int, name: str) -> float:
    with suppress(OSError):
        for line in Path(f"/proc/{pid}/status").read_text().splitlines():
            if line.startswith(f"{name}:"):
                return int(line.split()[1]) / KB_PER_MB
    return 0.0


def _sidecar_config(
    memory_mb: int, address: tuple[str, int], upstreams: list[str], discovery: str
) -> dict[str, Any]:
    request_class = {"repeat": "free", "aimUs": 500_000, "deadlineUs": 2_000_000, "worth": 1.0}
    return {
        "name": "n0",
        "listen": "{}:{}".format(*address),
        "discovery": discovery,
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": SOCKET_LIMIT},
        "known": {"version": 1, "full": True, "servers": crowd_stand_in.member_entries(upstreams)},
        "settings": {
            "classes": [{"name": CLASS_NAME, **request_class}],
            "azs": ["north", "south"],
            "skus": ["plain"],
            "zone": 0,
            "me": 0,
            "balancers": 1,
            "registryMode": "subscribe",
            "rules": {"askEveryUs": 10_000_000, "drainGraceUs": 1_000_000},
            "stats": {"how": "inline", "fields": ["depth", "tps"]},
            "allowed": {
                "maxAttempts": 3,
                "dialTimeoutUs": 250_000,
                "keepaliveUs": 30_000_000,
                "mayCancel": True,
                "parallelTries": False,
                "retryAfter": True,
                "maxRetryAfterUs": 500_000,
            },
        },
    }


def describe(report: CrowdReport) -> dict[str, str]:
    """Return the figures of a report by name, as printed."""
    usual = report.usual
    ends = {
        kind.value: ", ".join(f"{end.value} {number}" for end, number in sorted(counter.items(), key=str))
        for kind, counter in report.crowd.ends.items()
    }
    return {
        "idle MB": f"{report.idle_mb:.1f}",
        "peak MB": f"{report.peak_mb:.1f}",
        "crashed": str(report.crashed),
        "CPU s": f"{report.cpu_seconds:.2f}",
        "usual p50, p99 s": f"{usual.percentile(0.5):.3f}, {usual.percentile(0.99):.3f}",
        "usual served, refused, failed, late, lost": (
            f"{len(usual.latencies)}, {usual.refused}, {usual.failed}, {usual.late}, {usual.lost}"
        ),
        **ends,
        "crowd unanswered": str(report.crowd.count(ClientEnd.UNANSWERED)),
    }
