"""Loopback addresses: each emulator listens on a host of its own."""

from __future__ import annotations

import itertools
import os

#: Values of one byte of a host: 0 and 255 are avoided, and so is 127.0.0.1, the source of connections.
BYTE_VALUES = 250

_host_numbers = itertools.count()


def unique_loopback_host() -> str:
    """Return a loopback host that no other emulator uses, in this process or another.

    An upstream that has crashed releases its port and takes it again later.  On a shared host, another
    emulator or an outgoing connection could be given that port meanwhile.
    """
    process_number = os.getpid()
    numbers = (process_number, process_number // BYTE_VALUES, next(_host_numbers))
    return ".".join(["127", *(str(1 + number % BYTE_VALUES) for number in numbers)])
