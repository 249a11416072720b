"""The schedule of a load: the due time, class and key of each request, fixed before the first is sent.

The same seed gives the same schedule in every worker, regardless of how fast responses come.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

import numpy as np
from numpy.typing import NDArray

from linetrack.load.schema import ArrivalProcess, Load, LoadShape, ShapeKind

RATE_STEP_US = 1000  # length of the steps within which the arrival rate is constant


class ClassShare(NamedTuple):
    """The name of a request class and its share of all requests, relative to the shares of the others."""

    name: str
    share: float


@dataclass(frozen=True)
class Schedule:
    """Requests in the order of their due times.

    `due_at` is in microseconds from the start, ascending.  Without `key_names`, keys are named by index.
    """

    due_at: NDArray[np.int64]
    class_index: NDArray[np.int64]
    key_index: NDArray[np.int64]
    key_names: tuple[str, ...] = ()

    def __len__(self) -> int:
        return len(self.due_at)

    def key_name(self, index: int) -> str:
        """Return the name of the key with this index."""
        return self.key_names[index] if self.key_names else f"k{index}"


def arrival_rates(shapes: tuple[LoadShape, ...], length: int) -> NDArray[np.float64]:
    """Return the arrivals per second in each step of `RATE_STEP_US` within `length` microseconds."""
    time = (np.arange(length // RATE_STEP_US) + 0.5) * RATE_STEP_US / 1e6
    total = np.zeros(len(time))
    for shape in shapes:
        end = shape.start_s + shape.duration_s if shape.duration_s else length / 1e6
        is_within = (time >= shape.start_s) & (time < end)
        progress = np.clip((time - shape.start_s) / max(end - shape.start_s, 1e-9), 0, 1)
        total += np.where(is_within, _shape_rates(shape, progress), 0.0)
    return total


def _shape_rates(shape: LoadShape, progress: NDArray[np.float64]) -> NDArray[np.float64]:
    """Return the rates of a shape at each progress, the elapsed fraction of its duration from 0 to 1."""
    match shape.kind:
        case ShapeKind.RAMP:
            fraction = progress
        case ShapeKind.EVENING:
            fraction = np.sin(np.pi * progress) ** 2
        case ShapeKind.STEPS:
            step = np.minimum(np.floor(progress * shape.steps), shape.steps - 1)
            fraction = step / max(shape.steps - 1, 1)
        case _:
            fraction = np.zeros(len(progress))
    # Not the first rate and a part of the difference, whose sum may be below 0 by rounding.
    return shape.rate * (1 - fraction) + shape.end_rate * fraction


def arrival_times(load: Load, length: int, generator: np.random.Generator) -> NDArray[np.int64]:
    """Return the arrival times of a Poisson process, or evenly spaced ones.

    The times follow the load's varying rate: points on the integral of the rate are mapped back to times.
    """
    rates = arrival_rates(load.shapes, length)
    expected = np.concatenate([[0.0], np.cumsum(rates) * RATE_STEP_US / 1e6])
    total = expected[-1]
    if load.arrivals is ArrivalProcess.EVEN:
        points = np.arange(int(total)) + 0.5
    else:
        points = np.sort(generator.uniform(0, total, generator.poisson(total)))
    step_starts = np.arange(len(expected)) * float(RATE_STEP_US)
    step = np.maximum(np.searchsorted(expected, points, side="right") - 1, 0)
    step = np.minimum(step, len(expected) - 2)
    width = expected[step + 1] - expected[step]
    fraction = np.divide(points - expected[step], width, out=np.zeros_like(points), where=width > 0)
    times: NDArray[np.int64] = np.sort((step_starts[step] + fraction * RATE_STEP_US).astype(np.int64))
    return times


def draw_keys(
    count: int, zipf_exponent: float, size: int, generator: np.random.Generator
) -> NDArray[np.int64]:
    """Draw `size` indices of `count` keys with Zipf-distributed popularity."""
    weights = np.arange(1, count + 1, dtype=float) ** -zipf_exponent
    cumulative = np.cumsum(weights / weights.sum())
    drawn = np.searchsorted(cumulative, generator.uniform(size=size))
    keys: NDArray[np.int64] = np.minimum(drawn, count - 1)
    return keys


def schedule_from_shapes(
    load: Load, length: int, classes: tuple[ClassShare, ...], generator: np.random.Generator
) -> Schedule:
    """Return the requests of the load's shapes within `length` microseconds."""
    due_at = arrival_times(load, length, generator)
    cumulative = np.cumsum([share for _, share in classes])
    drawn = np.searchsorted(cumulative / cumulative[-1], generator.uniform(size=len(due_at)), side="right")
    class_index = np.minimum(drawn, len(classes) - 1)
    key_index = draw_keys(load.keys.count, load.keys.zipf_exponent, len(due_at), generator)
    return Schedule(due_at, class_index, key_index)
