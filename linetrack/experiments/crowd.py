"""Crowds of slow clients: hundreds of connections that write, stop or read in one of several ways.

A crowd runs in one thread and one selector loop, for a bounded time.  Each client sends the parts of one
request at fixed intervals, reads at a bounded rate and reconnects once its connection has ended, as clients
behind a sidecar do.  A client that sends a whole request counts how it ended.
"""

from __future__ import annotations

import heapq
import selectors
import socket
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from itertools import count
from random import Random

HEAD_SECONDS = 1.8  # in which a slow head is sent; 2 s are allowed
PARTS_PER_HEAD = 12
REQUEST_TIMEOUT_SECONDS = 2.0
STALL_SECONDS = 4.0  # for which a client that has stopped stays; a response or a close is due within 3 s
HALF_BODY_BYTES = 500_000
SHORT_FIELD = b"a:b\r\n"
SHORT_FIELD_COUNT = 2500  # close to the limit of a head
TOO_MANY_SHORT_FIELDS = 4000  # beyond the limit of a head
LONG_RESPONSE_BYTES = 600_000
SLOW_READ_BYTES = 16 * 1024  # per interval: 64 kB a second
SLOW_READ_SECONDS = 0.25
RECEIVE_BUFFER_BYTES = 8 * 1024  # of a slow reader's socket, so that the sender has to wait
RECONNECT_SECONDS = 0.02
MAX_READ_BYTES = 64 * 1024
POLL_SECONDS = 0.05
#: The last segment of a path that asks the stand-in upstream for a response of this size.
SIZE_PREFIX = "bytes-"


class CrowdKind(Enum):
    """What the clients of a crowd do."""

    SLOW_HEADS = "slow_heads"
    """They take close to 2 s for the head of a valid request, and read the response at once."""
    SHORT_FIELDS = "short_fields"
    """They send heads of thousands of short fields, half of them beyond the limit."""
    STALLED_HEADS = "stalled_heads"
    """They send most of a head of short fields and stay."""
    HALF_BODIES = "half_bodies"
    """They send half of a large body and stay."""
    SLOW_READERS = "slow_readers"
    """They read a long response at 64 kB a second."""


#: The kinds whose clients never send a whole request, so that none reaches an upstream.
INCOMPLETE_KINDS = (CrowdKind.STALLED_HEADS, CrowdKind.HALF_BODIES)


class ClientEnd(Enum):
    """How one connection of a crowd ended."""

    SERVED = "served"  # a whole 200 response
    REFUSED = "refused"  # 429 or 503
    FAILED = "failed"  # another status
    UNANSWERED = "unanswered"  # closed without a status line after a whole request was sent
    ABORTED = "aborted"  # a 200 response that ended before its last byte
    STOPPED = "stopped"  # the client left first, or had not sent a whole request


@dataclass(frozen=True, slots=True)
class ClientPlan:
    """What one client sends, and how it reads.

    Attributes:
        parts: the bytes to send.
        interval_s: the time between two parts.
        is_whole: whether the parts are a whole valid request.
        read_bytes: how much is read at a time.
        read_interval_s: the time between two reads; 0 reads what arrives.
    """

    parts: tuple[bytes, ...]
    interval_s: float
    is_whole: bool
    read_bytes: int = MAX_READ_BYTES
    read_interval_s: float = 0.0


def plan_client(kind: CrowdKind, class_name: str, trace: str, random: Random) -> ClientPlan:
    """Return what a client of this kind does; `class_name` is a class whose requests may be repeated."""
    match kind:
        case CrowdKind.SLOW_HEADS:
            head = _head(class_name, trace) + b"\r\n"
            size = -(-len(head) // PARTS_PER_HEAD)
            parts = tuple(head[start : start + size] for start in range(0, len(head), size))
            return ClientPlan(parts, HEAD_SECONDS / PARTS_PER_HEAD, True)
        case CrowdKind.SHORT_FIELDS:
            field_count = random.choice((SHORT_FIELD_COUNT, TOO_MANY_SHORT_FIELDS))
            data = _head(class_name, trace) + SHORT_FIELD * field_count + b"\r\n"
            half = len(data) // 2
            is_whole = field_count == SHORT_FIELD_COUNT
            return ClientPlan((data[:half], data[half:-20], data[-20:]), 0.4, is_whole)
        case CrowdKind.STALLED_HEADS:
            return ClientPlan((_head(class_name, trace) + SHORT_FIELD * SHORT_FIELD_COUNT,), 0.0, False)
        case CrowdKind.HALF_BODIES:
            head = _head(class_name, trace, "POST") + b"Content-Length: %d\r\n\r\n" % (2 * HALF_BODY_BYTES)
            return ClientPlan((head + bytes(HALF_BODY_BYTES),), 0.0, False)
        case CrowdKind.SLOW_READERS:
            head = _head(f"{class_name}/{SIZE_PREFIX}{LONG_RESPONSE_BYTES}", trace) + b"\r\n"
            return ClientPlan((head,), 0.0, True, SLOW_READ_BYTES, SLOW_READ_SECONDS)


def _head(path: str, trace: str, method: str = "GET") -> bytes:
    """Return a head without its last empty line."""
    lines = (
        f"{method} /{path} HTTP/1.1",
        "Host: backend.local",
        f"X-Trace-Id: {trace}",
        f"X-Expires-In: {REQUEST_TIMEOUT_SECONDS:.3f}",
    )
    return "".join(f"{line}\r\n" for line in lines).encode()


@dataclass
class CrowdCounts:
    """How the connections of a crowd ended, by kind of client."""

    ends: dict[CrowdKind, Counter[ClientEnd]] = field(default_factory=dict)

    def record(self, kind: CrowdKind, end: ClientEnd) -> None:
        """Count the end of one connection."""
        self.ends.setdefault(kind, Counter())[end] += 1

    def count(self, end: ClientEnd) -> int:
        """Return how many connections ended so."""
        return sum(counter[end] for counter in self.ends.values())


class _Client:
    """One connection of a crowd."""

    def __init__(self, kind: CrowdKind, plan: ClientPlan, sock: socket.socket, leaves_at: float) -> None:
        self.kind = kind
        self.plan = plan
        self.sock = sock
        self.leaves_at = leaves_at
        self.next_part = 0
        self.unsent = b""
        self.start = b""  # the first bytes of the response
        self.received_bytes = 0

    @property
    def has_sent_all(self) -> bool:
        """Whether the whole plan was sent."""
        return self.next_part >= len(self.plan.parts) and not self.unsent

    def end(self) -> ClientEnd:
        """Return how the connection ended, now that the other side has closed it or the response is here."""
        if not self.plan.is_whole or not self.has_sent_all:
            return ClientEnd.STOPPED
        if not self.start.startswith(b"HTTP/1.1 "):
            return ClientEnd.UNANSWERED
        status = int(self.start[9:12])
        if status in (429, 503):
            return ClientEnd.REFUSED
        if status != 200:
            return ClientEnd.FAILED
        return ClientEnd.SERVED if self.is_complete else ClientEnd.ABORTED

    @property
    def is_complete(self) -> bool:
        """Whether a response with a declared length, or the end of a chunked one, has arrived."""
        head, separator, _ = self.start.partition(b"\r\n\r\n")
        if not separator:
            return False
        for line in head.split(b"\r\n"):
            name, _, value = line.partition(b":")
            if name.lower() == b"content-length":
                return self.received_bytes >= len(head) + len(separator) + int(value)
        return self.start.endswith(b"0\r\n\r\n")


class Crowd:
    """Keeps a number of clients connected to one address until a moment.

    Args:
        address: the address of the sidecar.
        kinds: what the clients do, in turn.
        client_count: how many are connected at the same time.
        class_name: a class whose requests may be repeated.
        seed: the seed of what is drawn.
    """

    def __init__(
        self,
        address: tuple[str, int],
        kinds: tuple[CrowdKind, ...],
        client_count: int,
        class_name: str,
        seed: int = 0,
    ) -> None:
        self.counts = CrowdCounts()
        self._address = address
        self._kinds = kinds
        self._client_count = client_count
        self._class_name = class_name
        self._random = Random(seed)
        self._seed = seed
        self._numbers = count()
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self._selector = selectors.DefaultSelector()
        self._clients: set[_Client] = set()

    def run(self, seconds: float, is_stopped: Callable[[], bool] = lambda: False) -> CrowdCounts:
        """Run for so many seconds, or until stopped; return how the connections ended."""
        until = time.monotonic() + seconds
        for number in range(self._client_count):
            kind = self._kinds[number % len(self._kinds)]
            self._later(0.0, lambda kind=kind: self._connect(kind))  # type: ignore[misc]
        while time.monotonic() < until and not is_stopped():
            self._run_due()
            wait = self._due[0][0] - time.monotonic() if self._due else POLL_SECONDS
            for key, _ in self._selector.select(max(0.0, min(wait, POLL_SECONDS))):
                self._read(key.data)
        for client in list(self._clients):
            self._close(client)
        self._selector.close()
        return self.counts

    def _later(self, seconds: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._due, (time.monotonic() + seconds, next(self._numbers), action))

    def _run_due(self) -> None:
        now = time.monotonic()
        while self._due and self._due[0][0] <= now:
            heapq.heappop(self._due)[2]()

    def _connect(self, kind: CrowdKind) -> None:
        trace = f"crowd-{self._seed}-{next(self._numbers)}"
        plan = plan_client(kind, self._class_name, trace, self._random)
        sock = socket.socket()
        sock.setblocking(False)
        if plan.read_interval_s:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        client = _Client(kind, plan, sock, time.monotonic() + STALL_SECONDS)
        sock.connect_ex(self._address)
        self._clients.add(client)
        if not plan.read_interval_s:
            self._selector.register(sock, selectors.EVENT_READ, client)
        self._send_next(client)

    def _send_next(self, client: _Client) -> None:
        """Send the next part, or what the socket did not take before; then read, or wait for the end."""
        if client not in self._clients:
            return
        plan = client.plan
        if not client.unsent and client.next_part < len(plan.parts):
            client.unsent = plan.parts[client.next_part]
            client.next_part += 1
        try:
            client.unsent = client.unsent[client.sock.send(client.unsent) :]
        except (BlockingIOError, InterruptedError):
            pass
        except OSError:
            self._finish(client)
            return
        if client.unsent:
            self._later(RECONNECT_SECONDS, lambda: self._send_next(client))
        elif client.next_part < len(plan.parts):
            self._later(plan.interval_s, lambda: self._send_next(client))
        elif plan.read_interval_s:
            self._later(plan.read_interval_s, lambda: self._read_slowly(client))
        elif not plan.is_whole:
            self._later(max(0.0, client.leaves_at - time.monotonic()), lambda: self._leave(client))

    def _read_slowly(self, client: _Client) -> None:
        if client in self._clients and self._read(client):
            self._later(client.plan.read_interval_s, lambda: self._read_slowly(client))

    def _read(self, client: _Client) -> bool:
        """Read once; return False if the connection has ended."""
        try:
            data = client.sock.recv(client.plan.read_bytes)
        except (BlockingIOError, InterruptedError):
            return True
        except OSError:
            data = b""
        client.received_bytes += len(data)
        if len(client.start) < MAX_READ_BYTES:
            client.start += data
        if data and not client.is_complete:
            return True
        self._finish(client)
        return False

    def _finish(self, client: _Client) -> None:
        self.counts.record(client.kind, client.end())
        self._close(client)
        self._later(RECONNECT_SECONDS, lambda: self._connect(client.kind))

    def _leave(self, client: _Client) -> None:
        if client in self._clients:
            self._finish(client)

    def _close(self, client: _Client) -> None:
        self._clients.discard(client)
        if not client.plan.read_interval_s:
            self._selector.unregister(client.sock)
        client.sock.close()
