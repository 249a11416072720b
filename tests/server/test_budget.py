"""The budgets of descriptors and of memory."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from linetrack.server.budget import CLIENT_CONNECTION_KB, MIN_CLIENTS, Budget
from linetrack.server.memory_budget import (
    BASE_MEMORY_MB,
    MAX_UNFINISHED_BODY_SHARE,
    MIN_CHUNK_BYTES,
    MemoryBudget,
)

MB = 1024 * 1024


@pytest.mark.parametrize(
    ("sockets", "memory_mb", "clients", "large_bodies_mb"),
    [(1024, 192, 500, 80), (256, 64, 120, 20), (256, 32, 85, 5)],
)
def test_a_small_memory_limit_allows_enough_ordinary_clients(
    sockets: int, memory_mb: int, clients: int, large_bodies_mb: int
) -> None:
    # A connection must not count with the memory of the largest possible request: clients that send requests
    # use up to a third of the descriptors, and most requests are small.
    budget = Budget(sockets, memory_mb)
    max_clients, max_bytes = budget.descriptors.max_clients, budget.memory.max_bytes
    assert max_clients >= clients
    assert max_bytes >= large_bodies_mb * MB
    assert max_clients * CLIENT_CONNECTION_KB * 1024 + max_bytes <= (memory_mb - BASE_MEMORY_MB) * MB
    assert Budget(64, 192).descriptors.max_clients >= 10
    assert Budget(256, 16).descriptors.max_clients == MIN_CLIENTS


@pytest.mark.parametrize("memory_mb", [32, 64, 192])
@given(steps=st.lists(st.tuples(st.integers(1, 32 * MB), st.booleans()), max_size=30))
def test_reserved_bytes_never_exceed_the_share_for_unfinished_bodies(
    memory_mb: int, steps: list[tuple[int, bool]]
) -> None:
    budget, reserved = MemoryBudget(memory_mb), 0
    for size, is_released in steps:
        if budget.try_reserve(size):
            reserved += size
            if is_released:
                budget.release(size)
                reserved -= size
        assert budget.reserved_bytes == reserved <= budget.max_bytes * MAX_UNFINISHED_BODY_SHARE
        assert budget.max_bytes <= memory_mb * MB
    budget.stream_count = 400
    assert budget.chunk_size() * budget.stream_count <= max(budget.max_bytes, 400 * MIN_CHUNK_BYTES)
