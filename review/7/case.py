"""Some answers are followed by a second copy, some milliseconds late, while nothing else waits.

Without the disruption, no answer is followed by anything.
"""

from __future__ import annotations

import itertools
import random
import select
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from stand_ins_2 import (
    Case,
    Discovery,
    Link,
    Message,
    Sidecar,
    Upstream,
    Wire,
    encode_request,
    encode_response,
    liga_glowna,
    run_case,
)

ONE_WAY_SECONDS = 0.008  # between zones; the site says 5.6 to 10 ms
COPY_DELAY_SECONDS = 0.008
COPY_SHARE = 0.1  # of the answers
WORK_SECONDS = 0.01
CLIENTS = 12
REQUESTS_PER_SECOND = 120  # of all clients
LENGTH_SECONDS = 15.0
DEADLINE = 1.0  # of the class, in seconds


class CopyingUpstream(Upstream):
    """An upstream that sends some answers twice, the second time late and only if nothing else waits."""

    has_trouble = False

    def serve(self, wire: Wire) -> None:
        """Serve requests until either side closes the connection."""
        while request := self.read_request(wire):
            self.record.line(self.name, f"got {request.trace_id} whole")
            time.sleep(WORK_SECONDS)
            answer = encode_response(
                f"answer to {request.trace_id}".encode(),
                200,
                "Endpoint-Load-Metrics: TEXT queue=0, inflight=1",
            )
            wire.sock.sendall(answer)
            self.record.line(self.name, f"answered {request.trace_id}")
            if not self.has_trouble or random.random() >= COPY_SHARE or wire.buffer:
                continue
            if select.select([wire.sock], [], [], COPY_DELAY_SECONDS)[0]:
                continue  # the next request has come, or the connection has ended
            wire.sock.sendall(answer)
            self.record.line(self.name, f"answered {request.trace_id} a second time")


class Play:
    """The applications and the sidecar of this case."""

    def __init__(self, case: Case) -> None:
        """Start the servers and the sidecar."""
        self.record = case.record
        self.numbers = itertools.count(1)
        self.breaks: list[str] = []
        entries = []
        for index, zone in enumerate(("poznan", "krakow")):
            upstream = case.add(CopyingUpstream(self.record, f"s-{index}", lambda *_: None, zone))
            upstream.has_trouble = case.has_trouble
            link = case.add(Link(upstream.address, ONE_WAY_SECONDS))
            entries.append({**upstream.entry(), "addr": link.address, "kind": "duzy", "cell": index})
        discovery = case.add(Discovery(self.record, entries))
        self.sidecar: Sidecar = case.sidecar(discovery, liga_glowna()).start()
        self.ends_at = self.record.now() + LENGTH_SECONDS

    def use(self) -> None:
        """Send one request after the other on one connection, at random times."""
        with self.sidecar.connect(DEADLINE + 1.0) as client:
            while self.record.now() < self.ends_at:
                time.sleep(random.expovariate(REQUESTS_PER_SECOND / CLIENTS))
                number = next(self.numbers)
                trace_id = f"{number:016x}"
                client.sock.sendall(encode_request(f"/sklad-odczyt/k{number}", trace_id, DEADLINE))
                self.record.line("client", f"{trace_id} sent")
                response = client.wire.read()
                if response is None:
                    self.record.line("client", f"{trace_id}: closed without an answer")
                    return
                self.check(trace_id, response)

    def check(self, trace_id: str, response: Message) -> None:
        """Check that the answer is the one made for the request."""
        text = response.body.decode()
        self.record.line("client", f"{trace_id}: status {response.status}, {text!r}")
        if response.status == 200 and text != f"answer to {trace_id}":
            self.breaks.append(f"request {trace_id} was served with the {text}")


def play(case: Case) -> list[str]:
    """Let clients ask and compare each answer with its request."""
    this = Play(case)
    users = [threading.Thread(target=this.use) for _ in range(CLIENTS)]
    for user in users:
        user.start()
    for user in users:
        user.join()
    return this.breaks


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, play)
