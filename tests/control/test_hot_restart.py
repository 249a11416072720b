"""The two state machines of a hot restart: their steps, and the recovery from a failure at each step."""

from __future__ import annotations

from collections import deque

from hypothesis import example, given, settings
from hypothesis import strategies as st

from linetrack.control.hot_restart import (
    HEARTBEAT_TIMEOUT_US,
    READY_TIMEOUT_US,
    Command,
    PredecessorState,
    PredecessorStateMachine,
    SuccessorState,
    SuccessorStateMachine,
)
from tests.helpers import SECOND

TICK_US = SECOND // 4
TICKS_UNTIL_SETTLED = 60


class LinkedStateMachines:
    """Both state machines, connected by a channel that keeps messages in order; a side may end or hang."""

    def __init__(self) -> None:
        self.now = 1000 * SECOND
        self.predecessor = PredecessorStateMachine()
        self.successor = SuccessorStateMachine(self.now)
        self.to_predecessor: deque[str] = deque()
        self.to_successor: deque[str] = deque()
        self.is_connected = False
        self.predecessor_accepts = True
        self.successor_accepts = False
        self.successor_gave_up = False
        self.predecessor_is_alive = True
        self.predecessor_hangs = False
        self.successor_is_alive = True
        self.has_shut_down = False
        self.execute(self.successor.begin_connect(self.now))

    @property
    def predecessor_runs(self) -> bool:
        return self.predecessor_is_alive and not self.predecessor_hangs

    @property
    def successor_can_prepare(self) -> bool:
        has_connected = self.successor.state is not SuccessorState.CONNECTING
        return self.successor_is_alive and has_connected and not self.successor.is_prepared

    def execute(self, commands: list[Command]) -> None:
        for command in commands:
            match command:
                case Command.CONNECT:
                    self.connect()
                case Command.SEND_READY:
                    self.to_predecessor.append("ready")
                case Command.GRANT | Command.SEND_HEARTBEAT:
                    self.to_successor.append(command.value)
                case Command.HAND_OVER:
                    self.predecessor_accepts = False
                    self.to_successor.append(command.value)
                case Command.RESUME:
                    self.predecessor_accepts = True
                case Command.CLOSE_CHANNEL:
                    self.is_connected = False
                case Command.START_ACCEPTING | Command.LISTEN:
                    self.successor_accepts = True
                case Command.GIVE_UP:
                    self.successor_gave_up = True

    def connect(self) -> None:
        if self.predecessor_is_alive:
            self.is_connected = True
            self.to_predecessor.append("hello")
        else:
            self.execute(self.successor.on_no_predecessor())

    def deliver(self) -> None:
        """Deliver one message in each direction."""
        if self.to_predecessor and self.predecessor_runs:
            message = self.to_predecessor.popleft()
            self.execute(
                self.predecessor.on_hello(self.now, 1) if message == "hello" else self.predecessor.on_ready()
            )
        if self.to_successor and self.successor_is_alive:
            message = self.to_successor.popleft()
            if message == Command.GRANT.value:
                self.successor.on_granted(self.now)
            else:
                self.successor.on_message(self.now)
                self.execute(self.successor.on_handover() if message == Command.HAND_OVER.value else [])

    def settle(self) -> None:
        """Deliver all messages, and tell each side if the other one has ended."""
        while (self.to_predecessor and self.predecessor_runs) or (
            self.to_successor and self.successor_is_alive
        ):
            self.deliver()
        if self.is_connected and not self.successor_is_alive and self.predecessor_runs:
            self.is_connected = False
            self.execute(self.predecessor.on_channel_lost())
        if self.is_connected and not self.predecessor_is_alive and self.successor_is_alive:
            self.is_connected = False
            self.execute(self.successor.on_channel_lost())

    def tick(self) -> None:
        self.now += TICK_US
        if self.predecessor_runs:
            self.execute(self.predecessor.on_tick(self.now))
        if self.successor_is_alive:
            self.execute(self.successor.on_tick(self.now))

    def prepare(self) -> None:
        if self.successor_can_prepare:
            self.execute(self.successor.on_prepared())

    def shut_down_predecessor(self) -> None:
        if self.predecessor_runs:
            self.has_shut_down = True
            self.execute(self.predecessor.begin_shutdown())

    def end_predecessor(self) -> None:
        self.predecessor_is_alive = False
        self.predecessor_accepts = False

    def hang_predecessor(self) -> None:
        self.predecessor_hangs = True

    def end_successor(self) -> None:
        self.successor_is_alive = False
        self.successor_accepts = False


STEPS = {
    "deliver": LinkedStateMachines.deliver,
    "tick": LinkedStateMachines.tick,
    "prepare": LinkedStateMachines.prepare,
    "shut down predecessor": LinkedStateMachines.shut_down_predecessor,
    "predecessor ends": LinkedStateMachines.end_predecessor,
    "predecessor hangs": LinkedStateMachines.hang_predecessor,
    "successor ends": LinkedStateMachines.end_successor,
}


@given(st.lists(st.sampled_from(sorted(STEPS)), max_size=25))
@example(["deliver", "shut down predecessor", "successor ends"])
@example(["deliver", "prepare", "shut down predecessor", "successor ends"])
@example(["deliver", "prepare", "predecessor hangs"])
@example(["deliver", "prepare", "shut down predecessor", "predecessor ends"])
@settings(max_examples=400, deadline=None)
def test_one_process_accepts_whichever_side_ends_or_hangs_at_any_step(steps: list[str]) -> None:
    machines = LinkedStateMachines()
    for step in steps:
        STEPS[step](machines)
        machines.settle()
    machines.prepare()
    for _ in range(TICKS_UNTIL_SETTLED):
        machines.tick()
        machines.settle()
        machines.prepare()
    both_accept = (
        machines.predecessor_accepts and machines.successor_accepts and not machines.predecessor_hangs
    )
    assert not both_accept, "two processes use the budgets of one sidecar"
    if machines.successor_is_alive and not machines.successor_gave_up:
        assert machines.successor_accepts or (
            machines.predecessor_is_alive and machines.predecessor_accepts and not machines.has_shut_down
        )
    elif machines.predecessor_runs:
        assert machines.predecessor_accepts, "only the predecessor is left"


def test_a_second_successor_is_rejected_as_busy_and_gives_up_after_the_retry_timeout() -> None:
    predecessor, successor, now = PredecessorStateMachine(), SuccessorStateMachine(0), 0
    assert predecessor.on_hello(0, 1) == [Command.GRANT]
    assert predecessor.on_hello(0, 1) == [Command.REJECT_BUSY]
    successor.begin_connect(0)
    connections = 0
    while successor.on_busy(now) != [Command.GIVE_UP]:
        now = successor.next_action_at
        connections += successor.on_tick(now) == [Command.CONNECT]
    assert connections > 10
    assert now <= 6 * SECOND


def test_with_the_address_in_use_a_successor_reconnects_and_gives_up_after_the_retry_timeout() -> None:
    successor, now, commands = SuccessorStateMachine(0), 0, []
    for _ in range(100):
        assert successor.on_tick(now) == [Command.CONNECT]
        assert successor.on_no_predecessor() == [Command.LISTEN]
        commands = successor.on_address_in_use(now)
        if commands:
            break
        now = successor.next_action_at
    assert commands == [Command.GIVE_UP]
    assert SECOND < now <= 6 * SECOND


def test_another_version_is_rejected_and_a_hung_successor_is_disconnected() -> None:
    predecessor = PredecessorStateMachine()
    assert predecessor.on_hello(0, 2) == [Command.REJECT_VERSION]
    assert predecessor.state is PredecessorState.SERVING
    predecessor.on_hello(0, 1)
    assert predecessor.on_tick(READY_TIMEOUT_US) == [Command.CLOSE_CHANNEL]
    assert predecessor.on_hello(READY_TIMEOUT_US, 1) == [Command.GRANT]


def test_a_successor_takes_over_only_after_the_heartbeat_timeout() -> None:
    successor = SuccessorStateMachine(0)
    successor.begin_connect(0)
    successor.on_granted(0)
    assert successor.on_prepared() == [Command.SEND_READY]
    successor.on_message(HEARTBEAT_TIMEOUT_US - 1)
    assert successor.on_tick(HEARTBEAT_TIMEOUT_US) == []
    assert successor.on_tick(2 * HEARTBEAT_TIMEOUT_US) == [Command.START_ACCEPTING]
    assert successor.on_handover() == []
