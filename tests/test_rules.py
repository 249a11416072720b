"""Each failure found, and each promise of the design, as a small drive of the module."""

import math
from collections import Counter
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from linetrack.policy import balancer as rules
from linetrack.policy.decaying_average import Evidence
from linetrack.policy.actions import CancelAttempt, FailRequest, RejectRequest, SetTimer, WatchEndpoints
from linetrack.policy.events import (
    AttemptEnded,
    ClientDisconnected,
    EndpointEntry,
    EndpointListUpdate,
    EndpointStatus,
    ListForm,
    Outcome,
    RequestReceived,
    TimerFired,
)
from linetrack.policy.settings import LoadField
from linetrack.policy.records import Request, Upstream
from linetrack.policy.balancer import Balancer, Weighed
from tests.helpers import CELL, KEYED, KEYED_ALL, MS, SAFE, SECOND, UNSAFE, Driver, fleet, sends


def shares(driver: Driver, count: int = 300) -> Counter[str]:
    return Counter(driver.serve() for _ in range(count))


def home_odds(driver: Driver) -> list[float]:
    balancer = driver.balancer
    home = [u for u in balancer.fleet.values() if u.zone == 0]
    return balancer._survey(home, SAFE)[3]


def test_first_pick_stays_in_the_own_zone_and_removes_none() -> None:
    got = shares(Driver())
    assert set(got) == {"h0", "h1", "h2", "h3"}
    assert min(got.values()) > 30


def test_odds_are_one_over_penalty() -> None:
    driver = Driver()
    for _ in range(40):
        driver.serve()
    balancer = driver.balancer
    home = [u for u in balancer.fleet.values() if u.zone == 0]
    odds = home_odds(driver)
    drawn = Counter(balancer._draw(home, odds) for _ in range(4000))
    for at, weight in enumerate(odds):
        assert drawn[at] / 4000 == pytest.approx(weight / sum(odds), abs=0.04)


def test_same_events_same_actions() -> None:
    one, two = Driver(seed=9), Driver(seed=9)
    for _ in range(50):
        assert one.ask()[1] == two.ask()[1]


def test_slower_upstream_gets_less() -> None:
    driver = Driver()
    got: Counter[str] = Counter()
    for _ in range(300):
        request, actions = driver.ask()
        upstream = sends(actions)[0]
        got[upstream] += 1
        driver.end(request, upstream, latency=200 * MS if upstream == "h1" else 40 * MS)
    assert 0 < got["h1"] < min(got[n] for n in ("h0", "h2", "h3")) / 2


def test_reported_queue_moves_the_odds() -> None:
    driver = Driver()
    for _ in range(30):
        driver.serve()
    for name in ("h0", "h1", "h2", "h3"):
        record = driver.balancer.fleet[name]
        driver.balancer._report(record, (30.0 if name == "h2" else 0.0,))
    odds = home_odds(driver)
    assert odds[2] == min(odds)


@pytest.mark.parametrize("report", [(), (float("nan"),), (-3.0,), (float("inf"),), (1.0, 2.0, 3.0)])
def test_absurd_reports_do_no_harm(report: tuple[float, ...]) -> None:
    driver = Driver()
    for _ in range(30):
        driver.serve(report=report)
    assert sends(driver.ask()[1])


@pytest.mark.parametrize("field", list(LoadField))
def test_any_reported_field_serves(field: LoadField) -> None:
    driver = Driver(load_report_fields=(field,))
    for _ in range(30):
        driver.serve(report=(0.5,))
    assert sends(driver.ask()[1])


def test_fast_failing_upstream_does_not_attract_traffic() -> None:
    driver = Driver()
    met = 0
    for _ in range(200):
        went = driver.finish(lambda u: (Outcome.ERROR, 2 * MS) if u == "h0" else (Outcome.SUCCESS, 40 * MS))
        met += went.count("h0")
    assert met < 25


def test_hung_upstream_loses_its_low_penalty() -> None:
    driver = Driver()
    for _ in range(60):
        driver.serve()
    got: Counter[str] = Counter()
    for _ in range(100):
        request, actions = driver.ask(after=20 * MS)
        upstream = sends(actions)[0]
        got[upstream] += 1
        if upstream != "h3":
            driver.end(request, upstream)
    assert got["h3"] <= 6


def test_all_upstreams_in_a_spell_still_serve() -> None:
    driver = Driver(entries=fleet(3, 0))
    for _ in range(12):
        driver.finish(lambda _: (Outcome.CONNECT_FAILED, MS))
    assert sends(driver.ask()[1])


def test_copy_goes_to_the_second_candidate_after_the_timer() -> None:
    driver = Driver()
    for _ in range(60):
        driver.serve()
    request, actions = driver.ask()
    timers = [a for a in actions if isinstance(a, SetTimer)]
    assert timers and timers[0].token == f"copy:{request}"
    second = driver.balancer.requests[request].second
    copies = sends(driver.feed(TimerFired(timers[0].token), timers[0].delay))
    assert second is not None and copies == [second.name]


def test_unsafe_is_never_copied_and_fails_after_a_time_out() -> None:
    driver = Driver()
    for _ in range(30):
        driver.serve()
    request, actions = driver.ask(UNSAFE)
    assert not [a for a in actions if isinstance(a, SetTimer)]
    assert driver.feed(TimerFired(f"copy:{request}"), SECOND) == []
    assert driver.end(request, sends(actions)[0], Outcome.TIMEOUT) == [FailRequest(request)]


def test_unsafe_moves_on_after_proof_that_it_never_ran() -> None:
    driver = Driver()
    request, actions = driver.ask(UNSAFE)
    assert sends(driver.end(request, sends(actions)[0], Outcome.OVERLOADED, MS))


@pytest.mark.parametrize(("klass", "outside"), [(KEYED, "zone"), (CELL, "cell"), (KEYED_ALL, "")])
def test_keyed_stays_in_its_group_and_window(klass: int, outside: str) -> None:
    for seed in range(20):
        driver = Driver(seed=seed)
        request, actions = driver.ask(klass)
        first = driver.balancer.fleet[sends(actions)[0]]
        for name in sends(driver.end(request, first.name, Outcome.RESET, MS)):
            record = driver.balancer.fleet[name]
            assert outside != "zone" or record.zone == first.zone
            assert outside != "cell" or (record.zone, record.cell) == (first.zone, first.cell)
        driver = Driver(seed=seed)
        request, actions = driver.ask(klass)
        assert not sends(driver.end(request, sends(actions)[0], Outcome.RESET, SECOND))


def test_never_two_at_once_where_not_allowed() -> None:
    driver = Driver(may_run_parallel_attempts=False)
    for _ in range(30):
        driver.serve()
    request, _ = driver.ask()
    assert sends(driver.feed(TimerFired(f"copy:{request}"), SECOND)) == []


def test_attempts_never_pass_the_allowed_number() -> None:
    driver = Driver(max_attempts=2)
    request, actions = driver.ask()
    tries = 0
    while upstreams := sends(actions):
        actions = driver.end(request, upstreams[0], Outcome.OVERLOADED, MS, tries)
        tries += 1
    assert tries == 2
    assert isinstance(actions[0], RejectRequest)


def test_drained_and_missing_upstreams_get_nothing() -> None:
    driver = Driver()
    driver.feed(EndpointListUpdate(ListForm.DELTA, (EndpointEntry("h0", status=EndpointStatus.DRAINING),)))
    driver.feed(EndpointListUpdate(ListForm.DELTA, (EndpointEntry("h1", status=EndpointStatus.REMOVED),)))
    assert not set(shares(driver, 100)) & {"h0", "h1"}
    driver.feed(EndpointListUpdate(ListForm.SNAPSHOT, fleet(3, 0)[2:]))
    assert set(shares(driver, 50)) == {"h2"}


def test_empty_list_is_answered_promptly() -> None:
    driver = Driver(entries=())
    request, actions = driver.ask()
    waited = 0
    while timers := [a for a in actions if isinstance(a, SetTimer)]:
        waited += timers[0].delay
        actions = driver.feed(TimerFired(timers[0].token), timers[0].delay)
    assert actions == [RejectRequest(request, 500 * MS)]
    assert waited <= 250 * MS


def test_held_request_is_sent_once_an_upstream_appears() -> None:
    driver = Driver(entries=())
    request, actions = driver.ask()
    driver.feed(EndpointListUpdate(ListForm.DELTA, fleet(1, 0)))
    assert sends(driver.feed(TimerFired(f"hold:{request}"), 20 * MS)) == ["h0"]
    assert actions and isinstance(actions[0], SetTimer)


@pytest.mark.parametrize("instances", [1, 3, 9])
def test_cold_upstream_is_not_pushed_over_by_all_instances_alike(instances: int) -> None:
    start, service = 1000 * SECOND, 50 * MS
    drivers = []
    for n in range(instances):
        driver = Driver(seed=n, instance=n, instance_count=instances, entries=fleet(2, 0))
        for _ in range(20):
            driver.serve(latency=service)
        driver.now = start + 10 * SECOND
        driver.feed(EndpointListUpdate(ListForm.SNAPSHOT, (EndpointEntry("cold", started_at=driver.now),)))
        drivers.append(driver)
    sent: list[int] = []
    for step in range(1000):
        for driver in drivers:
            driver.now = start + 10 * SECOND + step * 10 * MS
            request, actions = driver.ask()
            if sends(actions):
                sent.append(driver.now)
                driver.feed(AttemptEnded(request, 0, "cold", Outcome.SUCCESS, service, True))
    assert sent
    for at in sent:
        share = 0.2 + 0.8 * (at - start - 10 * SECOND) / (10 * SECOND)
        work = service * sum(1 for t in sent if at <= t < at + SECOND)
        assert work <= 3.0 * share * SECOND


def test_restarted_upstream_is_cold_again_and_forgets() -> None:
    driver = Driver(entries=fleet(2, 0))
    for _ in range(20):
        driver.serve()
    driver.feed(EndpointListUpdate(ListForm.DELTA, (EndpointEntry("h0", started_at=driver.now),)))
    record = driver.balancer.fleet["h0"]
    assert record.pace.weight == 0
    assert driver.balancer._warmth(record) == pytest.approx(0.2)


def test_discovery_is_asked_again_with_back_off_and_spread() -> None:
    driver = Driver(must_subscribe=True, poll_interval=8 * SECOND, entries=())
    waits = []
    for _ in range(6):
        timers = driver.feed(EndpointListUpdate(ListForm.REJECTED))
        assert isinstance(timers[0], SetTimer)
        waits.append(timers[0].delay)
        assert driver.feed(TimerFired("ask"), timers[0].delay) == [WatchEndpoints(True)]
    assert waits[0] <= 1.5 * SECOND < 2 * SECOND <= waits[-1] <= 6 * SECOND


@pytest.mark.parametrize("instances", [2, 500])
def test_first_watches_are_spread_by_the_number_of_instances(instances: int) -> None:
    """Hundreds that start together must not stampede the list, and few must not wait for it."""
    waits = []
    for seed in range(60):
        driver = Driver(seed=seed, must_subscribe=True, poll_interval=10 * SECOND, instance_count=instances, entries=())
        timers = Balancer(driver.balancer.s, seed).handle(0, EndpointListUpdate(ListForm.CACHED, fleet()))
        assert isinstance(timers[0], SetTimer) and timers[0].token == "ask"
        waits.append(timers[0].delay)
    assert max(waits) <= min(5 * SECOND, instances * 10 * MS)
    assert max(waits) > 0.4 * min(5 * SECOND, instances * 10 * MS)


def test_losing_copy_is_called_off_only_where_allowed() -> None:
    for allowed in (True, False):
        driver = Driver(may_cancel=allowed)
        for _ in range(60):
            driver.serve()
        request, actions = driver.ask()
        driver.feed(TimerFired(f"copy:{request}"), 200 * MS)
        actions = driver.end(request, sends(actions)[0])
        assert actions == ([CancelAttempt(request, 1)] if allowed else [])


def test_late_and_unknown_events_are_ignored() -> None:
    driver = Driver()
    request, actions = driver.ask()
    upstream = sends(actions)[0]
    driver.end(request, upstream)
    assert driver.end(request, upstream) == []
    assert driver.end(999, "nowhere", Outcome.ERROR) == []
    assert driver.feed(ClientDisconnected(request)) == driver.feed(ClientDisconnected(777)) == []
    assert driver.feed(TimerFired("copy:1")) == driver.feed(TimerFired("nonsense")) == []


def test_zone_without_upstreams_is_served_from_the_other() -> None:
    driver = Driver(entries=fleet(0, 3))
    assert sends(driver.ask()[1])[0].startswith("a")


def test_overload_is_refused_at_once_and_refusing_does_not_last() -> None:
    """Refusals gave no outcomes, so an estimate that refused everything never went away."""
    driver = Driver(entries=fleet(2, 0))
    refused = 0
    for _ in range(90):
        request, actions = driver.ask()
        refused += any(isinstance(a, RejectRequest) for a in actions)
        for upstream in sends(actions):
            driver.end(request, upstream, latency=900 * MS)
    assert refused > 10
    driver.now += 60 * SECOND
    for _ in range(60):
        request, actions = driver.ask(after=100 * MS)
        for upstream in sends(actions):
            driver.end(request, upstream, latency=30 * MS)
    assert sends(driver.ask()[1])


def test_spillover_only_where_worth_exceeds_the_price() -> None:
    for price in (0.1, 50.0):
        driver = Driver(cross_zone_cost=price)
        for _ in range(40):
            driver.serve(latency=60 * MS)
        went = {name[0] for _ in range(60) for name in sends(driver.ask(SAFE)[1])}
        assert went == ({"h", "a"} if price < 1 else {"h"})


def test_sick_own_zone_spills_over() -> None:
    """Errors count into the chance that prices spillover."""
    driver = Driver(entries=fleet(1, 3))
    for _ in range(40):
        driver.finish(lambda u: (Outcome.ERROR if u == "h0" else Outcome.SUCCESS, 30 * MS))
    assert sends(driver.ask()[1])[0].startswith("a")


def test_time_out_under_load_is_not_taken_for_failure() -> None:
    """An upstream heard from since the send is slow, not silent."""
    driver = Driver(entries=fleet(1, 0))
    one, actions = driver.ask()
    two, _ = driver.ask()
    driver.end(two, "h0", latency=900 * MS)
    driver.end(one, "h0", Outcome.TIMEOUT, 100 * MS)
    assert driver.balancer.fleet["h0"].errors == 0
    assert sends(actions) == ["h0"]


def test_answer_in_no_time_is_taken_in() -> None:
    """A latency of zero microseconds once divided by zero."""
    driver = Driver()
    for _ in range(20):
        driver.serve(latency=0)
    assert sends(driver.ask()[1])


def one_asked() -> tuple[Balancer, Request, Upstream]:
    """A balancer used to calm answers, a request just arrived there and one of its upstreams."""
    driver = Driver()
    for _ in range(30):
        driver.serve(latency=100 * MS)
    request, _ = driver.ask()
    return driver.balancer, driver.balancer.requests[request], driver.balancer.fleet["h0"]


def test_crowding_raises_the_cost_of_work() -> None:
    """One more request delays the others the more, the longer requests take beside an uncrowded one."""
    nets = []
    for crowd in (0.0, 1.0):
        balancer, held, record = one_asked()
        record.out.clear()
        # the same completion is expected both times, once as calm pace and once as crowding
        balancer.calm = math.log(300.0 * MS) - crowd
        balancer.zones[0].value, balancer.zones[0].weight = crowd, 1e9
        record.pace.value = record.pace.weight = 0.0
        balancer.kinds.clear()
        balancer.seen.clear()
        nets += balancer._net(held, ([record], [balancer._expected(record)], [1.0], []))
    assert nets[1] < nets[0]


def test_each_expectation_is_worked_out_once_a_decision(monkeypatch: pytest.MonkeyPatch) -> None:
    """Ranking a large fleet several times for one request got whole days cut off."""
    driver = Driver(entries=fleet(60, 40))
    for _ in range(30):
        driver.serve()
    worked: Counter[str] = Counter()
    expected = Balancer._expected
    monkeypatch.setattr(Balancer, "_expected", lambda b, u: worked.update([u.name]) or expected(b, u))
    assert sends(driver.ask()[1])
    assert sum(worked.values()) <= 100 + 2  # and the one sent to once more at each of its steps


def test_kinds_are_opaque_groups() -> None:
    """What is listed as one kind is pooled; which number the kind has changes nothing."""
    runs = []
    for numbers in ((0, 1), (7, 3)):
        entries = tuple(EndpointEntry(f"h{n}", host_class=numbers[n % 2]) for n in range(8))
        driver = Driver(entries=entries)
        runs.append(
            [driver.finish(lambda u: (Outcome.SUCCESS, 40 * MS + 60 * MS * (int(u[1]) % 2))) for _ in range(60)]
        )
    assert runs[0] == runs[1]


def test_thin_evidence_leans_on_its_kind() -> None:
    """With few requests an upstream is hardly ever heard itself; its kind's answers speak for it."""
    entries = (*(EndpointEntry(f"f{n}", host_class=0) for n in range(20)), *(EndpointEntry(f"s{n}", host_class=1) for n in range(20)))
    driver = Driver(entries=entries)
    for _ in range(15):
        request, actions = driver.ask(after=SECOND)
        name = sends(actions)[0]
        driver.end(request, name, latency=200 * MS if name[0] == "s" else 40 * MS)
    unheard = {
        u.kind: driver.balancer._expected(u) for u in driver.balancer.fleet.values() if not u.pace.weight
    }
    assert unheard[1] > 1.5 * unheard[0]


def test_evidence_counts_by_amount_and_freshness() -> None:
    figure = Evidence()
    assert figure.beside(0, 1.0) == 1.0
    figure.add(0, 5.0)
    one = figure.beside(0, 1.0)
    figure.add(0, 5.0)
    assert 1.0 < one < figure.beside(0, 1.0) < 5.0
    assert figure.beside(120 * SECOND, 1.0) == pytest.approx(1.0, abs=0.01)


@pytest.mark.parametrize("size", [2.0, 0.0, -1.0, float("nan"), float("inf")])
def test_listed_size_weighs_the_odds_and_nonsense_does_not(size: float) -> None:
    driver = Driver(entries=(EndpointEntry("h0", capacity=size), EndpointEntry("h1")))
    odds = home_odds(driver)
    assert odds[0] == pytest.approx(odds[1] * (size if size == 2.0 else 1.0))


def test_warm_and_cold_upstreams_side_by_side() -> None:
    """A warm upstream with a stated start beside a cold one: the warm one's budget has no end."""
    driver = Driver(entries=fleet(2, 0))
    driver.now += 30 * SECOND
    old, new = EndpointEntry("old", started_at=driver.now - 20 * SECOND), EndpointEntry("new", started_at=driver.now)
    driver.feed(EndpointListUpdate(ListForm.SNAPSHOT, (old, new)))
    assert {driver.serve(latency=10 * MS) for _ in range(20)} >= {"old"}


def test_hundreds_of_instances_use_a_cold_upstream_and_do_not_push_it_over() -> None:
    """Each one's part is far under a send: turns left it unused, so sends fall by lot, within the budget."""
    count, service, start = 300, 50 * MS, 1010 * SECOND
    drivers = []
    for n in range(count):
        driver = Driver(seed=n, instance=n, instance_count=count, entries=fleet(4, 0))
        for _ in range(5):
            driver.serve(latency=service)
        driver.now = start
        driver.feed(EndpointListUpdate(ListForm.DELTA, (EndpointEntry("cold", started_at=start),)))
        drivers.append(driver)
    sent: list[int] = []
    for step in range(20):
        for n, driver in enumerate(drivers):
            driver.now = start + step * 500 * MS + n * MS
            request, actions = driver.ask()
            sent += [driver.now for name in sends(actions) if name == "cold"]
            for name in sends(actions):
                driver.feed(AttemptEnded(request, 0, name, Outcome.SUCCESS, service, True))
    assert len(sent) > 10
    for at in sent:
        share = 0.2 + 0.8 * (at - start) / (10 * SECOND)
        assert service * sum(1 for t in sent if at <= t < at + SECOND) <= 3.0 * share * SECOND


def test_many_late_answers_make_work_dearer() -> None:
    """A jam can look like slow upstreams; that answers come late then prices work all the same."""
    nets = []
    for late in (0.05, 0.5):
        balancer, held, record = one_asked()
        balancer.late.value = late
        balancer._weigh(held)
        nets += balancer._net(held, ([record], [400.0 * MS], [1.0], []))
    assert nets[1] < nets[0]


def test_a_key_pulls_alike_at_every_instance_and_stays_graded() -> None:
    went = []
    for seed in (1, 2):
        driver = Driver(seed=seed, has_affinity_keys=True, entries=fleet(20, 0))
        got: Counter[str] = Counter()
        for number in range(300):
            actions = driver.feed(RequestReceived(number, SAFE, 2 * SECOND, affinity_key="k:1"))
            got[sends(actions)[0]] += 1
            driver.end(number, sends(actions)[0])
        went.append(got)
    first, second = ({name for name, _ in got.most_common(3)} for got in went)
    assert first == second
    assert all(len(got) > 6 for got in went)


@pytest.mark.parametrize("warm", [True, False])
def test_no_key_or_no_warm_keys_no_pull(warm: bool) -> None:
    driver = Driver(has_affinity_keys=warm, entries=fleet(4, 0))
    request, _ = driver.ask()
    held, home = driver.balancer.requests[request], list(driver.balancer.fleet.values())
    assert driver.balancer._pulled(held, home, [1.0] * 4) == [1.0] * 4


@pytest.mark.parametrize(("others", "away"), [(180 * MS, True), (50 * MS, False)])
def test_spillover_goes_by_a_usual_draw_not_by_the_best_of_many(
    monkeypatch: pytest.MonkeyPatch, others: int, away: bool
) -> None:
    """Among many thin estimates the best one always flatters: a crowded zone then never spilled over."""
    driver = Driver(entries=fleet(20, 1))
    for _ in range(30):
        driver.serve(latency=60 * MS)
    balancer = driver.balancer

    def survey(part: list[Upstream], klass: int) -> rules.Weighed:
        view = [float(50 * MS if u.name in ("h0", "a0") else others) for u in part]
        return part, view, [1.0] * len(part), [1.0] * len(part)

    monkeypatch.setattr(balancer, "_survey", survey)
    monkeypatch.setattr(rules, "SPILL", 0.0)
    went = {sends(driver.ask()[1])[0] for _ in range(40)}
    assert went == {"a0"} if away else "a0" not in went


def test_what_is_gone_is_forgotten_while_its_attempts_are_out() -> None:
    # guards against records that grow with every upstream, zone and kind that ever was
    driver = Driver()
    request, actions = driver.ask()
    old = sends(actions)[0]
    for n in range(300):
        entry = EndpointEntry(f"n{n}", zone=n % 7, host_class=n % 11, started_at=driver.now)
        gone = [EndpointEntry(f"n{n - 1}", status=EndpointStatus.REMOVED)] if n else []
        driver.feed(EndpointListUpdate(ListForm.DELTA, (entry, *gone, EndpointEntry(old, status=EndpointStatus.REMOVED))), 20 * MS)
    balancer = driver.balancer
    assert old not in balancer.fleet and len(balancer.fleet) == 7
    # the rotation goes on although what was tried last is in the list no more
    assert sends(driver.end(request, old, Outcome.RESET)) != [old]
    driver.feed(EndpointListUpdate(ListForm.SNAPSHOT, fleet(2, 0)))
    assert set(balancer.fleet) == {"h0", "h1"}
    for _ in range(20):
        driver.serve(report=(1.0,))
    assert len(balancer.zones) == len(balancer.kinds) == 1 and not balancer.orphans


def test_answers_spoilt_by_all_alike_take_nobody_out_and_a_failing_one_is_seen() -> None:
    # guards against sound upstreams left one after the other for what any of them does
    driver, random = Driver(), Random(4)
    spells = 0

    def answer(upstream: str) -> tuple[Outcome, int]:
        return (Outcome.ERROR if random.random() < 0.06 else Outcome.SUCCESS), 5 * MS

    for _ in range(1500):
        driver.finish(answer)
        spells += sum(
            until > driver.now for u in driver.balancer.fleet.values() for _, until in u.spells.values()
        )
    assert spells < 0.3 * 1500  # of seven upstreams; over two are out where chance counts as failure
    seen = Counter(
        upstream
        for _ in range(300)
        for upstream in driver.finish(lambda u: (Outcome.ERROR, 2 * MS) if u == "h0" else answer(u))
    )
    assert seen["h0"] < 30 and seen["h1"] > 60


def test_a_lost_answer_is_no_load_and_no_silence_of_its_upstream() -> None:
    # guards against shedding half of the work because each upstream owes a few answers that will never come
    driver = Driver(entries=fleet(1, 0))
    for _ in range(30):
        driver.serve()
    upstream = driver.balancer.fleet["h0"]
    before = driver.balancer._expected(upstream)
    (lost, _), (other, _) = driver.ask(), driver.ask(after=1 * MS)
    driver.feed(TimerFired("none"), 400 * MS)
    assert driver.balancer._expected(upstream) > 4 * before  # silent, as far as is known
    driver.end(other, "h0", latency=50 * MS)
    assert driver.balancer._expected(upstream) < 1.5 * before  # it answers: what it was sent earlier is lost
    pace = upstream.pace.value
    driver.feed(AttemptEnded(lost, 0, "h0", Outcome.TIMEOUT, 2 * SECOND), 1500 * MS)
    assert upstream.pace.value == pace


def test_what_never_ran_is_sent_again_whatever_was_spent() -> None:
    # guards against refusing half of what one upstream turns away while the others have room
    driver = Driver()
    driver.balancer.budget = 0.0
    for _ in range(30):
        went = driver.finish(lambda u: (Outcome.OVERLOADED, 1 * MS) if u == "h0" else (Outcome.SUCCESS, 5 * MS))
        assert went[-1] != "h0"
        driver.balancer.budget = 0.0
        driver.balancer.fleet["h0"].spells.clear()


def test_the_calm_pace_does_not_sink_below_true_answers() -> None:
    # guards against crowding rated ten times too high: as the parts beside it rose, the calm pace fell for
    # ever
    driver, random = Driver(), Random(2)
    for n in range(4000):
        driver.serve(klass=n % 2, latency=round(40 * MS * math.exp(random.gauss(0, 0.7))))
    balancer = driver.balancer
    assert 15 * MS < math.exp(balancer.calm) < 50 * MS
    scales = [balancer._scale(n) for n in range(2)]
    assert sum(
        share * math.log(s) for share, s in zip(balancer.asked, scales, strict=False)
    ) == pytest.approx(0.0, abs=0.1)


def test_a_copy_waits_while_it_would_still_be_in_time_itself() -> None:
    # guards against copies that buy nothing: the first answers by itself before a copy is needed
    driver = Driver()
    for _ in range(50):
        driver.serve(latency=20 * MS)
    _, actions = driver.ask()
    (wait,) = [a.delay for a in actions if isinstance(a, SetTimer)]
    assert 250 * MS < wait < 450 * MS  # of an aim of 500 ms, where three expected latencies are some 60 ms
    for _ in range(50):
        driver.serve(latency=150 * MS)
    _, actions = driver.ask()
    (wait,) = [a.delay for a in actions if isinstance(a, SetTimer)]
    assert wait > 300 * MS  # three expected latencies


def test_an_upstream_that_fails_one_class_still_serves_the_others() -> None:
    # guards against losing a fast upstream's room for every class because one class fails there
    driver = Driver()
    went: Counter[tuple[int, str]] = Counter()
    for n in range(600):
        klass = SAFE if n % 2 else KEYED_ALL
        for upstream in driver.finish(
            lambda u, k=klass: (Outcome.ERROR if u == "h0" and k == SAFE else Outcome.SUCCESS, 5 * MS),  # type: ignore[misc]
            klass,
        ):
            went[klass, upstream] += 1
    assert went[SAFE, "h0"] < 30 and went[KEYED_ALL, "h0"] > 50


def test_while_upstreams_are_cold_the_other_zones_are_not_weighed_anew_for_each_request(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Work a request must not grow with the fleet for the whole time of a release: an instance that fell
    behind by it was cut off."""
    weighed, whole = 0, Balancer._survey

    def survey(self: Balancer, upstreams: list[Upstream], klass: int) -> Weighed:
        nonlocal weighed
        weighed += sum(upstream.zone != self.s.zone for upstream in upstreams)
        return whole(self, upstreams, klass)

    entries = [EndpointEntry(f"h{n}", zone=0) for n in range(4)]
    entries += [EndpointEntry(f"a{n}", zone=1, started_at=1000 * SECOND) for n in range(40)]
    driver = Driver(entries=tuple(entries), instance_count=300, cross_zone_cost=10.0)
    monkeypatch.setattr(Balancer, "_survey", survey)
    for _ in range(50):
        driver.serve(latency=10 * MS)
    assert driver.now < driver.balancer.cold_until
    assert weighed <= 2 * 40 + 50, "over half a second, in which one view of them stands"


@given(st.lists(st.tuples(st.floats(0, 100), st.floats(0, 1) | st.none()), min_size=1, max_size=8))
def test_shares_of_cold_ones_keep_to_their_credit_and_warm_ones_have_the_rest_as_before(
    parts: list[tuple[float, float | None]],
) -> None:
    entries = tuple(
        EndpointEntry(f"h{n}", started_at=0 if credit is None else 1000 * SECOND) for n, (_, credit) in enumerate(parts)
    )
    driver = Driver(entries=entries, instance_count=10_000)
    balancer, odds = driver.balancer, [share for share, _ in parts]
    upstreams = list(balancer.fleet.values())
    for upstream, (_, credit) in zip(upstreams, parts, strict=True):
        balancer._cold_part(upstream)
        upstream.credit, upstream.credit_at = credit or 0.0, driver.now
    clipped = balancer._clipped(upstreams, odds)
    total, whole = sum(clipped) or 1.0, sum(odds) or 1.0
    caps = [0.0 if c is None else min(o / whole, c) for o, c in parts]
    warm = [o if c is None else 0.0 for o, c in parts]
    if sum(caps) >= 1 - 1e-9 or 0 < sum(warm) <= 1e-6 * whole:
        return
    for at, (_, credit) in enumerate(parts):
        wanted = caps[at] if credit is not None else (1 - sum(caps)) * warm[at] / (sum(warm) or 1.0)
        assert clipped[at] / total == pytest.approx(wanted, abs=1e-6)
