"""The discovery client against a fake discovery server in the same process."""

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
ONE_HOUR_US = 3_600_000_000  # a backoff longer than any test


class RecordingSchedule(DiscoverySchedule):
    """A schedule that also records how polls failed."""

    def __init__(self, settings: Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.failures: list[PollFailure] = []

    def record_failure(self, now: int, failure: PollFailure) -> None:
        self.failures.append(failure)
        super().record_failure(now, failure)


class DiscoveryClientHarness:
    """A running discovery client, the fake server that it polls, and the updates that it published."""

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
        """Return the forms of all updates, once there are at least `count`."""
        run_until(lambda: len(self.updates) >= count)
        return [update.form for update in self.updates]

    def close(self) -> None:
        self.greenlet.kill()
        self.server.close()


@pytest.fixture
def harness() -> Iterator[DiscoveryClientHarness]:
    harness = DiscoveryClientHarness()
    yield harness
    harness.close()


def test_a_long_poll_without_changes_outlasts_the_connect_timeout(
    harness: DiscoveryClientHarness, monkeypatch: pytest.MonkeyPatch
) -> None:
    # If the connect timeout stayed set on the socket, it would end every long poll as unreachable.
    monkeypatch.setattr(discovery_schedule, "CONNECT_TIMEOUT_US", 100_000)
    harness.start()
    run_until(lambda: harness.server.calls)
    gevent.sleep(0.3)
    harness.server.change(endpoint_entry("a", state="DRAINING"))
    assert harness.forms(2) == [ListForm.CACHED, ListForm.DELTA]
    assert harness.updates[1].entries[0].status is EndpointStatus.DRAINING


def list_response(version: int, is_snapshot: bool, *entries: Any) -> bytes:
    return http_response(json.dumps({"version": version, "full": is_snapshot, "servers": entries}).encode())


TRUNCATED_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n{}"  # 48 bytes are missing


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
    harness: DiscoveryClientHarness, reply: bytes, failure: PollFailure, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The backoff for a server that is down does not apply to one failed poll.

    A silent, invalid or truncated response may have carried an update, which is binding before the next poll.
    """
    for name, value in {
        "MAX_LONG_POLL_WAIT_US": 50_000,
        "LONG_POLL_RESPONSE_MARGIN_US": 30_000,
        "INITIAL_STALL_TIMEOUT_US": 30_000,
        "INITIAL_BACKOFF_US": ONE_HOUR_US,
    }.items():
        monkeypatch.setattr(discovery_schedule, name, value)
    harness.schedule.backoff = ONE_HOUR_US
    harness.server.scripted = [reply]
    harness.start()
    assert harness.forms(1) == [ListForm.CACHED]
    run_until(lambda: harness.server.calls)
    monkeypatch.undo()
    harness.server.change(endpoint_entry("a", state="DRAINING"))
    assert harness.forms(2)[1] in (ListForm.DELTA, ListForm.SNAPSHOT)
    assert harness.schedule.failures == [failure]
    assert "hold_ms=0" in harness.server.calls[1] or "?" not in harness.server.calls[1]


@pytest.mark.parametrize(
    ("reply", "failure"),
    [
        (http_response(b"", 503), PollFailure.REJECTED),
        (http_response(b"{}", 200, "Content-Length: 7"), PollFailure.INVALID),
        (None, PollFailure.UNREACHABLE),
    ],
)
def test_a_server_that_is_down_is_polled_again_after_a_backoff(
    harness: DiscoveryClientHarness, reply: bytes | None, failure: PollFailure
) -> None:
    harness.schedule.backoff = 30_000
    harness.server.scripted = [reply]
    harness.start()
    run_until(lambda: harness.schedule.failures)
    assert harness.schedule.failures == [failure]
    assert harness.client.initial_poll_finished.is_set()
    # The current list stays in use until the next one is received.
    assert harness.forms(1) == [ListForm.CACHED]
    harness.server.change(endpoint_entry("a", state="DELETED"))
    assert harness.forms(2)[1] in (ListForm.DELTA, ListForm.SNAPSHOT)


def test_after_an_older_version_a_snapshot_is_requested_and_published(
    harness: DiscoveryClientHarness,
) -> None:
    harness.server.version = 9
    harness.start()
    run_until(lambda: len(harness.server.calls) == 2)
    harness.server.scripted = [list_response(3, False, endpoint_entry("c"))]
    harness.server.change(endpoint_entry("b"))
    run_until(lambda: harness.schedule.failures)
    assert harness.schedule.failures == [PollFailure.INVALID]
    harness.server.version = 4
    run_until(lambda: harness.updates[-1].form is ListForm.SNAPSHOT)
    assert any("?" not in call for call in harness.server.calls)


def test_invalid_entries_are_skipped_and_the_last_of_duplicate_entries_is_used(
    harness: DiscoveryClientHarness,
) -> None:
    harness.server.scripted = [
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
    harness.start()
    harness.forms(2)
    entries = {e.endpoint: e for e in harness.updates[1].entries}
    assert sorted(entries) == ["a", "c"]
    assert entries["a"].status is EndpointStatus.UP
    assert entries["a"].started_at == 5000
    # A zone or host class that is not in the settings gets an index after all others, and is not stored.
    assert entries["c"].zone > 0
    assert entries["c"].host_class > 0
    assert harness.client.zone_indexes == {"north": 0}
    assert harness.client.host_class_indexes == {"plain": 0}


def test_successive_long_polls_use_one_connection_without_a_pause(harness: DiscoveryClientHarness) -> None:
    harness.start()
    for change_count in range(5):
        harness.server.change(endpoint_entry("a", started_ms=change_count))
        harness.forms(2 + change_count)
    assert len(harness.server.connections) == 1
    versions = [call.partition("from=")[2].partition("&")[0] for call in harness.server.calls]
    assert versions[:5] == ["1", "2", "3", "4", "5"]


def test_the_address_of_an_endpoint_id_may_change(harness: DiscoveryClientHarness) -> None:
    harness.start()
    harness.server.change(endpoint_entry("a", addr="127.0.0.1:99"))
    harness.forms(2)
    assert harness.upstreams.endpoints["a"].address == ("127.0.0.1", 99)
    harness.server.change({"id": "a", "state": "DELETED"})
    harness.forms(3)
    assert "a" not in harness.upstreams.endpoints


def test_another_server_is_polled_at_once_for_a_snapshot(harness: DiscoveryClientHarness) -> None:
    # Neither a long poll nor the list version of the previous server delays the new server's list.
    harness.start()
    run_until(lambda: harness.server.calls)
    other = DiscoveryServer([endpoint_entry("c")])
    harness.client.switch_server(parse_address(other.address))
    assert harness.forms(2) == [ListForm.CACHED, ListForm.SNAPSHOT]
    assert [e.endpoint for e in harness.updates[1].entries] == ["c"]
    assert list(harness.upstreams.endpoints) == ["c"]
    assert "?" not in other.calls[0]
    other.version = 3
    other.change(endpoint_entry("d"))
    assert harness.forms(3)[2] is ListForm.DELTA
    other.close()


def test_switching_servers_ends_a_backoff_and_the_same_address_changes_nothing(
    harness: DiscoveryClientHarness,
) -> None:
    harness.schedule.backoff = ONE_HOUR_US
    harness.server.scripted = [http_response(b"", 503)]
    harness.start()
    run_until(lambda: harness.schedule.failures)
    harness.client.switch_server(parse_address(harness.server.address))
    gevent.sleep(0.05)
    assert len(harness.server.calls) == 1
    other = DiscoveryServer([endpoint_entry("c")])
    harness.client.switch_server(parse_address(other.address))
    assert harness.forms(2)[1] is ListForm.SNAPSHOT
    other.close()


def test_updates_of_the_previous_server_are_published_until_the_new_one_has_responded(
    harness: DiscoveryClientHarness,
) -> None:
    """An update is binding once it is written, and the new server may take long to respond."""
    harness.start()
    run_until(lambda: harness.server.calls)
    other = DiscoveryServer([endpoint_entry("a"), endpoint_entry("c")])
    with other.change_condition:  # holding it keeps the new server from responding to the poll
        harness.client.switch_server(parse_address(other.address))
        run_until(lambda: other.connections)
        harness.server.change(endpoint_entry("b", state="DRAINING"))
        assert harness.forms(2) == [ListForm.CACHED, ListForm.DELTA]
        assert harness.upstreams.endpoints["b"].status is EndpointStatus.DRAINING
    assert harness.forms(3)[2] is ListForm.SNAPSHOT
    # Updates that the previous server sends from now on are not published.
    harness.server.change(endpoint_entry("c", state="DRAINING"))
    run_until(lambda: len(other.calls) >= 2)
    gevent.sleep(0)
    assert harness.upstreams.endpoints["c"].status is EndpointStatus.UP
    assert len(harness.updates) == 3
    other.close()


def test_a_long_poll_with_a_truncated_response_is_repeated_at_once(harness: DiscoveryClientHarness) -> None:
    """A truncated list must not be used as a complete one, and its rest must not be delayed by a backoff."""
    response = list_response(
        2, False, endpoint_entry("a", state="DRAINING"), endpoint_entry("b", state="DRAINING")
    )
    harness.schedule.backoff = ONE_HOUR_US
    harness.server.scripted = [response[:-30]]
    harness.start()
    run_until(lambda: harness.server.calls)
    harness.server.change(endpoint_entry("b", state="DRAINING"))
    harness.server.connections[0].shutdown(socket.SHUT_RDWR)
    assert harness.forms(2)[1] is ListForm.DELTA
    assert harness.schedule.failures == [PollFailure.TRUNCATED]
    assert "hold_ms=0" in harness.server.calls[1]
    assert [e.endpoint for e in harness.updates[1].entries] == ["b"]


def test_without_a_descriptor_only_the_poll_fails_and_polling_continues(
    harness: DiscoveryClientHarness, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Clients may use all descriptors, which must not end the process."""

    def fail_without_descriptor(*_args: object) -> NoReturn:
        monkeypatch.setattr("linetrack.server.discovery_client.Connection", Connection)
        raise OSError(errno.EMFILE, "Too many open files")

    monkeypatch.setattr("linetrack.server.discovery_client.Connection", fail_without_descriptor)
    harness.start()
    run_until(lambda: harness.schedule.failures)
    assert harness.schedule.failures == [PollFailure.UNREACHABLE]
    run_until(lambda: harness.server.calls)
    assert not harness.greenlet.dead


def test_with_pushed_updates_a_rejection_does_not_finish_the_initial_poll_but_a_list_does() -> None:
    """Discovery's list is binding from the start of the process.

    A rejection by a server that hundreds of processes poll at once must not let the process serve with a list
    from before its start.
    """
    harness = DiscoveryClientHarness(PUSHED)
    try:
        harness.server.scripted = [
            http_response(b"", 503),
            http_response(b"", 503),
            http_response(b"not JSON"),
        ]
        run_until(lambda: len(harness.schedule.failures) == 3)
        assert not harness.client.initial_poll_finished.is_set()
        run_until(harness.client.initial_poll_finished.is_set)
        assert harness.updates[-1].form is ListForm.SNAPSHOT
    finally:
        harness.close()


def test_while_the_new_server_fails_the_current_list_stays(harness: DiscoveryClientHarness) -> None:
    harness.start()
    run_until(lambda: harness.server.calls)
    harness.client.switch_server(parse_address(unused_address()))
    run_until(lambda: harness.schedule.failures)
    assert harness.schedule.failures == [PollFailure.UNREACHABLE]
    assert sorted(harness.upstreams.endpoints) == ["a", "b"]


def test_with_pushed_updates_polling_starts_without_watch_and_with_a_wait_of_zero() -> None:
    """Discovery responds to a long poll at once only if there is a change.

    The process must not serve with a list from before its start while discovery has a newer one.
    """
    harness = DiscoveryClientHarness(PUSHED)
    try:
        harness.server.scripted = [http_response(b"", 503), list_response(1, False)]
        harness.client.restore(
            parse_endpoint_list({"version": 1, "full": True, "servers": harness.server.entries})
        )
        assert not harness.client.initial_poll_finished.is_set()
        run_until(lambda: len(harness.server.calls) == 3)
        assert [call.partition("hold_ms=")[2] for call in harness.server.calls[:2]] == ["0", "0"]
        assert harness.client.initial_poll_finished.is_set()
        harness.server.change(endpoint_entry("a", state="DRAINING"))
        assert harness.forms(2)[1] is ListForm.DELTA
    finally:
        harness.close()


def test_a_server_that_responds_to_long_polls_early_is_polled_with_a_pause(
    harness: DiscoveryClientHarness, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(discovery_schedule, "UNCHANGED_LIST_PAUSE_US", 40_000)
    harness.server.scripted = [
        list_response(1, False),
        list_response(1, False, endpoint_entry("a")),
        list_response(1, False),
    ]
    started_at = time.monotonic()
    harness.start()
    run_until(lambda: len(harness.server.calls) >= 4)
    assert time.monotonic() - started_at >= 3 * 0.04
