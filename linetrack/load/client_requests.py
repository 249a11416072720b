"""The requests of one worker of the load generator, prepared before the first is sent."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

import msgspec
import numpy as np

from linetrack.config.operators import Idempotency
from linetrack.emulator.schema import RequestClass
from linetrack.load.plan import build_schedule
from linetrack.load.schedule import ClassShare
from linetrack.load.schema import Load

CLIENT_STREAM = 2  # number of the random stream, derived from the seed, that draws client behaviour


class WorkerConfig(msgspec.Struct, frozen=True):
    """The first line of a worker's input; `length` is the duration of the load in microseconds."""

    load: Load
    classes: tuple[RequestClass, ...]
    length: int
    seed: int
    sidecars: tuple[str, ...]  # addresses
    ledger: str
    folder: str  # the trace's file is relative to this folder
    worker: int  # index of the worker


@dataclass(slots=True)
class ClientRequest:
    """One request and the behaviour of the client that sends it."""

    number: int
    due_after: int  # microseconds after the start of the load
    request_class: RequestClass
    idempotency_key: str
    affinity_key: str
    sidecar: int
    is_single_use: bool  # the client opens a connection for this request only, and leaves it open
    honors_retry_after: bool
    wait_factors: tuple[float, ...]  # random factors by which the wait before each retry is multiplied

    def encode(self, host: str, trace: str, retry: int, seconds_left: float) -> bytes:
        """Return the request, or one of its retries, as bytes."""
        request_class = self.request_class
        is_idempotent = request_class.idempotency is Idempotency.IDEMPOTENT
        method = "GET" if is_idempotent else "POST"
        lines = [
            f"{method} /{request_class.name}/{self.affinity_key} HTTP/1.1",
            f"Host: {host}",
            f"X-Trace-Id: {trace}",
            f"X-Expires-In: {seconds_left:.6f}",
        ]
        body = b""
        if not is_idempotent:
            body = b"x" * request_class.request_bytes
            lines += [f"Idempotency-Key: {self.idempotency_key}", f"Content-Length: {len(body)}"]
        if retry:
            lines.append("X-Second-Try: 1")
        return "\r\n".join([*lines, "", ""]).encode() + body


def class_shares(classes: tuple[RequestClass, ...]) -> tuple[ClassShare, ...]:
    """Return the names and shares of the request classes."""
    return tuple(ClassShare(request_class.name, request_class.share) for request_class in classes)


def prepare_requests(config: WorkerConfig) -> list[ClientRequest]:
    """Return the worker's requests: every nth request of the schedule shared by all n workers."""
    load = config.load
    schedule = build_schedule(
        load, config.length, class_shares(config.classes), config.seed, Path(config.folder)
    )
    count = len(schedule)
    generator = np.random.Generator(np.random.PCG64([config.seed, CLIENT_STREAM]))
    is_single_use = generator.uniform(size=count) < load.single_use_share
    honors_retry_after = generator.uniform(size=count) < load.retries.honoring_share
    wait_factors = generator.uniform(0.5, 1.5, (count, load.retries.max_retries))
    return [
        ClientRequest(
            number=n,
            due_after=int(schedule.due_at[n]),
            request_class=config.classes[int(schedule.class_index[n])],
            idempotency_key=f"{config.seed:x}-{n:x}",
            affinity_key=schedule.key_name(int(schedule.key_index[n])),
            sidecar=n // load.workers % len(config.sidecars),
            is_single_use=bool(is_single_use[n]),
            honors_retry_after=bool(honors_retry_after[n]),
            wait_factors=tuple(wait_factors[n].tolist()),
        )
        for n in range(config.worker, count, load.workers)
    ]
