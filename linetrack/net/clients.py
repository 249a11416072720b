"""The listener and the application's connections.

Owns accepting, reading requests and writing final answers, one request at a time on a connection, the time
that a client may take, and the ids of open requests.  Must never answer for the module: only what is no
request (malformed, too large, stalled, of an id already open, over before it came) is answered here.
"""

from __future__ import annotations

import contextlib
import struct
from collections import deque
from collections.abc import Callable
from functools import partial
from hashlib import blake2b

import gevent
import structlog
from gevent import socket
from gevent.event import AsyncResult

from linetrack.decide.figures import Fate
from linetrack.decide.places import Places, Seat, State
from linetrack.interface import Arrival, Outcome
from linetrack.net import messages
from linetrack.net.budget import SMALL, Budget
from linetrack.net.clock import NEVER, clock
from linetrack.net.connection import READ_SIZE, Side, Stream, other_side, passing, readable, write
from linetrack.net.messages import ClientRequest, Framing, MalformedError, RequestReader
from linetrack.net.owner import Final, Left, Owner, Taken

log = structlog.get_logger()

BACKLOG = 1024
# microseconds for a request to come whole (the first one's from connecting, a later one's from its first
# byte), and for an answer to be taken; who says nothing must be let go of after 3 s
WITHIN = 2_250_000
SWEEP = 0.1  # seconds between looks for connections whose time is over
AT_ONCE = 64  # connections taken in one turn of the event loop
ROOM_WAIT = 0.01  # seconds until it is looked again whether there is room for a connection
SLOWEST = 16 * 1024  # bytes of a body that earn a second more for the rest of it
BODY_BEGINS = 500_000  # microseconds after its head in which a body is to begin, if the head took long
TAKES = 10_000_000  # microseconds in which a client is to take some of a long answer
LONGEST_ID = 128  # characters of an id that are kept as they are
GROWS = 256 * 1024  # bytes for which memory is asked at a time, of a body of untold length
LAST_WORD = 500_000  # microseconds in which a client that was turned away may read why
LAST_BYTES = 256 * 1024  # and how much of what it still sends is read away meanwhile
READ = 1  # the event loop's name for it
# microseconds after its request in which one that sends no more, as it had said, is still sent on for: it may
# have closed its own side only, and what begins over 0.1 s after a client has left is not to begin
SHUT_FOR = 80_000


class Passed(Exception):  # noqa: N818
    """To a connection's greenlet that waits for a request: the connection goes to another process."""


class Client:
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

    def __init__(self, sock: socket.socket, clients: Clients) -> None:
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
        return not self.busy and not self.reader.open and not readable(self.sock)

    @property
    def clean(self) -> bool:
        """Between requests, and nothing of the next one has been read."""
        return not (self.busy or self.whole or self.reader.open)

    def serve(self) -> None:
        try:
            self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            while not (self.clients.passes and self.clean and self._passed()):
                try:
                    if not (self.whole or self._read()) or not self._one(self.whole.popleft()):
                        break
                except Passed:
                    pass  # woken where it waited for a request
        except MalformedError as fault:
            self.clients.refused_input(str(fault), fault.status)
            self._last_word(fault.status)
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

    def _passed(self) -> bool:
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
            self.wake(MalformedError("the request stalled", 408), lambda client: client.stalls)
        else:
            self.sock.close()

    @property
    def stalls(self) -> bool:
        """It waits for the rest of a request."""
        return self.reader.open and not self.busy

    def wake(self, why: Exception, still: Callable[[Client], bool]) -> None:
        """Raise this in its greenlet, if that still holds once the event loop comes to it.

        Guards against a request that came whole meanwhile: whoever waits for its answer must not be woken."""

        def now() -> None:
            if still(self) and not self.greenlet.dead:
                self.greenlet.throw(why)

        self.clients.later(now)

    def _read(self) -> bool:
        """Read until at least one request is whole; False where the connection ends first."""
        while not self.whole:
            if self.reader.fault is not None:
                raise self.reader.fault
            if self.reader.request.waits:
                self.invite()
            data = self.sock.recv(READ_SIZE)
            if not data:
                return False
            self.take(data)
            if not self.whole:
                self.clients.places.begun(self.seat, self.seen)
            if self.reader.open and self.reader.headed and not self._holds():
                self.reader.request.rest = Upload(self)
                self.whole.append(self.reader.request)
            elif self.reader.size > SMALL and not self.held:
                self.held = self.clients.budget.hold(messages.HELD)
        return True

    def invite(self) -> None:
        """Ask for the body of whoever waits to be asked."""
        request = self.reader.request
        if request.waits and self.reader.open and self.reader.headed:
            request.waits = False
            if not self.reader.size:
                self.sock.sendall(messages.CONTINUE)

    def take(self, data: bytes) -> None:
        """Bytes have come: the requests that they complete, and the time that is left for the one at hand."""
        reader = self.reader
        begun, headed, self.seen = reader.open, reader.headed, clock()
        self.whole.extend(reader.feed(data))
        if not reader.open:
            return
        if self.whole or (not begun and self.answers):
            # guards against a limit that starts anew with each byte, or that a first byte puts off
            self.since = self.seen
        if self.busy:
            return
        if not reader.headed:
            self.due = self.since + WITHIN
            return
        # guards against a body that drips in for ever, and against cutting off one that is only slow
        earned = self.since + WITHIN + reader.size * 1_000_000 // SLOWEST
        self.due = min(earned, self.seen + WITHIN)
        if not headed:
            self.due = max(self.due, self.seen + BODY_BEGINS)

    def _holds(self) -> bool:
        """Whether the body at hand is held until it is whole; where not, it goes on as it comes."""
        reader, budget = self.reader, self.clients.budget
        length = reader.announced()
        size = reader.size if length is None else length
        if size <= SMALL:
            return True
        if not self.held:
            if status := self.clients.fault(reader.request):
                # guards against reading a long body of what is no request
                raise MalformedError(f"class, id or deadline of {reader.request.path[:80]!r}", status)
            if size <= messages.HELD:
                self.held = budget.hold(messages.HELD)
                return True
        if size <= self.held:
            return True
        more = size - self.held if length is not None else GROWS
        if not budget.holds(more):
            return False
        self.held += more
        return True

    def _one(self, request: ClientRequest) -> bool:
        """Serve one request; whether the connection is kept."""
        self.busy, self.due = True, NEVER
        if request.path == messages.READY_PATH:
            self.clients.places.looked(self.seat, clock())
            return self._answer(request, Final(200 if self.clients.serving() else 503))
        arrival = self.clients.arrival(request)
        if isinstance(arrival, int):
            raise MalformedError(f"class, id or deadline of {request.path[:80]!r}", arrival)
        self.clients.places.asked(self.seat, self.seen)
        result: AsyncResult[Final | None] = AsyncResult()
        gone = partial(self._gone, arrival.request, result, request.keep, self.seen)
        self.clients.owner.put(Taken(request, arrival, result.set, gone), self.seen)
        if isinstance(upload := request.rest, Upload):
            upload.left = partial(self._left, arrival.request, result)
            upload.came = partial(self.watch.start, self._look, gone)
        else:
            self.watch.start(self._look, gone)
        try:
            final = result.get()
        finally:
            self.watch.stop()
            self.clients.unread.pop(self, None)
            self.clients.over(request.trace)
        if isinstance(upload, Upload) and upload.fault is not None:
            raise upload.fault
        return final is not None and self._answer(request, final)

    def _look(self, gone: Callable[[], bool]) -> None:
        """While the request is out something came: a client that closes has gone away, and the owner is told.
        What is no end stays unread, and would hide one that comes behind it: the sweep looks from here on."""
        self.watch.stop()
        if not gone():
            self.clients.unread[self] = gone

    def _gone(self, number: int, result: AsyncResult[Final | None], keep: bool, seen: int) -> bool:
        """Whether the client has left, as far as its socket shows; then the owner hears so ahead of whatever
        is told later.  One that said that nothing more would come (`keep` is False) may have closed its own
        side only, and is owed an answer; but nothing more is begun for it once it may as well have gone."""
        if result.ready():
            return True
        side = other_side(self.sock)
        if side is Side.BROKEN or (keep and side is Side.SHUT):
            self._left(number, result)
            return True
        return side is Side.SHUT and clock() - seen > SHUT_FOR

    def _left(self, number: int, result: AsyncResult[Final | None]) -> None:
        self.clients.owner.put(Left(number), clock())
        result.set(None)

    def _answer(self, request: ClientRequest, final: Final) -> bool:
        keep = self._keep(request)
        if final.stream is not None:
            return self._pass(request, final.stream, keep) and self._kept(keep)
        after = final.retry_after
        if self.clients.whole_seconds:
            after = -(-after // 1_000_000) * 1_000_000
        length = final.length if request.method == "HEAD" else None
        data = messages.encode_answer(
            final.status, final.body, after, keep, final.content_type, request.old, length
        )
        self.due = clock() + WITHIN
        write(self.sock, data)
        return self._kept(keep)

    def _pass(self, request: ClientRequest, stream: Stream, keep: bool) -> bool:
        """Write a long answer as it comes; whether it went out whole."""
        how, outcome = messages.framing(stream.length, request.old), Outcome.CANCELLED
        keep = keep and how is not Framing.CLOSE
        try:
            self.due = clock() + TAKES
            write(
                self.sock,
                messages.encode_answer_head(how, stream.length, keep, stream.content_type, request.old),
            )
            while True:
                self.due = NEVER  # the upstream has a limit of its own
                try:
                    parts = stream.next()
                except (OSError, MalformedError) as fault:
                    outcome = Outcome.RESET
                    log.warning("answer_broke_off", fault=str(fault))
                    if how is Framing.CLOSE:
                        # guards against an end that cannot be told from a whole one
                        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                    return False
                if not parts:
                    break
                for part in parts:
                    self.due = clock() + TAKES
                    write(self.sock, messages.chunk(part) if how is Framing.CHUNKS else part)
            if how is Framing.CHUNKS:
                write(self.sock, messages.LAST_CHUNK)
            outcome = Outcome.OK
            return how is not Framing.CLOSE
        finally:
            stream.end(outcome)

    def _kept(self, keep: bool) -> bool:
        """The answer has gone."""
        self.busy = False
        self.answers += 1
        self.let_go()
        if keep:
            now = clock()
            self.since, self.due = now, now + WITHIN
            if self.seat.state is State.BUSY and not self.reader.open:
                self.due = NEVER  # the places say when its time is over
                self.clients.places.rests_now(self.seat, now)
        elif self.reader.open or readable(self.sock):
            # guards against a reset that overtakes the answer, for what comes behind the request
            self._linger()
        return keep

    def _keep(self, request: ClientRequest) -> bool:
        """Whether the connection is kept after this answer."""
        if not request.keep or not request.whole or (self.clients.closing and not self.whole):
            return False
        if self.seat.state is not State.BUSY or self.whole or self.reader.open:
            return True
        # guards against closing under a request that came behind this one: it has been taken
        return self.clients.places.answered(self.seat, clock()) or readable(self.sock)

    def _last_word(self, status: int) -> None:
        """An answer to what is no request."""
        self.busy = True
        try:
            self.sock.sendall(messages.encode_answer(status, keep=False))
            self._linger()
        except OSError:
            pass

    def _linger(self) -> None:
        """After the last answer some of what still comes is read away, so that no reset of the connection
        overtakes it, and nothing that comes behind is taken for a request."""
        self.busy, began = True, clock()
        # one who still sends a body that is not wanted may go on at the pace of any other
        left = messages.MOST_BODY if self.reader.open and self.reader.request.rest is not None else LAST_BYTES
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

    def __init__(self, client: Client) -> None:
        self.client, self.request, self.length = client, client.reader.request, client.reader.announced()
        self.fault: OSError | MalformedError | None = None
        self.waited = 0  # microseconds for the client
        self.left: Callable[[], None] = lambda: None  # called once it breaks off
        self.came: Callable[[], None] = lambda: None  # called once it is whole

    def next(self) -> list[bytes | bytearray]:
        """Wait for what comes next; nothing once it is whole.  An OSError or a MalformedError where it breaks
        off."""
        client, request = self.client, self.request
        try:
            while not (parts := self._come()) and not request.whole:
                client.invite()
                earned = WITHIN + client.reader.size * 1_000_000 // SLOWEST - self.waited
                began = clock()
                client.due = began + min(WITHIN, earned)
                data = client.sock.recv(client.clients.budget.piece())
                client.due, self.waited = NEVER, self.waited + clock() - began
                if not data:
                    raise ConnectionResetError("the client left within its request")
                try:
                    client.take(data)
                except MalformedError as fault:
                    if not request.whole:
                        raise
                    client.reader.fault = fault  # what is wrong stands behind the request
        except (OSError, MalformedError) as fault:
            self.fault = fault
            self.left()
            raise
        if request.whole:
            came, self.came = self.came, lambda: None
            came()
        return parts

    def _come(self) -> list[bytes | bytearray]:
        if self.request.whole:
            parts, self.request.parts = list(self.request.parts), []
        else:
            parts = self.client.reader.take()
        self.client.let_go()
        return parts


class Clients:
    def __init__(
        self,
        owner: Owner,
        budget: Budget,
        classes: tuple[str, ...],
        deadlines: tuple[int, ...],
        serving: Callable[[], bool],
        whole_seconds: bool = False,
    ) -> None:
        self.owner, self.budget, self.serving = owner, budget, serving
        self.whole_seconds = whole_seconds
        self.set(classes, deadlines)
        self.places = Places(budget.callers)
        self.open: dict[Seat, Client] = {}
        # whose request is out with something unread behind it, and how to see whether it has left
        self.unread: dict[Client, Callable[[], bool]] = {}
        budget.make_way = self._make_room
        # the ids of open requests and of those lately over: a copy may have been sent meanwhile
        self.ids: set[str] = set()
        # hands a connection, by descriptor and answers given on it, to another process; whether it went
        self.passes: Callable[[int, int], bool] | None = None
        self.lately: tuple[set[str], set[str]] = (set(), set())
        self.closing = False
        self.listener: socket.socket | None = None
        self.later = gevent.get_hub().loop.run_callback

    def set(self, classes: tuple[str, ...], deadlines: tuple[int, ...]) -> None:
        """The classes of what is read from here on, and their deadlines in microseconds."""
        self.classes = {name: n for n, name in enumerate(classes)}
        self.deadlines = deadlines

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
                    if not passing(fault):
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

    def _serve(self, sock: socket.socket) -> Client:
        client = Client(sock, self)
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

    def ended(self, client: Client) -> None:
        del self.open[client.seat]
        self.places.closed(client.seat, clock())
        self.budget.give_back_client()

    def _make_room(self) -> bool:
        """Close the connection that is to make way, where there is one that may."""
        return self._close_one(self.places.makes_way)

    def _close_one(self, which: Callable[[int], Seat | None]) -> bool:
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
                turn, self.lately = 0, (set(), self.lately[0])

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

    def over(self, trace: str) -> None:
        mark = _mark(trace)
        self.ids.discard(mark)
        self.lately[0].add(mark)

    def refused_input(self, fault: str, status: int) -> None:
        log.warning("request_malformed", fault=fault, status=status)

    def fault(self, request: ClientRequest) -> int:
        """The status that answers what is no request; 0 for one."""
        judged = self._judged(request)
        return judged if isinstance(judged, int) else 0

    def _judged(self, request: ClientRequest) -> tuple[list[str], str, int, int] | int:
        """A request's steps, mark, class and patience; or the status that answers what is none."""
        steps, trace = request.steps(), _mark(request.trace)
        klass = self.classes.get(steps[0]) if steps else None
        patience = messages.patience(request.expires)
        if klass is None or not request.trace or patience is None or patience < 0:
            return 400
        if trace in self.ids or trace in self.lately[0] or trace in self.lately[1]:
            # guards against running a request of this id twice, and against an answer for the wrong one
            return 409
        if patience == 0:
            return 504
        return steps, trace, klass, patience

    def arrival(self, request: ClientRequest) -> Arrival | int:
        """What the module is told of a request, whose id is open from here on; or the status that answers
        what is none."""
        judged = self._judged(request)
        if isinstance(judged, int):
            if judged == 504:
                # it was a request, whose time was over when it came
                self.owner.figures.taken += 1
                self.owner.figures.over(request.steps()[0], Fate.FAULTED)
            return judged
        steps, mark, klass, patience = judged
        request.klass = steps[0]
        # guards against a request that comes late in this process's end and outlasts it
        patience = min(patience, self.deadlines[klass], self.owner.ends - clock())
        if patience <= 0:
            self.owner.figures.taken += 1
            self.owner.figures.over(request.klass, Fate.THROTTLED)
            return 503
        self.ids.add(mark)
        return Arrival(
            self.owner.number(),
            klass,
            patience,
            _whole(request.props.get("party", "")),
            steps[-1] if len(steps) > 1 else "",
            _whole(request.props.get("workUs", "")),
            request.again,
            request.props.get("update") in ("1", "true"),
            hash(request.idempotency) if request.idempotency else 0,
            request.rest is None,
        )

    # --- The end -----------------------------------------------------------------------------------
    def hand_on(self, passes: Callable[[int, int], bool]) -> None:
        """From now on each connection goes to another process as soon as no request is on it."""
        self.passes = passes
        # one whose greenlet has not begun would never begin if it were woken first
        gevent.sleep(0)
        for client in list(self.open.values()):
            if client.clean:
                client.wake(Passed(), lambda client: client.clean)

    def marks(self) -> list[str]:
        """The ids that are open or were a moment ago."""
        return [*self.ids, *self.lately[0], *self.lately[1]]

    def stop_accepting(self) -> None:
        """Take what still stands in the backlog, then close the listener.

        Guards against a request that has come there and is lost because others hold all the places: there is
        time until the process's end for one of them to make way."""
        assert self.listener is not None
        self.listener.setblocking(False)
        while readable(self.listener) and clock() < self.owner.ends:
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


def _mark(trace: str) -> str:
    """Stands for an id, here and in a process that takes this one's place: the id itself, but for long ones,
    of which many would cost memory."""
    return trace if len(trace) <= LONGEST_ID else blake2b(trace.encode("latin-1", "replace")).hexdigest()


def _whole(text: str) -> int:
    return int(text) if text.isdecimal() and len(text) < 16 else 0
