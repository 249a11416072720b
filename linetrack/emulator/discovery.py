"""Emulated discovery: serves one endpoint list, as a whole and by watches (long polls).

During faults it lags, is down or serves a stale list.  The upstreams' processes report each change.  Every
sidecar has a listener of its own, so that the ledger records which sidecar was notified of which change, and
when.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs, urlsplit

import gevent
from gevent import socket
from gevent.event import Event

from linetrack.emulator import http_server
from linetrack.emulator.http_server import RequestReader, format_response, reset
from linetrack.emulator.ledger import Ledger, now
from linetrack.emulator.ledger_events import (
    ChangePublished,
    DiscoveryCalled,
    EndpointChanged,
    SidecarNotified,
)
from linetrack.emulator.schema import FaultKind
from linetrack.emulator.timeline import BeginDiscoveryFault, EndDiscoveryFault, Step

LIST_PATH = "/catalog/members"
FIRST_VERSION = 1
STATE_SERVING = "SERVING"
STATE_DELETED = "DELETED"
RECHECK_SECONDS = 0.5  # interval at which a waiting watch checks whether a fault has begun or ended

Entry = dict[str, Any]  # one entry of the endpoint list


class DiscoveryServer:
    """Serves the endpoint list to the sidecars."""

    def __init__(
        self,
        entries: list[Entry],
        sidecar_count: int,
        lag: int,
        max_long_poll: int,
        ledger: Ledger,
        host: str,
    ) -> None:
        """Start listening on a loopback host; `lag` and `max_long_poll` are in microseconds."""
        self.ledger = ledger
        self.lag = lag
        self.max_long_poll = max_long_poll
        self.fault_lag = 0
        self.is_down = False
        self.is_stale = False
        self.version = FIRST_VERSION
        self.entries = {entry["id"]: entry for entry in entries}
        self.first_entries = list(entries)
        self.changes: list[tuple[int, Entry]] = []
        self.changed = Event()
        self.connections: set[socket.socket] = set()
        self.control_listener = http_server.listen(host)
        http_server.serve(self.control_listener, self._handle_control)
        self.listeners = [http_server.listen(host) for _ in range(sidecar_count)]
        for sidecar, listener in enumerate(self.listeners):
            http_server.serve(listener, self._handler_of(sidecar))

    # --- Changes ---------------------------------------------------------------------------------------

    def _handle_control(self, sock: socket.socket) -> None:
        """Receive the changes that the upstreams' processes report, and publish each after the lag."""
        reader = RequestReader(sock)
        while (request := reader.next()) is not None:
            entry = json.loads(request.body)
            self.ledger.write(EndpointChanged(now(), entry["id"], entry["state"]))
            gevent.spawn_later((self.lag + self.fault_lag) / 1_000_000, self._publish, entry)
            sock.sendall(format_response(200))

    def _publish(self, entry: Entry) -> None:
        self.version += 1
        if entry["state"] == STATE_DELETED:
            self.entries.pop(entry["id"], None)
        else:
            self.entries[entry["id"]] = entry
        self.changes.append((self.version, entry))
        self.ledger.write(ChangePublished(now(), entry["id"], entry["state"], self.version))
        self.changed.set()
        self.changed.clear()

    def apply(self, step: Step) -> None:
        """Apply a step of the timeline if it concerns discovery; ignore it otherwise."""
        match step:
            case BeginDiscoveryFault(kind=FaultKind.DISCOVERY_DOWN):
                self.is_down = True
                for sock in list(self.connections):
                    reset(sock)
            case EndDiscoveryFault(kind=FaultKind.DISCOVERY_DOWN):
                self.is_down = False
            case BeginDiscoveryFault(kind=FaultKind.DISCOVERY_LAG):
                self.fault_lag = step.lag
            case EndDiscoveryFault(kind=FaultKind.DISCOVERY_LAG):
                self.fault_lag = 0
            case BeginDiscoveryFault(kind=FaultKind.DISCOVERY_STALE):
                self.is_stale = True
            case EndDiscoveryFault(kind=FaultKind.DISCOVERY_STALE):
                self.is_stale = False

    # --- Calls -----------------------------------------------------------------------------------------

    def _handler_of(self, sidecar: int) -> Callable[[socket.socket], None]:
        def handle(sock: socket.socket) -> None:
            """Respond to the calls on one connection of the sidecar."""
            self.connections.add(sock)
            try:
                reader = RequestReader(sock)
                while not self.is_down and (request := reader.next()) is not None:
                    self._respond(sidecar, sock, request.target)
            finally:
                self.connections.discard(sock)

        return handle

    def _respond(self, sidecar: int, sock: socket.socket, target: str) -> None:
        url = urlsplit(target)
        if url.path != LIST_PATH:
            sock.sendall(format_response(404))
            return
        query = parse_qs(url.query)
        self.ledger.write(DiscoveryCalled(now(), sidecar, is_watch=bool(query)))
        if self.is_down:
            sock.sendall(format_response(503))
        elif query:
            self._respond_to_watch(sidecar, sock, query)
        else:
            entries = self.first_entries if self.is_stale else list(self.entries.values())
            version = FIRST_VERSION if self.is_stale else self.version
            self._send_entries(sidecar, sock, True, version, entries)

    def _respond_to_watch(self, sidecar: int, sock: socket.socket, query: dict[str, list[str]]) -> None:
        """Wait until the list is newer than the sidecar's version, and send the changed entries."""
        known_version = int(query["from"][0])
        long_poll = int(query.get("hold_ms", ["0"])[0]) * 1000
        deadline = now() + min(long_poll, self.max_long_poll)
        while self.is_stale or self.version <= known_version:
            time_left = deadline - now()
            if time_left <= 0:
                break
            self.changed.wait(min(time_left / 1_000_000, RECHECK_SECONDS))
        if self.is_stale:
            self._send_entries(sidecar, sock, False, known_version, [])
            return
        changed = [entry for version, entry in self.changes if version > known_version]
        self._send_entries(sidecar, sock, False, max(known_version, self.version), changed)

    def _send_entries(
        self, sidecar: int, sock: socket.socket, is_complete: bool, version: int, entries: list[Entry]
    ) -> None:
        body = json.dumps({"version": version, "full": is_complete, "servers": entries}).encode()
        sock.sendall(format_response(200, body))
        sent_at = now()
        for entry in entries:
            if entry["state"] != STATE_SERVING or not is_complete:
                self.ledger.write(SidecarNotified(sent_at, sidecar, entry["id"], entry["state"]))
