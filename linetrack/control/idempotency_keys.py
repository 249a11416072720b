"""Keys of requests that may have run, for callers that ask again under the same key.

Owns a bounded table: under which key attempts may have run, where and when.  Must never read a clock or touch
a socket.  Guards against a sale had twice: a caller's own retry is a new request to the policy, which without
this would send it to another group of upstreams, or after its group's memory of the key is over.

A row lasts for `KEPT` from its first attempt and holds the first `EACH`; at most `MOST` rows are held, the
oldest going first.  Past that a caller's retry is a new request again, as it is at a sidecar that did not
see the first.
"""

from __future__ import annotations

from collections import OrderedDict

from linetrack.policy.protocols import PossibleExecution

MOST = 8192
EACH = 8
KEPT = 60_000_000  # microseconds


class IdempotencyKeyTable:
    def __init__(self) -> None:
        self.rows: OrderedDict[int, list[PossibleExecution]] = OrderedDict()

    def add(self, key: int, ran: PossibleExecution) -> None:
        """An attempt under that key may have run, or may yet."""
        self._tidy(ran.sent_at)
        row = self.rows.setdefault(key, [])
        if len(row) < EACH:
            row.append(ran)
        if len(self.rows) > MOST:
            self.rows.popitem(last=False)

    def discard(self, key: int, ran: PossibleExecution) -> None:
        """That attempt turned out never to have run."""
        row = self.rows.get(key, [])
        if ran in row:
            row.remove(ran)
            if not row:
                del self.rows[key]

    def executions(self, now: int, key: int) -> list[PossibleExecution]:
        """The attempts under that key that may have run, the earliest first."""
        self._tidy(now)
        return self.rows.get(key, [])

    def _tidy(self, now: int) -> None:
        while self.rows:
            first = next(iter(self.rows))
            if self.rows[first][0].sent_at > now - KEPT:
                return
            del self.rows[first]
