"""Long messages and slow peers: what goes on as it comes, what is held, how each end is told."""

from __future__ import annotations

import re
import socket
import threading
import time
from collections.abc import Callable
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from linetrack.policy.actions import CancelAttempt, RejectRequest, SetTimer
from linetrack.policy.events import Outcome, RequestBodySent, RequestReceived, ResponseStarted, TimerFired
from linetrack.server.memory_budget import MAX_LONG_BODY_SHARE, MIN_CHUNK_BYTES, MemoryBudget
from linetrack.server.http1.errors import MalformedMessageError
from linetrack.server.http1.limits import MAX_BUFFERED_BODY_BYTES
from linetrack.server.http1.requests import RequestReader
from linetrack.server.http1.responses import ResponseReader
from tests.helpers import KEYED, MS, SAFE, SECOND, Driver, sends
from tests.stand_ins import Message, Sidecar, Upstream, Wire, World, answer, request, until
from tests.test_admin import admin, figures, row

MB = 1024 * 1024
LONG = bytes(range(256)) * 1024  # 256 KiB


def head(klass: str, trace: str, *fields: str, method: str = "GET") -> bytes:
    return request(f"/{klass}/k", method, f"X-Trace-Id: {trace}", "X-Expires-In: 2.0", *fields)


def chunks(body: bytes, size: int = 10_000, extension: bytes = b"", trailer: bytes = b"") -> bytes:
    parts = [body[at : at + size] for at in range(0, len(body), size)]
    framed = b"".join(b"%x%b\r\n%b\r\n" % (len(part), extension, part) for part in parts)
    return framed + b"0\r\n" + trailer + b"\r\n"


def chunked(body: bytes, **form: bytes) -> bytes:
    return b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks(body, **form)  # type: ignore[arg-type]


def read_answer(sock: socket.socket, bodiless: bool = False) -> tuple[bytes, bytes]:
    """Head and body of one answer, by whichever framing it has; an AssertionError where it is cut short."""
    # guards against bytes of the next answer in a buffer that ends with this one's reading
    file = sock.makefile("rb", buffering=0)

    def exactly(size: int) -> bytes:
        got = bytearray()
        while len(got) < size and (more := file.read(size - len(got))):
            got += more
        return bytes(got)

    lines = []
    while (line := file.readline()) not in (b"\r\n", b""):
        lines.append(line)
    top = b"".join(lines).lower()
    if bodiless:
        return top, b""
    if found := re.search(rb"content-length: (\d+)", top):
        body = exactly(int(found[1]))
        assert len(body) == int(found[1]), "cut short of its length"
        return top, body
    if b"chunked" not in top:
        return top, file.read()
    body = b""
    while size := int(file.readline() or b"-1", 16):
        assert size > 0, "cut short of its last chunk"
        body += exactly(size)
        file.readline()
    while file.readline() not in (b"\r\n", b""):
        pass  # a trailer
    return top, body


# --- Answers -------------------------------------------------------------------------------------------

FORMS: dict[str, Callable[[bytes], bytes]] = {
    "length": lambda body: answer(body),
    "chunks": chunked,
    "extensions and a trailer": lambda body: chunked(body, extension=b";a=1", trailer=b"X-T: 1\r\n"),
    "1xx ahead": lambda body: b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + answer(body),
    "until close": lambda body: b"HTTP/1.1 200 OK\r\n\r\n" + body,
    "1.0": lambda body: b"HTTP/1.0 200 OK\r\n\r\n" + body,
}


@pytest.mark.parametrize("form", FORMS)
@pytest.mark.parametrize("size", [1000, MAX_BUFFERED_BODY_BYTES, 66_000, 131_000, len(LONG)])
def test_an_answer_of_any_form_and_size_comes_back_unchanged(tmp_path: Path, form: str, size: int) -> None:
    # guards against an answer that grows long and ends within the same bytes, which went on without its body
    def script(message: Message, wire: Wire) -> bytes | None:
        data = FORMS[form](LONG[:size])
        if form in ("until close", "1.0"):
            wire.sock.sendall(data)
            return None
        return data

    with World(tmp_path, Upstream("a", script)) as sidecar:
        for version in ("1.1", "1.0"):
            wire = sidecar.connect()
            with wire.sock:
                wire.sock.sendall(
                    head("look", f"v{version}").replace(b"HTTP/1.1", f"HTTP/{version}".encode())
                )
                top, body = read_answer(wire.sock)
            assert top.startswith(b"http/1.1 200") and body == LONG[:size]
            assert version == "1.1" or b"chunked" not in top


def test_first_bytes_go_on_at_once_and_the_deadline_cuts_nothing(tmp_path: Path) -> None:
    go = threading.Event()

    def script(message: Message, wire: Wire) -> bytes:
        wire.sock.sendall(answer(LONG)[:100_000])
        assert go.wait(20)
        return answer(LONG)[100_000:]

    world = World(tmp_path, Upstream("a", script))
    address = admin(world.sidecar)
    with world as sidecar:
        wire = sidecar.connect()
        with wire.sock:
            line = head("look", "1").replace(b"X-Expires-In: 2.0", b"X-Expires-In: 0.2")
            wire.sock.sendall(line)
            first = wire.sock.recv(60_000)
            assert first.startswith(b"HTTP/1.1 200")
            assert figures(address)["app_open_requests"] == 1
            time.sleep(0.4)  # past its deadline
            go.set()
            got = first
            while len(got) < len(LONG):
                got += wire.sock.recv(100_000)
        assert got.endswith(LONG)
        until(lambda: figures(address)[row("look", "fulfilled")] == 1)
        assert figures(address)["app_open_requests"] == 0


@pytest.mark.parametrize("form", ["length", "chunks", "1.0 client"])
def test_one_that_breaks_off_ends_so_that_the_client_can_tell(tmp_path: Path, form: str) -> None:
    def script(message: Message, wire: Wire) -> None:
        wire.sock.sendall((answer(LONG) if form == "length" else chunked(LONG))[:150_000])

    world = World(tmp_path, server := Upstream("a", script))
    address = admin(world.sidecar)
    with world as sidecar:
        wire = sidecar.connect()
        with wire.sock:
            line = head("look", "1")
            wire.sock.sendall(line.replace(b"HTTP/1.1", b"HTTP/1.0") if form == "1.0 client" else line)
            with pytest.raises((AssertionError, ConnectionResetError)):
                read_answer(wire.sock)
        assert len(server.seen) == 1, "what has begun is not asked for again"
        until(lambda: figures(address)[row("look", "faulted")] == 1)


def test_a_client_that_reads_slowly_gets_all_and_one_that_leaves_ends_the_upstreams_part(
    tmp_path: Path,
) -> None:
    body = LONG * 96  # 24 MiB, more than the kernel holds
    ended = threading.Event()

    def script(message: Message, wire: Wire) -> None:
        try:
            wire.sock.sendall(answer(body))
        finally:
            ended.set()

    world = World(tmp_path, Upstream("a", script))
    world.sidecar.config["limits"]["memory_mb"] = 32
    with world as sidecar:
        wire = sidecar.connect()
        with wire.sock:
            wire.sock.sendall(head("look", "1"))
            time.sleep(0.3)
            assert not ended.is_set(), "the upstream is read faster than the client reads"
            _, got = read_answer(wire.sock)
            assert got == body
        ended.clear()
        leaver = sidecar.connect()
        leaver.sock.sendall(head("look", "2"))
        leaver.sock.recv(1000)
        leaver.sock.close()
        assert ended.wait(20), "the upstream still writes for nobody"
        assert resident(sidecar) < 64 * MB


def resident(sidecar: Sidecar) -> int:
    assert sidecar.process
    status = Path(f"/proc/{sidecar.process.pid}/status").read_text()
    found = re.search(r"VmRSS:\s+(\d+) kB", status)
    assert found
    return int(found[1]) * 1024


def test_head_204_and_what_follows_on_the_connection(tmp_path: Path) -> None:
    def script(message: Message, wire: Wire) -> bytes:
        if message.start.startswith("HEAD"):
            return b"HTTP/1.1 200 OK\r\nContent-Length: 400000\r\n\r\n"
        return answer(message.target.encode())

    with World(tmp_path, Upstream("a", script)) as sidecar:
        wire = sidecar.connect()
        with wire.sock:
            wire.sock.sendall(head("look", "1", method="HEAD"))
            top, _ = read_answer(wire.sock, bodiless=True)
            assert b"200" in top and b"content-length: 400000" in top
            wire.sock.sendall(head("look", "2"))
            assert read_answer(wire.sock)[1] == b"/look/k"


def test_answers_that_come_at_once_are_read_one_by_one() -> None:
    ours, theirs = socket.socketpair()
    with ours, theirs:
        theirs.sendall(answer(b"one") + chunked(b"two") + answer(b"three"))
        ours.settimeout(5)
        assert [read_answer(ours)[1] for _ in range(3)] == [b"one", b"two", b"three"]


# --- Requests ------------------------------------------------------------------------------------------


def taking(size: int) -> Callable[[Message, Wire], bytes]:
    """An upstream that reads chunked bodies too, and answers with what it got."""

    def script(message: Message, wire: Wire) -> bytes:
        body = message.body
        if "chunked" in message.headers.get("transfer-encoding", ""):
            rest = wire.buffer
            while not rest.endswith(b"0\r\n\r\n"):
                rest += wire.sock.recv(65536)
            wire.buffer, body = b"", b""
            while rest != b"0\r\n\r\n":
                line, _, rest = rest.partition(b"\r\n")
                body, rest = body + rest[: int(line, 16)], rest[int(line, 16) + 2 :]
        return answer(b"%d %d" % (len(body), hash(body) % 1000))

    return script


def told(body: bytes) -> bytes:
    return b"%d %d" % (len(body), hash(body) % 1000)


@pytest.mark.parametrize("memory_mb", [24, 192])  # all goes on as it comes; all is held
@pytest.mark.parametrize("form", ["length", "chunks", "expect", "pieces"])
def test_a_long_body_arrives_whole_and_what_is_pipelined_behind_it_too(
    tmp_path: Path, form: str, memory_mb: int
) -> None:
    world = World(tmp_path, server := Upstream("a", taking(0)))
    world.sidecar.config["limits"]["memory_mb"] = memory_mb
    body = LONG * 5
    with world as sidecar:
        wire = sidecar.connect()
        with wire.sock:
            if form == "chunks":
                top = head("look", "1", "Transfer-Encoding: chunked", method="POST")
                wire.sock.sendall(top + chunks(body, trailer=b"X-Trace-Id: evil\r\n") + head("look", "2"))
            else:
                fields = [
                    f"Content-Length: {len(body)}",
                    *(["Expect: 100-continue"] if form == "expect" else []),
                ]
                wire.sock.sendall(head("look", "1", *fields, method="POST"))
                if form == "expect":
                    assert wire.sock.recv(100).startswith(b"HTTP/1.1 100")
                step = 200_001 if form == "pieces" else len(body)
                for at in range(0, len(body), step):
                    wire.sock.sendall(body[at : at + step])
                    time.sleep(0.01)
                wire.sock.sendall(head("look", "2"))
            assert read_answer(wire.sock)[1] == told(body)
            assert read_answer(wire.sock)[1] == told(b"")
        assert [seen.headers["x-trace-id"] for seen in server.seen] == ["1", "2"]


def test_a_held_body_is_sent_again_elsewhere_and_one_that_went_on_is_refused(tmp_path: Path) -> None:
    """An upstream that ends within the body has not run it."""

    class Rude(Upstream):
        def speak(self, wire: Wire) -> None:
            wire.sock.recv(1000)

    for memory_mb, statuses in ((192, {200}), (24, {200, 503})):
        folder = tmp_path / str(memory_mb)
        folder.mkdir()
        world = World(folder, Rude("a"), good := Upstream("b", taking(0)))
        world.sidecar.config["limits"]["memory_mb"] = memory_mb
        got = set()
        with world as sidecar:
            for turn in range(12):
                with sidecar.connect().sock as sock:
                    sock.sendall(head("pay", f"{turn}", f"Content-Length: {4 * MB}", method="POST"))
                    try:
                        sock.sendall(bytes(4 * MB))
                    except OSError:
                        continue
                    top, _ = read_answer(sock)
                got.add(int(top.split()[1]))
                assert got <= statuses
        assert 200 in got and good.seen


def test_a_slow_head_and_a_slow_body_are_served_and_a_mute_one_is_let_go_of(tmp_path: Path) -> None:
    with World(tmp_path, server := Upstream("a", taking(0))) as sidecar:
        slow, mute = sidecar.connect(), sidecar.connect()
        body = bytes(160_000)
        data = head("look", "1", f"Content-Length: {len(body)}", method="POST")
        mute.sock.sendall(head("look", "2", f"Content-Length: {len(body)}", method="POST") + body[:50_000])
        slow.sock.sendall(data[:-1])
        time.sleep(1.5)
        slow.sock.sendall(data[-1:])
        for at in range(0, len(body), 16_000):  # 64 kB/s
            time.sleep(0.25)
            slow.sock.sendall(body[at : at + 16_000])
        assert read_answer(slow.sock)[1] == told(body)
        assert read_answer(mute.sock)[0].startswith(b"http/1.1 408")
        assert [seen.headers["x-trace-id"] for seen in server.seen] == ["1"]
        slow.sock.close()
        mute.sock.close()


def test_a_flood_of_long_bodies_leaves_room_for_the_small(tmp_path: Path) -> None:
    world = World(tmp_path, *(Upstream(name, taking(0)) for name in "abc"))
    world.sidecar.config["limits"]["memory_mb"] = 48
    with world as sidecar:
        stop = threading.Event()

        def sender(number: int) -> None:
            while not stop.is_set():
                with sidecar.connect().sock as sock:
                    trace = f"{number}-{time.monotonic()}"
                    sock.sendall(head("look", trace, f"Content-Length: {8 * MB}", method="POST"))
                    for _ in range(8):
                        sock.sendall(bytes(MB))
                    assert read_answer(sock)[0].split()[1] in (b"200", b"503")

        threads = [threading.Thread(target=sender, args=(n,), daemon=True) for n in range(8)]
        for thread in threads:
            thread.start()
        most = 0
        for _ in range(40):
            assert sidecar.ask("look").status in (200, 503)
            most = max(most, resident(sidecar))
        stop.set()
        for thread in threads:
            thread.join(20)
        assert most < 80 * MB


def test_a_client_that_closes_its_own_side_is_answered_if_it_said_so(tmp_path: Path) -> None:
    def script(message: Message, wire: Wire) -> bytes:
        time.sleep(0.1)
        return answer(b"ok")

    with World(tmp_path, Upstream("a", script)) as sidecar:
        wire = sidecar.connect()
        with wire.sock:
            wire.sock.sendall(head("pay", "1", "Connection: close"))
            wire.sock.shutdown(socket.SHUT_WR)
            assert read_answer(wire.sock)[1] == b"ok"


# --- The codec and the budget --------------------------------------------------------------------------


@given(st.integers(1, 300_000), st.integers(1, 70_000), st.sampled_from(sorted(FORMS)), st.booleans())
def test_an_answer_split_anywhere_is_long_or_whole_and_loses_no_byte(
    size: int, step: int, form: str, stray: bool
) -> None:
    body = (LONG * 2)[:size]
    data = FORMS[form](body)
    closes = form in ("until close", "1.0")
    if stray and not closes:
        data += answer(b"another")
    reader, got, whole = ResponseReader(32 * MB, MAX_BUFFERED_BODY_BYTES), b"", None
    for at in range(0, len(data), step):
        whole = reader.feed(data[at : at + step])
        if reader.exceeds_body_buffer:
            got += b"".join(reader.take_body_chunks())
        if whole:
            break
    if closes:
        whole = reader.feed_eof()
    assert whole is not None and reader.exceeds_body_buffer == (size > MAX_BUFFERED_BODY_BYTES)
    assert (got if reader.exceeds_body_buffer else whole.body) == body


@given(st.lists(st.integers(1, 5000), min_size=1, max_size=60))
def test_a_body_in_pieces_costs_no_more_than_its_bytes(pieces: list[int]) -> None:
    reader = RequestReader()
    top = head("look", "1", f"Content-Length: {sum(pieces) + 1}", method="POST")
    reader.feed(top)
    for piece in pieces:
        reader.feed(bytes(piece))
        separate = sum(p >= 4096 for p in pieces)
        assert len(reader.body_chunks) <= 1 + separate + reader.body_size // MAX_BUFFERED_BODY_BYTES
    (whole,) = reader.feed(b"x")
    assert len(whole.body) + sum(map(len, whole.body_chunks)) == sum(pieces) + 1


@pytest.mark.parametrize("memory_mb", [32, 64, 192])
@given(steps=st.lists(st.tuples(st.integers(1, 32 * MB), st.booleans()), max_size=30))
def test_bodies_held_never_exceed_their_part_of_memory(memory_mb: int, steps: list[tuple[int, bool]]) -> None:
    budget, reserved = MemoryBudget(memory_mb), 0
    for size, back in steps:
        if budget.try_reserve(size):
            reserved += size
            if back:
                budget.release(size)
                reserved -= size
        assert budget.reserved_bytes == reserved <= budget.max_bytes * MAX_LONG_BODY_SHARE
        assert budget.max_bytes <= memory_mb * MB
    budget.stream_count = 400
    assert budget.chunk_size() * budget.stream_count <= max(budget.max_bytes, 400 * MIN_CHUNK_BYTES)


def test_too_long_is_told_at_its_head_or_at_the_byte_that_is_too_many() -> None:
    with pytest.raises(MalformedMessageError) as fault:
        RequestReader().feed(head("look", "1", f"Content-Length: {32 * MB + 1}", method="POST"))
    assert fault.value.status == 413
    reader = RequestReader()
    reader.feed(head("look", "1", "Transfer-Encoding: chunked", method="POST"))
    for _ in range(32):
        reader.feed(b"100000\r\n" + bytes(MB) + b"\r\n")
        reader.take_body_chunks()
    with pytest.raises(MalformedMessageError) as fault:
        reader.feed(b"1\r\nx\r\n")
    assert fault.value.status == 413


# --- The policy ----------------------------------------------------------------------------------------


def test_an_answer_that_has_begun_ends_other_attempts_and_is_no_load() -> None:
    driver = Driver(slow_start_duration=0)
    for _ in range(30):
        driver.serve()
    number, actions = driver.ask(SAFE)
    (timer,) = [a for a in actions if isinstance(a, SetTimer)]
    (first,) = sends(actions)
    driver.balancer.budget = 8.0
    copies = driver.feed(TimerFired(timer.token), timer.delay)
    assert len(sends(copies)) == 1
    begun = driver.feed(ResponseStarted(number, 0, first, 50 * MS))
    assert begun == [CancelAttempt(number, 1)]
    upstream = driver.balancer.fleet[first]
    assert not upstream.out
    driver.end(number, sends(copies)[0], Outcome.CANCELLED, attempt=1)
    assert number in driver.balancer.requests
    late = driver.balancer.late.value
    driver.now += 20 * SECOND
    driver.end(number, first)
    assert number not in driver.balancer.requests and not driver.balancer.orphans
    assert driver.balancer.late.value <= late, "its first bytes were in time"


def test_a_body_that_is_not_held_is_sent_once_and_its_time_begins_with_its_last_byte() -> None:
    driver = Driver(slow_start_duration=0)
    for _ in range(30):
        driver.serve(KEYED)
    driver.count += 1
    number = driver.count
    actions = driver.feed(RequestReceived(number, KEYED, 2 * SECOND, is_replayable=False))
    (first,) = sends(actions)
    upstream = driver.balancer.fleet[first]
    assert not upstream.out, "what is still being written is no load"
    for timer in [a for a in actions if isinstance(a, SetTimer)]:
        assert not sends(driver.feed(TimerFired(timer.token), timer.delay))
    driver.feed(RequestBodySent(number, 0), 20 * SECOND)
    assert len(upstream.out) == 1 and driver.balancer.requests[number].until == driver.now + 2 * SECOND
    ended = driver.end(number, first, Outcome.CONNECT_FAILED)
    assert [type(action) for action in ended] == [RejectRequest]
