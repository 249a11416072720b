"""The start of the program: its configuration, its address and its first endpoint list."""

from __future__ import annotations

import json
import socket
import subprocess
import sys
from pathlib import Path

import pytest

from tests.stand_ins import ROOT, Sidecar, Upstream, World, answer, config, free_address, until

INVALID_CONFIGURATIONS: list[tuple[str, str]] = [
    ("{", "EDGE_CONFIG"),
    ("{}", "name"),
    ('{"name":"n","listen":7}', "listen"),
]


@pytest.mark.parametrize(("text", "key"), INVALID_CONFIGURATIONS)
def test_an_invalid_configuration_ends_the_program_and_names_the_key(
    tmp_path: Path, text: str, key: str
) -> None:
    sidecar = Sidecar(tmp_path, {})
    sidecar.environ = {"EDGE_CONFIG": str(tmp_path / "faulty.json")}
    (tmp_path / "faulty.json").write_text(text)
    assert sidecar.launch().wait(20) == 2
    assert key in sidecar.log()
    assert "Traceback" not in sidecar.log()


def test_an_address_that_cannot_be_bound_ends_the_program(tmp_path: Path) -> None:
    with socket.create_server(("127.0.0.1", 0)) as other:
        values = {**config("127.0.0.1:9", []), "listen": f"127.0.0.1:{other.getsockname()[1]}"}
        sidecar = Sidecar(tmp_path, values)
        assert sidecar.launch().wait(20) == 1
    assert "cannot_listen" in sidecar.log()
    assert "Traceback" not in sidecar.log()


def test_with_discovery_out_of_reach_the_cached_list_is_used(tmp_path: Path) -> None:
    server = Upstream("a")
    sidecar = Sidecar(tmp_path, config(free_address(), [server.entry()]))
    with sidecar:
        until(lambda: "discovery_poll_failed" in sidecar.log())
        assert sidecar.ask().status == 200
    server.close()


def test_with_pushed_lists_nothing_is_sent_by_a_list_from_before_the_start(tmp_path: Path) -> None:
    """A poll that discovery rejects, as all processes that start together poll at once, makes nobody ready.

    What discovery has is binding from a new process's first moment.
    """
    a, b = Upstream("a"), Upstream("b")
    world = World(tmp_path, a, b)
    world.sidecar.config["settings"]["registryMode"] = "automatic"
    world.discovery.entries = [a.entry(state="DRAINING"), b.entry()]
    world.discovery.version = 2
    away, listed = answer(b"", 503), {"version": 2, "full": True, "servers": world.discovery.entries}
    world.discovery.scripted = [away, answer(b"no list"), away, answer(json.dumps(listed).encode())]
    with world as sidecar:
        assert {sidecar.ask().body for _ in range(20)} == {b"b"}
        assert not a.seen
        assert "endpoint_list_timeout" not in sidecar.log()


def test_with_pushed_lists_a_start_becomes_ready_though_discovery_never_answers(tmp_path: Path) -> None:
    """A path that is cut gives no answer at all, and must not keep a process from getting ready."""
    world = World(tmp_path, Upstream("a"))
    world.sidecar.config["settings"]["registryMode"] = "automatic"
    world.discovery.scripted = [b""] * 100
    with world as sidecar:
        assert sidecar.ask().status == 200
        assert "endpoint_list_timeout" in sidecar.log()


def test_a_restarted_program_serves_on_the_same_address(tmp_path: Path) -> None:
    world = World(tmp_path, Upstream("a"))
    with world as sidecar:
        assert sidecar.ask().status == 200
        assert sidecar.end() == 0
        sidecar.launch()
        until(sidecar._ready)
        assert sidecar.ask().status == 200


def test_the_simulation_host_imports_nothing_of_the_server() -> None:
    code = "import sys, linetrack.simhost.host; print(*sys.modules)"
    out = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True
    ).stdout
    assert not {name for name in out.split() if name.startswith(("gevent", "linetrack.server", "structlog"))}
