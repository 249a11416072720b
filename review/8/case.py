"""An upstream applies a long sale, its answer is spoilt, and the repeat goes to one that reads slowly.

Without the disruption, no answer is spoilt.
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
    READ_SIZE,
    SLACK,
    Case,
    Discovery,
    Message,
    Record,
    Sidecar,
    Upstream,
    Wire,
    encode_request,
    encode_response,
    run_case,
    small_deployment,
)

BODY_BYTES = 12 * 1024 * 1024
LONG_BODY_BYTES = 64 * 1024
READ_SECONDS = 1.15  # in which the slow upstreams read a long body
WINDOW_SECONDS = 1.0  # for which the upstreams of a zone remember a key
LOOKUP_DEADLINE = 2.0
SALE_DEADLINE = 1.5
CLIENTS = 2
SALES = 20  # of each client
LOOKUPS_BETWEEN_SALES = 8
LOOKUPS_PER_SECOND = 12  # of each client
UPSTREAMS = 6  # every second one reads slowly
SPOILT_SHARE = 0.5  # of the answers to sales, from any upstream alike
SPOILT_ANSWER = b"\x00\xff noise \r\n\r\n"
ZONE = "leon"


class Sales:
    """The sales that the upstreams of the zone have applied, and their common memory of keys."""

    def __init__(self, record: Record) -> None:
        """Remember nothing yet."""
        self.record = record
        self.arrivals: dict[str, list[tuple[float, str]]] = {}
        self._remembered: dict[str, float] = {}
        self._lock = threading.Lock()

    def apply(self, key: str, upstream: str) -> None:
        """Apply a sale whose last byte has come, unless it is a repeat of a key that is remembered."""
        with self._lock:
            now = self.record.now()
            self.arrivals.setdefault(key, []).append((now, upstream))
            if now - self._remembered.get(key, -WINDOW_SECONDS - 1) <= WINDOW_SECONDS:
                self.record.line(upstream, f"repeat of sale {key} dropped")
                return
            self._remembered[key] = now
            self.record.line(upstream, f"sale {key} applied")

    def breaks(self) -> list[str]:
        """Return the sales that were sent again after their window, with the slack of the sockets."""
        found = []
        for key, arrivals in self.arrivals.items():
            first_at, first = arrivals[0]
            for at, upstream in arrivals[1:]:
                if at - first_at > WINDOW_SECONDS + SLACK:
                    after = at - first_at
                    found.append(f"sale {key}: whole at {first}, and {after:.3f} s later whole at {upstream}")
        return found


class PriceServer(Upstream):
    """An upstream, which may read slowly and spoil some answers to sales."""

    def __init__(
        self, record: Record, name: str, sales: Sales, reads_slowly: bool, spoils_answers: bool
    ) -> None:
        """Begin to listen."""
        self.sales = sales
        self.reads_slowly = reads_slowly
        self.spoils_answers = spoils_answers
        super().__init__(record, name, self.respond, ZONE, receive_buffer=READ_SIZE)

    def read_body(self, wire: Wire, head: Message) -> Message:
        """Read a body, a long one at an even pace if this upstream reads slowly."""
        length = int(head.headers.get("content-length", "0"))
        if not self.reads_slowly or length <= LONG_BODY_BYTES:
            return super().read_body(wire, head)
        started_at = time.monotonic()
        got = len(wire.buffer)
        wire.buffer = b""
        while got < length:
            data = wire.sock.recv(min(READ_SIZE, length - got))
            if not data:
                head.is_whole = False
                break
            got += len(data)
            time.sleep(max(0.0, started_at + READ_SECONDS * got / length - time.monotonic()))
        return head

    def respond(self, request: Message, _wire: Wire) -> bytes:
        """Answer a look-up, or apply a sale and answer."""
        time.sleep(0.005)
        if request.method == "POST":
            self.sales.apply(request.headers["idempotency-key"], self.name)
            if self.spoils_answers and random.random() < SPOILT_SHARE:
                self.record.line(self.name, f"answers {request.trace_id} with noise")
                return SPOILT_ANSWER
        return encode_response(f"answer to {request.trace_id}".encode())


class Play:
    """The applications, the upstreams and the sidecar of this case."""

    def __init__(self, case: Case) -> None:
        """Start the servers and the sidecar."""
        self.record = case.record
        self.sales = Sales(case.record)
        self.numbers = itertools.count(1)
        upstreams = []
        for index in range(UPSTREAMS):
            reads_slowly = bool(index % 2)
            name = f"s-{index}-slow" if reads_slowly else f"s-{index}-quick"
            server = PriceServer(case.record, name, self.sales, reads_slowly, case.has_trouble)
            upstreams.append(case.add(server))
        discovery = case.add(Discovery(case.record, [upstream.entry() for upstream in upstreams]))
        self.sidecar: Sidecar = case.sidecar(discovery, small_deployment()).start()

    def look_up(self) -> None:
        """Ask for a price."""
        trace_id = f"{next(self.numbers):016x}"
        with self.sidecar.connect(LOOKUP_DEADLINE + 1.0) as client:
            client.sock.sendall(
                encode_request(f"/consulta-precio/{random.randrange(300)}", trace_id, LOOKUP_DEADLINE)
            )
            self.record.line("client", f"look-up {trace_id} sent")
            self.note(trace_id, client.wire.read())

    def sell(self) -> None:
        """Record a sale with a long body."""
        number = next(self.numbers)
        trace_id = f"{number:016x}"
        key = f"{number:032x}"
        head = encode_request(
            f"/registro-venta/{number}",
            trace_id,
            SALE_DEADLINE,
            f"Idempotency-Key: {key}",
            method="POST",
            length=BODY_BYTES,
        )
        with self.sidecar.connect(SALE_DEADLINE + 3.0) as client:
            client.sock.sendall(head)
            client.sock.sendall(b"s" * BODY_BYTES)
            self.record.line("client", f"sale {key} sent whole")
            self.note(trace_id, client.wire.read())

    def note(self, trace_id: str, response: Message | None) -> None:
        """Record an answer."""
        result = "closed without an answer" if response is None else f"status {response.status}"
        self.record.line("client", f"{trace_id}: {result}")

    def use(self) -> None:
        """Record sales among look-ups, until one of them has been sent again too late."""
        for _ in range(SALES):
            for _ in range(LOOKUPS_BETWEEN_SALES):
                self.look_up()
                time.sleep(1 / LOOKUPS_PER_SECOND)
            self.sell()
            if self.sales.breaks():
                return


def play(case: Case) -> list[str]:
    """Let clients record sales with long bodies."""
    this = Play(case)
    users = [threading.Thread(target=this.use) for _ in range(CLIENTS)]
    for user in users:
        user.start()
    for user in users:
        user.join()
    return this.sales.breaks()


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, play)
