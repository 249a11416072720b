"""Code shared by the commands: exit statuses, options, reading experiment files, printing metrics."""

from __future__ import annotations

import json
import sys
import tempfile
from collections.abc import Callable, Mapping
from enum import IntEnum
from pathlib import Path
from typing import TYPE_CHECKING, Any, NoReturn, TypeVar

import click
from rich.console import Console
from rich.table import Table

from linetrack.config.check import FileError

if TYPE_CHECKING:
    from linetrack.experiments.schema import Experiment

EXPERIMENTS_FOLDER = Path(__file__).parent.parent.parent / "experiments"

FILE = click.Path(path_type=Path, dir_okay=False)
FOLDER = click.Path(path_type=Path, file_okay=False)

Command = TypeVar("Command", bound=Callable[..., Any])


class ExitStatus(IntEnum):
    """The exit status of a command; `main.py` documents the values."""

    HELD = 0
    NOT_HELD = 1
    BAD_INPUT = 2
    INVALID = 3


def json_option(command: Command) -> Command:
    """Add the option `--json` to a command."""
    return click.option("--json", "as_json", is_flag=True, help="Print the metrics as JSON.")(command)


def set_option(command: Command) -> Command:
    """Add the option `--set` to a command."""
    option = click.option(
        "--set",
        "overrides",
        multiple=True,
        metavar="PATH=VALUE",
        help="Override a value of the file; may be repeated.",
    )
    return option(command)


def seed_option(command: Command) -> Command:
    """Add the option `--seed` to a command that takes a single seed."""
    return click.option("--seed", type=int, help="Seed to use instead of the file's seeds.")(command)


def ledgers_option(command: Command) -> Command:
    """Add the option `--out` to a command that writes nothing but ledgers."""
    help_ = "Folder for ledgers (default: a temporary folder)."
    return click.option("--out", type=FOLDER, help=help_)(command)


def exit_bad_input(error: Exception) -> NoReturn:
    """Print the error in the input to standard error, and exit with `BAD_INPUT`."""
    click.echo(f"linetrack: {error}", err=True)
    sys.exit(ExitStatus.BAD_INPUT)


def exit_invalid(reason: object) -> NoReturn:
    """Print why there is no valid result to standard error, and exit with `INVALID`."""
    click.echo(f"linetrack: {reason}", err=True)
    sys.exit(ExitStatus.INVALID)


def read_experiment_or_exit(path: Path, overrides: tuple[str, ...]) -> tuple[Experiment, Path]:
    """Return an experiment and the path of its file; `path` may name an included experiment instead."""
    from linetrack.experiments.schema import read_experiment

    if not path.exists() and (included := EXPERIMENTS_FOLDER / f"{path}.yaml").exists():
        path = included
    try:
        return read_experiment(path, overrides), path
    except FileError as error:
        exit_bad_input(error)


def ledger_folder(out: Path | None) -> Path:
    """Return the folder for ledgers, which is created if it does not exist."""
    folder = out or Path(tempfile.mkdtemp(prefix="linetrack-"))
    folder.mkdir(parents=True, exist_ok=True)
    return folder


def print_metrics(columns: Mapping[str, Mapping[str, float]], as_json: bool) -> None:
    """Print metrics as a table with a column for each name, or as JSON."""
    if as_json:
        click.echo(json.dumps(columns))
        return
    table = Table("figure", *columns)
    for metric in dict.fromkeys(metric for values in columns.values() for metric in values):
        cells = (f"{values[metric]:.4g}" if metric in values else "" for values in columns.values())
        table.add_row(metric, *cells)
    Console().print(table)
