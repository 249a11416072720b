"""Requests to the admin server of a sidecar process, and the names of its metrics."""

from __future__ import annotations

import socket

from tests.support.http import HttpConnection, HttpMessage, http_request
from tests.support.servers import unused_address
from tests.support.sidecar_process import SidecarProcess


def enable_admin(sidecar: SidecarProcess) -> str:
    """Configure an admin server if there is none; return its address."""
    address: str = sidecar.config.setdefault("admin_addr", unused_address())
    return address


def connect(address: str) -> HttpConnection:
    host, port = address.split(":")
    return HttpConnection(socket.create_connection((host, int(port))))


def send_admin_request(address: str, path: str = "/admin/stats", method: str = "GET") -> HttpMessage:
    """Send one request on a new connection, which the server closes after the response."""
    connection = connect(address)
    with connection.sock:
        connection.sock.sendall(http_request(path, method))
        response = connection.read()
        assert response is not None
        assert connection.wait_for_close()
    return response


def read_metrics(address: str) -> dict[str, int]:
    """Return the value of each metric by its name with labels."""
    response = send_admin_request(address)
    assert response.status == 200
    lines = [line.rsplit(" ", 1) for line in response.body.decode().splitlines()]
    return {name: int(value) for name, value in lines}


def outcome_metric(class_name: str, status: str) -> str:
    """Return the name, with labels, of the metric that counts a class's requests with an outcome."""
    return f'app_operations_total{{priority="{class_name}",status="{status}"}}'
