"""The listener and the connections that it takes.

Owns accepting, the room for connections, and who makes way or is out of time.  Must never answer for the
module; what is on one connection is `client_connection.py`'s, what is a request `request_intake.py`'s.
"""

from __future__ import annotations

import contextlib
from collections.abc import Callable

import gevent
import structlog
from gevent import socket

from linetrack.control.connection_slots import ConnectionSlots, ConnectionSlot, State
from linetrack.server.budget import Budget
from linetrack.server.client_connection import WITHIN, ClientConnection, HandedOverError
from linetrack.server.clock import NEVER, clock
from linetrack.server.connection import is_transient_accept_error, readable
from linetrack.server.dispatcher import Dispatcher
from linetrack.server.request_validation import RequestValidator

log = structlog.get_logger()

BACKLOG = 1024
SWEEP = 0.1  # seconds between looks for connections whose time is over
AT_ONCE = 64  # connections taken in one turn of the event loop
ROOM_WAIT = 0.01  # seconds until it is looked again whether there is room for a connection


class Listener:
    """The listener, and all connections that were taken on it."""

    def __init__(
        self,
        owner: Dispatcher,
        budget: Budget,
        classes: tuple[str, ...],
        deadlines: tuple[int, ...],
        serving: Callable[[], bool],
        whole_seconds: bool = False,
    ) -> None:
        self.owner, self.budget, self.serving = owner, budget, serving
        self.whole_seconds = whole_seconds
        self.intake = RequestValidator(owner, classes, deadlines)
        self.places = ConnectionSlots(budget.callers)
        self.open: dict[ConnectionSlot, ClientConnection] = {}
        # whose request is out with something unread behind it, and how to see whether it has left
        self.unread: dict[ClientConnection, Callable[[], bool]] = {}
        budget.make_way = self._make_room
        # hands a connection, by descriptor and answers given on it, to another process; whether it went
        self.passes: Callable[[int, int], bool] | None = None
        self.closing = False
        self.listener: socket.socket | None = None
        self.later = gevent.get_hub().loop.run_callback

    def listen(self, address: tuple[str, int], beside: bool = False) -> None:
        """Open the listener; where it may be needed, so that another process can listen beside it."""
        self.listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if beside:
            with contextlib.suppress(OSError):
                self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        self.listener.bind(address)
        self.listener.listen(BACKLOG)

    def accept(self) -> None:
        """Take connections for ever; beyond the budget they wait in the backlog."""
        assert self.listener is not None
        while True:
            # room is made only once somebody waits for it
            socket.wait_read(self.listener.fileno())
            # guards against one connection a turn of the event loop, which is long when there is much to do:
            # those that wait longest give up and come again
            for _ in range(AT_ONCE):
                if not readable(self.listener):
                    break
                while not self.budget.take_client():
                    gevent.sleep(0 if self._make_room() else ROOM_WAIT)
                try:
                    self._take_one()
                except OSError as fault:
                    if not is_transient_accept_error(fault):
                        raise
                    log.error("accept_failed", fault=str(fault))
                    gevent.sleep(ROOM_WAIT)

    def _take_one(self) -> None:
        """Accept one connection, for which there is room."""
        assert self.listener is not None
        try:
            sock, _ = self.listener.accept()
        except BaseException:
            self.budget.give_back_client()
            raise
        self._serve(sock)

    def _serve(self, sock: socket.socket) -> ClientConnection:
        client = ClientConnection(sock, self)
        self.open[client.seat] = client
        client.greenlet.start()
        return client

    def adopt(self, fd: int, answers: int) -> None:
        """A connection that another process served until now."""
        self.budget.adopt_client()
        client = self._serve(socket.socket(fileno=fd))
        if answers:
            now = clock()
            client.answers, client.due = answers, NEVER
            self.places.asked(client.seat, now)
            self.places.rests_now(client.seat, now)

    def ended(self, client: ClientConnection) -> None:
        del self.open[client.seat]
        self.places.closed(client.seat, clock())
        self.budget.give_back_client()

    def _make_room(self) -> bool:
        """Close the connection that is to make way, where there is one that may."""
        return self._close_one(self.places.makes_way)

    def _close_one(self, which: Callable[[int], ConnectionSlot | None]) -> bool:
        now = clock()
        while seat := which(now):
            client = self.open[seat]
            if seat.state is not State.HALF and not client.idle():
                # something has come that its greenlet has not read yet
                self.places.begun(seat, now)
                continue
            self.places.closed(seat, now)
            client.out_of_time()
            return True
        return False

    def sweep(self) -> None:
        """Let go of whoever is out of time, for ever; a client's own time costs no timer of its own."""
        turn = 0
        while True:
            gevent.sleep(SWEEP)
            self.look(clock())
            turn += 1
            if turn * SWEEP * 1_000_000 >= WITHIN:
                turn = 0
                self.intake.forget_older()

    def look(self, now: int) -> None:
        """Close whoever is out of time or no longer worth a place, and see who has left."""
        for client in [client for client in self.open.values() if client.due <= now]:
            # guards against closing under what has come in the very moment in which its time was over
            if client.busy or client.reader.open or not readable(client.sock):
                client.out_of_time()
        for client, gone in list(self.unread.items()):
            if gone():
                self.unread.pop(client, None)
        while self._close_one(self.places.lets_go):
            pass

    def refused_input(self, fault: str, status: int) -> None:
        log.warning("request_malformed", fault=fault, status=status)

    # --- The end -----------------------------------------------------------------------------------
    def hand_on(self, passes: Callable[[int, int], bool]) -> None:
        """From now on each connection goes to another process as soon as no request is on it."""
        self.passes = passes
        # one whose greenlet has not begun would never begin if it were woken first
        gevent.sleep(0)
        for client in list(self.open.values()):
            if client.clean:
                client.wake(HandedOverError(), lambda client: client.clean)

    def stop_accepting(self) -> None:
        """Take what still stands in the backlog, then close the listener.

        Guards against a request that has come there and is lost because others hold all the places: there is
        time until the process's end for one of them to make way."""
        assert self.listener is not None
        self.listener.setblocking(False)
        while readable(self.listener) and clock() < self.owner.shutdown_deadline:
            if not self.budget.take_client():
                gevent.sleep(0 if self._make_room() else ROOM_WAIT)
                continue
            try:
                self._take_one()
            except OSError as fault:
                log.error("accept_failed", fault=str(fault))
                gevent.sleep(ROOM_WAIT)
        self.listener.close()

    def close_between_requests(self) -> None:
        """From now on each connection is closed as soon as no request is on it."""
        self.closing = True
        for client in list(self.open.values()):
            if client.idle():
                client.sock.close()
