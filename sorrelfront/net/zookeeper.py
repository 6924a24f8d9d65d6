"""A session with a ZooKeeper-style service, over asyncio streams: connects, keeps alive, comes back.

It decides nothing about what is read. What a server sends is checked: a frame or a record that cannot be read
ends the connection with one log line, and the next server is tried. Memory is bounded by one frame and by
PENDING_MOST requests.

Sources: zookeeper.jute and the programmer's guide of Apache ZooKeeper 3.9 (sessions, watches, consistency).
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from random import Random
from typing import TypeVar

from sorrelfront.errors import SorrelfrontError
from sorrelfront.messages import Address
from sorrelfront.net.jute import (
    FRAME_MOST,
    OPEN_TO_ALL,
    PASSWORD_BYTES,
    XID_AUTH,
    XID_PING,
    XID_SET_WATCHES,
    XID_WATCH,
    Acl,
    Err,
    Event,
    Flag,
    Malformed,
    Op,
    Reader,
    Stat,
    Writer,
    checked_path,
    frame_length,
)
from sorrelfront.net.streams import end_stream

log = logging.getLogger(__name__)

T = TypeVar("T")

PENDING_MOST = 256  # requests without their answer; more wait here
WAITING_MOST = 50_000  # requests in all, waiting ones too: a list of 10,000 with room to spare
WATCHES_MOST = 50_000
CONNECT_S = 1.0  # for a connection, and for the answer to its first record
BACK_OFF_S = (0.05, 2.0)  # between connections, doubled with each that fails, and spread by seed
WATCHES_IN_ONE = 4_096  # set again in one record; more would not fit a frame


class Life(Enum):
    """What the session does; told with each change."""

    CONNECTED = "connected"  # a new session, or the same one again
    SLOW = "slow"  # connected, and an answer is late
    SILENT = "silent"  # no connection; the session may live on
    EXPIRED = "expired"  # the session has ended, and all that it owned is gone


class Lost(Exception):
    """The connection went before the answer: nobody knows whether it was done."""


class NotDone(SorrelfrontError):
    """The service says no, by its error."""

    remedy = "Give the path the rights that the operators' page names, or mend [membership] auth_file."

    def __init__(self, err: int) -> None:
        super().__init__(Err(err).name if err in Err.__members__.values() else f"error {err}")
        self.err = err


class Full(Exception):
    """Too many requests wait already."""


def _nothing(answer: Reader) -> None:
    """Of answers that say no more than that it is done."""


def _data(answer: Reader) -> tuple[bytes, Stat]:
    return answer.buffer() or b"", answer.stat()


def _children(answer: Reader) -> tuple[list[str], Stat]:
    return answer.texts(), answer.stat()


class _Behind(Exception):
    """A server that knows less than this session has seen."""


@dataclass(slots=True)
class _Asked:
    op: Op
    record: bytes
    answer: asyncio.Future[tuple[int, Reader]]
    sent_at: float = 0.0


@dataclass(frozen=True, slots=True)
class Terms:
    """`timeout_s`: of the session, as asked for; the server may say otherwise."""

    hosts: tuple[Address, ...]
    timeout_s: float = 6.0
    chroot: str = ""
    auth: str = ""  # "user:password" of the digest scheme; empty for none

    def __post_init__(self) -> None:
        if not self.hosts:
            raise ValueError("hosts must not be empty")
        if self.timeout_s <= 0:
            raise ValueError("timeout_s must be above 0")
        if self.chroot:
            checked_path(self.chroot)


class Session:
    """`on_life` hears of each change of the session's life, `on_event` of each watch that fires, with its
    path below the chroot. Both are called in the loop's step that read the news, and must not raise."""

    def __init__(
        self, terms: Terms, seed: int, on_life: Callable[[Life], None], on_event: Callable[[Event, str], None]
    ) -> None:
        self._terms = terms
        self._random = Random(seed)
        # In a seeded order. Risk: every instance of a fleet asks the first one named.
        self._hosts = list(terms.hosts)
        self._random.shuffle(self._hosts)
        self._on_life, self._on_event = on_life, on_event
        self.id = 0
        self._password = bytes(PASSWORD_BYTES)
        self.timeout_s = terms.timeout_s
        self._last_zxid = 0
        self._xid = 0
        self._loop = asyncio.get_running_loop()
        self._queue: OrderedDict[int, _Asked] = OrderedDict()  # by xid, not sent yet
        self._pending: OrderedDict[int, _Asked] = OrderedDict()  # sent, in order
        self._writer: asyncio.StreamWriter | None = None
        self._heard_at = 0.0
        self._pinged_at: float | None = None
        self._silent_since = self._loop.time()
        self._behind = False  # since the last connection that held, some server knew less than we do
        # Watches by kind, as they have to be set again.
        self._data: set[str] = set()
        self._children: set[str] = set()
        self.life: Life | None = None
        self.connections = 0
        self._task = asyncio.create_task(self._run())
        self._task.add_done_callback(self._ended)

    async def close(self, within_s: float = 0.5) -> None:
        """End the session, so that what it owns goes at once; at the latest when it expires."""
        if self._writer is not None:
            with contextlib.suppress(Lost, NotDone, Full, TimeoutError):
                async with asyncio.timeout(within_s):
                    await self._ask(Op.CLOSE, b"", _nothing)
        self.abandon()

    def abandon(self) -> None:
        """Let go without a word: the session lives on at the service until it expires."""
        self._task.cancel()
        self._fail_all()

    def _ended(self, task: asyncio.Task[None]) -> None:
        self._fail_all()
        if not task.cancelled() and task.exception() is not None:
            log.error("the session's task failed", exc_info=task.exception())

    def drop_connection(self) -> None:
        """Go to another server."""
        if self._writer is not None:
            self._writer.transport.abort()

    # Requests

    async def create(
        self, path: str, data: bytes, flags: Flag = Flag.PERSISTENT, acls: tuple[Acl, ...] = OPEN_TO_ALL
    ) -> str:
        """The path as it was made. Raises Lost, NotDone or Full, as every request here."""
        record = Writer().text(self._full(path)).buffer(data).acls(acls).int32(flags).record()
        return self._below(await self._ask(Op.CREATE, record, Reader.text))

    async def delete(self, path: str, version: int = -1) -> None:
        await self._ask(Op.DELETE, Writer().text(self._full(path)).int32(version).record(), _nothing)

    async def put(self, path: str, data: bytes, version: int = -1) -> Stat:
        record = Writer().text(self._full(path)).buffer(data).int32(version).record()
        return await self._ask(Op.SET_DATA, record, Reader.stat)

    async def get(self, path: str, watch: bool) -> tuple[bytes, Stat]:
        full = self._watched(path, self._data, watch)
        return await self._ask(Op.GET_DATA, Writer().text(full).flag(watch).record(), _data)

    async def children(self, path: str, watch: bool) -> tuple[list[str], Stat]:
        full = self._watched(path, self._children, watch)
        return await self._ask(Op.GET_CHILDREN2, Writer().text(full).flag(watch).record(), _children)

    async def sync(self, path: str) -> None:
        """Have this server catch up with the leader, so that the next read is fresh."""
        await self._ask(Op.SYNC, Writer().text(self._full(path)).record(), Reader.text)

    def _watched(self, path: str, watches: set[str], watch: bool) -> str:
        full = self._full(path)
        if watch:
            if len(self._data) + len(self._children) >= WATCHES_MOST and full not in watches:
                raise Full
            watches.add(full)
        return full

    def forget(self, path: str) -> None:
        """Its watch is not set again."""
        self._data.discard(self._full(path))

    def _full(self, path: str) -> str:
        return (self._terms.chroot + path).rstrip("/") or "/"

    def _below(self, full: str) -> str:
        return full.removeprefix(self._terms.chroot) or "/"

    async def _ask(self, op: Op, record: bytes, parse: Callable[[Reader], T]) -> T:
        if len(self._queue) + len(self._pending) >= WAITING_MOST:
            raise Full
        self._xid = self._xid % 0x3FFFFFFF + 1
        xid = self._xid
        asked = _Asked(op, record, self._loop.create_future())
        self._queue[xid] = asked
        self._pump()
        try:
            err, answer = await asked.answer
        finally:
            self._queue.pop(xid, None)  # the caller may have gone; what was sent is answered all the same
        if err:
            raise NotDone(err)
        try:
            return parse(answer)
        except Malformed as fault:
            # Risk: what comes next from whoever sends this is no better.
            log.warning("an answer to %s cannot be read: %s", op.name, fault)
            self.drop_connection()
            raise Lost from None

    def _pump(self) -> None:
        """Send what waits, as far as there is room."""
        writer = self._writer
        while writer is not None and self._queue and len(self._pending) < PENDING_MOST:
            xid, asked = self._queue.popitem(last=False)
            asked.sent_at = self._loop.time()
            self._pending[xid] = asked
            writer.write(Writer().int32(xid).int32(asked.op).raw(asked.record).frame())

    def _fail_all(self) -> None:
        for waiting in (self._pending, self._queue):
            while waiting:
                _, asked = waiting.popitem()
                if not asked.answer.done():
                    asked.answer.set_exception(Lost())
                    asked.answer.exception()  # read by its caller, if there still is one

    # The connection

    async def _run(self) -> None:
        failed = 0
        while True:
            for host in [*self._hosts]:
                held = await self._one(host)
                failed = 0 if held else failed + 1
                if not held and failed >= len(self._hosts):
                    self._give_up_what_nobody_knows()
                least, most = BACK_OFF_S
                pause = min(most, least * 2 ** min(failed, 16))
                await asyncio.sleep(pause * (0.5 + self._random.random()))

    def _give_up_what_nobody_knows(self) -> None:
        """Nobody takes this session for longer than it may be silent, and some server knew less than it has
        seen: the service has been restored from something older. Risk: no server would ever be new enough."""
        over = self._loop.time() > self._silent_since + 2 * self.timeout_s
        if self._behind and over:
            log.warning("no server knows what this session has seen; it begins anew")
            self._forget_session()

    def _forget_session(self) -> None:
        self.id, self._password, self._last_zxid, self._behind = 0, bytes(PASSWORD_BYTES), 0, False
        self._data.clear()
        self._children.clear()
        self._tell(Life.EXPIRED)

    def _tell(self, life: Life) -> None:
        if life is not self.life:
            self.life = life
            self._on_life(life)

    async def _one(self, host: Address) -> bool:
        """One connection, to its end. Whether a session was held on it."""
        writer = None
        held = False
        try:
            async with asyncio.timeout(CONNECT_S):
                reader, writer = await asyncio.open_connection(*host, limit=2 * FRAME_MOST)
                expired = await self._shake_hands(reader, writer)
            if expired:
                log.warning("the session has expired")
                self._forget_session()
                return True  # the next one begins at once
            held = True
            await self._hold(reader, writer)
        except _Behind:
            self._behind = True
            log.warning("%s:%d knows less than this session has seen", *host)
        except (OSError, EOFError, asyncio.IncompleteReadError) as fault:  # TimeoutError is an OSError
            if held:
                log.warning("the connection to %s:%d ended: %s", *host, type(fault).__name__)
            elif isinstance(fault, asyncio.IncompleteReadError) and self._last_zxid:
                self._behind = True  # who has seen more than a server is cut off by it without a word
        except Malformed as fault:
            log.warning("%s:%d sent what cannot be read: %s", *host, fault)
        finally:
            self._writer = None
            # Risk: a request whose connection is gone would wait for ever. Those not sent yet wait on.
            pending, self._pending = self._pending, OrderedDict()
            for asked in pending.values():
                if not asked.answer.done():
                    asked.answer.set_exception(Lost())
                    asked.answer.exception()
            if held:
                self._silent_since = self._loop.time()
                self._tell(Life.SILENT)
            if writer is not None:
                await end_stream(writer, abort=True)
        return held

    async def _shake_hands(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Open a session or take up ours. True if ours has expired."""
        asked = Writer().int32(0).int64(self._last_zxid).int32(int(self._terms.timeout_s * 1000))
        writer.write(asked.int64(self.id).buffer(self._password).flag(False).frame())
        answer = await self._frame(reader)
        if answer.int32() != 0:
            raise Malformed("another protocol")
        timeout_ms, number, password = answer.int32(), answer.int64(), answer.buffer() or b""
        if timeout_ms <= 0:
            if not self.id:
                raise Malformed("no session")
            return True
        again = number == self.id
        if self.id and not again:
            raise Malformed("another session than the one asked for")
        self.id, self._password, self.timeout_s = number, password, timeout_ms / 1000
        self.connections += 1
        self._writer = writer
        if self._terms.auth:
            record = Writer().int32(0).text("digest").buffer(self._terms.auth.encode()).record()
            writer.write(Writer().int32(XID_AUTH).int32(Op.AUTH).raw(record).frame())
        if again:
            self._set_watches(writer)
        return False

    def _set_watches(self, writer: asyncio.StreamWriter) -> None:
        """What has changed since our last zxid is told at once."""
        data, children = sorted(self._data), sorted(self._children)
        for start in range(0, max(len(data), len(children)), WATCHES_IN_ONE):
            part = slice(start, start + WATCHES_IN_ONE)
            said = Writer().int32(XID_SET_WATCHES).int32(Op.SET_WATCHES).int64(self._last_zxid)
            writer.write(said.texts(data[part]).texts([]).texts(children[part]).frame())

    async def _frame(self, reader: asyncio.StreamReader) -> Reader:
        return Reader(await reader.readexactly(frame_length(await reader.readexactly(4))))

    async def _hold(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._heard_at = self._loop.time()
        self._pinged_at = None
        self._behind = False
        self._tell(Life.CONNECTED)
        self._pump()
        pinging = asyncio.create_task(self._keep_alive(writer))
        try:
            while True:
                answer = await self._frame(reader)
                self._heard_at = self._loop.time()
                self._heard(answer)
                self._pump()
        finally:
            pinging.cancel()

    async def _keep_alive(self, writer: asyncio.StreamWriter) -> None:
        """A ping when nothing has been asked for a while. Silence for two thirds of the time-out ends the
        connection: the last third is for finding another server before the session expires."""
        step = self.timeout_s / 6
        while True:
            await asyncio.sleep(step)
            now = self._loop.time()
            if now - self._heard_at > self.timeout_s * 2 / 3:
                log.warning("the service has been silent for %.1f s", now - self._heard_at)
                writer.transport.abort()
                return
            oldest = next(iter(self._pending.values()), None)
            waited = now - min(
                self._pinged_at if self._pinged_at is not None else now,
                oldest.sent_at if oldest is not None else now,
            )
            if waited > self.timeout_s / 3:
                self._tell(Life.SLOW)
            elif self._pinged_at is None and not self._pending and self.life is Life.SLOW:
                self._tell(Life.CONNECTED)
            if self._pinged_at is None and now - self._heard_at > self.timeout_s / 4:
                self._pinged_at = now
                writer.write(Writer().int32(XID_PING).int32(Op.PING).frame())

    def _heard(self, answer: Reader) -> None:
        xid, zxid, err = answer.int32(), answer.int64(), answer.int32()
        if xid == XID_WATCH:
            self._fired(answer)
            return
        if zxid > 0:
            if zxid < self._last_zxid:
                raise _Behind
            self._last_zxid = zxid
        if xid == XID_PING:
            self._pinged_at = None
            return
        if xid in (XID_AUTH, XID_SET_WATCHES):
            if err:
                raise Malformed(f"refused with error {err}")
            return
        if not self._pending:
            raise Malformed("an answer to nothing")
        wanted, asked = self._pending.popitem(last=False)
        if wanted != xid:
            if not asked.answer.done():
                asked.answer.set_exception(Lost())
                asked.answer.exception()
            raise Malformed(f"an answer to {xid} where {wanted} is next")
        if not asked.answer.done():
            asked.answer.set_result((err, answer))

    def _fired(self, event: Reader) -> None:
        number, _, full = event.int32(), event.int32(), event.text()
        event.end()
        if number not in Event.__members__.values():
            return  # of the session, which the connection itself tells of
        kind = Event(number)
        if kind in (Event.CHILD, Event.DELETED):
            self._children.discard(full)
        if kind is not Event.CHILD:
            self._data.discard(full)
        self._on_event(kind, self._below(full))
