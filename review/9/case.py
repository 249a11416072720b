"""An upstream stops to read in the middle of a long request, and stays silent.

Without the disruption, the upstream reads on.
"""

from __future__ import annotations

import contextlib
import itertools
import random
import socket
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from stand_ins_2 import (
    READ_SIZE,
    SLACK,
    CannotRunError,
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

MEMORY_MB = 64  # the pages: 32 to 192 MB
SLOW_UPLOADS = 4  # by clients that send at 64 kB a second, as the pages allow
SLOW_UPLOAD_BYTES = 4 * 1024 * 1024
SLOW_PIECE_BYTES = 6_400
LONG_BODY_BYTES = 64 * 1024
UPSTREAMS = 4  # one of them hangs
HANG_SECONDS = 20.0
MIN_BODY_BYTES = 5 * 1024 * 1024
MAX_BODY_BYTES = 32 * 1024 * 1024
PATIENCE_SECONDS = 10.0  # for which a client waits for an answer, far beyond its time
LOST_AFTER_SECONDS = 0.5  # past its time, an answer no longer counts
LOOKUP_DEADLINE = 2.0
SALE_DEADLINE = 1.5
LOOKUPS = 20
SALES = 16
SALES_PER_SECOND = 4
ZONE = "leon"


def capacity(case: Case) -> int:
    """Return how many bytes the system takes from a sender on loopback whose receiver reads nothing."""
    server = socket.create_server(("127.0.0.1", 0))
    with server, socket.create_connection(server.getsockname()) as sender:
        receiver, _ = server.accept()
        with receiver:
            sender.settimeout(0.3)
            taken = 0
            try:
                while taken < 64 * 1024 * 1024:
                    taken += sender.send(b"x" * READ_SIZE)
            except TimeoutError:
                pass
    case.record.line("case", f"a silent receiver takes {taken} bytes")
    return taken


class PriceServer(Upstream):
    """An upstream that may hang in the middle of its work: it reads and answers nothing for a while."""

    def __init__(self, record: Record, name: str) -> None:
        """Begin to listen."""
        self.hangs_until = 0.0
        super().__init__(record, name, self.respond, ZONE, receive_buffer=READ_SIZE)

    def wait(self, trace_id: str) -> None:
        """Wait until the upstream no longer hangs."""
        seconds = self.hangs_until - self.record.now()
        if seconds > 0:
            self.record.line(self.name, f"hangs within {trace_id}")
            self.is_closing.wait(seconds)

    def read_body(self, wire: Wire, head: Message) -> Message:
        """Read a body."""
        self.wait(head.trace_id)
        return super().read_body(wire, head)

    def respond(self, request: Message, _wire: Wire) -> bytes:
        """Answer a request."""
        time.sleep(0.01)
        self.wait(request.trace_id)
        return encode_response(f"answer to {request.trace_id}".encode())


class Play:
    """The applications, the upstreams and the sidecar of this case."""

    def __init__(self, case: Case) -> None:
        """Start the servers and the sidecar."""
        self.record = case.record
        self.numbers = itertools.count(1)
        self.breaks: list[str] = []
        self.unwritten = 0
        self.is_over = threading.Event()
        self.body = b"s" * min(MAX_BODY_BYTES, max(MIN_BODY_BYTES, int(1.5 * capacity(case))))
        self.upstreams = [case.add(PriceServer(case.record, f"s-{index}")) for index in range(UPSTREAMS)]
        discovery = case.add(Discovery(case.record, [upstream.entry() for upstream in self.upstreams]))
        limits = {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": 256}
        self.sidecar: Sidecar = case.sidecar(discovery, small_deployment(), limits=limits).start()

    def look_up(self) -> None:
        """Ask for a price."""
        trace_id = f"{next(self.numbers):016x}"
        with self.sidecar.connect(LOOKUP_DEADLINE + 1.0) as client:
            path = f"/consulta-precio/{random.randrange(300)}"
            client.sock.sendall(encode_request(path, trace_id, LOOKUP_DEADLINE))
            self.record.line("client", f"look-up {trace_id} sent")
            response = client.wire.read()
        result = "closed without an answer" if response is None else f"status {response.status}"
        self.record.line("client", f"{trace_id}: {result}")

    def sale_head(self, length: int) -> tuple[str, bytes]:
        """Return the identifier and the head of a new sale."""
        number = next(self.numbers)
        trace_id = f"{number:016x}"
        key = f"Idempotency-Key: {number:032x}"
        path = f"/registro-venta/{number}"
        return trace_id, encode_request(path, trace_id, SALE_DEADLINE, key, method="POST", length=length)

    def upload_slowly(self) -> None:
        """Begin a sale whose body takes longer than the case, at the slowest pace that the pages allow."""
        trace_id, head = self.sale_head(SLOW_UPLOAD_BYTES)
        self.record.line("slow client", f"begins sale {trace_id} of {SLOW_UPLOAD_BYTES} bytes")
        with self.sidecar.connect(PATIENCE_SECONDS) as client, contextlib.suppress(OSError):
            client.sock.sendall(head)
            while not self.is_over.wait(0.1):
                client.sock.sendall(b"u" * SLOW_PIECE_BYTES)

    def sell(self) -> None:
        """Record a sale with a long body, and judge its answer."""
        length = len(self.body)
        trace_id, head = self.sale_head(length)
        with self.sidecar.connect(PATIENCE_SECONDS) as client:
            try:
                client.sock.sendall(head)
                client.sock.sendall(self.body)
            except OSError as error:
                self.unwritten += 1
                self.record.line("client", f"sale {trace_id} not written whole: {error!r}")
                return
            sent_at = self.record.line("client", f"sale {trace_id} written whole, {length} bytes")
            try:
                response = client.wire.read()
            except TimeoutError:
                self.record.line("client", f"sale {trace_id}: nothing in {PATIENCE_SECONDS} s")
                self.breaks.append(
                    f"sale {trace_id}, due in {SALE_DEADLINE} s: no answer, no close in {PATIENCE_SECONDS} s"
                )
                return
        result = "closed without an answer" if response is None else f"status {response.status}"
        took = self.record.line("client", f"sale {trace_id}: {result}") - sent_at
        if took > SALE_DEADLINE + LOST_AFTER_SECONDS + SLACK:
            self.breaks.append(f"sale {trace_id}, due in {SALE_DEADLINE} s: {result} after {took:.3f} s")


def play(case: Case) -> list[str]:
    """Record sales with long bodies while one upstream hangs."""
    this = Play(case)
    for _ in range(LOOKUPS):
        this.look_up()
    uploads = [threading.Thread(target=this.upload_slowly) for _ in range(SLOW_UPLOADS)]
    for upload in uploads:
        upload.start()
    time.sleep(0.5)
    if case.has_trouble:
        this.upstreams[0].hangs_until = case.record.now() + HANG_SECONDS
        case.record.line(this.upstreams[0].name, f"hangs for {HANG_SECONDS} s from here on")
    threads = []
    for _ in range(SALES):
        threads.append(threading.Thread(target=this.sell))
        threads[-1].start()
        time.sleep(1 / SALES_PER_SECOND)
    for thread in threads:
        thread.join()
    this.is_over.set()
    for upload in uploads:
        upload.join()
    if this.unwritten and not this.breaks:
        raise CannotRunError("the system's buffers were too small for the clients' requests")
    return this.breaks


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, play)
