"""The records of endpoints and attempts."""

from __future__ import annotations

from hypothesis import given, strategies

from linetrack.policy.endpoint import Attempt, ClassErrorRatio, Ejection, Endpoint
from linetrack.policy.events import EndpointEntry
from tests.helpers import SECOND, settings


@given(strategies.text(min_size=1), strategies.integers(0, 2**32 - 1))
def test_a_rendezvous_rank_is_over_zero_and_at_most_one(name: str, key_hash: int) -> None:
    rank = Endpoint(EndpointEntry(name)).rendezvous_rank(key_hash)
    assert 0 < rank <= 1
    assert rank == Endpoint(EndpointEntry(name, zone=3)).rendezvous_rank(key_hash)


def test_an_endpoint_warms_up_linearly_from_its_initial_fraction() -> None:
    endpoint = Endpoint(EndpointEntry("a", started_at=100 * SECOND))
    endpoint.warm_at = 110 * SECOND
    fractions = [
        endpoint.warm_fraction_at(second * SECOND, settings()) for second in (99, 100, 105, 110, 200)
    ]
    assert fractions == [0.2, 0.2, 0.6000000000000001, 1.0, 1.0]


def test_exported_state_is_imported_completely_and_is_a_copy() -> None:
    old, new = Endpoint(EndpointEntry("a")), Endpoint(EndpointEntry("a"))
    old.error_ratio = 0.25
    old.class_errors[1] = ClassErrorRatio(0.5, 7)
    old.ejections[1] = Ejection(SECOND, 9 * SECOND)
    new.import_state(old.export_state())
    assert new.export_state() == old.export_state()
    old.ejections.clear()
    assert new.ejections == {1: Ejection(SECOND, 9 * SECOND)}, "the state is a copy"


def test_an_attempt_has_idle_time_only_if_no_other_one_is_in_flight() -> None:
    endpoint = Endpoint(EndpointEntry("a"))
    assert Attempt(0, 0, endpoint, False, 5 * SECOND).idle_time == 0, "the endpoint was never used"
    endpoint.last_used_at = 2 * SECOND
    first = Attempt(0, 0, endpoint, False, 5 * SECOND)
    assert first.idle_time == 3 * SECOND
    assert first.opens_connection
    endpoint.in_flight[(1, 0)] = first
    assert Attempt(0, 0, endpoint, False, 5 * SECOND).idle_time == 0
