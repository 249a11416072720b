"""Ejections, trials, and the usual error ratio."""

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


def test_requests_are_still_sent_if_all_endpoints_are_ejected() -> None:
    driver = Driver(entries=listed_entries(3, 0))
    for _ in range(12):
        driver.finish(lambda _: (Outcome.CONNECT_FAILED, MS))
    assert sends(driver.start_request()[1])


def test_a_timeout_under_load_is_not_a_failure() -> None:
    """An endpoint that has responded since the attempt was sent is slow, not hung."""
    driver = Driver(entries=listed_entries(1, 0))
    first, actions = driver.start_request()
    second, _ = driver.start_request()
    driver.end(second, "h0", latency=900 * MS)
    driver.end(first, "h0", Outcome.TIMEOUT, 100 * MS)
    assert driver.balancer.endpoints["h0"].error_ratio == 0
    assert sends(actions) == ["h0"]


def test_errors_common_to_all_endpoints_eject_few_and_a_failing_endpoint_is_still_detected() -> None:
    # healthy endpoints would otherwise be ejected one after the other for errors that all of them have
    driver, random = Driver(), Random(4)
    ejections = 0

    def answer(_: str) -> tuple[Outcome, int]:
        return (Outcome.ERROR if random.random() < 0.06 else Outcome.SUCCESS), 5 * MS

    for _ in range(1500):
        driver.finish(answer)
        ejections += sum(
            until > driver.now
            for endpoint in driver.balancer.endpoints.values()
            for _, until in endpoint.ejections.values()
        )
    # of seven endpoints; without the usual error ratio, more than two are ejected
    assert ejections < 0.3 * 1500
    sends_by_endpoint = Counter(
        endpoint
        for _ in range(300)
        for endpoint in driver.finish(
            lambda endpoint: (Outcome.ERROR, 2 * MS) if endpoint == "h0" else answer(endpoint)
        )
    )
    assert sends_by_endpoint["h0"] < 30
    assert sends_by_endpoint["h1"] > 60


def test_an_endpoint_that_fails_one_class_still_serves_the_others() -> None:
    # the capacity of a fast endpoint must not be lost to every class because one class fails there
    driver = Driver()
    attempted: Counter[tuple[int, str]] = Counter()

    def fail_idempotent(endpoint: str) -> tuple[Outcome, int]:
        return (Outcome.ERROR if endpoint == "h0" else Outcome.SUCCESS), 5 * MS

    def succeed(_: str) -> tuple[Outcome, int]:
        return Outcome.SUCCESS, 5 * MS

    for _ in range(300):
        attempted.update(
            (KEYED_EVERYWHERE, endpoint) for endpoint in driver.finish(succeed, KEYED_EVERYWHERE)
        )
        attempted.update((IDEMPOTENT, endpoint) for endpoint in driver.finish(fail_idempotent, IDEMPOTENT))
    assert attempted[IDEMPOTENT, "h0"] < 30
    assert attempted[KEYED_EVERYWHERE, "h0"] > 50


def test_an_endpoint_that_was_overloaded_once_is_used_again_by_non_idempotent_requests() -> None:
    """Only a success of a class ends its ejection, and non-idempotent requests are not trials."""
    driver = Driver(entries=listed_entries(3, 0))
    request, actions = driver.start_request()
    full = sends(actions)[0]
    driver.end(request, full, Outcome.OVERLOADED, MS)
    driver.now += 3 * SECOND
    for class_index in (IDEMPOTENT, NON_IDEMPOTENT):
        assert full in {driver.serve(class_index) for _ in range(60)}


def test_rejections_count_for_the_whole_zone() -> None:
    """Requests must not try each endpoint of a full zone before they go to another zone."""
    driver = Driver(cross_zone_cost=0.01, max_attempts=1)
    for _ in range(60):
        driver.finish(
            lambda endpoint: (Outcome.OVERLOADED, MS) if endpoint[0] == "h" else (Outcome.SUCCESS, 50 * MS)
        )
    own_zone_count = sum(driver.serve()[0] == "h" for _ in range(40))
    assert own_zone_count < 10


def test_a_success_ends_an_ejection_even_in_a_full_zone() -> None:
    # if the zone's full queues counted as the endpoint's errors, no success would end its ejections
    driver = Driver(entries=listed_entries(4, 0), max_attempts=1)
    for _ in range(6):
        driver.finish(lambda _: (Outcome.OVERLOADED, MS))
    driver.now += 2 * SECOND
    assert driver.balancer.models.success.zone_acceptance(driver.now, 0) < 0.55
    endpoint = driver.serve()
    assert IDEMPOTENT not in driver.balancer.endpoints[endpoint].ejections


def test_failed_connections_of_most_endpoints_do_not_count_as_usual_errors() -> None:
    """Errors that most endpoints have are tolerated, but failed connections are not."""
    driver = Driver(entries=listed_entries(9, 0), max_attempts=2)
    refused = []
    for _ in range(400):
        driver.now += 50 * MS
        attempted = driver.finish(
            lambda endpoint: (Outcome.CONNECT_FAILED, MS) if endpoint < "h5" else (Outcome.SUCCESS, 20 * MS)
        )
        refused.append(sum(endpoint < "h5" for endpoint in attempted))
    assert driver.balancer.models.success.export_state().usual_error_ratio == 0.0
    assert sum(refused[100:]) < 60, "more than the trials"


def test_an_unreachable_zone_gets_only_trials_while_another_is_reachable_and_recovers() -> None:
    # a zone whose endpoints are all ejected must not cost each request a connection attempt
    driver = Driver(
        entries=listed_entries(4, 4), cross_zone_cost=0.9, max_attempts=3, keep_alive_timeout=30 * SECOND
    )
    for _ in range(3):
        driver.finish(lambda endpoint: (Outcome.OVERLOADED if endpoint[0] == "h" else Outcome.SUCCESS, MS))
        driver.now += 50 * MS
    for _ in range(40):
        driver.finish(lambda _: (Outcome.SUCCESS, MS))
        driver.now += 50 * MS

    def own_zone_ratio(unreachable: str, count: int = 150) -> float:
        attempted: list[str] = []
        for _ in range(count):
            driver.now += 20 * MS
            attempted += driver.finish(
                lambda endpoint: (
                    (Outcome.CONNECT_FAILED, MS) if endpoint[0] in unreachable else (Outcome.SUCCESS, MS)
                )
            )
        return sum(endpoint[0] == "h" for endpoint in attempted) / count

    assert own_zone_ratio("h") < 0.3
    own_zone_ratio("ha", 40)  # nothing is reachable, so every request may try
    assert own_zone_ratio("ha", 40) > 0.2
    driver.now += 10 * SECOND
    own_zone_ratio("", 60)
    assert own_zone_ratio("") > 0.7, "trials did not detect the recovery"


@pytest.mark.parametrize("outcome", [Outcome.SUCCESS, Outcome.TIMEOUT, Outcome.CONNECT_FAILED])
def test_the_end_of_an_attempt_is_recorded_after_its_zone_was_removed_from_the_list(outcome: Outcome) -> None:
    driver = Driver(entries=listed_entries(0, 3))
    request, actions = driver.start_request()
    endpoint = sends(actions)[0]
    gone = tuple(replace(entry, status=EndpointStatus.REMOVED) for entry in listed_entries(0, 3))
    driver.handle_event(EndpointListUpdate(ListForm.DELTA, gone))
    driver.handle_event(AttemptEnded(request, 0, endpoint, outcome, 900 * MS, outcome is Outcome.SUCCESS))
    driver.start_request()


def test_consecutive_ejections_double_up_to_the_maximum_and_a_success_ends_them() -> None:
    success_model = SuccessModel(helpers.settings(), {})
    detector = OutlierDetector(helpers.settings(), success_model)
    endpoint = Endpoint(EndpointEntry("a"))
    now, durations = SECOND, []
    for _ in range(6):
        assert detector.record_outcome(now, endpoint, IDEMPOTENT, Outcome.CONNECT_FAILED)
        durations.append(endpoint.ejections[IDEMPOTENT].duration // SECOND)
        assert detector.is_unavailable(now, endpoint)
        assert detector.record_outcome(now, endpoint, IDEMPOTENT, Outcome.CONNECT_FAILED)
        assert endpoint.ejections[IDEMPOTENT].duration // SECOND == durations[-1], (
            "failures during an ejection do not extend it"
        )
        now = endpoint.ejections[IDEMPOTENT].until
    assert durations == [1, 2, 4, 8, 8, 8]
    assert not detector.record_outcome(now, endpoint, IDEMPOTENT, Outcome.SUCCESS)
    assert IDEMPOTENT not in endpoint.ejections
    assert NON_IDEMPOTENT in endpoint.ejections, "a success ends the ejection of its class only"
