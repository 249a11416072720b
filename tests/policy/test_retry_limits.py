"""The retry budget, and the limit on retries in any window."""

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

WINDOW_US = 2 * SECOND


RETRY_LIMIT_SETTINGS: dict[str, Any] = {
    "retry_window": WINDOW_US,
    "retry_window_allowance": 2.0,
    "retry_window_ratio": 0.1,
    "max_attempts": 6,
}


def count_retries(driver: Driver, count: int, after: int = 0) -> int:
    """Return how many retries are made for `count` requests whose attempts all fail to connect."""
    retries = 0
    for _ in range(count):
        request, actions = driver.start_request(after=after)
        attempt = 0
        while endpoints := sends(actions):
            actions = driver.end(request, endpoints[0], Outcome.CONNECT_FAILED, 1, attempt)
            attempt += 1
        assert any(isinstance(a, RejectRequest | FailRequest) for a in actions), (
            "an abandoned request gets its final response at once"
        )
        retries += attempt - 1
    return retries


def test_the_limit_counts_attempts_that_were_never_executed() -> None:
    """26 requests in 2 s allow 4.6 retries, so 4 are made."""
    assert count_retries(Driver(**RETRY_LIMIT_SETTINGS), 26) == 4


def test_retries_are_unlimited_without_a_configured_window() -> None:
    assert count_retries(Driver(max_attempts=6), 26) > 26


def test_the_window_slides_and_its_edges_are_strict() -> None:
    driver = Driver(**RETRY_LIMIT_SETTINGS)
    assert count_retries(driver, 10) == 3
    last_retry_at = driver.now
    # the last retry is still inside, but only some of the requests
    driver.now = last_retry_at + WINDOW_US - 20
    assert count_retries(driver, 1) == 0
    driver.now = last_retry_at + WINDOW_US + 30  # the window holds one request and no retry
    assert count_retries(driver, 1) == 2


def test_the_allowance_does_not_accumulate_during_quiet_periods() -> None:
    driver = Driver(**RETRY_LIMIT_SETTINGS)
    for _ in range(100):
        driver.serve()
    driver.now += 10 * WINDOW_US
    assert count_retries(driver, 5) == 2


def test_hedged_attempts_and_retries_share_one_limit() -> None:
    driver = Driver(**{**RETRY_LIMIT_SETTINGS, "retry_window_allowance": 1.0, "retry_window_ratio": 0.0})
    driver.balancer.retry_budget.tokens = 8.0
    _, actions = driver.start_request()
    timer = next(a for a in actions if isinstance(a, SetTimer))
    hedged = sends(driver.handle_event(TimerFired(timer.token), timer.delay))
    assert len(hedged) == 1
    second, actions = driver.start_request()
    assert not sends(driver.end(second, sends(actions)[0], Outcome.CONNECT_FAILED))


def test_a_settings_switch_within_a_window_keeps_the_counts() -> None:
    driver = Driver(**RETRY_LIMIT_SETTINGS)
    assert count_retries(driver, 10) == 3
    driver.switch_settings(**RETRY_LIMIT_SETTINGS)
    assert count_retries(driver, 9) == 0


def test_a_settings_switch_to_a_limit_blocks_retries_for_one_window() -> None:
    driver = Driver(max_attempts=6)
    assert count_retries(driver, 10) > 10
    driver.switch_settings(**RETRY_LIMIT_SETTINGS)
    assert count_retries(driver, 10) == 0
    driver.now += WINDOW_US
    assert count_retries(driver, 1) == 2


def test_a_new_process_continues_the_counts_and_the_old_one_makes_no_retries() -> None:
    old, new = Driver(**RETRY_LIMIT_SETTINGS), Driver(**RETRY_LIMIT_SETTINGS)
    assert count_retries(old, 10) == 3
    new.now = old.now
    first, second = SettingsSwitch(old.balancer), SettingsSwitch(new.balancer)
    values = json.loads(json.dumps(first.hand_over()))
    assert second.restore(values, new.now, True, True)
    assert count_retries(old, 30) == 0, "requests still open in the old process must not be retried"
    assert count_retries(new, 9) == 0
    assert count_retries(new, 1) == 1, "20 requests in total allow four retries"
    first.resume(old.now)  # the new process has ended, and its retries are unknown here
    assert count_retries(old, 30) == 0
    old.now += WINDOW_US
    assert count_retries(old, 1) == 2


def test_a_process_that_takes_over_without_counts_blocks_retries_for_one_window() -> None:
    driver, unlimited = Driver(**RETRY_LIMIT_SETTINGS), Driver(max_attempts=6)
    values = SettingsSwitch(unlimited.balancer).hand_over()
    switch = SettingsSwitch(driver.balancer)
    assert switch.restore(values, driver.now, True, True)
    assert count_retries(driver, 10) == 0, "the other process had no limit and kept no counts"
    driver.now += WINDOW_US
    assert count_retries(driver, 1) == 2
    switch.resume(driver.now)
    assert count_retries(driver, 10) == 0


@hypothesis_settings(max_examples=150, deadline=None, derandomize=True, database=None)
@given(data=strategies.data())
def test_the_limit_holds_for_any_order_of_events(data: strategies.DataObject) -> None:
    """Checks each retry against the text of the rule alone, with all retries and requests so far."""
    allowance, ratio = data.draw(strategies.sampled_from([(0.0, 0.5), (1.0, 0.0), (2.0, 0.1), (0.0, 0.0)]))
    window = data.draw(strategies.sampled_from([300 * MS, WINDOW_US]))
    driver = Driver(
        retry_window=window, retry_window_allowance=allowance, retry_window_ratio=ratio, max_attempts=6
    )
    arrivals: list[int] = []
    retry_times: list[int] = []
    in_flight: list[tuple[int, int, str]] = []
    attempt_counts: dict[int, int] = {}
    timers: list[str] = []
    for _ in range(40):
        driver.now += data.draw(strategies.sampled_from([0, 1, 50 * MS, window - 1, window]))
        kind = data.draw(strategies.integers(0, 5))
        event: Any = None
        if kind <= 2 or not in_flight:
            number = len(arrivals)
            arrivals.append(driver.now)
            attempt_counts[number] = 0
            event = RequestReceived(number, data.draw(strategies.integers(0, len(CLASSES) - 1)), 2 * SECOND)
        elif kind == 3 and timers:
            event = TimerFired(timers.pop(0))
        else:
            number, attempt, endpoint = in_flight.pop(data.draw(strategies.integers(0, len(in_flight) - 1)))
            failures = (Outcome.OVERLOADED, Outcome.CONNECT_FAILED, Outcome.RESET, Outcome.ERROR)
            event = AttemptEnded(
                number, attempt, endpoint, data.draw(strategies.sampled_from(failures)), 10 * MS
            )
        for action in driver.handle_event(event):
            if isinstance(action, SetTimer):
                timers.append(action.token)
            elif isinstance(action, StartAttempt):
                in_flight.append((action.request_id, attempt_counts[action.request_id], action.endpoint))
                attempt_counts[action.request_id] += 1
                if attempt_counts[action.request_id] > 1:
                    retry_times.append(driver.now)
                    retries = sum(time >= driver.now - window for time in retry_times)
                    assert retries <= allowance + ratio * sum(time > driver.now - window for time in arrivals)


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


def test_limits_are_off_without_their_settings() -> None:
    parsed = read_settings({"classes": [{"deadlineUs": 1}]})
    assert not parsed.retry_window
    assert not parsed.removal_is_advisory
    rules = {"freeResends": "3", "furtherRatio": "0.25", "extraWindowUs": "5000", "goneIsAdvice": "true"}
    parsed = read_settings({"classes": [{"deadlineUs": 1}], "rules": rules})
    assert (parsed.retry_window_allowance, parsed.retry_window_ratio, parsed.retry_window) == (
        3.0,
        0.25,
        5000,
    )
    assert parsed.removal_is_advisory


@given(strategies.lists(strategies.sampled_from(["request", "retry", "hedge", "refund"]), max_size=200))
def test_the_retry_budget_never_exceeds_the_earned_tokens_or_its_maximum(steps: list[str]) -> None:
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


def test_a_window_taken_over_by_another_process_allows_no_retries_until_it_is_resumed() -> None:
    window = RetryWindow(helpers.settings(retry_window=WINDOW_US, retry_window_allowance=5.0))
    assert not window.is_exhausted(SECOND)
    window.block_forever()
    assert window.is_exhausted(1000 * SECOND)
    window.block(1000 * SECOND)
    assert window.is_exhausted(1000 * SECOND + WINDOW_US - 1)
    assert not window.is_exhausted(1000 * SECOND + WINDOW_US)
