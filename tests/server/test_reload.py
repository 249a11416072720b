"""Reloads of the configuration file at SIGHUP, while the program serves."""

from __future__ import annotations

import json
import signal
import time
from functools import partial
from pathlib import Path
from typing import Any

from tests.server.reloading import send_reload
from tests.support.http import class_request
from tests.support.servers import DiscoveryServer, UpstreamServer
from tests.support.sidecar_process import Deployment
from tests.support.waiting import wait_until


def test_a_reload_switches_discovery_without_disturbing_requests(tmp_path: Path) -> None:
    a, b = UpstreamServer("a"), UpstreamServer("b")
    deployment = Deployment(tmp_path, a)
    with deployment as sidecar:
        assert sidecar.send_class_request().body == b"a"
        connection = sidecar.connect()
        for _ in range(2):
            other = DiscoveryServer([b.entry()])
            sidecar.config["discovery"] = other.address
            send_reload(sidecar, json.dumps(sidecar.config))
            wait_until(partial(lambda name: sidecar.send_class_request().body == name, b.name.encode()))
            connection.sock.sendall(class_request())
            reply = connection.read()
            assert reply
            assert reply.body == b.name.encode()
            a, b = b, a
            other.close()
        connection.sock.close()
        assert sidecar.end() == 0


def test_the_file_overrides_the_environment_for_the_discovery_address(tmp_path: Path) -> None:
    # The environment of a process never changes, and must not hide the address in a new file.
    deployment, other = Deployment(tmp_path, UpstreamServer("a")), DiscoveryServer([])
    deployment.sidecar.environ["EDGE_DISCOVERY"] = deployment.discovery.address
    with deployment as sidecar:
        wait_until(lambda: deployment.discovery.calls)
        sidecar.config["discovery"] = other.address
        send_reload(sidecar, json.dumps(sidecar.config))
        wait_until(lambda: other.calls)
    other.close()


def invalid_files(values: dict[str, Any]) -> list[tuple[str, str]]:
    classes = {**values["settings"], "classes": [{"name": "look", "deadlineUs": "soon"}]}
    return [
        (json.dumps(values)[:200], "EDGE_CONFIG"),
        ("", "EDGE_CONFIG"),
        (json.dumps({**values, "discovery": "nowhere"}), "discovery"),
        (json.dumps({**values, "settings": classes}), "settings.classes.0.deadlineUs"),
    ]


def test_an_invalid_file_is_logged_with_its_key_and_the_old_configuration_stays_in_force(
    tmp_path: Path,
) -> None:
    server = UpstreamServer("a")
    with Deployment(tmp_path, server) as sidecar:
        for text, key in invalid_files(dict(sidecar.config)):
            log_length = len(sidecar.log())
            send_reload(sidecar, text)
            wait_until(partial(lambda start: "reload_rejected" in sidecar.log()[start:], log_length))
            assert f'"{key}' in sidecar.log()[log_length:]
            assert sidecar.send_class_request().status == 200
            time.sleep(1.0)  # an event is logged at most once a second
        (tmp_path / "config.json").unlink()
        assert sidecar.process is not None
        sidecar.process.send_signal(signal.SIGHUP)
        wait_until(lambda: "No such file" in sidecar.log())
        send_reload(sidecar, json.dumps({**sidecar.config, "name": "other", "limits": {"sockets": 100}}))
        wait_until(lambda: "reloaded" in sidecar.log())
        assert '"needs_restart": ["limits.sockets", "name"]' in sidecar.log()
        assert sidecar.end() == 0


def test_a_sighup_while_draining_does_not_disturb_the_shutdown(tmp_path: Path) -> None:
    with Deployment(tmp_path, UpstreamServer("a")) as sidecar:
        assert sidecar.process is not None
        sidecar.process.send_signal(signal.SIGTERM)
        wait_until(lambda: '"draining"' in sidecar.log())
        sidecar.process.send_signal(signal.SIGHUP)
        assert sidecar.process.wait(20) == 0
