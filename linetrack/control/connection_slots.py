"""Slots for client connections: which are kept alive after a response, for how long, and which are evicted.

Holds the state of each connection and the order in which connections are evicted.  It does no I/O and reads
no clock: the host reports events with their times (integer microseconds, which never decrease) and carries
out the decisions.  Nothing here depends on a protocol.

A kept connection saves a reconnect if it is reused, and occupies a slot while it is idle.  `IdleTimeModel`
estimates the probability of reuse; the demand for new connections sets the price of a second of a slot,
which rises as slots become scarce.  After a response a connection is kept if the expected reuse within
`MIN_IDLE_US`, the shortest time for which it can be kept, is worth more than the slot for that time.
Otherwise it is closed with the response, which cannot race with a request.  After `MIN_IDLE_US` it is kept
for as long as the expected reuse in the next second is worth the current price of that second.

Every call takes constant time: at most one step for each of the fixed number of groups and buckets.
"""

from __future__ import annotations

import math
from bisect import bisect_right
from collections import OrderedDict
from enum import Enum, auto

from linetrack.control.connection_demand import UNCONTENDED_SHARE, ConnectionDemand, slot_price
from linetrack.control.idle_time_model import IDLE_BUCKET_ENDS_US, IdleTimeModel
from linetrack.policy.time_units import SECOND

# Connections are grouped by their number of requests, with these lower bounds of the groups after the first,
# and by their age, which divides young from old ones at OLD_CONNECTION_US.
REQUEST_COUNT_BOUNDS = (2, 4, 8)
OLD_CONNECTION_US = 2 * SECOND
SLOTS_PER_TRIAL = 16  # one slot in 16 may hold a connection that is kept only to observe whether it is reused
# Times after which a connection may be closed without notice: if it is idle, if it has sent no request, which
# may already be on its way, and if no further part of its request has arrived.
MIN_IDLE_US = 2 * SECOND
MIN_NEW_US = SECOND // 20
MIN_PARTIAL_REQUEST_US = SECOND
# The same for a part of a request while at least half of all connections wait for one: then it is they who
# keep others out.
MIN_CROWDED_PARTIAL_REQUEST_US = SECOND // 4
MAX_IDLE_US = IDLE_BUCKET_ENDS_US[-1]  # no connection is kept idle for longer


def _group_parents() -> tuple[int | None, ...]:
    """Return the parent of each group of connections, in the numbering of `ConnectionSlot.reuse_group`.

    The parent of a group of old connections is the group of young ones with as many requests; the parent of a
    group of young connections is that of young ones with the next smaller number of requests.
    """
    group_count = (len(REQUEST_COUNT_BOUNDS) + 1) * 2
    return (None, 0, *(group - 2 if group % 2 == 0 else group - 1 for group in range(2, group_count)))


GROUP_PARENTS = _group_parents()


class SlotState(Enum):
    """The state of a connection."""

    NEW = auto()
    """Accepted, and no part of a request has arrived."""
    PARTIAL_REQUEST = auto()
    """A part of a request has arrived."""
    BUSY = auto()
    """A complete request is being served."""
    IDLE = auto()
    """Kept alive after a response."""
    CLOSED = auto()


class ConnectionSlot:
    """The slot of one connection, created by `ConnectionSlots.open` and changed only by `ConnectionSlots`."""

    __slots__ = ("is_on_trial", "opened_at", "queue", "request_count", "state", "state_since")

    def __init__(self, now: int) -> None:
        self.opened_at = now
        self.state = SlotState.NEW
        self.state_since = now
        self.request_count = 0
        self.is_on_trial = False  # kept only to observe whether it is used again
        # the queue that holds this slot: slots in the same state, the oldest first
        self.queue: OrderedDict[ConnectionSlot, None] | None = None

    def reuse_group(self, now: int) -> int:
        """Return the connection's group in the idle-time model, by its number of requests and its age."""
        is_old = now - self.opened_at >= OLD_CONNECTION_US
        return bisect_right(REQUEST_COUNT_BOUNDS, self.request_count) * 2 + is_old


class ConnectionSlots:
    """The slots of all client connections.

    Args:
        capacity: How many connections may be open for requests before new clients find no slot.
    """

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.idle_times = IdleTimeModel(GROUP_PARENTS)
        self.demand = ConnectionDemand()
        # queues of slots by state, each in the order in which connections entered the state
        self.new: OrderedDict[ConnectionSlot, None] = OrderedDict()
        self.partial_request: OrderedDict[ConnectionSlot, None] = OrderedDict()
        self.idle_by_group: tuple[OrderedDict[ConnectionSlot, None], ...] = tuple(
            OrderedDict() for _ in GROUP_PARENTS
        )
        self.busy_count = 0
        self.occupied_count = 0  # busy and idle connections
        self.trial_count = 0

    # --- Events of a connection --------------------------------------------------------------------------
    def open(self, now: int) -> ConnectionSlot:
        """Return a slot for a connection that was accepted."""
        slot = ConnectionSlot(now)
        slot.queue = self.new
        self.new[slot] = None
        return slot

    def begin_request(self, slot: ConnectionSlot, now: int) -> None:
        """Record that a part of a request has arrived, the first one or a further one."""
        if slot.state in (SlotState.NEW, SlotState.IDLE):
            self._end_idle_time(slot, now, was_used=True)
            self._set_state(slot, SlotState.PARTIAL_REQUEST, now)
        elif slot.state is SlotState.PARTIAL_REQUEST:
            slot.state_since = now
            self.partial_request.move_to_end(slot)

    def receive_request(self, slot: ConnectionSlot, now: int) -> None:
        """Record that a complete request has arrived and is about to be served."""
        if slot.state is SlotState.IDLE:
            self._end_idle_time(slot, now, was_used=True)
        if slot.state is not SlotState.BUSY and slot.state is not SlotState.CLOSED:
            self._set_state(slot, SlotState.BUSY, now)
            if not slot.request_count:
                self.demand.record_connection(now)
            slot.request_count += 1

    def decide_keep_alive(self, slot: ConnectionSlot, now: int) -> bool:
        """Return whether to keep the connection after the response to be sent, or to close it with that."""
        if self.occupied_count <= self.capacity * UNCONTENDED_SHARE:
            return True
        group = slot.reuse_group(now)
        keep = self.idle_times.best_keep_time(group, self.price(now), MIN_IDLE_US, MIN_IDLE_US)
        if keep.duration:
            return True
        max_trials = max(1, self.capacity // SLOTS_PER_TRIAL)
        if self.trial_count < max_trials and self.occupied_count < self.capacity:
            # Without trials, clients that begin to reuse connections would never be observed doing so.
            slot.is_on_trial = True
            self.trial_count += 1
            return True
        self.demand.record_close(now, keep.reuse_probability)
        return False

    def mark_idle(self, slot: ConnectionSlot, now: int) -> None:
        """Record that the response was sent and the connection is kept."""
        self._set_state(slot, SlotState.IDLE, now)

    def finish_readiness_check(self, slot: ConnectionSlot, now: int) -> None:
        """Record that the request was a readiness check of this process, which is not counted."""
        if slot.state is SlotState.PARTIAL_REQUEST:
            self._set_state(slot, SlotState.IDLE if slot.request_count else SlotState.NEW, now)

    def close(self, slot: ConnectionSlot, now: int) -> None:
        """Record that either side closed the connection; a second call changes nothing."""
        if slot.state is not SlotState.CLOSED:
            self._end_idle_time(slot, now, was_used=False)
            self._set_state(slot, SlotState.CLOSED, now)

    def count_by_state(self) -> dict[str, int]:
        """Return how many connections are in each state, by its name in lower case."""
        counts = {
            SlotState.NEW: len(self.new),
            SlotState.PARTIAL_REQUEST: len(self.partial_request),
            SlotState.BUSY: self.busy_count,
            SlotState.IDLE: self.occupied_count - self.busy_count,
        }
        return {state.name.lower(): number for state, number in counts.items()}

    # --- Decisions ---------------------------------------------------------------------------------------
    def price(self, now: int) -> float:
        """Return the price of a second of a slot, in reconnects."""
        return slot_price(self.occupied_count, self.capacity, self.demand.rate.per_second(now))

    def select_eviction(self, now: int) -> ConnectionSlot | None:
        """Return the connection to close in favour of a new one, or None if none may be closed yet.

        A connection without any request comes first, then the idle one that is least likely to be reused,
        then the one that has waited longest for a further part of its request.  The host closes it, or
        reports an event that has happened on it meanwhile.
        """
        return (
            _first_after(self.new, now, MIN_NEW_US)
            or self._lowest_rate_idle_slot(now, math.inf)
            or _first_after(self.partial_request, now, self._min_partial_request_us())
        )

    def select_idle(self, now: int) -> ConnectionSlot | None:
        """Return the idle connection that is least likely to be reused, if one may be closed.

        The host closes it, or reports an event that has happened on it meanwhile.
        """
        return self._lowest_rate_idle_slot(now, math.inf)

    def select_expired(self, now: int) -> ConnectionSlot | None:
        """Return an idle connection whose expected reuse is no longer worth its slot, or None.

        The host closes it, or reports an event that has happened on it meanwhile.
        """
        return self._lowest_rate_idle_slot(now, self.price(now))

    def _min_partial_request_us(self) -> int:
        """Return for how long no part of a request must have come until its connection may be evicted."""
        partial_count = len(self.partial_request)
        other_count = len(self.new) + self.occupied_count
        return MIN_PARTIAL_REQUEST_US if partial_count < other_count else MIN_CROWDED_PARTIAL_REQUEST_US

    # --- Internals ---------------------------------------------------------------------------------------
    def _set_state(self, slot: ConnectionSlot, state: SlotState, now: int) -> None:
        """Move the slot to the queue of its new state; runs several times per request."""
        queue = slot.queue
        if queue is not None:
            del queue[slot]
        if slot.state is SlotState.BUSY or slot.state is SlotState.IDLE:
            self.occupied_count -= 1
            self.busy_count -= slot.state is SlotState.BUSY
        if state is SlotState.BUSY:
            queue = None
            self.busy_count += 1
            self.occupied_count += 1
        elif state is SlotState.IDLE:
            queue = self.idle_by_group[slot.reuse_group(now)]
            self.occupied_count += 1
        elif state is SlotState.PARTIAL_REQUEST:
            queue = self.partial_request
        else:
            queue = self.new if state is SlotState.NEW else None
        if queue is not None:
            queue[slot] = None
        slot.queue = queue
        slot.state = state
        slot.state_since = now

    def _end_idle_time(self, slot: ConnectionSlot, now: int, was_used: bool) -> None:
        if slot.state is SlotState.IDLE:
            group = slot.reuse_group(slot.state_since)
            self.idle_times.record(group, now - slot.state_since, was_used)
        if slot.is_on_trial:
            slot.is_on_trial = False
            self.trial_count -= 1

    def _lowest_rate_idle_slot(self, now: int, max_rate: float) -> ConnectionSlot | None:
        """Return the idle connection with the lowest reuse rate, if that rate is below `max_rate`.

        Only connections that may already be closed are considered.  One that has been idle for `MAX_IDLE_US`
        has a reuse rate of zero.
        """
        rates = self.idle_times.reuse_rates()
        lowest = max_rate
        selected = None
        for group, slots in enumerate(self.idle_by_group):
            slot = _first_after(slots, now, MIN_IDLE_US)
            if slot is None:
                continue
            idle_time = now - slot.state_since
            if idle_time < MAX_IDLE_US:
                rate = rates[group][bisect_right(IDLE_BUCKET_ENDS_US, idle_time)]
            else:
                rate = 0.0
            if rate < lowest:
                lowest = rate
                selected = slot
        return selected


def _first_after(slots: OrderedDict[ConnectionSlot, None], now: int, min_age: int) -> ConnectionSlot | None:
    """Return the oldest of the slots if it has been in its state for `min_age` or longer, otherwise None."""
    oldest = next(iter(slots), None)
    if oldest is None or now - oldest.state_since < min_age:
        return None
    return oldest
