"""Times of the policy are integer microseconds."""

from __future__ import annotations

SECOND = 1_000_000
FOREVER = 1 << 62  # later than any moment that a host notifies
