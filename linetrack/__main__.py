"""Run with `python -m linetrack`: one real sidecar, told by EDGE_* what to do.  With a command: the command
line."""

import os
import sys

if __name__ == "__main__":
    if len(sys.argv) > 1:
        from linetrack.cli.main import main as command_line

        command_line()
    else:
        from linetrack.server.lifecycle import main

        sys.exit(main(os.environ))
