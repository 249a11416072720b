"""Hot restart: taking over from a predecessor process, and handing over to a successor.

Owns which process accepts connections: this one, or the one at the other end of the channel.
`linetrack/control/hot_restart.py` decides the order of the steps.
"""

from __future__ import annotations

import errno
import os
from collections.abc import Callable
from functools import partial

import gevent
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
from linetrack.server.hot_restart_messages import (
    ClientHandover,
    Grant,
    Handover,
    HotRestartMessage,
    RequestAccepted,
)
from linetrack.server.hot_restart_predecessor import Predecessor
from linetrack.server.hot_restart_successor import Successor
from linetrack.server.http1.errors import MalformedMessageError
from linetrack.server.listener import Listener
from linetrack.server.logging_setup import get_logger
from linetrack.server.recent_request_ids import RecentRequestIds
from linetrack.server.upstream_pool import UpstreamPool

log = get_logger(__name__)

SOCKET_FOLDER_VARIABLE = "TMPDIR"
HANDOVER_POLL_SECONDS = 0.01  # interval of checking whether all connections were handed over
SHUTDOWN_COMMANDS = (Command.HAND_OVER, Command.RESUME, Command.SHUT_DOWN)


class HotRestart:
    """Executes the steps of a hot restart in this process, both as a successor and as a predecessor."""

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
        """Create a hot restart; `current_config` returns the configuration in force."""
        self._current_config = current_config
        self._listener = listener
        self._upstreams = upstreams
        self._discovery = discovery
        self._policy_switch = policy_switch
        self._budget = budget
        self._predecessor_role: Predecessor | None = None  # towards a successor of this process
        self._successor_role: Successor | None = None  # towards the predecessor of this process
        self._has_restored_policy = False
        self._shutdown_command: Command | None = None
        self._accept_greenlet: gevent.Greenlet | None = None

    # --- Starting ------------------------------------------------------------------------------------
    def open_listener(self) -> EndpointRecords:
        """Open the listening socket, or take it over from the process that serves.

        Returns the endpoint list to start with.  Raises OSError if the address is not available.
        """
        config = self._current_config()
        path = socket_path(os.environ.get(SOCKET_FOLDER_VARIABLE, ""), config.name, config.listen)
        if path is None:
            self._listener.listen(config.listen)
            return config.initial_endpoints
        self._predecessor_role = Predecessor(
            path,
            self._identity,
            self._grant_listener,
            self.execute,
            self._on_accepted_elsewhere,
            self._on_successor,
        )
        successor = Successor(path, self._identity(), self.execute, self._on_message)
        while (granted := successor.connect()) is None:
            if successor.found_foreign_process:
                # The other customer's processes must still find their own predecessor at this path.
                log.warning("hot_restart_foreign_process", path=str(path))
                self._predecessor_role = None
            if self._listen_without_predecessor(successor):
                return config.initial_endpoints
        self._successor_role = successor
        self._listener.listening_socket = socket.socket(fileno=granted.descriptor)
        return self._granted_endpoints(granted.grant)

    @property
    def has_predecessor(self) -> bool:
        """Whether the listening socket is from a predecessor, which decides when this process may accept."""
        return self._successor_role is not None

    def follow_predecessor(self) -> None:
        """Follow the predecessor that granted the listening socket, if any, and take over from it."""
        if self._successor_role is not None:
            spawn_essential("hot restart", self._successor_role.follow)

    def start_accepting(self) -> None:
        """Accept connections from now on."""
        self._accept_greenlet = spawn_essential("listener", self._listener.accept)

    def _listen_without_predecessor(self, successor: Successor) -> bool:
        """Listen as in an ordinary start.

        Returns False if the address is in use by another process, which may be found by connecting again.
        """
        self._open_socket()
        try:
            self._listener.listen(self._current_config().listen, reuse_port=self._predecessor_role is None)
        except BaseException as error:
            if self._predecessor_role is None:
                raise
            # If published, this socket would hide a serving process that could not be reached just now.
            self._predecessor_role.discard_socket()
            if not _is_address_in_use(error) or not successor.on_address_in_use():
                raise
            return False
        self._publish_socket()
        return True

    def _open_socket(self) -> None:
        try:
            if self._predecessor_role is not None:
                self._predecessor_role.open_socket()
        except OSError as error:
            log.warning("hot_restart_unavailable", fault=str(error))
            self._predecessor_role = None

    def _publish_socket(self) -> None:
        """Publish the socket, if there is one, so that the next process finds this process."""
        try:
            if self._predecessor_role is not None:
                self._predecessor_role.publish_socket()
                spawn_essential("successors", self._predecessor_role.run)
        except OSError as error:
            log.warning("hot_restart_unavailable", fault=str(error))
            self._predecessor_role = None

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

    def _on_successor(self, exists: bool) -> None:
        """Leave memory to a successor while there is one."""
        if exists:
            self._budget.monitor.leave_base_to_other_process()
        else:
            self._budget.monitor.restore()

    def _granted_endpoints(self, grant: Grant) -> EndpointRecords:
        """Return the predecessor's endpoint list, or the configured one if that one cannot be used.

        The list of another discovery server has versions of its own: polling this process's server from such
        a version could wait for later ones that never come.
        """
        config = self._current_config()
        if grant.discovery_address not in (None, list(config.discovery)):
            log.warning("hot_restart_endpoint_list_ignored", discovery=grant.discovery_address)
            return config.initial_endpoints
        try:
            return parse_endpoint_list(grant.endpoint_list)
        except MalformedMessageError as error:
            log.warning("hot_restart_endpoint_list_invalid", fault=str(error))
            return config.initial_endpoints

    # --- As the successor --------------------------------------------------------------------------
    def _on_message(self, message: HotRestartMessage, descriptors: list[int]) -> None:
        """Take over a client connection or the state that the predecessor hands over."""
        match message:
            case ClientHandover():
                for descriptor in descriptors:
                    self._listener.adopt(descriptor, message.response_count)
            case Handover():
                self._restore_state(message)
            case RequestAccepted():
                self._on_accepted_elsewhere(message)

    def _on_accepted_elsewhere(self, message: HotRestartMessage) -> None:
        """Do not accept a request any more that the other process has accepted."""
        if isinstance(message, RequestAccepted):
            self._recent_ids.restore([message.request_id])

    def _announce_accepted(self, channel: HotRestartChannel) -> None:
        """From now on, report each request that is accepted to the other process, until the channel ends."""

        def send(request_id: str) -> None:
            """Report one request; run in a greenlet of its own, as the channel may have to wait."""
            if not channel.send(RequestAccepted(request_id)):
                self._recent_ids.stop_announcing()

        self._recent_ids.on_added = partial(gevent.spawn, send)

    @property
    def _recent_ids(self) -> RecentRequestIds:
        return self._listener.validator.recent_ids

    def _restore_state(self, handover: Handover) -> None:
        self._budget.share_with_other_process(handover.socket_limit)
        self._recent_ids.restore(handover.request_ids)
        # Under other settings a class or zone may have another index, so values stored by index are left out.
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
        """Execute a command of a state machine.

        A command may come while an earlier one still waits for the channel; the later one takes effect.
        """
        if command in SHUTDOWN_COMMANDS:
            self._shutdown_command = command
        match command:
            case Command.START_ACCEPTING:
                self._take_over()
            case Command.TAKE_ALL_LIMITS:
                self._recent_ids.stop_announcing()
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
        if self._successor_role is not None and self._successor_role.channel is not None:
            self._announce_accepted(self._successor_role.channel)
        self.start_accepting()

    def _hand_over(self) -> None:
        """Hand new connections, the state of this process and its open connections over to the successor.

        If the successor ends while a step waits, RESUME undoes the handover and no further step is taken.
        """
        assert self._predecessor_role is not None
        assert self._predecessor_role.channel is not None
        channel = self._predecessor_role.channel
        self.stop_accepting()
        if not self._is_handing_over():
            return
        self._upstreams.close_all_idle()
        self._announce_accepted(channel)
        self._budget.memory.share_with_other_process()
        handover = Handover(
            socket_limit=self._budget.descriptors.yield_to_successor(),
            request_ids=self._recent_ids.export(),
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
        """Serve again until this process ends, because its successor has ended."""
        # Restored first, so that there are descriptors for the clients that connect again.
        self._budget.restore()
        self._recent_ids.stop_announcing()
        self._policy_switch.resume(clock())
        self._listener.migrate = None
        self.start_accepting()

    # --- Shutting down -------------------------------------------------------------------------------
    @property
    def is_accepting(self) -> bool:
        """Whether this process accepts connections."""
        return self._accept_greenlet is not None

    def begin_shutdown(self) -> None:
        """Begin the shutdown of this process: hand over if there is a successor."""
        if self._predecessor_role is not None:
            self._predecessor_role.begin_shutdown()

    def wait_for_handover(self, deadline: int) -> bool:
        """Wait until every connection was handed over, or until the deadline.

        Returns False if there is no successor or if it ends before that.
        """
        while self._is_handing_over() and self._listener.connections and clock() < deadline:
            gevent.sleep(HANDOVER_POLL_SECONDS)
        return self._is_handing_over()

    def _is_handing_over(self) -> bool:
        return self._shutdown_command is Command.HAND_OVER

    def stop_accepting(self) -> None:
        """Accept no more connections; new ones wait in the listening socket's queue."""
        accept_greenlet = self._accept_greenlet
        # Cleared first, as accepting may start again while this greenlet waits for the other one to end.
        self._accept_greenlet = None
        if accept_greenlet is not None:
            accept_greenlet.kill()


def _is_address_in_use(error: BaseException) -> bool:
    return isinstance(error, OSError) and error.errno == errno.EADDRINUSE
