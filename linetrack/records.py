"""What the policy notes of open requests and attempts: state alone; `rules.py` decides on it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from linetrack import interface as i

if TYPE_CHECKING:
    from linetrack.rules import Upstream


class Attempt:
    __slots__ = ("backlog", "copy", "dials", "expected", "klass", "number", "rest", "sent", "upstream")

    def __init__(self, request: Request, upstream: Upstream, now: int) -> None:
        self.number, self.klass = request.sends, request.arrival.klass
        self.upstream, self.sent = upstream, now
        self.backlog = self.expected = 0.0
        self.copy = bool(request.out)
        self.rest = now - upstream.used if upstream.used and not upstream.out else 0
        self.dials = upstream.linked < now


class Request:
    __slots__ = (
        "arrival", "at", "began", "first", "held", "klass", "lot", "net", "number", "out", "ran",
        "room", "scale", "second", "sends", "size", "strain", "stretch", "tried", "until", "value", "within",
    )  # fmt: skip

    def __init__(self, arrival: i.Arrival, klass: i.RequestClass, now: int) -> None:
        self.arrival, self.klass, self.number = arrival, klass, arrival.request
        self.at, self.until = now, now + arrival.patience
        self.first: Upstream | None = None
        self.second: Upstream | None = None
        self.out: dict[int, Attempt] = {}
        self.ran: list[i.Ran] = []  # all that may have run
        self.tried: list[Upstream] = []
        self.sends, self.net = 0, 0.0
        self.scale = self.value = self.size = self.strain = self.room = self.stretch = 1.0
        self.within = self.lot = 1.0
        self.held, self.began = False, 0
