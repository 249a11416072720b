"""`python -m linetrack.simhost`: runs the simulator's wire protocol on standard input and output."""

import gc
import sys

from linetrack.simhost.host import Host

# hundreds of instances hold many long-lived objects: frequent collections would free little
GC_THRESHOLDS = (200_000, 50, 100)

if __name__ == "__main__":
    gc.set_threshold(*GC_THRESHOLDS)
    sys.exit(Host(sys.stdin, sys.stdout).run())
