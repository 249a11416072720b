"""Attempts that may have been executed, by idempotency key.

To the policy, a client's own retry is a new request.  Without this table it could be sent to a deduplication
scope other than that of the first attempt, or after the scope's deduplication window has ended, and would
then be executed a second time.

The table is bounded.  A key is kept for `RETENTION_US` from its first attempt, with its first
`MAX_EXECUTIONS_PER_KEY` attempts; beyond `MAX_KEYS` the oldest key is evicted.  A retry under a key that is
no longer kept is treated as a new request, as it is by an instance that did not receive the first one.  This
module reads no clock and does no I/O.
"""

from __future__ import annotations

from collections import OrderedDict

from linetrack.policy.protocols import PossibleExecution

MAX_KEYS = 8192
MAX_EXECUTIONS_PER_KEY = 8
RETENTION_US = 60_000_000


class IdempotencyKeyTable:
    """Possible executions by key, the oldest key first.  Times are in microseconds."""

    def __init__(self) -> None:
        self.executions_by_key: OrderedDict[int, list[PossibleExecution]] = OrderedDict()

    def add(self, key: int, execution: PossibleExecution) -> None:
        """Record that an attempt under the key may have been executed, or may still be executed."""
        self._expire(execution.sent_at)
        executions = self.executions_by_key.setdefault(key, [])
        if len(executions) < MAX_EXECUTIONS_PER_KEY:
            executions.append(execution)
        if len(self.executions_by_key) > MAX_KEYS:
            self.executions_by_key.popitem(last=False)

    def discard(self, key: int, execution: PossibleExecution) -> None:
        """Remove an attempt that is now known not to have been executed."""
        executions = self.executions_by_key.get(key, [])
        if execution in executions:
            executions.remove(execution)
            if not executions:
                del self.executions_by_key[key]

    def executions(self, now: int, key: int) -> list[PossibleExecution]:
        """Return the attempts under the key that may have been executed, the earliest first."""
        self._expire(now)
        return self.executions_by_key.get(key, [])

    def _expire(self, now: int) -> None:
        """Remove the keys whose retention has ended."""
        while self.executions_by_key:
            oldest_key = next(iter(self.executions_by_key))
            if self.executions_by_key[oldest_key][0].sent_at > now - RETENTION_US:
                return
            del self.executions_by_key[oldest_key]
