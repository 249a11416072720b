"""Discovery: calls and watches, against a stand-in, in one process."""

import json
import time
from collections.abc import Iterator
from typing import Any

import gevent
import pytest

from linetrack.interface import FleetNews, Health, ListForm
from linetrack.net import discovery as module
from linetrack.net.budget import Budget
from linetrack.net.discovery import Discovery
from linetrack.net.messages import address, member_list
from linetrack.net.upstreams import Upstreams
from tests import stand_ins
from tests.stand_ins import answer, entry, turns_until


class Watched:
    """The greenlet under test, its stand-in and what the owner was told."""

    def __init__(self) -> None:
        self.server = stand_ins.Discovery([entry("a"), entry("b")])
        self.told: list[FleetNews] = []
        self.upstreams = Upstreams(Budget(1024, 192), 1, 1, (), lambda done, seen: None)
        self.discovery = Discovery(
            address(self.server.address), self.upstreams, self.put, ("north",), ("plain",), True
        )
        self.greenlet = gevent.spawn(self.discovery.run)

    def put(self, news: FleetNews, seen: int) -> None:
        self.told.append(news)

    def start(self) -> None:
        known = {"version": 1, "full": True, "servers": self.server.entries}
        self.discovery.remember(member_list(known))
        self.discovery.watch()

    def forms(self, count: int) -> list[ListForm]:
        """The forms of all that was told, once there are so many."""
        turns_until(lambda: len(self.told) >= count)
        return [news.form for news in self.told]


@pytest.fixture
def watched() -> Iterator[Watched]:
    made = Watched()
    yield made
    made.greenlet.kill()
    made.server.close()


def test_a_quiet_watch_outlasts_the_time_to_dial(watched: Watched, monkeypatch: pytest.MonkeyPatch) -> None:
    # guards against the dial's time-out staying on the socket: every watch ended after it, as refused
    monkeypatch.setattr(module, "ANSWER_WITHIN", 0.1)
    watched.start()
    turns_until(lambda: watched.server.calls)
    gevent.sleep(0.3)
    watched.server.change(entry("a", state="DRAINING"))
    assert watched.forms(2) == [ListForm.REMEMBERED, ListForm.CHANGES]
    assert watched.told[1].entries[0].health is Health.DRAINING


def listed(version: int, full: bool, *entries: Any) -> bytes:
    return answer(json.dumps({"version": version, "full": full, "servers": entries}).encode())


HALF = b"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n{}"  # and then nothing


@pytest.mark.parametrize(
    "reply",
    [
        answer(b"not JSON"),
        answer(b"[" * 100_000),
        answer(b"{}"),
        answer(b'{"version":2,"full":"yes","servers":[]}'),
        answer(b'{"version":2,"full":true,"servers":[{"addr":"127.0.0.1:9"}]}'),
        answer(b"", 503),
        b"SMTP\r\n\r\n",
        HALF,
        answer(b"{}", 200, "Content-Length: 7"),
        listed(0, False, entry("c")),
        None,
    ],
)
def test_a_call_that_fails_is_told_as_refused(
    watched: Watched, reply: bytes | None, monkeypatch: pytest.MonkeyPatch
) -> None:
    if reply is HALF:
        monkeypatch.setattr(module, "HOLD_MS", 100)
        monkeypatch.setattr(module, "SLACK", 0.1)
    watched.server.scripted = [reply]
    watched.start()
    assert watched.forms(2)[1] is ListForm.REFUSED
    monkeypatch.undo()
    # when to ask again is the module's to say; the list that is told then counts
    calls = len(watched.server.calls)
    watched.server.change(entry("a", state="DELETED"))
    gevent.sleep(0.05)
    assert len(watched.server.calls) == calls
    watched.discovery.watch()
    assert watched.forms(3)[2] in (ListForm.CHANGES, ListForm.WHOLE)


def test_after_an_older_version_the_whole_list_is_asked_for_and_counts(watched: Watched) -> None:
    watched.server.version = 9
    watched.start()
    assert watched.forms(2)[1] is ListForm.CHANGES
    watched.server.scripted = [listed(3, False, entry("c"))]
    watched.server.change(entry("b"))
    watched.forms(3)
    turns_until(lambda: watched.told[-1].form is ListForm.REFUSED)
    watched.server.version = 4
    watched.discovery.watch()
    told = len(watched.told)
    watched.forms(told + 1)
    assert "?" not in watched.server.calls[-2] or "?" not in watched.server.calls[-1]
    assert watched.told[told].form is ListForm.WHOLE


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
    told = {e.upstream: e for e in watched.told[1].entries}
    assert sorted(told) == ["a", "c"]
    assert told["a"].health is Health.UP and told["a"].started == 5000
    # a zone and a kind without a name in the settings are numbered after those that have one, and kept
    # nowhere
    assert told["c"].zone > 0 and told["c"].kind > 0
    assert watched.discovery.zones == {"north": 0} and watched.discovery.kinds == {"plain": 0}


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
    assert watched.upstreams.known["a"].address == ("127.0.0.1", 99)
    watched.server.change({"id": "a", "state": "DELETED"})
    watched.forms(3)
    assert "a" not in watched.upstreams.known


def test_a_discovery_that_moved_is_asked_at_once_for_its_whole_list(watched: Watched) -> None:
    # guards against the old one's watch, its version or a back-off standing in the way of the new one's news
    watched.start()
    turns_until(lambda: watched.server.calls)
    other = stand_ins.Discovery([entry("c")])
    watched.discovery.move(address(other.address))
    assert watched.forms(2) == [ListForm.REMEMBERED, ListForm.WHOLE]
    assert [e.upstream for e in watched.told[1].entries] == ["c"] and list(watched.upstreams.known) == ["c"]
    assert "?" not in other.calls[0] and not watched.discovery.asked.is_set()
    other.version = 3
    other.change(entry("d"))
    assert watched.forms(3)[2] is ListForm.CHANGES
    other.close()


def test_a_move_ends_a_back_off_and_the_same_address_changes_nothing(watched: Watched) -> None:
    watched.server.scripted = [answer(b"", 503)]
    watched.start()
    assert watched.forms(2)[1] is ListForm.REFUSED
    watched.discovery.move(address(watched.server.address))
    gevent.sleep(0.05)
    assert len(watched.server.calls) == 1
    other = stand_ins.Discovery([entry("c")])
    watched.discovery.move(address(other.address))
    assert watched.forms(3)[2] is ListForm.WHOLE
    other.close()


def test_while_the_new_discovery_fails_the_old_list_stands(watched: Watched) -> None:
    watched.start()
    turns_until(lambda: watched.server.calls)
    watched.discovery.move(address(stand_ins.free_address()))
    assert watched.forms(2)[1] is ListForm.REFUSED
    assert sorted(watched.upstreams.known) == ["a", "b"]


def test_where_changes_come_by_themselves_it_calls_unasked_and_again(
    watched: Watched, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(module, "ASK_AGAIN", 0.01)
    watched.discovery.must_ask = False
    watched.server.scripted = [answer(b"", 503)]
    watched.start()
    assert watched.forms(2)[1] is ListForm.REFUSED
    watched.server.change(entry("a", state="DRAINING"))
    assert watched.forms(3)[2] is ListForm.CHANGES


def test_a_discovery_that_does_not_wait_is_not_hammered(
    watched: Watched, monkeypatch: pytest.MonkeyPatch
) -> None:
    # guards against calls without pause where answers without news come at once
    monkeypatch.setattr(module, "NO_NEWS", 0.04)
    watched.server.scripted = [listed(1, False), listed(1, False, entry("a")), listed(1, False)]
    before = time.monotonic()
    watched.start()
    turns_until(lambda: len(watched.server.calls) >= 4)
    assert time.monotonic() - before >= 3 * 0.04
