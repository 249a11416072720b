"""Long bodies in the policy: a response that has started, and a request whose body is streamed."""

from __future__ import annotations

from linetrack.policy.actions import CancelAttempt, RejectRequest, SetTimer
from linetrack.policy.events import Outcome, RequestBodySent, RequestReceived, ResponseStarted, TimerFired
from tests.helpers import KEYED, MS, SAFE, SECOND, Driver, sends


def test_a_started_response_cancels_other_attempts_and_is_no_load() -> None:
    driver = Driver(slow_start_duration=0)
    for _ in range(30):
        driver.serve()
    number, actions = driver.ask(SAFE)
    (timer,) = [a for a in actions if isinstance(a, SetTimer)]
    (first,) = sends(actions)
    driver.balancer.budget = 8.0
    copies = driver.feed(TimerFired(timer.token), timer.delay)
    assert len(sends(copies)) == 1
    begun = driver.feed(ResponseStarted(number, 0, first, 50 * MS))
    assert begun == [CancelAttempt(number, 1)]
    upstream = driver.balancer.fleet[first]
    assert not upstream.out
    driver.end(number, sends(copies)[0], Outcome.CANCELLED, attempt=1)
    assert number in driver.balancer.requests
    late = driver.balancer.late.value
    driver.now += 20 * SECOND
    driver.end(number, first)
    assert number not in driver.balancer.requests
    assert not driver.balancer.orphans
    assert driver.balancer.late.value <= late, "its first bytes were in time"


def test_a_streamed_body_is_sent_once_and_its_time_starts_with_its_last_byte() -> None:
    driver = Driver(slow_start_duration=0)
    for _ in range(30):
        driver.serve(KEYED)
    driver.count += 1
    number = driver.count
    actions = driver.feed(RequestReceived(number, KEYED, 2 * SECOND, is_replayable=False))
    (first,) = sends(actions)
    upstream = driver.balancer.fleet[first]
    assert not upstream.out, "what is still being written is no load"
    for timer in [a for a in actions if isinstance(a, SetTimer)]:
        assert not sends(driver.feed(TimerFired(timer.token), timer.delay))
    driver.feed(RequestBodySent(number, 0), 20 * SECOND)
    assert len(upstream.out) == 1
    assert driver.balancer.requests[number].until == driver.now + 2 * SECOND
    ended = driver.end(number, first, Outcome.CONNECT_FAILED)
    assert [type(action) for action in ended] == [RejectRequest]
