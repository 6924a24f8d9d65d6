"""Ephemeral nodes in trouble: what it costs the served, and what a fleet asks of the service.

    .venv/bin/python -m benchmarks.membership cases [--seconds 20] [--case NAME ...]
    .venv/bin/python -m benchmarks.membership asked [--fleets 1,10,50]
    .venv/bin/python -m benchmarks.membership seats

`cases` runs a daemon of two instances between stand-ins, each case beside a run of the same course in which
an HTTP registry tells the truth at once. Lost, doubled, late and cold are counted from the books of clients
and servers. `asked` counts at the stand-in service what sources of a fleet ask of it. `seats` is arithmetic:
how many of its servers an instance changes when one joins or leaves.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import sys
import tempfile
from collections import Counter
from collections.abc import Callable
from itertools import pairwise
from pathlib import Path
from typing import Any

from sorrelfront.agent import Clock
from sorrelfront.decisions import places
from sorrelfront.decisions.fleet.seats import places as view_places
from sorrelfront.decisions.interface import State
from sorrelfront.decisions.membership import Answering
from sorrelfront.lab.demo import Demo, Step
from sorrelfront.lab.listing import EphemeralListing
from sorrelfront.lab.shop import Server
from sorrelfront.lab.zookeeper.ensemble import Ensemble
from sorrelfront.lab.zookeeper.registrar import Registrar
from sorrelfront.lists import parse_address
from sorrelfront.messages import Update
from sorrelfront.net import zookeeper as net
from sorrelfront.sources.zookeeper import Ephemeral, Terms

PATH = "/services/bench"
SERVERS = 30
SETS = 200  # of names, that means are taken over
SESSION_S = 2.0

# Cases: what happens to the servers in both runs, and what happens to the service in one


def _ephemeral(played: Demo) -> EphemeralListing | None:
    """None in the run that tells the truth."""
    return played.listing if isinstance(played.listing, EphemeralListing) else None


def service(do: Callable[[EphemeralListing], Any]) -> Callable[[Demo], Any]:
    """A step of the service's trouble; the truth has none."""

    def step(played: Demo) -> Any:
        listing = _ephemeral(played)
        return None if listing is None else do(listing)

    return step


async def flap(listing: EphemeralListing, name: str, times: int, every_s: float) -> None:
    for _ in range(times):
        listing.ensemble.expire(listing.registrar.servers[name].session.id)
        await asyncio.sleep(every_s)


async def flap_all(listing: EphemeralListing) -> None:
    for _ in range(2):
        listing.crowd()
        await asyncio.sleep(0.5)


async def stalled(listing: EphemeralListing, seconds: float, and_expire: bool) -> None:
    listing.ensemble.stall()
    await asyncio.sleep(seconds)
    if and_expire:
        for number in [*listing.ensemble.tree.sessions]:
            listing.ensemble.expire(number)
    listing.ensemble.go_on()


async def restored(listing: EphemeralListing) -> None:
    listing.ensemble.restore_from_nothing()
    await asyncio.sleep(2.0)
    for depth in (1, 2):
        node = "/".join(PATH_OF_DEMO.split("/")[: depth + 1])
        listing.ensemble.tree.create(node, b"", listing.ensemble.tree.nodes["/"].acls, 0, 0, set(), 0)


async def lagging(listing: EphemeralListing) -> None:
    """A member falls behind, and everybody is cut off and comes again."""
    listing.ensemble.members[0].freeze()
    await asyncio.sleep(0.5)
    for member in listing.ensemble.members:
        member.drop()
    await asyncio.sleep(2.0)
    listing.ensemble.members[0].thaw()


async def dies(played: Demo) -> None:
    """The process ends at once; its session is silent from then on, and expires later."""
    played.servers["b2"].stop()
    listing = _ephemeral(played)
    if listing is not None:
        listing.registrar.crash("b2")
    else:
        await played.listing.drain("b2")


async def reused(played: Demo) -> None:
    """A server leaves, and another has its address at once."""
    old = played.servers["b4"]
    host, _, port = old.address.rpartition(":")
    old.stop()
    listing = _ephemeral(played)
    if listing is not None:
        await listing.registrar.leave("b4")
    else:
        await played.listing.drain("b4")
    await old.server.wait_closed()
    server = played.servers["b9"] = Server("b9", played.book)
    await server.start(host, int(port))
    server.begin()
    await played.listing.add("b9", server.address, cold=True)


async def drained(played: Demo) -> None:
    await played.drain("b1")


PATH_OF_DEMO = "/services/demo"
CASES: dict[str, tuple[Step, ...]] = {
    "one session expires, its server answers": (
        Step(0.3, "b0", service(lambda it: it.ensemble.expire(it.registrar.servers["b0"].session.id))),
    ),
    "a server dies, its session lives on": (Step(0.3, "b2 dies", dies),),
    "the list flaps twice in a second": (Step(0.3, "all", service(flap_all)),),
    "one child flaps for most of the run": (
        Step(0.2, "b3", service(lambda it: flap(it, "b3", 12, 1.0))),
    ),
    "all vanish, one real drain among them": (
        Step(0.3, "b1 drains", drained), Step(0.31, "all", service(lambda it: it.crowd())),
    ),
    "the service stalls for 4 s, a drain behind it": (
        Step(0.2, "stall", service(lambda it: stalled(it, 4.0, False))), Step(0.6, "b1 drains", drained),
    ),
    "the service stalls and expires everybody": (
        Step(0.2, "stall", service(lambda it: stalled(it, 3.0, True))), Step(0.6, "b1 drains", drained),
    ),
    "a member lags and everybody comes again": (
        Step(0.2, "lag", service(lagging)), Step(0.4, "b1 drains", drained),
    ),
    "the service is restored from nothing": (
        Step(0.2, "restored", service(restored)), Step(0.8, "b1 drains", drained),
    ),
    "an address is reused at once": (Step(0.3, "b4, b9", reused),),
}  # fmt: skip


async def one(steps: tuple[Step, ...], kind: str, seconds: float, seed: int) -> dict[str, Any]:
    with tempfile.TemporaryDirectory(prefix="sorrelfront-") as folder:
        played = Demo(Path(folder), seconds, 2, seed, kind)
        played.steps = steps
        figures = await played.run(lambda _: None)
        figures["traceback"] = "Traceback" in played.log.read_text()
        return figures


def cases(words: argparse.Namespace) -> dict[str, Any]:
    told: dict[str, Any] = {}
    for name, steps in CASES.items():
        if words.case and not any(part in name for part in words.case):
            continue
        row: dict[str, Any] = {}
        for kind in ("registry", "zookeeper"):
            figures = asyncio.run(one(steps, kind, words.seconds, words.seed))
            share = 100 * figures["served"] / max(1, figures["offered"])
            row[kind] = {"served_percent": round(share, 2), **{
                key: figures[key] for key in ("offered", "lost", "doubled", "late_drains", "cold_overruns",
                                              "p99_ms", "daemon_exit", "traceback")}}  # fmt: skip
        row["served_less_percent"] = round(
            row["registry"]["served_percent"] - row["zookeeper"]["served_percent"], 2
        )
        told[name] = row
        print(json.dumps({name: row}), file=sys.stderr, flush=True)
    return told


# What is asked of the service


class Listener:
    """One instance's source, in this process."""

    def __init__(self, hosts: str, seed: int) -> None:
        self.ready: set[str] = set()
        self.sat = asyncio.Event()
        places_of_it = tuple(parse_address(host) for host in hosts.split(","))
        self.source = Ephemeral(
            Terms(net.Terms(places_of_it, SESSION_S), PATH, "/fleet/bench"),
            seed, f"i{seed}", Clock(), lambda *_: Answering.UNKNOWN, self._hear, lambda _: self.sat.set(),
        )  # fmt: skip
        self.source.subscribe()

    def _hear(self, update: Update) -> None:
        for backend in update.backends:
            if backend.state is State.READY:
                self.ready.add(backend.id)
            else:
                self.ready.discard(backend.id)


async def asked_by(fleet: int) -> dict[str, Any]:
    ensemble = await Ensemble(3).start()
    registrar = Registrar(ensemble.hosts, PATH, SESSION_S)
    told: dict[str, Any] = {}
    try:
        await registrar.make_path()
        for at in range(SERVERS):
            await registrar.register(f"b{at}", f"127.0.0.1:{9_000 + at}")
        servers_connections, servers_watches = ensemble.open, ensemble.watches
        before = ensemble.asked
        listeners = [Listener(ensemble.hosts, seed) for seed in range(fleet)]
        await _until(lambda: all(len(item.ready) == SERVERS and item.sat.is_set() for item in listeners))
        await asyncio.sleep(1.0)
        told["start"] = _reads(ensemble.asked - before)
        told["connections"] = ensemble.open - servers_connections
        told["watches"] = ensemble.watches - servers_watches
        before = ensemble.asked
        await asyncio.sleep(10.0)
        told["at rest, a second"] = round(sum(_reads(ensemble.asked - before).values()) / 10, 2)
        before, began = ensemble.asked, asyncio.get_running_loop().time()
        for at in range(SERVERS):
            await registrar.leave(f"b{at}")
            await registrar.register(f"c{at}", f"127.0.0.1:{9_100 + at}")
            await asyncio.sleep(0.1)
        wanted = {f"c{at}" for at in range(SERVERS)}
        await _until(lambda: all(item.ready == wanted for item in listeners))
        lasted = asyncio.get_running_loop().time() - began
        told["release of 30, all"] = _reads(ensemble.asked - before)
        told["release of 30, a second"] = round(sum(told["release of 30, all"].values()) / lasted, 1)
        for item in listeners:
            assert item.source._session is not None
            ensemble.expire(item.source._session.id)
        before = ensemble.asked
        began = asyncio.get_running_loop().time()
        busiest, last = 0, 0
        while asyncio.get_running_loop().time() - began < 3.0:
            await asyncio.sleep(0.1)
            now = sum(_reads(ensemble.asked - before).values())
            busiest, last = max(busiest, now - last), now
        told["all sessions lost, all"] = _reads(ensemble.asked - before)
        told["all sessions lost, most in 0.1 s"] = busiest
        for item in listeners:
            item.source.close()
    finally:
        await registrar.close()
        await ensemble.stop()
    return told


def _reads(asked: Counter[str]) -> dict[str, int]:
    """Requests but for pings, which each session sends a few of a time-out."""
    return {name: count for name, count in sorted(asked.items()) if name != "PING"}


async def _until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(60):
        while not condition():
            await asyncio.sleep(0.01)


def asked(words: argparse.Namespace) -> dict[str, Any]:
    return {f"fleet of {size}": asyncio.run(asked_by(size)) for size in words.fleets}


# Seats


def changed(before: list[int], after: list[int], size: int, wanted: int) -> int:
    """Servers that instances have anew, of slices that begin at these points."""

    def servers(begin: int) -> set[int]:
        start = begin * size // places.POINTS
        return {(start + step) % size for step in range(wanted)}

    return sum(len(servers(new) - servers(old)) for old, new in zip(before, after, strict=True))


def seats(_: argparse.Namespace) -> dict[str, Any]:
    """Fifty instances with slices of 20 of 500 servers: the connections that one more or one less costs the
    others, by a number of N (as in a file that says so) and by seats."""
    size, wanted, count = 500, 20, 50

    def numbered(many: int) -> list[int]:
        return [at * places.POINTS // many for at in range(many)]

    seated = [places.point(at) for at in range(count)]
    begins = [place * size // places.POINTS for place in seated]
    load = Counter((begin + step) % size for begin in begins for step in range(wanted))
    left = [*seated[:17], *seated[18:]]
    moved = [*left[:-1], seated[17]]  # the highest has taken seat 17, which was given up
    return {
        "numbered, one joins": changed(numbered(50), numbered(51)[:50], size, wanted),
        "numbered, one leaves": changed(numbered(50)[:49], numbered(49), size, wanted),
        "seated, one joins": changed(seated, seated, size, wanted),
        "seated, one leaves": changed(left, moved, size, wanted),
        "most instances at a server, seated": max(load.values()),
        "least instances at a server, seated": min(load.get(at, 0) for at in range(size)),
        "even": count * wanted / size,
        "gaps of an even share, least and most": [round(gap, 2) for gap in places.gaps(range(count))],
        **by_view(size, wanted, count),
    }


def by_view(size: int, wanted: int, count: int) -> dict[str, Any]:
    """The same by the places that members work out from their views; means over 200 sets of names."""
    joins, leaves, most, least, gaps = 0, 0, 0.0, 0.0, []
    for draw in range(SETS):
        names = [f"{draw}/i{number}" for number in range(count + 1)]
        now, more, less = (view_places(names[:many]) for many in (count, count + 1, count - 1))
        joins += changed([now[name] for name in now], [more[name] for name in now], size, wanted)
        leaves += changed([now[name] for name in less], [less[name] for name in less], size, wanted)
        begins = [point * size // places.POINTS for point in now.values()]
        load = Counter((begin + step) % size for begin in begins for step in range(wanted))
        most += max(load.values()) / SETS
        least += min(load.get(at, 0) for at in range(size)) / SETS
        points = sorted(now.values())
        ring = [*points, points[0] + places.POINTS]
        gaps += [(b - a) * count / places.POINTS for a, b in pairwise(ring)]
    return {
        "by the view, one joins": round(joins / SETS, 1), "by the view, one leaves": round(leaves / SETS, 1),
        "most instances at a server, by the view": round(most, 2),
        "least instances at a server, by the view": round(least, 2),
        "gaps of an even share by the view, least and most": [round(min(gaps), 2), round(max(gaps), 2)],
    }  # fmt: skip


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("what", choices=("cases", "asked", "seats"))
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--case", action="append", help="only cases whose name has this in it")
    parser.add_argument(
        "--fleets", type=lambda text: [int(item) for item in text.split(",")], default=[1, 10, 50]
    )
    words = parser.parse_args()
    print(json.dumps({"cases": cases, "asked": asked, "seats": seats}[words.what](words), indent=1))
    return 0


if __name__ == "__main__":
    sys.exit(main())
