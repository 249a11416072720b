"""The estimate of the share of the fleet's traffic that one instance carries."""

from __future__ import annotations

import pytest

from linetrack.policy.actions import StartAttempt
from linetrack.policy.balancer import Balancer
from linetrack.policy.decaying_average import DecayingAverage
from linetrack.policy.endpoint import Endpoint
from linetrack.policy.events import (
    AttemptEnded,
    EndpointEntry,
    EndpointListUpdate,
    ListForm,
    Outcome,
    RequestReceived,
)
from linetrack.policy.settings import LoadField
from linetrack.policy.time_units import SECOND
from linetrack.policy.traffic_share import EVEN_SHARE_WEIGHT, SEND_DECAY_TIME, SHARE_LIFETIME, TrafficShare
from tests.helpers import IDEMPOTENT, MS, settings

BEGIN_US = 1000 * SECOND
ENDPOINTS = [Endpoint(EndpointEntry(f"u{n}", host_class=n % 2)) for n in range(10)]


def reported(rate: float) -> dict[int, DecayingAverage]:
    """Return the rates if both host classes report this rate per endpoint, in requests per second."""
    rates = {0: DecayingAverage(), 1: DecayingAverage()}
    for average in rates.values():
        average.add(BEGIN_US, rate / SECOND)
    return rates


def estimate_after(instances: int, sends: int, rate: float) -> float:
    """Return the estimate after this number of evenly spaced sends and with reported rates."""
    share, duration = TrafficShare(instances), 4 * SEND_DECAY_TIME
    for n in range(sends):
        share.record_send(BEGIN_US + n * duration // sends)
    return share.estimate(BEGIN_US + duration, ENDPOINTS, reported(rate))


def test_an_instance_with_more_traffic_has_the_larger_share() -> None:
    even, measured = 1 / 40, 0.2
    # for 20 s, a fifth of the 100 requests per second that ten endpoints report together
    assert estimate_after(40, 400, 10.0) == pytest.approx(
        EVEN_SHARE_WEIGHT * even + (1 - EVEN_SHARE_WEIGHT) * measured, rel=0.1
    )


@pytest.mark.parametrize("rates", [(1.0, 2.0, 3.0, 14.0), (5.0, 5.0, 5.0, 5.0), (0.1, 0.1, 0.1, 19.7)])
def test_the_shares_of_all_instances_add_up_to_about_one(rates: tuple[float, ...]) -> None:
    shares = [
        estimate_after(len(rates), int(rate * 4 * SEND_DECAY_TIME / SECOND), sum(rates) / len(ENDPOINTS))
        for rate in rates
    ]
    assert sum(shares) == pytest.approx(1.0, abs=0.1)


def test_the_share_is_even_until_every_host_class_of_warm_endpoints_has_reported() -> None:
    """With no rates, or with rates of only some endpoints, the estimated share would be far too large."""
    share = TrafficShare(8)
    share.record_send(BEGIN_US)
    assert share.estimate(BEGIN_US, ENDPOINTS, {}) == 1 / 8
    partial_rates = {0: reported(10.0)[0]}
    assert share.estimate(BEGIN_US + SHARE_LIFETIME, ENDPOINTS, partial_rates) == 1 / 8
    assert share.estimate(BEGIN_US + 2 * SHARE_LIFETIME, [], reported(10.0)) == 1 / 8


def test_the_shares_of_lost_instances_are_not_reassigned_at_once() -> None:
    """The remaining instances would claim all traffic, while restarted ones claim the even share."""
    share = TrafficShare(10)
    for n in range(100):
        share.record_send(BEGIN_US + n * 200 * MS)
    now = BEGIN_US + 20 * SECOND
    before = share.estimate(now, ENDPOINTS, reported(10.0))
    # nine of ten instances have ended with their traffic, so the total rate falls to this instance's own
    assert share.estimate(now + SHARE_LIFETIME, ENDPOINTS, reported(0.5)) < 1.3 * before


def test_the_estimate_is_cached() -> None:
    """Iterating over every endpoint for each decision about a warming one would take too long."""
    share = TrafficShare(4)
    first = share.estimate(BEGIN_US, ENDPOINTS, reported(10.0))
    for _ in range(100):
        share.record_send(BEGIN_US)
    assert share.estimate(BEGIN_US + SHARE_LIFETIME - 1, ENDPOINTS, reported(10.0)) == first
    assert share.estimate(BEGIN_US + SHARE_LIFETIME, ENDPOINTS, reported(10.0)) > first


def warming_sends(share_of_traffic: float) -> int:
    """Return how often one of 40 instances sends to a warming endpoint; nine other endpoints are warm."""
    fleet_rate, arrivals = 270.0, 1500
    balancer = Balancer(
        settings(
            instance_count=40,
            load_report_fields=(LoadField.REQUEST_RATE,),
            slow_start_initial_fraction=0.3,
            slow_start_duration=60 * SECOND,
            overload_multiple=3.0,
            overload_window=SECOND,
        ),
        7,
    )
    warm = tuple(EndpointEntry(f"warm{n}") for n in range(9))
    balancer.handle(BEGIN_US, EndpointListUpdate(ListForm.CACHED, warm))
    now, sent, starts_at = BEGIN_US, 0, BEGIN_US + 5 * SECOND
    for number in range(1, arrivals + 1):
        now += int(SECOND / (fleet_rate * share_of_traffic))
        if balancer.endpoints.get("warming") is None and now > starts_at:
            balancer.handle(
                now, EndpointListUpdate(ListForm.DELTA, (EndpointEntry("warming", started_at=now),))
            )
        for action in balancer.handle(now, RequestReceived(number, IDEMPOTENT, 2 * SECOND)):
            if isinstance(action, StartAttempt):
                sent += action.endpoint == "warming"
                latency = 40 * MS if action.endpoint == "warming" else 20 * MS
                report = (fleet_rate / 9,)
                ended = AttemptEnded(number, 0, action.endpoint, Outcome.SUCCESS, latency, True, report)
                balancer.handle(now + latency, ended)
        if now > starts_at + 10 * SECOND:
            break
    return sent


def test_an_instance_sends_to_a_warming_endpoint_in_proportion_to_its_traffic() -> None:
    """Equal shares would be too large for instances with little traffic and too small for the busiest one.

    With a fifth of all traffic, the busiest one would reject requests while warming endpoints are idle.
    """
    assert warming_sends(0.2) > 3 * warming_sends(0.02) > 0
