"""The interface of the listener that its connections use."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from linetrack.control.connection_slots import ConnectionSlot, ConnectionSlots
from linetrack.control.diagnostics import ConnectionEnd
from linetrack.control.metrics import Metrics
from linetrack.server.budget import Budget
from linetrack.server.dispatcher import Dispatcher
from linetrack.server.pending_request import PendingRequest
from linetrack.server.request_validation import RequestValidator


class HostedConnection(Protocol):
    """A client connection, as its host refers to it."""

    slot: ConnectionSlot
    end: ConnectionEnd


class ConnectionHost(Protocol):
    """The interface of the listener that its connections use.

    Attributes:
        budget: The budget of the process.
        dispatcher: Receives the requests.
        metrics: The counters of the process.
        slots: Decides which connections are kept.
        validator: Validates the requests.
        is_serving: Returns whether the process is ready for requests.
        is_closing: Whether connections are closed as soon as they are between requests.
        rounds_retry_after: Whether `Retry-After` headers are rounded up to whole seconds.
        migrate: Sends a connection, given its descriptor and its number of responses, to another process and
            returns whether that succeeded; None if connections are not being migrated.
        run_soon: Schedules a function in the event loop.
        unread_connections: Connections with a pending request and unread bytes after it, because of which the
            event loop does not notice that the client disconnects.
    """

    budget: Budget
    dispatcher: Dispatcher
    metrics: Metrics
    slots: ConnectionSlots
    validator: RequestValidator
    is_serving: Callable[[], bool]
    is_closing: bool
    rounds_retry_after: bool
    migrate: Callable[[int, int], bool] | None
    run_soon: Callable[[Callable[[], None]], object]
    unread_connections: dict[HostedConnection, PendingRequest]

    def reject_stalled_request(self) -> None:
        """Reject the incomplete request that has stalled longest, as there is no memory for others."""
        ...

    def on_connection_closed(self, connection: HostedConnection) -> None:
        """Handle the end of a connection, which was closed."""
        ...
