"""Lists of 1,024 servers, and fleets of 1,024 sidecars: listed, drained, replaced, gone, handed over."""

import json

from linetrack.control import policy_snapshot as snapshot
from linetrack.policy.events import EndpointEntry, EndpointListUpdate, EndpointStatus, ListForm
from linetrack.server.endpoint_list import MAX_ENDPOINT_LIST_BYTES, decode_endpoint_list
from linetrack.server.http1.responses import ResponseReader
from linetrack.server.hot_restart_messages import MAX_FRAME_BYTES
from linetrack.policy.balancer import Balancer
from tests.helpers import Driver
from tests.stand_ins import entry

SERVERS = 1024


def servers(generation: str = "a", health: EndpointStatus = EndpointStatus.UP) -> tuple[EndpointEntry, ...]:
    return tuple(EndpointEntry(f"{generation}-{n}", zone=n % 2, cell=n % 8, status=health) for n in range(SERVERS))


def asked(driver: Driver) -> set[str]:
    """Where 200 requests go; all are served."""
    return {driver.serve() for _ in range(200)}


def test_all_of_a_large_fleet_is_used_and_none_that_drains_or_is_gone() -> None:
    driver = Driver(entries=servers(), instance_count=SERVERS)
    assert len(asked(driver)) > 100
    leaving = servers(health=EndpointStatus.DRAINING)[: SERVERS - 2]
    driver.feed(EndpointListUpdate(ListForm.DELTA, leaving))
    assert not asked(driver) & {e.endpoint for e in leaving}
    driver.feed(EndpointListUpdate(ListForm.SNAPSHOT, servers("b")))
    assert asked(driver) <= {e.endpoint for e in servers("b")}
    assert len(driver.balancer.fleet) == SERVERS


def test_what_was_learnt_of_a_large_fleet_goes_over_to_another_process_in_one_frame() -> None:
    old = Driver(entries=servers())
    asked(old)
    told = json.dumps(snapshot.take(old.balancer))
    listed = json.dumps([entry(e.endpoint) for e in servers()])
    assert len(told) + len(listed) < MAX_FRAME_BYTES / 8
    new = Balancer(old.balancer.s, 2)
    new.handle(old.now, EndpointListUpdate(ListForm.CACHED, servers()))
    assert snapshot.restore(new, json.loads(told), old.now, True, True)
    assert {n: u.answered for n, u in new.fleet.items()} == {
        n: u.answered for n, u in old.balancer.fleet.items()
    }


def test_a_large_list_is_read_whole_however_it_is_laid_out_or_cut() -> None:
    value = {"version": 7, "full": True, "servers": [entry(f"u{n}") for n in range(SERVERS)]}
    for indent in (None, 4):
        body = json.dumps(value, indent=indent).encode()
        reader = ResponseReader(MAX_ENDPOINT_LIST_BYTES, MAX_ENDPOINT_LIST_BYTES)
        whole = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body
        got = [reader.feed(whole[at : at + 1000]) for at in range(0, len(whole), 1000)][-1]
        assert got is not None and len(decode_endpoint_list(got.body).endpoints) == SERVERS
