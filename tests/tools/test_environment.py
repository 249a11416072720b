"""The script that makes the virtual environments of the program and of its tests."""

from __future__ import annotations

import subprocess
from pathlib import Path

from tests.support.paths import ROOT

SCRIPT = ROOT / "deploy" / "environment.sh"


def makes_environment_anew(folder: Path) -> bool:
    """Run the script, and return whether what was in the folder has gone."""
    module = folder / "compiled-module"
    if folder.exists():
        module.touch()
    subprocess.run(["sh", str(SCRIPT), str(folder)], check=True)
    assert (folder / "bin" / "python").exists()
    return not module.exists()


def test_an_environment_of_another_machine_or_interpreter_is_made_anew(tmp_path: Path) -> None:
    """Guards against compiled modules of another kind of machine, which the program does not find."""
    folder = tmp_path / "environment"
    assert makes_environment_anew(folder)
    assert not makes_environment_anew(folder)
    mark = folder / "made-by"
    mark.write_text("another-machine " + mark.read_text().partition(" ")[2])
    assert makes_environment_anew(folder)
    (folder / "bin" / "python").unlink()
    assert makes_environment_anew(folder)
