"""What the whole run shares."""

import subprocess

import pytest

from tests.stand_ins import DEPLOY, ROOT


@pytest.fixture(scope="session", autouse=True)
def built() -> None:
    """The program as operators build it, by the command of `build`."""
    subprocess.run(["/bin/sh", "-c", DEPLOY["build"]], cwd=ROOT, check=True)
