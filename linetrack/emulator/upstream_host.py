"""The emulated upstreams of one process, their deduplication tables, and reports to discovery."""

from __future__ import annotations

import contextlib
import json

import gevent
from gevent import socket

from linetrack.config.operators import DeduplicationScope, Idempotency
from linetrack.emulator.deduplication import DeduplicationTable
from linetrack.emulator.ledger import Ledger, now
from linetrack.emulator.precise_timer import PreciseTimer
from linetrack.emulator.schema import Fleet, RequestClass
from linetrack.emulator.timeline import Start, Step, UpstreamSpec, UpstreamStep
from linetrack.emulator.upstream_server import Environment, UpstreamServer

DISCOVERY_TIMEOUT_SECONDS = 5


class UpstreamHost:
    """Serves some of the upstreams.

    Changes are reported to `discovery` once that address is set.
    """

    def __init__(
        self,
        fleet: Fleet,
        classes: tuple[RequestClass, ...],
        specs: tuple[UpstreamSpec, ...],
        seed: int,
        ledger: Ledger,
        host: str,
    ) -> None:
        host_classes = {host_class.name: host_class for host_class in fleet.host_classes}
        environment = Environment(
            fleet=fleet,
            classes={request_class.name: request_class for request_class in classes},
            seed=seed,
            ledger=ledger,
            host=host,
            timer=PreciseTimer(),
            execute=self._execute,
        )
        self.discovery: tuple[str, int] | None = None
        self._deduplication_tables: dict[tuple[str, int | str], DeduplicationTable] = {}
        self.servers = {
            spec.index: UpstreamServer(spec, host_classes[spec.host_class], environment, self._report)
            for spec in specs
        }

    def apply(self, step: Step, start: int) -> None:
        """Apply a step of the timeline that began at `start`, if it concerns one of these upstreams."""
        if not isinstance(step, UpstreamStep) or step.index not in self.servers:
            return
        server = self.servers[step.index]
        previous_id = server.incarnation.id
        if not server.apply(step, start):
            return
        if isinstance(step, Start) and step.id != previous_id:
            gevent.spawn(self._report, server)
        else:
            self._report(server)

    def _execute(self, spec: UpstreamSpec, request_class: RequestClass, key: str, trace: str) -> str | None:
        """Return the trace that was executed earlier with this key, or None if this request is executed."""
        if request_class.idempotency is not Idempotency.IDEMPOTENCY_KEY or not key:
            return None
        scope = _scope_of(spec, request_class)
        table = self._deduplication_tables.get((request_class.name, scope))
        if table is None:
            table = DeduplicationTable(round(request_class.deduplication_window_ms * 1000))
            self._deduplication_tables[request_class.name, scope] = table
        return table.execute(now(), key, trace)

    def _report(self, server: UpstreamServer) -> None:
        """Report the state of an upstream to discovery."""
        if self.discovery is None:
            return
        body = json.dumps(server.entry()).encode()
        head = f"POST /state HTTP/1.1\r\nHost: d\r\nContent-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        with (
            contextlib.suppress(OSError),
            socket.create_connection(self.discovery, DISCOVERY_TIMEOUT_SECONDS) as sock,
        ):
            sock.sendall(head.encode() + body)
            sock.recv(1024)


def _scope_of(spec: UpstreamSpec, request_class: RequestClass) -> int | str:
    """Return the zone or cell whose upstreams share a deduplication table, or 0 if all of them do."""
    match request_class.deduplication_scope:
        case DeduplicationScope.ZONE:
            return spec.zone
        case DeduplicationScope.CELL:
            return spec.cell
        case _:
            return 0
