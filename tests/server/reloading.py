"""New configuration files for a running program, and a deployment of another shape."""

from __future__ import annotations

import json
import signal
from typing import Any

from tests.support.sidecar_process import SidecarProcess
from tests.support.units import MS
from tests.support.waiting import wait_until

RELOAD_EVENTS = ('"reloaded"', "reload_rejected")


def send_reload(sidecar: SidecarProcess, text: str) -> None:
    """Write the program's configuration file and send SIGHUP."""
    assert sidecar.process is not None
    (sidecar.folder / "config.json").write_text(text)
    sidecar.process.send_signal(signal.SIGHUP)


def reload(sidecar: SidecarProcess, values: dict[str, Any] | str) -> None:
    """Give the program this file and wait until it has logged what it made of it."""
    before = len(sidecar.log())
    send_reload(sidecar, values if isinstance(values, str) else json.dumps(values))
    wait_until(lambda: any(event in sidecar.log()[before:] for event in RELOAD_EVENTS))


def reshaped(old: dict[str, Any]) -> dict[str, Any]:
    """A deployment of another shape: more zones, live weights, a class dropped and one added, one attempt."""
    new: dict[str, Any] = json.loads(json.dumps(old))
    settings = new["settings"]
    settings["azs"] = ["west", "north", "south"]
    settings["zone"] = 1
    settings["weights"] = "live"
    settings["allowed"] |= {"multiplex": 100, "maxAttempts": 1, "maxRetryAfterUs": 300 * MS}
    settings["classes"] = [settings["classes"][1], {**settings["classes"][0], "name": "quote"}]
    return new
