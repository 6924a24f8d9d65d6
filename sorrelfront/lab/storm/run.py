"""One storm from its file to its verdict, and many by seeds."""

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

from sorrelfront.lab.storm.checkers import Breach, judge
from sorrelfront.lab.storm.history import HISTORY, Event, History, read
from sorrelfront.lab.storm.scenario import Scenario
from sorrelfront.lab.storm.scenario import read as read_scenario
from sorrelfront.lab.storm.stage import Stage

HELD, BROKEN, VOID = 0, 1, 3  # exit codes; 2 is a wrong call
FILE = "storm.toml"
VERDICT = "verdict.json"
NO_STATUS = ("lost", "reset", "left")  # what an answer says that is none
SHOWN_MOST = 20  # breaches of one rule that a verdict names
SCENARIOS = Path(__file__).parent / "scenarios"


class Ended(Exception):
    """The rig was told to end."""


def play(
    scenario: Scenario, seed: int, folder: Path | None = None, show: Callable[[str], None] = lambda _: None
) -> dict[str, Any]:
    """Play a storm and judge it. `folder` keeps file, seed, history and verdict. Raises CannotPlay, and Ended
    after everything has been taken down."""
    if folder is not None:
        folder.mkdir(parents=True, exist_ok=True)
        (folder / FILE).write_bytes(scenario.text)
    history = History(None if folder is None else folder / HISTORY)
    try:
        asyncio.run(_play(Stage(scenario, seed, history), show))
    finally:
        history.close()
    verdict = verdict_of(history.events, scenario, seed)
    if folder is not None:
        (folder / VERDICT).write_bytes(msgspec.json.format(msgspec.json.encode(verdict)))
    return verdict


async def _play(stage: Stage, show: Callable[[str], None]) -> None:
    task = asyncio.current_task()
    assert task is not None
    loop = asyncio.get_running_loop()
    told: list[int] = []

    def end(number: signal.Signals) -> None:
        told.append(number)
        task.cancel()

    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, end, number)
    try:
        await stage.play(show)
    except asyncio.CancelledError:
        if told:
            raise Ended(signal.Signals(told[0]).name) from None
        raise


def verdict_of(events: list[Event], scenario: Scenario, seed: int) -> dict[str, Any]:
    """What a history comes to. `result` is "held", "broken" or "void"."""
    breaches = judge(events)
    figures = figures_of(events)
    rig = next((event for event in events if event["kind"] == "rig"), None)
    void = _void(rig, scenario.void)
    share = figures["served"] / max(1, figures["asked"])
    if share < scenario.expect["served"]:
        breaches["served"] = [
            Breach("served", 0.0, f"{share:.3f} of what was asked, {scenario.expect['served']:g} wanted")
        ]
    wanted = scenario.expect["breach"]
    # A planted defect has to be found, whatever else is.
    held = bool(breaches.get(wanted)) if wanted else not any(breaches.values())
    return {
        "storm": scenario.storm["name"],
        "seed": seed,
        "result": "void" if void else "held" if held else "broken",
        "void": void,
        "expected_breach": wanted,
        "rules": {
            name: {"breaches": len(found), "first": [asdict(item) for item in found[:SHOWN_MOST]]}
            for name, found in breaches.items()
        },
        "figures": figures,
        "rig": {} if rig is None else {k: v for k, v in rig.items() if k not in ("t", "kind")},
    }


def _void(rig: Event | None, limits: dict[str, Any]) -> list[str]:
    """Why this storm says nothing of the program: the rig itself was the bottleneck."""
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
    """Counts and latencies of the whole storm, and how service came back."""
    answers = [event for event in events if event["kind"] == "answer"]
    status = Counter(event["status"] for event in answers)
    ms = np.array([event["ms"] for event in answers if event["status"] == "200"] or [0.0])
    refused = status["429"] + status["503"]
    arrivals = np.array([event["t"] for event in events if event["kind"] == "arrive"])
    watches = np.array([event["t"] for event in events if event["kind"] == "watch"])
    settled = next((event["waited"] for event in events if event["kind"] == "settled"), None)
    return {
        "asked": sum(event["kind"] == "ask" for event in events), "served": status["200"], "refused": refused,
        "failed": len(answers) - status["200"] - refused - sum(status[word] for word in NO_STATUS),
        "lost": status["lost"], "reset": status["reset"], "left": status["left"],
        "p50_ms": round(float(np.percentile(ms, 50)), 2), "p99_ms": round(float(np.percentile(ms, 99)), 2),
        "arrivals": len(arrivals), "arrivals_100ms": _densest(arrivals, 0.1),
        "watches": len(watches), "watches_1s": _densest(watches, 1.0),
        "settled_s": settled, "back": returns(events),
    }  # fmt: skip


def _densest(times: np.ndarray[Any, Any], span: float) -> int:
    """The most events in any window of this length."""
    if not len(times):
        return 0
    return int((np.searchsorted(times, times + span) - np.arange(len(times))).max())


def returns(events: list[Event], span: float = 0.25) -> dict[str, float | None]:
    """Seconds from the first fault's end until so much of the service before the first fault is there again,
    by the served in steps of a quarter of a second; None if never."""
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


def replayed(folder: Path) -> tuple[Scenario, int]:
    """The file and the seed that a kept storm was played by. Raises BadDocument, OSError, ValueError."""
    events = read(folder / HISTORY)
    if not events or events[0]["kind"] != "storm":
        raise ValueError(f"{folder / HISTORY}: does not begin as a storm's history does")
    return read_scenario(folder / FILE), int(events[0]["seed"])


def again(path: Path, seed: int) -> str:
    """The command that plays this storm once more."""
    return f"sorrelfront storm run {path} --seed {seed}"


def soak(scenario: Scenario, seeds: range, jobs: int, keep: Path | None = None) -> Iterator[dict[str, Any]]:
    """Play one storm for each seed, some at a time, and give verdicts as they come. Of what is kept only
    broken and void ones stay."""
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(jobs, mp_context=context) as pool:
        waiting = {pool.submit(_one, str(scenario.path), seed, keep): seed for seed in seeds}
        for done in as_completed(waiting):
            yield done.result()


def _one(path: str, seed: int, keep: Path | None) -> dict[str, Any]:
    folder = None if keep is None else keep / f"seed-{seed}"
    scenario = read_scenario(Path(path))
    try:
        verdict = play(scenario, seed, folder)
    except Exception as fault:  # one storm that fails does not end the others, and is told
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


def listed() -> list[Path]:
    """The storms that come with the program."""
    return sorted(SCENARIOS.glob("*.toml"))


def find(told: str) -> Path:
    """A file, or the name of one that comes with the program."""
    path = Path(told)
    known = SCENARIOS / f"{told}.toml"
    return known if not path.exists() and known.exists() else path
