#!/bin/sh
# Builds the stand-ins of the cases 6 to 10: they need the standard library alone, so that they are only compiled.
set -eu
cd "$(dirname "$0")/.."
exec .venv/bin/python -c '
import pathlib
for path in sorted(pathlib.Path("review").glob("[0-9]*/case.py")) + [pathlib.Path("review/stand_ins_2.py")]:
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
'
