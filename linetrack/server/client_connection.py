"""One connection of the application: serves its requests and writes their responses, one at a time.

Reading them is in `request_receiver.py`.  It does not decide about requests:
each goes to the dispatcher, whose final response is written.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

import gevent
from gevent import socket

from linetrack.control.connection_slots import SlotState
from linetrack.control.diagnostics import ConnectionEnd, Refusal
from linetrack.control.memory_pressure import MemoryLevel
from linetrack.policy.events import RequestReceived
from linetrack.policy.time_units import MILLISECOND
from linetrack.server import client_timeouts
from linetrack.server.active_request import FinalResponse
from linetrack.server.clock import NEVER, clock
from linetrack.server.connection_host import ConnectionHost
from linetrack.server.greenlets import yield_to_event_loop
from linetrack.server.http1 import statuses
from linetrack.server.http1.errors import MalformedMessageError
from linetrack.server.http1.requests import READINESS_PATH, ClientRequest
from linetrack.server.http1.responses import encode_response
from linetrack.server.lingering_close import discard_until_close
from linetrack.server.logging_setup import get_logger
from linetrack.server.memory_budget import SMALL_BODY_BYTES
from linetrack.server.memory_monitor import SMALL_REQUEST_INTERVAL_US
from linetrack.server.notifications import IncomingRequest
from linetrack.server.pending_request import PendingRequest
from linetrack.server.request_receiver import RequestReceiver
from linetrack.server.request_upload import RequestUpload
from linetrack.server.response_writer import write_response, write_stream
from linetrack.server.sockets import is_readable

log = get_logger(__name__)

MIN_WAITING_AGE_US = 10_000  # from which a request counts as one that has waited before it was dispatched
EVENT_LOOP_READ = 1  # the event loop's constant for "readable"


class ConnectionMigratedError(Exception):
    """Raised in a connection's greenlet that waits for a request, so that the connection can be migrated."""


class StalledRequestError(MalformedMessageError):
    """Raised in a connection's greenlet whose request is not complete in time, or holds what others need."""

    def __init__(self, end: ConnectionEnd) -> None:
        super().__init__("the request stalled", statuses.REQUEST_TIMEOUT)
        self.end = end


class ClientConnection(RequestReceiver):
    """One connection of the application, which serves the requests that it receives.

    Attributes:
        end: Why the connection ended, once it has.
        upload: The body that is being streamed to an upstream, if any.
    """

    __slots__ = ("end", "greenlet", "upload", "watcher")

    def __init__(self, sock: socket.socket, host: ConnectionHost) -> None:
        super().__init__(sock, host)
        self.end = ConnectionEnd.CLIENT
        self.upload: RequestUpload | None = None
        self.greenlet = gevent.Greenlet(self.serve)
        # A watcher for the whole connection, which replaces a greenlet per request; its callback never waits.
        self.watcher = gevent.get_hub().loop.io(sock.fileno(), EVENT_LOOP_READ)

    # --- State that the listener checks ------------------------------------------------------------------
    def is_idle(self) -> bool:
        """Return whether no request is being read or served and no unread bytes have arrived."""
        return self.is_between_requests() and not is_readable(self.sock)

    def is_between_requests(self) -> bool:
        """Return whether no request is pending or being served, and no byte of the next one was read."""
        return not (self.is_busy or self.pending_requests or self.has_begun_request)

    def is_reading_request(self) -> bool:
        """Return whether it waits for the rest of a request."""
        return self.reader.has_partial_request and not self.is_busy

    def is_incomplete(self) -> bool:
        """Return whether it waits for the rest of a request, which may be streamed meanwhile."""
        upload = self.upload
        return self.is_reading_request() or (upload is not None and upload.is_waiting_for_client)

    def held_bytes(self) -> int:
        """Return the memory that its requests hold beyond that of any connection."""
        return self.reader.buffered_bytes + self.read_ahead.size + self.memory.reserved_bytes

    def expire(self) -> None:
        """Reject an incomplete request, or close the connection; called by the listener at the deadline."""
        if self.is_incomplete():
            self.reject_stalled(ConnectionEnd.STALLED)
        else:
            self.end = ConnectionEnd.EXPIRED
            self.sock.close()

    def evict(self) -> None:
        """Reject an incomplete request or close an idle connection, to make room for another one."""
        if self.is_incomplete():
            self.reject_stalled(ConnectionEnd.SHED)
        else:
            self.end = ConnectionEnd.EVICTED
            self.sock.close()

    def reject_stalled(self, end: ConnectionEnd) -> None:
        """Reject an incomplete request, and record why."""
        error = StalledRequestError(end)
        if self.upload is not None:
            self.host.run_soon(partial(self.upload.abort, error))
        else:
            self.interrupt(error, ClientConnection.is_reading_request)

    def interrupt(self, error: Exception, still_applies: Callable[[ClientConnection], bool]) -> None:
        """Raise the error in the connection's greenlet, if it still applies when the event loop runs.

        By then a request may be complete, and a greenlet that waits for its response must not be interrupted.
        """

        def raise_in_greenlet() -> None:
            """Run later, from the event loop."""
            if still_applies(self) and not self.greenlet.dead:
                self.greenlet.throw(error)

        self.host.run_soon(raise_in_greenlet)

    # --- The connection's greenlet -----------------------------------------------------------------------
    def serve(self) -> None:
        """Serve requests until the connection ends or is migrated."""
        try:
            self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._serve_requests()
        except MalformedMessageError as error:
            self._record_malformed(error)
            self._reject(error.status, isinstance(error, StalledRequestError))
        except OSError:
            pass  # the client disconnected, or the listener closed the connection
        except Exception:
            # Without this, a greenlet that fails would end silently.
            self.end = ConnectionEnd.DEFECT
            log.exception("client_connection_failed")
        finally:
            self.watcher.close()
            self.sock.close()
            self.reader.close()
            self.read_ahead.discard()
            self.release_memory()
            self.memory.end_upload()
            self.host.on_connection_closed(self)

    def _record_malformed(self, error: MalformedMessageError) -> None:
        """Log and count what is no request, or one that is not complete in time."""
        reader = self.reader
        is_identified = reader.has_partial_request and reader.is_head_complete
        self.end = error.end if isinstance(error, StalledRequestError) else ConnectionEnd.MALFORMED
        self.host.metrics.diagnostics.malformed_requests[error.status] += 1
        log.warning(
            "request_malformed",
            fault=str(error),
            status=error.status,
            trace_id=reader.request.trace_id if is_identified else "",
            reason=self.end.value,
            body_bytes=reader.body_size,
            age_ms=(clock() - self.timeout_started_at) // MILLISECOND,
            idle_ms=(clock() - self.received_at) // MILLISECOND,
        )

    def _serve_requests(self) -> None:
        while not self._try_migrate():
            try:
                if not self.pending_requests and not self.read_requests():
                    return
                if not self._serve_request(self.pending_requests.popleft()):
                    return
                if self.pending_requests or self.has_begun_request:
                    yield_to_event_loop()
            except ConnectionMigratedError:
                pass  # interrupted while it waited for a request

    def _try_migrate(self) -> bool:
        """Migrate the connection with all its unread bytes, if requested; return whether it was migrated."""
        if self.host.migrate is None or not self.is_between_requests():
            return False
        self.is_busy = True  # prevents the listener from closing or interrupting it meanwhile
        is_migrated = self.host.migrate(self.sock.fileno(), self.response_count)
        self.is_busy = False
        if is_migrated:
            self.end = ConnectionEnd.MIGRATED
        return is_migrated

    # --- Serving a request -------------------------------------------------------------------------------
    def _serve_request(self, request: ClientRequest) -> bool:
        """Serve one request; return whether the connection is kept open."""
        if not self.is_open():
            raise ConnectionAbortedError("the connection was closed before its request was served")
        self.is_busy = True
        self.deadline = NEVER
        if request.path == READINESS_PATH:
            self.host.slots.finish_readiness_check(self.slot, clock())
            status = statuses.OK if self.host.is_serving() else statuses.SERVICE_UNAVAILABLE
            return self._respond(request, FinalResponse(status))
        if self.host.budget.monitor.measure(SMALL_REQUEST_INTERVAL_US) >= MemoryLevel.REFUSING:
            return self._refuse_for_memory(request)
        if len(request.body) > SMALL_BODY_BYTES:
            # While it waits for memory, the connection must not be taken for an idle or incomplete one.
            self.host.slots.receive_request(self.slot, self.received_at)
            if not self.memory.reserve_for_request(request, self.received_at):
                self.host.metrics.diagnostics.refusals[Refusal.NO_MEMORY] += 1
                return self._respond(request, FinalResponse(statuses.SERVICE_UNAVAILABLE))
        time_left = self._time_left(request)
        if time_left is not None and time_left <= 0:
            self.host.slots.receive_request(self.slot, self.received_at)
            self.host.validator.count_rejection(request)
            self.host.metrics.diagnostics.refusals[Refusal.NO_TIME_LEFT] += 1
            return self._respond(request, FinalResponse(statuses.SERVICE_UNAVAILABLE))
        event = self.host.validator.accept(request)
        self.host.slots.receive_request(self.slot, self.received_at)
        starts_at = self.received_at
        if time_left is not None:
            event.timeout = min(event.timeout, time_left)
            starts_at = clock()
        response = self._dispatch(request, event, starts_at)
        return response is not None and self._respond(request, response)

    def _refuse_for_memory(self, request: ClientRequest) -> bool:
        """Refuse a request as memory is short, and close the connection, which also holds some."""
        self.host.slots.receive_request(self.slot, self.received_at)
        self.host.validator.validate(request)
        self.host.validator.count_rejection(request)
        self.host.metrics.diagnostics.refusals[Refusal.NO_MEMORY] += 1
        request.keep_alive = False
        return self._respond(request, FinalResponse(statuses.SERVICE_UNAVAILABLE))

    def _time_left(self, request: ClientRequest) -> int | None:
        """Return the time left to a request that had to wait for its turn; None if it did not."""
        age = clock() - self.received_at
        return self.host.validator.effective_timeout(request) - age if age >= MIN_WAITING_AGE_US else None

    def _dispatch(
        self, request: ClientRequest, event: RequestReceived, starts_at: int
    ) -> FinalResponse | None:
        """Dispatch the request and return its final response, or None if the client disconnects first."""
        pending = PendingRequest(
            self.host.dispatcher, self.sock, event.request_id, request.keep_alive, self.received_at
        )
        incoming = IncomingRequest(request, event, pending.result.set, pending.is_abandoned)
        self.host.dispatcher.enqueue(incoming, starts_at)
        upload = request.body_stream
        if isinstance(upload, RequestUpload):
            # Reading the body detects a disconnect, or the listener if the upstream is slow; after the end
            # of the body, the watcher does.
            upload.on_aborted = pending.abandon
            upload.on_complete = partial(self.watcher.start, self._on_readable, pending)
            self.upload = upload
            self.host.unread_connections[self] = pending
        else:
            self.watcher.start(self._on_readable, pending)
        try:
            response: FinalResponse | None = pending.result.get()
        finally:
            self.watcher.stop()
            self.host.unread_connections.pop(self, None)
            self.host.validator.finish(request.trace_id)
            if isinstance(upload, RequestUpload):
                upload.detach()
                self.upload = None
        if isinstance(upload, RequestUpload) and upload.error is not None:
            raise upload.error
        return response

    def _on_readable(self, pending: PendingRequest) -> None:
        """Handle bytes or a disconnect while a request is pending; called by the event loop.

        Bytes that must stay unread would hide a later disconnect from the watcher; from then on the listener
        checks for it.
        """
        if pending.is_abandoned():
            self.watcher.stop()
        elif not self.read_ahead.receive(self.sock):
            self.watcher.stop()
            self.host.unread_connections[self] = pending

    # --- Writing the response ----------------------------------------------------------------------------
    def _respond(self, request: ClientRequest, response: FinalResponse) -> bool:
        """Write the response; return whether the connection is kept open."""
        keep_alive = self._decide_keep_alive(request)
        if response.stream is None:
            write_response(self, request, response, keep_alive, self.host.rounds_retry_after)
        elif not write_stream(self, request, response.stream, keep_alive):
            self.end = ConnectionEnd.ABORTED_RESPONSE
            return False
        if not keep_alive:
            self.end = ConnectionEnd.FINAL_RESPONSE
        self._finish_response(keep_alive)
        return keep_alive

    def _decide_keep_alive(self, request: ClientRequest) -> bool:
        """Return whether the connection is kept open after the response."""
        if not request.keep_alive or not request.is_complete:
            return False
        has_unserved_bytes = self.reader.has_unparsed_bytes or self.read_ahead.size
        if self.host.is_closing and not self.pending_requests and not has_unserved_bytes:
            return False
        has_next_request = bool(self.pending_requests) or self.has_begun_request
        if self.slot.state is not SlotState.BUSY or has_next_request:
            return True
        # The next request may have arrived already and must not be lost by closing.
        return self.host.slots.decide_keep_alive(self.slot, clock()) or is_readable(self.sock)

    def _finish_response(self, keep_alive: bool) -> None:
        """After the response, prepare for the next request or for closing the connection."""
        self.is_busy = False
        self.response_count += 1
        self.release_memory()
        self.memory.end_upload()
        if keep_alive:
            now = clock()
            self.timeout_started_at = now
            self.deadline = now + client_timeouts.REQUEST_TIMEOUT_US
            if self.slot.state is SlotState.BUSY and not self.has_begun_request:
                self.deadline = NEVER  # `slots` decides how long the idle connection is kept
                self.host.slots.mark_idle(self.slot, now)
        elif self.has_begun_request or is_readable(self.sock):
            self._linger()

    def _reject(self, status: int, has_stalled: bool) -> None:
        """Respond to an invalid or stalled request and prepare for closing the connection."""
        self.is_busy = True
        try:
            self.sock.sendall(encode_response(status, keep_alive=False))
            self._linger(has_stalled)
        except OSError:
            pass

    def _linger(self, has_stalled: bool = False) -> None:
        """Discard what the client still sends, so that it is not parsed as a request.

        A client that has stalled gets no time for the rest of its body, as it was not sending it.
        """
        self.is_busy = True
        self.reader.discard_bytes()
        self.read_ahead.discard()
        self.release_memory()
        self.memory.end_upload()
        is_body_incomplete = self.reader.has_partial_request and self.reader.request.body_stream is not None
        discard_until_close(self, is_body_incomplete and not has_stalled)
