"""Race conditions between the arrival of a request and the end or migration of its connection."""

from __future__ import annotations

import select
from collections.abc import Callable

import gevent
import pytest

from linetrack.policy.actions import RejectRequest
from linetrack.server.clock import clock
from tests.server.in_process import InProcessSidecar, wait_in_kernel
from tests.support.http import class_request
from tests.support.servers import never_respond
from tests.support.units import SECOND
from tests.support.waiting import run_until


@pytest.mark.parametrize("reason", ["deadline", "eviction"])
def test_a_request_that_arrives_as_its_connection_is_closed_is_served(
    sidecar: InProcessSidecar, reason: str
) -> None:
    """Closing a connection with unread bytes would reset it and lose the request."""
    if reason == "deadline":
        sock = sidecar.connect()
        run_until(lambda: sidecar.listener.connections)
    else:
        sock = sidecar.connect_and_exchange()
    connection = sidecar.only_connection()
    sidecar.policy.forward_all()
    gevent.sleep(0)
    sock.sendall(class_request(expires="20.0"))
    wait_in_kernel(connection.sock, select.POLLIN)
    if reason == "deadline":
        sidecar.listener.close_expired(connection.deadline)
    else:
        later = clock() + 10 * SECOND
        while slot := sidecar.listener.slots.select_eviction(later):
            assert slot is connection.slot
            assert not connection.is_idle()
            sidecar.listener.slots.begin_request(slot, later)
    assert sock.recv(65536).startswith(b"HTTP/1.1 200")


def test_a_connection_in_the_backlog_is_served_at_shutdown_although_no_slot_is_free(
    sidecar: InProcessSidecar,
) -> None:
    """A request in the backlog must not be lost because clients that send nothing occupy all slots."""
    sidecar.budget.descriptors.max_clients = 2
    silent_clients = [sidecar.connect(), sidecar.connect()]
    run_until(lambda: len(sidecar.listener.connections) == 2)
    assert sidecar.listener.listening_socket is not None
    address = sidecar.listener.listening_socket.getsockname()
    backlog_client = sidecar.connect()
    sidecar.policy.forward_all()
    backlog_client.sendall(class_request(expires="20.0"))
    sidecar.accepting.kill()
    sidecar.listener.close_between_requests()
    sidecar.listener.stop_accepting()
    assert backlog_client.recv(65536).startswith(b"HTTP/1.1 200")
    for sock in silent_clients:
        assert sock.recv(1) == b""
    with pytest.raises(ConnectionRefusedError):
        gevent.socket.create_connection(address)


def test_a_request_completed_during_the_shutdown_gets_its_response_before_the_deadline(
    sidecar: InProcessSidecar,
) -> None:
    """A request whose timeout ends after the process does would be left without a response."""
    sock = sidecar.connect()
    sidecar.dispatcher.shutdown_deadline = clock() + SECOND
    sidecar.send_request(sock)
    assert sidecar.policy.received_requests()[-1].timeout <= SECOND
    sidecar.dispatcher.shutdown_deadline = clock()
    late_client = sidecar.connect()
    late_client.sendall(class_request(expires="20.0"))
    assert late_client.recv(65536).startswith(b"HTTP/1.1 503")
    assert len(sidecar.policy.received_requests()) == 1
    # The timeout of a request with a streamed body starts with the body's last byte.
    sidecar.budget.memory.max_bytes = 0
    sidecar.dispatcher.shutdown_deadline = clock() + 2 * SECOND
    sidecar.upstream.script = never_respond
    slow = sidecar.connect()
    request_id = sidecar.send_request(slow, class_request(expires="20.0", body=b"x" * 100_000))
    sidecar.start_attempt(request_id)
    run_until(lambda: sidecar.upstream.seen)
    run_until(
        lambda: (
            sidecar.dispatcher.active_requests[request_id].deadline <= sidecar.dispatcher.shutdown_deadline
        )
    )


@pytest.mark.parametrize("reason", ["deadline", "migration"])
def test_a_request_completed_as_its_greenlet_is_interrupted_gets_its_response(
    sidecar: InProcessSidecar, reason: str
) -> None:
    """A greenlet must not be interrupted if it no longer waits for a request but for a response.

    The rest of a request may be read between the decision to interrupt and the interrupt.
    """
    sock = sidecar.connect_and_exchange()
    connection = sidecar.only_connection()
    scheduled: list[Callable[[], None]] = []
    run_soon, sidecar.listener.run_soon = sidecar.listener.run_soon, scheduled.append
    data = class_request(expires="20.0")
    if reason == "deadline":
        sock.sendall(data[:20])
        run_until(lambda: connection.reader.has_partial_request)
        connection.expire()
        data = data[20:]
    else:
        sidecar.listener.migrate_connections(lambda _fd, _response_count: True)
    (interrupt,) = scheduled
    request_id = sidecar.send_request(sock, data)
    run_soon(interrupt)
    gevent.sleep(0)
    sidecar.listener.migrate = None
    sidecar.dispatcher.perform(RejectRequest(request_id, 0))
    assert sock.recv(65536).startswith(b"HTTP/1.1 503")
