"""Addresses as they stand in configurations and endpoint lists."""

from __future__ import annotations

from ipaddress import IPv4Address

from linetrack.errors import LinetrackError

MAX_PORT = 65535


class AddressError(LinetrackError, ValueError):
    """A text that is no `address:port`."""

    def __init__(self, text: str) -> None:
        super().__init__(f"{text!r} is no address:port")
        self.text = text


def parse_address(text: str) -> tuple[str, int]:
    """Parse `address:port`, where the address is a number since there is no DNS; raises an `AddressError`."""
    host, _, port_text = text.rpartition(":")
    try:
        IPv4Address(host)
        port = int(port_text)
    except ValueError:
        raise AddressError(text) from None
    if not 0 < port <= MAX_PORT:
        raise AddressError(text)
    return host, port


def format_address(address: tuple[str, int]) -> str:
    """Return `address:port`."""
    return f"{address[0]}:{address[1]}"
