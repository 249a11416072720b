"""The `experiment crowd` command: measures a sidecar beside a crowd of slow clients, and prints figures."""

from __future__ import annotations

import tempfile
from pathlib import Path

import click
from rich.console import Console
from rich.table import Table

from linetrack.cli.common import FOLDER, exit_invalid
from linetrack.experiments.crowd import CrowdKind
from linetrack.experiments.crowd_benchmark import CrowdBenchmark, ProcessEvent, describe
from linetrack.experiments.run import ROOT
from linetrack.experiments.sidecar_process import RunError

CROWDS: dict[str, tuple[CrowdKind, ...]] = {
    "none": (),
    **{kind.value: (kind,) for kind in CrowdKind},
    "mixed": tuple(CrowdKind),
}


@click.command("crowd")
@click.option(
    "--kind", "kinds", multiple=True, type=click.Choice(list(CROWDS)), help="Crowds; all by default."
)
@click.option("--memory", "limits", multiple=True, type=click.IntRange(32, 4096), help="Memory limits in MB.")
@click.option("--clients", default=400, type=click.IntRange(1, 800), help="Clients of the crowd.")
@click.option("--length", default=10.0, type=click.FloatRange(1, 120), help="Seconds of each run.")
@click.option(
    "--event",
    default=ProcessEvent.NONE.value,
    type=click.Choice([event.value for event in ProcessEvent]),
    help="What happens to the process in the middle.",
)
@click.option("--build", type=FOLDER, help="Folder of another build of the program to measure.")
def crowd(
    kinds: tuple[str, ...],
    limits: tuple[int, ...],
    clients: int,
    length: float,
    event: str,
    build: Path | None,
) -> None:
    """Measure memory and latency of a sidecar beside crowds of slow clients."""
    console = Console()
    for memory_mb in limits or (32, 64, 192):
        for kind in kinds or tuple(CROWDS):
            benchmark = CrowdBenchmark(
                Path(tempfile.mkdtemp(prefix="linetrack-crowd-")),
                memory_mb,
                CROWDS[kind],
                clients,
                length,
                ProcessEvent(event),
                build or ROOT,
            )
            try:
                report = benchmark.run()
            except RunError as error:
                exit_invalid(str(error))
            table = Table(f"{kind}, {memory_mb} MB, {clients} clients, {event}", "")
            for name, value in describe(report).items():
                table.add_row(name, value)
            console.print(table)
