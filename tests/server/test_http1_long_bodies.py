"""Parsing of long bodies: split anywhere, merged into few chunks, and limited in size."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from linetrack.server.http1.errors import MalformedMessageError
from linetrack.server.http1.limits import MAX_BUFFERED_BODY_BYTES
from linetrack.server.http1.requests import RequestReader
from linetrack.server.http1.responses import ResponseReader
from tests.server.long_messages import LONG_BODY, MB, RESPONSE_FORMS, request_head
from tests.support.http import http_response


@given(
    st.integers(1, 300_000),
    st.integers(1, 70_000),
    st.sampled_from(sorted(RESPONSE_FORMS)),
    st.booleans(),
)
def test_a_long_response_split_anywhere_is_parsed_completely(
    size: int, step: int, form: str, has_stray_response: bool
) -> None:
    body = (LONG_BODY * 2)[:size]
    data = RESPONSE_FORMS[form](body)
    ends_with_connection = form in ("until close", "1.0")
    if has_stray_response and not ends_with_connection:
        data += http_response(b"another")
    reader = ResponseReader(32 * MB, MAX_BUFFERED_BODY_BYTES)
    streamed, response = b"", None
    for start in range(0, len(data), step):
        response = reader.feed(data[start : start + step])
        if reader.exceeds_body_buffer:
            streamed += b"".join(reader.take_body_chunks())
        if response:
            break
    if ends_with_connection:
        response = reader.feed_eof()
    assert response is not None
    assert reader.exceeds_body_buffer == (size > MAX_BUFFERED_BODY_BYTES)
    assert (streamed if reader.exceeds_body_buffer else response.body) == body


@given(st.lists(st.integers(1, 5000), min_size=1, max_size=60))
def test_small_parts_of_a_body_are_merged_into_few_chunks(part_sizes: list[int]) -> None:
    reader = RequestReader()
    head = request_head("look", "1", f"Content-Length: {sum(part_sizes) + 1}", method="POST")
    reader.feed(head)
    for size in part_sizes:
        reader.feed(bytes(size))
        separate_count = sum(size >= 4096 for size in part_sizes)
        assert len(reader.body_chunks) <= 1 + separate_count + reader.body_size // MAX_BUFFERED_BODY_BYTES
    (request,) = reader.feed(b"x")
    assert len(request.body) + sum(map(len, request.body_chunks)) == sum(part_sizes) + 1


def test_a_body_over_the_limit_is_rejected_by_its_declared_or_its_received_length() -> None:
    with pytest.raises(MalformedMessageError) as error:
        RequestReader().feed(request_head("look", "1", f"Content-Length: {32 * MB + 1}", method="POST"))
    assert error.value.status == 413
    reader = RequestReader()
    reader.feed(request_head("look", "1", "Transfer-Encoding: chunked", method="POST"))
    for _ in range(32):
        reader.feed(b"100000\r\n" + bytes(MB) + b"\r\n")
        reader.take_body_chunks()
    with pytest.raises(MalformedMessageError) as error:
        reader.feed(b"1\r\nx\r\n")
    assert error.value.status == 413
