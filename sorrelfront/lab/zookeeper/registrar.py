"""Stand-ins for servers that register themselves: each has a session and an ephemeral node."""

from __future__ import annotations

import asyncio
import contextlib
import json
from dataclasses import dataclass, field
from typing import Any

from sorrelfront.lists import parse_address
from sorrelfront.net import zookeeper as net
from sorrelfront.net.jute import Err, Event, Flag

WAIT_TIMEOUT_S = 30.0  # only a failing test waits this long


@dataclass(slots=True)
class Registration:
    """One server's registration; unless `again` is false, an expired session is followed by a new one."""

    name: str
    record: dict[str, Any]
    node: str
    session: net.Session
    reregister: bool = True
    tasks: set[asyncio.Task[None]] = field(default_factory=set)


class Registrar:
    """Creates the path and registers servers below it."""

    def __init__(self, hosts: str, path: str, timeout_s: float = 1.0, seed: int = 1) -> None:
        self.hosts = tuple(parse_address(host) for host in hosts.split(","))
        self.path, self.timeout_s, self._seed = path, timeout_s, seed
        self.servers: dict[str, Registration] = {}
        self.admin = net.Session(
            net.SessionSettings(self.hosts, timeout_s), seed, _ignore_state, _ignore_event
        )

    async def create_path(self) -> None:
        """Create each node of the path that does not exist yet."""
        for depth in range(2, len(self.path.split("/")) + 1):
            with contextlib.suppress(net.ZooKeeperError):
                await self.admin.create("/".join(self.path.split("/")[:depth]), b"")

    async def register(self, name: str, address: str, node: str = "", **more: Any) -> Registration:
        """Register a server and return once its node exists; raises TimeoutError after WAIT_TIMEOUT_S."""
        record = {"id": name, "address": address, "started_ms": 1_000, **more}
        entry = self.servers[name] = Registration(name, record, node or name, None)  # type: ignore[arg-type]
        self._open(entry)
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            await self._create_node(entry)
        return entry

    def _open(self, entry: Registration) -> None:
        def on_state(state: net.SessionState) -> None:
            if state is net.SessionState.EXPIRED and entry.reregister:
                task = asyncio.create_task(self._create_node(entry))
                entry.tasks.add(task)
                task.add_done_callback(entry.tasks.discard)

        self._seed += 1
        entry.session = net.Session(
            net.SessionSettings(self.hosts, self.timeout_s), self._seed, on_state, _ignore_event
        )

    async def _create_node(self, entry: Registration) -> None:
        while True:
            try:
                data = json.dumps(entry.record).encode()
                await entry.session.create(f"{self.path}/{entry.node}", data, Flag.EPHEMERAL)
                return
            except net.ConnectionLost:
                continue
            except net.ZooKeeperError as error:
                if error.err == Err.NODE_EXISTS:
                    # The server's own node, of its previous session, which has not expired yet.
                    with contextlib.suppress(net.ZooKeeperError, net.ConnectionLost):
                        await entry.session.delete(f"{self.path}/{entry.node}")
                elif error.err == Err.NO_NODE:
                    await asyncio.sleep(0.05)
                else:
                    raise

    async def drain(self, name: str) -> None:
        """Write the draining phase into the server's record."""
        entry = self.servers[name]
        entry.record["phase"] = "draining"
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while True:
                try:
                    await entry.session.put(f"{self.path}/{entry.node}", json.dumps(entry.record).encode())
                    return
                except net.ConnectionLost:
                    continue
                except net.ZooKeeperError:  # it is being registered again, with the current record
                    await asyncio.sleep(0.02)

    async def deregister(self, name: str) -> None:
        """End the server's session, which deletes its node."""
        entry = self.servers.pop(name)
        entry.reregister = False
        await entry.session.close()

    def crash(self, name: str) -> None:
        """Stop the server's heartbeats without closing the session, which ends when it expires."""
        entry = self.servers.pop(name)
        entry.reregister = False
        entry.session.abandon()

    async def close(self) -> None:
        """Abandon all sessions and stop registering."""
        for entry in self.servers.values():
            entry.reregister = False
            entry.session.abandon()
            for task in [*entry.tasks]:
                task.cancel()
        self.servers.clear()
        self.admin.abandon()
        await asyncio.sleep(0)


def _ignore_state(state: net.SessionState) -> None:
    """Ignore a change of the session's state."""


def _ignore_event(event: Event, path: str) -> None:
    """Ignore a watch event; none is expected, as no watch is set."""
