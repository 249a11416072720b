"""Injects the faults of a sidecar: one function for each kind of fault."""

from __future__ import annotations

import json
import signal
import socket
import threading
import time
from collections.abc import Callable
from contextlib import ExitStack, suppress
from typing import Any

from linetrack.experiments.crowd import INCOMPLETE_KINDS, Crowd
from linetrack.experiments.soak.processes import TRUNCATED_CONFIG, SoakSidecar
from linetrack.experiments.soak.scenario import SidecarFault, SidecarFaultKind

DESCRIPTORS_PER_STALLED_CLIENT = 2
CROWD_SECONDS = 4.0
FLOOD_SECONDS = 3.0  # how long the idle connections stay open
CONNECT_TIMEOUT_SECONDS = 0.5
SUCCESSOR_EXIT_TIMEOUT_SECONDS = 8.0  # within which a successor gives up if it cannot take over


def inject(sidecar: SoakSidecar, fault: SidecarFault) -> None:
    """Inject one fault and wait for its end; start a new process if the current one has ended."""
    with sidecar.lock:
        _INJECTORS[fault.kind](sidecar, fault)
        if not sidecar.current.is_running:
            sidecar.wait_until_ready(sidecar.start())


def changed_settings(config: dict[str, Any]) -> dict[str, Any]:
    """Return a copy of a configuration with another value for a setting that a reload applies."""
    settings = config["settings"]
    allowed = settings["allowed"]
    changed = {**allowed, "maxRetryAfterUs": allowed["maxRetryAfterUs"] + 1000}
    return {**config, "settings": {**settings, "allowed": changed}}


def _reload_config(sidecar: SoakSidecar) -> None:
    process = sidecar.current
    process.config = changed_settings(process.config)
    sidecar.write_config(process, json.dumps(process.config))
    process.signal(signal.SIGHUP)


def _reload_twice(sidecar: SoakSidecar, fault: SidecarFault) -> None:
    _reload_config(sidecar)
    time.sleep(fault.second_pause_s)
    _reload_config(sidecar)


def _broken_then_good_file(sidecar: SoakSidecar, fault: SidecarFault) -> None:
    sidecar.write_config(sidecar.current, TRUNCATED_CONFIG)
    sidecar.current.signal(signal.SIGHUP)
    time.sleep(fault.first_pause_s)
    _reload_config(sidecar)


def _terminate(sidecar: SoakSidecar, while_draining: Callable[[], None]) -> None:
    """Terminate the current process, and call `while_draining` between SIGTERM and the wait for its end."""
    process = sidecar.current
    kill_at = sidecar.begin_termination(process)
    while_draining()
    sidecar.finish_termination(process, kill_at)


def _reload_then_terminate(sidecar: SoakSidecar, fault: SidecarFault) -> None:
    _reload_config(sidecar)
    time.sleep(fault.second_pause_s)
    _terminate(sidecar, lambda: None)


def _terminate_twice(sidecar: SoakSidecar, fault: SidecarFault) -> None:
    process = sidecar.current

    def send_second_sigterm() -> None:
        """Send SIGTERM again while the process drains."""
        time.sleep(fault.second_pause_s)
        process.signal(signal.SIGTERM)

    _terminate(sidecar, send_second_sigterm)


def _reload_while_draining(sidecar: SoakSidecar, fault: SidecarFault) -> None:
    def reload_config() -> None:
        """Reload the configuration while the process drains."""
        time.sleep(fault.second_pause_s)
        _reload_config(sidecar)

    _terminate(sidecar, reload_config)


def _successor_before_terminate(sidecar: SoakSidecar, _fault: SidecarFault) -> None:
    old = sidecar.current
    if sidecar.wait_until_ready(sidecar.start()):
        sidecar.finish_termination(old, sidecar.begin_termination(old))


def _successor_at_terminate(sidecar: SoakSidecar, fault: SidecarFault) -> None:
    old = sidecar.current
    new = sidecar.start()
    time.sleep(fault.first_pause_s)
    kill_at = sidecar.begin_termination(old)
    sidecar.finish_termination(old, kill_at)
    sidecar.wait_until_ready(new)


def _successor_after_terminate(sidecar: SoakSidecar, fault: SidecarFault) -> None:
    old = sidecar.current
    kill_at = sidecar.begin_termination(old)
    time.sleep(fault.second_pause_s)
    new = sidecar.start()
    sidecar.finish_termination(old, kill_at)
    sidecar.wait_until_ready(new)


def _successor_killed(sidecar: SoakSidecar, fault: SidecarFault) -> None:
    """Terminate a process and kill its successor during the handover."""
    old = sidecar.current
    new = sidecar.start()
    if fault.first_pause_s:
        sidecar.wait_until_ready(new)
    kill_at = sidecar.begin_termination(old)
    time.sleep(fault.second_pause_s)
    sidecar.kill(new)
    sidecar.finish_termination(old, kill_at)


def _second_successor(sidecar: SoakSidecar, fault: SidecarFault) -> None:
    """Start two successors; the second one waits to take over from the first, or gives up."""
    old = sidecar.current
    first = sidecar.start()
    sidecar.wait_until_ready(first)
    second = sidecar.start()
    sidecar.expected_to_end.add(second.process.pid)  # it may give up, as the first is taking over
    time.sleep(fault.second_pause_s)
    sidecar.finish_termination(old, sidecar.begin_termination(old))
    deadline = time.monotonic() + SUCCESSOR_EXIT_TIMEOUT_SECONDS
    while second.is_running and not second.is_ready and time.monotonic() < deadline:
        time.sleep(0.02)
    if second.is_running and second.is_ready:
        sidecar.expected_to_end.discard(second.process.pid)
        sidecar.finish_termination(first, sidecar.begin_termination(first))
        return
    if second.is_running:
        sidecar.findings.append(f"sidecar {sidecar.index}: a second successor neither serves nor gives up")
        second.process.kill()
        second.process.wait()
    sidecar.processes.remove(second)


def _kill(sidecar: SoakSidecar, _fault: SidecarFault) -> None:
    sidecar.kill(sidecar.current)


def _connection_flood(sidecar: SoakSidecar, _fault: SidecarFault) -> None:
    """Open as many idle connections as the sidecar may have descriptors, and keep them open for a while."""
    host, _, port = sidecar.address.rpartition(":")
    with ExitStack() as clients:
        for _ in range(sidecar.config["limits"]["sockets"]):
            with suppress(OSError):
                client = socket.create_connection((host, int(port)), CONNECT_TIMEOUT_SECONDS)
                clients.enter_context(client)
        time.sleep(FLOOD_SECONDS)


def _stalled_crowd(sidecar: SoakSidecar, fault: SidecarFault) -> None:
    """Keep hundreds of clients connected that stop within a request."""
    host, _, port = sidecar.address.rpartition(":")
    class_name = sidecar.config["settings"]["classes"][0]["name"]
    seed = round(fault.at_s * 1000)
    client_count = sidecar.config["limits"]["sockets"] // DESCRIPTORS_PER_STALLED_CLIENT
    Crowd((host, int(port)), INCOMPLETE_KINDS, client_count, class_name, seed).run(CROWD_SECONDS)


def _stalled_crowd_and_kill(sidecar: SoakSidecar, fault: SidecarFault) -> None:
    """Kill the process amid a crowd, and start another one into the clients that come back."""
    crowd = threading.Thread(target=_stalled_crowd, args=(sidecar, fault))
    crowd.start()
    time.sleep(CROWD_SECONDS / 2)
    sidecar.kill(sidecar.current)
    sidecar.wait_until_ready(sidecar.start())
    crowd.join()


_INJECTORS: dict[SidecarFaultKind, Callable[[SoakSidecar, SidecarFault], None]] = {
    SidecarFaultKind.RELOAD_TWICE: _reload_twice,
    SidecarFaultKind.RELOAD_THEN_TERMINATE: _reload_then_terminate,
    SidecarFaultKind.TERMINATE_TWICE: _terminate_twice,
    SidecarFaultKind.RELOAD_WHILE_DRAINING: _reload_while_draining,
    SidecarFaultKind.BROKEN_THEN_GOOD_FILE: _broken_then_good_file,
    SidecarFaultKind.SUCCESSOR_BEFORE_TERMINATE: _successor_before_terminate,
    SidecarFaultKind.SUCCESSOR_AT_TERMINATE: _successor_at_terminate,
    SidecarFaultKind.SUCCESSOR_AFTER_TERMINATE: _successor_after_terminate,
    SidecarFaultKind.SUCCESSOR_KILLED: _successor_killed,
    SidecarFaultKind.SECOND_SUCCESSOR: _second_successor,
    SidecarFaultKind.KILLED: _kill,
    SidecarFaultKind.CONNECTION_FLOOD: _connection_flood,
    SidecarFaultKind.STALLED_CROWD: _stalled_crowd,
    SidecarFaultKind.STALLED_CROWD_AND_KILL: _stalled_crowd_and_kill,
}
