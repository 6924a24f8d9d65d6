"""Measure how faults of ephemeral nodes affect service, and the load of a fleet on the ZooKeeper service.

    .venv/bin/python -m benchmarks.membership cases [--seconds 20] [--case NAME ...]
    .venv/bin/python -m benchmarks.membership asked [--fleets 1,10,50]
    .venv/bin/python -m benchmarks.membership seats

`cases` runs a daemon of two instances between simulated clients and servers. Each case is paired with a
run of the same events in which an HTTP registry reports the truth at once. Lost, doubled, late and cold
requests are counted from the records of clients and servers. `asked` counts the requests that the sources
of a fleet send to the simulated service. `seats` is pure arithmetic: how many of its servers an instance
changes when one joins or leaves.
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
from sorrelfront.decisions import seat_allocation
from sorrelfront.decisions.fleet.placement import ring_positions as view_places
from sorrelfront.decisions.interface import State
from sorrelfront.decisions.membership import Answering
from sorrelfront.lab.demo import Demo, Step
from sorrelfront.lab.listing import EphemeralListing
from sorrelfront.lab.scripted_servers import Server
from sorrelfront.lab.zookeeper.ensemble import Ensemble
from sorrelfront.lab.zookeeper.registrar import Registrar
from sorrelfront.lists import parse_address
from sorrelfront.messages import Update
from sorrelfront.net import zookeeper as net
from sorrelfront.sources.zookeeper import EphemeralNodeSource, SourceSettings

PATH = "/services/bench"
SERVERS = 30
NAME_SETS = 200  # random sets of names that means are taken over
SESSION_S = 2.0
SETTLE_S = 1.0  # until the last of several changes has been read

# Cases: events of the servers happen in both runs, faults of the service only in the ZooKeeper run


def _ephemeral_listing(demo: Demo) -> EphemeralListing | None:
    """Return the ephemeral listing, or None in the run with the HTTP registry."""
    return demo.listing if isinstance(demo.listing, EphemeralListing) else None


def service_fault(fault: Callable[[EphemeralListing], Any]) -> Callable[[Demo], Any]:
    """Return a step that applies a fault to the ephemeral listing; it does nothing in the registry run."""

    def step(demo: Demo) -> Any:
        listing = _ephemeral_listing(demo)
        return None if listing is None else fault(listing)

    return step


async def flap(listing: EphemeralListing, name: str, times: int, every_s: float) -> None:
    """Expire the session of one server repeatedly."""
    for _ in range(times):
        listing.ensemble.expire(listing.registrar.servers[name].session.id)
        await asyncio.sleep(every_s)


async def flap_all(listing: EphemeralListing) -> None:
    """Expire the sessions of all servers twice, half a second apart."""
    for _ in range(2):
        listing.expire_all()
        await asyncio.sleep(0.5)


async def stall(listing: EphemeralListing, seconds: float, and_expire: bool) -> None:
    """Stall the service for `seconds`; optionally expire all sessions before it goes on."""
    listing.ensemble.stall()
    await asyncio.sleep(seconds)
    if and_expire:
        for number in [*listing.ensemble.tree.sessions]:
            listing.ensemble.expire(number)
    listing.ensemble.resume()


async def restore(listing: EphemeralListing) -> None:
    """Restore the service without any data, then create the parent nodes again after 2 s."""
    listing.ensemble.restore_from_nothing()
    await asyncio.sleep(2.0)
    for depth in (1, 2):
        node = "/".join(PATH_OF_DEMO.split("/")[: depth + 1])
        listing.ensemble.tree.create(node, b"", listing.ensemble.tree.nodes["/"].acls, 0, 0, set(), 0)


async def lag(listing: EphemeralListing) -> None:
    """Let an ensemble member fall behind, and disconnect all clients so that they reconnect."""
    listing.ensemble.members[0].freeze()
    await asyncio.sleep(0.5)
    for member in listing.ensemble.members:
        member.drop()
    await asyncio.sleep(2.0)
    listing.ensemble.members[0].thaw()


async def crash_server(demo: Demo) -> None:
    """Crash a server.

    Its process ends at once; its session is silent from then on and expires later.
    """
    demo.servers["b2"].stop()
    listing = _ephemeral_listing(demo)
    if listing is not None:
        listing.registrar.crash("b2")
    else:
        await demo.listing.drain("b2")


async def reuse_address(demo: Demo) -> None:
    """Let a server leave and start another one at its address at once."""
    old = demo.servers["b4"]
    host, _, port = old.address.rpartition(":")
    old.stop()
    listing = _ephemeral_listing(demo)
    if listing is not None:
        await listing.registrar.deregister("b4")
    else:
        await demo.listing.drain("b4")
    await old.server.wait_closed()
    server = demo.servers["b9"] = Server("b9", demo.ledger)
    await server.start(host, int(port))
    server.mark_started()
    await demo.listing.add("b9", server.address, cold=True)


async def drain_server(demo: Demo) -> None:
    """Drain one server."""
    await demo.drain("b1")


PATH_OF_DEMO = "/services/demo"
CASES: dict[str, tuple[Step, ...]] = {
    "one session expires, its server answers": (
        Step(0.3, "b0", service_fault(
            lambda listing: listing.ensemble.expire(listing.registrar.servers["b0"].session.id)
        )),
    ),
    "a server dies, its session lives on": (Step(0.3, "b2 dies", crash_server),),
    "the list flaps twice in a second": (Step(0.3, "all", service_fault(flap_all)),),
    "one child flaps for most of the run": (
        Step(0.2, "b3", service_fault(lambda listing: flap(listing, "b3", 12, 1.0))),
    ),
    "all vanish, one real drain among them": (
        Step(0.3, "b1 drains", drain_server),
        Step(0.31, "all", service_fault(lambda listing: listing.expire_all())),
    ),
    "the service stalls for 4 s, a drain behind it": (
        Step(0.2, "stall", service_fault(lambda listing: stall(listing, 4.0, False))),
        Step(0.6, "b1 drains", drain_server),
    ),
    "the service stalls and expires everybody": (
        Step(0.2, "stall", service_fault(lambda listing: stall(listing, 3.0, True))),
        Step(0.6, "b1 drains", drain_server),
    ),
    "a member lags and everybody comes again": (
        Step(0.2, "lag", service_fault(lag)), Step(0.4, "b1 drains", drain_server),
    ),
    "the service is restored from nothing": (
        Step(0.2, "restored", service_fault(restore)), Step(0.8, "b1 drains", drain_server),
    ),
    "an address is reused at once": (Step(0.3, "b4, b9", reuse_address),),
}  # fmt: skip


async def run_case(steps: tuple[Step, ...], kind: str, seconds: float, seed: int) -> dict[str, Any]:
    """Run the daemon with the given steps; return the figures and whether its log has a traceback."""
    with tempfile.TemporaryDirectory(prefix="sorrelfront-") as folder:
        demo = Demo(Path(folder), seconds, 2, seed, kind)
        demo.steps = steps
        figures = await demo.run(lambda _: None)
        figures["traceback"] = "Traceback" in demo.log.read_text()
        return figures


def cases(args: argparse.Namespace) -> dict[str, Any]:
    """Run the chosen cases with both kinds of listing and return their figures."""
    results: dict[str, Any] = {}
    for name, steps in CASES.items():
        if args.case and not any(part in name for part in args.case):
            continue
        row: dict[str, Any] = {}
        for kind in ("registry", "zookeeper"):
            figures = asyncio.run(run_case(steps, kind, args.seconds, args.seed))
            share = 100 * figures["served"] / max(1, figures["offered"])
            row[kind] = {"served_percent": round(share, 2), **{
                key: figures[key] for key in ("offered", "lost", "doubled", "late_drains", "cold_overruns",
                                              "p99_ms", "daemon_exit", "traceback")}}  # fmt: skip
        row["served_less_percent"] = round(
            row["registry"]["served_percent"] - row["zookeeper"]["served_percent"], 2
        )
        results[name] = row
        print(json.dumps({name: row}), file=sys.stderr, flush=True)
    return results


# Requests to the service


class ObservedSource:
    """Run the membership source of one instance in this process."""

    def __init__(self, hosts: str, seed: int) -> None:
        self.ready: set[str] = set()
        self.started_us: dict[str, int] = {}
        self.has_place = asyncio.Event()
        addresses = tuple(parse_address(host) for host in hosts.split(","))
        self.source = EphemeralNodeSource(
            SourceSettings(net.SessionSettings(addresses, SESSION_S), PATH, "/fleet/bench"),
            seed, f"i{seed}", Clock(), lambda *_: Answering.UNKNOWN, self._on_update,
            lambda _: self.has_place.set(),
        )  # fmt: skip
        self.source.subscribe()

    def _on_update(self, update: Update) -> None:
        for backend in update.backends:
            self.started_us[backend.id] = backend.started_us
            if backend.state is State.READY:
                self.ready.add(backend.id)
            else:
                self.ready.discard(backend.id)


async def count_requests(fleet: int) -> dict[str, Any]:
    """Count the requests of a fleet at start, at rest, during a release and after session loss."""
    ensemble = await Ensemble(3).start()
    registrar = Registrar(ensemble.hosts, PATH, SESSION_S)
    results: dict[str, Any] = {}
    try:
        await registrar.create_path()
        for at in range(SERVERS):
            await registrar.register(f"b{at}", f"127.0.0.1:{9_000 + at}")
        servers_connections, servers_watches = ensemble.open, ensemble.watches
        before = ensemble.request_counts
        sources = [ObservedSource(ensemble.hosts, seed) for seed in range(fleet)]
        await _wait_until(
            lambda: all(len(item.ready) == SERVERS and item.has_place.is_set() for item in sources)
        )
        await asyncio.sleep(1.0)
        results["start"] = _without_pings(ensemble.request_counts - before)
        results["connections"] = ensemble.open - servers_connections
        results["watches"] = ensemble.watches - servers_watches
        before = ensemble.request_counts
        await asyncio.sleep(10.0)
        results["at rest, 10 s, all"] = _without_pings(ensemble.request_counts - before)
        results["at rest, a second"] = round(sum(results["at rest, 10 s, all"].values()) / 10, 2)
        before, started_at = ensemble.request_counts, asyncio.get_running_loop().time()
        for at in range(SERVERS):
            await registrar.deregister(f"b{at}")
            await registrar.register(f"c{at}", f"127.0.0.1:{9_100 + at}")
            await asyncio.sleep(0.1)
        wanted = {f"c{at}" for at in range(SERVERS)}
        await _wait_until(lambda: all(item.ready == wanted for item in sources))
        elapsed_s = asyncio.get_running_loop().time() - started_at
        results["release of 30, all"] = _without_pings(ensemble.request_counts - before)
        results["release of 30, a second"] = round(sum(results["release of 30, all"].values()) / elapsed_s, 1)
        before = ensemble.request_counts
        for at in range(SERVERS):  # as processes that are killed and started again
            registrar.crash(f"c{at}")
            await registrar.register(f"c{at}", f"127.0.0.1:{9_200 + at}", started_ms=2_000)
            await asyncio.sleep(0.1)
        await asyncio.sleep(SETTLE_S)
        results["restart of 30 under their nodes, all"] = _without_pings(ensemble.request_counts - before)
        results["restart of 30, read by all"] = all(
            item.started_us[f"c{at}"] == 2_000_000 for item in sources for at in range(SERVERS)
        )
        for item in sources:
            assert item.source._session is not None
            ensemble.expire(item.source._session.id)
        before = ensemble.request_counts
        started_at = asyncio.get_running_loop().time()
        busiest, last = 0, 0
        while asyncio.get_running_loop().time() - started_at < 3.0:
            await asyncio.sleep(0.1)
            now = sum(_without_pings(ensemble.request_counts - before).values())
            busiest, last = max(busiest, now - last), now
        results["all sessions lost, all"] = _without_pings(ensemble.request_counts - before)
        results["all sessions lost, most in 0.1 s"] = busiest
        for item in sources:
            item.source.close()
    finally:
        await registrar.close()
        await ensemble.stop()
    return results


def _without_pings(asked: Counter[str]) -> dict[str, int]:
    """Return the requests except pings, of which each session sends a few per session timeout."""
    return {name: count for name, count in sorted(asked.items()) if name != "PING"}


async def _wait_until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(60):
        while not condition():
            await asyncio.sleep(0.01)


def measure_requests(args: argparse.Namespace) -> dict[str, Any]:
    """Return the requests for each size of fleet."""
    return {f"fleet of {size}": asyncio.run(count_requests(size)) for size in args.fleets}


# Seats


def count_changed(before: list[int], after: list[int], size: int, wanted: int) -> int:
    """Count the servers that instances newly get when their slices move to other starting points."""

    def servers(begin: int) -> set[int]:
        start = begin * size // seat_allocation.RING_POINTS
        return {(start + step) % size for step in range(wanted)}

    return sum(len(servers(new) - servers(old)) for old, new in zip(before, after, strict=True))


def seats(_: argparse.Namespace) -> dict[str, Any]:
    """Compare how many connections change when an instance joins or leaves.

    Fifty instances have slices of 20 of 500 servers. Counts the connections that one more or one less
    instance costs the others, with positions numbered out of N (as set in a file) and with seats.
    """
    size, wanted, count = 500, 20, 50

    def numbered(many: int) -> list[int]:
        return [at * seat_allocation.RING_POINTS // many for at in range(many)]

    seated = [seat_allocation.ring_point(at) for at in range(count)]
    begins = [place * size // seat_allocation.RING_POINTS for place in seated]
    load = Counter((begin + step) % size for begin in begins for step in range(wanted))
    left = [*seated[:17], *seated[18:]]
    moved = [*left[:-1], seated[17]]  # the highest-numbered instance has taken the freed seat 17
    return {
        "numbered, one joins": count_changed(numbered(50), numbered(51)[:50], size, wanted),
        "numbered, one leaves": count_changed(numbered(50)[:49], numbered(49), size, wanted),
        "seated, one joins": count_changed(seated, seated, size, wanted),
        "seated, one leaves": count_changed(left, moved, size, wanted),
        "most instances at a server, seated": max(load.values()),
        "least instances at a server, seated": min(load.get(at, 0) for at in range(size)),
        "even": count * wanted / size,
        "gaps of an even share, least and most": [
            round(gap, 2) for gap in seat_allocation.gap_ratios(range(count))
        ],
        **seats_by_view(size, wanted, count),
    }


def seats_by_view(size: int, wanted: int, count: int) -> dict[str, Any]:
    """Compare the same for the places that members derive from their views; means over NAME_SETS sets."""
    joins, leaves, most, least, gaps = 0, 0, 0.0, 0.0, []
    for set_number in range(NAME_SETS):
        names = [f"{set_number}/i{number}" for number in range(count + 1)]
        now, more, less = (view_places(names[:many]) for many in (count, count + 1, count - 1))
        joins += count_changed([now[name] for name in now], [more[name] for name in now], size, wanted)
        leaves += count_changed([now[name] for name in less], [less[name] for name in less], size, wanted)
        begins = [point * size // seat_allocation.RING_POINTS for point in now.values()]
        load = Counter((begin + step) % size for begin in begins for step in range(wanted))
        most += max(load.values()) / NAME_SETS
        least += min(load.get(at, 0) for at in range(size)) / NAME_SETS
        points = sorted(now.values())
        ring = [*points, points[0] + seat_allocation.RING_POINTS]
        gaps += [(b - a) * count / seat_allocation.RING_POINTS for a, b in pairwise(ring)]
    return {
        "by the view, one joins": round(joins / NAME_SETS, 1),
        "by the view, one leaves": round(leaves / NAME_SETS, 1),
        "most instances at a server, by the view": round(most, 2),
        "least instances at a server, by the view": round(least, 2),
        "gaps of an even share by the view, least and most": [round(min(gaps), 2), round(max(gaps), 2)],
    }  # fmt: skip


def main() -> int:
    """Run the chosen benchmark and print its results as one JSON object."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("what", choices=("cases", "asked", "seats"))
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--case", action="append", help="run only the cases whose name contains this text")
    parser.add_argument(
        "--fleets", type=lambda text: [int(item) for item in text.split(",")], default=[1, 10, 50]
    )
    args = parser.parse_args()
    print(json.dumps({"cases": cases, "asked": measure_requests, "seats": seats}[args.what](args), indent=1))
    return 0


if __name__ == "__main__":
    sys.exit(main())
