"""The ways in which a stand-in list of servers is kept: by an HTTP registry, or by ephemeral nodes."""

from __future__ import annotations

import time
from typing import Any, Protocol

from sorrelfront.lab.http1 import Registry, member
from sorrelfront.lab.zookeeper.ensemble import Ensemble
from sorrelfront.lab.zookeeper.registrar import Registrar

PATH = "/services/demo"
FLEET = "/fleets/demo"
SESSION_S = 1.0  # of the servers, and of the instances


class Listing(Protocol):
    """Servers are told of here, and the daemon's file says where to look."""

    async def start(self) -> None: ...

    def toml(self) -> str:
        """The keys of [membership]."""

    async def add(self, name: str, address: str, cold: bool = False) -> None: ...

    async def drain(self, name: str) -> None: ...

    async def stop(self) -> None: ...


class RegistryListing:
    def __init__(self) -> None:
        self.registry = Registry()
        self._addresses: dict[str, str] = {}

    async def start(self) -> None:
        await self.registry.start()

    def toml(self) -> str:
        return f'address = "{self.registry.address}"'

    async def add(self, name: str, address: str, cold: bool = False) -> None:
        self._addresses[name] = address
        started = {"up_since_ms": int(time.time() * 1000)} if cold else {}
        self.registry.change({**member(name, address), **started})

    async def drain(self, name: str) -> None:
        self.registry.change(member(name, self._addresses[name], "draining"))

    async def stop(self) -> None:
        self.registry.stop()


class EphemeralListing:
    """An ensemble of three, and servers that register themselves."""

    def __init__(self, members: int = 3, session_s: float = SESSION_S) -> None:
        self.ensemble = Ensemble(members)
        self.session_s = session_s

    async def start(self) -> None:
        await self.ensemble.start()
        self.registrar = Registrar(self.ensemble.hosts, PATH, self.session_s)
        await self.registrar.make_path()

    def toml(self) -> str:
        hosts = ", ".join(f'"{host}"' for host in self.ensemble.hosts.split(","))
        return (
            f'source = "zookeeper"\nhosts = [{hosts}]\npath = "{PATH}"\nfleet = "{FLEET}"\n'
            f"session_ms = {self.session_s * 1000:.0f}"
        )

    async def add(self, name: str, address: str, cold: bool = False) -> None:
        more: dict[str, Any] = {"started_ms": int(time.time() * 1000)} if cold else {}
        await self.registrar.register(name, address, **more)

    async def drain(self, name: str) -> None:
        await self.registrar.drain(name)

    def crowd(self) -> None:
        """The sessions of all servers expire at once, as after a stall."""
        self.ensemble.expire_under(PATH)

    async def stop(self) -> None:
        await self.registrar.close()
        await self.ensemble.stop()
