"""A service and its clients in simulated time, with an overload controller between them or without one."""

import heapq
import itertools
from collections import Counter
from collections.abc import Callable
from functools import partial
from random import Random

from linetrack.control.overload_control import AdaptiveOverloadController
from linetrack.policy.events import RequestReceived
from tests.support.units import MS, SECOND

ROUND_TRIP = 100 * MS  # the least that a client needs to retry, however eager: bounds each simulation
START = 1000 * SECOND
LATENCY_OBJECTIVE = 500 * MS


def is_admitted(controller: AdaptiveOverloadController, now: int, is_retry: bool) -> bool:
    """Ask for a request of the one class that there is."""
    return controller.admit(now, RequestReceived(1, 0, SECOND, is_retry=is_retry), 1.0)


class SimulatedService:
    """A service of `capacity` requests a second, first come first served, with a queue of one second.

    Clients retry after a rejection or failure; a share of them, `obedient`, when they were asked to.
    """

    def __init__(
        self,
        controller: AdaptiveOverloadController | None,
        seed: int,
        obedient: float,
        rate: float = 40,
        capacity: float = 50,
    ) -> None:
        self.controller = controller
        self.random = Random(seed)
        self.obedient = obedient
        self.rate = rate
        self.capacity = capacity
        self.outages: tuple[tuple[float, float], ...] = ()
        self.events: list[tuple[int, int, Callable[[int], None]]] = []
        self.sequence = itertools.count()
        self.free_at = 0
        self.served_in_time: Counter[int] = Counter()  # by second

    def schedule(self, at: int, action: Callable[[int], None]) -> None:
        heapq.heappush(self.events, (at, next(self.sequence), action))

    def play(self, seconds: int, outages: tuple[tuple[float, float], ...] = ()) -> None:
        """Simulate so many seconds; the service is down from the first to the second time of each outage."""
        self.outages = outages
        end = START + seconds * SECOND
        at = float(START)
        while at < end:
            at += self.random.expovariate(self.rate) * SECOND
            self.schedule(int(at), partial(self.receive, retries=0))
        while self.events and self.events[0][0] < end:
            now, _, action = heapq.heappop(self.events)
            action(now)

    def is_down(self, now: int) -> bool:
        return any(begin <= (now - START) / SECOND < end for begin, end in self.outages)

    def receive(self, now: int, retries: int) -> None:
        """A client sends a request, after so many retries."""
        if self.controller and not is_admitted(self.controller, now, retries > 0):
            self.retry(now, retries)
        elif self.is_down(now):
            self.record_failure(now)
            self.retry(now, retries)
        else:
            self.enqueue(now, retries)

    def enqueue(self, now: int, retries: int) -> None:
        # work that its client no longer waits for is done all the same
        work = int(SECOND / self.capacity)
        self.free_at = max(self.free_at, now) + work
        if self.free_at > now + SECOND:
            # rejected, at a twentieth of the work
            self.free_at = min(self.free_at - int(SECOND / self.capacity * 0.95), now + 2 * SECOND)
            self.record_failure(now)
            self.retry(now, retries)
        else:
            latency = self.free_at - now
            self.schedule(self.free_at + 20 * MS, partial(self.respond, latency=latency, retries=retries))

    def respond(self, now: int, latency: int, retries: int) -> None:
        in_time = latency <= LATENCY_OBJECTIVE
        self.served_in_time[(now - START) // SECOND] += in_time
        if self.controller:
            self.controller.record_response(now, in_time, 2 * latency <= LATENCY_OBJECTIVE)
        if not in_time:
            self.retry(now, retries)

    def record_failure(self, now: int) -> None:
        if self.controller:
            self.controller.record_response(now, False, False)

    def retry(self, now: int, retries: int) -> None:
        if retries >= 100:
            return
        advice = self.controller.retry_after(now, 500 * MS, 5 * SECOND) if self.controller else 0
        delay = advice if advice and self.random.random() < self.obedient else ROUND_TRIP
        self.schedule(now + max(delay, ROUND_TRIP), partial(self.receive, retries=retries + 1))

    def rate_before(self) -> float:
        """Requests served in time a second, from the third to the eighth second."""
        return sum(self.served_in_time[second] for second in range(2, 8)) / 6

    def seconds_to_recover(self, second: int, share: float = 0.95) -> int:
        """Seconds from `second` until two seconds in a row are served as before; 99 where there are none."""
        goal = share * self.rate_before()
        served = self.served_in_time
        recovered = (n for n in range(second, second + 60) if min(served[n], served[n + 1]) >= goal)
        return next(recovered, second + 99) - second


class ColdService(SimulatedService):
    """Eight cores with work of exponential size, slow when they come back from an outage.

    They have 0.4 of their speed at second 30 and all of it at second 38.  Clients retry half a second after
    each failure, for 25 s, through either of two controllers at random.
    """

    def __init__(self, seed: int) -> None:
        super().__init__(None, seed, 0.0, 85)
        self.controllers = [AdaptiveOverloadController(seed), AdaptiveOverloadController(seed + 100)]
        self.cores = [0] * 8
        # first attempts, by the second in which they were sent
        self.first_in_time = Counter[int]()
        self.first_offered = Counter[int]()

    def receive(self, now: int, retries: int) -> None:
        controller = self.controllers[self.random.randrange(2)]
        second = (now - START) // SECOND
        self.first_offered[second] += not retries
        core = min(range(8), key=lambda n: self.cores[n])
        starts_at = max(now, self.cores[core])
        if not is_admitted(controller, now, retries > 0):
            self.retry(now, retries)
        elif self.is_down(now) or starts_at - now > 5 * SECOND:
            controller.record_response(now, False, False)
            self.retry(now, retries)
        else:
            work = int(self.random.expovariate(self.speed(now) / (56 * MS)))
            self.cores[core] = starts_at + work
            latency = self.cores[core] - now
            in_time = latency <= 400 * MS
            self.first_in_time[second] += in_time and not retries
            self.schedule(now + latency, partial(self.record, controller=controller, latency=latency))
            if not in_time:
                self.retry(now + latency, retries)

    def speed(self, now: int) -> float:
        second = (now - START) / SECOND
        return min(1.0, 0.4 + 0.6 * max(0.0, second - 30) / 8) if second >= 30 else 1.0

    def record(self, now: int, controller: AdaptiveOverloadController, latency: int) -> None:
        controller.record_response(now, latency <= 400 * MS, latency <= 200 * MS)

    def retry(self, now: int, retries: int) -> None:
        if retries < 50:
            delay = int(500 * MS * (0.9 + 0.2 * self.random.random()))
            self.schedule(now + delay, partial(self.receive, retries=retries + 1))
