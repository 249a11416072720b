"""The sidecar's configuration: its values, its errors, which name the key, and reloads."""

import json
from pathlib import Path
from typing import Any

import pytest

from linetrack.policy.settings import DeduplicationScope, Idempotency, LoadField
from linetrack.server.config import Config, ConfigError, read_config
from tests.support.configuration import sidecar_config
from tests.support.units import SECOND

KNOWN: dict[str, Any] = {"id": "a", "addr": "127.0.0.1:9", "state": "SERVING"}


def platform_values() -> dict[str, Any]:
    return {**sidecar_config("127.0.0.1:8500", [KNOWN]), "listen": "127.0.0.1:8081"}


def read(folder: Path, value: object, **environ: str) -> Config:
    file = folder / "config.json"
    file.write_text(value if isinstance(value, str) else json.dumps(value))
    return read_config({"EDGE_CONFIG": str(file), **environ})


def test_every_value_is_read(tmp_path: Path) -> None:
    values = platform_values()
    values["settings"]["later"] = {"added": [1]}
    found = read(tmp_path, {**values, "unknown": 1})
    assert found.listen == ("127.0.0.1", 8081)
    assert found.discovery == ("127.0.0.1", 8500)
    assert found.seed == 0x8C1F30D27A5BE964
    assert found.class_names == ("look", "pay", "book")
    assert found.settings.classes[2].idempotency is Idempotency.IDEMPOTENCY_KEY
    assert found.settings.classes[2].deduplication_scope is DeduplicationScope.ALL
    assert found.settings.load_report_fields == (LoadField.QUEUE_DEPTH, LoadField.REQUEST_RATE)
    assert found.settings.must_subscribe
    assert found.settings.may_cancel
    assert found.max_class_timeout == 2 * SECOND
    assert [endpoint.name for endpoint in found.initial_endpoints.endpoints] == ["a"]


def test_the_environment_overrides_the_file(tmp_path: Path) -> None:
    found = read(tmp_path, platform_values(), EDGE_LISTEN="127.0.0.1:9001", EDGE_NAME="n7")
    assert found.listen == ("127.0.0.1", 9001)
    assert found.name == "n7"


def test_the_socket_limit_is_at_most_the_descriptor_limit_of_the_process(tmp_path: Path) -> None:
    values = platform_values()
    values["limits"] |= {"sockets": 10**9, "memory_mb": 190.7}
    found = read(tmp_path, values)
    assert found.sockets < 10**9
    assert found.memory_mb == 190


INVALID_VALUES: list[tuple[str, object]] = [
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


@pytest.mark.parametrize(("key", "value"), INVALID_VALUES)
def test_an_error_names_its_key(tmp_path: Path, key: str, value: object) -> None:
    with pytest.raises(ConfigError) as raised:
        read(tmp_path, with_value(key, value))
    assert key in str(raised.value)
    assert f"{raised.value.key}.".startswith(f"{key}.")
    assert raised.value.reason


ERROR_TEXTS: list[tuple[str, object, str]] = [
    ("name", None, "name (EDGE_NAME) is missing"),
    ("seed", "xyz", "seed: 'xyz' is not a hexadecimal number"),
    ("limits", 7, "limits: 7 is not an object"),
    ("limits.sockets", 8, "limits.sockets: 8 is below the minimum"),
    ("settings", None, "settings is missing"),
    ("settings.classes", [], "settings.classes is missing or empty"),
    ("settings.classes", "x", "settings.classes: 'x' is not a list"),
    ("settings.classes", [7], "settings.classes.0: 7 is not an object"),
    ("settings.classes.0.deadlineUs", None, "settings.classes.0.deadlineUs is missing"),
    ("settings.classes.0.aimUs", 0, "settings.classes.0.aimUs: 0 is under 1"),
    ("settings.classes.0.aimUs", 1.5, "settings.classes.0.aimUs: 1.5 is not a whole number"),
    (
        "settings.classes.0.repeat",
        "maybe",
        "settings.classes.0.repeat: 'maybe' is not one of free, guarded, single_shot",
    ),
    ("settings.azs", [7], "settings.azs: [7] is not a list of names"),
    ("settings.registryMode", 7, "settings.registryMode: 7 is not a string"),
    ("settings.rules.coldFrom", "warm", "settings.rules.coldFrom: 'warm' is not a number"),
    ("settings.allowed.mayCancel", [], "settings.allowed.mayCancel: [] is not true or false"),
]


@pytest.mark.parametrize(("key", "value", "text"), ERROR_TEXTS)
def test_the_text_of_an_error_has_key_value_and_reason(
    tmp_path: Path, key: str, value: object, text: str
) -> None:
    with pytest.raises(ConfigError) as raised:
        read(tmp_path, with_value(key, value))
    assert str(raised.value) == text


def with_value(key: str, value: object) -> Any:
    """Return the platform's values with one changed, or removed if `value` is None."""
    values: Any = platform_values()
    node = values
    *parents, last = key.split(".")
    for name in parents:
        node = node[int(name)] if name.isdigit() else node[name]
    if value is None:
        del node[last]
    else:
        node[last] = value
    return values


def paths(value: Any, path: tuple[Any, ...] = ()) -> Any:
    """Yield the path of each key, without those in lists other than the request classes."""
    if isinstance(value, dict):
        for key, inner in value.items():
            yield (*path, key)
            yield from paths(inner, (*path, key))
    elif isinstance(value, list) and path[-1:] == ("classes",):
        for index, inner in enumerate(value):
            yield from paths(inner, (*path, index))


OPTIONAL = {
    "sockets",
    "memory_mb",
    "known",
    "seed",
    "keepaliveUs",
    "skus",
    "how",
    "fields",
    "cores",
}
PERMANENT = [path for path in paths(platform_values()) if path[-1] not in OPTIONAL and path[0] != "known"]


@pytest.mark.parametrize("path", PERMANENT, ids=lambda path: ".".join(map(str, path)))
def test_a_reloaded_file_that_lacks_a_permanent_key_is_rejected(
    tmp_path: Path, path: tuple[Any, ...]
) -> None:
    # Otherwise it would take effect with defaults, such as another number of attempts or another discovery.
    values = with_value(".".join(map(str, path)), None)
    environ = {"EDGE_NAME": "n0", "EDGE_LISTEN": "127.0.0.1:1", "EDGE_DISCOVERY": "127.0.0.1:2"}
    running = read(tmp_path, platform_values(), **environ)
    with pytest.raises(ConfigError, match=str(path[-1])) as raised:
        read(tmp_path, values, **environ).for_reload_of(running)
    assert raised.value.key.endswith(str(path[-1]))
    assert raised.value.value is None


@pytest.mark.parametrize("key", ["dedupScope", "dedupWindowUs"])
def test_a_class_may_lack_the_keys_of_an_effect_that_it_no_longer_has(tmp_path: Path, key: str) -> None:
    """Beside review/2, where a file short of `dedupScope` let repeats run in all zones."""
    values = platform_values()
    index = [each["repeat"] for each in values["settings"]["classes"]].index("guarded")
    values["settings"]["classes"][index]["repeat"] = "free"
    del values["settings"]["classes"][index][key]
    running = read(tmp_path, platform_values())
    assert read(tmp_path, values).for_reload_of(running).settings.classes


def test_a_file_short_of_a_limit_of_retries_is_rejected_at_a_reload(tmp_path: Path) -> None:
    limited = platform_values()
    limited["settings"]["rules"] |= {"freeResends": 2, "furtherRatio": 0.1, "extraWindowUs": 2 * SECOND}
    running = read(tmp_path, limited)
    with pytest.raises(ConfigError, match=r"settings\.rules"):
        read(tmp_path, platform_values()).for_reload_of(running)


def test_an_older_file_may_lack_the_features_that_a_newer_one_enabled(tmp_path: Path) -> None:
    newer = platform_values()
    newer["settings"] |= {"weights": "live", "customers": [{"quotaRps": 5}]}
    newer["settings"]["allowed"] |= {"multiplex": 10}
    old, new = read(tmp_path, platform_values()), read(tmp_path, newer)
    assert old.for_reload_of(new.for_reload_of(old)).settings == old.settings


def test_two_classes_with_the_same_name_are_an_error(tmp_path: Path) -> None:
    values = platform_values()
    values["settings"]["classes"][1]["name"] = "look"
    with pytest.raises(ConfigError, match=r"settings\.classes\.1\.name") as raised:
        read(tmp_path, values)
    assert (raised.value.key, raised.value.value) == ("settings.classes.1.name", "'look'")


@pytest.mark.parametrize("text", ["", "{", "[]", "7", "null", "[" * 100_000])
def test_a_file_that_is_not_a_complete_json_object_is_an_error(tmp_path: Path, text: str) -> None:
    with pytest.raises(ConfigError):
        read(tmp_path, text)


def test_a_missing_file_is_an_error(tmp_path: Path) -> None:
    for environ in ({}, {"EDGE_CONFIG": ""}, {"EDGE_CONFIG": str(tmp_path / "none.json")}):
        with pytest.raises(ConfigError, match="EDGE_CONFIG") as raised:
            read_config(environ)
        assert raised.value.key == "EDGE_CONFIG"
