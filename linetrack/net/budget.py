"""The budget for descriptors and memory, shared by clients, upstreams and discovery.

Owns the counts.  Must never open or close anything itself: who asks does, after it was told yes.
"""

from __future__ import annotations

from collections.abc import Callable

from gevent.lock import BoundedSemaphore

RESERVE = 40  # standard streams, the event loop's own, the listener, discovery, files read at start
UPSTREAM_SHARE = 0.4  # of the rest, kept for upstreams: clients wait in the backlog beyond it
PROGRAM_MB = 20  # the program itself, with nothing on its connections
CLIENT_KB = 64  # a client's connection with a small request, its attempts and their greenlets
SMALL = 8 * 1024  # bytes of a body that are counted in that; most messages are far smaller than the most
LARGE_KB = 448  # the most that a larger request, its copies and its answer hold at once
FEWEST = 16, 4  # clients and large messages let in however little memory there is


class Budget:
    def __init__(self, sockets: int, memory_mb: int) -> None:
        self.most = sockets - RESERVE
        # half of what memory is left for connections, half for what is large on some of them
        half = (memory_mb - PROGRAM_MB) * 1024 // 2
        self.most_clients = min(int(self.most * (1 - UPSTREAM_SHARE)), max(FEWEST[0], half // CLIENT_KB))
        self.large = BoundedSemaphore(max(FEWEST[1], half // LARGE_KB))
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
