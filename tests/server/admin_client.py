"""Requests to a sidecar process's operators' address, and the names of its metrics."""

from __future__ import annotations

import socket

from tests.support.http import HttpConnection, HttpMessage, http_request
from tests.support.servers import unused_address
from tests.support.sidecar_process import SidecarProcess


def enable_admin(sidecar: SidecarProcess) -> str:
    """Have the program listen for operators; return the address."""
    address: str = sidecar.config.setdefault("admin_addr", unused_address())
    return address


def connect(address: str) -> HttpConnection:
    host, port = address.split(":")
    return HttpConnection(socket.create_connection((host, int(port))))


def send_admin_request(address: str, path: str = "/admin/stats", method: str = "GET") -> HttpMessage:
    """One request on a connection of its own, which is closed with the response."""
    wire = connect(address)
    with wire.sock:
        wire.sock.sendall(http_request(path, method))
        response = wire.read()
        assert response is not None
        assert wire.wait_for_close()
    return response


def read_metrics(address: str) -> dict[str, int]:
    """The value of each metric, by its name with its labels."""
    response = send_admin_request(address)
    assert response.status == 200
    lines = [line.rsplit(" ", 1) for line in response.body.decode().splitlines()]
    return {name: int(value) for name, value in lines}


def outcome_metric(class_name: str, status: str) -> str:
    """The name of the metric that counts requests of a class by outcome."""
    return f'app_operations_total{{priority="{class_name}",status="{status}"}}'
