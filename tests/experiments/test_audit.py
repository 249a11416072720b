"""The audit finds each planted breach of the four rules, and none where there is none."""

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

MS = 1000
SECOND = 1_000_000
IDEMPOTENCY = {
    "look": Idempotency.IDEMPOTENT,
    "sale": Idempotency.IDEMPOTENCY_KEY,
    "pay": Idempotency.NON_IDEMPOTENT,
}


class Story:
    """Ledgers of a small run in which nothing is wrong, and ways to spoil it."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.load = Ledger(folder / "load-0.jsonl")
        self.emulator = Ledger(folder / "emulator-0.jsonl")
        self.kills: tuple[SidecarKill, ...] = ()
        for n in range(20):
            class_name = list(IDEMPOTENCY)[n % 3]
            self.send(f"t{n}", n * SECOND, class_name)
            self.attempt(f"t{n}", n * SECOND + MS)
            self.execute(f"t{n}", n * SECOND + 2 * MS, class_name)
            self.end(f"t{n}", n * SECOND + 3 * MS)

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


T = 100 * SECOND
BREACHES: dict[str, tuple[Rule, Callable[[Story], object]]] = {
    "no end": (Rule.LOST, lambda s: s.send("x", T)),
    "no response": (Rule.LOST, lambda s: (s.send("x", T), s.end("x", T + SECOND, STATUS_TIMED_OUT))),
    "cut off": (Rule.LOST, lambda s: (s.send("x", T), s.end("x", T, STATUS_CUT_OFF))),
    "two ends": (Rule.LOST, lambda s: (s.send("x", T), s.end("x", T), s.end("x", T + 1))),
    "executed twice": (
        Rule.EXECUTED_TWICE,
        lambda s: (s.send("x", T, "pay"), s.execute("x", T, "pay"), s.execute("x", T, "pay"), s.end("x", T)),
    ),
    "idempotency key, past the window": (
        Rule.EXECUTED_TWICE,
        lambda s: (
            s.send("x", T, "sale"),
            s.execute("x", T, "sale"),
            s.execute("x", T + 2, "sale", upstream="u2"),
            s.end("x", T),
        ),
    ),
    "rejected and yet executed": (
        Rule.EXECUTED_TWICE,
        lambda s: (
            s.send("x", T, "pay", "k"),
            s.execute("x", T, "pay", "k"),
            s.end("x", T, 503),
            s.send("y", T + 1, "pay", "k"),
            s.execute("y", T + 1, "pay", "k"),
            s.end("y", T + 1),
        ),
    ),
    "sent to a draining upstream": (
        Rule.SENT_TO_DRAINING,
        lambda s: (
            s.notify("u2", T, "DRAINING"),
            s.send("x", T + SECOND),
            s.attempt("x", T + 1100 * MS, "u2"),
            s.end("x", T),
        ),
    ),
    "crashed in slow start": (
        Rule.CRASHED_IN_SLOW_START,
        lambda s: s.emulator.write(UpstreamCrashed(T, "u3", 3)),
    ),
    "four attempts": (
        Rule.TOO_MANY_ATTEMPTS,
        lambda s: (s.send("x", T), *(s.attempt("x", T + n) for n in range(4)), s.end("x", T)),
    ),
    "the response of another request": (
        Rule.WRONG_RESPONSE,
        lambda s: (s.send("x", T), s.end("x", T, 200, "t1")),
    ),
    "a request that nobody sent": (Rule.WRONG_RESPONSE, lambda s: s.attempt("ghost", T)),
}


@pytest.mark.parametrize(("rule", "spoil"), BREACHES.values(), ids=BREACHES)
def test_each_breach_is_found_under_its_rule_alone(
    tmp_path: Path, rule: Rule, spoil: Callable[[Story], object]
) -> None:
    story = Story(tmp_path)
    spoil(story)
    findings = story.audit()
    assert not findings.held
    assert dict(findings.breaches) == {rule: 1}
    assert findings.examples[rule]


def test_what_is_allowed_is_no_breach(tmp_path: Path) -> None:
    story = Story(tmp_path)
    story.send("a", T, "sale", "k")  # discarded as a repeat: no second effect
    story.execute("a", T, "sale", "k")
    story.execute("a", T + 1, "sale", "k", duplicate_of="a", upstream="u2")
    story.end("a", T + 2)
    story.send("b", T, "look")  # idempotent: it may be executed any number of times
    story.execute("b", T)
    story.execute("b", T + 1)
    story.end("b", T + 2, 502)
    story.notify("u2", T, "DRAINING")  # within the grace, to another sidecar, and when it serves again
    story.send("c", T)
    story.attempt("c", T + 900 * MS, "u2")
    story.end("c", T + SECOND)
    story.notify("u2", T + 2 * SECOND, "SERVING")
    story.send("d", T + 3 * SECOND)
    story.attempt("d", T + 3 * SECOND, "u2")
    story.end("d", T + 3 * SECOND)
    story.send("e", T + 5 * SECOND)  # its sidecar was killed while it was in flight
    story.end("e", T + 5 * SECOND + 100 * MS, STATUS_CUT_OFF)
    story.send("f", T + 6 * SECOND)  # no connection came up
    story.end("f", T + 6 * SECOND, STATUS_NOT_CONNECTED)
    story.kills = (SidecarKill(0, T + 5 * SECOND + 90 * MS),)
    findings = story.audit()
    assert findings.held
    assert findings.excused == 1
    assert findings.not_connected == 1


def test_a_file_cut_off_is_reported_and_its_last_line_left_out(tmp_path: Path) -> None:
    story = Story(tmp_path)
    assert story.audit().held
    path = tmp_path / "load-0.jsonl"
    path.write_bytes(path.read_bytes()[:-5])
    findings = audit(tmp_path)
    assert findings.incomplete_files == ["load-0.jsonl"]
    assert findings.breaches[Rule.LOST] == 1


def test_each_rule_is_a_metric_that_reports_can_name() -> None:
    assert {rule.value for rule in Rule} <= METRICS.keys()
