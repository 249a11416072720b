"""The `experiment soak` command: runs seeds, prints each result, a table and a summary."""

from __future__ import annotations

import sys
import tempfile
from pathlib import Path
from typing import TYPE_CHECKING, NoReturn

import click
from rich.console import Console
from rich.table import Table

from linetrack.cli.common import FOLDER, ExitStatus, exit_bad_input, exit_invalid
from linetrack.config.check import FileError

if TYPE_CHECKING:
    from linetrack.experiments.soak.campaign import Campaign
    from linetrack.experiments.soak.run import SoakResult

MAX_LENGTH_S = 600.0


@click.command("soak")
@click.option("--seeds", "count", default="1", metavar="N", help="Run seeds 1 to N.")
@click.option(
    "--seed",
    "seeds",
    multiple=True,
    metavar="SEED",
    help="Run this seed instead of 1 to N; may be given several times.",
)
@click.option("--jobs", default="1", metavar="N", help="Number of seeds to run in parallel.")
@click.option(
    "--length",
    default="",
    metavar="SECONDS",
    help="Length of each run; the default is drawn from the seed, 20 to 40 s.",
)
@click.option(
    "--without", default="", metavar="N,N", help="Leave out the faults (troubles) with these numbers."
)
@click.option(
    "--shorten", is_flag=True, help="Reduce a failing seed to the faults that it needs in order to fail."
)
@click.option(
    "--out", type=FOLDER, help="Folder of all runs; seeds that have a result there are not run again."
)
@click.option("--build", type=FOLDER, help="Folder of another build of the program to test.")
def soak(
    count: str,
    seeds: tuple[str, ...],
    jobs: str,
    length: str,
    without: str,
    shorten: bool,
    out: Path | None,
    build: Path | None,
) -> None:
    """Run random fault scenarios against the program, and check that it keeps the rules."""
    from linetrack.experiments.run import ROOT
    from linetrack.experiments.soak.campaign import Campaign

    try:
        seed_numbers = tuple(_parse_integer("--seed", seed) for seed in seeds) or tuple(
            range(1, _parse_integer("--seeds", count) + 1)
        )
        campaign = Campaign(
            seeds=seed_numbers,
            out=out or Path(tempfile.mkdtemp(prefix="linetrack-soak-")),
            jobs=max(1, _parse_integer("--jobs", jobs)),
            length_s=_parse_length(length) if length else None,
            without=frozenset(_parse_integer("--without", part) for part in without.split(",") if part),
            build=(build or ROOT).resolve(),
        )
        campaign.check_machine()
    except FileError as error:
        exit_bad_input(error)
    _run_and_exit(campaign, shorten)


def _parse_integer(option: str, text: str) -> int:
    try:
        return int(text)
    except ValueError:
        raise FileError(option, "expected a whole number", value=repr(text)) from None


def _parse_length(text: str) -> float:
    try:
        seconds = float(text)
    except ValueError:
        seconds = 0.0
    if not 10.0 <= seconds <= MAX_LENGTH_S:
        raise FileError("--length", f"expected 10 to {MAX_LENGTH_S:g} s", value=repr(text))
    return seconds


def _run_and_exit(campaign: Campaign, shorten: bool) -> NoReturn:
    from linetrack.emulator.child_process import ChildFailedError
    from linetrack.emulator.ledger import LedgerError
    from linetrack.experiments.sidecar_process import RunError
    from linetrack.experiments.soak.run import SoakVerdict

    results: list[SoakResult] = []
    try:
        for result in campaign.run():
            results.append(result)
            _print_result(campaign, result, len(results))
            if shorten and result.verdict is SoakVerdict.BROKEN:
                _shorten(campaign, result)
    except KeyboardInterrupt:
        exit_invalid(f"interrupted; the completed runs are kept in {campaign.out}")
    except (ChildFailedError, RunError, LedgerError, OSError) as error:
        exit_invalid(f"{error}; there is no valid result")
    _print_summary(campaign, results)
    verdicts = {result.verdict for result in results}
    if SoakVerdict.BROKEN in verdicts:
        sys.exit(ExitStatus.NOT_HELD)
    sys.exit(ExitStatus.INVALID if SoakVerdict.INVALID in verdicts else ExitStatus.HELD)


def _print_result(campaign: Campaign, result: SoakResult, number: int) -> None:
    from linetrack.experiments.soak.campaign import replay_command
    from linetrack.experiments.soak.run import SoakVerdict

    click.echo(
        f"{number}/{len(campaign.seeds)} seed {result.seed}: {result.verdict.value},"
        f" {result.requests} requests, {result.attempts} attempts, {result.excused} excused,"
        f" late {result.late_share:.2%}"
    )
    if result.verdict is SoakVerdict.HELD:
        return
    for finding in result.findings:
        click.echo(f"    {finding}")
    for fault_number, description in enumerate(result.troubles):
        click.echo(f"    trouble {fault_number}: {description}")
    command = replay_command(result.seed, campaign.length_s, campaign.without)
    click.echo(f"    replay: {command}; results in {campaign.folder_of(result.seed)}")


def _shorten(campaign: Campaign, result: SoakResult) -> None:
    from linetrack.experiments.soak.campaign import replay_command

    def print_verdict(number: int, reduced: SoakResult) -> None:
        """Print the verdict of a run without one more fault."""
        click.echo(f"    without trouble {number}: {reduced.verdict.value}")

    without = campaign.shorten(result, print_verdict)
    click.echo(f"    shortest: {replay_command(result.seed, campaign.length_s, without)}")


def _print_summary(campaign: Campaign, results: list[SoakResult]) -> None:
    from linetrack.experiments.soak.campaign import verdicts_by_fault_kind
    from linetrack.experiments.soak.run import SoakVerdict

    table = Table("trouble", *(verdict.value for verdict in SoakVerdict))
    for kind, counts in sorted(verdicts_by_fault_kind(results).items()):
        table.add_row(kind, *(str(counts[verdict]) for verdict in SoakVerdict))
    Console().print(table)
    held = sum(result.verdict is SoakVerdict.HELD for result in results)
    requests = sum(result.requests for result in results)
    click.echo(f"{held} of {len(results)} seeds held, {requests} requests; results in {campaign.out}")
