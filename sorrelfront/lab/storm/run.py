"""Runs one storm from its file to its verdict, or one storm for each of many seeds."""

from __future__ import annotations

import asyncio
import contextlib
import multiprocessing
import shutil
import signal
from collections import Counter
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor, as_completed
from dataclasses import asdict
from pathlib import Path
from typing import Any

import msgspec
import numpy as np

from sorrelfront.lab.storm.checkers import Breach, run_checkers
from sorrelfront.lab.storm.harness import Harness
from sorrelfront.lab.storm.history import HISTORY, Event, History, read
from sorrelfront.lab.storm.scenario import Scenario
from sorrelfront.lab.storm.scenario import read as read_scenario

HELD, BROKEN, VOID = 0, 1, 3  # exit codes; 2 is a usage error
SCENARIO_FILE = "storm.toml"
VERDICT = "verdict.json"
UNANSWERED = ("lost", "reset", "left")  # statuses of calls that got no answer
MAX_LISTED_BREACHES = 20  # breaches of one rule that a verdict lists
SCENARIOS = Path(__file__).parent / "scenarios"


class Interrupted(Exception):
    """Raised when a signal ended the harness."""


def play(
    scenario: Scenario, seed: int, folder: Path | None = None, show: Callable[[str], None] = lambda _: None
) -> dict[str, Any]:
    """Play a storm and return its verdict; `folder` keeps the file, the seed, the history and the verdict.

    Raises:
        StormSetupError: The storm could not be set up, or the harness failed.
        Ended: A signal ended the storm; everything has been torn down.
    """
    if folder is not None:
        folder.mkdir(parents=True, exist_ok=True)
        (folder / SCENARIO_FILE).write_bytes(scenario.text)
    history = History(None if folder is None else folder / HISTORY)
    try:
        asyncio.run(_play(Harness(scenario, seed, history), show))
    finally:
        history.close()
    verdict = verdict_of(history.events, scenario, seed)
    if folder is not None:
        (folder / VERDICT).write_bytes(msgspec.json.format(msgspec.json.encode(verdict)))
    return verdict


async def _play(stage: Harness, show: Callable[[str], None]) -> None:
    task = asyncio.current_task()
    assert task is not None
    loop = asyncio.get_running_loop()
    received: list[int] = []

    def end(number: signal.Signals) -> None:
        received.append(number)
        task.cancel()

    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, end, number)
    try:
        await stage.play(show)
    except asyncio.CancelledError:
        if received:
            raise Interrupted(signal.Signals(received[0]).name) from None
        raise


def verdict_of(events: list[Event], scenario: Scenario, seed: int) -> dict[str, Any]:
    """Return the verdict on a history; its `result` is "held", "broken" or "void"."""
    breaches = run_checkers(events)
    figures = figures_of(events)
    rig = next((event for event in events if event["kind"] == "rig"), None)
    void = _void_reasons(rig, scenario.void)
    share = figures["served"] / max(1, figures["asked"])
    if share < scenario.expect["served"]:
        breaches["served"] = [
            Breach("served", 0.0, f"{share:.3f} of what was asked, {scenario.expect['served']:g} wanted")
        ]
    wanted = scenario.expect["breach"]
    # A planted defect has to be found, whatever else is found.
    held = bool(breaches.get(wanted)) if wanted else not any(breaches.values())
    return {
        "storm": scenario.storm["name"],
        "seed": seed,
        "result": "void" if void else "held" if held else "broken",
        "void": void,
        "expected_breach": wanted,
        "rules": {
            name: {"breaches": len(found), "first": [asdict(item) for item in found[:MAX_LISTED_BREACHES]]}
            for name, found in breaches.items()
        },
        "figures": figures,
        "rig": {} if rig is None else {k: v for k, v in rig.items() if k not in ("t", "kind")},
    }


def _void_reasons(rig: Event | None, limits: dict[str, Any]) -> list[str]:
    """Return why the storm is inconclusive: it did not finish, or the harness was the bottleneck."""
    if rig is None:
        return ["it did not come to its end"]
    found = []
    if rig["lag_p99_ms"] > limits["lag_ms"]:
        found.append(
            f"the rig was late by {rig['lag_p99_ms']} ms (99th percentile; {limits['lag_ms']:g} at most)"
        )
    if rig["relay_p99_us"] > limits["relay_us"]:
        found.append(
            f"relays took {rig['relay_p99_us']} us (99th percentile; {limits['relay_us']:g} at most)"
        )
    if rig["left_out"]:
        found.append(f"{rig['left_out']} events were left out of the history")
    return found


def figures_of(events: list[Event]) -> dict[str, Any]:
    """Return counts and latencies of the whole storm, and its recovery times."""
    answers = [event for event in events if event["kind"] == "answer"]
    status = Counter(event["status"] for event in answers)
    ms = np.array([event["ms"] for event in answers if event["status"] == "200"] or [0.0])
    refused = status["429"] + status["503"]
    arrivals = np.array([event["t"] for event in events if event["kind"] == "arrive"])
    watches = np.array([event["t"] for event in events if event["kind"] == "watch"])
    settled = next((event["waited"] for event in events if event["kind"] == "settled"), None)
    return {
        "asked": sum(event["kind"] == "ask" for event in events), "served": status["200"], "refused": refused,
        "failed": len(answers) - status["200"] - refused - sum(status[word] for word in UNANSWERED),
        "lost": status["lost"], "reset": status["reset"], "left": status["left"],
        "p50_ms": round(float(np.percentile(ms, 50)), 2), "p99_ms": round(float(np.percentile(ms, 99)), 2),
        "arrivals": len(arrivals), "arrivals_100ms": _max_in_window(arrivals, 0.1),
        "watches": len(watches), "watches_1s": _max_in_window(watches, 1.0),
        "settled_s": settled, "back": recovery_times(events),
    }  # fmt: skip


def _max_in_window(times: np.ndarray[Any, Any], span: float) -> int:
    """Return the largest number of events in any window of `span` seconds."""
    if not len(times):
        return 0
    return int((np.searchsorted(times, times + span) - np.arange(len(times))).max())


def recovery_times(events: list[Event], span: float = 0.25) -> dict[str, float | None]:
    """Return the recovery times in seconds, by share of the rate served before the first fault.

    Each is the time from the first end of a fault to the end of the first window of `span` seconds that is
    served at that share of the former rate; None if there is none.
    """
    faults = [event for event in events if event["kind"] == "fault"]
    load = next((event["t"] for event in events if event["kind"] == "load"), None)
    over = next((event["t"] for event in faults if event["phase"] == "over"), None)
    if load is None or over is None:
        return {}
    first = faults[0]["t"]
    served = np.array(
        [event["t"] for event in events if event["kind"] == "answer" and event["status"] == "200"]
    )
    ramp = min(1.0, (first - load) / 2)
    former = ((served >= load + ramp) & (served < first)).sum() / max(1e-9, first - load - ramp)
    if not former:
        return {}
    found: dict[str, float | None] = {}
    last = events[-1]["t"]
    rates = [
        (start, ((served >= start) & (served < start + span)).sum() / span / former)
        for start in np.arange(over, last, span / 5)
    ]
    for share in (0.5, 0.9, 0.99):
        at = next((start for start, rate in rates if rate >= share), None)
        found[f"{share:g}"] = None if at is None else round(float(at + span - over), 2)
    return found


def load_kept(folder: Path) -> tuple[Scenario, int]:
    """Return the scenario and the seed of a kept storm.

    Raises:
        BadDocument: The scenario file is not valid.
        OSError: A file cannot be read.
        ValueError: The history does not begin as that of a storm.
    """
    events = read(folder / HISTORY)
    if not events or events[0]["kind"] != "storm":
        raise ValueError(f"{folder / HISTORY}: does not begin as a storm's history does")
    return read_scenario(folder / SCENARIO_FILE), int(events[0]["seed"])


def rerun_command(path: Path, seed: int) -> str:
    """Return the command that plays this storm again."""
    return f"sorrelfront storm run {path} --seed {seed}"


def soak(scenario: Scenario, seeds: range, jobs: int, keep: Path | None = None) -> Iterator[dict[str, Any]]:
    """Play the storm once for each seed, `jobs` at a time, and yield verdicts in order of completion.

    With `keep`, only the folders of broken and void storms remain.
    """
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(jobs, mp_context=context) as pool:
        waiting = {pool.submit(_play_one, str(scenario.path), seed, keep): seed for seed in seeds}
        for done in as_completed(waiting):
            yield done.result()


def _play_one(path: str, seed: int, keep: Path | None) -> dict[str, Any]:
    folder = None if keep is None else keep / f"seed-{seed}"
    scenario = read_scenario(Path(path))
    try:
        verdict = play(scenario, seed, folder)
    except Exception as fault:  # a storm that fails is reported as void and does not end the others
        verdict = {
            "storm": scenario.storm["name"],
            "seed": seed,
            "result": "void",
            "void": [repr(fault)],
            "rules": {},
        }
    if folder is not None and verdict["result"] == "held":
        with contextlib.suppress(OSError):
            shutil.rmtree(folder)
    return verdict


def list_scenarios() -> list[Path]:
    """Return the scenario files that come with the program."""
    return sorted(SCENARIOS.glob("*.toml"))


def find(name: str) -> Path:
    """Return the path of a scenario, given as a file or as the name of one that comes with the program."""
    path = Path(name)
    known = SCENARIOS / f"{name}.toml"
    return known if not path.exists() and known.exists() else path
