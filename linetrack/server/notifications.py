"""What the network code notifies the dispatcher of.

The notifications that come with each request are not frozen, as constructing a frozen one takes three times
as long; nothing changes them either.  Latencies are microseconds.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from linetrack.policy.events import EndpointListUpdate, Outcome, RequestReceived
from linetrack.server.active_request import Attempt, FinalResponse, never_disconnected
from linetrack.server.http1.requests import ClientRequest
from linetrack.server.http1.responses import Response
from linetrack.server.response_stream import ResponseStream


@dataclass(slots=True)
class IncomingRequest:
    """A client's request has been read; where its body is streamed, its head has."""

    request: ClientRequest
    received: RequestReceived
    reply: Callable[[FinalResponse], None]
    has_client_disconnected: Callable[[], bool] = never_disconnected


@dataclass(slots=True, frozen=True)
class DisconnectedClient:
    """The client of a request has closed its connection."""

    request_id: int


@dataclass(slots=True, frozen=True)
class SentBody:
    """The last byte of an attempt's long body has been written."""

    attempt: Attempt


@dataclass(slots=True)
class StartedResponse:
    """The response of an attempt has begun and is streamed."""

    attempt: Attempt
    latency: int
    stream: ResponseStream


@dataclass(slots=True)
class FinishedAttempt:
    """An attempt has ended; `response` is set where it is to go to the client as a whole."""

    attempt: Attempt
    outcome: Outcome
    latency: int
    response: Response | None = None
    load_report: tuple[float, ...] = ()


@dataclass(slots=True, frozen=True)
class SerializedCallback:
    """A callback that runs between two notifications, in the order of the queue."""

    callback: Callable[[], None]


Notification = (
    IncomingRequest
    | DisconnectedClient
    | SentBody
    | StartedResponse
    | FinishedAttempt
    | SerializedCallback
    | EndpointListUpdate
)
