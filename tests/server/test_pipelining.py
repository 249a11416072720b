"""Requests that arrive while an earlier one of their connection is being served."""

from __future__ import annotations

import gevent
import pytest

from linetrack.server import client_connection
from linetrack.server.active_request import FinalResponse
from linetrack.server.clock import clock
from linetrack.server.listener import Listener
from linetrack.server.memory_budget import MemoryBudget
from linetrack.server.read_ahead import MAX_READ_AHEAD_BYTES, READ_AHEAD_STEP_BYTES, ReadAhead
from tests.server.listener_client import StoppedDispatcher, connect
from tests.support.http import class_request
from tests.support.units import MS
from tests.support.waiting import run_until


@pytest.mark.parametrize("waiting_ms", [100, 400])
def test_the_time_of_a_request_starts_when_it_arrives_and_not_when_its_turn_comes(
    listener: Listener, dispatcher: StoppedDispatcher, monkeypatch: pytest.MonkeyPatch, waiting_ms: int
) -> None:
    """Guards against review/10: later requests were answered up to 1.5 s after their time."""
    sock = connect(listener)
    sock.sendall(class_request())
    run_until(lambda: dispatcher.requests)
    sock.sendall(class_request(expires="0.3", body=bytes(20_000)))
    (connection,) = listener.connections.values()
    run_until(lambda: connection.read_ahead.size > 20_000)
    monkeypatch.setattr(client_connection, "clock", lambda: clock() + waiting_ms * MS)
    dispatcher.requests[0].reply(FinalResponse(200, b"first"))
    assert sock.recv(65536).endswith(b"first")
    if waiting_ms < 300:
        run_until(lambda: len(dispatcher.requests) == 2)
        assert 0 < dispatcher.requests[1].received.timeout <= (300 - waiting_ms) * MS
    else:
        assert sock.recv(65536).startswith(b"HTTP/1.1 503")
        assert len(dispatcher.requests) == 1
    assert not connection.read_ahead.size


def test_what_is_read_ahead_is_bounded_and_given_back() -> None:
    memory = MemoryBudget(64)
    read_ahead = ReadAhead(memory)
    sock, peer = gevent.socket.socketpair()
    data = bytes(range(256)) * (2 * MAX_READ_AHEAD_BYTES // 256)
    may_read_more = True
    while may_read_more:
        peer.sendall(data[read_ahead.size :][:READ_AHEAD_STEP_BYTES])
        may_read_more = read_ahead.receive(sock)
    assert MAX_READ_AHEAD_BYTES <= read_ahead.size <= MAX_READ_AHEAD_BYTES + READ_AHEAD_STEP_BYTES
    assert memory.reserved_bytes == read_ahead.size
    segments = []
    while (segment := read_ahead.pop()) is not None:
        segments.append(segment.data)
    assert data.startswith(b"".join(segments))
    assert memory.reserved_bytes == read_ahead.size == 0
    sock.close()
    peer.close()
