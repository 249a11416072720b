"""Checks the four rules from the ledgers of a run alone.

Reads only the files that the emulator, the load generator and the runner wrote, and shares no code with the
program under test.

- **Lost**: a client's request has no recorded end, or ended without a complete response (cut off, or no
  response before the client's timeout), unless its sidecar was killed while the request was in flight.
- **Executed twice**: an effect that may happen only once happened again: a class that is not idempotent was
  executed twice for one key; or one with idempotency keys was executed twice within one request without
  the repeat being discarded; or a request was executed although its client was notified of a rejection, and
  executed again for the same key.  A key that a client itself sends again after the deduplication window is
  counted separately.
- **Sent to a draining upstream**: the first byte of an attempt reached an upstream later than the drain grace
  after its sidecar had been notified that the upstream was draining or removed.
- **Crashed in slow start**: an upstream in slow start crashed because it was sent too much load.

Three more checks: **too many attempts** for one request, **wrong response** (one that belongs to another
request, or an attempt that no client sent), and **begun too late** (an attempt that began over 0.1 s after
its client had closed the connection).
"""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass, field
from enum import StrEnum
from pathlib import Path
from typing import Any

import msgspec

from linetrack.config.operators import Idempotency
from linetrack.emulator.ledger import read_ledger
from linetrack.emulator.ledger_events import (
    STATUS_CLIENT_LEFT,
    STATUS_CUT_OFF,
    STATUS_NOT_CONNECTED,
    STATUS_TIMED_OUT,
    AttemptReceived,
    Event,
    RequestEnded,
    RequestExecuted,
    RequestSent,
    SidecarNotified,
    UpstreamCrashed,
)

LOAD_LEDGERS = "load-*.jsonl"
EMULATOR_LEDGERS = "emulator-*.jsonl"
FACTS_FILE = "run.json"

SOCKET_DELAY_TOLERANCE_US = 50_000  # added to the time limits of the rules
MAX_BEGIN_AFTER_DISCONNECT_US = 100_000  # the latest allowed begin of an attempt after the client's close
MAX_EXAMPLES = 5  # breaches described for each rule
REJECTION_STATUSES = (429, 503)
SERVING = "SERVING"


class Rule(StrEnum):
    """The rules that are checked; their values are the names in results and reports."""

    LOST = "lost"
    EXECUTED_TWICE = "twice"
    SENT_TO_DRAINING = "drained"
    CRASHED_IN_SLOW_START = "pushed_over"
    TOO_MANY_ATTEMPTS = "too_many"
    WRONG_RESPONSE = "wrong"
    BEGUN_TOO_LATE = "begun_late"


class SidecarKill(msgspec.Struct, frozen=True, array_like=True):
    """The kill of a sidecar, or its unexpected end."""

    sidecar: int
    at: int  # in microseconds of the ledgers' clock


class RunFacts(
    msgspec.Struct,
    frozen=True,
    rename={
        "idempotency_by_class": "repeat",
        "upstream_zones": "zones",
        "sidecar_zones": "sides",
        "kills": "killed",
        "crashes": "crashed",
    },
):
    """The facts of a run that the rules need, stored as `run.json` in its folder."""

    max_attempts: int
    drain_grace: int  # microseconds
    idempotency_by_class: dict[str, Idempotency]
    upstream_zones: dict[str, str] = {}  # by the index of the upstream's address, as text
    sidecar_zones: tuple[str, ...] = ()
    start: int = 0
    kills: tuple[SidecarKill, ...] = ()
    crashes: int = 0  # sidecars that ended unexpectedly


@dataclass
class Findings:
    """The result of an audit."""

    breaches: Counter[Rule] = field(default_factory=Counter)
    examples: dict[Rule, list[str]] = field(default_factory=lambda: defaultdict(list))
    requests: int = 0
    attempts: int = 0
    excused: int = 0  # requests lost with a sidecar that was killed
    not_connected: int = 0
    repeated_by_clients: int = 0  # keys executed again because the client retried a failed request
    incomplete_files: list[str] = field(default_factory=list)

    def add(self, rule: Rule, description: str) -> None:
        """Record a breach of a rule; the first `MAX_EXAMPLES` are described."""
        self.breaches[rule] += 1
        if len(self.examples[rule]) < MAX_EXAMPLES:
            self.examples[rule].append(description)

    @property
    def held(self) -> bool:
        """Whether no rule was broken."""
        return not any(self.breaches[rule] for rule in Rule)


class _History:
    """The events of a run, grouped by the trace id of their request."""

    def __init__(self, load: list[Event], emulator: list[Event]) -> None:
        self.emulator = emulator
        self.sent = {event.trace: event for event in load if isinstance(event, RequestSent)}
        self.ends: dict[str, list[RequestEnded]] = defaultdict(list)
        self.attempts: dict[str, list[AttemptReceived]] = defaultdict(list)
        self.executions: dict[str, list[RequestExecuted]] = defaultdict(list)
        for event in load:
            if isinstance(event, RequestEnded):
                self.ends[event.trace].append(event)
        for event in emulator:
            if isinstance(event, AttemptReceived):
                self.attempts[event.trace].append(event)
            elif isinstance(event, RequestExecuted):
                self.executions[event.trace].append(event)


def read_events(folder: Path, pattern: str) -> list[Event]:
    """Return the events of all ledgers that match a file name pattern, by time.

    Raises:
        LedgerError: a line of a ledger is not a valid event.
    """
    events = [event for path in sorted(folder.glob(pattern)) for event in read_ledger(path)]
    events.sort(key=lambda event: event.at)
    return events


def read_facts(folder: Path) -> RunFacts:
    """Read the facts of the run in a folder.

    Raises:
        OSError: the file cannot be read.
        msgspec.DecodeError: the file is invalid.
    """
    return msgspec.json.decode((folder / FACTS_FILE).read_bytes(), type=RunFacts)


def audit(folder: Path) -> Findings:
    """Check the run in a folder against all rules.

    Raises:
        OSError: a file is missing.
        LedgerError: a line of a ledger is not a valid event.
    """
    facts = read_facts(folder)
    findings = Findings(incomplete_files=_incomplete_files(folder))
    history = _History(read_events(folder, LOAD_LEDGERS), read_events(folder, EMULATOR_LEDGERS))
    findings.requests = len(history.sent)
    findings.attempts = sum(map(len, history.attempts.values()))
    _check_crashes(history, findings)
    _check_lost(facts, history, findings)
    _check_executed_twice(facts, history, findings)
    _check_sent_to_draining(facts, history, findings)
    _check_attempts(facts, history, findings)
    _check_begun_too_late(history, findings)
    return findings


def _incomplete_files(folder: Path) -> list[str]:
    """Return the names of the ledgers whose last line is cut off."""
    incomplete = []
    for path in sorted(folder.glob("*.jsonl")):
        data = path.read_bytes()
        if data and not data.endswith(b"\n"):
            incomplete.append(path.name)
    return incomplete


def _check_crashes(history: _History, findings: Findings) -> None:
    for event in history.emulator:
        if isinstance(event, UpstreamCrashed):
            findings.add(Rule.CRASHED_IN_SLOW_START, f"{event.upstream} at {event.at}")


def _check_lost(facts: RunFacts, history: _History, findings: Findings) -> None:
    for trace, sent in history.sent.items():
        ends = history.ends.get(trace, [])
        if len(ends) == 1 and ends[0].status > 0:
            if ends[0].status == 200 and ends[0].responding_trace != trace:
                response = ends[0].responding_trace
                findings.add(Rule.WRONG_RESPONSE, f"{trace} got the response of {response!r}")
            continue
        if len(ends) == 1 and ends[0].status == STATUS_NOT_CONNECTED:
            findings.not_connected += 1
            continue
        if len(ends) == 1 and ends[0].status == STATUS_CLIENT_LEFT:
            continue
        in_flight_until = ends[0].at if ends else sent.deadline
        if _was_killed(facts, sent, in_flight_until):
            findings.excused += 1
        elif len(ends) > 1:
            findings.add(Rule.LOST, f"{trace}: {len(ends)} ends were recorded")
        else:
            findings.add(Rule.LOST, f"{trace}: {_describe_end(ends)}")


def _was_killed(facts: RunFacts, sent: RequestSent, in_flight_until: int) -> bool:
    """Whether the sidecar of a request was killed while it was in flight."""
    return any(
        kill.sidecar == sent.sidecar
        and sent.at - SOCKET_DELAY_TOLERANCE_US <= kill.at <= in_flight_until + SOCKET_DELAY_TOLERANCE_US
        for kill in facts.kills
    )


def _describe_end(ends: list[RequestEnded]) -> str:
    descriptions = {STATUS_TIMED_OUT: "no response in time", STATUS_CUT_OFF: "cut off"}
    return descriptions.get(ends[0].status, "no end recorded") if ends else "no end recorded"


def _check_executed_twice(facts: RunFacts, history: _History, findings: Findings) -> None:
    # Only executions that were not discarded as duplicates.
    traces_by_key: dict[str, list[str]] = defaultdict(list)
    for trace, executions in history.executions.items():
        idempotency = facts.idempotency_by_class.get(executions[0].class_name, Idempotency.NON_IDEMPOTENT)
        if idempotency is Idempotency.IDEMPOTENT:
            continue
        effective = [execution for execution in executions if not execution.duplicate_of]
        if len(effective) > 1:
            upstreams = ", ".join(execution.upstream for execution in effective)
            findings.add(Rule.EXECUTED_TWICE, f"{trace} was executed at {upstreams}")
        if effective:
            traces_by_key[effective[0].key].append(trace)
    for key, traces in traces_by_key.items():
        if len(traces) > 1:
            _check_repeated_key(key, traces, history, findings)


def _check_repeated_key(key: str, traces: list[str], history: _History, findings: Findings) -> None:
    """Check a key that was executed for several requests of its client."""
    statuses = [ends[0].status for trace in traces if (ends := history.ends.get(trace))]
    if any(status in REJECTION_STATUSES for status in statuses):
        description = f"key {key} was rejected, retried by its client and executed for {', '.join(traces)}"
        findings.add(Rule.EXECUTED_TWICE, description)
    else:
        findings.repeated_by_clients += 1


def _check_sent_to_draining(facts: RunFacts, history: _History, findings: Findings) -> None:
    notified_at: dict[tuple[int, str], int] = {}  # in microseconds, by sidecar and upstream
    for event in history.emulator:
        if isinstance(event, SidecarNotified):
            if event.state == SERVING:
                notified_at.pop((event.sidecar, event.upstream), None)
            else:
                notified_at.setdefault((event.sidecar, event.upstream), event.at)
        elif isinstance(event, AttemptReceived) and event.trace in history.sent:
            draining_since = notified_at.get((history.sent[event.trace].sidecar, event.upstream))
            if (
                draining_since is not None
                and event.first_byte_at > draining_since + facts.drain_grace + SOCKET_DELAY_TOLERANCE_US
            ):
                delay_s = (event.first_byte_at - draining_since) / 1e6
                description = (
                    f"{event.trace} to {event.upstream}, {delay_s:.2f} s after its sidecar was notified"
                )
                findings.add(Rule.SENT_TO_DRAINING, description)


def _check_attempts(facts: RunFacts, history: _History, findings: Findings) -> None:
    for trace, attempts in history.attempts.items():
        if trace not in history.sent:
            description = f"{trace} reached {attempts[0].upstream}, but no client sent it"
            findings.add(Rule.WRONG_RESPONSE, description)
        if len(attempts) > facts.max_attempts:
            description = f"{trace}: {len(attempts)} attempts, {facts.max_attempts} allowed"
            findings.add(Rule.TOO_MANY_ATTEMPTS, description)


def _check_begun_too_late(history: _History, findings: Findings) -> None:
    for trace, ends in history.ends.items():
        if ends[0].status != STATUS_CLIENT_LEFT:
            continue
        latest_begin = ends[0].at + MAX_BEGIN_AFTER_DISCONNECT_US + SOCKET_DELAY_TOLERANCE_US
        for attempt in history.attempts.get(trace, []):
            if attempt.first_byte_at > latest_begin:
                delay_s = (attempt.first_byte_at - ends[0].at) / 1e6
                findings.add(Rule.BEGUN_TOO_LATE, f"{trace}, {delay_s:.2f} s after its client disconnected")


def summary(findings: Findings) -> dict[str, Any]:
    """Return the findings under the names of results files and of the command line's JSON."""
    return {
        "held": findings.held,
        "asked": findings.requests,
        "attempts": findings.attempts,
        **{rule.value: findings.breaches[rule] for rule in Rule},
        "excused": findings.excused,
        "not_taken": findings.not_connected,
        "callers_own": findings.repeated_by_clients,
        "incomplete": findings.incomplete_files,
        "named": {rule.value: examples for rule, examples in findings.examples.items()},
    }
