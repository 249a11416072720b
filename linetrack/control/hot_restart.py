"""The steps of a hot restart: a new process takes over from the serving one, and no request is lost.

There is one state machine for each side.  The host reports the messages from the channel between the two
processes, and the time; each method returns the commands for the host to execute, in order.  The state
machines define the order of the steps, their timeouts and the recovery from a failure at each step; they
read no clock and do no I/O.  At any time one of the two processes accepts connections, even if either of
them ends or hangs.

All times are integer microseconds.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

PROTOCOL_VERSION = 1  # version of the channel's messages; a process with another version is rejected
READY_TIMEOUT_US = 10_000_000  # from the grant until the successor's report that it is ready
GRANT_TIMEOUT_US = 3_000_000  # from connecting until the predecessor's reply
CONNECT_RETRY_TIMEOUT_US = 5_000_000  # how long a successor keeps connecting to a busy predecessor
CONNECT_RETRY_INTERVAL_US = 100_000
HEARTBEAT_INTERVAL_US = 250_000
HEARTBEAT_TIMEOUT_US = 2_000_000  # without a message from the predecessor; then it is considered hung
NEVER = 1 << 62  # a time that is never reached


@dataclass(slots=True, frozen=True)
class Identity:
    """Distinguishes a sidecar's processes from another customer's that have the same name and address."""

    class_names: tuple[str, ...]
    settings_digest: str

    def is_foreign(self, other: Identity | None) -> bool:
        """Return whether the other process belongs to another customer.

        It does if its settings differ and it has no class in common with this process.  A process whose
        settings have changed keeps some of its classes and is not foreign.  A process of an early version
        sends no identity (None) and is not considered foreign either.
        """
        if other is None or other.settings_digest == self.settings_digest:
            return False
        return not any(name in self.class_names for name in other.class_names)


class Command(Enum):
    """What a state machine asks its host to do."""

    # commands to the predecessor's host
    GRANT = "grant"  # send the listening socket and the endpoint list
    REJECT_BUSY = "reject_busy"  # reply that another successor is taking over, and close
    REJECT_FOREIGN = "reject_foreign"  # reply that this is another customer's process, and close
    REJECT_VERSION = "reject_version"  # reply that the successor's version is not supported, and close
    CLOSE_CHANNEL = "close_channel"
    SEND_HEARTBEAT = "send_heartbeat"
    HAND_OVER = "hand_over"  # stop accepting, send the policy's snapshot, then the client connections
    RESUME = "resume"  # accept again, and shut down as without a successor
    SHUT_DOWN = "shut_down"  # shut down without a successor
    # commands to the successor's host
    CONNECT = "connect"  # connect to the predecessor's socket
    LISTEN = "listen"  # open the listening socket, as in a start without a predecessor
    SEND_READY = "send_ready"
    START_ACCEPTING = "start_accepting"  # accept, and let the next successor find this process
    TAKE_ALL_LIMITS = "take_all_limits"  # stop sharing the descriptor and memory limits with the predecessor
    GIVE_UP = "give_up"  # end this process: another one serves or takes over


class PredecessorState(Enum):
    """The states of the serving process; the values are logged."""

    SERVING = "serving"
    GRANTED = "granted"
    SUCCESSOR_READY = "successor_ready"
    HANDING_OVER = "handing_over"
    SHUTTING_DOWN = "shutting_down"


class SuccessorState(Enum):
    """The states of the process that is taking over; the values are logged."""

    CONNECTING = "connecting"
    PREPARING = "preparing"
    STANDING_BY = "standing_by"
    ACCEPTING = "accepting"
    ALONE = "alone"
    GAVE_UP = "gave_up"


class PredecessorStateMachine:
    """The state machine of the serving process, which serves as before until its shutdown begins.

    | state           | meaning                                 | left on                                |
    | --------------- | --------------------------------------- | -------------------------------------- |
    | SERVING         | no successor                            | hello, shutdown                        |
    | GRANTED         | a successor has the socket and prepares | ready, lost channel, timeout, shutdown |
    | SUCCESSOR_READY | the successor is ready and stands by    | lost channel, shutdown                 |
    | HANDING_OVER    | state and connections are handed over   | lost channel                           |
    | SHUTTING_DOWN   | shuts down without a successor          |                                        |
    """

    def __init__(self) -> None:
        self.state = PredecessorState.SERVING
        self.next_heartbeat_at = NEVER
        self.ready_deadline = NEVER

    def on_hello(self, now: int, version: object, is_foreign: bool = False) -> list[Command]:
        """Handle the hello of a successor, with its protocol version and whether it is foreign."""
        if is_foreign:
            # a process must not receive the endpoints and request ids of another customer
            return [Command.REJECT_FOREIGN]
        if self.state is not PredecessorState.SERVING:
            return [Command.REJECT_BUSY]
        if version != PROTOCOL_VERSION:
            return [Command.REJECT_VERSION]
        self.state = PredecessorState.GRANTED
        self.ready_deadline = now + READY_TIMEOUT_US
        self.next_heartbeat_at = now + HEARTBEAT_INTERVAL_US
        return [Command.GRANT]

    def on_ready(self) -> list[Command]:
        """Handle the successor's report that it is ready to serve."""
        if self.state is PredecessorState.GRANTED:
            self.state = PredecessorState.SUCCESSOR_READY
            self.ready_deadline = NEVER
        return []

    def on_channel_lost(self) -> list[Command]:
        """Handle the end of the channel to the successor."""
        self._clear_deadlines()
        if self._has_successor():
            self.state = PredecessorState.SERVING
        elif self.state is PredecessorState.HANDING_OVER:
            self.state = PredecessorState.SHUTTING_DOWN
            return [Command.RESUME]
        return []

    def begin_shutdown(self) -> list[Command]:
        """Begin the shutdown of this process."""
        if self._has_successor():
            # a successor that still prepares has the listening socket too: new connections wait in its queue
            self.state = PredecessorState.HANDING_OVER
            self._clear_deadlines()
            return [Command.HAND_OVER]
        if self.state is PredecessorState.SERVING:
            self.state = PredecessorState.SHUTTING_DOWN
            return [Command.SHUT_DOWN]
        return []

    def on_tick(self, now: int) -> list[Command]:
        """Handle the passing of time."""
        if now >= self.ready_deadline:
            # a hung successor would keep every other successor from being granted
            return [Command.CLOSE_CHANNEL, *self.on_channel_lost()]
        if now >= self.next_heartbeat_at:
            self.next_heartbeat_at = now + HEARTBEAT_INTERVAL_US
            return [Command.SEND_HEARTBEAT]
        return []

    def _has_successor(self) -> bool:
        return self.state in (PredecessorState.GRANTED, PredecessorState.SUCCESSOR_READY)

    def _clear_deadlines(self) -> None:
        self.next_heartbeat_at = NEVER
        self.ready_deadline = NEVER


class SuccessorStateMachine:
    """The state machine of the process that is taking over.

    | state       | meaning                                   | left on                                   |
    | ----------- | ----------------------------------------- | ----------------------------------------- |
    | CONNECTING  | looks for a serving process               | granted, no predecessor, retry timeout    |
    | PREPARING   | has the socket and reads the endpoints    | prepared, handover, lost channel, timeout |
    | STANDING_BY | is ready to serve                         | handover, lost channel, timeout           |
    | ACCEPTING   | serves while the predecessor drains       | lost channel                              |
    | ALONE       | no other process serves                   | address in use                            |
    | GAVE_UP     | another process serves or takes over      |                                           |
    """

    def __init__(self, now: int) -> None:
        self.state = SuccessorState.CONNECTING
        self.next_action_at = now  # when to connect again, or to consider the predecessor hung
        self.connect_deadline = now + CONNECT_RETRY_TIMEOUT_US
        self.is_prepared = False
        self.found_foreign_process = False

    def begin_connect(self, now: int) -> list[Command]:
        """Connect to the predecessor, whose reply is due by `next_action_at`."""
        self.next_action_at = now + GRANT_TIMEOUT_US
        return [Command.CONNECT]

    def on_no_predecessor(self) -> list[Command]:
        """Handle that no process was found, or that the one found ended without a grant."""
        self.state = SuccessorState.ALONE
        self.next_action_at = NEVER
        return [Command.LISTEN]

    def on_foreign_predecessor(self) -> list[Command]:
        """Handle that the process found is another customer's.

        That process is left alone, and later successors find it rather than this process.
        """
        self.found_foreign_process = True
        return self.on_no_predecessor()

    def on_address_in_use(self, now: int) -> list[Command]:
        """Handle that no process was found but the address is in use: connect again until the deadline.

        This happens if the process that was found ended while its own successor could not be found yet.
        """
        self.state = SuccessorState.CONNECTING
        if now + CONNECT_RETRY_INTERVAL_US >= self.connect_deadline:
            return self._give_up()
        return self.on_busy(now)

    def on_busy(self, now: int) -> list[Command]:
        """Handle that the predecessor has another successor: connect again until the deadline."""
        if now >= self.connect_deadline:
            return self._give_up()
        self.next_action_at = now + CONNECT_RETRY_INTERVAL_US
        return []

    def on_granted(self, now: int) -> list[Command]:
        """Handle the grant: the predecessor has sent the listening socket and its endpoint list."""
        self.state = SuccessorState.PREPARING
        self.next_action_at = now + HEARTBEAT_TIMEOUT_US
        return []

    def on_prepared(self) -> list[Command]:
        """Handle that this process is ready to serve."""
        self.is_prepared = True
        if self.state is SuccessorState.PREPARING:
            self.state = SuccessorState.STANDING_BY
            return [Command.SEND_READY]
        return self._accept_if_due()

    def on_message(self, now: int) -> list[Command]:
        """Handle any message from the predecessor; it shows that the predecessor still serves."""
        if self._is_waiting():
            self.next_action_at = now + HEARTBEAT_TIMEOUT_US
        return []

    def on_handover(self) -> list[Command]:
        """Handle that the predecessor has stopped accepting."""
        return self._take_over()

    def on_channel_lost(self) -> list[Command]:
        """Handle the end of the channel: the predecessor has ended, or is about to."""
        if self.state is SuccessorState.CONNECTING:
            return self.on_no_predecessor()
        commands = self._take_over()
        self.state = SuccessorState.ALONE
        self.next_action_at = NEVER
        return [*commands, Command.TAKE_ALL_LIMITS]

    def on_tick(self, now: int) -> list[Command]:
        """Handle the passing of time."""
        if now < self.next_action_at:
            return []
        if self.state is SuccessorState.CONNECTING:
            if now >= self.connect_deadline:
                return self.on_busy(now)
            return self.begin_connect(now)
        # no heartbeat: the predecessor hangs, and no other process accepts from the listening socket
        return self._take_over()

    def _is_waiting(self) -> bool:
        return self.state in (SuccessorState.PREPARING, SuccessorState.STANDING_BY)

    def _give_up(self) -> list[Command]:
        self.state = SuccessorState.GAVE_UP
        self.next_action_at = NEVER
        return [Command.GIVE_UP]

    def _take_over(self) -> list[Command]:
        if not self._is_waiting():
            return []
        self.state = SuccessorState.ACCEPTING
        self.next_action_at = NEVER
        return self._accept_if_due()

    def _accept_if_due(self) -> list[Command]:
        """Start accepting once the predecessor has stopped accepting and this process is prepared."""
        has_taken_over = self.state in (SuccessorState.ACCEPTING, SuccessorState.ALONE)
        return [Command.START_ACCEPTING] if has_taken_over and self.is_prepared else []
