"""The identifiers of requests that are in progress or have finished recently.

A request must be executed at most once, so a second request with the same identifier has to be recognised
for as long as a copy of the first may still arrive.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from linetrack.control.digest import hex_digest

MAX_STORED_ID_LENGTH = 128  # in characters; of a longer identifier, a digest is stored
# Identifiers of finished requests are kept for one to two of these times, or until there are too many for a
# generation.
GENERATION_SECONDS = 15.0
MAX_GENERATION_SIZE = 16_384


class RecentRequestIds:
    """The identifiers of open and of recently finished requests.

    Those of finished requests are kept in two generations of bounded size; `forget_older` discards the older
    one.
    """

    def __init__(self) -> None:
        self._open: set[str] = set()
        self.on_added: Callable[[str], object] = (
            _ignore  # called with the stored form of each open identifier
        )
        self._finished: set[str] = set()
        self._finished_earlier: set[str] = set()

    def __contains__(self, request_id: str) -> bool:
        stored = _stored_form(request_id)
        return stored in self._open or stored in self._finished or stored in self._finished_earlier

    def __len__(self) -> int:
        return len(self._open) + len(self._finished) + len(self._finished_earlier)

    def add(self, request_id: str) -> None:
        """Add the identifier of a request that is now open."""
        stored = _stored_form(request_id)
        self._open.add(stored)
        self.on_added(stored)

    def finish(self, request_id: str) -> None:
        """Mark a request as finished; its identifier is kept until the second call of `forget_older`."""
        stored = _stored_form(request_id)
        self._open.discard(stored)
        self._finished.add(stored)
        if len(self._finished) >= MAX_GENERATION_SIZE:
            self.forget_older()

    def forget_older(self) -> None:
        """Discard the identifiers of requests that had finished before the previous call."""
        self._finished_earlier = self._finished
        self._finished = set()

    def stop_announcing(self) -> None:
        """Report no more identifiers, as there is no other process."""
        self.on_added = _ignore

    def export(self) -> list[str]:
        """Return all identifiers in their stored form, for the process that replaces this one."""
        return [*self._open, *self._finished, *self._finished_earlier]

    def restore(self, stored_ids: Iterable[str]) -> None:
        """Add identifiers that another process exported, as those of requests that have just finished."""
        self._finished.update(stored_ids)


def _ignore(_stored_id: str) -> None:
    """Do nothing; used where no other process has to know the identifiers."""


def _stored_form(request_id: str) -> str:
    """Return the identifier or, to save memory, the digest of a long one."""
    if len(request_id) <= MAX_STORED_ID_LENGTH:
        return request_id
    return hex_digest(request_id.encode("latin-1", "replace"))
