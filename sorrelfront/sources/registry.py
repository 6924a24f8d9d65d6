"""Discovery by HTTP: long-polling watches on the list of backends."""

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

from sorrelfront.agent_config import Config
from sorrelfront.decisions.discovery_timing import DiscoveryCall, WatchTimer
from sorrelfront.lists import MalformedList, parse_update
from sorrelfront.messages import Address, Update
from sorrelfront.net.http import Wire, frame_events

log = logging.getLogger(__name__)

PATH = "/registry/instances"
MAX_UPDATE_BYTES = 2 * 1024 * 1024  # some ten thousand entries; a longer update breaks the watch
SEED_MASK = 0x11C7  # keeps the draws apart from those of the decisions
# JSON strings (RFC 8259, section 7) and brackets.
BRACKETS = re.compile(rb'"(?:[^"\\]|\\.)*"|[{}\[\]]')


def now_us() -> int:
    """Return the monotonic time in microseconds."""
    return time.monotonic_ns() // 1_000


class _UnreadableUpdate(Exception):
    """An update after the current revision cannot be read, for the first time."""


class UpdateSplitter:
    """Splits a watch into updates: JSON objects on one line, or indented over several. No I/O."""

    def __init__(self) -> None:
        self._pending = bytearray()  # of an incomplete object
        self._depth = 0

    def add(self, line: bytes) -> bytes | None:
        """Take the next line, and return the object that it completes.

        Returns None for an empty line and while an object is incomplete.

        Raises:
            Malformed: The line cannot be part of an object; what came before it is discarded.
        """
        if not line.strip():
            if self._depth:
                # The service sends empty lines as heartbeats between objects, never within one.
                self._reset()
                raise MalformedList("an object that does not go on")
            return None
        if self._depth and line[:1] == b"{" and b'"members"' in line:
            # After a truncated object each later one would be taken for its rest, and drains would be missed.
            self._reset()
            raise MalformedList("an object within another")
        if not self._depth and line.rstrip()[-1:] == b"}":
            return line  # the usual case
        self._pending += line
        self._pending += b"\n"
        if len(self._pending) > MAX_UPDATE_BYTES:
            self._reset()
            raise MalformedList("an object without end")
        for found in BRACKETS.finditer(line):
            if found[0] in (b"{", b"["):
                self._depth += 1
            elif found[0] in (b"}", b"]"):
                self._depth -= 1
        if self._depth > 0:
            return None
        text = bytes(self._pending)
        self._reset()
        return text

    def _reset(self) -> None:
        self._pending.clear()
        self._depth = 0


class Discovery:
    """A watch on the list service; after a move the previous watch stays open beside the new one.

    Each update is passed to `on_update`. When the watch ends, for whatever reason, either the clock gives a
    time after which it is opened again, or `on_failure` is called and the caller's back-off decides.
    """

    def __init__(
        self,
        address: Address,
        revision: int,
        on_update: Callable[[Update], None],
        on_failure: Callable[[], None],
        clock: WatchTimer,
    ) -> None:
        self._address = address
        self._revision = revision
        self._update_missed = False  # an update could not be read: request changes after the last good one
        self._unreadable_after = -1  # the revision after which an unreadable update was requested again
        self._on_update = on_update
        self._on_failure = on_failure
        self.clock = clock
        self._watch: asyncio.Task[None] | None = None
        self._previous: asyncio.Task[None] | None = None  # at the address before the last move
        self._retry_timer: asyncio.TimerHandle | None = None

    def subscribe(self) -> None:
        """Open a watch for changes after the known revision, unless one is open.

        A move may have opened one after the decisions set their timer. Opening it again would lose its turn
        at the service.
        """
        self._cancel_retry()
        if self._watch is None:
            self._watch = asyncio.create_task(self._run())

    def move(self, address: Address) -> None:
        """Open a watch at another address.

        The previous watch is read until the new one delivers a line. Otherwise updates sent while the new one
        waits for its turn at the service would be missed, drains among them.
        """
        if address == self._address:
            return
        self._address = address
        self.clock.address_changed(now_us())
        self._cancel_previous()
        self._cancel_retry()
        self._previous, self._watch = self._watch, asyncio.create_task(self._run())

    def reload(self, config: Config) -> None:
        """Apply a new configuration, and move to its address if that has changed."""
        self.clock.pushed = not config.settings.subscribe
        self.clock.within_us = config.settings.ask_within_us
        self.clock.grace_us = config.settings.drain_grace_us
        self.move(config.discovery)

    def close(self) -> None:
        """Cancel the watches and the timer."""
        self._cancel_previous()
        self._cancel_retry()
        if self._watch is not None:
            self._watch.cancel()
            self._watch = None

    def _cancel_previous(self) -> None:
        if self._previous is not None:
            self._previous.cancel()
            self._previous = None

    def _cancel_retry(self) -> None:
        if self._retry_timer is not None:
            self._retry_timer.cancel()
            self._retry_timer = None

    async def _run(self) -> None:
        call = self.clock.call_opened(now_us())
        silent = unreadable = unreachable = False
        end = "its end"
        log.info("watch %d: opened at %s:%d after revision %d", call.number, *self._address, self._revision)
        try:
            await self._follow(self._address, call)
        except _UnreadableUpdate as fault:
            unreadable = True
            end = str(fault)
        except (OSError, h11.ProtocolError, MalformedList) as fault:
            silent = isinstance(fault, TimeoutError)
            unreachable = isinstance(fault, ConnectionRefusedError)
            end = f"{type(fault).__name__}: {fault}"
        except Exception:
            end = "a fault of this program"
            log.exception("the watch failed")
        log.warning("watch %d: broke after %.3f s, %.3f s after its last line: %s", call.number,
                    (now_us() - call.opened_at) / 1e6, (now_us() - call.last_line_at) / 1e6, end)  # fmt: skip
        if asyncio.current_task() is self._previous:
            self._previous = None  # the watch that replaces it continues
            return
        self._watch = None
        wait_us = 0 if unreadable else self.clock.call_ended(call, now_us(), silent, unreachable)
        log.info("watch %d: %s", call.number,
                 "the back-off decides when the next one is opened" if wait_us is None
                 else f"the next one is opened in {wait_us / 1e6:.3f} s")  # fmt: skip
        if wait_us is None:
            self._on_failure()
        else:
            self._retry_timer = asyncio.get_running_loop().call_later(wait_us / 1e6, self.subscribe)

    async def _follow(self, address: Address, call: DiscoveryCall) -> None:
        loop = asyncio.get_running_loop()
        wire = Wire(socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK))
        try:
            async with asyncio.timeout(_remaining_s(call)):
                await loop.sock_connect(wire.sock, address)
            parser = h11.Connection(h11.CLIENT)
            request = h11.Request(
                method="GET",
                target=f"{PATH}?watch=1&after={self._revision}",
                headers=[("Host", "{}:{}".format(*address))],
            )
            await wire.send(frame_events(parser, request, h11.EndOfMessage()), _remaining_s(call))
            await self._read(parser, wire, call)
        finally:
            wire.close()

    async def _read(self, parser: h11.Connection, wire: Wire, call: DiscoveryCall) -> None:
        """Read lines until the answer ends.

        Only complete lines count as activity: a watch that is open but silent would hide every drain.
        """
        partial, splitter = bytearray(), UpdateSplitter()
        while True:
            event = parser.next_event()
            if event is h11.NEED_DATA:
                parser.receive_data(await wire.receive(_remaining_s(call)))
            elif isinstance(event, h11.Response):
                if event.status_code != 200:
                    raise MalformedList(f"status {event.status_code}")
                call.response_started(now_us())
                log.info("watch %d: accepted after %.3f s", call.number, (now_us() - call.opened_at) / 1e6)
            elif isinstance(event, h11.Data):
                *lines, rest = event.data.split(b"\n")
                for line in lines:
                    self._handle_line(bytes(partial + line), splitter, call)
                    partial.clear()
                partial += rest
                if len(partial) > MAX_UPDATE_BYTES:
                    raise MalformedList("a line without end")
            elif not isinstance(event, h11.InformationalResponse):
                return

    def _handle_line(self, line: bytes, splitter: UpdateSplitter, call: DiscoveryCall) -> None:
        """Process one line. Raises _UnreadableUpdate, to reopen the watch after the last good update."""
        self.clock.line_received(call, now_us())
        if self._previous is not None and asyncio.current_task() is not self._previous:
            self._cancel_previous()
        try:
            text = splitter.add(line)
            if text is None:
                return
            update = parse_update(json.loads(text))
        except (MalformedList, ValueError) as fault:
            self._handle_unreadable(fault)
            return
        if update.complete:
            self._update_missed = False
        if not self._update_missed:
            self._revision = update.revision
        log.info("watch %d: list %d (%s), %d entries, after %.3f s", call.number, update.revision,
                 "whole" if update.complete else "changes", len(update.backends),
                 (now_us() - call.opened_at) / 1e6)  # fmt: skip
        self._on_update(update)

    def _handle_unreadable(self, fault: Exception) -> None:
        """Request an unreadable update once more, since it may hide a drain, and skip it the second time."""
        self._update_missed = True
        if self._unreadable_after != self._revision:
            self._unreadable_after = self._revision
            raise _UnreadableUpdate(f"an update cannot be read: {fault}")
        log.warning("an unreadable update of the watch is skipped: %s", fault)


def _remaining_s(call: DiscoveryCall) -> float:
    return max(0.001, (call.timeout_at - now_us()) / 1e6)


def watch(config: Config, on_update: Callable[[Update], None], on_failure: Callable[[], None]) -> Discovery:
    """Create the discovery source that the configuration describes."""
    settings = config.settings
    random = Random(config.seed ^ SEED_MASK).random
    clock = WatchTimer(not settings.subscribe, random, settings.ask_within_us, settings.drain_grace_us)
    return Discovery(config.discovery, config.cached_list.revision, on_update, on_failure, clock)
