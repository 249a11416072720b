"""`python -m linetrack`: the sidecar, configured by EDGE_*; with arguments, the command line."""

import os
import sys

if __name__ == "__main__":
    if len(sys.argv) > 1:
        from linetrack.cli.main import main as run_command_line

        run_command_line()
    else:
        from linetrack.server.lifecycle import main

        sys.exit(main(os.environ))
