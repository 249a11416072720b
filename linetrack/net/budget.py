"""The descriptor budget, shared by clients, upstreams and discovery.

Owns one count.  Must never open or close anything itself: who asks does, after `take` said yes.
"""

from __future__ import annotations

from collections.abc import Callable

RESERVE = 40  # standard streams, the event loop's own, the listener, discovery, files read at start
UPSTREAM_SHARE = 0.4  # of the rest, kept for upstreams: clients wait in the backlog beyond it


class Budget:
    def __init__(self, sockets: int) -> None:
        self.most = sockets - RESERVE
        self.most_clients = int(self.most * (1 - UPSTREAM_SHARE))
        self.used = self.clients = 0
        self.shrink: Callable[[], bool] = lambda: False

    def take(self) -> bool:
        """Room for one connection to an upstream, if need be by closing an idle one."""
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
        self.used -= 1
