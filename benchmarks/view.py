"""Measure the fleet's view in virtual time for 8 to 4,096 members, and check it over many seeds of faults.

    python -m benchmarks.view table [--sizes 8,64,512,4096] [--plot FILE.svg]
    python -m benchmarks.view plot ROWS.jsonl --plot FILE.svg
    python -m benchmarks.view seeds --count 5000 --jobs 8

`table`: the timings are memberlist's for a local network, with one probe a second. A crash: the medians over
`--crashes` of the time until the first member declares it dead, and until all members do. False suspicions
and deaths: of healthy members, in the whole fleet per hour, while 1% of the members (at least one) take 0.4 s
to process each message. Bytes: sent by each member per second when idle, including IP and UDP headers. Each
row comes with one for the same code without the Lifeguard extensions.
"""

from __future__ import annotations

import argparse
import json
import os
import statistics
import time
from concurrent.futures import ProcessPoolExecutor
from dataclasses import replace
from pathlib import Path
from typing import Any

from sorrelfront.decisions.fleet.view import Settings, convergence_bound_us
from sorrelfront.lab.fleet.storms import run_seed
from sorrelfront.lab.fleet.virtual import SECOND, VirtualFleet

LIFEGUARD = Settings()
SWIM = replace(LIFEGUARD, health=False, confirm=False, buddy=False)
STARVED_SLOWDOWN = 4_000.0  # a 0.1 ms step takes 400 ms: messages arrive faster, the backlog grows


def measure_crash(size: int, seed: int, settings: Settings) -> tuple[float, float]:
    """Return the seconds from a crash until the first member declares it dead, and until the last does."""
    fleet = VirtualFleet(size, seed, settings, settled=True)
    fleet.run(2 * SECOND)
    name = f"m{size // 2:04}"
    fleet.kill(name)
    started_at = fleet.now
    died: dict[str, int] = {}
    lines_read = 0
    while len(died) < size - 1 and fleet.now < started_at + 2 * convergence_bound_us(settings, size):
        fleet.run(fleet.now + SECOND // 5)
        for line in fleet.events[lines_read:]:
            if line.what == "died" and line.name == name:
                died.setdefault(line.viewer, line.at_us)
        lines_read = len(fleet.events)
    times = [at - started_at for at in died.values()]
    return min(times) / SECOND, (max(times) if len(died) >= size - 1 else float("inf")) / SECOND


def false_positives(size: int, seed: int, settings: Settings, seconds: int) -> tuple[int, int]:
    """Count the false suspicions and deaths of healthy members, by subject and not by viewer."""
    fleet = VirtualFleet(size, seed, settings, settled=True)
    slow = [f"m{number:04}" for number in range(max(1, size // 100))]
    for name in slow:
        fleet.nodes[name].slowdown = STARVED_SLOWDOWN
    fleet.run(seconds * SECOND)
    found: dict[str, set[tuple[str, int]]] = {"suspected": set(), "died": set()}
    for line in fleet.events:
        if line.what in found and line.name not in slow:
            found[line.what].add((line.name, line.at_us // (10 * SECOND)))
    return len(found["suspected"]), len(found["died"])


def idle_bytes_s(size: int, settings: Settings, seconds: int = 20) -> float:
    """Return the bytes per second that each member sends when nothing happens."""
    fleet = VirtualFleet(size, 1, settings, settled=True, count_bytes=True)
    fleet.run(seconds * SECOND)
    return sum(node.sent_bytes for node in fleet.nodes.values()) / size / seconds


def row(task: tuple[int, str, int, int]) -> dict[str, Any]:
    """Measure one table row; `task` holds the size, the variant, the number of crashes and the seconds."""
    size, name, crashes, seconds = task
    settings = SWIM if name == "swim" else LIFEGUARD
    times = [measure_crash(size, seed, settings) for seed in range(crashes)]
    suspected, died = false_positives(size, 1, settings, seconds)
    return {
        "members": size,
        "with": name,
        "first_s": round(statistics.median(first for first, _ in times), 2),
        "all_s": round(statistics.median(last for _, last in times), 2),
        "worst_all_s": round(max(last for _, last in times), 2),
        "crashes": crashes,
        "false_suspicions_h": round(suspected * 3_600 / seconds),
        "false_deaths_h": round(died * 3_600 / seconds),
        "sick_s": seconds,
        "bytes_s": round(idle_bytes_s(size, settings)),
        "bound_s": round(convergence_bound_us(settings, size) / 1e6, 1),
    }


def table(sizes: list[int], crashes: int, jobs: int, plot: Path | None) -> None:
    """Measure and print all rows, as one JSON object a line; optionally plot them."""
    tasks = [
        (size, name, crashes if size <= 512 else 2, 120 if size <= 512 else 30)
        for size in sorted(sizes, reverse=True)
        for name in ("lifeguard", "swim")
    ]
    with ProcessPoolExecutor(jobs) as pool:
        rows = sorted(pool.map(row, tasks), key=lambda item: (item["members"], item["with"]))
    for item in rows:
        print(json.dumps(item))
    if plot is not None:
        draw(rows, plot)


def draw(rows: list[dict[str, Any]], path: Path) -> None:
    """Plot the rows of both variants to a file."""
    import matplotlib

    matplotlib.use("svg")
    from matplotlib import pyplot

    figure, (left, right) = pyplot.subplots(1, 2, figsize=(10, 3.8), layout="constrained")
    for name, style in (("lifeguard", "-"), ("swim", "--")):
        chosen = [item for item in rows if item["with"] == name]
        sizes = [item["members"] for item in chosen]
        left.plot(sizes, [item["first_s"] for item in chosen], style, marker="o", label=f"first, {name}")
        left.plot(sizes, [item["all_s"] for item in chosen], style, marker="s", label=f"all, {name}")
        right.plot(sizes, [item["false_suspicions_h"] + 0.5 for item in chosen], style, marker="o",
                   label=f"false suspicions an hour, {name}")  # fmt: skip
        right.plot(sizes, [item["false_deaths_h"] + 0.5 for item in chosen], style, marker="s",
                   label=f"false deaths an hour, {name}")  # fmt: skip
    left.plot(sizes, [item["bound_s"] for item in chosen], ":", color="grey", label="documented bound")
    left.set_ylabel("seconds after a crash")
    right.set_ylabel("whole fleet, 1% starved; 0.5 stands for none")
    right.set_yscale("log")
    for axes in (left, right):
        axes.set_xscale("log")
        axes.set_xticks(sizes, [str(size) for size in sizes])
        axes.set_xlabel("members")
        axes.legend(fontsize=8)
    figure.savefig(path)


def seeds(count: int, first: int, jobs: int) -> None:
    """Run one simulated storm per seed and print the failures and a summary."""
    started_at = time.monotonic()
    settled_s: list[float] = []
    broken = 0
    with ProcessPoolExecutor(jobs) as pool:
        for result in pool.map(run_seed, range(first, first + count), chunksize=8):
            settled_s.append(result.settled_us / 1e6)
            if result.why:
                broken += 1
                print(json.dumps({"seed": result.seed, "faults": result.faults, "why": result.why}))
    settled_s.sort()
    print(json.dumps({
        "seeds": count, "broken": broken, "settled_p50_s": settled_s[len(settled_s) // 2],
        "settled_p99_s": settled_s[int(len(settled_s) * 0.99)], "settled_most_s": settled_s[-1],
        "took_s": round(time.monotonic() - started_at, 1),
    }))  # fmt: skip


def main() -> None:
    """Run the chosen benchmark."""
    raw = argparse.RawDescriptionHelpFormatter
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=raw)
    subparsers = parser.add_subparsers(dest="word", required=True)
    table_parser = subparsers.add_parser("table")
    table_parser.add_argument("--sizes", default="8,64,512,4096")
    table_parser.add_argument("--crashes", type=int, default=15)
    table_parser.add_argument("--plot", type=Path)
    plot_parser = subparsers.add_parser("plot", help="plot the rows that `table` printed")
    plot_parser.add_argument("rows", type=Path)
    plot_parser.add_argument("--plot", type=Path, required=True)
    seeds_parser = subparsers.add_parser("seeds")
    seeds_parser.add_argument("--count", type=int, default=5_000)
    seeds_parser.add_argument("--first", type=int, default=0)
    for item in (table_parser, seeds_parser):
        item.add_argument("--jobs", type=int, default=os.cpu_count() or 1)
    args = parser.parse_args()
    if args.word == "plot":
        draw([json.loads(line) for line in args.rows.read_text().splitlines()], args.plot)
    elif args.word == "table":
        table([int(size) for size in args.sizes.split(",")], args.crashes, args.jobs, args.plot)
    else:
        seeds(args.count, args.first, args.jobs)


if __name__ == "__main__":
    main()
