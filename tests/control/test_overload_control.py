"""Overload control in simulated time: outages of a service whose clients retry."""

import heapq
from collections import Counter
from random import Random

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from linetrack.control.overload_control import AdaptiveOverloadController, OverloadPhase
from linetrack.control.retry_schedule import MAX_SCHEDULED_RETURNS
from linetrack.policy.actions import RejectRequest
from linetrack.policy.balancer import Balancer
from linetrack.policy.events import EndpointListUpdate, ListForm, RequestReceived
from tests import helpers
from tests.control.simulated_service import START, SimulatedService, WarmingService, is_admitted
from tests.helpers import IDEMPOTENT, MS, SECOND


@pytest.mark.parametrize("obedient_share", [1.0, 0.5, 0.0])
@pytest.mark.parametrize("seed", [1, 2])
def test_a_service_recovers_from_an_outage_within_seconds_and_does_not_relapse(
    seed: int, obedient_share: float
) -> None:
    service = SimulatedService(AdaptiveOverloadController(seed), seed, obedient_share)
    service.play(60, ((10, 30),))
    assert service.seconds_to_recover(30, 0.8) <= 4
    assert service.seconds_to_recover(30) <= 6
    # no relapse: at an offered rate of 80 % of the capacity, one second may be bad, but not three in a row
    served = service.served_in_time
    min_served = 0.6 * 3 * service.rate_before_outage()
    assert all(sum(served[second + k] for k in range(3)) >= min_served for second in range(40, 56))


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_warming_service_serves_first_attempts_as_before_within_seconds(seed: int) -> None:
    """Retries, forty times as many, must not take every token; slow responses must not count as a queue."""
    service = WarmingService(seed)
    service.play(50, ((10, 30),))
    share = [service.first_attempts_in_time[n] / service.first_attempts_offered[n] for n in range(50)]
    min_share = 0.9 * sum(share[2:9]) / 7
    assert next((n for n in range(30, 49) if min(share[n], share[n + 1]) >= min_share), 99) <= 37
    assert sum(share[38:50]) / 12 >= 0.85


def test_without_the_controller_the_same_clients_keep_the_service_overloaded() -> None:
    service = SimulatedService(None, 1, 0.0)
    service.play(60, ((10, 30),))
    assert service.seconds_to_recover(30) == 99


def test_a_service_recovers_from_a_second_outage_during_recovery() -> None:
    service = SimulatedService(AdaptiveOverloadController(3), 3, 0.5)
    service.play(70, ((10, 25), (27, 35)))
    assert service.seconds_to_recover(35, 0.8) <= 8


@given(st.integers(0, 50), st.floats(0.3, 1.2))
@settings(max_examples=15, deadline=None)
def test_all_requests_are_admitted_while_the_offered_rate_grows(seed: int, peak: float) -> None:
    controller = AdaptiveOverloadController(seed)
    random = Random(seed)
    arrival = float(START)
    for n in range(3000):
        arrival += random.expovariate(20 + 100 * peak * n / 3000) * SECOND
        assert controller.admit(int(arrival), RequestReceived(n, 0, SECOND), 1.0)
        # one late response in three is normal under high load, and not an overload
        controller.record_response(int(arrival), random.random() > 0.33, True)
    assert controller.phase is OverloadPhase.NORMAL


call_lists = st.lists(
    st.tuples(
        st.sampled_from(["first_attempt", "retry", "good", "bad", "allow_retry", "retry_after"]),
        st.integers(0, 3),
        st.integers(0, 2 * SECOND) | st.integers(0, 5 * MS),
    ),
    max_size=300,
)


@given(call_lists, st.integers(0, 9))
@settings(deadline=None)
def test_memory_and_retry_times_stay_within_their_bounds_for_any_calls(
    calls: list[tuple[str, int, int]], seed: int
) -> None:
    controller = AdaptiveOverloadController(seed)
    now = START
    for call, number, delay in calls:
        now += delay
        match call:
            case "first_attempt" | "retry":
                received = RequestReceived(1, number, SECOND, is_retry=call == "retry")
                controller.admit(now, received, float(number))
            case "good" | "bad":
                controller.record_response(now, call == "good", number > 0)
            case "allow_retry":
                controller.allow_retry(now)
            case _:
                assert 0 <= controller.retry_after(now, 300 * MS, 4 * SECOND) <= 4 * SECOND
        assert 0 <= controller.tokens <= max(2.0, controller.rate_limit)
        assert 0 <= controller.retry_tokens <= 10
        assert len(controller.groups) <= 12
        assert len(controller.retry_schedule.scheduled_returns) <= MAX_SCHEDULED_RETURNS
        assert controller.phase is OverloadPhase.NORMAL or controller.rate_limit >= 2


#: Bad responses before a baseline rate is known: the limit then cannot increase by a share of that rate.
OVERLOAD_AT_START = [("good", 0, 0), *[("bad", 0, 0)] * 5, ("bad", 0, 25 * MS)]


@given(call_lists, st.integers(0, 9))
@example(OVERLOAD_AT_START, 0)
@settings(deadline=None, max_examples=40)
def test_the_controller_disengages_within_a_minute_of_good_responses_after_any_calls(
    calls: list[tuple[str, int, int]], seed: int
) -> None:
    controller = AdaptiveOverloadController(seed)
    play_calls_then_good_responses(controller, calls, START)
    assert controller.phase is OverloadPhase.NORMAL


@given(call_lists, st.integers(0, 9))
@example(OVERLOAD_AT_START, 0)
@settings(deadline=None, max_examples=40)
def test_the_controller_disengages_within_a_minute_with_a_known_baseline_rate(
    calls: list[tuple[str, int, int]], seed: int
) -> None:
    """The same property after ten normal seconds, from which the controller knows the baseline rate."""
    controller = AdaptiveOverloadController(seed)
    now = START
    for _ in range(10 * 40):
        now += SECOND // 40
        controller.admit(now, RequestReceived(1, 0, SECOND), 1.0)
        controller.record_response(now, True, True)
    play_calls_then_good_responses(controller, calls, now)
    assert controller.phase is OverloadPhase.NORMAL


@pytest.mark.parametrize("offered_rate", [1, 2, 3, 10, 40, 400])
@pytest.mark.parametrize("baseline_rate", [0, 1, 40, 400], ids="baseline rate {}".format)
@pytest.mark.parametrize("outage_seconds", [2, 30], ids="{} s of outage".format)
def test_a_recovered_service_receives_all_requests_within_a_minute_at_any_offered_rate(
    offered_rate: int, baseline_rate: int, outage_seconds: int
) -> None:
    """If the baseline rate is unknown or out of date, the limit must still increase."""
    controller = AdaptiveOverloadController(7)
    now = START
    for _ in range(30 * baseline_rate):
        now += SECOND // baseline_rate
        controller.admit(now, RequestReceived(1, 0, SECOND), 1.0)
        controller.record_response(now, True, True)
    rate = max(20, offered_rate, baseline_rate)
    for _ in range(outage_seconds * rate):
        now += SECOND // rate
        if controller.admit(now, RequestReceived(1, 0, SECOND), 1.0):
            controller.record_response(now, False, False)
    assert controller.rate_limit, "the controller did not engage"
    rejected = 0
    for second in range(70):
        for _ in range(offered_rate):
            now += SECOND // offered_rate
            if is_admitted(controller, now, False):
                controller.record_response(now, True, True)
            else:
                rejected += second >= 60
    assert controller.phase is OverloadPhase.NORMAL
    assert not rejected


def play_calls_then_good_responses(
    controller: AdaptiveOverloadController, calls: list[tuple[str, int, int]], now: int
) -> None:
    """Play the calls, then a minute in which every admitted request gets a good response."""
    for call, number, delay in calls:
        now += delay
        if call in ("first_attempt", "retry"):
            controller.admit(now, RequestReceived(1, number, SECOND), 1.0)
        else:
            controller.record_response(now, call == "good", number > 0)
    for _ in range(60 * 40):
        now += SECOND // 40
        if is_admitted(controller, now, False):
            controller.record_response(now, True, True)


def overload(controller: AdaptiveOverloadController, rate: int = 50) -> int:
    """Play ten normal seconds, then three in which every response is bad; return the time after them."""
    now = START
    for n in range(13 * rate):
        now += SECOND // rate
        if controller.admit(now, RequestReceived(n, 0, SECOND), 1.0):
            controller.record_response(now, n < 10 * rate, n < 10 * rate)
    assert controller.phase is OverloadPhase.OVERLOADED
    return now


def test_retry_times_of_rejected_clients_are_spread_over_time() -> None:
    controller = AdaptiveOverloadController(5)
    overloaded_at = overload(controller)
    rejected_at = [overloaded_at + n * 2 * MS for n in range(1000)]
    return_times = [time + controller.retry_after(time, 500 * MS, 10 * SECOND) for time in rejected_at]
    returns_by_second = Counter(time // SECOND for time in return_times)
    assert len(returns_by_second) >= 8
    assert max(returns_by_second.values()) <= 3 * len(return_times) / len(returns_by_second)


def test_scheduled_retries_are_admitted_before_early_ones_and_no_kind_starves() -> None:
    controller = AdaptiveOverloadController(6)
    now = overload(controller)
    offered = Counter[str]()
    admitted = Counter[str]()
    scheduled_returns: list[int] = []
    recently_admitted_at: list[int] = []
    for n in range(20_000):
        now += SECOND // 400
        if scheduled_returns and scheduled_returns[0] <= now:
            kind = "scheduled"
            heapq.heappop(scheduled_returns)
        else:
            kind = "first" if n % 4 == 0 else "early"
        offered[kind] += 1
        if controller.admit(now, RequestReceived(n, 0, SECOND, is_retry=kind != "first"), 1.0):
            admitted[kind] += 1
            # responses are good up to 60 requests per second, and bad above
            recently_admitted_at = [time for time in recently_admitted_at if time > now - SECOND] + [now]
            is_good = len(recently_admitted_at) <= 60
            controller.record_response(now, is_good, is_good)
        elif n % 40 == 0:
            heapq.heappush(scheduled_returns, now + controller.retry_after(now, 500 * MS, 5 * SECOND))
    shares = {kind: admitted[kind] / offered[kind] for kind in offered}
    assert shares["first"] > shares["early"] > 0
    assert shares["scheduled"] > shares["early"]


def test_a_rejected_request_makes_no_attempt_and_gets_a_retry_time() -> None:
    controller = AdaptiveOverloadController(1)
    now = overload(controller)
    balancer = Balancer(helpers.settings(), 1, controller)
    balancer.handle(now, EndpointListUpdate(ListForm.CACHED, helpers.listed_entries()))
    replies = [balancer.handle(now, RequestReceived(n, IDEMPOTENT, 2 * SECOND)) for n in range(50)]
    rejections = [actions[0] for actions in replies if isinstance(actions[0], RejectRequest)]
    assert len(rejections) > 40
    assert all(0 < rejection.retry_after <= helpers.settings().max_retry_after for rejection in rejections)
    assert len({rejection.retry_after for rejection in rejections}) > 10
