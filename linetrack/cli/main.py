"""The command `linetrack COMMAND`, also `python -m linetrack COMMAND`.

Exit status: 0 success, and all bounds held; 1 a bound was not held; 2 bad input, reported in one line; 3 no
valid result, as the load was sent late or a process that a run needs failed.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Any

import click

from linetrack.cli.emulation import emulate, load
from linetrack.cli.experiment import audit, experiment, report
from linetrack.cli.sidecar import config, serve


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def cli() -> None:
    """A load balancer for service-to-service calls, with its emulator, load generator and experiments."""


for command in (serve, config, emulate, load, experiment, report, audit):
    cli.add_command(command)


def main(arguments: list[str] | None = None) -> None:
    """Run the command line."""
    run: Callable[..., Any] = partial(cli, args=arguments, prog_name="linetrack")
    run()
