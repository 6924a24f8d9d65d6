"""The ensemble of the stand-in: several members over one shared tree, each with a listening socket.

A member answers each connection's requests in order, keeps the watches that were set through it and counts
requests by operation. Faults are injected by attributes and methods: a test or
`python -m sorrelfront.lab.zookeeper` uses them while clients are connected.

Sources: ZooKeeper's programmer's guide (watches are one-shot, and arrive before the new data is visible),
zookeeper.jute, and, for a client with a higher zxid than its member, the same guide on sessions.
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
    frame_length,
    parent_path,
    validated_path,
)

CONNECTED = 3  # the session state in watch events
TICK_S = 0.05  # between checks for expired sessions
MAX_CONNECTIONS = 4_096
MAX_WATCHES = 100_000  # of one connection
MAX_MULTI_OPERATIONS = 1_000  # operations of one transaction
FOUR_LETTER_WORDS = (b"ruok", b"srvr")
WRITES = frozenset((Op.CREATE, Op.CREATE2, Op.DELETE, Op.SET_DATA, Op.MULTI, Op.SYNC))


@dataclass(slots=True, eq=False)
class Peer:
    """A client's connection."""

    writer: asyncio.StreamWriter
    session: Session
    ids: set[tuple[str, str]]
    data: set[str] = field(default_factory=set)  # watched for change or deletion
    exists: set[str] = field(default_factory=set)  # watched for creation
    children: set[str] = field(default_factory=set)

    @property
    def watches(self) -> int:
        """The number of watches set through this connection."""
        return len(self.data) + len(self.exists) + len(self.children)


class Member:
    """One server of the ensemble, and the faults that can be injected into it.

    `stall()`: it handles and answers no request until `go_on()`. `delay_s`: delay before each request is
    handled. `answer_delay_s`: delay between executing a request and answering it, so that watch events
    overtake the answer. `watch_delay_s`: delay before each watch event. `quorum`: "kept", "lost" (new
    connections are dropped, old ones too) or "read-only". `freeze()`: it serves a snapshot of its state until
    `thaw()`.
    """

    def __init__(self, ensemble: Ensemble) -> None:
        self.ensemble = ensemble
        self.delay_s = 0.0
        self.answer_delay_s = 0.0
        self.watch_delay_s = 0.0
        self.quorum = "kept"
        self.request_counts: Counter[str] = Counter()  # requests by operation, since the start
        self.connections = 0  # so far
        self._resumed = asyncio.Event()
        self._resumed.set()
        self._snapshot: Tree | None = None
        self._peers: set[Peer] = set()
        self._streams: set[asyncio.StreamWriter] = set()
        self._delayed: set[asyncio.TimerHandle] = set()
        self._server: asyncio.Server | None = None
        self._listen_address: tuple[str, int] = ("127.0.0.1", 0)

    async def listen(self, host: str = "127.0.0.1", port: int = 0) -> Member:
        """Listen on `host`:`port`; port 0 takes any free port."""
        self._server = await asyncio.start_server(self._serve, host, port, backlog=1_024)
        self._listen_address = self._server.sockets[0].getsockname()[:2]
        return self

    @property
    def address(self) -> str:
        """The listening address as host:port."""
        return "{}:{}".format(*self._listen_address)

    @property
    def open(self) -> int:
        """The number of connections with a session."""
        return len(self._peers)

    @property
    def watches(self) -> int:
        """The number of watches set through this member."""
        return sum(peer.watches for peer in self._peers)

    # Faults

    @property
    def stalled(self) -> bool:
        """Whether the member handles no requests at present."""
        return not self._resumed.is_set()

    def stall(self) -> None:
        """Stop handling requests; connections stay open."""
        self._resumed.clear()

    def go_on(self) -> None:
        """Handle requests again after `stall`."""
        self._resumed.set()

    def drop(self) -> None:
        """Abort every connection; clients may reconnect at once."""
        for writer in [*self._streams]:
            writer.transport.abort()

    def vanish(self) -> None:
        """Close the listening socket and abort every connection."""
        if self._server is not None:
            self._server.close()
            self._server = None
        self.drop()

    async def come_back(self) -> None:
        """Listen again on the same address after `vanish`."""
        await self.listen(*self._listen_address)

    def lose_watches(self) -> None:
        """Forget every watch that was set through this member, without an event."""
        for peer in self._peers:
            peer.data.clear()
            peer.exists.clear()
            peer.children.clear()

    def lose_quorum(self, read_only: bool = False) -> None:
        """Abort every connection, and accept none, or with `read_only` those that ask for read-only."""
        self.quorum = "read-only" if read_only else "lost"
        self.drop()

    def freeze(self) -> None:
        """Serve a snapshot: this member's clients do not see later changes until `thaw`."""
        self._snapshot = self.ensemble.tree.snapshot()

    def thaw(self) -> None:
        """Serve the current state again, and fire the watches of nodes that changed since `freeze`."""
        before, self._snapshot = self._snapshot, None
        if before is None:
            return
        now = self.ensemble.tree.nodes
        for path in sorted(before.nodes.keys() | now.keys()):
            event = _difference(before.nodes.get(path), now.get(path))
            if event is not None:
                self.fire(event, path, self.ensemble.tree.zxid)
            old, new = before.nodes.get(path), now.get(path)
            if old is not None and new is not None and old.children != new.children:
                self.fire(Event.CHILD, path, self.ensemble.tree.zxid)

    @property
    def tree(self) -> Tree:
        """The tree that the member's clients read: the snapshot while frozen."""
        return self._snapshot or self.ensemble.tree

    # Watches

    def fire(self, event: Event, path: str, zxid: int) -> None:
        """Send an event to each client that watches `path` for it, and remove the watch."""
        if self._snapshot is not None:
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
            watched = False
            for watches in held:
                watched |= path in watches
                watches.discard(path)
            if watched:
                self._send_event(peer, event, path)

    def _send_event(self, peer: Peer, event: Event, path: str) -> None:
        record = Writer().int32(XID_WATCH).int64(-1).int32(0).int32(event).int32(CONNECTED).text(path)
        self._send(self.watch_delay_s, peer, record.frame())

    def _send(self, delay_s: float, peer: Peer, data: bytes) -> None:
        if peer.writer.is_closing():
            return
        if delay_s <= 0:
            peer.writer.write(data)
            return

        def write() -> None:
            self._delayed.discard(timer)
            if not peer.writer.is_closing():
                peer.writer.write(data)

        timer = asyncio.get_running_loop().call_later(delay_s, write)
        self._delayed.add(timer)

    # Connections

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.quorum == "lost" or len(self._streams) >= MAX_CONNECTIONS:
            writer.transport.abort()
            return
        self.connections += 1
        self._streams.add(writer)
        peer = None
        try:
            head = await reader.readexactly(4)
            if head in FOUR_LETTER_WORDS:
                writer.write(self._four_letter_answer(head))
                await writer.drain()
                return
            peer = await self._connect(await self._read_frame(reader, head), writer)
            if peer is None:
                return
            self._peers.add(peer)
            while await self._handle_request(reader, peer):
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, Malformed, struct.error):
            pass  # a malformed request ends the connection, as in a real ensemble
        finally:
            self._streams.discard(writer)
            if peer is not None:
                self._peers.discard(peer)
            writer.close()

    async def _read_frame(self, reader: asyncio.StreamReader, head: bytes) -> Reader:
        data = await reader.readexactly(frame_length(head))
        await self._resumed.wait()
        return Reader(data)

    def _four_letter_answer(self, word: bytes) -> bytes:
        """Return the answer to a four-letter word, which some clients send before they connect.

        See "the four letter words" in the administrator's guide.
        """
        if word == b"ruok":
            return b"imok"
        mode = "read-only" if self.quorum == "read-only" else "standalone"
        text = f"Zookeeper version: 3.9.0-standin\nZxid: {self.tree.zxid:#x}\nMode: {mode}\n"
        return text.encode() + b"Node count: %d\n" % len(self.tree.nodes)

    async def _connect(self, request: Reader, writer: asyncio.StreamWriter) -> Peer | None:
        if request.int32() != 0:
            raise Malformed("unsupported protocol version")
        last_zxid, timeout_ms, number = request.int64(), request.int32(), request.int64()
        password = request.buffer() or b""
        asks_read_only = request.remaining_bytes > 0
        may_read_only = asks_read_only and request.flag()
        if self.quorum == "read-only" and not may_read_only:
            return None
        if last_zxid > self.tree.zxid:
            return None  # the client's zxid is higher than this member's: it must try another
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

    async def _handle_request(self, reader: asyncio.StreamReader, peer: Peer) -> bool:
        """Handle one request and return whether the connection stays open."""
        request = await self._read_frame(reader, await reader.readexactly(4))
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        xid, number = request.int32(), request.int32()
        tree = self.ensemble.tree
        if peer.session.id not in tree.sessions:
            return False
        peer.session = tree.sessions[peer.session.id]
        peer.session.last_heard_ms = self.ensemble.now_ms()
        op = Op(number) if number in Op.__members__.values() else None
        self.request_counts[op.name if op is not None else "unknown"] += 1
        body = Writer()
        err = Err.OK
        if op is Op.CLOSE:
            tree.close(peer.session.id)
        elif op is Op.PING:
            xid = XID_PING
        elif op is Op.AUTH:
            xid = XID_AUTH
            err = self._auth(request, peer)
        elif op in WRITES and self.quorum != "kept":
            err = Err.NOT_READ_ONLY
        elif op is None:
            err = Err.UNIMPLEMENTED
        else:
            try:
                body = self._execute(op, request, peer)
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

    def _auth(self, request: Reader, peer: Peer) -> Err:
        request.int32()
        scheme, secret = request.text(), request.buffer() or b""
        user, _, password = secret.decode("utf-8", "replace").partition(":")
        if scheme != "digest" or not user:
            return Err.AUTH_FAILED
        peer.ids.add(("digest", digest(user, password)))
        return Err.OK

    # Operations

    def _execute(self, op: Op, request: Reader, peer: Peer) -> Writer:
        match op:
            case Op.EXISTS | Op.GET_DATA | Op.GET_CHILDREN | Op.GET_CHILDREN2 | Op.GET_ACL:
                return self._read(op, request, peer)
            case Op.SYNC:
                return Writer().text(self._path(request))
            case Op.SET_WATCHES:
                return self._set_watches(request, peer)
            case Op.MULTI:
                return self._multi(request, peer)
            case _:
                result = self._change(op, request, peer, self.ensemble.tree)
                request.end()
                return result

    @staticmethod
    def _path(request: Reader) -> str:
        try:
            return validated_path(request.text())
        except Malformed:
            raise Refused(Err.BAD_ARGUMENTS) from None

    def _read(self, op: Op, request: Reader, peer: Peer) -> Writer:
        path = self._path(request)
        watch = request.flag() if op is not Op.GET_ACL else False
        request.end()
        if watch and peer.watches >= MAX_WATCHES:
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
        self.tree.check_access(node, Perm.READ, peer.ids)
        if op is Op.GET_DATA:
            if watch:
                peer.data.add(path)
            return Writer().buffer(node.data).stat(node.stat())
        if watch:
            peer.children.add(path)
        answer = Writer().texts(sorted(node.children))
        return answer.stat(node.stat()) if op is Op.GET_CHILDREN2 else answer

    def _set_watches(self, request: Reader, peer: Peer) -> Writer:
        """Restore watches after a reconnect; changes since the client's zxid are sent as events at once."""
        since = request.int64()
        data, exists, children = request.texts(), request.texts(), request.texts()
        request.end()
        nodes = self.tree.nodes
        for path in data:
            node = nodes.get(path)
            if node is None:
                self._send_event(peer, Event.DELETED, path)
            elif node.mzxid > since:
                self._send_event(peer, Event.CHANGED, path)
            else:
                peer.data.add(path)
        for path in exists:
            if path in nodes:
                self._send_event(peer, Event.CREATED, path)
            else:
                peer.exists.add(path)
        for path in children:
            node = nodes.get(path)
            if node is None:
                self._send_event(peer, Event.DELETED, path)
            elif node.pzxid > since:
                self._send_event(peer, Event.CHILD, path)
            else:
                peer.children.add(path)
        return Writer()

    def _change(self, op: Op, request: Reader, peer: Peer, tree: Tree) -> Writer:
        now = self.ensemble.now_ms()
        path = request.text()
        if op in (Op.CREATE, Op.CREATE2):
            data, acls, flags = request.buffer() or b"", request.acls(), request.int32()
            made = tree.create(path, data, acls, flags, peer.session.id, peer.ids, now)
            answer = Writer().text(made)
            return answer.stat(tree.find(made).stat()) if op is Op.CREATE2 else answer
        if op is Op.DELETE:
            tree.delete(path, request.int32(), peer.ids)
            return Writer()
        if op is Op.SET_DATA:
            data, version = request.buffer() or b"", request.int32()
            return Writer().stat(tree.set(path, data, version, peer.ids, now))
        if op is Op.CHECK:
            tree.check(path, request.int32())
            return Writer()
        raise Refused(Err.UNIMPLEMENTED)

    def _multi(self, request: Reader, peer: Peer) -> Writer:
        """Execute a transaction, all operations or none; watches fire only if all succeeded."""
        tree = self.ensemble.tree
        before, listeners = tree.snapshot(), tree.listeners
        events: list[tuple[Event, str]] = []
        tree.listeners = [lambda event, path, _: events.append((event, path))]
        results: list[tuple[int, Writer]] = []
        failed: Err | None = None
        after_failure = 0  # operations after the one that failed
        try:
            while True:
                number, done = request.int32(), request.flag()
                request.int32()
                if done:
                    break
                if len(results) + after_failure >= MAX_MULTI_OPERATIONS:
                    raise Malformed("a transaction with too many operations")
                op = Op(number) if number in Op.__members__.values() else Op.ERROR
                try:
                    result = self._change(op, request, peer, tree)
                except Refused as refused:
                    after_failure += failed is not None
                    failed = failed or refused.err
                else:
                    after_failure += failed is not None
                    if failed is None:
                        results.append((number, result))
        except (Malformed, struct.error):
            tree.restore(before)
            raise
        finally:
            tree.listeners = listeners
        answer = Writer()
        if failed is not None:
            tree.restore(before)
            for err in [Err.OK] * len(results) + [failed] + [Err.RUNTIME_INCONSISTENCY] * after_failure:
                answer.int32(Op.ERROR).flag(False).int32(err).int32(err)
        else:
            tree.zxid = before.zxid + 1
            for number, result in results:
                answer.int32(number).flag(False).int32(0).raw(result.record())
            for event, path in events:
                for listener in listeners:
                    listener(event, path, tree.zxid)
        return answer.int32(Op.ERROR).flag(True).int32(-1)


def _difference(before: Node | None, now: Node | None) -> Event | None:
    if before is None:
        return Event.CREATED
    if now is None:
        return Event.DELETED
    return Event.CHANGED if before.mzxid != now.mzxid else None


class Ensemble:
    """The members, their shared tree and the expiry of sessions."""

    def __init__(self, members: int = 1, seed: int = 1) -> None:
        self.tree = Tree(seed)
        self.members = [Member(self) for _ in range(members)]
        self.tree.listeners.append(self._fire)
        self._expiry_task: asyncio.Task[None] | None = None

    async def start(self, addresses: Iterable[tuple[str, int]] = ()) -> Ensemble:
        """Listen on these addresses, one per member; by default on free ports of 127.0.0.1."""
        places = [*addresses] or [("127.0.0.1", 0)] * len(self.members)
        for member, (host, port) in zip(self.members, places, strict=True):
            await member.listen(host, port)
        self._expiry_task = asyncio.create_task(self._expire_sessions())
        return self

    @property
    def hosts(self) -> str:
        """The addresses of all members, separated by commas."""
        return ",".join(member.address for member in self.members)

    @staticmethod
    def now_ms() -> int:
        """Return the wall clock in milliseconds."""
        return time.time_ns() // 1_000_000

    @property
    def request_counts(self) -> Counter[str]:
        """Requests to all members, by operation."""
        return sum((member.request_counts for member in self.members), Counter[str]())

    @property
    def watches(self) -> int:
        """The number of watches set through all members."""
        return sum(member.watches for member in self.members)

    @property
    def open(self) -> int:
        """The number of connections with a session, at all members."""
        return sum(member.open for member in self.members)

    def _fire(self, event: Event, path: str, zxid: int) -> None:
        for member in self.members:
            member.fire(event, path, zxid)

    async def _expire_sessions(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            if all(member.stalled or member.quorum != "kept" for member in self.members):
                # Without a leader no session expires; a new leader restarts each session's timeout.
                for session in self.tree.sessions.values():
                    session.last_heard_ms = self.now_ms()
                continue
            for number in self.tree.expired_sessions(self.now_ms()):
                self.expire(number)

    # Faults of the whole ensemble

    def expire(self, number: int) -> None:
        """End a session as if it had timed out, and abort its connections."""
        self.tree.close(number)
        for member in self.members:
            for peer in [*member._peers]:
                if peer.session.id == number:
                    peer.writer.transport.abort()

    def expire_under(self, path: str) -> None:
        """Expire the sessions that own children of this node, as after a stall."""
        below = (node.owner for at, node in self.tree.nodes.items() if parent_path(at) == path)
        for number in {owner for owner in below if owner}:
            self.expire(number)

    def restore_from_nothing(self) -> None:
        """Drop all connections, nodes and sessions, and start zxids anew, as after the loss of all data."""
        for member in self.members:
            member.drop()
            member._snapshot = None
        self.tree.restore(Tree(seed=self.tree.zxid + 2))

    def stall(self) -> None:
        """Stall every member."""
        for member in self.members:
            member.stall()

    def resume(self) -> None:
        """End the stall of every member; each session gets its whole timeout again."""
        now = self.now_ms()
        for session in self.tree.sessions.values():
            session.last_heard_ms = now
        for member in self.members:
            member.go_on()

    async def stop(self) -> None:
        """Stop all members, and wait for their connections to end (100 polls of 1 ms at most)."""
        if self._expiry_task is not None:
            self._expiry_task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._expiry_task
        for member in self.members:
            member.go_on()
            member.vanish()
            for timer in member._delayed:
                timer.cancel()
        for _ in range(100):  # until the task of each connection has ended
            if not any(member._streams for member in self.members):
                return
            await asyncio.sleep(0.001)
