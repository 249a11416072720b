"""Metrics of load that was sent outside an experiment."""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path

from linetrack.experiments import latency
from linetrack.experiments.audit import LOAD_LEDGERS, read_events
from linetrack.experiments.measurements import client_outcomes


def load_metrics(folder: Path, start: int, counts: Mapping[str, int]) -> dict[str, float]:
    """Return the metrics of the requests that were due at or after `start`, in microseconds."""
    outcomes = client_outcomes(read_events(folder, LOAD_LEDGERS))
    requests = [outcome for outcome in outcomes if outcome.due_at >= start]
    served = [outcome for outcome in requests if outcome.served_at is not None]
    count = max(1, len(requests))
    return {
        "requests": len(requests),
        "served": len(served) / count,
        "late": counts.get("late", 0) / count,
        **latency.summarize("", [outcome.latency for outcome in served]),
        **latency.summarize("sent_", [outcome.latency_from_send for outcome in served]),
    }
