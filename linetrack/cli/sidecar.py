"""Commands that run one sidecar, and that check or show its operators' file."""

from __future__ import annotations

import json
import sys
from pathlib import Path

import click
import msgspec

from linetrack.cli.common import FILE, exit_bad_input
from linetrack.config.check import FileError, json_schema
from linetrack.config.operators import OperatorsFile, platform_form, read_operators_file, warnings


@click.command()
@click.option("--config", "path", type=FILE, required=True, help="The operators' file (TOML).")
def serve(path: Path) -> None:
    """Run one sidecar with an operators' file until SIGTERM; SIGHUP reloads the file."""
    from linetrack.server import lifecycle
    from linetrack.server.config import Config, ConfigError, parse_config

    def read() -> Config:
        """Read the file and return its configuration."""
        try:
            return parse_config(platform_form(read_operators_file(path)), {})
        except FileError as error:
            raise ConfigError(error.key, error.reason, error.value, line=str(error)) from None

    sys.exit(lifecycle.serve(read))


@click.group()
def config() -> None:
    """Check, show or describe the operators' file."""


@config.command("check")
@click.argument("path", type=FILE)
def config_check(path: Path) -> None:
    """Check whether a file is valid, and print warnings."""
    from linetrack.server.config import ConfigError, parse_config

    try:
        file = read_operators_file(path)
        parse_config(platform_form(file), {})
    except (FileError, ConfigError) as error:
        exit_bad_input(error)
    for warning in warnings(file):
        click.echo(f"{path}: warning: {warning}", err=True)
    click.echo(f"{path}: valid")


@config.command("show")
@click.argument("path", type=FILE)
@click.option("--platform", is_flag=True, help="Print the platform's form of the configuration.")
def config_show(path: Path, platform: bool) -> None:
    """Print a file's values, with defaults for absent keys."""
    try:
        file = read_operators_file(path)
    except FileError as error:
        exit_bad_input(error)
    values = platform_form(file) if platform else msgspec.to_builtins(file)
    click.echo(json.dumps(values, indent=2))


@config.command("schema")
def config_schema() -> None:
    """Print the JSON Schema of the operators' file."""
    click.echo(json_schema(OperatorsFile))
