"""Tests of the timeline of faults."""

import pytest

from linetrack.emulator.schema import Fault, FaultKind, Fleet, UpstreamGroup, UpstreamSelector
from linetrack.emulator.timeline import (
    BeginRequestFault,
    Drain,
    FaultError,
    Remove,
    Start,
    Step,
    timeline,
    upstream_specs,
)

MS = 1000
SECOND = 1_000_000

FLEET = Fleet(
    groups=(
        UpstreamGroup(zone="a", host_class="plain", count=4, cells=2),
        UpstreamGroup(zone="b", host_class="plain", count=3),
    )
)


def slowed_upstreams(steps: list[Step]) -> list[int]:
    return [
        step.index
        for step in steps
        if isinstance(step, BeginRequestFault) and step.fault.kind is FaultKind.SLOW
    ]


def test_the_timeline_is_deterministic_and_ordered_by_time_and_the_seed_draws_the_upstreams() -> None:
    faults = (
        Fault(kind=FaultKind.SLOW, at_s=1, duration_s=2, upstreams=UpstreamSelector(share=0.5)),
        Fault(
            kind=FaultKind.DEPLOY,
            at_s=2,
            upstreams=UpstreamSelector(zone="a"),
            batch_size=2,
            batch_interval_s=1,
            grace_ms=500,
        ),
        Fault(
            kind=FaultKind.ERRORS,
            at_s=1.5,
            duration_s=1,
            upstreams=UpstreamSelector(ids=("u5",)),
            one_in=3,
        ),
    )
    steps = timeline(FLEET, faults, 3)
    assert steps == timeline(FLEET, faults, 3)
    assert steps == sorted(steps, key=lambda step: step.at)
    assert len(slowed_upstreams(steps)) == 4
    assert slowed_upstreams(steps) != slowed_upstreams(timeline(FLEET, faults, 4))
    starts = [(step.at, step.index, step.id) for step in steps if isinstance(step, Start)]
    assert starts == [(2800 * MS + n // 2 * SECOND, n, f"u{n}v2") for n in range(4)]
    drained_at = {step.index: step.at for step in steps if isinstance(step, Drain)}
    removed_at = {step.index: step.at for step in steps if isinstance(step, Remove)}
    graces = {index: removed_at[index] - at for index, at in drained_at.items()}
    assert graces == dict.fromkeys(range(4), 500 * MS)


def test_each_deploy_gives_a_new_id_and_a_fault_without_upstreams_is_rejected() -> None:
    faults = tuple(
        Fault(kind=FaultKind.DEPLOY, at_s=at, upstreams=UpstreamSelector(ids=("u1",))) for at in (1, 10)
    )
    ids = [step.id for step in timeline(FLEET, faults, 1) if isinstance(step, Start)]
    assert ids == ["u1v2", "u1v3"]
    without_upstreams = Fault(kind=FaultKind.UNREACHABLE, at_s=1, upstreams=UpstreamSelector(zone="c"))
    with pytest.raises(FaultError, match=r"faults\[1\]") as raised:
        timeline(FLEET, (faults[0], without_upstreams), 1)
    assert raised.value.key == "faults[1].who"
    assert [spec.cell for spec in upstream_specs(FLEET)] == [0, 1, 0, 1, 1000, 1000, 1000]
