"""The counters: their totals agree, and their text format is valid for any class name."""

from __future__ import annotations

import re

from hypothesis import given
from hypothesis import strategies as st

from linetrack.control.metrics import Metrics, RequestOutcome

LINE = re.compile(r'app_[a-z_]+(\{priority="(\\.|[^"\\\n])*",status="[a-z]+"\})? \d+')


ended_requests = st.lists(st.tuples(st.text(max_size=5), st.sampled_from(RequestOutcome)), max_size=30)


@given(ended_requests, st.integers(0, 9))
def test_totals_agree_and_the_text_format_is_valid_for_any_class_name(
    ended: list[tuple[str, RequestOutcome]], disconnected: int
) -> None:
    metrics = Metrics()
    metrics.requests_received = len(ended) + disconnected + 2
    metrics.clients_disconnected = disconnected
    for class_name, outcome in ended:
        metrics.record_outcome(class_name, outcome)
    totals = metrics.totals()
    assert metrics.open_requests == 2
    ends = ("served", "rejected", "failed", "disconnected")
    assert totals["received"] == 2 + sum(totals[name] for name in ends)
    lines = metrics.prometheus_text(7, 1).split("\n")
    assert lines.pop() == ""
    assert all(LINE.fullmatch(line) for line in lines)
    assert len(lines) == 3 * len({class_name for class_name, _ in ended}) + 6
