"""The limit on retries in any window."""

from __future__ import annotations

import json
from typing import Any

import pytest
from hypothesis import given, strategies
from hypothesis import settings as hypothesis_settings

from linetrack.control.settings_switch import SettingsSwitch
from linetrack.policy.actions import (
    FailRequest,
    RejectRequest,
    SetTimer,
    StartAttempt,
)
from linetrack.policy.events import (
    AttemptEnded,
    Outcome,
    RequestReceived,
    TimerFired,
)
from linetrack.policy.retry_limits import (
    HEDGE_PRICE,
    INITIAL_TOKENS,
    MAX_TOKENS,
    RETRY_PRICE,
    TOKENS_PER_REQUEST,
    RetryBudget,
    RetryWindow,
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


def retries_of_unreachable(driver: Driver, count: int, after: int = 0) -> int:
    """Return how many retries so many requests made of which every attempt finds no endpoint."""
    retries = 0
    for _ in range(count):
        request, actions = driver.start_request(after=after)
        attempt = 0
        while endpoints := sends(actions):
            actions = driver.end(request, endpoints[0], Outcome.CONNECT_FAILED, 1, attempt)
            attempt += 1
        assert any(isinstance(a, RejectRequest | FailRequest) for a in actions), (
            "given up, so answered at once"
        )
        retries += attempt - 1
    return retries


def test_attempts_that_were_never_executed_count_too() -> None:
    """26 requests in 2 s allow 4.6 retries, so 4 are made."""
    assert retries_of_unreachable(Driver(**LIMIT), 26) == 4


def test_no_limit_where_none_is_stated() -> None:
    assert retries_of_unreachable(Driver(max_attempts=6), 26) > 26


def test_the_window_slides_and_its_edges_are_read_the_strict_way() -> None:
    driver = Driver(**LIMIT)
    assert retries_of_unreachable(driver, 10) == 3
    made = driver.now
    driver.now = made + WINDOW - 20  # the last attempt is still inside, and the requests are a part of that
    assert retries_of_unreachable(driver, 1) == 0
    driver.now = made + WINDOW + 30  # the window holds one request and no retry
    assert retries_of_unreachable(driver, 1) == 2


def test_quiet_time_saves_nothing_up_for_a_burst() -> None:
    driver = Driver(**LIMIT)
    for _ in range(100):
        driver.serve()
    driver.now += 10 * WINDOW
    assert retries_of_unreachable(driver, 5) == 2


def test_hedged_attempts_and_retries_share_one_limit() -> None:
    driver = Driver(**{**LIMIT, "retry_window_allowance": 1.0, "retry_window_ratio": 0.0})
    driver.balancer.retry_budget.tokens = 8.0
    _, actions = driver.start_request()
    timer = next(a for a in actions if isinstance(a, SetTimer))
    copied = sends(driver.handle_event(TimerFired(timer.token), timer.delay))
    assert len(copied) == 1
    second, actions = driver.start_request()
    assert not sends(driver.end(second, sends(actions)[0], Outcome.CONNECT_FAILED))


def test_a_settings_switch_in_mid_window_goes_on_counting() -> None:
    driver = Driver(**LIMIT)
    assert retries_of_unreachable(driver, 10) == 3
    driver.switch_settings(**LIMIT)
    assert retries_of_unreachable(driver, 9) == 0


def test_a_settings_switch_to_a_limit_waits_until_what_came_before_is_out_of_its_window() -> None:
    driver = Driver(max_attempts=6)
    assert retries_of_unreachable(driver, 10) > 10
    driver.switch_settings(**LIMIT)
    assert retries_of_unreachable(driver, 10) == 0
    driver.now += WINDOW
    assert retries_of_unreachable(driver, 1) == 2


def test_a_new_process_goes_on_counting_and_the_old_one_stops() -> None:
    old, new = Driver(**LIMIT), Driver(**LIMIT)
    assert retries_of_unreachable(old, 10) == 3
    new.now = old.now
    first, second = SettingsSwitch(old.balancer), SettingsSwitch(new.balancer)
    values = json.loads(json.dumps(first.hand_over()))
    assert second.restore(values, new.now, True, True)
    assert retries_of_unreachable(old, 30) == 0, "what is still open there is answered without retries"
    assert retries_of_unreachable(new, 9) == 0
    assert retries_of_unreachable(new, 1) == 1, "20 requests in all allow four"
    first.resume(old.now)  # the new one has ended: what it made is not known here
    assert retries_of_unreachable(old, 30) == 0
    old.now += WINDOW
    assert retries_of_unreachable(old, 1) == 2


def test_a_process_without_a_count_waits_for_a_window() -> None:
    driver, taking = Driver(**LIMIT), Driver(max_attempts=6)
    values = SettingsSwitch(taking.balancer).hand_over()
    one = SettingsSwitch(driver.balancer)
    assert one.restore(values, driver.now, True, True)
    assert retries_of_unreachable(driver, 10) == 0, "the other had no limit and kept no count"
    driver.now += WINDOW
    assert retries_of_unreachable(driver, 1) == 2
    one.resume(driver.now)
    assert retries_of_unreachable(driver, 10) == 0


@hypothesis_settings(max_examples=150, deadline=None, derandomize=True, database=None)
@given(data=strategies.data())
def test_any_order_of_events_keeps_the_limit(data: strategies.DataObject) -> None:
    """Judged by the wording of the rule alone: every retry, over all retries and requests so far."""
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
            number, attempt, endpoint = out.pop(data.draw(strategies.integers(0, len(out) - 1)))
            failures = (Outcome.OVERLOADED, Outcome.CONNECT_FAILED, Outcome.RESET, Outcome.ERROR)
            event = AttemptEnded(
                number, attempt, endpoint, data.draw(strategies.sampled_from(failures)), 10 * MS
            )
        for action in driver.handle_event(event):
            if isinstance(action, SetTimer):
                timers.append(action.token)
            elif isinstance(action, StartAttempt):
                out.append((action.request_id, count[action.request_id], action.endpoint))
                count[action.request_id] += 1
                if count[action.request_id] > 1:
                    further.append(driver.now)
                    within = sum(at >= driver.now - window for at in further)
                    assert within <= free + ratio * sum(at > driver.now - window for at in taken)


@pytest.mark.parametrize(
    ("rules", "key", "message"),
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
def test_invalid_settings_name_their_key(rules: dict[str, Any], key: str, message: str) -> None:
    with pytest.raises(SettingsError, match=message) as raised:
        read_settings({"classes": [{"deadlineUs": 1}], "rules": rules})
    assert raised.value.key == f"rules.{key}"


def test_limits_are_off_where_settings_are_absent() -> None:
    read = read_settings({"classes": [{"deadlineUs": 1}]})
    assert not read.retry_window
    assert not read.removal_is_advisory
    rules = {"freeResends": "3", "furtherRatio": "0.25", "extraWindowUs": "5000", "goneIsAdvice": "true"}
    read = read_settings({"classes": [{"deadlineUs": 1}], "rules": rules})
    assert (read.retry_window_allowance, read.retry_window_ratio, read.retry_window) == (3.0, 0.25, 5000)
    assert read.removal_is_advisory


@given(strategies.lists(strategies.sampled_from(["request", "retry", "hedge", "refund"]), max_size=200))
def test_the_retry_budget_never_exceeds_what_requests_earned_or_its_maximum(steps: list[str]) -> None:
    budget = RetryBudget()
    earned = INITIAL_TOKENS
    for step in steps:
        if step == "request":
            budget.record_request()
            earned += TOKENS_PER_REQUEST
        elif step == "refund":
            budget.refund(HEDGE_PRICE)
            earned += HEDGE_PRICE
        elif budget.can_pay(price := RETRY_PRICE if step == "retry" else HEDGE_PRICE):
            budget.pay(price)
            earned -= price
        assert 0 <= budget.tokens <= min(MAX_TOKENS, earned + 1e-9)


def test_a_window_that_another_process_goes_on_with_allows_nothing_until_it_is_resumed() -> None:
    window = RetryWindow(helpers.settings(retry_window=WINDOW, retry_window_allowance=5.0))
    assert not window.is_exhausted(SECOND)
    window.block_forever()
    assert window.is_exhausted(1000 * SECOND)
    window.block(1000 * SECOND)
    assert window.is_exhausted(1000 * SECOND + WINDOW - 1)
    assert not window.is_exhausted(1000 * SECOND + WINDOW)
