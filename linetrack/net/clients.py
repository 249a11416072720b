"""The listener and the application's connections.

Owns accepting, reading requests and writing final answers, one request at a time on a connection.  Must never
answer for the module: only what is no request (malformed, too large, over before it came) is answered here.
"""

from __future__ import annotations

import errno
from collections.abc import Callable

import gevent
import structlog
from gevent import socket
from gevent.event import AsyncResult
from gevent.queue import Queue

from linetrack.interface import Arrival
from linetrack.net import messages
from linetrack.net.budget import Budget
from linetrack.net.messages import ClientRequest, Malformed, RequestReader
from linetrack.net.owner import Final, Left, Owner, Taken, clock

log = structlog.get_logger()

READ_SIZE = 64 * 1024
BACKLOG = 1024
PIPELINED = 4  # requests read ahead on one connection, at most
STALL = 10.0  # seconds for the rest of a request that has begun, and for an answer to be taken
ROOM_WAIT = 0.02  # seconds until it is looked again whether there is room for a connection


class Client:
    """One connection: a greenlet that reads and one that serves."""

    def __init__(self, sock: socket.socket, clients: Clients) -> None:
        self.sock, self.clients = sock, clients
        self.ready: Queue[tuple[ClientRequest, int] | Malformed | None] = Queue(PIPELINED)
        self.reader = RequestReader()
        self.number = 0  # the request that is with the owner
        self.busy = False

    def read(self) -> None:
        """Bytes to requests until the connection ends; the end is told at once, also while one is out."""
        try:
            while True:
                self.sock.settimeout(STALL if self.reader.open else None)
                data = self.sock.recv(READ_SIZE)
                if not data:
                    break
                seen = clock()
                for request in self.reader.feed(data):
                    self.busy = True
                    self.ready.put((request, seen))
        except Malformed as fault:
            self.ready.put(fault)
            return
        except TimeoutError:
            self.ready.put(Malformed("the request stalled", 408))
            return
        except OSError:
            pass
        if self.number:
            self.clients.owner.put(Left(self.number), clock())
        self.ready.put(None)

    def serve(self) -> None:
        reading = gevent.spawn(self.read)
        try:
            keep = True
            while keep:
                item = self.ready.get()
                if item is None:
                    return
                self.busy = True
                if isinstance(item, Malformed):
                    log.info("request_malformed", fault=str(item), status=item.status)
                    self._write(messages.encode_answer(item.status, keep=False))
                    return
                keep = self._one(*item)
                self.busy = bool(self.ready.qsize()) or self.reader.open
                keep = keep and not (self.clients.closing and not self.busy)
        except OSError:
            pass  # the client has gone, or takes nothing
        except Exception:
            # guards against a greenlet that ends silently
            log.exception("client_broke")
        finally:
            self.sock.close()
            reading.kill(block=False)
            self.clients.ended(self)

    def _one(self, request: ClientRequest, seen: int) -> bool:
        """Serve one request; whether the connection is kept."""
        keep = request.keep and not self.clients.closing
        if request.path == messages.READY_PATH:
            self._write(messages.encode_answer(200 if self.clients.serving() else 503, keep=keep))
            return keep
        arrival = self.clients.arrival(request)
        if isinstance(arrival, int):
            self._write(messages.encode_answer(arrival, keep=keep))
            return keep
        result: AsyncResult[Final | None] = AsyncResult()
        self.number = arrival.request
        self.clients.owner.put(Taken(request, arrival, result.set), seen)
        final = result.get()
        self.number = 0
        keep = request.keep and not (self.clients.closing and not self.ready.qsize())
        self._write(
            messages.encode_answer(final.status, final.body, final.retry_after, keep, final.content_type)
        )
        return keep

    def _write(self, data: bytes) -> None:
        with gevent.Timeout(STALL, TimeoutError):
            self.sock.sendall(data)


class Clients:
    def __init__(
        self,
        owner: Owner,
        budget: Budget,
        classes: tuple[str, ...],
        serving: Callable[[], bool],
    ) -> None:
        self.owner, self.budget, self.serving = owner, budget, serving
        self.classes = {name: n for n, name in enumerate(classes)}
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
            while not self.budget.take_client():
                if not self._close_idle_one():
                    gevent.sleep(ROOM_WAIT)
            try:
                sock, _ = self.listener.accept()
            except OSError as fault:
                self.budget.give_back_client()
                if fault.errno in (errno.EMFILE, errno.ENFILE, errno.ECONNABORTED):
                    log.error("accept_failed", fault=str(fault))
                    gevent.sleep(ROOM_WAIT)
                    continue
                raise
            self._begin(sock)

    def _begin(self, sock: socket.socket) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        client = Client(sock, self)
        self.open.add(client)
        gevent.spawn(client.serve)

    def ended(self, client: Client) -> None:
        self.open.discard(client)
        self.budget.give_back_client()

    def _close_idle_one(self) -> bool:
        for client in self.open:
            if not client.busy and not client.reader.open:
                client.ready.put(None)
                client.busy = True
                return True
        return False

    def arrival(self, request: ClientRequest) -> Arrival | int:
        """What the module is told of a request, or the status that answers what is none."""
        steps = request.steps()
        klass = self.classes.get(steps[0]) if steps else None
        patience = messages.patience(request.expires)
        if klass is None or not request.trace or patience is None or patience < 0:
            return 400
        if patience == 0:
            return 504
        props = request.props or {}
        return Arrival(
            self.owner.number(),
            klass,
            patience,
            _whole(props.get("party", "")),
            steps[-1] if len(steps) > 1 else "",
            _whole(props.get("workUs", "")),
            request.again,
            props.get("update") in ("1", "true"),
        )

    # --- The end -----------------------------------------------------------------------------------
    def stop_accepting(self) -> None:
        """Take what still stands in the backlog, then close the listener."""
        assert self.listener is not None
        self.listener.setblocking(False)
        while self.budget.take_client():
            try:
                sock, _ = self.listener.accept()
            except OSError:
                self.budget.give_back_client()
                break
            self._begin(sock)
        self.listener.close()

    def close_between_requests(self) -> None:
        """From now on each connection is closed as soon as no request is on it."""
        self.closing = True
        for client in list(self.open):
            if not client.busy and not client.reader.open:
                client.ready.put(None)


def _whole(text: str) -> int:
    return int(text) if text.isdecimal() and len(text) < 16 else 0
