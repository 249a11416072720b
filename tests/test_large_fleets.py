"""Lists of 1,024 endpoints and fleets of 1,024 sidecars: selection, draining, removal and handover."""

import json

from linetrack.control import policy_snapshot
from linetrack.policy.balancer import Balancer
from linetrack.policy.events import EndpointEntry, EndpointListUpdate, EndpointStatus, ListForm
from linetrack.server.endpoint_list import MAX_ENDPOINT_LIST_BYTES, decode_endpoint_list
from linetrack.server.hot_restart_messages import MAX_FRAME_BYTES
from linetrack.server.http1.responses import ResponseReader
from tests.helpers import Driver
from tests.support.servers import endpoint_entry

ENDPOINT_COUNT = 1024


def endpoints(generation: str = "a", status: EndpointStatus = EndpointStatus.UP) -> tuple[EndpointEntry, ...]:
    return tuple(
        EndpointEntry(f"{generation}-{index}", zone=index % 2, cell=index % 8, status=status)
        for index in range(ENDPOINT_COUNT)
    )


def endpoints_used(driver: Driver) -> set[str]:
    """Serve 200 requests and return the endpoints that they were sent to."""
    return {driver.serve() for _ in range(200)}


def test_a_large_fleet_is_used_except_for_draining_and_removed_endpoints() -> None:
    driver = Driver(entries=endpoints(), instance_count=ENDPOINT_COUNT)
    assert len(endpoints_used(driver)) > 100
    draining = endpoints(status=EndpointStatus.DRAINING)[: ENDPOINT_COUNT - 2]
    driver.handle_event(EndpointListUpdate(ListForm.DELTA, draining))
    assert not endpoints_used(driver) & {e.endpoint for e in draining}
    driver.handle_event(EndpointListUpdate(ListForm.SNAPSHOT, endpoints("b")))
    assert endpoints_used(driver) <= {e.endpoint for e in endpoints("b")}
    assert len(driver.balancer.endpoints) == ENDPOINT_COUNT


def test_a_policy_snapshot_of_a_large_fleet_fits_into_one_frame() -> None:
    old = Driver(entries=endpoints())
    endpoints_used(old)
    snapshot = json.dumps(policy_snapshot.take(old.balancer))
    listed = json.dumps([endpoint_entry(e.endpoint) for e in endpoints()])
    assert len(snapshot) + len(listed) < MAX_FRAME_BYTES / 8
    new = Balancer(old.balancer.settings, 2)
    new.handle(old.now, EndpointListUpdate(ListForm.CACHED, endpoints()))
    assert policy_snapshot.restore(new, json.loads(snapshot), old.now, True, True)
    assert {name: endpoint.last_success_sent_at for name, endpoint in new.endpoints.items()} == {
        name: endpoint.last_success_sent_at for name, endpoint in old.balancer.endpoints.items()
    }


def test_a_large_list_is_read_completely_with_and_without_indentation_and_in_fragments() -> None:
    value = {"version": 7, "full": True, "servers": [endpoint_entry(f"u{n}") for n in range(ENDPOINT_COUNT)]}
    for indent in (None, 4):
        body = json.dumps(value, indent=indent).encode()
        reader = ResponseReader(MAX_ENDPOINT_LIST_BYTES, MAX_ENDPOINT_LIST_BYTES)
        data = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body
        response = [reader.feed(data[start : start + 1000]) for start in range(0, len(data), 1000)][-1]
        assert response is not None
        assert len(decode_endpoint_list(response.body).endpoints) == ENDPOINT_COUNT
