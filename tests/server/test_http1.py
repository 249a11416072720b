"""The codec: bytes to values and back, whole, split and wrong."""

import itertools
import json
import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from linetrack.policy.events import EndpointStatus
from linetrack.server.address import parse_address
from linetrack.server.endpoint_list import EndpointRecord, decode_endpoint_list
from linetrack.server.http1.errors import MalformedMessageError
from linetrack.server.http1.headers import parse_load_report, parse_timeout
from linetrack.server.http1.limits import MAX_BODY_BYTES
from linetrack.server.http1.requests import ClientRequest, RequestReader, encode_request
from linetrack.server.http1.responses import REASON_PHRASES, ResponseReader, encode_response

POST = (
    b"POST /pay/k9?x=1 HTTP/1.1\r\nHost: backend.local\r\nX-Trace-Id: 9b1f\r\nX-Expires-In: 0.480\r\n"
    b"Idempotency-Key: 5c0f\r\nX-Second-Try: 1\r\nX-Props: party=3, workUs=12000,odd\r\n"
    b"Content-Length: 5\r\n\r\nhello"
)
CHUNKED = (
    b"POST /pay/k9 HTTP/1.1\r\nX-Trace-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n"
)


def test_a_request_is_read_into_its_parts() -> None:
    (request,) = RequestReader().feed(POST)
    assert request == ClientRequest(
        "POST", "/pay/k9?x=1", "9b1f", "5c0f", "", "0.480", True,
        {"party": "3", "workUs": "12000"}, b"hello", True, is_complete=True,
    )  # fmt: skip
    assert request.path_segments() == ["pay", "k9"]


@given(st.lists(st.integers(0, 2 * len(POST + CHUNKED)), max_size=8))
def test_requests_split_anywhere_or_pipelined_are_the_same(cuts: list[int]) -> None:
    stream = POST + CHUNKED + POST
    marks = [0, *sorted(cut for cut in cuts if cut < len(stream)), len(stream)]
    reader = RequestReader()
    read = [r for a, b in itertools.pairwise(marks) if a < b for r in reader.feed(stream[a:b])]
    assert [(r.target, r.body) for r in read] == [
        ("/pay/k9?x=1", b"hello"),
        ("/pay/k9", b"hello"),
        ("/pay/k9?x=1", b"hello"),
    ]
    assert not reader.has_partial_request


BAD_REQUESTS = {
    b"NONSENSE\r\n\r\n": 400,
    b"\x16\x03\x01\x02\x00\x01\x00": 400,
    b"GET /look HTTP/1.1\r\nContent-Length: x\r\n\r\n": 400,
    b"GET /look HTTP/1.1\r\nContent-Length: -1\r\n\r\n": 400,
    b"GET /look HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n": 400,
    b"GET /look HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n": 400,
    b"GET /look HTTP/1.1\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n\r\n": 400,
    b"POST /look HTTP/1.1\r\nContent-Length: 33554433\r\n\r\n": 413,
    b"POST /look HTTP/1.1\r\nContent-Length: 99999999999999999999999\r\n\r\n": 400,
    b"GET /look HTTP/1.1\r\n" + b"".join(b"X-%d: %b\r\n" % (n, b"y" * 99) for n in range(200)): 431,
    b"GET /look HTTP/1.1\r\nX-Long: " + b"y" * 40_000: 431,
    b"GET /" + b"y" * 40_000: 431,
}


@pytest.mark.parametrize("data", BAD_REQUESTS)
def test_what_is_no_request_has_a_status(data: bytes) -> None:
    reader = RequestReader()
    with pytest.raises(MalformedMessageError) as fault:
        for at in range(0, len(data), 1000):
            reader.feed(data[at : at + 1000])
    assert fault.value.status == BAD_REQUESTS[data]


@given(st.binary(max_size=400))
def test_any_bytes_are_a_message_or_malformed(data: bytes) -> None:
    for reader in (RequestReader(), ResponseReader(MAX_BODY_BYTES, MAX_BODY_BYTES)):
        try:
            reader.feed(data)
        except MalformedMessageError:
            continue


@given(
    st.sampled_from(["GET", "POST"]),
    st.text("abcdef0123456789-", min_size=1, max_size=40),
    st.binary(max_size=2000),
    st.integers(-5, 5_000_000),
)
def test_a_request_goes_on_as_it_came(method: str, name: str, body: bytes, remaining: int) -> None:
    sent = ClientRequest(method, f"/look/{name}?q=1", name, name, "text/plain", body=body)
    (read,) = RequestReader().feed(encode_request(sent, ("127.0.0.1", 1), remaining))
    assert (read.method, read.target, read.trace_id, read.idempotency_key) == (method, sent.target, name, name)
    assert (read.body, read.content_type) == (body, "text/plain")
    assert parse_timeout(read.expires_in) == max(0, remaining)


@given(st.sampled_from(sorted(REASON_PHRASES)), st.binary(max_size=2000), st.integers(0, 10_000_000))
def test_an_answer_is_read_as_it_was_written(status: int, body: bytes, advice: int) -> None:
    data = encode_response(status, body, advice, keep_alive=False)
    answer = ResponseReader(MAX_BODY_BYTES, MAX_BODY_BYTES).feed(data)
    assert answer is not None
    assert (answer.status, answer.body, answer.keep_alive) == (status, body, False)
    assert (b"Retry-After" in data) == bool(advice)


def test_an_answer_comes_whole_or_not_at_all() -> None:
    data = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"
    reader = ResponseReader(MAX_BODY_BYTES, MAX_BODY_BYTES)
    assert all(reader.feed(data[n : n + 1]) is None for n in range(len(data) - 1))
    answer = reader.feed(data[-1:])
    assert answer and answer.body == b"ok"


def test_a_100_is_no_answer() -> None:
    reader = ResponseReader(MAX_BODY_BYTES, MAX_BODY_BYTES)
    assert reader.feed(b"HTTP/1.1 100 Continue\r\n\r\n") is None
    answer = reader.feed(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
    assert answer and answer.body == b"ok" and not reader.has_unexpected_data


@pytest.mark.parametrize("after", [b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno", b"HTTP/1.1", b"x"])
def test_what_nobody_asked_for_spoils_the_connection_not_the_answer(after: bytes) -> None:
    reader = ResponseReader(MAX_BODY_BYTES, MAX_BODY_BYTES)
    answer = reader.feed(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok" + after)
    assert answer and answer.body == b"ok"
    assert reader.has_unexpected_data


@pytest.mark.parametrize(
    ("text", "values"),
    [
        ("TEXT depth=2, tps=7.5", (2.0, 7.5)),
        ("text tps=7.5,depth=2,other=1", (2.0, 7.5)),
        ("TEXT depth=2", (2.0, None)),
        ("TEXT depth=much, tps=3", (None, 3.0)),
        ("TEXT depth=much", ()),
        ("JSON {}", ()),
        ("TEXT", ()),
        ("depth=2", ()),
        ("", ()),
    ],
)
def test_a_load_report_is_read_in_the_order_of_the_settings(text: str, values: tuple[float, ...]) -> None:
    read = parse_load_report(text, ("depth", "tps"))
    assert tuple(None if math.isnan(value) else value for value in read) == values


@pytest.mark.parametrize(
    ("text", "time"), [("0.48", 480_000), ("2", 2_000_000), ("-1", -1_000_000), ("", None), ("soon", None),
                       ("nan", None), ("inf", None), ("1e999", None)],
)  # fmt: skip
def test_the_deadline_is_a_number_or_none(text: str, time: int | None) -> None:
    assert parse_timeout(text) == time


@pytest.mark.parametrize(
    "text", ["", "127.0.0.1", ":80", "127.0.0.1:", "host:80", "127.0.0.1:0", "1.2.3.4:70000"]
)
def test_an_address_is_a_number_with_a_port(text: str) -> None:
    with pytest.raises(ValueError):
        parse_address(text)


def test_a_member_is_read_into_its_parts() -> None:
    entry = {"id": "s-5", "addr": "10.1.0.18:8081", "zone": "a", "kind": "m2", "cell": 3, "state": "DRAINING"}
    entry |= {"weight": 1.5, "started_ms": 1700000000123}
    told = decode_endpoint_list(json.dumps({"version": 41, "full": True, "servers": [entry]}).encode())
    (member,) = told.endpoints
    assert member == EndpointRecord(
        "s-5", ("10.1.0.18", 8081), "a", "m2", 3, EndpointStatus.DRAINING, 1.5, 1700000000123
    )
