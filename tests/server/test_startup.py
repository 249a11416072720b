"""Startup of the program: its configuration, its address and its first endpoint list."""

from __future__ import annotations

import json
import socket
import subprocess
import sys
from pathlib import Path

import pytest

from tests.support.configuration import sidecar_config
from tests.support.http import http_response
from tests.support.paths import ROOT
from tests.support.servers import UpstreamServer, unused_address
from tests.support.sidecar_process import Deployment, SidecarProcess
from tests.support.waiting import wait_until

INVALID_CONFIGURATIONS: list[tuple[str, str]] = [
    ("{", "EDGE_CONFIG"),
    ("{}", "name"),
    ('{"name":"n","listen":7}', "listen"),
]


@pytest.mark.parametrize(("text", "key"), INVALID_CONFIGURATIONS)
def test_an_invalid_configuration_ends_the_program_and_names_the_key(
    tmp_path: Path, text: str, key: str
) -> None:
    sidecar = SidecarProcess(tmp_path, {})
    sidecar.environ = {"EDGE_CONFIG": str(tmp_path / "faulty.json")}
    (tmp_path / "faulty.json").write_text(text)
    assert sidecar.launch().wait(20) == 2
    assert key in sidecar.log()
    assert "Traceback" not in sidecar.log()


def test_an_address_that_cannot_be_bound_ends_the_program(tmp_path: Path) -> None:
    with socket.create_server(("127.0.0.1", 0)) as other:
        values = {**sidecar_config("127.0.0.1:9", []), "listen": f"127.0.0.1:{other.getsockname()[1]}"}
        sidecar = SidecarProcess(tmp_path, values)
        assert sidecar.launch().wait(20) == 1
    assert "cannot_listen" in sidecar.log()
    assert "Traceback" not in sidecar.log()


def test_with_discovery_unreachable_the_cached_list_is_used(tmp_path: Path) -> None:
    server = UpstreamServer("a")
    sidecar = SidecarProcess(tmp_path, sidecar_config(unused_address(), [server.entry()]))
    with sidecar:
        wait_until(lambda: "discovery_poll_failed" in sidecar.log())
        assert sidecar.send_class_request().status == 200
    server.close()


def test_with_pushed_lists_no_request_is_sent_by_a_list_from_before_the_start(tmp_path: Path) -> None:
    """A process is not ready after a poll that discovery rejects while many processes start together.

    Discovery's list is binding from the start of a process.
    """
    a, b = UpstreamServer("a"), UpstreamServer("b")
    deployment = Deployment(tmp_path, a, b)
    deployment.sidecar.config["settings"]["registryMode"] = "automatic"
    deployment.discovery.entries = [a.entry(state="DRAINING"), b.entry()]
    deployment.discovery.version = 2
    unavailable, listed = (
        http_response(b"", 503),
        {"version": 2, "full": True, "servers": deployment.discovery.entries},
    )
    deployment.discovery.scripted = [
        unavailable,
        http_response(b"no list"),
        unavailable,
        http_response(json.dumps(listed).encode()),
    ]
    with deployment as sidecar:
        assert {sidecar.send_class_request().body for _ in range(20)} == {b"b"}
        assert not a.seen
        assert "endpoint_list_timeout" not in sidecar.log()


def test_with_pushed_lists_a_process_becomes_ready_even_if_discovery_never_responds(tmp_path: Path) -> None:
    """A broken network path gives no response at all, and must not keep a process from becoming ready."""
    deployment = Deployment(tmp_path, UpstreamServer("a"))
    deployment.sidecar.config["settings"]["registryMode"] = "automatic"
    deployment.discovery.scripted = [b""] * 100
    with deployment as sidecar:
        assert sidecar.send_class_request().status == 200
        assert "endpoint_list_timeout" in sidecar.log()


def test_a_restarted_program_serves_on_the_same_address(tmp_path: Path) -> None:
    deployment = Deployment(tmp_path, UpstreamServer("a"))
    with deployment as sidecar:
        assert sidecar.send_class_request().status == 200
        assert sidecar.end() == 0
        sidecar.launch()
        wait_until(sidecar._ready)
        assert sidecar.send_class_request().status == 200


def test_the_simulation_host_imports_nothing_of_the_server() -> None:
    code = "import sys, linetrack.simhost.host; print(*sys.modules)"
    out = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True
    ).stdout
    assert not {name for name in out.split() if name.startswith(("gevent", "linetrack.server", "structlog"))}
