"""The process that takes over: it connects to the one that serves, and follows it until that one has ended.

Owns the channel to the predecessor.  The order of the steps is decided in `linetrack/control/hot_restart.py`;
what only the program can do of them is a call back.
"""

from __future__ import annotations

import contextlib
import os
from collections.abc import Callable
from pathlib import Path

import gevent
import structlog
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

log = structlog.get_logger()

TICK_SECONDS = 0.05


class PredecessorBusyError(LinetrackError, OSError):
    """Another process serves, or takes over already, and does not let this one.

    Attributes:
        path: where it was found.
    """

    def __init__(self, path: Path) -> None:
        super().__init__(f"{path}: another process serves or takes over")
        self.path = path


class Successor:
    """The side that takes over."""

    def __init__(
        self,
        path: Path,
        identity: Identity,
        execute: Callable[[Command], None],
        on_message: Callable[[HotRestartMessage, list[int]], None],
    ) -> None:
        """Make one that looks for its predecessor at `path`.

        Args:
            path: the socket's, as `socket_path` gives it.
            identity: whose process this is.
            execute: does what only the program can (START_ACCEPTING and TAKE_ALL_LIMITS).
            on_message: is given what the predecessor sends after the grant, with the descriptors.
        """
        self._path = path
        self._identity = identity
        self._execute = execute
        self._on_message = on_message
        self._state_machine = SuccessorStateMachine(clock())
        self.channel: HotRestartChannel | None = None

    @property
    def has_met_foreign(self) -> bool:
        """Whether the process that was found is another customer's."""
        return self._state_machine.found_foreign_process

    def connect(self) -> GrantedListener | None:
        """Return the listening socket of the predecessor; None where there is no predecessor.

        Raises PredecessorBusyError where there is one that grants nothing until the retry timeout.
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
        """Return whether to connect again: no process was found, and the address is another one's."""
        log.info("hot_restart_address_in_use")
        return Command.GIVE_UP not in self._state_machine.on_address_in_use(clock())

    def follow(self) -> None:
        """From the grant on, read what the predecessor sends until it has ended, and do what is due."""
        assert self.channel is not None
        reading = gevent.spawn(self._read_messages, self.channel)
        self._execute_all(self._state_machine.on_prepared())
        while not reading.ready():
            reading.join(TICK_SECONDS)
            if self._state_machine.next_action_at != NEVER:
                self._execute_all(self._state_machine.on_tick(clock()))
        self.channel.close()
        log.info("hot_restart_completed")
        self._execute_all(self._state_machine.on_channel_lost())

    def _request_grant(self) -> GrantedListener | None:
        """Connect once; the channel stays open where the listening socket was granted."""
        reply = None
        with contextlib.ExitStack() as unless_granted:
            try:
                sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
                channel = unless_granted.enter_context(HotRestartChannel(sock))
                reply = self._exchange_hello(sock, channel)
            except (OSError, HotRestartProtocolError) as fault:
                log.info("hot_restart_no_predecessor", fault=str(fault))
            if reply is not None and (granted := self._granted_listener(reply)) is not None:
                unless_granted.pop_all()
                self.channel = channel
                return granted
        self._on_refusal(reply)
        return None

    def _exchange_hello(self, sock: socket.socket, channel: HotRestartChannel) -> ReceivedMessage | None:
        """Return the predecessor's answer, or None where it ends the channel without one."""
        seconds_left = max(0, self._state_machine.next_action_at - clock()) / SECOND
        with gevent.Timeout(seconds_left, OSError("no answer")):
            sock.connect(str(self._path))
            if not channel.send(Hello(PROTOCOL_VERSION, self._identity, os.getpid())):
                return None
            return channel.receive()

    def _granted_listener(self, reply: ReceivedMessage) -> GrantedListener | None:
        """Return the listening socket that an answer grants; None where it grants none that may be used."""
        grant = reply.message
        if not isinstance(grant, Grant) or len(reply.descriptors) != 1:
            return None
        if self._identity.is_foreign(grant.identity):
            return None
        return GrantedListener(reply.descriptors[0], grant)

    def _on_refusal(self, reply: ReceivedMessage | None) -> None:
        """The predecessor gave no answer, or one that grants nothing."""
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
        except HotRestartProtocolError as fault:
            log.warning("hot_restart_message_invalid", fault=str(fault))
        except Exception:
            # the end of this greenlet is taken for the end of the channel, whatever caused it
            log.exception("hot_restart_internal_error")

    def _execute_all(self, commands: list[Command]) -> None:
        for command in commands:
            if command is Command.SEND_READY and self.channel is not None:
                self.channel.send(Ready())
            elif command in (Command.START_ACCEPTING, Command.TAKE_ALL_LIMITS):
                self._execute(command)
