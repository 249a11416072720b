"""Hot restarts between processes, under load and with either process ending early."""

from __future__ import annotations

import contextlib
import json
import signal
import socket
import threading
from functools import partial
from pathlib import Path
from typing import Any

import pytest

from tests.server.admin_client import read_metrics
from tests.server.restartable_deployment import (
    KeepAliveLoad,
    RestartableDeployment,
    is_ready,
    is_running_and_ready,
    respond_after_20_ms,
)
from tests.support.http import HttpConnection, HttpMessage, http_request, http_response
from tests.support.servers import DiscoveryServer, UpstreamServer, never_respond, unused_address
from tests.support.sidecar_process import Deployment, SidecarProcess
from tests.support.units import SECOND
from tests.support.waiting import wait_until


def has_served_more_than(servers: list[UpstreamServer], minimum: int, errors: list[str]) -> bool:
    return bool(errors) or sum(len(server.seen) for server in servers) > minimum


def test_restarts_under_load_lose_no_request_and_close_no_keep_alive_connection(tmp_path: Path) -> None:
    servers = [UpstreamServer(name, respond_after_20_ms) for name in "abc"]
    deployment = RestartableDeployment(tmp_path, *servers)
    # The policy treats a process that stalls for 100 ms as congestion, and rejects a few requests with
    # objectives of 500 ms but not of seconds.  This test is not about such rejections.
    for request_class in deployment.predecessor.config["settings"]["classes"]:
        request_class["aimUs"] = request_class["deadlineUs"] = 20 * SECOND
    with deployment as restartable:
        load = KeepAliveLoad(restartable.predecessor, clients=12)
        load.start()
        serving = restartable.predecessor
        for _ in range(2):
            successor = restartable.start_successor()
            assert serving.end() == 0, serving.log()
            sent = sum(len(server.seen) for server in servers)
            wait_until(partial(has_served_more_than, servers, sent + 50, load.errors))
            serving = successor
        load.stop()
        assert not load.errors, load.errors
        ids = [message.headers["x-trace-id"] for server in servers for message in server.seen]
        assert len(set(ids)) == len(ids), "a request was sent to upstreams twice"
        wait_until(lambda: read_metrics(serving.config["admin_addr"])["app_open_requests"] == 0)
        assert '"snapshot_restored": true' in serving.log()


def test_requests_in_flight_and_partly_read_get_responses_from_the_predecessor(tmp_path: Path) -> None:
    release = threading.Event()

    def respond_when_released(_message: HttpMessage, _connection: HttpConnection) -> bytes:
        release.wait(20)
        return http_response(b"late")

    with RestartableDeployment(tmp_path, server := UpstreamServer("a", respond_when_released)) as restartable:
        in_flight, partly_sent, idle = (
            restartable.predecessor.connect(),
            restartable.predecessor.connect(),
            restartable.predecessor.connect(),
        )
        in_flight.sock.sendall(http_request("/pay/k", "GET", "X-Trace-Id: w", "X-Expires-In: 2.0"))
        wait_until(lambda: server.seen)
        data = http_request("/pay/k", "GET", "X-Trace-Id: h", "X-Expires-In: 2.0")
        partly_sent.sock.sendall(data[:20])
        restartable.start_successor()
        assert restartable.predecessor.process
        restartable.predecessor.process.send_signal(signal.SIGTERM)
        partly_sent.sock.sendall(data[20:])
        idle.sock.sendall(http_request("/pay/k", "GET", "X-Trace-Id: i", "X-Expires-In: 2.0"))
        wait_until(lambda: len(server.seen) == 3)
        release.set()
        for connection in (in_flight, partly_sent, idle):
            reply = connection.read()
            assert reply
            assert (reply.status, reply.body) == (200, b"late")
        assert restartable.predecessor.process.wait(20) == 0
        # A request id that was in flight in one process is rejected by the other.
        idle.sock.sendall(http_request("/pay/k", "GET", "X-Trace-Id: w", "X-Expires-In: 2.0"))
        reply = idle.read()
        assert reply
        assert reply.status == 409


@pytest.mark.parametrize("end", ["killed", "invalid file"])
def test_the_predecessor_serves_on_if_its_successor_is_killed_or_has_an_invalid_file(
    tmp_path: Path, end: str
) -> None:
    with RestartableDeployment(tmp_path, UpstreamServer("a", respond_after_20_ms)) as restartable:
        keep_alive = restartable.predecessor.connect()
        if end == "killed":
            successor = restartable.start_successor()
            assert successor.process
            successor.process.kill()
        else:
            successor = restartable.start_successor(ready=False, settings={})
            assert successor.process
            assert successor.process.wait(20) == 2
        successor.process.wait(20)
        assert [restartable.predecessor.send_class_request("pay").status for _ in range(3)] == [200] * 3
        next_successor = restartable.start_successor()
        assert restartable.predecessor.end() == 0
        keep_alive.sock.sendall(http_request("/pay/k", "GET", "X-Trace-Id: k", "X-Expires-In: 2.0"))
        reply = keep_alive.read()
        assert reply
        assert reply.status == 200
        assert next_successor.send_class_request("pay").status == 200


def test_after_a_kill_the_successor_serves_and_a_stale_socket_file_is_replaced(tmp_path: Path) -> None:
    with RestartableDeployment(tmp_path, UpstreamServer("a", respond_after_20_ms)) as restartable:
        successor = restartable.start_successor()
        assert restartable.predecessor.process
        restartable.predecessor.process.kill()
        assert successor.send_class_request("pay").status == 200
        assert successor.process
        successor.process.kill()
        successor.process.wait(20)
        assert list((tmp_path / "t").glob("*.sock"))
        later = restartable.start_successor()
        assert later.send_class_request("pay").status == 200


def test_if_the_socket_path_is_too_long_both_processes_listen_and_log_it(tmp_path: Path) -> None:
    long_folder = tmp_path / ("x" * 120)
    long_folder.mkdir()
    deployment = Deployment(tmp_path, UpstreamServer("a", respond_after_20_ms))
    deployment.sidecar.environ["TMPDIR"] = str(long_folder)
    with deployment as predecessor:
        assert "hot_restart_unavailable" in predecessor.log()
        folder = tmp_path / "again"
        folder.mkdir()
        successor = SidecarProcess(
            folder,
            {**predecessor.config, "admin_addr": unused_address()},
            predecessor.address,
            environ=predecessor.environ,
        )
        with contextlib.ExitStack() as cleanup:
            cleanup.push(successor.__exit__)
            successor.launch()
            wait_until(lambda: is_running_and_ready(successor))
            assert predecessor.end() == 0
            assert [successor.send_class_request("pay").status for _ in range(5)] == [200] * 5


def test_of_two_concurrent_successors_one_waits_for_the_other(tmp_path: Path) -> None:
    with RestartableDeployment(tmp_path, UpstreamServer("a", respond_after_20_ms)) as restartable:
        first, second = restartable.start_successor(ready=False), restartable.start_successor(ready=False)
        ready = wait_until(lambda: [process for process in (first, second) if is_ready(process)])[0]
        assert restartable.predecessor.end() == 0
        other = second if ready is first else first
        wait_until(lambda: is_running_and_ready(other))
        assert ready.end() == 0
        assert other.send_class_request("pay").status == 200


@pytest.mark.parametrize("found", ["a socket without a listener", "a process that ends as it accepts"])
def test_a_successor_that_connects_as_the_predecessor_ends_connects_again(tmp_path: Path, found: str) -> None:
    with RestartableDeployment(tmp_path, UpstreamServer("a", respond_after_20_ms)) as restartable:
        (path,) = (tmp_path / "t").glob("*.sock")
        hidden_path = path.with_name("away")
        path.rename(hidden_path)
        with socket.socket(socket.AF_UNIX) as ending_listener:
            ending_listener.bind(str(path))
            if accepts := found == "a process that ends as it accepts":
                ending_listener.listen()
            successor = restartable.start_successor(ready=False)
            if accepts:
                ending_listener.settimeout(20)
                ending_listener.accept()[0].close()
        wait_until(
            lambda: (
                "hot_restart_address_in_use" in successor.log()
                or (successor.process and successor.process.poll())
            )
        )
        hidden_path.rename(path)
        wait_until(lambda: is_running_and_ready(successor))
        assert restartable.predecessor.end() == 0
        assert successor.send_class_request("pay").status == 200


def test_an_invalid_client_of_the_socket_gets_no_reply_and_blocks_no_successor(tmp_path: Path) -> None:
    with RestartableDeployment(tmp_path, UpstreamServer("a", never_respond)) as restartable:
        (path,) = (tmp_path / "t").glob("*.sock")
        for data in (b"", b"\x00\x00\x00\x05hello", b"\xff\xff\xff\xff", b"\x00\x00\x00\x02{}"):
            with socket.socket(socket.AF_UNIX) as invalid_client:
                invalid_client.connect(str(path))
                invalid_client.sendall(data)
                invalid_client.shutdown(socket.SHUT_WR)
                invalid_client.settimeout(20)
                assert invalid_client.recv(100) == b""
        assert is_running_and_ready(restartable.start_successor())


def test_a_process_that_cannot_listen_does_not_hide_the_one_that_serves(tmp_path: Path) -> None:
    # A failed start must not replace the socket at which successors find the serving process.
    with RestartableDeployment(tmp_path, UpstreamServer("a", respond_after_20_ms)) as restartable:
        (path,) = (tmp_path / "t").glob("*.sock")
        hidden_path = path.with_name("away")
        path.rename(hidden_path)
        failed = restartable.start_successor(ready=False)
        assert failed.process
        assert failed.process.wait(20) == 1
        assert list((tmp_path / "t").iterdir()) == [hidden_path]
        hidden_path.rename(path)
        successor = restartable.start_successor()
        assert restartable.predecessor.end() == 0
        assert successor.send_class_request("pay").status == 200


def with_other_classes(values: dict[str, Any]) -> dict[str, Any]:
    """Return the settings of another customer, which have other classes."""
    other: dict[str, Any] = json.loads(json.dumps(values["settings"]))
    for request_class in other["classes"]:
        request_class["name"] = f"their-{request_class['name']}"
    return other


def test_a_process_of_another_customer_takes_over_nothing_and_blocks_no_successor(tmp_path: Path) -> None:
    """The other process has the same name, address and folder, but other settings.

    It takes over neither the listening socket nor the endpoint list or the request ids, and does not hide the
    serving process.
    """
    with RestartableDeployment(tmp_path, UpstreamServer("a", respond_after_20_ms)) as restartable:
        foreign = restartable.start_successor(
            ready=False, settings=with_other_classes(restartable.predecessor.config)
        )
        assert foreign.process
        assert foreign.process.wait(20) == 1
        log = foreign.log()
        assert log.count("hot_restart_foreign_process") == 1
        assert "hot_restart_granted" not in log
        assert "cannot_listen" in log
        assert "hot_restart_requested" not in restartable.predecessor.log()
        assert restartable.predecessor.send_class_request("pay").status == 200
        successor = restartable.start_successor()
        assert restartable.predecessor.end() == 0
        assert successor.send_class_request("pay").status == 200


def test_successors_of_two_customers_with_the_same_folder_take_over_from_their_own_process(
    tmp_path: Path,
) -> None:
    """Neither successor takes over the other customer's settings, although both start at once."""
    one_folder, other_folder = tmp_path / "ours", tmp_path / "theirs"
    one_folder.mkdir()
    other_folder.mkdir()
    with (
        RestartableDeployment(one_folder, UpstreamServer("a", respond_after_20_ms)) as one,
        contextlib.ExitStack() as cleanup,
    ):
        other = RestartableDeployment(other_folder, UpstreamServer("b", respond_after_20_ms))
        other.predecessor.environ["TMPDIR"] = one.predecessor.environ["TMPDIR"]
        other.predecessor.config["settings"] = with_other_classes(other.predecessor.config)
        cleanup.enter_context(other)
        assert len(list((one_folder / "t").glob("*.sock"))) == 2
        one_successor, other_successor = one.start_successor(ready=False), other.start_successor(ready=False)
        wait_until(lambda: is_running_and_ready(one_successor) and is_running_and_ready(other_successor))
        assert one.predecessor.end() == 0
        assert other.predecessor.end() == 0
        assert one_successor.send_class_request("pay").body == b"ok"
        assert other_successor.send_class_request("their-pay").body == b"ok"
        assert one_successor.send_class_request("their-pay").status == 400
        assert other_successor.send_class_request("pay").status == 400
        assert [len(server.seen) for server in (*one.deployment.upstreams, *other.deployment.upstreams)] == [
            1,
            1,
        ]


def test_a_takeover_ignores_the_list_of_another_discovery_server_and_values_stored_by_other_indexes(
    tmp_path: Path,
) -> None:
    """Each discovery server has its own versions: a long poll from another server's may wait forever."""
    b = UpstreamServer("b", respond_after_20_ms)
    other_discovery = DiscoveryServer([b.entry()])
    with RestartableDeployment(tmp_path, UpstreamServer("a", respond_after_20_ms)) as restartable:
        restartable.deployment.discovery.version = 50
        restartable.deployment.discovery.change(restartable.deployment.upstreams[0].entry(weight=2.0))
        values = json.loads(json.dumps(restartable.predecessor.config["settings"]))
        values["azs"].reverse()
        known = {"version": 0, "full": True, "servers": [b.entry()]}
        successor = restartable.start_successor(
            discovery=other_discovery.address, known=known, settings=values
        )
        assert "hot_restart_endpoint_list_ignored" in successor.log()
        assert restartable.predecessor.end() == 0
        wait_until(lambda: "hot_restart_handover_received" in successor.log())
        assert '"same_settings": false' in successor.log()
        wait_until(lambda: other_discovery.calls)
        assert "from=0" in other_discovery.calls[0]
        seen_before = len(b.seen)
        assert successor.send_class_request("pay").status == 200
        assert len(b.seen) == seen_before + 1
    other_discovery.close()
    b.close()


@pytest.mark.parametrize("first", ["old", "new"])
def test_an_id_that_one_process_accepts_after_the_handover_is_rejected_by_the_other(
    tmp_path: Path, first: str
) -> None:
    """Guards against a request that both processes of a hot restart executed."""

    def respond_slowly(_message: HttpMessage, wire: HttpConnection) -> bytes:
        wire.sock.settimeout(1.0)
        with contextlib.suppress(OSError):
            wire.sock.recv(1, socket.MSG_PEEK)
        return http_response(b"ok")

    data = http_request("/pay/k", "POST", "X-Trace-Id: same", "X-Expires-In: 2.0", body=b"body")
    with RestartableDeployment(tmp_path, server := UpstreamServer("a", respond_slowly)) as restartable:
        in_old = restartable.predecessor.connect()
        in_old.sock.sendall(data[:-1])
        successor = restartable.start_successor()
        assert restartable.predecessor.process
        restartable.predecessor.process.send_signal(signal.SIGTERM)
        wait_until(lambda: "hot_restart_handover_received" in successor.log())
        in_new = successor.connect()
        if first == "old":
            in_old.sock.sendall(data[-1:])
            wait_until(lambda: server.seen)
            in_new.sock.sendall(data)
        else:
            in_new.sock.sendall(data)
            wait_until(lambda: server.seen)
            in_old.sock.sendall(data[-1:])
        replies = [in_old.read(), in_new.read()]
        statuses = [reply.status for reply in replies if reply]
        assert statuses == ([200, 409] if first == "old" else [409, 200])
        assert len(server.seen) == 1
