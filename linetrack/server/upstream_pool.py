"""The endpoints that requests can be forwarded to, and the idle connections to each.

The pool holds what discovery last said of each endpoint, and every connection that waits for its next
request.  It does not choose an endpoint and sends nothing: `linetrack.server.attempt_runner` takes a
connection from it for each attempt, and gives it back once the response is complete.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

import gevent
from gevent import socket

from linetrack.control.connection_demand import slot_price
from linetrack.control.decaying_rate import DecayingRate
from linetrack.control.idle_time_model import IdleTimeModel
from linetrack.policy.events import EndpointStatus
from linetrack.policy.time_units import SECOND
from linetrack.server.clock import clock
from linetrack.server.connection import Connection
from linetrack.server.descriptor_budget import DescriptorBudget
from linetrack.server.endpoint_list import EndpointRecord
from linetrack.server.http1.limits import MAX_BODY_BYTES, MAX_BUFFERED_BODY_BYTES
from linetrack.server.sockets import is_readable

MAX_IDLE_SHARE = 0.8  # of the endpoint's keep-alive, past which it may close under the next request
REUSE_DELAY_US = 5_000  # after a response in which a connection is not reused: stray bytes may follow it
EXPIRY_INTERVAL_SECONDS = 1.0  # between two looks for connections that were idle for too long
IDLE_DEPTH_GROUPS = 4  # of idle times, by how many connections were idle before (0, 1, 2, 3 or more)


@dataclass(slots=True)
class PooledUpstream:
    """An endpoint and its idle connections, the one that became idle last at the end.

    An attempt keeps the record that it began with.  Once the endpoint is removed the record says so, so that
    the attempt's connection is never reused, whichever endpoint has the name or the address by then.
    """

    address: tuple[str, int]
    status: EndpointStatus
    idle: list[Connection]
    record: EndpointRecord  # as discovery sent it last


class UpstreamPool:
    """The endpoints by name, and their idle connections.  Times are microseconds."""

    def __init__(self, descriptors: DescriptorBudget, dial_timeout: int, keep_alive_timeout: int) -> None:
        """Start without endpoints; `descriptors` closes idle connections here when none is left."""
        self.endpoints: dict[str, PooledUpstream] = {}
        self.dial_timeout = 0
        self._max_idle = 0
        self.configure(dial_timeout, keep_alive_timeout)
        self._descriptors = descriptors
        # all idle connections, the one that has been idle longest first
        self._idle_connections: OrderedDict[Connection, PooledUpstream] = OrderedDict()
        self._idle_times = IdleTimeModel((None,) * IDLE_DEPTH_GROUPS)
        self._dial_rate = DecayingRate()
        descriptors.close_idle_upstream = self.close_oldest

    def configure(self, dial_timeout: int, keep_alive_timeout: int) -> None:
        """Use these times from here on.

        An idle connection is not closed before its expiry, but is not reused once it was idle for longer than
        the new keep-alive allows.
        """
        self.dial_timeout = dial_timeout
        self._max_idle = int(keep_alive_timeout * MAX_IDLE_SHARE)

    # --- Endpoints -----------------------------------------------------------------------------------
    def update_endpoints(self, records: tuple[EndpointRecord, ...], is_snapshot: bool) -> None:
        """Take in records from discovery; a snapshot removes all endpoints that it does not list."""
        for record in records:
            self._update_endpoint(record)
        if is_snapshot:
            for name in self.endpoints.keys() - {record.name for record in records}:
                self._remove_endpoint(name)

    def _update_endpoint(self, record: EndpointRecord) -> None:
        upstream = self.endpoints.get(record.name)
        if record.status is EndpointStatus.REMOVED:
            self._remove_endpoint(record.name)
            return
        if upstream is None:
            self.endpoints[record.name] = PooledUpstream(record.address, record.status, [], record)
            return
        if record.address != upstream.address or record.status is not EndpointStatus.UP:
            self._close_idle(upstream)
        upstream.address = record.address
        upstream.status = record.status
        upstream.record = record

    def _remove_endpoint(self, name: str) -> None:
        """Forget an endpoint, as new ones keep coming for as long as the process runs."""
        if upstream := self.endpoints.pop(name, None):
            upstream.status = EndpointStatus.REMOVED
            self._close_idle(upstream)

    def records(self) -> list[EndpointRecord]:
        """Return the endpoint list as it is now."""
        return [upstream.record for upstream in self.endpoints.values()]

    # --- Connections in use --------------------------------------------------------------------------
    def take_idle(self, upstream: PooledUpstream) -> Connection | None:
        """Return the newest idle connection that can be reused, or None; it is no longer idle then."""
        now = clock()
        index = len(upstream.idle) - 1
        # bytes that follow right behind a response would be read as the next request's response
        while index >= 0 and upstream.idle[index].idle_since > now - REUSE_DELAY_US:
            index -= 1
        while index >= 0:
            connection = upstream.idle[index]
            index -= 1
            # readable while idle means closed, or bytes that belong to no request
            is_fresh = connection.idle_since >= now - self._max_idle
            can_reuse = is_fresh and not is_readable(connection.sock)
            self._end_idle(connection, upstream, can_reuse)
            if can_reuse:
                return connection
            self.discard(connection)
        return None

    def dial(self, upstream: PooledUpstream, on_socket: Callable[[socket.socket], None]) -> Connection:
        """Return a new connection, for which the caller has acquired a descriptor.

        The descriptor is released where connecting fails.

        Args:
            upstream: The endpoint to connect to.
            on_socket: Called with the socket before it connects, so that connecting can be aborted.

        Raises:
            OSError: The connection was refused, timed out, or there is no descriptor.
        """
        try:
            connection = Connection(upstream.address, MAX_BODY_BYTES, MAX_BUFFERED_BODY_BYTES)
            on_socket(connection.sock)
            self._dial_rate.add(clock())
            connection.connect(self.dial_timeout / SECOND)
        except BaseException:
            self._descriptors.release()
            raise
        return connection

    def discard(self, connection: Connection) -> None:
        """Close a connection that is not idle, and release its descriptor."""
        connection.close()
        self._descriptors.release()

    def keep_idle(self, connection: Connection, upstream: PooledUpstream, now: int) -> None:
        """Keep a connection whose response is complete, for as long as its next use is likely enough."""
        connection.idle_since = now
        connection.idle_depth = min(len(upstream.idle), IDLE_DEPTH_GROUPS - 1)
        connection.idle_until = now + self._max_idle
        descriptors = self._descriptors
        if descriptors.is_contended:
            # otherwise idle connections would hold the descriptors that clients need for a whole keep-alive
            dials_per_second = self._dial_rate.per_second(now)
            price = slot_price(descriptors.in_use, descriptors.limit, dials_per_second)
            keep_time = self._idle_times.best_keep_time(connection.idle_depth, price, 0, self._max_idle)
            connection.idle_until = now + keep_time.duration
        upstream.idle.append(connection)
        self._idle_connections[connection] = upstream

    # --- Idle connections ----------------------------------------------------------------------------
    def _end_idle(self, connection: Connection, upstream: PooledUpstream, was_reused: bool) -> None:
        upstream.idle.remove(connection)
        del self._idle_connections[connection]
        idle_time = clock() - connection.idle_since
        self._idle_times.record(connection.idle_depth, idle_time, was_reused)

    def _close_one_idle(self, connection: Connection, upstream: PooledUpstream) -> None:
        self._end_idle(connection, upstream, False)
        self.discard(connection)

    def _close_idle(self, upstream: PooledUpstream) -> None:
        for connection in list(upstream.idle):
            self._close_one_idle(connection, upstream)

    def close_idle(self, name: str) -> None:
        """Close all idle connections to this endpoint."""
        if upstream := self.endpoints.get(name):
            self._close_idle(upstream)

    def close_all_idle(self) -> None:
        """Close all idle connections."""
        while self.close_oldest():
            pass

    def close_oldest(self) -> bool:
        """Close the connection that has been idle longest; return False where none is idle."""
        if not self._idle_connections:
            return False
        connection, upstream = next(iter(self._idle_connections.items()))
        self._close_one_idle(connection, upstream)
        return True

    def run_expiry(self) -> None:
        """Close the connections that were idle for too long, forever."""
        while True:
            gevent.sleep(EXPIRY_INTERVAL_SECONDS)
            now = clock()
            expired = [item for item in self._idle_connections.items() if item[0].idle_until < now]
            for connection, upstream in expired:
                self._close_one_idle(connection, upstream)
