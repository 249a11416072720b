"""The budget of file descriptors for connections, which clients and upstreams share.

It only counts: a descriptor is acquired here before a connection is opened, and released after it is closed.
"""

from __future__ import annotations

from collections.abc import Callable

from linetrack.control.connection_demand import UNCONTENDED_SHARE, UpstreamReserve
from linetrack.server.clock import clock

#: Descriptors that are not available to connections: standard streams, those of the event loop, listening
#: sockets, discovery, admin, and files read at startup.
RESERVED_DESCRIPTORS = 40
DESCRIPTORS_PER_CLIENT_SLOT = 3  # one in three descriptors is available to clients that send requests
# Descriptors beyond those in use that a process keeps while its successor takes over.
HANDOVER_DESCRIPTORS = 8


def _nothing_to_close() -> bool:
    """Report that no connection was closed; used until a callback is set."""
    return False


class DescriptorBudget:
    """Counts the open connections and limits their number.

    Args:
        sockets: The descriptor limit of the process.
        max_clients: The number of client connections that memory allows.
    """

    def __init__(self, sockets: int, max_clients: int) -> None:
        self.sockets = sockets
        self.max_clients = max_clients
        self.limit = sockets - RESERVED_DESCRIPTORS
        self.client_slots = min(sockets // DESCRIPTORS_PER_CLIENT_SLOT, max_clients)
        self.in_use = 0
        self.client_count = 0
        self.max_client_count = 0  # the most clients at the same time since the start
        self.upstream_reserve = UpstreamReserve()
        # Each closes one connection if one may be closed, and returns whether it did.
        self.close_idle_upstream: Callable[[], bool] = _nothing_to_close
        self.evict_client: Callable[[], bool] = _nothing_to_close

    # --- Connections to upstreams ------------------------------------------------------------------------
    def try_acquire(self) -> bool:
        """Acquire a descriptor for a connection to an upstream.

        If none is free, an idle connection to an upstream is closed or a client connection evicted.  Returns
        False if neither is possible.
        """
        if self.in_use >= self.limit and not self.close_idle_upstream() and not self.evict_client():
            return False
        self.in_use += 1
        self.upstream_reserve.record_in_use(clock(), self.in_use - self.client_count)
        return True

    def release(self) -> None:
        """Release the descriptor of a connection to an upstream, which was closed."""
        self.in_use -= 1

    @property
    def is_contended(self) -> bool:
        """Whether the share of descriptors in use exceeds `UNCONTENDED_SHARE`."""
        return self.in_use > self.limit * UNCONTENDED_SHARE

    # --- Client connections ------------------------------------------------------------------------------
    def try_acquire_client(self) -> bool:
        """Acquire a descriptor for a client connection.

        If none is free, an idle connection to an upstream is closed.  Returns False if that is not possible
        or if there are too many client connections.
        """
        capacity = self.upstream_reserve.client_capacity(clock(), self.limit)
        if self.client_count >= min(self.max_clients, capacity):
            return False
        if self.in_use >= self.limit and not self.close_idle_upstream():
            return False
        self._add_client()
        return True

    def _add_client(self) -> None:
        self.in_use += 1
        self.client_count += 1
        self.max_client_count = max(self.max_client_count, self.client_count)

    def count_closed_clients(self) -> int:
        """Return how many client connections fewer there are than at the most since the start."""
        return self.max_client_count - self.client_count

    def release_client(self) -> None:
        """Release the descriptor of a client connection, which was closed."""
        self.client_count -= 1
        self.release()

    # --- Hot restart -------------------------------------------------------------------------------------
    def adopt_client(self) -> None:
        """Count a client connection that was migrated to this process together with its descriptor."""
        self.limit += 1
        self._add_client()

    def migrate_client(self) -> None:
        """Give up the descriptor of a client connection that was migrated to another process."""
        self.limit -= 1

    def yield_to_successor(self) -> int:
        """Keep the descriptors in use and a few more; return how many of the others a successor may use."""
        self.limit = min(self.limit, self.in_use + HANDOVER_DESCRIPTORS)
        return self.sockets - self.limit - RESERVED_DESCRIPTORS

    def limit_to(self, sockets: int) -> None:
        """Limit this process to `sockets` descriptors, as another process uses the others."""
        self.limit = max(0, sockets - RESERVED_DESCRIPTORS)

    def restore(self) -> None:
        """Use all descriptors again."""
        self.limit = self.sockets - RESERVED_DESCRIPTORS
