"""One process of the emulator, launched by `Emulator`: serves some of the upstreams, or discovery.

Reads its configuration and commands as JSON lines from standard input, writes one line once it listens, and
exits at the end of its input, so that it does not outlive the process that launched it.
"""

from __future__ import annotations

import contextlib
import json
import sys
from pathlib import Path
from typing import Any, Protocol

import gevent
import msgspec
from gevent.fileobject import FileObject

from linetrack.emulator.discovery import DiscoveryServer
from linetrack.emulator.http_server import DEFAULT_HOST, address_of
from linetrack.emulator.ledger import Ledger
from linetrack.emulator.precise_timer import PreciseTimer
from linetrack.emulator.schema import Fault, Fleet, RequestClass
from linetrack.emulator.timeline import Step, timeline, upstream_specs
from linetrack.emulator.upstream_host import UpstreamHost

FLUSH_INTERVAL_SECONDS = 0.2


class ProcessConfig(msgspec.Struct, frozen=True):
    """The first line of input.

    `entries` and `sidecar_count` are set for the discovery process, `upstreams` (indices) for the others.
    """

    fleet: Fleet
    classes: tuple[RequestClass, ...]
    faults: tuple[Fault, ...]
    seed: int
    ledger: str
    upstreams: tuple[int, ...] = ()
    entries: tuple[dict[str, Any], ...] = ()
    sidecar_count: int = 0
    host: str = DEFAULT_HOST


class Role(Protocol):
    """The task of a process: serving upstreams or discovery."""

    def description(self) -> dict[str, Any]:
        """Return the addresses or endpoints that the launching process needs, once this one listens."""

    def connect_to_discovery(self, address: str) -> None:
        """Set the address to which changes of upstreams are reported."""

    def apply(self, step: Step, start: int, /) -> None:
        """Apply a step of the timeline that began at `start`."""


class UpstreamRole:
    """Serves some of the upstreams."""

    def __init__(self, config: ProcessConfig, ledger: Ledger) -> None:
        specs = tuple(spec for spec in upstream_specs(config.fleet) if spec.index in config.upstreams)
        self.host = UpstreamHost(config.fleet, config.classes, specs, config.seed, ledger, config.host)

    def description(self) -> dict[str, Any]:
        """Return the entries of the upstreams for the endpoint list."""
        return {"entries": [server.entry() for server in self.host.servers.values()]}

    def connect_to_discovery(self, address: str) -> None:
        """Set the address to which changes of upstreams are reported."""
        host, _, port = address.rpartition(":")
        self.host.discovery = (host, int(port))

    def apply(self, step: Step, start: int) -> None:
        """Apply a step of the timeline that began at `start`."""
        self.host.apply(step, start)


class DiscoveryRole:
    """Serves discovery."""

    def __init__(self, config: ProcessConfig, ledger: Ledger) -> None:
        discovery = config.fleet.discovery
        self.server = DiscoveryServer(
            entries=list(config.entries),
            sidecar_count=config.sidecar_count,
            lag=round(discovery.lag_ms * 1000),
            max_long_poll=round(discovery.max_long_poll_ms * 1000),
            ledger=ledger,
            host=config.host,
        )

    def description(self) -> dict[str, Any]:
        """Return the address for the upstreams' processes and one address for each sidecar."""
        return {
            "control": address_of(self.server.control_listener),
            "sidecars": [address_of(listener) for listener in self.server.listeners],
        }

    def connect_to_discovery(self, address: str) -> None:
        """Do nothing: discovery reports no changes."""

    def apply(self, step: Step, _start: int) -> None:
        """Apply a step of the timeline."""
        self.server.apply(step)


def main() -> None:
    """Serve until the end of input."""
    lines = FileObject(sys.stdin.buffer, "rb")
    config = msgspec.json.decode(lines.readline(), type=ProcessConfig)
    ledger = Ledger(Path(config.ledger))
    steps = timeline(config.fleet, config.faults, config.seed)
    role: Role = DiscoveryRole(config, ledger) if config.sidecar_count else UpstreamRole(config, ledger)
    print(json.dumps(role.description()), flush=True)
    timer = PreciseTimer()
    gevent.spawn(_flush_regularly, ledger)
    with contextlib.suppress(KeyboardInterrupt):
        while line := lines.readline():
            command = json.loads(line)
            if "control" in command:
                role.connect_to_discovery(command["control"])
            if "start" in command:
                gevent.spawn(_run_timeline, steps, command["start"], role, timer)
    ledger.close()


def _flush_regularly(ledger: Ledger) -> None:
    while True:
        gevent.sleep(FLUSH_INTERVAL_SECONDS)
        ledger.flush()


def _run_timeline(steps: list[Step], start: int, role: Role, timer: PreciseTimer) -> None:
    for step in steps:
        timer.sleep_until(start + step.at)
        role.apply(step, start)


if __name__ == "__main__":
    main()
