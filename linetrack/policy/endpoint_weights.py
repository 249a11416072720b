"""Computes selection weights: the odds at which endpoints are drawn, which are 1 / penalty.

The penalty of an endpoint is the ratio of its expected latency to the mean, raised to a power, with errors
counted as load.  No weight is zero.
"""

from __future__ import annotations

import zlib
from typing import NamedTuple

from linetrack.policy.endpoint import ESTIMATE_LIFETIME, Endpoint
from linetrack.policy.latency_model import PENALTY_EXPONENT
from linetrack.policy.models import Models
from linetrack.policy.request import Request
from linetrack.policy.settings import Settings

# A success probability p multiplies an endpoint's weight by p ** ERROR_EXPONENT.
ERROR_EXPONENT = 4.0

# The weight of the n-th endpoint in the order of an affinity key is divided by n ** AFFINITY_EXPONENT.
AFFINITY_EXPONENT = 2.0

# Where a connection carries many requests, each instance prefers about PREFERRED_ENDPOINT_COUNT endpoints.
# The weight of the n-th endpoint in its order is divided by 1 + (n / PREFERRED_ENDPOINT_COUNT) **
# PREFERENCE_EXPONENT while there is no connection to it.
PREFERRED_ENDPOINT_COUNT = 5.0
PREFERENCE_EXPONENT = 6.0

# Maps instance numbers to hashes that differ in many bits.
INSTANCE_HASH_MULTIPLIER = 0x85EBCA6B


class WeightedEndpoints(NamedTuple):
    """Endpoints and their estimates, in parallel lists."""

    endpoints: list[Endpoint]
    latencies: list[float]  # expected latency of a mean request
    success_probabilities: list[float]
    weights: list[float]


class EndpointWeights:
    """Computes the weights of endpoints, and caches those of other zones by request class."""

    def __init__(self, settings: Settings, models: Models) -> None:
        """Initialize with an empty cache; `models` provide latencies and success probabilities."""
        self._settings = settings
        self._latency_model = models.latency
        self._success_model = models.success
        self._is_caching = True
        self._cache: dict[int, WeightedEndpoints] = {}
        self._cache_expires_at: dict[int, int] = {}

    def weigh(self, now: int, endpoints: list[Endpoint], class_index: int) -> WeightedEndpoints:
        """Return the endpoints with their weights for a request of the class.

        This is one loop with helper calls only for what few endpoints need: it runs over every endpoint for
        every request and takes most of the time.
        """
        baseline = self._latency_model.baseline_latency()
        is_multiplexed = self._settings.max_streams_per_connection > 1
        latencies = []
        probabilities = []
        weights = []
        zone = -1
        for endpoint in endpoints:
            if endpoint.zone != zone:
                zone = endpoint.zone
                zone_latency = self._latency_model.zone_latency(now, zone)
                acceptance = self._success_model.zone_acceptance(now, zone)
                zone_weight = (zone_latency / baseline) ** -PENALTY_EXPONENT
                if acceptance < 1:
                    zone_weight *= acceptance**ERROR_EXPONENT
            latency = loaded_latency = zone_latency * endpoint.loaded_factor
            probability = acceptance
            if endpoint.in_flight or now >= endpoint.estimate_expires_at:
                latency = self._latency_model.expected_latency(now, endpoint)
                loaded_latency = zone_latency * endpoint.loaded_factor
            weight = zone_weight * endpoint.selection_weight
            if latency > loaded_latency:
                weight *= (latency / loaded_latency) ** -PENALTY_EXPONENT
            if is_multiplexed or endpoint.error_ratio:
                # count errors as load, as an endpoint that fails fast looks idle
                probability = self._success_model.success_probability(now, endpoint, class_index)
                weight *= (probability / acceptance) ** ERROR_EXPONENT
            latencies.append(latency)
            probabilities.append(probability)
            weights.append(weight)
        return WeightedEndpoints(endpoints, latencies, probabilities, weights)

    def apply_preferences(self, now: int, request: Request, weighted: WeightedEndpoints) -> list[float]:
        """Return the weights adjusted by the preferences of this instance and the request's affinity key.

        Each instance prefers a few endpoints of its own for new connections, as connections from every
        instance to every endpoint would cost capacity and work.  A key prefers the same endpoints at all
        instances, as an endpoint that served the key recently serves it with less work.  No weight is zero.
        """
        weights = weighted.weights
        if self._settings.max_streams_per_connection > 1:
            weights = self._prefer_connected(now, weighted)
        if self._settings.has_affinity_keys and request.received.affinity_key:
            key_hash = zlib.crc32(request.received.affinity_key.encode())
            weights = [
                weight * endpoint.rendezvous_rank(key_hash) ** -AFFINITY_EXPONENT
                for weight, endpoint in zip(weights, weighted.endpoints, strict=True)
            ]
        return weights

    def _prefer_connected(self, now: int, weighted: WeightedEndpoints) -> list[float]:
        weights = weighted.weights.copy()
        instance_hash = self._settings.instance * INSTANCE_HASH_MULTIPLIER
        count = len(weighted.endpoints)
        for index, endpoint in enumerate(weighted.endpoints):
            if endpoint.connected_until < now:
                position = endpoint.rendezvous_rank(instance_hash) * count / PREFERRED_ENDPOINT_COUNT
                weights[index] = weights[index] / (1 + position**PREFERENCE_EXPONENT)
        return weights

    @property
    def is_caching(self) -> bool:
        """Return whether weights may be cached."""
        return self._is_caching

    def cached(self, now: int, class_index: int) -> WeightedEndpoints | None:
        """Return the cached weights of the endpoints in other zones, or None if they have expired."""
        is_fresh = now < self._cache_expires_at.get(class_index, 0)
        return self._cache.get(class_index) if is_fresh else None

    def cache(self, now: int, class_index: int, weighted: WeightedEndpoints) -> None:
        """Cache the weights of the endpoints in other zones for `ESTIMATE_LIFETIME`."""
        self._cache[class_index] = weighted
        self._cache_expires_at[class_index] = now + ESTIMATE_LIFETIME

    def refresh(self, now: int, endpoint: Endpoint, keep_others: bool) -> None:
        """Update an endpoint's cached weight after a send or response; drop the others unless kept."""
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
        """Clear the cache after a change of the endpoint list."""
        self._cache.clear()
        self._cache_expires_at.clear()

    def stop_caching(self) -> None:
        """Stop caching, as this instance no longer receives list updates."""
        self._is_caching = False
