"""Discovery: the list of upstreams, called for and watched.

Owns the connection to discovery and the version of the list at hand.  Must never decide when to ask again after a
failure: that is told to the module as refused.
"""

from __future__ import annotations

import gevent
import structlog
from gevent import socket
from gevent.event import Event

from linetrack.interface import Entry, FleetNews, ListForm
from linetrack.net import messages
from linetrack.net.messages import AnswerReader, Malformed, Member, MemberList
from linetrack.net.owner import Owner, clock
from linetrack.net.upstreams import Upstreams

log = structlog.get_logger()

HOLD_MS = 20_000  # how long a watch waits for news
SLACK = 2.0  # seconds beyond that in which it must be answered
ANSWER_WITHIN = 5.0  # seconds for a call that need not wait
ASK_AGAIN = 1.0  # seconds after a failure where the module is not asked to call


class Discovery:
    def __init__(
        self,
        address: tuple[str, int],
        owner: Owner,
        upstreams: Upstreams,
        zones: tuple[str, ...],
        kinds: tuple[str, ...],
        must_ask: bool,
    ) -> None:
        self.address, self.owner, self.upstreams = address, owner, upstreams
        self.zones = {name: n for n, name in enumerate(zones)}
        self.kinds = {name: n for n, name in enumerate(kinds)}
        self.must_ask = must_ask
        self.version: int | None = None
        self.asked = Event()

    def remember(self, known: MemberList) -> None:
        """The list as this sidecar last had it, before anything else is told."""
        self.version = known.version if known.members else None
        self._tell(known, ListForm.REMEMBERED)

    def watch(self) -> None:
        self.asked.set()

    def run(self) -> None:
        """Each time the module asks, a watch until it fails; for ever."""
        while True:
            if self.must_ask:
                self.asked.wait()
                self.asked.clear()
            try:
                self._follow()
            except (OSError, Malformed) as fault:
                log.warning("discovery_failed", fault=str(fault) or type(fault).__name__)
            self.owner.put(FleetNews(ListForm.REFUSED), clock())
            if not self.must_ask:
                gevent.sleep(ASK_AGAIN)

    def _follow(self) -> None:
        """Calls one after the other on one connection; ends by raising."""
        host = f"{self.address[0]}:{self.address[1]}"
        reader = AnswerReader(messages.MOST_LIST)
        sock = socket.create_connection(self.address, timeout=ANSWER_WITHIN)
        first = True
        try:
            while True:
                within = ANSWER_WITHIN if self.version is None else HOLD_MS / 1000 + SLACK
                with gevent.Timeout(within, TimeoutError("discovery did not answer")):
                    sock.sendall(messages.encode_list_call(host, self.version, HOLD_MS))
                    answer = None
                    while answer is None:
                        if not (data := sock.recv(64 * 1024)):
                            raise Malformed("discovery closed the connection")
                        answer = reader.feed(data)
                reader.next()
                if answer.status != 200:
                    raise Malformed(f"discovery answered {answer.status}")
                told = messages.decode_list(answer.body)
                self._take(told, first)
                first = False
                if not answer.keep or reader.stray:
                    sock.close()
                    sock = socket.create_connection(self.address, timeout=ANSWER_WITHIN)
                    reader = AnswerReader(messages.MOST_LIST)
        finally:
            sock.close()

    def _take(self, told: MemberList, first: bool) -> None:
        if told.passed_over:
            log.warning("members_passed_over", entries=told.passed_over)
        if self.version is not None and told.version < self.version:
            raise Malformed(f"version {told.version} is older than {self.version}")
        self.version = told.version
        if told.members or told.full or first:
            self._tell(told, ListForm.WHOLE if told.full else ListForm.CHANGES)

    def _tell(self, told: MemberList, form: ListForm) -> None:
        seen = clock()
        self.upstreams.learn(told.members, form is not ListForm.CHANGES)
        self.owner.put(FleetNews(form, tuple(self._entry(member) for member in told.members)), seen)

    def _entry(self, member: Member) -> Entry:
        # a zone or kind that the settings do not name gets a number of its own
        zone = self.zones.setdefault(member.zone, len(self.zones))
        kind = self.kinds.setdefault(member.kind, len(self.kinds))
        health = member.health
        return Entry(
            member.name, zone, kind, member.cell, health, member.weight, member.started_ms * 1000
        )
