"""Clients of a soak that behave badly: they rest, pipeline, write slowly, leave in the middle or cancel.

They write a ledger of their own, with the same events as the load generator's.
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

LEDGER = "load-rude.jsonl"
TIMEOUT_SECONDS = 2.0  # that these clients give their requests
RESPONSE_GRACE_SECONDS = 0.5  # after which a response counts as lost
PAUSE_SECONDS = 0.15  # between two of them, on average
SLOW_PAUSE_SECONDS = 0.4  # within a request that is written slowly
MAX_REST_SECONDS = 1.0
READ_BYTES = 65536


class RudeClients:
    """One thread that plays them, one after the other, until it is stopped."""

    def __init__(
        self, folder: Path, request_class: RequestClass, sidecars: tuple[str, ...], seed: int
    ) -> None:
        """`request_class` is idempotent: a client that leaves does not know what became of its request."""
        self._ledger = Ledger(folder / LEDGER)
        self._class_name = request_class.name
        self._sidecars = sidecars
        self._random = Random(seed)
        self._count = 0
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Begin."""
        self._thread.start()

    def stop(self) -> None:
        """End, and write what waits to be written."""
        self._stopping.set()
        self._thread.join()
        self._ledger.close()

    def _run(self) -> None:
        kinds: list[Callable[[socket.socket, int], None]] = [
            self._rest,
            self._leave_in_the_middle,
            self._write_slowly,
            self._pipeline,
            self._cancel,
        ]
        while not self._stopping.wait(self._random.uniform(0, 2 * PAUSE_SECONDS)):
            sidecar = self._random.randrange(len(self._sidecars))
            play = self._random.choice(kinds)
            host, _, port = self._sidecars[sidecar].rpartition(":")
            with suppress(OSError), socket.create_connection((host, int(port)), TIMEOUT_SECONDS) as sock:
                sock.settimeout(TIMEOUT_SECONDS + RESPONSE_GRACE_SECONDS)
                play(sock, sidecar)

    def _rest(self, _sock: socket.socket, _sidecar: int) -> None:
        self._stopping.wait(self._random.uniform(0, MAX_REST_SECONDS))

    def _leave_in_the_middle(self, sock: socket.socket, _sidecar: int) -> None:
        data = self._encode("rude-unsent")
        sock.sendall(data[: self._random.randrange(1, len(data) - 1)])

    def _write_slowly(self, sock: socket.socket, sidecar: int) -> None:
        trace = self._next_trace()
        data = self._encode(trace)
        sock.sendall(data[:20])
        self._stopping.wait(SLOW_PAUSE_SECONDS)
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
        self._count += 1
        return f"rude-{self._count}"

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
                client_request=-self._count,
                retry=0,
                key=trace,
                class_name=self._class_name,
            )
        )

    def _record_end(self, trace: str, status: int) -> None:
        responding_trace = trace if status == 200 else ""
        self._ledger.write(RequestEnded(now(), trace, status, responding_trace, "", ""))

    def _send_and_read(self, sock: socket.socket, data: bytes, traces: list[str]) -> None:
        """Send requests and read a response to each; a connection that is shut unread took none of them."""
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
        heads = received.split(b"HTTP/1.1 ")[1:]
        if not heads and status == STATUS_CUT_OFF:
            status = STATUS_NOT_CONNECTED
        for number, trace in enumerate(traces):
            has_response = number < len(heads)
            self._record_end(trace, int(heads[number][:3]) if has_response else status)
