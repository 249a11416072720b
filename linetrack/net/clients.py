"""The listener and the application's connections.

Owns accepting, reading requests and writing final answers, one request at a time on a connection.  Must never
answer for the module: only what is no request (malformed, too large, over before it came) is answered here.
"""

from __future__ import annotations

import errno
from collections import deque
from collections.abc import Callable

import gevent
import structlog
from gevent import socket
from gevent.event import AsyncResult

from linetrack.interface import Arrival
from linetrack.net import messages
from linetrack.net.budget import Budget
from linetrack.net.connection import READ_SIZE, readable
from linetrack.net.messages import ClientRequest, MalformedError, RequestReader
from linetrack.net.owner import Final, Left, Owner, Taken, clock

log = structlog.get_logger()

BACKLOG = 1024
STALL = 10.0  # seconds for the rest of a request that has begun, and for an answer to be taken
ROOM_WAIT = 0.02  # seconds until it is looked again whether there is room for a connection


class Client:
    """One connection of the application."""

    def __init__(self, sock: socket.socket, clients: Clients) -> None:
        self.sock, self.clients = sock, clients
        self.reader = RequestReader()
        self.whole: deque[ClientRequest] = deque()
        self.seen = clock()  # when the bytes that made them whole were seen; at first, when it was accepted
        self.busy = False  # a request is with the owner or its answer on the way

    def idle(self) -> bool:
        """Between requests, as far as can be seen."""
        return not self.busy and not self.reader.open and not readable(self.sock)

    def serve(self) -> None:
        keep = True
        try:
            self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            while keep and (self.whole or self._read()):
                self.busy = True
                keep = self._one(self.whole.popleft())
                self.busy = False
        except MalformedError as fault:
            self.busy = True
            self.clients.refused_input(str(fault), fault.status)
            self._last_word(messages.encode_answer(fault.status, keep=False))
        except OSError:
            pass  # the client has gone, or takes nothing
        except Exception:
            # guards against a greenlet that ends silently
            log.exception("client_broke")
        finally:
            self.sock.close()
            self.clients.ended(self)

    def _read(self) -> bool:
        """Read until at least one request is whole; False where the connection ends first."""
        while not self.whole:
            if self.reader.fault is not None:
                raise self.reader.fault
            self.sock.settimeout(STALL if self.reader.open else None)
            try:
                data = self.sock.recv(READ_SIZE)
            except TimeoutError:
                raise MalformedError("the request stalled", 408) from None
            if not data:
                return False
            self.seen = clock()
            self.whole.extend(self.reader.feed(data))
        return True

    def _one(self, request: ClientRequest) -> bool:
        """Serve one request; whether the connection is kept."""
        if request.path == messages.READY_PATH:
            return self._answer(request, Final(200 if self.clients.serving() else 503))
        arrival = self.clients.arrival(request)
        if isinstance(arrival, int):
            return self._answer(request, Final(arrival))
        result: AsyncResult[Final | None] = AsyncResult()
        self.clients.owner.put(Taken(request, arrival, result.set), self.seen)
        watch = gevent.spawn(self._watch, arrival.request, result)
        try:
            final = result.get()
            return final is not None and self._answer(request, final)
        finally:
            watch.kill()

    def _watch(self, number: int, result: AsyncResult[Final | None]) -> None:
        """While the request is out: a client that closes has gone away, and the owner is told."""
        try:
            socket.wait_read(self.sock.fileno())
            gone = not self.sock.recv(1, socket.MSG_PEEK)
        except OSError:
            gone = True
        if gone and not result.ready():
            self.clients.owner.put(Left(number), clock())
            result.set(None)

    def _answer(self, request: ClientRequest, final: Final) -> bool:
        keep = request.keep and not (self.clients.closing and not self.whole)
        data = messages.encode_answer(final.status, final.body, final.retry_after, keep, final.content_type)
        self.sock.settimeout(STALL)
        self.sock.sendall(data)
        return keep

    def _last_word(self, data: bytes) -> None:
        """An answer before the request was read whole: what still comes is read away, so that no reset of the
        connection overtakes the answer."""
        try:
            self.sock.settimeout(STALL)
            self.sock.sendall(data)
            self.sock.shutdown(socket.SHUT_WR)
            with gevent.Timeout(1.0, TimeoutError("a last word was not taken")):
                while self.sock.recv(READ_SIZE):
                    pass
        except OSError:
            pass


class Clients:
    def __init__(
        self,
        owner: Owner,
        budget: Budget,
        classes: tuple[str, ...],
        deadlines: tuple[int, ...],
        serving: Callable[[], bool],
    ) -> None:
        self.owner, self.budget, self.serving = owner, budget, serving
        self.classes = {name: n for n, name in enumerate(classes)}
        self.deadlines = deadlines
        self.open: set[Client] = set()
        self.closing = False
        self.listener: socket.socket | None = None

    def listen(self, address: tuple[str, int]) -> None:
        self.listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(address)
        self.listener.listen(BACKLOG)

    def accept(self) -> None:
        """Take connections for ever; beyond the budget they wait in the backlog."""
        assert self.listener is not None
        while True:
            # room is made only once somebody waits for it
            socket.wait_read(self.listener.fileno())
            while not self.budget.take_client():
                self._close_idle_one()
                gevent.sleep(ROOM_WAIT)
            try:
                self._take_one()
            except OSError as fault:
                # guards against dying of what passes: no descriptor left, or a client that left the backlog
                if fault.errno not in (errno.EMFILE, errno.ENFILE, errno.ENOMEM, errno.ECONNABORTED):
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
        client = Client(sock, self)
        self.open.add(client)
        gevent.spawn(client.serve)

    def ended(self, client: Client) -> None:
        self.open.discard(client)
        self.budget.give_back_client()

    def _close_idle_one(self) -> None:
        """Close the connection whose last request is longest ago, of those between requests."""
        idle = [client for client in self.open if client.idle()]
        if idle:
            min(idle, key=lambda client: client.seen).sock.close()

    def refused_input(self, fault: str, status: int) -> None:
        log.warning("request_malformed", fault=fault, status=status)

    def arrival(self, request: ClientRequest) -> Arrival | int:
        """What the module is told of a request, or the status that answers what is none."""
        steps = request.steps()
        klass = self.classes.get(steps[0]) if steps else None
        patience = messages.patience(request.expires)
        if klass is None or not request.trace or patience is None or patience < 0:
            self.refused_input(f"class, id or deadline of {request.path[:80]!r}", 400)
            return 400
        if patience == 0:
            return 504
        return Arrival(
            self.owner.number(),
            klass,
            min(patience, self.deadlines[klass]),
            _whole(request.props.get("party", "")),
            steps[-1] if len(steps) > 1 else "",
            _whole(request.props.get("workUs", "")),
            request.again,
            request.props.get("update") in ("1", "true"),
        )

    # --- The end -----------------------------------------------------------------------------------
    def stop_accepting(self) -> None:
        """Take what still stands in the backlog, then close the listener."""
        assert self.listener is not None
        self.listener.setblocking(False)
        while self.budget.take_client():
            try:
                self._take_one()
            except OSError:
                break
        self.listener.close()

    def close_between_requests(self) -> None:
        """From now on each connection is closed as soon as no request is on it."""
        self.closing = True
        for client in list(self.open):
            if client.idle():
                client.sock.close()


def _whole(text: str) -> int:
    return int(text) if text.isdecimal() and len(text) < 16 else 0
