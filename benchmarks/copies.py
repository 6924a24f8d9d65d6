"""Copies in memory and measured.

    python -m benchmarks.copies seeds --count 1000 [--plant forgets-deletions]
    python -m benchmarks.copies table --entries 1000,10000,100000
    python -m benchmarks.copies fleet --members 9,24,64,1000
"""

from __future__ import annotations

import argparse
import multiprocessing
import os
import traceback
from collections import Counter
from functools import partial

from sorrelfront.lab.fleet import copies as lab


def one(plant: str, seed: int) -> tuple[int, list[str]]:
    try:
        found, _ = lab.play(seed, make=lab.PLANTS[plant])
    except Exception:
        found = [traceback.format_exc(limit=-2)]
    return seed, found


def seeds(count: int, first: int, plant: str) -> int:
    broken: Counter[str] = Counter()
    with multiprocessing.Pool(os.cpu_count()) as pool:
        for seed, found in pool.imap_unordered(partial(one, plant), range(first, first + count), 8):
            if found:
                broken[found[0].split(" ")[0]] += 1
                if sum(broken.values()) <= 10:
                    print(f"seed {seed}: {found[0][:300]}", flush=True)
    print(f"{count} seeds, {sum(broken.values())} broken")
    return sum(broken.values())


def main() -> None:
    parser = argparse.ArgumentParser(description="Copies in memory")
    parser.add_argument("word", choices=("seeds",))
    parser.add_argument("--count", type=int, default=1_000)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--plant", choices=sorted(lab.PLANTS), default="")
    told = parser.parse_args()
    raise SystemExit(1 if seeds(told.count, told.first, told.plant) and not told.plant else 0)


if __name__ == "__main__":
    main()
