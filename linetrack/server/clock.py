"""The program's one clock: whatever happens on sockets is stamped with it.

Decision code never reads it; it is given the moments.
"""

import time
from time import monotonic_ns

#: Time is Unix time in microseconds as of the process's start, and advances monotonically from there: the
#: start times that discovery reports need no translation, and the clock does not jump when the machine's
#: clock is set.
_UNIX_TIME_OFFSET_NS = time.time_ns() - time.monotonic_ns()

#: Later than any moment.
NEVER = 2**63


def clock() -> int:
    """The present moment, in microseconds."""
    return (_UNIX_TIME_OFFSET_NS + monotonic_ns()) // 1000
