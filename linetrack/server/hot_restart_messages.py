"""The messages on the hot-restart channel, and their encoding as frames.

A frame is its length as four bytes, most significant first, followed by one JSON object; descriptors are sent
with it as ancillary data.  The two processes may be of different builds, so names, keys and types must not
change.  They are defined only here; `tests/server/fixtures/hot_restart_messages.json` holds messages that an
older build sent.
"""

from __future__ import annotations

import json
import struct
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, ClassVar, Self

from linetrack.control.hot_restart import Identity
from linetrack.errors import LinetrackError

LENGTH_FORMAT = "!I"
LENGTH_BYTES = struct.calcsize(LENGTH_FORMAT)
MAX_FRAME_BYTES = 16 * 1024 * 1024  # of JSON; several thousand endpoints need less

NAME_KEY = "what"
DESCRIPTOR_COUNT_KEY = "fds"
VERSION_KEY = "version"
PID_KEY = "pid"
IDENTITY_KEY = "identity"
CLASS_NAMES_KEY = "classes"
SETTINGS_DIGEST_KEY = "settings"
ENDPOINT_LIST_KEY = "list"
DISCOVERY_ADDRESS_KEY = "discovery"
SOCKET_LIMIT_KEY = "sockets"
REQUEST_ID_KEY = "id"
REQUEST_IDS_KEY = "ids"
POLICY_SNAPSHOT_KEY = "learnt"
RESPONSE_COUNT_KEY = "answers"


class HotRestartProtocolError(LinetrackError):
    """The other process sent data that is not a valid message.

    Attributes:
        reason: what is wrong with it.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class HotRestartMessage:
    """Base class of the messages; a message without values consists of its name only.

    Only messages with values are dataclasses, as each dataclass costs memory and startup time in every
    sidecar.
    """

    name: ClassVar[str]

    def to_json(self) -> dict[str, Any]:
        """Return the message's values under their keys, without its name and descriptor count."""
        return {}

    @classmethod
    def from_json(cls, _values: Mapping[str, Any]) -> Self:
        """Return the message with these values; raises KeyError if one is missing."""
        return cls()


@dataclass(slots=True, frozen=True)
class Hello(HotRestartMessage):
    """A successor's first message: its protocol version and its identity."""

    name: ClassVar[str] = "hello"

    version: object
    identity: Identity | None  # None from an early version
    pid: int = 0  # helps when tracing the socket; no process reads it

    def to_json(self) -> dict[str, Any]:
        """Return the message's values under their keys."""
        identity = encode_identity(self.identity)
        return {VERSION_KEY: self.version, PID_KEY: self.pid, IDENTITY_KEY: identity}

    @classmethod
    def from_json(cls, values: Mapping[str, Any]) -> Self:
        """Return the message with these values; an early version leaves some out."""
        return cls(values.get(VERSION_KEY), decode_identity(values.get(IDENTITY_KEY)))


@dataclass(slots=True, frozen=True)
class Grant(HotRestartMessage):
    """The predecessor sends its listening socket, as the only descriptor, and its endpoint list."""

    name: ClassVar[str] = "grant"

    identity: Identity | None
    endpoint_list: Any  # in discovery's format
    discovery_address: list[Any] | None  # of the server that sent the list; None from an early version

    def to_json(self) -> dict[str, Any]:
        """Return the message's values under their keys."""
        return {
            IDENTITY_KEY: encode_identity(self.identity),
            ENDPOINT_LIST_KEY: self.endpoint_list,
            DISCOVERY_ADDRESS_KEY: self.discovery_address,
        }

    @classmethod
    def from_json(cls, values: Mapping[str, Any]) -> Self:
        """Return the message with these values; an early version leaves some out."""
        return cls(
            identity=decode_identity(values.get(IDENTITY_KEY)),
            endpoint_list=values.get(ENDPOINT_LIST_KEY),
            discovery_address=values.get(DISCOVERY_ADDRESS_KEY),
        )


class BusyReply(HotRestartMessage):
    """The predecessor already has another successor; the receiver is to connect again later."""

    name: ClassVar[str] = "busy"


class ForeignReply(HotRestartMessage):
    """The predecessor is another customer's process."""

    name: ClassVar[str] = "foreign"


class VersionReply(HotRestartMessage):
    """The predecessor does not support the successor's protocol version."""

    name: ClassVar[str] = "no"


class Ready(HotRestartMessage):
    """The successor has everything that it needs to serve."""

    name: ClassVar[str] = "ready"


class Heartbeat(HotRestartMessage):
    """The predecessor still serves."""

    name: ClassVar[str] = "beat"


@dataclass(slots=True, frozen=True)
class Handover(HotRestartMessage):
    """The predecessor has stopped accepting; its client connections follow.

    Attributes:
        socket_limit: how many descriptors the successor may use while the predecessor still runs.
        request_ids: ids of requests that are in flight or ended recently.
        policy_snapshot: the state that the policy has learned.
        settings_digest: digest of the settings under which it was learned; None from an early version.
    """

    name: ClassVar[str] = "leave"

    socket_limit: int
    request_ids: list[str]
    policy_snapshot: Mapping[str, Any]
    settings_digest: str | None

    def to_json(self) -> dict[str, Any]:
        """Return the message's values under their keys."""
        return {
            SOCKET_LIMIT_KEY: self.socket_limit,
            REQUEST_IDS_KEY: self.request_ids,
            POLICY_SNAPSHOT_KEY: self.policy_snapshot,
            SETTINGS_DIGEST_KEY: self.settings_digest,
        }

    @classmethod
    def from_json(cls, values: Mapping[str, Any]) -> Self:
        """Return the message with these values; raises KeyError if one is missing."""
        return cls(
            socket_limit=values[SOCKET_LIMIT_KEY],
            request_ids=values[REQUEST_IDS_KEY],
            policy_snapshot=values[POLICY_SNAPSHOT_KEY],
            settings_digest=values.get(SETTINGS_DIGEST_KEY),
        )


@dataclass(slots=True, frozen=True)
class ClientHandover(HotRestartMessage):
    """One client connection, as the only descriptor, and the number of responses already sent on it."""

    name: ClassVar[str] = "client"

    response_count: int

    def to_json(self) -> dict[str, Any]:
        """Return the message's values under their keys."""
        return {RESPONSE_COUNT_KEY: self.response_count}

    @classmethod
    def from_json(cls, values: Mapping[str, Any]) -> Self:
        """Return the message with these values; raises KeyError if one is missing."""
        return cls(values[RESPONSE_COUNT_KEY])


@dataclass(slots=True, frozen=True)
class RequestAccepted(HotRestartMessage):
    """The sender has accepted a request, whose id the receiver must not accept any more."""

    name: ClassVar[str] = "accepted"

    request_id: str

    def to_json(self) -> dict[str, Any]:
        """Return the message's values under their keys."""
        return {REQUEST_ID_KEY: self.request_id}

    @classmethod
    def from_json(cls, values: Mapping[str, Any]) -> Self:
        """Return the message with these values; raises KeyError if one is missing."""
        return cls(values[REQUEST_ID_KEY])


class UnknownMessage(HotRestartMessage):
    """A message of a later build, which the receiver ignores."""


@dataclass(slots=True, frozen=True)
class DecodedFrame:
    """A message, and the number of descriptors that belong to it."""

    message: HotRestartMessage
    descriptor_count: int


_MESSAGES: dict[str, type[HotRestartMessage]] = {
    message.name: message
    for message in (
        Hello,
        Grant,
        BusyReply,
        ForeignReply,
        VersionReply,
        Ready,
        Heartbeat,
        Handover,
        ClientHandover,
        RequestAccepted,
    )
}


def encode_frame(message: HotRestartMessage, descriptor_count: int) -> bytes:
    """Return the frame of a message that is sent with `descriptor_count` descriptors."""
    head = {NAME_KEY: message.name, DESCRIPTOR_COUNT_KEY: descriptor_count}
    data = json.dumps({**head, **message.to_json()}).encode()
    return struct.pack(LENGTH_FORMAT, len(data)) + data


def decode_length(data: bytes) -> int:
    """Return the number of bytes of JSON that follow the first `LENGTH_BYTES` of a frame."""
    (length,) = struct.unpack(LENGTH_FORMAT, data)
    return int(length)


def decode_message(data: bytes) -> DecodedFrame:
    """Return the message in a frame's JSON object; raises HotRestartProtocolError if it holds none."""
    try:
        values = json.loads(data)
        name = values[NAME_KEY]
        descriptor_count = values[DESCRIPTOR_COUNT_KEY]
        message = _MESSAGES.get(name, UnknownMessage).from_json(values)
    except (ValueError, KeyError, TypeError, RecursionError) as error:
        raise HotRestartProtocolError(repr(error)) from None
    if not isinstance(descriptor_count, int):
        raise HotRestartProtocolError(f"{DESCRIPTOR_COUNT_KEY} is not an integer: {descriptor_count!r}")
    return DecodedFrame(message, descriptor_count)


def encode_identity(identity: Identity | None) -> dict[str, Any] | None:
    """Return the JSON object of an identity."""
    if identity is None:
        return None
    return {CLASS_NAMES_KEY: identity.class_names, SETTINGS_DIGEST_KEY: identity.settings_digest}


def decode_identity(value: object) -> Identity | None:
    """Return the identity that the other process sent, or None if it sent no valid one."""
    if not isinstance(value, dict) or not isinstance(class_names := value.get(CLASS_NAMES_KEY), list):
        return None
    return Identity(tuple(class_names), value.get(SETTINGS_DIGEST_KEY, ""))
