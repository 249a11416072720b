"""What the program does in a hot restart, as its predecessor and as its successor.

Owns who accepts connections: this process, or the one at the other end of the channel.  The order of the
steps is decided in `linetrack/control/hot_restart.py`.
"""

from __future__ import annotations

import errno
import os
from collections.abc import Callable
from functools import partial

import gevent
import structlog
from gevent import socket

from linetrack.control.hot_restart import Command, Identity
from linetrack.control.settings_switch import SettingsSwitch
from linetrack.server.budget import Budget
from linetrack.server.clock import clock
from linetrack.server.config import Config
from linetrack.server.discovery_client import DiscoveryClient
from linetrack.server.endpoint_list import EndpointRecords, encode_snapshot, parse_endpoint_list
from linetrack.server.greenlets import spawn_essential
from linetrack.server.hot_restart_channel import GrantedListener, HotRestartChannel, socket_path
from linetrack.server.hot_restart_messages import ClientHandover, Grant, Handover, HotRestartMessage
from linetrack.server.hot_restart_predecessor import Predecessor
from linetrack.server.hot_restart_successor import Successor
from linetrack.server.http1.errors import MalformedMessageError
from linetrack.server.listener import Listener
from linetrack.server.upstream_pool import UpstreamPool

log = structlog.get_logger()

SOCKET_FOLDER_VARIABLE = "TMPDIR"
POLL_SECONDS = 0.01  # between looks whether all connections were handed over
SHUTDOWN_COMMANDS = (Command.HAND_OVER, Command.RESUME, Command.SHUT_DOWN)


class HotRestart:
    """The program's part of taking over from a predecessor, and of handing over to a successor."""

    def __init__(
        self,
        current_config: Callable[[], Config],
        *,
        listener: Listener,
        upstreams: UpstreamPool,
        discovery: DiscoveryClient,
        policy_switch: SettingsSwitch,
        budget: Budget,
    ) -> None:
        """Make one; `current_config` returns the configuration in force."""
        self._current_config = current_config
        self._listener = listener
        self._upstreams = upstreams
        self._discovery = discovery
        self._policy_switch = policy_switch
        self._budget = budget
        self._predecessor: Predecessor | None = None  # this process's own side towards its successor
        self._successor: Successor | None = None  # this process's own side towards its predecessor
        self._has_restored_policy = False
        self._shutdown_command: Command | None = None
        self._accepting: gevent.Greenlet | None = None

    # --- Starting ------------------------------------------------------------------------------------
    def open_listener(self) -> EndpointRecords:
        """Open the listening socket, or take it from the process that serves.

        Returns the endpoint list to start with.  Raises OSError where the address cannot be had.
        """
        config = self._current_config()
        path = socket_path(os.environ.get(SOCKET_FOLDER_VARIABLE, ""), config.name, config.listen)
        if path is None:
            self._listener.listen(config.listen)
            return config.initial_endpoints
        self._predecessor = Predecessor(path, self._identity, self._grant_listener, self.execute)
        successor = Successor(path, self._identity(), self.execute, self._on_message)
        while (granted := successor.connect()) is None:
            if successor.has_met_foreign:
                # those that look for the other customer's process must go on finding it
                log.warning("hot_restart_foreign_process", path=str(path))
                self._predecessor = None
            if self._listen_alone(successor):
                return config.initial_endpoints
        self._successor = successor
        self._listener.listening_socket = socket.socket(fileno=granted.descriptor)
        return self._granted_endpoints(granted.grant)

    @property
    def has_predecessor(self) -> bool:
        """Whether the listening socket is a predecessor's, which says when this process may accept."""
        return self._successor is not None

    def follow_predecessor(self) -> None:
        """From the predecessor's grant on, do what it leaves to this process, until it has ended."""
        if self._successor is not None:
            spawn_essential("hot restart", self._successor.follow)

    def start_accepting(self) -> None:
        """Accept connections from here on."""
        self._accepting = spawn_essential("listener", self._listener.accept)

    def _listen_alone(self, successor: Successor) -> bool:
        """Listen as in an ordinary start.

        Returns whether that was possible; where not, the address is another process's, which may be found
        when it is looked for once more.
        """
        self._open_socket()
        try:
            self._listener.listen(self._current_config().listen, reuse_port=self._predecessor is None)
        except BaseException as fault:
            if self._predecessor is None:
                raise
            # published, the socket would hide a process that serves and only could not be asked
            self._predecessor.discard_socket()
            if not _is_address_in_use(fault) or not successor.on_address_in_use():
                raise
            return False
        self._publish_socket()
        return True

    def _open_socket(self) -> None:
        try:
            if self._predecessor is not None:
                self._predecessor.open_socket()
        except OSError as fault:
            log.warning("hot_restart_unavailable", fault=str(fault))
            self._predecessor = None

    def _publish_socket(self) -> None:
        """Let the next process find this one, where a socket can be had."""
        try:
            if self._predecessor is not None:
                self._predecessor.publish_socket()
                spawn_essential("successors", self._predecessor.run)
        except OSError as fault:
            log.warning("hot_restart_unavailable", fault=str(fault))
            self._predecessor = None

    def _identity(self) -> Identity:
        config = self._current_config()
        return Identity(config.class_names, config.digest)

    def _grant_listener(self) -> GrantedListener:
        """Return what a successor is granted: the listening socket and the endpoint list."""
        assert self._listener.listening_socket is not None
        grant = Grant(
            identity=self._identity(),
            endpoint_list=encode_snapshot(self._discovery.version or 0, self._upstreams.records()),
            discovery_address=list(self._discovery.address),
        )
        return GrantedListener(self._listener.listening_socket.fileno(), grant)

    def _granted_endpoints(self, grant: Grant) -> EndpointRecords:
        """Return the predecessor's endpoint list, or the configuration's where that one is of no use.

        The list of another discovery has versions of its own, and this process would wait for later ones.
        """
        config = self._current_config()
        if grant.discovery_address not in (None, list(config.discovery)):
            log.warning("hot_restart_endpoint_list_ignored", discovery=grant.discovery_address)
            return config.initial_endpoints
        try:
            return parse_endpoint_list(grant.endpoint_list)
        except MalformedMessageError as fault:
            log.warning("hot_restart_endpoint_list_invalid", fault=str(fault))
            return config.initial_endpoints

    # --- As the successor --------------------------------------------------------------------------
    def _on_message(self, message: HotRestartMessage, descriptors: list[int]) -> None:
        """Take what the predecessor hands over."""
        match message:
            case ClientHandover():
                for descriptor in descriptors:
                    self._listener.adopt(descriptor, message.response_count)
            case Handover():
                self._take_state(message)

    def _take_state(self, handover: Handover) -> None:
        self._budget.share_with_other_process(handover.socket_limit)
        self._listener.validator.recent_ids.restore(handover.request_ids)
        # under other settings a class or zone may have another index: what goes by index is left out then
        same_settings = handover.settings_digest == self._current_config().digest
        self._has_restored_policy = self._policy_switch.restore(
            handover.policy_snapshot, clock(), same_settings, same_settings
        )
        log.info(
            "hot_restart_handover_received",
            snapshot_restored=self._has_restored_policy,
            same_settings=same_settings,
            request_ids=len(handover.request_ids),
        )

    # --- Commands of both state machines -----------------------------------------------------------
    def execute(self, command: Command) -> None:
        """Do what a state machine asks of the program.

        A command may come while an earlier one still waits for the channel: the later one counts.
        """
        if command in SHUTDOWN_COMMANDS:
            self._shutdown_command = command
        match command:
            case Command.START_ACCEPTING:
                self._take_over()
            case Command.TAKE_ALL_LIMITS:
                self._budget.restore()
            case Command.HAND_OVER:
                self._hand_over()
            case Command.RESUME:
                self._resume()

    def _take_over(self) -> None:
        if not self._has_restored_policy:
            self._policy_switch.resume(clock())
        self._open_socket()
        self._publish_socket()
        self.start_accepting()

    def _hand_over(self) -> None:
        """Leave new connections, what is known and the open connections to the successor.

        Where the successor ends while a step waits, RESUME takes everything back, and no step follows.
        """
        assert self._predecessor is not None
        assert self._predecessor.channel is not None
        channel = self._predecessor.channel
        self.stop_accepting()
        if not self._is_handing_over():
            return
        self._upstreams.close_all_idle()
        handover = Handover(
            socket_limit=self._budget.descriptors.yield_to_successor(),
            request_ids=self._listener.validator.recent_ids.export(),
            policy_snapshot=self._policy_switch.hand_over(),
            settings_digest=self._current_config().digest,
        )
        is_sent = channel.send(handover)
        if is_sent and self._is_handing_over():
            self._listener.migrate_connections(partial(self._migrate_client, channel))

    def _migrate_client(self, channel: HotRestartChannel, descriptor: int, response_count: int) -> bool:
        """Send a client connection to the successor; return whether it was sent."""
        is_sent = channel.send(ClientHandover(response_count), (descriptor,))
        if is_sent:
            self._budget.descriptors.migrate_client()
        return is_sent

    def _resume(self) -> None:
        """Serve again until the end of this process: its successor has ended."""
        # first, so that there is room for the clients that come back
        self._budget.restore()
        self._policy_switch.resume(clock())
        self._listener.migrate = None
        self.start_accepting()

    # --- Shutting down -------------------------------------------------------------------------------
    @property
    def is_accepting(self) -> bool:
        """Whether this process accepts connections."""
        return self._accepting is not None

    def begin_shutdown(self) -> None:
        """This process is to end: hand over where there is a successor."""
        if self._predecessor is not None:
            self._predecessor.begin_shutdown()

    def wait_for_handover(self, deadline: int) -> bool:
        """Wait until every connection was handed over, or the deadline.

        Returns False where there is no successor, or it ends before that.
        """
        while self._is_handing_over() and self._listener.connections and clock() < deadline:
            gevent.sleep(POLL_SECONDS)
        return self._is_handing_over()

    def _is_handing_over(self) -> bool:
        return self._shutdown_command is Command.HAND_OVER

    def stop_accepting(self) -> None:
        """Accept no more connections; they wait in the listening socket's queue."""
        accepting = self._accepting
        # first, as accepting may begin again while this greenlet waits for the end of that one
        self._accepting = None
        if accepting is not None:
            accepting.kill()


def _is_address_in_use(fault: BaseException) -> bool:
    return isinstance(fault, OSError) and fault.errno == errno.EADDRINUSE
