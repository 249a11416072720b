"""The budget of one process: its descriptors and its memory, by the limits that the configuration sets."""

from __future__ import annotations

from linetrack.server.descriptor_budget import DescriptorBudget
from linetrack.server.memory_budget import MemoryBudget, connection_memory

CLIENT_CONNECTION_KB = 64  # a client connection with a small request, its attempts and their greenlets
MIN_CLIENTS = 16  # client connections that are accepted however little memory there is


class Budget:
    """Descriptors and memory, shared by clients, upstreams and discovery."""

    def __init__(self, sockets: int, memory_mb: int) -> None:
        max_clients = max(MIN_CLIENTS, connection_memory(memory_mb) // (CLIENT_CONNECTION_KB * 1024))
        self.descriptors = DescriptorBudget(sockets, max_clients)
        self.memory = MemoryBudget(memory_mb)

    def share_with_other_process(self, sockets: int) -> None:
        """Until `restore`, a process beside this one uses all but so many of the descriptors, and memory."""
        self.descriptors.limit_to(sockets)
        self.memory.share_with_other_process()

    def restore(self) -> None:
        """All descriptors and memory are this process's."""
        self.descriptors.restore()
        self.memory.restore()
