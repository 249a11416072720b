"""Percentiles of latencies, and confidence intervals."""

import numpy as np
import pytest

from linetrack.experiments import latency


def test_histogram_percentiles_agree_with_the_exact_ones() -> None:
    values = np.random.Generator(np.random.PCG64(1)).lognormal(10, 1, 20_000).astype(int)
    metrics = latency.summarize("", values.tolist())
    for name, percentile in {"p50_ms": 50, "p99_ms": 99, "p999_ms": 99.9}.items():
        exact = np.sort(values)[round(percentile * 200) - 1]
        assert metrics[name] * 1000 == pytest.approx(exact, rel=0.002)


def test_an_interval_contains_the_median_and_narrows_with_more_values() -> None:
    generator = np.random.Generator(np.random.PCG64(2))
    few, many = (latency.interval(generator.normal(10, 1, count).tolist()) for count in (5, 80))
    assert few.low <= few.median <= few.high
    assert many.high - many.low < few.high - few.low
    assert latency.interval([3.0]) == latency.Interval(3.0, 3.0, 3.0)
