"""Commands that run the emulator or the load generator on its own."""

from __future__ import annotations

import contextlib
import json
import signal
import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING

import click

from linetrack.cli.common import (
    FILE,
    ExitStatus,
    exit_bad_input,
    exit_invalid,
    json_option,
    ledger_folder,
    ledgers_option,
    print_metrics,
    read_experiment_or_exit,
    seed_option,
    set_option,
)
from linetrack.config.check import FileError

if TYPE_CHECKING:
    from linetrack.emulator.emulator import Emulator

START_DELAY_US = 300_000  # from the start command to the workers until the load begins
POLL_SECONDS = 0.1


@click.command()
@click.argument("path", type=FILE)
@set_option
@seed_option
@click.option(
    "--sides",
    "sidecars",
    default=1,
    show_default=True,
    help="Number of discovery addresses, one for each sidecar.",
)
@click.option(
    "--for", "length", default=3600.0, show_default=True, help="Seconds after which the emulator stops."
)
@ledgers_option
def emulate(
    path: Path, overrides: tuple[str, ...], seed: int | None, sidecars: int, length: float, out: Path | None
) -> None:
    """Run the upstreams, discovery and faults of an experiment file, and print the addresses."""
    from linetrack.emulator.child_process import ChildFailedError
    from linetrack.emulator.emulator import Emulator

    experiment, _ = read_experiment_or_exit(path, overrides)
    folder = ledger_folder(out)
    seed = seed if seed is not None else experiment.seeds[0]
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    emulator = Emulator(experiment.fleet, experiment.classes, experiment.faults, seed, sidecars, folder)
    try:
        with contextlib.suppress(KeyboardInterrupt), emulator:
            _run_emulator(emulator, length)
    except ChildFailedError as error:
        exit_invalid(error)


def _run_emulator(emulator: Emulator, length: float) -> None:
    """Print the emulator's addresses, and let it run for `length` seconds."""
    from linetrack.emulator.ledger import now

    addresses = {
        "discovery": emulator.discovery_addresses,
        "upstreams": emulator.entries,
        "ledgers": str(emulator.folder),
    }
    click.echo(json.dumps(addresses))
    emulator.start(now())
    deadline = time.monotonic() + length
    while time.monotonic() < deadline and emulator.is_running():
        time.sleep(POLL_SECONDS)


@click.command()
@click.argument("path", type=FILE)
@click.option(
    "--target",
    "targets",
    multiple=True,
    required=True,
    help="address:port; may be repeated to spread the load.",
)
@set_option
@seed_option
@ledgers_option
@json_option
def load(
    path: Path,
    targets: tuple[str, ...],
    overrides: tuple[str, ...],
    seed: int | None,
    out: Path | None,
    as_json: bool,
) -> None:
    """Send the load of an experiment file to loopback addresses, on time regardless of responses."""
    from linetrack.emulator.child_process import ChildFailedError
    from linetrack.emulator.ledger import now
    from linetrack.experiments.load_metrics import load_metrics
    from linetrack.load.workers import WorkerGroup

    experiment, path = read_experiment_or_exit(path, overrides)
    _check_targets(targets)
    folder = ledger_folder(out)
    seed = seed if seed is not None else experiment.seeds[0]
    length = round(experiment.length_s * 1e6)
    try:
        workers = WorkerGroup(experiment.load, experiment.classes, length, seed, targets, path.parent, folder)
        with workers:
            start = now() + START_DELAY_US
            workers.start(start)
            counts = workers.wait_for_counts()
    except FileError as error:
        exit_bad_input(error)
    except ChildFailedError as error:
        exit_invalid(error)
    metrics = load_metrics(folder, start, counts)
    print_metrics({"load": metrics}, as_json)
    is_on_time = metrics["late"] <= experiment.load.max_late_share
    sys.exit(ExitStatus.HELD if is_on_time else ExitStatus.INVALID)


def _check_targets(targets: tuple[str, ...]) -> None:
    for target in targets:
        host, _, port = target.rpartition(":")
        if not host.startswith("127.") or not port.isdigit():
            reason = "expected an address in 127.0.0.0/8 and a port"
            exit_bad_input(FileError(f"--target {target}", reason))
