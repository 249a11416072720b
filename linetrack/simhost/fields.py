"""Lines of name=value fields, and readers for one field each.

Every reader raises a `WireError` that names the field.
"""

from __future__ import annotations

import base64

from linetrack.errors import LinetrackError

Fields = dict[str, str]

EMPTY_BODY = "-"


class WireError(LinetrackError):
    """Input that cannot be read."""


class MissingFieldError(WireError):
    """A message lacks the field `field`."""

    def __init__(self, field: str) -> None:
        self.field = field
        super().__init__(f"the field {field!r} is missing")


class InvalidFieldError(WireError):
    """The value `value` of the field `field` makes no sense, for the reason `reason`."""

    def __init__(self, field: str, value: object, reason: str) -> None:
        self.field = field
        self.value = value
        self.reason = reason
        super().__init__(f"{field}={value!r} {reason}")


def split_line(line: str) -> tuple[str, Fields]:
    """The name of the message and its fields."""
    name, *pairs = line.split(" ")
    if not name:
        raise WireError("the line has no message name")
    fields: Fields = {}
    for pair in pairs:
        key, sign, value = pair.partition("=")
        if not sign or not key:
            raise WireError(f"{pair!r} is not a name=value pair")
        fields[key] = value
    return name, fields


def text_field(fields: Fields, name: str) -> str:
    """A required field as it is."""
    try:
        return fields[name]
    except KeyError:
        raise MissingFieldError(name) from None


def integer_field(fields: Fields, name: str, default: int | None = None) -> int:
    """A whole number; required where there is no default."""
    if default is not None and name not in fields:
        return default
    value = text_field(fields, name)
    try:
        return int(value)
    except ValueError:
        raise InvalidFieldError(name, value, "is not a whole number") from None


def number_field(fields: Fields, name: str, default: float) -> float:
    """A number."""
    try:
        return float(fields.get(name, default))
    except ValueError:
        raise InvalidFieldError(name, fields[name], "is not a number") from None


def flag_field(fields: Fields, name: str) -> bool:
    """1 or 0; 0 where it is absent."""
    value = fields.get(name, "0")
    if value not in ("0", "1"):
        raise InvalidFieldError(name, value, "is not 1 or 0")
    return value == "1"


def numbers_field(fields: Fields, name: str) -> tuple[float, ...]:
    """Numbers separated by commas; what is no number becomes NaN."""
    row = fields.get(name, "")
    return tuple(map(_number_or_nan, row.split(","))) if row else ()


def _number_or_nan(text: str) -> float:
    try:
        return float(text)
    except ValueError:
        return float("nan")


def body_field(fields: Fields, name: str) -> bytes:
    """Bytes in base64."""
    value = text_field(fields, name)
    try:
        return b"" if value == EMPTY_BODY else base64.b64decode(value, validate=True)
    except ValueError:
        raise InvalidFieldError(name, value, "is not base64") from None


def format_body(body: bytes) -> str:
    """Bytes as `body_field` reads them."""
    return base64.b64encode(body).decode() or EMPTY_BODY
