"""Attempts against a stand-in endpoint: their outcomes, and what is checked before the first byte."""

import socket
from collections.abc import Callable

import gevent
import pytest

from linetrack.policy.events import EndpointStatus, Outcome
from linetrack.server.connection import Connection
from linetrack.server.descriptor_budget import RESERVED_DESCRIPTORS
from linetrack.server.memory_budget import COPIES_PER_LARGE_BODY
from linetrack.server.upstream_pool import PooledUpstream
from tests.server.running_attempts import DIAL_TIMEOUT, RunningAttempts, endpoint_record
from tests.support.http import HttpConnection, HttpMessage, http_response
from tests.support.servers import UpstreamServer, never_respond
from tests.support.units import MS, SECOND
from tests.support.waiting import TIMEOUT_SECONDS, run_until, wait_until

ENDLESS = (
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + b"ffff\r\n" + b"x" * 0xFFFF + b"\r\nffff\r\n"
)
OUTCOMES: list[tuple[str, bytes | None, Outcome]] = [
    ("served", http_response(b"ok"), Outcome.SUCCESS),
    ("an error", http_response(b"", 500), Outcome.ERROR),
    ("overloaded", http_response(b"", 503, "X-Never-Ran: 1"), Outcome.OVERLOADED),
    ("expired and not executed", http_response(b"", 504, "X-Never-Ran: 1"), Outcome.OVERLOADED),
    ("a 503 that may have run", http_response(b"", 503), Outcome.ERROR),
    ("a 500 that says it never ran", http_response(b"", 500, "X-Never-Ran: 1"), Outcome.ERROR),
    ("another status", http_response(b"", 404), Outcome.ERROR),
    ("closed", None, Outcome.RESET),
    ("no HTTP", b"SMTP\r\n\r\n", Outcome.ERROR),
    ("large", http_response(b"x" * 400_000), Outcome.SUCCESS),
    (
        "announced as too large",
        b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + b"x" * 9000,
        Outcome.ERROR,
    ),
    ("endless", ENDLESS + 520 * (b"x" * 0xFFFF + b"\r\nffff\r\n"), Outcome.RESET),
    ("endless head", b"HTTP/1.1 200 OK\r\nX-A: " + b"x" * 50_000, Outcome.ERROR),
    ("two lengths", http_response(b"ok", 200, "Content-Length: 9"), Outcome.ERROR),
    (
        "a nonsensical load report",
        http_response(b"ok", 200, "Endpoint-Load-Metrics: TEXT depth=lots"),
        Outcome.SUCCESS,
    ),
]


@pytest.mark.parametrize(
    ("reply", "outcome"), [case[1:] for case in OUTCOMES], ids=[case[0] for case in OUTCOMES]
)
def test_each_response_becomes_its_outcome(
    server: UpstreamServer, reply: bytes | None, outcome: Outcome
) -> None:
    server.script = lambda _request, _wire: reply
    attempts = RunningAttempts(server)
    attempts.start()
    assert attempts.outcomes() == [outcome]
    # a long one was streamed, and is not handed over a second time
    has_complete_response = outcome is Outcome.SUCCESS and not attempts.others
    assert (attempts.finished[0].response is not None) == has_complete_response
    assert attempts.finished[0].load_report == ()
    assert attempts.used() == attempts.idle()  # closed or idle, never lost


def cut_off(data: bytes) -> Callable[[HttpMessage, HttpConnection], bytes | None]:
    def script(_request: HttpMessage, wire: HttpConnection) -> None:
        wire.sock.sendall(data)

    return script


@pytest.mark.parametrize(
    "data", [b"HTTP/1.1 200", http_response(b"whole")[:-1], ENDLESS, b"HTTP/1.1 200 OK\r\n\r\n"]
)
def test_a_response_cut_off_may_have_run_and_goes_to_nobody(server: UpstreamServer, data: bytes) -> None:
    server.script = cut_off(data[:60_000])
    attempts = RunningAttempts(server)
    attempts.start()
    assert attempts.outcomes() == [Outcome.RESET]
    assert attempts.finished[0].response is None
    assert attempts.used() == 0


def test_a_load_report_comes_with_the_response(server: UpstreamServer) -> None:
    server.script = lambda _request, _wire: http_response(b"ok", 200, "Endpoint-Load-Metrics: TEXT depth=4")
    attempts = RunningAttempts(server)
    attempts.start()
    attempts.outcomes()
    assert attempts.finished[0].load_report == (4.0,)


def test_a_refused_connection_never_ran(server: UpstreamServer) -> None:
    server.close()
    attempts = RunningAttempts(server)
    attempts.start()
    assert attempts.outcomes() == [Outcome.CONNECT_FAILED]
    assert attempts.used() == 0


def test_a_connection_that_is_never_accepted_ends_at_the_dial_timeout() -> None:
    with socket.socket() as full:
        full.bind(("127.0.0.1", 0))
        full.listen(0)
        waiting = [socket.socket() for _ in range(4)]
        for sock in waiting:
            sock.setblocking(False)
            sock.connect_ex(full.getsockname())
        attempts = RunningAttempts()
        address = f"127.0.0.1:{full.getsockname()[1]}"
        attempts.pool.update_endpoints((endpoint_record("a", address),), True)
        attempts.start()
        assert attempts.outcomes() == [Outcome.CONNECT_FAILED]
        assert attempts.used() == 0
        assert attempts.finished[0].latency >= DIAL_TIMEOUT
        for sock in waiting:
            sock.close()


def test_a_response_that_has_begun_must_go_on(server: UpstreamServer) -> None:
    """It would hold its request and a descriptor until the request's deadline."""

    def stop(_request: HttpMessage, wire: HttpConnection) -> None:
        wire.sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\nx")
        wire.wait_for_close()

    server.script = stop
    attempts = RunningAttempts(server)
    attempts.start()
    assert attempts.outcomes() == [Outcome.ERROR]
    assert attempts.used() == attempts.budget.memory.reserved_bytes == 0
    assert 250 * MS <= attempts.finished[0].latency < 10 * SECOND


def test_large_responses_wait_for_memory(server: UpstreamServer) -> None:
    """Together they would need more memory than there is."""
    server.script = lambda _request, _wire: http_response(b"x" * 300_000)
    attempts = RunningAttempts(server)
    memory = attempts.budget.memory
    memory.max_bytes = 0
    peak_bytes = 0
    for _ in range(5):
        attempts.start()
    with gevent.Timeout(TIMEOUT_SECONDS):
        while len(attempts.finished) < 5 or memory.reserved_bytes:
            peak_bytes = max(peak_bytes, memory.reserved_bytes)
            gevent.sleep(0)
    assert attempts.outcomes(5) == [Outcome.SUCCESS] * 5
    assert peak_bytes <= COPIES_PER_LARGE_BODY * 300_000


def test_aborting_closes_the_connection_at_once(server: UpstreamServer) -> None:
    server.script = never_respond
    attempts = RunningAttempts(server)
    attempt = attempts.start()
    run_until(lambda: server.seen)
    attempt.has_ended = True
    attempts.runner.abort(attempt)
    # no other greenlet has run yet: a retry must not overtake the end of this attempt
    wait_until(lambda: server.closed)
    run_until(lambda: not attempts.used())
    assert not attempts.finished


def test_a_silent_endpoint_holds_up_nothing_else(server: UpstreamServer) -> None:
    other = UpstreamServer("b")
    server.script = never_respond
    attempts = RunningAttempts(server, other)
    for _ in range(10):
        attempts.start("a")
    attempts.start("b")
    assert attempts.outcomes() == [Outcome.SUCCESS]
    other.close()


@pytest.mark.parametrize("status", [EndpointStatus.DRAINING, EndpointStatus.REMOVED])
def test_nothing_is_written_to_what_began_to_drain(server: UpstreamServer, status: EndpointStatus) -> None:
    attempts = RunningAttempts(server)
    attempts.start()
    attempts.pool.update_endpoints((endpoint_record("a", server.address, status),), False)
    assert attempts.outcomes() == [Outcome.NOT_SENT]
    assert not server.seen


def test_nothing_is_written_once_a_drain_is_announced_while_dialling(
    server: UpstreamServer, monkeypatch: pytest.MonkeyPatch
) -> None:
    attempts = RunningAttempts(server)
    attempts.start()
    dial = attempts.pool.dial

    def dial_slowly(
        upstream: PooledUpstream, on_socket: Callable[[gevent.socket.socket], None]
    ) -> Connection:
        connection = dial(upstream, on_socket)
        draining = endpoint_record("a", server.address, EndpointStatus.DRAINING)
        attempts.pool.update_endpoints((draining,), False)
        return connection

    monkeypatch.setattr(attempts.pool, "dial", dial_slowly)
    assert attempts.outcomes() == [Outcome.NOT_SENT]
    assert not server.seen
    assert attempts.used() == 0


def test_nothing_is_written_once_the_time_or_the_request_is_over(server: UpstreamServer) -> None:
    attempts = RunningAttempts(server)
    attempts.start(timeout=0)
    attempts.start().request.is_completed = True
    assert attempts.outcomes(2) == [Outcome.NOT_SENT] * 2
    assert not server.seen


def test_without_a_descriptor_an_attempt_never_ran(server: UpstreamServer) -> None:
    server.script = never_respond
    attempts = RunningAttempts(server, sockets=RESERVED_DESCRIPTORS + 1)
    attempts.start()
    attempts.start()
    assert attempts.outcomes() == [Outcome.CONNECT_FAILED]


def test_nothing_is_sent_to_an_endpoint_removed_since_the_decision(server: UpstreamServer) -> None:
    attempts = RunningAttempts(server)
    attempts.start()
    attempts.pool.update_endpoints((), True)
    assert attempts.outcomes() == [Outcome.NOT_SENT]
    assert not server.connections
