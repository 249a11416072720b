"""The audit reports each planted breach under its rule, and none in a run that keeps the rules."""

from collections.abc import Callable
from pathlib import Path
from typing import Self

import msgspec
import pytest

from linetrack.config.operators import Idempotency
from linetrack.emulator.ledger import Ledger
from linetrack.emulator.ledger_events import (
    STATUS_CUT_OFF,
    STATUS_NOT_CONNECTED,
    STATUS_TIMED_OUT,
    AttemptReceived,
    RequestEnded,
    RequestExecuted,
    RequestSent,
    SidecarNotified,
    UpstreamCrashed,
)
from linetrack.experiments.audit import FACTS_FILE, Findings, Rule, RunFacts, SidecarKill, audit
from linetrack.experiments.schema import METRICS

MS = 1000  # times are in microseconds
SECOND = 1_000_000
IDEMPOTENCY = {
    "look": Idempotency.IDEMPOTENT,
    "sale": Idempotency.IDEMPOTENCY_KEY,
    "pay": Idempotency.NON_IDEMPOTENT,
}


class RecordedRun:
    """Writes the ledgers of a small run that keeps all rules, and further events on request."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.load = Ledger(folder / "load-0.jsonl")
        self.emulator = Ledger(folder / "emulator-0.jsonl")
        self.kills: tuple[SidecarKill, ...] = ()
        for number in range(20):
            class_name = list(IDEMPOTENCY)[number % 3]
            self.send(f"t{number}", number * SECOND, class_name)
            self.attempt(f"t{number}", number * SECOND + MS)
            self.execute(f"t{number}", number * SECOND + 2 * MS, class_name)
            self.end(f"t{number}", number * SECOND + 3 * MS)

    def send(self, trace: str, at: int, class_name: str = "look", key: str = "") -> Self:
        event = RequestSent(
            at=at,
            trace=trace,
            sidecar=0,
            due_at=at,
            deadline=at + SECOND,
            client_request=0,
            retry=0,
            key=key or f"k{trace}",
            class_name=class_name,
        )
        self.load.write(event)
        return self

    def end(self, trace: str, at: int, status: int = 200, responding_trace: str = "") -> Self:
        self.load.write(RequestEnded(at, trace, status, responding_trace or trace, "u1", ""))
        return self

    def attempt(self, trace: str, at: int, upstream: str = "u1") -> Self:
        self.emulator.write(AttemptReceived(at, upstream, trace, at, "SERVING"))
        return self

    def execute(
        self,
        trace: str,
        at: int,
        class_name: str = "look",
        key: str = "",
        duplicate_of: str = "",
        upstream: str = "u1",
    ) -> Self:
        event = RequestExecuted(at, upstream, trace, key or f"k{trace}", class_name, duplicate_of)
        self.emulator.write(event)
        return self

    def notify(self, upstream: str, at: int, state: str, sidecar: int = 0) -> Self:
        self.emulator.write(SidecarNotified(at, sidecar, upstream, state))
        return self

    def audit(self) -> Findings:
        self.load.close()
        self.emulator.close()
        facts = RunFacts(
            max_attempts=3, drain_grace=SECOND, idempotency_by_class=IDEMPOTENCY, kills=self.kills
        )
        (self.folder / FACTS_FILE).write_bytes(msgspec.json.encode(facts))
        return audit(self.folder)


T = 100 * SECOND  # after the events that every RecordedRun has
BREACHES: dict[str, tuple[Rule, Callable[[RecordedRun], object]]] = {
    "no end": (Rule.LOST, lambda run: run.send("x", T)),
    "no response": (Rule.LOST, lambda run: (run.send("x", T), run.end("x", T + SECOND, STATUS_TIMED_OUT))),
    "cut off": (Rule.LOST, lambda run: (run.send("x", T), run.end("x", T, STATUS_CUT_OFF))),
    "two ends": (Rule.LOST, lambda run: (run.send("x", T), run.end("x", T), run.end("x", T + 1))),
    "executed twice": (
        Rule.EXECUTED_TWICE,
        lambda run: (
            run.send("x", T, "pay"),
            run.execute("x", T, "pay"),
            run.execute("x", T, "pay"),
            run.end("x", T),
        ),
    ),
    "idempotency key, executed again past the window": (
        Rule.EXECUTED_TWICE,
        lambda run: (
            run.send("x", T, "sale"),
            run.execute("x", T, "sale"),
            run.execute("x", T + 2, "sale", upstream="u2"),
            run.end("x", T),
        ),
    ),
    "rejected, but executed": (
        Rule.EXECUTED_TWICE,
        lambda run: (
            run.send("x", T, "pay", "k"),
            run.execute("x", T, "pay", "k"),
            run.end("x", T, 503),
            run.send("y", T + 1, "pay", "k"),
            run.execute("y", T + 1, "pay", "k"),
            run.end("y", T + 1),
        ),
    ),
    "sent to a draining upstream": (
        Rule.SENT_TO_DRAINING,
        lambda run: (
            run.notify("u2", T, "DRAINING"),
            run.send("x", T + SECOND),
            run.attempt("x", T + 1100 * MS, "u2"),
            run.end("x", T),
        ),
    ),
    "crashed in slow start": (
        Rule.CRASHED_IN_SLOW_START,
        lambda run: run.emulator.write(UpstreamCrashed(T, "u3", 3)),
    ),
    "four attempts": (
        Rule.TOO_MANY_ATTEMPTS,
        lambda run: (run.send("x", T), *(run.attempt("x", T + delay) for delay in range(4)), run.end("x", T)),
    ),
    "the response of another request": (
        Rule.WRONG_RESPONSE,
        lambda run: (run.send("x", T), run.end("x", T, 200, "t1")),
    ),
    "an attempt that no client sent": (Rule.WRONG_RESPONSE, lambda run: run.attempt("unknown", T)),
}


@pytest.mark.parametrize(("rule", "plant_breach"), BREACHES.values(), ids=BREACHES)
def test_each_breach_is_reported_under_its_rule_only(
    tmp_path: Path, rule: Rule, plant_breach: Callable[[RecordedRun], object]
) -> None:
    run = RecordedRun(tmp_path)
    plant_breach(run)
    findings = run.audit()
    assert not findings.held
    assert dict(findings.breaches) == {rule: 1}
    assert findings.examples[rule]


def test_permitted_events_are_no_breach(tmp_path: Path) -> None:
    run = RecordedRun(tmp_path)
    run.send("a", T, "sale", "k")  # the second execution is discarded as a duplicate
    run.execute("a", T, "sale", "k")
    run.execute("a", T + 1, "sale", "k", duplicate_of="a", upstream="u2")
    run.end("a", T + 2)
    run.send("b", T, "look")  # idempotent, so it may be executed more than once
    run.execute("b", T)
    run.execute("b", T + 1)
    run.end("b", T + 2, 502)
    run.notify("u2", T, "DRAINING")  # attempts within the grace, and after it serves again
    run.send("c", T)
    run.attempt("c", T + 900 * MS, "u2")
    run.end("c", T + SECOND)
    run.notify("u2", T + 2 * SECOND, "SERVING")
    run.send("d", T + 3 * SECOND)
    run.attempt("d", T + 3 * SECOND, "u2")
    run.end("d", T + 3 * SECOND)
    run.send("e", T + 5 * SECOND)  # its sidecar is killed while it is in flight
    run.end("e", T + 5 * SECOND + 100 * MS, STATUS_CUT_OFF)
    run.send("f", T + 6 * SECOND)  # the client could not connect
    run.end("f", T + 6 * SECOND, STATUS_NOT_CONNECTED)
    run.kills = (SidecarKill(0, T + 5 * SECOND + 90 * MS),)
    findings = run.audit()
    assert findings.held
    assert findings.excused == 1
    assert findings.not_connected == 1


def test_a_truncated_ledger_is_reported_and_its_last_line_ignored(tmp_path: Path) -> None:
    run = RecordedRun(tmp_path)
    assert run.audit().held
    path = tmp_path / "load-0.jsonl"
    path.write_bytes(path.read_bytes()[:-5])
    findings = audit(tmp_path)
    assert findings.incomplete_files == ["load-0.jsonl"]
    assert findings.breaches[Rule.LOST] == 1


def test_each_rule_is_a_metric() -> None:
    assert {rule.value for rule in Rule} <= METRICS.keys()
