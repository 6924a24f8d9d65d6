"""The program under the loads that took it over its memory limit."""

from __future__ import annotations

import asyncio

import pytest

from benchmarks.memory import PEAK_SHARE, Setup, measure
from tests.test_process import ROOT


@pytest.mark.parametrize(
    "load",
    [
        "answers",
        "stalled",
        "pipelined",
        "chunked",
        "fields",
        "most_fields",
        "answer_fields",
        "answer_most_fields",
    ],
)
def test_the_program_stays_under_its_memory_limit(load: str) -> None:
    """Guards against an agent that is killed for its memory: 32 MB, and as many clients as may come."""
    measured = asyncio.run(measure(Setup(32, 512, load, 3.0, str(ROOT))))
    assert measured.share <= PEAK_SHARE, measured
    assert measured.usual.get("200", 0) > 0, measured


def test_a_limit_lowered_by_a_reload_is_kept() -> None:
    """Guards against memory of earlier bodies that stays with the process when its limit is lowered."""
    measured = asyncio.run(measure(Setup(64, 512, "bodies", 2.0, str(ROOT), lowered_mb=32)))
    assert measured.share <= PEAK_SHARE, measured
    assert measured.usual.get("200", 0) > 0, measured
