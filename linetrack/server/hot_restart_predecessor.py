"""The process that serves, as its successor finds it: the socket, the successors that connect, the heartbeat.

Owns the Unix socket in the folder that the processes of one sidecar share.  The order of the steps is decided
in `linetrack/control/hot_restart.py`; what only the program can do of them is a call back.
"""

from __future__ import annotations

import contextlib
import os
import struct
from collections.abc import Callable
from pathlib import Path

import gevent
import structlog
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
from linetrack.server.sockets import is_transient_accept_error

log = structlog.get_logger()

BACKLOG = 8
MAX_SUCCESSORS = 4  # connected at once; their descriptors are in the budget's reserve
HELLO_TIMEOUT_SECONDS = 1.0
TICK_SECONDS = 0.05
SOCKET_MODE = 0o600
CREDENTIALS_FORMAT = "3i"  # process, user and group of the other side of a Unix socket

_REPLIES: dict[Command, HotRestartMessage] = {
    Command.REJECT_BUSY: BusyReply(),
    Command.REJECT_FOREIGN: ForeignReply(),
    Command.REJECT_VERSION: VersionReply(),
}


class Predecessor:
    """The side that serves: a successor finds it, is granted the listening socket and takes over."""

    def __init__(
        self,
        path: Path,
        identity: Callable[[], Identity],
        grant_listener: Callable[[], GrantedListener],
        execute: Callable[[Command], None],
    ) -> None:
        """Make one that can be found at `path` once its socket is published.

        Args:
            path: the socket's, as `socket_path` gives it.
            identity: returns whose process this is.
            grant_listener: returns the listening socket and what a successor is sent with it.
            execute: does what only the program can (HAND_OVER, RESUME and SHUT_DOWN).
        """
        self._path = path
        self._private_path = path.with_suffix(f".{os.getpid()}")
        self._identity = identity
        self._grant_listener = grant_listener
        self._execute = execute
        self._state_machine = PredecessorStateMachine()
        self._successor_count = 0
        self.channel: HotRestartChannel | None = None  # to the successor that has a grant
        self.listener: socket.socket | None = None

    def open_socket(self) -> None:
        """Listen at a path of this process's own; raises OSError where that cannot be had."""
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
        """Close the socket before it was published: this process will not serve."""
        if self.listener is not None:
            self.listener.close()
            self._private_path.unlink(missing_ok=True)

    def publish_socket(self) -> None:
        """Be the process that is found from here on; raises OSError where that cannot be had."""
        # a rename, so that at any moment some process is found; a file that was left behind is replaced
        self._private_path.rename(self._path)

    def run(self) -> None:
        """Accept successors, for ever."""
        assert self.listener is not None
        gevent.spawn(self._tick_forever)
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError as fault:
                if not is_transient_accept_error(fault):
                    raise
                gevent.sleep(TICK_SECONDS)
                continue
            self._successor_count += 1
            gevent.spawn(self._serve_successor, sock)
            while self._successor_count >= MAX_SUCCESSORS:
                # each has to say what it is in time, so that they cannot use up the descriptors
                gevent.sleep(TICK_SECONDS)

    def begin_shutdown(self) -> None:
        """This process is to end: hand over, or shut down as without a successor."""
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
        except (OSError, HotRestartProtocolError) as fault:
            log.warning("hot_restart_successor_failed", fault=str(fault))
        except Exception:
            log.exception("hot_restart_internal_error")
        finally:
            self._successor_count -= 1
            if self.channel is channel:
                self.channel = None
                log.info("hot_restart_channel_closed", state=self._state_machine.state.value)
                self._execute_all(self._state_machine.on_channel_lost())

    def _negotiate(self, sock: socket.socket, channel: HotRestartChannel) -> None:
        """Answer one that connects; where it is granted the listening socket, read what it sends."""
        user = _peer_user(sock)
        with gevent.Timeout(HELLO_TIMEOUT_SECONDS, OSError("the successor sends nothing")):
            received = channel.receive()
        if received is None or user != os.getuid():
            return
        commands = self._on_first_message(received.message)
        if Command.GRANT not in commands:
            channel.send(_REPLIES[commands[0]])
            return
        self.channel = channel
        log.info("hot_restart_requested")
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

    def _execute_all(self, commands: list[Command]) -> None:
        for command in commands:
            if command is Command.SEND_HEARTBEAT and self.channel is not None:
                self.channel.send(Heartbeat())
            elif command is Command.CLOSE_CHANNEL and self.channel is not None:
                self.channel.close()
            elif command in (Command.HAND_OVER, Command.RESUME, Command.SHUT_DOWN):
                self._execute(command)


def _peer_user(sock: socket.socket) -> int:
    """Return the user whose process is on the other side."""
    size = struct.calcsize(CREDENTIALS_FORMAT)
    credentials = sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, size)
    _, user, _ = struct.unpack(CREDENTIALS_FORMAT, credentials)
    return int(user)
