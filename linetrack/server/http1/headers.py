"""The header fields of the protocol: their names on the wire and the syntax of their values."""

from __future__ import annotations

import math

MICROSECONDS_PER_SECOND = 1_000_000


class HeaderName:
    """One header's name, as it is written and as it is looked up."""

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
# The time in which the client still wants the response, in seconds.
EXPIRES_IN = HeaderName("X-Expires-In")
# "1" on a request that the client itself repeats.
CLIENT_RETRY = HeaderName("X-Second-Try")
# Properties of the request, `name=value,name=value`.
PROPERTIES = HeaderName("X-Props")
# "1" on an upstream's response to a request that it did not process.
UNPROCESSED = HeaderName("X-Never-Ran")
LOAD_REPORT = HeaderName("Endpoint-Load-Metrics")

# The value of a header that is a flag and set.
FLAG_SET = "1"
EXPECT_CONTINUE = "100-continue"
LOAD_REPORT_TEXT_FORMAT = "TEXT"


def parse_properties(text: str) -> dict[str, str]:
    """Parse `name=value,name=value`; a part of another form is skipped."""
    pairs = (part.partition("=") for part in text.split(","))
    return {name.strip(): value.strip() for name, sign, value in pairs if sign}


def parse_timeout(text: str) -> int | None:
    """Return the value of `X-Expires-In` in microseconds; None where it is not a finite number."""
    if "_" in text:
        # Python takes an underscore between digits; the protocol does not.
        return None
    try:
        seconds = float(text)
    except ValueError:
        return None
    return round(seconds * MICROSECONDS_PER_SECOND) if math.isfinite(seconds) else None


def parse_load_report(text: str, fields: tuple[str, ...]) -> tuple[float, ...]:
    """Return a load report's values in the order of `fields`.

    A value that is missing or not a number is NaN.  The result is empty where no value is a number, or the
    report is in another format.
    """
    report_format, _, pairs = text.partition(" ")
    if report_format.upper() != LOAD_REPORT_TEXT_FORMAT:
        return ()
    values = parse_properties(pairs)
    row = tuple(_parse_number(values.get(name, "")) for name in fields)
    return () if all(math.isnan(value) for value in row) else row


def _parse_number(text: str) -> float:
    try:
        return float(text)
    except ValueError:
        return math.nan


def format_seconds(microseconds: int) -> str:
    """Return a time in seconds, without a fraction where there is none.

    Most clients read a `Retry-After` of whole seconds only (RFC 9110, 10.2.3).
    """
    if microseconds % MICROSECONDS_PER_SECOND == 0:
        return str(microseconds // MICROSECONDS_PER_SECOND)
    return f"{microseconds / MICROSECONDS_PER_SECOND:.6f}"
