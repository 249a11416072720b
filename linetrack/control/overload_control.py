"""Storms of retries: how much the fleet is given while it is down and as it comes back, and who comes first.

Owns what was seen of offered, repeated, good and bad, the admitted rate that follows from it, and the times
that refused callers were told to come back at.  Must never read a clock, touch a socket or name an upstream:
the policy tells what happens and when (integer microseconds, never going back), asks, and decides.

While two thirds of what ends are bad (failed, or later than its class's aim) the guide is engaged: it lets in
a rate that falls while answers stay bad and grows while they are good, but never past thrice what is being
answered well, so that callers who all come again cannot keep a fleet down that has come back (a metastable
failure: Bronson et al., "Metastable Failures in Distributed Systems", HotOS 2021).  Who asks first goes
before who returns when told, and both before who did not wait; no class is left with nothing.  It disengages
once the rate has been above what is offered for a while.  Constant time each, for a fixed number of classes.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from enum import Enum
from random import Random

from linetrack.control.decaying_rate import DecayingRate
from linetrack.policy.events import RequestReceived

SECOND = 1_000_000
STEP = SECOND // 10  # between changes of the rate
ENGAGE = 0.65  # share of bad ends at which it engages
EVIDENCE = 8.0  # ends within about a second that a share rests on
GOOD, POOR = 0.9, 0.7  # shares of good ends above which the rate grows, and below which it falls
STREAK = 3  # good ends one after the other say as much, long before older bad ones are forgotten
DOWN_AGAIN = 0.35  # share of good ends under which a recovery has ended
GROWS = 1.15  # a step, up to what was held well before: twofold in half a second
CREEPS, STRAYS = 0.005, 0.02  # of the usual rate, a step, beyond it, and until FULL times it:
FULL = 1.5  # what is offered strays about it
BACK_TO = 0.8  # of the rate at which answers ceased to be in time it grows fast again
EASES, STILL_QUICK = (
    0.9,
    0.8,
)  # once a second while answers are in time and no longer quick: a queue grows, and a cliff is near
FALLS = 0.6  # at once, and again only after answers to what was let in since have had time to come
AHEAD = 3.0  # times what is answered well, at most
FEWEST = 0.25  # of the usual rate of good answers is let in however bad they are: somebody has to notice
LEAST = 2.0  # requests a second at the least
USUAL_OVER = 20.0  # seconds over which the usual rate is learnt, while calm
SETTLES = 1.0  # seconds until a first rate can be told
CALM_AFTER = 3 * SECOND  # for which the rate must have been above what is offered
ROOM = 1.2  # times what is offered
SLACK = 2.0  # times its part a group may try for: the bucket holds the sum, chance alone would undershoot it
BURST = 2.0  # requests at once at the least
OVERDRAWN = 0.5  # seconds of the rate that first tries may take ahead of it
STARVED = 0.05  # of the rate goes to each group that asks, whatever comes before it
BUDGET_SHARE, BUDGET_MOST = 0.1, 10.0  # further attempts for each good end, and at most so many at once
RETURNS = 0.5  # of the usual rate is what refused callers are told to come back at
KEPT_FOR = 2 * SECOND  # a time told is kept as a promise for so long
PROMISES = 4096  # held at once


class Phase(Enum):
    CALM = "calm"
    DOWN = "down"
    RECOVERING = "recovering"


class Order(Enum):
    """Who goes first while not all can be let in."""

    FIRST = 0
    RETURNED = 1  # came back at a time that was told
    EARLY = 2  # did not wait


PhaseListener = Callable[[Phase, dict[str, float]], None]


class AdaptiveOverloadController:
    """`tell` hears of each change of phase, with figures of what is over."""

    def __init__(self, seed: int, tell: PhaseListener = lambda phase, figures: None) -> None:
        self.random, self.tell = Random(seed), tell
        self.phase = Phase.CALM
        self.good, self.quick, self.bad = DecayingRate(), DecayingRate(), DecayingRate()
        self.offered, self.repeats = DecayingRate(), DecayingRate()
        self.usual = 0.0
        self.limit = 0.0  # requests a second that are let in, while engaged
        self.held = 0.0  # the rate up to which it grows fast
        self.fell_at = self.filled = 0
        self.tokens = self.spare = 0.0  # requests that may be let in, and of them others than first tries
        self.budget = BUDGET_MOST
        self.stepped = self.calm_since = self.engaged_at = 0
        self.calm_for = -SETTLES  # seconds from which the usual rate is known
        self.groups: dict[tuple[int, int], tuple[float, DecayingRate]] = {}  # by order and class: worth, rate offered
        self.promises: list[int] = []  # times told, a heap
        self.next_return = 0
        self.let_in = self.turned_away = self.streak = 0

    # --- What the policy asks ------------------------------------------------------------------------
    def admit(self, now: int, arrival: RequestReceived, worth: float) -> bool:
        """Whether there is room for a request now; `worth` is for the work that it asks for."""
        self._step(now)
        self.offered.add(now)
        order = Order.FIRST
        if arrival.is_retry:
            self.repeats.add(now)
            # callers' repeats and own ones draw on one budget
            self.budget = max(0.0, self.budget - BUDGET_SHARE)
            order = Order.RETURNED if self._kept_promise(now) else Order.EARLY
        if self.phase is Phase.CALM:
            return True
        group = (order.value, arrival.class_index)
        _, rate = self.groups.get(group, (worth, DecayingRate()))
        rate.add(now)
        self.groups[group] = worth, rate
        most = max(BURST, 2 * self.limit * STEP / SECOND)
        more = self.limit * (now - self.filled) / SECOND
        self.tokens, self.spare = min(most, self.tokens + more), min(BURST, self.spare + STARVED * more)
        self.filled = now
        # guards against repeats, many times as many, that find each token first: first tries may overdraw,
        # and what is spared for the others is theirs then
        if order is Order.FIRST:
            fits = self.tokens >= 1 - max(BURST, OVERDRAWN * self.limit)
        else:
            fits = max(self.tokens, self.spare) >= 1
        if fits := fits and self.random.random() < self._share(now, group):
            if order is Order.FIRST or self.tokens >= 1:
                self.tokens -= 1
            else:
                self.spare -= 1
            self.let_in += 1
        else:
            self.turned_away += 1
        return fits

    def allow_retry(self, now: int) -> bool:
        """Whether one more attempt is within the budget that callers' repeats and own ones share."""
        self._step(now)
        if self.budget < 1:
            return False
        self.budget -= 1
        return True

    def record_response(self, now: int, good: bool, quick: bool) -> None:
        """An attempt has ended: well and within its class's aim, or not; `quick` within half of that."""
        if quick:
            self.quick.add(now)
        (self.good if good else self.bad).add(now)
        self.streak = self.streak + 1 if good else 0
        if good:
            self.budget = min(BUDGET_MOST, self.budget + BUDGET_SHARE)
        self._step(now)

    def retry_after(self, now: int, usual: int, most: int) -> int:
        """After how long a refused caller is told to come back: spread over what the backlog needs, from half
        of `usual` on and at most `most` microseconds."""
        if self.phase is Phase.CALM:
            return min(most, int(usual * (0.5 + self.random.random())))
        every = SECOND / max(LEAST, self.usual * RETURNS)
        self.next_return = int(max(self.next_return, now + usual // 2) + every)
        after = self.next_return - now
        if after > most:
            # more wait than the longest advice can order: those past it are spread over its second half
            self.next_return -= int(every)
            after = most // 2 + int(most / 2 * self.random.random())
        if len(self.promises) < PROMISES:
            heapq.heappush(self.promises, now + after)
        return min(most, after)

    # --- Within --------------------------------------------------------------------------------------
    def _kept_promise(self, now: int) -> bool:
        """A repeat came: whether one that was told to come by now has not yet."""
        promises = self.promises
        while promises and promises[0] < now - KEPT_FOR:
            heapq.heappop(promises)
        if promises and promises[0] <= now:
            heapq.heappop(promises)
            return True
        return False

    def _share(self, now: int, group: tuple[int, int]) -> float:
        """Of a group's requests, how many are let in: what comes before it by order and worth goes first."""
        ranked = sorted(self.groups, key=lambda g: (g[0], -self.groups[g][0], g[1]))
        left = self.limit
        for each in ranked:
            rate = self.groups[each][1].per_second(now)
            part = min(1.0, SLACK * max(left, STARVED * self.limit) / max(rate, 1e-9))
            if each == group:
                return part
            left = max(0.0, left - rate * part)
        return 1.0

    def _step(self, now: int) -> None:
        passed = now - self.stepped
        if passed < STEP:
            return
        self.stepped = now
        good, bad, offered = self.good.per_second(now), self.bad.per_second(now), self.offered.per_second(now)
        share = good / (good + bad) if good + bad > 0 else 1.0
        if self.phase is Phase.CALM:
            if good + bad >= EVIDENCE and share <= 1 - ENGAGE:
                self._engage(now, good)
            else:
                part = min(1.0, passed / SECOND)
                self.calm_for = min(USUAL_OVER, self.calm_for + part)
                if self.calm_for > 0:
                    self.usual += (good - self.usual) * min(1.0, part / self.calm_for)
            return
        fewest = self._fewest()
        quick = self.quick.per_second(now) / (good + bad) if good + bad > 0 else 1.0
        noticed = self.streak >= STREAK and self.limit <= 2 * fewest
        if good + bad < 1:
            pass  # nothing ended lately: nothing is known
        elif quick >= GOOD or noticed or (share >= GOOD and self.limit < self.held):
            # a fleet that is still cold answers slowly, and in time: that is no queue
            creep = STRAYS if self.limit < FULL * self.usual else CREEPS
            self.limit = min(self.limit * GROWS, max(self.limit, self.held) + creep * self.usual)
        elif share < POOR and now - self.fell_at >= SECOND:
            if self.limit >= self.held * EASES:
                # not for what follows from one fall, as the queue that it left behind is worked off
                self.held = max(fewest, self.limit * BACK_TO)
            self.limit, self.fell_at = self.limit * FALLS, now
        elif quick < STILL_QUICK and self.limit > self.usual and now - self.fell_at >= SECOND:
            if self.limit >= self.held * EASES:
                # guards against taking the slowness of a fleet that is still cold for all that it will bear
                self.held = self.limit = max(fewest, self.limit * EASES)
            self.fell_at = now
        self.limit = min(max(self.limit, fewest), max(fewest, AHEAD * good))
        phase = self.phase
        if share >= POOR and good >= 1:
            phase = Phase.RECOVERING
        elif share < DOWN_AGAIN:
            phase = Phase.DOWN
        if phase is not self.phase:
            self._enter(phase, now)
        if self.limit < ROOM * offered or share < GOOD:
            self.calm_since = now
        elif now - self.calm_since >= CALM_AFTER:
            self._enter(Phase.CALM, now)
            self.groups.clear()

    def _fewest(self) -> float:
        """Requests a second that are let in however bad the answers are."""
        return max(LEAST, FEWEST * self.usual)

    def _engage(self, now: int, good: float) -> None:
        self.engaged_at = self.calm_since = self.next_return = now
        self.let_in = self.turned_away = 0
        self.limit, self.tokens = max(good, self._fewest()), 1.0
        self.held = max(self.limit, self.usual)
        self.fell_at = self.filled = now
        self._enter(Phase.DOWN, now)

    def _enter(self, phase: Phase, now: int) -> None:
        self.phase = phase
        offered = self.offered.per_second(now)
        self.tell(
            phase,
            {
                "for_s": round((now - self.engaged_at) / SECOND, 1),
                "rate": round(self.limit, 1),
                "usual": round(self.usual, 1),
                "offered": round(offered, 1),
                "repeats": round(self.repeats.per_second(now) / max(offered, 1e-9), 2),
                "let_in": self.let_in,
                "turned_away": self.turned_away,
            },
        )
