"""Splits lines into name=value fields, and reads single fields.

Every reader raises a `WireError` with the field's name if the value is invalid.
"""

from __future__ import annotations

import base64

from linetrack.errors import LinetrackError

Fields = dict[str, str]

EMPTY_BODY = "-"


class WireError(LinetrackError):
    """The input cannot be parsed."""


class MissingFieldError(WireError):
    """A message lacks the field `field`."""

    def __init__(self, field: str) -> None:
        self.field = field
        super().__init__(f"the field {field!r} is missing")


class InvalidFieldError(WireError):
    """The value `value` of the field `field` is invalid; `reason` says why."""

    def __init__(self, field: str, value: object, reason: str) -> None:
        self.field = field
        self.value = value
        self.reason = reason
        super().__init__(f"{field}={value!r} {reason}")


def split_line(line: str) -> tuple[str, Fields]:
    """Return the name of the message and its fields."""
    name, *pairs = line.split(" ")
    if not name:
        raise WireError("the line has no message name")
    fields: Fields = {}
    for pair in pairs:
        key, separator, value = pair.partition("=")
        if not separator or not key:
            raise WireError(f"{pair!r} is not a name=value pair")
        fields[key] = value
    return name, fields


def text_field(fields: Fields, name: str) -> str:
    """Return the text of a required field."""
    try:
        return fields[name]
    except KeyError:
        raise MissingFieldError(name) from None


def integer_field(fields: Fields, name: str, default: int | None = None) -> int:
    """Return a whole number; the field is required if there is no default."""
    if default is not None and name not in fields:
        return default
    value = text_field(fields, name)
    try:
        return int(value)
    except ValueError:
        raise InvalidFieldError(name, value, "is not a whole number") from None


def number_field(fields: Fields, name: str, default: float) -> float:
    """Return a number, or the default if the field is missing."""
    try:
        return float(fields.get(name, default))
    except ValueError:
        raise InvalidFieldError(name, fields[name], "is not a number") from None


def flag_field(fields: Fields, name: str) -> bool:
    """Return whether the field is 1; 0 is the default."""
    value = fields.get(name, "0")
    if value not in ("0", "1"):
        raise InvalidFieldError(name, value, "is not 1 or 0")
    return value == "1"


def numbers_field(fields: Fields, name: str) -> tuple[float, ...]:
    """Return numbers separated by commas; a part that is not a number becomes NaN."""
    row = fields.get(name, "")
    return tuple(map(_number_or_nan, row.split(","))) if row else ()


def _number_or_nan(text: str) -> float:
    try:
        return float(text)
    except ValueError:
        return float("nan")


def body_field(fields: Fields, name: str) -> bytes:
    """Return the bytes that a required field holds in base64."""
    value = text_field(fields, name)
    try:
        return b"" if value == EMPTY_BODY else base64.b64decode(value, validate=True)
    except ValueError:
        raise InvalidFieldError(name, value, "is not base64") from None


def format_body(body: bytes) -> str:
    """Return the bytes in base64, as `body_field` reads them."""
    return base64.b64encode(body).decode() or EMPTY_BODY
