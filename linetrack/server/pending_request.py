"""A request that waits for its final response, and the check whether its client is still connected."""

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
    """A request from when it is dispatched until its final response, or until its client disconnects.

    Args:
        dispatcher: Notified if the client disconnects.
        sock: The socket of the client.
        request_id: The dispatcher's identifier of the request.
        keep_alive: Whether the client may send further requests; otherwise it may close its sending side.
        received_at: When the request was complete, in microseconds of the clock.
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
        """Return whether no further attempt may be started for the client, judging by its socket.

        If the client has disconnected, the dispatcher is notified at once, ahead of anything that is reported
        to it later.

        A client that announced this request as its last may have closed only its sending side.  It still gets
        a response, but after `HALF_CLOSE_GRACE_US` no further attempt is started for it, as it may have
        disconnected instead.
        """
        if self.result.ready():
            return True
        state = peer_state(self.sock)
        if state is PeerState.BROKEN or (self.keep_alive and state is PeerState.HALF_CLOSED):
            self.abandon()
            return True
        pending_time = clock() - self.received_at
        return state is PeerState.HALF_CLOSED and pending_time > client_timeouts.HALF_CLOSE_GRACE_US

    def abandon(self) -> None:
        """Notify the dispatcher that the client has disconnected, and wake the greenlet that waits."""
        self.dispatcher.enqueue(DisconnectedClient(self.request_id), clock())
        self.result.set(None)
