"""The baselines keep the rules that any policy must."""

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
def test_baselines_keep_the_rules_that_any_policy_must(baseline: Baseline) -> None:
    policy = BaselinePolicy(baseline, settings(), 1)
    driver = Driver()
    policy.handle(0, EndpointListUpdate(ListForm.SNAPSHOT, listed_entries()))
    draining = EndpointEntry("h0", status=EndpointStatus.DRAINING)
    policy.handle(0, EndpointListUpdate(ListForm.DELTA, (draining,)))
    sent = set()
    for n in range(200):
        (action,) = policy.handle(n, RequestReceived(n, 0, 1000))
        assert isinstance(action, StartAttempt)
        assert action.endpoint != "h0"
        sent.add(action.endpoint)
        if n % 3 == 0:
            (again,) = policy.handle(n, AttemptEnded(n, 0, action.endpoint, Outcome.OVERLOADED, 1))
            assert isinstance(again, StartAttempt)
            assert again.endpoint != action.endpoint
            (failed,) = policy.handle(n, AttemptEnded(n, 1, again.endpoint, Outcome.RESET, 1))
            assert failed == FailRequest(n)
    assert len(sent) == 6
    assert driver.count == 0
