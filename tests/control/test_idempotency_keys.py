"""Idempotency keys: what is kept of them, and that no client's retry is executed a second time."""

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
def test_the_first_possible_execution_is_kept_for_its_time(attempts: list[tuple[int, int]]) -> None:
    keys = IdempotencyKeyTable()
    now = START
    first: dict[int, int] = {}
    for key, after in attempts:
        now += after
        first = {k: at for k, at in first.items() if at > now - RETENTION_US}
        keys.add(key, PossibleExecution(0, 0, now))
        first.setdefault(key, now)
        assert {k: executions[0].sent_at for k, executions in keys.executions_by_key.items()} == first
    assert not keys.executions(now + RETENTION_US, 1)
    assert not keys.executions_by_key


def test_no_more_keys_are_kept_than_allowed() -> None:
    keys = IdempotencyKeyTable()
    for key in range(MAX_KEYS + 10):
        keys.add(key, PossibleExecution(0, 0, START))
    assert len(keys.executions_by_key) == MAX_KEYS
    assert not keys.executions(START, 3)
    assert keys.executions(START, MAX_KEYS + 9)


class RetryingClient:
    """A client that sends one request again and again under one key, and every attempt made for it."""

    def __init__(self, class_index: int) -> None:
        self.class_index = class_index
        settings = helpers.settings(may_run_parallel_attempts=False)
        self.balancer = Balancer(settings, 1, None, IdempotencyKeyTable())
        self.now = START
        self.request_count = 0
        self.entries = {entry.endpoint: entry for entry in helpers.listed_entries()}
        self.in_flight: dict[int, list[tuple[int, str]]] = {}  # attempt and endpoint, by request
        self.attempts: list[tuple[int, str]] = []  # request and endpoint
        self.may_have_run: list[tuple[int, str, int, int]] = []  # time, endpoint, request, attempt
        self.feed(EndpointListUpdate(ListForm.CACHED, helpers.listed_entries()))

    def feed(self, event: Event) -> None:
        for action in self.balancer.handle(self.now, event):
            if isinstance(action, StartAttempt):
                self.check(action)
                in_flight = self.in_flight.setdefault(action.request_id, [])
                index = len([request for request, _ in self.attempts if request == action.request_id])
                in_flight.append((index, action.endpoint))
                self.attempts.append((action.request_id, action.endpoint))
                # until it is known not to have been executed, it may have been
                self.may_have_run.append((self.now, action.endpoint, action.request_id, index))
            elif isinstance(action, RejectRequest) and self.may_have_run:
                raise AssertionError("called a retry harmless that its scope may execute again")

    def check(self, action: StartAttempt) -> None:
        """An attempt goes to the scope of the first that may have run, within its window."""
        if not self.may_have_run:
            return
        sent_at, endpoint, *_ = self.may_have_run[0]
        first = self.entries[endpoint]
        entry = self.entries[action.endpoint]
        assert self.now < sent_at + DEDUPLICATION_WINDOW, "sent after its scope has forgotten the key"
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
        request = next((n for n, in_flight in self.in_flight.items() if in_flight), None)
        if request is None:
            return
        index, endpoint = self.in_flight[request].pop(0)
        self.now += 5 * MS
        if outcome is Outcome.OVERLOADED:
            self.may_have_run = [run for run in self.may_have_run if run[2:] != (request, index)]
        self.feed(AttemptEnded(request, index, endpoint, outcome, 5 * MS))

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
def test_no_interleaving_of_retries_ends_and_time_leaves_the_deduplication_window_or_scope(
    class_index: int,
) -> None:
    """Every sequence of five steps after a client's first request."""
    for steps in itertools.product(STEPS, repeat=5):
        client = RetryingClient(class_index)
        client.send()
        for step in steps:
            client.step(step)


def test_a_clients_retry_after_the_window_fails_at_once_where_a_new_request_is_sent() -> None:
    client = RetryingClient(KEYED_IN_ZONE)
    for step in ("send", "timeout", "long wait", "send"):
        client.step(step)
    assert client.attempts
    assert client.attempts[-1][0] == 1
    new_request = RequestReceived(99, KEYED_IN_ZONE, 2 * SECOND, idempotency_key=78)
    actions = client.balancer.handle(client.now, new_request)
    assert any(isinstance(action, StartAttempt) for action in actions)
    # without the table the client's retry is a new request, and is sent: this is what the table is for
    plain = Balancer(helpers.settings(), 1)
    plain.handle(START, EndpointListUpdate(ListForm.CACHED, helpers.listed_entries()))
    retry = RequestReceived(1, KEYED_IN_ZONE, 2 * SECOND, idempotency_key=77)
    assert any(isinstance(action, StartAttempt) for action in plain.handle(START, retry))


def test_a_request_that_may_not_be_retried_is_not_for_having_a_key() -> None:
    """It was, while the table held the keys of requests of every class."""
    settings = helpers.settings(may_run_parallel_attempts=False)
    balancer = Balancer(settings, 1, None, IdempotencyKeyTable())
    balancer.handle(START, EndpointListUpdate(ListForm.CACHED, helpers.listed_entries()))
    (sent, *_) = balancer.handle(START, RequestReceived(1, NON_IDEMPOTENT, 2 * SECOND, idempotency_key=5))
    assert isinstance(sent, StartAttempt)
    actions = balancer.handle(START + 9, AttemptEnded(1, 0, sent.endpoint, Outcome.RESET, 9))
    assert actions == [FailRequest(1)]
