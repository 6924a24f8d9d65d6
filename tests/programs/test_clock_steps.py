"""Slow start while the wall clocks of servers and of the program differ by up to an hour.

Lists give the start of a server in Unix time. A program whose wall clock was an hour behind took every listed
server for a newly started one, for an hour, and refused most requests. One whose clock was an hour ahead took
a newly started server for a warm one.
"""

from __future__ import annotations

import asyncio
import time
from pathlib import Path
from typing import Any

from sorrelfront.lab.faults.wall_clock import WallClock
from tests.loopback import Backend, Client, Registry, answer, async_test, make_config, member, request
from tests.test_process import Program

HOUR_S = 3_600.0
PACE_S = 0.01  # between requests
SERVERS = 4


def started_now(name: str, server: Backend) -> dict[str, Any]:
    return {**member(name, server.address), "up_since_ms": int(time.time() * 1_000)}


class Harness:
    """One program between a client and servers, with a list service."""

    def __init__(self, folder: Path, clock: WallClock, rules: dict[str, Any]) -> None:
        self._folder, self._clock, self._rules = folder, clock, rules
        self.registry = Registry()

    async def start(self, cold: bool) -> None:
        self.servers = [await Backend(answer(b"served")).start() for _ in range(SERVERS + 1)]
        await self.registry.start()
        listed = enumerate(self.servers[:SERVERS])
        self.registry.members = [
            started_now(f"b{number}", server) if cold else member(f"b{number}", server.address)
            for number, server in listed
        ]
        config = make_config(self.registry.address, self.registry.members)
        config["settings"]["rules"].update(self._rules)
        self._program = Program(self._folder, config, self._clock.environ)
        await self._program.start()
        self._client: Client = await self._program.ready()
        await asyncio.wait_for(self.registry.watch_opened.wait(), 30)

    async def send_requests(self, count: int) -> list[int]:
        """Send so many requests, one after the other, and return their statuses."""
        statuses = []
        for _ in range(count):
            self._client.send(request(f"r{time.monotonic_ns()}"))
            statuses.append((await self._client.answer())[0])
            await asyncio.sleep(PACE_S)
        return statuses

    async def stop(self) -> None:
        assert self._clock.reads > 0
        self._program.process.kill()
        await self._program.process.wait()
        for server in self.servers:
            server.stop()
        self.registry.stop()


@async_test
async def test_servers_whose_start_lies_in_the_future_become_warm_in_time(
    tmp_path: Path, wall_clock: WallClock
) -> None:
    wall_clock.set(-HOUR_S)
    made = Harness(tmp_path, wall_clock, {"coldUs": 300_000, "coldFrom": 0.1})
    await made.start(cold=True)
    try:
        await made.send_requests(60)  # at least twice the duration of the slow start
        assert set(await made.send_requests(60)) == {200}
    finally:
        await made.stop()


@async_test
async def test_a_newly_listed_server_starts_slowly_whatever_the_wall_clock_says(
    tmp_path: Path, wall_clock: WallClock
) -> None:
    wall_clock.set(HOUR_S)
    made = Harness(tmp_path, wall_clock, {"coldUs": 600_000_000, "coldFrom": 0.01})
    await made.start(cold=False)
    try:
        await made.send_requests(20)
        newcomer = made.servers[SERVERS]
        made.registry.update(started_now("a-newcomer", newcomer))
        await made.send_requests(300)
        assert len(newcomer.received) <= 15  # a fair share is 60
    finally:
        await made.stop()
