"""The process-wide clock, which timestamps everything that happens on sockets.

Decision code never reads it; its callers pass the time.
"""

import time
from time import monotonic_ns

#: The clock shows Unix time at process start and advances monotonically from there.  Start times reported by
#: discovery therefore need no conversion, and the clock does not jump when the machine's clock is set.
_UNIX_TIME_OFFSET_NS = time.time_ns() - time.monotonic_ns()

#: A time later than any reading of the clock.
NEVER = 2**63


def clock() -> int:
    """Return the current time in microseconds."""
    return (_UNIX_TIME_OFFSET_NS + monotonic_ns()) // 1000
