"""The sidecar's configuration, from EDGE_* variables and the JSON file: reading, validation and defaults.

This module is the only reader of both, at startup and at each reload.  It opens no socket and holds no
mutable state.  Every error names the invalid key.
"""

from __future__ import annotations

import json
import resource
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from typing import Any

from linetrack.control.settings_digest import settings_digest
from linetrack.errors import LinetrackError
from linetrack.policy.settings import Settings
from linetrack.server.address import parse_address
from linetrack.server.endpoint_list import EndpointRecords, parse_endpoint_list
from linetrack.server.http1.errors import MalformedMessageError
from linetrack.settings import SettingsError, SettingsNode, describe_invalid_key, read_settings

EMPTY_ENDPOINT_LIST = EndpointRecords(0, True, ())
HTTP1_STREAMS_PER_CONNECTION = 1  # used instead of the configured number
# The default limits are those that apply in production.
DEFAULT_SOCKETS = 1024
DEFAULT_MEMORY_MB = 192
MIN_SOCKETS = 64
DEFAULT_DIAL_TIMEOUT_US = 250_000
DEFAULT_KEEP_ALIVE_TIMEOUT_US = 30_000_000

CONFIG_FILE_VARIABLE = "EDGE_CONFIG"

#: `Config` fields that only a restart can change, and the keys that set them.
RESTART_KEYS = {
    "name": "name",
    "listen": "listen",
    "admin": "admin_addr",
    "sockets": "limits.sockets",
    "memory_mb": "limits.memory_mb",
    "overload_control_enabled": "storms.damp",
    "retry_after_in_whole_seconds": "storms.wholeSeconds",
}

MISSING_KEY_REASON = "is missing, but the running configuration has it"

#: Keys that a reloaded file must have if the running configuration has them, grouped by the object that holds
#: them.  Keys that enable a feature are left out, so that an older file can replace a newer one; so are the
#: keys of `RESTART_KEYS`, except `name` and `listen`.  All keys of `settings.rules` are permanent, as
#: without one of them a rule would be wider.
PERMANENT_KEYS: dict[str, tuple[str, ...]] = {
    "": ("name", "listen", "discovery", "limits", "settings"),
    "settings": ("classes", "azs", "zone", "me", "balancers", "registryMode", "rules", "stats", "allowed"),
    "settings.allowed": (
        "maxAttempts",
        "mayCancel",
        "mayProbe",
        "parallelTries",
        "retryAfter",
        "maxRetryAfterUs",
        "dialTimeoutUs",
    ),
}
#: The same for the keys of request classes, if each class of the running configuration has them.
PERMANENT_CLASS_KEYS = ("name", "repeat", "aimUs", "deadlineUs", "worth")


class ConfigError(LinetrackError):
    """A key of the configuration is missing or invalid.

    Attributes:
        key: the full path of the key, or the name of an environment variable.
        reason: what is wrong with it.
        value: the value as shown to the operator; None if the key is missing.
    """

    def __init__(self, key: str, reason: str, value: str | None = None, *, line: str | None = None) -> None:
        """`line` replaces the text built from the other arguments where it can say more."""
        self.key = key
        self.reason = reason
        self.value = value
        super().__init__(line or describe_invalid_key(key, reason, value))


@dataclass(slots=True, frozen=True)
class Config:
    """The complete configuration of one sidecar; durations are in microseconds."""

    name: str
    listen: tuple[str, int]
    admin: tuple[str, int] | None  # address of the admin server; None: no admin server
    discovery: tuple[str, int]
    seed: int
    sockets: int
    memory_mb: int
    initial_endpoints: EndpointRecords
    settings: Settings
    configured_streams: int  # per connection, before it is replaced by HTTP1_STREAMS_PER_CONNECTION
    class_names: tuple[str, ...]
    zone_names: tuple[str, ...]
    host_class_names: tuple[str, ...]
    load_report_fields: tuple[str, ...]
    dial_timeout: int
    keep_alive_timeout: int
    overload_control_enabled: bool  # damp retry storms and remember the keys of callers' own retries
    retry_after_in_whole_seconds: bool
    #: The keys in the file that a reloaded file must have, too.
    permanent_keys: frozenset[str] = frozenset()
    #: The keys of each request class by name and effect: a class whose effect changes may change its keys.
    class_keys: Mapping[tuple[str, str], frozenset[str]] = field(default_factory=dict)

    def keys_needing_restart(self, new: Config) -> list[str]:
        """Return the keys that differ in a new configuration and that only a restart can change."""
        return sorted(
            key for field, key in RESTART_KEYS.items() if getattr(self, field) != getattr(new, field)
        )

    def for_reload_of(self, running: Config) -> Config:
        """Return this configuration adapted to a sidecar that runs with another one.

        Values that only a restart can change are taken from the running configuration.  Each zone and host
        class keeps its index: if an index meant one zone before the reload and another one after it, a
        request that may have been executed in the first zone would be retried in the second.

        Raises:
            ConfigError: a key is missing that the running configuration has.  An incomplete file would
                otherwise take effect with defaults.
        """
        if missing := running.permanent_keys - self.permanent_keys:
            raise ConfigError(min(missing), MISSING_KEY_REASON)
        for index, (class_name, effect) in enumerate(self.class_keys):
            has_keys = self.class_keys[class_name, effect]
            if missing := running.class_keys.get((class_name, effect), frozenset()) - has_keys:
                raise ConfigError(f"settings.classes.{index}.{min(missing)}", MISSING_KEY_REASON)
        zone_names = _append_new_names(running.zone_names, self.zone_names)
        zone = self.settings.zone
        if zone < len(self.zone_names):
            zone = zone_names.index(self.zone_names[zone])
        unchanged = {field: getattr(running, field) for field in RESTART_KEYS}
        return replace(
            self,
            settings=replace(self.settings, zone=zone),
            zone_names=zone_names,
            host_class_names=_append_new_names(running.host_class_names, self.host_class_names),
            **unchanged,
        )

    def has_same_settings(self, other: Config) -> bool:
        """Return whether changing from `other` to this configuration needs no settings switch."""
        same = replace(
            self,
            discovery=other.discovery,
            seed=other.seed,
            initial_endpoints=other.initial_endpoints,
            permanent_keys=other.permanent_keys,
            class_keys=other.class_keys,
        )
        return same == other

    @property
    def digest(self) -> str:
        """A digest of everything that decisions depend on, including names and their indexes.

        It is equal in two processes of one sidecar with the same settings, even if their files differ in
        other values.
        """
        return settings_digest(
            self.settings, self.class_names, self.zone_names, self.host_class_names, self.load_report_fields
        )

    @property
    def class_timeouts(self) -> tuple[int, ...]:
        """The timeout of each request class, in microseconds."""
        return tuple(request_class.timeout for request_class in self.settings.classes)

    @property
    def max_class_timeout(self) -> int:
        """The longest timeout of any request class, in microseconds."""
        return max(self.class_timeouts)


def read_config(environ: Mapping[str, str]) -> Config:
    """Read the configuration from the environment and the file that EDGE_CONFIG names.

    Raises:
        ConfigError: a key is missing or invalid.
    """
    path = environ.get(CONFIG_FILE_VARIABLE)
    if not path:
        raise ConfigError(CONFIG_FILE_VARIABLE, "is missing")
    return parse_config(_read_file(path), environ)


def parse_config(values: Any, environ: Mapping[str, str]) -> Config:
    """Return the configuration for the environment and for `values` in the platform's format.

    Raises:
        ConfigError: a key is missing or invalid.
    """
    try:
        return _parse(SettingsNode(values, ""), environ)
    except SettingsError as error:
        raise ConfigError(error.key, error.reason, error.value) from None


def _read_file(path: str) -> Any:
    try:
        with open(path, encoding="utf-8") as file:
            return json.load(file)
    except OSError as error:
        reason = str(error.strerror)
        line = f"{CONFIG_FILE_VARIABLE}: {path}: {reason}"
        raise ConfigError(CONFIG_FILE_VARIABLE, reason, path, line=line) from None
    except (ValueError, RecursionError) as error:
        raise ConfigError(CONFIG_FILE_VARIABLE, f"is not JSON: {error}", path) from None


def _parse(root: SettingsNode, environ: Mapping[str, str]) -> Config:
    name = _required_text(root, "name", environ)
    listen = _required_text(root, "listen", environ)
    discovery = _required_text(root, "discovery", environ)
    admin = environ.get("EDGE_ADMIN_ADDR", "") or root.text("admin_addr", "")
    if "settings" not in root.values:
        raise ConfigError("settings", "is missing")
    node = root.child("settings")
    configured = read_settings(node.values, "settings")
    allowed = node.child("allowed")
    class_names = _class_names(node.children("classes"))
    report_fields = node.child("stats").names("fields") if configured.load_report_fields else []
    limits = root.child("limits")
    return Config(
        name=name,
        sockets=_socket_limit(limits),
        listen=_address(listen, "listen", "EDGE_LISTEN"),
        admin=_address(admin, "admin_addr", "EDGE_ADMIN_ADDR") if admin else None,
        discovery=_address(discovery, "discovery", "EDGE_DISCOVERY"),
        seed=_seed(root.values.get("seed", "0")),
        memory_mb=int(limits.number("memory_mb", DEFAULT_MEMORY_MB)),
        initial_endpoints=_initial_endpoints(root.values.get("known")),
        settings=replace(configured, max_streams_per_connection=HTTP1_STREAMS_PER_CONNECTION),
        configured_streams=configured.max_streams_per_connection,
        class_names=class_names,
        zone_names=tuple(node.names("azs")),
        host_class_names=tuple(node.names("skus")),
        load_report_fields=tuple(report_fields),
        dial_timeout=allowed.integer_at_least("dialTimeoutUs", 1, DEFAULT_DIAL_TIMEOUT_US),
        keep_alive_timeout=allowed.integer_at_least("keepaliveUs", 0, DEFAULT_KEEP_ALIVE_TIMEOUT_US),
        overload_control_enabled=root.child("storms").boolean("damp"),
        retry_after_in_whole_seconds=root.child("storms").boolean("wholeSeconds"),
        permanent_keys=_permanent_keys(root),
        class_keys=_class_keys(root),
    )


def _required_text(root: SettingsNode, key: str, environ: Mapping[str, str]) -> str:
    """Return a required text from the environment or, if it is not set there, from the file.

    For `discovery` the file takes precedence: the environment of a process never changes, and it must not
    hide a new discovery address in a reloaded file.
    """
    variable = f"EDGE_{key.upper()}"
    from_file = root.text(key, "")
    from_environ = environ.get(variable, "")
    text = from_file or from_environ if key == "discovery" else from_environ or from_file
    if not text:
        raise ConfigError(key, "is missing", line=f"{key} ({variable}) is missing")
    return text


def _class_names(classes: Iterable[SettingsNode]) -> tuple[str, ...]:
    names: list[str] = []
    for index, node in enumerate(classes):
        name = node.text("name", str(index))
        if name in names:
            raise ConfigError(node.path_of("name"), "is also the name of another class", repr(name))
        names.append(name)
    return tuple(names)


def _socket_limit(limits: SettingsNode) -> int:
    """Return the configured limit, or the process's descriptor limit if that is lower."""
    process_limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    sockets = min(limits.integer("sockets", DEFAULT_SOCKETS), process_limit)
    if sockets < MIN_SOCKETS:
        raise ConfigError("limits.sockets", "is below the minimum", str(sockets))
    return sockets


def _address(text: str, key: str, variable: str) -> tuple[str, int]:
    try:
        return parse_address(text)
    except ValueError as error:
        raise ConfigError(key, str(error), repr(text), line=f"{key} ({variable}): {error}") from None


def _seed(value: Any) -> int:
    """Return the seed, given as hexadecimal text or as an integer."""
    try:
        return value if isinstance(value, int) else int(value, 16)
    except (TypeError, ValueError):
        raise ConfigError("seed", "is not a hexadecimal number", repr(value)) from None


def _initial_endpoints(value: Any) -> EndpointRecords:
    if value is None:
        return EMPTY_ENDPOINT_LIST
    try:
        return parse_endpoint_list(value)
    except MalformedMessageError as error:
        raise ConfigError("known", str(error), line=f"known: {error}") from None


def _permanent_keys(root: SettingsNode) -> frozenset[str]:
    found: set[str] = set()
    for path, names in PERMANENT_KEYS.items():
        node = root
        for name in path.split(".") if path else ():
            node = node.child(name)
        found |= {node.path_of(name) for name in names if name in node.values}
    rules = root.child("settings").child("rules")
    found |= {rules.path_of(name) for name in rules.values}
    classes = root.child("settings").children("classes")
    found |= {
        f"settings.classes.*.{name}"
        for name in PERMANENT_CLASS_KEYS
        if all(name in request_class.values for request_class in classes)
    }
    return frozenset(found)


def _class_keys(root: SettingsNode) -> dict[tuple[str, str], frozenset[str]]:
    classes = root.child("settings").children("classes")
    return {(node.text("name", ""), node.text("repeat", "")): frozenset(node.values) for node in classes}


def _append_new_names(old: tuple[str, ...], new: tuple[str, ...]) -> tuple[str, ...]:
    """Return the old names in their order, followed by those that are new."""
    return old + tuple(name for name in new if name not in old)
