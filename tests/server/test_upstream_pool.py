"""Attempts against a stand-in: which outcome each end becomes, pools, and the guards before the write."""

import socket
import time
from collections.abc import Callable, Iterator
from functools import partial

import gevent
import pytest

from linetrack.policy.events import EndpointStatus, Outcome, RequestReceived
from linetrack.server import upstream_pool as upstreams_module
from linetrack.server.budget import COPIES, RESERVE, Budget
from linetrack.server.clock import clock
from linetrack.server.connection import ResponseStream, readable
from linetrack.server.address import parse_address
from linetrack.server.endpoint_list import EndpointRecord
from linetrack.server.http1.errors import MalformedMessageError
from linetrack.server.http1.requests import ClientRequest
from linetrack.server.dispatcher import Attempt, FinishedAttempt, ActiveRequest, SentBody, StartedResponse
from linetrack.server.upstream_pool import REST, UpstreamPool
from tests.stand_ins import MS, PATIENCE, SECOND, Message, Upstream, Wire, answer, silent, turns_until, until

GET = ClientRequest("GET", "/look/k", "1")


def member(name: str, where: str, health: EndpointStatus = EndpointStatus.UP) -> EndpointRecord:
    return EndpointRecord(name, parse_address(where), "north", "plain", 1, health, 1.0, 0)


class Pool:
    """Upstreams under test, and what the owner would be told."""

    def __init__(self, *servers: Upstream, sockets: int = 1024, keep_alive: int = 30 * SECOND) -> None:
        self.servers = servers
        self.done: list[FinishedAttempt] = []
        self.told: list[SentBody | StartedResponse] = []
        self.budget = Budget(sockets, 192)
        self.upstreams = UpstreamPool(self.budget, 250 * MS, keep_alive, ("depth",), self.tell)
        self.upstreams.learn(tuple(member(s.name, s.address) for s in servers), True)

    def tell(self, what: FinishedAttempt | SentBody | StartedResponse, seen: int) -> None:
        if isinstance(what, FinishedAttempt):
            self.done.append(what)
            return
        self.told.append(what)
        if isinstance(what, StartedResponse):
            what.attempt.begun = True
            gevent.spawn(self.take, what.stream)

    def take(self, stream: ResponseStream) -> None:
        """In the client's place: a long answer, to its end."""
        try:
            while stream.next():
                pass
        except (OSError, MalformedMessageError):
            stream.end(Outcome.RESET)
        stream.end(Outcome.SUCCESS)

    def attempt(self, name: str = "a", patience: int = 20 * SECOND) -> Attempt:
        now = clock()
        open_ = ActiveRequest(RequestReceived(1, 0, patience), GET, now, lambda final: None)
        attempt = Attempt(open_, name, now, open_.until)
        open_.attempts.append(attempt)
        self.upstreams.start(attempt)
        return attempt

    def ends(self, count: int = 1) -> list[Outcome]:
        turns_until(lambda: len(self.done) >= count)
        gevent.sleep(0)
        return [done.outcome for done in self.done]

    def used(self) -> int:
        return self.budget.used

    def idle(self, name: str = "a") -> int:
        return len(self.upstreams.known[name].idle)


def rest() -> None:
    """Until what was answered on may be used again."""
    gevent.sleep(2 * REST / SECOND)


@pytest.fixture
def server() -> Iterator[Upstream]:
    made = Upstream("a")
    yield made
    made.close()


ENDLESS = (
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + b"ffff\r\n" + b"x" * 0xFFFF + b"\r\nffff\r\n"
)
ENDS: list[tuple[str, bytes | None, Outcome]] = [
    ("served", answer(b"ok"), Outcome.SUCCESS),
    ("an error", answer(b"", 500), Outcome.ERROR),
    ("turned away", answer(b"", 503, "X-Never-Ran: 1"), Outcome.OVERLOADED),
    ("turned away as over", answer(b"", 504, "X-Never-Ran: 1"), Outcome.OVERLOADED),
    ("a 503 that does not say so", answer(b"", 503), Outcome.ERROR),
    ("an error that says so", answer(b"", 500, "X-Never-Ran: 1"), Outcome.ERROR),
    ("another status", answer(b"", 404), Outcome.ERROR),
    ("closed", None, Outcome.RESET),
    ("no HTTP", b"SMTP\r\n\r\n", Outcome.ERROR),
    ("large", answer(b"x" * 400_000), Outcome.SUCCESS),
    (
        "said to be too large",
        b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + b"x" * 9000,
        Outcome.ERROR,
    ),
    ("endless", ENDLESS + 520 * (b"x" * 0xFFFF + b"\r\nffff\r\n"), Outcome.RESET),
    ("endless head", b"HTTP/1.1 200 OK\r\nX-A: " + b"x" * 50_000, Outcome.ERROR),
    ("two lengths", answer(b"ok", 200, "Content-Length: 9"), Outcome.ERROR),
    ("a nonsensical report", answer(b"ok", 200, "Endpoint-Load-Metrics: TEXT depth=lots"), Outcome.SUCCESS),
]


@pytest.mark.parametrize(("reply", "outcome"), [end[1:] for end in ENDS], ids=[end[0] for end in ENDS])
def test_each_end_becomes_its_outcome(server: Upstream, reply: bytes | None, outcome: Outcome) -> None:
    server.script = lambda request, wire: reply
    pool = Pool(server)
    pool.attempt()
    assert pool.ends() == [outcome]
    # a long one went on as it came, and is not handed over a second time
    assert (pool.done[0].answer is not None) == (outcome is Outcome.SUCCESS and not pool.told)
    assert pool.done[0].report == ()
    assert pool.used() == pool.idle()  # closed or kept, never lost


def cut(data: bytes) -> Callable[[Message, Wire], bytes | None]:
    def script(request: Message, wire: Wire) -> None:
        wire.sock.sendall(data)

    return script


@pytest.mark.parametrize(
    "data", [b"HTTP/1.1 200", answer(b"whole")[:-1], ENDLESS, b"HTTP/1.1 200 OK\r\n\r\n"]
)
def test_an_answer_cut_short_may_have_run_and_goes_to_nobody(server: Upstream, data: bytes) -> None:
    server.script = cut(data[:60_000])
    pool = Pool(server)
    pool.attempt()
    assert pool.ends() == [Outcome.RESET] and pool.done[0].answer is None
    assert pool.used() == 0


def test_a_report_comes_with_the_answer(server: Upstream) -> None:
    server.script = lambda request, wire: answer(b"ok", 200, "Endpoint-Load-Metrics: TEXT depth=4")
    pool = Pool(server)
    pool.attempt()
    pool.ends()
    assert pool.done[0].report == (4.0,)


def test_a_refused_connection_never_ran(server: Upstream) -> None:
    server.close()
    pool = Pool(server)
    pool.attempt()
    assert pool.ends() == [Outcome.CONNECT_FAILED] and pool.used() == 0


def test_a_connection_that_never_comes_up_ends_at_the_settings_time() -> None:
    with socket.socket() as full:
        full.bind(("127.0.0.1", 0))
        full.listen(0)
        waiting = [socket.socket() for _ in range(4)]
        for sock in waiting:
            sock.setblocking(False)
            sock.connect_ex(full.getsockname())
        pool = Pool()
        pool.upstreams.learn((member("a", f"127.0.0.1:{full.getsockname()[1]}"),), True)
        pool.attempt()
        assert pool.ends() == [Outcome.CONNECT_FAILED] and pool.used() == 0
        assert pool.done[0].latency >= 250 * MS
        for sock in waiting:
            sock.close()


def test_connections_are_used_again_the_newest_first(server: Upstream) -> None:
    pool = Pool(server)
    for count in (1, 2):
        pool.attempt()
        pool.ends(count)
        rest()
    assert len(server.connections) == 1 and pool.idle() == pool.used() == 1
    server.script = lambda request, wire: answer(b"ok", 200, "Connection: close")
    pool.attempt()
    pool.ends(3)
    assert pool.idle() == pool.used() == 0


def test_a_connection_that_the_upstream_closed_is_not_used(server: Upstream) -> None:
    # guards against a stale connection: the request would end as a reset that may have run
    def script(request: Message, wire: Wire) -> None:
        wire.sock.sendall(answer(b"ok"))

    server.script = script
    pool = Pool(server)
    for count in range(1, 6):
        pool.attempt()
        pool.ends(count)
        turns_until(partial(lambda closed: server.closed >= closed, count))
    assert pool.ends(5) == [Outcome.SUCCESS] * 5 and len(server.connections) == 5


def test_a_second_answer_that_nobody_asked_for_spoils_the_connection(server: Upstream) -> None:
    server.script = lambda request, wire: answer(b"ok") + answer(b"not yours")
    pool = Pool(server)
    pool.attempt()
    pool.ends()
    pool.attempt()
    assert pool.ends(2) == [Outcome.SUCCESS] * 2
    assert [done.answer.body for done in pool.done if done.answer] == [b"ok", b"ok"]
    assert len(server.connections) == 2


@pytest.mark.parametrize("after", [0.0, 0.003])
def test_what_comes_behind_an_answer_reaches_no_other_request(
    server: Upstream, after: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    # guards against a stray answer that comes between the last look at a connection and the next write on it;
    # a rest that a busy machine does not outlast, so that the verdict is the same on any
    monkeypatch.setattr(upstreams_module, "REST", 60 * SECOND)

    def script(request: Message, wire: Wire) -> bytes:
        wire.sock.sendall(answer(request.headers["x-trace-id"].encode()))
        time.sleep(after)
        return answer(b"stray")

    server.script = script
    pool = Pool(server)
    for count in range(1, 6):
        pool.attempt()
        pool.ends(count)
        gevent.sleep(after / 2)
    assert [done.answer.body for done in pool.done if done.answer] == [b"1"] * 5


def test_an_answer_that_has_begun_must_go_on(server: Upstream) -> None:
    # guards against a spoilt answer that holds its request and a descriptor until the request's time is over
    def stop(request: Message, wire: Wire) -> None:
        wire.sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\nx")
        wire.ended()

    server.script = stop
    pool = Pool(server)
    pool.attempt()
    assert pool.ends() == [Outcome.ERROR] and pool.used() == pool.budget.held == 0
    assert 250 * MS <= pool.done[0].latency < 10 * SECOND


def test_large_answers_wait_for_room(server: Upstream) -> None:
    # guards against large answers that together need more memory than there is
    server.script = lambda request, wire: answer(b"x" * 300_000)
    pool = Pool(server)
    pool.budget.most_held = 0
    most = 0
    for _ in range(5):
        pool.attempt()
    with gevent.Timeout(PATIENCE):
        while len(pool.done) < 5 or pool.budget.held:
            most = max(most, pool.budget.held)
            gevent.sleep(0)
    assert pool.ends(5) == [Outcome.SUCCESS] * 5
    assert most <= COPIES * 300_000


def test_a_connection_stands_idle_for_less_than_the_keep_alive(server: Upstream) -> None:
    pool = Pool(server, keep_alive=0)
    pool.attempt()
    pool.ends()
    gevent.sleep(0.002)
    pool.attempt()
    pool.ends(2)
    assert len(server.connections) == 2


def test_giving_up_closes_the_connection_at_once(server: Upstream) -> None:
    server.script = silent
    pool = Pool(server)
    attempt = pool.attempt()
    turns_until(lambda: server.seen)
    attempt.ended = True
    pool.upstreams.give_up(attempt)
    # no other greenlet has run yet: guards against a further attempt overtaking the end of this one
    until(lambda: server.closed)
    turns_until(lambda: not pool.used())
    assert not pool.done


def test_a_silent_upstream_holds_up_nothing_else(server: Upstream) -> None:
    other = Upstream("b")
    server.script = silent
    pool = Pool(server, other)
    for _ in range(10):
        pool.attempt("a")
    pool.attempt("b")
    assert pool.ends() == [Outcome.SUCCESS]
    other.close()


@pytest.mark.parametrize("health", [EndpointStatus.DRAINING, EndpointStatus.REMOVED])
def test_nothing_is_written_to_what_began_to_drain(server: Upstream, health: EndpointStatus) -> None:
    pool = Pool(server)
    pool.attempt()
    pool.upstreams.learn((member("a", server.address, health),), False)
    assert pool.ends() == [Outcome.NOT_SENT] and not server.seen


def test_nothing_is_written_once_drain_is_told_while_dialling(server: Upstream) -> None:
    pool = Pool(server)
    pool.attempt()
    dial = pool.upstreams._dial

    def slow(*args: object) -> object:
        connection = dial(*args)  # type: ignore[arg-type]
        pool.upstreams.learn((member("a", server.address, EndpointStatus.DRAINING),), False)
        return connection

    pool.upstreams._dial = slow  # type: ignore[assignment,method-assign]
    assert pool.ends() == [Outcome.NOT_SENT] and not server.seen and pool.used() == 0


def test_nothing_is_written_once_the_time_or_the_request_is_over(server: Upstream) -> None:
    pool = Pool(server)
    pool.attempt(patience=0)
    pool.attempt().open.over = True
    assert pool.ends(2) == [Outcome.NOT_SENT] * 2 and not server.seen


def test_idle_connections_are_closed_for_want_of_descriptors() -> None:
    servers = [Upstream(name) for name in "abc"]
    pool = Pool(*servers, sockets=RESERVE + 2)
    for count, name in enumerate("abc", 1):
        pool.attempt(name)
        pool.ends(count)
    assert pool.ends(3) == [Outcome.SUCCESS] * 3
    assert [pool.idle(name) for name in "abc"] == [0, 1, 1] and pool.used() == 2
    for server in servers:
        server.close()


def test_without_a_descriptor_an_attempt_never_ran(server: Upstream) -> None:
    server.script = silent
    pool = Pool(server, sockets=RESERVE + 1)
    pool.attempt()
    pool.attempt()
    assert pool.ends() == [Outcome.CONNECT_FAILED]


def test_a_socket_closed_here_is_no_idle_one() -> None:
    # guards against looking at the descriptor of a connection that is already being closed
    one, other = gevent.socket.socketpair()
    assert not readable(one)
    one.close()
    assert readable(one)
    other.close()


def test_a_connection_to_an_address_left_behind_is_not_kept(server: Upstream) -> None:
    # guards against an answer that comes after the move, whose connection would be used for the new address
    server.script = silent
    pool = Pool(server)
    pool.attempt()
    turns_until(lambda: server.seen)
    pool.upstreams.learn((member("a", "127.0.0.1:9"),), False)
    server.connections[0].sendall(answer(b"ok"))
    assert pool.ends() == [Outcome.SUCCESS] and pool.idle() == pool.used() == 0


def test_one_that_is_gone_is_forgotten_and_its_connection_never_used_for_another(server: Upstream) -> None:
    # guards against records that grow with every upstream that ever was, and against a new upstream under the
    # same id or at the same address that gets the old one's connections
    server.script = silent
    pool = Pool(server)
    pool.attempt()
    turns_until(lambda: server.seen)
    pool.upstreams.learn((member("a", "127.0.0.1:9", EndpointStatus.REMOVED),), False)
    assert not pool.upstreams.known
    pool.upstreams.learn((member("a", server.address), member("b", server.address)), False)
    server.script = lambda request, wire: answer(b"new")
    server.connections[0].sendall(answer(b"old"))
    assert pool.ends() == [Outcome.SUCCESS]
    assert pool.idle("a") == pool.idle("b") == pool.used() == 0
    pool.attempt("b")
    pool.ends(2)
    assert len(server.connections) == 2 and pool.idle("b") == 1
    pool.upstreams.learn((), True)
    assert not pool.upstreams.known and pool.used() == 0


def test_nothing_is_sent_to_one_forgotten_since_the_decision(server: Upstream) -> None:
    pool = Pool(server)
    pool.attempt()
    pool.upstreams.learn((), True)
    assert pool.ends() == [Outcome.NOT_SENT] and not server.connections
