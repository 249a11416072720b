"""What a sidecar is told: EDGE_* and the JSON file, read, checked and defaulted here only, at a reload as
well.

Must never open a socket or hold anything that changes.  Every fault names the key that is to blame.
"""

from __future__ import annotations

import json
import resource
from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import Any

from linetrack.control.settings_digest import settings_digest
from linetrack.policy.settings import Settings
from linetrack.server.address import parse_address
from linetrack.server.endpoint_list import EndpointRecords, parse_endpoint_list
from linetrack.server.http1.errors import MalformedMessageError
from linetrack.settings import Node, SettingsError, read_settings

EMPTY_LIST = EndpointRecords(0, True, ())
STREAMS = 1  # requests that a connection of HTTP/1.1 carries at once, whatever is told
SOCKETS, MEMORY_MB = 1024, 192  # where no limit is told: what binds on the days that count


class ConfigError(Exception):
    """The configuration is missing or makes no sense; the message names the key."""


@dataclass(slots=True, frozen=True)
class Config:
    name: str
    listen: tuple[str, int]
    admin: tuple[str, int] | None  # the operators' address; None: nothing listens there
    discovery: tuple[str, int]
    seed: int
    sockets: int
    memory_mb: int
    known: EndpointRecords
    settings: Settings
    told_streams: int  # requests a connection carries at once, as told; HTTP/1.1 carries STREAMS
    class_names: tuple[str, ...]
    zone_names: tuple[str, ...]
    kind_names: tuple[str, ...]
    report_fields: tuple[str, ...]
    dial_timeout: int  # microseconds, as below
    keep_alive: int
    storms: bool  # retry storms are damped, and keys of callers' own repeats remembered
    whole_seconds: bool  # Retry-After in whole seconds
    said: frozenset[str] = frozenset()  # which keys of ALWAYS the file says

    def restart_for(self, new: Config) -> list[str]:
        """The keys in which another configuration differs that only a restart can bring into force."""
        return sorted(key for name, key in AT_START.items() if getattr(self, name) != getattr(new, name))

    def after(self, old: Config) -> Config:
        """This configuration as a running program takes it: what only a restart can bring stays as it was,
        and a place or kind that had a number keeps it.  A ConfigError where it is short of a key.

        Guards against a file that lost a part taking effect with defaults, and against two names that had
        one number after one another: what may have run in a place would be repeated in another.
        """
        if short := old.said - self.said:
            raise ConfigError(f"{min(short)} is missing, and the file in force says it")
        zones, kinds = _longer(old.zone_names, self.zone_names), _longer(old.kind_names, self.kind_names)
        own = self.settings.zone
        zone = zones.index(self.zone_names[own]) if own < len(self.zone_names) else own
        kept = {name: getattr(old, name) for name in AT_START}
        settings = replace(self.settings, zone=zone)
        return replace(self, settings=settings, zone_names=zones, kind_names=kinds, **kept)

    def same_settings(self, other: Config) -> bool:
        """Whether nothing differs that a running program takes."""
        same = replace(self, discovery=other.discovery, seed=other.seed, known=other.known, said=other.said)
        return same == other

    @property
    def digest(self) -> str:
        """Stands for all that decisions go by, names with their numbers: the same in two processes of one
        sidecar under the same settings, whatever else their files say."""
        return settings_digest(
            self.settings, self.class_names, self.zone_names, self.kind_names, self.report_fields
        )

    @property
    def deadlines(self) -> tuple[int, ...]:
        return tuple(klass.timeout for klass in self.settings.classes)

    @property
    def longest(self) -> int:
        """The longest deadline of any class."""
        return max(self.deadlines)


#: What only a start can bring into force, and the keys that say it.
AT_START = {
    "name": "name",
    "listen": "listen",
    "admin": "admin_addr",
    "sockets": "limits.sockets",
    "memory_mb": "limits.memory_mb",
    "storms": "storms.damp",
    "whole_seconds": "storms.wholeSeconds",
}


#: What a file that follows one that says it has to say too, by the part that it stands in; not what turns
#: something on, so that an older file can follow a newer one, nor what only a start can bring into force.
ALWAYS: dict[str, tuple[str, ...]] = {
    "": ("name", "listen", "discovery", "limits", "settings"),
    "settings": ("classes", "azs", "zone", "me", "balancers", "registryMode", "rules", "stats", "allowed"),
    "settings.rules": (
        "askEveryUs",
        "drainGraceUs",
        "coldFrom",
        "warmUpUs",
        "fallMultiple",
        "overloadForUs",
    ),
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
ALWAYS_OF_A_CLASS = ("name", "repeat", "aimUs", "deadlineUs", "worth")


def _said(root: Node) -> frozenset[str]:
    said = set()
    for path, names in ALWAYS.items():
        node = root
        for step in path.split(".") if path else ():
            node = node.part(step)
        said |= {node.at(name) for name in names if name in node.values}
    classes = root.part("settings").parts("classes")
    said |= {
        f"settings.classes.*.{name}" for name in ALWAYS_OF_A_CLASS if all(name in c.values for c in classes)
    }
    return frozenset(said)


def _longer(old: tuple[str, ...], new: tuple[str, ...]) -> tuple[str, ...]:
    return old + tuple(name for name in new if name not in old)


def _address(value: str, key: str) -> tuple[str, int]:
    try:
        return parse_address(value)
    except ValueError as fault:
        raise ConfigError(f"{key}: {fault}") from None


def _seed(value: Any) -> int:
    """Hexadecimal text or a whole number."""
    try:
        return value if isinstance(value, int) else int(value, 16)
    except (TypeError, ValueError):
        raise ConfigError(f"seed: {value!r} is no hexadecimal number") from None


def _known(value: Any) -> EndpointRecords:
    if value is None:
        return EMPTY_LIST
    try:
        return parse_endpoint_list(value)
    except MalformedMessageError as fault:
        raise ConfigError(f"known: {fault}") from None


def _file(path: str) -> Any:
    try:
        with open(path, encoding="utf-8") as file:
            value = json.load(file)
    except OSError as fault:
        raise ConfigError(f"EDGE_CONFIG: {path}: {fault.strerror}") from None
    except (ValueError, RecursionError) as fault:
        raise ConfigError(f"EDGE_CONFIG: {path} is not JSON: {fault}") from None
    return value


def _read(root: Node, environ: Mapping[str, str]) -> Config:
    told = {}
    for key in ("name", "listen", "discovery"):
        from_file, from_environ = root.text(key, ""), environ.get(f"EDGE_{key.upper()}", "")
        # the environment stays as it was at the start, so it must not hide a discovery that a new file names
        told[key] = from_file or from_environ if key == "discovery" else from_environ or from_file
        if not told[key]:
            raise ConfigError(f"{key} (EDGE_{key.upper()}) is missing")
    admin = environ.get("EDGE_ADMIN_ADDR", "") or root.text("admin_addr", "")
    if "settings" not in root.values:
        raise ConfigError("settings is missing")
    node = root.part("settings")
    settings = read_settings(node.values, "settings")
    told_streams = settings.max_streams_per_connection
    settings = replace(settings, max_streams_per_connection=STREAMS)
    allowed, classes = node.part("allowed"), node.parts("classes")
    names = tuple(item.text("name", str(n)) for n, item in enumerate(classes))
    for n, name in enumerate(names):
        if name in names[:n]:
            raise ConfigError(f"{classes[n].at('name')}: {name!r} is there twice")
    limits = root.part("limits")
    # the process's own limit binds too, whatever was told
    sockets = min(limits.whole("sockets", SOCKETS), resource.getrlimit(resource.RLIMIT_NOFILE)[0])
    if sockets < 64:
        raise ConfigError(f"limits.sockets: {sockets} is too few to serve with")
    stats = node.part("stats")
    return Config(
        name=told["name"],
        listen=_address(told["listen"], "listen (EDGE_LISTEN)"),
        admin=_address(admin, "admin_addr (EDGE_ADMIN_ADDR)") if admin else None,
        discovery=_address(told["discovery"], "discovery (EDGE_DISCOVERY)"),
        seed=_seed(root.values.get("seed", "0")),
        sockets=sockets,
        memory_mb=int(limits.number("memory_mb", MEMORY_MB)),
        known=_known(root.values.get("known")),
        settings=settings,
        told_streams=told_streams,
        class_names=names,
        zone_names=tuple(node.names("azs")),
        kind_names=tuple(node.names("skus")),
        report_fields=tuple(stats.names("fields")) if settings.load_report_fields else (),
        dial_timeout=allowed.above("dialTimeoutUs", 1, 250_000),
        keep_alive=allowed.above("keepaliveUs", 0, 30_000_000),
        storms=root.part("storms").flag("damp"),
        whole_seconds=root.part("storms").flag("wholeSeconds"),
        said=_said(root),
    )


def read_config(environ: Mapping[str, str]) -> Config:
    """The platform's configuration, or a `ConfigError`."""
    if not environ.get("EDGE_CONFIG"):
        raise ConfigError("EDGE_CONFIG is missing")
    return config_of(_file(environ["EDGE_CONFIG"]), environ)


def config_of(values: Mapping[str, Any], environ: Mapping[str, str]) -> Config:
    """What these values, in the platform's form, say; or a `ConfigError`."""
    try:
        return _read(Node(values, ""), environ)
    except SettingsError as fault:
        raise ConfigError(str(fault)) from None
