"""Client session with a ZooKeeper-compatible service, over asyncio streams.

The session connects, sends pings and reconnects; it does not interpret the data that is read. Everything
that a server sends is checked: a malformed frame or record ends the connection with one log line, and the
next server is tried. Memory is bounded by one frame and by MAX_IN_FLIGHT requests.

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
    MAX_FRAME_BYTES,
    OPEN_ACL_UNSAFE,
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
    frame_length,
    validated_path,
)
from sorrelfront.net.streams import close_stream

log = logging.getLogger(__name__)

T = TypeVar("T")

MAX_IN_FLIGHT = 256  # requests sent without a response; more are queued here
MAX_REQUESTS = 50_000  # requests sent or queued: enough for a list of 10,000 servers, with a margin
MAX_WATCHES = 50_000
CONNECT_TIMEOUT_S = 1.0  # for connecting and for the response to the first record
BACKOFF_RANGE_S = (0.05, 2.0)  # between connections, doubled with each failure and randomized by seed
UNREAD = -1  # the zxid of a watched node whose read is under way
MAX_WATCHES_PER_RECORD = 4_096  # set again in one record; more would not fit in a frame


class SessionState(Enum):
    """State of the session; `on_state_change` is called with each change."""

    CONNECTED = "connected"  # a new session, or the same one after a reconnect
    SLOW = "slow"  # connected, but a response is late
    DISCONNECTED = "silent"  # no connection; the session may still be alive
    EXPIRED = "expired"  # the session has ended, and its ephemeral nodes are deleted


class ConnectionLost(Exception):
    """The connection was lost before the response: the request may or may not have been executed."""


class ZooKeeperError(SorrelfrontError):
    """The service refused the request with the error code `err`."""

    remedy = "Give the path the rights that the operators' page names, or mend [membership] auth_file."

    def __init__(self, err: int) -> None:
        super().__init__(Err(err).name if err in Err.__members__.values() else f"error {err}")
        self.err = err


class TooManyRequests(Exception):
    """Too many requests are waiting, or too many watches are set."""


def _parse_empty(answer: Reader) -> None:
    """Parse a response without content."""


def _parse_data(answer: Reader) -> tuple[bytes, Stat]:
    return answer.buffer() or b"", answer.stat()


def _parse_children(answer: Reader) -> tuple[list[str], Stat]:
    return answer.texts(), answer.stat()


class _StaleServer(Exception):
    """A server whose data is older than what this session has seen."""


@dataclass(slots=True)
class _Request:
    op: Op
    record: bytes
    answer: asyncio.Future[tuple[int, Reader]]
    sent_at: float = 0.0


@dataclass(frozen=True, slots=True)
class SessionSettings:
    """Settings of a session."""

    hosts: tuple[Address, ...]
    timeout_s: float = 6.0  # session timeout to request; the server may set another
    chroot: str = ""
    auth: str = ""  # "user:password" of the digest scheme; empty for none

    def __post_init__(self) -> None:
        if not self.hosts:
            raise ValueError("hosts must not be empty")
        if self.timeout_s <= 0:
            raise ValueError("timeout_s must be above 0")
        if self.chroot:
            validated_path(self.chroot)


class Session:
    """A client session.

    `on_state_change` is called with each change of the session state, and `on_event` for each watch that
    fires, with the path relative to the chroot. Both are called in the event loop iteration that received
    the change, and must not raise. Neither is called once `close` or `abandon` has been called: the caller
    may have another session by then.
    """

    def __init__(
        self,
        settings: SessionSettings,
        seed: int,
        on_state_change: Callable[[SessionState], None],
        on_event: Callable[[Event, str], None],
    ) -> None:
        self._settings = settings
        self._random = Random(seed)
        # In a seeded random order: otherwise all instances of a fleet connect to the first host.
        self._hosts = list(settings.hosts)
        self._random.shuffle(self._hosts)
        self._on_state_change, self._on_event = on_state_change, on_event
        self.id = 0
        self._password = bytes(PASSWORD_BYTES)
        self.timeout_s = settings.timeout_s
        self._last_zxid = 0
        self._xid = 0
        self._loop = asyncio.get_running_loop()
        self._queue: OrderedDict[int, _Request] = OrderedDict()  # by xid, not sent yet
        self._in_flight: OrderedDict[int, _Request] = OrderedDict()  # sent, in the order of their responses
        self._writer: asyncio.StreamWriter | None = None
        self._last_received_at = 0.0
        self._ping_sent_at: float | None = None
        self._disconnected_since = self._loop.time()
        self._stale_server_seen = False  # a server with older data was seen since the last connection
        # Watches by kind, to set them again, each with the zxid of the change that the last read has seen.
        self._data_watches: dict[str, int] = {}
        self._child_watches: dict[str, int] = {}
        self._verified_zxid = 0  # changes up to this one have been read, or have fired a watch
        self.state: SessionState | None = None
        self._closed = False  # the caller has ended it
        self.connections = 0
        self._task = asyncio.create_task(self._run())
        self._task.add_done_callback(self._on_task_done)

    async def close(self, within_s: float = 0.5) -> None:
        """End the session, so that its ephemeral nodes are deleted at once.

        If the service does not respond within `within_s`, the nodes are deleted when the session expires.
        """
        self._closed = True
        if self._writer is not None:
            with contextlib.suppress(ConnectionLost, ZooKeeperError, TooManyRequests, TimeoutError):
                async with asyncio.timeout(within_s):
                    await self._request(Op.CLOSE, b"", _parse_empty)
        self.abandon()

    def abandon(self) -> None:
        """Stop without closing the session: it stays alive at the service until it expires."""
        self._closed = True
        self._task.cancel()
        self._fail_all()

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self._fail_all()
        if not task.cancelled() and task.exception() is not None:
            log.error("the session task failed", exc_info=task.exception())

    def drop_connection(self) -> None:
        """Abort the connection; another server is tried next."""
        if self._writer is not None:
            self._writer.transport.abort()

    # Requests

    async def create(
        self, path: str, data: bytes, flags: Flag = Flag.PERSISTENT, acls: tuple[Acl, ...] = OPEN_ACL_UNSAFE
    ) -> str:
        """Create a node and return its path.

        Raises:
            Lost: The connection was lost before the response; all requests raise these exceptions.
            ZooKeeperError: The service refused the request.
            TooManyRequests: Too many requests are waiting.
        """
        record = Writer().text(self._full_path(path)).buffer(data).acls(acls).int32(flags).record()
        return self._relative_path(await self._request(Op.CREATE, record, Reader.text))

    async def delete(self, path: str, version: int = -1) -> None:
        """Delete a node; a version of -1 matches any."""
        await self._request(
            Op.DELETE, Writer().text(self._full_path(path)).int32(version).record(), _parse_empty
        )

    async def put(self, path: str, data: bytes, version: int = -1) -> Stat:
        """Replace the data of a node; a version of -1 matches any."""
        record = Writer().text(self._full_path(path)).buffer(data).int32(version).record()
        return await self._request(Op.SET_DATA, record, Reader.stat)

    async def get(self, path: str, watch: bool) -> tuple[bytes, Stat]:
        """Return the data and metadata of a node, and set a data watch if `watch`."""
        full = self._add_watch(path, self._data_watches, watch)
        data, stat = await self._request(Op.GET_DATA, Writer().text(full).flag(watch).record(), _parse_data)
        if watch and full in self._data_watches:
            self._data_watches[full] = stat.mzxid
        return data, stat

    async def children(self, path: str, watch: bool) -> tuple[list[str], Stat]:
        """Return the names of the children and the metadata of a node; set a child watch if `watch`."""
        full = self._add_watch(path, self._child_watches, watch)
        record = Writer().text(full).flag(watch).record()
        names, stat = await self._request(Op.GET_CHILDREN2, record, _parse_children)
        if watch and full in self._child_watches:
            self._child_watches[full] = stat.pzxid
        return names, stat

    async def verify_watches(self) -> None:
        """Have the service compare each watched node with what was read of it, and set its watch again.

        A node that has changed since then fires its watch, as after a reconnect: its own one had been lost.
        Nodes whose read is under way are left out. Those that changed since the last call take a request
        each, all others one together, and nothing is read where nothing was lost. Raises like all requests.
        """
        known_zxid, last_zxid = self._verified_zxid, self._last_zxid
        data, children = self._data_watches, self._child_watches
        records = self._watch_records(
            known_zxid,
            [path for path, zxid in data.items() if UNREAD < zxid <= known_zxid],
            [path for path, zxid in children.items() if UNREAD < zxid <= known_zxid],
        )
        records += [
            record for path, zxid in data.items() if zxid > known_zxid
            for record in self._watch_records(zxid, [path], [])
        ]  # fmt: skip
        records += [
            record for path, zxid in children.items() if zxid > known_zxid
            for record in self._watch_records(zxid, [], [path])
        ]  # fmt: skip
        await asyncio.gather(*(self._request(Op.SET_WATCHES, record, _parse_empty) for record in records))
        self._verified_zxid = last_zxid

    async def sync(self, path: str) -> None:
        """Make the connected server catch up with the leader, so that the next read is up to date."""
        await self._request(Op.SYNC, Writer().text(self._full_path(path)).record(), Reader.text)

    def _add_watch(self, path: str, watches: dict[str, int], watch: bool) -> str:
        full = self._full_path(path)
        if watch:
            if len(self._data_watches) + len(self._child_watches) >= MAX_WATCHES and full not in watches:
                raise TooManyRequests
            watches[full] = UNREAD
        return full

    def has_data_watch(self, path: str) -> bool:
        """Return whether a data watch stands on this path, or is set by a read under way."""
        return self._full_path(path) in self._data_watches

    def forget_watch(self, path: str) -> None:
        """Stop setting the data watch of this path again after a reconnect."""
        self._data_watches.pop(self._full_path(path), None)

    def _full_path(self, path: str) -> str:
        return (self._settings.chroot + path).rstrip("/") or "/"

    def _relative_path(self, full: str) -> str:
        return full.removeprefix(self._settings.chroot) or "/"

    async def _request(self, op: Op, record: bytes, parse: Callable[[Reader], T]) -> T:
        if len(self._queue) + len(self._in_flight) >= MAX_REQUESTS:
            raise TooManyRequests
        self._xid = self._xid % 0x3FFFFFFF + 1
        xid = self._xid
        request = _Request(op, record, self._loop.create_future())
        self._queue[xid] = request
        self._send_queued()
        try:
            err, answer = await request.answer
        finally:
            self._queue.pop(xid, None)  # for a cancelled caller; requests already sent are still answered
        if err:
            raise ZooKeeperError(err)
        try:
            return parse(answer)
        except Malformed as fault:
            # Later data from this server cannot be trusted either.
            log.warning("malformed response to %s: %s", op.name, fault)
            self.drop_connection()
            raise ConnectionLost from None

    def _send_queued(self) -> None:
        """Send queued requests, up to MAX_IN_FLIGHT without a response."""
        writer = self._writer
        while writer is not None and self._queue and len(self._in_flight) < MAX_IN_FLIGHT:
            xid, request = self._queue.popitem(last=False)
            request.sent_at = self._loop.time()
            self._in_flight[xid] = request
            writer.write(Writer().int32(xid).int32(request.op).raw(request.record).frame())

    def _fail_all(self) -> None:
        for requests in (self._in_flight, self._queue):
            while requests:
                _, request = requests.popitem()
                if not request.answer.done():
                    request.answer.set_exception(ConnectionLost())
                    request.answer.exception()  # marks it as retrieved, in case the caller was cancelled

    # The connection

    async def _run(self) -> None:
        failures = 0
        while True:
            for host in [*self._hosts]:
                established = await self._run_connection(host)
                failures = 0 if established else failures + 1
                if not established and failures >= len(self._hosts):
                    self._restart_if_service_rolled_back()
                shortest, longest = BACKOFF_RANGE_S
                pause = min(longest, shortest * 2 ** min(failures, 16))
                await asyncio.sleep(pause * (0.5 + self._random.random()))

    def _restart_if_service_rolled_back(self) -> None:
        """Start a new session if the service was restored from an older state.

        This is assumed when no server has accepted the session for twice its timeout and some server's data
        was older than what the session has seen. Otherwise no server would ever be recent enough for it.
        """
        timed_out = self._loop.time() > self._disconnected_since + 2 * self.timeout_s
        if self._stale_server_seen and timed_out:
            log.warning("all servers have older data than this session has seen; starting a new session")
            self._reset_session(last_zxid=0)

    def _reset_session(self, last_zxid: int) -> None:
        """Have the next connection open a new session, with a server that has seen `last_zxid`.

        What waits to be sent was meant for the session before: its nodes may be another client's by now.
        """
        self._fail_all()
        self.id, self._password, self._stale_server_seen = 0, bytes(PASSWORD_BYTES), False
        self._last_zxid, self._verified_zxid = last_zxid, 0
        self._data_watches.clear()
        self._child_watches.clear()
        self._set_state(SessionState.EXPIRED)

    def _set_state(self, state: SessionState) -> None:
        if state is not self.state:
            self.state = state
            if not self._closed:
                self._on_state_change(state)

    async def _run_connection(self, host: Address) -> bool:
        """Run one connection until it ends; return whether a session was established on it."""
        writer = None
        established = False
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(*host, limit=2 * MAX_FRAME_BYTES)
                expired = await self._handshake(reader, writer)
            if expired:
                log.warning("the session has expired")
                # What was read stays read: a server that lags would take it back, drains among it.
                self._reset_session(self._last_zxid)
                self._disconnected_since = self._loop.time()  # a server with recent data has just answered
                return True  # a new session is opened after the shortest back-off
            established = True
            await self._receive(reader, writer)
        except _StaleServer:
            self._stale_server_seen = True
            log.warning("%s:%d has older data than this session has seen", *host)
        except (OSError, EOFError, asyncio.IncompleteReadError) as fault:  # TimeoutError is an OSError
            if established:
                log.warning("the connection to %s:%d ended: %s", *host, type(fault).__name__)
            elif isinstance(fault, asyncio.IncompleteReadError) and self._last_zxid:
                # Servers close sessions that saw newer data, without a response
                self._stale_server_seen = True
        except Malformed as fault:
            log.warning("%s:%d sent malformed data: %s", *host, fault)
        finally:
            self._writer = None
            # Requests already sent would wait for ever without their connection. Queued ones stay queued.
            in_flight, self._in_flight = self._in_flight, OrderedDict()
            for request in in_flight.values():
                if not request.answer.done():
                    request.answer.set_exception(ConnectionLost())
                    request.answer.exception()
            if established:
                self._disconnected_since = self._loop.time()
                self._set_state(SessionState.DISCONNECTED)
            if writer is not None:
                await close_stream(writer, abort=True)
        return established

    async def _handshake(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Open a new session or resume ours; return whether ours has expired."""
        request = Writer().int32(0).int64(self._last_zxid).int32(int(self._settings.timeout_s * 1000))
        writer.write(request.int64(self.id).buffer(self._password).flag(False).frame())
        answer = await self._read_frame(reader)
        if answer.int32() != 0:
            raise Malformed("unsupported protocol version")
        timeout_ms, number, password = answer.int32(), answer.int64(), answer.buffer() or b""
        if timeout_ms <= 0:
            if not self.id:
                raise Malformed("a new session was refused")
            return True
        resumed = number == self.id
        if self.id and not resumed:
            raise Malformed("a session id other than the requested one")
        self.id, self._password, self.timeout_s = number, password, timeout_ms / 1000
        self.connections += 1
        self._writer = writer
        if self._settings.auth:
            record = Writer().int32(0).text("digest").buffer(self._settings.auth.encode()).record()
            writer.write(Writer().int32(XID_AUTH).int32(Op.AUTH).raw(record).frame())
        if resumed:
            self._set_watches(writer)
        return False

    def _set_watches(self, writer: asyncio.StreamWriter) -> None:
        """Set all watches again; changes since our last zxid fire at once."""
        data, children = sorted(self._data_watches), sorted(self._child_watches)
        for record in self._watch_records(self._last_zxid, data, children):
            writer.write(Writer().int32(XID_SET_WATCHES).int32(Op.SET_WATCHES).raw(record).frame())

    @staticmethod
    def _watch_records(zxid: int, data: list[str], children: list[str]) -> list[bytes]:
        """Return the records that set these watches; nodes that changed after `zxid` fire at once."""
        return [
            Writer().int64(zxid).texts(data[start:start + MAX_WATCHES_PER_RECORD])
            .texts([]).texts(children[start:start + MAX_WATCHES_PER_RECORD]).record()
            for start in range(0, max(len(data), len(children)), MAX_WATCHES_PER_RECORD)
        ]  # fmt: skip

    async def _read_frame(self, reader: asyncio.StreamReader) -> Reader:
        return Reader(await reader.readexactly(frame_length(await reader.readexactly(4))))

    async def _receive(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._last_received_at = self._loop.time()
        self._ping_sent_at = None
        self._stale_server_seen = False
        self._set_state(SessionState.CONNECTED)
        self._send_queued()
        pinging = asyncio.create_task(self._keep_alive(writer))
        try:
            while True:
                answer = await self._read_frame(reader)
                self._last_received_at = self._loop.time()
                self._on_response(answer)
                self._send_queued()
        finally:
            pinging.cancel()

    async def _keep_alive(self, writer: asyncio.StreamWriter) -> None:
        """Send a ping when idle, and abort the connection when the server stops responding.

        The connection is aborted after two thirds of the session timeout without data: the last third is left
        for connecting to another server before the session expires.
        """
        step = self.timeout_s / 6
        while True:
            await asyncio.sleep(step)
            now = self._loop.time()
            if now - self._last_received_at > self.timeout_s * 2 / 3:
                log.warning("nothing received from the service for %.1f s", now - self._last_received_at)
                writer.transport.abort()
                return
            oldest = next(iter(self._in_flight.values()), None)
            waited = now - min(
                self._ping_sent_at if self._ping_sent_at is not None else now,
                oldest.sent_at if oldest is not None else now,
            )
            if waited > self.timeout_s / 3:
                self._set_state(SessionState.SLOW)
            elif self._ping_sent_at is None and not self._in_flight and self.state is SessionState.SLOW:
                self._set_state(SessionState.CONNECTED)
            if self._ping_sent_at is None and now - self._last_received_at > self.timeout_s / 4:
                self._ping_sent_at = now
                writer.write(Writer().int32(XID_PING).int32(Op.PING).frame())

    def _on_response(self, answer: Reader) -> None:
        xid, zxid, err = answer.int32(), answer.int64(), answer.int32()
        if xid == XID_WATCH:
            self._on_watch_event(answer)
            return
        if zxid > 0:
            if zxid < self._last_zxid:
                raise _StaleServer
            self._last_zxid = zxid
            self._verified_zxid = self._verified_zxid or zxid  # no read of this session is older
        if xid == XID_PING:
            self._ping_sent_at = None
            return
        if xid in (XID_AUTH, XID_SET_WATCHES):
            if err:
                raise Malformed(f"authentication or setting watches failed with error {err}")
            return
        if not self._in_flight:
            raise Malformed("a response without a request")
        expected_xid, request = self._in_flight.popitem(last=False)
        if expected_xid != xid:
            if not request.answer.done():
                request.answer.set_exception(ConnectionLost())
                request.answer.exception()
            raise Malformed(f"a response to request {xid}, expected {expected_xid}")
        if not request.answer.done():
            request.answer.set_result((err, answer))

    def _on_watch_event(self, event: Reader) -> None:
        number, _, full = event.int32(), event.int32(), event.text()
        event.end()
        if number not in Event.__members__.values():
            return  # a session event; the connection itself reports those
        kind = Event(number)
        if kind in (Event.CHILD, Event.DELETED):
            self._child_watches.pop(full, None)
        if kind is not Event.CHILD:
            self._data_watches.pop(full, None)
        if not self._closed:
            self._on_event(kind, self._relative_path(full))
