"""The estimate of the share of the fleet's traffic that one instance carries."""

from __future__ import annotations

import pytest

from linetrack.policy.traffic_share import EVEN_WEIGHT, RENEW_AFTER, WINDOW, TrafficShare
from linetrack.policy.decaying_average import SECOND, Evidence
from linetrack.policy.actions import StartAttempt
from linetrack.policy.events import (
    AttemptEnded,
    EndpointEntry,
    EndpointListUpdate,
    ListForm,
    Outcome,
    RequestReceived,
)
from linetrack.policy.settings import LoadField
from linetrack.policy.records import Upstream
from linetrack.policy.balancer import Balancer
from tests.helpers import MS, SAFE, settings

BEGIN = 1000 * SECOND
UPSTREAMS = [Upstream(EndpointEntry(f"u{n}", host_class=n % 2)) for n in range(10)]


def reported(rate: float) -> dict[int, Evidence]:
    """Both kinds report this rate, in requests a second, for each of their upstreams."""
    rates = {0: Evidence(), 1: Evidence()}
    for evidence in rates.values():
        evidence.add(BEGIN, rate / SECOND)
    return rates


def after(instances: int, sends: int, rate: float) -> float:
    """The estimate after so many evenly spaced sends in several windows, rates reported all along."""
    share, span = TrafficShare(instances), 4 * WINDOW
    for n in range(sends):
        share.sent(BEGIN + n * span // sends)
    return share.estimate(BEGIN + span, UPSTREAMS, reported(rate))


def test_an_instance_with_more_traffic_has_the_larger_share() -> None:
    even, measured = 1 / 40, 0.2
    # a fifth of the 100 requests a second that ten upstreams report together, for 20 s
    assert after(40, 400, 10.0) == pytest.approx(EVEN_WEIGHT * even + (1 - EVEN_WEIGHT) * measured, rel=0.1)


@pytest.mark.parametrize("rates", [(1.0, 2.0, 3.0, 14.0), (5.0, 5.0, 5.0, 5.0), (0.1, 0.1, 0.1, 19.7)])
def test_the_shares_of_all_instances_add_up_to_about_one(rates: tuple[float, ...]) -> None:
    shares = [
        after(len(rates), int(rate * 4 * WINDOW / SECOND), sum(rates) / len(UPSTREAMS)) for rate in rates
    ]
    assert sum(shares) == pytest.approx(1.0, abs=0.1)


def test_the_share_is_even_until_every_kind_of_warm_upstream_has_reported() -> None:
    """Guards against a share of nothing, and of a part of the fleet taken for all of it."""
    share = TrafficShare(8)
    share.sent(BEGIN)
    assert share.estimate(BEGIN, UPSTREAMS, {}) == 1 / 8
    only = {0: reported(10.0)[0]}
    assert share.estimate(BEGIN + RENEW_AFTER, UPSTREAMS, only) == 1 / 8
    assert share.estimate(BEGIN + 2 * RENEW_AFTER, [], reported(10.0)) == 1 / 8


def test_a_fleet_that_loses_instances_does_not_hand_out_their_shares_at_once() -> None:
    """Guards against survivors that take all, while those that start again claim the even share."""
    share = TrafficShare(10)
    for n in range(100):
        share.sent(BEGIN + n * 200 * MS)
    now = BEGIN + 20 * SECOND
    before = share.estimate(now, UPSTREAMS, reported(10.0))
    # nine in ten are gone, with their traffic: what is served falls to this instance's own
    assert share.estimate(now + RENEW_AFTER, UPSTREAMS, reported(0.5)) < 1.3 * before


def test_the_estimate_is_renewed_once_in_a_while_alone() -> None:
    """Guards against a look at every upstream for each decision about a cold one."""
    share = TrafficShare(4)
    first = share.estimate(BEGIN, UPSTREAMS, reported(10.0))
    for _ in range(100):
        share.sent(BEGIN)
    assert share.estimate(BEGIN + RENEW_AFTER - 1, UPSTREAMS, reported(10.0)) == first
    assert share.estimate(BEGIN + RENEW_AFTER, UPSTREAMS, reported(10.0)) > first


def cold_sends(share_of_traffic: float) -> int:
    """Sends to one cold upstream beside nine warm ones, by one of 40 instances with this share of all."""
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
    balancer.handle(BEGIN, EndpointListUpdate(ListForm.CACHED, warm))
    now, sent, cold_at = BEGIN, 0, BEGIN + 5 * SECOND
    for number in range(1, arrivals + 1):
        now += int(SECOND / (fleet_rate * share_of_traffic))
        if balancer.fleet.get("cold") is None and now > cold_at:
            balancer.handle(now, EndpointListUpdate(ListForm.DELTA, (EndpointEntry("cold", started_at=now),)))
        for action in balancer.handle(now, RequestReceived(number, SAFE, 2 * SECOND)):
            if isinstance(action, StartAttempt):
                sent += action.endpoint == "cold"
                took = 40 * MS if action.endpoint == "cold" else 20 * MS
                report = (fleet_rate / 9,)
                ended = AttemptEnded(number, 0, action.endpoint, Outcome.SUCCESS, took, True, report)
                balancer.handle(now + took, ended)
        if now > cold_at + 10 * SECOND:
            break
    return sent


def test_a_cold_upstream_is_sent_to_by_an_instance_in_proportion_to_its_traffic() -> None:
    """Guards against equal parts of a cold upstream's budget: light instances left theirs unused, and the
    heaviest, with a fifth of all traffic, turned requests away while cold upstreams stood idle."""
    assert cold_sends(0.2) > 3 * cold_sends(0.02) > 0
