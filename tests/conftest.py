"""What the whole run shares."""

import subprocess

import pytest
from hypothesis import settings

from tests.stand_ins import DEPLOY, ROOT

# the same examples on every run, and no limit on time: machines are noisy
settings.register_profile("steady", derandomize=True, deadline=None)
settings.load_profile("steady")


@pytest.fixture(scope="session", autouse=True)
def built() -> None:
    """The program as operators build it, by the command of `build`."""
    subprocess.run(["/bin/sh", "-c", DEPLOY["build"]], cwd=ROOT, check=True)
