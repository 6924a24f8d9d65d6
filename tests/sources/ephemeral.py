"""Runs sources of ephemeral nodes in the test's process, by a scripted ensemble and servers that register."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

from sorrelfront.agent import Clock
from sorrelfront.decisions import membership, seat_allocation
from sorrelfront.decisions.interface import State
from sorrelfront.decisions.membership import Answering
from sorrelfront.lab.http1 import WAIT_TIMEOUT_S
from sorrelfront.lab.zookeeper.ensemble import Ensemble
from sorrelfront.lab.zookeeper.registrar import Registrar
from sorrelfront.lists import parse_address
from sorrelfront.messages import Address, Update
from sorrelfront.net import zookeeper as net
from sorrelfront.sources.zookeeper import EphemeralNodeSource, SourceSettings

PATH = "/services/stock"
SESSION_S = 0.6


class Instance:
    """The source of one instance, and the list that its balancer receives."""

    def __init__(self, ensemble: Ensemble, seed: int = 1, fleet: str = "", suspect_s: float = 5.0) -> None:
        self.hosts = tuple(parse_address(host) for host in ensemble.hosts.split(","))
        self.states: dict[str, State] = {}
        self.started: dict[str, int] = {}
        self.addresses: dict[str, Address] = {}
        self.history: list[tuple[float, str, State]] = []
        self.answering: dict[str, Answering] = {}
        self.seat_changes: list[int | None] = []
        settings = SourceSettings(
            net.SessionSettings(self.hosts, SESSION_S), PATH, fleet,
            membership.Settings(int(suspect_s * 1e6), 200_000, 5_000_000),
            seat_allocation.Settings(hole_us=300_000, keep_us=1_000_000, spread_us=20_000),
        )  # fmt: skip
        self.source = EphemeralNodeSource(
            settings, seed, f"i{seed}", Clock(), lambda name, _: self.answering.get(name, Answering.UNKNOWN),
            self.on_update, self.seat_changes.append,
        )  # fmt: skip
        self.source.subscribe()

    def on_update(self, update: Update) -> None:
        if update.complete:
            self.states.clear()
        self.addresses.update(update.addresses)
        for backend in update.backends:
            self.states[backend.id] = backend.state
            self.started[backend.id] = backend.started_us
            self.history.append((asyncio.get_running_loop().time(), backend.id, backend.state))

    @property
    def ready(self) -> set[str]:
        return {name for name, state in self.states.items() if state is State.READY}


class Environment:
    def __init__(self, ensemble: Ensemble, registrar: Registrar) -> None:
        self.ensemble, self.registrar = ensemble, registrar
        self.instances: list[Instance] = []

    def instance(self, **more: Any) -> Instance:
        instance = Instance(self.ensemble, seed=len(self.instances) + 1, **more)
        self.instances.append(instance)
        return instance

    async def servers(self, count: int) -> set[str]:
        for at in range(count):
            await self.registrar.register(f"b{at}", f"127.0.0.1:{9_000 + at}")
        return {f"b{at}" for at in range(count)}


@contextlib.asynccontextmanager
async def environment(members: int = 1) -> AsyncIterator[Environment]:
    ensemble = await Ensemble(members).start()
    registrar = Registrar(ensemble.hosts, PATH, SESSION_S)
    env = Environment(ensemble, registrar)
    try:
        await registrar.create_path()
        yield env
    finally:
        for instance in env.instances:
            instance.source.close()
        await registrar.close()
        await ensemble.stop()


def run_scenario(scenario: Callable[[Environment], Awaitable[None]], members: int = 1) -> None:
    async def run() -> None:
        async with asyncio.timeout(WAIT_TIMEOUT_S), environment(members) as env:
            await scenario(env)

    asyncio.run(run())
