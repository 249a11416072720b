"""Parsing and encoding of requests and responses: complete, split and malformed."""

import itertools
import math
import tracemalloc

import pytest
from hypothesis import given
from hypothesis import strategies as st

from linetrack.server.http1.errors import MalformedMessageError
from linetrack.server.http1.headers import parse_load_report, parse_timeout
from linetrack.server.http1.limits import MAX_BODY_BYTES
from linetrack.server.http1.requests import ClientRequest, RequestReader, encode_request
from linetrack.server.http1.responses import ResponseReader, encode_response
from linetrack.server.http1.statuses import REASON_PHRASES

POST = (
    b"POST /pay/k9?x=1 HTTP/1.1\r\nHost: backend.local\r\nX-Trace-Id: 9b1f\r\nX-Expires-In: 0.480\r\n"
    b"Idempotency-Key: 5c0f\r\nX-Second-Try: 1\r\nX-Props: party=3, workUs=12000,odd\r\n"
    b"Content-Length: 5\r\n\r\nhello"
)
CHUNKED_POST = (
    b"POST /pay/k9 HTTP/1.1\r\nX-Trace-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n"
)
OK_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


def response_reader() -> ResponseReader:
    return ResponseReader(MAX_BODY_BYTES, MAX_BODY_BYTES)


def feed_in_pieces(reader: RequestReader, data: bytes) -> None:
    for start in range(0, len(data), 1000):
        reader.feed(data[start : start + 1000])


def test_a_request_is_parsed_into_its_fields() -> None:
    (request,) = RequestReader().feed(POST)
    assert request == ClientRequest(
        method="POST",
        target="/pay/k9?x=1",
        trace_id="9b1f",
        idempotency_key="5c0f",
        content_type="",
        expires_in="0.480",
        is_client_retry=True,
        properties={"party": "3", "workUs": "12000"},
        body=b"hello",
        keep_alive=True,
        is_complete=True,
    )
    assert request.path_segments() == ["pay", "k9"]


@given(st.lists(st.integers(0, 2 * len(POST + CHUNKED_POST)), max_size=8))
def test_requests_split_anywhere_or_pipelined_are_parsed_the_same(cuts: list[int]) -> None:
    stream = POST + CHUNKED_POST + POST
    offsets = [0, *sorted(cut for cut in cuts if cut < len(stream)), len(stream)]
    reader = RequestReader()
    requests = [
        request
        for start, end in itertools.pairwise(offsets)
        if start < end
        for request in reader.feed(stream[start:end])
    ]
    assert [(request.target, request.body) for request in requests] == [
        ("/pay/k9?x=1", b"hello"),
        ("/pay/k9", b"hello"),
        ("/pay/k9?x=1", b"hello"),
    ]
    assert not reader.has_partial_request


MALFORMED_REQUESTS = {
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


@pytest.mark.parametrize("data", MALFORMED_REQUESTS)
def test_a_malformed_request_is_rejected_with_its_status(data: bytes) -> None:
    with pytest.raises(MalformedMessageError) as error:
        feed_in_pieces(RequestReader(), data)
    assert error.value.status == MALFORMED_REQUESTS[data]


@given(st.binary(max_size=400))
def test_arbitrary_bytes_raise_no_other_error_than_malformed_message(data: bytes) -> None:
    for reader in (RequestReader(), response_reader()):
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
def test_an_encoded_request_is_parsed_to_the_same_values(
    method: str, name: str, body: bytes, timeout: int
) -> None:
    sent = ClientRequest(method, f"/look/{name}?q=1", name, name, "text/plain", body=body)
    (request,) = RequestReader().feed(encode_request(sent, ("127.0.0.1", 1), timeout))
    assert (request.method, request.target) == (method, sent.target)
    assert (request.trace_id, request.idempotency_key) == (name, name)
    assert (request.body, request.content_type) == (body, "text/plain")
    assert parse_timeout(request.expires_in) == max(0, timeout)


@given(st.sampled_from(sorted(REASON_PHRASES)), st.binary(max_size=2000), st.integers(0, 10_000_000))
def test_an_encoded_response_is_parsed_to_the_same_values(status: int, body: bytes, retry_after: int) -> None:
    data = encode_response(status, body, retry_after, keep_alive=False)
    response = response_reader().feed(data)
    assert response is not None
    assert (response.status, response.body, response.keep_alive) == (status, body, False)
    assert (b"Retry-After" in data) == bool(retry_after)


def test_a_response_is_returned_only_once_it_is_complete() -> None:
    data = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"
    reader = response_reader()
    assert all(reader.feed(data[start : start + 1]) is None for start in range(len(data) - 1))
    response = reader.feed(data[-1:])
    assert response
    assert response.body == b"ok"


def test_an_informational_response_is_skipped() -> None:
    reader = response_reader()
    assert reader.feed(b"HTTP/1.1 100 Continue\r\n\r\n") is None
    response = reader.feed(OK_RESPONSE)
    assert response
    assert response.body == b"ok"
    assert not reader.has_unexpected_data


@pytest.mark.parametrize("after", [b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno", b"HTTP/1.1", b"x"])
def test_unexpected_data_makes_the_connection_unusable_but_not_the_response(after: bytes) -> None:
    reader = response_reader()
    response = reader.feed(OK_RESPONSE + after)
    assert response
    assert response.body == b"ok"
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
def test_the_values_of_a_load_report_are_returned_in_the_order_of_the_fields(
    text: str, values: tuple[float, ...]
) -> None:
    report = parse_load_report(text, ("depth", "tps"))
    assert tuple(None if math.isnan(value) else value for value in report) == values


@pytest.mark.parametrize(
    ("text", "timeout"),
    [
        ("0.48", 480_000),
        ("2", 2_000_000),
        ("-1", -1_000_000),
        ("", None),
        ("soon", None),
        ("nan", None),
        ("inf", None),
        ("1e999", None),
    ],
)
def test_a_timeout_that_is_not_a_finite_number_is_parsed_as_none(text: str, timeout: int | None) -> None:
    assert parse_timeout(text) == timeout


@pytest.mark.parametrize(
    "fields",
    [
        b"".join(b"%x:%x\r\n" % (number, number) for number in range(1500)),
        b"X-Props: " + b"".join(b"%x=1," % number for number in range(2000)) + b"\r\n",
    ],
)
@pytest.mark.parametrize("is_whole", [True, False])
def test_a_head_of_very_many_short_fields_needs_little_memory(fields: bytes, is_whole: bool) -> None:
    """Guards against memory used up by many clients: a head of 18 KB needed 180 KB."""
    reader = RequestReader()
    data = b"GET /look/k HTTP/1.1\r\n" + fields + (b"\r\n" if is_whole else b"")
    reader.feed(data)  # what is imported or cached at the first use does not count
    tracemalloc.start()
    reader = RequestReader()
    requests = reader.feed(data)
    used_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert len(requests) == is_whole
    assert used_bytes < 32 * 1024


def test_a_head_of_more_short_fields_than_its_limit_is_rejected() -> None:
    with pytest.raises(MalformedMessageError) as error:
        RequestReader().feed(b"GET /look/k HTTP/1.1\r\n" + b"a:b\r\n" * 6000)
    assert error.value.status == 431
