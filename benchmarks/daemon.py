"""Run the daemon under steady load: start, many reloads, replacements; report the longest gap a client saw.

    .venv/bin/python -m benchmarks.daemon --reloads 100 --replacements 10 --instances 4 --clients 40

Prints one JSON object. The exit code is 1 if a request was lost, executed twice or sent late to a draining
server, if a connection was refused, or if the daemon's exit code was not 0.
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

from sorrelfront.lab.http1 import Registry, member
from sorrelfront.lab.load_generator import LOST, LoadGenerator
from sorrelfront.lab.scripted_servers import Ledger, Server
from tests.daemon.fleet import Fleet
from tests.daemon.test_replacement import start_replacement, wait_for_control_socket


def summarize_ms(seconds: list[float]) -> dict[str, float]:
    """Return the median and maximum in milliseconds, and the count, of durations in seconds."""
    ms = sorted(1000 * item for item in seconds)
    if not ms:
        return {}
    return {"median": round(statistics.median(ms), 1), "most": round(ms[-1], 1), "count": len(ms)}


async def run(folder: Path, args: argparse.Namespace) -> dict[str, Any]:
    """Run all phases against one daemon and return the figures."""
    book = Ledger(4.0)
    servers = [Server(f"b{number}", book, service_s=0.005) for number in range(5)]
    registry = await Registry().start()
    for server in servers:
        await server.start()
    registry.members = [member(server.name, server.address) for server in servers]
    fleet = Fleet(folder, registry.address, args.instances)
    started_at = time.monotonic()
    await fleet.start()
    await fleet.ready()
    started = time.monotonic() - started_at
    load = LoadGenerator(fleet.address, args.clients, args.pause)
    reloads: list[float] = []
    gaps: dict[str, float] = {}
    await load.wait_for_answers(100)
    load.longest_gap_s = 0.0
    for number in range(args.reloads):
        fleet.write(sockets=400 + number % 50)
        if number % 10 == 5:  # a server starts to drain right at a reload, and comes back later
            server = servers[number // 10 % len(servers)]
            registry.update(member(server.name, server.address, "draining"))
            server.mark_draining()
        started_at = time.monotonic()
        answered = await fleet.ask("reload")
        reloads.append(time.monotonic() - started_at)
        assert answered["ok"], answered
        await load.wait_for_answers(args.clients)
        if number % 10 == 9:
            await asyncio.sleep(0.6)
            for server in servers:
                if server.drained_at is not None:
                    server.drained_at = None
                    registry.update(member(server.name, server.address))
    gaps["reloads"] = load.longest_gap_s
    assert not load.aborted_ports, load.outcomes
    load.longest_gap_s = 0.0
    replacements: list[float] = []
    for _ in range(args.replacements):
        old, started_at = fleet.process, time.monotonic()
        new = await start_replacement(fleet)
        await wait_for_control_socket(fleet, new.pid)
        replacements.append(time.monotonic() - started_at)
        assert await old.wait() == 0
        fleet.process = new
        await load.wait_for_answers(args.clients)
    gaps["replacements"] = load.longest_gap_s
    assert not load.aborted_ports, load.outcomes
    kills: list[float] = []
    for number in range(args.kills):
        load.recovery_s.clear()
        victim = (await fleet.ready())[f"i{number % args.instances}"]
        os.kill(victim["pid"], signal.SIGKILL)
        await load.wait_for_answers(5 * args.clients)
        kills += load.recovery_s
    await asyncio.sleep(1.5)  # a client waits for a reset before it calls a request lost
    cut, cut_lost = len(load.aborted_ports), load.outcomes[LOST]
    await fleet.ready()
    await load.finish()
    status = await fleet.ask("status")
    memory = {"supervisor": resident_mb(status["pid"])}
    memory["instance"] = max(resident_mb(item["pid"]) for item in status["instances"])
    fleet.process.terminate()
    exit_code = await fleet.process.wait()
    registry.stop()
    for server in servers:
        server.stop()
    return {
        "instances": args.instances, "clients": args.clients, "answered": load.answered,
        "book": {got.decode(): count for got, count in load.outcomes.items()},
        "start_to_ready_ms": round(1000 * started, 1), "reload_ms": summarize_ms(reloads),
        "replacement_ms": summarize_ms(replacements),
        "longest_gap_ms": {name: round(1000 * gap, 1) for name, gap in gaps.items()},
        "memory_mb": memory, "exit": exit_code, "refused_connects": load.refused_connects,
        "kills": args.kills, "cut_by_kills": cut, "lost_by_kills": cut_lost,
        "recovery_after_kill_ms": summarize_ms(kills),
        "lost": load.outcomes[LOST] - cut_lost, "doubled": len(book.duplicates),
        "late_drains": sum(server.late_drains for server in servers),
    }  # fmt: skip


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process in MB, 0.0 if the kernel does not report it."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return round(int(line.split()[1]) / 1024, 1)
    return 0.0


def main() -> int:
    """Print the figures as one JSON object; return 1 if a value that must be 0 is not."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--reloads", type=int, default=100)
    parser.add_argument("--replacements", type=int, default=10)
    parser.add_argument("--kills", type=int, default=8, help="SIGKILLs of instances, after the other phases")
    parser.add_argument("--instances", type=int, default=4)
    parser.add_argument("--clients", type=int, default=40)
    parser.add_argument("--pause", type=float, default=0.02, help="seconds between a client's requests")
    with tempfile.TemporaryDirectory(prefix="sorrelfront-") as folder:
        figures = asyncio.run(run(Path(folder), parser.parse_args()))
    print(json.dumps(figures, indent=1))
    must_be_zero = ("lost", "doubled", "late_drains", "refused_connects", "exit")
    return 1 if any(figures[name] for name in must_be_zero) else 0


if __name__ == "__main__":
    sys.exit(main())
