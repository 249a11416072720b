"""The table of idempotency keys by which a group of upstreams discards repeated requests, within a window.

Keys past their window are forgotten, so the table is bounded by the rate of keys times the window.
"""

from __future__ import annotations

from collections import deque


class DeduplicationTable:
    """Which request was executed first under each key."""

    def __init__(self, window: int) -> None:
        """`window` is in microseconds, counted from the first execution."""
        self.window = window
        self.first_executions: dict[str, tuple[int, str]] = {}
        self.keys_by_age: deque[tuple[int, str]] = deque()

    def execute(self, now: int, key: str, trace: str) -> str | None:
        """Execute a request, unless its key was executed within the window.

        Returns:
            The trace of the request that was executed under the key, or None where this one is.
        """
        self._forget_expired(now)
        first = self.first_executions.get(key)
        if first is not None:
            return first[1]
        self.first_executions[key] = (now, trace)
        self.keys_by_age.append((now, key))
        return None

    def _forget_expired(self, now: int) -> None:
        while self.keys_by_age and self.keys_by_age[0][0] + self.window <= now:
            executed_at, key = self.keys_by_age.popleft()
            if self.first_executions[key][0] == executed_at:
                del self.first_executions[key]
