"""Addresses in the form `address:port`, as configurations and endpoint lists contain them."""

from __future__ import annotations

from ipaddress import IPv4Address

from linetrack.errors import LinetrackError

MAX_PORT = 65535


class AddressError(LinetrackError, ValueError):
    """Raised for a text that is not a valid `address:port`."""

    def __init__(self, text: str) -> None:
        super().__init__(f"{text!r} is not a valid address:port")
        self.text = text


def parse_address(text: str) -> tuple[str, int]:
    """Parse `address:port`; the address must be an IPv4 address, as there is no DNS.

    Raises:
        AddressError: The text has another form.
    """
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
    """Format an address as `address:port`."""
    return f"{address[0]}:{address[1]}"
