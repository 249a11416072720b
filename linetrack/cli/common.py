"""What the commands share: exit statuses, options, reading experiment files, printing metrics."""

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
    """How a command ends."""

    HELD = 0
    NOT_HELD = 1
    BAD_INPUT = 2
    INVALID = 3


def json_option(command: Command) -> Command:
    """The option `--json`."""
    return click.option("--json", "as_json", is_flag=True, help="Print figures as JSON.")(command)


def set_option(command: Command) -> Command:
    """The option `--set`."""
    option = click.option(
        "--set", "overrides", multiple=True, metavar="PATH=VALUE", help="Change the file's value."
    )
    return option(command)


def seed_option(command: Command) -> Command:
    """The option `--seed` of commands that take one."""
    return click.option("--seed", type=int, help="Instead of the file's seeds.")(command)


def ledgers_option(command: Command) -> Command:
    """The option `--out` of commands that only write ledgers."""
    help_ = "Folder for ledgers (a temporary one where none is given)."
    return click.option("--out", type=FOLDER, help=help_)(command)


def exit_bad_input(error: Exception) -> NoReturn:
    """Print what is wrong with the input, and exit."""
    click.echo(f"linetrack: {error}", err=True)
    sys.exit(ExitStatus.BAD_INPUT)


def exit_invalid(reason: object) -> NoReturn:
    """Print why nothing is claimed, and exit."""
    click.echo(f"linetrack: {reason}", err=True)
    sys.exit(ExitStatus.INVALID)


def read_experiment_or_exit(path: Path, overrides: tuple[str, ...]) -> tuple[Experiment, Path]:
    """An experiment and its file, which may be given as the name of one that comes with the program."""
    from linetrack.experiments.schema import read_experiment

    if not path.exists() and (included := EXPERIMENTS_FOLDER / f"{path}.yaml").exists():
        path = included
    try:
        return read_experiment(path, overrides), path
    except FileError as error:
        exit_bad_input(error)


def ledger_folder(out: Path | None) -> Path:
    """The folder for ledgers, made where it does not exist."""
    folder = out or Path(tempfile.mkdtemp(prefix="linetrack-"))
    folder.mkdir(parents=True, exist_ok=True)
    return folder


def print_metrics(columns: Mapping[str, Mapping[str, float]], as_json: bool) -> None:
    """Print a table with a column for each name, or JSON."""
    if as_json:
        click.echo(json.dumps(columns))
        return
    table = Table("figure", *columns)
    for metric in dict.fromkeys(metric for values in columns.values() for metric in values):
        cells = (f"{values[metric]:.4g}" if metric in values else "" for values in columns.values())
        table.add_row(metric, *cells)
    Console().print(table)
