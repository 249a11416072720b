"""The work of a request, drawn with its trace as part of the seed: the same at every upstream."""

from __future__ import annotations

import zlib

import numpy as np

from linetrack.emulator.schema import RequestClass, WorkDistribution


def request_work(request_class: RequestClass, trace: str, seed: int) -> int:
    """Return the work of a request in microseconds of a core at speed 1."""
    mean = request_class.work_ms * 1000
    if request_class.work_distribution is WorkDistribution.FIXED:
        return round(mean)
    generator = np.random.Generator(np.random.PCG64([seed, zlib.crc32(trace.encode())]))
    if request_class.work_distribution is WorkDistribution.EXPONENTIAL:
        return max(1, round(generator.exponential(mean)))
    variance = np.log(1 + request_class.work_variation**2)
    return max(1, round(float(generator.lognormal(np.log(mean) - variance / 2, np.sqrt(variance)))))
