"""Limits on attempts beyond the first: a retry budget, and a limit over a sliding window.

The budget is a token bucket, as in Finagle and Linkerd: each request adds a fraction of a token, each retry
takes one.  The sliding window enforces a rule of the deployment and counts every attempt beyond the first,
including those that are free in the budget.  All times are integer microseconds.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from linetrack.policy.protocols import OverloadController
from linetrack.policy.settings import Settings
from linetrack.policy.time_units import FOREVER

TOKENS_PER_REQUEST = 0.15  # long-term ratio of retries and hedged attempts to requests
MAX_TOKENS = 8.0
INITIAL_TOKENS = 1.0  # enough for one retry only, as many instances may start together

# Prices in tokens.  That of a hedged attempt is refunded if the attempt serves the request; it is high, so
# that heavy requests do not run twice.
RETRY_PRICE = 1.0
HEDGE_PRICE = 5.0


class RetryBudget:
    """The token bucket of one instance for retries and hedged attempts."""

    def __init__(self, tokens: float = INITIAL_TOKENS) -> None:
        """Initialize with this number of tokens."""
        self.tokens = tokens

    def take_over(self, predecessor: RetryBudget) -> None:
        """Take over the tokens of an instance under other settings."""
        self.tokens = predecessor.tokens

    def record_request(self) -> None:
        """Add the tokens of one request."""
        self.tokens = min(MAX_TOKENS, self.tokens + TOKENS_PER_REQUEST)

    def can_pay(self, price: float) -> bool:
        """Return whether there are enough tokens for the price."""
        return self.tokens >= price

    def pay(self, price: float) -> None:
        """Remove the tokens for an attempt that was started."""
        self.tokens -= price

    def refund(self, price: float) -> None:
        """Return the tokens of an attempt that served its request."""
        self.tokens = min(MAX_TOKENS, self.tokens + price)


class RetryWindowState(NamedTuple):
    """The recorded times, in a form that another process can import."""

    window: int
    retries: list[int]
    requests: list[int]


class RetryWindow:
    """Limits retries in any window to an allowance plus a ratio of the requests received in that window.

    An instance and its successors under other settings share one object.
    """

    def __init__(self, settings: Settings) -> None:
        """Initialize without recorded requests or retries."""
        self._settings = settings
        self._retries: deque[int] = deque()
        self._requests: deque[int] = deque()
        self._blocked_until = 0

    def apply(self, settings: Settings, now: int) -> None:
        """Enforce other settings from now on."""
        if settings.retry_window > self._settings.retry_window:
            # the longer window may contain retries that were not recorded
            self._blocked_until = now + settings.retry_window
        self._settings = settings

    def block(self, now: int) -> None:
        """Allow no retries for one window, as there may have been retries that were not recorded here."""
        self._blocked_until = now + self._settings.retry_window

    def block_forever(self) -> None:
        """Allow no more retries, as another process has taken over the window."""
        self._blocked_until = FOREVER

    def record_request(self, now: int) -> None:
        """Record a request."""
        self._record(self._requests, now)

    def record_retry(self, now: int) -> None:
        """Record an attempt beyond a request's first one."""
        self._record(self._retries, now)

    def is_exhausted(self, now: int) -> bool:
        """Return whether one more retry would exceed the limit."""
        since = now - self._settings.retry_window
        # exactly at the edge, a retry counts and a request does not: the strict reading of the rule
        while self._retries and self._retries[0] < since:
            self._retries.popleft()
        while self._requests and self._requests[0] <= since:
            self._requests.popleft()
        limit = self._settings.retry_window_allowance + self._settings.retry_window_ratio * len(
            self._requests
        )
        is_limited = bool(self._settings.retry_window)
        return is_limited and (now < self._blocked_until or len(self._retries) + 1 > limit)

    def export_state(self) -> RetryWindowState:
        """Return the recorded times, for another process."""
        return RetryWindowState(self._settings.retry_window, list(self._retries), list(self._requests))

    def import_state(self, now: int, state: RetryWindowState) -> None:
        """Continue with the times recorded by another process."""
        if self._settings.retry_window > state.window:
            self.block(now)
        self._retries = deque(state.retries)
        self._requests = deque(state.requests)

    def _record(self, times: deque[int], now: int) -> None:
        if self._settings.retry_window:
            times.append(now)
            self.is_exhausted(now)  # removes times outside the window


class RetryLimits:
    """Decides whether a retry or hedged attempt is allowed, apart from the rules of the send guard."""

    def __init__(
        self, budget: RetryBudget, window: RetryWindow, overload_controller: OverloadController | None
    ) -> None:
        """Initialize with the budget to pay from; the window is updated here and checked by the guard."""
        self._budget = budget
        self._window = window
        self._overload_controller = overload_controller

    def record_request(self, now: int) -> None:
        """Record a new request."""
        self._budget.record_request()
        self._window.record_request(now)

    def allows(self, now: int, price: float) -> bool:
        """Return whether the budget covers the price and, unless it is 0, there is capacity for a retry."""
        if not self._budget.can_pay(price):
            return False
        return not price or not self._overload_controller or self._overload_controller.allow_retry(now)

    def record_retry(self, price: float) -> None:
        """Pay the price of an attempt that was started."""
        self._budget.pay(price)

    def record_hedge_served(self) -> None:
        """Refund the price of a hedged attempt that served its request."""
        self._budget.refund(HEDGE_PRICE)
