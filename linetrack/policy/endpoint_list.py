"""The listed endpoints: who is listed, draining, unlisted or removed; and the subscription to the list.

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

POLL_TOKEN = "ask"  # of the timer after which to subscribe
START_SPACING = 10_000  # time between first polls, over all instances that start together
MIN_POLL_BACKOFF = 1 * SECOND  # doubles up to half of the poll interval
MIN_LISTED_CAPACITY = 1e-6
MAX_LISTED_CAPACITY = 1e9
MAX_UNLISTED = 2_048  # records kept of endpoints that are no longer listed, where removal is advisory


class EndpointList:
    """Keeps the records of all listed endpoints, in the order in which they were listed."""

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
        """Change `endpoints`, by name, which others read; append to `actions` what is to be done."""
        self._settings = settings
        self._endpoints = endpoints
        self._random = random
        self._models = models
        self._outlier_detector = outlier_detector
        self._slow_start = slow_start
        self._actions = actions
        self._routable: list[list[Endpoint]] = []  # of the own zone and of the others; empty: to be made anew
        self._poll_backoff = MIN_POLL_BACKOFF
        self._is_subscribed = False

    def all(self) -> list[Endpoint]:
        """Return every listed endpoint, in list order."""
        return list(self._endpoints.values())

    def routable(self, is_other_zones: bool) -> list[Endpoint]:
        """Return those of the own zone, or of the others, that neither drain nor are removed.

        The list itself is returned, as this is asked for each request; it must not be changed.
        """
        if not self._routable:
            routable = [endpoint for endpoint in self._endpoints.values() if endpoint.is_routable]
            home = [endpoint for endpoint in routable if endpoint.zone == self._settings.zone]
            away = [endpoint for endpoint in routable if endpoint.zone != self._settings.zone]
            self._routable = [home, away]
        return self._routable[is_other_zones]

    def poll(self) -> None:
        """Subscribe, or poll once more."""
        self._actions.append(WatchEndpoints(True))

    def handle_rejection(self) -> None:
        """Subscribe again after a backoff with jitter, where that is needed; the known list stands."""
        if self._settings.must_subscribe:
            delay = int(self._poll_backoff * (0.5 + self._random.random()))
            self._actions.append(SetTimer(delay, POLL_TOKEN))
            longest = max(MIN_POLL_BACKOFF, self._settings.poll_interval // 2)
            self._poll_backoff = min(2 * self._poll_backoff, longest)

    def update(self, now: int, event: EndpointListUpdate) -> None:
        """Take in a list, or what has changed in it."""
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
            # attempts in flight keep the record of theirs
            self._endpoints.pop(name).is_routable = False
        if removed:
            self._forget_groups()
        if self._settings.must_subscribe and not self._is_subscribed:
            self._subscribe()

    def remove_lost(self, endpoint: Endpoint) -> None:
        """Forget an endpoint that was no longer listed and has failed its trials."""
        self._endpoints.pop(endpoint.name, None)
        self._routable = []

    def take_over(self, now: int, predecessor: EndpointList) -> bool:
        """Go on with the endpoints of an instance under other settings; return whether some were removed.

        Where removal was advisory and is no longer, what discovery has removed is removed now.
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
            # one that drains, is left out and comes back still drains: only a later start is another process
            is_removed = not endpoint.is_routable
        endpoint.is_routable = not is_removed and entry.status is not EndpointStatus.DRAINING
        endpoint.is_unlisted = False
        self._slow_start.track(now, endpoint)
        # a capacity that is no positive number, or beyond all others, says nothing
        is_plausible = MIN_LISTED_CAPACITY <= entry.capacity <= MAX_LISTED_CAPACITY
        endpoint.capacity = entry.capacity if is_plausible else 1.0
        endpoint.estimate_expires_at = 0
        if self._settings.capacity_varies_with_load:
            self._models.load_reports.record_listed_capacity(now, endpoint, endpoint.capacity)

    def _keep_unlisted(self, now: int, removed: set[str]) -> set[str]:
        """Keep endpoints that were removed, as the list may be wrong about it; return which to forget.

        They stay on trial if they did not drain: successes end the trial, failures the record.
        """
        newly_removed = [
            name for name, endpoint in self._endpoints.items() if name in removed and not endpoint.is_unlisted
        ]
        for name in newly_removed:
            # to the end of the list, so that the oldest are forgotten first
            endpoint = self._endpoints[name] = self._endpoints.pop(name)
            endpoint.is_unlisted = True
            self._outlier_detector.eject_unlisted(now, endpoint)
        unlisted = [name for name, endpoint in self._endpoints.items() if endpoint.is_unlisted]
        return set(unlisted[:-MAX_UNLISTED])

    def _forget_groups(self) -> None:
        """Forget what is known of zones and host classes that nothing in the list has any more."""
        zones = {endpoint.zone for endpoint in self._endpoints.values()}
        host_classes = {endpoint.host_class for endpoint in self._endpoints.values()}
        self._models.keep_only(zones, host_classes)

    def _subscribe(self) -> None:
        """Subscribe after a random delay: many instances that start together must not poll at one moment."""
        self._is_subscribed = True
        others = self._settings.instance_count - 1
        longest = min(self._settings.poll_interval // 2, others * START_SPACING)
        delay = int(self._random.random() * longest)
        self._actions.append(SetTimer(delay, POLL_TOKEN) if delay else WatchEndpoints(True))
