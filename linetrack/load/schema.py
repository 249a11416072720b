"""The table of an experiment file that configures the load: arrivals, keys, retries, a recorded trace.

The only module that knows its keys, units and checks.
"""

from __future__ import annotations

from enum import Enum
from typing import Annotated

from msgspec import Meta

from linetrack.config.check import Table
from linetrack.config.operators import Count, Fraction, NotNegative, Positive


class ShapeKind(Enum):
    """How an arrival rate changes over time, by the file's words."""

    STEADY = "steady"
    RAMP = "ramp"
    BURST = "burst"
    EVENING = "evening"
    STEPS = "steps"


class RetryTiming(Enum):
    """When a client retries, by the file's words."""

    AT_ONCE = "at_once"
    WAIT = "wait"
    RETRY_AFTER = "advice"


class ArrivalProcess(Enum):
    """How arrivals are spread at a given rate, by the file's words."""

    POISSON = "poisson"
    EVEN = "even"


class LoadShape(
    Table,
    frozen=True,
    kw_only=True,
    rename={"start_s": "from_s", "duration_s": "for_s", "end_rate": "to_rate"},
):
    """Arrivals a second from `from_s` for `for_s` (to the end where 0); shapes add up.

    steady: `rate`.  ramp: from `rate` to `to_rate`.  burst: `rate` throughout (a name for reading).
    evening: from `rate` up to `to_rate` in the middle and back, as a payday evening.  steps: from `rate` to
    `to_rate` in `steps` equal steps.
    """

    kind: ShapeKind = ShapeKind.STEADY
    rate: NotNegative = 100.0
    end_rate: NotNegative = 0.0
    start_s: NotNegative = 0.0
    duration_s: NotNegative = 0.0
    steps: Count = 4


class Keys(Table, frozen=True, kw_only=True, rename={"zipf_exponent": "zipf"}):
    """The keys that requests are about."""

    count: Count = 1000
    zipf_exponent: NotNegative = 0.8  # popularity of the nth key is n to the power of minus this


class ClientRetries(
    Table,
    frozen=True,
    kw_only=True,
    rename={
        "max_retries": "tries",
        "timing": "manner",
        "honoring_share": "obey",
        "total_timeout_ms": "patience_ms",
    },
):
    """What clients do after a rejection or failure: `tries` retries at most, within their own deadline.

    at_once: retry immediately.  wait: after `wait_ms`, spread by half.  advice: when `Retry-After` says, and
    by `wait_ms` where there is none; `obey` is the share of clients that do, the others retry immediately.
    """

    max_retries: Annotated[int, Meta(ge=0, le=200)] = 0
    timing: RetryTiming = RetryTiming.WAIT
    wait_ms: NotNegative = 200.0
    honoring_share: Fraction = 1.0
    after_failure: bool = True  # or after a rejection only
    total_timeout_ms: NotNegative = 5000.0  # of the client, over all its retries


class Trace(Table, frozen=True, kw_only=True, rename={"time_compression": "compress"}):
    """A recorded trace (CSV with a head line, or JSON lines): columns `at_s`, `class`, `key`."""

    file: str
    time_compression: Positive = 1.0  # so many seconds of the trace pass in one
    scale: Positive = 1.0  # so many requests for each one of the trace, drawn with the seed
    spread_ms: NotNegative = 50.0  # between a request and its further copies


class Load(
    Table,
    frozen=True,
    kw_only=True,
    rename={
        "retries": "retry",
        "max_connections": "connections",
        "single_use_share": "once",
        "max_late_share": "late_share",
    },
):
    """All load of an experiment."""

    shapes: tuple[LoadShape, ...] = ()
    trace: Trace | None = None
    arrivals: ArrivalProcess = ArrivalProcess.POISSON
    keys: Keys = Keys()
    retries: ClientRetries = ClientRetries()
    workers: Annotated[int, Meta(ge=1, le=16)] = 1
    max_connections: Count = 300  # to one sidecar, from each worker
    # of the requests whose client opens a connection, sends one request and leaves it open
    single_use_share: Fraction = 0.0
    late_ms: Positive = 1.0  # a send that left later than this is late
    max_late_share: Fraction = 0.05  # of late sends, past which a run is invalid

    def __post_init__(self) -> None:
        """Check that there is any load."""
        if not self.shapes and self.trace is None:
            raise ValueError("expected shapes or a trace")
