"""The descriptor and memory budgets of one process, derived from the limits in its configuration."""

from __future__ import annotations

from linetrack.server.descriptor_budget import DescriptorBudget
from linetrack.server.memory_budget import MemoryBudget, connection_memory_bytes
from linetrack.server.memory_monitor import MemoryMonitor

# The memory of a client connection with a small request, its attempts and their greenlets.
CLIENT_CONNECTION_KB = 24
MIN_CLIENTS = 16  # client connections that are allowed even if memory is scarce


class Budget:
    """The descriptors and the memory that clients, upstreams and discovery share."""

    def __init__(self, sockets: int, memory_mb: int) -> None:
        max_clients = max(MIN_CLIENTS, connection_memory_bytes(memory_mb) // (CLIENT_CONNECTION_KB * 1024))
        self.descriptors = DescriptorBudget(sockets, max_clients)
        self.monitor = MemoryMonitor(memory_mb)
        self.monitor.count_closed_clients = self.descriptors.count_closed_clients
        self.memory = MemoryBudget(memory_mb, self.monitor)

    def share_with_other_process(self, sockets: int) -> None:
        """Leave part of the budget to another process until `restore` is called.

        Args:
            sockets: How many of the descriptors this process may still use.
        """
        self.descriptors.limit_to(sockets)
        self.memory.share_with_other_process()

    def restore(self) -> None:
        """Use all descriptors and all memory again."""
        self.descriptors.restore()
        self.memory.restore()
