"""Groups the models that learn about endpoints, connections and request classes."""

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
    """The models of one instance.  Each model owns its state."""

    def __init__(self, settings: Settings, endpoints: Mapping[str, Endpoint]) -> None:
        """Initialize without learnt state; `endpoints` are the listed ones, by name."""
        self.classes = ClassStatistics(settings)
        self.load_reports = LoadReports(settings)
        self.latency = LatencyModel(settings, self.load_reports, self.classes)
        self.success = SuccessModel(settings, endpoints)
        self.idle_connections = IdleConnections()

    def start_event(self) -> None:
        """Clear the values cached for the previous event."""
        self.latency.start_event()
        self.success.start_event()

    def keep_only(self, zones: set[int], host_classes: set[int]) -> None:
        """Drop the state of zones and host classes that no listed endpoint has."""
        self.latency.keep_only(zones, host_classes)
        self.load_reports.keep_only(zones, host_classes)
        self.success.keep_only(zones)

    def take_over(self, predecessor: Models) -> None:
        """Take over what an instance under other settings learnt, except for classes and loads."""
        self.latency.take_over(predecessor.latency)
        self.load_reports.take_over(predecessor.load_reports)
        self.success.take_over(predecessor.success)
        self.idle_connections.import_state(predecessor.idle_connections.export_state())
