"""Compares the per-file exceptions to the lint rules that `pyproject.toml` lists with those that are needed.

`python -m tests.tools.lint_exceptions` prints the entries that the code needs now, ready to paste.
"""

from __future__ import annotations

import json
import subprocess
import sys
import tomllib
from collections import defaultdict
from pathlib import Path

ROOT = Path(__file__).parent.parent.parent
#: Permanent exceptions, by pattern; all others name one file and are to be removed.
PERMANENT = {"tests/**": frozenset({"D1"})}
#: Prefixes of the rules from which a file may be excepted; all other rules apply to every file.
EXCEPTABLE = ("ARG", "C901", "D", "PLR", "PT", "RET", "TRY")

Exceptions = dict[str, frozenset[str]]


def read_listed() -> Exceptions:
    """Return the exceptions that `pyproject.toml` lists, including the permanent ones."""
    ruff = tomllib.loads((ROOT / "pyproject.toml").read_text())["tool"]["ruff"]
    return {name: frozenset(codes) for name, codes in ruff["lint"]["per-file-ignores"].items()}


def find_needed() -> Exceptions:
    """Return the exceptable rules that each file breaks, with only the permanent exceptions applied."""
    permanent = ", ".join(f'"{pattern}" = {sorted(codes)}' for pattern, codes in PERMANENT.items())
    command = [sys.executable, "-m", "ruff", "check", "--output-format", "json", "--exit-zero"]
    command += ["--config", f"lint.per-file-ignores = {{ {permanent} }}", "."]
    completed = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=True)
    needed: defaultdict[str, set[str]] = defaultdict(set)
    for finding in json.loads(completed.stdout):
        if finding["code"].startswith(EXCEPTABLE):
            name = Path(finding["filename"]).relative_to(ROOT).as_posix()
            needed[name].add(finding["code"])
    return {name: frozenset(codes) for name, codes in needed.items()}


def count_pairs(exceptions: Exceptions) -> int:
    """Return the number of pairs of file and rule, without the permanent exceptions."""
    return sum(len(codes) for name, codes in exceptions.items() if name not in PERMANENT)


def main() -> None:
    """Print the entries that the code needs, and their number."""
    needed = find_needed()
    for name in sorted(needed):
        codes = ", ".join(f'"{code}"' for code in sorted(needed[name]))
        print(f'"{name}" = [{codes}]')
    print(f"# {count_pairs(needed)} pairs", file=sys.stderr)


if __name__ == "__main__":
    main()
