"""Tests that the command line adds no imports to the sidecar as the platform runs it."""

import os
import subprocess

from tests.support.paths import ROOT


def test_the_platforms_sidecar_imports_no_tool_packages_or_their_dependencies() -> None:
    code = "import sys, runpy; sys.argv = ['linetrack']\n"
    code += "try: runpy.run_module('linetrack', run_name='__main__')\nexcept SystemExit as end: "
    code += "print(end.code, *sys.modules)"
    environ = {name: value for name, value in os.environ.items() if not name.startswith("EDGE_")}
    out = subprocess.run(
        [".venv/bin/python", "-c", code], cwd=ROOT, capture_output=True, text=True, check=True, env=environ
    ).stdout.split()
    tool_dependencies = ("click", "rich", "msgspec", "numpy", "hdrh", "matplotlib", "yaml")
    tool_packages = (
        "linetrack.cli",
        "linetrack.config",
        "linetrack.emulator",
        "linetrack.load",
        "linetrack.experiments",
    )
    assert out[0] == "2"
    assert "linetrack.policy.balancer" in out
    assert not [
        name for name in out if name.split(".")[0] in tool_dependencies or name.startswith(tool_packages)
    ]
