"""The endpoint list: which endpoints are listed, draining, unlisted or removed; and its subscription.

All times are integer microseconds.
"""

from __future__ import annotations

from random import Random

from linetrack.policy.actions import Action, SetTimer, WatchEndpoints
from linetrack.policy.endpoint import Endpoint
from linetrack.policy.events import EndpointEntry, EndpointListUpdate, EndpointStatus, ListForm
from linetrack.policy.models import Models
from linetrack.policy.outlier_detection import OutlierDetector
from linetrack.policy.settings import Settings
from linetrack.policy.slow_start import SlowStart
from linetrack.policy.time_units import SECOND

POLL_TOKEN = "ask"  # token of the timer after which to subscribe
FIRST_POLL_SPACING_US = 10_000  # mean time between the first polls of instances that start together
MIN_POLL_BACKOFF = 1 * SECOND  # doubles with each rejection, up to half of the poll interval
MIN_LISTED_CAPACITY = 1e-6
MAX_LISTED_CAPACITY = 1e9
# Maximum number of records kept for endpoints that are no longer listed, where removal is advisory.
MAX_UNLISTED_ENDPOINTS = 2_048


class EndpointList:
    """Maintains the records of all listed endpoints, in list order."""

    def __init__(
        self,
        settings: Settings,
        endpoints: dict[str, Endpoint],
        random: Random,
        models: Models,
        outlier_detector: OutlierDetector,
        slow_start: SlowStart,
        actions: list[Action],
    ) -> None:
        """Initialize with the shared records and the components to update.

        `endpoints`, by name, is modified here and read by other components; resulting actions are appended to
        `actions`.
        """
        self._settings = settings
        self._endpoints = endpoints
        self._random = random
        self._models = models
        self._outlier_detector = outlier_detector
        self._slow_start = slow_start
        self._actions = actions
        self._routable: list[list[Endpoint]] = []  # own zone, other zones; empty if outdated
        self._poll_backoff = MIN_POLL_BACKOFF
        self._is_subscribed = False

    def all(self) -> list[Endpoint]:
        """Return every listed endpoint, in list order."""
        return list(self._endpoints.values())

    def routable(self, in_other_zones: bool) -> list[Endpoint]:
        """Return the endpoints of the own zone, or of the other zones, that are neither draining nor removed.

        The internal list is returned without a copy, as this runs for every request; callers must not modify
        it.
        """
        if not self._routable:
            routable = [endpoint for endpoint in self._endpoints.values() if endpoint.is_routable]
            own_zone = [endpoint for endpoint in routable if endpoint.zone == self._settings.zone]
            other_zones = [endpoint for endpoint in routable if endpoint.zone != self._settings.zone]
            self._routable = [own_zone, other_zones]
        return self._routable[in_other_zones]

    def poll(self) -> None:
        """Subscribe to the endpoint list, or poll it again."""
        self._actions.append(WatchEndpoints(True))

    def handle_rejection(self) -> None:
        """Subscribe again after a backoff with jitter, if subscribing is required; keep the known list."""
        if self._settings.must_subscribe:
            delay = int(self._poll_backoff * (0.5 + self._random.random()))
            self._actions.append(SetTimer(delay, POLL_TOKEN))
            max_backoff = max(MIN_POLL_BACKOFF, self._settings.poll_interval // 2)
            self._poll_backoff = min(2 * self._poll_backoff, max_backoff)

    def update(self, now: int, event: EndpointListUpdate) -> None:
        """Apply a full list, or a delta."""
        self._poll_backoff = MIN_POLL_BACKOFF
        self._routable = []
        for entry in event.entries:
            self._update_endpoint(now, entry)
        removed = {entry.endpoint for entry in event.entries if entry.status is EndpointStatus.REMOVED}
        if event.form is not ListForm.DELTA:
            removed |= self._endpoints.keys() - {entry.endpoint for entry in event.entries}
        if self._settings.removal_is_advisory:
            removed = self._keep_unlisted(now, removed)
        for name in removed:
            # attempts in flight keep a reference to the record
            self._endpoints.pop(name).is_routable = False
        if removed:
            self._forget_groups()
        if self._settings.must_subscribe and not self._is_subscribed:
            self._subscribe()

    def forget_unlisted(self, endpoint: Endpoint) -> None:
        """Remove the record of an unlisted endpoint that has failed its trials."""
        self._endpoints.pop(endpoint.name, None)
        self._routable = []

    def take_over(self, now: int, predecessor: EndpointList) -> bool:
        """Take over the endpoints of an instance under other settings; return whether any were removed.

        If removal was advisory before and now is not, the unlisted endpoints are removed.
        """
        self._is_subscribed = predecessor._is_subscribed
        is_any_removed = False
        for endpoint in self.all():
            if endpoint.is_unlisted and not self._settings.removal_is_advisory:
                self._endpoints.pop(endpoint.name).is_routable = False
                predecessor._routable = []
                is_any_removed = True
            endpoint.forget_classes_and_load()
            self._slow_start.track(now, endpoint)
        return is_any_removed

    def _update_endpoint(self, now: int, entry: EndpointEntry) -> None:
        endpoint = self._endpoints.get(entry.endpoint)
        is_removed = entry.status is EndpointStatus.REMOVED and not self._settings.removal_is_advisory
        if endpoint is None:
            endpoint = self._endpoints[entry.endpoint] = Endpoint(entry)
        elif entry.started_at > endpoint.started_at:
            endpoint.reset(entry)
        elif self._settings.removal_is_advisory:
            # an endpoint that drained and was unlisted is still draining: only a later start is a new process
            is_removed = not endpoint.is_routable
        endpoint.is_routable = not is_removed and entry.status is not EndpointStatus.DRAINING
        endpoint.is_unlisted = False
        self._slow_start.track(now, endpoint)
        # ignore a capacity that is not a number or out of range
        is_plausible = MIN_LISTED_CAPACITY <= entry.capacity <= MAX_LISTED_CAPACITY
        endpoint.capacity = entry.capacity if is_plausible else 1.0
        endpoint.estimate_expires_at = 0
        if self._settings.capacity_varies_with_load:
            self._models.load_reports.record_listed_capacity(now, endpoint, endpoint.capacity)

    def _keep_unlisted(self, now: int, removed: set[str]) -> set[str]:
        """Keep removed endpoints as unlisted, as the list may be wrong; return those to remove anyway.

        Unlisted endpoints that did not drain are on trial: a success ends the trial, repeated failures remove
        the record.
        """
        newly_removed = [
            name for name, endpoint in self._endpoints.items() if name in removed and not endpoint.is_unlisted
        ]
        for name in newly_removed:
            # move it to the end of the list, so that the oldest unlisted ones are removed first
            endpoint = self._endpoints[name] = self._endpoints.pop(name)
            endpoint.is_unlisted = True
            self._outlier_detector.eject_unlisted(now, endpoint)
        unlisted = [name for name, endpoint in self._endpoints.items() if endpoint.is_unlisted]
        return set(unlisted[:-MAX_UNLISTED_ENDPOINTS])

    def _forget_groups(self) -> None:
        """Drop what the models hold for zones and host classes that no listed endpoint has."""
        zones = {endpoint.zone for endpoint in self._endpoints.values()}
        host_classes = {endpoint.host_class for endpoint in self._endpoints.values()}
        self._models.keep_only(zones, host_classes)

    def _subscribe(self) -> None:
        """Subscribe after a random delay, so that instances that start together do not poll at once."""
        self._is_subscribed = True
        other_instances = self._settings.instance_count - 1
        max_delay = min(self._settings.poll_interval // 2, other_instances * FIRST_POLL_SPACING_US)
        delay = int(self._random.random() * max_delay)
        self._actions.append(SetTimer(delay, POLL_TOKEN) if delay else WatchEndpoints(True))
