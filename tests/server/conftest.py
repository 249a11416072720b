"""Fixtures that tests of the network code share."""

from collections.abc import Iterator

import pytest

from tests.stand_ins import Upstream


@pytest.fixture
def server() -> Iterator[Upstream]:
    """One endpoint, `a`, that serves every request."""
    made = Upstream("a")
    yield made
    made.close()
