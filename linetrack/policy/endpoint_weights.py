"""Selection weights: the odds at which endpoints are drawn, one over their penalty.

The penalty of an endpoint is the ratio of its expected latency to the mean, raised to a power, with errors
counted as load.  No endpoint's odds are zero.
"""

from __future__ import annotations

import zlib
from typing import NamedTuple

from linetrack.policy.endpoint import ESTIMATE_LIFETIME, Endpoint
from linetrack.policy.latency_model import SHARPNESS
from linetrack.policy.models import Models
from linetrack.policy.request import Request
from linetrack.policy.settings import Settings

ERROR_EXPONENT = 4.0  # a success probability p weighs an endpoint's odds by p ** this
AFFINITY_EXPONENT = 2.0  # the odds of the n-th endpoint in an affinity key's order are divided by n ** this
PREFERRED_COUNT = 5.0  # endpoints that an instance keeps to where a connection carries many requests
PREFERENCE_EXPONENT = 6.0  # unconnected, the n-th has its odds divided by 1 + (n / PREFERRED_COUNT) ** this
INSTANCE_HASH_MULTIPLIER = 0x85EBCA6B  # makes marks of instance numbers that differ in many bits


class WeightedEndpoints(NamedTuple):
    """Endpoints with what is known of each, in lists of the same order."""

    endpoints: list[Endpoint]
    latencies: list[float]  # expected for a mean request
    success_probabilities: list[float]
    weights: list[float]


class EndpointWeights:
    """Works weights out; those of the other zones' endpoints are cached, by request class."""

    def __init__(self, settings: Settings, models: Models) -> None:
        """Weigh by these models."""
        self._settings = settings
        self._latency_model = models.latency
        self._success_model = models.success
        self._is_caching = True
        self._cache: dict[int, WeightedEndpoints] = {}
        self._cache_expires_at: dict[int, int] = {}

    def weigh(self, now: int, endpoints: list[Endpoint], class_index: int) -> WeightedEndpoints:
        """Return the endpoints with the weights for a request of the class.

        One loop with nothing moved out of it but what few endpoints need: it runs over every endpoint for
        every request and is most of the work.
        """
        baseline = self._latency_model.baseline_latency()
        has_few_connections = self._settings.max_streams_per_connection > 1
        latencies = []
        probabilities = []
        weights = []
        zone = -1
        for endpoint in endpoints:
            if endpoint.zone != zone:
                zone = endpoint.zone
                zone_latency = self._latency_model.zone_latency(now, zone)
                acceptance = self._success_model.zone_acceptance(now, zone)
                zone_weight = (zone_latency / baseline) ** -SHARPNESS
                if acceptance < 1:
                    zone_weight *= acceptance**ERROR_EXPONENT
            latency = loaded_latency = zone_latency * endpoint.loaded_factor
            probability = acceptance
            if endpoint.in_flight or now >= endpoint.estimate_expires_at:
                latency = self._latency_model.expected_latency(now, endpoint)
                loaded_latency = zone_latency * endpoint.loaded_factor
            weight = zone_weight * endpoint.selection_weight
            if latency > loaded_latency:
                weight *= (latency / loaded_latency) ** -SHARPNESS
            if has_few_connections or endpoint.error_ratio:
                # an endpoint that fails fast looks idle, so errors count as load
                probability = self._success_model.success_probability(now, endpoint, class_index)
                weight *= (probability / acceptance) ** ERROR_EXPONENT
            latencies.append(latency)
            probabilities.append(probability)
            weights.append(weight)
        return WeightedEndpoints(endpoints, latencies, probabilities, weights)

    def apply_preferences(self, now: int, request: Request, weighted: WeightedEndpoints) -> list[float]:
        """Return the weights with this instance's preferences and those of the request's key, none zero.

        An instance prefers some endpoints to open connections to, each instance others: a connection from
        each instance to each endpoint would cost capacity and work.  A key prefers the same endpoints at all
        instances, as what served it lately serves it with less work.
        """
        weights = weighted.weights
        if self._settings.max_streams_per_connection > 1:
            weights = self._prefer_few_connections(now, weighted)
        if self._settings.has_affinity_keys and request.received.affinity_key:
            mark = zlib.crc32(request.received.affinity_key.encode())
            weights = [
                weight * endpoint.rendezvous_rank(mark) ** -AFFINITY_EXPONENT
                for weight, endpoint in zip(weights, weighted.endpoints, strict=True)
            ]
        return weights

    def _prefer_few_connections(self, now: int, weighted: WeightedEndpoints) -> list[float]:
        weights = weighted.weights.copy()
        mark = self._settings.instance * INSTANCE_HASH_MULTIPLIER
        count = len(weighted.endpoints)
        for index, endpoint in enumerate(weighted.endpoints):
            if endpoint.connected_until < now:
                position = endpoint.rendezvous_rank(mark) * count / PREFERRED_COUNT
                weights[index] = weights[index] / (1 + position**PREFERENCE_EXPONENT)
        return weights

    @property
    def is_caching(self) -> bool:
        """Return whether weights may be cached at all."""
        return self._is_caching

    def cached(self, now: int, class_index: int) -> WeightedEndpoints | None:
        """Return the cached weights of the other zones' endpoints, while they are fresh."""
        is_fresh = now < self._cache_expires_at.get(class_index, 0)
        return self._cache.get(class_index) if is_fresh else None

    def cache(self, now: int, class_index: int, weighted: WeightedEndpoints) -> None:
        """Keep these weights of the other zones' endpoints for a while."""
        self._cache[class_index] = weighted
        self._cache_expires_at[class_index] = now + ESTIMATE_LIFETIME

    def refresh(self, now: int, endpoint: Endpoint, keep_others: bool) -> None:
        """Renew the cached weight of an endpoint after a send or response; drop the others unless kept."""
        if endpoint.zone == self._settings.zone:
            return
        is_known = all(endpoint in weighted.endpoints for weighted in self._cache.values())
        if not keep_others or endpoint.ejections or not is_known:
            self.clear_cache()
        for class_index, weighted in self._cache.items():
            index = weighted.endpoints.index(endpoint)
            renewed = self.weigh(now, [endpoint], class_index)
            weighted.latencies[index] = renewed.latencies[0]
            weighted.success_probabilities[index] = renewed.success_probabilities[0]
            weighted.weights[index] = renewed.weights[0]

    def clear_cache(self) -> None:
        """Forget the cached weights, as the list of endpoints has changed."""
        self._cache.clear()
        self._cache_expires_at.clear()

    def stop_caching(self) -> None:
        """Cache nothing any more, where list updates no longer come."""
        self._is_caching = False
