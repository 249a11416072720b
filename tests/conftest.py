"""What the whole run shares."""

import subprocess

import pytest
from hypothesis import settings

from tests.known_red import KnownRed
from tests.support.paths import DEPLOY, ROOT

# the same examples on every run, and no limit on time: machines are noisy
settings.register_profile("steady", derandomize=True, deadline=None)
settings.load_profile("steady")


def pytest_configure(config: pytest.Config) -> None:
    config.pluginmanager.register(KnownRed(ROOT / "KNOWN-RED.txt"))


@pytest.fixture(scope="session", autouse=True)
def built() -> None:
    """The program as operators build it, by the command of `build`."""
    subprocess.run(["/bin/sh", "-c", DEPLOY["build"]], cwd=ROOT, check=True)
