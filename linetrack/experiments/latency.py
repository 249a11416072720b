"""Percentiles of latencies, and intervals of metrics over several seeds."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec
import numpy as np
from hdrh.histogram import HdrHistogram
from numpy.typing import NDArray

MAX_LATENCY_US = 120_000_000  # that a histogram holds
SIGNIFICANT_DIGITS = 4  # of a latency, so that the histogram's own error stays far below 1 %
PERCENTILES = {"p50_ms": 50.0, "p99_ms": 99.0, "p999_ms": 99.9}
BOOTSTRAP_SAMPLES = 2000
BOOTSTRAP_SEED = 1
MIN_VALUES_FOR_BOOTSTRAP = 3


class Interval(msgspec.Struct, frozen=True, array_like=True):
    """A median and the bounds of its 90 % interval."""

    median: float
    low: float
    high: float


def histogram(latencies: Sequence[int]) -> HdrHistogram:
    """A histogram of latencies in microseconds."""
    made = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
    for latency in latencies:
        made.record_value(min(max(1, latency), MAX_LATENCY_US))
    return made


def summarize(prefix: str, latencies: Sequence[int]) -> dict[str, float]:
    """Percentiles and mean in milliseconds, of latencies in microseconds; nothing where there are none."""
    if not latencies:
        return {}
    made = histogram(latencies)
    metrics = {
        prefix + name: made.get_value_at_percentile(percentile) / 1000
        for name, percentile in PERCENTILES.items()
    }
    metrics[prefix + "mean_ms"] = float(np.mean(latencies)) / 1000
    return metrics


def interval(values: Sequence[float]) -> Interval:
    """The median, and its 90 % bootstrap interval (Efron's percentile method).

    The interval is the values' own range where there are too few of them.
    """
    data: NDArray[np.float64] = np.array(values, dtype=float)
    median = float(np.median(data))
    if len(data) < MIN_VALUES_FOR_BOOTSTRAP:
        return Interval(median, float(data.min()), float(data.max()))
    generator = np.random.Generator(np.random.PCG64(BOOTSTRAP_SEED))
    medians = np.median(generator.choice(data, (BOOTSTRAP_SAMPLES, len(data))), axis=1)
    low, high = np.percentile(medians, [5, 95])
    return Interval(median, float(low), float(high))
