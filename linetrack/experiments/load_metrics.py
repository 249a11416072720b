"""The metrics of load that was sent without an experiment around it."""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path

from linetrack.experiments import latency
from linetrack.experiments.audit import LOAD_LEDGERS, read_events
from linetrack.experiments.measurements import client_outcomes


def load_metrics(folder: Path, start: int, counts: Mapping[str, int]) -> dict[str, float]:
    """The metrics of the requests that were due from `start` on."""
    outcomes = client_outcomes(read_events(folder, LOAD_LEDGERS))
    requests = [one for one in outcomes if one.due_at >= start]
    served = [one for one in requests if one.served_at is not None]
    count = max(1, len(requests))
    return {
        "requests": len(requests),
        "served": len(served) / count,
        "late": counts.get("late", 0) / count,
        **latency.summarize("", [one.latency for one in served]),
        **latency.summarize("sent_", [one.latency_from_send for one in served]),
    }
