"""What the policy notes of open requests and attempts: state alone; `rules.py` decides on it."""

from __future__ import annotations

import zlib

from linetrack.policy.events import EndpointEntry, EndpointStatus, RequestReceived
from linetrack.policy.protocols import PossibleExecution
from linetrack.policy.settings import RequestClass
from linetrack.policy.decaying_average import Evidence


class Upstream:
    """The fleet view's record of one upstream: what discovery, reports and own attempts told."""

    __slots__ = (
        "absent", "alone", "answered", "cell", "cold_sent", "credit", "credit_at", "errors", "faults",
        "gone", "heard_at", "kind", "linked", "listed_start", "load_at", "loaded", "lots", "name", "others",
        "out", "own", "pace", "part", "part_until", "share", "size", "spells", "tag", "used", "view_until",
        "warm_at", "warmth", "zone",
    )  # fmt: skip

    def __init__(self, entry: EndpointEntry) -> None:
        self.name = entry.endpoint
        self.tag = zlib.crc32(entry.endpoint.encode())
        self.out: dict[tuple[int, int], Attempt] = {}
        self.fresh(entry)

    def fresh(self, entry: EndpointEntry) -> None:
        """A new process: nothing learnt before holds."""
        self.zone, self.cell, self.listed_start = entry.zone, entry.cell, entry.started_at
        self.gone, self.absent = entry.status is not EndpointStatus.UP, False
        self.kind, self.size = entry.host_class, 1.0
        self.others = self.errors = 0.0
        self.faults = 0.0  # the share of errors again, over some forty answers
        # its time for a request over the calm pace: uncrowded, with what it holds, as of a VIEW
        self.alone, self.loaded, self.view_until = 1.0, 1.0, 0
        self.share = 1.0  # 1 / penalty per listed size that follows from these, but for its zone and errors
        self.pace = Evidence()  # logarithm of its time for a request over that of its kind
        # by class: share of errors and when it answered; how long a spell is and until when
        self.own: dict[int, tuple[float, int]] = {}
        self.spells: dict[int, tuple[int, int]] = {}
        self.heard_at = self.load_at = 0
        self.warm_at, self.warmth = 0, 1.0  # until when less than its capacity can be counted on; how much
        self.used = self.linked = 0  # when an attempt on it last ended; until when it has an own connection
        self.answered = 0  # when the latest of those sends was made that have an answer
        self.cold_sent: list[int] = []
        # in sends: what it may have by lot now and in a span, and its part of the budget, as of a view
        self.credit, self.credit_at, self.lots = 0.0, entry.started_at, 0.0
        self.part, self.part_until = 0.0, 0

    def place(self, mark: int) -> float:
        """Its place for whatever has this mark, alike wherever it is asked: over 0, 1 at most."""
        return (((self.tag ^ mark) * 0x9E3779B1 & 0xFFFFFFFF) + 1) / 2**32


class Attempt:
    __slots__ = ("backlog", "copy", "dials", "expected", "klass", "number", "rest", "sent", "upstream")

    def __init__(self, request: Request, upstream: Upstream, now: int) -> None:
        self.number, self.klass = request.sends, request.arrival.class_index
        self.upstream, self.sent = upstream, now
        self.backlog = self.expected = 0.0
        self.copy = bool(request.out)
        self.rest = now - upstream.used if upstream.used and not upstream.out else 0
        self.dials = upstream.linked < now


class Request:
    __slots__ = (
        "arrival", "at", "began", "first", "held", "klass", "lot", "net", "number", "out", "ran",
        "room", "scale", "second", "sends", "strain", "stretch", "tried", "until", "value", "within",
    )  # fmt: skip

    def __init__(self, arrival: RequestReceived, klass: RequestClass, now: int) -> None:
        self.arrival, self.klass, self.number = arrival, klass, arrival.request_id
        self.at, self.until = now, now + arrival.timeout
        self.first: Upstream | None = None
        self.second: Upstream | None = None
        self.out: dict[int, Attempt] = {}
        self.ran: list[PossibleExecution] = []  # all that may have run
        self.tried: list[Upstream] = []
        self.sends, self.net = 0, 0.0
        self.scale = self.value = self.strain = self.room = self.stretch = 1.0
        self.within = self.lot = 1.0
        self.held, self.began = False, 0
