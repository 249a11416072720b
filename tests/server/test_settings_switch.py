"""Settings switches at SIGHUP in a running program: to other settings and back, also under load."""

from __future__ import annotations

import json
import threading
import time
from collections import Counter
from functools import partial
from pathlib import Path
from typing import Any

import pytest

from linetrack.server.config import ConfigError, parse_config
from tests.server.reloading import reload, send_reload, with_other_settings
from tests.support.configuration import sidecar_config
from tests.support.http import HttpConnection, HttpMessage, http_request, http_response
from tests.support.servers import UpstreamServer
from tests.support.sidecar_process import Deployment, SidecarProcess
from tests.support.units import SECOND
from tests.support.waiting import wait_until


class ResponseLedger:
    """The response statuses that clients received, by request id."""

    def __init__(self) -> None:
        self.statuses_by_id: dict[str, list[int]] = {}
        self.lock = threading.Lock()

    def send_request(self, sidecar: SidecarProcess, class_name: str, request_id: str) -> int:
        reply = sidecar.exchange(
            http_request(f"/{class_name}/k", "GET", f"X-Trace-Id: {request_id}", "X-Expires-In: 2.0")
        )
        with self.lock:
            self.statuses_by_id.setdefault(request_id, []).append(reply.status)
        return reply.status


class Load:
    """Clients that each send sequential `pay` requests until they are stopped; their ids have a hyphen."""

    def __init__(self, sidecar: SidecarProcess, ledger: ResponseLedger, client_count: int) -> None:
        self.sidecar = sidecar
        self.ledger = ledger
        self.errors: list[BaseException] = []
        self.stopping = threading.Event()
        self.threads = [threading.Thread(target=self._run, args=(number,)) for number in range(client_count)]
        for thread in self.threads:
            thread.start()

    def stop(self) -> None:
        self.stopping.set()
        for thread in self.threads:
            thread.join()

    def _run(self, number: int) -> None:
        try:
            for index in range(10_000):
                if self.stopping.is_set():
                    return
                self.ledger.send_request(self.sidecar, "pay", f"{number}-{index}")
        except BaseException as error:
            self.errors.append(error)


def respond_after_20_ms(_message: HttpMessage, _connection: HttpConnection) -> bytes:
    time.sleep(0.02)
    return http_response(b"ok")


def test_settings_switches_under_load_lose_no_request_and_send_none_twice(tmp_path: Path) -> None:
    servers = [UpstreamServer(name, respond_after_20_ms) for name in ("a", "b", "c")]
    ledger = ResponseLedger()
    with Deployment(tmp_path, *servers) as sidecar:
        initial = dict(sidecar.config)
        load = Load(sidecar, ledger, client_count=6)
        for values, added, dropped in (
            (with_other_settings(initial), "quote", "look"),
            (initial, "look", "quote"),
        ) * 2:
            response_count = len(ledger.statuses_by_id)
            reload(sidecar, values)
            wait_until(partial(lambda before: len(ledger.statuses_by_id) > before + 30, response_count))
            # The new settings take effect, and the previous ones no longer do.
            assert ledger.send_request(sidecar, added, f"{added}{response_count}") == 200
            assert ledger.send_request(sidecar, dropped, f"{dropped}{response_count}") == 400
        load.stop()
        log = sidecar.log()
        assert sidecar.end() == 0
    assert not load.errors
    assert all(len(statuses) == 1 for statuses in ledger.statuses_by_id.values())
    pay_statuses = [
        statuses[0] for request_id, statuses in ledger.statuses_by_id.items() if "-" in request_id
    ]
    assert set(pay_statuses) <= {200, 503}
    send_counts = Counter(
        message.headers["x-trace-id"] for server in servers for message in list(server.seen)
    )
    assert max(send_counts.values()) == 1, "a non-idempotent request was sent twice"
    assert log.count('"settings_switched"') == 4
    assert '"multiplex_unused"' in log
    assert '"used": 1' in log


def test_a_request_read_before_a_switch_keeps_its_class_and_idempotency(tmp_path: Path) -> None:
    """The switch drops the request's class, and the index then belongs to a non-idempotent class.

    A request of that class that may have been executed could only fail.
    """
    received, switched = threading.Event(), threading.Event()

    def close_after_switch(_message: HttpMessage, _connection: HttpConnection) -> bytes | None:
        received.set()
        assert switched.wait(20)
        return None  # closes the connection: the request may have been executed

    with Deployment(tmp_path, UpstreamServer("a", close_after_switch)) as sidecar:
        initial = dict(sidecar.config)
        statuses: list[int] = []
        thread = threading.Thread(target=lambda: statuses.append(sidecar.send_class_request("look").status))
        thread.start()
        assert received.wait(20)
        reload(sidecar, with_other_settings(initial))
        wait_until(lambda: "settings_switched" in sidecar.log())
        assert '"in_flight": 1' in sidecar.log()
        switched.set()
        thread.join()
        # An idempotent request is rejected, as a retry is safe; a non-idempotent one that may have been
        # executed gets 502.
        assert statuses == [503]
        assert sidecar.send_class_request("pay").status == 502
        assert sidecar.end() == 0


def test_of_several_files_the_last_takes_effect_even_if_it_comes_during_a_switch(tmp_path: Path) -> None:
    """A signal that comes while the previous file is read or applied requests another reload.

    No switch may lose a request in flight.
    """
    release = threading.Event()

    def respond_when_released(_message: HttpMessage, _connection: HttpConnection) -> bytes:
        assert release.wait(20)
        return http_response(b"ok")

    with Deployment(tmp_path, server := UpstreamServer("a", respond_when_released)) as sidecar:
        statuses: list[int] = []
        threads = [
            threading.Thread(target=lambda: statuses.append(sidecar.send_class_request("look").status))
            for _ in "123"
        ]
        for thread in threads:
            thread.start()
        wait_until(lambda: len(server.seen) == 3)
        values = with_other_settings(dict(sidecar.config))
        for index in range(6):
            values["settings"]["classes"][1]["name"] = f"quote{index}"
            send_reload(sidecar, json.dumps(values))
        wait_until(lambda: "quote5" in sidecar.log(), "the last file")
        release.set()
        for thread in threads:
            thread.join()
        assert statuses == [200] * 3
        assert sidecar.send_class_request("quote5").status == 200
        assert sidecar.send_class_request("quote4").status == 400
        assert sidecar.end() == 0


def test_nothing_is_sent_to_a_draining_endpoint_after_a_switch(tmp_path: Path) -> None:
    a, b = UpstreamServer("a"), UpstreamServer("b")
    deployment = Deployment(tmp_path, a, b)
    with deployment as sidecar:
        initial = dict(sidecar.config)
        deployment.discovery.change(a.entry(state="DRAINING"))
        wait_until(lambda: all(sidecar.send_class_request().body == b"b" for _ in range(12)))
        seen = len(a.seen)
        reload(sidecar, with_other_settings(initial))
        assert {sidecar.send_class_request("quote").body for _ in range(20)} == {b"b"}
        reload(sidecar, initial)
        assert {sidecar.send_class_request("look").body for _ in range(20)} == {b"b"}
        assert len(a.seen) == seen


def test_an_invalid_file_leaves_the_settings_in_force(tmp_path: Path) -> None:
    with Deployment(tmp_path, UpstreamServer("a")) as sidecar:
        initial = dict(sidecar.config)
        for values in invalid_files(initial).values():
            reload(sidecar, values)
            assert sidecar.send_class_request("look").status == 200
            time.sleep(1.0)  # an event is logged at most once a second
        assert "settings_switched" not in sidecar.log()
        assert sidecar.log().count("reload_rejected") == len(invalid_files(initial))


def invalid_files(values: dict[str, Any]) -> dict[str, str]:
    """Return invalid files by the key that is invalid in each."""

    def changed(part: str, key: str, value: Any) -> str:
        new = with_other_settings(values)
        (new["settings"] if not part else new["settings"][part])[key] = value
        return json.dumps(new)

    classes = json.loads(json.dumps(with_other_settings(values)["settings"]["classes"]))
    classes[1]["deadlineUs"] = 0
    return {
        "EDGE_CONFIG": json.dumps(values)[:300],
        "settings.classes": changed("", "classes", []),
        "settings.classes.1.deadlineUs": changed("", "classes", classes),
        "settings.allowed.maxAttempts": changed("allowed", "maxAttempts", 0),
        "settings.allowed.multiplex": changed("allowed", "multiplex", 0),
        "settings.weights": changed("", "weights", "heavy"),
    }


def test_each_error_of_an_invalid_file_names_its_key() -> None:
    values = {**sidecar_config("127.0.0.1:9", []), "listen": "127.0.0.1:8"}
    for key, text in invalid_files(values).items():
        if key != "EDGE_CONFIG":
            with pytest.raises(ConfigError, match=key.replace(".", r"\.")) as raised:
                parse_config(json.loads(text), {})
            assert raised.value.key == key


def test_a_reload_keeps_zone_indexes_and_values_that_need_a_restart() -> None:
    values = {**sidecar_config("127.0.0.1:9", []), "listen": "127.0.0.1:8"}
    initial = parse_config(values, {})
    new = parse_config({**with_other_settings(values), "name": "other", "limits": {"sockets": 100}}, {})
    assert initial.keys_needing_restart(new) == ["limits.sockets", "name"]
    after = new.for_reload_of(initial)
    assert after.zone_names == ("north", "south", "west")
    assert after.settings.zone == 0
    assert (after.name, after.sockets) == (initial.name, initial.sockets)
    assert (after.configured_streams, after.settings.max_streams_per_connection) == (100, 1)
    back = initial.for_reload_of(after)
    assert back.zone_names == after.zone_names
    assert back.settings == initial.settings
    assert back.has_same_settings(parse_config(values, {}).for_reload_of(after))
    assert not back.has_same_settings(after)


def test_the_keys_of_other_settings_reach_the_policy_and_default_to_neutral_values() -> None:
    values = {**sidecar_config("127.0.0.1:9", []), "listen": "127.0.0.1:8"}
    plain, new = parse_config(values, {}).settings, parse_config(with_other_settings(values), {}).settings
    assert (plain.capacity_varies_with_load, new.capacity_varies_with_load) == (False, True)
    assert plain.keep_alive_timeout == new.keep_alive_timeout == 30 * SECOND


def test_a_dropped_class_may_return_with_another_idempotency_after_an_invalid_file(tmp_path: Path) -> None:
    server = UpstreamServer(
        "a", lambda message, _connection: None if message.target.startswith("/pay") else http_response(b"ok")
    )
    deployment = Deployment(tmp_path, server, UpstreamServer("b", server.script))
    with deployment as sidecar:
        first = sidecar.config
        without = json.loads(json.dumps(first))
        del without["settings"]["classes"][1]
        free = json.loads(json.dumps(first))
        free["settings"]["classes"][1]["repeat"] = "free"
        assert sidecar.send_class_request("pay").status == 502
        assert len(server.seen) + len(deployment.upstreams[1].seen) == 1
        reload(sidecar, without)
        assert sidecar.send_class_request("pay").status == 400
        broken = json.loads(json.dumps(free))
        del broken["settings"]["classes"][1]["repeat"]
        reload(sidecar, broken)
        assert sidecar.send_class_request("pay").status == 400, "an invalid file takes no effect"
        reload(sidecar, free)
        seen = len(server.seen) + len(deployment.upstreams[1].seen)
        assert sidecar.send_class_request("pay").status == 503, (
            "the class is idempotent, so that a retry is safe"
        )
        assert len(server.seen) + len(deployment.upstreams[1].seen) > seen + 1
