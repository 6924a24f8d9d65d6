"""Servers of the stand-in: one ensemble, presented by several members, each with a listening socket.

A member answers each connection's requests in their order and keeps the watches that were set through it. It
counts what it is asked. Trouble is attributes and calls: a test or `python -m sorrelfront.lab.zookeeper` sets
them while clients are connected.

Sources: ZooKeeper's programmer's guide (watches are one-shot, and come ahead of the new data),
zookeeper.jute, and, for a client that has seen more than its member, what the same guide says of sessions.
"""

from __future__ import annotations

import asyncio
import contextlib
import struct
import time
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from sorrelfront.lab.zookeeper.tree import Node, Refused, Session, Tree, digest
from sorrelfront.net.jute import (
    PASSWORD_BYTES,
    XID_AUTH,
    XID_PING,
    XID_WATCH,
    Err,
    Event,
    Malformed,
    Op,
    Perm,
    Reader,
    Writer,
    checked_path,
    frame_length,
    parent,
)

CONNECTED = 3  # the state that watch events tell
TICK_S = 0.05  # between looks at who has been silent for too long
CONNECTIONS_MOST = 4_096
WATCHES_MOST = 100_000  # of one connection
MULTI_MOST = 1_000  # operations in one transaction
WORDS = (b"ruok", b"srvr")
WRITES = frozenset((Op.CREATE, Op.CREATE2, Op.DELETE, Op.SET_DATA, Op.MULTI, Op.SYNC))


@dataclass(slots=True, eq=False)
class Peer:
    """A client's connection."""

    writer: asyncio.StreamWriter
    session: Session
    ids: set[tuple[str, str]]
    data: set[str] = field(default_factory=set)  # watched for change or end
    exists: set[str] = field(default_factory=set)  # watched though absent
    children: set[str] = field(default_factory=set)

    @property
    def watches(self) -> int:
        return len(self.data) + len(self.exists) + len(self.children)


class Member:
    """One server. Its trouble:

    `stalled`: it reads and answers nothing while set. `delay_s`: before each request is looked at.
    `answer_delay_s`: between doing it and answering, so that watches overtake. `watch_delay_s`: before each
    watch event. `quorum`: "kept", "lost" (new connections are dropped, old ones too) or "read-only".
    `freeze()`: it serves what it holds now until `thaw()`.
    """

    def __init__(self, ensemble: Ensemble) -> None:
        self.ensemble = ensemble
        self.delay_s = 0.0
        self.answer_delay_s = 0.0
        self.watch_delay_s = 0.0
        self.quorum = "kept"
        self.asked: Counter[str] = Counter()  # requests by operation, since the start
        self.connections = 0  # so far
        self._flowing = asyncio.Event()
        self._flowing.set()
        self._behind: Tree | None = None
        self._peers: set[Peer] = set()
        self._streams: set[asyncio.StreamWriter] = set()
        self._late: set[asyncio.TimerHandle] = set()
        self._server: asyncio.Server | None = None
        self._place: tuple[str, int] = ("127.0.0.1", 0)

    async def listen(self, host: str = "127.0.0.1", port: int = 0) -> Member:
        self._server = await asyncio.start_server(self._serve, host, port, backlog=1_024)
        self._place = self._server.sockets[0].getsockname()[:2]
        return self

    @property
    def address(self) -> str:
        return "{}:{}".format(*self._place)

    @property
    def open(self) -> int:
        return len(self._peers)

    @property
    def watches(self) -> int:
        return sum(peer.watches for peer in self._peers)

    # Trouble

    @property
    def stalled(self) -> bool:
        return not self._flowing.is_set()

    def stall(self) -> None:
        self._flowing.clear()

    def go_on(self) -> None:
        self._flowing.set()

    def drop(self) -> None:
        """Cut every connection; clients may come again at once."""
        for writer in [*self._streams]:
            writer.transport.abort()

    def vanish(self) -> None:
        """Nobody listens any more."""
        if self._server is not None:
            self._server.close()
            self._server = None
        self.drop()

    async def come_back(self) -> None:
        await self.listen(*self._place)

    def lose_quorum(self, read_only: bool = False) -> None:
        self.quorum = "read-only" if read_only else "lost"
        self.drop()

    def freeze(self) -> None:
        """Fall behind: what changes from here on is not seen by clients of this member."""
        self._behind = self.ensemble.tree.snapshot()

    def thaw(self) -> None:
        """Catch up; watches of what has changed meanwhile fire."""
        before, self._behind = self._behind, None
        if before is None:
            return
        now = self.ensemble.tree.nodes
        for path in sorted(before.nodes.keys() | now.keys()):
            event = _changed(before.nodes.get(path), now.get(path))
            if event is not None:
                self.fire(event, path, self.ensemble.tree.zxid)
            old, new = before.nodes.get(path), now.get(path)
            if old is not None and new is not None and old.children != new.children:
                self.fire(Event.CHILD, path, self.ensemble.tree.zxid)

    @property
    def tree(self) -> Tree:
        """What its clients read."""
        return self._behind or self.ensemble.tree

    # Watches

    def fire(self, event: Event, path: str, zxid: int) -> None:
        if self._behind is not None:
            return
        for peer in [*self._peers]:
            held = []
            if event is Event.CHILD:
                held = [peer.children]
            elif event is Event.CREATED:
                held = [peer.exists, peer.data]
            elif event is Event.DELETED:
                held = [peer.data, peer.exists, peer.children]
            else:
                held = [peer.data, peer.exists]
            told = False
            for watches in held:
                told |= path in watches
                watches.discard(path)
            if told:
                self._tell(peer, event, path)

    def _tell(self, peer: Peer, event: Event, path: str) -> None:
        record = Writer().int32(XID_WATCH).int64(-1).int32(0).int32(event).int32(CONNECTED).text(path)
        self._later(self.watch_delay_s, peer, record.frame())

    def _later(self, delay_s: float, peer: Peer, data: bytes) -> None:
        if peer.writer.is_closing():
            return
        if delay_s <= 0:
            peer.writer.write(data)
            return

        def write() -> None:
            self._late.discard(timer)
            if not peer.writer.is_closing():
                peer.writer.write(data)

        timer = asyncio.get_running_loop().call_later(delay_s, write)
        self._late.add(timer)

    # Connections

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.quorum == "lost" or len(self._streams) >= CONNECTIONS_MOST:
            writer.transport.abort()
            return
        self.connections += 1
        self._streams.add(writer)
        peer = None
        try:
            head = await reader.readexactly(4)
            if head in WORDS:
                writer.write(self._said_of_itself(head))
                await writer.drain()
                return
            peer = await self._connect(await self._framed(reader, head), writer)
            if peer is None:
                return
            self._peers.add(peer)
            while await self._one(reader, peer):
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, Malformed, struct.error):
            pass  # whoever cannot be read is cut off, as in a real one
        finally:
            self._streams.discard(writer)
            if peer is not None:
                self._peers.discard(peer)
            writer.close()

    async def _framed(self, reader: asyncio.StreamReader, head: bytes) -> Reader:
        data = await reader.readexactly(frame_length(head))
        await self._flowing.wait()
        return Reader(data)

    def _said_of_itself(self, word: bytes) -> bytes:
        """An answer to a four-letter word, which some clients ask ahead of a connection (administrator's
        guide, the four letter words)."""
        if word == b"ruok":
            return b"imok"
        mode = "read-only" if self.quorum == "read-only" else "standalone"
        told = f"Zookeeper version: 3.9.0-standin\nZxid: {self.tree.zxid:#x}\nMode: {mode}\n"
        return told.encode() + b"Node count: %d\n" % len(self.tree.nodes)

    async def _connect(self, said: Reader, writer: asyncio.StreamWriter) -> Peer | None:
        if said.int32() != 0:
            raise Malformed("another protocol")
        last_zxid, timeout_ms, number = said.int64(), said.int32(), said.int64()
        password = said.buffer() or b""
        asks_read_only = said.left > 0
        may_read_only = asks_read_only and said.flag()
        if self.quorum == "read-only" and not may_read_only:
            return None
        if last_zxid > self.tree.zxid:
            return None  # it has seen more than this member: let it find another
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        now = self.ensemble.now_ms()
        tree = self.ensemble.tree
        session = tree.resume(number, password, now) if number else tree.open(timeout_ms, now)
        answer = Writer().int32(0)
        if session is None:
            answer.int32(0).int64(0).buffer(bytes(PASSWORD_BYTES))
        else:
            answer.int32(session.timeout_ms).int64(session.id).buffer(session.password)
        if asks_read_only:
            answer.flag(self.quorum == "read-only")
        writer.write(answer.frame())
        if session is None:
            await writer.drain()
            return None
        host = writer.get_extra_info("peername")[0]
        return Peer(writer, session, {("ip", str(host))})

    async def _one(self, reader: asyncio.StreamReader, peer: Peer) -> bool:
        """Serve a request; False ends the connection."""
        said = await self._framed(reader, await reader.readexactly(4))
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        xid, number = said.int32(), said.int32()
        tree = self.ensemble.tree
        if peer.session.id not in tree.sessions:
            return False
        peer.session = tree.sessions[peer.session.id]
        peer.session.heard_ms = self.ensemble.now_ms()
        op = Op(number) if number in Op.__members__.values() else None
        self.asked[op.name if op is not None else "unknown"] += 1
        body = Writer()
        err = Err.OK
        if op is Op.CLOSE:
            tree.close(peer.session.id)
        elif op is Op.PING:
            xid = XID_PING
        elif op is Op.AUTH:
            xid = XID_AUTH
            err = self._auth(said, peer)
        elif op in WRITES and self.quorum != "kept":
            err = Err.NOT_READ_ONLY
        elif op is None:
            err = Err.UNIMPLEMENTED
        else:
            try:
                body = self._do(op, said, peer)
            except Refused as refused:
                err = refused.err
        if self.answer_delay_s:
            await asyncio.sleep(self.answer_delay_s)
        head = Writer().int32(xid).int64(self.tree.zxid).int32(err)
        peer.writer.write(head.raw(body.record() if err is Err.OK else b"").frame())
        if op is Op.CLOSE or err is Err.AUTH_FAILED:
            await peer.writer.drain()
            return False
        return True

    def _auth(self, said: Reader, peer: Peer) -> Err:
        said.int32()
        scheme, secret = said.text(), said.buffer() or b""
        user, _, password = secret.decode("utf-8", "replace").partition(":")
        if scheme != "digest" or not user:
            return Err.AUTH_FAILED
        peer.ids.add(("digest", digest(user, password)))
        return Err.OK

    # Operations

    def _do(self, op: Op, said: Reader, peer: Peer) -> Writer:
        match op:
            case Op.EXISTS | Op.GET_DATA | Op.GET_CHILDREN | Op.GET_CHILDREN2 | Op.GET_ACL:
                return self._read(op, said, peer)
            case Op.SYNC:
                return Writer().text(self._path(said))
            case Op.SET_WATCHES:
                return self._set_watches(said, peer)
            case Op.MULTI:
                return self._multi(said, peer)
            case _:
                result = self._change(op, said, peer, self.ensemble.tree)
                said.end()
                return result

    @staticmethod
    def _path(said: Reader) -> str:
        try:
            return checked_path(said.text())
        except Malformed:
            raise Refused(Err.BAD_ARGUMENTS) from None

    def _read(self, op: Op, said: Reader, peer: Peer) -> Writer:
        path = self._path(said)
        watch = said.flag() if op is not Op.GET_ACL else False
        said.end()
        if watch and peer.watches >= WATCHES_MOST:
            raise Refused(Err.RUNTIME_INCONSISTENCY)
        node = self.tree.nodes.get(path)
        if node is None:
            if watch and op is Op.EXISTS:
                peer.exists.add(path)
            raise Refused(Err.NO_NODE)
        if op is Op.EXISTS:
            if watch:
                peer.data.add(path)
            return Writer().stat(node.stat())
        if op is Op.GET_ACL:
            return Writer().acls(node.acls).stat(node.stat())
        self.tree.allow(node, Perm.READ, peer.ids)
        if op is Op.GET_DATA:
            if watch:
                peer.data.add(path)
            return Writer().buffer(node.data).stat(node.stat())
        if watch:
            peer.children.add(path)
        answer = Writer().texts(sorted(node.children))
        return answer.stat(node.stat()) if op is Op.GET_CHILDREN2 else answer

    def _set_watches(self, said: Reader, peer: Peer) -> Writer:
        """Set watches again after a re-connect; what has changed since the client's zxid is told at once."""
        since = said.int64()
        data, exists, children = said.texts(), said.texts(), said.texts()
        said.end()
        nodes = self.tree.nodes
        for path in data:
            node = nodes.get(path)
            if node is None:
                self._tell(peer, Event.DELETED, path)
            elif node.mzxid > since:
                self._tell(peer, Event.CHANGED, path)
            else:
                peer.data.add(path)
        for path in exists:
            if path in nodes:
                self._tell(peer, Event.CREATED, path)
            else:
                peer.exists.add(path)
        for path in children:
            node = nodes.get(path)
            if node is None:
                self._tell(peer, Event.DELETED, path)
            elif node.pzxid > since:
                self._tell(peer, Event.CHILD, path)
            else:
                peer.children.add(path)
        return Writer()

    def _change(self, op: Op, said: Reader, peer: Peer, tree: Tree) -> Writer:
        now = self.ensemble.now_ms()
        path = said.text()
        if op in (Op.CREATE, Op.CREATE2):
            data, acls, flags = said.buffer() or b"", said.acls(), said.int32()
            made = tree.create(path, data, acls, flags, peer.session.id, peer.ids, now)
            answer = Writer().text(made)
            return answer.stat(tree.find(made).stat()) if op is Op.CREATE2 else answer
        if op is Op.DELETE:
            tree.delete(path, said.int32(), peer.ids)
            return Writer()
        if op is Op.SET_DATA:
            data, version = said.buffer() or b"", said.int32()
            return Writer().stat(tree.set(path, data, version, peer.ids, now))
        if op is Op.CHECK:
            tree.check(path, said.int32())
            return Writer()
        raise Refused(Err.UNIMPLEMENTED)

    def _multi(self, said: Reader, peer: Peer) -> Writer:
        """All or nothing; watches fire only if it was all."""
        tree = self.ensemble.tree
        before, listeners = tree.snapshot(), tree.changed
        events: list[tuple[Event, str]] = []
        tree.changed = [lambda event, path, _: events.append((event, path))]
        results: list[tuple[int, Writer]] = []
        failed: Err | None = None
        behind = 0  # operations that come after the one that failed
        try:
            while True:
                number, done = said.int32(), said.flag()
                said.int32()
                if done:
                    break
                if len(results) + behind >= MULTI_MOST:
                    raise Malformed("a transaction without end")
                op = Op(number) if number in Op.__members__.values() else Op.ERROR
                try:
                    result = self._change(op, said, peer, tree)
                except Refused as refused:
                    behind += failed is not None
                    failed = failed or refused.err
                else:
                    behind += failed is not None
                    if failed is None:
                        results.append((number, result))
        except (Malformed, struct.error):
            tree.become(before)
            raise
        finally:
            tree.changed = listeners
        answer = Writer()
        if failed is not None:
            tree.become(before)
            for err in [Err.OK] * len(results) + [failed] + [Err.RUNTIME_INCONSISTENCY] * behind:
                answer.int32(Op.ERROR).flag(False).int32(err).int32(err)
        else:
            tree.zxid = before.zxid + 1
            for number, result in results:
                answer.int32(number).flag(False).int32(0).raw(result.record())
            for event, path in events:
                for listener in listeners:
                    listener(event, path, tree.zxid)
        return answer.int32(Op.ERROR).flag(True).int32(-1)


def _changed(before: Node | None, now: Node | None) -> Event | None:
    if before is None:
        return Event.CREATED
    if now is None:
        return Event.DELETED
    return Event.CHANGED if before.mzxid != now.mzxid else None


class Ensemble:
    """The members and what they hold in common."""

    def __init__(self, members: int = 1, seed: int = 1) -> None:
        self.tree = Tree(seed)
        self.members = [Member(self) for _ in range(members)]
        self.tree.changed.append(self._fire)
        self._ticking: asyncio.Task[None] | None = None

    async def start(self, addresses: Iterable[tuple[str, int]] = ()) -> Ensemble:
        places = [*addresses] or [("127.0.0.1", 0)] * len(self.members)
        for member, (host, port) in zip(self.members, places, strict=True):
            await member.listen(host, port)
        self._ticking = asyncio.create_task(self._tick())
        return self

    @property
    def hosts(self) -> str:
        return ",".join(member.address for member in self.members)

    @staticmethod
    def now_ms() -> int:
        return time.time_ns() // 1_000_000

    @property
    def asked(self) -> Counter[str]:
        return sum((member.asked for member in self.members), Counter[str]())

    @property
    def watches(self) -> int:
        return sum(member.watches for member in self.members)

    @property
    def open(self) -> int:
        return sum(member.open for member in self.members)

    def _fire(self, event: Event, path: str, zxid: int) -> None:
        for member in self.members:
            member.fire(event, path, zxid)

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            if all(member.stalled or member.quorum != "kept" for member in self.members):
                # Nobody leads, so nobody expires sessions; a new leader gives each its whole time again.
                for session in self.tree.sessions.values():
                    session.heard_ms = self.now_ms()
                continue
            for number in self.tree.overdue(self.now_ms()):
                self.expire(number)

    # Trouble of them all

    def expire(self, number: int) -> None:
        """End a session as if it had been silent; its connections are cut."""
        self.tree.close(number)
        for member in self.members:
            for peer in [*member._peers]:
                if peer.session.id == number:
                    peer.writer.transport.abort()

    def expire_under(self, path: str) -> None:
        """End the sessions that own children of this node, as after a stall."""
        below = (node.owner for at, node in self.tree.nodes.items() if parent(at) == path)
        for number in {owner for owner in below if owner}:
            self.expire(number)

    def restore_from_nothing(self) -> None:
        """Come back empty: no nodes, no sessions, and zxids from the start."""
        for member in self.members:
            member.drop()
            member._behind = None
        self.tree.become(Tree(seed=self.tree.zxid + 2))

    def stall(self) -> None:
        for member in self.members:
            member.stall()

    def go_on(self) -> None:
        now = self.now_ms()
        for session in self.tree.sessions.values():
            session.heard_ms = now
        for member in self.members:
            member.go_on()

    async def stop(self) -> None:
        if self._ticking is not None:
            self._ticking.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._ticking
        for member in self.members:
            member.go_on()
            member.vanish()
            for timer in member._late:
                timer.cancel()
        for _ in range(100):  # until each connection's task has seen its end
            if not any(member._streams for member in self.members):
                return
            await asyncio.sleep(0.001)
