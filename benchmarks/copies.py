"""Simulate replicated state in memory and measure its replication.

python -m benchmarks.copies seeds --count 1000 [--plant forgets-deletions]
python -m benchmarks.copies explore --depth 4
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

from sorrelfront.decisions.fleet.replicas import Settings, entry_size, host_of
from sorrelfront.lab.fleet import copies as lab
from sorrelfront.lab.fleet.copies_explorer import explore


def run_seed(plant: str, seed: int) -> tuple[int, list[str]]:
    """Simulate one seed; return it with the violations found, or the traceback of an exception."""
    try:
        found, _ = lab.run_seed(seed, make=lab.DEFECTS[plant])
    except Exception:
        found = [traceback.format_exc(limit=-2)]
    return seed, found


def seeds(count: int, first: int, plant: str) -> int:
    """Run `count` seeds on all cores, print the first ten failures and return the number of failures."""
    broken: Counter[str] = Counter()
    with multiprocessing.Pool(os.cpu_count()) as pool:
        for seed, found in pool.imap_unordered(partial(run_seed, plant), range(first, first + count), 8):
            if found:
                broken[found[0].split(" ")[0]] += 1
                if sum(broken.values()) <= 10:
                    print(f"seed {seed}: {found[0][:300]}", flush=True)
    print(f"{count} seeds, {sum(broken.values())} broken")
    return sum(broken.values())


SECOND = lab.SECOND
VALUE_BYTES = 60  # size of an entry's value
BATCH_ENTRIES = 100  # entries written between two steps of the virtual clock
DEFAULT_SETTINGS = Settings()


def fleet_with_entries(entries: int, members: int) -> lab.Fleet:
    """Return a converged fleet whose first member owns `entries` entries."""
    fleet = lab.Fleet(members, 1, DEFAULT_SETTINGS)
    fleet.registry_down = {host_of(name) for name in fleet.nodes}
    fleet.run(15 * SECOND)
    change(fleet, range(entries), b"a")
    wait_for_convergence(fleet)
    return fleet


def change(fleet: lab.Fleet, numbers: range, fill: bytes) -> None:
    """Write the numbered entries at the first member, in batches, with `fill` as their content."""
    owner = fleet.nodes["h0/i0"]
    for at, number in enumerate(numbers):
        owner.copies.put(f"k{number:06}", fill * VALUE_BYTES, fleet.now)
        if at % BATCH_ENTRIES == BATCH_ENTRIES - 1:
            fleet.perform(owner, owner.copies._take_actions())
            fleet.arm(owner)
            fleet.run(fleet.now + 2_000)
    fleet.perform(owner, owner.copies._take_actions())
    fleet.arm(owner)


def wait_for_convergence(fleet: lab.Fleet, timeout_s: int = 600) -> float:
    """Run until all members hold the same entries; return the virtual seconds it took.

    Exits the program if that takes longer than `timeout_s` virtual seconds.
    """
    started_at = fleet.now
    while fleet.unsettled_reason():
        if fleet.now - started_at > timeout_s * SECOND:
            raise SystemExit(f"not converged: {fleet.unsettled_reason()}")
        fleet.run(fleet.now + 50_000)
    return (fleet.now - started_at) / SECOND


def catch_up(task: tuple[int, int]) -> str:
    """Measure how a member catches up after an absence; return one table row.

    The member keeps its disk while it is away, and the given percentage of the entries changes meanwhile.
    With 100 percent it comes back without its disk instead.
    """
    entries, percent = task
    fleet = fleet_with_entries(entries, 4)
    if percent < 100:
        fleet.kill("h1/i0")
        fleet.run(fleet.now + SECOND)
        change(fleet, range(entries * percent // 100), b"b")
        wait_for_convergence(fleet)
        fleet.run(fleet.now + SECOND)
    fleet.sent.clear()
    fleet.restart("h1/i0", "none" if percent == 100 else "kept")
    seconds = wait_for_convergence(fleet)
    moved = sum(count for pair, count in fleet.sent.items() if "h1/i0" in pair)
    all_bytes = sum(
        entry_size(item)
        for book in fleet.nodes["h0/i0"].copies.replicas.values()
        for item in book.after(0, "")
    )
    return f"| {entries} | {percent}% | {moved:,} | {100 * moved / all_bytes:.2f}% | {seconds:.1f} s |"


def table(sizes: list[int]) -> None:
    """Print the catch-up table for each number of entries and for 0, 1, 10 and 100 percent changed."""
    print("| entries | difference | bytes to and from it | of the whole | until level |")
    print("| --- | --- | --- | --- | --- |")
    rows = [(entries, percent) for entries in sizes for percent in (0, 1, 10, 100)]
    with multiprocessing.Pool(os.cpu_count()) as pool:
        for row in pool.imap(catch_up, rows):
            print(row, flush=True)


def measure_propagation(members: int) -> str:
    """Return one table row: how long a change takes to reach all members, and the idle traffic."""
    fleet = lab.Fleet(members, 1, DEFAULT_SETTINGS)
    fleet.registry_down = {host_of(name) for name in fleet.nodes}
    fleet.run(20 * SECOND)
    wait_for_convergence(fleet)
    waits = []
    for number in range(5):
        owner = fleet.nodes[f"h{number}/i0"]
        owner.copies.put("k", b"%d" % number, fleet.now)
        fleet.perform(owner, owner.copies._take_actions())
        fleet.arm(owner)
        started_at = fleet.now
        while fleet.unsettled_reason():
            fleet.run(fleet.now + 10_000)
        waits.append((fleet.now - started_at) / SECOND)
    fleet.sent.clear()
    fleet.run(fleet.now + 20 * SECOND)
    idle_rate = sum(fleet.sent.values()) / members / 20
    return f"| {members} | {sorted(waits)[2]:.2f} s | {max(waits):.2f} s | {idle_rate:.0f} |"


def main() -> None:
    """Run the chosen simulation; exit with 1 if a violation was found."""
    parser = argparse.ArgumentParser(description="Simulate replicated state in memory")
    parser.add_argument("word", choices=("seeds", "explore", "table", "fleet"))
    parser.add_argument("--depth", type=int, default=4)
    parser.add_argument("--entries", default="1000,10000,100000")
    parser.add_argument("--members", default="9,24,64")
    parser.add_argument("--count", type=int, default=1_000)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--plant", choices=sorted(lab.DEFECTS), default="")
    args = parser.parse_args()
    if args.word == "explore":
        found = explore(args.depth)
        print(f"{found.states} states to depth {found.depth}: {found.violation or 'none broken'}")
        raise SystemExit(bool(found.violation))
    if args.word == "table":
        table([int(item) for item in args.entries.split(",")])
        return
    if args.word == "fleet":
        print("| members | a change at all, median | worst of five | bytes a second and member at rest |")
        print("| --- | --- | --- | --- |")
        for members in args.members.split(","):
            print(measure_propagation(int(members)), flush=True)
        return
    raise SystemExit(1 if seeds(args.count, args.first, args.plant) and not args.plant else 0)


if __name__ == "__main__":
    main()
