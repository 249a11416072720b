"""The budget for descriptors and memory, shared by clients, upstreams and discovery.

Owns the counts.  Must never open or close anything itself: who asks does, after it was told yes.
"""

from __future__ import annotations

from collections.abc import Callable

RESERVE = 40  # standard streams, the event loop's own, the listener, discovery, files read at start
UPSTREAM_SHARE = 0.4  # of the rest, kept for upstreams: clients wait in the backlog beyond it
PROGRAM_MB = 36  # the program itself, with nothing on its connections
CLIENT_KB = 448  # the most that one client's request, its copies and its answer hold at once
FEWEST = 16  # clients let in however little memory there is: most requests are far smaller than the most


class Budget:
    def __init__(self, sockets: int, memory_mb: int) -> None:
        self.most = sockets - RESERVE
        room = max(FEWEST, (memory_mb - PROGRAM_MB) * 1024 // CLIENT_KB)
        self.most_clients = min(int(self.most * (1 - UPSTREAM_SHARE)), room)
        self.used = self.clients = 0
        self.shrink: Callable[[], bool] = lambda: False

    def take(self) -> bool:
        """Room for one more connection, if need be by closing an idle one."""
        if self.used >= self.most and not self.shrink():
            return False
        self.used += 1
        return True

    def give_back(self) -> None:
        self.used -= 1

    def take_client(self) -> bool:
        """Room for one more client connection."""
        if self.clients >= self.most_clients or not self.take():
            return False
        self.clients += 1
        return True

    def give_back_client(self) -> None:
        self.clients -= 1
        self.give_back()
