"""Every decision of linetrack.  Its whole interface is `linetrack/policy/interface.py`.

After "Load Balancing in FoundationDB": two candidates drawn up front at odds 1/penalty, the copy
waiting for the first send's timer.  `docs/design.md` lists each departure and when it acts.
"""

from __future__ import annotations

import math
import zlib
from bisect import bisect
from collections import defaultdict, deque
from collections.abc import Iterable
from itertools import accumulate
from random import Random

from linetrack.policy.actions import (
    Action,
    CancelAttempt,
    CloseIdleConnections,
    FailRequest,
    RejectRequest,
    SetTimer,
    StartAttempt,
    WatchEndpoints,
)
from linetrack.policy.events import (
    AttemptEnded,
    ClientDisconnected,
    EndpointListUpdate,
    EndpointStatus,
    Event,
    ListForm,
    NEVER_EXECUTED,
    Outcome,
    RequestBodySent,
    RequestReceived,
    ResponseStarted,
    TimerFired,
)
from linetrack.policy.protocols import IdempotencyKeyStore, OverloadController, PossibleExecution
from linetrack.policy.settings import DeduplicationScope, Idempotency, LoadField, Settings
from linetrack.policy.traffic_share import TrafficShare
from linetrack.policy.decaying_average import FORGET_SPEED, SECOND, Evidence
from linetrack.policy.records import Attempt, Request, Upstream

# --- Tunables: ratios, and times with no counterpart in the settings -----------------------------
SMOOTH = 0.2  # weight of a new observation in each EWMA: about the last ten decide
BUSIEST = 0.85  # a reported utilisation above this is mostly noise
FORGET_LOAD = 1 * SECOND  # a load report not renewed fades to the mean over this time
LIST_NEWS = 3 * SECOND  # a load told by the list, to all instances alike, is smoothed over this time
REPORT_WEIGHT = 0.2  # a request told of in a report, beside an own one: late and noisy, so worth less
CALM_STEP = 0.03  # step of the calm pace, per answer and in logarithms; it falls CALM_FALL times as fast
CALM_FALL = 3.0  # as it rises, so it stays near the pace of uncrowded upstreams
CALM_MOST = 0.5  # and at most this share of the shortest aim: fleets are built to answer in time
FIRST_GUESS = 0.25  # the pace before any answer, as a share of the shortest aim
SHARPNESS = 6.0  # penalty = (expected completion / zone's mean) ** this
ERROR_WEIGHT = 4.0  # an upstream with error share e counts as (1 - e) ** -this more loaded
HEDGE_AFTER = 3.0  # the first send's timer, in smoothed latencies (the design page's default)
HEDGE_ROOM = 5.0  # it may wait until so many of the copy's own expected latencies are left of the aim
VIEW_STEP = 0.15  # but for a change of load by more than this share
VIEW = SECOND  # what is expected of an idle upstream stands so long, twice where reports tell no load
BUDGET_SHARE = 0.15  # copies and further attempts per first send, over time
COPY_PRICE = 5.0  # what a copy takes from it, given back if it serves: heavy ones are not to run twice
REST_SHARE = 0.7  # of the rest after which a connection was reset at once, later ones are closed before use
BUDGET_BURST = 8.0  # and at most so many at once, of which an instance starts with the least that lets one go
SPELL = 1 * SECOND  # first unavailable spell (design page); doubles while trials fail
SPELL_MAX = 8 * SECOND  # so that a recovered upstream is not kept out for long
ABSENT_MOST = 2_048  # records kept of upstreams called gone where that is advice: a whole fleet, replaced
DRAG_STEP = 0.5  # weight of a new answer in a class's share of answers in time
DRAG_APART = SECOND // 4  # late answers of a class that come closer together count as one
DRAG_TRIALS = 0.04  # share of such a class's requests that is sent at least
DRAGS = 0.4  # a class that has less than this of the best class's share drags by itself
SICK = 0.3  # error share that starts a spell; it ends for good once the share is under a third of this
COLD_SAFETY = 0.5  # share of the fall budget used: work is random, capacities are guessed
COLD_TURNS = 4  # instances take turns of a span each where one send each fits in so many spans; else by lot
COLD_SPREAD = 2.5  # standard deviations of chance that must fit beside the mean of sends by lot
COLD_WEIGHT = 1.5  # a share w of its capacity weighs an upstream's odds by w ** this
LATE_WEIGHT = 16.0  # work costs 1 + this x share of late requests beyond LATE_USUAL: jams are hard to see
LATE_USUAL = 0.1  # share of late requests that chance alone may bring, for very uneven work
KEY_PULL = 2.0  # a key raises the odds of the upstreams that it shares with all, the first of n by n ** this
CROSS_AVERSION = 20.0  # a crossing multiplies a second candidate's penalty by 1 + price x this
EVEN = 0.1  # share served within which classes count as equally badly served
LINKS = 5.0  # upstreams of a zone that an instance keeps to where a connection carries many requests
LINK_PULL = 6.0  # the n-th is divided by 1 + (n / LINKS) ** this while there is no connection
SHARE_SPAN = 5 * SECOND  # a tenant's own rate is counted over about this time
SPILL = 0.1  # net worth gained above a crossing's price at which all cross; less, so many fewer
LISTED_MOST = 2.0  # what is listed may at most make a send look so many times as crowded as own answers do
CHANCE = 2.5  # steepness of the chance to make the aim: 1 / (1 + (expected / aim) ** this)
SHED_HOLDS = 6_000  # after one of a class was shed its repeats are, so long for each upstream to be weighed
FULL_COST = 0.3  # worth of a mean request's place in a zone whose queues are all full
HOLD_STEP = 20_000  # how often a request held for want of a ready upstream looks again
HOLD_SHARE = 0.25  # held at most this share of its aim, then answered
ASK_PACE = 10_000  # time between first calls to discovery, over all instances that start together
ASK_AGAIN = 1 * SECOND  # first wait before discovery is asked again; doubles to ask_every / 2


Weighed = tuple[list[Upstream], list[float], list[float], list[float]]  # who, expected, sound, odds
Limits = tuple[int | None, int | None]  # zone and cell to keep to


class Ledger:
    """Further attempts and requests taken in the stated window: asked before every send but a first one."""

    def __init__(self, settings: Settings) -> None:
        self.further: deque[int] = deque()
        self.taken: deque[int] = deque()
        self.closed, self.s = 0, settings

    def limit(self, settings: Settings, now: int) -> None:
        if settings.retry_window > self.s.retry_window:
            # guards against a longer window in which more was sent than was kept count of
            self.closed = now + settings.retry_window
        self.s = settings

    def add(self, times: deque[int], now: int) -> None:
        if self.s.retry_window:
            times.append(now)
            self.full(now)

    def full(self, now: int) -> bool:
        """Whether one more would be beyond the limit."""
        since = now - self.s.retry_window
        # guards against either reading of the window's edge: an attempt on it counts, a request does not
        while self.further and self.further[0] < since:
            self.further.popleft()
        while self.taken and self.taken[0] <= since:
            self.taken.popleft()
        most = self.s.retry_window_allowance + self.s.retry_window_ratio * len(self.taken)
        return bool(self.s.retry_window) and (now < self.closed or len(self.further) + 1 > most)


class Balancer:
    """One instance: `handle` takes one event and returns the actions it calls for, in order."""

    def __init__(
        self, settings: Settings, seed: int, guide: OverloadController | None = None, memory: IdempotencyKeyStore | None = None
    ) -> None:
        # `guide` and `memory` are asked where an installation has them on
        self.s, self.guide, self.memory = settings, guide, memory
        self.random, self.now = Random(seed), 0
        self.actions: list[Action] = []
        self.fleet: dict[str, Upstream] = {}
        self.requests: dict[int, Request] = {}
        self.orphans: dict[tuple[int, int], Attempt] = {}
        self.budget, self.ledger = 1.0, Ledger(settings)
        # an answer's time, in logarithms: calm pace + zone's crowding + kind and upstream + class
        soonest = max(2, min(c.latency_objective for c in settings.classes))
        self.calm, self.calm_most = math.log(FIRST_GUESS * soonest), math.log(CALM_MOST * soonest)
        # by zone: how crowded it is, and the mean of what was told of its upstreams
        self.zones: defaultdict[int, Evidence] = defaultdict(Evidence)
        self.others: defaultdict[int, float] = defaultdict(float)
        self.kinds: defaultdict[int, Evidence] = defaultdict(Evidence)
        # worked out once an event, not once an upstream: by zone and by kind
        self.seen: dict[int, tuple[float, float]] = {}
        self.up: list[list[Upstream]] = []  # not told as draining or gone: of the own zone, of the others
        self.kept: dict[int, tuple[int, Weighed]] = {}  # by class, the others as weighed, and until when
        self.sizes = [Evidence() for _ in settings.classes]
        self.nominal: dict[int, float] = {}  # by kind, the most that a size that moves with load was
        self.rates: defaultdict[int, Evidence] = defaultdict(Evidence)  # of a kind's warm ones, as reported
        self.traffic = TrafficShare(settings.instance_count)
        self.work = Evidence()  # an uncrowded answer's time, the mean over all classes
        self.mean_worth = self.mean_pace = 0.0
        self.asked = [1.0 / len(settings.classes)] * len(settings.classes)
        self.served = [1.0] * len(settings.classes)
        self.tenants: dict[int, tuple[float, int]] = {}  # first tries of each, fading, and as of when
        self.shed = [-SECOND] * len(settings.classes)  # when one of each was last shed
        self.patience = [0] * len(settings.classes)  # the longest that a first try had
        self.ask_wait = ASK_AGAIN
        self.watching = self.retired = self.dragging = False  # the last: whether one of `timely` is low
        self.busy = self.holds = 0.0  # share of cores at work and requests held a core, as told together
        self.working = 1.0  # share of a request's time alone that is work; the rest it waits on others
        self.refused = Evidence()  # share of dials that found no place
        self.rest, self.rest_at = math.inf, 0  # the longest that a connection may have rested, and as of when
        self.heard_at = self.cold_until = self.answers = 0
        self.late = Evidence()  # share of sent requests that were late
        self.full: defaultdict[int, Evidence] = defaultdict(Evidence)  # by zone, share that found it full
        self.timely = [(1.0, 0)] * len(settings.classes)  # share of each one's answers in time, as of when
        self.usual_errors = 0.0  # share of errors among an upstream's answers: half of them have no more

    def handle(self, now: int, event: Event) -> list[Action]:
        self.now, self.actions = now, []
        self.seen.clear()
        match event:
            case RequestReceived():
                self._arrive(event)
            case AttemptEnded():
                self._ended(event)
            case TimerFired():
                self._timer(event.token)
            case EndpointListUpdate():
                self._news(event)
            case ClientDisconnected() if request := self.requests.get(event.request_id):
                self._close(request)
            case ResponseStarted() if request := self.requests.get(event.request_id):
                self._begun(request, event.attempt)
            case RequestBodySent():
                request = self.requests.get(event.request_id)
                if request and (attempt := request.out.get(event.attempt)):
                    attempt.sent = self.now
                    if not request.arrival.is_replayable:
                        request.at, request.until = self.now, self.now + request.arrival.timeout
                        attempt.upstream.out[(request.number, attempt.number)] = attempt
        return self.actions  # probes are never sent, peers never asked: nothing rests on their words

    # --- Fleet view ------------------------------------------------------------------------------
    def _news(self, news: EndpointListUpdate) -> None:
        if news.form is ListForm.REJECTED:
            # guards against a broken subscription: asked again with back-off, the old list stands
            if self.s.must_subscribe:
                self.actions.append(SetTimer(int(self.ask_wait * (0.5 + self.random.random())), "ask"))
                self.ask_wait = min(2 * self.ask_wait, max(ASK_AGAIN, self.s.poll_interval // 2))
            return
        self.ask_wait, self.up, self.kept = ASK_AGAIN, [], {}
        for entry in news.entries:
            upstream = self.fleet.get(entry.endpoint)
            bound = entry.status is EndpointStatus.REMOVED and not self.s.removal_is_advisory
            if upstream is None:
                upstream = self.fleet[entry.endpoint] = Upstream(entry)
            elif entry.started_at > upstream.listed_start:
                upstream.fresh(entry)
            elif self.s.removal_is_advisory:
                # guards against one that drains, is left out and comes back: a later start alone is another
                bound = upstream.gone
            upstream.gone, upstream.absent = bound or entry.status is EndpointStatus.DRAINING, False
            upstream.warm_at = upstream.listed_start + self.s.slow_start_duration if upstream.listed_start else 0
            self.cold_until = max(self.cold_until, upstream.warm_at)
            # a size that is no positive number tells nothing
            size = upstream.size = entry.capacity if 0 < entry.capacity < math.inf else 1.0
            upstream.view_until = 0
            if self.s.capacity_varies_with_load:
                # guards against load counted twice: a size that moves with it is its kind's most and the load
                upstream.size = self.nominal[entry.host_class] = max(size, self.nominal.get(entry.host_class, 0.0))
                self._load(upstream, upstream.size / size - 1, LIST_NEWS)
        over = {entry.endpoint for entry in news.entries if entry.status is EndpointStatus.REMOVED}
        if news.form is not ListForm.DELTA:
            over |= self.fleet.keys() - {entry.endpoint for entry in news.entries}
        if self.s.removal_is_advisory:
            over = self._absent(over)
        for name in over:
            # guards against records of all that ever was; attempts still out keep theirs
            self.fleet.pop(name).gone = True
        if over:
            kinds, zones = ({getattr(u, part) for u in self.fleet.values()} for part in ("kind", "zone"))
            of_kinds, of_zones = (self.kinds, self.rates, self.nominal), (self.zones, self.full, self.others)
            for known, there in [*((k, kinds) for k in of_kinds), *((k, zones) for k in of_zones)]:
                for place in known.keys() - there:
                    del known[place]
        if self.s.must_subscribe and not self.watching:
            self.watching = True
            # guards against a stampede: instances that start together spread their calls by lot
            wait = int(self.random.random() * min(self.s.poll_interval // 2, (self.s.instance_count - 1) * ASK_PACE))
            self.actions.append(SetTimer(wait, "ask") if wait else WatchEndpoints(True))

    def _absent(self, over: set[str]) -> set[str]:
        """Guards against a list that is wrong about who is up: those called gone where that is advice stay,
        on trial if they did not drain.  Answers end the trial, failures the record; whom to forget."""
        for name in [name for name, known in self.fleet.items() if name in over and not known.absent]:
            upstream = self.fleet[name] = self.fleet.pop(name)
            upstream.absent = True
            for klass in range(len(self.s.classes)):
                upstream.spells.setdefault(klass, (SPELL, self.now + SPELL))
        return set([name for name, upstream in self.fleet.items() if upstream.absent][:-ABSENT_MOST])

    def _report(self, upstream: Upstream, values: tuple[float, ...]) -> None:
        """Take a report in: requests at the upstream beyond those this instance sent itself."""
        seen = {f: v for f, v in zip(self.s.load_report_fields, values, strict=False) if 0 <= v < math.inf}
        if LoadField.REQUEST_RATE in seen and self._warmth(upstream) >= 1:
            self.rates[upstream.kind].add(self.now, seen[LoadField.REQUEST_RATE] / SECOND)
        if self.s.capacity_varies_with_load:
            if seen.get(LoadField.UTILIZATION, 1.0) < BUSIEST and upstream.load_at:  # Little's law, cores not short
                self.busy += SMOOTH / 4 * (seen[LoadField.UTILIZATION] - self.busy)
                self.holds += SMOOTH / 4 * (upstream.others - self.holds)
                self.working = min(1.0, self.busy / max(1e-9, self.holds))
            return  # the list tells of every upstream at once, an answer of one that may not be seen for long
        if (figure := seen.get(LoadField.QUEUE_DEPTH, seen.get(LoadField.IN_FLIGHT))) is not None:
            self._load(upstream, figure, FORGET_LOAD, 2 * SMOOTH)

    def _load(self, upstream: Upstream, figure: float, over: int, least: float = 0.0) -> None:
        """Take in what was told of the requests at an upstream, of which those beyond own ones count."""
        beyond = max(0.0, figure - len(upstream.out))
        # late news swings shares: smoothed, and own sends are counted on top as they happen
        fresh = 1 - math.exp((upstream.load_at - self.now) / over) if upstream.load_at else 1.0
        change = max(least, fresh) * (beyond - upstream.others)
        upstream.others, upstream.load_at = upstream.others + change, self.now
        if abs(change) > VIEW_STEP * (1 + upstream.others):
            upstream.view_until = 0
        self.others[upstream.zone] += SMOOTH / 4 * (beyond - self.others[upstream.zone])

    # --- Penalty ---------------------------------------------------------------------------------
    def _faded(self, value: float, since: int, mean: float, over: int) -> float:
        """The value while news of it is fresh, towards the mean as it ages: old news must not rule."""
        return mean + (value - mean) * math.exp((since - self.now) / over) if since else mean

    def _backlog(self, upstream: Upstream) -> float:
        """Requests at the upstream: own ones still out, and what its reports told beyond them."""
        own = len(upstream.out)
        for attempt in upstream.out.values():
            # guards against lost answers taken for load: later ones came, and its time is long over
            if attempt.sent >= upstream.answered or self.now - attempt.sent < HEDGE_AFTER * attempt.expected:
                break
            own -= 1
        return own + REPORT_WEIGHT * self._told(upstream)

    def _told(self, upstream: Upstream) -> float:
        """Requests at it beyond own ones, as told while that is fresh, then as the mean of its zone."""
        if not upstream.load_at:
            return 0.0
        return self._faded(upstream.others, upstream.load_at, self.others[upstream.zone], FORGET_LOAD)

    def _warmth(self, upstream: Upstream) -> float:
        """The share of its capacity that a started upstream can be counted on to have."""
        if self.now >= upstream.warm_at:
            return 1.0
        age = max(0, self.now - upstream.listed_start) / self.s.slow_start_duration
        return min(1.0, self.s.slow_start_initial_fraction + (1 - self.s.slow_start_initial_fraction) * age)

    def _pool(self, upstream: Upstream) -> float:
        return self.kinds[upstream.kind].beside(self.now, 0.0)

    def _pace(self, upstream: Upstream) -> float:
        """The upstream's own time for a request over the mean's, beside that of its kind; logarithm."""
        return upstream.pace.beside(self.now, self._pool(upstream)) - self.mean_pace

    def _told_of(self, zone: int) -> tuple[float, float]:
        """Time of a mean request alone at the zone's mean upstream, and share of sends that find a place."""
        if zone not in self.seen:
            crowd, full = (part.get(zone) for part in (self.zones, self.full))
            crowded = math.exp(crowd.beside(self.now, 0.0)) if crowd else 1.0
            # guards against queues that are full at many: no place where there is none counts as an error
            room = 1.0 - 0.9 * full.beside(self.now, 0.0) if full else 1.0
            self.seen[zone] = math.exp(self.calm) * crowded, room
        return self.seen[zone]

    def _expected(self, upstream: Upstream) -> float:
        """Expected completion of a mean request sent there now."""
        now, out = self.now, upstream.out
        if out or now >= upstream.view_until:
            upstream.alone = math.exp(self._pace(upstream))
            there = self._backlog(upstream) if out or upstream.load_at else 0.0
            upstream.warmth = self._warmth(upstream)
            upstream.loaded = upstream.alone * (1 + there) / upstream.warmth
            # guards against speed counted twice: a size beside the load a core stands for its kind's
            usual = math.exp(self._pool(upstream)) if self.s.capacity_varies_with_load else 1.0
            share = max(0.05, upstream.loaded * upstream.warmth / usual) ** -SHARPNESS
            upstream.share = upstream.size * upstream.warmth**COLD_WEIGHT * share
            upstream.view_until = now + (VIEW if upstream.load_at else 2 * VIEW)
        expected = self._told_of(upstream.zone)[0] * upstream.loaded
        # guards against a hung upstream: the oldest silence is a lower bound on its latency
        for oldest in out.values() if out else ():
            if oldest.sent >= upstream.answered and self._alone(oldest.klass) >= DRAGS:
                expected = max(expected, now - oldest.sent - 2 * oldest.expected + expected)
                break
        return expected

    def _sound(self, upstream: Upstream, klass: int) -> float:
        """Share of sends to it that find a place and, of a class, no error, but for what chance brings.

        Guards against leaving sound ones in turn while any answer may be spoilt (a share of few answers
        strays by up to its root), and for all classes where one fails: its own share counts while fresh."""
        sound = self._told_of(upstream.zone)[1]
        if self.s.max_streams_per_connection > 1 and upstream.linked < self.now:
            sound = min(sound, 1.0 - 0.9 * self.refused.value)
        if upstream.errors:
            share = self._failing(upstream, klass) - math.sqrt(self.usual_errors)
            if share > 0:
                sound *= 1 - min(0.9, share)
        return sound

    def _failing(self, upstream: Upstream, klass: int) -> float:
        """Its share of errors for a class: the class's own while that is fresh, then that of all."""
        own = upstream.own.get(klass)
        return self._faded(*own, upstream.errors, FORGET_SPEED) if own else upstream.errors

    def _scale(self, klass: int) -> float:
        """Time of the class's mean request over the mean of all."""
        return math.exp(self.sizes[klass].beside(self.now, 0.0))

    def _survey(self, upstreams: list[Upstream], klass: int) -> Weighed:
        """Of each: expected completion, how sound it is, 1 / penalty; one loop, as it is most of the work."""
        now, calm, dials = self.now, math.exp(self.calm), self.s.max_streams_per_connection > 1
        expected, sounds, odds, zone = [], [], [], -1
        for upstream in upstreams:
            if upstream.zone != zone:
                zone = upstream.zone
                crowd, room = self._told_of(zone)
                share = (crowd / calm) ** -SHARPNESS * (room**ERROR_WEIGHT if room < 1 else 1.0)
            value, sound = crowd * upstream.loaded, room
            if upstream.out or now >= upstream.view_until:
                value = self._expected(upstream)
            odd = share * upstream.share
            if value > crowd * upstream.loaded:
                odd *= (value / (crowd * upstream.loaded)) ** -SHARPNESS
            if dials or upstream.errors:
                # guards against a fast-failing upstream that looks idle: errors count as load
                sound = self._sound(upstream, klass)
                odd *= (sound / room) ** ERROR_WEIGHT
            expected.append(value)
            sounds.append(sound)
            odds.append(odd)
        return upstreams, expected, sounds, odds

    # --- Candidates ------------------------------------------------------------------------------
    def _ready(self, request: Request, away: bool, barred: Iterable[Upstream] = ()) -> list[Upstream]:
        """Of the own zone or the others: listed, up, allowed by the guard and not in a spell."""
        limits = self._limits(request)
        if limits is None:
            return []
        if not self.up:
            up = [u for u in self.fleet.values() if not u.gone]
            self.up = [[u for u in up if (u.zone != self.s.zone) is part] for part in (False, True)]
        ready = self.up[away]
        now = self.now if limits == (None, None) else -1  # a warm one needs no asking where nothing binds
        if now < self.cold_until:
            ready = [u for u in ready if (now >= u.warm_at and not u.gone) or self._fits(request, limits, u)]
        if barred:
            ready = [u for u in ready if u not in barred]
        open_to = [u for u in ready if not u.spells or self._open_to(request, u)]
        # never mark a whole zone unavailable: who could be reached stays, else all if nowhere else will do
        open_to = open_to or [u for u in ready if u.linked >= self.now]
        elsewhere = limits == (None, None) and any(u.linked >= self.now for u in self.up[not away])
        return open_to or ([] if elsewhere else ready)

    def _moved(self, upstream: Upstream, alone: bool) -> None:
        """What is kept of the other zones sees what was sent or heard: of this one alone, or anew of all."""
        if upstream.zone == self.s.zone:
            return
        if not alone or upstream.spells or any(upstream not in kept[0] for _, kept in self.kept.values()):
            self.kept.clear()
        for klass, (_, kept) in self.kept.items():
            at = kept[0].index(upstream)
            for known, value in zip(kept[1:], self._survey([upstream], klass)[1:], strict=True):
                known[at] = value[0]

    def _weighed(self, request: Request, away: bool) -> Weighed:
        """The ready ones, what is expected of each, how sound it is, and its odds."""
        # the others' are kept for a view, until something is sent there or heard; the guard asks again
        easy = away and not self.retired and self._limits(request) == (None, None)
        until, kept = self.kept.get(request.arrival.class_index, (0, None))
        if easy and kept and self.now < until:
            return kept
        kept = self._survey(self._ready(request, away), request.arrival.class_index)
        if easy:
            self.kept[request.arrival.class_index] = self.now + VIEW, kept
        return kept

    def _open_to(self, request: Request, upstream: Upstream) -> bool:
        """Out of its spell; the first sends after one are trials with a repeatable request."""
        klass = request.arrival.class_index
        until = upstream.spells.get(klass, (0, 0))[1]
        if not until or until > self.now:
            return not until
        # guards against losing one for good: unsafe ones go where others were served since the spell
        tells = request.klass.idempotency is not Idempotency.NON_IDEMPOTENT or upstream.answered > until
        return tells and all(attempt.klass != klass for attempt in upstream.out.values())

    def _pulled(self, request: Request, upstreams: list[Upstream], odds: list[float]) -> list[float]:
        """Odds pulled by each upstream's places, none removed: for a key, alike at all, and the instance."""
        if self.s.max_streams_per_connection > 1:
            # guards against a connection from each instance to each upstream, which costs places and work
            mark, count = self.s.instance * 0x85EBCA6B, len(upstreams)
            odds = [
                o if u.linked >= self.now else o / (1 + (u.place(mark) * count / LINKS) ** LINK_PULL)
                for o, u in zip(odds, upstreams, strict=True)
            ]
        if self.s.has_affinity_keys and request.arrival.affinity_key:
            mark = zlib.crc32(request.arrival.affinity_key.encode())
            odds = [o * u.place(mark) ** -KEY_PULL for o, u in zip(odds, upstreams, strict=True)]
        return odds

    def _draw(self, upstreams: list[Upstream], odds: list[float]) -> int | None:
        """One drawn at these odds; cold ones no oftener than their credit allows, else none."""
        if self.now < self.cold_until:
            odds = self._clipped(upstreams, odds)
        ends = list(accumulate(odds))
        if not upstreams or ends[-1] <= 0:
            return None
        pick = bisect(ends, self.random.random() * ends[-1], 0, len(ends) - 1)
        return pick if pick < len(upstreams) else None

    def _clipped(self, upstreams: list[Upstream], odds: list[float]) -> list[float]:
        """Odds whose shares for thinly budgeted cold ones keep to their credit; the rest may be nobody's."""
        now, total, free, caps = self.now, sum(odds) or 1.0, 1.0, {}
        for at, upstream in enumerate(upstreams):
            if now < upstream.warm_at and (now == upstream.credit_at or self._thin(upstream)):
                cap, credit = odds[at] / total, upstream.credit
                cap = caps[at] = cap if cap < credit else credit if credit > 0 else 0.0
                upstream.credit -= cap
                free -= cap
        if not caps or not free > 0:
            return odds
        warm = total - sum(odds[at] for at in caps)
        # guards against the last bits of a difference taken for a warm one's share
        scale, odds = (warm / free, odds.copy()) if warm > 1e-9 * total else (1.0, [*odds, free])
        for at, cap in caps.items():
            odds[at] = cap * scale
        return odds

    def _candidates(self, request: Request) -> None:
        """Both candidates, up front; each upstream's expectation is worked out once."""
        self._weigh(request)
        at_home, abroad = self._weighed(request, False), self._weighed(request, True)
        home, away = at_home[0], abroad[0]
        odds, far = (self._pulled(request, part[0], part[3]) for part in (at_home, abroad))
        pick, other, free = self._draw(home, odds), self._draw(away, far), (None, None)
        nets = self._net(request, at_home)
        worthy = [o if net >= 0 else 0.0 for o, net in zip(odds, nets, strict=True)]
        if pick is not None and nets[pick] < 0 and any(worthy):
            # guards against refusing for one bad draw
            pick = self._draw(home, worthy)
        request.first = request.second = None
        if pick is not None:
            request.first, request.net = home[pick], nets[pick]
        if other is not None and (self.now >= self.cold_until or self._fits(request, free, away[other])):
            # spillover: the own zone is short, and the worth gained over a usual draw exceeds the price
            gain = self._net(request, ([away[other]], [abroad[1][other]], [abroad[2][other]], []))[0]
            usual = sum(o * net for o, net in zip(worthy, nets, strict=True)) / (sum(worthy) or 1.0)
            # guards against all instances of a zone leaving and coming back together: graded by lot
            if pick is None or gain - self.s.cross_zone_cost - usual > SPILL * self.random.random():
                request.first, request.net = away[other], gain
        if request.net < 0:
            return  # it is shed
        cross = 1 + self.s.cross_zone_cost * CROSS_AVERSION
        rest, share = home + away, odds + [o / cross for o in far]
        if request.first is not None:
            at = rest.index(request.first)
            del rest[at], share[at]
        second = self._draw(rest, share)
        request.second = rest[second] if second is not None else None

    def _alone(self, klass: int) -> float:
        """A class's share of answers in time over that of the best class; near 0 if it alone is always late.

        Guards against a class that drags wherever it goes: its requests take the places of others, and its
        times look like crowding.  While no other's latest answer was in time, load is the cause."""
        if not self.dragging:
            return 1.0
        shares = [self._faded(share, at, 1.0, 4 * FORGET_SPEED) for share, at in self.timely]
        best = max([share for share, at in self.timely if at > self.now - FORGET_SPEED], default=0.0)
        return shares[klass] / max(shares) if best > DRAG_STEP else 1.0

    # --- Admission -------------------------------------------------------------------------------
    def _weigh(self, request: Request) -> None:
        """A request's worth and cost that are the same for every upstream, in worths of a mean request."""
        klass, classes = request.arrival.class_index, range(len(self.s.classes))
        scales = [self._scale(n) for n in classes]
        request.scale, request.value = scales[klass], self._class_worth(klass) * request.within
        request.lot = 0.5 + self.random.random()
        # guards against a jam taken for slow upstreams: lateness itself makes work dearer
        late = self._faded(self.late.value, self.late.at, 0.0, FORGET_SPEED)
        request.strain = 1 + LATE_WEIGHT * max(0.0, late - LATE_USUAL)
        request.room = sum(self.s.classes[n].latency_objective / scales[n] for n in classes) / len(classes)
        # once nothing was heard for a while, nothing is known to be full: guards against refusing for ever
        request.stretch = self._faded(1.0, self.heard_at, 0.0, FORGET_SPEED)

    def _net(self, request: Request, weighed: Weighed) -> list[float]:
        """Worth likely earned at each less what the work costs others: where requests take `crowded` times
        as long as alone, one more delays them by its completion x (crowded - 1) in all, times the slope."""
        calm, live, nets, zone = math.exp(self.calm), self.s.capacity_varies_with_load, [], -1
        left = min(request.klass.latency_objective + request.at, request.until) - self.now
        pace = (request.scale * request.stretch / left) ** CHANCE if left > 0 else math.inf
        slope, worth = (request.stretch / request.room) ** CHANCE, request.value
        load, filled = request.lot * request.strain * request.scale * CHANCE, 0.0
        for upstream, value, sound in zip(*weighed[:3], strict=True):
            if upstream.zone != zone:
                zone = upstream.zone
                # guards against full queues that turn all alike away: a place taken is one less for others
                filled = FULL_COST * request.lot * request.scale * (1.0 - self._told_of(zone)[1])
            warmth, alone = upstream.warmth, calm * upstream.alone
            if live:
                # guards against an overrun that own answers show too late: what is listed counts in full here
                full = alone * self.working * (1 + self._told(upstream)) / warmth
                value = max(value, min(full, LISTED_MOST * value))
            if warmth < 1:
                # guards against started upstreams idling in a jam: its crowding is that of the warm ones
                value *= math.exp(-self.zones[upstream.zone].beside(self.now, 0.0))
            power = value**CHANCE
            net = sound / (1 + pace * power) * worth - filled
            crowded = value * warmth / alone
            if crowded > 1:
                late = slope * power if slope * power < 1 else 1.0
                # guards against all instances turning all away, and then nothing, on late news: graded by lot
                net -= load * late / (1 + late) ** 2 * (crowded - 1)
            nets.append(net)
        return nets

    def _class_worth(self, klass: int) -> float:
        """Mean worth of a class's request; more while it is the worst served and the goal counts that."""
        size = self._scale(klass) if self.s.weighs_by_work else 1.0
        worth = max(1e-9, self.s.classes[klass].priority_weight) * size / (self.mean_worth or 1.0)
        if not 0 < self.s.goal_weight_of_worst_class < 1:
            return worth
        focus = [math.exp((min(self.served) - share) / EVEN) for share in self.served]
        part = self.s.goal_weight_of_worst_class / (1 - self.s.goal_weight_of_worst_class) / max(0.01, self.asked[klass])
        return worth + part * focus[klass] / sum(focus)

    def _within(self, arrival: RequestReceived) -> float:
        """Share of its worth that its tenant's part leaves a request: one's burst must not crowd all out."""
        if arrival.tenant >= len(self.s.tenant_quotas):
            return 1.0
        count, at = self.tenants.get(arrival.tenant, (0.0, self.now))
        count = count * math.exp((at - self.now) / SHARE_SPAN) + (not arrival.is_retry)
        self.tenants[arrival.tenant] = count, self.now
        part = self.s.tenant_quotas[arrival.tenant] * SHARE_SPAN / SECOND / self.s.instance_count
        beyond = max(0.0, 1 - (part + COLD_SPREAD * math.sqrt(part)) / max(count, 1e-9))
        return 1 - beyond * (1 - self.s.over_quota_weight)

    def _observe(self, arrival: RequestReceived) -> None:
        self.asked = [a + SMOOTH / 8 * ((n == arrival.class_index) - a) for n, a in enumerate(self.asked)]
        size = self._scale(arrival.class_index) if self.s.weighs_by_work else 1.0
        worth = self.s.classes[arrival.class_index].priority_weight * size
        self.mean_worth += SMOOTH / 4 * (worth - self.mean_worth) if self.mean_worth else worth

    # --- Attempts --------------------------------------------------------------------------------
    def _arrive(self, arrival: RequestReceived) -> None:
        request = Request(arrival, self.s.classes[arrival.class_index], self.now)
        self.requests[request.number] = request
        request.within = self._within(arrival)
        if not arrival.is_retry:
            self.patience[arrival.class_index] = max(self.patience[arrival.class_index], arrival.timeout)
        elif arrival.timeout < 0.95 * self.patience[arrival.class_index]:
            # guards against repeats taken for first tries: what those have more of is used up
            request.at = self.now + min(0, arrival.timeout - request.klass.timeout)
        self.budget = min(BUDGET_BURST, self.budget + BUDGET_SHARE)
        self.ledger.add(self.ledger.taken, self.now)
        self._observe(arrival)
        worth = self._class_worth(arrival.class_index) / self._scale(arrival.class_index) if self.guide else 0.0
        # guards against storms of repeats, each weighed against the whole fleet: a verdict holds a moment
        same = arrival.is_retry and self.now - self.shed[arrival.class_index] < SHED_HOLDS * len(self.fleet)
        admitted = not same and (not self.guide or self.guide.admit(self.now, arrival, worth))
        alone = self._alone(arrival.class_index)  # but for a few, which tell when it is over
        drags = alone < DRAGS and self.random.random() > max(DRAG_TRIALS, (alone / DRAGS) ** 2)
        sends = not drags and admitted and self._limits(request)
        (self._start if sends else self._end)(request)

    def _start(self, request: Request) -> None:
        self._candidates(request)
        if request.first is not None and request.net < 0:  # load shedding
            self.shed[request.arrival.class_index] = self.now
            self._end(request)
        elif request.first is None or not self._send(request, request.first):
            self._hold(request)

    def _hold(self, request: Request) -> None:
        """No upstream may be sent to: look again shortly, for a share of the aim at most."""
        limit = min(request.until - 2 * HOLD_STEP, request.at + int(HOLD_SHARE * request.klass.latency_objective))
        if self.now + HOLD_STEP > limit:
            self._end(request)
        else:
            request.held = True
            self.actions.append(SetTimer(HOLD_STEP, f"hold:{request.number}"))

    def _timer(self, token: str) -> None:
        kind, _, rest = token.partition(":")
        if kind == "ask":
            self.actions.append(WatchEndpoints(True))
        request = self.requests.get(int(rest)) if rest.isdigit() else None
        if request and kind == "hold" and request.held:
            request.held = False
            self._start(request)
        elif request and kind == "copy" and len(request.out) == 1 and not request.began:
            self._further(request, copy=True, price=COPY_PRICE)

    def _further(self, request: Request, copy: bool, price: float = 1) -> None:
        """The second candidate, then the rotation; a copy only while the first is out."""
        target = self._next(request)
        useful = target is not None and self._useful(request, target) and self.budget >= price
        useful = useful and (not price or not self.guide or self.guide.allow_retry(self.now))
        if target is not None and useful and self._send(request, target):
            self.budget -= price
        elif not copy and not request.out:
            self._end(request)

    def _begun(self, request: Request, number: int) -> None:
        """A streamed answer has begun: other attempts are over, and what is left of it is no load."""
        if attempt := request.out.get(number):
            attempt.upstream.out.pop((request.number, number), None)
        if self.s.may_cancel:
            self.actions += [CancelAttempt(request.number, nth) for nth in request.out if nth != number]
        request.began = self.now

    def _next(self, request: Request) -> Upstream | None:
        fresh = {*self._ready(request, False, request.tried), *self._ready(request, True, request.tried)}
        if self.s.retry_window:
            # guards against spending few further attempts on more of what failed: who served here lately
            fresh = {u for u in fresh if u.answered > self.now - FORGET_SPEED} or fresh
        if request.second in fresh:
            return request.second
        # the appendix's rotation: the next one in list order after the last tried, own zone first
        order = list(self.fleet.values())
        start = next((order.index(last) for last in request.tried[-1:] if last in order), 0)
        turn = [u for u in order[start:] + order[:start] if u in fresh]
        return next((u for u in turn if u.zone == self.s.zone), turn[0] if turn else None)

    def _useful(self, request: Request, target: Upstream) -> bool:
        """A further attempt must be likely to earn more than its crossing costs."""
        took = request.scale * self._expected(target)
        if self.memory and self.now + took >= (self._by(request) or math.inf):
            # guards against a repeat that its group takes up only after it has forgotten the key
            return False
        price = self.s.cross_zone_cost if target.zone != self.s.zone else 0.0
        left = min(request.klass.latency_objective + request.at, request.until) - self.now
        worth = self._sound(target, request.arrival.class_index)
        worth *= 1 / (1 + (request.stretch * took / left) ** CHANCE) if left > 0 else 0.0
        if took < request.until - self.now:
            worth = max(worth, request.klass.late_weight)
        # guards against attempts after attempts into a fleet that is full: each takes the place of another's
        price += FULL_COST * request.lot * request.scale * (1.0 - self._told_of(target.zone)[1])
        return worth * request.value > price and worth > 0.05

    def _ended(self, event: AttemptEnded) -> None:
        request, key = self.requests.get(event.request_id), (event.request_id, event.attempt)
        attempt = request.out.pop(event.attempt, None) if request else self.orphans.pop(key, None)
        if attempt is not None:
            attempt.upstream.out.pop(key, None)
            self._learn(attempt, event)
            self._moved(attempt.upstream, event.outcome is Outcome.SUCCESS)
        if request is None:
            return
        if event.request_completed:
            if attempt is not None and attempt.copy and event.outcome is Outcome.SUCCESS:
                self.budget = min(BUDGET_BURST, self.budget + COPY_PRICE)
            self._close(request, event.outcome is Outcome.SUCCESS)
        if event.request_completed or attempt is None:
            return
        never = event.outcome in NEVER_EXECUTED
        ran = PossibleExecution(attempt.upstream.zone, attempt.upstream.cell, attempt.sent)
        if not never:
            request.ran.append(ran)
        elif self.memory:  # what never ran binds nobody
            self.memory.discard(request.arrival.idempotency_key, ran)
        if request.out or request.held:
            return
        # what never ran put no load on anybody: the next attempt takes its place and costs no budget
        self._further(request, copy=False, price=0 if never else 1)

    # --- Health ------------------------------------------------------------------------------------
    def _learn(self, attempt: Attempt, event: AttemptEnded) -> None:
        upstream, outcome, klass = attempt.upstream, event.outcome, attempt.klass
        upstream.view_until, aim = 0, self.s.classes[klass].latency_objective
        if self.retired:
            return
        if event.load_report:
            self._report(upstream, event.load_report)
        if outcome is Outcome.NOT_SENT:
            return
        upstream.used = self.now
        broken = outcome in (Outcome.CONNECT_FAILED, Outcome.RESET)
        upstream.linked = 0 if broken else self.now + self.s.keep_alive_timeout
        if attempt.dials:
            self.refused.add(self.now, float(event.outcome is Outcome.CONNECT_FAILED))
        if outcome is Outcome.RESET and attempt.rest > 0 and 4 * event.latency < attempt.expected:
            self.rest, self.rest_at = REST_SHARE * attempt.rest, self.now
            self.actions.append(CloseIdleConnections(upstream.name))
            return
        self.full[upstream.zone].add(self.now, float(outcome is Outcome.OVERLOADED))
        good = outcome is Outcome.SUCCESS
        upstream.answered = max(upstream.answered, good * attempt.sent)
        in_time = good and event.latency <= aim
        silence = outcome in (Outcome.TIMEOUT, Outcome.CANCELLED) and event.latency > attempt.expected
        # a silence that later sends overtook is an answer lost, and tells nothing of the upstream's pace
        if good or (silence and attempt.sent >= upstream.answered):
            share, at = self.timely[klass]
            # guards against one moment's trouble, as after an own standstill, taken for many answers
            if in_time or (event.latency > aim and self.now - at > DRAG_APART):
                self.timely[klass] = share + DRAG_STEP * (in_time - share), self.now
                self.dragging = min(self.timely)[0] <= DRAGS
            self._timed(attempt, event.latency)
        if outcome is Outcome.CANCELLED:
            return
        if self.guide:
            self.guide.record_response(self.now, in_time, good and 2 * event.latency <= aim)
        if outcome is Outcome.TIMEOUT and upstream.heard_at > attempt.sent:
            return  # slow, not silent: the latency counts it; overload must not look like failure
        if outcome is not Outcome.TIMEOUT:
            upstream.heard_at = self.heard_at = self.now
        failed = not good and outcome is not Outcome.OVERLOADED
        own = upstream.own.get(klass, (upstream.errors, 0))[0]
        upstream.own[klass] = own + SMOOTH * (failed - own), self.now
        upstream.errors += SMOOTH * (failed - upstream.errors)
        # guards against half of the fleet out of reach or silent, taken for usual: only spoilt answers are
        upstream.faults += SMOOTH / 8 * ((outcome in (Outcome.ERROR, Outcome.RESET)) - upstream.faults)
        if failed:
            shares = sorted([u.faults for u in self.fleet.values()])
            self.usual_errors = shares[(len(shares) - 1) // 2] if shares else 0.0
        # an upstream's own errors: a full zone must not keep its spells from ending
        sick = self._failing(upstream, klass) - math.sqrt(self.usual_errors)
        if good:
            # guards against a flaky upstream let in by one lucky answer: the share must fall first
            if sick < SICK / 3:
                upstream.spells.pop(klass, None)
            return
        # a full or unreachable upstream says so at once, for all; other failures must repeat, or fail a trial
        plain = outcome in (Outcome.OVERLOADED, Outcome.CONNECT_FAILED)
        if plain or klass in upstream.spells or sick >= SICK:
            for each in range(len(self.s.classes)) if plain else (klass,):
                length, until = upstream.spells.get(each, (0, 0))
                if self.now >= until:
                    length = min(SPELL_MAX, 2 * length) or SPELL
                upstream.spells[each] = length, max(until, self.now + length)
            if upstream.absent and not upstream.gone and upstream.spells[klass][0] >= SPELL_MAX:
                self.fleet.pop(upstream.name, None)
                self.up = []

    def _timed(self, attempt: Attempt, latency: int) -> None:
        """Take an observed latency in, as the time a mean request costs for each one in hand."""
        upstream, size = attempt.upstream, self.sizes[attempt.klass]
        if self._warmth(upstream) < 1 or self._alone(attempt.klass) < DRAGS:
            return  # how warm it truly was is not told, so nothing is learnt of pace or crowding
        zone, kind = self.zones[upstream.zone], self.kinds[upstream.kind]
        # guards against a clock too coarse to tell: an answer in no time still takes some
        took = math.log(max(1, latency) / (1 + attempt.backlog))
        # in logarithms, as one very heavy request says little; each part learns what the others leave
        pace, scale, crowd = self._pace(upstream), size.beside(self.now, 0.0), zone.beside(self.now, 0.0)
        rest = took - scale - pace - self.calm
        self.answers += 1
        step = max(1 / self.answers, CALM_STEP * (1.0 if rest > 0 else CALM_FALL))
        self.calm = min(self.calm + min(1.0, step) * rest, self.calm_most)
        rest = took - scale - self.calm
        zone.add(self.now, rest - pace)
        kind.add(self.now, rest - crowd)
        upstream.pace.add(self.now, rest - crowd)
        size.add(self.now, took - self.calm - crowd - pace)
        # guards against a calm pace that sinks as the parts beside it rise: their means are kept at nought
        self.mean_pace += SMOOTH / 4 * pace
        mean = sum(share * s.beside(self.now, 0.0) for share, s in zip(self.asked, self.sizes, strict=True))
        for each in self.sizes:
            each.value -= mean
        self.work.add(self.now, math.exp(min(took - crowd - pace, self.calm + 3)))

    # --- Cold start ------------------------------------------------------------------------------
    def _cold_part(self, upstream: Upstream) -> float:
        """This instance's part of the fall budget of one span, in sends; as of a view, when it was less."""
        if self.now < upstream.part_until:
            return upstream.part
        upstream.part, upstream.part_until, share = math.inf, self.now + VIEW, self._warmth(upstream)
        if share < 1 and self.s.overload_window and self.s.overload_multiple:
            slower = math.exp(max(0.0, self._pool(upstream)))
            cost = 1.5 * (self.work.value * slower or max(c.latency_objective for c in self.s.classes))
            # what warm ones of its kind are reported to serve, or at least one request at a time
            bears = max(1 / cost, self.rates[upstream.kind].beside(self.now, 0.0))
            whole = self.s.overload_multiple * share * COLD_SAFETY * self.s.overload_window * bears
            room = math.sqrt(COLD_SPREAD**2 + 4 * whole / COLD_SAFETY) - COLD_SPREAD
            own = self.traffic.estimate(self.now, self.fleet.values(), self.rates)
            upstream.part, upstream.lots = whole * own, (room / 2) ** 2 * own
        return upstream.part

    def _thin(self, upstream: Upstream) -> bool:
        """Whether its part is too small for turns: sends fall by lot then, from a credit kept here."""
        if (upstream.part if self.now < upstream.part_until else self._cold_part(upstream)) * COLD_TURNS >= 1:
            return False
        since, credit, lots = self.now - upstream.credit_at, upstream.credit, upstream.lots
        credit += lots * since / self.s.overload_window if since > 0 else 0.0
        upstream.credit, upstream.credit_at = credit if credit < lots else lots, self.now
        return True

    def _cold_room(self, request: Request, upstream: Upstream) -> bool:
        """Each counts its part of the fall budget; under one send it is one every k-th span, in turns."""
        part = self._cold_part(upstream)
        if part * COLD_TURNS < 1:
            return upstream in (request.first, request.second) or not request.sends
        turn = max(0, self.now - upstream.listed_start) // self.s.overload_window
        if part < 1 and (turn + self.s.instance) % math.ceil(1 / part):
            return False
        upstream.cold_sent = [t for t in upstream.cold_sent if t > self.now - self.s.overload_window]
        return len(upstream.cold_sent) < max(1, int(part))

    # --- The guard: every send and every final answer passes here --------------------------------
    def _limits(self, request: Request) -> Limits | None:
        """Zone and cell that the request's next attempt must keep to; None where none may be sent."""
        s, klass, most = self.s, request.klass, self.s.max_attempts if request.arrival.is_replayable else 1
        if request.began or self.now >= request.until or request.sends >= most:
            return None
        if not request.sends and not self.memory:
            return None, None
        maybe = self._maybe(request)
        barred = (request.out and not s.may_run_parallel_attempts) or (maybe and klass.idempotency is Idempotency.NON_IDEMPOTENT)
        if barred or (request.sends and self.ledger.full(self.now)):
            return None
        if maybe and klass.idempotency is Idempotency.IDEMPOTENCY_KEY:
            if self.now >= self._by(request):
                return None
            if klass.deduplication_scope is not DeduplicationScope.ALL:
                return maybe[0].zone, maybe[0].cell if klass.deduplication_scope is DeduplicationScope.CELL else None
        return None, None

    def _maybe(self, request: Request) -> list[PossibleExecution]:
        """All that may have run for it, or may yet; under its key, where that is remembered."""
        if self.memory and request.arrival.idempotency_key and request.klass.idempotency is Idempotency.IDEMPOTENCY_KEY:
            return self.memory.executions(self.now, request.arrival.idempotency_key)
        out = [PossibleExecution(a.upstream.zone, a.upstream.cell, a.sent) for a in request.out.values()]
        return request.ran + out if out else request.ran

    def _by(self, request: Request) -> int:
        """When its group begins to forget its key; 0 where nothing may have run, or it has none."""
        maybe = self._maybe(request) if request.klass.idempotency is Idempotency.IDEMPOTENCY_KEY else []
        return min(ran.sent_at for ran in maybe) + request.klass.deduplication_window if maybe else 0

    def _fits(self, request: Request, limits: Limits, upstream: Upstream) -> bool:
        zone, cell = limits
        if upstream.gone or (zone is not None and upstream.zone != zone):
            return False
        here = cell is None or upstream.cell == cell
        return here and (self.now >= upstream.warm_at or self._cold_room(request, upstream))

    def _send(self, request: Request, upstream: Upstream) -> bool:
        limits = self._limits(request) if request.number in self.requests else None
        if limits is None or not self._fits(request, limits, upstream):
            return False
        attempt = Attempt(request, upstream, self.now)
        if attempt.rest * math.exp((self.rest_at - self.now) / FORGET_SPEED) > self.rest:
            # guards against connections dropped unseen: what is sent on one may have run, and is lost
            self.actions.append(CloseIdleConnections(upstream.name))
            attempt.rest = 0
        by = self._by(request) if request.sends or self.memory else 0
        attempt.expected = expected = self._scale(attempt.klass) * self._expected(upstream)
        attempt.backlog = self._backlog(upstream)
        request.out[attempt.number] = attempt
        if request.arrival.is_replayable:
            upstream.out[(request.number, attempt.number)] = attempt
        if self.memory and request.arrival.idempotency_key and request.klass.idempotency is Idempotency.IDEMPOTENCY_KEY:
            self.memory.add(request.arrival.idempotency_key, PossibleExecution(upstream.zone, upstream.cell, self.now))
        if request.sends:
            self.ledger.add(self.ledger.further, self.now)
        self._moved(upstream, True)
        request.sends += 1
        request.tried.append(upstream)
        if self._warmth(upstream) < 1:
            upstream.cold_sent.append(self.now)
        else:
            self.traffic.sent(self.now)
        self.actions.append(StartAttempt(request.number, upstream.name, write_deadline=by))
        if self.s.may_run_parallel_attempts and request.klass.idempotency is not Idempotency.NON_IDEMPOTENT and expected:
            # guards against copies, and their crossings, that buy nothing: early is while it can be in time
            copy = request.scale * self._expected(request.second) if request.second else expected
            left = request.klass.latency_objective - (self.now - request.at)
            after = max(HEDGE_AFTER * expected, left - HEDGE_ROOM * copy)
            self.actions.append(SetTimer(int(after) + 1, f"copy:{request.number}"))
        return True

    def _end(self, request: Request) -> None:
        """The final answer of a request given up on: a refusal where the rule allows one."""
        klass = request.klass
        maybe = bool(self._maybe(request))
        keyed = klass.idempotency is Idempotency.IDEMPOTENCY_KEY
        repeats = klass.idempotency is Idempotency.IDEMPOTENT or (keyed and klass.deduplication_scope is DeduplicationScope.ALL)
        advice = min(self.s.max_retry_after, klass.latency_objective) if self.s.may_send_retry_after else 0
        latest = self.now + (self.s.max_retry_after if self.guide else advice)
        if self.memory and maybe and keyed and latest >= self._by(request):
            # guards against calling a repeat harmless that comes when its group has forgotten the key
            repeats = False
        if not maybe or repeats:
            if advice and self.guide:
                advice = self.guide.retry_after(self.now, klass.latency_objective, self.s.max_retry_after)
            self.actions.append(RejectRequest(request.number, advice))
        else:
            self.actions.append(FailRequest(request.number))
        self._close(request)

    def _close(self, request: Request, answered: bool = False) -> None:
        """The request is over: nothing more goes out for it, copies still out are called off."""
        del self.requests[request.number]
        klass = request.arrival.class_index
        late = (request.began or self.now) - request.at > request.klass.latency_objective
        if request.sends and self._alone(klass) >= DRAGS:
            self.late.add(self.now, float(late))
        self.served[klass] += SMOOTH / 8 * ((answered and not late) - self.served[klass])
        self.orphans |= {(request.number, number): attempt for number, attempt in request.out.items()}
        if self.s.may_cancel and not request.began:
            self.actions += [CancelAttempt(request.number, number) for number in request.out]
