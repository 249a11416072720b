"""Append-only event logs: JSON lines, one event each, with times in microseconds of the monotonic clock.

The emulator and the load generator write them, the audit and the measurements read them.  The last line of a
file may be truncated.
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
    """Return the time in microseconds of a monotonic clock that all processes of one machine share."""
    return time.monotonic_ns() // 1000


class LedgerError(Exception):
    """A line of a ledger is not a valid event.

    Attributes:
        path: the file.
        line: the line number, from 1.
        reason: why the line is not a valid event.
    """

    def __init__(self, path: Path, line: int, reason: str) -> None:
        self.path = path
        self.line = line
        self.reason = reason
        super().__init__(f"{path}:{line}: not an event: {reason}")


class Ledger:
    """The ledger file of one process.

    The first write error is stored in `error`, and nothing is written after it: the process that is measured
    continues, and the audit finds the file incomplete.
    """

    def __init__(self, path: Path) -> None:
        self.error: str | None = None
        self._file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644)
        self._buffer: list[bytes] = []
        self._buffered_bytes = 0

    @property
    def has_unwritten(self) -> bool:
        """Whether any event is buffered and not yet written."""
        return bool(self._buffer)

    def write(self, event: LedgerEvent) -> None:
        """Buffer an event; the buffer is written once it is large enough, or by `flush`."""
        line = _encoder.encode(event)
        self._buffer.append(line)
        self._buffered_bytes += len(line)
        if self._buffered_bytes >= MAX_BUFFERED_BYTES:
            self.flush()

    def flush(self) -> None:
        """Write the buffered events."""
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
        """Write the buffered events and close the file."""
        self.flush()
        os.close(self._file)


def read_ledger(path: Path) -> Iterator[Event]:
    """Yield the events of one file, in the order of the file.

    A last line without a line end is skipped, as the process may have been killed while writing it.

    Raises:
        LedgerError: any other line is not a valid event.
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
