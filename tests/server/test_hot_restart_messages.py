"""The messages on the hot-restart channel, and whether an identity is that of a foreign process."""

from __future__ import annotations

import json

import pytest

from linetrack.control.hot_restart import Command, Identity, PredecessorStateMachine
from linetrack.server.hot_restart_messages import (
    HotRestartProtocolError,
    Ready,
    UnknownMessage,
    decode_identity,
    decode_message,
    encode_identity,
)


@pytest.mark.parametrize(
    ("received", "is_foreign"),
    [
        ({"classes": ["look", "pay"], "settings": "1"}, False),
        (
            {"classes": ["pay", "quote"], "settings": "2"},
            False,
        ),  # other settings, with one class dropped and one added
        ({"classes": ["quote"], "settings": "1"}, False),
        ({"classes": ["quote"], "settings": "2"}, True),
        ({"classes": [], "settings": "2"}, True),
        ({}, False),  # an early version, which sends nothing
        (None, False),
        ("look", False),
        ({"classes": "look"}, False),
    ],
)
def test_a_process_is_foreign_by_its_settings_and_classes(received: object, is_foreign: bool) -> None:
    own = Identity(("look", "pay"), "1")
    assert own.is_foreign(decode_identity(received)) is is_foreign
    assert not own.is_foreign(decode_identity(json.loads(json.dumps(encode_identity(own)))))
    old = PredecessorStateMachine()
    assert old.on_hello(0, 1, is_foreign) == [Command.REJECT_FOREIGN if is_foreign else Command.GRANT]
    assert old.on_hello(0, 1, True) == [Command.REJECT_FOREIGN]


def test_an_unknown_message_of_a_later_build_is_decoded() -> None:
    frame = decode_message(b'{"what": "later", "fds": 1, "more": 2}')
    assert isinstance(frame.message, UnknownMessage)
    assert frame.descriptor_count == 1
    assert isinstance(decode_message(b'{"what": "ready", "fds": 0}').message, Ready)


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"no JSON",
        b"[]",
        b"{}",
        b'{"what": "ready"}',
        b'{"what": [], "fds": 0}',
        b'{"what": "leave", "fds": 0}',
        b'{"what": "ready", "fds": "1"}',
        b"[" * 100_000,
    ],
)
def test_decoding_a_frame_without_a_valid_message_raises_an_error_with_a_reason(data: bytes) -> None:
    with pytest.raises(HotRestartProtocolError) as raised:
        decode_message(data)
    assert raised.value.reason == str(raised.value)
    assert raised.value.reason
