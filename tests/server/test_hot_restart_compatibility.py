"""This build and the build e976e78 replace one another, by the recorded messages of the older one."""

from __future__ import annotations

import json
import os
import signal
import socket
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from linetrack.server.config import parse_config
from linetrack.server.hot_restart_channel import socket_path
from tests.server.recorded_hot_restart import (
    DIGESTS,
    MESSAGE_NAMES,
    RECORDED,
    TIMEOUT_SECONDS,
    RecordedPeer,
    recorded,
    recorded_text,
    shape,
)
from tests.support.http import HttpConnection, http_request
from tests.support.servers import UpstreamServer, unused_address
from tests.support.sidecar_process import Deployment
from tests.support.waiting import wait_until

REFUSALS = ("busy", "no")  # answers after which a new process calls again


class Fixture:
    """A program with the recorded settings, and the folder in which processes of one sidecar meet."""

    def __init__(self, folder: Path) -> None:
        self.sockets = folder / "t"
        self.sockets.mkdir()
        self.upstream = UpstreamServer("a")
        self.world = Deployment(folder, self.upstream)
        self.sidecar = self.world.sidecar
        self.sidecar.environ["TMPDIR"] = str(self.sockets)
        self.sidecar.config["settings"] = RECORDED["settings"]
        self.sidecar.config["admin_addr"] = unused_address()

    def path(self) -> Path:
        host, port = self.sidecar.address.split(":")
        path = socket_path(str(self.sockets), self.sidecar.config["name"], (host, int(port)))
        assert path is not None
        return path

    def grant(self) -> dict[str, Any]:
        """The recorded grant with the addresses of this run."""
        host, port = self.world.discovery.address.split(":")
        entries = recorded("grant")["list"]
        entries["servers"] = [{**entries["servers"][0], "addr": self.upstream.address}]
        return recorded("grant", list=entries, discovery=[host, int(port)])

    def is_ready(self) -> bool:
        host, port = self.sidecar.config["admin_addr"].split(":")
        try:
            wire = HttpConnection(socket.create_connection((host, int(port)), TIMEOUT_SECONDS))
        except OSError:
            return False
        with wire.sock:
            wire.sock.sendall(http_request("/admin/health"))
            reply = wire.read()
        return reply is not None and reply.status == 200

    def call(self) -> RecordedPeer:
        """A connection to the program as a successor of the old build opens it."""
        sock = socket.socket(socket.AF_UNIX)
        sock.connect(str(self.path()))
        return RecordedPeer(sock)

    def close(self) -> None:
        if self.sidecar.process is not None:
            self.sidecar.__exit__(None, None, None)
        for server in (self.upstream, self.world.discovery):
            server.close()


@pytest.fixture
def fixture(tmp_path: Path) -> Iterator[Fixture]:
    made = Fixture(tmp_path)
    yield made
    made.close()


class OldPredecessor:
    """A process of the old build that serves the program's address, as far as a successor sees it."""

    def __init__(self, fixture: Fixture) -> None:
        fixture.sidecar.address = unused_address()
        fixture.sidecar.config["listen"] = fixture.sidecar.address
        host, port = fixture.sidecar.address.split(":")
        self.clients = socket.create_server((host, int(port)))
        self.listener = socket.socket(socket.AF_UNIX)
        self.listener.settimeout(TIMEOUT_SECONDS)
        self.listener.bind(str(fixture.path()))
        self.listener.listen()

    def accept(self) -> RecordedPeer:
        """The next successor's connection, its greeting checked."""
        sock, _ = self.listener.accept()
        peer = RecordedPeer(sock)
        hello = peer.receive()
        assert shape(hello.values) == shape(recorded("hello"))
        assert list(hello.values) == list(recorded("hello"))
        assert hello.values["version"] == recorded("hello")["version"]
        assert hello.values["identity"] == recorded("hello")["identity"]
        return peer


@pytest.fixture
def old(fixture: Fixture) -> Iterator[OldPredecessor]:
    made = OldPredecessor(fixture)
    yield made
    made.clients.close()
    made.listener.close()


def test_each_frame_is_its_length_and_one_json_object() -> None:
    for name in MESSAGE_NAMES:
        message = RECORDED["messages"][name]
        assert int(message["header"], 16) == len(message["text"].encode())
        values = json.loads(message["text"])
        assert list(values)[:2] == ["what", "fds"]
        assert (values["what"], values["fds"]) == (name, message["descriptors"])


def test_a_new_process_takes_over_from_one_of_the_old_build(fixture: Fixture, old: OldPredecessor) -> None:
    sidecar = fixture.sidecar
    sidecar.launch()
    peer = old.accept()
    peer.send(fixture.grant(), (old.clients.fileno(),))
    assert peer.receive().text == recorded_text("ready")
    wait_until(fixture.is_ready)
    peer.send(recorded("beat"))
    client = sidecar.connect()
    accepted, _ = old.clients.accept()
    peer.send(recorded("leave"))
    peer.send(recorded("client"), (accepted.fileno(),))
    accepted.close()
    old.clients.close()
    client.sock.sendall(http_request("/look/k", "GET", "X-Trace-Id: new", "X-Expires-In: 2.0"))
    reply = client.read()
    assert reply is not None
    assert reply.body == b"a"
    repeated = recorded("leave")["ids"][0]
    client.sock.sendall(http_request("/look/k", "GET", f"X-Trace-Id: {repeated}", "X-Expires-In: 2.0"))
    reply = client.read()
    assert reply is not None
    assert reply.status == 409
    log = sidecar.log()
    assert '"snapshot_restored": true' in log
    assert '"same_settings": true' in log
    peer.sock.close()
    after = sidecar.exchange(http_request("/look/k", "GET", "X-Trace-Id: after", "X-Expires-In: 2.0"))
    assert after.status == 200
    client.sock.close()
    assert sidecar.end() == 0


@pytest.mark.parametrize("refusal", REFUSALS)
def test_a_new_process_calls_again_after_a_refusal_of_the_old_build(
    fixture: Fixture, old: OldPredecessor, refusal: str
) -> None:
    fixture.sidecar.launch()
    refused = old.accept()
    refused.send(recorded(refusal))
    peer = old.accept()
    peer.send(fixture.grant(), (old.clients.fileno(),))
    assert peer.receive().text == recorded_text("ready")


def test_a_new_process_leaves_a_foreign_one_of_the_old_build_alone(
    fixture: Fixture, old: OldPredecessor
) -> None:
    process = fixture.sidecar.launch()
    old.accept().send(recorded("foreign"))
    assert process.wait(TIMEOUT_SECONDS) == 1, "the address is the other one's"
    assert "hot_restart_foreign_process" in fixture.sidecar.log()


def test_a_successor_of_the_old_build_takes_over_from_a_new_process(fixture: Fixture) -> None:
    with fixture.sidecar as sidecar:
        client = sidecar.connect()
        client.sock.sendall(http_request("/look/k", "GET", "X-Trace-Id: seen", "X-Expires-In: 2.0"))
        reply = client.read()
        assert reply is not None
        assert reply.status == 200
        peer = fixture.call()
        peer.send(recorded("hello"))
        grant = peer.receive()
        assert shape(grant.values) == shape(fixture.grant())
        assert list(grant.values) == list(recorded("grant"))
        assert grant.values["identity"] == recorded("grant")["identity"]
        listener = socket.socket(fileno=grant.descriptors[0])
        assert listener.getsockname() == client.sock.getpeername()
        peer.send(recorded("ready"))
        assert peer.receive().text == recorded_text("beat")
        assert sidecar.process is not None
        sidecar.process.send_signal(signal.SIGTERM)
        leave = peer.receive_next("leave")
        assert list(leave.values) == list(recorded("leave"))
        opaque = {"learnt": None}
        assert shape({**leave.values, **opaque}) == shape(recorded("leave", **opaque, ids=["seen"]))
        learnt, recorded_learnt = leave.values["learnt"], recorded("leave")["learnt"]
        assert sorted(learnt) == sorted(recorded_learnt)
        assert sorted(learnt["upstreams"]["a"]) == sorted(recorded_learnt["upstreams"]["a"])
        assert leave.values["settings"] == recorded("leave")["settings"]
        handed = peer.receive_next("client")
        assert handed.values == recorded("client", answers=1)
        assert list(handed.values) == list(recorded("client"))
        os.close(handed.descriptors[0])
        listener.close()
        peer.sock.close()
        client.sock.close()
        assert sidecar.process.wait(TIMEOUT_SECONDS) == 0


def test_a_new_process_refuses_in_the_words_of_the_old_build(fixture: Fixture) -> None:
    with fixture.sidecar:
        foreign = fixture.call()
        foreign.send(recorded("hello", identity={"classes": ["theirs"], "settings": "0"}))
        assert foreign.receive().text == recorded_text("foreign")
        other_version = fixture.call()
        other_version.send(recorded("hello", version=2))
        assert other_version.receive().text == recorded_text("no")
        first, second = fixture.call(), fixture.call()
        first.send(recorded("hello"))
        assert first.receive_next("grant").values["fds"] == 1
        second.send(recorded("hello"))
        assert second.receive().text == recorded_text("busy")


@pytest.mark.parametrize("recording", DIGESTS["configurations"], ids=lambda recording: recording["case"])
def test_a_settings_digest_is_that_of_the_old_build(recording: dict[str, Any]) -> None:
    assert parse_config(recording["config"], {}).digest == recording["digest"]


def test_the_recorded_digests_cover_each_repeat_with_each_deduplication_scope() -> None:
    classes = [
        (item.get("repeat"), item.get("dedupScope"))
        for recording in DIGESTS["configurations"]
        for item in recording["config"]["settings"]["classes"]
    ]
    for repeat in ("free", "guarded", "single_shot"):
        for scope in ("all", "zone", "cell"):
            assert (repeat, scope) in classes
    assert len({recording["digest"] for recording in DIGESTS["configurations"]}) > 10


def test_the_sidecar_that_was_recorded_has_the_recorded_digest() -> None:
    values = {
        "name": "n0",
        "listen": "127.0.0.1:8",
        "discovery": "127.0.0.1:9",
        "settings": RECORDED["settings"],
    }
    assert parse_config(values, {}).digest == recorded("hello")["identity"]["settings"]
