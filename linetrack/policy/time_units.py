"""Units of time: all times of the policy are integer microseconds."""

from __future__ import annotations

SECOND = 1_000_000
MILLISECOND = 1_000
FOREVER = 1 << 62  # later than the time of any event
