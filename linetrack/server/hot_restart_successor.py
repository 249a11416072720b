"""The successor's side of a hot restart: connects to the serving process and follows it until it has ended.

Owns the channel to the predecessor.  `linetrack/control/hot_restart.py` decides the order of the steps; a
callback executes those that concern the rest of the program.
"""

from __future__ import annotations

import contextlib
import os
from collections.abc import Callable
from pathlib import Path

import gevent
from gevent import socket

from linetrack.control.hot_restart import (
    NEVER,
    PROTOCOL_VERSION,
    Command,
    Identity,
    SuccessorState,
    SuccessorStateMachine,
)
from linetrack.errors import LinetrackError
from linetrack.policy.time_units import SECOND
from linetrack.server.clock import clock
from linetrack.server.hot_restart_channel import GrantedListener, HotRestartChannel, ReceivedMessage
from linetrack.server.hot_restart_messages import (
    ForeignReply,
    Grant,
    Handover,
    Heartbeat,
    Hello,
    HotRestartMessage,
    HotRestartProtocolError,
    Ready,
)
from linetrack.server.logging_setup import get_logger

log = get_logger(__name__)

TICK_SECONDS = 0.05


class PredecessorBusyError(LinetrackError, OSError):
    """Another process serves or is already taking over, and does not grant its listening socket.

    Attributes:
        path: the path of the socket at which it was found.
    """

    def __init__(self, path: Path) -> None:
        super().__init__(f"{path}: another process serves or is taking over")
        self.path = path


class Successor:
    """The side that takes over: requests the listening socket and reads the predecessor's messages."""

    def __init__(
        self,
        path: Path,
        identity: Identity,
        execute: Callable[[Command], None],
        on_message: Callable[[HotRestartMessage, list[int]], None],
    ) -> None:
        """Create a successor that connects to its predecessor at `path`.

        Args:
            path: the path of the socket, from `socket_path`.
            identity: the identity of this process.
            execute: executes the commands that concern the rest of the program (START_ACCEPTING and
                TAKE_ALL_LIMITS).
            on_message: called with each message after the grant, except heartbeats, and its descriptors.
        """
        self._path = path
        self._identity = identity
        self._execute = execute
        self._on_message = on_message
        self._state_machine = SuccessorStateMachine(clock())
        self.channel: HotRestartChannel | None = None

    @property
    def found_foreign_process(self) -> bool:
        """Whether a process of another customer was found."""
        return self._state_machine.found_foreign_process

    def connect(self) -> GrantedListener | None:
        """Return the predecessor's listening socket, or None if there is no predecessor.

        Raises PredecessorBusyError if there is one that grants nothing until the retry timeout.
        """
        while True:
            commands = self._state_machine.on_tick(clock())
            if Command.GIVE_UP in commands:
                raise PredecessorBusyError(self._path)
            if Command.CONNECT in commands:
                if (granted := self._request_grant()) is not None:
                    self._state_machine.on_granted(clock())
                    log.info("hot_restart_granted")
                    return granted
                if self._state_machine.state is SuccessorState.ALONE:
                    return None
            gevent.sleep(TICK_SECONDS)

    def on_address_in_use(self) -> bool:
        """Return whether to connect again, as no process was found but the address is in use."""
        log.info("hot_restart_address_in_use")
        return Command.GIVE_UP not in self._state_machine.on_address_in_use(clock())

    def follow(self) -> None:
        """After the grant, read the predecessor's messages until it has ended, and execute due commands."""
        assert self.channel is not None
        reader = gevent.spawn(self._read_messages, self.channel)
        self._execute_all(self._state_machine.on_prepared())
        while not reader.ready():
            reader.join(TICK_SECONDS)
            if self._state_machine.next_action_at != NEVER:
                self._execute_all(self._state_machine.on_tick(clock()))
        self.channel.close()
        log.info("hot_restart_completed")
        self._execute_all(self._state_machine.on_channel_lost())

    def _request_grant(self) -> GrantedListener | None:
        """Connect once; the channel stays open only if the listening socket is granted."""
        reply = None
        with contextlib.ExitStack() as cleanup:
            try:
                sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
                channel = cleanup.enter_context(HotRestartChannel(sock))
                reply = self._exchange_hello(sock, channel)
            except (OSError, HotRestartProtocolError) as error:
                log.info("hot_restart_no_predecessor", fault=str(error))
            if reply is not None and (granted := self._granted_listener(reply)) is not None:
                cleanup.pop_all()
                self.channel = channel
                return granted
        self._on_refusal(reply)
        return None

    def _exchange_hello(self, sock: socket.socket, channel: HotRestartChannel) -> ReceivedMessage | None:
        """Return the predecessor's reply, or None if it closes the channel without one."""
        seconds_left = max(0, self._state_machine.next_action_at - clock()) / SECOND
        with gevent.Timeout(seconds_left, OSError("no reply from the predecessor")):
            sock.connect(str(self._path))
            if not channel.send(Hello(PROTOCOL_VERSION, self._identity, os.getpid())):
                return None
            return channel.receive()

    def _granted_listener(self, reply: ReceivedMessage) -> GrantedListener | None:
        """Return the listening socket that a reply grants, or None if it grants none that may be used."""
        grant = reply.message
        if not isinstance(grant, Grant) or len(reply.descriptors) != 1:
            return None
        if self._identity.is_foreign(grant.identity):
            return None
        return GrantedListener(reply.descriptors[0], grant)

    def _on_refusal(self, reply: ReceivedMessage | None) -> None:
        """Handle a missing reply, or a reply that grants nothing."""
        if reply is None:
            self._state_machine.on_no_predecessor()
            return
        for descriptor in reply.descriptors:
            os.close(descriptor)
        if self._is_foreign(reply.message):
            self._state_machine.on_foreign_predecessor()
        else:
            self._state_machine.on_busy(clock())

    def _is_foreign(self, message: HotRestartMessage) -> bool:
        if isinstance(message, Grant):
            return self._identity.is_foreign(message.identity)
        return isinstance(message, ForeignReply)

    def _read_messages(self, channel: HotRestartChannel) -> None:
        try:
            while (received := channel.receive()) is not None:
                self._state_machine.on_message(clock())
                if not isinstance(received.message, Heartbeat):
                    self._on_message(received.message, received.descriptors)
                if isinstance(received.message, Handover):
                    self._execute_all(self._state_machine.on_handover())
        except HotRestartProtocolError as error:
            log.warning("hot_restart_message_invalid", fault=str(error))
        except Exception:
            # `follow` treats the end of this greenlet as the end of the channel, regardless of its cause.
            log.exception("hot_restart_internal_error")

    def _execute_all(self, commands: list[Command]) -> None:
        for command in commands:
            if command is Command.SEND_READY and self.channel is not None:
                self.channel.send(Ready())
            elif command in (Command.START_ACCEPTING, Command.TAKE_ALL_LIMITS):
                self._execute(command)
