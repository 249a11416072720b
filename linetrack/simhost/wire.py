"""The simulator's wire protocol: parses its lines into events, and formats actions as its lines.

This is the only module that knows the protocol's names of messages, fields and values.  It translates them
and makes no decisions.
"""

from __future__ import annotations

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
from linetrack.simhost.fields import (
    Fields,
    InvalidFieldError,
    WireError,
    body_field,
    flag_field,
    format_body,
    integer_field,
    number_field,
    numbers_field,
    split_line,
    text_field,
)

BATCH_START = "TICK"
BATCH_END = "YOUR_TURN"
REPLY_END = "END"
INSTANCE_START_PREFIX = "ENLIST "
INSTANCE_EXIT = "EXIT"
ENDPOINT_ENTRIES = "INVENTORY"
ENDPOINT_LIST_UPDATE = "MEMBERSHIP"
ENDPOINT_ENTRY = "M"

OUTCOME_BY_NAME = {
    "done": Outcome.SUCCESS,
    "err": Outcome.ERROR,
    "busy": Outcome.OVERLOADED,
    "etimedout": Outcome.TIMEOUT,
    "econnrefused": Outcome.CONNECT_FAILED,
    "econnreset": Outcome.RESET,
    "ecanceled": Outcome.CANCELLED,
    "skipped": Outcome.NOT_SENT,
}
STATUS_BY_NAME = {"U": EndpointStatus.UP, "L": EndpointStatus.DRAINING, "D": EndpointStatus.REMOVED}
LIST_FORM_BY_NAME = {
    "changes": ListForm.DELTA,
    "all": ListForm.SNAPSHOT,
    "remembered": ListForm.CACHED,
    "refused": ListForm.REJECTED,
}


# --- Messages that the host handles itself -----------------------------------------------------------------


def parse_batch_start(line: str) -> int:
    """Return the time at which a batch begins, in microseconds."""
    name, fields = split_line(line)
    if name != BATCH_START:
        raise WireError(f"a batch starts with {BATCH_START}, not {name!r}")
    return integer_field(fields, "clockUs")


def parse_instance_start(line: str) -> tuple[str, int, Fields]:
    """Return the instance's name, its seed, and all fields, which include its settings.

    The value of `bootInfo` is the rest of the line, and consists of one field for each setting.  Without this
    prefix the settings are ordinary fields of the line.
    """
    _, fields = split_line(line.replace(" bootInfo=", " ", 1))
    return parse_instance_name(fields), integer_field(fields, "entropy"), fields


def parse_instance_name(fields: Fields) -> str:
    """Return the name of the instance that a message is for."""
    return text_field(fields, "i")


def parse_entry_count(fields: Fields) -> int:
    """Return the number of lines of endpoint entries that follow."""
    return integer_field(fields, "lines")


def parse_slot(fields: Fields) -> int:
    """Return the slot in which endpoint entries are stored for later list updates."""
    return integer_field(fields, "slot")


def parse_entry(line: str) -> EndpointEntry:
    """Return the endpoint entry of a line."""
    name, fields = split_line(line or "?")
    if name != ENDPOINT_ENTRY:
        raise WireError(f"an inventory entry starts with {ENDPOINT_ENTRY}, not {name!r}")
    status = fields.get("health", "U")
    if status not in STATUS_BY_NAME:
        raise InvalidFieldError("health", status, "is not a known state")
    return EndpointEntry(
        endpoint=text_field(fields, "upstream"),
        zone=integer_field(fields, "rackZone", 0),
        host_class=integer_field(fields, "classOfHost", 0),
        cell=integer_field(fields, "pod", 0),
        status=STATUS_BY_NAME[status],
        capacity=number_field(fields, "size", 1.0),
        started_at=integer_field(fields, "bootTimeUs", 0),
    )


def parse_list_form(fields: Fields) -> ListForm:
    """Return the form of an endpoint list update."""
    form = text_field(fields, "form")
    if form not in LIST_FORM_BY_NAME:
        raise InvalidFieldError("form", form, "is not a known form")
    return LIST_FORM_BY_NAME[form]


# --- Events ------------------------------------------------------------------------------------------------


def _outcome(fields: Fields) -> Outcome:
    outcome = text_field(fields, "how")
    if outcome not in OUTCOME_BY_NAME:
        raise InvalidFieldError("how", outcome, "is not a known outcome")
    return OUTCOME_BY_NAME[outcome]


def _load_report(fields: Fields) -> tuple[float, ...]:
    """Return the load report; a value that is not a number becomes NaN, which the policy ignores."""
    return numbers_field(fields, "pressure")


def _parse_request(fields: Fields) -> Event:
    return RequestReceived(
        request_id=integer_field(fields, "ref"),
        class_index=integer_field(fields, "kind"),
        timeout=integer_field(fields, "patienceLeftUs"),
        tenant=integer_field(fields, "party", 0),
        affinity_key=fields.get("targetKey", ""),
        work=integer_field(fields, "workUs", 0),
        is_retry=flag_field(fields, "repeat"),
        is_write=flag_field(fields, "update"),
    )


def _parse_response_start(fields: Fields) -> Event:
    return ResponseStarted(
        request_id=integer_field(fields, "ref"),
        attempt=integer_field(fields, "trial"),
        endpoint=text_field(fields, "upstream"),
        latency=integer_field(fields, "rttUs"),
    )


def _parse_attempt_end(fields: Fields) -> Event:
    return AttemptEnded(
        request_id=integer_field(fields, "ref"),
        attempt=integer_field(fields, "trial"),
        endpoint=text_field(fields, "upstream"),
        outcome=_outcome(fields),
        latency=integer_field(fields, "rttUs"),
        request_completed=flag_field(fields, "final"),
        load_report=_load_report(fields),
    )


def _parse_client_disconnect(fields: Fields) -> Event:
    return ClientDisconnected(request_id=integer_field(fields, "ref"))


def _parse_timer(fields: Fields) -> Event:
    return TimerFired(token=text_field(fields, "nonce"))


def _parse_health_check_end(fields: Fields) -> Event:
    return HealthCheckEnded(
        endpoint=text_field(fields, "upstream"),
        outcome=_outcome(fields),
        latency=integer_field(fields, "rttUs"),
        load_report=_load_report(fields),
    )


def _parse_peer_message(fields: Fields) -> Event:
    return PeerMessageReceived(sender=integer_field(fields, "originPeer"), body=body_field(fields, "body"))


#: The parsers of the messages that map to one event each.
EVENT_PARSERS: dict[str, Callable[[Fields], Event]] = {
    "REQ": _parse_request,
    "ESTABLISHED": _parse_response_start,
    "FINISHED": _parse_attempt_end,
    "CLIENT_LEFT": _parse_client_disconnect,
    "ALARM": _parse_timer,
    "CHECKED": _parse_health_check_end,
    "MEMO": _parse_peer_message,
}


# --- Replies -----------------------------------------------------------------------------------------------


def _format_start_attempt(instance: str, action: StartAttempt) -> str:
    timeout = f" withinUs={action.timeout}" if action.timeout else ""
    return f"SUBMIT_TO i={instance} ref={action.request_id} upstream={action.endpoint}{timeout}"


def _format_reject_request(instance: str, action: RejectRequest) -> str:
    retry_after = f" backoffUs={action.retry_after}" if action.retry_after else ""
    return f"OVERLOAD_REPLY i={instance} ref={action.request_id}{retry_after}"


def _format_fail_request(instance: str, action: FailRequest) -> str:
    return f"GIVE_UP i={instance} ref={action.request_id}"


def _format_cancel_attempt(instance: str, action: CancelAttempt) -> str:
    return f"UNDO_SEND i={instance} ref={action.request_id} trial={action.attempt}"


def _format_set_timer(instance: str, action: SetTimer) -> str:
    return f"REMIND i={instance} offsetUs={action.delay} nonce={action.token}"


def _format_watch_endpoints(instance: str, action: WatchEndpoints) -> str:
    return f"FOLLOW i={instance} want={int(action.enabled)}"


def _format_fetch_endpoints(instance: str, _action: FetchEndpoints) -> str:
    return f"FETCH i={instance}"


def _format_send_health_check(instance: str, action: SendHealthCheck) -> str:
    return f"PROBE i={instance} upstream={action.endpoint}"


def _format_close_idle_connections(instance: str, action: CloseIdleConnections) -> str:
    return f"DROP_CONNS i={instance} upstream={action.endpoint}"


def _format_send_to_peer(instance: str, action: SendToPeer) -> str:
    return f"WRITE_PEER i={instance} dst={action.receiver} body={format_body(action.body)}"


def _format_log(instance: str, action: Log) -> str:
    return f"NOTE_DOWN i={instance} what={_one_line(action.text)}"


# looked up by type: a chain of `match` patterns took a twentieth of the run time under load
_ACTION_FORMATTERS: dict[type, Callable[[str, Any], str]] = {
    StartAttempt: _format_start_attempt,
    RejectRequest: _format_reject_request,
    FailRequest: _format_fail_request,
    CancelAttempt: _format_cancel_attempt,
    SetTimer: _format_set_timer,
    WatchEndpoints: _format_watch_endpoints,
    FetchEndpoints: _format_fetch_endpoints,
    SendHealthCheck: _format_send_health_check,
    CloseIdleConnections: _format_close_idle_connections,
    SendToPeer: _format_send_to_peer,
    Log: _format_log,
}


def format_action(instance: str, action: Action) -> str:
    """Return the line for an action of an instance."""
    return _ACTION_FORMATTERS[type(action)](instance, action)


def format_failure(instance: str, error: Exception) -> str:
    """Return the line that reports that an instance failed to handle an event."""
    return f"GIVE_IN i={instance} what={_one_line(f'{type(error).__name__}: {error}')}"


def _one_line(text: str) -> str:
    return " ".join(text.split())
