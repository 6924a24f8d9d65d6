"""The rigs run, and what they count is right; no time is asserted here."""

from __future__ import annotations

import argparse
import asyncio
import gzip
import pickle
from pathlib import Path

import pytest

from benchmarks import adoption, capacity, module
from sorrelfront.decisions import balancer
from tests.test_process import ROOT


@pytest.mark.parametrize("what", ["splice", str(ROOT)])
def test_the_capacity_rig_asks_all_and_all_are_answered(
    what: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.chdir(ROOT)
    run = capacity.once(what, 60.0, 1.0, tmp_path)
    assert run["statuses"] == {"200": run["answered"]} and run["broken"] == 0
    # All that was asked once the start was over; the first of them may have been due just before.
    assert 0 < run["answered"] <= run["asked"] == 150
    told = capacity.summary([run, run])
    assert told["answered"] == 2 * run["answered"] and told["not_200"] == 0


def test_what_was_measured_can_be_drawn(tmp_path: Path) -> None:
    run = {"cpu_us": 100.0, "core_percent": 6.0, "median_ms": 2.0, "p99_ms": 5.0, "most_ms": 9.0,
           "answered": 5, "statuses": {"200": 5}, "broken": 0}  # fmt: skip
    told = {str(rate): {"rate": rate, "splice": capacity.summary([run]), "agent": capacity.summary([run])}
            for rate in (300.0, 600.0)}  # fmt: skip
    for name, what in (("several", told), ("one", told["600.0"])):
        file = tmp_path / f"{name}.svg"
        capacity.plot(what, file)
        drawn = file.read_bytes()
        assert b"<svg" in drawn and drawn.count(b"<path") > 10
        capacity.plot(what, file)
        assert file.read_bytes() == drawn


def test_a_few_kills_of_the_supervisor_under_steady_load_cost_nothing(tmp_path: Path) -> None:
    words = argparse.Namespace(kills=6, instances=2, clients=10, pause=0.01)
    told = asyncio.run(adoption.kills(tmp_path, words))
    assert told["answered"] > 0 and told["generation"] == 1
    for name in ("lost", "doubled", "late_drains", "refused_connects", "cut", "exit"):
        assert told[name] == 0, (name, told)


def test_a_recorded_course_tells_two_modules_apart(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    path = tmp_path / "record"
    with gzip.open(path, "wb") as file:
        pickle.dump(module.World(1.2).play(), file)
    first, second = module.replayed(path), module.replayed(path)
    assert first["requests"] > 1_000 and len(first["minutes"]) == 2
    assert first["minutes"] == second["minutes"]
    monkeypatch.setattr(balancer, "SLACK", 0.5)
    assert module.replayed(path)["minutes"] != first["minutes"]
