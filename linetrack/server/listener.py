"""The listener for the application's connections, and the connections that it has accepted.

It accepts connections within the budget, and closes those that are evicted, were idle for too long or have
passed their deadlines.  A single connection is handled in `client_connection.py`, the validation of requests
in `request_validation.py`.
"""

from __future__ import annotations

import contextlib
from collections.abc import Callable

import gevent
from gevent import socket

from linetrack.control.connection_slots import ConnectionSlot, ConnectionSlots, SlotState
from linetrack.control.diagnostics import ConnectionEnd
from linetrack.control.memory_pressure import MemoryLevel
from linetrack.control.metrics import Metrics
from linetrack.policy.time_units import SECOND
from linetrack.server import recent_request_ids
from linetrack.server.budget import Budget
from linetrack.server.client_connection import ClientConnection, ConnectionMigratedError
from linetrack.server.clock import NEVER, clock
from linetrack.server.connection_host import HostedConnection
from linetrack.server.dispatcher import Dispatcher
from linetrack.server.logging_setup import get_logger
from linetrack.server.pending_request import PendingRequest
from linetrack.server.request_validation import RequestValidator
from linetrack.server.sockets import is_readable, is_transient_accept_error

log = get_logger(__name__)

LISTEN_BACKLOG = 1024
SWEEP_INTERVAL_SECONDS = 0.1  # between checks for connections that have passed their deadlines
ACCEPT_BATCH_SIZE = 64  # the maximum number of connections accepted in one turn of the event loop
ACCEPT_RETRY_SECONDS = 0.01  # the delay before accepting is retried if no descriptor was available
# While memory is short: the time between looks at all connections, and the time without a byte after which an
# incomplete request counts as stalled.
STALL_CHECK_INTERVAL_US = 5_000
MIN_STALL_US = SECOND // 4
#: How many requests one sweep rejects at most as memory is short, and as it is critically so.
MAX_SHED_PER_SWEEP = 8
MAX_ENDED_PER_SWEEP = 8
#: A request that holds less is not ended for its memory, as that would gain nothing.
MIN_ENDED_BYTES = 16 * 1024


class Listener:
    """Accepts connections and keeps track of the open ones, as their `ConnectionHost`.

    Args:
        dispatcher: Receives the requests.
        budget: The budget of the process.
        class_names: The request classes, in the order of their indices.
        deadlines: The maximum duration of a request of each class, in microseconds.
        is_serving: Returns whether the process is ready for requests.
        rounds_retry_after: Whether `Retry-After` headers are rounded up to whole seconds.
        metrics: The counters of the process.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        budget: Budget,
        class_names: tuple[str, ...],
        deadlines: tuple[int, ...],
        is_serving: Callable[[], bool],
        rounds_retry_after: bool = False,
        metrics: Metrics | None = None,
    ) -> None:
        self.dispatcher = dispatcher
        self.budget = budget
        self.is_serving = is_serving
        self.rounds_retry_after = rounds_retry_after
        self.metrics = metrics or Metrics()
        self.validator = RequestValidator(dispatcher, class_names, deadlines)
        self.slots = ConnectionSlots(budget.descriptors.client_slots)
        self.connections: dict[ConnectionSlot, ClientConnection] = {}
        self.unread_connections: dict[HostedConnection, PendingRequest] = {}
        self.migrate: Callable[[int, int], bool] | None = None
        self.is_closing = False
        self._next_stall_check_at = 0
        self.listening_socket: socket.socket | None = None
        self.run_soon: Callable[[Callable[[], None]], object] = gevent.get_hub().loop.run_callback
        budget.descriptors.evict_client = self._evict
        budget.monitor.describe_holders = self.describe_holders

    # --- Accepting ---------------------------------------------------------------------------------------
    def listen(self, address: tuple[str, int], reuse_port: bool = False) -> None:
        """Open the listening socket; with `reuse_port`, another process can listen on the same address."""
        self.listening_socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.listening_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if reuse_port:
            with contextlib.suppress(OSError):
                self.listening_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        self.listening_socket.bind(address)
        self.listening_socket.listen(LISTEN_BACKLOG)

    def accept(self) -> None:
        """Run forever and accept connections; those beyond the budget wait in the backlog."""
        assert self.listening_socket is not None
        while True:
            # Wait first, as a connection is evicted only for another one that is in the backlog.
            socket.wait_read(self.listening_socket.fileno())
            self._accept_batch(self.listening_socket)

    def _accept_batch(self, listening_socket: socket.socket) -> None:
        """Accept several connections in one turn of the event loop.

        Under load a turn takes long.  If each connection had to wait for a turn of its own, clients would
        time out and reconnect.
        """
        for _ in range(ACCEPT_BATCH_SIZE):
            if not is_readable(listening_socket):
                return
            while self.budget.monitor.measure() >= MemoryLevel.CRITICAL:
                gevent.sleep(ACCEPT_RETRY_SECONDS)
            while not self.budget.descriptors.try_acquire_client():
                gevent.sleep(0 if self._evict() else ACCEPT_RETRY_SECONDS)
            try:
                self._accept_one()
            except OSError as error:
                if not is_transient_accept_error(error):
                    raise
                log.error("accept_failed", fault=str(error))
                gevent.sleep(ACCEPT_RETRY_SECONDS)

    def _accept_one(self) -> None:
        """Accept one connection, for which a descriptor was acquired; release the descriptor on failure."""
        assert self.listening_socket is not None
        try:
            sock, _ = self.listening_socket.accept()
        except BaseException:
            self.budget.descriptors.release_client()
            raise
        self._start_connection(sock)

    def _start_connection(self, sock: socket.socket) -> ClientConnection:
        connection = ClientConnection(sock, self)
        self.connections[connection.slot] = connection
        connection.greenlet.start()
        return connection

    def on_connection_closed(self, connection: HostedConnection) -> None:
        """Free the slot and the descriptor of a connection that was closed."""
        del self.connections[connection.slot]
        self.metrics.diagnostics.connection_ends[connection.end] += 1
        self.slots.close(connection.slot, clock())
        self.budget.descriptors.release_client()

    # --- Closing -----------------------------------------------------------------------------------------
    def sweep(self) -> None:
        """Run forever and close expired connections; also discard old request identifiers."""
        sweeps_since_discard = 0
        while True:
            gevent.sleep(SWEEP_INTERVAL_SECONDS)
            self.close_expired(clock())
            sweeps_since_discard += 1
            if sweeps_since_discard * SWEEP_INTERVAL_SECONDS >= recent_request_ids.GENERATION_SECONDS:
                sweeps_since_discard = 0
                self.validator.recent_ids.forget_older()

    def close_expired(self, now: int) -> None:
        """Close connections past their deadline or not worth their slot, and detect disconnected clients."""
        expired = [connection for connection in self.connections.values() if connection.deadline <= now]
        for connection in expired:
            is_reading = connection.is_busy or connection.has_begun_request
            # A request may have arrived just before the deadline and be unread: that connection is kept.
            if is_reading or not is_readable(connection.sock):
                connection.expire()
        for unread, pending in list(self.unread_connections.items()):
            if pending.is_abandoned():
                self.unread_connections.pop(unread, None)
        while self._close_selected(self.slots.select_expired):
            pass
        self._relieve_memory(now)

    def _relieve_memory(self, now: int) -> None:
        """Free memory as its level demands: idle connections first, then incomplete requests."""
        level = self.budget.monitor.measure()
        if level < MemoryLevel.SHEDDING:
            return
        while self._close_selected(self.slots.select_idle):
            pass
        incomplete = [connection for connection in self.connections.values() if connection.is_incomplete()]
        stalled = [
            connection
            for connection in incomplete
            if now - connection.received_at >= MIN_STALL_US and not is_readable(connection.sock)
        ]
        stalled.sort(key=lambda connection: connection.received_at)
        for connection in stalled[:MAX_SHED_PER_SWEEP]:
            connection.reject_stalled(ConnectionEnd.SHED)
        if level >= MemoryLevel.CRITICAL:
            largest = sorted(incomplete, key=lambda connection: connection.held_bytes(), reverse=True)
            for connection in largest[:MAX_ENDED_PER_SWEEP]:
                if connection.held_bytes() >= MIN_ENDED_BYTES:
                    connection.reject_stalled(ConnectionEnd.SHED)

    def describe_holders(self) -> dict[str, int]:
        """Return how many bytes the connections hold, by the state of their requests."""
        holders = dict.fromkeys(("incomplete", "upload", "busy", "other"), 0)
        for connection in self.connections.values():
            if connection.upload is not None:
                kind = "upload"
            elif connection.is_reading_request():
                kind = "incomplete"
            else:
                kind = "busy" if connection.is_busy else "other"
            holders[kind] += connection.held_bytes()
        return holders

    def reject_stalled_request(self) -> None:
        """Reject the incomplete request that has stalled longest, as there is no memory for others.

        As it looks at all connections, it does so once in `STALL_CHECK_INTERVAL_US`.
        """
        now = clock()
        if now < self._next_stall_check_at:
            return
        self._next_stall_check_at = now + STALL_CHECK_INTERVAL_US
        stalled = [
            connection
            for connection in self.connections.values()
            if connection.is_incomplete()
            and (connection.memory.reserved_bytes or connection.memory.is_upload)
            and now - connection.received_at >= MIN_STALL_US
            and not is_readable(connection.sock)
        ]
        if stalled:
            longest = min(stalled, key=lambda connection: connection.received_at)
            longest.reject_stalled(ConnectionEnd.SHED)

    def _evict(self) -> bool:
        """Close a connection to make room for another one; return False if none may be closed yet."""
        return self._close_selected(self.slots.select_eviction)

    def _close_selected(self, select: Callable[[int], ConnectionSlot | None]) -> bool:
        now = clock()
        while slot := select(now):
            connection = self.connections[slot]
            if slot.state is not SlotState.PARTIAL_REQUEST and not connection.is_idle():
                # Bytes have arrived that its greenlet has not read yet.
                self.slots.begin_request(slot, now)
                continue
            self.slots.close(slot, now)
            connection.evict()
            return True
        return False

    # --- Hot restart and shutdown ------------------------------------------------------------------------
    def adopt(self, fd: int, response_count: int) -> None:
        """Serve a connection that was migrated from another process."""
        self.budget.descriptors.adopt_client()
        connection = self._start_connection(socket.socket(fileno=fd))
        if response_count:
            now = clock()
            connection.response_count = response_count
            connection.deadline = NEVER
            self.slots.receive_request(connection.slot, now)
            self.slots.mark_idle(connection.slot, now)

    def migrate_connections(self, migrate: Callable[[int, int], bool]) -> None:
        """From now on, migrate each connection to another process as soon as it is between requests."""
        self.migrate = migrate
        # Let new greenlets start: one that is interrupted before its start would never run.
        gevent.sleep(0)
        for connection in list(self.connections.values()):
            if connection.is_between_requests():
                connection.interrupt(ConnectionMigratedError(), ClientConnection.is_between_requests)

    def stop_accepting(self) -> None:
        """Accept the connections in the backlog, then close the listening socket.

        A request in the backlog must not be lost because other connections occupy all slots: until the
        shutdown deadline, one of them can be evicted.
        """
        assert self.listening_socket is not None
        self.listening_socket.setblocking(False)
        while is_readable(self.listening_socket) and clock() < self.dispatcher.shutdown_deadline:
            if not self.budget.descriptors.try_acquire_client():
                gevent.sleep(0 if self._evict() else ACCEPT_RETRY_SECONDS)
                continue
            try:
                self._accept_one()
            except OSError as error:
                log.error("accept_failed", fault=str(error))
                gevent.sleep(ACCEPT_RETRY_SECONDS)
        self.listening_socket.close()

    def close_between_requests(self) -> None:
        """From now on, close each connection as soon as it is between requests."""
        self.is_closing = True
        for connection in list(self.connections.values()):
            if connection.is_idle():
                connection.end = ConnectionEnd.SHUTDOWN
                connection.sock.close()
