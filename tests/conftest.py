"""Configuration and fixtures of the whole test run."""

import subprocess

import pytest
from hypothesis import settings

from tests.known_red import KnownRed
from tests.support.paths import DEPLOY, ROOT

# Every run tests the same examples, without a time limit, as execution times vary on loaded machines.
settings.register_profile("steady", derandomize=True, deadline=None)
settings.load_profile("steady")


def pytest_configure(config: pytest.Config) -> None:
    config.pluginmanager.register(KnownRed(ROOT / "KNOWN-RED.txt"))


@pytest.fixture(scope="session", autouse=True)
def built() -> None:
    """Build the sidecar with the `build` command of the deploy file."""
    subprocess.run(["/bin/sh", "-c", DEPLOY["build"]], cwd=ROOT, check=True)
