"""The reserve of descriptors for upstream connections."""

from linetrack.control.connection_demand import MIN_UPSTREAM_DIVISOR, UpstreamReserve
from linetrack.policy.time_units import SECOND


def test_the_reserve_follows_the_peak_of_upstream_connections_and_decays() -> None:
    reserve = UpstreamReserve()
    assert reserve.client_capacity(0, 344) == 344 - 344 // MIN_UPSTREAM_DIVISOR
    reserve.record_in_use(SECOND, 80)
    assert reserve.client_capacity(SECOND, 344) == 344 - 121
    reserve.record_in_use(SECOND, 300)
    assert reserve.client_capacity(SECOND, 344) == 172
    assert reserve.client_capacity(120 * SECOND, 344) == 344 - 344 // MIN_UPSTREAM_DIVISOR
