"""Lines of the simulator's wire to events, and actions to lines.  Translation only."""

from __future__ import annotations

import base64
from collections.abc import Callable
from typing import Any

from linetrack.policy.actions import (
    Action,
    CancelAttempt,
    CloseIdleConnections,
    FailRequest,
    FetchEndpoints,
    Log,
    RejectRequest,
    SendHealthCheck,
    SendToPeer,
    SetTimer,
    StartAttempt,
    WatchEndpoints,
)
from linetrack.policy.events import (
    AttemptEnded,
    ClientDisconnected,
    EndpointEntry,
    EndpointStatus,
    Event,
    HealthCheckEnded,
    ListForm,
    Outcome,
    PeerMessageReceived,
    RequestReceived,
    ResponseStarted,
    TimerFired,
)


class WireError(Exception):
    """A line that cannot be read."""


Fields = dict[str, str]

OUTCOMES = {
    "done": Outcome.SUCCESS,
    "err": Outcome.ERROR,
    "busy": Outcome.OVERLOADED,
    "etimedout": Outcome.TIMEOUT,
    "econnrefused": Outcome.CONNECT_FAILED,
    "econnreset": Outcome.RESET,
    "ecanceled": Outcome.CANCELLED,
    "skipped": Outcome.NOT_SENT,
}
HEALTH = {"U": EndpointStatus.UP, "L": EndpointStatus.DRAINING, "D": EndpointStatus.REMOVED}
FORMS = {
    "changes": ListForm.DELTA,
    "all": ListForm.SNAPSHOT,
    "remembered": ListForm.CACHED,
    "refused": ListForm.REJECTED,
}


def split(line: str) -> tuple[str, Fields]:
    """The message's name and its name=value pairs; bare words are left to `bootInfo`."""
    name, *parts = line.split(" ")
    if not name:
        raise WireError("the line has no message name")
    fields: Fields = {}
    for part in parts:
        key, sign, value = part.partition("=")
        if not sign or not key:
            raise WireError(f"{part!r} is not a name=value pair")
        fields[key] = value
    return name, fields


def text(fields: Fields, name: str) -> str:
    try:
        return fields[name]
    except KeyError:
        raise WireError(f"the field {name!r} is missing") from None


def whole(fields: Fields, name: str, default: int | None = None) -> int:
    if default is not None and name not in fields:
        return default
    value = text(fields, name)
    try:
        return int(value)
    except ValueError:
        raise WireError(f"{name}={value!r} is not a whole number") from None


def number(fields: Fields, name: str, default: float) -> float:
    try:
        return float(fields.get(name, default))
    except ValueError:
        raise WireError(f"{name}={fields[name]!r} is not a number") from None


def flag(fields: Fields, name: str) -> bool:
    value = fields.get(name, "0")
    if value not in ("0", "1"):
        raise WireError(f"{name}={value!r} is not 1 or 0")
    return value == "1"


def report(fields: Fields) -> tuple[float, ...]:
    """The load report; a value that is no number becomes NaN, which the decisions pass over."""
    row = fields.get("pressure", "")
    values = []
    for part in row.split(",") if row else ():
        try:
            values.append(float(part))
        except ValueError:
            values.append(float("nan"))
    return tuple(values)


def _outcome(fields: Fields) -> Outcome:
    how = text(fields, "how")
    if how not in OUTCOMES:
        raise WireError(f"how={how!r} is no known outcome")
    return OUTCOMES[how]


def _body(fields: Fields) -> bytes:
    value = text(fields, "body")
    try:
        return b"" if value == "-" else base64.b64decode(value, validate=True)
    except ValueError:
        raise WireError(f"body={value!r} is not base64") from None


def entry(fields: Fields) -> EndpointEntry:
    health = fields.get("health", "U")
    if health not in HEALTH:
        raise WireError(f"health={health!r} is no known state")
    return EndpointEntry(
        text(fields, "upstream"),
        whole(fields, "rackZone", 0),
        whole(fields, "classOfHost", 0),
        whole(fields, "pod", 0),
        HEALTH[health],
        number(fields, "size", 1.0),
        whole(fields, "bootTimeUs", 0),
    )


def _request(f: Fields) -> Event:
    return RequestReceived(
        whole(f, "ref"),
        whole(f, "kind"),
        whole(f, "patienceLeftUs"),
        whole(f, "party", 0),
        f.get("targetKey", ""),
        whole(f, "workUs", 0),
        flag(f, "repeat"),
        flag(f, "update"),
    )


def _established(f: Fields) -> Event:
    return ResponseStarted(whole(f, "ref"), whole(f, "trial"), text(f, "upstream"), whole(f, "rttUs"))


def _finished(f: Fields) -> Event:
    return AttemptEnded(
        whole(f, "ref"),
        whole(f, "trial"),
        text(f, "upstream"),
        _outcome(f),
        whole(f, "rttUs"),
        flag(f, "final"),
        report(f),
    )


EVENTS: dict[str, Callable[[Fields], Event]] = {
    "REQ": _request,
    "ESTABLISHED": _established,
    "FINISHED": _finished,
    "CLIENT_LEFT": lambda f: ClientDisconnected(whole(f, "ref")),
    "ALARM": lambda f: TimerFired(text(f, "nonce")),
    "CHECKED": lambda f: HealthCheckEnded(text(f, "upstream"), _outcome(f), whole(f, "rttUs"), report(f)),
    "MEMO": lambda f: PeerMessageReceived(whole(f, "originPeer"), _body(f)),
}


def _send(name: str, action: StartAttempt) -> str:
    within = f" withinUs={action.timeout}" if action.timeout else ""
    return f"SUBMIT_TO i={name} ref={action.request_id} upstream={action.endpoint}{within}"


def _refuse(name: str, action: RejectRequest) -> str:
    advice = f" backoffUs={action.retry_after}" if action.retry_after else ""
    return f"OVERLOAD_REPLY i={name} ref={action.request_id}{advice}"


# by type: a row of patterns took a twentieth of a busy day
ACTIONS: dict[type, Callable[[str, Any], str]] = {
    StartAttempt: _send,
    RejectRequest: _refuse,
    SetTimer: lambda name, a: f"REMIND i={name} offsetUs={a.delay} nonce={a.token}",
    CancelAttempt: lambda name, a: f"UNDO_SEND i={name} ref={a.request_id} trial={a.attempt}",
    FailRequest: lambda name, a: f"GIVE_UP i={name} ref={a.request_id}",
    WatchEndpoints: lambda name, a: f"FOLLOW i={name} want={int(a.enabled)}",
    FetchEndpoints: lambda name, a: f"FETCH i={name}",
    SendHealthCheck: lambda name, a: f"PROBE i={name} upstream={a.endpoint}",
    CloseIdleConnections: lambda name, a: f"DROP_CONNS i={name} upstream={a.endpoint}",
    SendToPeer: lambda name, a: (
        f"WRITE_PEER i={name} dst={a.receiver} body={base64.b64encode(a.body).decode() or '-'}"
    ),
    Log: lambda name, a: f"NOTE_DOWN i={name} what={' '.join(a.text.split())}",
}


def format_action(name: str, action: Action) -> str:
    """The line of one action of the instance `name`."""
    return ACTIONS[type(action)](name, action)
