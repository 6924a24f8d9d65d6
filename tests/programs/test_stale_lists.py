"""Requests went to servers for longer than the grace after discovery had said that they drain.

Seen: processes that had just been started again sent to a draining server up to 3.3 s after discovery had the
drain, others for as long after their watch had ended and the next call was turned away. The wall clocks of
these machines had been stepped.

How: discovery works through calls in turn, and an answer may take 2 s. A process that waited up to 2 s before
its first call, and up to 1.05 s after one that failed, had no call open in that time. What drained then was
heard so much later than by a process that asks without a pause, from which the rule counts.

Proof: the log of each call to discovery (opened, accepted, answered) beside the servers' records, and these
tests, whose verdict is the same whether the wall clock is stepped or not.

Time is counted in requests here: one client sends them one after the other, 10 ms apart, and a machine that
stalls holds up both.
"""

from __future__ import annotations

import asyncio
import contextlib
from pathlib import Path
from typing import Any

import pytest

from sorrelfront.lab.faults.wall_clock import WallClock
from tests.loopback import PATIENCE_S, Backend, Client, Registry, answer, looped, member, request, table
from tests.test_process import Program

PACE_S = 0.01  # between requests
CALL = 30  # requests for which a call to discovery waits for its turn
GRACE = 55  # requests in the grace of a drain and its slack, if none takes any time
LASTED = 110  # requests for which a watch stays open before it ends; more than a second of them
HOUR_S = 3_600.0
LONGEST_FIRST_WAIT = "34"  # the seed whose first draw is 0.978
MARGIN = 60  # requests that go on behind the last that a draining server may have
SHARED = 200  # requests in which every other server gets one; a slow answer has it passed over for 50


class Turns(Registry):
    """Discovery that works through calls in turn. What it says next is the test's to decide."""

    def __init__(self) -> None:
        super().__init__()
        self.requests = 0
        self.calls: list[int] = []  # requests answered when each came
        self.busy = 0  # calls that are turned away before one is taken
        self._answered = asyncio.Condition()

    async def count(self) -> None:
        """A client's request has been answered."""
        self.requests += 1
        async with self._answered:
            self._answered.notify_all()

    async def after(self, requests: int) -> None:
        """Wait until so many have been answered in all."""
        async with self._answered:
            await self._answered.wait_for(lambda: self.requests >= requests)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.calls.append(self.requests)
        if self.busy:
            self.busy -= 1
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                await reader.readuntil(b"\r\n\r\n")
                writer.write(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
            writer.close()
            return
        await self.after(self.requests + CALL)
        await super()._serve(reader, writer)

    def end_watches(self) -> None:
        for writer in self._open:
            writer.close()


class Stage:
    """One process between a client that never pauses, six servers and a busy discovery."""

    def __init__(self, folder: Path, clock: WallClock, seed: str) -> None:
        self.folder, self.clock, self.seed = folder, clock, seed
        self.discovery = Turns()

    async def start(self) -> None:
        self.servers = [await Backend(answer(b"served")).start() for _ in range(6)]
        await self.discovery.start()
        self.discovery.known = [self.entry(number) for number in range(6)]
        config = table(self.discovery.address, self.discovery.known)
        config["seed"] = self.seed
        config["settings"]["rules"]["askWithinUs"] = 10_000_000
        self.program = Program(self.folder, config, self.clock.environ)
        await self.program.start()
        self.client: Client = await self.program.ready()

    def entry(self, number: int, phase: str = "ready") -> dict[str, Any]:
        return member(f"b{number}", self.servers[number].address, phase)

    def withdraw(self, number: int) -> None:
        """From now on the list says that this server drains. Nobody is told; who asks learns of it."""
        self.discovery.known[number] = self.entry(number, "draining")
        self.discovery.revision += 1

    async def ask(self, until: int) -> None:
        """Send requests until so many have been answered in all."""
        while self.discovery.requests < until:
            self.client.send(request(f"r{self.discovery.requests}"))
            await self.client.answer()
            await self.discovery.count()
            await asyncio.sleep(PACE_S)

    def last_at(self, number: int) -> int:
        """Which of the requests was the last that this server had."""
        names = [line[10:] for seen in self.servers[number].seen for line in seen.split(b"\r\n")
                 if line.lower().startswith(b"x-call-id:")]  # fmt: skip
        return max((int(name.strip()[1:]) for name in names), default=-1)

    async def stop(self) -> None:
        assert self.clock.reads > 0
        if self.program.process.returncode is None:
            self.program.process.kill()
            await asyncio.wait_for(self.program.process.wait(), PATIENCE_S)
        for server in self.servers:
            server.stop()
        self.discovery.stop()


@contextlib.asynccontextmanager
async def stage(folder: Path, clock: WallClock, seed: str = "8c1f") -> Any:
    made = Stage(folder, clock, seed)
    await made.start()
    try:
        yield made
    finally:
        await made.stop()


@pytest.mark.parametrize("step_s", [0.0, -HOUR_S, HOUR_S])
@looped
async def test_a_process_that_was_started_again_learns_of_a_drain_as_soon_as_who_asks_at_once(
    tmp_path: Path, wall_clock: WallClock, step_s: float
) -> None:
    """The wall clock is stepped between its two lives; the drain comes while it starts."""
    wall_clock.set(step_s)
    async with stage(tmp_path, wall_clock, LONGEST_FIRST_WAIT) as made:
        made.withdraw(0)
        await made.ask(CALL + GRACE + SHARED)
        assert made.discovery.calls, "it never asked"
        assert 0 <= made.last_at(0) <= CALL + GRACE
        assert all(made.last_at(number) > CALL + GRACE for number in range(1, 6))


@looped
async def test_calls_that_are_turned_away_are_made_again_in_time_for_the_grace(
    tmp_path: Path, wall_clock: WallClock
) -> None:
    """Each of its watches ends just as a server begins to drain, and its next two calls are turned away. The
    wall clock is stepped with the second and the third."""
    async with stage(tmp_path, wall_clock) as made:
        for number, step_s in enumerate((0.0, HOUR_S, -HOUR_S)):
            while not made.discovery.open:
                await made.ask(made.discovery.requests + 1)
            await made.ask(made.discovery.requests + LASTED)
            wall_clock.set(step_s)
            drained_at = made.discovery.requests
            made.withdraw(number)
            made.discovery.busy = 2
            made.discovery.end_watches()
            await made.ask(drained_at + CALL + GRACE + MARGIN)
            assert 0 <= made.last_at(number) <= drained_at + CALL + GRACE
