"""When discovery is polled, how long a poll may take, and how long to wait after a failed one.

The protocol defines when a change of the endpoint list becomes binding for an instance, whether or not the
instance has received the change.  Every decision here follows from that time, `binding_deadline`;
`docs/design/endpoint-list.md` has the table of all cases.

The schedule holds that deadline, the count of consecutive failures and the jitter that spreads the fleet's
polls.  It makes no poll itself and reads no clock: `server/discovery_client.py` makes the polls.  All times
are in microseconds.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from random import Random

from linetrack.policy.settings import Settings

MS, SECOND = 1_000, 1_000_000

# --- Defined by the protocol ---------------------------------------------------------------------
# A change that a silent poll missed is binding SILENT_POLL_BINDING_DELAY_US after the poll fell silent, or
# LONG_POLL_BINDING_DELAY_US after the end of its wait, whichever is later.
SILENT_POLL_BINDING_DELAY_US = 6 * SECOND
LONG_POLL_BINDING_DELAY_US = 2 * SECOND
# In any case a change is binding once discovery has had it and been reachable for this time.
MAX_LIST_STALENESS_US = 6 * SECOND
# The list of a newly configured discovery server is binding this long after SIGHUP.
SERVER_SWITCH_BINDING_DELAY_US = 4 * SECOND
# A watch counts as uninterrupted if the next long poll begins within this time.
WATCH_CONTINUATION_US = 200 * MS

# --- Defined by this client ----------------------------------------------------------------------
# Each long poll waits between half of this and all of it, with jitter.
MAX_LONG_POLL_WAIT_US = 20 * SECOND
# A long poll whose response is late by more than this is lost: healthy responses are late by 2 ms at most.
LONG_POLL_RESPONSE_MARGIN_US = 300 * MS
# A reachable discovery server accepts connections immediately.
CONNECT_TIMEOUT_US = 1500 * MS
# The maximum time until the response to an immediate poll begins; discovery queues polls for up to 3 s.
MAX_RESPONSE_TIMEOUT_US = 3500 * MS
# The minimum of the same timeout; a poll that opens a watch takes up to 0.7 s.
MIN_RESPONSE_TIMEOUT_US = 1 * SECOND
# The time from the first byte of a response to its last; it doubles with each consecutive failure up to the
# maximum.  With a lower maximum, a long list on a slow link could never be read completely.
INITIAL_TRANSFER_TIMEOUT_US = 1500 * MS
MAX_TRANSFER_TIMEOUT_US = 3 * SECOND
# The time without progress after which an incomplete response is abandoned; it doubles in the same way.
INITIAL_STALL_TIMEOUT_US = SECOND // 2
# The pause after the first failed poll; it doubles with each consecutive failure up to the maximum.  The
# difference to MAX_LIST_STALENESS_US is left for the response once discovery is reachable again.
INITIAL_BACKOFF_US = 1 * SECOND
MAX_BACKOFF_US = 2 * SECOND
# The minimum pause between two polls, however near the binding deadline is.
MIN_BACKOFF_US = 100 * MS
# The maximum time from the start of a lost poll to the next poll; the difference to MAX_LIST_STALENESS_US is
# left for the response to the next poll.
MAX_LOST_POLL_INTERVAL_US = 5 * SECOND
# The pause before the next poll is the distance to the binding deadline, divided by this.
BACKOFF_DEADLINE_DIVISOR = 4
# The pause after a long poll that discovery answered early and without a change.
UNCHANGED_LIST_PAUSE_US = WATCH_CONTINUATION_US // 2
# The maximum number of times that a timeout is doubled.
MAX_TIMEOUT_DOUBLINGS = 8


class PollFailure(Enum):
    """The reason why a poll failed; the values are logged."""

    TIMEOUT = "timeout"  # no response in time
    TRUNCATED = "truncated"  # a response began, then stalled or ended before it was complete
    INVALID = "invalid"  # the response cannot be parsed, or its version is older than the current one
    REJECTED = "rejected"  # discovery responded with an error status
    UNREACHABLE = "unreachable"  # the connection could not be established, or was reset


@dataclass(slots=True, frozen=True)
class Poll:
    """One poll of discovery; times in microseconds."""

    due_at: int  # when to send the poll
    long_poll_wait: int  # how long discovery is asked to wait for a change; 0 for an immediate response
    response_timeout: int  # until the response begins; for an immediate poll, connecting is included
    connect_timeout: int  # until the connection is established
    stall_timeout: int  # how long an incomplete response may make no progress
    transfer_timeout: int  # from the first byte of the response to its last


class DiscoverySchedule:
    """The schedule of one instance's polls.

    For each poll, the caller calls `next_poll`, sends the poll when it is due and records the result with
    `record_success` or `record_failure`.
    """

    def __init__(self, settings: Settings, seed: int) -> None:
        self.random = Random(seed)
        # When a change that was missed may become binding; None while no change can have been missed.
        self.binding_deadline: int | None = None
        # The start of the latest poll, which may have been lost from its start.
        self.poll_started_at = 0
        self.consecutive_failures = 0
        self.backoff = INITIAL_BACKOFF_US
        self.next_poll_at = 0
        self.configure(settings)
        # Whether the latest poll succeeded, so that a long poll now misses no change.  If updates are pushed,
        # the list from before the start may be out of date, and the first poll is an immediate one.
        self.is_list_current = not self.updates_are_pushed

    def configure(self, settings: Settings) -> None:
        """Apply `settings` from now on."""
        self.updates_are_pushed = not settings.must_subscribe
        self.drain_grace = settings.drain_grace
        self.max_backoff = max(INITIAL_BACKOFF_US, min(MAX_BACKOFF_US, settings.poll_interval // 2))

    def switch_server(self, now: int) -> None:
        """Poll another discovery server immediately, and reset the backoff."""
        self.binding_deadline = now + SERVER_SWITCH_BINDING_DELAY_US
        self.is_list_current = False
        self._reset_backoff(now)

    def next_poll(self, now: int) -> Poll:
        """Return the next poll to make.

        The next call must be `record_success`, `record_failure` or `switch_server`.
        """
        due_at = max(now, self.next_poll_at)
        self.poll_started_at = due_at
        return self._long_poll(due_at) if self.is_list_current else self._immediate_poll(due_at)

    def record_success(self, now: int, poll: Poll, is_list_changed: bool) -> None:
        """Record that the response to `poll` was complete at `now`, and whether it changed the list."""
        self.binding_deadline = None
        self.is_list_current = True
        self._reset_backoff(now)
        if poll.long_poll_wait and not is_list_changed and now < poll.due_at + poll.long_poll_wait:
            # Without this pause, a discovery server that does not wait for changes would be polled in a loop.
            self.next_poll_at = now + UNCHANGED_LIST_PAUSE_US

    def record_failure(self, now: int, failure: PollFailure) -> None:
        """Record that the poll failed; the binding deadline of changes that it may have missed remains.

        Once discovery is reachable, its list is read within MAX_LIST_STALENESS_US, provided that it responds
        within MAX_LIST_STALENESS_US - MAX_LOST_POLL_INTERVAL_US.
        """
        was_list_current = self.is_list_current
        self.is_list_current = False
        self.consecutive_failures += 1
        if was_list_current and failure is PollFailure.UNREACHABLE:
            self._drop_distant_deadline(now)
        delay = self._backoff_delay(now)
        if not was_list_current:
            # The failed poll may have hung although discovery was reachable the whole time.
            remaining_interval = self.poll_started_at + MAX_LOST_POLL_INTERVAL_US - now
            delay = min(delay, max(MIN_BACKOFF_US, remaining_interval))
        if self.consecutive_failures == 1 and failure in (
            PollFailure.TIMEOUT,
            PollFailure.TRUNCATED,
            PollFailure.INVALID,
        ):
            # Discovery is up; only this poll failed.
            delay = 0
        self.next_poll_at = now + delay

    def _reset_backoff(self, now: int) -> None:
        self.consecutive_failures = 0
        self.backoff = INITIAL_BACKOFF_US
        self.next_poll_at = now

    def _drop_distant_deadline(self, now: int) -> None:
        """Drop a binding deadline that is later than the limit that MAX_LIST_STALENESS_US sets.

        Otherwise a fleet would poll a discovery server that is down or overloaded as often as one whose
        watches have fallen silent.
        """
        if (self.binding_deadline or 0) > now + MAX_LIST_STALENESS_US:
            self.binding_deadline = None

    def _backoff_delay(self, now: int) -> int:
        """Return the pause before the next poll and double the backoff."""
        jitter = 0.5 + self.random.random()
        delay = min(MAX_BACKOFF_US, int(self.backoff * jitter))
        self.backoff = min(2 * self.backoff, self.max_backoff)
        if self.updates_are_pushed:
            # Every change is binding as soon as discovery has it.
            grace_fraction = max(MIN_BACKOFF_US, self.drain_grace // BACKOFF_DEADLINE_DIVISOR)
            return int(jitter * min(INITIAL_BACKOFF_US, grace_fraction))
        if self.binding_deadline is not None:
            # After the deadline the distance grows again, so that polls become less frequent.
            distance = abs(self.binding_deadline - now)
            distance_fraction = max(MIN_BACKOFF_US, distance // BACKOFF_DEADLINE_DIVISOR)
            return min(delay, int(jitter * distance_fraction))
        return delay

    def _long_poll(self, due_at: int) -> Poll:
        # Without jitter, polls that fall silent at the same time would also time out at the same time.
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
        # The timeout grows with each failure: a poll that times out loses its position in discovery's queue.
        half_time_to_deadline = self._time_to_deadline(due_at) // 2
        base_timeout = max(MIN_RESPONSE_TIMEOUT_US, half_time_to_deadline)
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
