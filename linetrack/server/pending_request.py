"""A request that the dispatcher has, and whether its client is still connected."""

from __future__ import annotations

from gevent import socket
from gevent.event import AsyncResult

from linetrack.server import client_timeouts
from linetrack.server.active_request import FinalResponse
from linetrack.server.clock import clock
from linetrack.server.dispatcher import Dispatcher
from linetrack.server.notifications import DisconnectedClient
from linetrack.server.sockets import PeerState, peer_state


class PendingRequest:
    """A request from when it is dispatched until its final response, or until its client has disconnected.

    Args:
        dispatcher: Notified once the client has disconnected.
        sock: The client's.
        request_id: The dispatcher's number of the request.
        keep_alive: Whether the client may send further requests; otherwise it may close its sending side.
        received_at: When the request was complete.
    """

    __slots__ = ("dispatcher", "keep_alive", "received_at", "request_id", "result", "sock")

    def __init__(
        self,
        dispatcher: Dispatcher,
        sock: socket.socket,
        request_id: int,
        keep_alive: bool,
        received_at: int,
    ) -> None:
        self.dispatcher = dispatcher
        self.sock = sock
        self.request_id = request_id
        self.keep_alive = keep_alive
        self.received_at = received_at
        self.result: AsyncResult[FinalResponse | None] = AsyncResult()

    def is_abandoned(self) -> bool:
        """Whether nothing more is to be started for the client, as far as its socket shows.

        If it has disconnected, the dispatcher is notified before whatever is reported to it later.  A
        client that announced that it would send nothing more may have closed its sending side only and is
        still owed a response; but nothing more is started for it once it may as well have disconnected.
        """
        if self.result.ready():
            return True
        state = peer_state(self.sock)
        if state is PeerState.BROKEN or (self.keep_alive and state is PeerState.HALF_CLOSED):
            self.abandon()
            return True
        time_pending = clock() - self.received_at
        return state is PeerState.HALF_CLOSED and time_pending > client_timeouts.HALF_CLOSE_GRACE_US

    def abandon(self) -> None:
        """The client has disconnected: notify the dispatcher, and wake whoever waits for the response."""
        self.dispatcher.enqueue(DisconnectedClient(self.request_id), clock())
        self.result.set(None)
