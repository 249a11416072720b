"""Which endpoints a request is sent to: two candidates drawn up front, then a rotation.

After "Load Balancing in FoundationDB", the load-balancing note of the FoundationDB project (its `loadBalance`
path with a `QueueModel`).  Two candidates are drawn before a request starts, at odds of one over their
penalty, none removed.  The first attempt goes to the first one.  The second is for a hedged attempt, if the
first is silent for long, or for the retry after it fails.  Further retries rotate through the rest.

Departures from the note, all listed in `docs/design/policy.md`: the first candidate is usually of the own
zone, and of another one only where the value gained exceeds the price of crossing.
"""

from __future__ import annotations

from bisect import bisect
from collections.abc import Collection
from itertools import accumulate
from random import Random

from linetrack.policy.admission import Admission
from linetrack.policy.decaying_average import DECAY_TIME
from linetrack.policy.endpoint import Endpoint
from linetrack.policy.endpoint_list import EndpointList
from linetrack.policy.endpoint_weights import EndpointWeights, WeightedEndpoints
from linetrack.policy.outlier_detection import OutlierDetector
from linetrack.policy.request import Request
from linetrack.policy.send_guard import EVERYWHERE, SendGuard
from linetrack.policy.settings import Settings
from linetrack.policy.slow_start import SlowStart

CROSS_ZONE_AVERSION = 20.0  # crossing multiplies a second candidate's penalty by 1 + its price x this
SPILLOVER_WIDTH = 0.1  # net value gained over the price of crossing at which all requests cross


class CandidateSelector:
    """Draws the candidates of a request and picks the endpoints of its retries."""

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
        """Draw from the endpoints of the list that the guard permits and that are not ejected."""
        self._settings = settings
        self._random = random
        self._endpoint_list = endpoint_list
        self._weights = weights
        self._outlier_detector = outlier_detector
        self._slow_start = slow_start
        self._admission = admission
        self._guard = guard

    def select_candidates(self, now: int, request: Request) -> None:
        """Draw both candidates; the request's net value is that of sending it to the first."""
        self._admission.assess(now, request)
        home = self._weighted(now, request, is_other_zones=False)
        away = self._weighted(now, request, is_other_zones=True)
        home_weights = self._weights.apply_preferences(now, request, home)
        away_weights = self._weights.apply_preferences(now, request, away)
        self._select_first(now, request, home, home_weights, away, away_weights)
        if request.net_value >= 0:  # else it is shed
            self._select_second(now, request, home, home_weights, away, away_weights)

    def refresh(self, now: int, endpoint: Endpoint, keep_others: bool) -> None:
        """Renew the cached weight of an endpoint after a send or response; drop the others unless kept."""
        self._weights.refresh(now, endpoint, keep_others)

    def next_endpoint(self, now: int, request: Request) -> Endpoint | None:
        """Return where the next retry or hedged attempt goes: the second candidate, then the rotation."""
        untried = {
            *self._available(now, request, is_other_zones=False, excluded=request.attempted),
            *self._available(now, request, is_other_zones=True, excluded=request.attempted),
        }
        if self._settings.retry_window:
            # the few retries that a limit leaves are not for more of what failed, but for what served lately
            served = {endpoint for endpoint in untried if endpoint.last_success_sent_at > now - DECAY_TIME}
            untried = served or untried
        if request.second_candidate in untried:
            return request.second_candidate
        return self._rotate(request, untried)

    def _select_first(
        self,
        now: int,
        request: Request,
        home: WeightedEndpoints,
        home_weights: list[float],
        away: WeightedEndpoints,
        away_weights: list[float],
    ) -> None:
        """Draw the first candidate in the own zone, or in another one where that gains enough."""
        home_draw = self.draw(now, home.endpoints, home_weights)
        away_draw = self.draw(now, away.endpoints, away_weights)
        net_values = self._admission.net_values(now, request, home)
        worthwhile = [
            weight if value >= 0 else 0.0 for weight, value in zip(home_weights, net_values, strict=True)
        ]
        if home_draw is not None and net_values[home_draw] < 0 and any(worthwhile):
            # one bad draw is no reason to shed the request
            home_draw = self.draw(now, home.endpoints, worthwhile)
        request.first_candidate = None
        request.second_candidate = None
        if home_draw is not None:
            request.first_candidate = home.endpoints[home_draw]
            request.net_value = net_values[home_draw]
        if away_draw is None:
            return
        endpoint = away.endpoints[away_draw]
        if self._slow_start.is_any_warming(now) and not self._guard.permits(
            now, request, EVERYWHERE, endpoint
        ):
            return
        value = self._net_value_of(now, request, away, away_draw)
        weighted_sum = sum(weight * each for weight, each in zip(worthwhile, net_values, strict=True))
        usual = weighted_sum / (sum(worthwhile) or 1.0)
        # graded at random, or all instances of a zone would leave it and come back together
        gain = value - self._settings.cross_zone_cost - usual
        if home_draw is None or gain > SPILLOVER_WIDTH * self._random.random():
            request.first_candidate = endpoint
            request.net_value = value

    def _select_second(
        self,
        now: int,
        request: Request,
        home: WeightedEndpoints,
        home_weights: list[float],
        away: WeightedEndpoints,
        away_weights: list[float],
    ) -> None:
        """Draw the second candidate from all endpoints but the first."""
        aversion = 1 + self._settings.cross_zone_cost * CROSS_ZONE_AVERSION
        endpoints = home.endpoints + away.endpoints
        weights = home_weights + [weight / aversion for weight in away_weights]
        if request.first_candidate is not None:
            index = endpoints.index(request.first_candidate)
            del endpoints[index]
            del weights[index]
        draw = self.draw(now, endpoints, weights)
        request.second_candidate = endpoints[draw] if draw is not None else None

    def _net_value_of(self, now: int, request: Request, weighted: WeightedEndpoints, index: int) -> float:
        one = WeightedEndpoints(
            [weighted.endpoints[index]],
            [weighted.latencies[index]],
            [weighted.success_probabilities[index]],
            [],
        )
        return self._admission.net_values(now, request, one)[0]

    def draw(self, now: int, endpoints: list[Endpoint], weights: list[float]) -> int | None:
        """Return the index of one drawn at these odds, which are clipped for endpoints that warm up.

        Returns None if there is none to draw, or if the draw falls on nobody's share.
        """
        if self._slow_start.is_any_warming(now):
            weights = self._slow_start.clip_weights(now, endpoints, weights)
        ends = list(accumulate(weights))
        if not endpoints or ends[-1] <= 0:
            return None
        index = bisect(ends, self._random.random() * ends[-1], 0, len(ends) - 1)
        return index if index < len(endpoints) else None

    def _weighted(self, now: int, request: Request, is_other_zones: bool) -> WeightedEndpoints:
        """Return the available endpoints of the own zone, or of the others, with their weights.

        Those of the other zones are cached; the guard is asked again about the one that is drawn.
        """
        can_cache = (
            is_other_zones and self._weights.is_caching and self._guard.scope(now, request) is EVERYWHERE
        )
        if can_cache and (cached := self._weights.cached(now, request.class_index)):
            return cached
        endpoints = self._available(now, request, is_other_zones)
        weighted = self._weights.weigh(now, endpoints, request.class_index)
        if can_cache:
            self._weights.cache(now, request.class_index, weighted)
        return weighted

    def _available(
        self, now: int, request: Request, is_other_zones: bool, excluded: Collection[Endpoint] = ()
    ) -> list[Endpoint]:
        """Return the endpoints of the own zone, or of the others, that the request's next attempt may go to.

        A zone is never given up completely: if all its endpoints are ejected, those with a connection are
        used, and those without as well unless another zone can be reached.
        """
        scope = self._guard.scope(now, request)
        if scope is None:
            return []
        permitted = self._endpoint_list.routable(is_other_zones)
        if scope is not EVERYWHERE:
            permitted = [each for each in permitted if self._guard.permits(now, request, scope, each)]
        elif self._slow_start.is_any_warming(now):
            # one that is warm needs no check in full where nothing binds the attempt
            permitted = [
                each
                for each in permitted
                if (now >= each.warm_at and each.is_routable)
                or self._guard.permits(now, request, scope, each)
            ]
        if excluded:
            permitted = [each for each in permitted if each not in excluded]
        admitting = [
            each
            for each in permitted
            if not each.ejections or self._outlier_detector.admits(now, each, request)
        ]
        if admitting:
            return admitting
        if reachable := [each for each in permitted if each.connected_until >= now]:
            return reachable
        is_elsewhere_reachable = scope is EVERYWHERE and any(
            each.connected_until >= now for each in self._endpoint_list.routable(not is_other_zones)
        )
        return [] if is_elsewhere_reachable else permitted

    def _rotate(self, request: Request, untried: Collection[Endpoint]) -> Endpoint | None:
        """Return the next of these in list order after the last one attempted, own zone first."""
        order = self._endpoint_list.all()
        start = 0
        if request.attempted and request.attempted[-1] in order:
            start = order.index(request.attempted[-1])
        turn = [endpoint for endpoint in order[start:] + order[:start] if endpoint in untried]
        home = next((endpoint for endpoint in turn if endpoint.zone == self._settings.zone), None)
        return home or (turn[0] if turn else None)
