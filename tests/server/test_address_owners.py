"""Endpoints that reuse the address or the name of one that has gone."""

from __future__ import annotations

from pathlib import Path

from hypothesis import given
from hypothesis import strategies as st

from linetrack.policy.events import EndpointStatus, Outcome
from linetrack.server.address_owners import remove_superseded
from linetrack.server.endpoint_list import EndpointRecord
from linetrack.server.upstream_pool import UpstreamPool
from tests.server.running_attempts import RunningAttempts, endpoint_record
from tests.support.http import HttpConnection, HttpMessage, http_request, http_response
from tests.support.servers import UpstreamServer, endpoint_entry
from tests.support.sidecar_process import Deployment
from tests.support.units import SECOND
from tests.support.waiting import wait_until


def record(
    name: str, port: int, started_at_ms: int = 0, status: EndpointStatus = EndpointStatus.UP
) -> EndpointRecord:
    return EndpointRecord(name, ("127.0.0.1", port), "north", "plain", 1, status, 1.0, started_at_ms)


def removed_names(records: tuple[EndpointRecord, ...]) -> set[str]:
    return {record.name for record in records if record.status is EndpointStatus.REMOVED}


def test_the_endpoint_with_the_later_start_owns_the_address() -> None:
    earlier, later = record("a", 1, 1000), record("b", 1, 2000)
    assert removed_names(remove_superseded((later,), [earlier], is_snapshot=False)) == {"a"}
    assert removed_names(remove_superseded((earlier,), [later], is_snapshot=False)) == {"a"}
    assert remove_superseded((earlier, later), [], is_snapshot=True) == (later,)


def test_of_unknown_starts_the_endpoint_that_is_new_owns_the_address() -> None:
    assert removed_names(remove_superseded((record("b", 1),), [record("a", 1)], is_snapshot=False)) == {"a"}
    draining = record("b", 1, 0, EndpointStatus.DRAINING)
    assert not removed_names(remove_superseded((draining,), [record("a", 1)], is_snapshot=False))
    both = (record("a", 1), record("b", 1))
    assert remove_superseded(both, [], is_snapshot=True) == both


RECORDS = st.builds(
    record, st.sampled_from("abcd"), st.integers(1, 3), st.integers(0, 2), st.sampled_from(EndpointStatus)
)


@given(updates=st.lists(st.tuples(st.lists(RECORDS, max_size=5), st.booleans()), max_size=6))
def test_endpoints_that_share_an_address_have_started_at_the_same_time(
    updates: list[tuple[list[EndpointRecord], bool]],
) -> None:
    pool = UpstreamPool(RunningAttempts().budget.descriptors, SECOND, SECOND)
    for records, is_snapshot in updates:
        unique = tuple({record.name: record for record in records}.values())
        update = remove_superseded(unique, pool.records(), is_snapshot)
        pool.update_endpoints(update, is_snapshot)
        starts: dict[tuple[str, int], set[int]] = {}
        for known in pool.records():
            starts.setdefault(known.address, set()).add(known.started_at_ms)
        assert all(len(times) == 1 for times in starts.values())
        assert {(e.address, e.status) for e in pool.endpoints.values()} == {
            (known.address, known.status) for known in pool.records()
        }


def test_nothing_is_sent_to_an_endpoint_that_moved_or_started_again_after_the_decision() -> None:
    """Guards against an attempt that was decided for a process that has gone."""
    for address, started_at_ms in (("127.0.0.1:9", 0), ("", 1000)):
        server = UpstreamServer("a")
        attempts = RunningAttempts(server)
        upstream = attempts.pool.endpoints["a"]
        attempts.start()
        attempts.wait_for_outcomes()
        assert upstream.idle
        moved = endpoint_record("a", address or server.address)
        changed = EndpointRecord(
            "a", moved.address, "north", "plain", 1, EndpointStatus.UP, 1.0, started_at_ms
        )
        attempts.pool.update_endpoints((changed,), False)
        assert upstream.status is EndpointStatus.REMOVED
        assert not upstream.idle
        assert not attempts.descriptors_in_use()
        assert attempts.finished[0].outcome is Outcome.SUCCESS
        server.close()


def test_a_keyed_request_is_not_sent_to_the_zone_of_a_process_whose_address_another_has(
    tmp_path: Path,
) -> None:
    """Guards against a request that runs in two zones, one of which is taken for the other."""

    def fail(_message: HttpMessage, _wire: HttpConnection) -> bytes:
        return http_response(b"", 500)

    north, moved = UpstreamServer("north"), UpstreamServer("gone", fail)
    deployment = Deployment(tmp_path, north, moved)
    deployment.sidecar.config["settings"]["classes"][2]["dedupScope"] = "zone"
    with deployment as sidecar:
        assert sidecar.send_class_request().status == 200
        deployment.discovery.change(endpoint_entry("south", moved.address, zone="south", started_ms=1000))
        wait_until(lambda: len([call for call in deployment.discovery.calls if "from=2" in call]))
        for number in range(40):
            fields = (f"X-Trace-Id: k{number}", "X-Expires-In: 2.0", f"Idempotency-Key: {number}")
            sidecar.exchange(http_request("/book/k", "POST", *fields, body=b"b"))
        keyed = [
            {m.headers["x-trace-id"] for m in server.seen if "book" in m.target} for server in (north, moved)
        ]
        assert not keyed[0] & keyed[1]
