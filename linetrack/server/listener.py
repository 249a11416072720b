"""The application's listener and the connections that it has accepted.

It accepts connections within the budget, and closes those that are evicted, have expired or are out of
time.  What happens on one connection is `client_connection.py`'s, what a valid request is
`request_validation.py`'s.
"""

from __future__ import annotations

import contextlib
from collections.abc import Callable

import gevent
import structlog
from gevent import socket

from linetrack.control.connection_slots import ConnectionSlot, ConnectionSlots, SlotState
from linetrack.policy.time_units import SECOND
from linetrack.server import client_timeouts
from linetrack.server.budget import Budget
from linetrack.server.client_connection import ClientConnection, ConnectionMigratedError
from linetrack.server.clock import NEVER, clock
from linetrack.server.dispatcher import Dispatcher
from linetrack.server.pending_request import PendingRequest
from linetrack.server.request_validation import RequestValidator
from linetrack.server.sockets import is_readable, is_transient_accept_error

log = structlog.get_logger()

LISTEN_BACKLOG = 1024
SWEEP_INTERVAL_SECONDS = 0.1  # between checks for connections that are out of time
ACCEPT_BATCH_SIZE = 64  # connections accepted in one turn of the event loop
ACCEPT_RETRY_SECONDS = 0.01  # until accepting is tried again where the budget or the process had no room


class Listener:
    """Accepts connections and keeps all that are open; the `ConnectionHost` of its connections.

    Args:
        dispatcher: Gets the requests.
        budget: Of the process.
        class_names: The request classes, in the order of their indices.
        deadlines: Microseconds that a request of each class may take.
        is_serving: Whether the process is ready for requests.
        rounds_retry_after: Whether advice to retry is given in whole seconds.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        budget: Budget,
        class_names: tuple[str, ...],
        deadlines: tuple[int, ...],
        is_serving: Callable[[], bool],
        rounds_retry_after: bool = False,
    ) -> None:
        self.dispatcher = dispatcher
        self.budget = budget
        self.is_serving = is_serving
        self.rounds_retry_after = rounds_retry_after
        self.validator = RequestValidator(dispatcher, class_names, deadlines)
        self.slots = ConnectionSlots(budget.descriptors.client_slots)
        self.connections: dict[ConnectionSlot, ClientConnection] = {}
        self.unread_connections: dict[ClientConnection, PendingRequest] = {}
        self.migrate: Callable[[int, int], bool] | None = None
        self.is_closing = False
        self.listening_socket: socket.socket | None = None
        self.run_soon: Callable[[Callable[[], None]], object] = gevent.get_hub().loop.run_callback
        budget.descriptors.evict_client = self._evict

    # --- Accepting ---------------------------------------------------------------------------------------
    def listen(self, address: tuple[str, int], reuse_port: bool = False) -> None:
        """Open the listening socket; with `reuse_port` another process can listen on the same address."""
        self.listening_socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.listening_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if reuse_port:
            with contextlib.suppress(OSError):
                self.listening_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        self.listening_socket.bind(address)
        self.listening_socket.listen(LISTEN_BACKLOG)

    def accept(self) -> None:
        """Accept connections, for ever; beyond the budget they wait in the backlog."""
        assert self.listening_socket is not None
        while True:
            # Connections are evicted only once another one waits.
            socket.wait_read(self.listening_socket.fileno())
            self._accept_batch(self.listening_socket)

    def _accept_batch(self, listening_socket: socket.socket) -> None:
        """Accept several connections in one turn of the event loop.

        A turn is long when there is much to do, and clients that wait a turn each would give up and come
        again.
        """
        for _ in range(ACCEPT_BATCH_SIZE):
            if not is_readable(listening_socket):
                return
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
        """Accept one connection, whose descriptor was acquired; it is released where that fails."""
        assert self.listening_socket is not None
        try:
            sock, _ = self.listening_socket.accept()
        except BaseException:
            self.budget.descriptors.release_client()
            raise
        self._serve(sock)

    def _serve(self, sock: socket.socket) -> ClientConnection:
        connection = ClientConnection(sock, self)
        self.connections[connection.slot] = connection
        connection.greenlet.start()
        return connection

    def connection_ended(self, connection: ClientConnection) -> None:
        """The connection is closed: free its slot and its descriptor."""
        del self.connections[connection.slot]
        self.slots.close(connection.slot, clock())
        self.budget.descriptors.release_client()

    # --- Closing -----------------------------------------------------------------------------------------
    def sweep(self) -> None:
        """Close connections that are out of time, for ever."""
        sweeps_since_forgetting = 0
        while True:
            gevent.sleep(SWEEP_INTERVAL_SECONDS)
            self.close_expired(clock())
            sweeps_since_forgetting += 1
            elapsed = sweeps_since_forgetting * SWEEP_INTERVAL_SECONDS * SECOND
            if elapsed >= client_timeouts.REQUEST_TIMEOUT_US:
                sweeps_since_forgetting = 0
                self.validator.recent_ids.forget_older()

    def close_expired(self, now: int) -> None:
        """Close whoever is out of time or not worth its slot, and find clients that have disconnected."""
        out_of_time = [connection for connection in self.connections.values() if connection.deadline <= now]
        for connection in out_of_time:
            is_reading = connection.is_busy or connection.reader.has_partial_request
            # A request may have arrived just as the time was over.
            if is_reading or not is_readable(connection.sock):
                connection.expire()
        for connection, pending in list(self.unread_connections.items()):
            if pending.is_abandoned():
                self.unread_connections.pop(connection, None)
        while self._close_selected(self.slots.select_expired):
            pass

    def _evict(self) -> bool:
        """Close a connection for another one; False where none may be closed yet."""
        return self._close_selected(self.slots.select_eviction)

    def _close_selected(self, select: Callable[[int], ConnectionSlot | None]) -> bool:
        now = clock()
        while slot := select(now):
            connection = self.connections[slot]
            if slot.state is not SlotState.PARTIAL_REQUEST and not connection.is_idle():
                # Something has arrived that its greenlet has not read yet.
                self.slots.begin_request(slot, now)
                continue
            self.slots.close(slot, now)
            connection.expire()
            return True
        return False

    # --- Hot restart and shutdown ------------------------------------------------------------------------
    def adopt(self, fd: int, response_count: int) -> None:
        """Serve a connection that another process has served so far."""
        self.budget.descriptors.adopt_client()
        connection = self._serve(socket.socket(fileno=fd))
        if response_count:
            now = clock()
            connection.response_count = response_count
            connection.deadline = NEVER
            self.slots.receive_request(connection.slot, now)
            self.slots.mark_idle(connection.slot, now)

    def migrate_connections(self, migrate: Callable[[int, int], bool]) -> None:
        """From now on hand each connection to another process as soon as no request is on it."""
        self.migrate = migrate
        # A greenlet that was interrupted before it began would never begin.
        gevent.sleep(0)
        for connection in list(self.connections.values()):
            if connection.is_between_requests():
                connection.interrupt(ConnectionMigratedError(), ClientConnection.is_between_requests)

    def stop_accepting(self) -> None:
        """Accept what is in the backlog, then close the listening socket.

        A request in the backlog must not be lost because other connections have all the slots: until the
        process ends there is time to evict one of them.
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
        """From now on close each connection as soon as no request is on it."""
        self.is_closing = True
        for connection in list(self.connections.values()):
            if connection.is_idle():
                connection.sock.close()
