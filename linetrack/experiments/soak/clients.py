"""Misbehaving clients of a soak run: idle, slow, pipelining, disconnecting and cancelling ones.

They record their requests in a ledger of their own, with the same events as the load generator's.
"""

from __future__ import annotations

import socket
import threading
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from random import Random

from linetrack.emulator.ledger import Ledger, now
from linetrack.emulator.ledger_events import (
    STATUS_CLIENT_LEFT,
    STATUS_CUT_OFF,
    STATUS_NOT_CONNECTED,
    STATUS_TIMED_OUT,
    RequestEnded,
    RequestSent,
)
from linetrack.emulator.schema import RequestClass

LEDGER_FILE = "load-rude.jsonl"
# These clients request TIMEOUT_SECONDS as the deadline and wait for the grace on top; a response that is
# not there by then counts as lost.
TIMEOUT_SECONDS = 2.0
RESPONSE_GRACE_SECONDS = 0.5
MEAN_PAUSE_SECONDS = 0.15  # between the end of one client and the start of the next
SLOW_REQUEST_PAUSE_SECONDS = 0.4  # in the middle of a request that is sent slowly
MAX_IDLE_SECONDS = 1.0
READ_BYTES = 65536


class MisbehavingClients:
    """Runs misbehaving clients one after the other, in a thread of its own, until stopped."""

    def __init__(
        self, folder: Path, request_class: RequestClass, sidecars: tuple[str, ...], seed: int
    ) -> None:
        """Create the clients; `start` runs them.

        `request_class` has to be idempotent, as a client that disconnects does not learn whether its request
        was executed.
        """
        self._ledger = Ledger(folder / LEDGER_FILE)
        self._class_name = request_class.name
        self._sidecars = sidecars
        self._random = Random(seed)
        self._request_count = 0
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread, and write the rest of the ledger."""
        self._stopping.set()
        self._thread.join()
        self._ledger.close()

    def _run(self) -> None:
        behaviors: list[Callable[[socket.socket, int], None]] = [
            self._stay_idle,
            self._disconnect_mid_request,
            self._send_slowly,
            self._pipeline,
            self._cancel,
        ]
        while not self._stopping.wait(self._random.uniform(0, 2 * MEAN_PAUSE_SECONDS)):
            sidecar = self._random.randrange(len(self._sidecars))
            behavior = self._random.choice(behaviors)
            host, _, port = self._sidecars[sidecar].rpartition(":")
            with suppress(OSError), socket.create_connection((host, int(port)), TIMEOUT_SECONDS) as sock:
                sock.settimeout(TIMEOUT_SECONDS + RESPONSE_GRACE_SECONDS)
                behavior(sock, sidecar)

    def _stay_idle(self, _sock: socket.socket, _sidecar: int) -> None:
        self._stopping.wait(self._random.uniform(0, MAX_IDLE_SECONDS))

    def _disconnect_mid_request(self, sock: socket.socket, _sidecar: int) -> None:
        data = self._encode("rude-unsent")
        sock.sendall(data[: self._random.randrange(1, len(data) - 1)])

    def _send_slowly(self, sock: socket.socket, sidecar: int) -> None:
        trace = self._next_trace()
        data = self._encode(trace)
        sock.sendall(data[:20])
        self._stopping.wait(SLOW_REQUEST_PAUSE_SECONDS)
        self._record_sent(trace, sidecar)
        self._send_and_read(sock, data[20:], [trace])

    def _pipeline(self, sock: socket.socket, sidecar: int) -> None:
        traces = [self._next_trace(), self._next_trace()]
        for trace in traces:
            self._record_sent(trace, sidecar)
        self._send_and_read(sock, b"".join(map(self._encode, traces)), traces)

    def _cancel(self, sock: socket.socket, sidecar: int) -> None:
        trace = self._next_trace()
        self._record_sent(trace, sidecar)
        with suppress(OSError):
            sock.sendall(self._encode(trace))
            self._stopping.wait(self._random.choice((0.0, 0.002, 0.05)))
        sock.close()
        self._record_end(trace, STATUS_CLIENT_LEFT)

    def _next_trace(self) -> str:
        self._request_count += 1
        return f"rude-{self._request_count}"

    def _encode(self, trace: str) -> bytes:
        lines = [
            f"GET /{self._class_name}/k HTTP/1.1",
            "Host: s",
            f"X-Trace-Id: {trace}",
            f"X-Expires-In: {TIMEOUT_SECONDS}",
        ]
        return "\r\n".join([*lines, "", ""]).encode()

    def _record_sent(self, trace: str, sidecar: int) -> None:
        sent_at = now()
        deadline = sent_at + round(TIMEOUT_SECONDS * 1e6)
        self._ledger.write(
            RequestSent(
                at=sent_at,
                trace=trace,
                sidecar=sidecar,
                due_at=sent_at,
                deadline=deadline,
                client_request=-self._request_count,
                retry=0,
                key=trace,
                class_name=self._class_name,
            )
        )

    def _record_end(self, trace: str, status: int) -> None:
        responding_trace = trace if status == 200 else ""
        self._ledger.write(RequestEnded(now(), trace, status, responding_trace, "", ""))

    def _send_and_read(self, sock: socket.socket, data: bytes, traces: list[str]) -> None:
        """Send requests, read a response to each and record how they ended.

        Requests on a connection that is closed without any response count as not connected.
        """
        received = b""
        status = STATUS_CUT_OFF
        try:
            sock.sendall(data)
            while received.count(b"HTTP/1.1 ") < len(traces):
                part = sock.recv(READ_BYTES)
                if not part:
                    break
                received += part
        except TimeoutError:
            status = STATUS_TIMED_OUT
        except OSError:
            status = STATUS_CUT_OFF
        responses = received.split(b"HTTP/1.1 ")[1:]
        if not responses and status == STATUS_CUT_OFF:
            status = STATUS_NOT_CONNECTED
        for number, trace in enumerate(traces):
            has_response = number < len(responses)
            self._record_end(trace, int(responses[number][:3]) if has_response else status)
