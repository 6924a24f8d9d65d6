"""Check policy changes in memory: many seeds, and every order of events up to a depth.

python -m benchmarks.policy seeds --count 10000 [--duels] [--jobs 8]
python -m benchmarks.policy explore --depth 8
"""

from __future__ import annotations

import argparse
import json
import os
import time
from concurrent.futures import ProcessPoolExecutor
from functools import partial

from sorrelfront.lab.fleet.explorer import explore
from sorrelfront.lab.fleet.policies import Simulation


def run_seed(seed: int, duels: bool) -> tuple[int, int, int, str]:
    """Simulate one seed and return it with its results.

    The results are the number of changes decided, the number reported as in force, and the first
    violation ("" if there is none).
    """
    run = Simulation(seed, contended=duels).run()
    return seed, run.changes, run.in_force, run.violations[0] if run.violations else ""


def main() -> None:
    """Run the chosen check and print its result as one JSON object."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("word", choices=("seeds", "explore"))
    parser.add_argument("--count", type=int, default=10_000)
    parser.add_argument("--duels", action="store_true", help="two concurrent operators, voters that crash")
    parser.add_argument("--depth", type=int, default=8)
    parser.add_argument("--jobs", type=int, default=os.cpu_count() or 1)
    args = parser.parse_args()
    started_at = time.monotonic()
    if args.word == "explore":
        result = explore(args.depth)
        print(json.dumps({**result._asdict(), "took_s": round(time.monotonic() - started_at, 1)}))
        return
    with ProcessPoolExecutor(args.jobs) as pool:
        rows = list(pool.map(partial(run_seed, duels=args.duels), range(args.count), chunksize=20))
    broken = [(seed, why) for seed, _, _, why in rows if why]
    print(json.dumps({
        "seeds": args.count, "broken": len(broken), "first": broken[:3],
        "decided": sum(changes for _, changes, _, _ in rows),
        "told_in_force": sum(count for _, _, count, _ in rows),
        "took_s": round(time.monotonic() - started_at, 1),
    }))  # fmt: skip


if __name__ == "__main__":
    main()
