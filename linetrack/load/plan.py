"""Builds the schedule of an experiment's load from its shapes or its trace."""

from __future__ import annotations

from pathlib import Path

import numpy as np

from linetrack.load.schedule import ClassShare, Schedule, schedule_from_shapes
from linetrack.load.schema import Load
from linetrack.load.trace import schedule_from_trace

SCHEDULE_STREAM = 1  # number of the random stream, derived from the seed, that draws the schedule


def build_schedule(
    load: Load, length: int, classes: tuple[ClassShare, ...], seed: int, folder: Path
) -> Schedule:
    """Return the schedule of a load.

    Args:
        load: the load.
        length: duration of the schedule in microseconds.
        classes: the names and shares of the request classes.
        seed: the seed; equal seeds give equal schedules.
        folder: the folder to which the path of the trace's file is relative.

    Raises:
        FileError: the trace cannot be read, or a row is invalid.
    """
    generator = np.random.Generator(np.random.PCG64([seed, SCHEDULE_STREAM]))
    if load.trace is not None:
        class_names = [name for name, _ in classes]
        return schedule_from_trace(load.trace, length, class_names, folder, generator)
    return schedule_from_shapes(load, length, classes, generator)
