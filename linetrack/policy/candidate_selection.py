"""Selects the endpoints of a request: two candidates drawn at random up front, then a rotation.

This follows "Load Balancing in FoundationDB", the load-balancing note of the FoundationDB project (its
`loadBalance` path with a `QueueModel`).  Two candidates are drawn before a request starts, each endpoint with
odds of 1 / penalty; no endpoint is excluded.  The first attempt goes to the first candidate.  The second one
is for a hedged attempt, if the first does not respond for long, or for the retry after it fails.  Further
retries rotate through the remaining endpoints.

Departures from the note are all listed in `docs/design/policy.md`: the first candidate is usually in the own
zone, and in another zone only where the value gained exceeds the cost of crossing.
"""

from __future__ import annotations

from bisect import bisect
from collections.abc import Collection
from itertools import accumulate
from random import Random

from linetrack.policy.admission import Admission
from linetrack.policy.decaying_average import OBSERVATION_DECAY_TIME
from linetrack.policy.endpoint import Endpoint
from linetrack.policy.endpoint_list import EndpointList
from linetrack.policy.endpoint_weights import EndpointWeights, WeightedEndpoints
from linetrack.policy.outlier_detection import OutlierDetector
from linetrack.policy.request import Request
from linetrack.policy.send_guard import EVERYWHERE, SendGuard
from linetrack.policy.settings import Settings
from linetrack.policy.slow_start import SlowStart

# The penalty of a second candidate in another zone is multiplied by 1 + cross-zone cost x this.
CROSS_ZONE_PENALTY_FACTOR = 20.0

# Net value gained, beyond the cross-zone cost, from which all requests go to the other zone.  Below it, the
# share of requests that cross is proportional to the gain.
FULL_SPILLOVER_GAIN = 0.1


class CandidateSelector:
    """Draws the candidates of a request and selects the endpoints of its retries."""

    def __init__(
        self,
        settings: Settings,
        random: Random,
        endpoint_list: EndpointList,
        weights: EndpointWeights,
        outlier_detector: OutlierDetector,
        slow_start: SlowStart,
        admission: Admission,
        guard: SendGuard,
    ) -> None:
        """Initialize with the components that provide, weigh and exclude endpoints."""
        self._settings = settings
        self._random = random
        self._endpoint_list = endpoint_list
        self._weights = weights
        self._outlier_detector = outlier_detector
        self._slow_start = slow_start
        self._admission = admission
        self._guard = guard

    def select_candidates(self, now: int, request: Request) -> None:
        """Draw both candidates and set the request's net value, which is that of the first candidate."""
        self._admission.assess(now, request)
        own_zone = self._weighted(now, request, in_other_zones=False)
        other_zones = self._weighted(now, request, in_other_zones=True)
        own_zone_weights = self._weights.apply_preferences(now, request, own_zone)
        other_zones_weights = self._weights.apply_preferences(now, request, other_zones)
        self._select_first(now, request, own_zone, own_zone_weights, other_zones, other_zones_weights)
        if request.net_value >= 0:  # it is shed otherwise
            self._select_second(now, request, own_zone, own_zone_weights, other_zones, other_zones_weights)

    def refresh(self, now: int, endpoint: Endpoint, keep_others: bool) -> None:
        """Update an endpoint's cached weight after a send or response; drop the others unless kept."""
        self._weights.refresh(now, endpoint, keep_others)

    def next_endpoint(self, now: int, request: Request) -> Endpoint | None:
        """Return the endpoint for the next retry or hedge: the second candidate, then the rotation."""
        untried = {
            *self._available(now, request, in_other_zones=False, excluded=request.attempted),
            *self._available(now, request, in_other_zones=True, excluded=request.attempted),
        }
        if self._settings.retry_window:
            # the limit leaves few retries, so prefer endpoints that served requests recently
            recently_served = {
                endpoint
                for endpoint in untried
                if endpoint.last_success_sent_at > now - OBSERVATION_DECAY_TIME
            }
            untried = recently_served or untried
        if request.second_candidate in untried:
            return request.second_candidate
        return self._next_in_rotation(request, untried)

    def _select_first(
        self,
        now: int,
        request: Request,
        own_zone: WeightedEndpoints,
        own_zone_weights: list[float],
        other_zones: WeightedEndpoints,
        other_zones_weights: list[float],
    ) -> None:
        """Draw the first candidate from the own zone, or from another one if the gain is large enough."""
        own_zone_index = self.draw(now, own_zone.endpoints, own_zone_weights)
        other_zones_index = self.draw(now, other_zones.endpoints, other_zones_weights)
        net_values = self._admission.net_values(now, request, own_zone)
        worthwhile_weights = [
            weight if value >= 0 else 0.0 for weight, value in zip(own_zone_weights, net_values, strict=True)
        ]
        if own_zone_index is not None and net_values[own_zone_index] < 0 and any(worthwhile_weights):
            # do not shed the request for one bad draw: draw again among the worthwhile endpoints
            own_zone_index = self.draw(now, own_zone.endpoints, worthwhile_weights)
        request.first_candidate = None
        request.second_candidate = None
        if own_zone_index is not None:
            request.first_candidate = own_zone.endpoints[own_zone_index]
            request.net_value = net_values[own_zone_index]
        if other_zones_index is None:
            return
        endpoint = other_zones.endpoints[other_zones_index]
        if self._slow_start.is_any_warming(now) and not self._guard.permits(
            now, request, EVERYWHERE, endpoint
        ):
            return
        value = self._net_value_of(now, request, other_zones, other_zones_index)
        weighted_sum = sum(weight * each for weight, each in zip(worthwhile_weights, net_values, strict=True))
        own_zone_value = weighted_sum / (sum(worthwhile_weights) or 1.0)
        # the threshold is random, so that the instances of a zone do not all leave it and return together
        gain = value - self._settings.cross_zone_cost - own_zone_value
        if own_zone_index is None or gain > FULL_SPILLOVER_GAIN * self._random.random():
            request.first_candidate = endpoint
            request.net_value = value

    def _select_second(
        self,
        now: int,
        request: Request,
        own_zone: WeightedEndpoints,
        own_zone_weights: list[float],
        other_zones: WeightedEndpoints,
        other_zones_weights: list[float],
    ) -> None:
        """Draw the second candidate from all endpoints except the first candidate."""
        penalty_factor = 1 + self._settings.cross_zone_cost * CROSS_ZONE_PENALTY_FACTOR
        endpoints = own_zone.endpoints + other_zones.endpoints
        weights = own_zone_weights + [weight / penalty_factor for weight in other_zones_weights]
        if request.first_candidate is not None:
            index = endpoints.index(request.first_candidate)
            del endpoints[index]
            del weights[index]
        draw = self.draw(now, endpoints, weights)
        request.second_candidate = endpoints[draw] if draw is not None else None

    def _net_value_of(self, now: int, request: Request, weighted: WeightedEndpoints, index: int) -> float:
        single = WeightedEndpoints(
            [weighted.endpoints[index]],
            [weighted.latencies[index]],
            [weighted.success_probabilities[index]],
            [],
        )
        return self._admission.net_values(now, request, single)[0]

    def draw(self, now: int, endpoints: list[Endpoint], weights: list[float]) -> int | None:
        """Return the index of an endpoint drawn at these odds, which are clipped for warming endpoints.

        Returns None if there is no endpoint to draw, or if the draw falls on the share that clipping leaves
        unassigned.
        """
        if self._slow_start.is_any_warming(now):
            weights = self._slow_start.clip_weights(now, endpoints, weights)
        cumulative_weights = list(accumulate(weights))
        if not endpoints or cumulative_weights[-1] <= 0:
            return None
        index = bisect(
            cumulative_weights, self._random.random() * cumulative_weights[-1], 0, len(cumulative_weights) - 1
        )
        return index if index < len(endpoints) else None

    def _weighted(self, now: int, request: Request, in_other_zones: bool) -> WeightedEndpoints:
        """Return the available endpoints of the own zone, or of the other zones, with their weights.

        The weights of the other zones are cached, so the guard must check again the endpoint that is drawn.
        """
        can_cache = (
            in_other_zones and self._weights.is_caching and self._guard.scope(now, request) is EVERYWHERE
        )
        if can_cache and (cached := self._weights.cached(now, request.class_index)):
            return cached
        endpoints = self._available(now, request, in_other_zones)
        weighted = self._weights.weigh(now, endpoints, request.class_index)
        if can_cache:
            self._weights.cache(now, request.class_index, weighted)
        return weighted

    def _available(
        self, now: int, request: Request, in_other_zones: bool, excluded: Collection[Endpoint] = ()
    ) -> list[Endpoint]:
        """Return the endpoints of the own zone, or of the other zones, that the next attempt may go to.

        If all of them are ejected, those with an open connection are used.  If there are none, all are used,
        unless an endpoint on the other side (own zone or other zones) is reachable.
        """
        scope = self._guard.scope(now, request)
        if scope is None:
            return []
        permitted = self._endpoint_list.routable(in_other_zones)
        if scope is not EVERYWHERE:
            permitted = [
                endpoint for endpoint in permitted if self._guard.permits(now, request, scope, endpoint)
            ]
        elif self._slow_start.is_any_warming(now):
            # in this scope, the guard's checks of a warm endpoint reduce to whether it is routable
            permitted = [
                endpoint
                for endpoint in permitted
                if (now >= endpoint.warm_at and endpoint.is_routable)
                or self._guard.permits(now, request, scope, endpoint)
            ]
        if excluded:
            permitted = [endpoint for endpoint in permitted if endpoint not in excluded]
        admitting = [
            endpoint
            for endpoint in permitted
            if not endpoint.ejections or self._outlier_detector.admits(now, endpoint, request)
        ]
        if admitting:
            return admitting
        if reachable := [endpoint for endpoint in permitted if endpoint.connected_until >= now]:
            return reachable
        is_other_side_reachable = scope is EVERYWHERE and any(
            endpoint.connected_until >= now for endpoint in self._endpoint_list.routable(not in_other_zones)
        )
        return [] if is_other_side_reachable else permitted

    def _next_in_rotation(self, request: Request, untried: Collection[Endpoint]) -> Endpoint | None:
        """Return the next untried endpoint in list order after the last one attempted, own zone first."""
        listed = self._endpoint_list.all()
        start = 0
        if request.attempted and request.attempted[-1] in listed:
            start = listed.index(request.attempted[-1])
        rotation = [endpoint for endpoint in listed[start:] + listed[:start] if endpoint in untried]
        in_own_zone = next((endpoint for endpoint in rotation if endpoint.zone == self._settings.zone), None)
        return in_own_zone or (rotation[0] if rotation else None)
