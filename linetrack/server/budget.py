"""The budget for descriptors and memory, shared by clients, upstreams and discovery.

Owns the counts.  Must never open or close anything itself: who asks does, after it was told yes.
"""

from __future__ import annotations

from collections.abc import Callable

import gevent

from linetrack.control.connection_demand import UNCONTENDED_SHARE, UpstreamReserve
from linetrack.server.clock import clock

RESERVE = 40  # standard streams, the event loop's own, the listener, discovery, files read at start
PROGRAM_MB = 20  # the program itself, with nothing on its connections
CALLERS_PART = 3  # callers hold a third of all descriptors at most for requests
CLIENT_KB = 64  # a client's connection with a small request, its attempts and their greenlets
FEWEST = 16  # clients let in however little memory there is
SMALL = 8 * 1024  # bytes of a body that are counted in that; most messages are far smaller than the most
COPIES = 4  # of a larger body that are held at once: as it came, put together, as it goes on, as it is sent
BODIES = 0.75  # of the room for what is large, long bodies may have so much: short answers wait for the rest
ON_THEIR_WAY = 8  # what goes on as it comes is read in pieces that together are at most this part of the room
PIECES = (4 * 1024, 64 * 1024)  # bytes of a piece, the least and the most
LEAVING = 8  # descriptors beyond what it has that a process may still use while another takes over
WAIT = 0.005  # seconds until it is looked again whether a large body has room


class Budget:
    def __init__(self, sockets: int, memory_mb: int) -> None:
        self.sockets, self.memory_mb = sockets, memory_mb
        self.most = sockets - RESERVE
        # half of what memory is left for connections, half for what is large on some of them
        half = max(0, memory_mb - PROGRAM_MB) * 1024 * 1024 // 2
        # what memory allows of clients; of descriptors they may have what upstreams do not need
        self.most_clients = max(FEWEST, half // (CLIENT_KB * 1024))
        self.callers = min(sockets // CALLERS_PART, self.most_clients)
        self.need = UpstreamReserve()
        self.most_held, self.held = half, 0
        self.streams = 0  # messages that go on as they come
        self.used = self.clients = 0
        self.shrink: Callable[[], bool] = lambda: False  # closes an idle connection to an upstream
        self.make_way: Callable[[], bool] = lambda: False  # and a client's that may be closed

    def leave_to_successor(self) -> int:
        """From here on this process uses what it has; how many descriptors are another one's beside it."""
        self.most = min(self.most, self.used + LEAVING)
        return self.sockets - self.most - RESERVE

    def share(self, sockets: int) -> None:
        """Until `whole`, another process beside this one holds the rest of the descriptors, and memory."""
        self.most = max(0, sockets - RESERVE)
        self.most_held = max(0, self.memory_mb - 2 * PROGRAM_MB) * 1024 * 1024 // 2

    def whole(self) -> None:
        """All limits are this process's."""
        whole = Budget(self.sockets, self.memory_mb)
        self.most, self.most_held = whole.most, whole.most_held

    def take(self) -> bool:
        """Room for one more connection out, if need be by closing an idle one or one of a client."""
        if self.used >= self.most and not self.shrink() and not self.make_way():
            return False
        self.used += 1
        self.need.record_in_use(clock(), self.used - self.clients)
        return True

    @property
    def short(self) -> bool:
        """More of the descriptors are held than are free."""
        return self.used > self.most * UNCONTENDED_SHARE

    def give_back(self) -> None:
        self.used -= 1

    def take_client(self) -> bool:
        """Room for one more client connection."""
        if self.clients >= min(self.most_clients, self.need.client_capacity(clock(), self.most)):
            return False
        if self.used >= self.most and not self.shrink():
            return False
        self.used += 1
        self.clients += 1
        return True

    def adopt_client(self) -> None:
        """One that another process lets go of at this moment, with its place."""
        self.most += 1
        self.used += 1
        self.clients += 1

    def hand_client_on(self) -> None:
        """The place of one that another process has from here on."""
        self.most -= 1

    def give_back_client(self) -> None:
        self.clients -= 1
        self.give_back()

    def holds(self, size: int) -> bool:
        """Whether so many bytes more of a long body may be held; if so they are counted."""
        if self.held + size > self.most_held * BODIES:
            return False
        self.held += size
        return True

    def piece(self) -> int:
        """Bytes to read at once of each message that goes on as it comes."""
        least, most = PIECES
        return max(least, min(most, self.most_held // ON_THEIR_WAY // max(1, self.streams)))

    def hold(self, size: int) -> int:
        """Wait until a body of so many bytes has room; what was taken for it, nothing for a small one.

        Guards against large bodies that together need more memory than there is; one alone always has room.
        """
        if size <= SMALL:
            return 0
        while self.held and self.held + COPIES * size > self.most_held:
            gevent.sleep(WAIT)
        self.held += COPIES * size
        return COPIES * size
