"""One random history: a deployment, its load and its troubles, all drawn from one seed."""

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
QUIET_S = 3.0  # at the end, without troubles: what is not over by then is a finding
FIRST_TROUBLE_S = 2.0
LATE_MS = 100.0  # a send that left later was the machine's fault
NO_OVERLOAD_MULTIPLE = 1e6  # of upstreams that cannot be overloaded in slow start
#: Longer than a stall, a client's patience and a deadline together.  Upstreams count it from the first
#: execution, the protocol from the first sending; what a stall delays beyond it no sidecar can prevent.
DEDUPLICATION_WINDOW_MS = 20_000.0
MAX_FAULT_S = 6.0
MEMORY_LIMITS_MB = (96, 128, 192)  # a second successor is a third process, of some 28 MB at rest
RESPONSE_SIZES = (200, 200, 65_536, 1_000_000)
MAX_BUFFERED_BYTES = 65_536  # of a response; a larger one is streamed
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


class SidecarTrouble(Enum):
    """What happens to the processes of one sidecar."""

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
    CROWD = "crowd"  # idle clients fill the descriptors


@dataclass(frozen=True, slots=True)
class SidecarStep:
    """One trouble of one sidecar."""

    at_s: float
    sidecar: int
    kind: SidecarTrouble
    first_pause_s: float  # between what it does first and next
    second_pause_s: float


@dataclass(frozen=True, slots=True)
class History:
    """What one seed draws.

    Attributes:
        seed: the seed.
        experiment: deployment, load and the troubles of upstreams and discovery.
        steps: the troubles of sidecars, by time.
        has_overload_rule: whether the settings state what a warming upstream bears.
    """

    seed: int
    experiment: Experiment
    steps: tuple[SidecarStep, ...]
    has_overload_rule: bool

    @property
    def trouble_count(self) -> int:
        """How many troubles there are; `without` takes their numbers."""
        return len(self.experiment.faults) + len(self.steps)

    def trouble_names(self) -> list[str]:
        """What each trouble is, by its number."""
        names = [f"{fault.kind.value} at {fault.at_s:.1f} s" for fault in self.experiment.faults]
        return names + [f"{step.kind.value} of {step.sidecar} at {step.at_s:.1f} s" for step in self.steps]

    def without(self, numbers: frozenset[int]) -> History:
        """The same history with some troubles left out."""
        faults = self.experiment.faults
        kept = tuple(fault for number, fault in enumerate(faults) if number not in numbers)
        steps = tuple(step for number, step in enumerate(self.steps, len(faults)) if number not in numbers)
        experiment = msgspec.structs.replace(self.experiment, faults=kept)
        return replace(self, experiment=experiment, steps=steps)


def draw_history(seed: int, length_s: float | None = None) -> History:
    """The history of a seed; `length_s` instead of one that is drawn."""
    random = Random(seed)
    drawn = random.uniform(MIN_LENGTH_S, MAX_LENGTH_S)
    length = drawn if length_s is None else length_s
    zones = ZONES[: random.randint(1, len(ZONES))]
    has_overload_rule = random.random() < 0.7
    sidecars = _sidecars(random, zones)
    faults = _faults(random, length)
    experiment = Experiment(
        version=1,
        name=f"soak-{seed}",
        question="Does a rule break?",
        length_s=length,
        warm_s=0.0,
        seeds=(seed,),
        sidecars=sidecars,
        fleet=_fleet(random, zones, has_overload_rule),
        classes=_classes(random, faults),
        load=_load(random),
        faults=faults,
        expect={"lost": "== 0"},
    )
    steps = _steps(random, length, len(sidecars.zones))
    return History(seed, experiment, steps, has_overload_rule)


def _sidecars(random: Random, zones: tuple[str, ...]) -> Sidecars:
    count = random.randint(1, 4)
    window = random.choice((0.0, 0.0, 2000.0))
    return Sidecars(
        zones=tuple(zones[number % len(zones)] for number in range(count)),
        limits=Limits(sockets=random.choice((128, 256, 512)), memory_mb=random.choice(MEMORY_LIMITS_MB)),
        retries=Retries(
            max_attempts=random.randint(1, 4),
            may_hedge=random.random() < 0.5,
            may_cancel=random.random() < 0.8,
            retry_window_ms=window,
            retry_window_allowance=2.0 if window else 0.0,
            retry_window_ratio=0.2 if window else 0.0,
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
    least = -(-4 // len(zones))
    groups = tuple(
        UpstreamGroup(zone=zone, host_class="plain", count=random.randint(least, 20 // len(zones)), cells=2)
        for zone in zones
    )
    return Fleet(
        host_classes=(host_class,),
        groups=groups,
        discovery=Discovery(lag_ms=random.choice((50.0, 300.0))),
        keep_alive_ms=random.choice((500.0, 5000.0, 30_000.0)),
    )


def _classes(random: Random, faults: tuple[Fault, ...]) -> tuple[RequestClass, ...]:
    """Classes of all effects.

    No response is streamed where upstreams reset them in the middle, as that ends them for the client too.
    """
    can_stream = all(fault.kind is not FaultKind.RESET for fault in faults)
    sizes = (
        RESPONSE_SIZES if can_stream else tuple(size for size in RESPONSE_SIZES if size <= MAX_BUFFERED_BYTES)
    )
    return tuple(
        RequestClass(
            name=idempotency.value,
            idempotency=idempotency,
            latency_objective_ms=timeout / 2,
            timeout_ms=timeout,
            deduplication_window_ms=DEDUPLICATION_WINDOW_MS,
            deduplication_scope=random.choice(list(DeduplicationScope)),
            work_ms=random.choice((2.0, 8.0)),
            response_bytes=random.choice(sizes),
            request_bytes=random.choice((0, 200, 65_536)),
            share=share,
        )
        for idempotency, share in zip(Idempotency, (6.0, 3.0, 1.0), strict=True)
        for timeout in (random.choice((300.0, 1000.0, 2000.0, 3000.0)),)
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


def _faults(random: Random, length: float) -> tuple[Fault, ...]:
    """Troubles of upstreams and discovery."""
    faults = []
    for _ in range(random.randint(1, 4)):
        duration = random.uniform(0.5, MAX_FAULT_S)
        kinds = DISCOVERY_FAULTS if random.random() < 0.3 else UPSTREAM_FAULTS
        faults.append(
            Fault(
                kind=random.choice(kinds),
                at_s=random.uniform(FIRST_TROUBLE_S, max(FIRST_TROUBLE_S, length - QUIET_S - duration)),
                duration_s=duration,
                upstreams=UpstreamSelector(share=random.choice((0.1, 0.25, 0.5))),
                one_in=random.choice((1, 3)),
                grace_ms=random.choice((1500.0, 3000.0)),
            )
        )
    return tuple(faults)


def _steps(random: Random, length: float, sidecar_count: int) -> tuple[SidecarStep, ...]:
    """Troubles of sidecars, by time."""
    steps = [
        SidecarStep(
            at_s=random.uniform(FIRST_TROUBLE_S, length - QUIET_S),
            sidecar=random.randrange(sidecar_count),
            kind=random.choice(list(SidecarTrouble)),
            first_pause_s=random.choice((0.0, 0.002, 0.05, 0.4, 1.5)),
            second_pause_s=random.choice((0.0, 0.001, 0.01, 0.1)),
        )
        for _ in range(random.randint(2, 5))
    ]
    return tuple(sorted(steps, key=lambda step: step.at_s))
