"""The soak from the command line: seeds, progress, a table and a summary."""

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
@click.option("--seeds", "count", default="1", metavar="N", help="Play seeds 1 to N.")
@click.option("--seed", "seeds", multiple=True, metavar="SEED", help="This seed instead; may come again.")
@click.option("--jobs", default="1", metavar="N", help="Seeds played at a time.")
@click.option("--length", default="", metavar="SECONDS", help="Of each run, instead of 20 to 40 s.")
@click.option("--without", default="", metavar="N,N", help="Leave out the troubles of these numbers.")
@click.option("--shorten", is_flag=True, help="Leave troubles out while a failing seed still fails.")
@click.option("--out", type=FOLDER, help="Folder of all runs; what has a result there is not played again.")
@click.option("--build", type=FOLDER, help="The folder of another build of the program.")
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
    """Play random histories of troubles against the program, and judge them by the rules."""
    from linetrack.experiments.run import ROOT
    from linetrack.experiments.soak.campaign import Campaign

    try:
        numbers = tuple(_whole("--seed", seed) for seed in seeds) or tuple(
            range(1, _whole("--seeds", count) + 1)
        )
        campaign = Campaign(
            seeds=numbers,
            out=out or Path(tempfile.mkdtemp(prefix="linetrack-soak-")),
            jobs=max(1, _whole("--jobs", jobs)),
            length_s=_seconds(length) if length else None,
            without=frozenset(_whole("--without", part) for part in without.split(",") if part),
            build=(build or ROOT).resolve(),
        )
        campaign.check_machine()
    except FileError as error:
        exit_bad_input(error)
    _play_and_exit(campaign, shorten)


def _whole(option: str, text: str) -> int:
    try:
        return int(text)
    except ValueError:
        raise FileError(option, "expected a whole number", value=repr(text)) from None


def _seconds(text: str) -> float:
    try:
        seconds = float(text)
    except ValueError:
        seconds = 0.0
    if not 10.0 <= seconds <= MAX_LENGTH_S:
        raise FileError("--length", f"expected 10 to {MAX_LENGTH_S:g} s", value=repr(text))
    return seconds


def _play_and_exit(campaign: Campaign, shorten: bool) -> NoReturn:
    from linetrack.emulator.child_process import ChildFailedError
    from linetrack.emulator.ledger import LedgerError
    from linetrack.experiments.sidecar_process import RunError
    from linetrack.experiments.soak.run import SoakVerdict

    results: list[SoakResult] = []
    try:
        for result in campaign.play():
            results.append(result)
            _print_result(campaign, result, len(results))
            if shorten and result.verdict is SoakVerdict.BROKEN:
                _shorten(campaign, result)
    except KeyboardInterrupt:
        exit_invalid(f"stopped; what had ended is kept in {campaign.out}")
    except (ChildFailedError, RunError, LedgerError, OSError) as error:
        exit_invalid(f"{error}; nothing is claimed")
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
    for trouble_number, trouble in enumerate(result.troubles):
        click.echo(f"    trouble {trouble_number}: {trouble}")
    command = replay_command(result.seed, campaign.length_s, campaign.without)
    click.echo(f"    again: {command}; kept in {campaign.folder_of(result.seed)}")


def _shorten(campaign: Campaign, result: SoakResult) -> None:
    from linetrack.experiments.soak.campaign import replay_command

    def print_tried(number: int, tried: SoakResult) -> None:
        click.echo(f"    without trouble {number}: {tried.verdict.value}")

    needless = campaign.shorten(result, print_tried)
    click.echo(f"    shortest: {replay_command(result.seed, campaign.length_s, needless)}")


def _print_summary(campaign: Campaign, results: list[SoakResult]) -> None:
    from linetrack.experiments.soak.campaign import verdicts_by_trouble
    from linetrack.experiments.soak.run import SoakVerdict

    table = Table("trouble", *(verdict.value for verdict in SoakVerdict))
    for kind, counts in sorted(verdicts_by_trouble(results).items()):
        table.add_row(kind, *(str(counts[verdict]) for verdict in SoakVerdict))
    Console().print(table)
    held = sum(result.verdict is SoakVerdict.HELD for result in results)
    requests = sum(result.requests for result in results)
    click.echo(f"{held} of {len(results)} seeds held, {requests} requests; kept in {campaign.out}")
