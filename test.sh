#!/usr/bin/env bash
# Lint, types and tests from pinned tools, in a venv of its own: the one test command.
set -euo pipefail
cd "$(dirname "$0")"
stamp=.venv/dev-$(cat requirements.txt requirements-dev.txt | sha256sum | cut -c1-12)
if [ ! -e "$stamp" ]; then
    python3 -m venv .venv
    .venv/bin/pip -q install -r requirements.txt -r requirements-dev.txt
    touch "$stamp"
fi
# Where the caller's shell forbids bytecode, each of the thousands of processes that the tests start would
# compile the whole program again: it is kept beside the tools.
unset PYTHONDONTWRITEBYTECODE
export PYTHONPYCACHEPREFIX=$PWD/.venv/pycache
.venv/bin/ruff check .
.venv/bin/ruff format --check --quiet sorrelfront tests benchmarks
.venv/bin/mypy
# Tests that fail for a known fault: a line each, the test first. These alone are passed over, and said so.
known_red=()
if [ -s KNOWN-RED.txt ]; then
    echo "passed over as known failures (KNOWN-RED.txt):"
    cat KNOWN-RED.txt
    while read -r name _; do known_red+=(--deselect "$name"); done < KNOWN-RED.txt
fi
.venv/bin/python -m pytest -q -p no:cacheprovider -n 5 --dist worksteal "${known_red[@]}"
