"""Discovery: the watch on the list of backends."""

from __future__ import annotations

import asyncio
import json
import logging
import socket
from collections.abc import Callable

import h11

from sorrelfront.lists import Malformed, parse_update
from sorrelfront.messages import Address, Update
from sorrelfront.net.http import Wire, frame
from sorrelfront.terms import Config

log = logging.getLogger(__name__)

PATH = "/registry/instances"
HEARTBEAT_S = 2.0  # while nothing changes an empty line comes this often
SILENCE_S = HEARTBEAT_S + 1.0  # longer is a break; what it would have told counts as told after 6 s of it
LINE_MOST = 2 * 1024 * 1024  # some ten thousand entries; a line without end is a break


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

    def reload(self, config: Config) -> None:
        self.move(config.discovery)

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


def watch(config: Config, on_update: Callable[[Update], None], on_failure: Callable[[], None]) -> Discovery:
    """The registry's watch as the configuration tells of it."""
    return Discovery(config.discovery, config.known.revision, on_update, on_failure)
