"""The hot-restart channel: messages and descriptors over a Unix socket between two processes of one sidecar.

Owns writing and reading frames and descriptors, and the path of the socket.  `hot_restart_messages.py`
defines the messages, and `linetrack/control/hot_restart.py` decides the order of the steps.
"""

from __future__ import annotations

import array
import json
import os
import struct
from collections import deque
from dataclasses import dataclass
from pathlib import Path
from types import TracebackType
from typing import Self

import gevent
from gevent import socket
from gevent.lock import Semaphore

from linetrack.control.digest import hex_digest
from linetrack.server.hot_restart_messages import (
    LENGTH_BYTES,
    MAX_FRAME_BYTES,
    Grant,
    HotRestartMessage,
    HotRestartProtocolError,
    decode_length,
    decode_message,
    encode_frame,
)
from linetrack.server.logging_setup import get_logger

log = get_logger(__name__)

MAX_DESCRIPTORS_PER_FRAME = 16
WRITE_TIMEOUT_SECONDS = 0.5  # to write a frame, which waits for the other process to read
READ_SIZE_BYTES = 64 * 1024
DESCRIPTOR_BYTES = struct.calcsize("i")
SOCKET_NAME_DIGEST_BYTES = 8
NETWORK_NAMESPACE = "/proc/self/ns/net"


@dataclass(slots=True, frozen=True)
class ReceivedMessage:
    """A message and the descriptors received with it, which the receiver owns."""

    message: HotRestartMessage
    descriptors: list[int]


@dataclass(slots=True, frozen=True)
class GrantedListener:
    """The descriptor of a listening socket, and the message that is sent with it."""

    descriptor: int
    grant: Grant


class HotRestartChannel:
    """One connection between the two processes; a context manager that closes it on exit."""

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock
        self._buffer = b""
        self._descriptors: deque[int] = deque()  # received, but not yet returned with a message
        self._write_lock = Semaphore()  # frames of two greenlets must not be interleaved

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        self.close()

    def send(self, message: HotRestartMessage, descriptors: tuple[int, ...] = ()) -> bool:
        """Send a message with descriptors, which stay open here; return whether all of it was sent.

        If sending fails, the channel is closed.
        """
        frame = encode_frame(message, len(descriptors))
        timeout = TimeoutError("the other process does not read the channel")
        try:
            with self._write_lock, gevent.Timeout(WRITE_TIMEOUT_SECONDS, timeout):
                sent = self._sock.sendmsg([frame], _encode_descriptors(descriptors))
                if sent < len(frame):
                    self._sock.sendall(memoryview(frame)[sent:])
        except OSError as error:
            log.warning("hot_restart_channel_broken", message=message.name, fault=str(error))
            self.close()
            return False
        return True

    def receive(self) -> ReceivedMessage | None:
        """Wait for the next message; return None if the channel has ended or the frame is too long.

        Raises HotRestartProtocolError if the frame holds no valid message or descriptors are missing.
        """
        try:
            data = self._read_frame()
        except OSError:
            return None
        if data is None:
            return None
        frame = decode_message(data)
        if frame.descriptor_count > len(self._descriptors):
            raise HotRestartProtocolError(f"{frame.descriptor_count} descriptors are missing")
        descriptors = [self._descriptors.popleft() for _ in range(frame.descriptor_count)]
        return ReceivedMessage(frame.message, descriptors)

    def close(self) -> None:
        """Close the connection, and the received descriptors that were not returned with a message."""
        self._sock.close()
        while self._descriptors:
            os.close(self._descriptors.popleft())

    def _read_frame(self) -> bytes | None:
        """Return the JSON of the next frame, or None if the channel has ended or the frame is too long."""
        head = self._read_exactly(LENGTH_BYTES)
        if head is None:
            return None
        length = decode_length(head)
        if length > MAX_FRAME_BYTES:
            return None
        return self._read_exactly(length)

    def _read_exactly(self, size: int) -> bytes | None:
        while len(self._buffer) < size:
            ancillary_size = socket.CMSG_SPACE(MAX_DESCRIPTORS_PER_FRAME * DESCRIPTOR_BYTES)
            data, ancillary, _, _ = self._sock.recvmsg(READ_SIZE_BYTES, ancillary_size)
            for level, kind, payload in ancillary:
                if (level, kind) == (socket.SOL_SOCKET, socket.SCM_RIGHTS):
                    self._descriptors.extend(_decode_descriptors(payload))
            if not data:
                return None
            self._buffer += data
        data = self._buffer[:size]
        self._buffer = self._buffer[size:]
        return data


def socket_path(folder: str, name: str, listen: tuple[str, int]) -> Path | None:
    """Return the path of the socket of one sidecar's processes, or None if no folder is given.

    The path depends on the sidecar's name, the address that it listens on and its network namespace, as
    processes on one machine may share a folder and an address and still be in different networks.
    """
    if not folder:
        return None
    try:
        network = os.stat(NETWORK_NAMESPACE).st_ino
    except OSError:
        network = 0
    text = json.dumps([name, *listen, network])
    digest = hex_digest(text.encode(), SOCKET_NAME_DIGEST_BYTES)
    return Path(folder) / f"linetrack-{digest}.sock"


def _encode_descriptors(descriptors: tuple[int, ...]) -> list[tuple[int, int, bytes]]:
    """Return the ancillary data that carries descriptors."""
    if not descriptors:
        return []
    return [(socket.SOL_SOCKET, socket.SCM_RIGHTS, array.array("i", descriptors).tobytes())]


def _decode_descriptors(payload: bytes) -> tuple[int, ...]:
    """Return the descriptors in ancillary data; a truncated last one is left out."""
    count = len(payload) // DESCRIPTOR_BYTES
    return struct.unpack(f"{count}i", payload[: count * DESCRIPTOR_BYTES])
