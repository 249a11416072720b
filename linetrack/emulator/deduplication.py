"""The table of idempotency keys with which a group of upstreams discards duplicate requests.

A key is removed once its window has passed, so the size of the table is bounded by the rate of new keys times
the window.
"""

from __future__ import annotations

from collections import deque


class DeduplicationTable:
    """Records which request was executed first for each idempotency key."""

    def __init__(self, window: int) -> None:
        """Create an empty table; `window` is in microseconds from the first execution of a key."""
        self.window = window
        self.first_executions: dict[str, tuple[int, str]] = {}
        self.keys_by_age: deque[tuple[int, str]] = deque()

    def execute(self, now: int, key: str, trace: str) -> str | None:
        """Record a request as executed, unless one with its key was executed within the window.

        Returns:
            The trace of the request that was executed earlier with the key, or None if this one is executed.
        """
        self._remove_expired(now)
        first = self.first_executions.get(key)
        if first is not None:
            return first[1]
        self.first_executions[key] = (now, trace)
        self.keys_by_age.append((now, key))
        return None

    def _remove_expired(self, now: int) -> None:
        while self.keys_by_age and self.keys_by_age[0][0] + self.window <= now:
            executed_at, key = self.keys_by_age.popleft()
            if self.first_executions[key][0] == executed_at:
                del self.first_executions[key]
