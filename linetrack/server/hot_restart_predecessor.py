"""The predecessor's side of a hot restart: its Unix socket, connections of successors, and heartbeats.

Owns the Unix socket in the folder that the processes of one sidecar share.
`linetrack/control/hot_restart.py` decides the order of the steps; a callback executes those that concern the
rest of the program.
"""

from __future__ import annotations

import contextlib
import os
import struct
from collections.abc import Callable
from pathlib import Path

import gevent
from gevent import socket

from linetrack.control.hot_restart import Command, Identity, PredecessorStateMachine
from linetrack.server.clock import clock
from linetrack.server.hot_restart_channel import GrantedListener, HotRestartChannel
from linetrack.server.hot_restart_messages import (
    BusyReply,
    ForeignReply,
    Heartbeat,
    Hello,
    HotRestartMessage,
    HotRestartProtocolError,
    Ready,
    VersionReply,
)
from linetrack.server.logging_setup import get_logger
from linetrack.server.sockets import is_transient_accept_error

log = get_logger(__name__)

BACKLOG = 8
MAX_SUCCESSORS = 4  # concurrent connections, whose descriptors are in the budget's reserve
HELLO_TIMEOUT_SECONDS = 1.0
TICK_SECONDS = 0.05
SOCKET_MODE = 0o600
CREDENTIALS_FORMAT = "3i"  # process, user and group ids of the peer of a Unix socket (`struct ucred`)

_REPLIES: dict[Command, HotRestartMessage] = {
    Command.REJECT_BUSY: BusyReply(),
    Command.REJECT_FOREIGN: ForeignReply(),
    Command.REJECT_VERSION: VersionReply(),
}


def _ignore_message(_message: HotRestartMessage) -> None:
    """Do nothing with a message."""


def _ignore_successor(_exists: bool) -> None:
    """Do nothing about a successor."""


class Predecessor:
    """The serving side: grants the listening socket to a successor, and hands over to it at shutdown."""

    def __init__(
        self,
        path: Path,
        identity: Callable[[], Identity],
        grant_listener: Callable[[], GrantedListener],
        execute: Callable[[Command], None],
        on_message: Callable[[HotRestartMessage], None] = _ignore_message,
        on_successor: Callable[[bool], None] = _ignore_successor,
    ) -> None:
        """Create a predecessor that successors find at `path` once its socket is published.

        Args:
            path: the path of the socket, from `socket_path`.
            identity: returns the identity of this process.
            grant_listener: returns the listening socket and the message that is sent to a successor with it.
            execute: executes the commands that concern the rest of the program (HAND_OVER, RESUME and
                SHUT_DOWN).
            on_message: called with each message of the successor that is not about the order of the steps.
            on_successor: called with True once there is a successor, and with False once it has ended.
        """
        self._path = path
        self._on_message = on_message
        self._on_successor = on_successor
        self._private_path = path.with_suffix(f".{os.getpid()}")
        self._identity = identity
        self._grant_listener = grant_listener
        self._execute = execute
        self._state_machine = PredecessorStateMachine()
        self._successor_count = 0
        self.channel: HotRestartChannel | None = None  # to the successor that has the listening socket
        self.listener: socket.socket | None = None

    def open_socket(self) -> None:
        """Listen at a path that is private to this process; raises OSError if that is not possible."""
        listener = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        try:
            with contextlib.suppress(FileNotFoundError):
                self._private_path.unlink()
            listener.bind(str(self._private_path))
            self._private_path.chmod(SOCKET_MODE)
            listener.listen(BACKLOG)
        except BaseException:
            listener.close()
            raise
        self.listener = listener

    def discard_socket(self) -> None:
        """Close the socket before it is published, because this process will not serve."""
        if self.listener is not None:
            self.listener.close()
            self._private_path.unlink(missing_ok=True)

    def publish_socket(self) -> None:
        """Make this the process that successors find; raises OSError if that is not possible."""
        # The rename is atomic, so that some process is found at any time, and it replaces a stale file.
        self._private_path.rename(self._path)

    def run(self) -> None:
        """Accept connections of successors forever."""
        assert self.listener is not None
        gevent.spawn(self._tick_forever)
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError as error:
                if not is_transient_accept_error(error):
                    raise
                gevent.sleep(TICK_SECONDS)
                continue
            self._successor_count += 1
            gevent.spawn(self._serve_successor, sock)
            while self._successor_count >= MAX_SUCCESSORS:
                # Each has to send its first message in time, so that they cannot use up the descriptors.
                gevent.sleep(TICK_SECONDS)

    def begin_shutdown(self) -> None:
        """Begin the shutdown of this process: hand over, or shut down if there is no successor."""
        self._execute_all(self._state_machine.begin_shutdown())

    def _tick_forever(self) -> None:
        while True:
            gevent.sleep(TICK_SECONDS)
            self._execute_all(self._state_machine.on_tick(clock()))

    def _serve_successor(self, sock: socket.socket) -> None:
        channel = HotRestartChannel(sock)
        try:
            with channel:
                self._negotiate(sock, channel)
        except (OSError, HotRestartProtocolError) as error:
            log.warning("hot_restart_successor_failed", fault=str(error))
        except Exception:
            log.exception("hot_restart_internal_error")
        finally:
            self._successor_count -= 1
            if self.channel is channel:
                self.channel = None
                log.info("hot_restart_channel_closed", state=self._state_machine.state.value)
                self._on_successor(False)
                self._execute_all(self._state_machine.on_channel_lost())

    def _negotiate(self, sock: socket.socket, channel: HotRestartChannel) -> None:
        """Reply to a successor's first message; if the listening socket is granted, read further messages."""
        user = _peer_user(sock)
        with gevent.Timeout(HELLO_TIMEOUT_SECONDS, OSError("the successor sent no message in time")):
            received = channel.receive()
        if received is None or user != os.getuid():
            return
        commands = self._on_first_message(received.message)
        if Command.GRANT not in commands:
            channel.send(_REPLIES[commands[0]])
            return
        self.channel = channel
        log.info("hot_restart_requested")
        self._on_successor(True)
        granted = self._grant_listener()
        if channel.send(granted.grant, (granted.descriptor,)):
            self._read_messages(channel)

    def _on_first_message(self, message: HotRestartMessage) -> list[Command]:
        if not isinstance(message, Hello):
            return self._state_machine.on_hello(clock(), version=None)
        is_foreign = self._identity().is_foreign(message.identity)
        return self._state_machine.on_hello(clock(), message.version, is_foreign)

    def _read_messages(self, channel: HotRestartChannel) -> None:
        while (received := channel.receive()) is not None:
            if isinstance(received.message, Ready):
                log.info("hot_restart_ready")
                self._execute_all(self._state_machine.on_ready())
            else:
                self._on_message(received.message)

    def _execute_all(self, commands: list[Command]) -> None:
        for command in commands:
            if command is Command.SEND_HEARTBEAT and self.channel is not None:
                self.channel.send(Heartbeat())
            elif command is Command.CLOSE_CHANNEL and self.channel is not None:
                self.channel.close()
            elif command in (Command.HAND_OVER, Command.RESUME, Command.SHUT_DOWN):
                self._execute(command)


def _peer_user(sock: socket.socket) -> int:
    """Return the user id of the process at the other end."""
    size = struct.calcsize(CREDENTIALS_FORMAT)
    credentials = sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, size)
    _, user, _ = struct.unpack(CREDENTIALS_FORMAT, credentials)
    return int(user)
