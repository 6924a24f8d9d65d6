"""Partner sites in memory and measured.

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
from sorrelfront.decisions.sites.routes import Border, Lent, Partner, Settings
from sorrelfront.decisions.sites.terms import terms
from sorrelfront.lab.sites.explorer import explore
from sorrelfront.lab.sites.routes import SECOND, World, keys

ROUNDS_MOST = 64
WAYS = 200_000  # looked up for the cost of one


def one(seed: int) -> tuple[int, list[str], int, int, int, int]:
    world = World(seed)
    try:
        world.play()
    except Exception:
        world.breaches.append(traceback.format_exc(limit=-2))
    return seed, world.breaches, len(world.sent), len(world.served), world.withheld, world.settled_us


def seeds(count: int, first: int, jobs: int) -> int:
    broken = sent = served = withheld = slowest = 0
    with multiprocessing.Pool(jobs) as pool:
        for seed, found, out, done, late, settled in pool.imap_unordered(one, range(first, first + count), 8):
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


def orders(depth: int) -> int:
    broken = 0
    for triangle in (False, True):
        found = explore(depth, triangle=triangle)
        broken += bool(found.broken)
        shape = "triangle" if triangle else "line"
        print(f"{shape}: {found.states} states to depth {found.depth}; {found.broken or 'none broken'}")
    return broken


def hierarchy(count: int, seed: int) -> dict[str, dict[str, Relation]]:
    """So many sites: each but the first has one or two providers among those before it, a few are peers."""
    random = Random(seed)
    found: dict[str, dict[str, Relation]] = {f"s{at}": {} for at in range(count)}

    def link(one: int, other: int, what: Relation) -> None:
        found[f"s{one}"][f"s{other}"] = what
        found[f"s{other}"][f"s{one}"] = what.other_way

    for at in range(1, count):
        for above in set(random.choices(range(max(0, at // 3) + 1), k=random.choice((1, 2)))):
            link(above, at, Relation.CUSTOMER)
        if at > 2 and random.random() < 0.2:
            other = random.randrange(1, at)
            if f"s{other}" not in found[f"s{at}"]:
                link(other, at, Relation.PEER)
    return found


def settled(count: int) -> None:
    """One gateway a site, each lending one thing to all, to be passed on by all: rounds of asking until
    nothing changes, and what a border holds then."""
    links = hierarchy(count, 1)
    sign, verify = keys(list(links))
    offer = Lent("x", terms(None, None, ["look"], left_ms=600_000))
    borders: dict[str, Border] = {}
    for name, near in links.items():
        border = borders[name] = Border(
            name, f"{name}/i", name, sign[name], verify, (1, 1), 0, Settings(SECOND, 60 * SECOND)
        )
        others = [other for other in links if other != name]
        known = [
            Partner(other, near.get(other, Relation.PEER), 1, frozenset(), other in near) for other in others
        ]
        border.configure(known, [offer], 0)
        for other in near:
            border.peer(other, other)
    began, now, rounds, told = time.perf_counter(), 0, 0, 0
    while rounds < ROUNDS_MOST:
        rounds += 1
        now += SECOND
        before = [border.changed for border in borders.values()]
        told = 0
        for name, border in borders.items():
            for peer in list(border.peers):
                tell = borders[peer].on_ask(name, border.ask(peer, now), b"", now)
                assert tell is not None
                told += len(tell.chains or ())
                border.on_tell(peer, tell, now)
        if before == [border.changed for border in borders.values()]:
            break
    took = time.perf_counter() - began
    routes = [len(border.table) for border in borders.values()]
    print(
        f"{count} sites, {sum(map(len, links.values())) // 2} links: settled after {rounds - 1} rounds; "
        f"{sum(routes) / count:.1f} routes a border, {max(routes)} at most; {took:.1f} s of one core, "
        f"{took / rounds / count * 1e3:.2f} ms a border and round"
    )


def request() -> None:
    """What a request costs that finds no way, and one that finds one."""
    sign, verify = keys(["a", "b"])
    a = Border("a", "a/i", "a", sign["a"], verify, (1, 1), 0, Settings())
    b = Border("b", "b/i", "b", sign["b"], verify, (1, 1), 0, Settings())
    a.configure([Partner("b", Relation.PEER)], [], 0)
    b.configure([Partner("a", Relation.PEER)], [Lent("x", terms(None, [], ["look"], left_ms=600_000))], 0)
    a.peer("b", "b")
    tell = b.on_ask("a", a.ask("b", 0), b"", 0)
    assert tell is not None
    a.on_tell("b", tell, 0)
    for cls, what in (("pay", "no way"), ("look", "a way")):
        began = time.perf_counter()
        for _ in range(WAYS):
            a.ways(cls, 1)
        print(f"{what}: {(time.perf_counter() - began) / WAYS * 1e6:.2f} us a request")


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    words = parser.add_subparsers(dest="word", required=True)
    word = words.add_parser("seeds")
    word.add_argument("--count", type=int, default=1_000)
    word.add_argument("--first", type=int, default=0)
    word.add_argument("--jobs", type=int, default=os.cpu_count())
    words.add_parser("explore").add_argument("--depth", type=int, default=4)
    words.add_parser("table").add_argument("--sites", default="4,64,512")
    words.add_parser("request")
    told = parser.parse_args()
    if told.word == "seeds":
        return min(1, seeds(told.count, told.first, told.jobs))
    if told.word == "explore":
        return min(1, orders(told.depth))
    if told.word == "table":
        for count in told.sites.split(","):
            settled(int(count))
    else:
        request()
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
