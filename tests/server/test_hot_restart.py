"""One process takes another's place: the steps, their ways back, and the program under load."""

from __future__ import annotations

import contextlib
import json
import signal
import socket
import threading
import time
from collections import deque
from functools import partial
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from linetrack.control import policy_snapshot as snapshot
from linetrack.control.settings_switch import count_unavailable
from linetrack.control.hot_restart import (
    HEARTBEAT_TIMEOUT_US,
    READY_TIMEOUT_US,
    Command,
    Identity,
    PredecessorState,
    PredecessorStateMachine,
    SuccessorState,
    SuccessorStateMachine,
)
from linetrack.policy.events import Outcome
from linetrack.policy.balancer import Balancer
from linetrack.server.hot_restart_messages import decode_identity, encode_identity
from tests.helpers import MS, SAFE, SECOND, Driver
from tests.stand_ins import (
    Discovery,
    Message,
    Sidecar,
    Upstream,
    Wire,
    World,
    answer,
    free_address,
    request,
    silent,
    until,
)
from tests.test_admin import admin, ask, figures

# --- The steps ---------------------------------------------------------------------------------------


class Pair:
    """Both sides with a link between them, on which each frame arrives in its turn; one may end or hang."""

    def __init__(self) -> None:
        self.now = 1000 * SECOND
        self.old, self.new = PredecessorStateMachine(), SuccessorStateMachine(self.now)
        self.to_old: deque[str] = deque()
        self.to_new: deque[str] = deque()
        self.linked = self.told_lost = False
        self.old_accepts, self.new_accepts, self.gave_up = True, False, False
        self.old_lives, self.old_hangs, self.new_lives = True, False, True
        self.did(self.new, self.new.begin_connect(self.now))

    def did(self, side: PredecessorStateMachine | SuccessorStateMachine, do: list[Command]) -> None:
        for what in do:
            match what:
                case Command.CONNECT:
                    if self.old_lives:
                        self.linked = True
                        self.to_old.append("hello")
                    else:
                        self.did(self.new, self.new.on_no_predecessor())
                case Command.GRANT:
                    self.to_new.append("grant")
                case Command.SEND_HEARTBEAT:
                    self.to_new.append("beat")
                case Command.SEND_READY:
                    self.to_old.append("ready")
                case Command.HAND_OVER:
                    self.old_accepts = False
                    self.to_new.append("leave")
                case Command.RESUME:
                    self.old_accepts = True
                case Command.CLOSE_CHANNEL:
                    self.linked = False
                case Command.START_ACCEPTING | Command.LISTEN:
                    self.new_accepts = True
                case Command.GIVE_UP:
                    self.gave_up = True

    def deliver(self) -> None:
        if self.to_old and self.old_lives and not self.old_hangs:
            what = self.to_old.popleft()
            self.did(self.old, self.old.on_hello(self.now, 1) if what == "hello" else self.old.on_ready())
        if self.to_new and self.new_lives:
            what = self.to_new.popleft()
            if what == "grant":
                self.new.on_granted(self.now)
            else:
                self.new.on_message(self.now)
                self.did(self.new, self.new.on_handover() if what == "leave" else [])

    def settle(self) -> None:
        """Everything said has arrived, and an end of one side is known to the other."""
        while (self.to_old and self.old_lives and not self.old_hangs) or (self.to_new and self.new_lives):
            self.deliver()
        if self.linked and not self.new_lives and self.old_lives and not self.old_hangs:
            self.linked = False
            self.did(self.old, self.old.on_channel_lost())
        if self.linked and not self.old_lives and self.new_lives:
            self.linked = False
            self.did(self.new, self.new.on_channel_lost())

    def tick(self, after: int) -> None:
        self.now += after
        if self.old_lives and not self.old_hangs:
            self.did(self.old, self.old.on_tick(self.now))
        if self.new_lives:
            self.did(self.new, self.new.on_tick(self.now))


STEPS = ("deliver", "tick", "prepared", "term", "old ends", "old hangs", "new ends")


@given(st.lists(st.sampled_from(STEPS), max_size=25))
@settings(max_examples=400, deadline=None)
def test_whatever_ends_or_hangs_whenever_somebody_accepts(steps: list[str]) -> None:
    pair, termed = Pair(), False
    for step in steps:
        match step:
            case "deliver":
                pair.deliver()
            case "tick":
                pair.tick(SECOND // 4)
            case "prepared" if (
                pair.new_lives and not pair.new.is_prepared and pair.new.state is not SuccessorState.CONNECTING
            ):
                pair.did(pair.new, pair.new.on_prepared())
            case "term" if pair.old_lives and not pair.old_hangs:
                termed = True
                pair.did(pair.old, pair.old.begin_shutdown())
            case "old ends":
                pair.old_lives = pair.old_accepts = False
            case "old hangs":
                pair.old_hangs = True
            case "new ends":
                pair.new_lives = pair.new_accepts = False
        pair.settle()
    if pair.new_lives and not pair.new.is_prepared and pair.new.state is not SuccessorState.CONNECTING:
        pair.did(pair.new, pair.new.on_prepared())
    for _ in range(60):
        pair.tick(SECOND // 4)
        pair.settle()
        if pair.new.state is not SuccessorState.CONNECTING and not pair.new.is_prepared and pair.new_lives:
            pair.did(pair.new, pair.new.on_prepared())
    both = pair.old_accepts and pair.new_accepts and not pair.old_hangs
    assert not both, "two processes spend one sidecar's budgets"
    if pair.new_lives and not pair.gave_up:
        assert pair.new_accepts or (pair.old_lives and pair.old_accepts and not termed)
    elif pair.old_lives and not pair.old_hangs:
        assert pair.old_accepts, "nobody is left but the old one"


@pytest.mark.parametrize(
    ("told", "foreign"),
    [
        ({"classes": ["look", "pay"], "settings": "1"}, False),
        ({"classes": ["pay", "quote"], "settings": "2"}, False),  # retuned: a class dropped, one come
        ({"classes": ["quote"], "settings": "1"}, False),
        ({"classes": ["quote"], "settings": "2"}, True),
        ({"classes": [], "settings": "2"}, True),
        ({}, False),  # an earlier version, which tells nothing
        (None, False),
        ("look", False),
        ({"classes": "look"}, False),
    ],
)
def test_whose_process_it_is_goes_by_settings_and_classes(told: object, foreign: bool) -> None:
    own = Identity(("look", "pay"), "1")
    assert own.is_foreign(decode_identity(told)) is foreign
    assert not own.is_foreign(decode_identity(json.loads(json.dumps(encode_identity(own)))))
    old = PredecessorStateMachine()
    assert old.on_hello(0, 1, foreign) == [Command.REJECT_FOREIGN if foreign else Command.GRANT]
    assert old.on_hello(0, 1, True) == [Command.REJECT_FOREIGN]


def test_a_second_caller_is_told_to_come_again_and_gives_up_in_time() -> None:
    old, new, now = PredecessorStateMachine(), SuccessorStateMachine(0), 0
    assert old.on_hello(0, 1) == [Command.GRANT] and old.on_hello(0, 1) == [Command.REJECT_BUSY]
    new.begin_connect(0)
    calls = 0
    while new.on_busy(now) != [Command.GIVE_UP]:
        now = new.next_action_at
        calls += new.on_tick(now) == [Command.CONNECT]
    assert calls > 10 and now <= 6 * SECOND


def test_where_the_address_is_taken_and_nobody_is_found_it_calls_again_and_gives_up_in_time() -> None:
    new, now, said = SuccessorStateMachine(0), 0, []
    for _ in range(100):
        assert new.on_tick(now) == [Command.CONNECT] and new.on_no_predecessor() == [Command.LISTEN]
        said = new.on_address_in_use(now)
        if said:
            break
        now = new.next_action_at
    assert said == [Command.GIVE_UP] and SECOND < now <= 6 * SECOND


def test_another_version_is_not_granted_anything_and_one_that_hangs_makes_way() -> None:
    old = PredecessorStateMachine()
    assert old.on_hello(0, 2) == [Command.REJECT_VERSION] and old.state is PredecessorState.SERVING
    old.on_hello(0, 1)
    assert old.on_tick(READY_TIMEOUT_US) == [Command.CLOSE_CHANNEL] and old.on_hello(READY_TIMEOUT_US, 1) == [Command.GRANT]


def test_an_old_one_without_a_word_is_taken_to_hang_and_is_not_while_it_speaks() -> None:
    new = SuccessorStateMachine(0)
    new.begin_connect(0)
    new.on_granted(0)
    assert new.on_prepared() == [Command.SEND_READY]
    new.on_message(HEARTBEAT_TIMEOUT_US - 1)
    assert new.on_tick(HEARTBEAT_TIMEOUT_US) == [] and new.on_tick(2 * HEARTBEAT_TIMEOUT_US) == [Command.START_ACCEPTING] and new.on_handover() == []


# --- What goes over ------------------------------------------------------------------------------------


def learnt(seed: int = 3) -> Driver:
    driver = Driver(seed, slow_start_duration=0)
    for n in range(120):
        driver.finish(lambda name: (Outcome.ERROR if name == "h1" else Outcome.SUCCESS, 30 * MS), n % 2 * SAFE)
    return driver


def heir(driver: Driver) -> Balancer:
    return Driver(seed=9, slow_start_duration=0).balancer


def test_what_was_learnt_goes_over_whole_and_tells_the_same_of_each_upstream() -> None:
    driver = learnt()
    balancer, other = driver.balancer, heir(driver)
    values = json.loads(json.dumps(snapshot.take(balancer)))
    assert snapshot.restore(other, values, driver.now, True, True)
    balancer.now = other.now = driver.now
    for one, two in zip(balancer.fleet.values(), other.fleet.values(), strict=True):
        assert one.name == two.name and one.spells == two.spells and one.cold_sent == two.cold_sent
        assert balancer._sound(one, SAFE) == other._sound(two, SAFE)
        assert balancer._pace(one) == pytest.approx(other._pace(two))
    assert count_unavailable(other, driver.now) == count_unavailable(balancer, driver.now)
    assert json.loads(json.dumps(snapshot.take(other))) == values


PLACES = ("calm", "answers", "work", "sizes", "zones", "others", "served", "upstreams", "version")
BAD: tuple[Any, ...] = (None, "x", float("nan"), [], {"h0": {}}, [[1, 2]], {"a": [1.0, 1.0, 1]}, 99)


@given(st.sampled_from(PLACES), st.sampled_from(BAD))
def test_values_that_make_no_sense_change_nothing(name: str, bad: Any) -> None:
    driver = learnt()
    other = heir(driver)
    before = snapshot.take(other)
    values = {**snapshot.take(driver.balancer), name: bad}
    if not snapshot.restore(other, values, driver.now, True, True):
        assert snapshot.take(other) == before


def test_under_other_classes_or_places_what_stands_by_their_numbers_stays() -> None:
    driver = learnt()
    other = heir(driver)
    fresh = snapshot.take(other)
    assert snapshot.restore(other, snapshot.take(driver.balancer), driver.now, False, False)
    now = snapshot.take(other)
    assert (
        now["served"] == fresh["served"] and now["zones"] == fresh["zones"] and now["calm"] != fresh["calm"]
    )


# --- The program ---------------------------------------------------------------------------------------


class Pairing:
    """A world whose sidecar can be started again beside itself, with one folder for both."""

    def __init__(self, folder: Path, *upstreams: Upstream) -> None:
        self.folder = folder
        (folder / "t").mkdir()
        self.world = World(folder, *upstreams)
        self.old = self.world.sidecar
        self.old.environ["TMPDIR"] = str(folder / "t")
        admin(self.old)
        self.others: list[Sidecar] = []

    def __enter__(self) -> Pairing:
        self.world.__enter__()
        return self

    def __exit__(self, *fault: Any) -> None:
        for other in self.others:
            other.__exit__(None, None, None)
        self.world.__exit__(*fault)

    def again(self, ready: bool = True, **changes: Any) -> Sidecar:
        """Started again, with an operators' address of its own; ready unless told otherwise."""
        number = len(self.others)
        folder = self.folder / f"again-{number}"
        folder.mkdir()
        config = {**self.old.config, "admin_addr": free_address(), **changes}
        other = Sidecar(folder, config, self.old.address, environ=dict(self.old.environ))
        self.others.append(other)
        other.launch()
        if ready:
            until(lambda: healthy(other), "the yes")
        return other


def healthy(sidecar: Sidecar) -> bool:
    assert sidecar.process and sidecar.process.poll() is None, sidecar.log()
    return _yes(sidecar)


def slowly(message: Message, wire: Wire) -> bytes:
    time.sleep(0.02)
    return answer(b"ok")


def served_beyond(servers: list[Upstream], least: int, faults: list[str]) -> bool:
    return bool(faults) or sum(len(server.seen) for server in servers) > least


def test_under_load_every_request_is_answered_and_no_kept_connection_is_closed(tmp_path: Path) -> None:
    faults: list[str] = []
    stop = threading.Event()

    def caller(number: int) -> None:
        wire = pair.old.connect()
        with wire.sock:
            for turn in range(100_000):
                if stop.is_set():
                    return
                trace = f"X-Trace-Id: {number}-{turn}"
                try:
                    wire.sock.sendall(request("/pay/k", "GET", trace, "X-Expires-In: 2.0"))
                    reply = wire.read()
                except OSError as fault:
                    faults.append(f"{trace}: {fault}")
                    return
                if reply is None or reply.status != 200 or "connection" in reply.headers:
                    faults.append(f"{trace}: {reply}")
                    return

    servers = [Upstream(name, slowly) for name in "abc"]
    with Pairing(tmp_path, *servers) as pair:
        callers = [threading.Thread(target=caller, args=(n,)) for n in range(12)]
        for thread in callers:
            thread.start()
        serving = pair.old
        for _ in range(2):
            new = pair.again()
            assert serving.end() == 0, serving.log()
            sent = sum(len(server.seen) for server in servers)
            until(partial(served_beyond, servers, sent + 50, faults))
            serving = new
        stop.set()
        for thread in callers:
            thread.join()
        assert not faults, faults
        ids = [message.headers["x-trace-id"] for server in servers for message in server.seen]
        assert len(set(ids)) == len(ids), "something ran twice"
        until(lambda: figures(serving.config["admin_addr"])["app_open_requests"] == 0)
        assert '"snapshot_restored": true' in serving.log()


def test_what_the_old_one_has_is_answered_there_and_half_a_request_too(tmp_path: Path) -> None:
    go = threading.Event()

    def script(message: Message, wire: Wire) -> bytes:
        go.wait(20)
        return answer(b"late")

    with Pairing(tmp_path, server := Upstream("a", script)) as pair:
        waiting, half, idle = pair.old.connect(), pair.old.connect(), pair.old.connect()
        waiting.sock.sendall(request("/pay/k", "GET", "X-Trace-Id: w", "X-Expires-In: 2.0"))
        until(lambda: server.seen)
        data = request("/pay/k", "GET", "X-Trace-Id: h", "X-Expires-In: 2.0")
        half.sock.sendall(data[:20])
        pair.again()
        assert pair.old.process
        pair.old.process.send_signal(signal.SIGTERM)
        half.sock.sendall(data[20:])
        idle.sock.sendall(request("/pay/k", "GET", "X-Trace-Id: i", "X-Expires-In: 2.0"))
        until(lambda: len(server.seen) == 3)
        go.set()
        for wire in (waiting, half, idle):
            reply = wire.read()
            assert reply and (reply.status, reply.body) == (200, b"late")
        assert pair.old.process.wait(20) == 0
        # an id that was open in one process is not served by the other
        idle.sock.sendall(request("/pay/k", "GET", "X-Trace-Id: w", "X-Expires-In: 2.0"))
        reply = idle.read()
        assert reply and reply.status == 409


@pytest.mark.parametrize("end", ["killed", "faulty"])
def test_one_that_dies_or_has_a_faulty_file_leaves_the_old_one_as_it_was(tmp_path: Path, end: str) -> None:
    with Pairing(tmp_path, Upstream("a", slowly)) as pair:
        kept = pair.old.connect()
        if end == "killed":
            new = pair.again()
            assert new.process
            new.process.kill()
        else:
            new = pair.again(ready=False, settings={})
            assert new.process and new.process.wait(20) == 2
        new.process.wait(20)
        assert [pair.old.ask("pay").status for _ in range(3)] == [200] * 3
        third = pair.again()
        assert pair.old.end() == 0
        kept.sock.sendall(request("/pay/k", "GET", "X-Trace-Id: k", "X-Expires-In: 2.0"))
        reply = kept.read()
        assert reply and reply.status == 200
        assert third.ask("pay").status == 200


def test_after_a_kill_the_new_one_serves_and_a_file_left_behind_is_no_obstacle(tmp_path: Path) -> None:
    with Pairing(tmp_path, Upstream("a", slowly)) as pair:
        new = pair.again()
        assert pair.old.process
        pair.old.process.kill()
        assert new.ask("pay").status == 200
        assert new.process
        new.process.kill()
        new.process.wait(20)
        assert list((tmp_path / "t").glob("*.sock"))
        later = pair.again()
        assert later.ask("pay").status == 200


def test_where_no_socket_file_can_be_had_both_listen_and_the_log_says_so(tmp_path: Path) -> None:
    long = tmp_path / ("x" * 120)
    long.mkdir()
    world = World(tmp_path, Upstream("a", slowly))
    world.sidecar.environ["TMPDIR"] = str(long)
    with world as old:
        assert "hot_restart_unavailable" in old.log()
        folder = tmp_path / "again"
        folder.mkdir()
        new = Sidecar(folder, {**old.config, "admin_addr": free_address()}, old.address, environ=old.environ)
        with contextlib.ExitStack() as ending:
            ending.push(new.__exit__)
            new.launch()
            until(lambda: healthy(new))
            assert old.end() == 0
            assert [new.ask("pay").status for _ in range(5)] == [200] * 5


def test_a_process_that_takes_over_at_once_with_another_waits_its_turn(tmp_path: Path) -> None:
    with Pairing(tmp_path, Upstream("a", slowly)) as pair:
        first, second = pair.again(ready=False), pair.again(ready=False)
        ready = until(lambda: [one for one in (first, second) if _yes(one)])[0]
        assert pair.old.end() == 0
        other = second if ready is first else first
        until(lambda: healthy(other))
        assert ready.end() == 0 and other.ask("pay").status == 200


@pytest.mark.parametrize("there", ["a file that nobody listens at", "one that ends as it is called"])
def test_a_call_that_meets_the_old_one_as_it_ends_is_made_again(tmp_path: Path, there: str) -> None:
    with Pairing(tmp_path, Upstream("a", slowly)) as pair:
        (path,) = (tmp_path / "t").glob("*.sock")
        away = path.with_name("away")
        path.rename(away)
        with socket.socket(socket.AF_UNIX) as ending:
            ending.bind(str(path))
            if ends := there == "one that ends as it is called":
                ending.listen()
            new = pair.again(ready=False)
            if ends:
                ending.settimeout(20)
                ending.accept()[0].close()
        until(lambda: "hot_restart_address_in_use" in new.log() or (new.process and new.process.poll()))
        away.rename(path)
        until(lambda: healthy(new))
        assert pair.old.end() == 0 and new.ask("pay").status == 200


def _yes(sidecar: Sidecar) -> bool:
    try:
        return ask(sidecar.config["admin_addr"], "/admin/health").status == 200
    except (OSError, AssertionError):
        return False


def test_a_stranger_at_the_socket_file_gets_nothing_and_stops_nobody(tmp_path: Path) -> None:
    with Pairing(tmp_path, Upstream("a", silent)) as pair:
        (path,) = (tmp_path / "t").glob("*.sock")
        for data in (b"", b"\x00\x00\x00\x05hello", b"\xff\xff\xff\xff", b"\x00\x00\x00\x02{}"):
            with socket.socket(socket.AF_UNIX) as stranger:
                stranger.connect(str(path))
                stranger.sendall(data)
                stranger.shutdown(socket.SHUT_WR)
                stranger.settimeout(20)
                assert stranger.recv(100) == b""
        assert healthy(pair.again())


def test_one_that_cannot_listen_does_not_hide_the_one_that_serves(tmp_path: Path) -> None:
    # guards against a start that fails after it has put itself in the serving one's place
    with Pairing(tmp_path, Upstream("a", slowly)) as pair:
        (path,) = (tmp_path / "t").glob("*.sock")
        away = path.with_name("away")
        path.rename(away)
        failed = pair.again(ready=False)
        assert failed.process and failed.process.wait(20) == 1
        assert list((tmp_path / "t").iterdir()) == [away]
        away.rename(path)
        new = pair.again()
        assert pair.old.end() == 0 and new.ask("pay").status == 200


def renamed(values: dict[str, Any]) -> dict[str, Any]:
    """Settings of another customer: other classes."""
    other: dict[str, Any] = json.loads(json.dumps(values["settings"]))
    for klass in other["classes"]:
        klass["name"] = f"their-{klass['name']}"
    return other


def test_a_process_of_another_customer_gets_nothing_and_stands_in_nobodys_way(tmp_path: Path) -> None:
    """The same name, address and folder, other settings.  Guards against one customer's process that takes
    over, with the listener, the list and the ids, what is another's, or is found in its place."""
    with Pairing(tmp_path, Upstream("a", slowly)) as pair:
        theirs = pair.again(ready=False, settings=renamed(pair.old.config))
        assert theirs.process and theirs.process.wait(20) == 1
        log = theirs.log()
        assert (
            log.count("hot_restart_foreign_process") == 1
            and "hot_restart_granted" not in log
            and "cannot_listen" in log
        )
        assert "hot_restart_requested" not in pair.old.log()
        assert pair.old.ask("pay").status == 200
        new = pair.again()
        assert pair.old.end() == 0 and new.ask("pay").status == 200


def test_two_customers_with_one_folder_are_each_replaced_by_their_own(tmp_path: Path) -> None:
    """Guards against one customer picking up another's settings: processes that start beside each other."""
    ours, theirs = tmp_path / "ours", tmp_path / "theirs"
    ours.mkdir()
    theirs.mkdir()
    with Pairing(ours, Upstream("a", slowly)) as one, contextlib.ExitStack() as ending:
        other = Pairing(theirs, Upstream("b", slowly))
        other.old.environ["TMPDIR"] = one.old.environ["TMPDIR"]
        other.old.config["settings"] = renamed(other.old.config)
        ending.enter_context(other)
        assert len(list((ours / "t").glob("*.sock"))) == 2
        newer, newest = one.again(ready=False), other.again(ready=False)
        until(lambda: healthy(newer) and healthy(newest))
        assert one.old.end() == 0 and other.old.end() == 0
        assert newer.ask("pay").body == b"ok" and newest.ask("their-pay").body == b"ok"
        assert newer.ask("their-pay").status == 400 and newest.ask("pay").status == 400
        assert [len(server.seen) for server in (*one.world.upstreams, *other.world.upstreams)] == [1, 1]


def test_a_list_of_another_discovery_and_what_goes_by_other_numbers_are_left_behind(tmp_path: Path) -> None:
    """Its versions are its own: a watch from one of them on would never hear what the other one has."""
    b = Upstream("b", slowly)
    elsewhere = Discovery([b.entry()])
    with Pairing(tmp_path, Upstream("a", slowly)) as pair:
        pair.world.discovery.version = 50
        pair.world.discovery.change(pair.world.upstreams[0].entry(weight=2.0))
        values = json.loads(json.dumps(pair.old.config["settings"]))
        values["azs"].reverse()
        known = {"version": 0, "full": True, "servers": [b.entry()]}
        new = pair.again(discovery=elsewhere.address, known=known, settings=values)
        assert "hot_restart_endpoint_list_ignored" in new.log()
        assert pair.old.end() == 0
        until(lambda: "hot_restart_handover_received" in new.log())
        assert '"same_settings": false' in new.log()
        until(lambda: elsewhere.calls)
        assert "from=0" in elsewhere.calls[0]
        before = len(b.seen)
        assert new.ask("pay").status == 200 and len(b.seen) == before + 1
    elsewhere.close()
    b.close()
