"""Drains have to be applied within their grace, although discovery answers its callers in turn.

Restarted processes sent to a draining server up to 3.3 s after discovery had the drain. Others did so for as
long after their watch had ended and the next call was rejected. The wall clocks of these machines had been
stepped.

Discovery answers calls in turn, and an answer may take 2 s. A process that waited up to 2 s before its first
call, and up to 1.05 s after a failed one, had no call open in that time. It learned of a drain that
much later than a process that calls without a pause, from which the rule counts.

The log of each call to discovery (opened, accepted, answered) shows this beside the servers' records, and so
do these tests. Their result is the same whether or not the wall clock is stepped.

Time is counted in requests here: one client sends them one after the other, 10 ms apart, so that a machine
that stalls delays both sides.
"""

from __future__ import annotations

import asyncio
import contextlib
from pathlib import Path
from typing import Any

import pytest

from sorrelfront.lab.faults.wall_clock import WallClock
from tests.loopback import (
    WAIT_TIMEOUT_S,
    Backend,
    Client,
    Registry,
    answer,
    async_test,
    make_config,
    member,
    request,
)
from tests.test_process import Program

PACE_S = 0.01  # between requests
CALL_DELAY = 30  # requests during which a call to discovery waits for its turn
GRACE = 55  # requests during the grace of a drain and its slack, if none takes any time
WATCH_LENGTH = 110  # requests during which a watch stays open before it ends; more than a second
HOUR_S = 3_600.0
LONGEST_FIRST_WAIT = "34"  # the seed whose first draw is 0.978
MARGIN = 60  # requests sent after the last one that a draining server may get
SPREAD = 200  # requests in which every other server gets one, if none is slow


class QueuedDiscovery(Registry):
    """Discovery that answers calls in turn, delayed by CALL_DELAY requests; the test decides on its list."""

    def __init__(self) -> None:
        super().__init__()
        self.requests = 0
        self.calls: list[int] = []  # how many requests had been answered when each arrived
        self.calls_to_reject = 0  # calls to reject before one is accepted
        self._answered = asyncio.Condition()

    async def count(self) -> None:
        """Record that a client's request has been answered."""
        self.requests += 1
        async with self._answered:
            self._answered.notify_all()

    async def after(self, requests: int) -> None:
        """Wait until so many have been answered in all."""
        async with self._answered:
            await self._answered.wait_for(lambda: self.requests >= requests)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.calls.append(self.requests)
        if self.calls_to_reject:
            self.calls_to_reject -= 1
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                await reader.readuntil(b"\r\n\r\n")
                writer.write(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
            writer.close()
            return
        await self.after(self.requests + CALL_DELAY)
        await super()._serve(reader, writer)

    def end_watches(self) -> None:
        for writer in self._open:
            writer.close()


class Harness:
    """One program between a client that sends continuously, six servers and a slow discovery."""

    def __init__(self, folder: Path, clock: WallClock, seed: str) -> None:
        self.folder, self.clock, self.seed = folder, clock, seed
        self.discovery = QueuedDiscovery()

    async def start(self) -> None:
        self.servers = [await Backend(answer(b"served")).start() for _ in range(6)]
        await self.discovery.start()
        self.discovery.members = [self.entry(number) for number in range(6)]
        config = make_config(self.discovery.address, self.discovery.members)
        config["seed"] = self.seed
        config["settings"]["rules"]["askWithinUs"] = 10_000_000
        self.program = Program(self.folder, config, self.clock.environ)
        await self.program.start()
        self.client: Client = await self.program.ready()

    def entry(self, number: int, phase: str = "ready") -> dict[str, Any]:
        return member(f"b{number}", self.servers[number].address, phase)

    def drain(self, number: int) -> None:
        """List the server as draining from now on. Open watches are not notified; later calls get it."""
        self.discovery.members[number] = self.entry(number, "draining")
        self.discovery.revision += 1

    async def send_requests(self, until: int) -> None:
        """Send requests until so many have been answered in all."""
        while self.discovery.requests < until:
            self.client.send(request(f"r{self.discovery.requests}"))
            await self.client.answer()
            await self.discovery.count()
            await asyncio.sleep(PACE_S)

    async def send_until_used(self, numbers: range, after: int) -> None:
        """Send requests until each of these servers has had one that came after so many.

        A server that was slow to answer once is skipped until that is forgotten, however many requests come.
        """
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while any(self.last_at(number) <= after for number in numbers):
                await self.send_requests(self.discovery.requests + 1)

    def last_at(self, number: int) -> int:
        """Return the number of the last request that this server got, or -1."""
        names = [line[10:] for seen in self.servers[number].received for line in seen.split(b"\r\n")
                 if line.lower().startswith(b"x-call-id:")]  # fmt: skip
        return max((int(name.strip()[1:]) for name in names), default=-1)

    async def stop(self) -> None:
        assert self.clock.reads > 0
        if self.program.process.returncode is None:
            self.program.process.kill()
            await asyncio.wait_for(self.program.process.wait(), WAIT_TIMEOUT_S)
        for server in self.servers:
            server.stop()
        self.discovery.stop()


@contextlib.asynccontextmanager
async def harness(folder: Path, clock: WallClock, seed: str = "8c1f") -> Any:
    made = Harness(folder, clock, seed)
    await made.start()
    try:
        yield made
    finally:
        await made.stop()


@pytest.mark.parametrize("step_s", [0.0, -HOUR_S, HOUR_S])
@async_test
async def test_a_restarted_process_learns_of_a_drain_as_soon_as_one_that_calls_at_once(
    tmp_path: Path, wall_clock: WallClock, step_s: float
) -> None:
    """The wall clock is stepped before the start, and a server begins to drain during it."""
    wall_clock.set(step_s)
    async with harness(tmp_path, wall_clock, LONGEST_FIRST_WAIT) as made:
        made.drain(0)
        await made.send_requests(CALL_DELAY + GRACE + SPREAD)
        assert made.discovery.calls, "it never called"
        await made.send_until_used(range(1, 6), CALL_DELAY + GRACE)
        assert 0 <= made.last_at(0) <= CALL_DELAY + GRACE


@async_test
async def test_rejected_calls_are_repeated_within_the_grace(tmp_path: Path, wall_clock: WallClock) -> None:
    """Each watch ends just as a server begins to drain, and the next two calls are rejected.

    The wall clock is stepped at the second and at the third drain.
    """
    async with harness(tmp_path, wall_clock) as made:
        for number, step_s in enumerate((0.0, HOUR_S, -HOUR_S)):
            while not made.discovery.open_watches:
                await made.send_requests(made.discovery.requests + 1)
            await made.send_requests(made.discovery.requests + WATCH_LENGTH)
            wall_clock.set(step_s)
            drained_at = made.discovery.requests
            made.drain(number)
            made.discovery.calls_to_reject = 2
            made.discovery.end_watches()
            await made.send_requests(drained_at + CALL_DELAY + GRACE + MARGIN)
            assert 0 <= made.last_at(number) <= drained_at + CALL_DELAY + GRACE
