"""What a process has done since it started, counted, and the operators' text of it.

Owns every count that operators are shown.  Each is moved in one place, where the thing happens, and never
goes back: a class that is dropped keeps its row, one that returns goes on counting.  Must never read a clock,
touch a socket or be asked by what decides.
"""

from __future__ import annotations

from enum import IntEnum


class RequestOutcome(IntEnum):
    """How a request ended that was taken and not abandoned; the numbers are columns of a row."""

    SERVED = 0  # an upstream's answer went to the client, whole
    REJECTED = 1  # refused
    FAILED = 2  # failed: given up, or an answer that broke off on its way


#: What the operators' page calls each outcome.
STATUS_LABELS = {
    RequestOutcome.SERVED: "fulfilled",
    RequestOutcome.REJECTED: "throttled",
    RequestOutcome.FAILED: "faulted",
}


class Metrics:
    def __init__(self) -> None:
        self.rows: dict[str, list[int]] = {}
        self.taken = self.left = self.sends = 0  # requests; those that clients abandoned; attempts begun
        self.relayed = 0  # attempts written whole
        self.files_accepted = self.files_invalid = 0

    def declare(self, classes: tuple[str, ...]) -> None:
        """Classes that exist from here on; each is shown, with noughts until something happens."""
        for klass in classes:
            self.rows.setdefault(klass, [0] * len(RequestOutcome))

    def over(self, klass: str, fate: RequestOutcome) -> None:
        """A request of that class has ended."""
        row = self.rows.get(klass)
        if row is None:
            row = self.rows[klass] = [0] * len(RequestOutcome)
        row[fate] += 1

    def total(self, fate: RequestOutcome) -> int:
        return sum(row[fate] for row in self.rows.values())

    @property
    def open(self) -> int:
        """Requests taken and not ended."""
        return self.taken - self.left - sum(map(sum, self.rows.values()))

    def totals(self) -> dict[str, int]:
        """In the log's words; once nothing is open, taken = served + refused + failed + left."""
        return {
            "taken": self.taken,
            "served": self.total(RequestOutcome.SERVED),
            "refused": self.total(RequestOutcome.REJECTED),
            "failed": self.total(RequestOutcome.FAILED),
            "left": self.left,
            "sends": self.sends,
        }

    def text(self, listed: int, avoided: int) -> str:
        """All of it in Prometheus's text format, beside how many upstreams are listed and how many of
        them are avoided now."""
        lines = [
            f'app_operations_total{{priority="{_escaped(klass)}",status="{STATUS_LABELS[fate]}"}} {row[fate]}'
            for klass, row in self.rows.items()
            for fate in RequestOutcome
        ]
        figures = {
            "relayed_total": self.relayed,
            "open_requests": self.open,
            "registry_entries": listed,
            "out_of_rotation": avoided,
            "cfg_accepted_total": self.files_accepted,
            "cfg_invalid_total": self.files_invalid,
        }
        return "\n".join([*lines, *(f"app_{name} {value}" for name, value in figures.items()), ""])


def _escaped(label: str) -> str:
    return label.replace("\\", "\\\\").replace("\n", "\\n").replace('"', '\\"')
