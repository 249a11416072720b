"""The program with fewer descriptors than its clients need."""

from __future__ import annotations

import os
from pathlib import Path

from linetrack.server.sockets import is_readable
from tests.support.http import HttpConnection, class_request
from tests.support.servers import UpstreamServer
from tests.support.sidecar_process import Deployment
from tests.support.waiting import wait_until


def test_with_no_free_descriptor_idle_connections_are_closed_and_requests_are_served(tmp_path: Path) -> None:
    server = UpstreamServer("a")
    deployment = Deployment(tmp_path, server)
    deployment.sidecar.config["limits"]["sockets"] = 80
    deployment.sidecar.prefix = "ulimit -n 80; "
    with deployment as sidecar:
        idle = [sidecar.connect() for _ in range(100)]
        assert [sidecar.send_class_request().status for _ in range(5)] == [200] * 5
        process = sidecar.process
        assert process
        assert len(os.listdir(f"/proc/{process.pid}/fd")) < 80
        for wire in idle:
            wire.sock.close()
        assert "accept_failed" not in sidecar.log()


def test_clients_that_stay_connected_after_one_request_do_not_exhaust_the_slots(tmp_path: Path) -> None:
    # Idle connections are closed before clients occupy all slots: 64 here, a third of 192 descriptors.
    deployment = Deployment(tmp_path, UpstreamServer("a"))
    deployment.sidecar.config["limits"]["sockets"] = 192
    open_clients: list[HttpConnection] = []
    with deployment as sidecar:
        for _ in range(400):
            open_clients = [wire for wire in open_clients if not is_readable(wire.sock)]
            assert len(open_clients) < 64
            open_clients.append(sidecar.connect())
            open_clients[-1].sock.sendall(class_request())
            reply = open_clients[-1].read()
            assert reply
            assert reply.status == 200
        for wire in open_clients:
            wire.sock.close()


def test_pipelined_requests_are_served_although_connection_slots_are_scarce(tmp_path: Path) -> None:
    # A connection must not be closed after a response if its next request has already been read.
    deployment = Deployment(tmp_path, UpstreamServer("a"))
    deployment.sidecar.config["limits"]["sockets"] = 128
    wires = []
    with deployment as sidecar:
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


def test_idle_clients_that_exhaust_the_descriptors_block_neither_discovery_nor_requests(
    tmp_path: Path,
) -> None:
    """While discovery is down, clients leave no descriptor free.

    The process must not exit, and must not keep using an old endpoint list because it lacks a descriptor for
    polling discovery.
    """
    a, b = UpstreamServer("a"), UpstreamServer("b")
    deployment = Deployment(tmp_path, a, b)
    deployment.discovery.scripted = [None] * 10_000
    deployment.sidecar.config["limits"]["sockets"] = 96
    deployment.sidecar.prefix = "ulimit -n 96; "
    with deployment as sidecar:
        idle_clients = [sidecar.connect() for _ in range(150)]
        for wire in idle_clients[::2]:
            wire.sock.sendall(b"GET /look")
        calls = len(deployment.discovery.calls)
        wait_until(lambda: len(deployment.discovery.calls) > calls + 1, "polls while discovery is down")
        assert sidecar.send_class_request().status == 200
        deployment.discovery.change(a.entry(state="DRAINING"))
        deployment.discovery.entries = [a.entry(state="DRAINING"), b.entry()]
        deployment.discovery.scripted.clear()
        wait_until(
            lambda: {sidecar.send_class_request().body for _ in range(10)} == {b"b"},
            "the new endpoint list is used",
        )
        assert sidecar.process is not None
        assert sidecar.process.poll() is None
        for wire in idle_clients:
            wire.sock.close()
