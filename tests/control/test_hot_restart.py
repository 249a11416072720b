"""The two state machines of a hot restart: their steps, and the way back from each."""

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
    """Both sides with a channel between them that keeps messages in order; either side may end or hang."""

    def __init__(self) -> None:
        self.now = 1000 * SECOND
        self.old = PredecessorStateMachine()
        self.new = SuccessorStateMachine(self.now)
        self.to_old: deque[str] = deque()
        self.to_new: deque[str] = deque()
        self.is_connected = False
        self.old_accepts = True
        self.new_accepts = False
        self.new_gave_up = False
        self.old_lives = True
        self.old_hangs = False
        self.new_lives = True
        self.has_shut_down = False
        self.execute(self.new.begin_connect(self.now))

    @property
    def old_runs(self) -> bool:
        return self.old_lives and not self.old_hangs

    @property
    def new_can_prepare(self) -> bool:
        has_connected = self.new.state is not SuccessorState.CONNECTING
        return self.new_lives and has_connected and not self.new.is_prepared

    def execute(self, commands: list[Command]) -> None:
        for command in commands:
            match command:
                case Command.CONNECT:
                    self.connect()
                case Command.SEND_READY:
                    self.to_old.append("ready")
                case Command.GRANT | Command.SEND_HEARTBEAT:
                    self.to_new.append(command.value)
                case Command.HAND_OVER:
                    self.old_accepts = False
                    self.to_new.append(command.value)
                case Command.RESUME:
                    self.old_accepts = True
                case Command.CLOSE_CHANNEL:
                    self.is_connected = False
                case Command.START_ACCEPTING | Command.LISTEN:
                    self.new_accepts = True
                case Command.GIVE_UP:
                    self.new_gave_up = True

    def connect(self) -> None:
        if self.old_lives:
            self.is_connected = True
            self.to_old.append("hello")
        else:
            self.execute(self.new.on_no_predecessor())

    def deliver(self) -> None:
        """Deliver one message in each direction."""
        if self.to_old and self.old_runs:
            message = self.to_old.popleft()
            self.execute(self.old.on_hello(self.now, 1) if message == "hello" else self.old.on_ready())
        if self.to_new and self.new_lives:
            message = self.to_new.popleft()
            if message == Command.GRANT.value:
                self.new.on_granted(self.now)
            else:
                self.new.on_message(self.now)
                self.execute(self.new.on_handover() if message == Command.HAND_OVER.value else [])

    def settle(self) -> None:
        """Deliver every message, and the end of one side to the other."""
        while (self.to_old and self.old_runs) or (self.to_new and self.new_lives):
            self.deliver()
        if self.is_connected and not self.new_lives and self.old_runs:
            self.is_connected = False
            self.execute(self.old.on_channel_lost())
        if self.is_connected and not self.old_lives and self.new_lives:
            self.is_connected = False
            self.execute(self.new.on_channel_lost())

    def tick(self) -> None:
        self.now += TICK_US
        if self.old_runs:
            self.execute(self.old.on_tick(self.now))
        if self.new_lives:
            self.execute(self.new.on_tick(self.now))

    def prepare(self) -> None:
        if self.new_can_prepare:
            self.execute(self.new.on_prepared())

    def shut_down_old(self) -> None:
        if self.old_runs:
            self.has_shut_down = True
            self.execute(self.old.begin_shutdown())

    def end_old(self) -> None:
        self.old_lives = False
        self.old_accepts = False

    def hang_old(self) -> None:
        self.old_hangs = True

    def end_new(self) -> None:
        self.new_lives = False
        self.new_accepts = False


STEPS = {
    "deliver": LinkedStateMachines.deliver,
    "tick": LinkedStateMachines.tick,
    "prepare": LinkedStateMachines.prepare,
    "shut down old": LinkedStateMachines.shut_down_old,
    "old ends": LinkedStateMachines.end_old,
    "old hangs": LinkedStateMachines.hang_old,
    "new ends": LinkedStateMachines.end_new,
}


@given(st.lists(st.sampled_from(sorted(STEPS)), max_size=25))
@example(["deliver", "shut down old", "new ends"])
@example(["deliver", "prepare", "shut down old", "new ends"])
@example(["deliver", "prepare", "old hangs"])
@example(["deliver", "prepare", "shut down old", "old ends"])
@settings(max_examples=400, deadline=None)
def test_whichever_side_ends_or_hangs_at_any_step_one_accepts(steps: list[str]) -> None:
    pair = LinkedStateMachines()
    for step in steps:
        STEPS[step](pair)
        pair.settle()
    pair.prepare()
    for _ in range(TICKS_UNTIL_SETTLED):
        pair.tick()
        pair.settle()
        pair.prepare()
    both_accept = pair.old_accepts and pair.new_accepts and not pair.old_hangs
    assert not both_accept, "two processes spend one sidecar's budgets"
    if pair.new_lives and not pair.new_gave_up:
        assert pair.new_accepts or (pair.old_lives and pair.old_accepts and not pair.has_shut_down)
    elif pair.old_runs:
        assert pair.old_accepts, "only the predecessor is left"


def test_a_second_successor_is_rejected_as_busy_and_gives_up_in_time() -> None:
    old, new, now = PredecessorStateMachine(), SuccessorStateMachine(0), 0
    assert old.on_hello(0, 1) == [Command.GRANT]
    assert old.on_hello(0, 1) == [Command.REJECT_BUSY]
    new.begin_connect(0)
    connections = 0
    while new.on_busy(now) != [Command.GIVE_UP]:
        now = new.next_action_at
        connections += new.on_tick(now) == [Command.CONNECT]
    assert connections > 10
    assert now <= 6 * SECOND


def test_with_the_address_in_use_and_no_predecessor_it_connects_again_and_gives_up_in_time() -> None:
    new, now, commands = SuccessorStateMachine(0), 0, []
    for _ in range(100):
        assert new.on_tick(now) == [Command.CONNECT]
        assert new.on_no_predecessor() == [Command.LISTEN]
        commands = new.on_address_in_use(now)
        if commands:
            break
        now = new.next_action_at
    assert commands == [Command.GIVE_UP]
    assert SECOND < now <= 6 * SECOND


def test_another_version_is_rejected_and_a_successor_that_hangs_is_dropped() -> None:
    old = PredecessorStateMachine()
    assert old.on_hello(0, 2) == [Command.REJECT_VERSION]
    assert old.state is PredecessorState.SERVING
    old.on_hello(0, 1)
    assert old.on_tick(READY_TIMEOUT_US) == [Command.CLOSE_CHANNEL]
    assert old.on_hello(READY_TIMEOUT_US, 1) == [Command.GRANT]


def test_a_predecessor_is_taken_to_hang_without_a_heartbeat_only() -> None:
    new = SuccessorStateMachine(0)
    new.begin_connect(0)
    new.on_granted(0)
    assert new.on_prepared() == [Command.SEND_READY]
    new.on_message(HEARTBEAT_TIMEOUT_US - 1)
    assert new.on_tick(HEARTBEAT_TIMEOUT_US) == []
    assert new.on_tick(2 * HEARTBEAT_TIMEOUT_US) == [Command.START_ACCEPTING]
    assert new.on_handover() == []
