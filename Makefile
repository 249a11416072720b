# The newcomer's commands; all work in a virtual environment of their own, .venv-dev.
.PHONY: demo test lint format

demo: .venv-dev/tools
	.venv-dev/bin/python -m linetrack experiment run demo

test:
	sh tests/run.sh

lint: .venv-dev/tools
	.venv-dev/bin/ruff format --check .
	.venv-dev/bin/ruff check .
	.venv-dev/bin/mypy
	.venv-dev/bin/lint-imports --no-cache

format: .venv-dev/tools
	.venv-dev/bin/ruff check --fix-only .
	.venv-dev/bin/ruff format .

.venv-dev/tools: requirements.txt requirements-tools.txt requirements-dev.txt deploy/environment.sh
	sh deploy/environment.sh .venv-dev
	.venv-dev/bin/pip -q install -r requirements.txt -r requirements-tools.txt -r requirements-dev.txt
	touch $@
