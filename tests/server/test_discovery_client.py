"""Discovery: calls and watches, against a stand-in, in one process."""

import errno
import json
import socket
import time
from collections.abc import Iterator
from typing import Any, NoReturn

import gevent
import pytest

from linetrack.control import discovery_schedule
from linetrack.control.discovery_schedule import PollFailure
from linetrack.policy.events import EndpointListUpdate, EndpointStatus, ListForm
from linetrack.policy.settings import Settings
from linetrack.server.budget import Budget
from linetrack.server.connection import Connection
from linetrack.server.discovery_client import DiscoveryClient
from linetrack.server.address import parse_address
from linetrack.server.endpoint_list import parse_endpoint_list
from linetrack.server.upstream_pool import UpstreamPool
from tests import stand_ins
from tests.stand_ins import answer, entry, turns_until

ASKED = Settings((), must_subscribe=True, poll_interval=10_000_000, drain_grace=1_000_000)
PUSHED = Settings((), drain_grace=300_000)
LONG = 3_600_000_000  # a wait that a test never sees the end of


class Watched:
    """The greenlet under test, its stand-in and what the owner was told."""

    def __init__(self, settings: Settings = ASKED) -> None:
        self.server = stand_ins.Discovery([entry("a"), entry("b")])
        self.told: list[EndpointListUpdate] = []
        self.upstreams = UpstreamPool(Budget(1024, 192), 1, 1)
        self.failed: list[PollFailure] = []
        self.discovery = DiscoveryClient(
            parse_address(self.server.address), self.upstreams, self.put, ("north",), ("plain",), settings, 1
        )
        failed = self.discovery.schedule.record_failure

        def note(now: int, fault: PollFailure) -> None:
            self.failed.append(fault)
            failed(now, fault)

        self.discovery.schedule.record_failure = note  # type: ignore[method-assign]
        self.greenlet = gevent.spawn(self.discovery.run)

    def put(self, news: EndpointListUpdate, seen: int) -> None:
        self.told.append(news)

    def start(self) -> None:
        known = {"version": 1, "full": True, "servers": self.server.entries}
        self.discovery.restore(parse_endpoint_list(known))
        self.discovery.watch()

    def forms(self, count: int) -> list[ListForm]:
        """The forms of all that was told, once there are so many."""
        turns_until(lambda: len(self.told) >= count)
        return [news.form for news in self.told]

    def close(self) -> None:
        self.greenlet.kill()
        self.server.close()


@pytest.fixture
def watched() -> Iterator[Watched]:
    made = Watched()
    yield made
    made.close()


def test_a_quiet_watch_outlasts_the_time_to_dial(watched: Watched, monkeypatch: pytest.MonkeyPatch) -> None:
    # guards against the dial's time-out staying on the socket: every watch ended after it, as refused
    monkeypatch.setattr(discovery_schedule, "CONNECT_TIMEOUT_US", 100_000)
    watched.start()
    turns_until(lambda: watched.server.calls)
    gevent.sleep(0.3)
    watched.server.change(entry("a", state="DRAINING"))
    assert watched.forms(2) == [ListForm.CACHED, ListForm.DELTA]
    assert watched.told[1].entries[0].status is EndpointStatus.DRAINING


def listed(version: int, full: bool, *entries: Any) -> bytes:
    return answer(json.dumps({"version": version, "full": full, "servers": entries}).encode())


HALF = b"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n{}"  # and then nothing


@pytest.mark.parametrize(
    ("reply", "fault"),
    [
        (answer(b"not JSON"), PollFailure.INVALID),
        (answer(b"[" * 100_000), PollFailure.INVALID),
        (answer(b"{}"), PollFailure.INVALID),
        (answer(b'{"version":2,"full":"yes","servers":[]}'), PollFailure.INVALID),
        (answer(b'{"version":2,"full":true,"servers":[{"addr":"127.0.0.1:9"}]}'), PollFailure.INVALID),
        (b"SMTP\r\n\r\n", PollFailure.INVALID),
        (listed(0, False, entry("c")), PollFailure.INVALID),
        (HALF, PollFailure.TRUNCATED),
        (HALF[:9], PollFailure.TRUNCATED),
        (b"", PollFailure.TIMEOUT),
    ],
)
def test_what_only_one_call_met_is_followed_by_another_at_once(
    watched: Watched, reply: bytes, fault: PollFailure, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against the back-off of a discovery that is down after a watch that fell silent, or was spoilt
    or cut short: what it missed bound before the next call."""
    for name, short in {
        "MAX_LONG_POLL_WAIT_US": 50_000,
        "LONG_POLL_RESPONSE_MARGIN_US": 30_000,
        "INITIAL_STALL_TIMEOUT_US": 30_000,
        "INITIAL_BACKOFF_US": LONG,
    }.items():
        monkeypatch.setattr(discovery_schedule, name, short)
    watched.discovery.schedule.backoff = LONG
    watched.server.scripted = [reply]
    watched.start()
    assert watched.forms(1) == [ListForm.CACHED]
    turns_until(lambda: watched.server.calls)
    monkeypatch.undo()
    watched.server.change(entry("a", state="DRAINING"))
    assert watched.forms(2)[1] in (ListForm.DELTA, ListForm.SNAPSHOT)
    assert watched.failed == [fault]
    assert "hold_ms=0" in watched.server.calls[1] or "?" not in watched.server.calls[1]


@pytest.mark.parametrize(
    ("reply", "fault"),
    [
        (answer(b"", 503), PollFailure.REJECTED),
        (answer(b"{}", 200, "Content-Length: 7"), PollFailure.INVALID),
        (None, PollFailure.UNREACHABLE),
    ],
)
def test_a_discovery_that_is_down_is_called_again_after_a_wait(
    watched: Watched, reply: bytes | None, fault: PollFailure
) -> None:
    watched.discovery.schedule.backoff = 30_000
    watched.server.scripted = [reply]
    watched.start()
    turns_until(lambda: watched.failed)
    assert watched.failed == [fault] and watched.discovery.initial_poll_finished.is_set()
    # the old list stands meanwhile; the list that is told then counts
    assert watched.forms(1) == [ListForm.CACHED]
    watched.server.change(entry("a", state="DELETED"))
    assert watched.forms(2)[1] in (ListForm.DELTA, ListForm.SNAPSHOT)


def test_after_an_older_version_the_whole_list_is_asked_for_and_counts(watched: Watched) -> None:
    watched.server.version = 9
    watched.start()
    turns_until(lambda: len(watched.server.calls) == 2)
    watched.server.scripted = [listed(3, False, entry("c"))]
    watched.server.change(entry("b"))
    turns_until(lambda: watched.failed)
    assert watched.failed == [PollFailure.INVALID]
    watched.server.version = 4
    turns_until(lambda: watched.told[-1].form is ListForm.SNAPSHOT)
    assert any("?" not in call for call in watched.server.calls)


def test_entries_that_make_no_sense_are_passed_over_and_doubles_count_once(watched: Watched) -> None:
    watched.server.scripted = [
        listed(
            2,
            False,
            entry("a", state="DRAINING"),
            entry("a", state="SERVING", started_ms=5),
            entry("b", addr="nowhere"),
            entry("b", state="ASLEEP"),
            entry("b", weight="heavy"),
            entry("c", zone="elsewhere", kind="odd"),
            {"id": "d"},
            None,
            7,
        )
    ]
    watched.start()
    watched.forms(2)
    told = {e.endpoint: e for e in watched.told[1].entries}
    assert sorted(told) == ["a", "c"]
    assert told["a"].status is EndpointStatus.UP and told["a"].started_at == 5000
    # a zone and a kind without a name in the settings are numbered after those that have one, and kept
    # nowhere
    assert told["c"].zone > 0 and told["c"].host_class > 0
    assert watched.discovery.zone_indexes == {"north": 0}
    assert watched.discovery.host_class_indexes == {"plain": 0}


def test_watches_go_on_at_once_on_one_connection(watched: Watched) -> None:
    watched.start()
    for n in range(5):
        watched.server.change(entry("a", started_ms=n))
        watched.forms(2 + n)
    assert len(watched.server.connections) == 1
    froms = [call.partition("from=")[2].partition("&")[0] for call in watched.server.calls]
    assert froms[:5] == ["1", "2", "3", "4", "5"]


def test_an_address_may_change_under_the_same_id(watched: Watched) -> None:
    watched.start()
    watched.server.change(entry("a", addr="127.0.0.1:99"))
    watched.forms(2)
    assert watched.upstreams.endpoints["a"].address == ("127.0.0.1", 99)
    watched.server.change({"id": "a", "state": "DELETED"})
    watched.forms(3)
    assert "a" not in watched.upstreams.endpoints


def test_a_discovery_that_moved_is_asked_at_once_for_its_whole_list(watched: Watched) -> None:
    # guards against the old one's watch, its version or a back-off standing in the way of the new one's news
    watched.start()
    turns_until(lambda: watched.server.calls)
    other = stand_ins.Discovery([entry("c")])
    watched.discovery.switch_server(parse_address(other.address))
    assert watched.forms(2) == [ListForm.CACHED, ListForm.SNAPSHOT]
    assert [e.endpoint for e in watched.told[1].entries] == ["c"] and list(watched.upstreams.endpoints) == ["c"]
    assert "?" not in other.calls[0]
    other.version = 3
    other.change(entry("d"))
    assert watched.forms(3)[2] is ListForm.DELTA
    other.close()


def test_a_move_ends_a_back_off_and_the_same_address_changes_nothing(watched: Watched) -> None:
    watched.discovery.schedule.backoff = LONG
    watched.server.scripted = [answer(b"", 503)]
    watched.start()
    turns_until(lambda: watched.failed)
    watched.discovery.switch_server(parse_address(watched.server.address))
    gevent.sleep(0.05)
    assert len(watched.server.calls) == 1
    other = stand_ins.Discovery([entry("c")])
    watched.discovery.switch_server(parse_address(other.address))
    assert watched.forms(2)[1] is ListForm.SNAPSHOT
    other.close()


def test_news_of_the_old_discovery_counts_until_the_new_one_has_answered(watched: Watched) -> None:
    """Guards against a watch given up at SIGHUP with news on its way: it counts as told when it is written,
    and the new discovery may be long in answering."""
    watched.start()
    turns_until(lambda: watched.server.calls)
    other = stand_ins.Discovery([entry("a"), entry("c")])
    with other.news:  # it takes the call and cannot answer yet
        watched.discovery.switch_server(parse_address(other.address))
        turns_until(lambda: other.connections)
        watched.server.change(entry("b", state="DRAINING"))
        assert watched.forms(2) == [ListForm.CACHED, ListForm.DELTA]
        assert watched.upstreams.endpoints["b"].status is EndpointStatus.DRAINING
    assert watched.forms(3)[2] is ListForm.SNAPSHOT
    # what the old one tells from here on is nobody's business
    watched.server.change(entry("c", state="DRAINING"))
    turns_until(lambda: len(other.calls) >= 2)
    gevent.sleep(0)
    assert watched.upstreams.endpoints["c"].status is EndpointStatus.UP and len(watched.told) == 3
    other.close()


def test_a_watch_that_dies_with_its_news_half_read_is_followed_at_once(watched: Watched) -> None:
    """Guards against half of a list taken for all of it, and against a wait with the other half missing."""
    news = listed(2, False, entry("a", state="DRAINING"), entry("b", state="DRAINING"))
    watched.discovery.schedule.backoff = LONG
    watched.server.scripted = [news[:-30]]
    watched.start()
    turns_until(lambda: watched.server.calls)
    watched.server.change(entry("b", state="DRAINING"))
    watched.server.connections[0].shutdown(socket.SHUT_RDWR)
    assert watched.forms(2)[1] is ListForm.DELTA
    assert watched.failed == [PollFailure.TRUNCATED] and "hold_ms=0" in watched.server.calls[1]
    assert [e.endpoint for e in watched.told[1].entries] == ["b"]


def test_without_a_descriptor_for_its_call_the_process_goes_on(
    watched: Watched, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a process that ends because its clients left no descriptor for a call to discovery."""

    def none_left(*args: object) -> NoReturn:
        monkeypatch.setattr("linetrack.server.discovery_client.Connection", Connection)
        raise OSError(errno.EMFILE, "Too many open files")

    monkeypatch.setattr("linetrack.server.discovery_client.Connection", none_left)
    watched.start()
    turns_until(lambda: watched.failed)
    assert watched.failed == [PollFailure.UNREACHABLE]
    turns_until(lambda: watched.server.calls)
    assert not watched.greenlet.dead


def test_where_lists_are_pushed_a_start_waits_for_an_answer_and_not_for_a_refusal() -> None:
    """Guards against serving by a list from before the start because discovery, which hundreds call at
    once, turned the first call away: what it has binds from the first moment."""
    watched = Watched(PUSHED)
    try:
        watched.server.scripted = [answer(b"", 503), answer(b"", 503), answer(b"not JSON")]
        turns_until(lambda: len(watched.failed) == 3)
        assert not watched.discovery.initial_poll_finished.is_set()
        turns_until(watched.discovery.initial_poll_finished.is_set)
        assert watched.told[-1].form is ListForm.SNAPSHOT
    finally:
        watched.close()


def test_while_the_new_discovery_fails_the_old_list_stands(watched: Watched) -> None:
    watched.start()
    turns_until(lambda: watched.server.calls)
    watched.discovery.switch_server(parse_address(stand_ins.free_address()))
    turns_until(lambda: watched.failed)
    assert watched.failed == [PollFailure.UNREACHABLE] and sorted(watched.upstreams.endpoints) == ["a", "b"]


def test_where_changes_come_by_themselves_it_calls_unasked_and_first_for_what_is_known() -> None:
    """Guards against a process that serves by a list from before its start while discovery knows better: a
    watch is answered at once only where there is news."""
    watched = Watched(PUSHED)
    try:
        watched.server.scripted = [answer(b"", 503), listed(1, False)]
        watched.discovery.restore(
            parse_endpoint_list({"version": 1, "full": True, "servers": watched.server.entries})
        )
        assert not watched.discovery.initial_poll_finished.is_set()
        turns_until(lambda: len(watched.server.calls) == 3)
        assert [call.partition("hold_ms=")[2] for call in watched.server.calls[:2]] == ["0", "0"]
        assert watched.discovery.initial_poll_finished.is_set()
        watched.server.change(entry("a", state="DRAINING"))
        assert watched.forms(2)[1] is ListForm.DELTA
    finally:
        watched.close()


def test_a_discovery_that_does_not_wait_is_not_hammered(
    watched: Watched, monkeypatch: pytest.MonkeyPatch
) -> None:
    # guards against calls without pause where answers without news come at once
    monkeypatch.setattr(discovery_schedule, "UNCHANGED_LIST_PAUSE_US", 40_000)
    watched.server.scripted = [listed(1, False), listed(1, False, entry("a")), listed(1, False)]
    before = time.monotonic()
    watched.start()
    turns_until(lambda: len(watched.server.calls) >= 4)
    assert time.monotonic() - before >= 3 * 0.04
