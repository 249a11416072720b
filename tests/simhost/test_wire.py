"""The simulator's wire protocol: single messages, a session, invalid input, and the adapter as a process."""

import io
import os
import subprocess
import sys

import pytest

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
    Event,
    HealthCheckEnded,
    Outcome,
    PeerMessageReceived,
    RequestReceived,
    ResponseStarted,
    TimerFired,
)
from linetrack.policy.settings import Idempotency, LoadField
from linetrack.simhost import wire
from linetrack.simhost.fields import InvalidFieldError, split_line
from linetrack.simhost.host import EXIT_INVALID_INPUT, Host
from linetrack.simhost.settings import parse_settings
from tests.support.paths import ROOT

SETTINGS = (
    "allowed.mayCancel=true allowed.maxAttempts=3 allowed.parallelTries=true allowed.retryAfter=true "
    "allowed.maxRetryAfterUs=1000000 azs=north,south balancers=1 classes.count=2 classes.0.aimUs=300000 "
    "classes.0.deadlineUs=900000 classes.0.repeat=free classes.0.worth=2.0 classes.1.aimUs=300000 "
    "classes.1.deadlineUs=900000 classes.1.repeat=single_shot me=0 registryMode=subscribe "
    "rules.askEveryUs=9000000 stats.fields=depth,tps stats.how=inline zone=0 something.new=1"
)


def enlist(number: int = 0, seed: int = 7) -> str:
    return f"ENLIST i=sidecar/{number} entropy={seed} {SETTINGS}"


SESSION = [
    "TICK clockUs=0",
    "YOUR_TURN",
    "TICK clockUs=5000000",
    enlist(),
    "INVENTORY slot=0 lines=2",
    "M upstream=u:1 rackZone=0 classOfHost=0 pod=0 health=U size=1 unknown=x",
    "M upstream=u:2 rackZone=1 classOfHost=0 pod=9 health=L size=1.5 bootTimeUs=4000000",
    "MEMBERSHIP i=sidecar/0 index=1 form=remembered slot=0",
    "REQ i=sidecar/0 ref=11 kind=0 targetKey=k:a patienceLeftUs=900000",
    "YOUR_TURN",
    "TICK clockUs=5040000",
    "FINISHED i=sidecar/0 ref=11 trial=0 upstream=u:1 how=done rttUs=40000 final=1 pressure=2,oops",
    "REQ i=sidecar/0 ref=12 kind=1 patienceLeftUs=900000",
    "YOUR_TURN",
    "TICK clockUs=5900000",
    "FINISHED i=sidecar/0 ref=12 trial=0 upstream=u:1 how=etimedout rttUs=860000",
    "YOUR_TURN",
]


def run_host(lines: list[str]) -> tuple[int, str]:
    output = io.StringIO()
    status = Host(io.StringIO("\n".join(lines) + "\n" if lines else ""), output).run()
    return status, output.getvalue()


def test_a_session_gets_the_expected_replies() -> None:
    status, reply = run_host(SESSION)
    assert status == 0
    assert reply.split("END\n") == [
        "",
        "FOLLOW i=sidecar/0 want=1\nSUBMIT_TO i=sidecar/0 ref=11 upstream=u:1\n"
        "REMIND i=sidecar/0 offsetUs=225000 nonce=copy:11\n",
        "SUBMIT_TO i=sidecar/0 ref=12 upstream=u:1\n",
        "GIVE_UP i=sidecar/0 ref=12\n",
        "",
    ]


def test_exit_and_enlist_in_one_batch_replace_the_instance() -> None:
    status, reply = run_host(
        [
            *SESSION[:10],
            "TICK clockUs=6000000",
            "EXIT i=sidecar/0",
            enlist(seed=8),
            "INVENTORY slot=0 lines=1",
            "M upstream=u:9 rackZone=0",
            "MEMBERSHIP i=sidecar/0 index=2 form=remembered slot=0",
            "REQ i=sidecar/0 ref=13 kind=0 patienceLeftUs=900000",
            "YOUR_TURN",
        ]
    )
    assert status == 0
    assert reply.endswith(
        "FOLLOW i=sidecar/0 want=1\nSUBMIT_TO i=sidecar/0 ref=13 upstream=u:9\n"
        "REMIND i=sidecar/0 offsetUs=225000 nonce=copy:13\nEND\n"
    )


def test_a_list_slot_can_be_reused_within_a_batch() -> None:
    lines = ["TICK clockUs=1", enlist(0), enlist(1)]
    for number in (0, 1):
        lines += ["INVENTORY slot=3 lines=1", f"M upstream=only:{number}"]
        lines += [f"MEMBERSHIP i=sidecar/{number} index=1 form=all slot=3"]
    lines += [f"REQ i=sidecar/{n} ref={n} kind=0 patienceLeftUs=900000" for n in (0, 1)]
    _, reply = run_host([*lines, "YOUR_TURN"])
    assert "ref=0 upstream=only:0" in reply
    assert "ref=1 upstream=only:1" in reply


@pytest.mark.parametrize(
    ("lines", "message"),
    [
        (["HELLO x=1"], "TICK"),
        (["TICK clockUs=x"], "clockUs"),
        (["TICK clockUs=1"], "inside a batch"),
        (["TICK clockUs=1", "REQ i=sidecar/4 ref=1", "YOUR_TURN"], "not enlisted"),
        (["TICK clockUs=1", enlist(), "REQ i=sidecar/0 ref=1", "YOUR_TURN"], "'kind' is missing"),
        (["TICK clockUs=1", enlist(), "NEWS i=sidecar/0", "YOUR_TURN"], "not a known message"),
        (["TICK clockUs=1", "ENLIST i=sidecar/0 entropy=1", "YOUR_TURN"], "classes is missing"),
        (["TICK clockUs=1", "INVENTORY slot=0 lines=1", "YOUR_TURN"], "starts with M"),
        (["TICK clockUs=1", enlist(), "MEMBERSHIP i=sidecar/0 form=all slot=5", "YOUR_TURN"], "slot=5"),
        (["TICK clockUs=1", enlist(), "MEMBERSHIP i=sidecar/0 form=odd", "YOUR_TURN"], "form='odd'"),
    ],
)
def test_invalid_input_is_reported_with_its_line_and_reason(
    lines: list[str], message: str, capsys: pytest.CaptureFixture[str]
) -> None:
    status, _ = run_host(lines)
    error = capsys.readouterr().err
    assert status == EXIT_INVALID_INPUT
    assert message in error
    assert "line " in error
    assert "Traceback" not in error


def test_an_exception_in_the_policy_is_reported_on_the_wire(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    def raise_index_error(*_: object) -> None:
        raise IndexError("out of range")

    monkeypatch.setattr("linetrack.policy.balancer.Balancer.handle", raise_index_error)
    _, reply = run_host(SESSION[:10])
    assert "GIVE_IN i=sidecar/0 what=IndexError: out of range\n" in reply
    assert "Traceback" in capsys.readouterr().err


ACTIONS: list[tuple[Action, str]] = [
    (StartAttempt(1, "u:1", 9), "SUBMIT_TO i=s ref=1 upstream=u:1 withinUs=9"),
    (CancelAttempt(1, 2), "UNDO_SEND i=s ref=1 trial=2"),
    (RejectRequest(1, 5), "OVERLOAD_REPLY i=s ref=1 backoffUs=5"),
    (RejectRequest(1), "OVERLOAD_REPLY i=s ref=1"),
    (FailRequest(1), "GIVE_UP i=s ref=1"),
    (SetTimer(4, "t"), "REMIND i=s offsetUs=4 nonce=t"),
    (WatchEndpoints(False), "FOLLOW i=s want=0"),
    (FetchEndpoints(), "FETCH i=s"),
    (SendHealthCheck("u:1"), "PROBE i=s upstream=u:1"),
    (CloseIdleConnections("u:1"), "DROP_CONNS i=s upstream=u:1"),
    (SendToPeer(-1, b"hi g7"), "WRITE_PEER i=s dst=-1 body=aGkgZzc="),
    (SendToPeer(2), "WRITE_PEER i=s dst=2 body=-"),
    (Log("two\nlines"), "NOTE_DOWN i=s what=two lines"),
]


@pytest.mark.parametrize(("action", "line"), ACTIONS)
def test_every_action_is_formatted(action: Action, line: str) -> None:
    assert wire.format_action("s", action) == line


EVENTS: list[tuple[str, Event]] = [
    (
        "REQ ref=1 kind=0 party=2 targetKey=k:x patienceLeftUs=5 workUs=7 repeat=1 update=1",
        RequestReceived(1, 0, 5, 2, "k:x", 7, True, True),
    ),
    ("ESTABLISHED ref=1 trial=0 upstream=u:1 rttUs=9", ResponseStarted(1, 0, "u:1", 9)),
    (
        "FINISHED ref=1 trial=1 upstream=u:1 how=busy rttUs=3 pressure=1.5,2",
        AttemptEnded(1, 1, "u:1", Outcome.OVERLOADED, 3, False, (1.5, 2.0)),
    ),
    ("CLIENT_LEFT ref=1", ClientDisconnected(1)),
    ("ALARM nonce=a:1", TimerFired("a:1")),
    ("CHECKED upstream=u:1 rttUs=4 how=done", HealthCheckEnded("u:1", Outcome.SUCCESS, 4)),
    ("MEMO originPeer=2 body=aGkgZzc=", PeerMessageReceived(2, b"hi g7")),
]


@pytest.mark.parametrize(("line", "event"), EVENTS)
def test_every_event_is_parsed(line: str, event: Event) -> None:
    name, fields = split_line(line)
    assert wire.EVENT_PARSERS[name](fields) == event


@pytest.mark.parametrize(("name", "outcome"), wire.OUTCOME_BY_NAME.items())
def test_every_outcome_is_parsed(name: str, outcome: Outcome) -> None:
    _, fields = split_line(f"FINISHED ref=1 trial=0 upstream=u:1 rttUs=1 how={name}")
    ended = wire.EVENT_PARSERS["FINISHED"](fields)
    assert isinstance(ended, AttemptEnded)
    assert ended.outcome is outcome


@pytest.mark.parametrize(
    ("line", "field"),
    [("MEMO originPeer=1 body=%%%", "body"), ("FINISHED ref=1 trial=0 upstream=u how=odd", "how")],
)
def test_an_invalid_field_is_rejected_with_its_name(line: str, field: str) -> None:
    name, fields = split_line(line)
    with pytest.raises(InvalidFieldError) as raised:
        wire.EVENT_PARSERS[name](fields)
    assert raised.value.field == field


def test_settings_are_read_and_unknown_ones_ignored() -> None:
    _, pairs = split_line("X " + SETTINGS)
    settings = parse_settings(pairs)
    assert settings.must_subscribe
    assert settings.may_run_parallel_attempts
    assert settings.zone_count == 2
    assert settings.load_report_fields == (LoadField.QUEUE_DEPTH, LoadField.REQUEST_RATE)
    assert [request_class.idempotency for request_class in settings.classes] == [
        Idempotency.IDEMPOTENT,
        Idempotency.NON_IDEMPOTENT,
    ]


def run_process(text: str, hash_seed: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "linetrack.simhost"],
        input=text,
        capture_output=True,
        text=True,
        cwd=ROOT,
        env={**os.environ, "PYTHONHASHSEED": hash_seed},
        timeout=60,
        check=False,
    )


def requests_script(instances: list[int]) -> str:
    lines = ["TICK clockUs=1000000"]
    for n in instances:
        lines += [enlist(n, 100 + n), "INVENTORY slot=1 lines=6"]
        lines += [f"M upstream=u:{k} rackZone={k % 2}" for k in range(6)]
        lines += [f"MEMBERSHIP i=sidecar/{n} index=1 form=remembered slot=1"]
    for n in instances:
        lines += [f"REQ i=sidecar/{n} ref={n * 100 + k} kind=0 patienceLeftUs=900000" for k in range(20)]
    return "\n".join([*lines, "YOUR_TURN"]) + "\n"


def test_replies_are_independent_of_the_hash_seed_and_of_other_instances() -> None:
    together = run_process(requests_script([0, 1]), "1")
    assert together.returncode == 0
    assert together.stdout == run_process(requests_script([0, 1]), "2").stdout
    alone = [run_process(requests_script([n]), "3").stdout.splitlines() for n in (0, 1)]
    for n in (0, 1):
        replies = [line for line in together.stdout.splitlines() if f"i=sidecar/{n} " in line]
        assert replies == alone[n][:-1]


def test_only_the_end_of_input_between_batches_is_a_clean_exit() -> None:
    assert run_process("", "0").returncode == 0
    incomplete = run_process("TICK clockUs=1\n", "0")
    assert incomplete.returncode != 0
    assert "inside a batch" in incomplete.stderr
