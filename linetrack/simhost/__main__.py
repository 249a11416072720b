"""Run with `python -m linetrack.simhost`: the wire on standard input and output."""

import sys

from linetrack.simhost.host import Host

if __name__ == "__main__":
    sys.exit(Host(sys.stdin, sys.stdout).run())
