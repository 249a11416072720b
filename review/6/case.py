"""Hundreds of clients stop in the middle of a request and stay, and come again when they are turned away.

Without the disruption, there are no such clients.
"""

from __future__ import annotations

import itertools
import random
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from stand_ins_2 import (
    MS,
    SECOND,
    Case,
    Discovery,
    Message,
    Sidecar,
    Upstream,
    Wire,
    encode_request,
    encode_response,
    run_case,
)

BAD_CLIENTS = 400
BURSTS = 14
MEMORY_MB = 96  # the pages: 32 to 192 MB
CLIENTS = 20
REQUESTS_PER_SECOND = 40  # of all usual clients
DEADLINE = 3.0
BODY = b"s" * 20_000
PROMISED_BYTES = 60_000  # of which a bad client sends
SENT_BYTES = 16_000
WORK_SECONDS = 0.05
UPSTREAMS = 12
HALLS = ["hala-a", "hala-b", "hala-c"]


def settings() -> dict[str, object]:
    """Return settings with the figures of the brief for brno-tarify."""
    return {
        "classes": [
            {
                "name": "prepnuti-tarifu",
                "repeat": "guarded",
                "dedupScope": "all",
                "dedupWindowUs": 3 * SECOND,
                "aimUs": 600 * MS,
                "deadlineUs": 3 * SECOND,
                "worth": 1.0,
                "lateWorth": 0.2,
                "stream": False,
            }
        ],
        "azs": HALLS,
        "skus": ["rychly", "stredni", "pomaly"],
        "zone": 0,
        "me": 0,
        "balancers": 43,
        "registryMode": "subscribe",
        "weights": "off",
        "worthBy": "work",
        "rules": {
            "answerSlackUs": 20 * MS,
            "askEveryUs": 5 * SECOND,
            "coldFrom": 0.13,
            "drainGraceUs": 1 * SECOND,
            "fallMultiple": 2.0,
            "overloadForUs": 1500 * MS,
            "warmUpUs": 17 * SECOND,
            "freeResends": 2,
            "furtherRatio": 0.1,
            "extraWindowUs": 2 * SECOND,
            "goneIsAdvice": True,
        },
        "stats": {"how": "inline", "fields": ["load_share", "tps", "err_ps"]},
        "allowed": {
            "dialTimeoutUs": 250 * MS,
            "keepaliveUs": 30 * SECOND,
            "maxAttempts": 4,
            "maxRetryAfterUs": 1 * SECOND,
            "mayCancel": True,
            "mayProbe": True,
            "multiplex": 1,
            "parallelTries": False,
            "retryAfter": True,
        },
    }


class Play:
    """The usual and the bad clients, the upstreams and the sidecar of this case."""

    def __init__(self, case: Case) -> None:
        """Start the servers and the sidecar."""
        self.record = case.record
        self.numbers = itertools.count(1)
        self.is_over = threading.Event()
        self.burst = threading.Barrier(BAD_CLIENTS)
        self.lost: list[str] = []
        upstreams = [
            case.add(Upstream(self.record, f"s-{index:02}", self.answer, HALLS[index % 3]))
            for index in range(UPSTREAMS)
        ]
        discovery = case.add(Discovery(self.record, [upstream.entry() for upstream in upstreams]))
        limits = {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": 1024}
        self.sidecar: Sidecar = case.sidecar(discovery, settings(), limits=limits).start()

    def answer(self, request: Message, _wire: Wire) -> bytes:
        """Serve a request as an upstream."""
        time.sleep(WORK_SECONDS)
        return encode_response(f"answer to {request.trace_id}".encode())

    def head(self, length: int) -> tuple[str, bytes]:
        """Return the identifier and the head of a new request."""
        number = next(self.numbers)
        trace_id = f"{number:016x}"
        key = f"Idempotency-Key: {number:032x}"
        path = f"/prepnuti-tarifu/{number % 500}"
        return trace_id, encode_request(path, trace_id, DEADLINE, key, method="POST", length=length)

    def ends(self) -> bool:
        """Return whether the case or the process has ended."""
        return self.is_over.is_set() or self.sidecar.exit_status() is not None

    def be_usual(self) -> None:
        """Send whole requests, each on a new connection, at random times."""
        while not self.ends():
            time.sleep(random.expovariate(REQUESTS_PER_SECOND / CLIENTS))
            trace_id, head = self.head(len(BODY))
            sent_at = 0.0
            try:
                with self.sidecar.connect(DEADLINE) as client:
                    client.sock.sendall(head + BODY)
                    sent_at = self.record.line("client", f"{trace_id} written whole")
                    data = client.sock.recv(4096)
            except OSError as error:
                self.record.line("client", f"{trace_id}: {error!r}")
                continue
            took = self.record.now() - sent_at
            if data:
                self.record.line("client", f"{trace_id}: {data[:12].decode()} after {took:.3f} s")
            else:
                # an end without a reset: the sidecar has read the whole request
                self.record.line("client", f"{trace_id}: closed without an answer after {took:.3f} s")
                self.lost.append(f"{trace_id} was read and its connection closed without an answer")

    def be_bad(self) -> None:
        """Send half a request, stay, and come again when turned away, together with all others."""
        for _ in range(BURSTS):
            try:
                self.burst.wait()
            except threading.BrokenBarrierError:
                return
            try:
                with self.sidecar.connect(4.0) as client:
                    trace_id, head = self.head(PROMISED_BYTES)
                    client.sock.sendall(head + b"b" * SENT_BYTES)
                    self.record.line(
                        "bad client", f"sent {SENT_BYTES} of {PROMISED_BYTES} bytes of {trace_id}"
                    )
                    data = client.sock.recv(4096)
                    self.record.line("bad client", f"{trace_id}: {data[:12]!r}")
            except OSError as error:
                self.record.line("bad client", repr(error))
                if self.ends():
                    self.burst.abort()


def play(case: Case) -> list[str]:
    """Let usual clients ask, and bursts of bad clients come."""
    this = Play(case)
    usual = [threading.Thread(target=this.be_usual) for _ in range(CLIENTS)]
    for client in usual:
        client.start()
    time.sleep(2.0)
    if case.has_trouble:
        bad = [threading.Thread(target=this.be_bad) for _ in range(BAD_CLIENTS)]
        for client in bad:
            client.start()
        for client in bad:
            client.join()
    else:
        time.sleep(2.5 * BURSTS)
    this.is_over.set()
    for client in usual:
        client.join()
    status = this.sidecar.exit_status()
    ended = [f"the process ended with status {status}"] if status is not None else []
    return ended + this.lost


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, play)
