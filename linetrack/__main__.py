"""Run with `python -m linetrack`: one real sidecar, told by EDGE_* what to do."""

import os
import sys

from linetrack.net.sidecar import main

if __name__ == "__main__":
    sys.exit(main(os.environ))
