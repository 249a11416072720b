"""Tests of the work that requests take."""

import numpy as np
import pytest

from linetrack.emulator.request_work import request_work
from linetrack.emulator.schema import RequestClass, WorkDistribution

MS = 1000


def test_the_work_depends_only_on_class_trace_and_seed_and_has_the_configured_mean() -> None:
    for distribution in WorkDistribution:
        request_class = RequestClass(name="c", work_distribution=distribution, work_ms=20, work_variation=2.0)
        works = [request_work(request_class, f"t{n}", 7) for n in range(4000)]
        assert works == [request_work(request_class, f"t{n}", 7) for n in range(4000)]
        assert np.mean(works) == pytest.approx(20 * MS, rel=0.12)
