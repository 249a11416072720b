"""Stand-ins for the cases of the second review: upstreams, discovery, clients and the platform.

Only the standard library is used.  Every server listens on a loopback address with a port that the system
assigns, and serves each connection in a thread of its own.  Times in the record are seconds since the start
of the case, from the monotonic clock.
"""

from __future__ import annotations

import contextlib
import itertools
import json
import os
import queue
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import traceback
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HELD, BROKEN, CANNOT_RUN = 0, 1, 2
MS, SECOND = 1_000, 1_000_000  # in the microseconds of the settings
READ_SIZE = 64 * 1024
READY_SECONDS = 30.0  # the pages' limit for a sidecar to be ready
SLACK = 0.05  # by which each time limit is longer on sockets

_hosts = itertools.count(1)


class CannotRunError(Exception):
    """The case could not be brought about on this machine, so that it shows nothing."""


def loopback_host() -> str:
    """Return a loopback address of this process's own, so that ports do not clash with other programs."""
    pid = os.getpid()
    return f"127.{1 + pid % 250}.{1 + pid // 250 % 250}.{next(_hosts) % 250 + 1}"


def unused_address() -> str:
    """Return an address at which nothing listens."""
    with socket.create_server((loopback_host(), 0)) as probe:
        return "{}:{}".format(*probe.getsockname())


def parse_address(text: str) -> tuple[str, int]:
    """Split `address:port`."""
    host, _, port = text.rpartition(":")
    return host, int(port)


class Record:
    """The file `record.txt` of a case: what was sent, answered and run, with times."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._lock = threading.Lock()
        self._started_at = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self._started_at

    def line(self, who: str, text: str) -> float:
        """Write a line and return its time."""
        now = self.now()
        with self._lock:
            self._file.write(f"{now:9.4f} {who:<12} {text}\n")
            self._file.flush()
        return now


# --- HTTP/1.1 on blocking sockets --------------------------------------------------------------------------
@dataclass
class Message:
    """A request or a response."""

    start: str
    headers: dict[str, str]
    body: bytes = b""
    is_whole: bool = True  # False if the connection ended, or nothing came in time, before its last byte

    @property
    def status(self) -> int:
        """The status of a response."""
        return int(self.start.split(" ")[1])

    @property
    def method(self) -> str:
        """The method of a request."""
        return self.start.split(" ")[0]

    @property
    def target(self) -> str:
        """The target of a request."""
        return self.start.split(" ")[1]

    @property
    def trace_id(self) -> str:
        """The identifier of a request."""
        return self.headers.get("x-trace-id", "")


class Wire:
    """Reads and writes messages on one connection."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.buffer = b""
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def receive(self) -> bool:
        """Read what has come; return False at the end of the connection."""
        try:
            data = self.sock.recv(READ_SIZE)
        except ConnectionError:
            return False
        self.buffer += data
        return bool(data)

    def read_head(self) -> Message | None:
        """Return the next message without its body, or None if the connection ends before it."""
        while b"\r\n\r\n" not in self.buffer:
            if not self.receive():
                return None
        head, _, self.buffer = self.buffer.partition(b"\r\n\r\n")
        start, *lines = head.decode("latin-1").split("\r\n")
        headers = {name.lower(): value.strip() for name, _, value in (each.partition(":") for each in lines)}
        return Message(start, headers)

    def read_body(self, message: Message) -> Message:
        """Read the body of a message whose length its head tells, or which comes in chunks."""
        if message.headers.get("transfer-encoding", "").lower() == "chunked":
            return self._read_chunks(message)
        length = int(message.headers.get("content-length", "0"))
        parts = [self.buffer[:length]]
        self.buffer = self.buffer[length:]
        got = len(parts[0])
        while got < length:
            if not self.receive():
                message.is_whole = False
                break
            part = self.buffer[: length - got]
            self.buffer = self.buffer[len(part) :]
            parts.append(part)
            got += len(part)
        message.body = b"".join(parts)
        return message

    def _read_chunks(self, message: Message) -> Message:
        parts = []
        while True:
            line = self._read_line()
            size = int(line, 16) if line else None
            if size is None:
                message.is_whole = False
                break
            while len(self.buffer) < size + 2:
                if not self.receive():
                    message.is_whole = False
                    message.body = b"".join(parts)
                    return message
            parts.append(self.buffer[:size])
            self.buffer = self.buffer[size + 2 :]
            if not size:
                break
        message.body = b"".join(parts)
        return message

    def _read_line(self) -> bytes | None:
        while b"\r\n" not in self.buffer:
            if not self.receive():
                return None
        line, _, self.buffer = self.buffer.partition(b"\r\n")
        return line.partition(b";")[0]

    def read(self) -> Message | None:
        """Return the next whole message, or None if the connection ends before it."""
        head = self.read_head()
        return None if head is None else self.read_body(head)


def encode_response(body: bytes, status: int = 200, *headers: str) -> bytes:
    """Return the bytes of a response."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *headers, "", ""]
    return "\r\n".join(lines).encode() + body


def encode_request(
    path: str, trace_id: str, expires_in: float, *headers: str, method: str = "GET", length: int | None = None
) -> bytes:
    """Return the head of a request in the protocol's form; its body of `length` bytes is to follow."""
    lines = [
        f"{method} {path} HTTP/1.1",
        "Host: backend.local",
        f"X-Trace-Id: {trace_id}",
        f"X-Expires-In: {expires_in:.3f}",
        *headers,
    ]
    if length is not None:
        lines.append(f"Content-Length: {length}")
    return "\r\n".join([*lines, "", ""]).encode()


# --- Servers -----------------------------------------------------------------------------------------------
class Server:
    """Listens on a loopback address; a subclass serves each connection in a thread of its own."""

    def __init__(self, receive_buffer: int = 0) -> None:
        self.listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if receive_buffer:
            self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        self.listener.bind((loopback_host(), 0))
        self.listener.listen(256)
        self.address = "{}:{}".format(*self.listener.getsockname())
        self.is_closing = threading.Event()
        self.sockets: list[socket.socket] = []
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while not self.is_closing.is_set():
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            self.sockets.append(sock)
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        with contextlib.suppress(OSError, ValueError), sock:
            self.serve(Wire(sock))

    def serve(self, wire: Wire) -> None:
        """Serve one connection, which is closed when this method returns."""
        raise NotImplementedError

    def stop_listening(self) -> None:
        """Take no new connection; those that are open stay so."""
        with contextlib.suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()

    def close(self) -> None:
        """Close everything."""
        self.is_closing.set()
        self.stop_listening()
        for sock in self.sockets:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)


class Upstream(Server):
    """A sound upstream: serves one request at a time on a connection, after `work` seconds.

    `answer` returns the bytes of the answer, or None to close the connection without one.
    """

    def __init__(
        self,
        record: Record,
        name: str,
        answer: Callable[[Message, Wire], bytes | None],
        zone: str,
        receive_buffer: int = 0,
    ) -> None:
        self.record = record
        self.name = name
        self.zone = zone
        self.answer = answer
        self.requests: list[tuple[float, Message]] = []  # whole ones, with the times of their last bytes
        super().__init__(receive_buffer)

    def entry(self, state: str = "SERVING") -> dict[str, Any]:
        """Return the upstream as discovery lists it."""
        return {
            "id": self.name,
            "addr": self.address,
            "zone": self.zone,
            "kind": "rapido",
            "cell": 1,
            "state": state,
            "weight": 1.0,
            "started_ms": 0,
        }

    def read_request(self, wire: Wire) -> Message | None:
        """Return the next request, or None if there is none."""
        head = wire.read_head()
        return None if head is None else self.read_body(wire, head)

    def read_body(self, wire: Wire, head: Message) -> Message:
        """Read the body of a request."""
        return wire.read_body(head)

    def serve(self, wire: Wire) -> None:
        """Serve requests until either side closes the connection."""
        while request := self.read_request(wire):
            if not request.is_whole:
                self.record.line(self.name, f"connection ended within {request.trace_id}")
                return
            told = request.headers.get("x-expires-in", "")
            at = self.record.line(self.name, f"got {request.method} {request.trace_id} whole, told {told} s")
            self.requests.append((at, request))
            data = self.answer(request, wire)
            if data is None:
                self.record.line(self.name, f"closes without an answer to {request.trace_id}")
                return
            wire.sock.sendall(data)
            self.record.line(self.name, f"answered {request.trace_id}: {data[:60]!r}")


@dataclass
class Discovery(Server):
    """Discovery: one list with a version; a watch is answered once there is something newer."""

    record: Record
    entries: list[dict[str, Any]]
    delay: float = 0.0  # seconds for which a call waits for its turn
    name: str = "discovery"
    version: int = 1
    changed_at: dict[str, int] = field(default_factory=dict)
    condition: threading.Condition = field(default_factory=threading.Condition)

    def __post_init__(self) -> None:
        """Begin to listen."""
        super().__init__()

    def change(self, *entries: dict[str, Any]) -> float:
        """Change entries, and return when."""
        with self.condition:
            self.version += 1
            for entry in entries:
                self.entries = [entry if each["id"] == entry["id"] else each for each in self.entries]
                self.changed_at[entry["id"]] = self.version
            states = ", ".join(f"{entry['id']} {entry['state']}" for entry in entries)
            self.condition.notify_all()
            return self.record.line(self.name, f"version {self.version}: {states}")

    def serve(self, wire: Wire) -> None:
        """Serve calls until either side closes the connection."""
        while request := wire.read():
            self.record.line(self.name, f"call {request.target}")
            if self.is_closing.wait(self.delay):
                return
            body = json.dumps(self._list(request.target)).encode()
            wire.sock.sendall(encode_response(body))
            self.record.line(self.name, f"answered {request.target} with version {self.version}")

    def _list(self, target: str) -> dict[str, Any]:
        path, _, query = target.partition("?")
        if path != "/catalog/members":
            raise ValueError(path)
        values = dict(part.split("=") for part in query.split("&")) if query else {}
        with self.condition:
            if "from" not in values:
                return {"version": self.version, "full": True, "servers": list(self.entries)}
            known = int(values["from"])
            wait = int(values.get("hold_ms", "0")) / 1000
            self.condition.wait_for(lambda: self.version > known or self.is_closing.is_set(), wait)
            changed = [each for each in self.entries if self.changed_at.get(each["id"], 0) > known]
            return {"version": self.version, "full": False, "servers": changed}

    def close(self) -> None:
        """Close everything and end the watches."""
        super().close()
        with self.condition:
            self.condition.notify_all()


class Link(Server):
    """The way to a server elsewhere: everything arrives `delay` seconds later, in both directions."""

    def __init__(self, target: str, delay: float) -> None:
        self.target = parse_address(target)
        self.delay = delay
        super().__init__()

    def serve(self, wire: Wire) -> None:
        """Forward one connection until either side closes it."""
        with socket.create_connection(self.target) as far:
            far.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            forth = threading.Thread(target=self._forward, args=(wire.sock, far), daemon=True)
            forth.start()
            self._forward(far, wire.sock)
            forth.join()

    def _forward(self, source: socket.socket, target: socket.socket) -> None:
        """Read at once and write later, in another thread, so that no byte waits for earlier ones."""
        items: queue.Queue[tuple[float, bytes]] = queue.Queue()
        writer = threading.Thread(target=self._write, args=(items, target), daemon=True)
        writer.start()
        data = b"-"
        while data:
            try:
                data = source.recv(READ_SIZE)
            except OSError:
                data = b""
            items.put((time.monotonic() + self.delay, data))
        writer.join()

    def _write(self, items: queue.Queue[tuple[float, bytes]], target: socket.socket) -> None:
        while True:
            due_at, data = items.get()
            time.sleep(max(0.0, due_at - time.monotonic()))
            try:
                if not data:
                    target.shutdown(socket.SHUT_WR)
                    return
                target.sendall(data)
            except OSError:
                return


# --- The platform ------------------------------------------------------------------------------------------
def small_deployment(classes: list[dict[str, Any]] | None = None) -> dict[str, Any]:
    """Return the settings that the wire page shows as its example, of a deployment with two sidecars."""
    return {
        "classes": classes or [consulta_precio(), registro_venta()],
        "azs": ["leon", "queretaro"],
        "skus": ["rapido", "lento"],
        "zone": 0,
        "me": 1,
        "balancers": 2,
        "family": "mesh",
        "registryMode": "subscribe",
        "weights": "off",
        "worthBy": "work",
        "quantumUs": 5 * MS,
        "rules": {
            "answerSlackUs": 20 * MS,
            "askEveryUs": 10 * SECOND,
            "coldFrom": 0.13,
            "drainGraceUs": 1 * SECOND,
            "fallMultiple": 3.0,
            "overloadForUs": 1 * SECOND,
            "warmUpUs": 24 * SECOND,
        },
        "stats": {"how": "inline", "fields": ["mean_ms", "tps", "depth"]},
        "allowed": {
            "dialTimeoutUs": 250 * MS,
            "keepaliveUs": 30 * SECOND,
            "maxAttempts": 4,
            "maxRetryAfterUs": 1 * SECOND,
            "mayCancel": True,
            "mayProbe": False,
            "multiplex": 1,
            "parallelTries": True,
            "retryAfter": True,
        },
        "clients": {"marksRetry": True},
        "deductions": {"crossZone": 0.22, "lateFail": 0.03, "waste": 0.034},
        "goal": {"whole": 0.7, "worstClass": 0.1, "worstWindow": 0.2},
        "extra": {"warmKeys": True},
    }


def liga_glowna() -> dict[str, Any]:
    """Return settings with the figures of the site liga-glowna, and its class that is safe to repeat."""
    return {
        "classes": [
            {
                "name": "sklad-odczyt",
                "repeat": "free",
                "aimUs": 500 * MS,
                "deadlineUs": 1 * SECOND,
                "worth": 5.0,
                "lateWorth": 0.25,
                "stream": False,
            }
        ],
        "azs": ["warszawa", "poznan", "krakow"],
        "skus": ["duzy", "maly"],
        "zone": 0,
        "me": 0,
        "balancers": 4,
        "registryMode": "subscribe",
        "weights": "rough",
        "worthBy": "work",
        "rules": {
            "answerSlackUs": 20 * MS,
            "askEveryUs": 10 * SECOND,
            "coldFrom": 0.3,
            "drainGraceUs": 300 * MS,
            "fallMultiple": 4.0,
            "overloadForUs": 1500 * MS,
            "warmUpUs": 7500 * MS,
        },
        "stats": {"how": "inline", "fields": ["depth", "concurrent"]},
        "allowed": {
            "dialTimeoutUs": 120 * MS,
            "keepaliveUs": 30 * SECOND,
            "maxAttempts": 5,
            "maxRetryAfterUs": 1500 * MS,
            "mayCancel": True,
            "mayProbe": False,
            "multiplex": 1,
            "parallelTries": True,
            "retryAfter": True,
        },
        "deductions": {"crossZone": 0.03, "waste": 0.04, "lateFail": 0.044},
    }


def consulta_precio() -> dict[str, Any]:
    """Return the class of the example that is safe to repeat."""
    return {
        "name": "consulta-precio",
        "repeat": "free",
        "aimUs": 800 * MS,
        "deadlineUs": 2 * SECOND,
        "worth": 5.0,
        "lateWorth": 0.0,
        "stream": False,
    }


def registro_venta() -> dict[str, Any]:
    """Return the class of the example that carries a key, known to the upstreams of one zone for 1 s."""
    return {
        "name": "registro-venta",
        "repeat": "guarded",
        "dedupScope": "zone",
        "dedupWindowUs": 1 * SECOND,
        "aimUs": 750 * MS,
        "deadlineUs": 1500 * MS,
        "worth": 2.0,
        "lateWorth": 0.0,
        "stream": False,
    }


class Sidecar:
    """One sidecar, started by the deploy file's `run` command."""

    def __init__(self, record: Record, folder: Path, config: dict[str, Any], name: str) -> None:
        self.record = record
        self.name = name
        self.tmp = folder / f"tmp-{config['name']}"  # common to the processes of one sidecar
        self.config = {"listen": unused_address(), **config}
        self.file = folder / f"{name}.json"
        self.log = folder / f"{name}.log"
        self.process: subprocess.Popen[bytes] | None = None

    def write_config(self) -> None:
        """Replace the configuration's file at once."""
        fresh = self.file.with_suffix(".new")
        fresh.write_text(json.dumps(self.config))
        fresh.rename(self.file)

    def start(self) -> Sidecar:
        """Start the process and wait until it is ready."""
        self.write_config()
        with (ROOT / "deploy" / "balancer.toml").open("rb") as file:
            command = tomllib.load(file)["run"]
        self.tmp.mkdir(exist_ok=True)
        environ = {key: value for key, value in os.environ.items() if not key.startswith("EDGE_")}
        environ |= {
            "EDGE_CONFIG": str(self.file),
            "EDGE_NAME": self.config["name"],
            "EDGE_LISTEN": self.config["listen"],
            "EDGE_DISCOVERY": self.config["discovery"],
            "TMPDIR": str(self.tmp),
        }
        with self.log.open("wb") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", command], cwd=ROOT, env=environ, stdout=log, stderr=log
            )
        self.record.line(self.name, f"started at {self.config['listen']}")
        deadline = time.monotonic() + READY_SECONDS
        while time.monotonic() < deadline:
            if self.process.poll() is not None:
                raise CannotRunError(f"the sidecar ended at its start: {self.log.read_text()[-500:]}")
            if self._is_ready():
                self.record.line(self.name, "ready")
                return self
            time.sleep(0.02)
        raise CannotRunError("the sidecar was not ready in time")

    def _is_ready(self) -> bool:
        """Ask the process itself: at its admin address, if it has one, as another may have its listener."""
        admin = self.config.get("admin_addr")
        path = "/admin/health" if admin else "/_health"
        try:
            with Client(parse_address(admin or self.config["listen"]), 1.0) as client:
                client.sock.sendall(f"GET {path} HTTP/1.1\r\nHost: backend.local\r\n\r\n".encode())
                answer = client.wire.read()
                return answer is not None and answer.status == 200
        except OSError:
            return False

    def connect(self, timeout: float) -> Client:
        """Return a new connection of the application, whose reads wait for `timeout` seconds."""
        return Client(parse_address(self.config["listen"]), timeout)

    def signal(self, number: signal.Signals) -> float:
        """Send a signal to the process and return when."""
        assert self.process is not None
        at = self.record.line("platform", f"{number.name} to {self.name}")
        self.process.send_signal(number)
        return at

    def exit_status(self) -> int | None:
        """Return the exit status, or None while the process runs."""
        assert self.process is not None
        return self.process.poll()

    def end(self) -> None:
        """End the process."""
        if self.process is not None:
            if self.process.poll() is None:
                self.process.kill()
            status = self.process.wait()
            self.record.line(self.name, f"exit status {status}")
            for line in self.log.read_text(errors="replace").splitlines()[-60:]:
                self.record.line(f"{self.name} log", line)


class Client:
    """One connection of the application to its sidecar."""

    def __init__(self, address: tuple[str, int], timeout: float) -> None:
        self.sock = socket.create_connection(address, timeout)
        self.wire = Wire(self.sock)

    def __enter__(self) -> Client:
        return self

    def __exit__(self, *_: object) -> None:
        self.sock.close()


# --- The frame of a case -----------------------------------------------------------------------------------
class Case:
    """What a case starts: it is all ended and removed on exit."""

    def __init__(self, folder: Path) -> None:
        self.record = Record(folder)
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.servers: list[Server] = []
        self.sidecars: list[Sidecar] = []

    def add(self, server: Any) -> Any:
        """Keep a server so that it is closed at the end."""
        self.servers.append(server)
        return server

    def sidecar(self, discovery: Discovery, settings: dict[str, Any], **config: Any) -> Sidecar:
        """Return a sidecar that is not started yet."""
        values = {
            "name": "n1",
            "discovery": discovery.address,
            "seed": os.urandom(8).hex(),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": {"version": discovery.version, "full": True, "servers": list(discovery.entries)},
            "settings": settings,
            **config,
        }
        number = sum(each.config["name"] == values["name"] for each in self.sidecars)
        name = f"{values['name']}-{number + 1}" if number else values["name"]
        sidecar = Sidecar(self.record, self.folder, values, name)
        self.sidecars.append(sidecar)
        return sidecar

    def close(self) -> None:
        """End what was started."""
        for sidecar in self.sidecars:
            sidecar.end()
        for server in self.servers:
            server.close()
        shutil.rmtree(self.folder, ignore_errors=True)


def run_case(folder: Path, play: Callable[[Case], list[str]]) -> None:
    """Play a case, whose function returns the breaks of the rule, and exit with the status for them."""
    case = Case(folder)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(CANNOT_RUN))
    case.record.line("case", "with the disruption" if case.has_trouble else "without the disruption")
    status = CANNOT_RUN
    try:
        breaks = play(case)
    except (CannotRunError, OSError) as error:
        case.record.line("case", f"could not run: {error!r}")
        print(f"could not run: {error}")
    except BaseException:
        # also at SIGTERM and SIGINT: what was started is ended below, and the case has not run
        traceback.print_exc()
    else:
        for each in breaks:
            case.record.line("broken", each)
            print(f"broken: {each}")
        status = BROKEN if breaks else HELD
        print("the rule was broken" if breaks else "the rule held")
    finally:
        case.close()
        case.record.line("case", f"exit status {status}")
        # the threads of clients that still wait are not waited for
        sys.stdout.flush()
        os._exit(status)
