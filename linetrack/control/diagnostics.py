"""Counters that tell why connections, attempts and requests ended, and gauges of what is held now.

They explain the counts of `Metrics`.  Like those they never decrease, and no decision depends on them.  This
module reads no clock and does no I/O.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from linetrack.policy.events import Outcome


class ConnectionEnd(Enum):
    """Why a client connection ended; the values are labels of `CONNECTION_ENDS_METRIC`."""

    CLIENT = "client"  # the client closed or reset it
    FINAL_RESPONSE = "final_response"  # it was closed with a response, which said so
    ABORTED_RESPONSE = "aborted_response"  # a streamed response could not be finished
    MALFORMED = "malformed"  # what arrived was no request
    STALLED = "stalled"  # a request was not complete in time: 408
    SHED = "shed"  # an incomplete request made room for others: 408
    EXPIRED = "expired"  # it was idle, or its client read too slowly
    EVICTED = "evicted"  # it was idle and made room for a new one
    MIGRATED = "migrated"  # another process serves it
    SHUTDOWN = "shutdown"  # the process ends
    DEFECT = "defect"  # see the log


class Refusal(Enum):
    """Why a request was refused before the policy saw it; the values are labels of `REFUSALS_METRIC`."""

    NO_MEMORY = "no_memory"
    NO_TIME_LEFT = "no_time_left"


@dataclass(frozen=True, slots=True)
class ResourceGauges:
    """What the process holds now.

    Attributes:
        resident_bytes: the resident memory as measured; 0 where the system does not tell.
        memory_limit_bytes: the memory limit.
        reserved_bytes: what is reserved for large messages.
        connections: the client connections by state.
        descriptors: the descriptors of connections in use.
        memory_level: the level of memory pressure, 0 if there is none.
    """

    resident_bytes: int
    memory_limit_bytes: int
    reserved_bytes: int
    connections: dict[str, int]
    descriptors: int
    memory_level: int


CONNECTION_ENDS_METRIC = "app_client_connections_ended_total"
ATTEMPT_ENDS_METRIC = "app_attempts_ended_total"
MALFORMED_METRIC = "app_malformed_requests_total"
REFUSALS_METRIC = "app_refused_before_policy_total"
CONNECTIONS_METRIC = "app_client_connections"
RESIDENT_METRIC = "app_memory_resident_bytes"
MEMORY_LIMIT_METRIC = "app_memory_limit_bytes"
RESERVED_METRIC = "app_memory_reserved_bytes"
MEMORY_LEVEL_METRIC = "app_memory_level"
DESCRIPTORS_METRIC = "app_descriptors_in_use"


class DiagnosticCounters:
    """The counters of one process; each set of labels is a fixed enumeration."""

    def __init__(self) -> None:
        self.connection_ends: Counter[ConnectionEnd] = Counter()
        self.attempt_ends: Counter[Outcome] = Counter()
        self.malformed_requests: Counter[int] = Counter()  # by the status of their response
        self.refusals: Counter[Refusal] = Counter()

    def prometheus_text(self, gauges: ResourceGauges) -> str:
        """Return all counters and gauges in the Prometheus text format."""
        ends = ((end.value, self.connection_ends[end]) for end in ConnectionEnd)
        outcomes = ((outcome.name.lower(), self.attempt_ends[outcome]) for outcome in Outcome)
        refusals = ((refusal.value, self.refusals[refusal]) for refusal in Refusal)
        statuses = ((str(status), number) for status, number in sorted(self.malformed_requests.items()))
        lines = [
            *_labelled(CONNECTION_ENDS_METRIC, "reason", ends),
            *_labelled(ATTEMPT_ENDS_METRIC, "outcome", outcomes),
            *_labelled(MALFORMED_METRIC, "status", statuses),
            *_labelled(REFUSALS_METRIC, "reason", refusals),
            *_labelled(CONNECTIONS_METRIC, "state", gauges.connections.items()),
            f"{RESIDENT_METRIC} {gauges.resident_bytes}",
            f"{MEMORY_LIMIT_METRIC} {gauges.memory_limit_bytes}",
            f"{RESERVED_METRIC} {gauges.reserved_bytes}",
            f"{DESCRIPTORS_METRIC} {gauges.descriptors}",
            f"{MEMORY_LEVEL_METRIC} {gauges.memory_level}",
        ]
        return "\n".join([*lines, ""])


def _labelled(name: str, label: str, values: Iterable[tuple[str, int]]) -> list[str]:
    return [f'{name}{{{label}="{value}"}} {number}' for value, number in values]
