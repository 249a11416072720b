"""The operators' address: what it reports, and that callers who say nothing keep nobody from it."""

from __future__ import annotations

import json
import re
import socket
from pathlib import Path

from hypothesis import given
from hypothesis import strategies as st

from linetrack.control.metrics import Metrics, RequestOutcome
from linetrack.policy.events import Outcome
from tests.helpers import IDEMPOTENT, SECOND, Driver
from tests.server.reloading import reload, reshaped
from tests.stand_ins import (
    Message,
    Sidecar,
    Upstream,
    Wire,
    World,
    answer,
    free_address,
    request,
    silent,
    until,
)


def admin(sidecar: Sidecar) -> str:
    """Have the program listen for operators; where."""
    address: str = sidecar.config.setdefault("admin_addr", free_address())
    return address


def caller(address: str) -> Wire:
    host, port = address.split(":")
    return Wire(socket.create_connection((host, int(port))))


def ask(address: str, path: str = "/admin/stats", method: str = "GET") -> Message:
    wire = caller(address)
    with wire.sock:
        wire.sock.sendall(request(path, method))
        reply = wire.read()
        assert reply is not None and wire.ended()
    return reply


def figures(address: str) -> dict[str, int]:
    """Each line's name, with its labels, and its value."""
    reply = ask(address)
    assert reply.status == 200
    lines = [line.rsplit(" ", 1) for line in reply.body.decode().splitlines()]
    return {name: int(value) for name, value in lines}


def row(klass: str, status: str) -> str:
    return f'app_operations_total{{priority="{klass}",status="{status}"}}'


def test_requests_count_by_class_and_fate_attempts_by_those_written(tmp_path: Path) -> None:
    world = World(tmp_path, Upstream("a"))
    address = admin(world.sidecar)
    with world as sidecar:
        assert ask(address, "/admin/health").status == 200
        before = figures(address)
        assert before[row("look", "fulfilled")] == before[row("book", "faulted")] == 0
        assert [sidecar.ask().status for _ in range(3)] == [200] * 3
        assert sidecar.ask("pay").status == 200
        assert sidecar.ask("look", "0").status == 504
        assert sidecar.ask("nothing").status == 400
        world.upstreams[0].script = lambda message, wire: None
        assert sidecar.ask("pay").status == 502
        told = until(lambda: (f := figures(address))[row("pay", "faulted")] and f)
        assert (told[row("look", "fulfilled")], told[row("look", "faulted")]) == (3, 1)
        assert (told[row("pay", "fulfilled")], told[row("pay", "faulted")]) == (1, 1)
        assert told["app_relayed_total"] == 5 and told["app_open_requests"] == 0
        assert (told["app_registry_entries"], told["app_out_of_rotation"]) == (1, 0)


def test_the_open_and_the_refused_and_files_taken_and_turned_down(tmp_path: Path) -> None:
    world = World(tmp_path, held := Upstream("a", silent))
    address = admin(world.sidecar)
    with world as sidecar:
        wire = sidecar.connect()
        wire.sock.sendall(request("/look/k", "GET", "X-Trace-Id: 1", "X-Expires-In: 2"))
        until(lambda: figures(address)["app_open_requests"] == 1)
        world.discovery.change(held.entry(state="DRAINING"))
        until(lambda: figures(address)["app_out_of_rotation"] == 1)
        assert figures(address)["app_registry_entries"] == 1
        assert sidecar.ask("pay").status == 503
        until(lambda: figures(address)[row("pay", "throttled")] == 1)
        wire.sock.close()
        until(lambda: figures(address)["app_open_requests"] == 0)
        reload(sidecar, json.dumps(sidecar.config)[:-9])
        reload(sidecar, reshaped(sidecar.config))
        told = until(lambda: (f := figures(address))["app_cfg_accepted_total"] and f)
        assert (told["app_cfg_accepted_total"], told["app_cfg_invalid_total"]) == (1, 1)
        assert told[row("pay", "throttled")] == 1 and told[row("quote", "fulfilled")] == 0


def test_callers_that_say_nothing_or_half_a_call_keep_nobody_from_an_answer(tmp_path: Path) -> None:
    world = World(tmp_path, Upstream("a"))
    address = admin(world.sidecar)
    with world as sidecar:
        dumb = [caller(address) for _ in range(120)]
        for wire in dumb[::2]:
            wire.sock.sendall(b"GET /admin/stats HTTP/1.1\r\nHo")
        assert ask(address, "/admin/health").status == 200 and sidecar.ask().status == 200
        assert all(wire.read() is None for wire in dumb[1::2]), "each is let go of"
        for wire in dumb:
            wire.sock.close()


def test_what_is_no_call_is_told_so(tmp_path: Path) -> None:
    world = World(tmp_path, Upstream("a"))
    address = admin(world.sidecar)
    with world:
        assert ask(address, "/metrics").status == 404
        assert ask(address, "/admin/stats", "DELETE").status == 405
        wire = caller(address)
        with wire.sock:
            wire.sock.sendall(b"\x00\x01\r\n\r\n")
            reply = wire.read()
        assert reply and reply.status == 400
        wire = caller(address)
        with wire.sock:
            wire.sock.sendall(b"GET /admin/stats HTTP/1.1\r\nA: " + b"a" * 60_000)
            reply = wire.read()
        assert reply and reply.status == 431


def test_without_an_address_nothing_listens_and_the_environment_comes_first(tmp_path: Path) -> None:
    world = World(tmp_path, Upstream("a", lambda message, wire: answer()))
    hidden, told = admin(world.sidecar), free_address()
    world.sidecar.environ["EDGE_ADMIN_ADDR"] = told
    with world:
        assert ask(told, "/admin/health").status == 200
        host, port = hidden.split(":")
        with socket.socket() as probe:
            assert probe.connect_ex((host, int(port))) != 0


LINE = re.compile(r'app_[a-z_]+(\{priority="(\\.|[^"\\\n])*",status="[a-z]+"\})? \d+')


@given(
    st.lists(st.tuples(st.text(max_size=5), st.sampled_from(RequestOutcome)), max_size=30), st.integers(0, 9)
)
def test_totals_agree_and_whatever_a_class_is_called_the_text_can_be_read(
    ends: list[tuple[str, RequestOutcome]], left: int
) -> None:
    figures = Metrics()
    figures.taken, figures.left = len(ends) + left + 2, left
    for klass, fate in ends:
        figures.over(klass, fate)
    totals = figures.totals()
    assert figures.open == 2
    assert totals["taken"] == 2 + sum(totals[name] for name in ("served", "refused", "failed", "left"))
    lines = figures.text(7, 1).split("\n")
    assert lines.pop() == "" and all(LINE.fullmatch(line) for line in lines)
    assert len(lines) == 3 * len({klass for klass, _ in ends}) + 6


def test_an_upstream_is_out_of_rotation_while_it_drains_or_is_in_a_spell_for_every_class() -> None:
    driver = Driver(slow_start_duration=0)
    assert driver.balancer.count_unavailable(driver.now) == 0
    request, actions = driver.ask(IDEMPOTENT)
    first = actions[0].endpoint  # type: ignore[union-attr]
    driver.end(request, first, Outcome.CONNECT_FAILED)
    assert driver.balancer.count_unavailable(driver.now) == 1
    driver.balancer.endpoints[first].ejections.pop(IDEMPOTENT)
    assert driver.balancer.count_unavailable(driver.now) == 0, "some class still uses it"
    driver.balancer.endpoints["h0"].is_routable = False
    assert driver.balancer.count_unavailable(driver.now + 60 * SECOND) == 1
