#!/bin/sh
# What the cases 6 to 10 need beside the deploy file's build: the packages that the project's own daemon, its command and
# its stand-ins are run with, those of its extras `cli` and `sites`. The program itself is run from this checkout, and
# the stand-ins of the cases are in the standard library.
set -e
cd "$(dirname "$0")/.."
test -x .venv/bin/python || python3 -m venv .venv
.venv/bin/python -c 'import click, cryptography, h11, httptools, msgspec, pythonjsonlogger, rich, sortedcontainers, tomli_w' \
    2>/dev/null && exit 0
.venv/bin/python -c '
import tomllib
with open("pyproject.toml", "rb") as file:
    extras = tomllib.load(file)["project"]["optional-dependencies"]
print(*extras["cli"], *extras["sites"], sep="\n")
' | .venv/bin/pip -q install -c requirements-dev.txt -r /dev/stdin
