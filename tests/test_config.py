"""Configuration: defaults, and faults that name the key."""

import json
from pathlib import Path
from typing import Any

import pytest

from linetrack.policy.settings import DeduplicationScope, Idempotency, LoadField
from linetrack.server.config import Config, ConfigError, read_config
from tests.stand_ins import SECOND, config

KNOWN: dict[str, Any] = {"id": "a", "addr": "127.0.0.1:9", "state": "SERVING"}


def told() -> dict[str, Any]:
    return {**config("127.0.0.1:8500", [KNOWN]), "listen": "127.0.0.1:8081"}


def read(folder: Path, value: object, **environ: str) -> Config:
    file = folder / "config.json"
    file.write_text(value if isinstance(value, str) else json.dumps(value))
    return read_config({"EDGE_CONFIG": str(file), **environ})


def test_what_is_told_is_read(tmp_path: Path) -> None:
    values = told()
    values["settings"]["later"] = {"added": [1]}
    read_values = read(tmp_path, {**values, "unknown": 1})
    assert read_values.listen == ("127.0.0.1", 8081) and read_values.discovery == ("127.0.0.1", 8500)
    assert read_values.seed == 0x8C1F30D27A5BE964
    assert read_values.class_names == ("look", "pay", "book")
    assert read_values.settings.classes[2].idempotency is Idempotency.IDEMPOTENCY_KEY
    assert read_values.settings.classes[2].deduplication_scope is DeduplicationScope.ALL
    assert read_values.settings.load_report_fields == (LoadField.QUEUE_DEPTH, LoadField.REQUEST_RATE)
    assert read_values.settings.must_subscribe and read_values.settings.may_cancel
    assert read_values.longest == 2 * SECOND
    assert [member.name for member in read_values.known.endpoints] == ["a"]


def test_the_environment_comes_before_the_file(tmp_path: Path) -> None:
    read_values = read(tmp_path, told(), EDGE_LISTEN="127.0.0.1:9001", EDGE_NAME="n7")
    assert read_values.listen == ("127.0.0.1", 9001) and read_values.name == "n7"


def test_the_process_limit_binds_too(tmp_path: Path) -> None:
    values = told()
    values["limits"] |= {"sockets": 10**9, "memory_mb": 190.7}
    told_limits = read(tmp_path, values)
    assert told_limits.sockets < 10**9 and told_limits.memory_mb == 190


FAULTS: list[tuple[str, object]] = [
    ("name", None),
    ("listen", None),
    ("listen", "here"),
    ("listen", 7),
    ("discovery", "localhost:99999"),
    ("seed", "xyz"),
    ("seed", []),
    ("known", 7),
    ("known", {"version": 1, "full": True, "servers": [{"id": "a"}]}),
    ("limits", 7),
    ("limits.sockets", 8),
    ("limits.sockets", "many"),
    ("limits.memory_mb", "lots"),
    ("settings", None),
    ("settings", "x"),
    ("settings.classes", None),
    ("settings.classes", "x"),
    ("settings.classes", [7]),
    ("settings.classes", []),
    ("settings.classes.0.deadlineUs", None),
    ("settings.classes.0.deadlineUs", "soon"),
    ("settings.classes.0.deadlineUs", True),
    ("settings.classes.0.aimUs", 0.5),
    ("settings.classes.0.repeat", "maybe"),
    ("settings.classes.0.repeat", 7),
    ("settings.classes.0.worth", float("nan")),
    ("settings.azs", 7),
    ("settings.azs", [7]),
    ("settings.registryMode", 7),
    ("settings.rules", ["x"]),
    ("settings.rules.coldFrom", "warm"),
    ("settings.allowed.mayCancel", "perhaps"),
    ("settings.allowed.mayCancel", []),
    ("settings.allowed.dialTimeoutUs", "x"),
]


@pytest.mark.parametrize(("key", "value"), FAULTS)
def test_a_fault_names_its_key(tmp_path: Path, key: str, value: object) -> None:
    values: Any = told()
    at = values
    *above, last = key.split(".")
    for name in above:
        at = at[int(name)] if name.isdigit() else at[name]
    if value is None:
        del at[last]
    else:
        at[last] = value
    with pytest.raises(ConfigError) as fault:
        read(tmp_path, values)
    assert key in str(fault.value)


def paths(value: Any, path: tuple[Any, ...] = ()) -> Any:
    """The way to each key of the settings and above that a file has to go on saying."""
    if isinstance(value, dict):
        for key, inner in value.items():
            yield (*path, key)
            yield from paths(inner, (*path, key))
    elif isinstance(value, list) and path[-1:] == ("classes",):
        for n, inner in enumerate(value):
            yield from paths(inner, (*path, n))


FREE = {
    "sockets",
    "memory_mb",
    "known",
    "seed",
    "keepaliveUs",
    "skus",
    "how",
    "fields",
    "cores",
    "dedupScope",
    "dedupWindowUs",
}
SHORT = [path for path in paths(told()) if path[-1] not in FREE and path[0] != "known"]


@pytest.mark.parametrize("path", SHORT, ids=lambda path: ".".join(map(str, path)))
def test_a_file_short_of_a_key_is_turned_down_by_what_the_one_in_force_says(
    tmp_path: Path, path: tuple[Any, ...]
) -> None:
    # guards against a file that lost a part and takes effect with defaults: other attempts, another discovery
    values: Any = told()
    at = values
    for step in path[:-1]:
        at = at[step]
    del at[path[-1]]
    environ = {"EDGE_NAME": "n0", "EDGE_LISTEN": "127.0.0.1:1", "EDGE_DISCOVERY": "127.0.0.1:2"}
    with pytest.raises(ConfigError, match=str(path[-1])):
        read(tmp_path, values, **environ).after(read(tmp_path, told(), **environ))


def test_what_a_newer_file_turned_on_an_older_one_need_not_say(tmp_path: Path) -> None:
    newer = told()
    newer["settings"] |= {"weights": "live", "customers": [{"quotaRps": 5}]}
    newer["settings"]["allowed"] |= {"multiplex": 10}
    old, new = read(tmp_path, told()), read(tmp_path, newer)
    assert old.after(new.after(old)).settings == old.settings


def test_a_class_named_twice_is_a_fault(tmp_path: Path) -> None:
    values = told()
    values["settings"]["classes"][1]["name"] = "look"
    with pytest.raises(ConfigError, match=r"settings\.classes\.1\.name"):
        read(tmp_path, values)


@pytest.mark.parametrize("text", ["", "{", "[]", "7", "null", "[" * 100_000])
def test_a_file_that_is_no_object_is_a_fault(tmp_path: Path, text: str) -> None:
    with pytest.raises(ConfigError):
        read(tmp_path, text)


def test_no_file_is_a_fault(tmp_path: Path) -> None:
    for environ in ({}, {"EDGE_CONFIG": ""}, {"EDGE_CONFIG": str(tmp_path / "none.json")}):
        with pytest.raises(ConfigError, match="EDGE_CONFIG"):
            read_config(environ)
