"""Small stand-ins on loopback for what surrounds a sidecar: upstreams, discovery, the application.

Upstreams and discovery answer as a test scripts it, one thread a connection; everything started is ended.
"""

from __future__ import annotations

import contextlib
import copy
import itertools
import json
import os
import signal
import socket
import subprocess
import threading
import time
import tomllib
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from types import TracebackType
from typing import Any

import gevent

ROOT = Path(__file__).parent.parent
DEPLOY = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
PATIENCE = 20.0  # seconds until a test that waits for something gives up
MS, SECOND = 1000, 1_000_000


_hosts = itertools.cycle(range(1, 251))


def own_host() -> str:
    """A loopback address of its own: a port given back is then taken neither by an outgoing connection, which
    starts at 127.0.0.1, nor by another run of the tests."""
    pid = os.getpid()
    return f"127.{1 + pid % 250}.{1 + pid // 250 % 250}.{next(_hosts)}"


def until(done: Callable[[], Any], what: str = "") -> Any:
    """Wait until it holds; a test that waits too long has failed."""
    limit = time.monotonic() + PATIENCE
    while time.monotonic() < limit:
        if value := done():
            return value
        time.sleep(0.002)
    raise AssertionError(f"never came: {what or done}")


def turns_until(done: Callable[[], Any]) -> None:
    """The same in one process with what is tested: its greenlets run meanwhile."""
    with gevent.Timeout(PATIENCE):
        while not done():
            gevent.sleep(0.001)


@dataclass
class Message:
    """One HTTP message as it was read from a socket."""

    start: str
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        return int(self.start.split(" ")[1])

    @property
    def target(self) -> str:
        return self.start.split(" ")[1]


class Wire:
    """A socket from which whole messages are read."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock, self.buffer = sock, b""
        sock.settimeout(PATIENCE)

    def read(self) -> Message | None:
        """The next message, or None where the connection ends between two."""
        while b"\r\n\r\n" not in self.buffer:
            if not self._more():
                assert not self.buffer, f"cut off: {self.buffer!r}"
                return None
        head, _, self.buffer = self.buffer.partition(b"\r\n\r\n")
        start, *lines = head.decode("latin-1").split("\r\n")
        headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
        length = int(headers.get("content-length", 0))
        while len(self.buffer) < length:
            assert self._more(), f"cut off in the body of {start!r}"
        body, self.buffer = self.buffer[:length], self.buffer[length:]
        return Message(start, headers, body)

    def _more(self) -> bool:
        try:
            data = self.sock.recv(65536)
        except ConnectionResetError:
            return False
        self.buffer += data
        return bool(data)

    def ended(self) -> bool:
        """Wait until the other side has closed the connection."""
        while self._more():
            pass
        return True


def answer(body: bytes = b"ok", status: int = 200, *headers: str) -> bytes:
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *headers, "", ""]
    return "\r\n".join(lines).encode() + body


class Server:
    """Listens on a free port and speaks as a subclass says, a thread for each connection."""

    def __init__(self) -> None:
        self.listener = socket.create_server((own_host(), 0))
        self.address = "{}:{}".format(*self.listener.getsockname())
        self.connections: list[socket.socket] = []
        self.closing = threading.Event()
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while not self.closing.is_set():
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            self.connections.append(sock)
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        with contextlib.suppress(OSError, AssertionError), sock:
            self.speak(Wire(sock))

    def speak(self, wire: Wire) -> None:
        raise NotImplementedError

    def close(self) -> None:
        self.closing.set()
        with contextlib.suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        for sock in self.connections:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)


def entry(name: str, addr: str = "127.0.0.1:9", **changes: Any) -> dict[str, Any]:
    """An upstream as discovery lists it."""
    base = {"id": name, "addr": addr, "zone": "north", "kind": "plain", "cell": 1}
    return {**base, "state": "SERVING", "weight": 1.0, "started_ms": 0, **changes}


Script = Callable[[Message, Wire], bytes | None]


class Upstream(Server):
    """Answers by its script: bytes to send, or None where the connection is to be ended."""

    def __init__(self, name: str, script: Script | None = None) -> None:
        self.name = name
        self.script: Script = script or (lambda request, wire: answer(name.encode()))
        self.seen: list[Message] = []
        self.closed = 0
        super().__init__()

    def speak(self, wire: Wire) -> None:
        try:
            while request := wire.read():
                self.seen.append(request)
                reply = self.script(request, wire)
                if reply is None:
                    return
                wire.sock.sendall(reply)
        finally:
            self.closed += 1

    def entry(self, **changes: Any) -> dict[str, Any]:
        return entry(self.name, **{"addr": self.address, **changes})


def silent(request: Message, wire: Wire) -> None:
    """Never answers; ends once the sidecar closes the connection."""
    wire.ended()


class Discovery(Server):
    """One list, and watches that wait for what is newer; `scripted` answers come first, as they are."""

    def __init__(self, entries: list[dict[str, Any]]) -> None:
        self.version, self.entries = 1, entries
        self.changed: list[dict[str, Any]] = []
        self.scripted: list[bytes | None] = []
        self.calls: list[str] = []
        self.news = threading.Condition()
        super().__init__()

    def change(self, *entries: dict[str, Any]) -> None:
        with self.news:
            self.version += 1
            self.changed = list(entries)
            self.news.notify_all()

    def speak(self, wire: Wire) -> None:
        while request := wire.read():
            with self.news:
                self.calls.append(request.target)
                if self.scripted:
                    reply = self.scripted.pop(0)
                    if reply is None:
                        return
                    wire.sock.sendall(reply)
                    continue
                told = self._told(request.target)
            wire.sock.sendall(answer(json.dumps(told).encode()))

    def _told(self, target: str) -> dict[str, Any]:
        if "?" not in target:
            return {"version": self.version, "full": True, "servers": self.entries}
        asked = int(target.partition("from=")[2].partition("&")[0])
        hold = min(PATIENCE, int(target.partition("hold_ms=")[2]) / 1000)
        newer = self.news.wait_for(lambda: self.version > asked or self.closing.is_set(), hold)
        return {"version": self.version, "full": False, "servers": self.changed if newer else []}

    def close(self) -> None:
        super().close()
        with self.news:
            self.news.notify_all()


CLASSES = [
    {"name": "look", "repeat": "free", "aimUs": 500 * MS, "deadlineUs": 2 * SECOND, "worth": 1.0},
    {"name": "pay", "repeat": "single_shot", "aimUs": 500 * MS, "deadlineUs": 2 * SECOND, "worth": 1.0},
    {
        "name": "book",
        "repeat": "guarded",
        "dedupScope": "all",
        "dedupWindowUs": SECOND,
        "aimUs": 500 * MS,
        "deadlineUs": 2 * SECOND,
        "worth": 1.0,
    },
]


def settings(**allowed: Any) -> dict[str, Any]:
    may = {"mayCancel": True, "parallelTries": False, "retryAfter": True, "maxRetryAfterUs": 500 * MS}
    return {
        "classes": copy.deepcopy(CLASSES),
        "azs": ["north", "south"],
        "skus": ["plain"],
        "zone": 0,
        "me": 0,
        "balancers": 1,
        "registryMode": "subscribe",
        "rules": {"askEveryUs": 10 * SECOND, "drainGraceUs": SECOND},
        "stats": {"how": "inline", "fields": ["depth", "tps"]},
        "allowed": {
            "maxAttempts": 3,
            "dialTimeoutUs": 250 * MS,
            "keepaliveUs": 30 * SECOND,
            **may,
            **allowed,
        },
    }


def free_address() -> str:
    """Where nobody listens, and nobody else will."""
    with socket.create_server((own_host(), 0)) as probe:
        return "{}:{}".format(*probe.getsockname())


@dataclass
class Sidecar:
    """The program, started by the command of `run`, and its log."""

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

    def start(self) -> Sidecar:
        self.address = free_address()
        self.config["listen"] = self.address
        self.launch()
        until(self._ready, "ready")
        return self

    def _ready(self) -> bool:
        assert self.process and self.process.poll() is None, self.log()
        try:
            return self.get("/_health").status == 200
        except (OSError, AssertionError):
            return False

    def log(self) -> str:
        return (self.folder / "log").read_text()

    def connect(self) -> Wire:
        host, port = self.address.split(":")
        return Wire(socket.create_connection((host, int(port)), PATIENCE))

    def get(self, path: str) -> Message:
        return self.talk(request(path))

    def talk(self, data: bytes) -> Message:
        """One connection, these bytes, and the one answer to them."""
        wire = self.connect()
        with wire.sock:
            wire.sock.sendall(data)
            message = wire.read()
        assert message is not None, "closed without an answer"
        return message

    def ask(self, klass: str = "look", expires: str = "2.0", body: bytes = b"") -> Message:
        return self.talk(call(klass, expires, body))

    def end(self) -> int:
        assert self.process is not None
        self.process.send_signal(signal.SIGTERM)
        return self.process.wait(PATIENCE)

    def __enter__(self) -> Sidecar:
        return self.start()

    def __exit__(self, kind: type[BaseException] | None, fault: object, trace: TracebackType | None) -> None:
        assert self.process is not None
        if self.process.poll() is None:
            self.process.kill()
            self.process.wait(PATIENCE)


def request(path: str, method: str = "GET", *headers: str, body: bytes = b"") -> bytes:
    lines = [f"{method} {path} HTTP/1.1", "Host: backend.local", *headers]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


_numbers = iter(range(1, 1_000_000))


def call(klass: str = "look", expires: str = "2.0", body: bytes = b"") -> bytes:
    """A proper request of a class, with an id of its own."""
    method = "POST" if body else "GET"
    named = [f"X-Trace-Id: {next(_numbers):016x}", f"X-Expires-In: {expires}"]
    return request(f"/{klass}/k1", method, *named, body=body)


def config(discovery: str, known: list[dict[str, Any]], **allowed: Any) -> dict[str, Any]:
    return {
        "name": "n0",
        "discovery": discovery,
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"version": 1, "full": True, "servers": known},
        "settings": settings(**allowed),
    }


class World:
    """Upstreams, discovery and one sidecar among them."""

    def __init__(self, folder: Path, *upstreams: Upstream, **allowed: Any) -> None:
        self.upstreams = upstreams
        entries = [upstream.entry() for upstream in upstreams]
        self.discovery = Discovery(entries)
        self.sidecar = Sidecar(folder, config(self.discovery.address, entries, **allowed))

    def __enter__(self) -> Sidecar:
        return self.sidecar.__enter__()

    def __exit__(self, kind: type[BaseException] | None, fault: object, trace: TracebackType | None) -> None:
        self.sidecar.__exit__(kind, fault, trace)
        for server in (*self.upstreams, self.discovery):
            server.close()


def last_counts(log: str) -> dict[str, Any]:
    """The counts that the program wrote as it ended."""
    (ended,) = [line for line in map(json.loads, log.splitlines()) if line.get("phase") == "ended"]
    counts: dict[str, Any] = ended
    return counts
