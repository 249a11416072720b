"""Reloads of a running program with new configuration files."""

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
    """Reload with a new configuration file and wait until the program has logged the result."""
    log_length = len(sidecar.log())
    send_reload(sidecar, values if isinstance(values, str) else json.dumps(values))
    wait_until(lambda: any(event in sidecar.log()[log_length:] for event in RELOAD_EVENTS))


def with_other_settings(old: dict[str, Any]) -> dict[str, Any]:
    """Return a configuration with other settings.

    It has more zones, live weights, one class dropped and one added, and allows one attempt.
    """
    new: dict[str, Any] = json.loads(json.dumps(old))
    settings = new["settings"]
    settings["azs"] = ["west", "north", "south"]
    settings["zone"] = 1
    settings["weights"] = "live"
    settings["allowed"] |= {"multiplex": 100, "maxAttempts": 1, "maxRetryAfterUs": 300 * MS}
    settings["classes"] = [settings["classes"][1], {**settings["classes"][0], "name": "quote"}]
    return new
