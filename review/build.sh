#!/bin/sh
# Builds what the cases need: nothing but their Python files, which are compiled here as a check.
set -eu
cd "$(dirname "$0")/.."
exec .venv/bin/python -c '
import pathlib
for path in sorted(pathlib.Path("review").glob("**/*.py")):
    compile(path.read_bytes(), str(path), "exec")
'
