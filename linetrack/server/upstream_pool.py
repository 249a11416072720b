"""Connections to upstreams: dialling, pools, and how each attempt ended.

Owns the directory of upstreams (address, state) and every socket to one.  Must never choose an upstream,
repeat an attempt or call the module: an attempt's end is put to the owner, once.  What guards a rule at the
last moment stops the write here, and the outcome says that the attempt never ran.
"""

from __future__ import annotations

import contextlib
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

import gevent
import structlog
from gevent import socket

from linetrack.control.metrics import Metrics
from linetrack.control.connection_slots import DecayingRate, IdleTimeModel, slot_price
from linetrack.policy.events import EndpointStatus, Outcome
from linetrack.server.budget import Budget
from linetrack.server.clock import clock
from linetrack.server.connection import Connection, ResponseStream, readable
from linetrack.server.endpoint_list import EndpointRecord
from linetrack.server.http1.encoding import LAST_CHUNK, encode_chunk
from linetrack.server.http1.errors import MalformedMessageError
from linetrack.server.http1.headers import parse_load_report
from linetrack.server.http1.limits import MAX_BODY_BYTES, MAX_BUFFERED_BODY_BYTES
from linetrack.server.http1.requests import ClientRequest, encode_request
from linetrack.server.http1.responses import Response
from linetrack.server.dispatcher import Attempt, FinishedAttempt, SentBody, StartedResponse

log = structlog.get_logger()

KEEP_SHARE = 0.8  # of the upstream's keep-alive: past it a connection may be closed under the next request
REST = 5_000  # microseconds after an answer in which a connection is not used: something may come behind it
STALLED = 5.0  # seconds without a byte after which an answer that goes on has broken off
SWEEP = 1.0  # seconds between looks for connections that stood idle too long
DEPTHS = (
    4  # connections of an upstream that rest are counted apart by how many rested there before, up to here
)


@dataclass(slots=True)
class PooledUpstream:
    """What is known of one upstream, and its idle connections, the newest last."""

    address: tuple[str, int]
    health: EndpointStatus
    idle: list[Connection]
    member: EndpointRecord  # as discovery told it last


class UpstreamPool:
    def __init__(
        self,
        budget: Budget,
        dial_timeout: int,
        keep_alive: int,
        fields: tuple[str, ...],
        tell: Callable[[FinishedAttempt | SentBody | StartedResponse, int], None],
        metrics: Metrics | None = None,
    ) -> None:
        self.budget, self.tell, self.metrics = budget, tell, metrics or Metrics()
        self.set(dial_timeout, keep_alive, fields)
        self.known: dict[str, PooledUpstream] = {}
        # all that rest, the longest first, and the pool that each is in
        self.resting: OrderedDict[Connection, PooledUpstream] = OrderedDict()
        self.rests, self.dials = IdleTimeModel((None,) * DEPTHS), DecayingRate()
        budget.shrink = self.close_oldest

    def set(self, dial_timeout: int, keep_alive: int, fields: tuple[str, ...]) -> None:
        """These times, in microseconds, and names of a report's values from here on; what rests is not closed
        before its time, but not used past the new one."""
        self.dial_timeout, self.keep, self.fields = dial_timeout, int(keep_alive * KEEP_SHARE), fields

    # --- The directory -----------------------------------------------------------------------------
    def learn(self, members: tuple[EndpointRecord, ...], full: bool) -> None:
        for member in members:
            known = self.known.get(member.name)
            if member.status is EndpointStatus.REMOVED:
                self._drop(member.name)
            elif known is None:
                self.known[member.name] = PooledUpstream(member.address, member.status, [], member)
            else:
                if member.address != known.address or member.status is not EndpointStatus.UP:
                    self._close_idle(known)
                known.address, known.health, known.member = member.address, member.status, member
        if full:
            for name in self.known.keys() - {member.name for member in members}:
                self._drop(name)

    def _drop(self, name: str) -> None:
        """Forget one that is gone, as new ones come for ever; an attempt still out keeps its own record of
        it, by which its connection is not used again, whoever has the name or the address then."""
        if known := self.known.pop(name, None):
            known.health = EndpointStatus.REMOVED
            self._close_idle(known)

    # --- Idle connections --------------------------------------------------------------------------
    def _close(self, connection: Connection) -> None:
        connection.close()
        self.budget.give_back()

    def _rest(self, connection: Connection, known: PooledUpstream, now: int) -> None:
        """A connection whose answer has come whole waits for its next use, while that is worth it."""
        connection.idle_since, connection.depth = now, min(len(known.idle), DEPTHS - 1)
        budget = self.budget
        connection.until = now + self.keep
        if budget.short:
            # guards against idle connections in the places of callers while the upstreams' keep-alive lasts
            cost = slot_price(budget.used, budget.most, self.dials.of(now))
            connection.until = now + self.rests.kept(connection.depth, cost, 0, self.keep)[0]
        known.idle.append(connection)
        self.resting[connection] = known

    def _leave(self, connection: Connection, known: PooledUpstream, used: bool) -> None:
        """Its rest is over, in a use or not."""
        known.idle.remove(connection)
        del self.resting[connection]
        self.rests.ended(connection.depth, clock() - connection.idle_since, used)

    def _close_idle(self, known: PooledUpstream) -> None:
        for connection in list(known.idle):
            self._leave(connection, known, False)
            self._close(connection)

    def close_all_idle(self) -> None:
        """Close all that rest, whoever to."""
        while self.close_oldest():
            pass

    def members(self) -> list[EndpointRecord]:
        """The list as it stands."""
        return [known.member for known in self.known.values()]

    def close_idle(self, name: str) -> None:
        """Close all that rest to this upstream."""
        if known := self.known.get(name):
            self._close_idle(known)

    def close_oldest(self) -> bool:
        """Close the connection that stood idle longest; False where none is idle."""
        if not self.resting:
            return False
        connection, known = next(iter(self.resting.items()))
        self._leave(connection, known, False)
        self._close(connection)
        return True

    def sweep(self) -> None:
        """Close what stood idle too long, for ever."""
        while True:
            gevent.sleep(SWEEP)
            now = clock()
            for connection, known in [item for item in self.resting.items() if item[0].until < now]:
                self._leave(connection, known, False)
                self._close(connection)

    def _reused(self, known: PooledUpstream) -> Connection | None:
        """The newest idle connection that has rested and is still sound."""
        now, at = clock(), len(known.idle) - 1
        # guards against what comes right behind an answer, which would be read as the next request's
        while at >= 0 and known.idle[at].idle_since > now - REST:
            at -= 1
        while at >= 0:
            connection = known.idle[at]
            at -= 1
            # guards against a stale connection: readable means closed, or an answer that nobody asked for
            sound = connection.idle_since >= now - self.keep and not readable(connection.sock)
            self._leave(connection, known, sound)
            if sound:
                return connection
            self._close(connection)
        return None

    # --- Attempts ----------------------------------------------------------------------------------
    def start(self, attempt: Attempt) -> None:
        # nobody waits for it or ends it, and it lets nothing out
        gevent.spawn_raw(self._run, attempt)

    def give_up(self, attempt: Attempt) -> None:
        """Close the connection that the attempt is on, dialled or half dialled; its greenlet wakes."""
        if attempt.sock is not None:
            # closing waits for the greenlet on it to wake: the upstream is to know before any further attempt
            with contextlib.suppress(OSError):
                attempt.sock.shutdown(socket.SHUT_RDWR)
            attempt.sock.close()

    def _run(self, attempt: Attempt) -> None:
        connection: Connection | None = None
        written, held = False, 0

        def room(size: int) -> None:
            nonlocal held
            held = self.budget.hold(size)

        try:
            known = self.known.get(attempt.upstream)
            if known is None:
                # gone between the module's decision and this turn
                self._finish(attempt, Outcome.NOT_SENT)
                return
            connection = self._reused(known) or self._dial(attempt, known)
            if connection is None:
                return
            attempt.sock = connection.sock
            if self._forbidden(attempt, known):
                self._finish(attempt, Outcome.NOT_SENT)
                return
            remaining = attempt.until - clock()
            request = attempt.open.request
            connection.reader.is_head_only = request.method == "HEAD"
            connection.write(
                encode_request(request, connection.address, min(remaining, attempt.open.patience))
            )
            if request.body_chunks or request.body_stream is not None:
                if not self._write_long(attempt, request, connection):
                    return
                attempt.sent = clock()
                self.tell(SentBody(attempt), attempt.sent)
            written = True
            self.metrics.attempts_sent += 1
            answer = connection.read(self.dial_timeout / 1_000_000, room)
            seen = clock()
            if answer is None:
                self._finish(attempt, Outcome.RESET, seen=seen)
                return
            if connection.reader.exceeds_body_buffer and _outcome(answer) is Outcome.SUCCESS:
                # also where its end has come already: its body is not in the answer
                self._stream(attempt, connection, answer, seen)
            else:
                self._finish(attempt, _outcome(answer), answer, seen)
            if (whole := connection.reader.completed_response) is None:
                return
            fit = known.health is EndpointStatus.UP and connection.address == known.address
            if fit and whole.keep_alive and not connection.reader.has_unexpected_data:
                attempt.sock = None
                connection.reader.start_next_response()
                self._rest(connection, known, clock())
                connection = None
        except OSError:
            self._finish(attempt, Outcome.RESET if written else Outcome.CONNECT_FAILED)
        except MalformedMessageError as fault:
            if not written:
                # what is no request: its body, on its way
                self._finish(attempt, Outcome.CONNECT_FAILED)
                return
            log.warning("answer_malformed", upstream=attempt.upstream, fault=str(fault))
            self._finish(attempt, Outcome.ERROR)
        except Exception:
            # guards against a greenlet that ends silently and leaves its request without an end
            log.exception("attempt_broke", upstream=attempt.upstream)
            self._finish(attempt, Outcome.RESET if written else Outcome.CONNECT_FAILED)
        finally:
            self.budget.held -= held
            if connection is not None:
                self._close(connection)

    def _write_long(self, attempt: Attempt, request: ClientRequest, connection: Connection) -> bool:
        """Whether a long body went out whole; where not, the attempt has ended."""
        if request.body_stream is None:
            for part in request.body_chunks:
                connection.write(part)
            return True
        chunked = request.body_stream.content_length is None
        self.budget.streams += 1
        try:
            while parts := request.body_stream.read_chunks():
                if readable(connection.sock):
                    # an answer ahead of the request's end, or a close: it has not run
                    self._finish(attempt, Outcome.CONNECT_FAILED)
                    return False
                for part in parts:
                    connection.write(encode_chunk(part) if chunked else part)
            if chunked:
                connection.write(LAST_CHUNK)
        finally:
            self.budget.streams -= 1
        return True

    def _stream(self, attempt: Attempt, connection: Connection, answer: Response, seen: int) -> None:
        """A long answer goes on from its first bytes; whoever writes it to the client reads it."""
        stream = ResponseStream(connection, answer, STALLED, self.budget.piece)
        latency = seen - attempt.sent
        self.budget.streams += 1
        try:
            self.tell(StartedResponse(attempt, latency, stream), seen)
            outcome = stream.over.get()
        finally:
            self.budget.streams -= 1
        connection.sock.settimeout(None)
        self._finish(attempt, outcome, answer, attempt.sent + latency)

    def _forbidden(self, attempt: Attempt, known: PooledUpstream) -> bool:
        """Whether, while it dialled or waited, the upstream began to drain, its client left, or its request
        or time ended."""
        if attempt.ended or attempt.open.over or known.health is not EndpointStatus.UP:
            return True
        # guards against sends for a client whose leaving still stands in the owner's queue, or was not seen
        return clock() >= min(attempt.until, attempt.by) or attempt.open.gone()

    def _dial(self, attempt: Attempt, known: PooledUpstream) -> Connection | None:
        """A new connection; None where the attempt ended first, has been told so or could not connect."""
        if self._forbidden(attempt, known):
            self._finish(attempt, Outcome.NOT_SENT)
            return None
        if not self.budget.take():
            log.warning("no_descriptor", upstream=attempt.upstream)
            self._finish(attempt, Outcome.CONNECT_FAILED)
            return None
        try:
            connection = Connection(known.address, MAX_BODY_BYTES, MAX_BUFFERED_BODY_BYTES)
            attempt.sock = connection.sock
            self.dials.add(clock())
            connection.dial(self.dial_timeout / 1_000_000)
            return connection
        except BaseException:
            self.budget.give_back()
            raise

    def _finish(
        self, attempt: Attempt, outcome: Outcome, answer: Response | None = None, seen: int | None = None
    ) -> None:
        if attempt.ended:
            return
        attempt.ended = True
        seen = clock() if seen is None else seen
        told = parse_load_report(answer.load_report, self.fields) if answer and answer.load_report else ()
        served = answer if outcome is Outcome.SUCCESS and not attempt.begun else None
        self.tell(FinishedAttempt(attempt, outcome, seen - attempt.sent, served, told), seen)


def _outcome(answer: Response) -> Outcome:
    if answer.status == 200:
        return Outcome.SUCCESS
    if answer.status in (503, 504) and answer.is_unprocessed:
        return Outcome.OVERLOADED
    return Outcome.ERROR
