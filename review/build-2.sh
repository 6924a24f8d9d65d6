#!/bin/sh
# What the cases 6 to 10 start beside the deploy file's build: the project's own daemon and command, with the
# packages of its extras `cli` and `sites`. The stand-ins themselves are in the standard library.
set -e
cd "$(dirname "$0")/.."
test -x .venv/bin/python || python3 -m venv .venv
.venv/bin/python -c 'import click, cryptography, h11, httptools, msgspec, pythonjsonlogger, rich, sortedcontainers, tomli_w' \
    2>/dev/null || .venv/bin/pip -q install '.[cli,sites]'
