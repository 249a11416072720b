"""The admin server: its health check, its metrics, and its handling of idle and invalid clients."""

from __future__ import annotations

import json
import socket
from pathlib import Path

from linetrack.policy.events import Outcome
from tests.helpers import IDEMPOTENT, SECOND, Driver, sends
from tests.server.admin_client import (
    connect,
    enable_admin,
    outcome_metric,
    read_metrics,
    send_admin_request,
)
from tests.server.reloading import reload, with_other_settings
from tests.support.http import http_request, http_response
from tests.support.servers import UpstreamServer, never_respond, unused_address
from tests.support.sidecar_process import Deployment
from tests.support.waiting import wait_until


def outcome_counts(metrics: dict[str, int], class_name: str) -> tuple[int, int]:
    """Return how many requests of a class were served, and how many failed."""
    return metrics[outcome_metric(class_name, "fulfilled")], metrics[outcome_metric(class_name, "faulted")]


def test_requests_are_counted_by_class_and_outcome_and_attempts_once_written(tmp_path: Path) -> None:
    deployment = Deployment(tmp_path, UpstreamServer("a"))
    address = enable_admin(deployment.sidecar)
    with deployment as sidecar:
        assert send_admin_request(address, "/admin/health").status == 200
        initial = read_metrics(address)
        assert initial[outcome_metric("look", "fulfilled")] == initial[outcome_metric("book", "faulted")] == 0
        assert [sidecar.send_class_request().status for _ in range(3)] == [200] * 3
        assert sidecar.send_class_request("pay").status == 200
        assert sidecar.send_class_request("look", "0").status == 504
        assert sidecar.send_class_request("nothing").status == 400
        deployment.upstreams[0].script = lambda _message, _connection: None
        assert sidecar.send_class_request("pay").status == 502
        metrics = wait_until(lambda: (m := read_metrics(address))[outcome_metric("pay", "faulted")] and m)
        assert outcome_counts(metrics, "look") == (3, 1)
        assert outcome_counts(metrics, "pay") == (1, 1)
        assert metrics["app_relayed_total"] == 5
        assert metrics["app_open_requests"] == 0
        assert (metrics["app_registry_entries"], metrics["app_out_of_rotation"]) == (1, 0)


def test_open_and_rejected_requests_and_accepted_and_invalid_files_are_counted(tmp_path: Path) -> None:
    deployment = Deployment(tmp_path, upstream := UpstreamServer("a", never_respond))
    address = enable_admin(deployment.sidecar)
    with deployment as sidecar:
        connection = sidecar.connect()
        connection.sock.sendall(http_request("/look/k", "GET", "X-Trace-Id: 1", "X-Expires-In: 2"))
        wait_until(lambda: read_metrics(address)["app_open_requests"] == 1)
        deployment.discovery.change(upstream.entry(state="DRAINING"))
        wait_until(lambda: read_metrics(address)["app_out_of_rotation"] == 1)
        assert read_metrics(address)["app_registry_entries"] == 1
        assert sidecar.send_class_request("pay").status == 503
        wait_until(lambda: read_metrics(address)[outcome_metric("pay", "throttled")] == 1)
        connection.sock.close()
        wait_until(lambda: read_metrics(address)["app_open_requests"] == 0)
        reload(sidecar, json.dumps(sidecar.config)[:-9])
        reload(sidecar, with_other_settings(sidecar.config))
        metrics = wait_until(lambda: (m := read_metrics(address))["app_cfg_accepted_total"] and m)
        assert (metrics["app_cfg_accepted_total"], metrics["app_cfg_invalid_total"]) == (1, 1)
        assert metrics[outcome_metric("pay", "throttled")] == 1
        assert metrics[outcome_metric("quote", "fulfilled")] == 0


def test_clients_that_send_nothing_or_half_a_request_do_not_block_other_clients(tmp_path: Path) -> None:
    deployment = Deployment(tmp_path, UpstreamServer("a"))
    address = enable_admin(deployment.sidecar)
    with deployment as sidecar:
        silent_clients = [connect(address) for _ in range(120)]
        for connection in silent_clients[::2]:
            connection.sock.sendall(b"GET /admin/stats HTTP/1.1\r\nHo")
        assert send_admin_request(address, "/admin/health").status == 200
        assert sidecar.send_class_request().status == 200
        assert all(connection.read() is None for connection in silent_clients[1::2]), (
            "each idle connection is closed"
        )
        for connection in silent_clients:
            connection.sock.close()


def test_invalid_requests_get_the_matching_error_status(tmp_path: Path) -> None:
    deployment = Deployment(tmp_path, UpstreamServer("a"))
    address = enable_admin(deployment.sidecar)
    with deployment:
        assert send_admin_request(address, "/metrics").status == 404
        assert send_admin_request(address, "/admin/stats", "DELETE").status == 405
        connection = connect(address)
        with connection.sock:
            connection.sock.sendall(b"\x00\x01\r\n\r\n")
            response = connection.read()
        assert response
        assert response.status == 400
        connection = connect(address)
        with connection.sock:
            connection.sock.sendall(b"GET /admin/stats HTTP/1.1\r\nA: " + b"a" * 60_000)
            response = connection.read()
        assert response
        assert response.status == 431


def test_the_environment_overrides_the_configured_address(tmp_path: Path) -> None:
    deployment = Deployment(tmp_path, UpstreamServer("a", lambda _message, _connection: http_response()))
    configured, override = enable_admin(deployment.sidecar), unused_address()
    deployment.sidecar.environ["EDGE_ADMIN_ADDR"] = override
    with deployment:
        assert send_admin_request(override, "/admin/health").status == 200
        host, port = configured.split(":")
        with socket.socket() as probe:
            assert probe.connect_ex((host, int(port))) != 0


def test_an_endpoint_is_out_of_rotation_while_it_drains_or_is_ejected_for_every_class() -> None:
    driver = Driver(slow_start_duration=0)
    assert driver.balancer.count_unavailable(driver.now) == 0
    request, actions = driver.start_request(IDEMPOTENT)
    first = sends(actions)[0]
    driver.end(request, first, Outcome.CONNECT_FAILED)
    assert driver.balancer.count_unavailable(driver.now) == 1
    driver.balancer.endpoints[first].ejections.pop(IDEMPOTENT)
    assert driver.balancer.count_unavailable(driver.now) == 0, "another class still uses the endpoint"
    driver.balancer.endpoints["h0"].is_routable = False
    assert driver.balancer.count_unavailable(driver.now + 60 * SECOND) == 1
