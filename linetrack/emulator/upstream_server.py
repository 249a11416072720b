"""One emulated upstream: its listener, the incarnation that serves there, and the effects of faults.

Every attempt and every execution is written to the ledger.  An upstream does not know which sidecar calls it.
"""

from __future__ import annotations

import contextlib
import time
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

import gevent
from gevent import socket

from linetrack.emulator import http_server
from linetrack.emulator.active_faults import ActiveFaults
from linetrack.emulator.http_server import Request, RequestReader, format_response, reset
from linetrack.emulator.ledger import Ledger, now
from linetrack.emulator.ledger_events import (
    AttemptReceived,
    RequestExecuted,
    UpstreamCrashed,
    UpstreamStarted,
)
from linetrack.emulator.load_report import LoadReporter
from linetrack.emulator.precise_timer import PreciseTimer
from linetrack.emulator.queue_model import Execution, OverloadCrashError, UpstreamQueue
from linetrack.emulator.request_work import request_work
from linetrack.emulator.schema import FaultKind, Fleet, HostClass, RequestClass
from linetrack.emulator.timeline import (
    BeginRequestFault,
    Crash,
    Drain,
    EndRequestFault,
    Remove,
    Start,
    UpstreamSpec,
    UpstreamStep,
)

MAX_CACHED_KEYS = 512
NOT_EXECUTED_HEADER = "X-Never-Ran: 1"
MALFORMED_RESPONSE = b"\x16\x03\x01 no answer \xff\xfe" * 8
LISTED_AS_REMOVED = "DELETED"


class State(Enum):
    """The state of an upstream; values are those of the ledger."""

    SERVING = "SERVING"
    DRAINING = "DRAINING"
    ENDED = "GONE"


@dataclass(frozen=True)
class Environment:
    """The configuration and services that the upstreams of one process share."""

    fleet: Fleet
    classes: dict[str, RequestClass]
    seed: int
    ledger: Ledger
    host: str  # the loopback host that they listen on
    timer: PreciseTimer
    #: Records the execution of a request; returns the trace executed earlier with its key, or None.
    execute: Callable[[UpstreamSpec, RequestClass, str, str], str | None]


@dataclass
class Incarnation:
    """The upstream that serves at an address between one start and the following end."""

    id: str
    queue: UpstreamQueue
    reporter: LoadReporter
    started_ms: int  # Unix time in milliseconds; 0 if it started before the timeline
    state: State = State.SERVING
    cached_keys: OrderedDict[str, None] = field(default_factory=OrderedDict)

    @property
    def has_ended(self) -> bool:
        """Whether the upstream was removed or has crashed."""
        return self.state is State.ENDED


class UpstreamServer:
    """The listener at one address, and the incarnation that serves there."""

    def __init__(
        self,
        spec: UpstreamSpec,
        host_class: HostClass,
        environment: Environment,
        on_change: Callable[[UpstreamServer], None],
    ) -> None:
        """Start serving; `on_change` is called after the upstream restarts itself after a crash."""
        self.spec = spec
        self.host_class = host_class
        self.environment = environment
        self.on_change = on_change
        self.faults = ActiveFaults()
        self.incarnation = self._new_incarnation(spec.id, None, 0)
        self._connections: set[socket.socket] = set()
        self._backlog_fillers: list[socket.socket] = []
        self._listener = http_server.listen(environment.host)
        self.address = http_server.address_of(self._listener)
        self._acceptor = http_server.serve(self._listener, self._handle_connection)

    def _new_incarnation(self, id_: str, started_at: int | None, started_ms: int) -> Incarnation:
        queue = UpstreamQueue(self.host_class, started_at)
        reporter = LoadReporter(self.environment.fleet.load_reports, queue)
        return Incarnation(id_, queue, reporter, started_ms)

    def entry(self) -> dict[str, Any]:
        """Return the upstream's entry in the endpoint list."""
        spec = self.spec
        state = self.incarnation.state
        return {
            "id": self.incarnation.id,
            "addr": self.address,
            "zone": spec.zone,
            "kind": spec.host_class,
            "cell": spec.cell,
            "state": LISTED_AS_REMOVED if state is State.ENDED else state.value,
            "weight": spec.capacity,
            "started_ms": self.incarnation.started_ms,
        }

    # --- Timeline --------------------------------------------------------------------------------------

    def apply(self, step: UpstreamStep, start: int) -> bool:
        """Apply a step of the timeline that began at `start`; return whether discovery must be notified."""
        match step:
            case BeginRequestFault():
                self.faults.begin(step.fault, start)
                if step.fault.kind is FaultKind.UNREACHABLE:
                    self._make_unreachable()
                return False
            case EndRequestFault():
                if self.faults.end(step.fault_index).kind is FaultKind.UNREACHABLE:
                    self._make_reachable()
                return False
            case Crash():
                self._end()
                return False
            case Remove():
                self._end()
            case Drain():
                self.incarnation.state = State.DRAINING
            case Start():
                self._start(step.id)
        return True

    def _start(self, id_: str) -> None:
        unix_time_ms = time.time_ns() // 1_000_000
        self.incarnation = self._new_incarnation(id_, now(), unix_time_ms)
        self._make_reachable()
        self.environment.ledger.write(UpstreamStarted(now(), id_, self.spec.index))

    def _end(self) -> None:
        """Stop listening and reset every connection."""
        self.incarnation.state = State.ENDED
        for sock in list(self._connections):
            reset(sock)
        self._acceptor.kill(block=False)
        self._listener.close()

    def _crash(self, incarnation: Incarnation) -> None:
        """End the upstream, losing all accepted work, and restart it after `restart_ms`."""
        if incarnation.has_ended:
            return
        self.environment.ledger.write(UpstreamCrashed(now(), incarnation.id, self.spec.index))
        self._end()
        gevent.spawn_later(self.host_class.restart_ms / 1000, self._restart, incarnation)

    def _restart(self, crashed: Incarnation) -> None:
        if self.incarnation is crashed:
            self._start(crashed.id)
            self.on_change(self)

    def _make_unreachable(self) -> None:
        """Fill the backlog so that no connection is established; requests on open ones get no response."""
        self._acceptor.kill(block=False)
        if self._listener.fileno() >= 0:
            self._listener.listen(0)
            for _ in range(2):
                filler = socket.socket()
                filler.setblocking(False)
                filler.connect_ex(self._listener.getsockname())
                self._backlog_fillers.append(filler)

    def _make_reachable(self) -> None:
        """Accept connections again at the same address."""
        for filler in self._backlog_fillers:
            filler.close()
        self._backlog_fillers = []
        if self._listener.fileno() < 0:
            host, _, port = self.address.rpartition(":")
            self._listener = http_server.listen(host, int(port))
        else:
            self._listener.listen(http_server.BACKLOG)
        if self._acceptor.dead or not self._acceptor:
            self._acceptor = http_server.serve(self._listener, self._handle_connection)

    # --- Requests --------------------------------------------------------------------------------------

    def _handle_connection(self, sock: socket.socket) -> None:
        fleet = self.environment.fleet
        if len(self._connections) >= fleet.max_connections:
            return
        self._connections.add(sock)
        reader = RequestReader(sock)
        idle_timeout = fleet.keep_alive_ms / 1000
        sock.settimeout(idle_timeout)
        try:
            while (request := reader.next()) is not None:
                sock.settimeout(None)
                response = self._respond(request, sock)
                if response is None:
                    return
                sock.sendall(response)
                sock.settimeout(idle_timeout)
        finally:
            self._connections.discard(sock)

    def _respond(self, request: Request, sock: socket.socket) -> bytes | None:
        """Return the response to a request, or None if its connection ends without a complete response."""
        trace = request.headers.get("x-trace-id", "")
        request_class = self.environment.classes.get(request.target.strip("/").split("/")[0])
        if request_class is None or not trace:
            return format_response(404)
        if self.faults.affects_request(FaultKind.UNREACHABLE):
            _wait_for_close(sock)
            return None
        incarnation = self.incarnation
        self._record_attempt(incarnation, request, trace)
        if incarnation.state is not State.SERVING:
            return format_response(503, b"", NOT_EXECUTED_HEADER)
        if self.faults.affects_request(FaultKind.ERRORS):
            return format_response(500)
        execution = self._submit(incarnation, request_class, request, trace)
        if execution is None:
            return format_response(503, b"", NOT_EXECUTED_HEADER)
        # An accepted request is executed even if its client no longer waits for the response.
        delay = round(self.host_class.response_delay_ms * 1000)
        self.environment.timer.sleep_until(execution.ends_at + delay)
        if incarnation is not self.incarnation or incarnation.has_ended:
            return None
        self._execute(incarnation, request_class, request, trace)
        incarnation.reporter.record(now(), execution.ends_at - request.last_byte_at)
        body = f"{trace} {incarnation.id}\n".encode().ljust(request_class.response_bytes, b".")
        response = format_response(200, body, *incarnation.reporter.headers(now()))
        return self._response_under_faults(sock, response)

    def _record_attempt(self, incarnation: Incarnation, request: Request, trace: str) -> None:
        attempt = AttemptReceived(
            request.last_byte_at, incarnation.id, trace, request.first_byte_at, incarnation.state.value
        )
        self.environment.ledger.write(attempt)

    def _execute(
        self, incarnation: Incarnation, request_class: RequestClass, request: Request, trace: str
    ) -> None:
        key = request.headers.get("idempotency-key", "")
        executed_before = self.environment.execute(self.spec, request_class, key, trace)
        execution = RequestExecuted(
            now(), incarnation.id, trace, key, request_class.name, executed_before or ""
        )
        self.environment.ledger.write(execution)

    def _response_under_faults(self, sock: socket.socket, response: bytes) -> bytes | None:
        if self.faults.affects_request(FaultKind.NO_RESPONSE):
            _wait_for_close(sock)
            return None
        if self.faults.affects_request(FaultKind.RESET):
            with contextlib.suppress(OSError):
                sock.sendall(response[: len(response) // 2])
            reset(sock)
            return None
        if self.faults.affects_request(FaultKind.MALFORMED_RESPONSE):
            return MALFORMED_RESPONSE
        return response

    def _submit(
        self, incarnation: Incarnation, request_class: RequestClass, request: Request, trace: str
    ) -> Execution | None:
        work = request_work(request_class, trace, self.environment.seed)
        if self.host_class.cached_key_saving:
            work = self._work_with_cache(incarnation, request, work)
        slowdown = self.faults.slowdown()
        stalled_until = self.faults.stalled_until()
        try:
            return incarnation.queue.submit(now(), work, slowdown, stalled_until)
        except OverloadCrashError:
            self._crash(incarnation)
            return None

    def _work_with_cache(self, incarnation: Incarnation, request: Request, work: int) -> int:
        """Return the work, reduced if the request's key is cached, and cache the key."""
        key = request.target.partition("?")[0].rpartition("/")[2]
        keys = incarnation.cached_keys
        if key in keys:
            work = max(1, round(work * (1 - self.host_class.cached_key_saving)))
        keys[key] = None
        keys.move_to_end(key)
        if len(keys) > MAX_CACHED_KEYS:
            keys.popitem(last=False)
        return work


def _wait_for_close(sock: socket.socket) -> None:
    """Wait until the other side closes the connection."""
    while sock.recv(http_server.READ_BYTES):
        pass
