"""Stand-in sources of membership: an HTTP registry, or ephemeral nodes of an ensemble."""

from __future__ import annotations

import time
from typing import Any, Protocol

from sorrelfront.lab.http1 import Registry, member
from sorrelfront.lab.zookeeper.ensemble import Ensemble
from sorrelfront.lab.zookeeper.registrar import Registrar

PATH = "/services/demo"
FLEET = "/fleets/demo"
SESSION_S = 1.0  # session timeout of the servers and of the instances


class Listing(Protocol):
    """A source of membership, which servers are added to and the daemon reads."""

    async def start(self) -> None:
        """Start listening."""
        ...

    def toml(self) -> str:
        """Return the keys of the [membership] table of the daemon's file."""

    async def add(self, name: str, address: str, cold: bool = False) -> None:
        """Add a server; a cold one is listed as started just now."""
        ...

    async def drain(self, name: str) -> None:
        """Mark a server as draining."""
        ...

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        ...


class RegistryListing:
    """Lists the servers in an HTTP registry."""

    def __init__(self) -> None:
        self.registry = Registry()
        self._addresses: dict[str, str] = {}

    async def start(self) -> None:
        """Start the registry."""
        await self.registry.start()

    def toml(self) -> str:
        """Return the keys of [membership] that point to the registry."""
        return f'address = "{self.registry.address}"'

    async def add(self, name: str, address: str, cold: bool = False) -> None:
        """Add a server; a cold one is listed as started just now."""
        self._addresses[name] = address
        started = {"up_since_ms": int(time.time() * 1000)} if cold else {}
        self.registry.update({**member(name, address), **started})

    async def drain(self, name: str) -> None:
        """Change the server's phase to draining."""
        self.registry.update(member(name, self._addresses[name], "draining"))

    async def stop(self) -> None:
        """Stop the registry."""
        self.registry.stop()


class EphemeralListing:
    """Lists the servers as ephemeral nodes of an ensemble, which they create themselves."""

    def __init__(self, members: int = 3, session_s: float = SESSION_S) -> None:
        self.ensemble = Ensemble(members)
        self.session_s = session_s

    async def start(self) -> None:
        """Start the ensemble and create the path of the registrations."""
        await self.ensemble.start()
        self.registrar = Registrar(self.ensemble.hosts, PATH, self.session_s)
        await self.registrar.create_path()

    def toml(self) -> str:
        """Return the keys of [membership] that point to the ensemble."""
        hosts = ", ".join(f'"{host}"' for host in self.ensemble.hosts.split(","))
        return (
            f'source = "zookeeper"\nhosts = [{hosts}]\npath = "{PATH}"\nfleet = "{FLEET}"\n'
            f"session_ms = {self.session_s * 1000:.0f}"
        )

    async def add(self, name: str, address: str, cold: bool = False) -> None:
        """Register a server; a cold one is registered as started just now."""
        more: dict[str, Any] = {"started_ms": int(time.time() * 1000)} if cold else {}
        await self.registrar.register(name, address, **more)

    async def drain(self, name: str) -> None:
        """Write the draining phase into the server's node."""
        await self.registrar.drain(name)

    def expire_all(self) -> None:
        """Expire the sessions of all servers at once, as after a stall."""
        self.ensemble.expire_under(PATH)

    async def stop(self) -> None:
        """Close all sessions and stop the ensemble."""
        await self.registrar.close()
        await self.ensemble.stop()
