"""Ejections, trials, and errors that are usual."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
from random import Random

import pytest

from linetrack.policy.endpoint import Endpoint
from linetrack.policy.events import (
    AttemptEnded,
    EndpointEntry,
    EndpointListUpdate,
    EndpointStatus,
    ListForm,
    Outcome,
)
from linetrack.policy.outlier_detection import OutlierDetector
from linetrack.policy.success_model import SuccessModel
from tests import helpers
from tests.helpers import (
    IDEMPOTENT,
    KEYED_EVERYWHERE,
    MS,
    NON_IDEMPOTENT,
    SECOND,
    Driver,
    listed_entries,
    sends,
)


def test_a_fleet_that_is_ejected_as_a_whole_still_serves() -> None:
    driver = Driver(entries=listed_entries(3, 0))
    for _ in range(12):
        driver.finish(lambda _: (Outcome.CONNECT_FAILED, MS))
    assert sends(driver.start_request()[1])


def test_timeout_under_load_is_not_taken_for_failure() -> None:
    """An endpoint that responded since the attempt was sent is slow, not silent."""
    driver = Driver(entries=listed_entries(1, 0))
    one, actions = driver.start_request()
    two, _ = driver.start_request()
    driver.end(two, "h0", latency=900 * MS)
    driver.end(one, "h0", Outcome.TIMEOUT, 100 * MS)
    assert driver.balancer.endpoints["h0"].error_ratio == 0
    assert sends(actions) == ["h0"]


def test_errors_of_all_alike_eject_nobody_and_a_failing_endpoint_is_seen() -> None:
    # sound endpoints would be left one after the other for what any of them does
    driver, random = Driver(), Random(4)
    ejections = 0

    def answer(_: str) -> tuple[Outcome, int]:
        return (Outcome.ERROR if random.random() < 0.06 else Outcome.SUCCESS), 5 * MS

    for _ in range(1500):
        driver.finish(answer)
        ejections += sum(
            until > driver.now
            for u in driver.balancer.endpoints.values()
            for _, until in u.ejections.values()
        )
    assert ejections < 0.3 * 1500  # of seven endpoints; over two are ejected where chance counts as failure
    seen = Counter(
        endpoint
        for _ in range(300)
        for endpoint in driver.finish(lambda u: (Outcome.ERROR, 2 * MS) if u == "h0" else answer(u))
    )
    assert seen["h0"] < 30
    assert seen["h1"] > 60


def test_an_endpoint_that_fails_one_class_still_serves_the_others() -> None:
    # a fast endpoint's capacity must not be lost for every class because one class fails there
    driver = Driver()
    went: Counter[tuple[int, str]] = Counter()

    def fail_idempotent(endpoint: str) -> tuple[Outcome, int]:
        return (Outcome.ERROR if endpoint == "h0" else Outcome.SUCCESS), 5 * MS

    def succeed(_: str) -> tuple[Outcome, int]:
        return Outcome.SUCCESS, 5 * MS

    for _ in range(300):
        went.update((KEYED_EVERYWHERE, endpoint) for endpoint in driver.finish(succeed, KEYED_EVERYWHERE))
        went.update((IDEMPOTENT, endpoint) for endpoint in driver.finish(fail_idempotent, IDEMPOTENT))
    assert went[IDEMPOTENT, "h0"] < 30
    assert went[KEYED_EVERYWHERE, "h0"] > 50


def test_an_endpoint_that_was_full_once_is_not_lost_to_non_idempotent_requests() -> None:
    """Only an own success ends a class's ejection, and non-idempotent requests are no trials."""
    driver = Driver(entries=listed_entries(3, 0))
    request, actions = driver.start_request()
    full = sends(actions)[0]
    driver.end(request, full, Outcome.OVERLOADED, MS)
    driver.now += 3 * SECOND
    for class_index in (IDEMPOTENT, NON_IDEMPOTENT):
        assert full in {driver.serve(class_index) for _ in range(60)}


def test_a_full_zone_counts_against_attempts_there() -> None:
    """Requests must not try all endpoints of a full zone one by one, and then cross into another."""
    driver = Driver(cross_zone_cost=0.01, max_attempts=1)
    for _ in range(60):
        driver.finish(lambda u: (Outcome.OVERLOADED, MS) if u[0] == "h" else (Outcome.SUCCESS, 50 * MS))
    homes = sum(driver.serve()[0] == "h" for _ in range(40))
    assert homes < 10


def test_a_success_ends_an_ejection_also_in_a_full_zone() -> None:
    # ejections would double for ever if full queues of the zone were taken for the endpoint's errors
    driver = Driver(entries=listed_entries(4, 0), max_attempts=1)
    for _ in range(6):
        driver.finish(lambda _: (Outcome.OVERLOADED, MS))
    driver.now += 2 * SECOND
    assert driver.balancer.models.success.zone_acceptance(driver.now, 0) < 0.55
    there = driver.serve()
    assert IDEMPOTENT not in driver.balancer.endpoints[there].ejections


def test_more_than_half_unreachable_is_not_taken_for_usual() -> None:
    """Errors that most endpoints have are forgiven; a refused connection is no such error."""
    driver = Driver(entries=listed_entries(9, 0), max_attempts=2)
    refused = []
    for _ in range(400):
        driver.now += 50 * MS
        went = driver.finish(
            lambda u: (Outcome.CONNECT_FAILED, MS) if u < "h5" else (Outcome.SUCCESS, 20 * MS)
        )
        refused.append(sum(u < "h5" for u in went))
    assert driver.balancer.models.success.export_state().usual_error_ratio == 0.0
    assert sum(refused[100:]) < 60, "trials alone"


def test_an_unreachable_zone_is_left_to_trials_while_another_can_be_reached_and_comes_back() -> None:
    # a zone whose endpoints are all ejected must not cost a connection attempt for every request
    driver = Driver(
        entries=listed_entries(4, 4), cross_zone_cost=0.9, max_attempts=3, keep_alive_timeout=30 * SECOND
    )
    for _ in range(3):
        driver.finish(lambda u: (Outcome.OVERLOADED if u[0] == "h" else Outcome.SUCCESS, MS))
        driver.now += 50 * MS
    for _ in range(40):
        driver.finish(lambda _: (Outcome.SUCCESS, MS))
        driver.now += 50 * MS

    def play(lost: str, count: int = 150) -> float:
        went: list[str] = []
        for _ in range(count):
            driver.now += 20 * MS
            went += driver.finish(
                lambda u: (Outcome.CONNECT_FAILED, MS) if u[0] in lost else (Outcome.SUCCESS, MS)
            )
        return sum(u[0] == "h" for u in went) / count

    assert play("h") < 0.3
    play("ha", 40)  # none can be reached: every request may try
    assert play("ha", 40) > 0.2
    driver.now += 10 * SECOND
    play("", 60)
    assert play("") > 0.7, "trials found it again"


@pytest.mark.parametrize("outcome", [Outcome.SUCCESS, Outcome.TIMEOUT, Outcome.CONNECT_FAILED])
def test_an_attempt_that_ends_after_its_zone_has_left_the_list_is_taken_in(outcome: Outcome) -> None:
    driver = Driver(entries=listed_entries(0, 3))
    request, actions = driver.start_request()
    endpoint = sends(actions)[0]
    gone = tuple(replace(entry, status=EndpointStatus.REMOVED) for entry in listed_entries(0, 3))
    driver.handle_event(EndpointListUpdate(ListForm.DELTA, gone))
    driver.handle_event(AttemptEnded(request, 0, endpoint, outcome, 900 * MS, outcome is Outcome.SUCCESS))
    driver.start_request()


def test_ejections_in_a_row_double_up_to_the_maximum_and_one_success_ends_them() -> None:
    success_model = SuccessModel(helpers.settings(), {})
    detector = OutlierDetector(helpers.settings(), success_model)
    endpoint = Endpoint(EndpointEntry("a"))
    now, durations = SECOND, []
    for _ in range(6):
        assert detector.record_outcome(now, endpoint, IDEMPOTENT, Outcome.CONNECT_FAILED)
        durations.append(endpoint.ejections[IDEMPOTENT].duration // SECOND)
        assert detector.is_unavailable(now, endpoint)
        assert detector.record_outcome(now, endpoint, IDEMPOTENT, Outcome.CONNECT_FAILED)
        assert endpoint.ejections[IDEMPOTENT].duration // SECOND == durations[-1], "not while it is ejected"
        now = endpoint.ejections[IDEMPOTENT].until
    assert durations == [1, 2, 4, 8, 8, 8]
    assert not detector.record_outcome(now, endpoint, IDEMPOTENT, Outcome.SUCCESS)
    assert IDEMPOTENT not in endpoint.ejections
    assert NON_IDEMPOTENT in endpoint.ejections, "by class"
