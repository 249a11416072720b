"""The client connections of a listener in this process: accepting, eviction, timeouts, large requests."""

import contextlib
import socket

import gevent
import pytest

from linetrack.server import client_timeouts
from linetrack.server import listener as listener_module
from linetrack.server.active_request import FinalResponse
from linetrack.server.clock import clock
from linetrack.server.listener import Listener
from linetrack.server.sockets import is_readable
from tests.server.listener_client import StoppedDispatcher, connect, exchange
from tests.support.http import class_request
from tests.support.units import MS
from tests.support.waiting import TIMEOUT_SECONDS, run_until

READINESS_CHECK = b"GET /_health HTTP/1.1\r\n\r\n"


# --- Accepting and eviction --------------------------------------------------------------------------


def test_the_oldest_idle_connection_is_evicted_only_for_one_in_the_backlog(listener: Listener) -> None:
    # No idle connection may be closed while no other needs its slot, nor a newer one before an older one.
    listener.budget.descriptors.max_clients = 3
    first, second, third = (connect(listener) for _ in range(3))
    run_until(lambda: len(listener.connections) >= 3)
    gevent.sleep(5 * listener_module.ACCEPT_RETRY_SECONDS)
    assert len(listener.connections) == 3
    fourth = connect(listener)
    assert first.recv(1) == b""
    for sock in (second, third, fourth):
        sock.sendall(READINESS_CHECK)
        assert sock.recv(65536).startswith(b"HTTP/1.1 200")


def test_connections_without_a_request_are_evicted_first(
    listener: Listener, dispatcher: StoppedDispatcher
) -> None:
    # Hundreds of connections that send nothing must not take the slots of those that send requests.
    listener.budget.descriptors.max_clients = 20
    active = connect(listener)
    exchange(dispatcher, active)
    silent_clients = [connect(listener) for _ in range(100)]
    newest = connect(listener)
    newest.sendall(READINESS_CHECK)
    assert newest.recv(65536).startswith(b"HTTP/1.1 200")
    assert not is_readable(active)
    assert is_readable(silent_clients[0])
    exchange(dispatcher, active)


def test_idle_connections_are_evicted_although_newer_ones_arrive(
    listener: Listener, dispatcher: StoppedDispatcher
) -> None:
    # New connections, which are not evicted yet, must not protect those that stay open after one request.
    listener.budget.descriptors.max_clients = 10
    for _ in range(30):
        exchange(dispatcher, connect(listener))
        connect(listener).sendall(b"GET")
    assert len(listener.connections) <= 10


def test_all_connections_in_the_backlog_are_accepted_in_one_turn(listener: Listener) -> None:
    # Each connection in the backlog must not have to wait for a turn of its own of a busy event loop.
    gevent.sleep(0.01)
    assert listener.listening_socket is not None
    clients = [socket.create_connection(listener.listening_socket.getsockname()) for _ in range(40)]
    gevent.sleep(0.001)
    accepted_count = len(listener.connections)
    for sock in clients:
        sock.close()
    assert accepted_count == 40


# --- Timeouts ----------------------------------------------------------------------------------------


def test_a_silent_client_is_closed_and_one_with_a_pending_request_is_not(
    listener: Listener, dispatcher: StoppedDispatcher, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Silent clients must not hold their slots forever, but connections with pending requests stay open.
    monkeypatch.setattr(client_timeouts, "REQUEST_TIMEOUT_US", 150 * MS)
    gevent.spawn(listener.sweep)
    silent, active = connect(listener), connect(listener)
    active.sendall(class_request())
    assert silent.recv(1) == b""
    run_until(lambda: dispatcher.requests)
    gevent.sleep(0.4)
    dispatcher.requests[0].reply(FinalResponse(200, b"late"))
    assert active.recv(65536).endswith(b"late")
    assert active.recv(1) == b""  # closed after it was idle
    run_until(lambda: not listener.connections)


@pytest.mark.parametrize("is_first_request", [True, False])
def test_a_request_that_arrives_byte_by_byte_times_out(
    listener: Listener,
    dispatcher: StoppedDispatcher,
    monkeypatch: pytest.MonkeyPatch,
    is_first_request: bool,
) -> None:
    # The timeout must not start again with each byte.
    monkeypatch.setattr(client_timeouts, "REQUEST_TIMEOUT_US", 300 * MS)
    gevent.spawn(listener.sweep)
    sock = connect(listener)
    if not is_first_request:
        sock.sendall(READINESS_CHECK)
        sock.recv(65536)
    started_at = clock()
    data = iter(class_request(body=b"x" * 10_000))
    with gevent.Timeout(TIMEOUT_SECONDS), contextlib.suppress(OSError):
        while not is_readable(sock):
            sock.sendall(bytes([next(data)]))
            gevent.sleep(0.01)
    assert sock.recv(65536).startswith(b"HTTP/1.1 408")
    assert sock.recv(1) == b""
    assert not dispatcher.requests
    assert clock() - started_at >= 150 * MS


def test_a_client_that_reads_no_responses_is_closed(
    listener: Listener, dispatcher: StoppedDispatcher, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(client_timeouts, "REQUEST_TIMEOUT_US", 50 * MS)
    gevent.spawn(listener.sweep)
    sock = connect(listener)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    with gevent.Timeout(TIMEOUT_SECONDS), contextlib.suppress(OSError):
        for _ in range(200):
            sock.sendall(class_request())
            gevent.sleep(0.005)
            for request in dispatcher.requests:
                request.reply(FinalResponse(200, b"x" * 65536))
            dispatcher.queue.clear()
            if not listener.connections:
                break
    run_until(lambda: not listener.connections)


# --- Large requests ----------------------------------------------------------------------------------


def test_large_requests_wait_for_memory_and_small_ones_do_not(
    listener: Listener, dispatcher: StoppedDispatcher
) -> None:
    # All large requests together must not need more memory than there is.
    memory = listener.budget.memory
    memory.max_bytes = 300_000
    first, second, small = (connect(listener) for _ in range(3))
    first.sendall(class_request(body=b"x" * 60_000))
    run_until(lambda: len(dispatcher.requests) == 1)
    second.sendall(class_request(body=b"y" * 60_000))
    gevent.sleep(0.05)
    small.sendall(class_request(body=b"z" * 1000))
    run_until(lambda: len(dispatcher.requests) == 2)
    assert dispatcher.requests[1].request.body == b"z" * 1000
    dispatcher.requests[0].reply(FinalResponse(200, b"done"))
    run_until(lambda: len(dispatcher.requests) == 3)
    assert dispatcher.requests[2].request.body == b"y" * 60_000
    second.close()
    dispatcher.requests[2].reply(FinalResponse(200, b"done"))
    run_until(lambda: memory.reserved_bytes == 0)
