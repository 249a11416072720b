"""Commands that run experiments, and that read their results and ledgers."""

from __future__ import annotations

import json
import sys
import tempfile
from pathlib import Path
from typing import TYPE_CHECKING

import click
import msgspec
from rich.console import Console
from rich.progress import Progress, TaskID
from rich.table import Table

from linetrack.cli.common import (
    EXPERIMENTS_FOLDER,
    FILE,
    FOLDER,
    ExitStatus,
    exit_bad_input,
    exit_invalid,
    json_option,
    print_metrics,
    read_experiment_or_exit,
    set_option,
)
from linetrack.cli.crowd import crowd
from linetrack.cli.soak import soak
from linetrack.config.check import FileError, json_schema

if TYPE_CHECKING:
    from linetrack.experiments.audit import Findings
    from linetrack.experiments.results import BoundResult, Results
    from linetrack.experiments.schema import Experiment


@click.group()
def experiment() -> None:
    """Run experiments, list them, or describe their files."""


experiment.add_command(soak)
experiment.add_command(crowd)


@experiment.command("list")
def experiment_list() -> None:
    """List the included experiments."""
    table = Table("name", "question")
    for path in sorted(EXPERIMENTS_FOLDER.glob("*.yaml")):
        definition, _ = read_experiment_or_exit(path, ())
        table.add_row(path.stem, definition.question)
    Console().print(table)


@experiment.command("schema")
def experiment_schema() -> None:
    """Print the JSON Schema of experiment files."""
    from linetrack.experiments.schema import Experiment

    click.echo(json_schema(Experiment))


@experiment.command("run")
@click.argument("path", type=FILE)
@set_option
@click.option(
    "--seed",
    "seeds",
    type=int,
    multiple=True,
    help="Seed to use instead of the file's seeds; may be repeated.",
)
@click.option("--out", type=FOLDER, help="Folder for ledgers, results and report.")
@click.option("--report/--no-report", "with_report", default=True, help="Write report.html.")
@json_option
def experiment_run(
    path: Path,
    overrides: tuple[str, ...],
    seeds: tuple[int, ...],
    out: Path | None,
    with_report: bool,
    as_json: bool,
) -> None:
    """Run an experiment (a file, or the name of an included one) and check its bounds."""
    definition, path = read_experiment_or_exit(path, overrides)
    out = out or Path(tempfile.mkdtemp(prefix=f"linetrack-{definition.name}-"))
    results = _run_experiment_or_exit(definition, path.parent, out, seeds, show_progress=not as_json)
    if with_report:
        from linetrack.experiments.report import write_report

        write_report(out)
    if as_json:
        _print_json(results, out)
    else:
        _print_results(results, out)
    sys.exit(_exit_status(results))


def _run_experiment_or_exit(
    definition: Experiment, folder: Path, out: Path, seeds: tuple[int, ...], show_progress: bool
) -> Results:
    from linetrack.emulator.child_process import ChildFailedError
    from linetrack.emulator.ledger import LedgerError
    from linetrack.experiments.runner import run_experiment
    from linetrack.experiments.sidecar_process import RunError

    try:
        with Progress(console=Console(stderr=True), disable=not show_progress) as progress:
            return run_experiment(definition, folder, out, seeds, _ProgressBars(progress).update)
    except FileError as error:
        exit_bad_input(error)
    except KeyboardInterrupt:
        exit_invalid(f"interrupted; the completed runs are kept in {out}, marked as partial")
    except (ChildFailedError, RunError, LedgerError, OSError) as error:
        exit_invalid(f"{error}; there is no valid result")


class _ProgressBars:
    """Progress bars, one for each run."""

    def __init__(self, progress: Progress) -> None:
        self._progress = progress
        self._tasks: dict[str, TaskID] = {}

    def update(self, run: str, fraction: float) -> None:
        """Show the completed fraction of a run."""
        if run not in self._tasks:
            self._tasks[run] = self._progress.add_task(run, total=1.0)
        self._progress.update(self._tasks[run], completed=fraction)


def _exit_status(results: Results) -> ExitStatus:
    from linetrack.experiments.results import Verdict

    match results.verdict:
        case Verdict.HELD:
            return ExitStatus.HELD
        case Verdict.NOT_HELD:
            return ExitStatus.NOT_HELD
        case _:
            return ExitStatus.INVALID


def _print_json(results: Results, out: Path) -> None:
    shown = {
        "verdict": results.verdict,
        "bounds": results.bounds,
        "figures": {name: arm.metrics for name, arm in results.arms.items()},
        "out": str(out),
    }
    click.echo(json.dumps(msgspec.to_builtins(shown)))


def _print_results(results: Results, out: Path) -> None:
    medians = {
        name: {metric: values.median for metric, values in (arm.metrics or {}).items()}
        for name, arm in results.arms.items()
    }
    print_metrics(medians, as_json=False)
    _print_bounds(results.bounds or [])
    held = [run.audit["held"] for run in results.arms["main"].runs]
    click.echo(f"the four rules: {'held' if all(held) else 'BROKEN'} in {sum(held)} of {len(held)} runs")
    verdict = results.verdict.value if results.verdict else ""
    click.echo(f"verdict: {verdict.replace('_', ' ')}; results in {out}")


def _print_bounds(bounds: list[BoundResult]) -> None:
    table = Table("bound", "", "median", "90 % interval", "verdict")
    for bound in bounds:
        median = low = high = float("nan")
        if bound.found is not None:
            median = bound.found.median
            low = bound.found.low
            high = bound.found.high
        held = "held" if bound.held else "NOT HELD"
        table.add_row(bound.metric, bound.bound, f"{median:.4g}", f"{low:.4g} to {high:.4g}", held)
    Console().print(table)


@click.command()
@click.argument("folder", type=FOLDER)
def report(folder: Path) -> None:
    """Write the report of an experiment's results again."""
    from linetrack.experiments.report import write_report

    try:
        click.echo(write_report(folder))
    except FileError as error:
        exit_bad_input(error)


@click.command()
@click.argument("folder", type=FOLDER)
@json_option
def audit(folder: Path, as_json: bool) -> None:
    """Check the four rules, using only the ledgers in the folder of one run."""
    from linetrack.emulator.ledger import LedgerError
    from linetrack.experiments import audit as auditor

    try:
        findings = auditor.audit(folder)
    except OSError as error:
        exit_bad_input(FileError(str(error.filename), str(error.strerror)))
    except (LedgerError, msgspec.ValidationError, msgspec.DecodeError) as error:
        exit_bad_input(error)
    if as_json:
        click.echo(json.dumps(auditor.summary(findings)))
    else:
        _print_findings(findings)
    sys.exit(ExitStatus.HELD if findings.held else ExitStatus.NOT_HELD)


def _print_findings(findings: Findings) -> None:
    from linetrack.experiments.audit import Rule

    for rule in Rule:
        click.echo(f"{rule.value:12} {findings.breaches[rule]}")
        for description in findings.examples.get(rule, []):
            click.echo(f"    {description}")
    verdict = "held" if findings.held else "BROKEN"
    click.echo(f"{verdict}: {findings.requests} tries, {findings.attempts} attempts")
    for name in findings.incomplete_files:
        click.echo(f"incomplete: the last line of {name} is truncated")
