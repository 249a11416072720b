"""Tests of ledgers: reading events back, truncated files, full disks."""

from pathlib import Path

import pytest

from linetrack.emulator.ledger import Ledger, LedgerError, read_ledger
from linetrack.emulator.ledger_events import AttemptReceived, RequestNotSent


def test_a_ledger_is_read_back_without_a_truncated_last_line_and_invalid_lines_are_located(
    tmp_path: Path,
) -> None:
    path = tmp_path / "l.jsonl"
    ledger = Ledger(path)
    written = [AttemptReceived(n, f"u{n}", 'a "b"\n', n, "SERVING") for n in range(100)]
    for event in written:
        ledger.write(event)
    ledger.close()
    assert list(read_ledger(path)) == written
    data = path.read_bytes()
    first = b'{"e":"try","t":0,"up":"u0","trace":"a \\"b\\"\\n","first":0,"state":"SERVING"}\n'
    assert data.startswith(first)
    for cut in (1, 10, 30):
        path.write_bytes(data[:-cut])
        assert list(read_ledger(path)) == written[:-1]
    for invalid_line in (b"nonsense\n", b'{"t": 1}\n', b'{"e": "nonsense", "t": 1}\n', b'{"e": "unsent"}\n'):
        path.write_bytes(first + invalid_line + data)
        with pytest.raises(LedgerError, match=r"l\.jsonl:2: not an event: ") as raised:
            list(read_ledger(path))
        assert (raised.value.path, raised.value.line) == (path, 2)


def test_a_write_error_is_recorded_and_discards_the_buffer_without_raising() -> None:
    ledger = Ledger(Path("/dev/full"))
    for n in range(3):
        ledger.write(RequestNotSent(n, n))
        ledger.flush()
    assert ledger.error
    assert not ledger.has_unwritten
