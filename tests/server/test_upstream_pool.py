"""Connections to stand-in endpoints: which are reused, which are closed, and which endpoints are known."""

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
from tests.support.units import SECOND
from tests.support.waiting import run_until


def test_connections_are_reused_the_newest_first(server: UpstreamServer) -> None:
    attempts = RunningAttempts(server)
    for count in (1, 2):
        attempts.start()
        attempts.outcomes(count)
        wait_until_reusable()
    assert len(server.connections) == 1
    assert attempts.idle() == attempts.used() == 1
    server.script = lambda _request, _wire: http_response(b"ok", 200, "Connection: close")
    attempts.start()
    attempts.outcomes(3)
    assert attempts.idle() == attempts.used() == 0


def test_a_connection_that_the_endpoint_closed_is_not_reused(server: UpstreamServer) -> None:
    """The request would end as a reset, and may then have run."""

    def script(_request: HttpMessage, wire: HttpConnection) -> None:
        wire.sock.sendall(http_response(b"ok"))

    server.script = script
    attempts = RunningAttempts(server)
    for count in range(1, 6):
        attempts.start()
        attempts.outcomes(count)
        run_until(partial(lambda closed: server.closed >= closed, count))
    assert attempts.outcomes(5) == [Outcome.SUCCESS] * 5
    assert len(server.connections) == 5


def test_a_second_response_to_one_request_spoils_the_connection(server: UpstreamServer) -> None:
    server.script = lambda _request, _wire: http_response(b"ok") + http_response(b"not yours")
    attempts = RunningAttempts(server)
    attempts.start()
    attempts.outcomes()
    attempts.start()
    assert attempts.outcomes(2) == [Outcome.SUCCESS] * 2
    assert attempts.bodies() == [b"ok", b"ok"]
    assert len(server.connections) == 2


@pytest.mark.parametrize("after", [0.0, 0.003])
def test_what_follows_a_response_reaches_no_other_request(
    server: UpstreamServer, after: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A stray response may come between the last look at a connection and the next write on it."""
    # a delay that a busy machine does not outlast, so that the verdict is the same on any
    monkeypatch.setattr(upstream_pool, "REUSE_DELAY_US", 60 * SECOND)

    def script(request: HttpMessage, wire: HttpConnection) -> bytes:
        wire.sock.sendall(http_response(request.headers["x-trace-id"].encode()))
        time.sleep(after)
        return http_response(b"stray")

    server.script = script
    attempts = RunningAttempts(server)
    for count in range(1, 6):
        attempts.start()
        attempts.outcomes(count)
        gevent.sleep(after / 2)
    assert attempts.bodies() == [b"1"] * 5


def test_a_connection_is_idle_for_less_than_the_keep_alive(server: UpstreamServer) -> None:
    attempts = RunningAttempts(server, keep_alive=0)
    attempts.start()
    attempts.outcomes()
    gevent.sleep(0.002)
    attempts.start()
    attempts.outcomes(2)
    assert len(server.connections) == 2


def test_idle_connections_are_closed_for_want_of_descriptors() -> None:
    servers = [UpstreamServer(name) for name in "abc"]
    attempts = RunningAttempts(*servers, sockets=RESERVED_DESCRIPTORS + 2)
    for count, name in enumerate("abc", 1):
        attempts.start(name)
        attempts.outcomes(count)
    assert attempts.outcomes(3) == [Outcome.SUCCESS] * 3
    assert [attempts.idle(name) for name in "abc"] == [0, 1, 1]
    assert attempts.used() == 2
    for server in servers:
        server.close()


def test_a_socket_closed_here_cannot_be_reused() -> None:
    """Its descriptor may be another connection's by then."""
    one, other = gevent.socket.socketpair()
    assert not is_readable(one)
    one.close()
    assert is_readable(one)
    other.close()


def test_a_connection_to_an_earlier_address_is_not_kept(server: UpstreamServer) -> None:
    """A response may come after the endpoint has moved, and its connection leads to the old address."""
    server.script = never_respond
    attempts = RunningAttempts(server)
    attempts.start()
    run_until(lambda: server.seen)
    attempts.pool.update_endpoints((endpoint_record("a", "127.0.0.1:9"),), False)
    server.connections[0].sendall(http_response(b"ok"))
    assert attempts.outcomes() == [Outcome.SUCCESS]
    assert attempts.idle() == attempts.used() == 0


def test_a_removed_endpoint_is_forgotten_and_its_connection_never_used_for_another(
    server: UpstreamServer,
) -> None:
    """A new endpoint of the same name or at the same address would get the old one's connections."""
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
    assert attempts.outcomes() == [Outcome.SUCCESS]
    assert attempts.idle("a") == attempts.idle("b") == attempts.used() == 0
    attempts.start("b")
    attempts.outcomes(2)
    assert len(server.connections) == 2
    assert attempts.idle("b") == 1
    pool.update_endpoints((), True)
    assert not pool.endpoints
    assert attempts.used() == 0
