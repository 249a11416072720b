#!/bin/sh
# Lint, type checks and tests, in a virtual environment of their own.
set -eu
cd "$(dirname "$0")/.."
sh deploy/environment.sh .venv-dev
.venv-dev/bin/pip -q install -r requirements-dev.txt -r requirements-tools.txt -r requirements.txt
.venv-dev/bin/ruff format --check .
.venv-dev/bin/ruff check .
.venv-dev/bin/mypy
.venv-dev/bin/lint-imports --no-cache
exec .venv-dev/bin/pytest
