"""The work of requests."""

import numpy as np
import pytest

from linetrack.emulator.request_work import request_work
from linetrack.emulator.schema import RequestClass, WorkDistribution

MS = 1000


def test_the_same_request_is_the_same_work_wherever_it_goes() -> None:
    for distribution in WorkDistribution:
        request_class = RequestClass(name="c", work_distribution=distribution, work_ms=20, work_variation=2.0)
        many = [request_work(request_class, f"t{n}", 7) for n in range(4000)]
        assert many == [request_work(request_class, f"t{n}", 7) for n in range(4000)]
        assert np.mean(many) == pytest.approx(20 * MS, rel=0.12)
