"""A new configuration drops a class while the requests of another class are slow at every upstream.

Without the disruption, the slow class stays and the configuration does not change.
"""

from __future__ import annotations

import itertools
import random
import signal
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

UPSTREAMS = 12
SIDECARS = 6
REQUESTS_PER_SECOND = 25  # of each sidecar
WARM_UP_SECONDS = 6.0  # before SIGHUP
AFTER_SECONDS = 16.0  # after SIGHUP
SLOW_CLASS = "table-view"
DROPPED_CLASS = "table-list"
SLOW_SHARE = 0.95
SLOW_FROM_SECONDS = 5.5  # from here on the requests of the slow class wait
AIMS = {"table-list": 1.2, "dice-roll": 0.6, "move": 0.4, "table-view": 1.2}
DEADLINES = {"table-list": 3.0, "dice-roll": 2.0, "move": 0.8, "table-view": 3.0}
WORK = {"table-list": 0.1, "dice-roll": 0.06, "move": 0.035, "table-view": 0.12}
REPEAT = {"table-list": "free", "dice-roll": "single_shot", "move": "guarded", "table-view": "free"}


def classes(names: list[str]) -> list[dict[str, object]]:
    """Return the settings of these classes."""
    return [
        {
            "name": name,
            "repeat": REPEAT[name],
            "aimUs": int(AIMS[name] * SECOND),
            "deadlineUs": int(DEADLINES[name] * SECOND),
            "dedupScope": "all",
            "dedupWindowUs": 1500 * MS,
            "worth": 1.0,
            "lateWorth": 0.0,
            "stream": False,
        }
        for name in names
    ]


def settings(names: list[str], number: int) -> dict[str, object]:
    """Return settings with these classes and otherwise with the figures of the brief for tables-iceland."""
    return {
        "classes": classes(names),
        "azs": ["reykjavik", "akureyri"],
        "skus": ["std-4", "slow-4"],
        "zone": 0,
        "me": number,
        "balancers": 54,
        "registryMode": "automatic",
        "weights": "off",
        "worthBy": "request",
        "rules": {
            "answerSlackUs": 20 * MS,
            "askEveryUs": 0,
            "coldFrom": 0.3,
            "drainGraceUs": 250 * MS,
            "fallMultiple": 3.0,
            "overloadForUs": 3 * SECOND,
            "warmUpUs": 8700 * MS,
        },
        "stats": {"how": "inline", "fields": ["depth", "concurrent"]},
        "allowed": {
            "dialTimeoutUs": 250 * MS,
            "keepaliveUs": 30 * SECOND,
            "maxAttempts": 6,
            "maxRetryAfterUs": 1 * SECOND,
            "mayCancel": True,
            "mayProbe": True,
            "multiplex": 1,
            "parallelTries": True,
            "retryAfter": True,
        },
    }


class Play:
    """The applications, the upstreams and the sidecars of this case."""

    def __init__(self, case: Case) -> None:
        """Start the servers and the sidecars."""
        self.case = case
        self.record = case.record
        self.random = random.Random()
        self.numbers = itertools.count(1)
        self.is_slow = threading.Event()
        self.names = [DROPPED_CLASS, "dice-roll", "move", SLOW_CLASS]
        upstreams = [
            case.add(
                Upstream(self.record, f"s-{index:02}", self.answer, ("reykjavik", "akureyri")[index % 2])
            )
            for index in range(UPSTREAMS)
        ]
        discovery = case.add(Discovery(self.record, [upstream.entry() for upstream in upstreams]))
        self.sidecars = [
            case.sidecar(discovery, settings(self.names, number), name=f"n{number}")
            for number in range(SIDECARS)
        ]
        for sidecar in self.sidecars:
            sidecar.start()
        self.started_at = self.record.now()

    def elapsed(self) -> float:
        """Return the seconds since the sidecars were ready."""
        return self.record.now() - self.started_at

    def answer(self, request: Message, _wire: Wire) -> bytes:
        """Serve a request as an upstream."""
        name = request.target.split("/")[1]
        time.sleep(WORK[name])
        if name == SLOW_CLASS and self.is_slow.is_set() and self.random.random() < SLOW_SHARE:
            time.sleep(self.random.uniform(1.2, 2.5) * AIMS[name])
        report = "Endpoint-Load-Metrics: TEXT queue=0, inflight=1"
        return encode_response(f"{name} {request.trace_id}".encode(), 200, report)

    def ask(self, sidecar: Sidecar, number: int, name: str) -> None:
        """Send one request and wait for its answer."""
        trace_id = f"{number:016x}"
        headers = [f"Idempotency-Key: {number:032x}"] if REPEAT[name] == "guarded" else []
        method = "GET" if REPEAT[name] == "free" else "POST"
        length = None if method == "GET" else 0
        path = f"/{name}/k{number % 50}"
        head = encode_request(path, trace_id, DEADLINES[name], *headers, method=method, length=length)
        try:
            with sidecar.connect(DEADLINES[name] + 1.0) as client:
                self.record.line(sidecar.name, f"is sent {name} {trace_id}")
                client.sock.sendall(head)
                response = client.wire.read()
        except OSError as error:
            self.record.line(sidecar.name, f"{name} {trace_id}: {error!r}")
            return
        result = "closed without an answer" if response is None else f"status {response.status}"
        self.record.line(sidecar.name, f"answers {name} {trace_id}: {result}")

    def use(self, sidecar: Sidecar) -> None:
        """Be the application beside a sidecar, until the end of the case or of the process."""
        threads = []
        while self.elapsed() < WARM_UP_SECONDS + AFTER_SECONDS and not self.ended():
            # clients stop to name the class a while before it is dropped
            is_dropped = self.elapsed() > WARM_UP_SECONDS - 1.0
            name = self.random.choices(self.names, [0 if is_dropped else 1, 3, 2, 5])[0]
            threads.append(threading.Thread(target=self.ask, args=(sidecar, next(self.numbers), name)))
            threads[-1].start()
            time.sleep(1 / REQUESTS_PER_SECOND)
        for thread in threads:
            thread.join()

    def ended(self) -> list[Sidecar]:
        """Return the sidecars whose process has ended."""
        return [sidecar for sidecar in self.sidecars if sidecar.exit_status() is not None]

    def reload(self) -> None:
        """Replace the configuration of every sidecar by one without the dropped class."""
        for number, sidecar in enumerate(self.sidecars):
            sidecar.config["settings"] = settings(self.names[1:], number)
            sidecar.write_config()
            sidecar.signal(signal.SIGHUP)


def play(case: Case) -> list[str]:
    """Send requests of all classes; halfway, drop one class from the configuration."""
    this = Play(case)
    users = [threading.Thread(target=this.use, args=(sidecar,)) for sidecar in this.sidecars]
    for user in users:
        user.start()
    time.sleep(SLOW_FROM_SECONDS)
    case.record.line("upstreams", f"from here on, most requests of {SLOW_CLASS} wait")
    this.is_slow.set()
    time.sleep(WARM_UP_SECONDS - SLOW_FROM_SECONDS)
    if case.has_trouble:
        this.reload()
    for user in users:
        user.join()
    return [
        f"{sidecar.name} ended within {AFTER_SECONDS} s of SIGHUP, with status {sidecar.exit_status()}"
        for sidecar in this.ended()
    ]


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, play)
