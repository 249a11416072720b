"""The timeline of an emulated fleet: its initial upstreams, and the timed steps of its faults.

A pure function of experiment file and seed, so that every process of the emulator computes the same timeline.
"""

from __future__ import annotations

from dataclasses import dataclass

import numpy as np

from linetrack.emulator.schema import (
    DISCOVERY_FAULTS,
    REQUEST_FAULTS,
    SIDECAR_FAULTS,
    Fault,
    FaultKind,
    Fleet,
    UpstreamSelector,
)

CELLS_PER_ZONE = 1000  # size of the range of cell numbers of each zone
RESTART_DELAY_US = 300_000  # in a deploy, from the removal of an upstream to the start of its successor


class FaultError(Exception):
    """A fault of the experiment file cannot be injected.

    Attributes:
        key: the invalid key.
        reason: why the key is invalid.
    """

    def __init__(self, key: str, reason: str) -> None:
        self.key = key
        self.reason = reason
        super().__init__(f"{key}: {reason}")


@dataclass(frozen=True, slots=True)
class UpstreamSpec:
    """One address at which an upstream serves, as the fleet begins.

    The address keeps its index when a deploy replaces its upstream by one with another id.
    """

    index: int
    id: str
    zone: str
    host_class: str
    cell: int
    capacity: float


@dataclass(frozen=True, slots=True)
class RequestFault:
    """The effect of a fault on the requests of an upstream while the fault is active."""

    fault_index: int
    kind: FaultKind
    factor: float
    one_in: int
    ends_at: int  # microseconds after the start of the timeline


@dataclass(frozen=True, slots=True)
class Step:
    """Base class of the steps; `at` is in microseconds after the start of the timeline."""

    at: int


@dataclass(frozen=True, slots=True)
class UpstreamStep(Step):
    """A step that concerns the upstream at the address with this index."""

    index: int


@dataclass(frozen=True, slots=True)
class BeginRequestFault(UpstreamStep):
    """A fault begins to affect the upstream's requests."""

    fault: RequestFault


@dataclass(frozen=True, slots=True)
class EndRequestFault(UpstreamStep):
    """A fault no longer affects the upstream's requests."""

    fault_index: int


@dataclass(frozen=True, slots=True)
class Drain(UpstreamStep):
    """The upstream begins to drain."""


@dataclass(frozen=True, slots=True)
class Remove(UpstreamStep):
    """The upstream ends, and discovery removes it from the list."""


@dataclass(frozen=True, slots=True)
class Crash(UpstreamStep):
    """The upstream ends, and discovery is not notified."""


@dataclass(frozen=True, slots=True)
class Start(UpstreamStep):
    """An upstream with this id starts at the address."""

    id: str


@dataclass(frozen=True, slots=True)
class BeginDiscoveryFault(Step):
    """A fault of discovery begins; `lag` is in microseconds."""

    kind: FaultKind
    lag: int


@dataclass(frozen=True, slots=True)
class EndDiscoveryFault(Step):
    """A fault of discovery ends."""

    kind: FaultKind


@dataclass(frozen=True, slots=True)
class RestartSidecars(Step):
    """Sidecars are restarted in batches; the interval between batches is in microseconds."""

    kind: FaultKind
    batch_size: int
    batch_interval: int


def upstream_specs(fleet: Fleet) -> tuple[UpstreamSpec, ...]:
    """Return the upstreams with which the fleet begins."""
    specs: list[UpstreamSpec] = []
    for group in fleet.groups:
        first_cell = fleet.zones.index(group.zone) * CELLS_PER_ZONE
        for n in range(group.count):
            index = len(specs)
            specs.append(
                UpstreamSpec(
                    index=index,
                    id=f"u{index}",
                    zone=group.zone,
                    host_class=group.host_class,
                    cell=first_cell + n % group.cells,
                    capacity=group.capacity,
                )
            )
    return tuple(specs)


def select(
    selector: UpstreamSelector, specs: tuple[UpstreamSpec, ...], generator: np.random.Generator
) -> list[UpstreamSpec]:
    """Return the selected upstreams, by their index."""
    ids = set(selector.ids)
    found = [
        spec
        for spec in specs
        if (not ids or spec.id in ids)
        and (not selector.zone or spec.zone == selector.zone)
        and (not selector.host_class or spec.host_class == selector.host_class)
    ]
    if selector.share < 1 and found:
        count = max(1, round(selector.share * len(found)))
        drawn = [found[n] for n in generator.permutation(len(found))[:count]]
        found = sorted(drawn, key=lambda spec: spec.index)
    return found


def timeline(fleet: Fleet, faults: tuple[Fault, ...], seed: int) -> list[Step]:
    """Return all steps of the timeline, ordered by time.

    Raises:
        FaultError: a fault affects no upstream.
    """
    specs = upstream_specs(fleet)
    current_ids = {spec.index: spec.id for spec in specs}
    steps: list[Step] = []
    for fault_index, fault in enumerate(faults):
        if fault.kind in DISCOVERY_FAULTS:
            steps += _discovery_steps(fault)
        elif fault.kind in SIDECAR_FAULTS:
            steps.append(_sidecar_step(fault))
        else:
            generator = np.random.Generator(np.random.PCG64([seed, fault_index]))
            selected = select(fault.upstreams, specs, generator)
            if not selected:
                raise FaultError(f"faults[{fault_index}].who", "no upstream matches")
            for position, spec in enumerate(selected):
                steps += _upstream_steps(fault, fault_index, position, spec.index, current_ids)
    return sorted(steps, key=lambda step: step.at)


def _microseconds(seconds: float) -> int:
    return round(seconds * 1e6)


def _discovery_steps(fault: Fault) -> list[Step]:
    return [
        BeginDiscoveryFault(_microseconds(fault.at_s), fault.kind, round(fault.lag_ms * 1000)),
        EndDiscoveryFault(_microseconds(fault.at_s + fault.duration_s), fault.kind),
    ]


def _sidecar_step(fault: Fault) -> Step:
    interval = _microseconds(fault.batch_interval_s)
    return RestartSidecars(_microseconds(fault.at_s), fault.kind, fault.batch_size, interval)


def _upstream_steps(
    fault: Fault, fault_index: int, position: int, index: int, current_ids: dict[int, str]
) -> list[Step]:
    """Return the steps of one upstream; `position` is its position among those that the fault affects."""
    at = _microseconds(fault.at_s)
    end = _microseconds(fault.at_s + fault.duration_s)
    grace = round(fault.grace_ms * 1000)
    if fault.kind in REQUEST_FAULTS:
        request_fault = RequestFault(fault_index, fault.kind, fault.factor, fault.one_in, end)
        return [BeginRequestFault(at, index, request_fault), EndRequestFault(end, index, fault_index)]
    if fault.kind is FaultKind.DEPLOY:
        batch = position // fault.batch_size
        begin = at + batch * _microseconds(fault.batch_interval_s)
        return _deploy_steps(index, begin, grace, current_ids)
    if fault.kind is FaultKind.DRAIN:
        return [Drain(at, index), Remove(at + grace, index)]
    if fault.kind is FaultKind.CRASH:
        return [Crash(at, index), Start(max(end, at + 1), index, current_ids[index])]
    unreachable = RequestFault(fault_index, FaultKind.UNREACHABLE, 1.0, 1, at + grace)
    return [BeginRequestFault(at, index, unreachable), Remove(at + grace, index)]


def _deploy_steps(index: int, at: int, grace: int, current_ids: dict[int, str]) -> list[Step]:
    """Return the steps that replace an upstream, after a drain, by one with a new id at the same address."""
    base_id, _, version = current_ids[index].partition("v")
    current_ids[index] = f"{base_id}v{int(version or 1) + 1}"
    return [
        Drain(at, index),
        Remove(at + grace, index),
        Start(at + grace + RESTART_DELAY_US, index, current_ids[index]),
    ]
