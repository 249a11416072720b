"""The steps of a hot restart: a new process takes over from the one that serves, and no request is lost.

One state machine for each side.  The host reports what came over the channel between the two processes, and
the time; each method returns the commands that the host is to execute, in order.  The machines own the order
of the steps, their time limits and the way back from each step; they never read a clock or touch a socket.
At any moment one of the two processes accepts connections, whichever of them ends or hangs.

All times are integer microseconds.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

PROTOCOL_VERSION = 1  # of the messages on the channel; a process of another version is rejected
READY_TIMEOUT_US = 10_000_000  # from the grant until the successor must have reported that it is ready
GRANT_TIMEOUT_US = 3_000_000  # from connecting until the predecessor's answer
CONNECT_RETRY_TIMEOUT_US = 5_000_000  # how long a successor goes on connecting to a busy predecessor
CONNECT_RETRY_INTERVAL_US = 100_000
HEARTBEAT_INTERVAL_US = 250_000
HEARTBEAT_TIMEOUT_US = 2_000_000  # without a message of the predecessor, after which it is taken to hang
NEVER = 1 << 62  # a moment that does not come


@dataclass(slots=True, frozen=True)
class Identity:
    """What distinguishes one sidecar's processes from another customer's with its name and address."""

    class_names: tuple[str, ...]
    settings_digest: str

    def is_foreign(self, other: Identity | None) -> bool:
        """Return whether the other process is another customer's: other settings, and no class in common.

        A process of an early version sends no identity (None) and is not foreign; neither is one whose
        settings have changed, as it keeps some of its classes.
        """
        if other is None or other.settings_digest == self.settings_digest:
            return False
        return not any(name in self.class_names for name in other.class_names)


class Command(Enum):
    """What a state machine asks its host to do."""

    # of the predecessor
    GRANT = "grant"  # send the listening socket and the endpoint list
    REJECT_BUSY = "reject_busy"  # answer that another successor is taking over, and close
    REJECT_FOREIGN = "reject_foreign"  # answer that this is another customer's process, and close
    REJECT_VERSION = "reject_version"  # answer that the successor's version is not spoken, and close
    CLOSE_CHANNEL = "close_channel"
    SEND_HEARTBEAT = "send_heartbeat"
    HAND_OVER = "hand_over"  # stop accepting, send what the policy has learnt, then the client connections
    RESUME = "resume"  # accept again, and shut down as without a successor
    SHUT_DOWN = "shut_down"  # without a successor
    # of the successor
    CONNECT = "connect"  # to the predecessor's socket
    LISTEN = "listen"  # as in a start without a predecessor
    SEND_READY = "send_ready"
    START_ACCEPTING = "start_accepting"  # and let the next successor find this process
    TAKE_ALL_LIMITS = "take_all_limits"  # descriptors and memory are no longer shared with the predecessor
    GIVE_UP = "give_up"  # end: another process serves or takes over


class PredecessorState(Enum):
    """The states of the process that serves; the values are logged."""

    SERVING = "serving"
    GRANTED = "granted"
    SUCCESSOR_READY = "successor_ready"
    HANDING_OVER = "handing_over"
    SHUTTING_DOWN = "shutting_down"


class SuccessorState(Enum):
    """The states of the process that takes over; the values are logged."""

    CONNECTING = "connecting"
    PREPARING = "preparing"
    STANDING_BY = "standing_by"
    ACCEPTING = "accepting"
    ALONE = "alone"
    GAVE_UP = "gave_up"


class PredecessorStateMachine:
    """The side that serves; it changes nothing until its shutdown begins.

    | state           | meaning                                 | left by                                |
    | --------------- | --------------------------------------- | -------------------------------------- |
    | SERVING         | no successor                            | hello, shutdown                        |
    | GRANTED         | a successor prepares and has the socket | ready, lost channel, timeout, shutdown |
    | SUCCESSOR_READY | the successor stands by                 | lost channel, shutdown                 |
    | HANDING_OVER    | state and connections go over           | lost channel                           |
    | SHUTTING_DOWN   | ends without a successor                |                                        |
    """

    def __init__(self) -> None:
        self.state = PredecessorState.SERVING
        self.next_heartbeat_at = NEVER
        self.ready_deadline = NEVER

    def on_hello(self, now: int, version: object, is_foreign: bool = False) -> list[Command]:
        """A successor has connected and said which version it speaks and whose process it is."""
        if is_foreign:
            # one customer's process must not learn the endpoints and request ids of another's
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
        """The successor has all that it needs to serve."""
        if self.state is PredecessorState.GRANTED:
            self.state = PredecessorState.SUCCESSOR_READY
            self.ready_deadline = NEVER
        return []

    def on_channel_lost(self) -> list[Command]:
        """The channel to the successor has ended."""
        self._clear_deadlines()
        if self._has_successor():
            self.state = PredecessorState.SERVING
        elif self.state is PredecessorState.HANDING_OVER:
            self.state = PredecessorState.SHUTTING_DOWN
            return [Command.RESUME]
        return []

    def begin_shutdown(self) -> list[Command]:
        """This process is to end."""
        if self._has_successor():
            # one that still prepares holds the listening socket too: new connections wait in its queue
            self.state = PredecessorState.HANDING_OVER
            self._clear_deadlines()
            return [Command.HAND_OVER]
        if self.state is PredecessorState.SERVING:
            self.state = PredecessorState.SHUTTING_DOWN
            return [Command.SHUT_DOWN]
        return []

    def on_tick(self, now: int) -> list[Command]:
        """Time has passed."""
        if now >= self.ready_deadline:
            # a successor that hangs would keep every other one away
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
    """The side that takes over.

    | state       | meaning                                  | left by                                   |
    | ----------- | ---------------------------------------- | ----------------------------------------- |
    | CONNECTING  | looks for a process that serves          | granted, no predecessor, retry timeout    |
    | PREPARING   | has the socket, learns the endpoints     | prepared, handover, lost channel, timeout |
    | STANDING_BY | could serve                              | handover, lost channel, timeout           |
    | ACCEPTING   | serves; the predecessor ends what it has | lost channel                              |
    | ALONE       | no other process serves                  | address in use                            |
    | GAVE_UP     | another process serves or takes over     |                                           |
    """

    def __init__(self, now: int) -> None:
        self.state = SuccessorState.CONNECTING
        self.next_action_at = now  # the next connection, or when the predecessor is taken to hang
        self.connect_deadline = now + CONNECT_RETRY_TIMEOUT_US
        self.is_prepared = False
        self.found_foreign_process = False

    def begin_connect(self, now: int) -> list[Command]:
        """Connect to the predecessor, whose answer is due by `next_action_at`."""
        self.next_action_at = now + GRANT_TIMEOUT_US
        return [Command.CONNECT]

    def on_no_predecessor(self) -> list[Command]:
        """No process was found, or the one found ended before it granted anything."""
        self.state = SuccessorState.ALONE
        self.next_action_at = NEVER
        return [Command.LISTEN]

    def on_foreign_predecessor(self) -> list[Command]:
        """The process found is another customer's; it stays as it is, and stays the one that is found."""
        self.found_foreign_process = True
        return self.on_no_predecessor()

    def on_address_in_use(self, now: int) -> list[Command]:
        """No process was found and the address is taken: its owner may be about to be found.

        A connection that met an old process as it ended, before its own successor could be found, ends here.
        """
        self.state = SuccessorState.CONNECTING
        if now + CONNECT_RETRY_INTERVAL_US >= self.connect_deadline:
            return self._give_up()
        return self.on_busy(now)

    def on_busy(self, now: int) -> list[Command]:
        """The predecessor has another successor: connect again until the deadline."""
        if now >= self.connect_deadline:
            return self._give_up()
        self.next_action_at = now + CONNECT_RETRY_INTERVAL_US
        return []

    def on_granted(self, now: int) -> list[Command]:
        """The predecessor has sent the listening socket and its endpoint list."""
        self.state = SuccessorState.PREPARING
        self.next_action_at = now + HEARTBEAT_TIMEOUT_US
        return []

    def on_prepared(self) -> list[Command]:
        """This process has all that it needs to serve."""
        self.is_prepared = True
        if self.state is SuccessorState.PREPARING:
            self.state = SuccessorState.STANDING_BY
            return [Command.SEND_READY]
        return self._accept_if_due()

    def on_message(self, now: int) -> list[Command]:
        """Any message of the predecessor, which therefore still serves."""
        if self._is_waiting():
            self.next_action_at = now + HEARTBEAT_TIMEOUT_US
        return []

    def on_handover(self) -> list[Command]:
        """The predecessor has stopped accepting."""
        return self._take_over()

    def on_channel_lost(self) -> list[Command]:
        """The channel has ended: the predecessor has, or is about to."""
        if self.state is SuccessorState.CONNECTING:
            return self.on_no_predecessor()
        commands = self._take_over()
        self.state = SuccessorState.ALONE
        self.next_action_at = NEVER
        return [*commands, Command.TAKE_ALL_LIMITS]

    def on_tick(self, now: int) -> list[Command]:
        """Time has passed."""
        if now < self.next_action_at:
            return []
        if self.state is SuccessorState.CONNECTING:
            if now >= self.connect_deadline:
                return self.on_busy(now)
            return self.begin_connect(now)
        # no heartbeat: the predecessor hangs, and nobody else accepts from the listening socket
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
        """Start accepting once the predecessor has stopped and this side is prepared, whichever is later."""
        is_its_turn = self.state in (SuccessorState.ACCEPTING, SuccessorState.ALONE)
        return [Command.START_ACCEPTING] if is_its_turn and self.is_prepared else []
