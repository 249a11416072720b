"""The file descriptors that connections may use, shared by clients and upstreams.

It counts, and opens or closes nothing itself: whoever wants a connection acquires its descriptor here first.
"""

from __future__ import annotations

from collections.abc import Callable

from linetrack.control.connection_demand import UNCONTENDED_SHARE, UpstreamReserve
from linetrack.server.clock import clock

#: Not for connections: standard streams, the event loop's own, listeners, discovery, admin, files read at
#: the start.
RESERVED_DESCRIPTORS = 40
DESCRIPTORS_PER_CLIENT_SLOT = 3  # clients may hold one descriptor in so many for requests
HANDOVER_DESCRIPTORS = 8  # beyond those in use, for a process whose successor takes over


def _never() -> bool:
    """Nothing can be closed."""
    return False


class DescriptorBudget:
    """How many connections are open, and how many may be.

    Args:
        sockets: The process's limit.
        max_clients: As many client connections as memory allows.
    """

    def __init__(self, sockets: int, max_clients: int) -> None:
        self.sockets = sockets
        self.max_clients = max_clients
        self.limit = sockets - RESERVED_DESCRIPTORS
        self.client_slots = min(sockets // DESCRIPTORS_PER_CLIENT_SLOT, max_clients)
        self.in_use = 0
        self.client_count = 0
        self.upstream_reserve = UpstreamReserve()
        # Each closes one connection, if there is one that may be closed, and returns whether it did.
        self.close_idle_upstream: Callable[[], bool] = _never
        self.evict_client: Callable[[], bool] = _never

    # --- Connections to upstreams ------------------------------------------------------------------------
    def try_acquire(self) -> bool:
        """Count one more connection to an upstream, closing an idle one or evicting a client's if need be."""
        if self.in_use >= self.limit and not self.close_idle_upstream() and not self.evict_client():
            return False
        self.in_use += 1
        self.upstream_reserve.record_in_use(clock(), self.in_use - self.client_count)
        return True

    def release(self) -> None:
        """A connection to an upstream was closed."""
        self.in_use -= 1

    @property
    def is_contended(self) -> bool:
        """Whether more descriptors are in use than are free."""
        return self.in_use > self.limit * UNCONTENDED_SHARE

    # --- Client connections ------------------------------------------------------------------------------
    def try_acquire_client(self) -> bool:
        """Count one more client connection, closing an idle one to an upstream if need be."""
        capacity = self.upstream_reserve.client_capacity(clock(), self.limit)
        if self.client_count >= min(self.max_clients, capacity):
            return False
        if self.in_use >= self.limit and not self.close_idle_upstream():
            return False
        self.in_use += 1
        self.client_count += 1
        return True

    def release_client(self) -> None:
        """A client connection was closed."""
        self.client_count -= 1
        self.release()

    # --- Hot restart -------------------------------------------------------------------------------------
    def adopt_client(self) -> None:
        """A client connection was migrated to this process, and its descriptor with it."""
        self.limit += 1
        self.in_use += 1
        self.client_count += 1

    def migrate_client(self) -> None:
        """A client connection was migrated to another process, and its descriptor with it."""
        self.limit -= 1

    def yield_to_successor(self) -> int:
        """Keep what is in use and a few more; return how many descriptors a successor may use meanwhile."""
        self.limit = min(self.limit, self.in_use + HANDOVER_DESCRIPTORS)
        return self.sockets - self.limit - RESERVED_DESCRIPTORS

    def limit_to(self, sockets: int) -> None:
        """Another process beside this one uses the other descriptors."""
        self.limit = max(0, sockets - RESERVED_DESCRIPTORS)

    def restore(self) -> None:
        """All descriptors are this process's."""
        self.limit = self.sockets - RESERVED_DESCRIPTORS
