"""Parsing of addresses."""

import pytest

from linetrack.server.address import AddressError, parse_address


@pytest.mark.parametrize(
    "text", ["", "127.0.0.1", ":80", "127.0.0.1:", "host:80", "127.0.0.1:0", "1.2.3.4:70000"]
)
def test_an_invalid_address_is_rejected(text: str) -> None:
    with pytest.raises(AddressError) as error:
        parse_address(text)
    assert isinstance(error.value, ValueError)
    assert error.value.text == text
