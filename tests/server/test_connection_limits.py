"""The program with fewer descriptors than its clients would use."""

from __future__ import annotations

import os
from pathlib import Path

from linetrack.server.sockets import is_readable
from tests.support.http import HttpConnection, class_request
from tests.support.servers import UpstreamServer
from tests.support.sidecar_process import Deployment
from tests.support.waiting import wait_until


def test_with_no_descriptor_left_idle_connections_are_closed_and_no_client_is_dropped(tmp_path: Path) -> None:
    server = UpstreamServer("a")
    world = Deployment(tmp_path, server)
    world.sidecar.config["limits"]["sockets"] = 80
    world.sidecar.prefix = "ulimit -n 80; "
    with world as sidecar:
        idle = [sidecar.connect() for _ in range(100)]
        assert [sidecar.send_class_request().status for _ in range(5)] == [200] * 5
        process = sidecar.process
        assert process
        assert len(os.listdir(f"/proc/{process.pid}/fd")) < 80
        for wire in idle:
            wire.sock.close()
        assert "accept_failed" not in sidecar.log()


def test_clients_that_send_one_request_and_stay_never_use_up_the_connection_slots(tmp_path: Path) -> None:
    # idle connections are closed before clients can open no more of them: 64 here, a third of 192
    world = Deployment(tmp_path, UpstreamServer("a"))
    world.sidecar.config["limits"]["sockets"] = 192
    held: list[HttpConnection] = []
    with world as sidecar:
        for _ in range(400):
            held = [wire for wire in held if not is_readable(wire.sock)]
            assert len(held) < 64
            held.append(sidecar.connect())
            held[-1].sock.sendall(class_request())
            reply = held[-1].read()
            assert reply
            assert reply.status == 200
        for wire in held:
            wire.sock.close()


def test_pipelined_requests_are_served_although_connection_slots_are_short(tmp_path: Path) -> None:
    # a connection must not be closed with a response while a request behind it has been read
    world = Deployment(tmp_path, UpstreamServer("a"))
    world.sidecar.config["limits"]["sockets"] = 128
    wires = []
    with world as sidecar:
        for _ in range(100):
            wires.append(sidecar.connect())
            wires[-1].sock.sendall(class_request() + class_request() + class_request())
            for _ in range(3):
                reply = wires[-1].read()
                assert reply
                assert reply.status == 200
        assert any(is_readable(wire.sock) for wire in wires)
        for wire in wires:
            wire.sock.close()


def test_idle_clients_that_use_up_the_descriptors_block_neither_discovery_nor_requests(
    tmp_path: Path,
) -> None:
    """While discovery is down, clients leave no descriptor free.

    The process must neither end nor go on by an old list for want of a descriptor for a poll.
    """
    a, b = UpstreamServer("a"), UpstreamServer("b")
    world = Deployment(tmp_path, a, b)
    world.discovery.scripted = [None] * 10_000
    world.sidecar.config["limits"]["sockets"] = 96
    world.sidecar.prefix = "ulimit -n 96; "
    with world as sidecar:
        idlers = [sidecar.connect() for _ in range(150)]
        for wire in idlers[::2]:
            wire.sock.sendall(b"GET /look")
        calls = len(world.discovery.calls)
        wait_until(lambda: len(world.discovery.calls) > calls + 1, "called while it is down")
        assert sidecar.send_class_request().status == 200
        world.discovery.change(a.entry(state="DRAINING"))
        world.discovery.entries = [a.entry(state="DRAINING"), b.entry()]
        world.discovery.scripted.clear()
        wait_until(
            lambda: {sidecar.send_class_request().body for _ in range(10)} == {b"b"},
            "what it tells at its return",
        )
        assert sidecar.process is not None
        assert sidecar.process.poll() is None
        for wire in idlers:
            wire.sock.close()
