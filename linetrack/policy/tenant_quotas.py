"""Reduces the value of requests beyond their tenant's quota.

This keeps a burst of one tenant from displacing the requests of all others.
"""

from __future__ import annotations

import math
from typing import NamedTuple

from linetrack.policy.events import RequestReceived
from linetrack.policy.settings import Settings
from linetrack.policy.time_units import SECOND

RATE_DECAY_TIME = 5 * SECOND  # time constant of the request counts
# Standard deviations by which the requests of a tenant may randomly exceed its quota.
QUOTA_MARGIN_DEVIATIONS = 2.5


class RequestCount(NamedTuple):
    """The exponentially decayed number of requests of one tenant."""

    requests: float
    updated_at: int


class TenantQuotas:
    """Counts the requests of each tenant, without client retries."""

    def __init__(self, settings: Settings) -> None:
        """Initialize with the quotas of these settings."""
        self._settings = settings
        self._counts: dict[int, RequestCount] = {}

    def record_request(self, now: int, request: RequestReceived) -> float:
        """Count a request; return the factor that the quota applies to its value."""
        settings = self._settings
        if request.tenant >= len(settings.tenant_quotas):
            return 1.0
        count, updated_at = self._counts.get(request.tenant, (0.0, now))
        count = count * math.exp((updated_at - now) / RATE_DECAY_TIME) + (not request.is_retry)
        self._counts[request.tenant] = RequestCount(count, now)
        quota = settings.tenant_quotas[request.tenant] * RATE_DECAY_TIME / SECOND / settings.instance_count
        excess = max(0.0, 1 - (quota + QUOTA_MARGIN_DEVIATIONS * math.sqrt(quota)) / max(count, 1e-9))
        return 1 - excess * (1 - settings.over_quota_weight)
