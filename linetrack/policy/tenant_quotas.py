"""How much of a request's value its tenant's quota leaves it.

Requests beyond the quota have less value, so that the burst of one tenant does not displace all others.
"""

from __future__ import annotations

import math
from typing import NamedTuple

from linetrack.policy.events import RequestReceived
from linetrack.policy.settings import Settings
from linetrack.policy.time_units import SECOND

RATE_DECAY_TIME = 5 * SECOND  # a tenant's own rate is counted over about this time
CHANCE_DEVIATIONS = 2.5  # standard deviations of chance that a tenant's requests may exceed its quota by


class RequestCount(NamedTuple):
    """Requests of one tenant, fading with time."""

    requests: float
    updated_at: int


class TenantQuotas:
    """Counts the requests of each tenant, retries by its clients aside."""

    def __init__(self, settings: Settings) -> None:
        """Judge by the quotas of these settings."""
        self._settings = settings
        self._counts: dict[int, RequestCount] = {}

    def record_request(self, now: int, request: RequestReceived) -> float:
        """Count a request; return the share of its value that the quota leaves it."""
        settings = self._settings
        if request.tenant >= len(settings.tenant_quotas):
            return 1.0
        count, updated_at = self._counts.get(request.tenant, (0.0, now))
        count = count * math.exp((updated_at - now) / RATE_DECAY_TIME) + (not request.is_retry)
        self._counts[request.tenant] = RequestCount(count, now)
        quota = settings.tenant_quotas[request.tenant] * RATE_DECAY_TIME / SECOND / settings.instance_count
        excess = max(0.0, 1 - (quota + CHANCE_DEVIATIONS * math.sqrt(quota)) / max(count, 1e-9))
        return 1 - excess * (1 - settings.over_quota_weight)
