"""The pool of endpoints that requests can be forwarded to, with the idle connections to each.

The pool holds the latest record that discovery sent of each endpoint, and all idle connections.  It does not
choose endpoints and sends nothing: `linetrack.server.attempt_runner` takes a connection from it for each
attempt and returns the connection once the response is complete.
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

# The share of the upstream's keep-alive timeout for which a connection may be idle.  After a longer time, the
# upstream could close it just as the next request is sent.
MAX_IDLE_SHARE = 0.8
# How long a connection is not reused after a response: a second copy of the response may follow, and one that
# is still on its way when the next request is written would be read as the response to that request.
REUSE_DELAY_US = 25_000
EXPIRY_INTERVAL_SECONDS = 1.0  # between checks for connections that were idle for too long
# Idle times are recorded in groups by how many connections were idle already: 0, 1, 2, or 3 and more.
IDLE_DEPTH_GROUPS = 4


@dataclass(slots=True)
class PooledUpstream:
    """An endpoint and its idle connections; the one that became idle last is at the end.

    An attempt keeps a reference to the object with which it began.  When the endpoint is removed, moves or is
    started again, this object's status says that it is removed, so that the attempt's connection is never
    reused, even if another endpoint has the same name or address by then.
    """

    address: tuple[str, int]
    status: EndpointStatus
    idle: list[Connection]
    record: EndpointRecord  # the latest record from discovery


class UpstreamPool:
    """The endpoints by name, and their idle connections.  Times are in microseconds."""

    def __init__(self, descriptors: DescriptorBudget, dial_timeout: int, keep_alive_timeout: int) -> None:
        """Create an empty pool, whose idle connections `descriptors` closes when it runs out."""
        self.endpoints: dict[str, PooledUpstream] = {}
        self.dial_timeout = 0
        self._max_idle = 0
        self.configure(dial_timeout, keep_alive_timeout)
        self._descriptors = descriptors
        # All idle connections; the one that has been idle longest comes first.
        self._idle_connections: OrderedDict[Connection, PooledUpstream] = OrderedDict()
        self._idle_times = IdleTimeModel((None,) * IDLE_DEPTH_GROUPS)
        self._dial_rate = DecayingRate()
        descriptors.close_idle_upstream = self.close_oldest

    def configure(self, dial_timeout: int, keep_alive_timeout: int) -> None:
        """Use these timeouts from now on.

        Connections that are idle already keep their expiry times, but are not reused once they were idle for
        longer than the new keep-alive timeout allows.
        """
        self.dial_timeout = dial_timeout
        self._max_idle = int(keep_alive_timeout * MAX_IDLE_SHARE)

    # --- Endpoints -----------------------------------------------------------------------------------
    def update_endpoints(self, records: tuple[EndpointRecord, ...], is_snapshot: bool) -> None:
        """Update the endpoints from records of discovery; a snapshot removes all that it does not list."""
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
        if upstream is not None and _is_another_process(record, upstream.record):
            # Attempts that began with the earlier process end with it.
            self._remove_endpoint(record.name)
            upstream = None
        if upstream is None:
            self.endpoints[record.name] = PooledUpstream(record.address, record.status, [], record)
            return
        if record.status is not EndpointStatus.UP:
            self._close_idle(upstream)
        upstream.status = record.status
        upstream.record = record

    def _remove_endpoint(self, name: str) -> None:
        """Remove an endpoint entirely, as otherwise the endpoints of a long-running process would pile up."""
        if upstream := self.endpoints.pop(name, None):
            upstream.status = EndpointStatus.REMOVED
            self._close_idle(upstream)

    def records(self) -> list[EndpointRecord]:
        """Return the current endpoint list."""
        return [upstream.record for upstream in self.endpoints.values()]

    # --- Connections in use --------------------------------------------------------------------------
    def take_idle(self, upstream: PooledUpstream) -> Connection | None:
        """Remove and return the newest idle connection that can be reused, or return None."""
        now = clock()
        index = len(upstream.idle) - 1
        # Stray bytes that follow a response would be read as the response to the next request.
        while index >= 0 and upstream.idle[index].idle_since > now - REUSE_DELAY_US:
            index -= 1
        while index >= 0:
            connection = upstream.idle[index]
            index -= 1
            # An idle connection that is readable was closed, or holds bytes that belong to no request.
            is_fresh = connection.idle_since >= now - self._max_idle
            can_reuse = is_fresh and not is_readable(connection.sock)
            self._end_idle(connection, upstream, can_reuse)
            if can_reuse:
                return connection
            self.discard(connection)
        return None

    def dial(self, upstream: PooledUpstream, on_socket: Callable[[socket.socket], None]) -> Connection:
        """Return a new connection, for which the caller has acquired a descriptor.

        If connecting fails, the descriptor is released.

        Args:
            upstream: The endpoint to connect to.
            on_socket: Called with the socket before it connects, so that connecting can be aborted.

        Raises:
            OSError: The connection was refused or timed out, or there was no descriptor.
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
        """Make a connection idle after its response, and decide how long it is worth keeping."""
        connection.idle_since = now
        connection.idle_depth = min(len(upstream.idle), IDLE_DEPTH_GROUPS - 1)
        connection.idle_until = now + self._max_idle
        descriptors = self._descriptors
        if descriptors.is_contended:
            # Otherwise idle connections would occupy descriptors that clients need for the whole keep-alive.
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
        """Close the connection that has been idle longest; return False if none is idle."""
        if not self._idle_connections:
            return False
        connection, upstream = next(iter(self._idle_connections.items()))
        self._close_one_idle(connection, upstream)
        return True

    def run_expiry(self) -> None:
        """Run forever and close connections that have been idle for too long."""
        while True:
            gevent.sleep(EXPIRY_INTERVAL_SECONDS)
            now = clock()
            expired = [item for item in self._idle_connections.items() if item[0].idle_until < now]
            for connection, upstream in expired:
                self._close_one_idle(connection, upstream)


def _is_another_process(record: EndpointRecord, earlier: EndpointRecord) -> bool:
    """Return whether an endpoint has moved or was started again."""
    return record.address != earlier.address or record.started_at_ms > earlier.started_at_ms
