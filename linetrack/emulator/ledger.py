"""Append-only files of what happened: JSON lines, one event each, with the machine's monotonic microseconds.

Written by the emulator and the load generator, read by the audit and the measurements.  A file may be cut off
in its last line.
"""

from __future__ import annotations

import os
import time
from collections.abc import Iterator
from pathlib import Path

import msgspec

from linetrack.emulator.ledger_events import Event, LedgerEvent

MAX_BUFFERED_BYTES = 256 * 1024

_encoder = msgspec.json.Encoder()


def now() -> int:
    """Microseconds of a clock that all processes of one machine share."""
    return time.monotonic_ns() // 1000


class LedgerError(Exception):
    """A line is no event.

    Attributes:
        path: the file.
        line: the number of the line.
        reason: what is wrong with it.
    """

    def __init__(self, path: Path, line: int, reason: str) -> None:
        self.path = path
        self.line = line
        self.reason = reason
        super().__init__(f"{path}:{line}: no event: {reason}")


class Ledger:
    """The file of one process.

    The first write that fails is kept in `error`, and writing ends there: what is measured goes on, and the
    audit finds the file incomplete.
    """

    def __init__(self, path: Path) -> None:
        self.error: str | None = None
        self._file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644)
        self._buffer: list[bytes] = []
        self._buffered_bytes = 0

    @property
    def has_unwritten(self) -> bool:
        """Whether an event waits to be written."""
        return bool(self._buffer)

    def write(self, event: LedgerEvent) -> None:
        """Append an event; it is written later."""
        line = _encoder.encode(event)
        self._buffer.append(line)
        self._buffered_bytes += len(line)
        if self._buffered_bytes >= MAX_BUFFERED_BYTES:
            self.flush()

    def flush(self) -> None:
        """Write what waits to be written."""
        if self._buffer and self.error is None:
            data = b"\n".join(self._buffer) + b"\n"
            try:
                while data:
                    data = data[os.write(self._file, data) :]
            except OSError as error:
                self.error = error.strerror
        self._buffer = []
        self._buffered_bytes = 0

    def close(self) -> None:
        """Write what waits to be written, and close the file."""
        self.flush()
        os.close(self._file)


def read_ledger(path: Path) -> Iterator[Event]:
    """The events of one file in its order.

    A last line without its end is skipped, as a process may have been killed while writing it.

    Raises:
        LedgerError: any other line is no event.
    """
    decode = msgspec.json.Decoder(Event).decode
    with path.open("rb") as file:
        for number, line in enumerate(file, 1):
            if not line.endswith(b"\n"):
                return
            try:
                event: Event = decode(line)
            except msgspec.DecodeError as error:
                raise LedgerError(path, number, str(error)) from None
            yield event
