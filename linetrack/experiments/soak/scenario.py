"""Random soak scenarios: a deployment, its load and its faults, all drawn from one seed."""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum
from random import Random

import msgspec

from linetrack.config.operators import (
    DeduplicationScope,
    Idempotency,
    Limits,
    OverloadControl,
    Retries,
)
from linetrack.emulator.schema import (
    Discovery,
    Fault,
    FaultKind,
    Fleet,
    HostClass,
    RequestClass,
    UpstreamGroup,
    UpstreamSelector,
)
from linetrack.experiments.schema import Experiment, Sidecars
from linetrack.load.schema import ClientRetries, Load, LoadShape, RetryTiming

ZONES = ("north", "south", "west")
MIN_LENGTH_S = 20.0
MAX_LENGTH_S = 40.0
#: No fault starts in the last seconds of a run; what has not recovered by its end is a finding.
RECOVERY_S = 3.0
FIRST_FAULT_S = 2.0
LATE_MS = 100.0  # a send that is later than this is attributed to a slow test machine
NO_OVERLOAD_MULTIPLE = 1e6  # no load can overload an upstream with it in slow start
#: Longer than a stall, a client's timeout and a deadline together.  Upstreams measure the window from the
#: first execution, the protocol measures it from the first send, so a sidecar cannot prevent a second
#: execution where a stall delays the request beyond the window.
DEDUPLICATION_WINDOW_MS = 20_000.0
MAX_FAULT_S = 6.0
#: Each limit holds three processes, as a second successor adds a third one; an idle process uses some 22 MB.
MEMORY_LIMITS_MB = (96, 128, 192)
#: The limits of runs in which no process is replaced under load; the first is the least that is allowed.
SINGLE_PROCESS_MEMORY_LIMITS_MB = (32, 64)
RESPONSE_SIZES_BYTES = (200, 200, 65_536, 1_000_000)
MAX_BUFFERED_RESPONSE_BYTES = 65_536  # larger responses are streamed
UPSTREAM_FAULTS = (
    FaultKind.SLOW,
    FaultKind.ERRORS,
    FaultKind.NO_RESPONSE,
    FaultKind.RESET,
    FaultKind.UNREACHABLE,
    FaultKind.STALL,
    FaultKind.CRASH,
    FaultKind.DEPLOY,
    FaultKind.DRAIN,
)
DISCOVERY_FAULTS = (FaultKind.DISCOVERY_DOWN, FaultKind.DISCOVERY_LAG, FaultKind.DISCOVERY_STALE)


class SidecarFaultKind(Enum):
    """The faults that are injected into the processes of one sidecar."""

    RELOAD_TWICE = "reload_twice"
    RELOAD_THEN_TERMINATE = "reload_then_terminate"
    TERMINATE_TWICE = "terminate_twice"
    RELOAD_WHILE_DRAINING = "reload_while_draining"
    BROKEN_THEN_GOOD_FILE = "broken_then_good_file"
    SUCCESSOR_BEFORE_TERMINATE = "successor_before_terminate"
    SUCCESSOR_AT_TERMINATE = "successor_at_terminate"
    SUCCESSOR_AFTER_TERMINATE = "successor_after_terminate"
    SUCCESSOR_KILLED = "successor_killed"
    SECOND_SUCCESSOR = "second_successor"
    KILLED = "killed"
    CONNECTION_FLOOD = "crowd"  # idle connections use up the file descriptors
    STALLED_CROWD = "stalled_crowd"  # hundreds of clients stop within heads and bodies
    STALLED_CROWD_AND_KILL = "stalled_crowd_and_kill"  # and a process is started amid them


#: The faults during which a sidecar has several processes.
SUCCESSOR_FAULTS = frozenset(
    {
        SidecarFaultKind.SUCCESSOR_BEFORE_TERMINATE,
        SidecarFaultKind.SUCCESSOR_AT_TERMINATE,
        SidecarFaultKind.SUCCESSOR_AFTER_TERMINATE,
        SidecarFaultKind.SUCCESSOR_KILLED,
        SidecarFaultKind.SECOND_SUCCESSOR,
    }
)


@dataclass(frozen=True, slots=True)
class SidecarFault:
    """One scheduled fault of one sidecar.

    Attributes:
        at_s: the time since the start of the run.
        sidecar: the index of the sidecar.
        kind: the kind of fault.
        first_pause_s: a pause between two actions of the fault, 0 to 1.5 s; which ones depends on the kind.
        second_pause_s: a shorter pause for the same purpose, up to 0.1 s.
    """

    at_s: float
    sidecar: int
    kind: SidecarFaultKind
    first_pause_s: float
    second_pause_s: float


@dataclass(frozen=True, slots=True)
class Scenario:
    """The scenario that one seed draws.

    Attributes:
        seed: the seed.
        experiment: the deployment, the load, and the faults of upstreams and discovery.
        sidecar_faults: the faults of sidecars, by time.
        has_overload_rule: whether the sidecars' settings limit the load on an upstream in slow start.
    """

    seed: int
    experiment: Experiment
    sidecar_faults: tuple[SidecarFault, ...]
    has_overload_rule: bool

    @property
    def fault_count(self) -> int:
        """The number of faults of all kinds; faults are numbered from 0, those of sidecars last."""
        return len(self.experiment.faults) + len(self.sidecar_faults)

    def describe_faults(self) -> list[str]:
        """Return a description of each fault, in the order of their numbers."""
        descriptions = [f"{fault.kind.value} at {fault.at_s:.1f} s" for fault in self.experiment.faults]
        return descriptions + [
            f"{fault.kind.value} of {fault.sidecar} at {fault.at_s:.1f} s" for fault in self.sidecar_faults
        ]

    def without(self, numbers: frozenset[int]) -> Scenario:
        """Return the same scenario without the faults of these numbers."""
        faults = self.experiment.faults
        kept = tuple(fault for number, fault in enumerate(faults) if number not in numbers)
        sidecar_faults = tuple(
            fault for number, fault in enumerate(self.sidecar_faults, len(faults)) if number not in numbers
        )
        experiment = msgspec.structs.replace(self.experiment, faults=kept)
        return replace(self, experiment=experiment, sidecar_faults=sidecar_faults)


def draw_scenario(seed: int, length_s: float | None = None) -> Scenario:
    """Draw the scenario of a seed.

    Args:
        seed: the seed.
        length_s: the length of the run; None uses a drawn one.
    """
    random = Random(seed)
    drawn_length_s = random.uniform(MIN_LENGTH_S, MAX_LENGTH_S)
    run_length_s = drawn_length_s if length_s is None else length_s
    zones = ZONES[: random.randint(1, len(ZONES))]
    has_overload_rule = random.random() < 0.7
    sidecars = _sidecars(random, zones)
    faults = _faults(random, run_length_s)
    experiment = Experiment(
        version=1,
        name=f"soak-{seed}",
        question="Does a rule break?",
        length_s=run_length_s,
        warm_s=0.0,
        seeds=(seed,),
        sidecars=sidecars,
        fleet=_fleet(random, zones, has_overload_rule),
        classes=_classes(random, faults),
        load=_load(random),
        faults=faults,
        expect={"lost": "== 0"},
    )
    sidecar_faults = _sidecar_faults(random, run_length_s, len(sidecars.zones))
    if not SUCCESSOR_FAULTS & {fault.kind for fault in sidecar_faults}:
        memory_mb = random.choice(SINGLE_PROCESS_MEMORY_LIMITS_MB)
        limits = msgspec.structs.replace(sidecars.limits, memory_mb=memory_mb)
        sidecars = msgspec.structs.replace(sidecars, limits=limits)
        experiment = msgspec.structs.replace(experiment, sidecars=sidecars)
    return Scenario(seed, experiment, sidecar_faults, has_overload_rule)


def _sidecars(random: Random, zones: tuple[str, ...]) -> Sidecars:
    count = random.randint(1, 4)
    retry_window_ms = random.choice((0.0, 0.0, 2000.0))
    return Sidecars(
        zones=tuple(zones[number % len(zones)] for number in range(count)),
        limits=Limits(sockets=random.choice((128, 256, 512)), memory_mb=random.choice(MEMORY_LIMITS_MB)),
        retries=Retries(
            max_attempts=random.randint(1, 4),
            may_hedge=random.random() < 0.5,
            may_cancel=random.random() < 0.8,
            retry_window_ms=retry_window_ms,
            retry_window_allowance=2.0 if retry_window_ms else 0.0,
            retry_window_ratio=0.2 if retry_window_ms else 0.0,
        ),
        overload_control=OverloadControl(enabled=random.random() < 0.3),
        drain_grace_ms=random.choice((300.0, 1000.0)),
    )


def _fleet(random: Random, zones: tuple[str, ...], has_overload_rule: bool) -> Fleet:
    host_class = HostClass(
        name="plain",
        cores=random.randint(1, 4),
        slow_start_initial_fraction=random.choice((0.1, 0.3, 1.0)),
        slow_start_ms=random.choice((0.0, 5000.0, 15_000.0)),
        overload_multiple=3.0 if has_overload_rule else NO_OVERLOAD_MULTIPLE,
    )
    min_count = -(-4 // len(zones))
    groups = tuple(
        UpstreamGroup(
            zone=zone, host_class="plain", count=random.randint(min_count, 20 // len(zones)), cells=2
        )
        for zone in zones
    )
    return Fleet(
        host_classes=(host_class,),
        groups=groups,
        discovery=Discovery(lag_ms=random.choice((50.0, 300.0))),
        keep_alive_ms=random.choice((500.0, 5000.0, 30_000.0)),
    )


def _classes(random: Random, faults: tuple[Fault, ...]) -> tuple[RequestClass, ...]:
    """Draw one class of each idempotency.

    Where a fault makes upstreams reset their responses, all responses are small enough to be buffered: a
    streamed response would be cut off for the client too.
    """
    can_stream = all(fault.kind is not FaultKind.RESET for fault in faults)
    sizes = (
        RESPONSE_SIZES_BYTES
        if can_stream
        else tuple(size for size in RESPONSE_SIZES_BYTES if size <= MAX_BUFFERED_RESPONSE_BYTES)
    )
    return tuple(
        RequestClass(
            name=idempotency.value,
            idempotency=idempotency,
            latency_objective_ms=timeout_ms / 2,
            timeout_ms=timeout_ms,
            deduplication_window_ms=DEDUPLICATION_WINDOW_MS,
            deduplication_scope=random.choice(list(DeduplicationScope)),
            work_ms=random.choice((2.0, 8.0)),
            response_bytes=random.choice(sizes),
            request_bytes=random.choice((0, 200, 65_536)),
            share=share,
        )
        for idempotency, share in zip(Idempotency, (6.0, 3.0, 1.0), strict=True)
        for timeout_ms in (random.choice((300.0, 1000.0, 2000.0, 3000.0)),)
    )


def _load(random: Random) -> Load:
    return Load(
        shapes=(LoadShape(rate=random.choice((20.0, 40.0, 80.0))),),
        retries=ClientRetries(
            max_retries=random.choice((0, 2)),
            timing=random.choice((RetryTiming.WAIT, RetryTiming.RETRY_AFTER)),
        ),
        late_ms=LATE_MS,
    )


def _faults(random: Random, length_s: float) -> tuple[Fault, ...]:
    """Draw the faults of upstreams and discovery."""
    faults = []
    for _ in range(random.randint(1, 4)):
        duration_s = random.uniform(0.5, MAX_FAULT_S)
        kinds = DISCOVERY_FAULTS if random.random() < 0.3 else UPSTREAM_FAULTS
        faults.append(
            Fault(
                kind=random.choice(kinds),
                at_s=random.uniform(FIRST_FAULT_S, max(FIRST_FAULT_S, length_s - RECOVERY_S - duration_s)),
                duration_s=duration_s,
                upstreams=UpstreamSelector(share=random.choice((0.1, 0.25, 0.5))),
                one_in=random.choice((1, 3)),
                grace_ms=random.choice((1500.0, 3000.0)),
            )
        )
    return tuple(faults)


def _sidecar_faults(random: Random, length_s: float, sidecar_count: int) -> tuple[SidecarFault, ...]:
    """Draw the faults of sidecars, by time."""
    faults = [
        SidecarFault(
            at_s=random.uniform(FIRST_FAULT_S, length_s - RECOVERY_S),
            sidecar=random.randrange(sidecar_count),
            kind=random.choice(list(SidecarFaultKind)),
            first_pause_s=random.choice((0.0, 0.002, 0.05, 0.4, 1.5)),
            second_pause_s=random.choice((0.0, 0.001, 0.01, 0.1)),
        )
        for _ in range(random.randint(2, 5))
    ]
    return tuple(sorted(faults, key=lambda fault: fault.at_s))
