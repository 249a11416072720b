"""Percentiles of latencies, and confidence intervals of metrics over several seeds."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec
import numpy as np
from hdrh.histogram import HdrHistogram
from numpy.typing import NDArray

MAX_LATENCY_US = 120_000_000  # histograms count higher latencies as this one
SIGNIFICANT_DIGITS = 4  # keeps the error of a histogram far below 1 %
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
    """Return a histogram of latencies in microseconds."""
    recorded = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
    for latency in latencies:
        recorded.record_value(min(max(1, latency), MAX_LATENCY_US))
    return recorded


def summarize(prefix: str, latencies: Sequence[int]) -> dict[str, float]:
    """Return percentiles and mean, in milliseconds, of latencies in microseconds; empty without latencies."""
    if not latencies:
        return {}
    recorded = histogram(latencies)
    metrics = {
        prefix + name: recorded.get_value_at_percentile(percentile) / 1000
        for name, percentile in PERCENTILES.items()
    }
    metrics[prefix + "mean_ms"] = float(np.mean(latencies)) / 1000
    return metrics


def interval(values: Sequence[float]) -> Interval:
    """Return the median and its 90 % bootstrap interval (Efron's percentile method).

    With fewer than `MIN_VALUES_FOR_BOOTSTRAP` values, the interval is their range.
    """
    data: NDArray[np.float64] = np.array(values, dtype=float)
    median = float(np.median(data))
    if len(data) < MIN_VALUES_FOR_BOOTSTRAP:
        return Interval(median, float(data.min()), float(data.max()))
    generator = np.random.Generator(np.random.PCG64(BOOTSTRAP_SEED))
    medians = np.median(generator.choice(data, (BOOTSTRAP_SAMPLES, len(data))), axis=1)
    low, high = np.percentile(medians, [5, 95])
    return Interval(median, float(low), float(high))
