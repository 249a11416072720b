"""Adaptive overload control: how many requests a second are admitted while most responses are bad.

A response is bad if it failed or missed its class's latency objective.  While two thirds are bad the
controller is engaged: it limits admission to a rate that decreases while responses stay bad and increases
while they are good, but never beyond three times the rate of good responses.  Without such a limit clients
that all retry can keep a fleet overloaded that has recovered (a metastable failure: Bronson et al.,
"Metastable Failures in Distributed Systems", HotOS 2021).  First attempts are admitted before retries that
waited as long as they were asked to, and those before retries that did not; each class keeps a minimum share.
The controller disengages once the limit has been above the offered rate for a while.

The controller reads no clock, touches no socket and knows no endpoint: the policy gives it events with their
times (integer microseconds, never going back), asks, and decides.  Each call takes constant time for a fixed
number of classes.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, IntEnum
from random import Random
from typing import NamedTuple

from linetrack.control.baseline_rate import BaselineRate
from linetrack.control.decaying_rate import DecayingRate
from linetrack.control.retry_schedule import RetrySchedule
from linetrack.policy.events import RequestReceived
from linetrack.policy.time_units import SECOND

UPDATE_INTERVAL_US = SECOND // 10  # between two changes of the limit

# When the controller engages and disengages.
ENGAGE_BAD_RATIO = 0.65  # of the responses of the last second
MIN_RESPONSES_TO_ENGAGE = 8.0  # within about a second, below which a ratio means nothing
DISENGAGE_HEADROOM = 1.2  # times the offered rate that the limit must exceed ...
DISENGAGE_AFTER_US = 3 * SECOND  # ... for so long
RECOVERING_GOOD_RATE = 1.0  # good responses a second from which on an overload counts as recovering
RELAPSE_GOOD_RATIO = 0.35  # below which a recovery has failed

# How the limit changes, at each update.
INCREASE_GOOD_RATIO = 0.9  # from which on the limit increases
DECREASE_GOOD_RATIO = 0.7  # below which it decreases
CONSECUTIVE_GOOD_RESPONSES = 3  # show a recovery as well, long before older bad ones are forgotten
FAST_INCREASE_FACTOR = 1.15  # up to `fast_increase_limit`: twofold in half a second
SLOW_INCREASE_SHARE = 0.005  # of the baseline rate, beyond that
SLOW_INCREASE_SHARE_NEAR_BASELINE = 0.02  # while the limit is not far above the baseline rate, ...
PROPORTIONAL_INCREASE_SHARE = 0.03  # of the limit itself, ...
PROPORTIONAL_AFTER_US = 20 * SECOND  # ... once so long without a decrease: no baseline rate is needed then
NEAR_BASELINE_FACTOR = 1.5  # ... that is up to so many times it, as the offered rate varies about it
DECREASE_FACTOR = 0.6  # at once, and again only after responses to what was admitted since can have come
FAST_INCREASE_LIMIT_FACTOR = 0.8  # of the limit at which responses became bad
#: Once a second while responses are in time but no longer fast: a queue builds up, and overload is near.
GENTLE_DECREASE_FACTOR = 0.9
MIN_FAST_RATIO = 0.8
DECREASE_INTERVAL_US = SECOND
MAX_LIMIT_TO_GOOD_RATE = 3.0
MIN_LIMIT_SHARE = 0.25  # of the baseline rate, however bad responses are: a recovery has to be noticed
MIN_RATE_PER_SECOND = 2.0

# Admission within the limit.
GROUP_SHARE_SLACK = 2.0  # times its share that a group may try for: the bucket bounds the sum of all groups
MIN_GROUP_SHARE = 0.05  # of the limit goes to each group that asks, whatever comes before it
MIN_BURST_REQUESTS = 2.0
MAX_OVERDRAFT_SECONDS = 0.5  # of the limit that first attempts may take ahead of it

# The retry budget, and the times at which rejected clients are asked to return.
RETRY_TOKENS_PER_GOOD_RESPONSE = 0.1
MAX_RETRY_TOKENS = 10.0
RETURN_RATE_SHARE = 0.5  # of the baseline rate


class OverloadPhase(Enum):
    """What the controller takes the fleet for; it limits admission in all phases but `NORMAL`."""

    NORMAL = "normal"
    OVERLOADED = "overloaded"
    RECOVERING = "recovering"


class AdmissionPriority(IntEnum):
    """Which requests are admitted first while not all can be."""

    FIRST_ATTEMPT = 0
    SCHEDULED_RETRY = 1  # came back at a time that the client was given
    EARLY_RETRY = 2  # came back before


class GroupKey(NamedTuple):
    """What requests of one group have in common."""

    priority: AdmissionPriority
    class_index: int


@dataclass(slots=True)
class RequestGroup:
    """The requests of one priority and class."""

    priority_weight: float  # of the latest request
    offered_rate: DecayingRate


@dataclass(slots=True, frozen=True)
class OverloadStatus:
    """The controller's state as it enters a phase; rates are a second."""

    engaged_seconds: float
    rate_limit: float
    baseline_rate: float
    offered_rate: float
    retry_ratio: float
    admitted: int  # requests since the controller engaged
    rejected: int


PhaseListener = Callable[[OverloadPhase, OverloadStatus], None]


def _ignore_phase(phase: OverloadPhase, status: OverloadStatus) -> None:
    """Do nothing."""


class AdaptiveOverloadController:
    """Limits admission and retries by the responses of the fleet.  Times are microseconds."""

    def __init__(self, seed: int, on_phase_changed: PhaseListener = _ignore_phase) -> None:
        """Start in the phase `NORMAL`; `on_phase_changed` is called as each further phase begins."""
        self.phase = OverloadPhase.NORMAL
        self.rate_limit = 0.0  # requests admitted a second, while engaged
        self.tokens = 0.0  # requests that may be admitted now; negative where first attempts overdrew
        self.retry_tokens = MAX_RETRY_TOKENS
        self.groups: dict[GroupKey, RequestGroup] = {}
        self._random = Random(seed)
        self.retry_schedule = RetrySchedule(self._random)
        self._on_phase_changed = on_phase_changed
        # what was observed
        self._good_rate = DecayingRate()
        self._fast_rate = DecayingRate()
        self._bad_rate = DecayingRate()
        self._offered_rate = DecayingRate()
        self._retry_rate = DecayingRate()
        self._consecutive_good = 0
        self._baseline = BaselineRate()  # of good responses while not engaged
        # how the limit is controlled
        self._fast_increase_limit = 0.0
        self._last_update_at = 0
        self._last_decrease_at = 0
        self._last_refill_at = 0
        self._reserved_tokens = 0.0  # for retries only
        self._engaged_at = 0
        self._insufficient_at = 0  # when the limit or the responses last gave a reason to stay engaged
        self._admitted_count = 0
        self._rejected_count = 0

    # --- What the policy calls ---------------------------------------------------------------------
    def admit(self, now: int, arrival: RequestReceived, priority_weight: float) -> bool:
        """Return whether to serve a new request, whose `priority_weight` is for the work that it asks for."""
        self._update(now)
        self._offered_rate.add(now)
        priority = self._classify(now, arrival)
        if self.phase is OverloadPhase.NORMAL:
            return True
        key = GroupKey(priority, arrival.class_index)
        self._record_offered(now, key, priority_weight)
        self._refill(now)
        # the share is applied at random; where there is no token, no random number is drawn
        admitted = self._has_token(priority) and self._random.random() < self._admitted_share(now, key)
        if admitted:
            self._take_token(priority)
            self._admitted_count += 1
        else:
            self._rejected_count += 1
        return admitted

    def allow_retry(self, now: int) -> bool:
        """Return whether one more attempt is within the budget that clients' retries and own ones share."""
        self._update(now)
        if self.retry_tokens < 1:
            return False
        self.retry_tokens -= 1
        return True

    def record_response(self, now: int, in_time: bool, is_fast: bool) -> None:
        """Take in whether an attempt met its class's latency objective, and in half of that time."""
        if is_fast:
            self._fast_rate.add(now)
        if in_time:
            self._good_rate.add(now)
            self._consecutive_good += 1
            self.retry_tokens = min(MAX_RETRY_TOKENS, self.retry_tokens + RETRY_TOKENS_PER_GOOD_RESPONSE)
        else:
            self._bad_rate.add(now)
            self._consecutive_good = 0
        self._update(now)

    def retry_after(self, now: int, default: int, maximum: int) -> int:
        """Return after how long a rejected client should come back, about `default` where nothing is wrong.

        While engaged the times are spread over what the backlog needs, from half of `default` on.
        """
        if self.phase is OverloadPhase.NORMAL:
            return min(maximum, int(default * (0.5 + self._random.random())))
        returns_per_second = max(MIN_RATE_PER_SECOND, self._baseline.per_second * RETURN_RATE_SHARE)
        return self.retry_schedule.schedule_return(now, default, maximum, returns_per_second)

    # --- Admission within the limit ------------------------------------------------------------------
    def _classify(self, now: int, arrival: RequestReceived) -> AdmissionPriority:
        """Return a request's priority, and charge the retry budget for a client's retry."""
        if not arrival.is_retry:
            return AdmissionPriority.FIRST_ATTEMPT
        self._retry_rate.add(now)
        self.retry_tokens = max(0.0, self.retry_tokens - RETRY_TOKENS_PER_GOOD_RESPONSE)
        if self.retry_schedule.claim_return(now):
            return AdmissionPriority.SCHEDULED_RETRY
        return AdmissionPriority.EARLY_RETRY

    def _record_offered(self, now: int, key: GroupKey, priority_weight: float) -> None:
        group = self.groups.get(key)
        if group is None:
            group = self.groups[key] = RequestGroup(priority_weight, DecayingRate())
        group.priority_weight = priority_weight
        group.offered_rate.add(now)

    def _refill(self, now: int) -> None:
        capacity = max(MIN_BURST_REQUESTS, 2 * self.rate_limit * UPDATE_INTERVAL_US / SECOND)
        refill = self.rate_limit * (now - self._last_refill_at) / SECOND
        self.tokens = min(capacity, self.tokens + refill)
        self._reserved_tokens = min(MIN_BURST_REQUESTS, self._reserved_tokens + MIN_GROUP_SHARE * refill)
        self._last_refill_at = now

    def _has_token(self, priority: AdmissionPriority) -> bool:
        """Return whether the bucket admits a request of this priority.

        Retries can be many times as many as first attempts and would find each token first.  So first
        attempts may overdraw the bucket, and the reserved tokens are for retries only.
        """
        if priority is AdmissionPriority.FIRST_ATTEMPT:
            return self.tokens >= 1 - max(MIN_BURST_REQUESTS, MAX_OVERDRAFT_SECONDS * self.rate_limit)
        return max(self.tokens, self._reserved_tokens) >= 1

    def _take_token(self, priority: AdmissionPriority) -> None:
        if priority is AdmissionPriority.FIRST_ATTEMPT or self.tokens >= 1:
            self.tokens -= 1
        else:
            self._reserved_tokens -= 1

    def _admitted_share(self, now: int, key: GroupKey) -> float:
        """Return which share of a group's requests to admit.

        The groups before it, by priority and then by weight, are admitted first.
        """
        groups = self.groups
        ranked = sorted(groups, key=lambda k: (k.priority, -groups[k].priority_weight, k.class_index))
        remaining = self.rate_limit
        for candidate in ranked:
            rate = groups[candidate].offered_rate.per_second(now)
            granted = GROUP_SHARE_SLACK * max(remaining, MIN_GROUP_SHARE * self.rate_limit)
            share = min(1.0, granted / max(rate, 1e-9))
            if candidate == key:
                return share
            remaining = max(0.0, remaining - rate * share)
        return 1.0

    # --- The limit -----------------------------------------------------------------------------------
    def _update(self, now: int) -> None:
        """Adapt to what was observed, at most once in `UPDATE_INTERVAL_US`."""
        elapsed = now - self._last_update_at
        if elapsed < UPDATE_INTERVAL_US:
            return
        self._last_update_at = now
        good_rate = self._good_rate.per_second(now)
        bad_rate = self._bad_rate.per_second(now)
        offered_rate = self._offered_rate.per_second(now)
        response_rate = good_rate + bad_rate
        good_ratio = good_rate / response_rate if response_rate > 0 else 1.0
        if self.phase is OverloadPhase.NORMAL:
            if response_rate >= MIN_RESPONSES_TO_ENGAGE and good_ratio <= 1 - ENGAGE_BAD_RATIO:
                self._engage(now, good_rate)
            else:
                self._baseline.observe(elapsed, good_rate)
            return
        self._adjust_limit(now, response_rate, good_ratio)
        min_limit = self._min_limit()
        max_limit = max(min_limit, MAX_LIMIT_TO_GOOD_RATE * good_rate)
        self.rate_limit = min(max(self.rate_limit, min_limit), max_limit)
        self._update_phase(now, good_rate, good_ratio)
        self._disengage_if_sufficient(now, offered_rate, good_ratio)

    def _adjust_limit(self, now: int, response_rate: float, good_ratio: float) -> None:
        """Increase or decrease the limit by the latest responses."""
        fast_ratio = self._fast_rate.per_second(now) / response_rate if response_rate > 0 else 1.0
        may_decrease = now - self._last_decrease_at >= DECREASE_INTERVAL_US
        if response_rate < 1:
            return  # too few responses to tell
        if self._shows_capacity(fast_ratio, good_ratio):
            self._increase_limit(now)
        elif good_ratio < DECREASE_GOOD_RATIO and may_decrease:
            self._decrease_limit(now)
        elif fast_ratio < MIN_FAST_RATIO and self.rate_limit > self._baseline.per_second and may_decrease:
            self._decrease_limit_gently(now)

    def _shows_capacity(self, fast_ratio: float, good_ratio: float) -> bool:
        """Return whether the responses show that the fleet can take more."""
        is_recovery = self._consecutive_good >= CONSECUTIVE_GOOD_RESPONSES
        if fast_ratio >= INCREASE_GOOD_RATIO or (is_recovery and self.rate_limit <= 2 * self._min_limit()):
            return True
        # a fleet in slow start responds slowly but in time, which is no sign of a queue
        return good_ratio >= INCREASE_GOOD_RATIO and self.rate_limit < self._fast_increase_limit

    def _increase_limit(self, now: int) -> None:
        slow_limit = max(self.rate_limit, self._fast_increase_limit) + self._slow_increase(now)
        self.rate_limit = min(self.rate_limit * FAST_INCREASE_FACTOR, slow_limit)

    def _slow_increase(self, now: int) -> float:
        """Return by how much the limit increases at an update beyond what the fleet is known to take.

        It is a share of the baseline rate.  Where that is unknown, or of another time, the limit would stay
        where it is, so after a while without a decrease it is a share of the limit at least.
        """
        is_near_baseline = self.rate_limit < NEAR_BASELINE_FACTOR * self._baseline.per_second
        share = SLOW_INCREASE_SHARE_NEAR_BASELINE if is_near_baseline else SLOW_INCREASE_SHARE
        increase = share * self._baseline.per_second
        if now - self._last_decrease_at < PROPORTIONAL_AFTER_US:
            return increase
        return max(increase, PROPORTIONAL_INCREASE_SHARE * self.rate_limit)

    def _decrease_limit(self, now: int) -> None:
        """Decrease the limit after bad responses."""
        if self._exceeds_known_capacity():
            # not for what follows from one decrease, while the queue that built up before it is worked off
            self._fast_increase_limit = max(self._min_limit(), self.rate_limit * FAST_INCREASE_LIMIT_FACTOR)
        self.rate_limit *= DECREASE_FACTOR
        self._last_decrease_at = now

    def _decrease_limit_gently(self, now: int) -> None:
        """Decrease the limit a little, as responses are in time but no longer fast."""
        # a fleet in slow start is slow below its known capacity too, which says nothing of what it can take
        if self._exceeds_known_capacity():
            self.rate_limit = max(self._min_limit(), self.rate_limit * GENTLE_DECREASE_FACTOR)
            self._fast_increase_limit = self.rate_limit
        self._last_decrease_at = now

    def _exceeds_known_capacity(self) -> bool:
        """Return whether the limit is about as high as `fast_increase_limit`, or higher."""
        return self.rate_limit >= self._fast_increase_limit * GENTLE_DECREASE_FACTOR

    def _min_limit(self) -> float:
        """Return the requests a second that are admitted however bad the responses are."""
        return max(MIN_RATE_PER_SECOND, MIN_LIMIT_SHARE * self._baseline.per_second)

    # --- The phases ----------------------------------------------------------------------------------
    def _engage(self, now: int, good_rate: float) -> None:
        self._engaged_at = now
        self._insufficient_at = now
        self._last_decrease_at = now
        self._last_refill_at = now
        self.retry_schedule.restart(now)
        self._admitted_count = 0
        self._rejected_count = 0
        self.rate_limit = max(good_rate, self._min_limit())
        self.tokens = 1.0
        self._fast_increase_limit = max(self.rate_limit, self._baseline.per_second)
        self._enter_phase(OverloadPhase.OVERLOADED, now)

    def _update_phase(self, now: int, good_rate: float, good_ratio: float) -> None:
        phase = self.phase
        if good_ratio >= DECREASE_GOOD_RATIO and good_rate >= RECOVERING_GOOD_RATE:
            phase = OverloadPhase.RECOVERING
        elif good_ratio < RELAPSE_GOOD_RATIO:
            phase = OverloadPhase.OVERLOADED
        if phase is not self.phase:
            self._enter_phase(phase, now)

    def _disengage_if_sufficient(self, now: int, offered_rate: float, good_ratio: float) -> None:
        """Return to `NORMAL` once the limit has been above the offered rate for long enough."""
        if self.rate_limit < DISENGAGE_HEADROOM * offered_rate or good_ratio < INCREASE_GOOD_RATIO:
            self._insufficient_at = now
        elif now - self._insufficient_at >= DISENGAGE_AFTER_US:
            self._enter_phase(OverloadPhase.NORMAL, now)
            self.groups.clear()

    def _enter_phase(self, phase: OverloadPhase, now: int) -> None:
        self.phase = phase
        offered_rate = self._offered_rate.per_second(now)
        retry_ratio = self._retry_rate.per_second(now) / max(offered_rate, 1e-9)
        status = OverloadStatus(
            engaged_seconds=round((now - self._engaged_at) / SECOND, 1),
            rate_limit=round(self.rate_limit, 1),
            baseline_rate=round(self._baseline.per_second, 1),
            offered_rate=round(offered_rate, 1),
            retry_ratio=round(retry_ratio, 2),
            admitted=self._admitted_count,
            rejected=self._rejected_count,
        )
        self._on_phase_changed(phase, status)
