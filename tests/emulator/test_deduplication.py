"""Tests of the deduplication table of idempotency keys."""

from hypothesis import given
from hypothesis import strategies as st

from linetrack.emulator.deduplication import DeduplicationTable


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
