"""The notifications that the network code sends to the dispatcher.

None of them is modified.  Those that every request causes are nevertheless not declared frozen, as it takes
three times as long to construct a frozen instance.  Latencies are in microseconds.
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
    """A client's request has been read or, if its body is streamed, its head has been read."""

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
    """The response of an attempt has begun and will be streamed."""

    attempt: Attempt
    latency: int
    stream: ResponseStream


@dataclass(slots=True)
class FinishedAttempt:
    """An attempt has ended; `response` is set if it is complete and successful, to be sent to the client."""

    attempt: Attempt
    outcome: Outcome
    latency: int
    response: Response | None = None
    load_report: tuple[float, ...] = ()


@dataclass(slots=True, frozen=True)
class SerializedCallback:
    """A callback that the dispatcher runs in the order of its queue, between other notifications."""

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
