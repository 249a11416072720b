#!/bin/sh
# Plays the case once; TROUBLE=0 plays it without the disruption.  Exit status: 1 broken, 0 held, 2 could not run.
cd "$(dirname "$0")/../.." || exit 2
PYTHONDONTWRITEBYTECODE=1 exec .venv/bin/python review/6/case.py
