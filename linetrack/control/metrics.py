"""Counters of this process since its start, and their Prometheus text format.

Each counter is incremented in one place, where the counted event happens, and never decreases: a class that
is removed from the configuration keeps its counts, and continues them if it is added again.  This module
reads no clock and does no I/O, and no decision depends on it.
"""

from __future__ import annotations

from enum import IntEnum

from linetrack.control.diagnostics import DiagnosticCounters


class RequestOutcome(IntEnum):
    """How a request ended whose client stayed connected; the value is its index in a class's counts."""

    SERVED = 0  # an endpoint's response was sent to the client completely
    REJECTED = 1  # the request was shed: 503
    FAILED = 2  # 502, or a streamed response that was aborted


#: Values of the label `status` of `OPERATIONS_METRIC`.  These and the metric names are the operators' terms.
STATUS_LABELS = {
    RequestOutcome.SERVED: "fulfilled",
    RequestOutcome.REJECTED: "throttled",
    RequestOutcome.FAILED: "faulted",
}
OPERATIONS_METRIC = "app_operations_total"
ATTEMPTS_SENT_METRIC = "app_relayed_total"
OPEN_REQUESTS_METRIC = "app_open_requests"
LISTED_ENDPOINTS_METRIC = "app_registry_entries"
UNAVAILABLE_ENDPOINTS_METRIC = "app_out_of_rotation"
ACCEPTED_CONFIGS_METRIC = "app_cfg_accepted_total"
INVALID_CONFIGS_METRIC = "app_cfg_invalid_total"


class Metrics:
    """The counters of one process."""

    def __init__(self) -> None:
        self.requests_received = 0
        self.clients_disconnected = 0  # requests whose client disconnected before the response was complete
        self.attempts_started = 0
        self.attempts_sent = 0  # attempts whose request was sent completely
        self.accepted_configs = 0
        self.invalid_configs = 0
        self.diagnostics = DiagnosticCounters()
        self._outcomes_by_class: dict[str, list[int]] = {}

    def declare_classes(self, class_names: tuple[str, ...]) -> None:
        """Export these classes from now on, with counts of zero until their first request ends."""
        for class_name in class_names:
            self._outcomes_by_class.setdefault(class_name, [0] * len(RequestOutcome))

    def record_outcome(self, class_name: str, outcome: RequestOutcome) -> None:
        """Count the end of a request of this class."""
        counts = self._outcomes_by_class.get(class_name)
        if counts is None:
            counts = self._outcomes_by_class[class_name] = [0] * len(RequestOutcome)
        counts[outcome] += 1

    def count_outcomes(self, outcome: RequestOutcome) -> int:
        """Return how many requests of all classes ended with this outcome."""
        return sum(counts[outcome] for counts in self._outcomes_by_class.values())

    @property
    def open_requests(self) -> int:
        """The number of requests that were received and have not ended."""
        completed = sum(map(sum, self._outcomes_by_class.values()))
        return self.requests_received - self.clients_disconnected - completed

    def totals(self) -> dict[str, int]:
        """Return the totals as fields of a log line.

        Once no request is open, received = served + rejected + failed + disconnected.
        """
        return {
            "received": self.requests_received,
            "served": self.count_outcomes(RequestOutcome.SERVED),
            "rejected": self.count_outcomes(RequestOutcome.REJECTED),
            "failed": self.count_outcomes(RequestOutcome.FAILED),
            "disconnected": self.clients_disconnected,
            "attempts": self.attempts_started,
        }

    def prometheus_text(self, listed_endpoints: int, unavailable_endpoints: int) -> str:
        """Return all counters, and the two gauges that the caller passes, in the Prometheus text format."""
        lines = [
            f'{OPERATIONS_METRIC}{{priority="{_escape_label(name)}",status="{label}"}} {counts[outcome]}'
            for name, counts in self._outcomes_by_class.items()
            for outcome, label in STATUS_LABELS.items()
        ]
        values = {
            ATTEMPTS_SENT_METRIC: self.attempts_sent,
            OPEN_REQUESTS_METRIC: self.open_requests,
            LISTED_ENDPOINTS_METRIC: listed_endpoints,
            UNAVAILABLE_ENDPOINTS_METRIC: unavailable_endpoints,
            ACCEPTED_CONFIGS_METRIC: self.accepted_configs,
            INVALID_CONFIGS_METRIC: self.invalid_configs,
        }
        lines += [f"{name} {value}" for name, value in values.items()]
        return "\n".join([*lines, ""])


def _escape_label(value: str) -> str:
    return value.replace("\\", "\\\\").replace("\n", "\\n").replace('"', '\\"')
