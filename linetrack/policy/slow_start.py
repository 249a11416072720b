"""Limits what all instances together send to a warming endpoint.

A newly started endpoint has only a fraction of its capacity, as in Envoy's slow start mode.  It fails if its
load exceeds a configured multiple of that capacity for a configured time, the overload window.  Half of the
requests that it can bear in such a window are divided among the instances, which do not see each other's
sends:

- An instance whose share is at least one send per window counts its sends.
- An instance whose share is less takes turns with the others: it may send once in several windows.
- Where turns would be too rare, sends are selected at random, with probabilities limited by send tokens.  The
  tokens accrue at the instance's share of a rate that leaves a margin for random variation.

All times are integer microseconds.
"""

from __future__ import annotations

import math
from collections.abc import Mapping

from linetrack.policy.endpoint import ESTIMATE_LIFETIME, Endpoint
from linetrack.policy.models import Models
from linetrack.policy.request import Request
from linetrack.policy.settings import Settings
from linetrack.policy.time_units import FOREVER
from linetrack.policy.traffic_share import TrafficShare

# Fraction of the bearable load that is used, as the work of requests is random and capacities are estimates.
SAFETY_FACTOR = 0.5

# Instances take turns if each gets a turn at least once in this number of windows; otherwise they use send
# tokens.
MAX_WINDOWS_PER_TURN = 4

# Standard deviations above the mean of random sends that must fit into the budget.
SEND_MARGIN_DEVIATIONS = 2.5

# Assumed latency of a request, as a multiple of the mean uncongested one.
SERVICE_TIME_RATIO = 1.5

# If the weights of warm endpoints sum to less than this share of the total, the sum is only a rounding error.
ROUNDING_ERROR = 1e-9


class SlowStart:
    """Controls how much this instance sends to warming endpoints."""

    def __init__(
        self,
        settings: Settings,
        endpoints: Mapping[str, Endpoint],
        models: Models,
    ) -> None:
        """Initialize with an even share of the traffic; `endpoints` are the listed ones, by name."""
        self._settings = settings
        self._has_overload_rule = bool(settings.overload_multiple and settings.overload_window)
        self._endpoints = endpoints
        self._latency_model = models.latency
        self._load_reports = models.load_reports
        self._traffic_share = TrafficShare(settings.instance_count)
        self._warming_until = 0  # time at which the last endpoint is warm

    def track(self, now: int, endpoint: Endpoint) -> None:
        """Set the time at which a listed endpoint is warm; without a listed start, it is warm already.

        Clocks differ: a start that is later than this instance's clock counts as now.
        """
        endpoint.warmup_started_at = min(now, endpoint.warmup_started_at)
        duration = self._settings.slow_start_duration
        warms_up = bool(duration and endpoint.started_at)
        endpoint.warm_at = endpoint.warmup_started_at + duration if warms_up else 0
        self._warming_until = max(self._warming_until, endpoint.warm_at)

    def assume_always_warming(self) -> None:
        """Always treat some endpoint as warming, as this instance no longer receives list updates."""
        self._warming_until = FOREVER

    def is_any_warming(self, now: int) -> bool:
        """Return whether any endpoint may still be warming up."""
        return now < self._warming_until

    def permits(self, now: int, request: Request, endpoint: Endpoint) -> bool:
        """Return whether the request's next attempt may go to this warming endpoint."""
        allowance = self._send_allowance(now, endpoint)
        if allowance == math.inf:
            return True
        if allowance * MAX_WINDOWS_PER_TURN < 1:
            # only by random selection, which keeps to the send tokens; rotation of retries skips the endpoint
            is_candidate = endpoint in (request.first_candidate, request.second_candidate)
            return is_candidate or not request.attempt_count
        window = self._settings.overload_window
        window_number = max(0, now - endpoint.started_at) // window
        if allowance < 1 and (window_number + self._settings.instance) % math.ceil(1 / allowance):
            return False
        endpoint.warmup_sends = [sent_at for sent_at in endpoint.warmup_sends if sent_at > now - window]
        return len(endpoint.warmup_sends) < max(1, int(allowance))

    def record_send(self, now: int, endpoint: Endpoint) -> None:
        """Record an attempt: in the endpoint's allowance while it warms up, in the own traffic otherwise."""
        if endpoint.warm_fraction_at(now, self._settings) < 1:
            endpoint.warmup_sends.append(now)
        else:
            self._traffic_share.record_send(now)

    def clip_weights(self, now: int, endpoints: list[Endpoint], weights: list[float]) -> list[float]:
        """Return the weights, with the shares of warming endpoints limited to their send tokens.

        This removes the tokens.  If no warm endpoint can take the remaining share, it is appended as a last
        weight that belongs to no endpoint.
        """
        if not self._has_overload_rule:
            return weights
        total = sum(weights) or 1.0
        free_share = 1.0
        shares: dict[int, float] = {}
        for index, endpoint in enumerate(endpoints):
            if now < endpoint.warm_at and (
                now == endpoint.send_tokens_at or self._uses_tokens(now, endpoint)
            ):
                share = weights[index] / total
                tokens = endpoint.send_tokens
                if not share < tokens:
                    share = tokens if tokens > 0 else 0.0
                shares[index] = share
                endpoint.send_tokens -= share
                free_share -= share
        if not shares or not free_share > 0:
            return weights
        warm_weight = total - sum(weights[index] for index in shares)
        if warm_weight > ROUNDING_ERROR * total:
            scale = warm_weight / free_share
            clipped = weights.copy()
        else:
            scale = 1.0
            clipped = [*weights, free_share]
        for index, share in shares.items():
            clipped[index] = share * scale
        return clipped

    def _uses_tokens(self, now: int, endpoint: Endpoint) -> bool:
        """Return whether the endpoint's allowance is too small for turns; if so, update its send tokens."""
        allowance = endpoint.send_allowance
        if now >= endpoint.send_allowance_expires_at:
            allowance = self._send_allowance(now, endpoint)
        if allowance * MAX_WINDOWS_PER_TURN >= 1:
            return False
        elapsed = now - endpoint.send_tokens_at
        maximum = endpoint.max_send_tokens
        earned = maximum * elapsed / self._settings.overload_window if elapsed > 0 else 0.0
        tokens = endpoint.send_tokens + earned
        endpoint.send_tokens = tokens if tokens < maximum else maximum
        endpoint.send_tokens_at = now
        return True

    def _send_allowance(self, now: int, endpoint: Endpoint) -> float:
        """Return the attempts that this instance may send per overload window; estimates are cached.

        The allowance is infinite if the settings have no overload rule, or if the endpoint is warm under a
        predecessor's settings.  Infinite values are not cached, as a predecessor and its successor share the
        record.
        """
        settings = self._settings
        if not self._has_overload_rule:
            return math.inf
        if now < endpoint.send_allowance_expires_at:
            return endpoint.send_allowance
        warm_fraction = endpoint.warm_fraction_at(now, settings)
        if warm_fraction >= 1:
            return math.inf
        rates = self._load_reports.request_rates
        capacity = max(1 / self._request_time(now, endpoint), rates[endpoint.host_class].estimate(now, 0.0))
        allowed_multiple = settings.overload_multiple * warm_fraction * SAFETY_FACTOR
        budget = allowed_multiple * settings.overload_window * capacity
        # random sends: the mean m for which m + SEND_MARGIN_DEVIATIONS x sqrt(m) = budget / SAFETY_FACTOR has
        # the root sqrt(m) = twice_root / 2
        twice_root = (
            math.sqrt(SEND_MARGIN_DEVIATIONS**2 + 4 * budget / SAFETY_FACTOR) - SEND_MARGIN_DEVIATIONS
        )
        share = self._traffic_share.estimate(now, self._endpoints.values(), rates)
        endpoint.send_allowance = budget * share
        endpoint.send_allowance_expires_at = now + ESTIMATE_LIFETIME
        endpoint.max_send_tokens = (twice_root / 2) ** 2 * share
        return endpoint.send_allowance

    def _request_time(self, now: int, endpoint: Endpoint) -> float:
        """Return the time of a request at a warm endpoint of the host class, deliberately overestimated."""
        slowdown = math.exp(max(0.0, self._latency_model.host_class_log(now, endpoint)))
        longest = max(request_class.latency_objective for request_class in self._settings.classes)
        return SERVICE_TIME_RATIO * (self._latency_model.service_time * slowdown or longest)
