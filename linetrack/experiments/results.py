"""The results of an experiment, as stored in `results.json`."""

from __future__ import annotations

from enum import Enum
from pathlib import Path
from typing import Any

import msgspec

from linetrack.config.check import FileError
from linetrack.experiments.latency import Interval

RESULTS_FILE = "results.json"
MAIN_ARM = "main"


class Verdict(Enum):
    """Whether the experiment's bounds hold."""

    HELD = "held"
    NOT_HELD = "not_held"
    INVALID = "invalid"  # the test machine was too slow, or a run was not completed


class WeightBySecond(msgspec.Struct, frozen=True):
    """Priority weight by the second in which its requests were due."""

    offered: list[float]
    served: list[float]  # within the latency objective


class Series(msgspec.Struct, frozen=True, rename={"weight": "kept"}):
    """The data for the plots of a run."""

    weight: WeightBySecond
    upstreams: dict[str, list[int]]  # attempts at each upstream by second
    latency: dict[str, list[tuple[float, float]]]  # pairs of percentile and milliseconds, by class


class RunResult(
    msgspec.Struct, frozen=True, rename={"metrics": "values", "is_valid": "valid", "is_partial": "partial"}
):
    """The result of one seed of one arm."""

    metrics: dict[str, float]
    series: Series
    seed: int
    audit: dict[str, Any]  # the findings as returned by `audit.summary`
    is_valid: bool
    is_partial: bool


class ArmResult(msgspec.Struct, omit_defaults=True, rename={"metrics": "figures"}):
    """The results of all seeds of an arm; metrics and differences are set when the experiment is complete."""

    policy: str
    build: str
    runs: list[RunResult]
    metrics: dict[str, Interval] | None = None
    differences: dict[str, Interval] | None = None  # the main arm's metrics minus those of this arm


class BoundResult(msgspec.Struct, frozen=True, rename={"metric": "figure"}):
    """One bound, the measured interval and whether the bound holds."""

    metric: str
    bound: str
    found: Interval | None
    held: bool


class Results(msgspec.Struct, omit_defaults=True, rename={"is_partial": "partial"}):
    """The results of an experiment; bounds and verdict are set once it is complete."""

    name: str
    question: str
    is_partial: bool
    faults: list[dict[str, Any]]  # as in the experiment file
    warm_s: float
    arms: dict[str, ArmResult]
    bounds: list[BoundResult] | None = None
    verdict: Verdict | None = None


def write_results(results: Results, folder: Path) -> None:
    """Write `results.json` into a folder; it is replaced atomically, so that readers see no partial file."""
    path = folder / RESULTS_FILE
    temporary_path = folder / f"{RESULTS_FILE}.part"
    temporary_path.write_bytes(msgspec.json.format(msgspec.json.encode(results), indent=1))
    temporary_path.rename(path)


def read_results(folder: Path) -> Results:
    """Read the results in a folder.

    Raises:
        FileError: the results are missing or invalid.
    """
    path = folder / RESULTS_FILE
    try:
        return msgspec.json.decode(path.read_bytes(), type=Results)
    except OSError as error:
        raise FileError(path, str(error.strerror)) from None
    except msgspec.ValidationError as error:
        raise FileError(path, str(error)) from None
    except msgspec.DecodeError as error:
        raise FileError(path, f"not JSON: {error}") from None
