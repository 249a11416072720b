"""Other settings in a running program, there and back: by SIGHUP, under load, with a ledger on both sides."""

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
from tests.server.reloading import reload, reshaped, send_reload
from tests.support.configuration import sidecar_config
from tests.support.http import HttpConnection, HttpMessage, http_request, http_response
from tests.support.servers import UpstreamServer
from tests.support.sidecar_process import Deployment, SidecarProcess
from tests.support.units import SECOND
from tests.support.waiting import wait_until


class AnswerLedger:
    """What callers sent and were answered, by id."""

    def __init__(self) -> None:
        self.answers: dict[str, list[int]] = {}
        self.lock = threading.Lock()

    def ask(self, sidecar: SidecarProcess, class_name: str, trace: str) -> int:
        reply = sidecar.exchange(
            http_request(f"/{class_name}/k", "GET", f"X-Trace-Id: {trace}", "X-Expires-In: 2.0")
        )
        with self.lock:
            self.answers.setdefault(trace, []).append(reply.status)
        return reply.status


class Load:
    """Callers that ask for `pay` one after the other until they are stopped; their ids have a hyphen."""

    def __init__(self, sidecar: SidecarProcess, ledger: AnswerLedger, callers: int) -> None:
        self.sidecar = sidecar
        self.ledger = ledger
        self.faults: list[BaseException] = []
        self.stopping = threading.Event()
        self.threads = [threading.Thread(target=self._run, args=(number,)) for number in range(callers)]
        for thread in self.threads:
            thread.start()

    def stop(self) -> None:
        self.stopping.set()
        for thread in self.threads:
            thread.join()

    def _run(self, number: int) -> None:
        try:
            for turn in range(10_000):
                if self.stopping.is_set():
                    return
                self.ledger.ask(self.sidecar, "pay", f"{number}-{turn}")
        except BaseException as fault:
            self.faults.append(fault)


def respond_slowly(_message: HttpMessage, _wire: HttpConnection) -> bytes:
    time.sleep(0.02)
    return http_response(b"ok")


def test_a_settings_switch_there_and_back_under_load_loses_and_repeats_nothing(tmp_path: Path) -> None:
    servers = [UpstreamServer(name, respond_slowly) for name in ("a", "b", "c")]
    ledger = AnswerLedger()
    with Deployment(tmp_path, *servers) as sidecar:
        old = dict(sidecar.config)
        load = Load(sidecar, ledger, callers=6)
        for values, added, dropped in ((reshaped(old), "quote", "look"), (old, "look", "quote")) * 2:
            answered = len(ledger.answers)
            reload(sidecar, values)
            wait_until(partial(lambda before: len(ledger.answers) > before + 30, answered))
            # the settings in force are seen to act, and those before them no longer
            assert ledger.ask(sidecar, added, f"{added}{answered}") == 200
            assert ledger.ask(sidecar, dropped, f"{dropped}{answered}") == 400
        load.stop()
        log = sidecar.log()
        assert sidecar.end() == 0
    assert not load.faults
    assert all(len(statuses) == 1 for statuses in ledger.answers.values())
    paid = [statuses[0] for trace, statuses in ledger.answers.items() if "-" in trace]
    assert set(paid) <= {200, 503}
    ran = Counter(message.headers["x-trace-id"] for server in servers for message in list(server.seen))
    assert max(ran.values()) == 1, "a non-idempotent request ran twice"
    assert log.count('"settings_switched"') == 4
    assert '"multiplex_unused"' in log
    assert '"used": 1' in log


def test_a_request_read_before_a_switch_keeps_its_class_and_idempotency(tmp_path: Path) -> None:
    """Its class is dropped, and its index is then a non-idempotent class's, which could only fail."""
    held, switched = threading.Event(), threading.Event()

    def first(_message: HttpMessage, _wire: HttpConnection) -> bytes | None:
        held.set()
        assert switched.wait(20)
        return None  # the connection breaks: what was sent may have run

    with Deployment(tmp_path, UpstreamServer("a", first)) as sidecar:
        old = dict(sidecar.config)
        statuses: list[int] = []
        thread = threading.Thread(target=lambda: statuses.append(sidecar.send_class_request("look").status))
        thread.start()
        assert held.wait(20)
        reload(sidecar, reshaped(old))
        wait_until(lambda: "settings_switched" in sidecar.log())
        assert '"in_flight": 1' in sidecar.log()
        switched.set()
        thread.join()
        # rejected, as a retry is harmless; a non-idempotent one that may have run gets 502
        assert statuses == [503]
        assert sidecar.send_class_request("pay").status == 502
        assert sidecar.end() == 0


def test_the_last_of_several_files_is_in_force_though_it_comes_during_a_switch(tmp_path: Path) -> None:
    """With requests in flight, which no switch may lose.

    A signal that comes while the file before it is read or applied is one more reload.
    """
    let = threading.Event()

    def held(_message: HttpMessage, _wire: HttpConnection) -> bytes:
        assert let.wait(20)
        return http_response(b"ok")

    with Deployment(tmp_path, server := UpstreamServer("a", held)) as sidecar:
        statuses: list[int] = []
        threads = [
            threading.Thread(target=lambda: statuses.append(sidecar.send_class_request("look").status))
            for _ in "123"
        ]
        for thread in threads:
            thread.start()
        wait_until(lambda: len(server.seen) == 3)
        values = reshaped(dict(sidecar.config))
        for turn in range(6):
            values["settings"]["classes"][1]["name"] = f"quote{turn}"
            send_reload(sidecar, json.dumps(values))
        wait_until(lambda: "quote5" in sidecar.log(), "the last file")
        let.set()
        for thread in threads:
            thread.join()
        assert statuses == [200] * 3
        assert sidecar.send_class_request("quote5").status == 200
        assert sidecar.send_class_request("quote4").status == 400
        assert sidecar.end() == 0


def test_nothing_is_sent_to_a_draining_endpoint_after_a_switch(tmp_path: Path) -> None:
    a, b = UpstreamServer("a"), UpstreamServer("b")
    world = Deployment(tmp_path, a, b)
    with world as sidecar:
        old = dict(sidecar.config)
        world.discovery.change(a.entry(state="DRAINING"))
        wait_until(lambda: all(sidecar.send_class_request().body == b"b" for _ in range(12)))
        seen = len(a.seen)
        reload(sidecar, reshaped(old))
        assert {sidecar.send_class_request("quote").body for _ in range(20)} == {b"b"}
        reload(sidecar, old)
        assert {sidecar.send_class_request("look").body for _ in range(20)} == {b"b"}
        assert len(a.seen) == seen


def test_an_invalid_file_leaves_the_settings_in_force(tmp_path: Path) -> None:
    with Deployment(tmp_path, UpstreamServer("a")) as sidecar:
        old = dict(sidecar.config)
        for values in invalid_files(old).values():
            reload(sidecar, values)
            assert sidecar.send_class_request("look").status == 200
            time.sleep(1.0)  # a line of one event a second
        assert "settings_switched" not in sidecar.log()
        assert sidecar.log().count("reload_rejected") == len(invalid_files(old))


def invalid_files(values: dict[str, Any]) -> dict[str, str]:
    """Files that make no sense, by the key that is to blame."""

    def changed(part: str, key: str, value: Any) -> str:
        new = reshaped(values)
        (new["settings"] if not part else new["settings"][part])[key] = value
        return json.dumps(new)

    classes = json.loads(json.dumps(reshaped(values)["settings"]["classes"]))
    classes[1]["deadlineUs"] = 0
    return {
        "EDGE_CONFIG": json.dumps(values)[:300],
        "settings.classes": changed("", "classes", []),
        "settings.classes.1.deadlineUs": changed("", "classes", classes),
        "settings.allowed.maxAttempts": changed("allowed", "maxAttempts", 0),
        "settings.allowed.multiplex": changed("allowed", "multiplex", 0),
        "settings.weights": changed("", "weights", "heavy"),
    }


def test_each_error_names_its_key() -> None:
    values = {**sidecar_config("127.0.0.1:9", []), "listen": "127.0.0.1:8"}
    for key, text in invalid_files(values).items():
        if key != "EDGE_CONFIG":
            with pytest.raises(ConfigError, match=key.replace(".", r"\.")) as raised:
                parse_config(json.loads(text), {})
            assert raised.value.key == key


def test_zones_keep_their_indices_and_what_needs_a_restart_stays() -> None:
    values = {**sidecar_config("127.0.0.1:9", []), "listen": "127.0.0.1:8"}
    old = parse_config(values, {})
    new = parse_config({**reshaped(values), "name": "other", "limits": {"sockets": 100}}, {})
    assert old.keys_needing_restart(new) == ["limits.sockets", "name"]
    after = new.for_reload_of(old)
    assert after.zone_names == ("north", "south", "west")
    assert after.settings.zone == 0
    assert (after.name, after.sockets) == (old.name, old.sockets)
    assert (after.configured_streams, after.settings.max_streams_per_connection) == (100, 1)
    back = old.for_reload_of(after)
    assert back.zone_names == after.zone_names
    assert back.settings == old.settings
    assert back.has_same_settings(parse_config(values, {}).for_reload_of(after))
    assert not back.has_same_settings(after)


def test_the_keys_of_the_new_shape_reach_the_policy_and_default_to_neutral_values() -> None:
    values = {**sidecar_config("127.0.0.1:9", []), "listen": "127.0.0.1:8"}
    plain, new = parse_config(values, {}).settings, parse_config(reshaped(values), {}).settings
    assert (plain.capacity_varies_with_load, new.capacity_varies_with_load) == (False, True)
    assert plain.keep_alive_timeout == new.keep_alive_timeout == 30 * SECOND


def test_a_class_may_return_with_another_idempotency_after_an_invalid_file(tmp_path: Path) -> None:
    server = UpstreamServer(
        "a", lambda message, _wire: None if message.target.startswith("/pay") else http_response(b"ok")
    )
    world = Deployment(tmp_path, server, UpstreamServer("b", server.script))
    with world as sidecar:
        first = sidecar.config
        without = json.loads(json.dumps(first))
        del without["settings"]["classes"][1]
        free = json.loads(json.dumps(first))
        free["settings"]["classes"][1]["repeat"] = "free"
        assert sidecar.send_class_request("pay").status == 502
        assert len(server.seen) + len(world.upstreams[1].seen) == 1
        reload(sidecar, without)
        assert sidecar.send_class_request("pay").status == 400
        broken = json.loads(json.dumps(free))
        del broken["settings"]["classes"][1]["repeat"]
        reload(sidecar, broken)
        assert sidecar.send_class_request("pay").status == 400, "nothing of a broken file acts"
        reload(sidecar, free)
        seen = len(server.seen) + len(world.upstreams[1].seen)
        assert sidecar.send_class_request("pay").status == 503, (
            "it may run again, so that a repeat is harmless"
        )
        assert len(server.seen) + len(world.upstreams[1].seen) > seen + 1
