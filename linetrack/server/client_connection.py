"""One connection of the application: reading its requests and writing their answers, one at a time.

Owns the limits of time on whatever a client sends or takes.  Must never decide what becomes of a request: it
goes to the owner, whose final answer is written.
"""

from __future__ import annotations

import struct
from collections import deque
from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING

import gevent
import structlog
from gevent import socket
from gevent.event import AsyncResult

from linetrack.control.connection_slots import State
from linetrack.policy.events import Outcome
from linetrack.server.budget import SMALL
from linetrack.server.clock import NEVER, clock
from linetrack.server.connection import READ_SIZE, PeerState, ResponseStream, peer_state, readable, write
from linetrack.server.http1.encoding import LAST_CHUNK, encode_chunk
from linetrack.server.http1.errors import MalformedMessageError
from linetrack.server.http1.limits import MAX_BODY_BYTES, MAX_BUFFERED_BODY_BYTES
from linetrack.server.http1.requests import READINESS_PATH, ClientRequest, RequestReader
from linetrack.server.http1.responses import (
    CONTINUE_RESPONSE,
    BodyFraming,
    encode_response,
    encode_response_head,
    select_framing,
)
from linetrack.server.active_request import FinalResponse
from linetrack.server.notifications import DisconnectedClient, IncomingRequest

if TYPE_CHECKING:
    from linetrack.server.listener import Listener

log = structlog.get_logger()

# microseconds for a request to come whole (the first one's from connecting, a later one's from its first
# byte), and for an answer to be taken; who says nothing must be let go of after 3 s
WITHIN = 2_250_000
SLOWEST = 16 * 1024  # bytes of a body that earn a second more for the rest of it
BODY_BEGINS = 500_000  # microseconds after its head in which a body is to begin, if the head took long
TAKES = 10_000_000  # microseconds in which a client is to take some of a long answer
GROWS = 256 * 1024  # bytes for which memory is asked at a time, of a body of untold length
LAST_WORD = 500_000  # microseconds in which a client that was turned away may read why
LAST_BYTES = 256 * 1024  # and how much of what it still sends is read away meanwhile
READ = 1  # the event loop's name for it
# microseconds after its request in which one that sends no more, as it had said, is still sent on for: it may
# have closed its own side only, and what begins over 0.1 s after a client has left is not to begin
SHUT_FOR = 80_000


class HandedOverError(Exception):
    """Wakes a connection's greenlet that waits for a request: the connection goes to another process."""


class ClientConnection:
    """One connection of the application."""

    __slots__ = (
        "answers",
        "busy",
        "clients",
        "due",
        "greenlet",
        "held",
        "reader",
        "seat",
        "seen",
        "since",
        "sock",
        "watch",
        "whole",
    )

    def __init__(self, sock: socket.socket, clients: Listener) -> None:
        self.sock, self.clients = sock, clients
        self.reader = RequestReader()
        self.whole: deque[ClientRequest] = deque()
        self.seen = clock()  # when the bytes that made them whole were seen; at first, when it was accepted
        self.seat = clients.places.opened(self.seen)
        self.since = self.seen  # when the limit on the request at hand began
        self.due = self.seen + WITHIN  # when whoever holds it up now is out of time
        self.busy = False  # a request is with the owner or its answer on the way
        self.held = 0  # memory held for a large request
        self.answers = 0  # given on it, of whatever kind
        self.greenlet = gevent.Greenlet(self.serve)
        # one watcher a connection, not a greenlet a request: it runs in the event loop and must never wait
        self.watch = gevent.get_hub().loop.io(sock.fileno(), READ)

    def idle(self) -> bool:
        """Between requests, as far as can be seen."""
        return not self.busy and not self.reader.has_partial_request and not readable(self.sock)

    @property
    def clean(self) -> bool:
        """Between requests, and nothing of the next one has been read."""
        return not (self.busy or self.whole or self.reader.has_partial_request)

    def serve(self) -> None:
        try:
            self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            while not (self.clients.passes and self.clean and self._handed_over()):
                try:
                    if not (self.whole or self._read()) or not self._serve_request(self.whole.popleft()):
                        break
                except HandedOverError:
                    pass  # woken where it waited for a request
        except MalformedMessageError as fault:
            self.clients.refused_input(str(fault), fault.status)
            self._reject(fault.status)
        except OSError:
            pass  # the client has gone, or takes nothing, or its time was over
        except Exception:
            # guards against a greenlet that ends silently
            log.exception("client_broke")
        finally:
            self.watch.close()
            self.sock.close()
            self.reader.close()
            self.let_go()
            self.clients.ended(self)

    def _handed_over(self) -> bool:
        """Whether another process has this connection from here on, with all that waits on it unread."""
        self.busy = True
        passed = self.clients.passes is not None and self.clients.passes(self.sock.fileno(), self.answers)
        self.busy = False
        return passed

    def let_go(self) -> None:
        """What was large on this connection is over."""
        self.clients.budget.held -= self.held
        self.held = 0

    def out_of_time(self) -> None:
        """Called by the sweep: what waits for the client ends."""
        if self.stalls:
            # guards against a request that drips in for ever
            self.wake(MalformedMessageError("the request stalled", 408), lambda client: client.stalls)
        else:
            self.sock.close()

    @property
    def stalls(self) -> bool:
        """It waits for the rest of a request."""
        return self.reader.has_partial_request and not self.busy

    def wake(self, why: Exception, still: Callable[[ClientConnection], bool]) -> None:
        """Raise this in its greenlet, if that still holds once the event loop comes to it.

        Guards against a request that came whole meanwhile: whoever waits for its answer must not be woken."""

        def now() -> None:
            if still(self) and not self.greenlet.dead:
                self.greenlet.throw(why)

        self.clients.later(now)

    def _read(self) -> bool:
        """Read until at least one request is whole; False where the connection ends first."""
        while not self.whole:
            if self.reader.deferred_error is not None:
                raise self.reader.deferred_error
            if self.reader.request.expects_continue:
                self.invite()
            data = self.sock.recv(READ_SIZE)
            if not data:
                return False
            self.take(data)
            if not self.whole:
                self.clients.places.begun(self.seat, self.seen)
            if self.reader.has_partial_request and self.reader.is_head_complete and not self._holds_body():
                self.reader.request.body_stream = Upload(self)
                self.whole.append(self.reader.request)
            elif self.reader.body_size > SMALL and not self.held:
                self.held = self.clients.budget.hold(MAX_BUFFERED_BODY_BYTES)
        return True

    def invite(self) -> None:
        """Ask for the body of whoever waits to be asked."""
        request = self.reader.request
        if request.expects_continue and self.reader.has_partial_request and self.reader.is_head_complete:
            request.expects_continue = False
            if not self.reader.body_size:
                self.sock.sendall(CONTINUE_RESPONSE)

    def take(self, data: bytes) -> None:
        """Bytes have come: the requests that they complete, and the time that is left for the one at hand."""
        reader = self.reader
        begun, headed, self.seen = reader.has_partial_request, reader.is_head_complete, clock()
        self.whole.extend(reader.feed(data))
        if not reader.has_partial_request:
            return
        if self.whole or (not begun and self.answers):
            # guards against a limit that starts anew with each byte, or that a first byte puts off
            self.since = self.seen
        if self.busy:
            return
        if not reader.is_head_complete:
            self.due = self.since + WITHIN
            return
        # guards against a body that drips in for ever, and against cutting off one that is only slow
        earned = self.since + WITHIN + reader.body_size * 1_000_000 // SLOWEST
        self.due = min(earned, self.seen + WITHIN)
        if not headed:
            self.due = max(self.due, self.seen + BODY_BEGINS)

    def _holds_body(self) -> bool:
        """Whether the body at hand is held until it is whole; where not, it goes on as it comes."""
        reader, budget = self.reader, self.clients.budget
        length = reader.declared_content_length()
        size = reader.body_size if length is None else length
        if size <= SMALL:
            return True
        if not self.held:
            # guards against reading a long body of what is no request
            self.clients.intake.check(reader.request)
            if size <= MAX_BUFFERED_BODY_BYTES:
                self.held = budget.hold(MAX_BUFFERED_BODY_BYTES)
                return True
        if size <= self.held:
            return True
        more = size - self.held if length is not None else GROWS
        if not budget.holds(more):
            return False
        self.held += more
        return True

    def _serve_request(self, request: ClientRequest) -> bool:
        """Serve one request; whether the connection is kept."""
        self.busy, self.due = True, NEVER
        if request.path == READINESS_PATH:
            self.clients.places.looked(self.seat, clock())
            return self._answer(request, FinalResponse(200 if self.clients.serving() else 503))
        arrival = self.clients.intake.arrival(request)
        self.clients.places.asked(self.seat, self.seen)
        result: AsyncResult[FinalResponse | None] = AsyncResult()
        gone = partial(self._gone, arrival.request_id, result, request.keep_alive, self.seen)
        self.clients.owner.enqueue(IncomingRequest(request, arrival, result.set, gone), self.seen)
        if isinstance(upload := request.body_stream, Upload):
            upload.left = partial(self._left, arrival.request_id, result)
            upload.came = partial(self.watch.start, self._look_whether_gone, gone)
        else:
            self.watch.start(self._look_whether_gone, gone)
        try:
            final = result.get()
        finally:
            self.watch.stop()
            self.clients.unread.pop(self, None)
            self.clients.intake.over(request.trace_id)
        if isinstance(upload, Upload) and upload.fault is not None:
            raise upload.fault
        return final is not None and self._answer(request, final)

    def _look_whether_gone(self, gone: Callable[[], bool]) -> None:
        """While the request is out something came: a client that closes has gone away, and the owner is told.
        What is no end stays unread, and would hide one that comes behind it: the sweep looks from here on."""
        self.watch.stop()
        if not gone():
            self.clients.unread[self] = gone

    def _gone(self, number: int, result: AsyncResult[FinalResponse | None], keep: bool, seen: int) -> bool:
        """Whether the client has left, as far as its socket shows; then the owner hears so ahead of whatever
        is told later.  One that said that nothing more would come (`keep` is False) may have closed its own
        side only, and is owed an answer; but nothing more is begun for it once it may as well have gone."""
        if result.ready():
            return True
        side = peer_state(self.sock)
        if side is PeerState.BROKEN or (keep and side is PeerState.HALF_CLOSED):
            self._left(number, result)
            return True
        return side is PeerState.HALF_CLOSED and clock() - seen > SHUT_FOR

    def _left(self, number: int, result: AsyncResult[FinalResponse | None]) -> None:
        self.clients.owner.enqueue(DisconnectedClient(number), clock())
        result.set(None)

    def _answer(self, request: ClientRequest, final: FinalResponse) -> bool:
        keep = self._keeps_connection(request)
        if final.stream is not None:
            return self._stream_answer(request, final.stream, keep) and self._finish_answer(keep)
        after = final.retry_after
        if self.clients.whole_seconds:
            after = -(-after // 1_000_000) * 1_000_000
        length = final.content_length if request.method == "HEAD" else None
        data = encode_response(
            final.status, final.body, after, keep, final.content_type, request.is_http10, length
        )
        self.due = clock() + WITHIN
        write(self.sock, data)
        return self._finish_answer(keep)

    def _stream_answer(self, request: ClientRequest, stream: ResponseStream, keep: bool) -> bool:
        """Write a long answer as it comes; whether it went out whole."""
        how, outcome = select_framing(stream.length, request.is_http10), Outcome.CANCELLED
        keep = keep and how is not BodyFraming.CONNECTION_CLOSE
        try:
            self.due = clock() + TAKES
            write(
                self.sock,
                encode_response_head(how, stream.length, keep, stream.content_type, request.is_http10),
            )
            while True:
                self.due = NEVER  # the upstream has a limit of its own
                try:
                    parts = stream.next()
                except (OSError, MalformedMessageError) as fault:
                    outcome = Outcome.RESET
                    log.warning("answer_broke_off", fault=str(fault))
                    if how is BodyFraming.CONNECTION_CLOSE:
                        # guards against an end that cannot be told from a whole one
                        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                    return False
                if not parts:
                    break
                for part in parts:
                    self.due = clock() + TAKES
                    write(self.sock, encode_chunk(part) if how is BodyFraming.CHUNKED else part)
            if how is BodyFraming.CHUNKED:
                write(self.sock, LAST_CHUNK)
            outcome = Outcome.SUCCESS
            return how is not BodyFraming.CONNECTION_CLOSE
        finally:
            stream.end(outcome)

    def _finish_answer(self, keep: bool) -> bool:
        """The answer has gone."""
        self.busy = False
        self.answers += 1
        self.let_go()
        if keep:
            now = clock()
            self.since, self.due = now, now + WITHIN
            if self.seat.state is State.BUSY and not self.reader.has_partial_request:
                self.due = NEVER  # the places say when its time is over
                self.clients.places.rests_now(self.seat, now)
        elif self.reader.has_partial_request or readable(self.sock):
            # guards against a reset that overtakes the answer, for what comes behind the request
            self._linger()
        return keep

    def _keeps_connection(self, request: ClientRequest) -> bool:
        """Whether the connection is kept after this answer."""
        if not request.keep_alive or not request.is_complete or (self.clients.closing and not self.whole):
            return False
        if self.seat.state is not State.BUSY or self.whole or self.reader.has_partial_request:
            return True
        # guards against closing under a request that came behind this one: it has been taken
        return self.clients.places.answered(self.seat, clock()) or readable(self.sock)

    def _reject(self, status: int) -> None:
        """An answer to what is no request."""
        self.busy = True
        try:
            self.sock.sendall(encode_response(status, keep_alive=False))
            self._linger()
        except OSError:
            pass

    def _linger(self) -> None:
        """After the last answer some of what still comes is read away, so that no reset of the connection
        overtakes it, and nothing that comes behind is taken for a request."""
        self.busy, began = True, clock()
        # one who still sends a body that is not wanted may go on at the pace of any other
        is_streamed = self.reader.has_partial_request and self.reader.request.body_stream is not None
        left = MAX_BODY_BYTES if is_streamed else LAST_BYTES
        self.due, read = began + LAST_WORD, 0
        try:
            self.sock.shutdown(socket.SHUT_WR)
            while read < left and (data := self.sock.recv(READ_SIZE)):
                read += len(data)
                if left > LAST_BYTES:
                    self.due = min(clock(), began + read * 1_000_000 // SLOWEST) + WITHIN
        except OSError:
            pass


class Upload:
    """A body that goes on as it comes: read from the client by whoever sends its request on."""

    def __init__(self, client: ClientConnection) -> None:
        self.client, self.request = client, client.reader.request
        self.content_length = client.reader.declared_content_length()
        self.fault: OSError | MalformedMessageError | None = None
        self.waited = 0  # microseconds for the client
        self.left: Callable[[], None] = lambda: None  # called once it breaks off
        self.came: Callable[[], None] = lambda: None  # called once it is whole

    def read_chunks(self) -> list[bytes | bytearray]:
        """Wait for what comes next; nothing once it is whole.  An OSError or a MalformedMessageError where it
        breaks off."""
        client, request = self.client, self.request
        try:
            while not (parts := self._come()) and not request.is_complete:
                client.invite()
                earned = WITHIN + client.reader.body_size * 1_000_000 // SLOWEST - self.waited
                began = clock()
                client.due = began + min(WITHIN, earned)
                data = client.sock.recv(client.clients.budget.piece())
                client.due, self.waited = NEVER, self.waited + clock() - began
                if not data:
                    raise ConnectionResetError("the client left within its request")
                try:
                    client.take(data)
                except MalformedMessageError as fault:
                    if not request.is_complete:
                        raise
                    client.reader.deferred_error = fault  # what is wrong stands behind the request
        except (OSError, MalformedMessageError) as fault:
            self.fault = fault
            self.left()
            raise
        if request.is_complete:
            came, self.came = self.came, lambda: None
            came()
        return parts

    def _come(self) -> list[bytes | bytearray]:
        if self.request.is_complete:
            parts, self.request.body_chunks = list(self.request.body_chunks), []
        else:
            parts = self.client.reader.take_body_chunks()
        self.client.let_go()
        return parts
