"""The resident memory of this process, from the system's own account (proc(5), `statm`)."""

from __future__ import annotations

import os

STATM_PATH = "/proc/self/statm"
STATM_BYTES = 128  # seven numbers
RESIDENT_FIELD = 1
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
NOT_OPENED, CLOSED = -1, -2  # in place of a descriptor


class ProcessMemory:
    """Reads the account through one descriptor, opened at the first reading; each costs a system call."""

    def __init__(self, path: str = STATM_PATH) -> None:
        self._path = path
        self._descriptor = NOT_OPENED

    def resident_bytes(self) -> int:
        """Return the resident memory; 0 if the system does not tell."""
        if self._descriptor == CLOSED:
            return 0
        try:
            if self._descriptor == NOT_OPENED:
                self._descriptor = os.open(self._path, os.O_RDONLY | os.O_CLOEXEC)
            fields = os.pread(self._descriptor, STATM_BYTES, 0).split()
            return int(fields[RESIDENT_FIELD]) * PAGE_BYTES
        except (OSError, IndexError, ValueError):
            return 0

    def close(self) -> None:
        """Close the descriptor; later readings are 0."""
        if self._descriptor >= 0:
            os.close(self._descriptor)
        self._descriptor = CLOSED
