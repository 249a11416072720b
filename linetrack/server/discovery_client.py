"""Discovery: the list of upstreams, called for and watched.

Owns the connection to discovery, its address and the version of the list at hand.  Must never decide when to
call, for how long or when to give up: that is `control/discovery_schedule.py`.
"""

from __future__ import annotations

import zlib
from collections.abc import Callable

import gevent
import structlog
from gevent import socket
from gevent.event import Event

from linetrack.control.discovery_schedule import Poll, DiscoverySchedule, PollFailure
from linetrack.policy.events import EndpointEntry, EndpointListUpdate, ListForm
from linetrack.policy.settings import Settings
from linetrack.server.clock import clock
from linetrack.server.connection import Connection, StalledError
from linetrack.server.endpoint_list import (
    MAX_ENDPOINT_LIST_BYTES,
    EndpointRecord,
    EndpointRecords,
    decode_endpoint_list,
    encode_poll,
)
from linetrack.server.http1.errors import MalformedMessageError
from linetrack.server.http1.responses import Response
from linetrack.server.upstream_pool import UpstreamPool

log = structlog.get_logger()

SECOND = 1_000_000


class PollError(Exception):
    """A call to discovery failed."""

    def __init__(self, fault: PollFailure, cause: object) -> None:
        super().__init__(str(cause) or type(cause).__name__)
        self.fault = fault


class DiscoveryClient:
    def __init__(
        self,
        address: tuple[str, int],
        upstreams: UpstreamPool,
        tell: Callable[[EndpointListUpdate, int], None],
        zones: tuple[str, ...],
        kinds: tuple[str, ...],
        settings: Settings,
        seed: int,
    ) -> None:
        self.address, self.upstreams, self.tell = address, upstreams, tell
        self.schedule = DiscoverySchedule(settings, seed)
        self.set(zones, kinds, settings)
        self.version: int | None = None
        self.asked, self.moved = Event(), Event()
        # a first call was answered, or there is nobody to answer; where lists are asked for, it has failed
        self.heard = Event()
        self.turn = 0  # how often another discovery was named
        self.former: gevent.Greenlet | None = None  # hears what the one before it still tells

    def set(self, zones: tuple[str, ...], kinds: tuple[str, ...], settings: Settings) -> None:
        """The numbers that places and kinds have from here on, and the settings."""
        self.zones = {name: n for n, name in enumerate(zones)}
        self.kinds = {name: n for n, name in enumerate(kinds)}
        self.schedule.configure(settings)

    def remember(self, known: EndpointRecords) -> None:
        """The list as this sidecar last had it, before anything else is told."""
        self.version = known.version if known.endpoints else None
        self._tell(known, ListForm.CACHED)

    def watch(self) -> None:
        """The module asks for the list; from then on it is kept."""
        self.asked.set()

    def move(self, address: tuple[str, int]) -> None:
        """The configuration names this address now.  Another discovery is asked at once, whatever back-off
        stands, and for its whole list, as its versions are its own; until it has answered the old list
        stands."""
        if address == self.address:
            return
        self.address, self.version = address, None
        self.turn += 1
        self.schedule.switch_server(clock())
        for event in (self.asked, self.moved):
            event.set()

    def run(self) -> None:
        """Calls one after the other, from the module's asking on where changes do not come by themselves; for
        ever."""
        if not self.schedule.updates_are_pushed:
            self.asked.wait()
        while True:
            self.moved.clear()
            poll = self.schedule.next_poll(clock())
            if self.moved.wait(max(0, poll.due_at - clock()) / SECOND):
                continue
            following = gevent.spawn(self._until_it_fails, poll, self.turn)
            gevent.wait([following, self.moved], count=1)
            if self.moved.is_set():
                # guards against the old discovery's failure holding back the first call to another
                self._hear_out(following)
            elif isinstance(failed := following.get(), PollError):
                self.schedule.record_failure(clock(), failed.fault)
                if failed.fault is PollFailure.UNREACHABLE or not self.schedule.updates_are_pushed:
                    self.heard.set()
                log.warning("discovery_failed", how=failed.fault.value, fault=str(failed))

    def _hear_out(self, following: gevent.Greenlet | None) -> None:
        """Another discovery is asked from here on.

        Guards against news that the old one had written and that nobody would read: it counts as told.  Its
        open call is heard until the new one has answered, or the next move."""
        if self.former is not None:
            self.former.kill(block=False)
        self.former = following

    def _until_it_fails(self, poll: Poll, turn: int) -> PollError | None:
        try:
            self._follow(poll, turn)
        except PollError as failed:
            return failed
        return None

    def _follow(self, poll: Poll, turn: int) -> None:
        """This call and all that follow it, on one connection while it is kept; ends by raising, or once
        another discovery is asked."""
        line: Connection | None = None
        try:
            while True:
                gevent.sleep(max(0, poll.due_at - clock()) / SECOND)
                if line is None:
                    line = self._dial(poll)
                answer = self._call(line, poll)
                if answer.status != 200:
                    raise PollError(PollFailure.REJECTED, f"discovery answered {answer.status}")
                before = self.version
                try:
                    told = decode_endpoint_list(answer.body)
                    if turn != self.turn:
                        self._take_last(told)
                        return
                    self._take(told)
                except MalformedMessageError as fault:
                    raise PollError(PollFailure.INVALID, fault) from None
                self._hear_out(None)
                self.schedule.record_success(clock(), poll, self.version != before)
                self.heard.set()
                if not answer.keep_alive or line.reader.has_unexpected_data:
                    line.close()
                    line = None
                poll = self.schedule.next_poll(clock())
        finally:
            if line is not None:
                line.close()

    def _dial(self, poll: Poll) -> Connection:
        try:
            # guards against ending with the process where no descriptor is left
            line = Connection(self.address, MAX_ENDPOINT_LIST_BYTES, MAX_ENDPOINT_LIST_BYTES)
            line.connect(poll.connect_timeout / SECOND)
        except OSError as fault:
            raise PollError(PollFailure.UNREACHABLE, fault) from None
        return line

    def _call(self, line: Connection, poll: Poll) -> Response:
        """One call's answer, whole; a CallError where none comes in time."""
        fault = PollFailure.TIMEOUT
        # a wait begins when discovery has been told of it, however long the dial took
        since = clock() if poll.long_poll_wait else poll.due_at
        deadline = since + poll.response_timeout
        try:
            with gevent.Timeout(max(0, deadline - clock()) / SECOND, TimeoutError("no answer")):
                line.sock.sendall(
                    encode_poll(self.address, self.version, poll.long_poll_wait // 1000)
                )
                socket.wait_read(line.sock.fileno())
            fault = PollFailure.TRUNCATED
            with gevent.Timeout(poll.transfer_timeout / SECOND, TimeoutError("the answer takes too long")):
                answer = line.read_response(poll.stall_timeout / SECOND, lambda size: None)
        except TimeoutError as late:
            raise PollError(fault, late) from None
        except OSError as broken:
            raise PollError(PollFailure.UNREACHABLE, broken) from None
        except StalledError as late:
            raise PollError(PollFailure.TRUNCATED, late) from None
        except MalformedMessageError as malformed:
            raise PollError(PollFailure.INVALID, malformed) from None
        if answer is None:
            fault = PollFailure.UNREACHABLE if line.reader.response is None else PollFailure.TRUNCATED
            raise PollError(fault, "discovery closed the connection")
        line.reader.start_next_response()
        return answer

    def _take_last(self, told: EndpointRecords) -> None:
        """The last news of a discovery that was left, while the new one has told nothing."""
        if self.version is None:
            self._pass_on(told)

    def _take(self, told: EndpointRecords) -> None:
        if told.skipped_count:
            log.warning("members_passed_over", entries=told.skipped_count)
        if self.version is not None and told.version < self.version:
            # guards against old news, and against staying deaf to a discovery that started over: the next
            # call asks for the whole list, which then holds whatever its version
            version, self.version = self.version, None
            raise MalformedMessageError(f"version {told.version} is older than {version}")
        self.version = told.version
        self._pass_on(told)

    def _pass_on(self, told: EndpointRecords) -> None:
        if told.endpoints or told.is_snapshot:
            self._tell(told, ListForm.SNAPSHOT if told.is_snapshot else ListForm.DELTA)

    def _tell(self, told: EndpointRecords, form: ListForm) -> None:
        seen = clock()
        self.upstreams.learn(told.endpoints, form is not ListForm.DELTA)
        self.tell(EndpointListUpdate(form, tuple(self._entry(member) for member in told.endpoints)), seen)

    def _entry(self, member: EndpointRecord) -> EndpointEntry:
        zone, kind, health = _place(self.zones, member.zone), _place(self.kinds, member.host_class), member.status
        return EndpointEntry(member.name, zone, kind, member.cell, health, member.weight, member.started_at_ms * 1000)


def _place(named: dict[str, int], name: str) -> int:
    """A name's number; one that the settings do not hold gets one of its own, kept nowhere: new names may
    come for ever."""
    place = named.get(name)
    return len(named) + zlib.crc32(name.encode()) if place is None else place
