"""Runs attempts against stand-in endpoints and records the notifications for the dispatcher."""

import gevent

from linetrack.policy.events import EndpointStatus, Outcome, RequestReceived
from linetrack.server.active_request import ActiveRequest, Attempt
from linetrack.server.address import parse_address
from linetrack.server.attempt_runner import AttemptRunner
from linetrack.server.budget import Budget
from linetrack.server.clock import clock
from linetrack.server.endpoint_list import EndpointRecord
from linetrack.server.http1.errors import MalformedMessageError
from linetrack.server.http1.requests import ClientRequest
from linetrack.server.notifications import FinishedAttempt, SentBody, StartedResponse
from linetrack.server.response_stream import ResponseStream
from linetrack.server.upstream_pool import REUSE_DELAY_US, UpstreamPool
from tests.support.servers import UpstreamServer
from tests.support.units import MS, SECOND
from tests.support.waiting import run_until

GET = ClientRequest("GET", "/look/k", "1")
DIAL_TIMEOUT = 250 * MS


def endpoint_record(name: str, address: str, status: EndpointStatus = EndpointStatus.UP) -> EndpointRecord:
    return EndpointRecord(name, parse_address(address), "north", "plain", 1, status, 1.0, 0)


class RunningAttempts:
    """A pool and a runner under test, and the notifications that they sent."""

    def __init__(self, *servers: UpstreamServer, sockets: int = 1024, keep_alive: int = 30 * SECOND) -> None:
        self.finished: list[FinishedAttempt] = []
        self.other_notifications: list[SentBody | StartedResponse] = []
        self.budget = Budget(sockets, 192)
        self.pool = UpstreamPool(self.budget.descriptors, DIAL_TIMEOUT, keep_alive)
        self.runner = AttemptRunner(self.pool, self.budget, ("depth",), self.notify)
        self.pool.update_endpoints(tuple(endpoint_record(s.name, s.address) for s in servers), True)

    def notify(self, notification: FinishedAttempt | SentBody | StartedResponse, _seen_at: int) -> None:
        if isinstance(notification, FinishedAttempt):
            self.finished.append(notification)
            return
        self.other_notifications.append(notification)
        if isinstance(notification, StartedResponse):
            notification.attempt.has_response_started = True
            gevent.spawn(self.read_to_end, notification.stream)

    def read_to_end(self, stream: ResponseStream) -> None:
        """Read a streamed response as the connection of a client would."""
        try:
            while stream.read_chunks():
                pass
        except (OSError, MalformedMessageError):
            stream.finish(Outcome.RESET)
        stream.finish(Outcome.SUCCESS)

    def make_attempt(
        self, endpoint: str = "a", timeout: int = 20 * SECOND, request: ClientRequest = GET
    ) -> Attempt:
        now = clock()
        active_request = ActiveRequest(RequestReceived(1, 0, timeout), request, now, lambda _final: None)
        attempt = Attempt(active_request, endpoint, now, active_request.deadline)
        active_request.attempts.append(attempt)
        return attempt

    def start(self, endpoint: str = "a", timeout: int = 20 * SECOND) -> Attempt:
        attempt = self.make_attempt(endpoint, timeout)
        self.runner.start(attempt)
        return attempt

    def wait_for_outcomes(self, count: int = 1) -> list[Outcome]:
        """Wait until `count` attempts have ended; return the outcomes of all that have."""
        run_until(lambda: len(self.finished) >= count)
        gevent.sleep(0)
        return [finished.outcome for finished in self.finished]

    def response_bodies(self) -> list[bytes]:
        return [finished.response.body for finished in self.finished if finished.response]

    def descriptors_in_use(self) -> int:
        return self.budget.descriptors.in_use

    def idle_count(self, endpoint: str = "a") -> int:
        return len(self.pool.endpoints[endpoint].idle)


def wait_until_reusable() -> None:
    """Wait until a connection that has just become idle can be reused."""
    gevent.sleep(2 * REUSE_DELAY_US / SECOND)
