"""The upstream pool with stand-in endpoints: which connections are reused or closed, and its endpoints."""

import time
from functools import partial

import gevent
import pytest

from linetrack.policy.events import EndpointStatus, Outcome
from linetrack.server import upstream_pool
from linetrack.server.descriptor_budget import RESERVED_DESCRIPTORS
from linetrack.server.sockets import is_readable
from tests.server.running_attempts import RunningAttempts, endpoint_record, wait_until_reusable
from tests.support.http import HttpConnection, HttpMessage, http_response
from tests.support.servers import UpstreamServer, never_respond
from tests.support.units import MS, SECOND
from tests.support.waiting import run_until


def test_an_idle_connection_is_reused_unless_the_upstream_closes_it(server: UpstreamServer) -> None:
    attempts = RunningAttempts(server)
    for count in (1, 2):
        attempts.start()
        attempts.wait_for_outcomes(count)
        wait_until_reusable()
    assert len(server.connections) == 1
    assert attempts.idle_count() == attempts.descriptors_in_use() == 1
    server.script = lambda _request, _wire: http_response(b"ok", 200, "Connection: close")
    attempts.start()
    attempts.wait_for_outcomes(3)
    assert attempts.idle_count() == attempts.descriptors_in_use() == 0


def test_a_connection_closed_by_the_endpoint_is_not_reused(server: UpstreamServer) -> None:
    """The request would end as a reset and, as it may have been executed, could not be retried."""

    def script(_request: HttpMessage, wire: HttpConnection) -> None:
        wire.sock.sendall(http_response(b"ok"))

    server.script = script
    attempts = RunningAttempts(server)
    for count in range(1, 6):
        attempts.start()
        attempts.wait_for_outcomes(count)
        run_until(partial(lambda closed: server.closed >= closed, count))
    assert attempts.wait_for_outcomes(5) == [Outcome.SUCCESS] * 5
    assert len(server.connections) == 5


def test_a_connection_with_a_second_response_to_one_request_is_not_reused(server: UpstreamServer) -> None:
    server.script = lambda _request, _wire: http_response(b"ok") + http_response(b"not yours")
    attempts = RunningAttempts(server)
    attempts.start()
    attempts.wait_for_outcomes()
    attempts.start()
    assert attempts.wait_for_outcomes(2) == [Outcome.SUCCESS] * 2
    assert attempts.response_bodies() == [b"ok", b"ok"]
    assert len(server.connections) == 2


@pytest.mark.parametrize("after", [0.0, 0.003])
def test_stray_bytes_after_a_response_reach_no_other_request(
    server: UpstreamServer, after: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A stray response may arrive between the last check of a connection and the next write on it."""
    # The reuse delay is longer than the test takes, so that the result does not depend on the machine's load.
    monkeypatch.setattr(upstream_pool, "REUSE_DELAY_US", 60 * SECOND)

    def script(request: HttpMessage, wire: HttpConnection) -> bytes:
        wire.sock.sendall(http_response(request.headers["x-trace-id"].encode()))
        time.sleep(after)
        return http_response(b"stray")

    server.script = script
    attempts = RunningAttempts(server)
    for count in range(1, 6):
        attempts.start()
        attempts.wait_for_outcomes(count)
        gevent.sleep(after / 2)
    assert attempts.response_bodies() == [b"1"] * 5


@pytest.mark.parametrize("copy_delay_ms", [6, 8, 20])
def test_a_second_copy_some_milliseconds_late_reaches_no_other_request(
    server: UpstreamServer, copy_delay_ms: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against review/7: the connection was reused before the copy came, which was then served."""
    attempts = RunningAttempts(server)
    attempts.start()
    attempts.wait_for_outcomes()
    upstream = attempts.pool.endpoints["a"]
    (connection,) = upstream.idle
    # The copy is under way: the connection is not readable yet, and must not be reused.
    monkeypatch.setattr(upstream_pool, "clock", lambda: connection.idle_since + copy_delay_ms * MS - 1)
    assert attempts.pool.take_idle(upstream) is None
    server.connections[0].sendall(http_response(b"copy"))
    run_until(partial(is_readable, connection.sock))
    monkeypatch.setattr(upstream_pool, "clock", lambda: connection.idle_since + SECOND)
    assert attempts.pool.take_idle(upstream) is None
    assert attempts.descriptors_in_use() == 0


def test_a_connection_idle_for_longer_than_the_keep_alive_is_not_reused(server: UpstreamServer) -> None:
    attempts = RunningAttempts(server, keep_alive=0)
    attempts.start()
    attempts.wait_for_outcomes()
    gevent.sleep(0.002)
    attempts.start()
    attempts.wait_for_outcomes(2)
    assert len(server.connections) == 2


def test_the_oldest_idle_connection_is_closed_if_no_descriptor_is_free() -> None:
    servers = [UpstreamServer(name) for name in "abc"]
    attempts = RunningAttempts(*servers, sockets=RESERVED_DESCRIPTORS + 2)
    for count, name in enumerate("abc", 1):
        attempts.start(name)
        attempts.wait_for_outcomes(count)
    assert attempts.wait_for_outcomes(3) == [Outcome.SUCCESS] * 3
    assert [attempts.idle_count(name) for name in "abc"] == [0, 1, 1]
    assert attempts.descriptors_in_use() == 2
    for server in servers:
        server.close()


def test_a_closed_socket_counts_as_readable() -> None:
    """A closed socket must not be reused: its descriptor number may belong to another connection by then."""
    sock, peer = gevent.socket.socketpair()
    assert not is_readable(sock)
    sock.close()
    assert is_readable(sock)
    peer.close()


def test_a_connection_to_an_earlier_address_is_not_reused(server: UpstreamServer) -> None:
    """A response may arrive after the address of the endpoint has changed."""
    server.script = never_respond
    attempts = RunningAttempts(server)
    attempts.start()
    run_until(lambda: server.seen)
    attempts.pool.update_endpoints((endpoint_record("a", "127.0.0.1:9"),), False)
    server.connections[0].sendall(http_response(b"ok"))
    assert attempts.wait_for_outcomes() == [Outcome.SUCCESS]
    assert attempts.idle_count() == attempts.descriptors_in_use() == 0


def test_a_connection_of_a_removed_endpoint_is_never_used_for_another_endpoint(
    server: UpstreamServer,
) -> None:
    """A new endpoint with the same name or address must not get connections of the removed one."""
    server.script = never_respond
    attempts = RunningAttempts(server)
    pool = attempts.pool
    attempts.start()
    run_until(lambda: server.seen)
    pool.update_endpoints((endpoint_record("a", "127.0.0.1:9", EndpointStatus.REMOVED),), False)
    assert not pool.endpoints
    both = (endpoint_record("a", server.address), endpoint_record("b", server.address))
    pool.update_endpoints(both, False)
    server.script = lambda _request, _wire: http_response(b"new")
    server.connections[0].sendall(http_response(b"old"))
    assert attempts.wait_for_outcomes() == [Outcome.SUCCESS]
    assert attempts.idle_count("a") == attempts.idle_count("b") == attempts.descriptors_in_use() == 0
    attempts.start("b")
    attempts.wait_for_outcomes(2)
    assert len(server.connections) == 2
    assert attempts.idle_count("b") == 1
    pool.update_endpoints((), True)
    assert not pool.endpoints
    assert attempts.descriptors_in_use() == 0
