"""The schedule of an experiment's load, from its shapes or from its trace."""

from __future__ import annotations

from pathlib import Path

import numpy as np

from linetrack.load.schedule import ClassShare, Schedule, schedule_from_shapes
from linetrack.load.schema import Load
from linetrack.load.trace import schedule_from_trace

SCHEDULE_STREAM = 1  # of the seed's random streams


def build_schedule(
    load: Load, length: int, classes: tuple[ClassShare, ...], seed: int, folder: Path
) -> Schedule:
    """The schedule for `length` microseconds.

    Args:
        load: the load.
        length: microseconds.
        classes: the names and shares of the request classes.
        seed: the same one gives the same schedule.
        folder: a trace's file is relative to it.

    Raises:
        FileError: the trace cannot be read, or a row is invalid.
    """
    generator = np.random.Generator(np.random.PCG64([seed, SCHEDULE_STREAM]))
    if load.trace is not None:
        class_names = [name for name, _ in classes]
        return schedule_from_trace(load.trace, length, class_names, folder, generator)
    return schedule_from_shapes(load, length, classes, generator)
