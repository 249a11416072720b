"""The identifiers of requests that are open, or were until a moment ago.

A request is executed at most once, so that a second one with the same identifier must be recognised while a
copy of the first may still be on its way.
"""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b

MAX_STORED_ID_LENGTH = 128  # characters up to which an identifier is stored as it is


class RecentRequestIds:
    """Identifiers of open and of recently finished requests.

    Finished ones are kept in two generations: `forget_older` drops the older one.
    """

    def __init__(self) -> None:
        self._open: set[str] = set()
        self._finished: set[str] = set()
        self._finished_before: set[str] = set()

    def __contains__(self, request_id: str) -> bool:
        stored = _stored_form(request_id)
        return stored in self._open or stored in self._finished or stored in self._finished_before

    def __len__(self) -> int:
        return len(self._open) + len(self._finished) + len(self._finished_before)

    def add(self, request_id: str) -> None:
        """A request with this identifier is open from here on."""
        self._open.add(_stored_form(request_id))

    def finish(self, request_id: str) -> None:
        """The request is finished; its identifier is kept until `forget_older` was called twice."""
        stored = _stored_form(request_id)
        self._open.discard(stored)
        self._finished.add(stored)

    def forget_older(self) -> None:
        """Forget the requests that were finished before the last call."""
        self._finished_before = self._finished
        self._finished = set()

    def export(self) -> list[str]:
        """All identifiers in their stored form, for a process that replaces this one."""
        return [*self._open, *self._finished, *self._finished_before]

    def restore(self, stored_ids: Iterable[str]) -> None:
        """Take over what another process exported, as identifiers of requests that have just finished."""
        self._finished.update(stored_ids)


def _stored_form(request_id: str) -> str:
    """The identifier itself, or a digest of a long one, of which many would cost memory."""
    if len(request_id) <= MAX_STORED_ID_LENGTH:
        return request_id
    return blake2b(request_id.encode("latin-1", "replace")).hexdigest()
