"""Limits on attempts beyond the first: a retry budget, and the limit over a sliding window.

The budget is a token bucket, as in Finagle and Linkerd: each request adds a part of a token, each retry
takes one.  The window is a rule of the deployment and counts every attempt beyond the first, also those
that cost no budget.  All times are integer microseconds.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from linetrack.policy.protocols import OverloadController
from linetrack.policy.settings import Settings
from linetrack.policy.time_units import FOREVER

TOKENS_PER_REQUEST = 0.15  # hedged attempts and retries per request, over time
MAX_TOKENS = 8.0
INITIAL_TOKENS = 1.0  # the least that lets one retry go: many instances may start together
RETRY_PRICE = 1.0
HEDGE_PRICE = 5.0  # given back if the hedged attempt serves the request: heavy ones are not to run twice


class RetryBudget:
    """Tokens of one instance for retries and hedged attempts."""

    def __init__(self, tokens: float = INITIAL_TOKENS) -> None:
        """Start with these tokens."""
        self.tokens = tokens

    def take_over(self, predecessor: RetryBudget) -> None:
        """Go on with the tokens of an instance under other settings."""
        self.tokens = predecessor.tokens

    def record_request(self) -> None:
        """Add what one request earns."""
        self.tokens = min(MAX_TOKENS, self.tokens + TOKENS_PER_REQUEST)

    def can_pay(self, price: float) -> bool:
        """Return whether there are as many tokens."""
        return self.tokens >= price

    def pay(self, price: float) -> None:
        """Take the tokens for an attempt that was started."""
        self.tokens -= price

    def refund(self, price: float) -> None:
        """Give the tokens back of an attempt that served its request."""
        self.tokens = min(MAX_TOKENS, self.tokens + price)


class RetryWindowState(NamedTuple):
    """What was counted, in a form that another process can take over."""

    window: int
    retries: list[int]
    requests: list[int]


class RetryWindow:
    """The stated limit: in any window, at most an allowance plus a ratio of the requests received in it.

    An instance and its successor under other settings count together, on one object.
    """

    def __init__(self, settings: Settings) -> None:
        """Start without anything counted."""
        self._settings = settings
        self._retries: deque[int] = deque()
        self._requests: deque[int] = deque()
        self._blocked_until = 0

    def apply(self, settings: Settings, now: int) -> None:
        """Limit by other settings from here on."""
        if settings.retry_window > self._settings.retry_window:
            # more retries than were counted may lie in the longer window
            self._blocked_until = now + settings.retry_window
        self._settings = settings

    def block(self, now: int) -> None:
        """Allow no retries for one window, as some may have been made that were not counted here."""
        self._blocked_until = now + self._settings.retry_window

    def block_forever(self) -> None:
        """Allow no retries any more: another process goes on counting."""
        self._blocked_until = FOREVER

    def record_request(self, now: int) -> None:
        """Count a request."""
        self._record(self._requests, now)

    def record_retry(self, now: int) -> None:
        """Count an attempt beyond a request's first."""
        self._record(self._retries, now)

    def is_exhausted(self, now: int) -> bool:
        """Return whether one more retry would exceed the limit."""
        since = now - self._settings.retry_window
        # at the very edge a retry counts and a request does not, which is strict however the rule is read
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
        """Return what was counted, for another process."""
        return RetryWindowState(self._settings.retry_window, list(self._retries), list(self._requests))

    def import_state(self, now: int, state: RetryWindowState) -> None:
        """Go on with what another process counted."""
        if self._settings.retry_window > state.window:
            self.block(now)
        self._retries = deque(state.retries)
        self._requests = deque(state.requests)

    def _record(self, times: deque[int], now: int) -> None:
        if self._settings.retry_window:
            times.append(now)
            self.is_exhausted(now)  # drops what has left the window


class RetryLimits:
    """All that has to allow a retry or hedged attempt, but for the rules that the guard holds."""

    def __init__(
        self, budget: RetryBudget, window: RetryWindow, overload_controller: OverloadController | None
    ) -> None:
        """Pay from this budget; the window only counts requests here, the guard asks it."""
        self._budget = budget
        self._window = window
        self._overload_controller = overload_controller

    def record_request(self, now: int) -> None:
        """Count a new request."""
        self._budget.record_request()
        self._window.record_request(now)

    def allows(self, now: int, price: float) -> bool:
        """Return whether an attempt at this price is paid for, and there is capacity unless it is free."""
        if not self._budget.can_pay(price):
            return False
        return not price or not self._overload_controller or self._overload_controller.allow_retry(now)

    def record_retry(self, price: float) -> None:
        """Take the price of an attempt that was started."""
        self._budget.pay(price)

    def record_hedge_served(self) -> None:
        """Give the price back of a hedged attempt that served its request."""
        self._budget.refund(HEDGE_PRICE)
