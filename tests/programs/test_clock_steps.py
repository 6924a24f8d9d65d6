"""Slow start where the clocks of servers and of this program differ by up to an hour.

Lists tell when a server started in Unix time. A program whose wall clock was an hour behind took every server
of a list for one that had just started, for an hour, and refused most of what it got; one whose clock was an
hour ahead took a server that had just started for a warm one.
"""

from __future__ import annotations

import asyncio
import time
from pathlib import Path
from typing import Any

from sorrelfront.lab.faults.wall_clock import WallClock
from tests.loopback import Backend, Client, Registry, answer, looped, member, request, table
from tests.test_process import Program

HOUR_S = 3_600.0
PACE_S = 0.01  # between requests
SERVERS = 4


def started_now(name: str, server: Backend) -> dict[str, Any]:
    return {**member(name, server.address), "up_since_ms": int(time.time() * 1_000)}


class Stage:
    """One process between a client and servers, by a list that is told to it."""

    def __init__(self, folder: Path, clock: WallClock, rules: dict[str, Any]) -> None:
        self._folder, self._clock, self._rules = folder, clock, rules
        self.registry = Registry()

    async def start(self, cold: bool) -> None:
        self.servers = [await Backend(answer(b"served")).start() for _ in range(SERVERS + 1)]
        await self.registry.start()
        listed = enumerate(self.servers[:SERVERS])
        self.registry.known = [
            started_now(f"b{number}", server) if cold else member(f"b{number}", server.address)
            for number, server in listed
        ]
        config = table(self.registry.address, self.registry.known)
        config["settings"]["rules"].update(self._rules)
        self._program = Program(self._folder, config, self._clock.environ)
        await self._program.start()
        self._client: Client = await self._program.ready()
        await asyncio.wait_for(self.registry.asked.wait(), 30)

    async def ask(self, count: int) -> list[int]:
        """The statuses of so many requests, one after the other."""
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


@looped
async def test_servers_that_started_ahead_of_our_clock_are_warm_in_their_time(
    tmp_path: Path, wall_clock: WallClock
) -> None:
    wall_clock.set(-HOUR_S)
    made = Stage(tmp_path, wall_clock, {"coldUs": 300_000, "coldFrom": 0.1})
    await made.start(cold=True)
    try:
        await made.ask(60)  # twice the time that they need, at least
        assert set(await made.ask(60)) == {200}
    finally:
        await made.stop()


@looped
async def test_a_start_that_is_heard_of_is_a_slow_start_whatever_our_clock_says(
    tmp_path: Path, wall_clock: WallClock
) -> None:
    wall_clock.set(HOUR_S)
    made = Stage(tmp_path, wall_clock, {"coldUs": 600_000_000, "coldFrom": 0.01})
    await made.start(cold=False)
    try:
        await made.ask(20)
        newcomer = made.servers[SERVERS]
        made.registry.change(started_now("a-newcomer", newcomer))
        await made.ask(300)
        assert len(newcomer.seen) <= 15  # a fair share is 60
    finally:
        await made.stop()
