"""The emulator's parts without sockets: queue model, deduplication, timeline and ledger."""

from itertools import pairwise
from pathlib import Path

import numpy as np
import pytest
from hypothesis import given
from hypothesis import strategies as st

from linetrack.emulator.deduplication import DeduplicationTable
from linetrack.emulator.ledger import Ledger, LedgerError, read_ledger
from linetrack.emulator.ledger_events import AttemptReceived, RequestNotSent
from linetrack.emulator.queue_model import OverloadCrashError, UpstreamQueue
from linetrack.emulator.request_work import request_work
from linetrack.emulator.schema import (
    Fault,
    FaultKind,
    Fleet,
    HostClass,
    RequestClass,
    UpstreamGroup,
    UpstreamSelector,
    WorkDistribution,
)
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

MS, SECOND = 1000, 1_000_000
UNBOUNDED = HostClass(name="k", max_queue_length=10**9)


def sojourn(load: float, work: str, seed: int) -> float:
    """Mean time in the system over the mean work, simulated."""
    generator = np.random.Generator(np.random.PCG64(seed))
    queue, mean, count = UpstreamQueue(UNBOUNDED, None), 10_000, 60_000
    arrivals = np.cumsum(generator.exponential(mean / load, count)).astype(int)
    works = generator.exponential(mean, count) if work == "exponential" else np.full(count, mean)
    total = 0
    for now, piece in zip(arrivals.tolist(), works.tolist(), strict=True):
        execution = queue.submit(now, max(1, int(piece)))
        assert execution is not None
        total += execution.ends_at - now
    return total / count / mean


@pytest.mark.parametrize("load", [0.3, 0.6, 0.8])
def test_the_queue_agrees_with_the_closed_forms(load: float) -> None:
    # M/M/1: 1 / (1 - load); M/D/1 (Pollaczek and Khinchine): 1 + load / (2 (1 - load)), both over the mean
    # work
    markov = np.mean([sojourn(load, "exponential", seed) for seed in range(3)])
    fixed = np.mean([sojourn(load, "fixed", seed) for seed in range(3)])
    assert markov == pytest.approx(1 / (1 - load), rel=0.08)
    assert fixed == pytest.approx(1 + load / (2 * (1 - load)), rel=0.05)


@given(
    st.integers(1, 4),
    st.integers(0, 5),
    st.lists(st.tuples(st.integers(0, 30 * MS), st.integers(1, 50 * MS)), min_size=1, max_size=60),
)
def test_executions_are_bounded_by_the_cores_and_waiting_by_the_queue_length(
    cores: int, queue: int, works: list[tuple[int, int]]
) -> None:
    model = UpstreamQueue(HostClass(name="k", cores=cores, max_queue_length=queue), None)
    now, executions = 0, []
    for after, work in works:
        now += after
        execution = model.submit(now, work)
        waiting, in_flight = model.load(now)
        assert waiting <= queue
        assert in_flight <= waiting + cores
        if execution is None:
            assert waiting == queue
            continue
        assert now <= execution.begins_at
        assert execution.ends_at - execution.begins_at == work
        executions.append(execution)
    assert all(a.begins_at <= b.begins_at for a, b in pairwise(executions))
    for execution in executions:
        begins_at = execution.begins_at
        concurrent = [other for other in executions if other.begins_at <= begins_at < other.ends_at]
        assert len(concurrent) <= cores


def test_slow_start_is_slower_and_crashes_only_under_too_much_work_for_too_long() -> None:
    host_class = HostClass(
        name="k",
        max_queue_length=10**6,
        slow_start_initial_fraction=0.2,
        slow_start_ms=10_000,
        overload_multiple=3,
        overload_window_ms=1000,
    )
    cold, warm = UpstreamQueue(host_class, 0), UpstreamQueue(host_class, None)
    assert cold.speed_fraction(0) == 0.2
    assert cold.speed_fraction(5 * SECOND) == pytest.approx(0.6)
    assert cold.speed_fraction(10 * SECOND) == 1.0
    slow, fast = cold.submit(0, 10 * MS), warm.submit(0, 10 * MS)
    assert slow
    assert fast
    assert slow.ends_at == 5 * fast.ends_at
    for n in range(50):
        assert warm.submit(n * 20 * MS, 40 * MS)
    allowed = UpstreamQueue(host_class, 0)
    for n in range(55):  # 0.55 s of work in a second, and it could do 0.2 to 0.28: under three times that
        allowed.submit(n * 18 * MS, 10 * MS)
    with pytest.raises(OverloadCrashError):
        submit_often(cold)


def submit_often(queue: UpstreamQueue) -> None:
    for n in range(500):
        queue.submit(n * 2 * MS, 10 * MS)


@given(st.lists(st.tuples(st.integers(0, 800), st.integers(0, 3)), max_size=60))
def test_a_key_is_executed_once_within_its_window_and_the_table_is_bounded(
    uses: list[tuple[int, int]],
) -> None:
    table, now = DeduplicationTable(1000), 0
    executed: dict[int, tuple[int, str]] = {}
    for n, (after, key) in enumerate(uses):
        now += after
        first = table.execute(now, str(key), f"t{n}")
        if first is None:
            assert key not in executed or now - executed[key][0] >= 1000
            executed[key] = (now, f"t{n}")
        else:
            assert first == executed[key][1]
            assert now - executed[key][0] < 1000
        assert len(table.first_executions) <= 4
        assert len(table.keys_by_age) <= 4


def test_the_same_request_is_the_same_work_wherever_it_goes() -> None:
    for distribution in WorkDistribution:
        request_class = RequestClass(name="c", work_distribution=distribution, work_ms=20, work_variation=2.0)
        many = [request_work(request_class, f"t{n}", 7) for n in range(4000)]
        assert many == [request_work(request_class, f"t{n}", 7) for n in range(4000)]
        assert np.mean(many) == pytest.approx(20 * MS, rel=0.12)


# --- The timeline ------------------------------------------------------------------------------------

FLEET = Fleet(
    groups=(
        UpstreamGroup(zone="a", host_class="plain", count=4, cells=2),
        UpstreamGroup(zone="b", host_class="plain", count=3),
    )
)


def slowed(steps: list[Step]) -> list[int]:
    return [
        step.index
        for step in steps
        if isinstance(step, BeginRequestFault) and step.fault.kind is FaultKind.SLOW
    ]


def test_every_process_works_out_the_same_timeline() -> None:
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
    assert len(slowed(steps)) == 4
    assert slowed(steps) != slowed(timeline(FLEET, faults, 4))
    starts = [(step.at, step.index, step.id) for step in steps if isinstance(step, Start)]
    assert starts == [(2800 * MS + n // 2 * SECOND, n, f"u{n}v2") for n in range(4)]
    drained_at = {step.index: step.at for step in steps if isinstance(step, Drain)}
    removed_at = {step.index: step.at for step in steps if isinstance(step, Remove)}
    graces = {index: removed_at[index] - at for index, at in drained_at.items()}
    assert graces == dict.fromkeys(range(4), 500 * MS)


def test_two_deploys_give_new_ids_each_time_and_an_empty_set_is_named() -> None:
    faults = tuple(
        Fault(kind=FaultKind.DEPLOY, at_s=at, upstreams=UpstreamSelector(ids=("u1",))) for at in (1, 10)
    )
    ids = [step.id for step in timeline(FLEET, faults, 1) if isinstance(step, Start)]
    assert ids == ["u1v2", "u1v3"]
    nowhere = Fault(kind=FaultKind.UNREACHABLE, at_s=1, upstreams=UpstreamSelector(zone="c"))
    with pytest.raises(FaultError, match=r"faults\[1\]") as raised:
        timeline(FLEET, (faults[0], nowhere), 1)
    assert raised.value.key == "faults[1].who"
    assert [spec.cell for spec in upstream_specs(FLEET)] == [0, 1, 0, 1, 1000, 1000, 1000]


# --- The ledger --------------------------------------------------------------------------------------


def test_a_ledger_reads_back_and_one_cut_off_in_its_last_line_does_too(tmp_path: Path) -> None:
    path = tmp_path / "l.jsonl"
    ledger = Ledger(path)
    written = [AttemptReceived(n, f"u{n}", 'a "b"\n', n, "SERVING") for n in range(100)]
    for event in written:
        ledger.write(event)
    ledger.close()
    assert list(read_ledger(path)) == written
    data = path.read_bytes()
    first = b'{"e":"try","t":0,"up":"u0","trace":"a \\"b\\"\\n","first":0,"state":"SERVING"}\n'
    assert data.startswith(first)
    for cut in (1, 10, 30):
        path.write_bytes(data[:-cut])
        assert list(read_ledger(path)) == written[:-1]
    for nonsense in (b"nonsense\n", b'{"t": 1}\n', b'{"e": "nonsense", "t": 1}\n', b'{"e": "unsent"}\n'):
        path.write_bytes(first + nonsense + data)
        with pytest.raises(LedgerError, match=r"l\.jsonl:2: no event: ") as raised:
            list(read_ledger(path))
        assert (raised.value.path, raised.value.line) == (path, 2)


def test_a_full_disk_ends_the_ledger_and_not_the_emulator() -> None:
    ledger = Ledger(Path("/dev/full"))
    for n in range(3):
        ledger.write(RequestNotSent(n, n))
        ledger.flush()
    assert ledger.error
    assert not ledger.has_unwritten
