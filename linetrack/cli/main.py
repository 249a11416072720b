"""`linetrack COMMAND`, also `python -m linetrack COMMAND`.

Exit status: 0 held, or done; 1 a bound was not held; 2 bad input, in one line; 3 the machine ran late or
something that a run needs did not come up, so that nothing is claimed.
"""

from __future__ import annotations

import json
import signal
import sys
import tempfile
import time
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Any, NoReturn

import click
import msgspec
from rich.console import Console
from rich.progress import Progress
from rich.table import Table

from linetrack.config import operators
from linetrack.config.check import FileError, schema

HELD, NOT_HELD, BAD_INPUT, INVALID = 0, 1, 2, 3
EXPERIMENTS = Path(__file__).parent.parent.parent / "experiments"

FILE = click.Path(path_type=Path, dir_okay=False)
FOLDER = click.Path(path_type=Path, file_okay=False)
as_json = click.option("--json", "json_", is_flag=True, help="Print figures as JSON.")


def _bad(fault: Exception) -> NoReturn:
    click.echo(f"linetrack: {fault}", err=True)
    sys.exit(BAD_INPUT)


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def cli() -> None:
    """A balancer for service-to-service calls, with its emulator, load generator and experiments."""


@cli.command()
@click.option("--config", "path", type=FILE, required=True, help="The operators' file (TOML).")
def serve(path: Path) -> None:
    """Run one sidecar on an operators' file until SIGTERM; SIGHUP reads the file again."""
    from linetrack.server import lifecycle as sidecar
    from linetrack.server.config import Config, ConfigError, config_of

    def read() -> Config:
        try:
            return config_of(operators.platform(operators.read(path)), {})
        except FileError as fault:
            raise ConfigError(str(fault)) from None

    sys.exit(sidecar.serve(read))


# --- config ------------------------------------------------------------------------------------------


@cli.group()
def config() -> None:
    """Check, show or describe the operators' file."""


@config.command("check")
@click.argument("path", type=FILE)
def config_check(path: Path) -> None:
    """Whether a file makes sense."""
    from linetrack.server.config import ConfigError, config_of

    try:
        config_of(operators.platform(operators.read(path)), {})
    except (FileError, ConfigError) as fault:
        _bad(fault)
    click.echo(f"{path}: sound")


@config.command("show")
@click.argument("path", type=FILE)
@click.option("--platform", is_flag=True, help="In the platform's form.")
def config_show(path: Path, platform: bool) -> None:
    """A file with every default filled in."""
    try:
        file = operators.read(path)
    except FileError as fault:
        _bad(fault)
    click.echo(json.dumps(operators.platform(file) if platform else msgspec.to_builtins(file), indent=2))


@config.command("schema")
def config_schema() -> None:
    """JSON Schema of the operators' file."""
    click.echo(schema(operators.OperatorsFile))


# --- emulate, load -----------------------------------------------------------------------------------


def _experiment(path: Path, sets: tuple[str, ...]) -> Any:
    from linetrack.experiments.schema import read

    if not path.exists() and (named := EXPERIMENTS / f"{path}.yaml").exists():
        path = named
    try:
        return read(path, sets), path
    except FileError as fault:
        _bad(fault)


sets_ = click.option("--set", "sets", multiple=True, metavar="PATH=VALUE", help="Change the file's value.")
seed_ = click.option("--seed", type=int, help="Instead of the file's seeds.")


@cli.command()
@click.argument("path", type=FILE)
@sets_
@seed_
@click.option("--sides", default=1, show_default=True, help="Discovery addresses, one for each sidecar.")
@click.option("--for", "length", default=3600.0, show_default=True, help="Seconds until it ends by itself.")
@click.option("--out", type=FOLDER, help="Folder for ledgers (a temporary one where none is given).")
def emulate(
    path: Path, sets: tuple[str, ...], seed: int | None, sides: int, length: float, out: Path | None
) -> None:
    """Run the fleet, discovery and faults of an experiment file, and print their addresses."""
    from linetrack.emulator.fleet import Emulator
    from linetrack.emulator.ledger import now
    from linetrack.emulator.part import PartError

    experiment, _ = _experiment(path, sets)
    folder = out or Path(tempfile.mkdtemp(prefix="linetrack-"))
    folder.mkdir(parents=True, exist_ok=True)
    seed = seed if seed is not None else experiment.seeds[0]
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    try:
        with Emulator(
            experiment.fleet, experiment.classes, experiment.faults, seed, sides, folder
        ) as emulator:
            say = {"discovery": emulator.discovery, "upstreams": emulator.entries, "ledgers": str(folder)}
            click.echo(json.dumps(say))
            emulator.start(now())
            limit = time.monotonic() + length
            while time.monotonic() < limit and emulator.alive():
                time.sleep(0.1)
    except KeyboardInterrupt:
        pass
    except PartError as fault:
        click.echo(f"linetrack: {fault}", err=True)
        sys.exit(INVALID)


@cli.command()
@click.argument("path", type=FILE)
@click.option(
    "--target", "targets", multiple=True, required=True, help="address:port; several share the load."
)
@sets_
@seed_
@click.option("--out", type=FOLDER, help="Folder for ledgers (a temporary one where none is given).")
@as_json
def load(
    path: Path,
    targets: tuple[str, ...],
    sets: tuple[str, ...],
    seed: int | None,
    out: Path | None,
    json_: bool,
) -> None:
    """Send the load of an experiment file to addresses on loopback, on time whatever is answered."""
    from linetrack.emulator.ledger import now
    from linetrack.emulator.part import PartError
    from linetrack.experiments import audit, figures
    from linetrack.load.workers import Workers

    experiment, path = _experiment(path, sets)
    for target in targets:
        host, _, port = target.rpartition(":")
        if not host.startswith("127.") or not port.isdigit():
            _bad(FileError(f"--target {target}: expected an address of 127.0.0.0/8 and a port"))
    folder = out or Path(tempfile.mkdtemp(prefix="linetrack-"))
    folder.mkdir(parents=True, exist_ok=True)
    seed = seed if seed is not None else experiment.seeds[0]
    length = round(experiment.length_s * 1e6)
    try:
        workers = Workers(experiment.load, experiment.classes, length, seed, targets, path.parent, folder)
        with workers:
            workers.start(start := now() + 300_000)
            counts = workers.counts()
    except FileError as fault:
        _bad(fault)
    except PartError as fault:
        click.echo(f"linetrack: {fault}", err=True)
        sys.exit(INVALID)
    events = audit.events(folder, "load-*.jsonl")
    asked = [one for one in figures.requests(events).values() if one.due >= start]
    served = [one for one in asked if one.served is not None]
    values = {
        "requests": len(asked),
        "served": len(served) / max(1, len(asked)),
        "late": counts.get("late", 0) / max(1, len(asked)),
        **figures.latencies("", [(one.served or 0) - one.due for one in served]),
        **figures.latencies("sent_", [(one.served or 0) - one.sent for one in served]),
    }
    _figures({"load": values}, json_)
    sys.exit(HELD if values["late"] <= experiment.load.late_share else INVALID)


def _figures(columns: dict[str, dict[str, float]], json_: bool) -> None:
    if json_:
        click.echo(json.dumps(columns))
        return
    table = Table("figure", *columns)
    for name in dict.fromkeys(name for values in columns.values() for name in values):
        table.add_row(name, *(f"{values[name]:.4g}" if name in values else "" for values in columns.values()))
    Console().print(table)


# --- experiment --------------------------------------------------------------------------------------


@cli.group()
def experiment() -> None:
    """Run experiments, list them, or describe their files."""


@experiment.command("list")
def experiment_list() -> None:
    """Those that come with the program."""
    table = Table("name", "question")
    for path in sorted(EXPERIMENTS.glob("*.yaml")):
        found, _ = _experiment(path, ())
        table.add_row(path.stem, found.question)
    Console().print(table)


@experiment.command("schema")
def experiment_schema() -> None:
    """JSON Schema of an experiment file."""
    from linetrack.experiments.schema import Experiment

    click.echo(schema(Experiment))


@experiment.command("run")
@click.argument("path", type=FILE)
@sets_
@click.option("--seed", "seeds", type=int, multiple=True, help="Instead of the file's seeds; may come again.")
@click.option("--out", type=FOLDER, help="Folder for ledgers, results and report.")
@click.option("--report/--no-report", default=True, help="Write report.html.")
@as_json
def experiment_run(
    path: Path, sets: tuple[str, ...], seeds: tuple[int, ...], out: Path | None, report: bool, json_: bool
) -> None:
    """Run an experiment (a file, or the name of one that comes with the program) and judge it."""
    from linetrack.emulator.ledger import LedgerError
    from linetrack.emulator.part import PartError
    from linetrack.experiments import run

    found, path = _experiment(path, sets)
    out = out or Path(tempfile.mkdtemp(prefix=f"linetrack-{found.name}-"))
    try:
        with Progress(console=Console(stderr=True), disable=json_) as progress:
            tasks: dict[str, Any] = {}

            def show(what: str, part: float) -> None:
                if what not in tasks:
                    tasks[what] = progress.add_task(what, total=1.0)
                progress.update(tasks[what], completed=part)

            results = run.play(found, path.parent, out, seeds, show)
    except FileError as fault:
        _bad(fault)
    except KeyboardInterrupt:
        click.echo(f"linetrack: stopped; what had ended is kept in {out}, marked as partial", err=True)
        sys.exit(INVALID)
    except (PartError, run.RunError, LedgerError, OSError) as fault:
        click.echo(f"linetrack: {fault}; nothing is claimed", err=True)
        sys.exit(INVALID)
    _verdict(results, out, report, json_)


def _verdict(results: dict[str, Any], out: Path, report: bool, json_: bool) -> None:
    if report:
        from linetrack.experiments.report import write

        write(out)
    if json_:
        brief = {name: arm["figures"] for name, arm in results["arms"].items()}
        say = {"verdict": results["verdict"], "bounds": results["bounds"], "figures": brief, "out": str(out)}
        click.echo(json.dumps(say))
    else:
        _figures(
            {name: {f: v[0] for f, v in arm["figures"].items()} for name, arm in results["arms"].items()},
            False,
        )
        table = Table("bound", "", "median", "90 % interval", "verdict")
        for bound in results["bounds"]:
            middle, low, high = bound["found"] or (float("nan"),) * 3
            held = "held" if bound["held"] else "NOT HELD"
            table.add_row(bound["figure"], bound["bound"], f"{middle:.4g}", f"{low:.4g} to {high:.4g}", held)
        Console().print(table)
        rules = [run["audit"]["held"] for run in results["arms"]["main"]["runs"]]
        click.echo(
            f"the four rules: {'held' if all(rules) else 'BROKEN'} in {sum(rules)} of {len(rules)} runs"
        )
        click.echo(f"verdict: {results['verdict'].replace('_', ' ')}; results in {out}")
    sys.exit({"held": HELD, "not_held": NOT_HELD, "invalid": INVALID}[results["verdict"]])


@cli.command()
@click.argument("folder", type=FOLDER)
def report(folder: Path) -> None:
    """Write the report of an experiment's results anew."""
    from linetrack.experiments.report import write

    try:
        click.echo(write(folder))
    except FileError as fault:
        _bad(fault)


@cli.command()
@click.argument("folder", type=FOLDER)
@as_json
def audit(folder: Path, json_: bool) -> None:
    """Check the four rules from the ledgers of one run's folder alone."""
    from linetrack.emulator.ledger import LedgerError
    from linetrack.experiments import audit as audits

    try:
        found = audits.audit(folder)
    except OSError as fault:
        _bad(FileError(f"{fault.filename}: {fault.strerror}"))
    except (LedgerError, msgspec.ValidationError, msgspec.DecodeError) as fault:
        _bad(fault)
    told = audits.summary(found)
    if json_:
        click.echo(json.dumps(told))
    else:
        for rule in audits.RULES:
            click.echo(f"{rule:12} {told[rule]}")
            for what in told["named"].get(rule, []):
                click.echo(f"    {what}")
        click.echo(f"{'held' if found.held else 'BROKEN'}: {found.asked} tries, {found.attempts} attempts")
        for name in found.incomplete:
            click.echo(f"incomplete: {name} is cut off in its last line")
    sys.exit(HELD if found.held else NOT_HELD)


def main(arguments: list[str] | None = None) -> None:
    run: Callable[..., Any] = partial(cli, args=arguments, prog_name="linetrack")
    run()
