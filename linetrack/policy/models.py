"""The parts of the policy that learn about endpoints, connections and request classes, together."""

from __future__ import annotations

from collections.abc import Mapping

from linetrack.policy.class_statistics import ClassStatistics
from linetrack.policy.endpoint import Endpoint
from linetrack.policy.idle_connections import IdleConnections
from linetrack.policy.latency_model import LatencyModel
from linetrack.policy.load_reports import LoadReports
from linetrack.policy.settings import Settings
from linetrack.policy.success_model import SuccessModel


class Models:
    """What one instance learns from; each model owns its state."""

    def __init__(self, settings: Settings, endpoints: Mapping[str, Endpoint]) -> None:
        """Start with nothing learnt; `endpoints` are the listed ones, by name."""
        self.classes = ClassStatistics(settings)
        self.load_reports = LoadReports(settings)
        self.latency = LatencyModel(settings, self.load_reports, self.classes)
        self.success = SuccessModel(settings, endpoints)
        self.idle_connections = IdleConnections()

    def start_event(self) -> None:
        """Drop what was worked out for the event before."""
        self.latency.start_event()
        self.success.start_event()

    def keep_only(self, zones: set[int], host_classes: set[int]) -> None:
        """Forget zones and host classes that no listed endpoint has."""
        self.latency.keep_only(zones, host_classes)
        self.load_reports.keep_only(zones, host_classes)
        self.success.keep_only(zones)

    def take_over(self, predecessor: Models) -> None:
        """Go on after an instance under other settings; what it learnt of classes and loads is dropped."""
        self.latency.take_over(predecessor.latency)
        self.load_reports.take_over(predecessor.load_reports)
        self.success.take_over(predecessor.success)
        self.idle_connections.import_state(predecessor.idle_connections.export_state())
