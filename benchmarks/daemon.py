"""The daemon under steady load: start, many reloads, replacements, with the longest gap a client saw.

    .venv/bin/python -m benchmarks.daemon --reloads 100 --replacements 10 --instances 4 --clients 40

Prints one JSON object; exit code 1 if something was lost, doubled, late, or a connect was refused.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import signal
import statistics
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

from sorrelfront.lab.crowd import LOST, Crowd
from sorrelfront.lab.http1 import Registry, member
from sorrelfront.lab.shop import Book, Server
from tests.daemon.fleet import Fleet
from tests.daemon.test_replacement import answers_as, replacement


def spread(seconds: list[float]) -> dict[str, float]:
    """In milliseconds."""
    ms = sorted(1000 * item for item in seconds)
    if not ms:
        return {}
    return {"median": round(statistics.median(ms), 1), "most": round(ms[-1], 1), "count": len(ms)}


async def run(folder: Path, words: argparse.Namespace) -> dict[str, Any]:
    book = Book(4.0)
    servers = [Server(f"b{number}", book, service_s=0.005) for number in range(5)]
    registry = await Registry().start()
    for server in servers:
        await server.start()
    registry.known = [member(server.name, server.address) for server in servers]
    made = Fleet(folder, registry.address, words.instances)
    began = time.monotonic()
    await made.start()
    await made.ready()
    started = time.monotonic() - began
    crowd = Crowd(made.address, words.clients, words.pause)
    reloads: list[float] = []
    gaps: dict[str, float] = {}
    await crowd.more(100)
    crowd.gap_s = 0.0
    for number in range(words.reloads):
        made.write(sockets=400 + number % 50)
        if number % 10 == 5:  # a server drains, and comes back, in the very moment of a reload
            server = servers[number // 10 % len(servers)]
            registry.change(member(server.name, server.address, "draining"))
            server.drain()
        began = time.monotonic()
        answered = await made.ask("reload")
        reloads.append(time.monotonic() - began)
        assert answered["ok"], answered
        await crowd.more(words.clients)
        if number % 10 == 9:
            await asyncio.sleep(0.6)
            for server in servers:
                if server.drained_at is not None:
                    server.drained_at = None
                    registry.change(member(server.name, server.address))
    gaps["reloads"] = crowd.gap_s
    assert not crowd.cut_ports, crowd.book
    crowd.gap_s = 0.0
    replacements: list[float] = []
    for _ in range(words.replacements):
        old, began = made.process, time.monotonic()
        new = await replacement(made)
        await answers_as(made, new.pid)
        replacements.append(time.monotonic() - began)
        assert await old.wait() == 0
        made.process = new
        await crowd.more(words.clients)
    gaps["replacements"] = crowd.gap_s
    assert not crowd.cut_ports, crowd.book
    kills: list[float] = []
    for number in range(words.kills):
        crowd.recovery_s.clear()
        victim = (await made.ready())[f"i{number % words.instances}"]
        os.kill(victim["pid"], signal.SIGKILL)
        await crowd.more(5 * words.clients)
        kills += crowd.recovery_s
    await asyncio.sleep(1.5)  # a client waits for a reset before it calls a request lost
    cut, cut_lost = len(crowd.cut_ports), crowd.book[LOST]
    await made.ready()
    await crowd.finish()
    status = await made.ask("status")
    memory = {"supervisor": resident_mb(status["pid"])}
    memory["instance"] = max(resident_mb(item["pid"]) for item in status["instances"])
    made.process.terminate()
    code = await made.process.wait()
    registry.stop()
    for server in servers:
        server.stop()
    return {
        "instances": words.instances, "clients": words.clients, "answered": crowd.answered,
        "book": {got.decode(): count for got, count in crowd.book.items()},
        "start_to_ready_ms": round(1000 * started, 1), "reload_ms": spread(reloads),
        "replacement_ms": spread(replacements),
        "longest_gap_ms": {name: round(1000 * gap, 1) for name, gap in gaps.items()},
        "memory_mb": memory, "exit": code, "refused_connects": crowd.refused_connects,
        "kills": words.kills, "cut_by_kills": cut, "lost_by_kills": cut_lost,
        "recovery_after_kill_ms": spread(kills),
        "lost": crowd.book[LOST] - cut_lost, "doubled": len(book.doubled),
        "late_drains": sum(server.late_drains for server in servers),
    }  # fmt: skip


def resident_mb(pid: int) -> float:
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return round(int(line.split()[1]) / 1024, 1)
    return 0.0


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--reloads", type=int, default=100)
    parser.add_argument("--replacements", type=int, default=10)
    parser.add_argument("--kills", type=int, default=8, help="instances ended by SIGKILL, after the rest")
    parser.add_argument("--instances", type=int, default=4)
    parser.add_argument("--clients", type=int, default=40)
    parser.add_argument("--pause", type=float, default=0.02, help="seconds between a client's requests")
    with tempfile.TemporaryDirectory(prefix="sorrelfront-") as folder:
        figures = asyncio.run(run(Path(folder), parser.parse_args()))
    print(json.dumps(figures, indent=1))
    bad = ("lost", "doubled", "late_drains", "refused_connects", "exit")
    return 1 if any(figures[name] for name in bad) else 0


if __name__ == "__main__":
    sys.exit(main())
