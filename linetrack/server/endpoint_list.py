"""The codec of the discovery protocol: polls and the endpoint lists in their responses.

The hot-restart channel carries lists in the same format.
"""

from __future__ import annotations

import json
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from linetrack.policy.events import EndpointStatus
from linetrack.server.address import format_address, parse_address
from linetrack.server.http1.encoding import encode_head
from linetrack.server.http1.errors import MalformedMessageError
from linetrack.server.http1.headers import HOST

# Far more than a list of thousands of endpoints needs.
MAX_ENDPOINT_LIST_BYTES = 16 * 1024 * 1024

# --- Names on the wire ---------------------------------------------------------------------------
ENDPOINT_LIST_PATH = "/catalog/members"
VERSION_PARAMETER = "from"
LONG_POLL_WAIT_PARAMETER = "hold_ms"

VERSION_FIELD = "version"
IS_SNAPSHOT_FIELD = "full"
ENDPOINTS_FIELD = "servers"

NAME_FIELD = "id"
ADDRESS_FIELD = "addr"
ZONE_FIELD = "zone"
HOST_CLASS_FIELD = "kind"
CELL_FIELD = "cell"
STATUS_FIELD = "state"
WEIGHT_FIELD = "weight"
STARTED_AT_FIELD = "started_ms"

STATUS_BY_WIRE_NAME = {
    "SERVING": EndpointStatus.UP,
    "DRAINING": EndpointStatus.DRAINING,
    "DELETED": EndpointStatus.REMOVED,
}
WIRE_NAME_BY_STATUS = {status: name for name, status in STATUS_BY_WIRE_NAME.items()}

NO_ADDRESS = ("", 0)
# Errors that converting a value of the wrong type or format can raise.
CONVERSION_ERRORS = (KeyError, TypeError, ValueError, OverflowError, AttributeError)


@dataclass(slots=True, frozen=True)
class EndpointRecord:
    """One entry of an endpoint list, with its zone and host class by name."""

    name: str
    address: tuple[str, int]
    zone: str
    host_class: str
    cell: int
    status: EndpointStatus
    weight: float
    started_at_ms: int  # Unix time in milliseconds


@dataclass(slots=True, frozen=True)
class EndpointRecords:
    """A complete endpoint list, or the changes to one."""

    version: int
    is_snapshot: bool  # a complete list, not only the changes since an earlier version
    endpoints: tuple[EndpointRecord, ...]
    skipped_count: int = 0  # entries that could not be parsed


def encode_poll(address: tuple[str, int], version: int | None = None, long_poll_wait_ms: int = 0) -> bytes:
    """Return a poll, which requests a snapshot or the changes since a version.

    Discovery may wait up to `long_poll_wait_ms` for a change.
    """
    query = ""
    if version is not None:
        query = f"?{VERSION_PARAMETER}={version}&{LONG_POLL_WAIT_PARAMETER}={long_poll_wait_ms}"
    return encode_head(f"GET {ENDPOINT_LIST_PATH}{query} HTTP/1.1", [(HOST, format_address(address))])


def encode_snapshot(version: int, endpoints: Iterable[EndpointRecord]) -> dict[str, Any]:
    """Return a complete list in discovery's format, as a value for JSON."""
    return {
        VERSION_FIELD: version,
        IS_SNAPSHOT_FIELD: True,
        ENDPOINTS_FIELD: [_encode_endpoint(endpoint) for endpoint in endpoints],
    }


def _encode_endpoint(endpoint: EndpointRecord) -> dict[str, Any]:
    return {
        NAME_FIELD: endpoint.name,
        ADDRESS_FIELD: format_address(endpoint.address),
        ZONE_FIELD: endpoint.zone,
        HOST_CLASS_FIELD: endpoint.host_class,
        CELL_FIELD: endpoint.cell,
        STATUS_FIELD: WIRE_NAME_BY_STATUS[endpoint.status],
        WEIGHT_FIELD: endpoint.weight,
        STARTED_AT_FIELD: endpoint.started_at_ms,
    }


def decode_endpoint_list(body: bytes) -> EndpointRecords:
    """Parse the body of a discovery response; raises `MalformedMessageError` if it is not a valid list."""
    try:
        value = json.loads(body)
    except (ValueError, RecursionError):
        raise MalformedMessageError("the endpoint list is not JSON") from None
    return parse_endpoint_list(value)


def parse_endpoint_list(value: Any) -> EndpointRecords:
    """Parse a list from its JSON value.

    Entries that cannot be parsed are skipped and counted.  If several entries have the same name, the last
    one is used.  Raises `MalformedMessageError` if the value is not an endpoint list or if all of its entries
    were skipped.
    """
    try:
        version, is_snapshot, entries = _parse_envelope(value)
    except (KeyError, TypeError, ValueError, OverflowError) as error:
        raise MalformedMessageError(f"not an endpoint list: {error!r}") from None
    endpoints: dict[str, EndpointRecord] = {}
    skipped_count = 0
    for entry in entries:
        try:
            endpoint = _parse_endpoint(entry)
        except CONVERSION_ERRORS:
            skipped_count += 1
            continue
        endpoints[endpoint.name] = endpoint
    if skipped_count and not endpoints:
        raise MalformedMessageError("no entry of the endpoint list is valid")
    return EndpointRecords(version, is_snapshot, tuple(endpoints.values()), skipped_count)


def _parse_envelope(value: Any) -> tuple[int, bool, list[Any]]:
    """Return a list's version, whether it is a snapshot, and its entries, which are not parsed yet."""
    version = int(value[VERSION_FIELD])
    is_snapshot = value[IS_SNAPSHOT_FIELD]
    entries = value[ENDPOINTS_FIELD]
    if isinstance(is_snapshot, bool) and isinstance(entries, list):
        return version, is_snapshot, entries
    raise ValueError(f"{IS_SNAPSHOT_FIELD} or {ENDPOINTS_FIELD} has the wrong type")


def _parse_endpoint(value: Any) -> EndpointRecord:
    """Parse one entry; raises one of `CONVERSION_ERRORS` if it is invalid."""
    status = STATUS_BY_WIRE_NAME[value[STATUS_FIELD]]
    # A removed endpoint needs no address.
    has_address = status is not EndpointStatus.REMOVED
    return EndpointRecord(
        name=_parse_text(value[NAME_FIELD]),
        address=parse_address(_parse_text(value[ADDRESS_FIELD])) if has_address else NO_ADDRESS,
        zone=str(value.get(ZONE_FIELD, "")),
        host_class=str(value.get(HOST_CLASS_FIELD, "")),
        cell=int(value.get(CELL_FIELD, 0)),
        status=status,
        weight=float(value.get(WEIGHT_FIELD, 1.0)),
        started_at_ms=max(0, int(value.get(STARTED_AT_FIELD, 0))),
    )


def _parse_text(value: Any) -> str:
    if not isinstance(value, str) or not value:
        raise ValueError(f"{value!r} is not a non-empty string")
    return value
