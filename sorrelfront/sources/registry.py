"""Discovery: the watch on the list of backends."""

from __future__ import annotations

import asyncio
import json
import logging
import re
import socket
import time
from collections.abc import Callable
from random import Random

import h11

from sorrelfront.decisions.listing import DiscoveryCall, WatchTimer
from sorrelfront.lists import Malformed, parse_update
from sorrelfront.messages import Address, Update
from sorrelfront.net.http import Wire, frame
from sorrelfront.terms import Config

log = logging.getLogger(__name__)

PATH = "/registry/instances"
TEXT_MOST = 2 * 1024 * 1024  # bytes of one update, some ten thousand entries; one without end is a break
SEED = 0x11C7  # apart from the decisions' draws
# JSON's strings (RFC 8259, 7), and what opens and closes.
BRACKETS = re.compile(rb'"(?:[^"\\]|\\.)*"|[{}\[\]]')


def now_us() -> int:
    return time.monotonic_ns() // 1_000


class _Spoilt(Exception):
    """An update that cannot be read, for the first time."""


class Texts:
    """Cuts a watch into updates: one JSON object a line, or one that is indented over several. No I/O."""

    def __init__(self) -> None:
        self._lines = bytearray()  # of an object that goes on
        self._depth = 0

    def add(self, line: bytes) -> bytes | None:
        """The next line. An object that ends with it; None while one goes on, and for an empty line. Raises
        Malformed for what cannot be part of one, and then begins anew."""
        if not line.strip():
            if self._depth:
                # An empty line is the service's sign of life between objects, and none stands within one.
                self._drop()
                raise Malformed("an object that does not go on")
            return None
        if self._depth and line[:1] == b"{" and b'"members"' in line:
            # Risk: behind half an object every later one would be taken for its rest, and hide each drain.
            self._drop()
            raise Malformed("an object within another")
        if not self._depth and line.rstrip()[-1:] == b"}":
            return line  # nearly every one
        self._lines += line
        self._lines += b"\n"
        if len(self._lines) > TEXT_MOST:
            self._drop()
            raise Malformed("an object without end")
        for found in BRACKETS.finditer(line):
            if found[0] in (b"{", b"["):
                self._depth += 1
            elif found[0] in (b"}", b"]"):
                self._depth -= 1
        if self._depth > 0:
            return None
        text = bytes(self._lines)
        self._drop()
        return text

    def _drop(self) -> None:
        self._lines.clear()
        self._depth = 0


class Discovery:
    """One watch, and beside it, only after a move, the earlier one. Each update goes to `on_update`; the end
    of the watch, however it comes, to `on_failure`, unless the clock says that this is no time to wait."""

    def __init__(
        self,
        address: Address,
        revision: int,
        on_update: Callable[[Update], None],
        on_failure: Callable[[], None],
        clock: WatchTimer,
    ) -> None:
        self._address = address
        self._after = revision
        self._missed = False  # an update could not be read: ask again for what came after the last good one
        self._spoilt_after = -1  # the revision after which an update could not be read: asked for once more
        self._on_update = on_update
        self._on_failure = on_failure
        self.clock = clock
        self._watch: asyncio.Task[None] | None = None
        self._earlier: asyncio.Task[None] | None = None  # at the address before the last move
        self._again: asyncio.TimerHandle | None = None

    def subscribe(self) -> None:
        """Ask for changes from here on, unless a call is open: one that was opened by a move, after the
        decisions had set their timer, would lose its turn."""
        self._drop_again()
        if self._watch is None:
            self._watch = asyncio.create_task(self._run())

    def move(self, address: Address) -> None:
        """Watch at another address from here on. The earlier watch is heard until the new one speaks. Risk:
        what discovery tells while the new one waits its turn would be missed, a drain among it."""
        if address == self._address:
            return
        self._address = address
        self.clock.moved(now_us())
        self._drop_earlier()
        self._drop_again()
        self._earlier, self._watch = self._watch, asyncio.create_task(self._run())

    def reload(self, config: Config) -> None:
        self.clock.pushed = not config.settings.subscribe
        self.clock.within_us = config.settings.ask_within_us
        self.clock.grace_us = config.settings.drain_grace_us
        self.move(config.discovery)

    def close(self) -> None:
        self._drop_earlier()
        self._drop_again()
        if self._watch is not None:
            self._watch.cancel()
            self._watch = None

    def _drop_earlier(self) -> None:
        if self._earlier is not None:
            self._earlier.cancel()
            self._earlier = None

    def _drop_again(self) -> None:
        if self._again is not None:
            self._again.cancel()
            self._again = None

    async def _run(self) -> None:
        call = self.clock.opened(now_us())
        silent = spoilt = unreachable = False
        end = "its end"
        log.info("watch %d: opened at %s:%d after revision %d", call.number, *self._address, self._after)
        try:
            await self._follow(self._address, call)
        except _Spoilt as fault:
            spoilt = True
            end = str(fault)
        except (OSError, h11.ProtocolError, Malformed) as fault:
            silent = isinstance(fault, TimeoutError)
            unreachable = isinstance(fault, ConnectionRefusedError)
            end = f"{type(fault).__name__}: {fault}"
        except Exception:
            end = "a fault of this program"
            log.exception("the watch failed")
        log.warning("watch %d: broke after %.3f s, %.3f s after its last line: %s", call.number,
                    (now_us() - call.opened) / 1e6, (now_us() - call.since) / 1e6, end)  # fmt: skip
        if asyncio.current_task() is self._earlier:
            self._earlier = None  # it was to end; the watch that took its place goes on
            return
        self._watch = None
        wait_us = 0 if spoilt else self.clock.ended(call, now_us(), silent, unreachable)
        log.info("watch %d: %s", call.number,
                 "the back-off says when the next one is opened" if wait_us is None
                 else f"the next one is opened in {wait_us / 1e6:.3f} s")  # fmt: skip
        if wait_us is None:
            self._on_failure()
        else:
            self._again = asyncio.get_running_loop().call_later(wait_us / 1e6, self.subscribe)

    async def _follow(self, address: Address, call: DiscoveryCall) -> None:
        loop = asyncio.get_running_loop()
        wire = Wire(socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK))
        try:
            async with asyncio.timeout(_left_s(call)):
                await loop.sock_connect(wire.sock, address)
            parser = h11.Connection(h11.CLIENT)
            request = h11.Request(
                method="GET",
                target=f"{PATH}?watch=1&after={self._after}",
                headers=[("Host", "{}:{}".format(*address))],
            )
            await wire.send(frame(parser, request, h11.EndOfMessage()), _left_s(call))
            await self._read(parser, wire, call)
        finally:
            wire.close()

    async def _read(self, parser: h11.Connection, wire: Wire, call: DiscoveryCall) -> None:
        """Only whole lines count. Risk: a watch that falls silent and stays open would hide every drain."""
        partial, texts = bytearray(), Texts()
        while True:
            event = parser.next_event()
            if event is h11.NEED_DATA:
                parser.receive_data(await wire.receive(_left_s(call)))
            elif isinstance(event, h11.Response):
                if event.status_code != 200:
                    raise Malformed(f"status {event.status_code}")
                call.began(now_us())
                log.info("watch %d: accepted after %.3f s", call.number, (now_us() - call.opened) / 1e6)
            elif isinstance(event, h11.Data):
                *lines, rest = event.data.split(b"\n")
                for line in lines:
                    self._line(bytes(partial + line), texts, call)
                    partial.clear()
                partial += rest
                if len(partial) > TEXT_MOST:
                    raise Malformed("a line without end")
            elif not isinstance(event, h11.InformationalResponse):
                return

    def _line(self, line: bytes, texts: Texts, call: DiscoveryCall) -> None:
        """Take one line. Raises _Spoilt, so that the call is made anew after the last good update."""
        self.clock.line(call, now_us())
        if self._earlier is not None and asyncio.current_task() is not self._earlier:
            self._drop_earlier()
        try:
            text = texts.add(line)
            if text is None:
                return
            update = parse_update(json.loads(text))
        except (Malformed, ValueError) as fault:
            self._spoilt(fault)
            return
        if update.complete:
            self._missed = False
        if not self._missed:
            self._after = update.revision
        log.info("watch %d: list %d (%s), %d entries, after %.3f s", call.number, update.revision,
                 "whole" if update.complete else "changes", len(update.backends),
                 (now_us() - call.opened) / 1e6)  # fmt: skip
        self._on_update(update)

    def _spoilt(self, fault: Exception) -> None:
        """An update that cannot be read may hide a drain: asked for once more, then passed over."""
        self._missed = True
        if self._spoilt_after != self._after:
            self._spoilt_after = self._after
            raise _Spoilt(f"an update cannot be read: {fault}")
        log.warning("an update of the watch is passed over: %s", fault)


def _left_s(call: DiscoveryCall) -> float:
    return max(0.001, (call.due - now_us()) / 1e6)


def watch(config: Config, on_update: Callable[[Update], None], on_failure: Callable[[], None]) -> Discovery:
    """The registry's watch as the configuration tells of it."""
    settings = config.settings
    random = Random(config.seed ^ SEED).random
    clock = WatchTimer(not settings.subscribe, random, settings.ask_within_us, settings.drain_grace_us)
    return Discovery(config.discovery, config.known.revision, on_update, on_failure, clock)
