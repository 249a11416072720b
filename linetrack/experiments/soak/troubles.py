"""What each trouble of a sidecar does, step by step, to its processes."""

from __future__ import annotations

import json
import signal
import socket
import time
from collections.abc import Callable
from contextlib import ExitStack, suppress
from typing import Any

from linetrack.experiments.soak.history import SidecarStep, SidecarTrouble
from linetrack.experiments.soak.processes import BROKEN_FILE, SoakSidecar

CROWD_SECONDS = 3.0  # for which idle clients stay
CONNECT_TIMEOUT_SECONDS = 0.5
SUCCESSOR_EXIT_SECONDS = 8.0  # by which a successor that found no turn gives up


def carry_out(sidecar: SoakSidecar, step: SidecarStep) -> None:
    """Play one trouble to its end; afterwards one process serves again."""
    with sidecar.lock:
        _TROUBLES[step.kind](sidecar, step)
        if not sidecar.current.is_running:
            sidecar.wait_until_ready(sidecar.start())


def changed_settings(config: dict[str, Any]) -> dict[str, Any]:
    """A configuration that differs in a setting which takes effect at a reload."""
    settings = config["settings"]
    allowed = settings["allowed"]
    other = {**allowed, "maxRetryAfterUs": allowed["maxRetryAfterUs"] + 1000}
    return {**config, "settings": {**settings, "allowed": other}}


def _reload(sidecar: SoakSidecar) -> None:
    process = sidecar.current
    process.config = changed_settings(process.config)
    sidecar.write_config(process, json.dumps(process.config))
    process.signal(signal.SIGHUP)


def _reload_twice(sidecar: SoakSidecar, step: SidecarStep) -> None:
    _reload(sidecar)
    time.sleep(step.second_pause_s)
    _reload(sidecar)


def _broken_then_good_file(sidecar: SoakSidecar, step: SidecarStep) -> None:
    sidecar.write_config(sidecar.current, BROKEN_FILE)
    sidecar.current.signal(signal.SIGHUP)
    time.sleep(step.first_pause_s)
    _reload(sidecar)


def _terminate(sidecar: SoakSidecar, between: Callable[[], None]) -> None:
    process = sidecar.current
    kill_at = sidecar.begin_termination(process)
    between()
    sidecar.finish_termination(process, kill_at)


def _reload_then_terminate(sidecar: SoakSidecar, step: SidecarStep) -> None:
    _reload(sidecar)
    time.sleep(step.second_pause_s)
    _terminate(sidecar, lambda: None)


def _terminate_twice(sidecar: SoakSidecar, step: SidecarStep) -> None:
    process = sidecar.current

    def again() -> None:
        time.sleep(step.second_pause_s)
        process.signal(signal.SIGTERM)

    _terminate(sidecar, again)


def _reload_while_draining(sidecar: SoakSidecar, step: SidecarStep) -> None:
    def reload() -> None:
        time.sleep(step.second_pause_s)
        _reload(sidecar)

    _terminate(sidecar, reload)


def _successor_before_terminate(sidecar: SoakSidecar, _step: SidecarStep) -> None:
    old = sidecar.current
    if sidecar.wait_until_ready(sidecar.start()):
        sidecar.finish_termination(old, sidecar.begin_termination(old))


def _successor_at_terminate(sidecar: SoakSidecar, step: SidecarStep) -> None:
    old = sidecar.current
    new = sidecar.start()
    time.sleep(step.first_pause_s)
    kill_at = sidecar.begin_termination(old)
    sidecar.finish_termination(old, kill_at)
    sidecar.wait_until_ready(new)


def _successor_after_terminate(sidecar: SoakSidecar, step: SidecarStep) -> None:
    old = sidecar.current
    kill_at = sidecar.begin_termination(old)
    time.sleep(step.second_pause_s)
    new = sidecar.start()
    sidecar.finish_termination(old, kill_at)
    sidecar.wait_until_ready(new)


def _successor_killed(sidecar: SoakSidecar, step: SidecarStep) -> None:
    """Terminate a process and kill its successor at an instant of the handover."""
    old = sidecar.current
    new = sidecar.start()
    if step.first_pause_s:
        sidecar.wait_until_ready(new)
    kill_at = sidecar.begin_termination(old)
    time.sleep(step.second_pause_s)
    sidecar.kill(new)
    sidecar.finish_termination(old, kill_at)


def _second_successor(sidecar: SoakSidecar, step: SidecarStep) -> None:
    """Start two successors; the one that waits takes over from the other, or ends."""
    old = sidecar.current
    first = sidecar.start()
    sidecar.wait_until_ready(first)
    second = sidecar.start()
    sidecar.expected_to_end.add(second.process.pid)  # it may give up, as the first has the turn
    time.sleep(step.second_pause_s)
    sidecar.finish_termination(old, sidecar.begin_termination(old))
    deadline = time.monotonic() + SUCCESSOR_EXIT_SECONDS
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


def _killed(sidecar: SoakSidecar, _step: SidecarStep) -> None:
    sidecar.kill(sidecar.current)


def _crowd(sidecar: SoakSidecar, _step: SidecarStep) -> None:
    """Idle clients connect until no more are taken, and stay for a while."""
    host, _, port = sidecar.address.rpartition(":")
    with ExitStack() as clients:
        for _ in range(sidecar.config["limits"]["sockets"]):
            with suppress(OSError):
                client = socket.create_connection((host, int(port)), CONNECT_TIMEOUT_SECONDS)
                clients.enter_context(client)
        time.sleep(CROWD_SECONDS)


_TROUBLES: dict[SidecarTrouble, Callable[[SoakSidecar, SidecarStep], None]] = {
    SidecarTrouble.RELOAD_TWICE: _reload_twice,
    SidecarTrouble.RELOAD_THEN_TERMINATE: _reload_then_terminate,
    SidecarTrouble.TERMINATE_TWICE: _terminate_twice,
    SidecarTrouble.RELOAD_WHILE_DRAINING: _reload_while_draining,
    SidecarTrouble.BROKEN_THEN_GOOD_FILE: _broken_then_good_file,
    SidecarTrouble.SUCCESSOR_BEFORE_TERMINATE: _successor_before_terminate,
    SidecarTrouble.SUCCESSOR_AT_TERMINATE: _successor_at_terminate,
    SidecarTrouble.SUCCESSOR_AFTER_TERMINATE: _successor_after_terminate,
    SidecarTrouble.SUCCESSOR_KILLED: _successor_killed,
    SidecarTrouble.SECOND_SUCCESSOR: _second_successor,
    SidecarTrouble.KILLED: _killed,
    SidecarTrouble.CROWD: _crowd,
}
