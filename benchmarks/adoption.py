"""Kill and restart the supervisor under steady load; start, reload and adopt a large fleet.

    .venv/bin/python -m benchmarks.adoption kills --kills 50 --instances 4 --clients 40
    .venv/bin/python -m benchmarks.adoption size --instances 256
    .venv/bin/python -m benchmarks.adoption servers --servers 10000
    .venv/bin/python -m benchmarks.adoption restart --plays 5

Each prints one JSON object. The exit code is 1 if a request was lost, executed twice or sent late to a
draining server, if a connection was refused, or if the daemon's exit code was not 0.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import os
import random
import signal
import statistics
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

from benchmarks.daemon import resident_mb, summarize_ms
from sorrelfront.lab.http1 import Registry, member
from sorrelfront.lab.load_generator import LOST, LoadGenerator
from sorrelfront.lab.scripted_servers import Ledger, Mode, Server
from tests.daemon.fleet import Fleet

ORPHAN_MS = 120_000


async def start_servers(servers: list[Server]) -> Registry:
    """Start the servers and a registry that lists them; return the registry."""
    registry = await Registry().start()
    for server in servers:
        await server.start()
    registry.members = [member(server.name, server.address) for server in servers]
    return registry


def kill_all(fleet: Fleet) -> None:
    """Kill the supervisor and its orphaned instances with SIGKILL."""
    for pid in [fleet.process.pid, *fleet.orphans()]:
        with contextlib.suppress(ProcessLookupError):
            os.kill(pid, signal.SIGKILL)


async def kills(folder: Path, args: argparse.Namespace) -> dict[str, Any]:
    """Kill the supervisor repeatedly under load and measure the adoption of its instances.

    At every tenth kill a server is also told to drain, and every fifth kill happens in the middle of a
    reload.
    """
    book = Ledger(4.0)
    servers = [Server(f"b{at}", book, service_s=0.005) for at in range(5)]
    registry = await start_servers(servers)
    fleet = Fleet(folder, registry.address, args.instances)
    fleet.orphan_ms = ORPHAN_MS
    fleet.write()
    await fleet.start()
    pids_before = {name: item["pid"] for name, item in (await fleet.ready()).items()}
    load = LoadGenerator(fleet.address, args.clients, args.pause)
    rng = random.Random(1)
    await load.wait_for_answers(200)
    load.longest_gap_s = 0.0
    adoptions: list[float] = []
    for number in range(args.kills):
        reload = None
        if number % 5 == 4:
            fleet.write(sockets=300 + number)
            reload = asyncio.create_task(fleet.ask("reload"))
            await asyncio.sleep(rng.uniform(0.0, 0.02))
        if number % 10 == 5:
            server = servers[number // 10 % len(servers)]
            registry.update(member(server.name, server.address, "draining"))
            server.mark_draining()
        await fleet.kill()
        if reload is not None:
            with contextlib.suppress(Exception):
                await reload
        await asyncio.sleep(rng.uniform(0.0, 0.2))
        started_at = time.monotonic()
        await fleet.start()
        pids = {name: item["pid"] for name, item in (await fleet.ready()).items()}
        adoptions.append(time.monotonic() - started_at)
        assert pids == pids_before, (number, pids, pids_before)
        await load.wait_for_answers(2 * args.clients)
        for server in servers:
            if server.drained_at is not None and time.monotonic() - server.drained_at > 0.7:
                server.drained_at = None
                registry.update(member(server.name, server.address))
    await load.finish()
    status = await fleet.ask("status")
    fleet.process.terminate()
    exit_code = await fleet.process.wait()
    registry.stop()
    for server in servers:
        server.stop()
    return {
        "kills": args.kills, "instances": args.instances, "clients": args.clients,
        "answered": load.answered, "book": {got.decode(): count for got, count in load.outcomes.items()},
        "adopted_in_ms": summarize_ms(adoptions), "longest_gap_ms": round(1000 * load.longest_gap_s, 1),
        "longest_gap_of_a_client_ms": round(1000 * load.longest_wait_s, 1),
        "generation": status["generation"], "exit": exit_code, "refused_connects": load.refused_connects,
        "cut": len(load.aborted_ports), "lost": load.outcomes[LOST], "doubled": len(book.duplicates),
        "late_drains": sum(server.late_drains for server in servers),
    }  # fmt: skip


async def size(folder: Path, args: argparse.Namespace) -> dict[str, Any]:
    """Start, reload and adopt a fleet of `args.instances`, with one server and a few clients."""
    book = Ledger(4.0)
    servers = [Server("b0", book)]
    registry = await start_servers(servers)
    fleet = Fleet(folder, registry.address, args.instances)
    fleet.orphan_ms = ORPHAN_MS
    fleet.extra_daemon_lines = "start_within_ms = 300000"
    fleet.write(reload_within_ms=60_000)
    times: dict[str, float] = {}
    started_at = time.monotonic()
    await fleet.start()
    pids_before = {name: item["pid"] for name, item in (await fleet.ready(within_s=300.0)).items()}
    times["ready"] = time.monotonic() - started_at
    load = LoadGenerator(fleet.address, 20, 0.05)
    await load.wait_for_answers(200)
    started_at = time.monotonic()
    fleet.write(reload_within_ms=60_000, sockets=300)
    answered = await fleet.ask("reload")
    times["reload"] = time.monotonic() - started_at
    assert answered["ok"], answered
    await fleet.kill()
    started_at = time.monotonic()
    await fleet.start()
    pids = {name: item["pid"] for name, item in (await fleet.ready(within_s=300.0)).items()}
    times["adopted"] = time.monotonic() - started_at
    same = pids == pids_before
    await load.wait_for_answers(200)
    await load.finish()
    started_at = time.monotonic()
    status = await fleet.ask("status")
    times["status"] = time.monotonic() - started_at
    memory = [resident_mb(item["pid"]) for item in status["instances"]]
    supervisor = resident_mb(status["pid"])
    started_at = time.monotonic()
    fleet.process.terminate()
    exit_code = await fleet.process.wait()
    times["stop"] = time.monotonic() - started_at
    registry.stop()
    servers[0].stop()
    return {
        "instances": args.instances, "same_processes": same, "exit": exit_code, "lost": load.outcomes[LOST],
        "doubled": len(book.duplicates), "refused_connects": load.refused_connects,
        "seconds": {name: round(value, 2) for name, value in times.items()},
        "memory_mb": {"supervisor": supervisor, "instance": max(memory), "all": round(sum(memory))},
    }  # fmt: skip


async def many_servers(folder: Path, args: argparse.Namespace) -> dict[str, Any]:
    """Measure a fixed list of `args.servers` servers: start, reload and adoption.

    All entries of the list have the address of the same server.
    """
    book = Ledger(4.0)
    server = Server("b0", book)
    await server.start()
    fleet = Fleet(folder, "127.0.0.1:9", 2)
    fleet.orphan_ms = ORPHAN_MS
    fleet.servers = [(f"s{at:05d}", server.address) for at in range(args.servers)]
    fleet.write()
    times: dict[str, float] = {}
    started_at = time.monotonic()
    await fleet.start()
    await fleet.ready(within_s=120.0)
    times["ready"] = time.monotonic() - started_at
    load = LoadGenerator(fleet.address, 20, 0.01)
    await load.wait_for_answers(500)
    load.longest_gap_s = 0.0
    started_at = time.monotonic()
    fleet.write(sockets=300)
    answered = await fleet.ask("reload")
    times["reload"] = time.monotonic() - started_at
    gap = load.longest_gap_s
    assert answered["ok"], answered
    await fleet.kill()
    started_at = time.monotonic()
    await fleet.start()
    await fleet.ready(within_s=120.0)
    times["adopted"] = time.monotonic() - started_at
    await load.wait_for_answers(200)
    await load.finish()
    status = await fleet.ask("status")
    memory = [resident_mb(item["pid"]) for item in status["instances"]]
    supervisor = resident_mb(status["pid"])
    fleet.process.terminate()
    exit_code = await fleet.process.wait()
    server.stop()
    return {
        "servers": args.servers,
        "file_bytes": fleet.path.stat().st_size,
        "exit": exit_code,
        "known": min(item["servers"] for item in status["instances"]),
        "lost": load.outcomes[LOST],
        "doubled": len(book.duplicates),
        "refused_connects": load.refused_connects,
        "seconds": {name: round(value, 2) for name, value in times.items()},
        "gap_in_reload_ms": round(1000 * gap, 1),
        "memory_mb": {"supervisor": supervisor, "instance": max(memory)},
    }


async def restart(folder: Path, args: argparse.Namespace) -> dict[str, Any]:
    """Restart everything while half of the servers are bad, with state on disk and without.

    Compares the share of answers served well in the first two seconds with that of the steady state
    before.
    """
    shares: dict[str, list[float]] = {"steady": [], "with_state": [], "without": []}
    lost = doubled = 0
    for number in range(2 * args.plays):
        with_state = number % 2 == 0
        book = Ledger(4.0)
        servers = [Server(f"b{at}", book, service_s=0.01) for at in range(10)]
        for at, server in enumerate(servers):
            if at % 2:
                server.mode = Mode.FAILING if at % 4 == 1 else Mode.SLOW
        registry = await start_servers(servers)
        run_folder = folder / str(number)
        run_folder.mkdir()
        fleet = Fleet(run_folder, registry.address, 2)
        fleet.extra_daemon_lines = 'state_dir = "state"\nstate_every_ms = 200' if with_state else ""
        fleet.write()
        await fleet.start()
        await fleet.ready()
        load = LoadGenerator(fleet.address, 20, 0.02)
        await asyncio.sleep(args.steady)
        steady = await share_served_well(load, 2.0)
        kill_all(fleet)
        await fleet.process.wait()
        await load.stop()
        await fleet.start()
        await fleet.ready()
        load = LoadGenerator(fleet.address, 20, 0.02, name="d")
        shares["with_state" if with_state else "without"].append(await share_served_well(load, 2.0))
        shares["steady"].append(steady)
        await load.finish()
        lost, doubled = lost + load.outcomes[LOST], doubled + len(book.duplicates)
        fleet.process.terminate()
        await fleet.process.wait()
        registry.stop()
        for server in servers:
            server.stop()
    return {
        "plays": args.plays, "servers": 10, "bad": 5, "lost": lost, "doubled": doubled,
        "well_served_percent": {
            name: {"median": round(100 * statistics.median(items), 1), "least": round(100 * min(items), 1),
                   "most": round(100 * max(items), 1)}
            for name, items in shares.items()
        },
    }  # fmt: skip


MAX_GOOD_LATENCY_S = 0.05  # five times the service time of a good server


async def share_served_well(load: LoadGenerator, seconds: float) -> float:
    """Return the share of the answers within `seconds` that took at most MAX_GOOD_LATENCY_S."""
    answered, served = load.answered, len(load.latencies)
    await asyncio.sleep(seconds)
    good = sum(item <= MAX_GOOD_LATENCY_S for item in load.latencies[served:])
    return good / max(1, load.answered - answered)


def main() -> int:
    """Print the figures as one JSON object; return 1 if a value that must be 0 is not."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("what", choices=["kills", "size", "servers", "restart"])
    parser.add_argument("--kills", type=int, default=50)
    parser.add_argument("--instances", type=int, default=4)
    parser.add_argument("--clients", type=int, default=40)
    parser.add_argument("--servers", type=int, default=10_000)
    parser.add_argument("--plays", type=int, default=5)
    parser.add_argument(
        "--steady", type=float, default=4.0, help="seconds of load before everything is killed"
    )
    parser.add_argument("--pause", type=float, default=0.02, help="seconds between a client's requests")
    args = parser.parse_args()
    benchmarks = {"kills": kills, "size": size, "servers": many_servers, "restart": restart}
    with tempfile.TemporaryDirectory(prefix="sorrelfront-") as folder:
        figures = asyncio.run(benchmarks[args.what](Path(folder), args))
    print(json.dumps(figures, indent=1))
    must_be_zero = ("lost", "doubled", "late_drains", "refused_connects", "exit")
    return 1 if any(figures.get(name) for name in must_be_zero) else 0


if __name__ == "__main__":
    sys.exit(main())
