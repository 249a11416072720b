"""Files read into immutable typed values, with one error that says what is wrong.

Knows how an error is worded: file, key, value, what was expected.  Defaults and schemas are in the types.
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
KEY_SIMILARITY = 0.5  # how alike a known key must be to be suggested, of 1


class Table(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Base of every table of a file: no other keys than the type's, and immutable."""


class FileError(LinetrackError):
    """A file cannot be read, or a value in it is missing or invalid.

    Attributes:
        source: the file or option, with the line where one is known.
        key: the path of the key at fault; empty where there is none.
        value: the value as shown to the operator; empty where there is none.
        reason: what is wrong, or what was expected.
    """

    def __init__(self, source: str | Path, reason: str, *, key: str = "", value: str = "") -> None:
        self.source = str(source)
        self.key = key
        self.value = value
        self.reason = reason
        super().__init__(": ".join(part for part in (self.source, key, value, reason) if part))


def read_text(path: Path) -> str:
    """The text of a file.

    Raises:
        FileError: it cannot be read, or is no UTF-8.
    """
    try:
        return path.read_text(encoding="utf-8")
    except OSError as error:
        raise FileError(path, str(error.strerror)) from None
    except UnicodeDecodeError as error:
        raise FileError(path, f"byte {error.start} is no UTF-8") from None


def read_toml(path: Path, kind: type[Value]) -> Value:
    """A TOML file as that type.

    Raises:
        FileError: it cannot be read or does not fit the type.
    """
    text = read_text(path)
    try:
        values = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise FileError(path, str(error)) from None
    return convert(values, kind, path)


def convert(values: Any, kind: type[Value], source: Path) -> Value:
    """The values as that type.

    Raises:
        FileError: they do not fit; it names the first key that does not.
    """
    try:
        return msgspec.convert(values, kind)
    except msgspec.ValidationError as error:
        raise _file_error(str(error), values, kind, source) from None


def json_schema(kind: type[msgspec.Struct]) -> bytes:
    """JSON Schema of a file of this type, indented."""
    return msgspec.json.format(msgspec.json.encode(msgspec.json.schema(kind)), indent=2)


# msgspec gives its errors as text only
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
        return FileError(source, f"unknown key{_suggestion(name, kind)}", key=_joined(path, name))
    if missing := _MISSING_FIELD.search(reason):
        return FileError(source, "missing", key=_joined(path, missing["name"]))
    value = repr(_value_at(values, path))
    return FileError(source, reason[:1].lower() + reason[1:], key=path or ENTIRE_FILE, value=value)


def _suggestion(name: str, kind: type[msgspec.Struct]) -> str:
    known = sorted(set(_all_keys(kind)))
    nearest = difflib.get_close_matches(name, known, 1, KEY_SIMILARITY)
    return f"; nearest known key: {nearest[0]}" if nearest else ""


def _joined(path: str, name: str) -> str:
    return f"{path}.{name}" if path else name


def _value_at(values: Any, path: str) -> Any:
    for step in re.findall(r"[^.\[\]]+", path):
        try:
            values = values[int(step)] if isinstance(values, list) else values[step]
        except (KeyError, IndexError, ValueError, TypeError):
            return None
    return values


def _all_keys(kind: type[msgspec.Struct]) -> Iterator[str]:
    """Every key that a file of this type may have, at any depth."""
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
