"""Snapshots of an earlier release are restored, and a new snapshot then has the same values.

`fixtures/policy_snapshot_e976e78.json` was recorded with the code of commit e976e78: its policy served about
700 requests of four classes in 20 s, in two zones, with errors, ejections, a warming endpoint, load reports
and a limit on retries.  In the first recording the reported load is a queue depth; in the second one the
listed capacities vary with load.
"""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest

from linetrack.control import policy_snapshot
from linetrack.policy.balancer import Balancer
from linetrack.policy.events import EndpointEntry, EndpointListUpdate, ListForm
from linetrack.policy.settings import DeduplicationScope, Idempotency, LoadField, RequestClass, Settings

MS = 1000
SECOND = 1_000_000
RECORDED = json.loads(
    Path(__file__).with_name("fixtures").joinpath("policy_snapshot_e976e78.json").read_text()
)
CLASSES = (
    RequestClass(Idempotency.IDEMPOTENT, 500 * MS, 2 * SECOND, priority_weight=3.0),
    RequestClass(
        Idempotency.IDEMPOTENCY_KEY,
        500 * MS,
        2 * SECOND,
        priority_weight=5.0,
        deduplication_scope=DeduplicationScope.ZONE,
        deduplication_window=SECOND,
    ),
    RequestClass(Idempotency.NON_IDEMPOTENT, 500 * MS, 2 * SECOND, priority_weight=9.0),
    RequestClass(
        Idempotency.IDEMPOTENCY_KEY,
        500 * MS,
        2 * SECOND,
        priority_weight=1.0,
        deduplication_scope=DeduplicationScope.ALL,
        deduplication_window=SECOND,
    ),
)


def recorded_settings(capacity_varies_with_load: bool) -> Settings:
    """Return the settings of a recording."""
    reports: tuple[LoadField, ...] = (LoadField.QUEUE_DEPTH, LoadField.REQUEST_RATE)
    if capacity_varies_with_load:
        reports = (LoadField.UTILIZATION, LoadField.IN_FLIGHT, LoadField.REQUEST_RATE)
    return Settings(
        classes=CLASSES,
        instance_count=3,
        zone_count=2,
        load_report_fields=reports,
        slow_start_initial_fraction=0.2,
        slow_start_duration=10 * SECOND,
        overload_multiple=3.0,
        overload_window=SECOND,
        max_attempts=4,
        capacity_varies_with_load=capacity_varies_with_load,
        retry_window=2 * SECOND,
        retry_window_allowance=40.0,
        retry_window_ratio=0.5,
        keep_alive_timeout=30 * SECOND,
    )


def start_policy(recording: dict[str, Any]) -> Balancer:
    """Return a new policy with the endpoint list of the recording and no learned state."""
    balancer = Balancer(recorded_settings(recording["live_capacities"]), seed=1)
    entries = tuple(
        EndpointEntry(
            endpoint["upstream"],
            zone=endpoint["zone"],
            host_class=endpoint["kind"],
            cell=endpoint["cell"],
            started_at=endpoint["started"],
        )
        for endpoint in recording["endpoints"]
    )
    balancer.handle(recording["now"], EndpointListUpdate(ListForm.CACHED, entries))
    return balancer


def shape(value: Any) -> Any:
    """Return the value with each scalar replaced by the name of its type."""
    if isinstance(value, dict):
        return {key: shape(part) for key, part in value.items()}
    if isinstance(value, list):
        return [shape(part) for part in value]
    return type(value).__name__


@pytest.mark.parametrize("name", sorted(RECORDED))
def test_a_snapshot_of_an_earlier_release_is_restored_and_taken_again_with_the_same_values(name: str) -> None:
    recording = RECORDED[name]
    balancer = start_policy(recording)
    values = recording["snapshot"]
    assert policy_snapshot.restore(balancer, values, recording["now"], True, True)
    taken = json.loads(json.dumps(policy_snapshot.take(balancer)))
    assert shape(taken) == shape(values)
    assert taken == values


@pytest.mark.parametrize("name", sorted(RECORDED))
def test_a_new_policy_takes_a_snapshot_with_the_keys_and_types_of_an_earlier_release(name: str) -> None:
    recording = RECORDED[name]
    values, fresh = (
        recording["snapshot"],
        json.loads(json.dumps(policy_snapshot.take(start_policy(recording)))),
    )
    assert fresh.keys() == values.keys()
    assert [type(fresh[key]) for key in values] == [type(values[key]) for key in values]
    for endpoint, endpoint_values in values["upstreams"].items():
        assert fresh["upstreams"][endpoint].keys() == endpoint_values.keys()


@pytest.mark.parametrize("name", sorted(RECORDED))
def test_each_value_of_an_earlier_release_is_required_and_validated(name: str) -> None:
    recording = RECORDED[name]
    for key in recording["snapshot"]:
        for invalid in (None, "x", float("nan")):
            balancer = start_policy(recording)
            before = json.loads(json.dumps(policy_snapshot.take(balancer)))
            values = {**recording["snapshot"], key: invalid}
            assert not policy_snapshot.restore(balancer, values, recording["now"], True, True), (key, invalid)
            assert json.loads(json.dumps(policy_snapshot.take(balancer))) == before
