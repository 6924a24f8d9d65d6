"""Discovery: the watch on the list of backends, and where each backend is reached."""

from __future__ import annotations

import asyncio
import json
import logging
import re
import socket
from collections.abc import Callable
from ipaddress import AddressValueError, IPv4Address
from typing import Any, NamedTuple

import h11

from aspentrail import interface as api
from clayscale.messages import Address
from clayscale.net.http import Wire, frame

log = logging.getLogger(__name__)

PATH = "/registry/instances"
HEARTBEAT_S = 2.0  # while nothing changes an empty line comes this often
SILENCE_S = HEARTBEAT_S + 1.0  # longer is a break; what it would have told counts as told after 6 s of it
LINE_MOST = 2 * 1024 * 1024  # some ten thousand entries; a line without end is a break
PORT = re.compile(r"[0-9]{1,5}")

STATES = {"ready": api.State.READY, "draining": api.State.DRAINING, "gone": api.State.GONE}


class Malformed(Exception):
    """A list that does not say what it must."""


class Update(NamedTuple):
    """One line of discovery's: the whole list or what changed in it."""

    revision: int
    complete: bool
    backends: tuple[api.Backend, ...]
    addresses: dict[str, Address]


def parse_address(text: Any) -> Address:
    """An IPv4 address and a port. Risk: a name would be looked up, and there is no DNS."""
    host, _, port = str(text).rpartition(":")
    try:
        if PORT.fullmatch(port) and 0 < int(port) < 65_536:
            return str(IPv4Address(host)), int(port)
    except AddressValueError:
        pass
    raise Malformed(f"not an address: {str(text)[:80]!r}")


def parse_update(value: Any) -> Update:
    """A list in discovery's form; fields that it does not know are passed over."""
    try:
        backends, addresses = [], {}
        for member in value["members"]:
            backend = _backend(member)
            backends.append(backend)
            if backend.state is not api.State.GONE:
                addresses[backend.id] = parse_address(member["host_port"])
        return Update(int(value["revision"]), bool(value["complete"]), tuple(backends), addresses)
    except KeyError as missing:
        raise Malformed(f"{missing.args[0]} is missing") from None
    except (TypeError, ValueError, AttributeError, OverflowError) as fault:
        raise Malformed(str(fault)) from None


def _backend(member: dict[str, Any]) -> api.Backend:
    state = STATES.get(member["phase"])
    if state is None:
        raise Malformed(f"phase is unknown: {member['phase']!r}")
    return api.Backend(
        id=str(member["id"]),
        zone=str(member.get("locality", "")),
        kind=str(member.get("flavor", "")),
        cell=int(member.get("cell", 0)),
        state=state,
        weight=float(member.get("size", 1.0)),
        started_us=int(member.get("up_since_ms", 0)) * 1000,
    )


class Directory:
    """Where the listed backends are reached, and which of them want nothing new."""

    def __init__(self) -> None:
        self._addresses: dict[str, Address] = {}
        self._ready: dict[str, int] = {}  # and when each started

    def apply(self, update: Update) -> set[Address]:
        """Take on what discovery says. Returns the addresses of processes that want nothing new: they drain,
        are gone, or have been started anew."""
        addresses, ready = self._addresses, self._ready
        if update.complete:
            self._addresses, self._ready = {}, {}
        else:
            self._addresses, self._ready = dict(addresses), dict(ready)
        self._addresses.update(update.addresses)
        for backend in update.backends:
            if backend.state is api.State.READY:
                self._ready[backend.id] = backend.started_us
            else:
                self._ready.pop(backend.id, None)
            if backend.state is api.State.GONE:
                self._addresses.pop(backend.id, None)
        return {
            addresses[name]
            for name, started_us in ready.items()
            if self._ready.get(name) != started_us or self._addresses.get(name) != addresses[name]
        }

    def address(self, backend: str) -> Address | None:
        return self._addresses.get(backend)

    def is_ready(self, backend: str) -> bool:
        return backend in self._ready


class Discovery:
    """One watch, and beside it, only after a move, the earlier one. Each whole line goes to `on_update`; the
    end of the watch, however it comes, to `on_failure`."""

    def __init__(
        self,
        address: Address,
        revision: int,
        on_update: Callable[[Update], None],
        on_failure: Callable[[], None],
    ) -> None:
        self._address = address
        self._after = revision
        self._missed = False  # a line could not be read: ask again for what came after the last good one
        self._on_update = on_update
        self._on_failure = on_failure
        self._watch: asyncio.Task[None] | None = None
        self._earlier: asyncio.Task[None] | None = None  # at the address before the last move

    def subscribe(self) -> None:
        """Ask for changes from here on, in place of any earlier watch."""
        self.close()
        self._watch = asyncio.create_task(self._run())

    def move(self, address: Address) -> None:
        """Watch at another address from here on. The earlier watch is heard until the new one speaks. Risk:
        what discovery tells while the new one waits its turn would be missed, a drain among it."""
        if address == self._address:
            return
        self._address = address
        self._drop_earlier()
        self._earlier, self._watch = self._watch, asyncio.create_task(self._run())

    def close(self) -> None:
        self._drop_earlier()
        if self._watch is not None:
            self._watch.cancel()
            self._watch = None

    def _drop_earlier(self) -> None:
        if self._earlier is not None:
            self._earlier.cancel()
            self._earlier = None

    async def _run(self) -> None:
        try:
            await self._follow(self._address)
            log.warning("the watch ended")
        except (OSError, h11.ProtocolError, Malformed) as fault:  # TimeoutError is an OSError
            log.warning("the watch broke: %s: %s", type(fault).__name__, fault)
        except Exception:
            log.exception("the watch failed")
        if asyncio.current_task() is self._earlier:
            self._earlier = None  # it was to end; the watch that took its place goes on
            return
        self._watch = None
        self._on_failure()

    async def _follow(self, address: Address) -> None:
        loop = asyncio.get_running_loop()
        wire = Wire(socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK))
        try:
            async with asyncio.timeout(SILENCE_S):
                await loop.sock_connect(wire.sock, address)
            parser = h11.Connection(h11.CLIENT)
            request = h11.Request(
                method="GET",
                target=f"{PATH}?watch=1&after={self._after}",
                headers=[("Host", "{}:{}".format(*address))],
            )
            await wire.send(frame(parser, request, h11.EndOfMessage()), SILENCE_S)
            await self._read(parser, wire)
        finally:
            wire.close()

    async def _read(self, parser: h11.Connection, wire: Wire) -> None:
        """Only whole lines count. Risk: a watch that falls silent and stays open would hide every drain."""
        partial = bytearray()
        while True:
            event = parser.next_event()
            if event is h11.NEED_DATA:
                parser.receive_data(await wire.receive(SILENCE_S))
            elif isinstance(event, h11.Response):
                if event.status_code != 200:
                    raise Malformed(f"status {event.status_code}")
            elif isinstance(event, h11.Data):
                *lines, rest = event.data.split(b"\n")
                for line in lines:
                    self._line(bytes(partial + line))
                    partial.clear()
                partial += rest
                if len(partial) > LINE_MOST:
                    raise Malformed("a line without end")
            elif not isinstance(event, h11.InformationalResponse):
                return

    def _line(self, line: bytes) -> None:
        if self._earlier is not None and asyncio.current_task() is not self._earlier:
            self._drop_earlier()
        if not line.strip():
            return
        try:
            update = parse_update(json.loads(line))
        except (Malformed, ValueError) as fault:
            log.warning("a line of the watch is passed over: %s", fault)
            self._missed = True
            return
        if update.complete:
            self._missed = False
        if not self._missed:
            self._after = update.revision
        self._on_update(update)
