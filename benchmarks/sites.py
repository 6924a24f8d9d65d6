"""Simulate partner sites in memory and measure route exchange and lookup.

python -m benchmarks.sites seeds --count 10000 --first 20000
python -m benchmarks.sites explore --depth 5
python -m benchmarks.sites table --sites 4,64,512
python -m benchmarks.sites request
"""

from __future__ import annotations

import argparse
import multiprocessing
import os
import time
import traceback
from random import Random

from sorrelfront.decisions.sites.offers import Relation
from sorrelfront.decisions.sites.routes import Border, OfferConfig, Partner, Settings
from sorrelfront.decisions.sites.terms import terms
from sorrelfront.lab.sites.explorer import explore
from sorrelfront.lab.sites.routes import SECOND, Simulation, keys

MAX_ROUNDS = 64
LOOKUPS = 200_000  # lookups that the cost of one is averaged over


def run_seed(seed: int) -> tuple[int, list[str], int, int, int, int]:
    """Simulate one seed.

    Returns the seed, the violations found (or the traceback of an exception), the numbers of requests
    sent between sites, served, and withheld, and the time until the routes settled in microseconds.
    """
    world = Simulation(seed)
    try:
        world.run_scenario()
    except Exception:
        world.breaches.append(traceback.format_exc(limit=-2))
    return seed, world.breaches, len(world.sent), len(world.served), world.sent_via_hostile, world.settled_us


def seeds(count: int, first: int, jobs: int) -> int:
    """Run `count` seeds, print the first ten failures and a summary, and return the number of failures."""
    broken = sent = served = withheld = slowest = 0
    with multiprocessing.Pool(jobs) as pool:
        for seed, found, out, done, late, settled in pool.imap_unordered(
            run_seed, range(first, first + count), 8
        ):
            sent, served, withheld = sent + out, served + done, withheld + late
            slowest = max(slowest, settled)
            broken += bool(found)
            if found and broken <= 10:
                print(f"seed {seed}: {found[0][:300]}", flush=True)
    print(
        f"{count} seeds, {broken} broken; {sent} requests sent between sites, {served} served, {withheld} by "
        f"what one hostile site alone had told; settled after {slowest / 1e6:g} s at the most"
    )
    return broken


def explore_topologies(depth: int) -> int:
    """Explore every order of events up to a depth, for a line and a triangle; return the failures."""
    broken = 0
    for triangle in (False, True):
        found = explore(depth, triangle=triangle)
        broken += bool(found.violation)
        shape = "triangle" if triangle else "line"
        print(f"{shape}: {found.states} states to depth {found.depth}; {found.violation or 'none broken'}")
    return broken


def hierarchy(count: int, seed: int) -> dict[str, dict[str, Relation]]:
    """Return the links of `count` sites, by site and neighbour.

    Each site but the first has one or two providers among those before it; a few sites also have a peer.
    """
    random = Random(seed)
    found: dict[str, dict[str, Relation]] = {f"s{at}": {} for at in range(count)}

    def link(one: int, other: int, relation: Relation) -> None:
        found[f"s{one}"][f"s{other}"] = relation
        found[f"s{other}"][f"s{one}"] = relation.inverse

    for at in range(1, count):
        for provider in set(random.choices(range(max(0, at // 3) + 1), k=random.choice((1, 2)))):
            link(provider, at, Relation.CUSTOMER)
        if at > 2 and random.random() < 0.2:
            other = random.randrange(1, at)
            if f"s{other}" not in found[f"s{at}"]:
                link(other, at, Relation.PEER)
    return found


def measure_convergence(count: int) -> None:
    """Measure how many rounds of queries the routes of `count` sites take to settle, and print it.

    Each site has one gateway and lends one offer to all sites, which may pass it on. Also prints the
    number of routes that a border holds then, and the CPU time.
    """
    links = hierarchy(count, 1)
    sign, verify = keys(list(links))
    offer = OfferConfig("x", terms(None, None, ["look"], left_ms=600_000))
    borders: dict[str, Border] = {}
    for name, neighbours in links.items():
        border = borders[name] = Border(
            name, f"{name}/i", name, sign[name], verify, (1, 1), 0, Settings(SECOND, 60 * SECOND)
        )
        others = [other for other in links if other != name]
        known = [
            Partner(other, neighbours.get(other, Relation.PEER), 1, frozenset(), other in neighbours)
            for other in others
        ]
        border.configure(known, [offer], 0)
        for other in neighbours:
            border.add_peer(other, other)
    started_at, now, rounds, chains = time.perf_counter(), 0, 0, 0
    while rounds < MAX_ROUNDS:
        rounds += 1
        now += SECOND
        before = [border.table_version for border in borders.values()]
        chains = 0
        for name, border in borders.items():
            for peer in list(border.peers):
                tell = borders[peer].on_query(name, border.query(peer, now), b"", now)
                assert tell is not None
                chains += len(tell.chains or ())
                border.on_advertisement(peer, tell, now)
        if before == [border.table_version for border in borders.values()]:
            break
    duration_s = time.perf_counter() - started_at
    routes = [len(border.table) for border in borders.values()]
    print(
        f"{count} sites, {sum(map(len, links.values())) // 2} links: settled after {rounds - 1} rounds; "
        f"{sum(routes) / count:.1f} routes a border, {max(routes)} at most; {duration_s:.1f} s of one core, "
        f"{duration_s / rounds / count * 1e3:.2f} ms a border and round"
    )


def measure_lookup() -> None:
    """Print the cost of a request that finds no route, and of one that finds a route."""
    sign, verify = keys(["a", "b"])
    a = Border("a", "a/i", "a", sign["a"], verify, (1, 1), 0, Settings())
    b = Border("b", "b/i", "b", sign["b"], verify, (1, 1), 0, Settings())
    a.configure([Partner("b", Relation.PEER)], [], 0)
    b.configure(
        [Partner("a", Relation.PEER)], [OfferConfig("x", terms(None, [], ["look"], left_ms=600_000))], 0
    )
    a.add_peer("b", "b")
    tell = b.on_query("a", a.query("b", 0), b"", 0)
    assert tell is not None
    a.on_advertisement("b", tell, 0)
    for cls, what in (("pay", "no way"), ("look", "a way")):
        started_at = time.perf_counter()
        for _ in range(LOOKUPS):
            a.best_routes(cls, 1)
        print(f"{what}: {(time.perf_counter() - started_at) / LOOKUPS * 1e6:.2f} us a request")


def main() -> int:
    """Run the chosen benchmark; return 1 if a violation was found."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    subparsers = parser.add_subparsers(dest="word", required=True)
    seeds_parser = subparsers.add_parser("seeds")
    seeds_parser.add_argument("--count", type=int, default=1_000)
    seeds_parser.add_argument("--first", type=int, default=0)
    seeds_parser.add_argument("--jobs", type=int, default=os.cpu_count())
    subparsers.add_parser("explore").add_argument("--depth", type=int, default=4)
    subparsers.add_parser("table").add_argument("--sites", default="4,64,512")
    subparsers.add_parser("request")
    args = parser.parse_args()
    if args.word == "seeds":
        return min(1, seeds(args.count, args.first, args.jobs))
    if args.word == "explore":
        return min(1, explore_topologies(args.depth))
    if args.word == "table":
        for count in args.sites.split(","):
            measure_convergence(int(count))
    else:
        measure_lookup()
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
