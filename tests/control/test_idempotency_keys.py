"""The idempotency key table: which attempts it keeps, and that no client retry is executed a second time."""

import itertools

import pytest
from hypothesis import given
from hypothesis import strategies as st

from linetrack.control.idempotency_keys import MAX_KEYS, RETENTION_US, IdempotencyKeyTable
from linetrack.policy.actions import FailRequest, RejectRequest, StartAttempt
from linetrack.policy.balancer import Balancer
from linetrack.policy.events import (
    AttemptEnded,
    EndpointListUpdate,
    Event,
    ListForm,
    Outcome,
    RequestReceived,
)
from linetrack.policy.protocols import PossibleExecution
from tests import helpers
from tests.helpers import KEYED_IN_CELL, KEYED_IN_ZONE, MS, NON_IDEMPOTENT, SECOND

START = 1000 * SECOND
DEDUPLICATION_WINDOW = SECOND  # of the classes in `tests.helpers`


@given(st.lists(st.tuples(st.integers(1, 40), st.integers(0, RETENTION_US // 3)), max_size=80))
def test_the_first_possible_execution_of_a_key_is_kept_for_the_retention_time(
    attempts: list[tuple[int, int]],
) -> None:
    table = IdempotencyKeyTable()
    now = START
    first_sent_at: dict[int, int] = {}
    for key, delay in attempts:
        now += delay
        first_sent_at = {
            kept_key: sent_at for kept_key, sent_at in first_sent_at.items() if sent_at > now - RETENTION_US
        }
        table.add(key, PossibleExecution(0, 0, now))
        first_sent_at.setdefault(key, now)
        assert {
            kept_key: executions[0].sent_at for kept_key, executions in table.executions_by_key.items()
        } == first_sent_at
    assert not table.executions(now + RETENTION_US, 1)
    assert not table.executions_by_key


def test_the_oldest_keys_are_evicted_beyond_the_maximum() -> None:
    table = IdempotencyKeyTable()
    for key in range(MAX_KEYS + 10):
        table.add(key, PossibleExecution(0, 0, START))
    assert len(table.executions_by_key) == MAX_KEYS
    assert not table.executions(START, 3)
    assert table.executions(START, MAX_KEYS + 9)


class RetryingClient:
    """A client that repeats one request under one key, and the attempts that the policy makes for it."""

    def __init__(self, class_index: int) -> None:
        self.class_index = class_index
        settings = helpers.settings(may_run_parallel_attempts=False)
        self.balancer = Balancer(settings, 1, None, IdempotencyKeyTable())
        self.now = START
        self.request_count = 0
        self.entries = {entry.endpoint: entry for entry in helpers.listed_entries()}
        self.in_flight: dict[int, list[tuple[int, str]]] = {}  # attempt and endpoint, by request
        self.attempts: list[tuple[int, str]] = []  # request and endpoint
        # the attempts that may have been executed: time, endpoint, request, attempt
        self.possible_executions: list[tuple[int, str, int, int]] = []
        self.feed(EndpointListUpdate(ListForm.CACHED, helpers.listed_entries()))

    def feed(self, event: Event) -> None:
        for action in self.balancer.handle(self.now, event):
            if isinstance(action, StartAttempt):
                self.check(action)
                in_flight = self.in_flight.setdefault(action.request_id, [])
                attempt = len([request for request, _ in self.attempts if request == action.request_id])
                in_flight.append((attempt, action.endpoint))
                self.attempts.append((action.request_id, action.endpoint))
                # an attempt may have been executed until it is known not to have been
                self.possible_executions.append((self.now, action.endpoint, action.request_id, attempt))
            elif isinstance(action, RejectRequest) and self.possible_executions:
                raise AssertionError("rejected as safe to retry, but a retry may be executed a second time")

    def check(self, action: StartAttempt) -> None:
        """Check that an attempt goes to the scope of the first possible execution, within its window."""
        if not self.possible_executions:
            return
        sent_at, endpoint, *_ = self.possible_executions[0]
        first = self.entries[endpoint]
        entry = self.entries[action.endpoint]
        assert self.now < sent_at + DEDUPLICATION_WINDOW, "sent after the deduplication window"
        assert entry.zone == first.zone
        assert self.class_index != KEYED_IN_CELL or entry.cell == first.cell
        assert action.write_deadline <= sent_at + DEDUPLICATION_WINDOW
        assert action.write_deadline

    def send(self) -> None:
        self.request_count += 1
        is_retry = self.request_count > 1
        self.feed(
            RequestReceived(
                self.request_count, self.class_index, 2 * SECOND, is_retry=is_retry, idempotency_key=77
            )
        )

    def end(self, outcome: Outcome) -> None:
        """End the first attempt in flight, if there is one."""
        request = next((request for request, in_flight in self.in_flight.items() if in_flight), None)
        if request is None:
            return
        attempt, endpoint = self.in_flight[request].pop(0)
        self.now += 5 * MS
        if outcome is Outcome.OVERLOADED:
            self.possible_executions = [
                execution for execution in self.possible_executions if execution[2:] != (request, attempt)
            ]
        self.feed(AttemptEnded(request, attempt, endpoint, outcome, 5 * MS))

    def step(self, name: str) -> None:
        match name:
            case "send":
                self.send()
            case "wait":
                self.now += 150 * MS
            case "long wait":
                self.now += 1100 * MS
            case "reset":
                self.end(Outcome.RESET)
            case "overloaded":
                self.end(Outcome.OVERLOADED)
            case "timeout":
                self.end(Outcome.TIMEOUT)
            case _:
                raise AssertionError(name)


STEPS = ("send", "reset", "overloaded", "timeout", "wait", "long wait")


@pytest.mark.parametrize("class_index", [KEYED_IN_ZONE, KEYED_IN_CELL])
def test_every_attempt_stays_within_the_deduplication_window_and_scope(
    class_index: int,
) -> None:
    """Plays every sequence of five steps after a client's first request."""
    for steps in itertools.product(STEPS, repeat=5):
        client = RetryingClient(class_index)
        client.send()
        for step in steps:
            client.step(step)


def test_a_retry_after_the_deduplication_window_fails_at_once_while_a_new_request_is_sent() -> None:
    client = RetryingClient(KEYED_IN_ZONE)
    for step in ("send", "timeout", "long wait", "send"):
        client.step(step)
    assert client.attempts
    assert client.attempts[-1][0] == 1
    new_request = RequestReceived(99, KEYED_IN_ZONE, 2 * SECOND, idempotency_key=78)
    actions = client.balancer.handle(client.now, new_request)
    assert any(isinstance(action, StartAttempt) for action in actions)
    # without the table, the client's retry is treated as a new request and is sent
    balancer_without_table = Balancer(helpers.settings(), 1)
    balancer_without_table.handle(START, EndpointListUpdate(ListForm.CACHED, helpers.listed_entries()))
    retry = RequestReceived(1, KEYED_IN_ZONE, 2 * SECOND, idempotency_key=77)
    assert any(isinstance(action, StartAttempt) for action in balancer_without_table.handle(START, retry))


def test_a_non_idempotent_request_with_a_key_is_not_retried() -> None:
    """Such a request would be retried if the table held the keys of requests of every class."""
    settings = helpers.settings(may_run_parallel_attempts=False)
    balancer = Balancer(settings, 1, None, IdempotencyKeyTable())
    balancer.handle(START, EndpointListUpdate(ListForm.CACHED, helpers.listed_entries()))
    (sent, *_) = balancer.handle(START, RequestReceived(1, NON_IDEMPOTENT, 2 * SECOND, idempotency_key=5))
    assert isinstance(sent, StartAttempt)
    actions = balancer.handle(START + 9, AttemptEnded(1, 0, sent.endpoint, Outcome.RESET, 9))
    assert actions == [FailRequest(1)]
