"""Servers that register themselves: a session each, a node each, and the record in it."""

from __future__ import annotations

import asyncio
import contextlib
import json
from dataclasses import dataclass, field
from typing import Any

from sorrelfront.lists import parse_address
from sorrelfront.net import zookeeper as net
from sorrelfront.net.jute import Err, Event, Flag

PATIENCE_S = 30.0  # only a failing test waits for so long


@dataclass(slots=True)
class Registered:
    """One server's registration; it registers again whenever its session has been lost."""

    name: str
    record: dict[str, Any]
    node: str
    session: net.Session
    again: bool = True
    tasks: set[asyncio.Task[None]] = field(default_factory=set)


class Registrar:
    """Makes the path, and registers servers below it."""

    def __init__(self, hosts: str, path: str, timeout_s: float = 1.0, seed: int = 1) -> None:
        self.hosts = tuple(parse_address(host) for host in hosts.split(","))
        self.path, self.timeout_s, self._seed = path, timeout_s, seed
        self.servers: dict[str, Registered] = {}
        self.admin = net.Session(net.Terms(self.hosts, timeout_s), seed, _no_life, _no_event)

    async def make_path(self) -> None:
        for depth in range(2, len(self.path.split("/")) + 1):
            with contextlib.suppress(net.NotDone):
                await self.admin.create("/".join(self.path.split("/")[:depth]), b"")

    async def register(self, name: str, address: str, node: str = "", **more: Any) -> Registered:
        """Returns once its node is there."""
        record = {"id": name, "address": address, "started_ms": 1_000, **more}
        made = self.servers[name] = Registered(name, record, node or name, None)  # type: ignore[arg-type]
        self._open(made)
        async with asyncio.timeout(PATIENCE_S):
            await self._write(made)
        return made

    def _open(self, made: Registered) -> None:
        def on_life(life: net.Life) -> None:
            if life is net.Life.EXPIRED and made.again:
                task = asyncio.create_task(self._write(made))
                made.tasks.add(task)
                task.add_done_callback(made.tasks.discard)

        self._seed += 1
        made.session = net.Session(net.Terms(self.hosts, self.timeout_s), self._seed, on_life, _no_event)

    async def _write(self, made: Registered) -> None:
        while True:
            try:
                data = json.dumps(made.record).encode()
                await made.session.create(f"{self.path}/{made.node}", data, Flag.EPHEMERAL)
                return
            except net.Lost:
                continue
            except net.NotDone as refused:
                if refused.err == Err.NODE_EXISTS:
                    # Its own of the session before, which has not expired yet.
                    with contextlib.suppress(net.NotDone, net.Lost):
                        await made.session.delete(f"{self.path}/{made.node}")
                elif refused.err == Err.NO_NODE:
                    await asyncio.sleep(0.05)
                else:
                    raise

    async def drain(self, name: str) -> None:
        """Say in the record that it drains."""
        made = self.servers[name]
        made.record["phase"] = "draining"
        async with asyncio.timeout(PATIENCE_S):
            while True:
                try:
                    await made.session.put(f"{self.path}/{made.node}", json.dumps(made.record).encode())
                    return
                except net.Lost:
                    continue
                except net.NotDone:  # it is being registered again, with what its record says now
                    await asyncio.sleep(0.02)

    async def leave(self, name: str) -> None:
        """End its session, and its node with it."""
        made = self.servers.pop(name)
        made.again = False
        await made.session.close()

    def crash(self, name: str) -> None:
        """Fall silent: the session lives on until it expires."""
        made = self.servers.pop(name)
        made.again = False
        made.session.abandon()

    async def close(self) -> None:
        for made in self.servers.values():
            made.again = False
            made.session.abandon()
            for task in [*made.tasks]:
                task.cancel()
        self.servers.clear()
        self.admin.abandon()
        await asyncio.sleep(0)


def _no_life(life: net.Life) -> None:
    """Nothing follows of it."""


def _no_event(event: Event, path: str) -> None:
    """No watch is set."""
