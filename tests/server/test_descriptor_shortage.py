"""A lack of descriptors must not end the process; clients and attempts proceed once one is free."""

from __future__ import annotations

import errno
import os
from pathlib import Path
from typing import Any

import gevent
import pytest

from linetrack.control.hot_restart import Command, Identity
from linetrack.policy.events import Outcome
from linetrack.server.admin import AdminServer
from linetrack.server.config import parse_config
from linetrack.server.connection import Connection
from linetrack.server.descriptor_budget import RESERVED_DESCRIPTORS
from linetrack.server.hot_restart_channel import GrantedListener
from linetrack.server.hot_restart_messages import Grant
from linetrack.server.hot_restart_predecessor import Predecessor
from linetrack.server.hot_restart_successor import Successor
from linetrack.server.lifecycle import Sidecar
from linetrack.server.sockets import is_readable
from tests.server.in_process import InProcessSidecar
from tests.support.configuration import sidecar_config
from tests.support.http import class_request, http_request
from tests.support.waiting import TIMEOUT_SECONDS, run_until


def fail_once(monkeypatch: pytest.MonkeyPatch, owner: Any, name: str) -> list[int]:
    """Make the first call of a function fail with EMFILE; the returned list gets an item at that call."""
    function, calls = getattr(owner, name), []

    def fail(*_args: Any, **_kwargs: Any) -> Any:
        monkeypatch.setattr(owner, name, function)
        calls.append(1)
        raise OSError(errno.EMFILE, "Too many open files")

    monkeypatch.setattr(owner, name, fail)
    return calls


class FailingListener:
    """A listening socket whose first `accept` fails with EMFILE."""

    def __init__(self, sock: Any) -> None:
        self.sock = sock
        self.has_failed = False

    def accept(self) -> Any:
        if not self.has_failed:
            self.has_failed = True
            raise OSError(errno.EMFILE, "Too many open files")
        return self.sock.accept()


def test_a_client_is_accepted_once_a_descriptor_is_free(
    sidecar: InProcessSidecar, monkeypatch: pytest.MonkeyPatch
) -> None:
    calls = fail_once(monkeypatch, sidecar.listener, "_accept_one")
    sock = sidecar.connect()
    sock.sendall(b"GET /_health HTTP/1.1\r\n\r\n")
    assert sock.recv(65536).startswith(b"HTTP/1.1 200")
    assert calls


def test_an_attempt_without_a_descriptor_ends_as_connect_failed(
    sidecar: InProcessSidecar, monkeypatch: pytest.MonkeyPatch
) -> None:
    sock = sidecar.connect()
    request_id = sidecar.send_request(sock)
    calls = fail_once(monkeypatch, Connection, "connect")
    sidecar.start_attempt(request_id)
    run_until(sidecar.policy.attempt_outcomes)
    assert calls
    assert sidecar.policy.attempt_outcomes() == [Outcome.CONNECT_FAILED]
    assert sidecar.budget.descriptors.in_use == 1
    sidecar.start_attempt(request_id)
    assert sock.recv(65536).startswith(b"HTTP/1.1 200")


def test_an_admin_client_is_accepted_once_a_descriptor_is_free() -> None:
    admin = AdminServer(("127.0.0.1", 0), lambda: True, lambda: "")
    address = admin.listener.getsockname()
    admin.listener = failing = FailingListener(admin.listener)
    accepting = gevent.spawn(admin.accept)
    sock = gevent.socket.create_connection(address)
    sock.settimeout(TIMEOUT_SECONDS)
    sock.sendall(http_request("/admin/health"))
    assert sock.recv(65536).startswith(b"HTTP/1.1 200")
    assert failing.has_failed
    sock.close()
    accepting.kill()


def test_a_successor_gets_its_grant_once_a_descriptor_is_free(tmp_path: Path) -> None:
    """A serving process must not end because accepting its successor's connection fails."""
    path, own = tmp_path / "link.sock", Identity(("look",), "1")
    grant = GrantedListener(0, Grant(own, endpoint_list=None, discovery_address=None))
    old = Predecessor(path, lambda: own, lambda: grant, lambda _command: None)
    old.open_socket()
    old.publish_socket()
    old.listener = failing = FailingListener(old.listener)
    running = gevent.spawn(old.run)
    new = Successor(path, own, lambda _command: None, lambda _message, _descriptors: None)
    with gevent.Timeout(TIMEOUT_SECONDS):
        received = new.connect()
    assert received is not None
    assert failing.has_failed
    os.close(received.descriptor)
    assert new.channel is not None
    new.channel.close()
    running.kill()
    failing.sock.close()


def test_an_attempt_gets_a_descriptor_although_silent_clients_use_all_of_them() -> None:
    """Silent clients occupy every slot and reconnect as soon as one is free, while discovery is down."""
    sidecar = InProcessSidecar(sockets=RESERVED_DESCRIPTORS + 8)
    descriptors = sidecar.budget.descriptors
    try:
        silent_clients = [sidecar.connect() for _ in range(30)]
        assert sidecar.listener.listening_socket is not None
        run_until(lambda: descriptors.in_use >= 4 and is_readable(sidecar.listener.listening_socket))
        sock = sidecar.connect()
        sidecar.policy.forward_all()
        sock.sendall(class_request(expires="20.0"))
        assert sock.recv(65536).startswith(b"HTTP/1.1 200")
        assert descriptors.in_use <= 8
        for client in silent_clients:
            client.close()
    finally:
        sidecar.close()


def test_a_process_regains_all_descriptors_after_its_successor_has_ended() -> None:
    """The process accepts connections again and needs descriptors for the clients that reconnect to it."""
    values = sidecar_config("127.0.0.1:9", [])
    sidecar = Sidecar(lambda: parse_config({**values, "listen": "127.0.0.1:1"}, {}))
    sidecar.listener.listen(("127.0.0.1", 0))
    limit = sidecar.budget.descriptors.limit
    sidecar.budget.descriptors.yield_to_successor()
    assert sidecar.budget.descriptors.limit < limit
    sidecar.hot_restart.execute(Command.RESUME)
    assert sidecar.budget.descriptors.limit == limit
    assert sidecar.listener.migrate is None
    sidecar.hot_restart.stop_accepting()
