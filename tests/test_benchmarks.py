"""Check that the benchmarks run and count correctly; no timing is asserted."""

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
def test_capacity_run_sends_all_requests_and_all_are_answered(
    what: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guard against a capacity run that drops requests or counts them wrongly.

    With the splice and with this tree's agent, no connection breaks and every counted answer has status 200.
    """
    monkeypatch.chdir(ROOT)
    run = capacity.run_once(what, 60.0, 1.0, tmp_path)
    assert run["statuses"] == {"200": run["answered"]} and run["broken"] == 0
    # Only answers after the warm-up count; the first of them may have been due just before its end.
    assert 0 < run["answered"] <= run["asked"] == 150
    results = capacity.summary([run, run])
    assert results["answered"] == 2 * run["answered"] and results["not_200"] == 0


def test_summaries_can_be_plotted_reproducibly(tmp_path: Path) -> None:
    """Guard against a plot that fails for one or several rates, or whose file differs when drawn again."""
    run = {"cpu_us": 100.0, "core_percent": 6.0, "median_ms": 2.0, "p99_ms": 5.0, "most_ms": 9.0,
           "answered": 5, "statuses": {"200": 5}, "broken": 0}  # fmt: skip
    results = {str(rate): {"rate": rate, "splice": capacity.summary([run]), "agent": capacity.summary([run])}
            for rate in (300.0, 600.0)}  # fmt: skip
    for name, what in (("several", results), ("one", results["600.0"])):
        file = tmp_path / f"{name}.svg"
        capacity.plot(what, file)
        drawn = file.read_bytes()
        assert b"<svg" in drawn and drawn.count(b"<path") > 10
        capacity.plot(what, file)
        assert file.read_bytes() == drawn


def test_supervisor_kills_under_steady_load_lose_nothing(tmp_path: Path) -> None:
    """Guard against requests lost or executed twice because the supervisor was killed.

    The instances serve on and the next supervisor adopts them, so that clients see no failure at all.
    """
    args = argparse.Namespace(kills=6, instances=2, clients=10, pause=0.01)
    results = asyncio.run(adoption.kills(tmp_path, args))
    assert results["answered"] > 0 and results["generation"] == 1
    for name in ("lost", "doubled", "late_drains", "refused_connects", "cut", "exit"):
        assert results[name] == 0, (name, results)


def test_replayed_record_distinguishes_two_modules(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guard against a comparison that misses a difference, or reports one that is not there.

    Two replays of one record must agree; a replay with a changed constant must differ.
    """
    path = tmp_path / "record"
    with gzip.open(path, "wb") as file:
        pickle.dump(module.Simulation(1.2).play(), file)
    first, second = module.replay_record(path), module.replay_record(path)
    assert first["requests"] > 1_000 and len(first["minutes"]) == 2
    assert first["minutes"] == second["minutes"]
    monkeypatch.setattr(balancer, "WAIT_SHARE", 0.5)
    assert module.replay_record(path)["minutes"] != first["minutes"]
