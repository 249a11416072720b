"""Made-up settings and a small driver; nothing here comes from any deployment."""

from collections.abc import Callable

from linetrack.policy.interface import (
    Action,
    Arrival,
    Effect,
    Ended,
    Entry,
    Event,
    FleetNews,
    Group,
    ListForm,
    Load,
    Outcome,
    RequestClass,
    Send,
    Settings,
)
from linetrack.policy.balancer import Balancer

MS = 1000
SECOND = 1_000_000

CLASSES = (
    RequestClass(Effect.SAFE, 500 * MS, 2 * SECOND, worth=3.0),
    RequestClass(Effect.KEYED, 500 * MS, 2 * SECOND, worth=5.0, group=Group.ZONE, window=SECOND),
    RequestClass(Effect.UNSAFE, 500 * MS, 2 * SECOND, worth=9.0),
    RequestClass(Effect.KEYED, 500 * MS, 2 * SECOND, worth=1.0, group=Group.CELL, window=SECOND),
    RequestClass(Effect.KEYED, 500 * MS, 2 * SECOND, worth=1.0, group=Group.ALL, window=SECOND),
)
SAFE, KEYED, UNSAFE, CELL, KEYED_ALL = range(5)


def settings(**changes: object) -> Settings:
    values: dict[str, object] = {
        "classes": CLASSES,
        "instances": 3,
        "zones": 2,
        "report_fields": (Load.QUEUE,),
        "cold_from": 0.2,
        "warm_up": 10 * SECOND,
        "fall_multiple": 3.0,
        "overload_for": SECOND,
        "drain_grace": SECOND,
        "may_cancel": True,
        "parallel": True,
        "retry_advice": True,
        "max_retry_after": SECOND,
        "max_attempts": 4,
        "price_cross": 0.1,
    }
    return Settings(**{**values, **changes})  # type: ignore[arg-type]


def fleet(home: int = 4, away: int = 3) -> tuple[Entry, ...]:
    entries = [Entry(f"h{n}", zone=0, cell=n // 2) for n in range(home)]
    return (*entries, *(Entry(f"a{n}", zone=1, cell=10 + n // 2) for n in range(away)))


class Driver:
    """Feeds one balancer and keeps what it did."""

    def __init__(self, seed: int = 1, entries: tuple[Entry, ...] | None = None, **changes: object) -> None:
        self.balancer = Balancer(settings(**changes), seed)
        self.now = 1000 * SECOND
        self.count = 0
        self.feed(FleetNews(ListForm.REMEMBERED, fleet() if entries is None else entries))

    def feed(self, event: Event, after: int = 0) -> list[Action]:
        self.now += after
        return self.balancer.handle(self.now, event)

    def ask(self, klass: int = SAFE, after: int = 0, patience: int = 2 * SECOND) -> tuple[int, list[Action]]:
        self.count += 1
        return self.count, self.feed(Arrival(self.count, klass, patience), after)

    def end(
        self,
        request: int,
        upstream: str,
        outcome: Outcome = Outcome.OK,
        latency: int = 50 * MS,
        attempt: int = 0,
        report: tuple[float, ...] = (),
    ) -> list[Action]:
        over = outcome is Outcome.OK
        return self.feed(Ended(request, attempt, upstream, outcome, latency, over, report), latency)

    def finish(self, answer: Callable[[str], tuple[Outcome, int]], klass: int = SAFE) -> list[str]:
        """One request to its end, each attempt ended as `answer` says of its upstream; where it went."""
        request, actions = self.ask(klass)
        went: list[str] = []
        while upstreams := sends(actions):
            outcome, latency = answer(upstreams[0])
            went.append(upstreams[0])
            actions = self.end(request, upstreams[0], outcome, latency, len(went) - 1)
        return went

    def serve(self, klass: int = SAFE, latency: int = 50 * MS, report: tuple[float, ...] = ()) -> str:
        """One request, answered by wherever it went."""
        request, actions = self.ask(klass)
        upstream = sends(actions)[0]
        self.end(request, upstream, latency=latency, report=report)
        return upstream


def sends(actions: list[Action]) -> list[str]:
    return [action.upstream for action in actions if isinstance(action, Send)]
