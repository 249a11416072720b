"""Units of time, in microseconds."""

from __future__ import annotations

MS = 1000
SECOND = 1_000_000
