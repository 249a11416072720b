"""Reads files into immutable typed values, and reports an invalid file by one error.

Defines the wording of errors: file, key, value, expected value.  Defaults and schemas are in the types.
"""

from __future__ import annotations

import difflib
import re
import tomllib
from collections.abc import Iterator
from pathlib import Path
from typing import Any, TypeVar

import msgspec
from msgspec import inspect

from linetrack.errors import LinetrackError

Value = TypeVar("Value", bound=msgspec.Struct)

ENTIRE_FILE = "the whole file"
KEY_SIMILARITY = 0.5  # least similarity, from 0 to 1, at which a known key is suggested


class Table(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Base class of the tables of a file: immutable, and rejects unknown keys."""


class FileError(LinetrackError):
    """A file cannot be read, or a value in it is missing or invalid.

    Attributes:
        source: the file or option, with the line where one is known.
        key: the path of the invalid key; empty if the error concerns no key.
        value: the value as shown to the operator; empty if there is none.
        reason: what is wrong, or what was expected.
    """

    def __init__(self, source: str | Path, reason: str, *, key: str = "", value: str = "") -> None:
        self.source = str(source)
        self.key = key
        self.value = value
        self.reason = reason
        super().__init__(": ".join(part for part in (self.source, key, value, reason) if part))


def read_text(path: Path) -> str:
    """Return the text of a file.

    Raises:
        FileError: the file cannot be read, or is not valid UTF-8.
    """
    try:
        return path.read_text(encoding="utf-8")
    except OSError as error:
        raise FileError(path, str(error.strerror)) from None
    except UnicodeDecodeError as error:
        raise FileError(path, f"byte {error.start} is not valid UTF-8") from None


def read_toml(path: Path, kind: type[Value]) -> Value:
    """Read a TOML file as a value of the type `kind`.

    Raises:
        FileError: the file cannot be read, or does not match the type.
    """
    text = read_text(path)
    try:
        values = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise FileError(path, str(error)) from None
    return convert(values, kind, path)


def convert(values: Any, kind: type[Value], source: Path) -> Value:
    """Convert decoded values to the type `kind`.

    Raises:
        FileError: the values do not match the type; the error names the first invalid key.
    """
    try:
        return msgspec.convert(values, kind)
    except msgspec.ValidationError as error:
        raise _file_error(str(error), values, kind, source) from None


def json_schema(kind: type[msgspec.Struct]) -> bytes:
    """Return the JSON Schema of files of this type, indented."""
    return msgspec.json.format(msgspec.json.encode(msgspec.json.schema(kind)), indent=2)


# msgspec reports errors only as text, which these patterns parse.
_MESSAGE = re.compile(r"^(?P<what>.*?)(?: - at `(?:key in )?\$(?P<path>[^`]*)`)?$", re.DOTALL)
_UNKNOWN_FIELD = re.compile(r"unknown field `(?P<name>[^`]*)`")
_MISSING_FIELD = re.compile(r"missing required field `(?P<name>[^`]*)`")


def _file_error(message: str, values: Any, kind: type[msgspec.Struct], source: Path) -> FileError:
    match = _MESSAGE.match(message)
    assert match is not None
    reason = match["what"]
    path = (match["path"] or "").lstrip(".")
    if unknown := _UNKNOWN_FIELD.search(reason):
        name = unknown["name"]
        return FileError(source, f"unknown key{_suggestion(name, kind)}", key=_join_key(path, name))
    if missing := _MISSING_FIELD.search(reason):
        return FileError(source, "missing", key=_join_key(path, missing["name"]))
    value = repr(_value_at(values, path))
    return FileError(source, reason[:1].lower() + reason[1:], key=path or ENTIRE_FILE, value=value)


def _suggestion(name: str, kind: type[msgspec.Struct]) -> str:
    known = sorted(set(_all_keys(kind)))
    nearest = difflib.get_close_matches(name, known, 1, KEY_SIMILARITY)
    return f"; nearest known key: {nearest[0]}" if nearest else ""


def _join_key(path: str, name: str) -> str:
    return f"{path}.{name}" if path else name


def _value_at(values: Any, path: str) -> Any:
    for step in re.findall(r"[^.\[\]]+", path):
        try:
            values = values[int(step)] if isinstance(values, list) else values[step]
        except (KeyError, IndexError, ValueError, TypeError):
            return None
    return values


def _all_keys(kind: type[msgspec.Struct]) -> Iterator[str]:
    """Yield every key that a file of this type may have, at any depth."""
    pending = [inspect.type_info(kind)]
    seen: set[type] = set()
    while pending:
        info = pending.pop()
        if isinstance(info, inspect.StructType):
            if info.cls in seen:
                continue
            seen.add(info.cls)
            for field in info.fields:
                yield field.encode_name
                pending.append(field.type)
        elif isinstance(info, inspect.UnionType):
            pending.extend(info.types)
        elif isinstance(info, inspect.VarTupleType | inspect.ListType):
            pending.append(info.item_type)
        elif isinstance(info, inspect.DictType):
            pending.append(info.value_type)
