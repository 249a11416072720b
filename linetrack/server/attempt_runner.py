"""Runs attempts, each in a greenlet of its own, from the choice of a connection to the end of the response.

Each attempt that its greenlet ends is reported once.  The runner does not choose the endpoint, does not retry
and never calls the policy.  Whether an attempt may still be sent is checked immediately before its first byte
is written; if it may not, its outcome says that it was never executed.
"""

from __future__ import annotations

import contextlib
from collections.abc import Callable

import gevent
from gevent import socket

from linetrack.control.metrics import Metrics
from linetrack.policy.events import EndpointStatus, Outcome
from linetrack.policy.time_units import MILLISECOND, SECOND
from linetrack.server.active_request import Attempt
from linetrack.server.budget import Budget
from linetrack.server.clock import clock
from linetrack.server.connection import Connection, ResponseHold
from linetrack.server.greenlets import yield_to_event_loop
from linetrack.server.http1 import statuses
from linetrack.server.http1.encoding import LAST_CHUNK, write_chunks
from linetrack.server.http1.errors import MalformedMessageError
from linetrack.server.http1.headers import parse_load_report
from linetrack.server.http1.requests import BodyStream, ClientRequest, encode_request
from linetrack.server.http1.responses import Response
from linetrack.server.logging_setup import get_logger
from linetrack.server.notifications import FinishedAttempt, SentBody, StartedResponse
from linetrack.server.request_upload import UploadAbortedError
from linetrack.server.response_stream import ResponseStream
from linetrack.server.sockets import is_readable, reset_on_close
from linetrack.server.upstream_pool import PooledUpstream, UpstreamPool

log = get_logger(__name__)

STREAM_STALL_TIMEOUT_SECONDS = 5.0  # without a byte from the upstream, until a streamed response is aborted
#: The time for which a response that declares no length is held back to see whether it is complete, as until
#: then the request can be retried.  Half of the time that is left to the request, if that is less.
MAX_HOLD_US = SECOND
#: The time before the end of an attempt at which the begun body of a response without a length is streamed
#: although it pauses: the client can then get what its upstream still sends.
STREAM_MARGIN_US = SECOND // 10
#: The statuses that mean overload if a header of the response says that the request was not processed.
OVERLOAD_STATUSES = (statuses.SERVICE_UNAVAILABLE, statuses.GATEWAY_TIMEOUT)

Notify = Callable[[FinishedAttempt | SentBody | StartedResponse, int], None]


class AttemptRunner:
    """Starts and aborts attempts on the connections of one pool."""

    def __init__(
        self,
        pool: UpstreamPool,
        budget: Budget,
        report_fields: tuple[str, ...],
        notify: Notify,
        metrics: Metrics | None = None,
    ) -> None:
        """Create a runner without attempts.

        Args:
            pool: The endpoints and their connections.
            budget: The budget of descriptors and memory.
            report_fields: The names of a load report's values, in the order of the policy's settings.
            notify: Called with each notification for the dispatcher and the time at which its cause was
                seen, in microseconds.
            metrics: The counters of the process.
        """
        self.pool = pool
        self.budget = budget
        self.report_fields = report_fields
        self.notify = notify
        self.metrics = metrics or Metrics()

    def configure(self, report_fields: tuple[str, ...]) -> None:
        """Use these names of a load report's values from now on."""
        self.report_fields = report_fields

    def start(self, attempt: Attempt) -> None:
        """Run an attempt in a greenlet of its own, which starts in a later turn of the event loop."""
        # A raw greenlet suffices: no other greenlet joins or kills it, and it raises nothing.
        gevent.spawn_raw(_AttemptRun(self, attempt).run)

    def abort(self, attempt: Attempt) -> None:
        """Close the connection of the attempt, even while it is connecting; this wakes its greenlet."""
        if attempt.sock is not None:
            # `close` alone takes effect once that greenlet has run, but the endpoint must see the end of this
            # attempt before it gets a retry.
            with contextlib.suppress(OSError):
                if not attempt.is_written:
                    # Otherwise unsent bytes would stay in the system while the endpoint reads nothing.
                    reset_on_close(attempt.sock)
                attempt.sock.shutdown(socket.SHUT_RDWR)
            attempt.sock.close()


class _AttemptRun:
    """The state of one attempt's greenlet, with the connection and the memory that it uses."""

    __slots__ = ("attempt", "budget", "connection", "pool", "reserved_bytes", "runner")

    def __init__(self, runner: AttemptRunner, attempt: Attempt) -> None:
        self.runner = runner
        self.pool = runner.pool
        self.budget = runner.budget
        self.attempt = attempt
        self.connection: Connection | None = None
        self.reserved_bytes = 0

    def run(self) -> None:
        """Run the attempt to its end and release what it used; raises no exception."""
        try:
            self._exchange()
        except OSError:
            self._finish_after_connection_error()
        except UploadAbortedError:
            # The upstream has not got the last byte, and has no part in this.
            self._finish(Outcome.NOT_SENT)
        except MalformedMessageError as error:
            self._finish_after_malformed_message(error)
        except Exception:
            # Without a report of the attempt's end, its request would never get a response.
            log.exception("attempt_failed", endpoint=self.attempt.endpoint)
            self._finish_after_connection_error()
        finally:
            self.budget.memory.release(self.reserved_bytes)
            if self.connection is not None:
                self.pool.discard(self.connection)

    def _exchange(self) -> None:
        """Send the request and handle its response."""
        upstream = self.pool.endpoints.get(self.attempt.endpoint)
        if upstream is None:
            # The endpoint was removed after the policy's decision, before this greenlet ran.
            self._finish(Outcome.NOT_SENT)
            return
        connection = self.pool.take_idle(upstream) or self._dial(upstream)
        if connection is None:
            return
        self.connection = connection
        self.attempt.sock = connection.sock
        if self._must_not_send(upstream):
            self._finish(Outcome.NOT_SENT)
            return
        if not self._write_request(connection):
            return
        self.attempt.is_written = True
        self.runner.metrics.attempts_sent += 1
        response = connection.read_response(
            self._reserve_memory, self._response_hold(), read_size=self.budget.memory.read_size
        )
        seen_at = clock()
        if response is None:
            self._finish(Outcome.RESET, seen_at=seen_at)
            return
        self._take_response(connection, response, seen_at)
        self._keep_connection(connection, upstream)

    # --- Connecting ----------------------------------------------------------------------------------
    def _dial(self, upstream: PooledUpstream) -> Connection | None:
        """Return a new connection, or None if the attempt has ended instead."""
        if self._must_not_send(upstream):
            self._finish(Outcome.NOT_SENT)
            return None
        if not self.budget.descriptors.try_acquire():
            log.warning("no_descriptor_available", endpoint=self.attempt.endpoint)
            self._finish(Outcome.CONNECT_FAILED)
            return None
        return self.pool.dial(upstream, self._set_socket)

    def _set_socket(self, sock: socket.socket) -> None:
        self.attempt.sock = sock

    def _must_not_send(self, upstream: PooledUpstream) -> bool:
        """Return whether the attempt must not be sent any more.

        While this greenlet waited, the endpoint may have begun to drain, the client may have disconnected,
        the request may have been completed or a deadline may have passed.
        """
        attempt = self.attempt
        request = attempt.request
        if attempt.has_ended or request.is_completed or upstream.status is not EndpointStatus.UP:
            return True
        if clock() >= min(attempt.deadline, attempt.write_deadline):
            return True
        # A disconnect may not have been detected yet, or its notification may still be queued.
        return request.has_client_disconnected()

    # --- Writing -------------------------------------------------------------------------------------
    def _write_request(self, connection: Connection) -> bool:
        """Write the whole request; return False if the attempt has ended instead."""
        attempt = self.attempt
        remaining = attempt.deadline - clock()
        request = attempt.request.client_request
        connection.reader.is_response_to_head = request.method == "HEAD"
        timeout = min(remaining, attempt.request.timeout)
        data = encode_request(request, connection.address, timeout)
        if attempt.write_deadline < attempt.deadline:
            try:
                connection.write_within(data, (attempt.write_deadline - clock()) / SECOND)
            except TimeoutError:
                # The endpoint has not got the last byte, which it must not get any more.
                self._finish(Outcome.NOT_SENT)
                return False
        else:
            connection.write(data)
        if request.body_chunks or request.body_stream is not None:
            if not self._write_long_body(connection, request):
                return False
            attempt.sent_at = clock()
            self.runner.notify(SentBody(attempt), attempt.sent_at)
        return True

    def _write_long_body(self, connection: Connection, request: ClientRequest) -> bool:
        """Write a body chunk by chunk; return False if the attempt has ended instead."""
        if request.body_stream is not None:
            with self.budget.memory.streaming():
                return self._forward_body(connection, request.body_stream)
        for body_chunk in request.body_chunks:
            connection.write(body_chunk)
            yield_to_event_loop()
        return True

    def _forward_body(self, connection: Connection, body: BodyStream) -> bool:
        """Forward a body as it arrives; return False if the attempt has ended instead."""
        is_chunked = body.content_length is None
        while not self.attempt.has_ended and (body_chunks := body.read_chunks()):
            if is_readable(connection.sock):
                # The upstream responded or closed before the end of the request, so it was not executed.
                self._finish(Outcome.CONNECT_FAILED)
                return False
            write_chunks(connection.write, body_chunks, is_chunked)
        if self.attempt.has_ended:
            return False
        if is_chunked:
            connection.write(LAST_CHUNK)
        return True

    # --- Reading -------------------------------------------------------------------------------------
    def _response_hold(self) -> ResponseHold:
        """Return until when a response without a length is held back; its attempt's deadline may move."""
        attempt = self.attempt
        now = clock()
        hold_us = min(MAX_HOLD_US, (attempt.deadline - now) // 2)
        return ResponseHold(now + hold_us, lambda: attempt.deadline - STREAM_MARGIN_US)

    def _reserve_memory(self, size: int) -> None:
        """Wait until there is memory for a response of `size` bytes, and reserve it.

        Raises:
            TimeoutError: The attempt ended before there was.
        """
        reserved = self.budget.memory.reserve_while(size, lambda: not self.attempt.has_ended)
        if reserved is None:
            raise TimeoutError("no memory for the response before the end of its attempt")
        self.reserved_bytes = reserved

    def _take_response(self, connection: Connection, response: Response, seen_at: int) -> None:
        """Stream a successful long response, or end the attempt with its response."""
        outcome = _outcome(response)
        if connection.reader.exceeds_body_buffer and outcome is Outcome.SUCCESS:
            # Even if the response is already complete, its body is not stored in `response`.
            self._stream_response(connection, response, seen_at)
        else:
            self._finish(outcome, response, seen_at)

    def _stream_response(self, connection: Connection, response: Response, seen_at: int) -> None:
        """Stream a long response; the greenlet of the client's connection reads it and writes it."""
        stream = ResponseStream(
            connection, response, STREAM_STALL_TIMEOUT_SECONDS, self.budget.memory.chunk_size
        )
        latency = seen_at - self.attempt.sent_at
        with self.budget.memory.streaming():
            self.runner.notify(StartedResponse(self.attempt, latency, stream), seen_at)
            outcome = stream.outcome.get()
        connection.sock.settimeout(None)
        self._finish(outcome, response, self.attempt.sent_at + latency)

    def _keep_connection(self, connection: Connection, upstream: PooledUpstream) -> None:
        """Return the connection to the pool if it can be reused; otherwise `run` closes it."""
        response = connection.reader.completed_response
        if response is None or not response.keep_alive or connection.reader.has_unexpected_data:
            return
        if upstream.status is EndpointStatus.UP:
            self.attempt.sock = None
            connection.reader.start_next_response()
            self.pool.keep_idle(connection, upstream, clock())
            self.connection = None

    # --- Reporting the end ---------------------------------------------------------------------------
    def _finish_after_connection_error(self) -> None:
        """End the attempt after an error of its connection."""
        self._finish(Outcome.RESET if self.attempt.is_written else Outcome.CONNECT_FAILED)

    def _finish_after_malformed_message(self, error: MalformedMessageError) -> None:
        """End the attempt after malformed bytes of the endpoint."""
        attempt = self.attempt
        log.warning(
            "response_malformed",
            endpoint=attempt.endpoint,
            fault=str(error),
            trace_id=attempt.request.client_request.trace_id,
            attempt=attempt.index,
            elapsed_ms=(clock() - attempt.sent_at) // MILLISECOND,
            body_bytes=self.connection.reader.body_size if self.connection else 0,
        )
        self._finish(Outcome.ERROR)

    def _finish(self, outcome: Outcome, response: Response | None = None, seen_at: int | None = None) -> None:
        """Report the end of the attempt, unless it has already ended."""
        attempt = self.attempt
        if attempt.has_ended:
            return
        attempt.has_ended = True
        if seen_at is None:
            seen_at = clock()
        load_report: tuple[float, ...] = ()
        if response is not None and response.load_report:
            load_report = parse_load_report(response.load_report, self.runner.report_fields)
        has_complete_response = outcome is Outcome.SUCCESS and not attempt.has_response_started
        latency = seen_at - attempt.sent_at
        client_response = response if has_complete_response else None
        finished = FinishedAttempt(attempt, outcome, latency, client_response, load_report)
        self.runner.notify(finished, seen_at)


def _outcome(response: Response) -> Outcome:
    if response.status == statuses.OK:
        return Outcome.SUCCESS
    if response.status in OVERLOAD_STATUSES and response.is_unprocessed:
        return Outcome.OVERLOADED
    return Outcome.ERROR
