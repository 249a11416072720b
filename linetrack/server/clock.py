"""The program's one clock.

Owns the time that everything on sockets is stamped with.  Must never go back, nor be read by decision code.
"""

import time
from time import monotonic_ns

#: Module time is Unix time in microseconds as of this process's start, and runs on monotonically: discovery's
#: start times need no translation, and the clock never goes back when the machine's is set.
_START = time.time_ns() - time.monotonic_ns()

NEVER = 2**63  # no time of ours


def clock() -> int:
    return (_START + monotonic_ns()) // 1000
