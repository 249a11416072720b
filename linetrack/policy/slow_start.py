"""What an endpoint that warms up may be sent by all instances together.

A started endpoint has a part of its capacity only, as in Envoy's slow start mode, and fails if it is sent
more than a stated multiple of it for a stated time, the overload window.  Half of what it bears in such a
window is shared out among the instances, which do not see what the others send:

- where an instance's part is a send or more in a window, it counts its sends;
- where it is under one, it may send once in every so many windows, instances taking turns;
- where turns would be too rare, its sends are chosen at random, at odds that keep to send tokens, which
  accrue at its part of what fits beside chance.

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

SAFETY_FACTOR = 0.5  # part of the bearable load that is used: work is random and capacities are guessed
MAX_WINDOWS_PER_TURN = 4  # instances take turns where one send each fits in so many windows, else by tokens
CHANCE_DEVIATIONS = 2.5  # standard deviations of chance that must fit beside the mean of random sends
SERVICE_TIME_RATIO = 1.5  # a request is reckoned to take so many mean uncongested times
ROUNDING_ERROR = 1e-9  # weights of warm endpoints below this part of all are the last bits of a difference


class SlowStart:
    """The share of warming endpoints' capacity that this instance may use."""

    def __init__(
        self,
        settings: Settings,
        endpoints: Mapping[str, Endpoint],
        models: Models,
    ) -> None:
        """Start with an even share of the traffic; `endpoints` are the listed ones, by name."""
        self._settings = settings
        self._has_overload_rule = bool(settings.overload_multiple and settings.overload_window)
        self._endpoints = endpoints
        self._latency_model = models.latency
        self._load_reports = models.load_reports
        self._traffic_share = TrafficShare(settings.instance_count)
        self._warming_until = 0  # when the last of all endpoints is warm

    def track(self, now: int, endpoint: Endpoint) -> None:
        """Note until when a listed endpoint warms up; one without a stated start is warm.

        Clocks differ: a start that lies ahead of this instance's clock counts as now.
        """
        endpoint.warmup_started_at = min(now, endpoint.warmup_started_at)
        duration = self._settings.slow_start_duration
        warms_up = bool(duration and endpoint.started_at)
        endpoint.warm_at = endpoint.warmup_started_at + duration if warms_up else 0
        self._warming_until = max(self._warming_until, endpoint.warm_at)

    def always_check(self) -> None:
        """Take some endpoint to be warming up for ever, where list updates no longer come."""
        self._warming_until = FOREVER

    def is_any_warming(self, now: int) -> bool:
        """Return whether some endpoint may still be warming up."""
        return now < self._warming_until

    def permits(self, now: int, request: Request, endpoint: Endpoint) -> bool:
        """Return whether a warming endpoint may be sent this request's next attempt."""
        allowance = self._send_allowance(now, endpoint)
        if allowance == math.inf:
            return True
        if allowance * MAX_WINDOWS_PER_TURN < 1:
            # chosen at random within the send tokens, or not at all: retries do not go there by rotation
            is_candidate = endpoint in (request.first_candidate, request.second_candidate)
            return is_candidate or not request.attempt_count
        window = self._settings.overload_window
        window_number = max(0, now - endpoint.started_at) // window
        if allowance < 1 and (window_number + self._settings.instance) % math.ceil(1 / allowance):
            return False
        endpoint.warmup_sends = [sent_at for sent_at in endpoint.warmup_sends if sent_at > now - window]
        return len(endpoint.warmup_sends) < max(1, int(allowance))

    def record_send(self, now: int, endpoint: Endpoint) -> None:
        """Count an attempt: against the endpoint's allowance while it warms up, else as own traffic."""
        if endpoint.warm_fraction_at(now, self._settings) < 1:
            endpoint.warmup_sends.append(now)
        else:
            self._traffic_share.record_send(now)

    def clip_weights(self, now: int, endpoints: list[Endpoint], weights: list[float]) -> list[float]:
        """Return selection weights whose shares for warming endpoints keep to their send tokens.

        Takes the tokens.  Where warm endpoints cannot take the rest, a last weight is added that is nobody's.
        """
        if not self._has_overload_rule:
            return weights
        total = sum(weights) or 1.0
        free = 1.0
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
                free -= share
        if not shares or not free > 0:
            return weights
        warm = total - sum(weights[index] for index in shares)
        if warm > ROUNDING_ERROR * total:
            scale = warm / free
            clipped = weights.copy()
        else:
            scale = 1.0
            clipped = [*weights, free]
        for index, share in shares.items():
            clipped[index] = share * scale
        return clipped

    def _uses_tokens(self, now: int, endpoint: Endpoint) -> bool:
        """Return whether its allowance is too small for turns; its tokens are then brought up to date."""
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
        """Return this instance's attempts in one overload window; an estimate stands for a while.

        It is infinite where the settings state no overload rule, so that there is no bound to share out, and
        under earlier settings by which the endpoint is warm.  Neither is kept, as instances under earlier and
        present settings share the record.
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
        bearable = settings.overload_multiple * warm_fraction * SAFETY_FACTOR
        budget = bearable * settings.overload_window * capacity
        # random sends: this many standard deviations above their mean still fit the budget
        root = math.sqrt(CHANCE_DEVIATIONS**2 + 4 * budget / SAFETY_FACTOR) - CHANCE_DEVIATIONS
        share = self._traffic_share.estimate(now, self._endpoints.values(), rates)
        endpoint.send_allowance = budget * share
        endpoint.send_allowance_expires_at = now + ESTIMATE_LIFETIME
        endpoint.max_send_tokens = (root / 2) ** 2 * share
        return endpoint.send_allowance

    def _request_time(self, now: int, endpoint: Endpoint) -> float:
        """Return the time of a request at a warm endpoint of its host class, estimated high."""
        slowdown = math.exp(max(0.0, self._latency_model.host_class_log(now, endpoint)))
        longest = max(each.latency_objective for each in self._settings.classes)
        return SERVICE_TIME_RATIO * (self._latency_model.service_time * slowdown or longest)
