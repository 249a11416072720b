"""Simulates a service and its clients, with or without an overload controller between them."""

import heapq
import itertools
from collections import Counter
from collections.abc import Callable
from functools import partial
from random import Random

from linetrack.control.overload_control import AdaptiveOverloadController
from linetrack.policy.events import RequestReceived
from tests.support.units import MS, SECOND

#: One round trip, which a client needs even if it retries immediately; bounds the events of a simulation.
MIN_RETRY_DELAY = 100 * MS
START = 1000 * SECOND
LATENCY_OBJECTIVE = 500 * MS


def is_admitted(controller: AdaptiveOverloadController, now: int, is_retry: bool) -> bool:
    """Return whether the controller admits a request of the only class."""
    return controller.admit(now, RequestReceived(1, 0, SECOND, is_retry=is_retry), 1.0)


class SimulatedService:
    """A service of `capacity` requests per second with a FIFO queue of one second.

    Clients send `rate` first attempts per second and retry after a rejection or failure.  The share
    `obedient_share` of them waits as long as the controller asks; the others retry immediately.
    """

    def __init__(
        self,
        controller: AdaptiveOverloadController | None,
        seed: int,
        obedient_share: float,
        rate: float = 40,
        capacity: float = 50,
    ) -> None:
        self.controller = controller
        self.random = Random(seed)
        self.obedient_share = obedient_share
        self.rate = rate
        self.capacity = capacity
        self.outages: tuple[tuple[float, float], ...] = ()
        self.events: list[tuple[int, int, Callable[[int], None]]] = []
        self.sequence = itertools.count()
        self.free_at = 0  # when the queue will be empty
        self.served_in_time: Counter[int] = Counter()  # requests by second

    def schedule(self, due_at: int, action: Callable[[int], None]) -> None:
        heapq.heappush(self.events, (due_at, next(self.sequence), action))

    def play(self, seconds: int, outages: tuple[tuple[float, float], ...] = ()) -> None:
        """Simulate `seconds`; an outage is the pair of seconds from and until which the service is down."""
        self.outages = outages
        end = START + seconds * SECOND
        arrival = float(START)
        while arrival < end:
            arrival += self.random.expovariate(self.rate) * SECOND
            self.schedule(int(arrival), partial(self.receive, retries=0))
        while self.events and self.events[0][0] < end:
            now, _, action = heapq.heappop(self.events)
            action(now)

    def is_down(self, now: int) -> bool:
        return any(begin <= (now - START) / SECOND < end for begin, end in self.outages)

    def receive(self, now: int, retries: int) -> None:
        """Receive a request that its client has retried `retries` times."""
        if self.controller and not is_admitted(self.controller, now, retries > 0):
            self.retry(now, retries)
        elif self.is_down(now):
            self.record_failure(now)
            self.retry(now, retries)
        else:
            self.enqueue(now, retries)

    def enqueue(self, now: int, retries: int) -> None:
        # a request is executed even if its client no longer waits for it
        work = int(SECOND / self.capacity)
        self.free_at = max(self.free_at, now) + work
        if self.free_at > now + SECOND:
            # the queue is full: a rejection costs a twentieth of the work
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
        retry_after = self.controller.retry_after(now, 500 * MS, 5 * SECOND) if self.controller else 0
        delay = retry_after if retry_after and self.random.random() < self.obedient_share else MIN_RETRY_DELAY
        self.schedule(now + max(delay, MIN_RETRY_DELAY), partial(self.receive, retries=retries + 1))

    def rate_before_outage(self) -> float:
        """Return the requests per second that were served in time in the third to eighth second."""
        return sum(self.served_in_time[second] for second in range(2, 8)) / 6

    def seconds_to_recover(self, outage_end: int, share: float = 0.95) -> int:
        """Return the seconds until the service has recovered, or 99 if it does not within a minute.

        It has recovered when two consecutive seconds reach `share` of the rate before the outage.
        """
        min_rate = share * self.rate_before_outage()
        served = self.served_in_time
        recovered = (
            second
            for second in range(outage_end, outage_end + 60)
            if min(served[second], served[second + 1]) >= min_rate
        )
        return next(recovered, outage_end + 99) - outage_end


class WarmingService(SimulatedService):
    """A service of eight cores that is slow after an outage, with exponentially distributed work.

    Its speed rises from 0.4 at second 30 to 1 at second 38.  Clients retry half a second after each failure,
    for 25 s, through one of two controllers at random.
    """

    def __init__(self, seed: int) -> None:
        super().__init__(None, seed, 0.0, 85)
        self.controllers = [AdaptiveOverloadController(seed), AdaptiveOverloadController(seed + 100)]
        self.core_free_at = [0] * 8
        # first attempts, by the second in which they were sent
        self.first_attempts_in_time = Counter[int]()
        self.first_attempts_offered = Counter[int]()

    def receive(self, now: int, retries: int) -> None:
        controller = self.controllers[self.random.randrange(2)]
        second = (now - START) // SECOND
        self.first_attempts_offered[second] += not retries
        core = min(range(8), key=lambda index: self.core_free_at[index])
        starts_at = max(now, self.core_free_at[core])
        if not is_admitted(controller, now, retries > 0):
            self.retry(now, retries)
        elif self.is_down(now) or starts_at - now > 5 * SECOND:
            controller.record_response(now, False, False)
            self.retry(now, retries)
        else:
            work = int(self.random.expovariate(self.speed(now) / (56 * MS)))
            self.core_free_at[core] = starts_at + work
            latency = self.core_free_at[core] - now
            in_time = latency <= 400 * MS
            self.first_attempts_in_time[second] += in_time and not retries
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
