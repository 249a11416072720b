"""A queue of timers, ordered by the time at which each is due."""

from __future__ import annotations

import heapq
from itertools import count
from typing import Generic, TypeVar

Item = TypeVar("Item")


class TimerQueue(Generic[Item]):
    """Items ordered by due time; items with the same due time keep the order in which they were scheduled."""

    def __init__(self) -> None:
        self._heap: list[tuple[int, int, Item]] = []
        self._sequence = count()

    def __len__(self) -> int:
        return len(self._heap)

    def schedule(self, due_at: int, item: Item) -> None:
        """Add an item that is due at this time."""
        heapq.heappush(self._heap, (due_at, next(self._sequence), item))

    def next_due_at(self) -> int | None:
        """Return when the first item is due, or None if the queue is empty."""
        return self._heap[0][0] if self._heap else None

    def pop_due(self, now: int) -> tuple[int, Item] | None:
        """Remove the first item if it is due; return its due time and the item, or None if none is due."""
        if not self._heap or self._heap[0][0] > now:
            return None
        due_at, _, item = heapq.heappop(self._heap)
        return due_at, item
