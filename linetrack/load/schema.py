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
    """How an arrival rate changes over time; values are those of the experiment file."""

    STEADY = "steady"
    RAMP = "ramp"
    BURST = "burst"
    EVENING = "evening"
    STEPS = "steps"


class RetryTiming(Enum):
    """When a client retries; values are those of the experiment file."""

    AT_ONCE = "at_once"
    WAIT = "wait"
    RETRY_AFTER = "advice"


class ArrivalProcess(Enum):
    """How arrivals are distributed at a given rate; values are those of the experiment file."""

    POISSON = "poisson"
    EVEN = "even"


class LoadShape(
    Table,
    frozen=True,
    kw_only=True,
    rename={"start_s": "from_s", "duration_s": "for_s", "end_rate": "to_rate"},
):
    """Arrivals per second from `from_s` on for `for_s` (until the end if 0); the rates of shapes add up.

    steady: constant `rate`.  ramp: linear from `rate` to `to_rate`.  burst: constant `rate`, as steady; the
    name documents the intent.  evening: from `rate` up to `to_rate` in the middle and back, like the traffic
    of a payday evening.  steps: from `rate` to `to_rate` in `steps` equal steps.
    """

    kind: ShapeKind = ShapeKind.STEADY
    rate: NotNegative = 100.0
    end_rate: NotNegative = 0.0
    start_s: NotNegative = 0.0
    duration_s: NotNegative = 0.0
    steps: Count = 4


class Keys(Table, frozen=True, kw_only=True, rename={"zipf_exponent": "zipf"}):
    """The affinity keys of requests."""

    count: Count = 1000
    zipf_exponent: NotNegative = 0.8  # the popularity of the nth key is proportional to n ** -zipf


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
    """How clients retry after a rejection or failure: at most `tries` times, within `patience_ms`.

    at_once: immediately.  wait: after `wait_ms`, varied at random by up to half.  advice: after the time that
    `Retry-After` states, or as with wait if the header is absent.  `obey` is the share of requests whose
    client waits; the clients of the others retry immediately.
    """

    max_retries: Annotated[int, Meta(ge=0, le=200)] = 0
    timing: RetryTiming = RetryTiming.WAIT
    wait_ms: NotNegative = 200.0
    honoring_share: Fraction = 1.0
    after_failure: bool = True  # false: retry only after a rejection (503)
    total_timeout_ms: NotNegative = (
        5000.0  # from the due time of a request; a client starts no retry after it
    )


class Trace(Table, frozen=True, kw_only=True, rename={"time_compression": "compress"}):
    """A recorded trace (CSV with a header line, or JSON lines) with the columns `at_s`, `class` and `key`."""

    file: str
    time_compression: Positive = 1.0  # seconds of the trace that are replayed in one second
    scale: Positive = 1.0  # mean number of requests for each row of the trace, drawn with the seed
    spread_ms: NotNegative = 50.0  # longest delay between a request and its further copies


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
    """The load of an experiment."""

    shapes: tuple[LoadShape, ...] = ()
    trace: Trace | None = None
    arrivals: ArrivalProcess = ArrivalProcess.POISSON
    keys: Keys = Keys()
    retries: ClientRetries = ClientRetries()
    workers: Annotated[int, Meta(ge=1, le=16)] = 1
    max_connections: Count = 300  # to one sidecar, from each worker
    # Share of requests whose client opens a connection for it, and leaves that open without using it again.
    single_use_share: Fraction = 0.0
    late_ms: Positive = 1.0  # a request sent later than this after its due time counts as late
    max_late_share: Fraction = 0.05  # share of late requests above which a run is invalid

    def __post_init__(self) -> None:
        """Check that the load has shapes or a trace."""
        if not self.shapes and self.trace is None:
            raise ValueError("expected shapes or a trace")
