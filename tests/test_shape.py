"""Deployments of other shapes: sizes that move with load, connections that are few, tenants, repeats, resets.

Each test is a failure that was seen at a deployment, made small; the figures are made up.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

import pytest

from linetrack.policy.actions import CloseIdleConnections, RejectRequest, SetTimer
from linetrack.policy.events import (
    EndpointEntry,
    EndpointListUpdate,
    ListForm,
    Outcome,
    RequestReceived,
    TimerFired,
)
from linetrack.policy.settings import LoadField
from tests.helpers import MS, SAFE, SECOND, UNSAFE, Driver, fleet, sends


def listed(sizes: dict[str, float], kinds: dict[str, int] | None = None) -> EndpointListUpdate:
    kinds = kinds or {}
    entries = (EndpointEntry(name, host_class=kinds.get(name, 0), capacity=size) for name, size in sizes.items())
    return EndpointListUpdate(ListForm.DELTA, tuple(entries))


# --- Sizes that move with load ------------------------------------------------------------------------


def live(sizes: dict[str, float], kinds: dict[str, int] | None = None) -> Driver:
    driver = Driver(entries=(), capacity_varies_with_load=True, load_report_fields=(LoadField.UTILIZATION, LoadField.IN_FLIGHT), slow_start_duration=0)
    driver.feed(listed(sizes, kinds))
    return driver


def test_a_size_that_moves_with_load_is_parted_into_size_and_load() -> None:
    kinds = {"a": 0, "b": 1}
    driver = live({"a": 2.0, "b": 0.5}, kinds)
    driver.feed(listed({"a": 0.5, "b": 0.5}, kinds), SECOND)
    a, b = (driver.balancer.fleet[name] for name in "ab")
    assert (a.size, b.size) == (2.0, 0.5)
    assert 0 < a.others <= 3.0 and b.others == 0.0


def test_one_late_list_does_not_turn_all_traffic() -> None:
    # guards against every instance following one list: a load seen once moves shares by less than it says
    driver = live(dict.fromkeys("abcd", 1.0))
    driver.feed(listed({"a": 1 / 7, "b": 1.0, "c": 1.0, "d": 1.0}), SECOND)
    got = Counter(driver.serve(latency=1) for _ in range(400))
    assert got["a"] > 15, got
    assert got["a"] < min(got[name] for name in "bcd")


def test_a_load_that_stays_is_believed_and_work_there_becomes_dear() -> None:
    driver = live(dict.fromkeys("ab", 1.0))
    for _ in range(20):
        driver.serve(latency=40 * MS)
    for _ in range(12):
        driver.feed(listed({"a": 1 / 9, "b": 1.0}), SECOND)
    got = Counter(driver.serve(latency=1) for _ in range(200))
    assert got["a"] < 10, got


def test_what_is_no_positive_size_tells_no_load() -> None:
    driver = live({"a": 1.0, "b": 1.0})
    driver.feed(listed({"a": 0.0, "b": float("nan")}), SECOND)
    assert all(u.others == 0.0 and u.size == 1.0 for u in driver.balancer.fleet.values())


# --- Connections that are few -------------------------------------------------------------------------


def reached(instance: int, refusing: frozenset[str] = frozenset()) -> Counter[str]:
    """Where an instance's requests go, and how often it tried where no place was."""
    driver = Driver(
        seed=instance, entries=fleet(24, 0), max_streams_per_connection=100, keep_alive_timeout=60 * SECOND, instance=instance, slow_start_duration=0
    )
    got: Counter[str] = Counter()

    def answer(name: str) -> tuple[Outcome, int]:
        got[name] += 1
        return (Outcome.CONNECT_FAILED, MS) if name in refusing else (Outcome.SUCCESS, 20 * MS)

    for _ in range(150):
        driver.finish(answer)
    return got


def test_an_instance_keeps_to_some_upstreams_where_a_connection_carries_many() -> None:
    sets = [set(reached(instance)) for instance in range(12)]
    assert max(map(len, sets)) <= 14
    assert set.union(*sets) == {f"h{n}" for n in range(24)}, "some upstream is nobody's"
    assert len(set(map(frozenset, sets))) > 6, "instances crowd on the same ones"


def test_where_a_connection_carries_one_request_all_are_used() -> None:
    driver = Driver(entries=fleet(24, 0), slow_start_duration=0)
    assert len({driver.serve() for _ in range(400)}) == 24


def test_places_that_are_full_are_dialled_less_and_less() -> None:
    full = frozenset(f"h{n}" for n in range(0, 24, 2))
    got = [reached(instance, full) for instance in range(8)]
    tried = sum(count for one in got for name, count in one.items() if name in full)
    assert tried < 0.12 * sum(sum(one.values()) for one in got), tried


# --- Tenants ------------------------------------------------------------------------------------------


def test_a_tenant_beyond_its_share_is_worth_less_and_one_within_keeps_its_worth() -> None:
    driver = Driver(tenant_quotas=(30.0, 30.0), over_quota_weight=0.1, instance_count=3, slow_start_duration=0)
    within = {}
    for number in range(600):
        tenant = int(number % 12 == 0)
        driver.feed(RequestReceived(number, SAFE, SECOND, tenant), 10 * MS)
        if number in driver.balancer.requests:
            within[tenant] = driver.balancer.requests[number].within
    assert within[1] == 1.0
    assert 0.1 < within[0] < 0.4


def test_repeats_do_not_count_as_a_tenants_traffic() -> None:
    driver = Driver(tenant_quotas=(30.0,), over_quota_weight=0.1, instance_count=3, slow_start_duration=0)
    for number in range(300):
        driver.feed(RequestReceived(number, SAFE, SECOND, 0, is_retry=number % 10 != 0), 10 * MS)
    assert driver.balancer._within(RequestReceived(999, SAFE, SECOND, 0)) == 1.0


# --- Repeats and copies -------------------------------------------------------------------------------


def test_a_repeat_with_less_time_than_first_tries_is_judged_by_what_its_first_try_used() -> None:
    driver = Driver(slow_start_duration=0)
    driver.ask(patience=SECOND)
    driver.feed(RequestReceived(7, SAFE, 800 * MS, is_retry=True), 10 * MS)
    driver.feed(RequestReceived(8, SAFE, SECOND, is_retry=True), 10 * MS)
    driver.feed(RequestReceived(9, SAFE, 800 * MS), 10 * MS)
    at = {n: driver.now - driver.balancer.requests[n].at for n in (7, 8, 9)}
    assert at == {7: 1200 * MS + 20 * MS, 8: 10 * MS, 9: 0}


def timers(actions: list[object]) -> list[SetTimer]:
    return [a for a in actions if isinstance(a, SetTimer) and a.token.startswith("copy:")]


def copies(driver: Driver, count: int) -> int:
    """How many copies of so many silent requests go out."""
    out = 0
    for _ in range(count):
        _, actions = driver.ask()
        for timer in timers(list(actions)):
            out += len(sends(driver.feed(TimerFired(timer.token))))
    return out


def test_an_instance_starts_without_a_burst_of_copies() -> None:
    # guards against hundreds of instances that start together and each have some copies in hand
    assert copies(Driver(slow_start_duration=0), 6) == 0


def test_copies_that_buy_nothing_are_few_and_those_that_serve_pay_for_the_next() -> None:
    idle, serving = Driver(slow_start_duration=0), Driver(slow_start_duration=0)
    served = 0
    for driver in (idle, serving):
        for _ in range(40):
            driver.serve()
    for _ in range(30):
        request, actions = serving.ask()
        first = sends(actions)[0]
        out = sends(serving.feed(TimerFired(timers(list(actions))[0].token), 20 * MS))
        if out:
            served += 1
            serving.end(request, out[0], attempt=1)
            serving.end(request, first, Outcome.CANCELLED)
        else:
            serving.end(request, first)
    assert copies(idle, 30) <= 3
    assert served > 20


# --- Connections dropped unseen -----------------------------------------------------------------------


def test_a_reset_at_once_after_a_rest_is_the_connections_end_not_the_upstreams_error() -> None:
    driver = Driver(entries=fleet(1, 0), slow_start_duration=0)
    for _ in range(10):
        driver.serve()
    request, actions = driver.ask(after=3 * SECOND)
    assert not any(isinstance(action, CloseIdleConnections) for action in actions)
    actions = driver.end(request, "h0", Outcome.RESET, MS)
    assert CloseIdleConnections("h0") in actions
    assert driver.balancer.fleet["h0"].errors == 0.0 and not driver.balancer.fleet["h0"].spells
    # a later rest as long is ended before the next use; a short one is not
    _, actions = driver.ask(after=3 * SECOND)
    assert actions.index(CloseIdleConnections("h0")) < [sends([a]) != [] for a in actions].index(True)
    driver.serve()
    _, actions = driver.ask(after=100 * MS)
    assert CloseIdleConnections("h0") not in actions


def test_a_reset_on_a_new_connection_or_after_work_still_counts() -> None:
    for busy, latency in ((True, MS), (False, 300 * MS)):
        driver = Driver(entries=fleet(1, 0), slow_start_duration=0)
        for _ in range(10):
            driver.serve()
        if busy:
            driver.ask()
        request, _ = driver.ask(after=3 * SECOND if not busy else 0)
        driver.end(request, "h0", Outcome.RESET, latency)
        assert driver.balancer.fleet["h0"].errors > 0.0, (busy, latency)


def test_an_unsafe_request_reset_after_a_rest_is_not_sent_again() -> None:
    driver = Driver(slow_start_duration=0)
    driver.serve(UNSAFE)
    request, actions = driver.ask(UNSAFE, after=3 * SECOND)
    assert sends(driver.end(request, sends(actions)[0], Outcome.RESET, MS)) == []


# --- Final answers ------------------------------------------------------------------------------------


@pytest.mark.parametrize("streams", [1, 100])
def test_what_is_given_up_is_answered_at_once(streams: int) -> None:
    """Nothing is held back for the client's sake: the answer stands among the actions of the same event."""
    driver = Driver(entries=fleet(2, 0), max_streams_per_connection=streams, keep_alive_timeout=SECOND, max_attempts=1, slow_start_duration=0)
    request, actions = driver.ask()
    actions = driver.end(request, sends(actions)[0], Outcome.CONNECT_FAILED, MS)
    assert [a.request_id for a in actions if isinstance(a, RejectRequest)] == [request]


def test_entries_of_a_changed_list_keep_their_own_attempts() -> None:
    driver = live({"a": 1.0})
    request, _ = driver.ask()
    (entry,) = listed({"a": 0.5}).entries
    driver.feed(EndpointListUpdate(ListForm.DELTA, (replace(entry),)), SECOND)
    assert len(driver.balancer.fleet["a"].out) == 1
    driver.end(request, "a")
    assert not driver.balancer.fleet["a"].out
