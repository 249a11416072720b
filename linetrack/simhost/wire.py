"""Lines of the simulator's wire to events, and actions to lines.  Translation only."""

from __future__ import annotations

import base64
from collections.abc import Callable
from typing import Any

from linetrack.policy import interface as i


class WireError(Exception):
    """A line that cannot be read."""


Fields = dict[str, str]

OUTCOMES = {
    "done": i.Outcome.OK,
    "err": i.Outcome.ERROR,
    "busy": i.Outcome.FULL,
    "etimedout": i.Outcome.TIMEOUT,
    "econnrefused": i.Outcome.CONNECT_FAILED,
    "econnreset": i.Outcome.RESET,
    "ecanceled": i.Outcome.CANCELLED,
    "skipped": i.Outcome.MOOT,
}
HEALTH = {"U": i.Health.UP, "L": i.Health.DRAINING, "D": i.Health.GONE}
FORMS = {
    "changes": i.ListForm.CHANGES,
    "all": i.ListForm.WHOLE,
    "remembered": i.ListForm.REMEMBERED,
    "refused": i.ListForm.REFUSED,
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


def _outcome(fields: Fields) -> i.Outcome:
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


def entry(fields: Fields) -> i.Entry:
    health = fields.get("health", "U")
    if health not in HEALTH:
        raise WireError(f"health={health!r} is no known state")
    return i.Entry(
        text(fields, "upstream"),
        whole(fields, "rackZone", 0),
        whole(fields, "classOfHost", 0),
        whole(fields, "pod", 0),
        HEALTH[health],
        number(fields, "size", 1.0),
        whole(fields, "bootTimeUs", 0),
    )


def _request(f: Fields) -> i.Event:
    return i.Arrival(
        whole(f, "ref"),
        whole(f, "kind"),
        whole(f, "patienceLeftUs"),
        whole(f, "party", 0),
        f.get("targetKey", ""),
        whole(f, "workUs", 0),
        flag(f, "repeat"),
        flag(f, "update"),
    )


def _established(f: Fields) -> i.Event:
    return i.Begun(whole(f, "ref"), whole(f, "trial"), text(f, "upstream"), whole(f, "rttUs"))


def _finished(f: Fields) -> i.Event:
    return i.Ended(
        whole(f, "ref"),
        whole(f, "trial"),
        text(f, "upstream"),
        _outcome(f),
        whole(f, "rttUs"),
        flag(f, "final"),
        report(f),
    )


EVENTS: dict[str, Callable[[Fields], i.Event]] = {
    "REQ": _request,
    "ESTABLISHED": _established,
    "FINISHED": _finished,
    "CLIENT_LEFT": lambda f: i.ClientLeft(whole(f, "ref")),
    "ALARM": lambda f: i.TimerDue(text(f, "nonce")),
    "CHECKED": lambda f: i.ProbeEnded(text(f, "upstream"), _outcome(f), whole(f, "rttUs"), report(f)),
    "MEMO": lambda f: i.PeerMessage(whole(f, "originPeer"), _body(f)),
}


def _send(name: str, action: i.Send) -> str:
    within = f" withinUs={action.timeout}" if action.timeout else ""
    return f"SUBMIT_TO i={name} ref={action.request} upstream={action.upstream}{within}"


def _refuse(name: str, action: i.Refuse) -> str:
    advice = f" backoffUs={action.retry_after}" if action.retry_after else ""
    return f"OVERLOAD_REPLY i={name} ref={action.request}{advice}"


# by type: a row of patterns took a twentieth of a busy day
ACTIONS: dict[type, Callable[[str, Any], str]] = {
    i.Send: _send,
    i.Refuse: _refuse,
    i.SetTimer: lambda name, a: f"REMIND i={name} offsetUs={a.after} nonce={a.token}",
    i.Cancel: lambda name, a: f"UNDO_SEND i={name} ref={a.request} trial={a.attempt}",
    i.Fail: lambda name, a: f"GIVE_UP i={name} ref={a.request}",
    i.Watch: lambda name, a: f"FOLLOW i={name} want={int(a.on)}",
    i.FetchList: lambda name, a: f"FETCH i={name}",
    i.Probe: lambda name, a: f"PROBE i={name} upstream={a.upstream}",
    i.CloseIdle: lambda name, a: f"DROP_CONNS i={name} upstream={a.upstream}",
    i.Tell: lambda name, a: (
        f"WRITE_PEER i={name} dst={a.receiver} body={base64.b64encode(a.body).decode() or '-'}"
    ),
    i.Note: lambda name, a: f"NOTE_DOWN i={name} what={' '.join(a.text.split())}",
}


def format_action(name: str, action: i.Action) -> str:
    """The line of one action of the instance `name`."""
    return ACTIONS[type(action)](name, action)
