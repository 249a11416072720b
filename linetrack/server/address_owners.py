"""Which of several endpoints with one address is the process that listens there now.

An endpoint whose process has gone may stay in the list for a while after another process has started at its
address.  What is sent to the earlier one would reach the later one, in another zone perhaps, under what was
learnt of the earlier one.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import replace

from linetrack.policy.events import EndpointStatus
from linetrack.server.endpoint_list import EndpointRecord


def remove_superseded(
    update: tuple[EndpointRecord, ...], known: Iterable[EndpointRecord], is_snapshot: bool
) -> tuple[EndpointRecord, ...]:
    """Return the update, in which endpoints are removed whose address belongs to a later one.

    The later one is the one with the later start time.  Of equal start times, as where they are unknown, one
    that is new in the update is later than a known one; others keep their address together.

    Args:
        update: The records of a list, or of the changes to one.
        known: The records before the update.
        is_snapshot: Whether the update lists all endpoints.
    """
    known_by_name = {record.name: record for record in known}
    current = {} if is_snapshot else dict(known_by_name)
    current.update((record.name, record) for record in update)
    by_address: defaultdict[tuple[str, int], list[EndpointRecord]] = defaultdict(list)
    for record in current.values():
        if record.status is not EndpointStatus.REMOVED:
            by_address[record.address].append(record)
    removed: dict[str, EndpointRecord] = {}
    for records in by_address.values():
        if len(records) > 1:
            latest = max(_lateness(record, known_by_name) for record in records)
            removed.update((r.name, _removal(r)) for r in records if _lateness(r, known_by_name) < latest)
    if not removed:
        return update
    kept = tuple(record for record in update if record.name not in removed)
    return kept if is_snapshot else (*kept, *removed.values())


def _lateness(record: EndpointRecord, known_by_name: dict[str, EndpointRecord]) -> tuple[int, bool]:
    """Return a key that orders endpoints with one address by their starts."""
    known = known_by_name.get(record.name)
    has_started = known is None or known.address != record.address
    return record.started_at_ms, has_started and record.status is EndpointStatus.UP


def _removal(record: EndpointRecord) -> EndpointRecord:
    return replace(record, status=EndpointStatus.REMOVED)
