"""The event of a valid request, and how long the identifier of a request is kept."""

import gevent
import pytest

from linetrack.policy.events import RequestReceived
from linetrack.server import recent_request_ids
from linetrack.server.http1.requests import ClientRequest
from linetrack.server.listener import Listener
from linetrack.server.recent_request_ids import MAX_GENERATION_SIZE, RecentRequestIds
from linetrack.server.request_validation import RejectedRequestError
from tests.support.units import SECOND
from tests.support.waiting import run_until


def test_request_identifiers_are_discarded_after_two_generations(
    listener: Listener, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(recent_request_ids, "GENERATION_SECONDS", 0.1)
    gevent.spawn(listener.sweep)
    request = ClientRequest("GET", "/look", "1", expires_in="0.5")
    validator = listener.validator
    assert isinstance(validator.accept(request), RequestReceived)
    with pytest.raises(RejectedRequestError) as rejected:
        validator.accept(request)
    assert rejected.value.status == 409
    validator.finish("1")
    with pytest.raises(RejectedRequestError) as rejected:
        validator.accept(request)
    assert rejected.value.status == 409
    run_until(lambda: not validator.recent_ids)
    assert isinstance(validator.accept(request), RequestReceived)


class SweepsEndedError(Exception):
    """Ends the listener's sweeps after the time that a test lets pass."""


def test_an_identifier_is_rejected_long_after_its_client_has_left(
    listener: Listener, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against an id that ran twice when it came again 5 s after its client had left."""
    request = ClientRequest("GET", "/look", "1", expires_in="0.5")
    listener.validator.accept(request)
    listener.validator.finish("1")
    elapsed = 0.0

    def pass_time(seconds: float) -> None:
        nonlocal elapsed
        elapsed += seconds
        if elapsed > 14:
            raise SweepsEndedError

    monkeypatch.setattr(gevent, "sleep", pass_time)
    with pytest.raises(SweepsEndedError):
        listener.sweep()
    with pytest.raises(RejectedRequestError):
        listener.validator.accept(request)


def test_the_number_of_identifiers_is_bounded() -> None:
    ids = RecentRequestIds()
    for number in range(5 * MAX_GENERATION_SIZE):
        ids.add(f"{number}")
        ids.finish(f"{number}")
        assert f"{number}" in ids
        assert len(ids) <= 2 * MAX_GENERATION_SIZE


def test_a_valid_request_becomes_an_event_for_the_policy(listener: Listener) -> None:
    properties = {"party": "3", "workUs": "12000", "update": "1", "other": "x"}
    request = ClientRequest(
        "GET", "/look/a/k7?q=1", "1", expires_in="0.5", is_client_retry=True, properties=properties
    )
    event = listener.validator.accept(request)
    assert event == RequestReceived(1, 0, SECOND // 2, 3, "k7", 12000, True, True)
    unusual_properties = {"party": "-1", "workUs": "x" * 99}
    unusual = ClientRequest("GET", "/look", "2", expires_in="9e99", properties=unusual_properties)
    assert listener.validator.accept(unusual) == RequestReceived(2, 0, 2 * SECOND)
