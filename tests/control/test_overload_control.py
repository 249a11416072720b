"""Overload control in simulated time: a service that goes down and comes back, and clients that retry."""

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
from tests.control.simulated_service import START, ColdService, SimulatedService, is_admitted
from tests.helpers import IDEMPOTENT, MS, SECOND


@pytest.mark.parametrize("obedient", [1.0, 0.5, 0.0])
@pytest.mark.parametrize("seed", [1, 2])
def test_a_service_that_was_down_serves_again_within_seconds_and_stays_so(seed: int, obedient: float) -> None:
    service = SimulatedService(AdaptiveOverloadController(seed), seed, obedient)
    service.play(60, ((10, 30),))
    assert service.seconds_to_recover(30, 0.8) <= 4
    assert service.seconds_to_recover(30) <= 6
    # no second collapse: at four fifths of the capacity one second may be poor, but not three in a row
    served = service.served_in_time
    goal = 0.6 * 3 * service.rate_before()
    assert all(sum(served[second + k] for k in range(3)) >= goal for second in range(40, 56))


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_cold_service_serves_first_attempts_as_before_within_seconds(seed: int) -> None:
    """Retries, forty times as many, would find each token first, and slow responses look like a queue."""
    service = ColdService(seed)
    service.play(50, ((10, 30),))
    share = [service.first_in_time[n] / service.first_offered[n] for n in range(50)]
    goal = 0.9 * sum(share[2:9]) / 7
    assert next((n for n in range(30, 49) if min(share[n], share[n + 1]) >= goal), 99) <= 37
    assert sum(share[38:50]) / 12 >= 0.85


def test_without_the_controller_the_same_clients_keep_the_service_down() -> None:
    service = SimulatedService(None, 1, 0.0)
    service.play(60, ((10, 30),))
    assert service.seconds_to_recover(30) == 99


def test_a_second_outage_during_recovery_is_recovered_from_too() -> None:
    service = SimulatedService(AdaptiveOverloadController(3), 3, 0.5)
    service.play(70, ((10, 25), (27, 35)))
    assert service.seconds_to_recover(35, 0.8) <= 8


@given(st.integers(0, 50), st.floats(0.3, 1.2))
@settings(max_examples=15, deadline=None)
def test_honest_growth_is_admitted_completely(seed: int, peak: float) -> None:
    controller = AdaptiveOverloadController(seed)
    random = Random(seed)
    at = float(START)
    for n in range(3000):
        at += random.expovariate(20 + 100 * peak * n / 3000) * SECOND
        assert controller.admit(int(at), RequestReceived(n, 0, SECOND), 1.0)
        # a third of all late is a busy evening, and no outage
        controller.record_response(int(at), random.random() > 0.33, True)
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
def test_whatever_comes_memory_is_bounded_and_advice_keeps_to_its_bounds(
    calls: list[tuple[str, int, int]], seed: int
) -> None:
    controller = AdaptiveOverloadController(seed)
    now = START
    for call, number, after in calls:
        now += after
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


#: Bad responses before a baseline rate is known: the limit then has nothing to increase by.
OVERLOAD_AT_START = [("good", 0, 0), *[("bad", 0, 0)] * 5, ("bad", 0, 25 * MS)]


@given(call_lists, st.integers(0, 9))
@example(OVERLOAD_AT_START, 0)
@settings(deadline=None, max_examples=40)
def test_after_any_disturbance_a_service_that_serves_well_is_given_all_within_a_minute(
    calls: list[tuple[str, int, int]], seed: int
) -> None:
    controller = AdaptiveOverloadController(seed)
    serve_well_after(controller, calls, START)
    assert controller.phase is OverloadPhase.NORMAL


@given(call_lists, st.integers(0, 9))
@example(OVERLOAD_AT_START, 0)
@settings(deadline=None, max_examples=40)
def test_after_a_disturbance_of_a_known_baseline_a_service_is_given_all_within_a_minute(
    calls: list[tuple[str, int, int]], seed: int
) -> None:
    """The property above where it holds: the controller has seen ten normal seconds before."""
    controller = AdaptiveOverloadController(seed)
    now = START
    for _ in range(10 * 40):
        now += SECOND // 40
        controller.admit(now, RequestReceived(1, 0, SECOND), 1.0)
        controller.record_response(now, True, True)
    serve_well_after(controller, calls, now)
    assert controller.phase is OverloadPhase.NORMAL


@pytest.mark.parametrize("offered", [1, 2, 3, 10, 40, 400])
@pytest.mark.parametrize("usual", [0, 1, 40, 400], ids="usual rate {}".format)
@pytest.mark.parametrize("outage", [2, 30], ids="{} s of outage".format)
def test_a_service_that_is_healthy_again_is_given_all_within_a_minute_whatever_is_offered(
    offered: int, usual: int, outage: int
) -> None:
    """Guards against a limit that has nothing to increase by: no baseline rate, or one of another time."""
    controller = AdaptiveOverloadController(7)
    now = START
    for _ in range(30 * usual):
        now += SECOND // usual
        controller.admit(now, RequestReceived(1, 0, SECOND), 1.0)
        controller.record_response(now, True, True)
    rate = max(20, offered, usual)
    for _ in range(outage * rate):
        now += SECOND // rate
        if controller.admit(now, RequestReceived(1, 0, SECOND), 1.0):
            controller.record_response(now, False, False)
    assert controller.rate_limit, "it engages"
    rejected = 0
    for second in range(70):
        for _ in range(offered):
            now += SECOND // offered
            if is_admitted(controller, now, False):
                controller.record_response(now, True, True)
            else:
                rejected += second >= 60
    assert controller.phase is OverloadPhase.NORMAL
    assert not rejected


def serve_well_after(
    controller: AdaptiveOverloadController, calls: list[tuple[str, int, int]], now: int
) -> None:
    """Play the calls, then a minute in which all that is admitted is served well."""
    for call, number, after in calls:
        now += after
        if call in ("first_attempt", "retry"):
            controller.admit(now, RequestReceived(1, number, SECOND), 1.0)
        else:
            controller.record_response(now, call == "good", number > 0)
    for _ in range(60 * 40):
        now += SECOND // 40
        if is_admitted(controller, now, False):
            controller.record_response(now, True, True)


def overload(controller: AdaptiveOverloadController, rate: int = 50) -> int:
    """Ten normal seconds, then three in which nothing is served; return the time after them."""
    now = START
    for n in range(13 * rate):
        now += SECOND // rate
        if controller.admit(now, RequestReceived(n, 0, SECOND), 1.0):
            controller.record_response(now, n < 10 * rate, n < 10 * rate)
    assert controller.phase is OverloadPhase.OVERLOADED
    return now


def test_advice_brings_clients_back_spread_over_time_and_never_in_one_wave() -> None:
    controller = AdaptiveOverloadController(5)
    overloaded_at = overload(controller)
    rejected_at = [overloaded_at + n * 2 * MS for n in range(1000)]
    times = [at + controller.retry_after(at, 500 * MS, 10 * SECOND) for at in rejected_at]
    seconds = Counter(at // SECOND for at in times)
    assert len(seconds) >= 8
    assert max(seconds.values()) <= 3 * len(times) / len(seconds)


def test_retries_that_waited_go_before_those_that_did_not_and_none_starves() -> None:
    controller = AdaptiveOverloadController(6)
    now = overload(controller)
    offered = Counter[str]()
    admitted = Counter[str]()
    scheduled: list[int] = []
    admitted_lately: list[int] = []
    for n in range(20_000):
        now += SECOND // 400
        if scheduled and scheduled[0] <= now:
            kind = "scheduled"
            heapq.heappop(scheduled)
        else:
            kind = "first" if n % 4 == 0 else "early"
        offered[kind] += 1
        if controller.admit(now, RequestReceived(n, 0, SECOND, is_retry=kind != "first"), 1.0):
            admitted[kind] += 1
            # sixty a second are served well, what is above that is not
            admitted_lately = [at for at in admitted_lately if at > now - SECOND] + [now]
            is_good = len(admitted_lately) <= 60
            controller.record_response(now, is_good, is_good)
        elif n % 40 == 0:
            heapq.heappush(scheduled, now + controller.retry_after(now, 500 * MS, 5 * SECOND))
    shares = {kind: admitted[kind] / offered[kind] for kind in offered}
    assert shares["first"] > shares["early"] > 0
    assert shares["scheduled"] > shares["early"]


def test_a_rejected_request_costs_no_attempt_and_is_asked_to_return() -> None:
    controller = AdaptiveOverloadController(1)
    now = overload(controller)
    balancer = Balancer(helpers.settings(), 1, controller)
    balancer.handle(now, EndpointListUpdate(ListForm.CACHED, helpers.listed_entries()))
    answers = [balancer.handle(now, RequestReceived(n, IDEMPOTENT, 2 * SECOND)) for n in range(50)]
    rejections = [actions[0] for actions in answers if isinstance(actions[0], RejectRequest)]
    assert len(rejections) > 40
    assert all(0 < one.retry_after <= helpers.settings().max_retry_after for one in rejections)
    assert len({one.retry_after for one in rejections}) > 10
