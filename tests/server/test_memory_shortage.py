"""Requests while memory for large bodies is short: each gets its final response in time."""

from __future__ import annotations

import time

import gevent

from linetrack.server.active_request import FinalResponse
from linetrack.server.client_timeouts import REQUEST_TIMEOUT_US
from linetrack.server.clock import clock
from linetrack.server.listener import Listener
from tests.server.listener_client import StoppedDispatcher, connect
from tests.support.http import class_request
from tests.support.units import SECOND
from tests.support.waiting import run_until

LARGE_BODY = b"x" * 20_000


def exhaust_memory(listener: Listener) -> int:
    """Reserve all memory for large bodies, and return how many bytes that were."""
    memory = listener.budget.memory
    reserved = memory.max_bytes - memory.reserved_bytes
    memory.reserved_bytes = memory.max_bytes
    return reserved


def test_a_complete_request_that_waits_for_memory_is_not_closed_as_an_idle_connection(
    listener: Listener, dispatcher: StoppedDispatcher
) -> None:
    """Guards against review/6: the connection was closed, its greenlet went on, the process aborted."""
    reserved = exhaust_memory(listener)
    sock = connect(listener)
    sock.sendall(class_request(body=LARGE_BODY))
    run_until(lambda: listener.slots.busy_count)
    listener.close_expired(clock() + 2 * REQUEST_TIMEOUT_US)
    listener._evict()
    assert [connection.is_idle() for connection in listener.connections.values()] == [False]
    listener.budget.memory.release(reserved)
    run_until(lambda: dispatcher.requests)
    dispatcher.requests[0].reply(FinalResponse(200, b"done"))
    assert sock.recv(65536).startswith(b"HTTP/1.1 200")


def test_a_complete_request_is_rejected_if_it_gets_no_memory_in_a_quarter_of_its_time(
    listener: Listener, dispatcher: StoppedDispatcher
) -> None:
    """Guards against review/3: a complete request waited for memory without a limit."""
    exhaust_memory(listener)
    sock = connect(listener)
    started_at = time.monotonic()
    sock.sendall(class_request(expires="0.4", body=LARGE_BODY))
    assert sock.recv(65536).startswith(b"HTTP/1.1 503")
    assert 0.1 <= time.monotonic() - started_at < 0.4
    assert not dispatcher.requests
    sock.sendall(class_request())  # the connection is still of use
    run_until(lambda: dispatcher.requests)


def test_a_connection_that_is_closed_while_its_request_waits_for_memory_ends(
    listener: Listener, dispatcher: StoppedDispatcher
) -> None:
    """Guards against a watcher that starts on a closed descriptor, which aborts the process."""
    reserved = exhaust_memory(listener)
    sock = connect(listener)
    sock.sendall(class_request(expires=f"{20 * SECOND}", body=LARGE_BODY))
    run_until(lambda: listener.slots.busy_count)
    (connection,) = listener.connections.values()
    connection.sock.close()
    listener.budget.memory.release(reserved)
    run_until(lambda: not listener.connections)
    gevent.sleep(0)
    assert not dispatcher.requests
