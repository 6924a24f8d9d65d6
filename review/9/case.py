"""Servers that restart register again under the same node: their drains are never read."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path[:0] = [str(FOLDER.parent), str(FOLDER.parent.parent)]

from common2 import TROUBLE, CannotRun, Case, Connection, Server, now, run_case, sound  # noqa: E402
from daemon2 import Host  # noqa: E402

from sorrelfront.lab.zookeeper.ensemble import Ensemble  # noqa: E402
from sorrelfront.lab.zookeeper.registrar import Registrar  # noqa: E402

PATH = "/services/stock"
TOLD_S = 6.5  # after the service has a change it counts as told 6 s later at the latest; and 0.5 s of grace
SERVERS, DRAINED = 10, 7
CLASSES = """
[classes.look]
repeat = "safe"
aim_ms = 1000
deadline_ms = 5000
"""
MEMBERSHIP = """[membership]
source = "zookeeper"
hosts = [{hosts}]
path = "/services/stock"
"""


async def play(case: Case) -> list[str]:
    """Register servers, restart two, have both drain later, and see what is sent to them."""
    ensemble = Ensemble(3)
    await ensemble.start()
    registrar = Registrar(ensemble.hosts, PATH, 4.0)
    await registrar.create_path()
    servers = {f"s{at}": Server(f"s{at}", case.record, sound) for at in range(SERVERS)}
    for server in servers.values():
        await server.start()
        await registrar.register(server.name, server.address, started_ms=int(time.time() * 1000) - 60_000)
    hosts = ", ".join(f'"{host}"' for host in ensemble.hosts.split(","))
    host = Host(case, "shop-a")
    host.write([], CLASSES, "", [host.fleet])
    text = host.path.read_text()
    begin = text.index("[membership]")
    host.path.write_text(text[:begin] + MEMBERSHIP.format(hosts=hosts))
    await host.serve("daemon.log")
    await host.ready()
    await asyncio.sleep(1.0)
    count = 0

    async def ask() -> None:
        nonlocal count
        count += 1
        client = Connection(host.listen, case.record)
        try:
            await client.send("GET", "/look", f"r{count:05d}", 2_000)
            await client.receive(f"r{count:05d}", 3.0)
        except OSError as fault:
            case.record(f"r{count:05d}: {fault}")
        finally:
            client.close()

    tasks: list[asyncio.Task[None]] = []

    async def load() -> None:
        while True:
            tasks.append(asyncio.create_task(ask()))
            await asyncio.sleep(0.02)

    loading = asyncio.create_task(load())
    await asyncio.sleep(1.0)
    if TROUBLE:
        for name, server in servers.items():
            registrar.crash(name)
            server.reset()
            case.record(f"{name} is killed and started again; its session has not expired yet")
            await registrar.register(name, server.address, started_ms=int(time.time() * 1000))
            await asyncio.sleep(0.5)
    await asyncio.sleep(2.0)
    drained = {}
    for name in [*servers][:DRAINED]:
        await registrar.drain(name)
        drained[name] = now()
        case.record(f"{name} has written that it drains")
    await asyncio.sleep(TOLD_S + 4.0)
    loading.cancel()
    await asyncio.gather(*tasks)
    await registrar.close()
    await ensemble.stop()
    breaches = []
    for name, at in drained.items():
        late = [one for one in servers[name].ran if one.at > at + TOLD_S]
        if late:
            breaches.append(f"{name} drains since {at:.2f} s and got {len(late)} requests over {TOLD_S} s "
                            f"after it, the last at {late[-1].at:.2f} s")  # fmt: skip
    if count < 100:
        raise CannotRun("too few requests")
    return breaches


run_case(FOLDER, play)
