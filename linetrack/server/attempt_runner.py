"""Runs attempts: a greenlet each, from the choice of a connection to the end of the response.

Each attempt that a greenlet ends is reported once.  The runner does not choose the endpoint, retries nothing
and never calls the policy.  What must not be sent any more is checked at the last moment before the first
byte, and the outcome then says that the attempt was never executed.
"""

from __future__ import annotations

import contextlib
from collections.abc import Callable

import gevent
import structlog
from gevent import socket

from linetrack.control.metrics import Metrics
from linetrack.policy.events import EndpointStatus, Outcome
from linetrack.policy.time_units import SECOND
from linetrack.server.active_request import Attempt
from linetrack.server.budget import Budget
from linetrack.server.clock import clock
from linetrack.server.connection import Connection
from linetrack.server.http1 import statuses
from linetrack.server.http1.encoding import LAST_CHUNK, encode_chunk
from linetrack.server.http1.errors import MalformedMessageError
from linetrack.server.http1.headers import parse_load_report
from linetrack.server.http1.requests import BodyStream, ClientRequest, encode_request
from linetrack.server.http1.responses import Response
from linetrack.server.notifications import FinishedAttempt, SentBody, StartedResponse
from linetrack.server.response_stream import ResponseStream
from linetrack.server.sockets import is_readable
from linetrack.server.upstream_pool import PooledUpstream, UpstreamPool

log = structlog.get_logger()

STREAM_STALL_TIMEOUT_SECONDS = 5.0  # without a byte, after which a streamed response is aborted
#: Of a response that says, by a header, that its request was not processed.
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
        """Prepare to run attempts.

        Args:
            pool: The endpoints and their connections.
            budget: Descriptors and memory.
            report_fields: The names of a load report's values, in the order of the policy's settings.
            notify: Takes notifications for the dispatcher and when they were seen, in microseconds.
            metrics: The counters of the process.
        """
        self.pool = pool
        self.budget = budget
        self.report_fields = report_fields
        self.notify = notify
        self.metrics = metrics or Metrics()

    def configure(self, report_fields: tuple[str, ...]) -> None:
        """Use these names of a load report's values from here on."""
        self.report_fields = report_fields

    def start(self, attempt: Attempt) -> None:
        """Run an attempt in a greenlet of its own, which takes its first turn later."""
        # without a Greenlet object: no other greenlet joins or kills it, and it raises nothing
        gevent.spawn_raw(_AttemptRun(self, attempt).run)

    def abort(self, attempt: Attempt) -> None:
        """Close the connection that the attempt is on, connected or connecting; its greenlet wakes up."""
        if attempt.sock is not None:
            # closing alone waits until that greenlet has run; the endpoint must see the end before a retry
            with contextlib.suppress(OSError):
                attempt.sock.shutdown(socket.SHUT_RDWR)
            attempt.sock.close()


class _AttemptRun:
    """One attempt while its greenlet runs, and what was taken for it."""

    __slots__ = ("attempt", "budget", "connection", "is_written", "pool", "reserved_bytes", "runner")

    def __init__(self, runner: AttemptRunner, attempt: Attempt) -> None:
        self.runner = runner
        self.pool = runner.pool
        self.budget = runner.budget
        self.attempt = attempt
        self.connection: Connection | None = None
        self.is_written = False
        self.reserved_bytes = 0

    def run(self) -> None:
        """Run the attempt to its end; raise nothing, and give back what was taken."""
        try:
            self._exchange()
        except OSError:
            self._finish_broken()
        except MalformedMessageError as error:
            self._finish_malformed(error)
        except Exception:
            # a greenlet that ended without a report would leave its request without a response
            log.exception("attempt_failed", endpoint=self.attempt.endpoint)
            self._finish_broken()
        finally:
            self.budget.memory.release(self.reserved_bytes)
            if self.connection is not None:
                self.pool.discard(self.connection)

    def _exchange(self) -> None:
        """Send the request and take its response."""
        upstream = self.pool.endpoints.get(self.attempt.endpoint)
        if upstream is None:
            # it was removed between the policy's decision and this turn
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
        self.is_written = True
        self.runner.metrics.attempts_sent += 1
        response = connection.read_response(self.pool.dial_timeout / SECOND, self._reserve_memory)
        seen_at = clock()
        if response is None:
            self._finish(Outcome.RESET, seen_at=seen_at)
            return
        self._take_response(connection, response, seen_at)
        self._keep_connection(connection, upstream)

    # --- Connecting ----------------------------------------------------------------------------------
    def _dial(self, upstream: PooledUpstream) -> Connection | None:
        """Return a new connection; None where the attempt has ended instead."""
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
        """Return whether the attempt has become pointless while this greenlet waited.

        The endpoint may have begun to drain, the client may have disconnected, or the request or its time may
        have ended.
        """
        attempt = self.attempt
        request = attempt.request
        if attempt.has_ended or request.is_completed or upstream.status is not EndpointStatus.UP:
            return True
        if clock() >= min(attempt.deadline, attempt.write_deadline):
            return True
        # the client's disconnect may still be in the dispatcher's queue, or not have been seen at all
        return request.has_client_disconnected()

    # --- Writing -------------------------------------------------------------------------------------
    def _write_request(self, connection: Connection) -> bool:
        """Write the whole request; return False where the attempt has ended instead."""
        attempt = self.attempt
        remaining = attempt.deadline - clock()
        request = attempt.request.client_request
        connection.reader.is_response_to_head = request.method == "HEAD"
        timeout = min(remaining, attempt.request.timeout)
        connection.write(encode_request(request, connection.address, timeout))
        if request.body_chunks or request.body_stream is not None:
            if not self._write_long_body(connection, request):
                return False
            attempt.sent_at = clock()
            self.runner.notify(SentBody(attempt), attempt.sent_at)
        return True

    def _write_long_body(self, connection: Connection, request: ClientRequest) -> bool:
        """Write a body in its chunks; return False where the attempt has ended instead."""
        if request.body_stream is not None:
            with self.budget.memory.streaming():
                return self._forward_body(connection, request.body_stream)
        for body_chunk in request.body_chunks:
            connection.write(body_chunk)
        return True

    def _forward_body(self, connection: Connection, body: BodyStream) -> bool:
        """Forward a body as it comes; return False where the attempt has ended instead."""
        is_chunked = body.content_length is None
        while body_chunks := body.read_chunks():
            if is_readable(connection.sock):
                # a response before the end of the request, or a close: it was not executed
                self._finish(Outcome.CONNECT_FAILED)
                return False
            for body_chunk in body_chunks:
                connection.write(encode_chunk(body_chunk) if is_chunked else body_chunk)
        if is_chunked:
            connection.write(LAST_CHUNK)
        return True

    # --- Reading -------------------------------------------------------------------------------------
    def _reserve_memory(self, size: int) -> None:
        """Wait for memory for a response of so many bytes."""
        self.reserved_bytes = self.budget.memory.wait_and_reserve(size)

    def _take_response(self, connection: Connection, response: Response, seen_at: int) -> None:
        """End the attempt by its response, or stream the response."""
        outcome = _outcome(response)
        if connection.reader.exceeds_body_buffer and outcome is Outcome.SUCCESS:
            # also where it is complete by now: its body is not in `response`
            self._stream_response(connection, response, seen_at)
        else:
            self._finish(outcome, response, seen_at)

    def _stream_response(self, connection: Connection, response: Response, seen_at: int) -> None:
        """Hand a long response over; the greenlet that writes it to the client also reads it."""
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
        """Make the connection idle if it can be reused; `run` closes it otherwise."""
        response = connection.reader.completed_response
        if response is None or not response.keep_alive or connection.reader.has_unexpected_data:
            return
        if upstream.status is EndpointStatus.UP and connection.address == upstream.address:
            self.attempt.sock = None
            connection.reader.start_next_response()
            self.pool.keep_idle(connection, upstream, clock())
            self.connection = None

    # --- The end -------------------------------------------------------------------------------------
    def _finish_broken(self) -> None:
        """End the attempt after a fault of its connection."""
        self._finish(Outcome.RESET if self.is_written else Outcome.CONNECT_FAILED)

    def _finish_malformed(self, error: MalformedMessageError) -> None:
        """End the attempt after bytes that are no message.

        They are the client's, of a streamed body, until the request is written, and then the endpoint's.
        """
        if not self.is_written:
            self._finish(Outcome.CONNECT_FAILED)
            return
        log.warning("response_malformed", endpoint=self.attempt.endpoint, fault=str(error))
        self._finish(Outcome.ERROR)

    def _finish(self, outcome: Outcome, response: Response | None = None, seen_at: int | None = None) -> None:
        """Report the attempt's end, unless it has ended."""
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
