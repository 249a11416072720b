"""Hot restarts between this build and the build e976e78, whose messages were recorded."""

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

REFUSALS = ("busy", "no")  # replies after which a successor connects again


class RecordedDeployment:
    """A deployment with the recorded settings, and the folder of its hot-restart socket."""

    def __init__(self, folder: Path) -> None:
        self.sockets = folder / "t"
        self.sockets.mkdir()
        self.upstream = UpstreamServer("a")
        self.deployment = Deployment(folder, self.upstream)
        self.sidecar = self.deployment.sidecar
        self.sidecar.environ["TMPDIR"] = str(self.sockets)
        self.sidecar.config["settings"] = RECORDED["settings"]
        self.sidecar.config["admin_addr"] = unused_address()

    def path(self) -> Path:
        host, port = self.sidecar.address.split(":")
        path = socket_path(str(self.sockets), self.sidecar.config["name"], (host, int(port)))
        assert path is not None
        return path

    def grant(self) -> dict[str, Any]:
        """Return the recorded grant with the addresses of this run."""
        host, port = self.deployment.discovery.address.split(":")
        entries = recorded("grant")["list"]
        entries["servers"] = [{**entries["servers"][0], "addr": self.upstream.address}]
        return recorded("grant", list=entries, discovery=[host, int(port)])

    def is_ready(self) -> bool:
        host, port = self.sidecar.config["admin_addr"].split(":")
        try:
            connection = HttpConnection(socket.create_connection((host, int(port)), TIMEOUT_SECONDS))
        except OSError:
            return False
        with connection.sock:
            connection.sock.sendall(http_request("/admin/health"))
            reply = connection.read()
        return reply is not None and reply.status == 200

    def connect(self) -> RecordedPeer:
        """Connect to the program as a successor of the old build."""
        sock = socket.socket(socket.AF_UNIX)
        sock.connect(str(self.path()))
        return RecordedPeer(sock)

    def close(self) -> None:
        if self.sidecar.process is not None:
            self.sidecar.__exit__(None, None, None)
        for server in (self.upstream, self.deployment.discovery):
            server.close()


@pytest.fixture
def deployment(tmp_path: Path) -> Iterator[RecordedDeployment]:
    deployment = RecordedDeployment(tmp_path)
    yield deployment
    deployment.close()


class OldPredecessor:
    """A fake process of the old build that serves the program's address and listens for a successor."""

    def __init__(self, deployment: RecordedDeployment) -> None:
        deployment.sidecar.address = unused_address()
        deployment.sidecar.config["listen"] = deployment.sidecar.address
        host, port = deployment.sidecar.address.split(":")
        self.clients = socket.create_server((host, int(port)))
        self.listener = socket.socket(socket.AF_UNIX)
        self.listener.settimeout(TIMEOUT_SECONDS)
        self.listener.bind(str(deployment.path()))
        self.listener.listen()

    def accept(self) -> RecordedPeer:
        """Accept the next successor's connection and check its hello."""
        sock, _ = self.listener.accept()
        peer = RecordedPeer(sock)
        hello = peer.receive()
        assert shape(hello.values) == shape(recorded("hello"))
        assert list(hello.values) == list(recorded("hello"))
        assert hello.values["version"] == recorded("hello")["version"]
        assert hello.values["identity"] == recorded("hello")["identity"]
        return peer


@pytest.fixture
def old_predecessor(deployment: RecordedDeployment) -> Iterator[OldPredecessor]:
    old_predecessor = OldPredecessor(deployment)
    yield old_predecessor
    old_predecessor.clients.close()
    old_predecessor.listener.close()


def test_each_recorded_frame_is_its_length_and_one_json_object() -> None:
    for name in MESSAGE_NAMES:
        message = RECORDED["messages"][name]
        assert int(message["header"], 16) == len(message["text"].encode())
        values = json.loads(message["text"])
        assert list(values)[:2] == ["what", "fds"]
        assert (values["what"], values["fds"]) == (name, message["descriptors"])


def test_a_new_process_takes_over_from_one_of_the_old_build(
    deployment: RecordedDeployment, old_predecessor: OldPredecessor
) -> None:
    sidecar = deployment.sidecar
    sidecar.launch()
    peer = old_predecessor.accept()
    peer.send(deployment.grant(), (old_predecessor.clients.fileno(),))
    assert peer.receive().text == recorded_text("ready")
    wait_until(deployment.is_ready)
    peer.send(recorded("beat"))
    client = sidecar.connect()
    accepted, _ = old_predecessor.clients.accept()
    peer.send(recorded("leave"))
    peer.send(recorded("client"), (accepted.fileno(),))
    accepted.close()
    old_predecessor.clients.close()
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
def test_a_new_process_connects_again_after_a_refusal_of_the_old_build(
    deployment: RecordedDeployment, old_predecessor: OldPredecessor, refusal: str
) -> None:
    deployment.sidecar.launch()
    refused = old_predecessor.accept()
    refused.send(recorded(refusal))
    peer = old_predecessor.accept()
    peer.send(deployment.grant(), (old_predecessor.clients.fileno(),))
    assert peer.receive().text == recorded_text("ready")


def test_a_new_process_does_not_take_over_from_a_foreign_process_of_the_old_build(
    deployment: RecordedDeployment, old_predecessor: OldPredecessor
) -> None:
    process = deployment.sidecar.launch()
    old_predecessor.accept().send(recorded("foreign"))
    assert process.wait(TIMEOUT_SECONDS) == 1, "the address is in use by the foreign process"
    assert "hot_restart_foreign_process" in deployment.sidecar.log()


def test_a_successor_of_the_old_build_takes_over_from_a_new_process(deployment: RecordedDeployment) -> None:
    with deployment.sidecar as sidecar:
        client = sidecar.connect()
        client.sock.sendall(http_request("/look/k", "GET", "X-Trace-Id: seen", "X-Expires-In: 2.0"))
        reply = client.read()
        assert reply is not None
        assert reply.status == 200
        peer = deployment.connect()
        peer.send(recorded("hello"))
        grant = peer.receive()
        assert shape(grant.values) == shape(deployment.grant())
        assert list(grant.values) == list(recorded("grant"))
        assert grant.values["identity"] == recorded("grant")["identity"]
        listener = socket.socket(fileno=grant.descriptors[0])
        assert listener.getsockname() == client.sock.getpeername()
        peer.send(recorded("ready"))
        assert peer.receive().text == recorded_text("beat")
        assert sidecar.process is not None
        sidecar.process.send_signal(signal.SIGTERM)
        handover = peer.receive_next("leave")
        assert list(handover.values) == list(recorded("leave"))
        without_snapshot = {"learnt": None}
        assert shape({**handover.values, **without_snapshot}) == shape(
            recorded("leave", **without_snapshot, ids=["seen"])
        )
        snapshot, recorded_snapshot = handover.values["learnt"], recorded("leave")["learnt"]
        assert sorted(snapshot) == sorted(recorded_snapshot)
        assert sorted(snapshot["upstreams"]["a"]) == sorted(recorded_snapshot["upstreams"]["a"])
        assert handover.values["settings"] == recorded("leave")["settings"]
        client_handover = peer.receive_next("client")
        assert client_handover.values == recorded("client", answers=1)
        assert list(client_handover.values) == list(recorded("client"))
        os.close(client_handover.descriptors[0])
        listener.close()
        peer.sock.close()
        client.sock.close()
        assert sidecar.process.wait(TIMEOUT_SECONDS) == 0


def test_a_new_process_sends_the_refusals_of_the_old_build(deployment: RecordedDeployment) -> None:
    with deployment.sidecar:
        foreign = deployment.connect()
        foreign.send(recorded("hello", identity={"classes": ["theirs"], "settings": "0"}))
        assert foreign.receive().text == recorded_text("foreign")
        other_version = deployment.connect()
        other_version.send(recorded("hello", version=2))
        assert other_version.receive().text == recorded_text("no")
        first, second = deployment.connect(), deployment.connect()
        first.send(recorded("hello"))
        assert first.receive_next("grant").values["fds"] == 1
        second.send(recorded("hello"))
        assert second.receive().text == recorded_text("busy")


@pytest.mark.parametrize("recording", DIGESTS["configurations"], ids=lambda recording: recording["case"])
def test_a_settings_digest_equals_that_of_the_old_build(recording: dict[str, Any]) -> None:
    assert parse_config(recording["config"], {}).digest == recording["digest"]


def test_the_recorded_digests_cover_each_idempotency_with_each_deduplication_scope() -> None:
    classes = [
        (item.get("repeat"), item.get("dedupScope"))
        for recording in DIGESTS["configurations"]
        for item in recording["config"]["settings"]["classes"]
    ]
    for repeat in ("free", "guarded", "single_shot"):
        for scope in ("all", "zone", "cell"):
            assert (repeat, scope) in classes
    assert len({recording["digest"] for recording in DIGESTS["configurations"]}) > 10


def test_the_recorded_settings_have_the_recorded_digest() -> None:
    values = {
        "name": "n0",
        "listen": "127.0.0.1:8",
        "discovery": "127.0.0.1:9",
        "settings": RECORDED["settings"],
    }
    assert parse_config(values, {}).digest == recorded("hello")["identity"]["settings"]
