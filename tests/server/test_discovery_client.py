"""The discovery client against a stand-in of discovery, in one process."""

import errno
import json
import socket
import time
from collections.abc import Iterator
from typing import Any, NoReturn

import gevent
import pytest

from linetrack.control import discovery_schedule
from linetrack.control.discovery_schedule import DiscoverySchedule, PollFailure
from linetrack.policy.events import EndpointListUpdate, EndpointStatus, ListForm
from linetrack.policy.settings import Settings
from linetrack.server.address import parse_address
from linetrack.server.budget import Budget
from linetrack.server.connection import Connection
from linetrack.server.discovery_client import DiscoveryClient
from linetrack.server.endpoint_list import parse_endpoint_list
from linetrack.server.upstream_pool import UpstreamPool
from tests.support.http import http_response
from tests.support.servers import DiscoveryServer, endpoint_entry, unused_address
from tests.support.waiting import run_until

SUBSCRIBED = Settings((), must_subscribe=True, poll_interval=10_000_000, drain_grace=1_000_000)
PUSHED = Settings((), drain_grace=300_000)
ONE_HOUR_US = 3_600_000_000  # a backoff that no test sees the end of


class RecordingSchedule(DiscoverySchedule):
    """A schedule that also keeps how polls failed."""

    def __init__(self, settings: Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.failures: list[PollFailure] = []

    def record_failure(self, now: int, failure: PollFailure) -> None:
        self.failures.append(failure)
        super().record_failure(now, failure)


class WatchedClient:
    """The client in its greenlet, the stand-in that it polls, and what it published."""

    def __init__(self, settings: Settings = SUBSCRIBED) -> None:
        self.server = DiscoveryServer([endpoint_entry("a"), endpoint_entry("b")])
        self.updates: list[EndpointListUpdate] = []
        self.upstreams = UpstreamPool(Budget(1024, 192).descriptors, 1, 1)
        self.client = DiscoveryClient(
            parse_address(self.server.address),
            self.upstreams,
            self.publish,
            ("north",),
            ("plain",),
            settings,
            1,
        )
        self.schedule = RecordingSchedule(settings, 1)
        self.client.schedule = self.schedule
        self.greenlet = gevent.spawn(self.client.run)

    def publish(self, update: EndpointListUpdate, _received_at: int) -> None:
        self.updates.append(update)

    def start(self) -> None:
        known = {"version": 1, "full": True, "servers": self.server.entries}
        self.client.restore(parse_endpoint_list(known))
        self.client.watch()

    def forms(self, count: int) -> list[ListForm]:
        """Return the forms of all updates, once there are so many."""
        run_until(lambda: len(self.updates) >= count)
        return [update.form for update in self.updates]

    def close(self) -> None:
        self.greenlet.kill()
        self.server.close()


@pytest.fixture
def watched() -> Iterator[WatchedClient]:
    made = WatchedClient()
    yield made
    made.close()


def test_a_quiet_watch_outlasts_the_connect_timeout(
    watched: WatchedClient, monkeypatch: pytest.MonkeyPatch
) -> None:
    # with the connect timeout left on the socket every long poll ended after it, as unreachable
    monkeypatch.setattr(discovery_schedule, "CONNECT_TIMEOUT_US", 100_000)
    watched.start()
    run_until(lambda: watched.server.calls)
    gevent.sleep(0.3)
    watched.server.change(endpoint_entry("a", state="DRAINING"))
    assert watched.forms(2) == [ListForm.CACHED, ListForm.DELTA]
    assert watched.updates[1].entries[0].status is EndpointStatus.DRAINING


def list_response(version: int, is_snapshot: bool, *entries: Any) -> bytes:
    return http_response(json.dumps({"version": version, "full": is_snapshot, "servers": entries}).encode())


TRUNCATED_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n{}"  # and then nothing


@pytest.mark.parametrize(
    ("reply", "failure"),
    [
        (http_response(b"not JSON"), PollFailure.INVALID),
        (http_response(b"[" * 100_000), PollFailure.INVALID),
        (http_response(b"{}"), PollFailure.INVALID),
        (http_response(b'{"version":2,"full":"yes","servers":[]}'), PollFailure.INVALID),
        (http_response(b'{"version":2,"full":true,"servers":[{"addr":"127.0.0.1:9"}]}'), PollFailure.INVALID),
        (b"SMTP\r\n\r\n", PollFailure.INVALID),
        (list_response(0, False, endpoint_entry("c")), PollFailure.INVALID),
        (TRUNCATED_RESPONSE, PollFailure.TRUNCATED),
        (TRUNCATED_RESPONSE[:9], PollFailure.TRUNCATED),
        (b"", PollFailure.TIMEOUT),
    ],
)
def test_a_failure_of_one_poll_only_is_followed_by_another_poll_at_once(
    watched: WatchedClient, reply: bytes, failure: PollFailure, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The backoff for a server that is down does not apply.

    What a silent, invalid or truncated long poll missed would be binding before the next poll.
    """
    for name, value in {
        "MAX_LONG_POLL_WAIT_US": 50_000,
        "LONG_POLL_RESPONSE_MARGIN_US": 30_000,
        "INITIAL_STALL_TIMEOUT_US": 30_000,
        "INITIAL_BACKOFF_US": ONE_HOUR_US,
    }.items():
        monkeypatch.setattr(discovery_schedule, name, value)
    watched.schedule.backoff = ONE_HOUR_US
    watched.server.scripted = [reply]
    watched.start()
    assert watched.forms(1) == [ListForm.CACHED]
    run_until(lambda: watched.server.calls)
    monkeypatch.undo()
    watched.server.change(endpoint_entry("a", state="DRAINING"))
    assert watched.forms(2)[1] in (ListForm.DELTA, ListForm.SNAPSHOT)
    assert watched.schedule.failures == [failure]
    assert "hold_ms=0" in watched.server.calls[1] or "?" not in watched.server.calls[1]


@pytest.mark.parametrize(
    ("reply", "failure"),
    [
        (http_response(b"", 503), PollFailure.REJECTED),
        (http_response(b"{}", 200, "Content-Length: 7"), PollFailure.INVALID),
        (None, PollFailure.UNREACHABLE),
    ],
)
def test_a_server_that_is_down_is_polled_again_after_a_backoff(
    watched: WatchedClient, reply: bytes | None, failure: PollFailure
) -> None:
    watched.schedule.backoff = 30_000
    watched.server.scripted = [reply]
    watched.start()
    run_until(lambda: watched.schedule.failures)
    assert watched.schedule.failures == [failure]
    assert watched.client.initial_poll_finished.is_set()
    # the current list stays meanwhile; the one that is received then counts
    assert watched.forms(1) == [ListForm.CACHED]
    watched.server.change(endpoint_entry("a", state="DELETED"))
    assert watched.forms(2)[1] in (ListForm.DELTA, ListForm.SNAPSHOT)


def test_after_an_older_version_a_snapshot_is_requested_and_counts(watched: WatchedClient) -> None:
    watched.server.version = 9
    watched.start()
    run_until(lambda: len(watched.server.calls) == 2)
    watched.server.scripted = [list_response(3, False, endpoint_entry("c"))]
    watched.server.change(endpoint_entry("b"))
    run_until(lambda: watched.schedule.failures)
    assert watched.schedule.failures == [PollFailure.INVALID]
    watched.server.version = 4
    run_until(lambda: watched.updates[-1].form is ListForm.SNAPSHOT)
    assert any("?" not in call for call in watched.server.calls)


def test_invalid_entries_are_skipped_and_duplicates_count_once(watched: WatchedClient) -> None:
    watched.server.scripted = [
        list_response(
            2,
            False,
            endpoint_entry("a", state="DRAINING"),
            endpoint_entry("a", state="SERVING", started_ms=5),
            endpoint_entry("b", addr="nowhere"),
            endpoint_entry("b", state="ASLEEP"),
            endpoint_entry("b", weight="heavy"),
            endpoint_entry("c", zone="elsewhere", kind="odd"),
            {"id": "d"},
            None,
            7,
        )
    ]
    watched.start()
    watched.forms(2)
    entries = {e.endpoint: e for e in watched.updates[1].entries}
    assert sorted(entries) == ["a", "c"]
    assert entries["a"].status is EndpointStatus.UP
    assert entries["a"].started_at == 5000
    # a zone and a host class without a name in the settings are numbered after those that have one, and kept
    # nowhere
    assert entries["c"].zone > 0
    assert entries["c"].host_class > 0
    assert watched.client.zone_indexes == {"north": 0}
    assert watched.client.host_class_indexes == {"plain": 0}


def test_long_polls_follow_each_other_at_once_on_one_connection(watched: WatchedClient) -> None:
    watched.start()
    for n in range(5):
        watched.server.change(endpoint_entry("a", started_ms=n))
        watched.forms(2 + n)
    assert len(watched.server.connections) == 1
    versions = [call.partition("from=")[2].partition("&")[0] for call in watched.server.calls]
    assert versions[:5] == ["1", "2", "3", "4", "5"]


def test_an_address_may_change_under_the_same_id(watched: WatchedClient) -> None:
    watched.start()
    watched.server.change(endpoint_entry("a", addr="127.0.0.1:99"))
    watched.forms(2)
    assert watched.upstreams.endpoints["a"].address == ("127.0.0.1", 99)
    watched.server.change({"id": "a", "state": "DELETED"})
    watched.forms(3)
    assert "a" not in watched.upstreams.endpoints


def test_another_server_is_polled_at_once_for_a_snapshot(watched: WatchedClient) -> None:
    # neither the previous server's watch nor its version nor a backoff delays the new one's list
    watched.start()
    run_until(lambda: watched.server.calls)
    other = DiscoveryServer([endpoint_entry("c")])
    watched.client.switch_server(parse_address(other.address))
    assert watched.forms(2) == [ListForm.CACHED, ListForm.SNAPSHOT]
    assert [e.endpoint for e in watched.updates[1].entries] == ["c"]
    assert list(watched.upstreams.endpoints) == ["c"]
    assert "?" not in other.calls[0]
    other.version = 3
    other.change(endpoint_entry("d"))
    assert watched.forms(3)[2] is ListForm.DELTA
    other.close()


def test_switching_servers_ends_a_backoff_and_the_same_address_changes_nothing(
    watched: WatchedClient,
) -> None:
    watched.schedule.backoff = ONE_HOUR_US
    watched.server.scripted = [http_response(b"", 503)]
    watched.start()
    run_until(lambda: watched.schedule.failures)
    watched.client.switch_server(parse_address(watched.server.address))
    gevent.sleep(0.05)
    assert len(watched.server.calls) == 1
    other = DiscoveryServer([endpoint_entry("c")])
    watched.client.switch_server(parse_address(other.address))
    assert watched.forms(2)[1] is ListForm.SNAPSHOT
    other.close()


def test_an_update_of_the_previous_server_counts_until_the_new_one_has_responded(
    watched: WatchedClient,
) -> None:
    """An update is binding when it is written, and the new server may take long to respond."""
    watched.start()
    run_until(lambda: watched.server.calls)
    other = DiscoveryServer([endpoint_entry("a"), endpoint_entry("c")])
    with other.change_condition:  # it takes the poll and cannot respond yet
        watched.client.switch_server(parse_address(other.address))
        run_until(lambda: other.connections)
        watched.server.change(endpoint_entry("b", state="DRAINING"))
        assert watched.forms(2) == [ListForm.CACHED, ListForm.DELTA]
        assert watched.upstreams.endpoints["b"].status is EndpointStatus.DRAINING
    assert watched.forms(3)[2] is ListForm.SNAPSHOT
    # what the previous server sends from here on does not count
    watched.server.change(endpoint_entry("c", state="DRAINING"))
    run_until(lambda: len(other.calls) >= 2)
    gevent.sleep(0)
    assert watched.upstreams.endpoints["c"].status is EndpointStatus.UP
    assert len(watched.updates) == 3
    other.close()


def test_a_long_poll_that_ends_in_half_of_its_response_is_repeated_at_once(watched: WatchedClient) -> None:
    """Half of a list must not be taken for all of it, and the other half not be waited for."""
    response = list_response(
        2, False, endpoint_entry("a", state="DRAINING"), endpoint_entry("b", state="DRAINING")
    )
    watched.schedule.backoff = ONE_HOUR_US
    watched.server.scripted = [response[:-30]]
    watched.start()
    run_until(lambda: watched.server.calls)
    watched.server.change(endpoint_entry("b", state="DRAINING"))
    watched.server.connections[0].shutdown(socket.SHUT_RDWR)
    assert watched.forms(2)[1] is ListForm.DELTA
    assert watched.schedule.failures == [PollFailure.TRUNCATED]
    assert "hold_ms=0" in watched.server.calls[1]
    assert [e.endpoint for e in watched.updates[1].entries] == ["b"]


def test_without_a_descriptor_for_its_poll_the_process_goes_on(
    watched: WatchedClient, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Clients may leave no descriptor for a poll: the process must not end of that."""

    def none_left(*_args: object) -> NoReturn:
        monkeypatch.setattr("linetrack.server.discovery_client.Connection", Connection)
        raise OSError(errno.EMFILE, "Too many open files")

    monkeypatch.setattr("linetrack.server.discovery_client.Connection", none_left)
    watched.start()
    run_until(lambda: watched.schedule.failures)
    assert watched.schedule.failures == [PollFailure.UNREACHABLE]
    run_until(lambda: watched.server.calls)
    assert not watched.greenlet.dead


def test_where_updates_are_pushed_the_initial_poll_finishes_with_a_list_not_with_a_rejection() -> None:
    """What discovery has is binding from the first moment.

    A rejection by a server that hundreds poll at once must not let the process serve by a list from before
    its start.
    """
    watched = WatchedClient(PUSHED)
    try:
        watched.server.scripted = [
            http_response(b"", 503),
            http_response(b"", 503),
            http_response(b"not JSON"),
        ]
        run_until(lambda: len(watched.schedule.failures) == 3)
        assert not watched.client.initial_poll_finished.is_set()
        run_until(watched.client.initial_poll_finished.is_set)
        assert watched.updates[-1].form is ListForm.SNAPSHOT
    finally:
        watched.close()


def test_while_the_new_server_fails_the_current_list_stays(watched: WatchedClient) -> None:
    watched.start()
    run_until(lambda: watched.server.calls)
    watched.client.switch_server(parse_address(unused_address()))
    run_until(lambda: watched.schedule.failures)
    assert watched.schedule.failures == [PollFailure.UNREACHABLE]
    assert sorted(watched.upstreams.endpoints) == ["a", "b"]


def test_where_updates_are_pushed_it_polls_unasked_and_first_for_an_immediate_response() -> None:
    """A long poll is answered at once only where there is a change.

    The process must not serve by a list from before its start while discovery has a newer one.
    """
    watched = WatchedClient(PUSHED)
    try:
        watched.server.scripted = [http_response(b"", 503), list_response(1, False)]
        watched.client.restore(
            parse_endpoint_list({"version": 1, "full": True, "servers": watched.server.entries})
        )
        assert not watched.client.initial_poll_finished.is_set()
        run_until(lambda: len(watched.server.calls) == 3)
        assert [call.partition("hold_ms=")[2] for call in watched.server.calls[:2]] == ["0", "0"]
        assert watched.client.initial_poll_finished.is_set()
        watched.server.change(endpoint_entry("a", state="DRAINING"))
        assert watched.forms(2)[1] is ListForm.DELTA
    finally:
        watched.close()


def test_a_server_that_does_not_wait_for_changes_is_not_polled_without_a_pause(
    watched: WatchedClient, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(discovery_schedule, "UNCHANGED_LIST_PAUSE_US", 40_000)
    watched.server.scripted = [
        list_response(1, False),
        list_response(1, False, endpoint_entry("a")),
        list_response(1, False),
    ]
    before = time.monotonic()
    watched.start()
    run_until(lambda: len(watched.server.calls) >= 4)
    assert time.monotonic() - before >= 3 * 0.04
