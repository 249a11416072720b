"""The limit on further attempts in any window, and drains where being gone is advice only."""

from __future__ import annotations

import json
from typing import Any

import pytest
from hypothesis import given, settings, strategies

from linetrack.control import settings_switch as handover
from linetrack.policy.actions import FailRequest, RejectRequest, SetTimer, StartAttempt
from linetrack.policy.events import (
    AttemptEnded,
    EndpointEntry,
    EndpointListUpdate,
    EndpointStatus,
    ListForm,
    Outcome,
    RequestReceived,
    TimerFired,
)
from linetrack.settings import SettingsError, read_settings
from tests import helpers
from tests.helpers import CLASSES, MS, SECOND, Driver, sends

WINDOW = 2 * SECOND
LIMIT: dict[str, Any] = {
    "retry_window": WINDOW,
    "retry_window_allowance": 2.0,
    "retry_window_ratio": 0.1,
    "max_attempts": 6,
}


def unreachable(driver: Driver, count: int, after: int = 0) -> int:
    """So many requests of which every attempt finds no upstream; how many further attempts they made."""
    further = 0
    for _ in range(count):
        request, actions = driver.ask(after=after)
        attempt = 0
        while upstreams := sends(actions):
            actions = driver.end(request, upstreams[0], Outcome.CONNECT_FAILED, 1, attempt)
            attempt += 1
        assert any(isinstance(a, RejectRequest | FailRequest) for a in actions), (
            "given up, so answered at once"
        )
        further += attempt - 1
    return further


def test_attempts_that_never_ran_count_too() -> None:
    """As reported: 26 requests in 2 s allow 4.6 further attempts, and 5 were made."""
    assert unreachable(Driver(**LIMIT), 26) == 4


def test_no_limit_where_none_is_stated() -> None:
    assert unreachable(Driver(max_attempts=6), 26) > 26


def test_the_window_slides_and_its_edges_are_read_the_strict_way() -> None:
    driver = Driver(**LIMIT)
    assert unreachable(driver, 10) == 3
    made = driver.now
    driver.now = made + WINDOW - 20  # the last attempt is still inside, and the requests are a part of that
    assert unreachable(driver, 1) == 0
    driver.now = made + WINDOW + 30  # the window holds one request and no further attempt
    assert unreachable(driver, 1) == 2


def test_quiet_saves_nothing_up_for_a_burst() -> None:
    driver = Driver(**LIMIT)
    for _ in range(100):
        driver.serve()
    driver.now += 10 * WINDOW
    assert unreachable(driver, 5) == 2


def test_copies_and_other_tries_share_one_limit() -> None:
    driver = Driver(**{**LIMIT, "retry_window_allowance": 1.0, "retry_window_ratio": 0.0})
    driver.balancer.budget = 8.0
    _, actions = driver.ask()
    timer = next(a for a in actions if isinstance(a, SetTimer))
    copied = sends(driver.feed(TimerFired(timer.token), timer.delay))
    assert len(copied) == 1
    second, actions = driver.ask()
    assert not sends(driver.end(second, sends(actions)[0], Outcome.CONNECT_FAILED))


def heir(driver: Driver, **changes: Any) -> None:
    driver.balancer = handover.make_successor(driver.balancer, helpers.settings(**changes))


def test_a_switch_in_mid_window_goes_on_counting() -> None:
    driver = Driver(**LIMIT)
    assert unreachable(driver, 10) == 3
    heir(driver, **LIMIT)
    assert unreachable(driver, 9) == 0


def test_a_switch_to_a_limit_waits_until_what_came_before_is_out_of_its_window() -> None:
    driver = Driver(max_attempts=6)
    assert unreachable(driver, 10) > 10
    heir(driver, **LIMIT)
    assert unreachable(driver, 10) == 0
    driver.now += WINDOW
    assert unreachable(driver, 1) == 2


def test_a_replaced_process_goes_on_counting_and_the_old_one_stops() -> None:
    old, new = Driver(**LIMIT), Driver(**LIMIT)
    assert unreachable(old, 10) == 3
    new.now = old.now
    first, second = handover.SettingsSwitch(old.balancer), handover.SettingsSwitch(new.balancer)
    values = json.loads(json.dumps(first.learnt()))
    assert second.restore(values, new.now, True, True)
    assert unreachable(old, 30) == 0, "what is still open there is answered without further attempts"
    assert unreachable(new, 9) == 0 and unreachable(new, 1) == 1, "20 requests in all allow four"
    first.alone(old.now)  # the new one has ended: what it made is not known here
    assert unreachable(old, 30) == 0
    old.now += WINDOW
    assert unreachable(old, 1) == 2


def test_a_process_that_is_told_nothing_waits_for_a_window() -> None:
    driver, taking = Driver(**LIMIT), Driver(max_attempts=6)
    told = handover.SettingsSwitch(taking.balancer).learnt()
    one = handover.SettingsSwitch(driver.balancer)
    assert one.restore(told, driver.now, True, True)
    assert unreachable(driver, 10) == 0, "the other had no limit and kept no count"
    driver.now += WINDOW
    assert unreachable(driver, 1) == 2
    one.alone(driver.now)
    assert unreachable(driver, 10) == 0


@settings(max_examples=150, deadline=None, derandomize=True, database=None)
@given(data=strategies.data())
def test_any_order_of_events_keeps_the_limit(data: strategies.DataObject) -> None:
    """Judged apart, by the wording of the rule: every further send, over all that was sent and taken."""
    free, ratio = data.draw(strategies.sampled_from([(0.0, 0.5), (1.0, 0.0), (2.0, 0.1), (0.0, 0.0)]))
    window = data.draw(strategies.sampled_from([300 * MS, WINDOW]))
    driver = Driver(
        retry_window=window, retry_window_allowance=free, retry_window_ratio=ratio, max_attempts=6
    )
    taken: list[int] = []
    further: list[int] = []
    out: list[tuple[int, int, str]] = []
    count: dict[int, int] = {}
    timers: list[str] = []
    for _ in range(40):
        driver.now += data.draw(strategies.sampled_from([0, 1, 50 * MS, window - 1, window]))
        kind = data.draw(strategies.integers(0, 5))
        event: Any = None
        if kind <= 2 or not out:
            number = len(taken)
            taken.append(driver.now)
            count[number] = 0
            event = RequestReceived(number, data.draw(strategies.integers(0, len(CLASSES) - 1)), 2 * SECOND)
        elif kind == 3 and timers:
            event = TimerFired(timers.pop(0))
        else:
            number, attempt, upstream = out.pop(data.draw(strategies.integers(0, len(out) - 1)))
            failures = (Outcome.OVERLOADED, Outcome.CONNECT_FAILED, Outcome.RESET, Outcome.ERROR)
            event = AttemptEnded(
                number, attempt, upstream, data.draw(strategies.sampled_from(failures)), 10 * MS
            )
        for action in driver.feed(event):
            if isinstance(action, SetTimer):
                timers.append(action.token)
            elif isinstance(action, StartAttempt):
                out.append((action.request_id, count[action.request_id], action.endpoint))
                count[action.request_id] += 1
                if count[action.request_id] > 1:
                    further.append(driver.now)
                    within = sum(at >= driver.now - window for at in further)
                    assert within <= free + ratio * sum(at > driver.now - window for at in taken)


def told(driver: Driver, health: EndpointStatus, name: str = "h0", started: int = 0) -> None:
    driver.feed(EndpointListUpdate(ListForm.DELTA, (EndpointEntry(name, status=health, started_at=started),)))


def share(driver: Driver, name: str, down: bool = False) -> int:
    """Of 100 requests, how many went there; it answers, or is down."""
    went = 0
    for _ in range(100):
        driver.now += 50 * MS
        request, actions = driver.ask()
        attempt = 0
        while upstreams := sends(actions):
            went += upstreams[0] == name
            fails = down and upstreams[0] == name
            how = Outcome.CONNECT_FAILED if fails else Outcome.SUCCESS
            actions = driver.end(request, upstreams[0], how, 50 * MS, attempt)
            attempt += 1
    return went


@pytest.mark.parametrize("left_out", [False, True])
def test_gone_is_advice_where_the_settings_say_so(left_out: bool) -> None:
    for advice in (False, True):
        driver = Driver(removal_is_advisory=advice)
        if left_out:
            driver.feed(EndpointListUpdate(ListForm.SNAPSHOT, helpers.fleet()[1:]))
        else:
            told(driver, EndpointStatus.REMOVED)
        assert (share(driver, "h0") > 10) is advice


def test_one_that_is_gone_indeed_costs_few_trials_and_is_forgotten() -> None:
    driver = Driver(removal_is_advisory=True, entries=helpers.fleet(2, 0), max_attempts=1)
    told(driver, EndpointStatus.REMOVED)
    went = 0
    for _ in range(100):
        went += share(driver, "h0", down=True)
        if "h0" not in driver.balancer.fleet:
            break
    assert 0 < went <= 5 and "h0" not in driver.balancer.fleet


def test_one_that_drained_stays_barred_until_it_has_started_again() -> None:
    driver = Driver(removal_is_advisory=True, slow_start_duration=0)
    told(driver, EndpointStatus.DRAINING)
    told(driver, EndpointStatus.REMOVED)
    driver.feed(EndpointListUpdate(ListForm.SNAPSHOT, helpers.fleet()[1:]))
    assert not share(driver, "h0")
    told(driver, EndpointStatus.UP)
    assert not share(driver, "h0"), "the same process"
    told(driver, EndpointStatus.UP, started=driver.now - 60 * SECOND)
    assert share(driver, "h0") > 10


def test_records_of_all_that_ever_was_are_bounded_and_hold_a_fleet_of_1024() -> None:
    """Guards against records for ever, and against a bound that forgets half of a large fleet at once."""
    driver = Driver(removal_is_advisory=True, entries=())
    for generation in range(4):
        fleet = tuple(EndpointEntry(f"{generation}-{n}") for n in range(1024))
        driver.feed(EndpointListUpdate(ListForm.SNAPSHOT, fleet))
        driver.feed(EndpointListUpdate(ListForm.SNAPSHOT, ()))
        assert all(entry.endpoint in driver.balancer.fleet for entry in fleet)
    driver.feed(EndpointListUpdate(ListForm.SNAPSHOT, tuple(EndpointEntry(f"4-{n}") for n in range(1024))))
    assert 2 * 1024 <= len(driver.balancer.fleet) <= 3 * 1024


def test_where_gone_binds_again_it_binds_from_the_switch_on() -> None:
    driver = Driver(removal_is_advisory=True)
    told(driver, EndpointStatus.REMOVED)
    heir(driver)
    assert not share(driver, "h0")


@pytest.mark.parametrize(
    ("rules", "key", "line"),
    [
        ({"freeResends": 2}, "extraWindowUs", "extraWindowUs is missing"),
        ({"furtherRatio": 0.1, "extraWindowUs": 0}, "extraWindowUs", "extraWindowUs: 0 is under 1"),
        ({"freeResends": -1, "extraWindowUs": 1}, "freeResends", "freeResends: -1 is under 0"),
        (
            {"furtherRatio": "many", "extraWindowUs": 1},
            "furtherRatio",
            "furtherRatio: 'many' is not a number",
        ),
        ({"goneIsAdvice": 3}, "goneIsAdvice", "goneIsAdvice: 3 is not true or false"),
    ],
)
def test_invalid_settings_name_their_key(rules: dict[str, Any], key: str, line: str) -> None:
    with pytest.raises(SettingsError, match=line) as raised:
        read_settings({"classes": [{"deadlineUs": 1}], "rules": rules})
    assert raised.value.key == f"rules.{key}"


def test_settings_are_neutral_when_absent() -> None:
    read = read_settings({"classes": [{"deadlineUs": 1}]})
    assert not read.retry_window and not read.removal_is_advisory
    told = {"freeResends": "3", "furtherRatio": "0.25", "extraWindowUs": "5000", "goneIsAdvice": "true"}
    read = read_settings({"classes": [{"deadlineUs": 1}], "rules": told})
    assert (read.retry_window_allowance, read.retry_window_ratio, read.retry_window) == (3.0, 0.25, 5000)
    assert read.removal_is_advisory


def test_what_is_open_at_a_switch_sees_drains_that_its_heir_was_told_of() -> None:
    """The old instance kept a list of its own: its next attempt chose one that drained, and gave up."""
    driver = Driver(slow_start_duration=0)
    request, actions = driver.ask()
    first, old = sends(actions)[0], driver.balancer
    heir(driver, slow_start_duration=0)
    left = next(name for name in old.fleet if name != first)
    listed = tuple(entry for entry in helpers.fleet() if entry.endpoint in (first, left))
    driver.feed(EndpointListUpdate(ListForm.SNAPSHOT, listed))
    told(driver, EndpointStatus.DRAINING, first)
    ended = AttemptEnded(request, 0, first, Outcome.CONNECT_FAILED, MS)
    assert sends(old.handle(driver.now, ended)) == [left]
