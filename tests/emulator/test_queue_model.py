"""Tests of the queue model: closed forms, bounds on cores and queue, slow start."""

from itertools import pairwise

import numpy as np
import pytest
from hypothesis import given
from hypothesis import strategies as st

from linetrack.emulator.queue_model import OverloadCrashError, UpstreamQueue
from linetrack.emulator.schema import HostClass

MS = 1000
SECOND = 1_000_000

UNBOUNDED = HostClass(name="k", max_queue_length=10**9)


def simulate_sojourn_ratio(load: float, work: str, seed: int) -> float:
    """Simulate a queue and return the mean sojourn time divided by the mean work."""
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
def test_mean_sojourn_times_match_the_closed_forms_for_m_m_1_and_m_d_1(load: float) -> None:
    # Mean sojourn time divided by the mean work: 1 / (1 - load) for M/M/1, and 1 + load / (2 (1 - load)) for
    # M/D/1 by the Pollaczek-Khinchine formula.
    exponential = np.mean([simulate_sojourn_ratio(load, "exponential", seed) for seed in range(3)])
    fixed = np.mean([simulate_sojourn_ratio(load, "fixed", seed) for seed in range(3)])
    assert exponential == pytest.approx(1 / (1 - load), rel=0.08)
    assert fixed == pytest.approx(1 + load / (2 * (1 - load)), rel=0.05)


@given(
    st.integers(1, 4),
    st.integers(0, 5),
    st.lists(st.tuples(st.integers(0, 30 * MS), st.integers(1, 50 * MS)), min_size=1, max_size=60),
)
def test_concurrency_is_bounded_by_the_cores_and_waiting_by_the_queue_length(
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


def test_slow_start_reduces_speed_and_crashes_only_above_the_overload_multiple() -> None:
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
    for n in range(55):  # 0.55 s of work in 1 s, where the capacity is 0.2 to 0.28 s: below the multiple of 3
        allowed.submit(n * 18 * MS, 10 * MS)
    with pytest.raises(OverloadCrashError):
        submit_overload(cold)


def submit_overload(queue: UpstreamQueue) -> None:
    for n in range(500):
        queue.submit(n * 2 * MS, 10 * MS)
