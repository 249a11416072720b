"""Writing the final response of a request to its client."""

from __future__ import annotations

from functools import partial

from linetrack.policy.events import Outcome
from linetrack.policy.time_units import SECOND
from linetrack.server import client_timeouts
from linetrack.server.active_request import FinalResponse
from linetrack.server.client_timeouts import DeadlineSocket
from linetrack.server.clock import NEVER, clock
from linetrack.server.http1.encoding import LAST_CHUNK, write_chunks
from linetrack.server.http1.errors import MalformedMessageError
from linetrack.server.http1.requests import ClientRequest
from linetrack.server.http1.responses import (
    BodyFraming,
    encode_response,
    encode_response_head,
    select_framing,
)
from linetrack.server.logging_setup import get_logger
from linetrack.server.response_stream import ResponseStream
from linetrack.server.sockets import reset_on_close, write

log = get_logger(__name__)


def write_response(
    client: DeadlineSocket,
    request: ClientRequest,
    response: FinalResponse,
    keep_alive: bool,
    rounds_retry_after: bool,
) -> None:
    """Write a complete response; `rounds_retry_after` rounds its `Retry-After` up to whole seconds.

    Raises:
        OSError: The client disconnected, or its connection was closed as it did not read in time.
    """
    retry_after = response.retry_after
    if rounds_retry_after:
        retry_after = -(-retry_after // SECOND) * SECOND
    data = encode_response(
        response.status,
        response.body,
        retry_after,
        keep_alive,
        response.content_type,
        request.is_http10,
        response.content_length if request.method == "HEAD" else None,
    )
    client.deadline = clock() + client_timeouts.REQUEST_TIMEOUT_US
    write(client.sock, data)


def write_stream(
    client: DeadlineSocket, request: ClientRequest, stream: ResponseStream, keep_alive: bool
) -> bool:
    """Write a streamed response as it arrives from the upstream.

    Returns:
        Whether the response was written completely and the connection can be used for further requests.

    Raises:
        OSError: As for `write_response`.
    """
    framing = select_framing(stream.content_length, request.is_http10)
    keep_alive = keep_alive and framing is not BodyFraming.CONNECTION_CLOSE
    head = encode_response_head(
        framing, stream.content_length, keep_alive, stream.content_type, request.is_http10
    )
    write_part = partial(_write_with_deadline, client)
    outcome = Outcome.CANCELLED  # if writing fails, the client has disconnected
    try:
        write_part(head)
        while chunks := _read_chunks(client, request, stream):
            write_chunks(write_part, chunks, framing is BodyFraming.CHUNKED)
        if chunks is None:
            outcome = Outcome.RESET
            if framing is BodyFraming.CONNECTION_CLOSE:
                # An ordinary close would mark the response as complete.
                reset_on_close(client.sock)
            return False
        if framing is BodyFraming.CHUNKED:
            write(client.sock, LAST_CHUNK)
        outcome = Outcome.SUCCESS
        return framing is not BodyFraming.CONNECTION_CLOSE
    finally:
        stream.finish(outcome)


def _read_chunks(
    client: DeadlineSocket, request: ClientRequest, stream: ResponseStream
) -> list[bytes | bytearray] | None:
    """Return the next chunks from the upstream: none at the end, None if the response was aborted."""
    client.deadline = NEVER  # reading from the upstream has a timeout of its own
    try:
        return stream.read_chunks()
    except (OSError, MalformedMessageError) as error:
        log.warning(
            "response_aborted",
            fault=str(error),
            trace_id=request.trace_id,
            body_bytes=stream.connection.reader.body_size,
        )
        return None


def _write_with_deadline(client: DeadlineSocket, data: bytes | bytearray) -> None:
    client.deadline = clock() + client_timeouts.STREAM_WRITE_TIMEOUT_US
    write(client.sock, data)
