"""The supervisor is killed again and again under steady load; and a large fleet is started, reloaded,
adopted.

    .venv/bin/python -m benchmarks.adoption kills --kills 50 --instances 4 --clients 40
    .venv/bin/python -m benchmarks.adoption size --instances 256
    .venv/bin/python -m benchmarks.adoption servers --servers 10000
    .venv/bin/python -m benchmarks.adoption restart --plays 5

Each prints one JSON object; exit code 1 if something was lost, doubled, late, or a connect was refused.
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

from benchmarks.daemon import resident_mb, spread
from sorrelfront.lab.crowd import LOST, Crowd
from sorrelfront.lab.http1 import Registry, member
from sorrelfront.lab.shop import Book, Mode, Server
from tests.daemon.fleet import Fleet

ORPHAN_MS = 120_000


async def around(servers: list[Server]) -> Registry:
    registry = await Registry().start()
    for server in servers:
        await server.start()
    registry.known = [member(server.name, server.address) for server in servers]
    return registry


def end_all(made: Fleet) -> None:
    for pid in [made.process.pid, *made.orphans()]:
        with contextlib.suppress(ProcessLookupError):
            os.kill(pid, signal.SIGKILL)


async def kills(folder: Path, words: argparse.Namespace) -> dict[str, Any]:
    """Every tenth kill comes with a server that is told to drain, every fifth in the middle of a reload."""
    book = Book(4.0)
    servers = [Server(f"b{at}", book, service_s=0.005) for at in range(5)]
    registry = await around(servers)
    made = Fleet(folder, registry.address, words.instances)
    made.orphan_ms = ORPHAN_MS
    made.write()
    await made.start()
    before = {name: item["pid"] for name, item in (await made.ready()).items()}
    crowd = Crowd(made.address, words.clients, words.pause)
    draw = random.Random(1)
    await crowd.more(200)
    crowd.gap_s = 0.0
    adoptions: list[float] = []
    for number in range(words.kills):
        reload = None
        if number % 5 == 4:
            made.write(sockets=300 + number)
            reload = asyncio.create_task(made.ask("reload"))
            await asyncio.sleep(draw.uniform(0.0, 0.02))
        if number % 10 == 5:
            server = servers[number // 10 % len(servers)]
            registry.change(member(server.name, server.address, "draining"))
            server.drain()
        await made.kill()
        if reload is not None:
            with contextlib.suppress(Exception):
                await reload
        await asyncio.sleep(draw.uniform(0.0, 0.2))
        began = time.monotonic()
        await made.start()
        found = {name: item["pid"] for name, item in (await made.ready()).items()}
        adoptions.append(time.monotonic() - began)
        assert found == before, (number, found, before)
        await crowd.more(2 * words.clients)
        for server in servers:
            if server.drained_at is not None and time.monotonic() - server.drained_at > 0.7:
                server.drained_at = None
                registry.change(member(server.name, server.address))
    await crowd.finish()
    status = await made.ask("status")
    made.process.terminate()
    code = await made.process.wait()
    registry.stop()
    for server in servers:
        server.stop()
    return {
        "kills": words.kills, "instances": words.instances, "clients": words.clients,
        "answered": crowd.answered, "book": {got.decode(): count for got, count in crowd.book.items()},
        "adopted_in_ms": spread(adoptions), "longest_gap_ms": round(1000 * crowd.gap_s, 1),
        "longest_gap_of_a_client_ms": round(1000 * crowd.longest_wait_s, 1),
        "generation": status["generation"], "exit": code, "refused_connects": crowd.refused_connects,
        "cut": len(crowd.cut_ports), "lost": crowd.book[LOST], "doubled": len(book.doubled),
        "late_drains": sum(server.late_drains for server in servers),
    }  # fmt: skip


async def size(folder: Path, words: argparse.Namespace) -> dict[str, Any]:
    """A fleet as large as asked: ready, reloaded, adopted; one server, a few clients."""
    book = Book(4.0)
    servers = [Server("b0", book)]
    registry = await around(servers)
    made = Fleet(folder, registry.address, words.instances)
    made.orphan_ms = ORPHAN_MS
    made.more = "start_within_ms = 300000"
    made.write(reload_within_ms=60_000)
    times: dict[str, float] = {}
    began = time.monotonic()
    await made.start()
    before = {name: item["pid"] for name, item in (await made.ready(within_s=300.0)).items()}
    times["ready"] = time.monotonic() - began
    crowd = Crowd(made.address, 20, 0.05)
    await crowd.more(200)
    began = time.monotonic()
    made.write(reload_within_ms=60_000, sockets=300)
    answered = await made.ask("reload")
    times["reload"] = time.monotonic() - began
    assert answered["ok"], answered
    await made.kill()
    began = time.monotonic()
    await made.start()
    found = {name: item["pid"] for name, item in (await made.ready(within_s=300.0)).items()}
    times["adopted"] = time.monotonic() - began
    same = found == before
    await crowd.more(200)
    await crowd.finish()
    began = time.monotonic()
    status = await made.ask("status")
    times["status"] = time.monotonic() - began
    memory = [resident_mb(item["pid"]) for item in status["instances"]]
    supervisor = resident_mb(status["pid"])
    began = time.monotonic()
    made.process.terminate()
    code = await made.process.wait()
    times["stop"] = time.monotonic() - began
    registry.stop()
    servers[0].stop()
    return {
        "instances": words.instances, "same_processes": same, "exit": code, "lost": crowd.book[LOST],
        "doubled": len(book.doubled), "refused_connects": crowd.refused_connects,
        "seconds": {name: round(value, 2) for name, value in times.items()},
        "memory_mb": {"supervisor": supervisor, "instance": max(memory), "all": round(sum(memory))},
    }  # fmt: skip


async def many_servers(folder: Path, words: argparse.Namespace) -> dict[str, Any]:
    """A fixed list as long as asked, most of it at addresses where nobody listens but a few."""
    book = Book(4.0)
    server = Server("b0", book)
    await server.start()
    made = Fleet(folder, "127.0.0.1:9", 2)
    made.orphan_ms = ORPHAN_MS
    made.servers = [(f"s{at:05d}", server.address) for at in range(words.servers)]
    made.write()
    times: dict[str, float] = {}
    began = time.monotonic()
    await made.start()
    await made.ready(within_s=120.0)
    times["ready"] = time.monotonic() - began
    crowd = Crowd(made.address, 20, 0.01)
    await crowd.more(500)
    crowd.gap_s = 0.0
    began = time.monotonic()
    made.write(sockets=300)
    answered = await made.ask("reload")
    times["reload"] = time.monotonic() - began
    gap = crowd.gap_s
    assert answered["ok"], answered
    await made.kill()
    began = time.monotonic()
    await made.start()
    await made.ready(within_s=120.0)
    times["adopted"] = time.monotonic() - began
    await crowd.more(200)
    await crowd.finish()
    status = await made.ask("status")
    memory = [resident_mb(item["pid"]) for item in status["instances"]]
    supervisor = resident_mb(status["pid"])
    made.process.terminate()
    code = await made.process.wait()
    server.stop()
    return {
        "servers": words.servers, "file_bytes": made.path.stat().st_size, "exit": code,
        "known": min(item["servers"] for item in status["instances"]),
        "lost": crowd.book[LOST], "doubled": len(book.doubled), "refused_connects": crowd.refused_connects,
        "seconds": {name: round(value, 2) for name, value in times.items()},
        "gap_in_reload_ms": round(1000 * gap, 1),
        "memory_mb": {"supervisor": supervisor, "instance": max(memory)},
    }  # fmt: skip


async def restart(folder: Path, words: argparse.Namespace) -> dict[str, Any]:
    """Half of the servers are bad. Everything is killed and started again, with state on disk and without:
    the share served well in the first two seconds, beside that of the steady state before."""
    shares: dict[str, list[float]] = {"steady": [], "with_state": [], "without": []}
    lost = doubled = 0
    for number in range(2 * words.plays):
        kept = number % 2 == 0
        book = Book(4.0)
        servers = [Server(f"b{at}", book, service_s=0.01) for at in range(10)]
        for at, server in enumerate(servers):
            if at % 2:
                server.mode = Mode.FAILING if at % 4 == 1 else Mode.SLOW
        registry = await around(servers)
        place = folder / str(number)
        place.mkdir()
        made = Fleet(place, registry.address, 2)
        made.more = 'state_dir = "state"\nstate_every_ms = 200' if kept else ""
        made.write()
        await made.start()
        await made.ready()
        crowd = Crowd(made.address, 20, 0.02)
        await asyncio.sleep(words.steady)
        steady = await share(crowd, 2.0)
        end_all(made)
        await made.process.wait()
        await crowd.stop()
        await made.start()
        await made.ready()
        crowd = Crowd(made.address, 20, 0.02, name="d")
        shares["with_state" if kept else "without"].append(await share(crowd, 2.0))
        shares["steady"].append(steady)
        await crowd.finish()
        lost, doubled = lost + crowd.book[LOST], doubled + len(book.doubled)
        made.process.terminate()
        await made.process.wait()
        registry.stop()
        for server in servers:
            server.stop()
    return {
        "plays": words.plays, "servers": 10, "bad": 5, "lost": lost, "doubled": doubled,
        "well_served_percent": {
            name: {"median": round(100 * statistics.median(items), 1), "least": round(100 * min(items), 1),
                   "most": round(100 * max(items), 1)}
            for name, items in shares.items()
        },
    }  # fmt: skip


WELL_S = 0.05  # five times what a good server takes


async def share(crowd: Crowd, seconds: float) -> float:
    """Of the answers in this time, those that were served within WELL_S."""
    answered, served = crowd.answered, len(crowd.latencies)
    await asyncio.sleep(seconds)
    well = sum(item <= WELL_S for item in crowd.latencies[served:])
    return well / max(1, crowd.answered - answered)


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("what", choices=["kills", "size", "servers", "restart"])
    parser.add_argument("--kills", type=int, default=50)
    parser.add_argument("--instances", type=int, default=4)
    parser.add_argument("--clients", type=int, default=40)
    parser.add_argument("--servers", type=int, default=10_000)
    parser.add_argument("--plays", type=int, default=5)
    parser.add_argument("--steady", type=float, default=4.0, help="seconds of load before the end of all")
    parser.add_argument("--pause", type=float, default=0.02, help="seconds between a client's requests")
    words = parser.parse_args()
    plays = {"kills": kills, "size": size, "servers": many_servers, "restart": restart}
    with tempfile.TemporaryDirectory(prefix="sorrelfront-") as folder:
        figures = asyncio.run(plays[words.what](Path(folder), words))
    print(json.dumps(figures, indent=1))
    bad = ("lost", "doubled", "late_drains", "refused_connects", "exit")
    return 1 if any(figures.get(name) for name in bad) else 0


if __name__ == "__main__":
    sys.exit(main())
