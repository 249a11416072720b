"""Header fields: their names on the wire, and parsing and formatting of their values."""

from __future__ import annotations

import math
from collections.abc import Collection

MICROSECONDS_PER_SECOND = 1_000_000


class HeaderName:
    """The name of a header field: `canonical` as it is written, `key` as it is looked up."""

    __slots__ = ("canonical", "key")

    def __init__(self, canonical: str) -> None:
        self.canonical = canonical
        self.key = canonical.lower().encode("ascii")


CONNECTION = HeaderName("Connection")
CONTENT_LENGTH = HeaderName("Content-Length")
CONTENT_TYPE = HeaderName("Content-Type")
EXPECT = HeaderName("Expect")
HOST = HeaderName("Host")
RETRY_AFTER = HeaderName("Retry-After")
TRANSFER_ENCODING = HeaderName("Transfer-Encoding")
# The request's identifier.
TRACE_ID = HeaderName("X-Trace-Id")
IDEMPOTENCY_KEY = HeaderName("Idempotency-Key")
# The request's timeout in seconds: after it the client no longer waits for the response.
EXPIRES_IN = HeaderName("X-Expires-In")
# "1" on a request that is a retry by the client itself.
CLIENT_RETRY = HeaderName("X-Second-Try")
# Properties of the request, `name=value,name=value`.
PROPERTIES = HeaderName("X-Props")
# "1" on an upstream's response to a request that it did not process.
UNPROCESSED = HeaderName("X-Never-Ran")
LOAD_REPORT = HeaderName("Endpoint-Load-Metrics")

#: The keys of the header fields that are interpreted; no others are kept.
INTERPRETED_HEADER_KEYS = frozenset(
    name.key
    for name in (
        CLIENT_RETRY,
        CONTENT_LENGTH,
        CONTENT_TYPE,
        EXPECT,
        EXPIRES_IN,
        IDEMPOTENCY_KEY,
        LOAD_REPORT,
        PROPERTIES,
        TRACE_ID,
        TRANSFER_ENCODING,
        UNPROCESSED,
    )
)

# The names of the properties that are interpreted.
TENANT_PROPERTY = "party"
WORK_PROPERTY = "workUs"
WRITE_PROPERTY = "update"
INTERPRETED_PROPERTIES = frozenset({TENANT_PROPERTY, WORK_PROPERTY, WRITE_PROPERTY})

# The value of a flag header that is set.
FLAG_SET = "1"
EXPECT_CONTINUE = "100-continue"
LOAD_REPORT_TEXT_FORMAT = "TEXT"


def parse_properties(text: str, names: Collection[str]) -> dict[str, str]:
    """Parse `name=value,name=value`; other names and parts without an equals sign are skipped."""
    pairs = (part.partition("=") for part in text.split(","))
    named = ((name.strip(), value.strip()) for name, separator, value in pairs if separator)
    return {name: value for name, value in named if name in names}


def parse_timeout(text: str) -> int | None:
    """Return the value of `X-Expires-In` in microseconds, or None if it is not a finite number."""
    if "_" in text:
        # `float` accepts underscores between digits, the protocol does not.
        return None
    try:
        seconds = float(text)
    except ValueError:
        return None
    return round(seconds * MICROSECONDS_PER_SECOND) if math.isfinite(seconds) else None


def parse_load_report(text: str, fields: tuple[str, ...]) -> tuple[float, ...]:
    """Return a load report's values in the order of `fields`.

    A value that is missing or not a number is returned as NaN.  The result is empty if no value is a number
    or if the report is not in the `TEXT` format.
    """
    report_format, _, pairs = text.partition(" ")
    if report_format.upper() != LOAD_REPORT_TEXT_FORMAT:
        return ()
    values = parse_properties(pairs, fields)
    row = tuple(_parse_number(values.get(name, "")) for name in fields)
    return () if all(math.isnan(value) for value in row) else row


def _parse_number(text: str) -> float:
    try:
        return float(text)
    except ValueError:
        return math.nan


def format_seconds(microseconds: int) -> str:
    """Format a duration in seconds, without a decimal point if it is a whole number of seconds.

    Most clients accept only whole seconds in `Retry-After` (RFC 9110, 10.2.3).
    """
    if microseconds % MICROSECONDS_PER_SECOND == 0:
        return str(microseconds // MICROSECONDS_PER_SECOND)
    return f"{microseconds / MICROSECONDS_PER_SECOND:.6f}"
