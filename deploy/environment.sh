#!/bin/sh
# Makes the virtual environment DIR, and makes it anew if another interpreter or another kind of machine made it: the
# compiled modules of one kind are not found by the other.
set -eu
describe() { python3 -c 'import platform, sys; print(platform.machine(), sys.base_prefix, sys.version)'; }
made_by="$1/made-by"
if test "$(cat "$made_by" 2>/dev/null)" != "$(describe)" || ! "$1/bin/python" -c ""; then
    python3 -m venv --clear "$1"
    describe > "$made_by"
fi
