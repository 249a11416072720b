"""The event of a valid request, and how long the identifier of a request is kept."""

import gevent
import pytest

from linetrack.policy.events import RequestReceived
from linetrack.server import client_timeouts
from linetrack.server.http1.requests import ClientRequest
from linetrack.server.listener import Listener
from linetrack.server.request_validation import RejectedRequestError
from tests.support.units import MS, SECOND
from tests.support.waiting import run_until


def test_request_identifiers_are_discarded_after_the_request_timeout(
    listener: Listener, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(client_timeouts, "REQUEST_TIMEOUT_US", 100 * MS)
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
