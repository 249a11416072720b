"""Messages that the build e976e78 sent over the hot-restart socket, and a peer that replays them.

The peer reads and writes frames itself and shares no code with the program, so that a change of the program's
frames makes a test fail.
"""

from __future__ import annotations

import array
import json
import socket
import struct
from dataclasses import dataclass
from pathlib import Path
from typing import Any

FIXTURES = Path(__file__).parent / "fixtures"
RECORDED: dict[str, Any] = json.loads((FIXTURES / "hot_restart_messages.json").read_text())
DIGESTS: dict[str, Any] = json.loads((FIXTURES / "settings_digests.json").read_text())
MESSAGE_NAMES = tuple(RECORDED["messages"])
TIMEOUT_SECONDS = 20.0


@dataclass
class Frame:
    """One received frame: its JSON text without the length, and its descriptors."""

    text: str
    descriptors: list[int]

    @property
    def values(self) -> dict[str, Any]:
        values: dict[str, Any] = json.loads(self.text)
        return values


def recorded_text(name: str) -> str:
    """Return the JSON text of a message as the old build sent it."""
    text: str = RECORDED["messages"][name]["text"]
    return text


def recorded(name: str, **changes: Any) -> dict[str, Any]:
    """Return a message as the old build sent it, with some values replaced, such as addresses."""
    values: dict[str, Any] = json.loads(recorded_text(name))
    assert set(changes) <= set(values), "only values change, never keys"
    return {**values, **changes}


def shape(value: Any) -> Any:
    """Return a JSON value with each scalar replaced by the name of its type."""
    if isinstance(value, dict):
        return {key: shape(item) for key, item in value.items()}
    if isinstance(value, list):
        return [shape(item) for item in value]
    return type(value).__name__


class RecordedPeer:
    """One end of a hot-restart connection that uses the frames of the old build."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.buffer = b""
        self.descriptors: list[int] = []
        sock.settimeout(TIMEOUT_SECONDS)

    def send(self, values: dict[str, Any], descriptors: tuple[int, ...] = ()) -> None:
        """Send one message with its descriptors."""
        assert values["fds"] == len(descriptors)
        data = json.dumps(values).encode()
        rights = [(socket.SOL_SOCKET, socket.SCM_RIGHTS, array.array("i", descriptors))]
        self.sock.sendmsg([struct.pack("!I", len(data)) + data], rights if descriptors else [])

    def receive(self) -> Frame:
        """Wait for the next message."""
        (size,) = struct.unpack("!I", self._read_exactly(4))
        text = self._read_exactly(size).decode()
        count = json.loads(text)["fds"]
        descriptors, self.descriptors = self.descriptors[:count], self.descriptors[count:]
        assert len(descriptors) == count
        return Frame(text, descriptors)

    def receive_next(self, name: str) -> Frame:
        """Wait for the next message with this name; only heartbeats may come before it."""
        while (frame := self.receive()).values["what"] != name:
            assert frame.text == recorded_text("beat")
        return frame

    def _read_exactly(self, size: int) -> bytes:
        while len(self.buffer) < size:
            data, ancillary, _, _ = self.sock.recvmsg(65536, socket.CMSG_SPACE(16 * struct.calcsize("i")))
            assert data, "the connection ended"
            self.buffer += data
            for _, _, payload in ancillary:
                self.descriptors += array.array("i", payload)
        data, self.buffer = self.buffer[:size], self.buffer[size:]
        return data
