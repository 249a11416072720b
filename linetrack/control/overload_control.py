"""Adaptive overload control: limits the rate of admitted requests while most responses are bad.

A response is bad if it failed or missed its class's latency objective.  The controller engages when about
two thirds of the responses are bad.  While it is engaged, it limits admission to a rate that decreases while
responses stay bad and increases while they are good, up to three times the rate of good responses.  Without
such a limit, retrying clients can keep a fleet overloaded after the cause is gone (a metastable failure:
Bronson et al., "Metastable Failures in Distributed Systems", HotOS 2021).  First attempts are admitted first,
then retries that waited as long as their clients were asked to, then other retries; each class keeps a
minimum share.  The controller disengages once the limit has been above the offered rate for a while.

It reads no clock, does no I/O and knows no endpoints: the policy passes it events with their times (integer
microseconds, which never decrease) and acts on its answers.  Each call takes constant time for a fixed number
of classes.
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

UPDATE_INTERVAL_US = SECOND // 10  # minimum time between two updates of the limit

# When the controller engages and disengages, and the phases in between.
ENGAGE_BAD_RATIO = 0.65  # share of bad responses, over about the last second, that engages the controller
MIN_RESPONSES_PER_SECOND_TO_ENGAGE = 8.0  # with fewer responses the ratio is not significant
DISENGAGE_HEADROOM_FACTOR = 1.2  # minimum ratio of the limit to the offered rate
DISENGAGE_AFTER_US = 3 * SECOND  # time for which the limit must keep that headroom
RECOVERING_GOOD_RATE = 1.0  # good responses per second that the phase `RECOVERING` requires
RELAPSE_GOOD_RATIO = 0.35  # below this ratio of good responses a recovery has failed

# How the limit changes at each update.
INCREASE_GOOD_RATIO = 0.9  # minimum ratio of good responses for an increase
DECREASE_GOOD_RATIO = 0.7  # ratio of good responses below which the limit decreases
CONSECUTIVE_GOOD_RESPONSES = 3  # indicate a recovery before the ratio does, which still counts older bad ones
# Up to `_fast_increase_limit` the limit grows by a factor that doubles it in 0.5 s; above that, by a share
# of the baseline rate, larger near that rate because the offered rate varies about it.  After a time
# without a decrease it grows by at least a share of itself, which needs no baseline rate.
FAST_INCREASE_FACTOR = 1.15
SLOW_INCREASE_SHARE = 0.005
SLOW_INCREASE_SHARE_NEAR_BASELINE = 0.02
PROPORTIONAL_INCREASE_SHARE = 0.03
PROPORTIONAL_AFTER_US = 20 * SECOND
NEAR_BASELINE_FACTOR = 1.5
# Decreases are an interval apart, so that responses to requests admitted since the last one can arrive.  The
# limit at which responses became bad sets `_fast_increase_limit`.  Decreases are gentle while responses are
# in time but too few of them are fast: a queue is building up, and overload is near.
DECREASE_FACTOR = 0.6
FAST_INCREASE_LIMIT_FACTOR = 0.8
GENTLE_DECREASE_FACTOR = 0.9
MIN_FAST_RATIO = 0.8
DECREASE_INTERVAL_US = SECOND
MAX_LIMIT_TO_GOOD_RATE_RATIO = 3.0
MIN_LIMIT_SHARE = 0.25  # share of the baseline rate that is always admitted, so that a recovery is noticed
MIN_RATE_PER_SECOND = 2.0

# Admission within the limit.
GROUP_SHARE_SLACK_FACTOR = 2.0  # a group may exceed its share: the token bucket bounds the sum of all groups
MIN_GROUP_SHARE = 0.05  # share of the limit that each group may use, regardless of its priority
MIN_BURST_REQUESTS = 2.0
MAX_OVERDRAFT_SECONDS = 0.5  # first attempts may use the tokens of this time in advance

# The retry budget, and the rate at which rejected clients are asked to return.
RETRY_TOKENS_PER_GOOD_RESPONSE = 0.1
MAX_RETRY_TOKENS = 10.0
RETURN_RATE_SHARE = 0.5  # share of the baseline rate


class OverloadPhase(Enum):
    """The state of the fleet as the responses show it; admission is limited in all phases but `NORMAL`."""

    NORMAL = "normal"
    OVERLOADED = "overloaded"
    RECOVERING = "recovering"


class AdmissionPriority(IntEnum):
    """The order in which requests are admitted while admission is limited; the lowest value comes first."""

    FIRST_ATTEMPT = 0
    SCHEDULED_RETRY = 1  # arrived at or after the time at which its client was asked to return
    EARLY_RETRY = 2  # any other retry


class GroupKey(NamedTuple):
    """Identifies a group of requests."""

    priority: AdmissionPriority
    class_index: int


@dataclass(slots=True)
class RequestGroup:
    """The requests of one priority and class."""

    value_per_work: float  # as given with the group's latest request
    offered_rate: DecayingRate


@dataclass(slots=True, frozen=True)
class OverloadStatus:
    """The controller's state at the start of a phase; rates are per second."""

    engaged_seconds: float
    rate_limit: float
    baseline_rate: float
    offered_rate: float
    retry_ratio: float
    admitted: int  # requests admitted since the controller engaged
    rejected: int  # requests rejected since the controller engaged


PhaseListener = Callable[[OverloadPhase, OverloadStatus], None]


def _ignore_phase(phase: OverloadPhase, status: OverloadStatus) -> None:
    """Do nothing."""


class AdaptiveOverloadController:
    """Limits admission and retries according to the fleet's responses.  Times are in microseconds."""

    def __init__(self, seed: int, on_phase_changed: PhaseListener = _ignore_phase) -> None:
        """Start in the phase `NORMAL`; `on_phase_changed` is called at the start of each later phase."""
        self.phase = OverloadPhase.NORMAL
        self.rate_limit = 0.0  # requests admitted per second while engaged
        self.tokens = 0.0  # requests that may be admitted now; negative after first attempts overdrew it
        self.retry_tokens = MAX_RETRY_TOKENS
        self.groups: dict[GroupKey, RequestGroup] = {}
        self._random = Random(seed)
        self.retry_schedule = RetrySchedule(self._random)
        self._on_phase_changed = on_phase_changed
        # observations
        self._good_rate = DecayingRate()
        self._fast_rate = DecayingRate()
        self._bad_rate = DecayingRate()
        self._offered_rate = DecayingRate()
        self._retry_rate = DecayingRate()
        self._consecutive_good = 0
        self._baseline = BaselineRate()  # the rate of good responses while not engaged
        # state of the limit
        self._fast_increase_limit = 0.0  # up to this rate the limit increases fast
        self._last_update_at = 0
        self._last_decrease_at = 0
        self._last_refill_at = 0
        self._reserved_tokens = 0.0  # tokens that only retries may use
        self._engaged_at = 0
        self._insufficient_at = 0  # when the limit was last too low, or responses too bad, to disengage
        self._admitted_count = 0
        self._rejected_count = 0

    # --- Calls of the policy -----------------------------------------------------------------------
    def admit(self, now: int, received: RequestReceived, value_per_work: float) -> bool:
        """Return whether to serve a new request; `value_per_work` is its class's value relative to work."""
        self._update(now)
        self._offered_rate.add(now)
        priority = self._classify(now, received)
        if self.phase is OverloadPhase.NORMAL:
            return True
        key = GroupKey(priority, received.class_index)
        self._record_offered(now, key, value_per_work)
        self._refill(now)
        # the share is applied as a probability; no random number is drawn if there is no token
        admitted = self._has_token(priority) and self._random.random() < self._admitted_share(now, key)
        if admitted:
            self._take_token(priority)
            self._admitted_count += 1
        else:
            self._rejected_count += 1
        return admitted

    def allow_retry(self, now: int) -> bool:
        """Return whether the retry budget, which client retries draw on too, allows another attempt."""
        self._update(now)
        if self.retry_tokens < 1:
            return False
        self.retry_tokens -= 1
        return True

    def record_response(self, now: int, in_time: bool, is_fast: bool) -> None:
        """Record whether an attempt met its class's latency objective, and whether in half of that time."""
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
        """Return the delay after which a rejected client should retry, about `default` while not engaged.

        While engaged, delays start at half of `default` and are spread over the time that the backlog needs.
        """
        if self.phase is OverloadPhase.NORMAL:
            return min(maximum, int(default * (0.5 + self._random.random())))
        returns_per_second = max(MIN_RATE_PER_SECOND, self._baseline.per_second * RETURN_RATE_SHARE)
        return self.retry_schedule.schedule_return(now, default, maximum, returns_per_second)

    # --- Admission within the limit ------------------------------------------------------------------
    def _classify(self, now: int, received: RequestReceived) -> AdmissionPriority:
        """Return the priority of a request; a client's retry is charged to the retry budget."""
        if not received.is_retry:
            return AdmissionPriority.FIRST_ATTEMPT
        self._retry_rate.add(now)
        self.retry_tokens = max(0.0, self.retry_tokens - RETRY_TOKENS_PER_GOOD_RESPONSE)
        if self.retry_schedule.claim_return(now):
            return AdmissionPriority.SCHEDULED_RETRY
        return AdmissionPriority.EARLY_RETRY

    def _record_offered(self, now: int, key: GroupKey, value_per_work: float) -> None:
        group = self.groups.get(key)
        if group is None:
            group = self.groups[key] = RequestGroup(value_per_work, DecayingRate())
        group.value_per_work = value_per_work
        group.offered_rate.add(now)

    def _refill(self, now: int) -> None:
        capacity = max(MIN_BURST_REQUESTS, 2 * self.rate_limit * UPDATE_INTERVAL_US / SECOND)
        refill = self.rate_limit * (now - self._last_refill_at) / SECOND
        self.tokens = min(capacity, self.tokens + refill)
        self._reserved_tokens = min(MIN_BURST_REQUESTS, self._reserved_tokens + MIN_GROUP_SHARE * refill)
        self._last_refill_at = now

    def _has_token(self, priority: AdmissionPriority) -> bool:
        """Return whether the token bucket admits a request of this priority.

        Retries can outnumber first attempts many times and would then take every token.  Therefore first
        attempts may overdraw the bucket, and the reserved tokens keep retries from being starved in turn.
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
        """Return the share of a group's requests to admit.

        The limit is allotted to the groups in the order of their priority and then of their value per work.
        """
        groups = self.groups
        ranked = sorted(groups, key=lambda k: (k.priority, -groups[k].value_per_work, k.class_index))
        remaining = self.rate_limit
        for candidate in ranked:
            rate = groups[candidate].offered_rate.per_second(now)
            granted = GROUP_SHARE_SLACK_FACTOR * max(remaining, MIN_GROUP_SHARE * self.rate_limit)
            share = min(1.0, granted / max(rate, 1e-9))
            if candidate == key:
                return share
            remaining = max(0.0, remaining - rate * share)
        return 1.0

    # --- The limit -----------------------------------------------------------------------------------
    def _update(self, now: int) -> None:
        """Update the limit and the phase from the observations, at most once in `UPDATE_INTERVAL_US`."""
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
            if response_rate >= MIN_RESPONSES_PER_SECOND_TO_ENGAGE and good_ratio <= 1 - ENGAGE_BAD_RATIO:
                self._engage(now, good_rate)
            else:
                self._baseline.observe(elapsed, good_rate)
            return
        self._adjust_limit(now, response_rate, good_ratio)
        min_limit = self._min_limit()
        max_limit = max(min_limit, MAX_LIMIT_TO_GOOD_RATE_RATIO * good_rate)
        self.rate_limit = min(max(self.rate_limit, min_limit), max_limit)
        self._update_phase(now, good_rate, good_ratio)
        self._disengage_if_sufficient(now, offered_rate, good_ratio)

    def _adjust_limit(self, now: int, response_rate: float, good_ratio: float) -> None:
        """Increase or decrease the limit according to the latest responses."""
        fast_ratio = self._fast_rate.per_second(now) / response_rate if response_rate > 0 else 1.0
        may_decrease = now - self._last_decrease_at >= DECREASE_INTERVAL_US
        if response_rate < 1:
            return  # too few responses for a ratio
        if self._shows_capacity(fast_ratio, good_ratio):
            self._increase_limit(now)
        elif good_ratio < DECREASE_GOOD_RATIO and may_decrease:
            self._decrease_limit(now)
        elif fast_ratio < MIN_FAST_RATIO and self.rate_limit > self._baseline.per_second and may_decrease:
            self._decrease_limit_gently(now)

    def _shows_capacity(self, fast_ratio: float, good_ratio: float) -> bool:
        """Return whether the responses show that the fleet has capacity for a higher limit."""
        is_recovery = self._consecutive_good >= CONSECUTIVE_GOOD_RESPONSES
        if fast_ratio >= INCREASE_GOOD_RATIO or (is_recovery and self.rate_limit <= 2 * self._min_limit()):
            return True
        # a fleet in slow start responds slowly but in time, which does not indicate a queue
        return good_ratio >= INCREASE_GOOD_RATIO and self.rate_limit < self._fast_increase_limit

    def _increase_limit(self, now: int) -> None:
        slow_limit = max(self.rate_limit, self._fast_increase_limit) + self._slow_increase(now)
        self.rate_limit = min(self.rate_limit * FAST_INCREASE_FACTOR, slow_limit)

    def _slow_increase(self, now: int) -> float:
        """Return the increase of the limit at one update above `_fast_increase_limit`.

        It is a share of the baseline rate.  With a rate that is unknown or out of date the limit would hardly
        increase, so after a while without a decrease it is at least a share of the limit.
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
            # unchanged by further decreases while the queue from before the first one is still being served
            self._fast_increase_limit = max(self._min_limit(), self.rate_limit * FAST_INCREASE_LIMIT_FACTOR)
        self.rate_limit *= DECREASE_FACTOR
        self._last_decrease_at = now

    def _decrease_limit_gently(self, now: int) -> None:
        """Decrease the limit a little, because responses are in time but no longer fast."""
        # a fleet in slow start is slow even below its known capacity, which does not indicate overload
        if self._exceeds_known_capacity():
            self.rate_limit = max(self._min_limit(), self.rate_limit * GENTLE_DECREASE_FACTOR)
            self._fast_increase_limit = self.rate_limit
        self._last_decrease_at = now

    def _exceeds_known_capacity(self) -> bool:
        """Return whether the limit is near `_fast_increase_limit` or above it."""
        return self.rate_limit >= self._fast_increase_limit * GENTLE_DECREASE_FACTOR

    def _min_limit(self) -> float:
        """Return the lower bound of the limit, in requests per second."""
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
        """Return to `NORMAL` once the limit has been above the offered rate for `DISENGAGE_AFTER_US`."""
        if self.rate_limit < DISENGAGE_HEADROOM_FACTOR * offered_rate or good_ratio < INCREASE_GOOD_RATIO:
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
