"""One worker of the load generator: sends its part of the schedule on time, regardless of responses.

The load is open-loop: no request waits for the response to an earlier one.  Every request that is sent is
recorded in the ledger.  The process is launched by `WorkerGroup` and exits at the end of its input.
"""

from __future__ import annotations

import contextlib
import gc
import json
import sys
from pathlib import Path
from typing import Any

import gevent
import httptools
import msgspec
from gevent.fileobject import FileObject

from linetrack.emulator.ledger import Ledger, now
from linetrack.emulator.ledger_events import (
    STATUS_CUT_OFF,
    STATUS_NOT_CONNECTED,
    STATUS_TIMED_OUT,
    RequestEnded,
    RequestNotSent,
    RequestSent,
)
from linetrack.emulator.precise_timer import PreciseTimer
from linetrack.load.client_requests import ClientRequest, WorkerConfig, prepare_requests
from linetrack.load.connections import NotConnectedError, SidecarConnections
from linetrack.load.http_client import CutOffError, Response, exchange
from linetrack.load.schema import RetryTiming

RESPONSE_GRACE_US = 50_000  # time after its deadline during which a client still accepts a response
FLUSH_INTERVAL_SECONDS = 0.2
MAX_IN_FLIGHT = 50_000  # further requests are not sent, and the measurements count them as late
DRAIN_TIMEOUT_SECONDS = 10.0  # for the outstanding responses after the last send


class Worker:
    """Sends the requests of one worker on time and counts them."""

    def __init__(self, config: WorkerConfig) -> None:
        self.load = config.load
        self.ledger = Ledger(Path(config.ledger))
        self.requests = prepare_requests(config)
        self.sidecars = [
            SidecarConnections(address, config.load.max_connections) for address in config.sidecars
        ]
        self._in_flight: set[gevent.Greenlet] = set()
        self._in_flight_count = 0
        self._late_count = 0
        self._not_sent_count = 0

    def run(self, start: int) -> dict[str, int]:
        """Send all requests on time, wait for the last responses, and return the counts."""
        timer = PreciseTimer()
        for request in self.requests:
            due_at = start + request.due_after
            timer.sleep_until(due_at)
            if self._in_flight_count >= MAX_IN_FLIGHT:
                self._not_sent_count += 1
                self.ledger.write(RequestNotSent(now(), request.number))
                continue
            self._in_flight_count += 1
            greenlet = gevent.spawn(self._send_with_retries, request, due_at)
            self._in_flight.add(greenlet)
            greenlet.link(self._in_flight.discard)
        gevent.joinall(list(self._in_flight), timeout=DRAIN_TIMEOUT_SECONDS)
        return {
            "sent": len(self.requests) - self._not_sent_count,
            "late": self._late_count,
            "unsent": self._not_sent_count,
            "dialled": sum(sidecar.dial_count for sidecar in self.sidecars),
        }

    def _send_with_retries(self, request: ClientRequest, due_at: int) -> None:
        retries = self.load.retries
        if now() - due_at > self.load.late_ms * 1000:
            self._late_count += 1
        try:
            for retry in range(retries.max_retries + 1):
                status, retry_after = self._send(request, retry, due_at)
                is_final = status == 200 or retry == retries.max_retries
                if is_final or (status != 503 and not retries.after_failure):
                    return
                wait = self._wait_before_retry(request, retry, retry_after)
                if now() + wait >= due_at + retries.total_timeout_ms * 1000:
                    return
                gevent.sleep(wait / 1e6)
        finally:
            self._in_flight_count -= 1

    def _wait_before_retry(self, request: ClientRequest, retry: int, retry_after: str) -> float:
        """Return the microseconds that the client waits before its next retry."""
        retries = self.load.retries
        if retries.timing is RetryTiming.AT_ONCE or not request.honors_retry_after:
            return 0.0
        wait = retries.wait_ms * 1000
        if wait and retries.timing is RetryTiming.RETRY_AFTER and retry_after:
            return float(retry_after) * 1e6
        return wait * request.wait_factors[retry]

    def _send(self, request: ClientRequest, retry: int, due_at: int) -> tuple[int, str]:
        """Send the request or one of its retries; return the status and `Retry-After` of the response.

        A request without a complete response has one of the negative statuses of `ledger_events`.
        """
        trace = f"{request.idempotency_key}-{retry}"
        sent_at = now()
        deadline = sent_at + round(request.request_class.timeout_ms * 1000)
        self._record_sent(request, retry, trace, sent_at, due_at, deadline)
        status = 0
        retry_after = ""
        responding_trace = ""
        upstream = ""
        written_at = sent_at
        try:
            response, written_at = self._exchange(request, trace, retry, deadline)
            status = response.status
            retry_after = response.retry_after
            if status == 200:
                first_line = response.body.partition(b"\n")[0].decode("latin-1")
                responding_trace, _, upstream = first_line.partition(" ")
        except TimeoutError:
            status = STATUS_TIMED_OUT
        except NotConnectedError:
            status = STATUS_NOT_CONNECTED
        except (OSError, CutOffError, httptools.HttpParserError):
            status = STATUS_CUT_OFF
        self.ledger.write(
            RequestEnded(now(), trace, status, responding_trace, upstream, retry_after, written_at)
        )
        return status, retry_after

    def _record_sent(
        self, request: ClientRequest, retry: int, trace: str, sent_at: int, due_at: int, deadline: int
    ) -> None:
        event = RequestSent(
            at=sent_at,
            trace=trace,
            sidecar=request.sidecar,
            due_at=due_at,
            deadline=deadline,
            client_request=request.number,
            retry=retry,
            key=request.idempotency_key,
            class_name=request.request_class.name,
        )
        self.ledger.write(event)

    def _exchange(
        self, request: ClientRequest, trace: str, retry: int, deadline: int
    ) -> tuple[Response, int]:
        """Return the response, and the time at which its request was written."""
        sidecar = self.sidecars[request.sidecar]
        give_up_at = deadline + RESPONSE_GRACE_US
        while True:
            sock, was_used = sidecar.acquire(give_up_at)
            written_at = now()
            try:
                seconds_left = max(0, deadline - now()) / 1e6
                data = request.encode(sidecar.host, trace, retry, seconds_left)
                response = exchange(sock, data, give_up_at)
            except CutOffError as error:
                sidecar.close(sock)
                # A reused connection was closed as the request was sent: send it again on another connection.
                if was_used and error.nothing_received and now() < deadline:
                    continue
                raise
            except BaseException:
                sidecar.close(sock)
                raise
            if not response.keeps_connection:
                sidecar.close(sock)
            elif request.is_single_use:
                sidecar.abandon(sock)
            else:
                sidecar.release(sock)
            return response, written_at


def main() -> None:
    """Run a worker with the configuration and then the start read from the input, and print its counts."""
    lines = FileObject(sys.stdin.buffer, "rb")
    worker = Worker(msgspec.json.decode(lines.readline(), type=WorkerConfig))
    print(json.dumps({"requests": len(worker.requests)}), flush=True)
    start_command = lines.readline()
    if not start_command:
        return
    # A garbage collection would delay sends.
    gc.collect()
    gc.freeze()
    gc.disable()
    sending = gevent.spawn(worker.run, json.loads(start_command)["start"])
    gevent.spawn(_flush_regularly, worker.ledger)
    gevent.spawn(_stop_at_end_of_input, lines, sending)
    counts: Any = sending.get()
    worker.ledger.close()
    with contextlib.suppress(OSError):
        print(json.dumps(counts if isinstance(counts, dict) else {"stopped": True}), flush=True)


def _flush_regularly(ledger: Ledger) -> None:
    while True:
        gevent.sleep(FLUSH_INTERVAL_SECONDS)
        ledger.flush()


def _stop_at_end_of_input(lines: FileObject, sending: gevent.Greenlet) -> None:
    """Stop sending at the end of input, so that a worker does not outlive the process that launched it."""
    lines.readline()
    sending.kill()


if __name__ == "__main__":
    main()
