"""When discovery is polled, how long a poll may take, and how long to wait after a failed one.

A change of the endpoint list is binding for an instance from a moment that the protocol names, whether or
not the instance has received it.  Every decision here follows from that moment, `binding_deadline`;
`docs/design/endpoint-list.md` has the table of all cases.

The schedule keeps that moment, the count of consecutive failures and the jitter that spreads polls over the
fleet.  It makes no poll itself and reads no clock: `server/discovery_client.py` makes the polls.  All times
are in microseconds.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from random import Random

from linetrack.policy.settings import Settings

MS, SECOND = 1_000, 1_000_000

# --- Named by the protocol -----------------------------------------------------------------------
# What a silent poll missed is binding this long after it fell silent,
SILENT_POLL_BINDING_DELAY_US = 6 * SECOND
# or this long after the end of its wait, if that is later.
LONG_POLL_BINDING_DELAY_US = 2 * SECOND
# Whatever failed before, a change is binding this long after discovery had it and was reachable.
MAX_LIST_STALENESS_US = 6 * SECOND
# The list of a newly configured discovery server is binding this long after SIGHUP.
SERVER_SWITCH_BINDING_DELAY_US = 4 * SECOND
# A watch counts as uninterrupted if the next long poll begins within this time.
WATCH_CONTINUATION_US = 200 * MS

# --- Chosen here ---------------------------------------------------------------------------------
# Each long poll waits for half of this at least, with jitter.
MAX_LONG_POLL_WAIT_US = 20 * SECOND
# A response to a long poll that is late by more than this will not come: healthy ones are by 2 ms at most.
LONG_POLL_RESPONSE_MARGIN_US = 300 * MS
# A discovery server that is reachable accepts at once.
CONNECT_TIMEOUT_US = 1500 * MS
# Until the response to an immediate poll begins: polls are queued by discovery for up to 3 s.
MAX_RESPONSE_TIMEOUT_US = 3500 * MS
# A poll that opens a watch was seen to take up to 0.7 s.
MIN_RESPONSE_TIMEOUT_US = 1 * SECOND
# From the first byte of a response to its last; doubles with each consecutive failure.
INITIAL_TRANSFER_TIMEOUT_US = 1500 * MS
# The limit of that doubling; with a lower one a long list on a slow link would never be read to its end.
MAX_TRANSFER_TIMEOUT_US = 3 * SECOND
# A response that has begun and then makes no progress for this long is abandoned; doubles too.
INITIAL_STALL_TIMEOUT_US = SECOND // 2
# The first pause before a failed poll is repeated; doubles.
INITIAL_BACKOFF_US = 1 * SECOND
# The rest of MAX_LIST_STALENESS_US after discovery's return is for its response.
MAX_BACKOFF_US = 2 * SECOND
# Between two polls, however near the binding deadline is.
MIN_BACKOFF_US = 100 * MS
# From the start of a lost poll to the next one; the rest of MAX_LIST_STALENESS_US is for the next response.
MAX_LOST_POLL_INTERVAL_US = 5 * SECOND
# The pause before the next attempt is this part of the time left to the binding deadline.
BACKOFF_DEADLINE_DIVISOR = 4
# The pause before the next poll where discovery answered a long poll early and without a change.
UNCHANGED_LIST_PAUSE_US = WATCH_CONTINUATION_US // 2
# More consecutive failures than this no longer change a timeout.
MAX_TIMEOUT_DOUBLINGS = 8


class PollFailure(Enum):
    """How a poll failed; the value is what is logged."""

    TIMEOUT = "timeout"  # no response in time
    TRUNCATED = "truncated"  # a response began, then stalled or ended before it was complete
    INVALID = "invalid"  # the response cannot be parsed, or its version is older than the current one
    REJECTED = "rejected"  # discovery responded with an error status
    UNREACHABLE = "unreachable"  # no connection, or it was reset


@dataclass(slots=True, frozen=True)
class Poll:
    """One poll of discovery; times in microseconds."""

    due_at: int  # when to send it
    long_poll_wait: int  # how long discovery is asked to wait for a change; 0 for an immediate response
    response_timeout: int  # until its response begins, connecting included for an immediate poll
    connect_timeout: int  # the part of that in which the connection is to be established
    stall_timeout: int  # how long a response that has begun may make no progress
    transfer_timeout: int  # from the response's first byte to its last


class DiscoverySchedule:
    """The schedule of one instance's polls.

    The caller takes `next_poll`, makes that poll at its time and records how it ended with `record_success`
    or `record_failure`, over and over.
    """

    def __init__(self, settings: Settings, seed: int) -> None:
        self.random = Random(seed)
        # From when a change that was not received may be binding; None while nothing can have been missed.
        self.binding_deadline: int | None = None
        # The start of the latest poll, which may be lost from its first moment on.
        self.poll_started_at = 0
        self.consecutive_failures = 0
        self.backoff = INITIAL_BACKOFF_US
        self.next_poll_at = 0
        self.configure(settings)
        # Whether the latest poll succeeded, so that a long poll from here on misses nothing.  Where updates
        # are pushed, the list from before the start may be out of date and an immediate poll comes first.
        self.is_list_current = not self.updates_are_pushed

    def configure(self, settings: Settings) -> None:
        """Apply `settings` from here on."""
        self.updates_are_pushed = not settings.must_subscribe
        self.drain_grace = settings.drain_grace
        self.max_backoff = max(INITIAL_BACKOFF_US, min(MAX_BACKOFF_US, settings.poll_interval // 2))

    def switch_server(self, now: int) -> None:
        """Poll another discovery server from here on, at once: its backoff starts anew."""
        self.binding_deadline = now + SERVER_SWITCH_BINDING_DELAY_US
        self.is_list_current = False
        self._reset_backoff(now)

    def next_poll(self, now: int) -> Poll:
        """Return the poll to make next.

        It is to be followed by `record_success`, `record_failure` or `switch_server`.
        """
        due_at = max(now, self.next_poll_at)
        self.poll_started_at = due_at
        return self._long_poll(due_at) if self.is_list_current else self._immediate_poll(due_at)

    def record_success(self, now: int, poll: Poll, is_list_changed: bool) -> None:
        """Record that `poll` got its complete response at `now`, and whether that changed the list."""
        self.binding_deadline = None
        self.is_list_current = True
        self._reset_backoff(now)
        if poll.long_poll_wait and not is_list_changed and now < poll.due_at + poll.long_poll_wait:
            # A discovery server that does not wait for changes would otherwise be polled without a pause.
            self.next_poll_at = now + UNCHANGED_LIST_PAUSE_US

    def record_failure(self, now: int, failure: PollFailure) -> None:
        """Record that the poll failed; the deadline of what it may have missed stands.

        From any moment at which discovery is reachable, its list is read within MAX_LIST_STALENESS_US if it
        responds in what MAX_LOST_POLL_INTERVAL_US leaves of that.
        """
        was_list_current = self.is_list_current
        self.is_list_current = False
        self.consecutive_failures += 1
        if was_list_current and failure is PollFailure.UNREACHABLE:
            self._drop_distant_deadline(now)
        delay = self._backoff_delay(now)
        if not was_list_current:
            # The failed poll may have hung while discovery was reachable all the while.
            remaining_interval = self.poll_started_at + MAX_LOST_POLL_INTERVAL_US - now
            delay = min(delay, max(MIN_BACKOFF_US, remaining_interval))
        if self.consecutive_failures == 1 and failure in (
            PollFailure.TIMEOUT,
            PollFailure.TRUNCATED,
            PollFailure.INVALID,
        ):
            # Discovery is up, only this one poll failed.
            delay = 0
        self.next_poll_at = now + delay

    def _reset_backoff(self, now: int) -> None:
        self.consecutive_failures = 0
        self.backoff = INITIAL_BACKOFF_US
        self.next_poll_at = now

    def _drop_distant_deadline(self, now: int) -> None:
        """Forget a binding deadline that is so far off that MAX_LIST_STALENESS_US is the limit that matters.

        With it, a fleet would poll a discovery server that is down or overloaded as often as one whose
        watches fell silent.
        """
        if (self.binding_deadline or 0) > now + MAX_LIST_STALENESS_US:
            self.binding_deadline = None

    def _backoff_delay(self, now: int) -> int:
        """Return the pause before the next poll and double the backoff."""
        jitter = 0.5 + self.random.random()
        delay = min(MAX_BACKOFF_US, int(self.backoff * jitter))
        self.backoff = min(2 * self.backoff, self.max_backoff)
        if self.updates_are_pushed:
            # Everything that discovery gets is binding at once.
            part_of_grace = max(MIN_BACKOFF_US, self.drain_grace // BACKOFF_DEADLINE_DIVISOR)
            return int(jitter * min(INITIAL_BACKOFF_US, part_of_grace))
        if self.binding_deadline is not None:
            # Past the deadline the distance grows again, so that attempts become rare.
            distance = abs(self.binding_deadline - now)
            part_of_distance = max(MIN_BACKOFF_US, distance // BACKOFF_DEADLINE_DIVISOR)
            return min(delay, int(jitter * part_of_distance))
        return delay

    def _long_poll(self, due_at: int) -> Poll:
        # Without jitter, polls that fall silent together would also time out together.
        jittered_wait = int(MAX_LONG_POLL_WAIT_US * (1 + self.random.random()) / 2)
        long_poll_wait = jittered_wait // MS * MS
        self.binding_deadline = due_at + max(
            SILENT_POLL_BINDING_DELAY_US, long_poll_wait + LONG_POLL_BINDING_DELAY_US
        )
        return Poll(
            due_at=due_at,
            long_poll_wait=long_poll_wait,
            response_timeout=long_poll_wait + LONG_POLL_RESPONSE_MARGIN_US,
            connect_timeout=CONNECT_TIMEOUT_US,
            stall_timeout=self._stall_timeout(),
            transfer_timeout=self._transfer_timeout(),
        )

    def _immediate_poll(self, due_at: int) -> Poll:
        # It grows with each failure: a poll that times out gives up its position in discovery's queue.
        half_of_rest = self._time_to_deadline(due_at) // 2
        base_timeout = max(MIN_RESPONSE_TIMEOUT_US, half_of_rest)
        response_timeout = min(MAX_RESPONSE_TIMEOUT_US, base_timeout << self._doublings())
        return Poll(
            due_at=due_at,
            long_poll_wait=0,
            response_timeout=response_timeout,
            connect_timeout=min(CONNECT_TIMEOUT_US, response_timeout),
            stall_timeout=self._stall_timeout(),
            transfer_timeout=self._transfer_timeout(),
        )

    def _time_to_deadline(self, now: int) -> int:
        if self.updates_are_pushed:
            return 0
        if self.binding_deadline is None:
            return 2 * MAX_RESPONSE_TIMEOUT_US
        return self.binding_deadline - now

    def _doublings(self) -> int:
        return min(self.consecutive_failures, MAX_TIMEOUT_DOUBLINGS)

    def _stall_timeout(self) -> int:
        return min(INITIAL_TRANSFER_TIMEOUT_US, INITIAL_STALL_TIMEOUT_US << self._doublings())

    def _transfer_timeout(self) -> int:
        return min(MAX_TRANSFER_TIMEOUT_US, INITIAL_TRANSFER_TIMEOUT_US << self._doublings())
