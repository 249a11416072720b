"""The baselines follow the rules that apply to any policy."""

import pytest

from linetrack.experiments.baselines import Baseline, BaselinePolicy
from linetrack.policy.actions import FailRequest, StartAttempt
from linetrack.policy.events import (
    AttemptEnded,
    EndpointEntry,
    EndpointListUpdate,
    EndpointStatus,
    ListForm,
    Outcome,
    RequestReceived,
)
from tests.helpers import Driver, listed_entries, settings


@pytest.mark.parametrize("baseline", Baseline)
def test_baselines_avoid_draining_endpoints_and_retry_only_what_was_not_executed(baseline: Baseline) -> None:
    policy = BaselinePolicy(baseline, settings(), 1)
    driver = Driver()
    policy.handle(0, EndpointListUpdate(ListForm.SNAPSHOT, listed_entries()))
    draining = EndpointEntry("h0", status=EndpointStatus.DRAINING)
    policy.handle(0, EndpointListUpdate(ListForm.DELTA, (draining,)))
    selected = set()
    for request_id in range(200):
        (action,) = policy.handle(request_id, RequestReceived(request_id, 0, 1000))
        assert isinstance(action, StartAttempt)
        assert action.endpoint != "h0"
        selected.add(action.endpoint)
        if request_id % 3 == 0:
            (retry,) = policy.handle(
                request_id, AttemptEnded(request_id, 0, action.endpoint, Outcome.OVERLOADED, 1)
            )
            assert isinstance(retry, StartAttempt)
            assert retry.endpoint != action.endpoint
            (failed,) = policy.handle(
                request_id, AttemptEnded(request_id, 1, retry.endpoint, Outcome.RESET, 1)
            )
            assert failed == FailRequest(request_id)
    assert len(selected) == 6
    assert driver.count == 0
