"""Stand-ins for clients, upstreams, discovery and the platform, on loopback, by the standard library alone.

They follow the protocol page: discovery answers `GET /catalog/members`, an upstream begins a request when its
last byte has come, and a client sends one request at a time on a connection.  The platform starts the sidecar
by the `run` command of `deploy/balancer.toml`.
"""

from __future__ import annotations

import contextlib
import itertools
import json
import os
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time
import tomllib
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
SECOND = 1_000_000
MS = 1_000
HELD = 0
BROKEN = 1
COULD_NOT_RUN = 2
READY_SECONDS = 30.0
MAX_CASE_SECONDS = 100

_hosts = itertools.count(1)
_ids = itertools.count(1)


class CannotRunError(Exception):
    """The case could not run, for a reason that is not the rule under test."""


def free_address() -> str:
    """Return a loopback address at which nothing listens, of a host that only this process uses."""
    pid = os.getpid()
    host = f"127.{1 + pid % 250}.{1 + pid // 250 % 250}.{1 + next(_hosts) % 250}"
    with socket.create_server((host, 0)) as probe:
        return "{}:{}".format(*probe.getsockname())


def split_address(address: str) -> tuple[str, int]:
    """Return the host and the port of an address."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def new_id() -> str:
    """Return a request id that no other request of this run has."""
    return f"{os.getpid():08x}{next(_ids):08x}"


class Record:
    """The file `record.txt` of a case: what was sent, answered and run, with the time since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started_at = time.monotonic()
        self._lock = threading.Lock()

    def write(self, text: str) -> float:
        """Write one line; return its time in seconds since the start."""
        with self._lock:
            now = time.monotonic() - self._started_at
            self._file.write(f"{now:8.3f}  {text}\n")
            self._file.flush()
        return now


@dataclass
class Message:
    """One HTTP message."""

    start: str
    headers: dict[str, str]
    body_size: int

    @property
    def status(self) -> int:
        """The status of an answer."""
        return int(self.start.split(" ")[1])

    @property
    def target(self) -> str:
        """The target of a request."""
        return self.start.split(" ")[1]

    @property
    def request_id(self) -> str:
        """The id of a request."""
        return self.headers.get("x-trace-id", "")


class Wire:
    """Reads HTTP messages from a socket."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.buffer = b""
        self.body = b""

    def read_head(self) -> Message | None:
        """Return the next message without its body, or None if the connection ends first."""
        while b"\r\n\r\n" not in self.buffer:
            if not self._receive():
                return None
        head, _, self.buffer = self.buffer.partition(b"\r\n\r\n")
        start, *lines = head.decode("latin-1").split("\r\n")
        headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
        return Message(start, headers, 0)

    def read_body(self, message: Message, rate: float = 0.0) -> bool:
        """Read the body, at most `rate` bytes a second; return False if the connection ends first."""
        started_at = time.monotonic()
        if "chunked" in message.headers.get("transfer-encoding", ""):
            raise CannotRunError("a chunked body was not expected")
        length = int(message.headers.get("content-length", "0"))
        self.body, self.buffer = self.buffer[:length], self.buffer[length:]
        message.body_size = len(self.body)
        while message.body_size < length:
            data = self._read_some(min(1 << 16, length - message.body_size))
            if not data:
                return False
            message.body_size += len(data)
            if length <= 1 << 16:
                self.body += data
            if rate:
                time.sleep(max(0.0, started_at + message.body_size / rate - time.monotonic()))
        return True

    def read(self) -> Message | None:
        """Return the next message once it is complete, or None if the connection ends first."""
        message = self.read_head()
        return message if message is not None and self.read_body(message) else None

    def _read_some(self, size: int) -> bytes:
        try:
            return self.sock.recv(size)
        except ConnectionResetError:
            return b""

    def _receive(self) -> bool:
        data = self._read_some(1 << 16)
        self.buffer += data
        return bool(data)


def answer(body: bytes, status: int = 200, *headers: str) -> bytes:
    """Return the bytes of an answer."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *headers, "", ""]
    return "\r\n".join(lines).encode() + body


class Server:
    """Listens on a free address; a subclass serves each connection in a thread of its own."""

    def __init__(self, receive_buffer: int = 0) -> None:
        self.address = free_address()
        self._listener = socket.socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if receive_buffer:
            self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        self._listener.bind(split_address(self.address))
        self._listener.listen(512)
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        with contextlib.suppress(OSError), sock:
            self.serve_connection(Wire(sock))

    def serve_connection(self, wire: Wire) -> None:
        """Serve one connection, which is closed when this method returns."""
        raise NotImplementedError


@dataclass
class Run:
    """A request that an upstream ran: its last byte had come."""

    at: float
    upstream: str
    request_id: str
    key: str
    target: str


@dataclass
class Upstream(Server):
    """An upstream; `serve` may replace the way in which it serves one request."""

    record: Record
    name: str
    zone: str
    serve: Callable[[Upstream, Wire, Message], bool] | None = None
    receive_buffer: int = 0
    runs: list[Run] = field(default_factory=list)

    def __post_init__(self) -> None:
        super().__init__(self.receive_buffer)

    def serve_connection(self, wire: Wire) -> None:
        """Serve requests until one is not answered."""
        serve = self.serve or Upstream.serve_at_once
        while (request := wire.read_head()) is not None:
            if not serve(self, wire, request):
                return

    def serve_at_once(self, wire: Wire, request: Message) -> bool:
        """Read a request, run it and answer."""
        if not wire.read_body(request):
            return False
        self.run(request)
        self.send_answer(wire, request)
        return True

    def run(self, request: Message) -> None:
        """Run a request whose last byte has come."""
        key = request.headers.get("idempotency-key", "")
        at = self.record.write(
            f"upstream {self.name} (zone {self.zone}) runs id {request.request_id} key {key or '-'} "
            f"({request.body_size} bytes)"
        )
        self.runs.append(Run(at, self.name, request.request_id, key, request.target))

    def send_answer(self, wire: Wire, request: Message) -> None:
        """Answer a request with its id."""
        wire.sock.sendall(answer(f"{self.name}:{request.request_id}".encode()))

    def entry(self, **changes: Any) -> dict[str, Any]:
        """Return the upstream's entry in discovery's list."""
        entry = {"id": self.name, "addr": self.address, "zone": self.zone, "kind": "plain", "cell": 1}
        return entry | {"state": "SERVING", "weight": 1.0, "started_ms": 0} | changes


class Discovery(Server):
    """Discovery with one list: a watch is answered when the list has changed or its wait is over."""

    def __init__(self, entries: list[dict[str, Any]]) -> None:
        self._entries = {entry["id"]: entry for entry in entries}
        self._version = 1
        self._changed_at = dict.fromkeys(self._entries, 1)
        self._changed = threading.Condition()
        super().__init__()

    def known(self) -> dict[str, Any]:
        """Return the whole list."""
        return {"version": self._version, "full": True, "servers": list(self._entries.values())}

    def serve_connection(self, wire: Wire) -> None:
        """Answer calls until the connection ends."""
        while (request := wire.read()) is not None:
            query = dict(pair.split("=") for pair in request.target.partition("?")[2].split("&") if pair)
            wire.sock.sendall(answer(json.dumps(self._list(query)).encode()))

    def _list(self, query: dict[str, str]) -> dict[str, Any]:
        with self._changed:
            if "from" not in query:
                return self.known()
            known = int(query["from"])
            hold = int(query.get("hold_ms", "0")) / 1000
            self._changed.wait_for(lambda: self._version > known, hold)
            changed = [self._entries[name] for name, at in self._changed_at.items() if at > known]
            return {"version": self._version, "full": False, "servers": changed}


def settings(classes: list[dict[str, Any]], zones: list[str], **allowed: Any) -> dict[str, Any]:
    """Return the settings of a small deployment; `allowed` replaces keys of the object of that name."""
    return {
        "classes": classes,
        "azs": zones,
        "skus": ["plain"],
        "zone": 0,
        "me": 0,
        "balancers": 2,
        "registryMode": "subscribe",
        "rules": {
            "answerSlackUs": 20 * MS,
            "askEveryUs": 10 * SECOND,
            "drainGraceUs": SECOND,
            "coldFrom": 0.13,
            "warmUpUs": 24 * SECOND,
            "fallMultiple": 3.0,
            "overloadForUs": SECOND,
        },
        "stats": {"how": "inline", "fields": ["mean_ms", "tps", "depth"]},
        "allowed": {
            "maxAttempts": 4,
            "mayCancel": True,
            "mayProbe": False,
            "parallelTries": True,
            "retryAfter": True,
            "maxRetryAfterUs": SECOND,
            "dialTimeoutUs": 250 * MS,
            "keepaliveUs": 30 * SECOND,
            "multiplex": 1,
            **allowed,
        },
        "deductions": {"crossZone": 0.22, "waste": 0.034, "lateFail": 0.03},
        "goal": {"whole": 0.7, "worstClass": 0.1},
        "worthBy": "request",
        "weights": "off",
    }


def request_class(name: str, repeat: str, deadline_ms: int, **values: Any) -> dict[str, Any]:
    """Return a request class with all keys that the settings give a class."""
    return {
        "name": name,
        "repeat": repeat,
        "aimUs": deadline_ms * MS // 2,
        "deadlineUs": deadline_ms * MS,
        "dedupScope": "all",
        "dedupWindowUs": 5 * SECOND,
        "lateWorth": 0.0,
        "stream": False,
        "worth": 1.0,
    } | values


class Platform:
    """Starts sidecars in a temporary folder, and ends those that still run when the case is over."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        (self.folder / "tmp").mkdir()
        self.config_path = self.folder / "config.json"
        self.listen = free_address()
        self._processes: list[subprocess.Popen[bytes]] = []

    def write_config(
        self, discovery: Discovery, values: dict[str, Any], memory_mb: int = 192, sockets: int = 1024
    ) -> None:
        """Write the configuration file, in one step."""
        config = {
            "name": "n1",
            "listen": self.listen,
            "discovery": discovery.address,
            "seed": os.urandom(8).hex(),
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
            "known": discovery.known(),
            "settings": values,
        }
        new = self.config_path.with_suffix(".new")
        new.write_text(json.dumps(config))
        new.rename(self.config_path)

    def start(self, discovery: Discovery) -> Sidecar:
        """Start one sidecar and wait until it says that it is ready."""
        deploy = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())
        admin = free_address()
        environment = {
            **os.environ,
            "EDGE_NAME": "n1",
            "EDGE_LISTEN": self.listen,
            "EDGE_DISCOVERY": discovery.address,
            "EDGE_CONFIG": str(self.config_path),
            "EDGE_ADMIN_ADDR": admin,
            "TMPDIR": str(self.folder / "tmp"),
        }
        number = len(self._processes) + 1
        log = self.folder / f"sidecar-{number}.log"
        with log.open("wb") as output:
            process = subprocess.Popen(
                ["/bin/sh", "-c", deploy["run"]],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
                start_new_session=True,
            )
        self._processes.append(process)
        sidecar = Sidecar(process, self.listen, admin, log)
        deadline = time.monotonic() + READY_SECONDS
        while not sidecar.is_ready():
            if process.poll() is not None or time.monotonic() > deadline:
                raise CannotRunError(f"sidecar {number} is not ready: {log.read_text()[-500:]}")
            time.sleep(0.05)
        self.record.write(f"platform: sidecar process {number} is ready")
        return sidecar

    def close(self) -> None:
        """End all processes that were started, and remove the temporary folder."""
        for process in self._processes:
            with contextlib.suppress(ProcessLookupError):
                os.killpg(process.pid, signal.SIGKILL)
            process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


@dataclass
class Sidecar:
    """One sidecar process."""

    process: subprocess.Popen[bytes]
    listen: str
    admin: str
    log: Path

    def is_ready(self) -> bool:
        """Return whether the process says at its second address that it can serve."""
        return self._call_admin("/admin/health")[0] == 200

    def metrics(self) -> dict[str, float]:
        """Return the figures that the process reports."""
        text = self._call_admin("/admin/stats")[1].decode()
        pairs = (line.rsplit(" ", 1) for line in text.splitlines() if line and not line.startswith("#"))
        return {name: float(value) for name, value in pairs}

    def _call_admin(self, path: str) -> tuple[int, bytes]:
        try:
            with socket.create_connection(split_address(self.admin), 2) as sock:
                sock.settimeout(2)
                sock.sendall(f"GET {path} HTTP/1.1\r\nHost: admin\r\n\r\n".encode())
                wire = Wire(sock)
                message = wire.read()
                return (message.status, wire.body) if message else (0, b"")
        except OSError:
            return 0, b""


class Client:
    """One connection of the application."""

    def __init__(self, record: Record, name: str, listen: str) -> None:
        self.record = record
        self.name = name
        self.sock = socket.create_connection(split_address(listen), 10)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.wire = Wire(self.sock)

    def send(self, data: bytes, text: str) -> float:
        """Send bytes; return the time at which the last one was written to the connection."""
        self.sock.settimeout(20)
        self.sock.sendall(data)
        return self.record.write(f"client {self.name}: {text}")

    def receive(self, seconds: float) -> str:
        """Wait so long for the answer; return its status, or `closed` or `none`."""
        self.sock.settimeout(seconds)
        try:
            message = self.wire.read()
        except TimeoutError:
            text = "none"
        except OSError as error:
            text = f"closed ({error.strerror})"
        else:
            text = "closed" if message is None else str(message.status)
        body = self.wire.body.decode("latin-1")[:80] if text.isdigit() else ""
        self.record.write(f"client {self.name}: gets {text} {body}")
        return text

    def close(self) -> None:
        """Close the connection."""
        self.sock.close()


@dataclass
class Exchange:
    """A request of the application, and what became of it."""

    path: str
    request_id: str
    sent_at: float = 0.0
    answer: str = "none"
    seconds: float = 0.0  # from the last byte of the request to the answer, or to the end of the wait


class Application:
    """The application beside the sidecar: keeps its connections, and opens more when all are busy."""

    def __init__(self, record: Record, listen: str) -> None:
        self.record = record
        self.exchanges: list[Exchange] = []
        self._listen = listen
        self._idle: deque[Client] = deque()
        self._threads: list[threading.Thread] = []

    def ask(self, path: str, seconds: float, body: bytes = b"", is_keyed: bool = False) -> Exchange:
        """Send one request and wait a second longer than it allows; return what came of it."""
        exchange = Exchange(path, new_id())
        self.exchanges.append(exchange)
        key = new_id() if is_keyed else ""
        data = request_head(path, exchange.request_id, seconds, len(body), key) + body
        # A connection that was closed between requests: the request is sent once more, on a new one.
        if not (self._idle and self._exchange(self._idle.popleft(), exchange, data, seconds)):
            self._exchange(None, exchange, data, seconds)
        return exchange

    def _exchange(self, client: Client | None, exchange: Exchange, data: bytes, seconds: float) -> bool:
        """Send a request and wait for its answer; return whether the connection was not closed on it."""
        try:
            client = client or Client(self.record, "", self._listen)
            client.name = exchange.request_id
            exchange.sent_at = client.send(
                data, f"sends id {exchange.request_id} {exchange.path}, expires in {seconds:.3f} s"
            )
        except OSError as error:
            exchange.answer = f"not taken ({error.strerror})"
            self.record.write(f"client {exchange.request_id}: {exchange.answer}")
            return False
        started_at = time.monotonic()
        exchange.answer = client.receive(seconds + 1.0)
        exchange.seconds = time.monotonic() - started_at
        if exchange.answer.isdigit():
            self._idle.append(client)
        else:
            client.close()
        return exchange.answer.isdigit()

    def keep_asking(self, rate: float, until: threading.Event, *arguments: Any, **keywords: Any) -> None:
        """In the background, send so many requests a second until the event is set."""

        def run() -> None:
            while not until.wait(1 / rate):
                thread = threading.Thread(target=self.ask, args=arguments, kwargs=keywords, daemon=True)
                self._threads.append(thread)
                thread.start()

        thread = threading.Thread(target=run, daemon=True)
        self._threads.append(thread)
        thread.start()

    def finish(self, seconds: float) -> None:
        """Wait until all requests have ended."""
        deadline = time.monotonic() + seconds
        for thread in list(self._threads):
            thread.join(max(0.0, deadline - time.monotonic()))


def request_head(path: str, request_id: str, seconds: float, body_size: int = 0, key: str = "") -> bytes:
    """Return the head of a request: `GET` without a body, `POST` otherwise."""
    lines = [
        f"{'POST' if body_size else 'GET'} {path} HTTP/1.1",
        "Host: backend.local",
        f"X-Trace-Id: {request_id}",
        f"X-Expires-In: {seconds:.3f}",
    ]
    if key:
        lines.append(f"Idempotency-Key: {key}")
    if body_size:
        lines.append(f"Content-Length: {body_size}")
    return "\r\n".join([*lines, "", ""]).encode()


@contextlib.contextmanager
def platform(record: Record) -> Iterator[Platform]:
    """Provide a platform that ends its processes at the end."""
    result = Platform(record)
    try:
        yield result
    finally:
        result.close()


def _stop(number: int, _frame: object) -> None:
    raise CannotRunError(f"stopped by {signal.Signals(number).name}")


def main(folder: Path, case: Callable[[Record, Platform, bool], bool]) -> int:
    """Run a case, which returns whether the rule held; return the exit status."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGALRM):
        signal.signal(number, _stop)
    signal.alarm(MAX_CASE_SECONDS)
    try:
        record = Record(folder / "record.txt")
        record.write(f"start, with{'' if has_trouble else 'out'} the disruption")
        with platform(record) as the_platform:
            held = case(record, the_platform, has_trouble)
        verdict = "the rule held" if held else "the rule was broken"
        record.write(verdict)
    except Exception as error:
        # Python's own status after an exception is that of a broken rule.
        print(f"could not run: {type(error).__name__}: {error}")
        return COULD_NOT_RUN
    print(verdict)
    return HELD if held else BROKEN
