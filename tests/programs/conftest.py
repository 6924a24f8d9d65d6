"""Fixtures for shims that are loaded into the programs under test."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import pytest

from sorrelfront.lab.faults.shim import compiler
from sorrelfront.lab.faults.system_calls import SystemCalls
from sorrelfront.lab.faults.wall_clock import WallClock


@pytest.fixture
def wall_clock(tmp_path: Path) -> Iterator[WallClock]:
    _need_compiler()
    made = WallClock(tmp_path)
    yield made
    made.close()


@pytest.fixture
def calls(tmp_path: Path) -> Iterator[SystemCalls]:
    _need_compiler()
    made = SystemCalls(tmp_path, seed=1)
    yield made
    made.close()


def _need_compiler() -> None:
    if compiler() is None:
        pytest.skip("the shim needs a C compiler, and this machine has none")
