"""Run with `python -m linetrack.simhost`: the wire on standard input and output."""

import gc
import sys

from linetrack.simhost.host import Host

GC_THRESHOLD = 200_000  # hundreds of instances hold much that lives on: seldom worth looking through

if __name__ == "__main__":
    gc.set_threshold(GC_THRESHOLD, 50, 100)
    sys.exit(Host(sys.stdin, sys.stdout).run())
