"""What an ensemble holds: nodes, sessions and the order of changes. No I/O and no clock of its own.

Every change has a zxid, one higher than the last. Watches belong to the servers that clients are connected
to; the tree tells of each change as an event, and each server fires its own.

Sources: the programmer's guide of Apache ZooKeeper 3.9 (nodes, sequence numbers, sessions, access control).
"""

from __future__ import annotations

import base64
import hashlib
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from sorrelfront.net.jute import (
    ANY_VERSION,
    OPEN_TO_ALL,
    PASSWORD_BYTES,
    Acl,
    Err,
    Event,
    Flag,
    Perm,
    Stat,
    checked_path,
    parent,
)

NODES_MOST = 200_000
SESSIONS_MOST = 20_000
DATA_MOST = 1_048_576  # bytes of one node
TIMEOUT_LEAST_MS, TIMEOUT_MOST_MS = 200, 40_000  # of a session; two and twenty ticks, in a real one


class Refused(Exception):
    """An operation that is not done, by its error number."""

    def __init__(self, err: Err) -> None:
        super().__init__(err.name)
        self.err = err


@dataclass(slots=True)
class Node:
    data: bytes
    acls: tuple[Acl, ...]
    owner: int
    czxid: int
    ctime: int
    mzxid: int = 0
    mtime: int = 0
    pzxid: int = 0
    version: int = 0
    cversion: int = 0
    made: int = 0  # children ever made, for sequence numbers
    children: set[str] = field(default_factory=set)

    def stat(self) -> Stat:
        return Stat(
            self.czxid, self.mzxid, self.ctime, self.mtime, self.version, self.cversion, 0, self.owner,
            len(self.data), len(self.children), self.pzxid,
        )  # fmt: skip


@dataclass(slots=True)
class Session:
    id: int
    password: bytes
    timeout_ms: int
    heard_ms: int
    owns: set[str] = field(default_factory=set)


def digest(user: str, password: str) -> str:
    """The id that the digest scheme grants to: the name, and the SHA-1 of both in base 64."""
    hashed = hashlib.sha1(f"{user}:{password}".encode()).digest()
    return f"{user}:{base64.b64encode(hashed).decode()}"


class Tree:
    """`changed` is told of each event with its path, in the order of changes."""

    def __init__(self, seed: int = 1, first_zxid: int = 0) -> None:
        self.zxid = first_zxid
        self.changed: list[Callable[[Event, str, int], None]] = []
        self.nodes = {"/": Node(b"", OPEN_TO_ALL, 0, 0, 0)}
        self.sessions: dict[int, Session] = {}
        self._random = Random(seed)

    # Sessions

    def open(self, timeout_ms: int, now_ms: int) -> Session:
        if len(self.sessions) >= SESSIONS_MOST:
            raise Refused(Err.RUNTIME_INCONSISTENCY)
        timeout_ms = min(TIMEOUT_MOST_MS, max(TIMEOUT_LEAST_MS, timeout_ms))
        number = self._random.getrandbits(62) | 1
        session = Session(number, self._random.randbytes(PASSWORD_BYTES), timeout_ms, now_ms)
        self.sessions[number] = session
        self.zxid += 1
        return session

    def resume(self, number: int, password: bytes, now_ms: int) -> Session | None:
        """The session of this id, if it lives and the password is its own."""
        session = self.sessions.get(number)
        if session is None or session.password != password:
            return None
        session.heard_ms = now_ms
        return session

    def close(self, number: int) -> None:
        """End a session, and with it all that it owns, in one change."""
        session = self.sessions.pop(number, None)
        if session is None:
            return
        self.zxid += 1
        for path in sorted(session.owns):
            self._drop(path)

    def overdue(self, now_ms: int) -> list[int]:
        """Sessions that have been silent for longer than they may."""
        return [item.id for item in self.sessions.values() if now_ms - item.heard_ms > item.timeout_ms]

    # Reading

    def find(self, path: str) -> Node:
        node = self.nodes.get(path)
        if node is None:
            raise Refused(Err.NO_NODE)
        return node

    def allow(self, node: Node, perm: Perm, ids: set[tuple[str, str]]) -> None:
        everyone = ids | {("world", "anyone")}
        if any(acl.perms & perm and (acl.scheme, acl.id) in everyone for acl in node.acls):
            return
        raise Refused(Err.NO_AUTH)

    # Changing

    def create(
        self, path: str, data: bytes, acls: tuple[Acl, ...], flags: int, session: int,
        ids: set[tuple[str, str]], now_ms: int,
    ) -> str:  # fmt: skip
        """The path as it was made: a sequential one has its number behind it."""
        if flags not in (0, 1, 2, 3) or len(data) > DATA_MOST:
            raise Refused(Err.BAD_ARGUMENTS)
        if len(self.nodes) >= NODES_MOST:
            raise Refused(Err.RUNTIME_INCONSISTENCY)
        above = self.find(parent(path.rstrip("/") or "/"))
        self.allow(above, Perm.CREATE, ids)
        if above.owner:
            raise Refused(Err.NO_CHILDREN_FOR_EPHEMERALS)
        if flags & Flag.SEQUENTIAL:
            path = f"{path}{above.made:010d}"
        checked_path(path)
        if path in self.nodes:
            raise Refused(Err.NODE_EXISTS)
        owner = session if flags & Flag.EPHEMERAL else 0
        if owner and owner not in self.sessions:
            raise Refused(Err.SESSION_EXPIRED)
        self.zxid += 1
        self.nodes[path] = Node(
            data, self._granted(acls, ids), owner, self.zxid, now_ms, self.zxid, now_ms, self.zxid
        )
        above.children.add(path.rpartition("/")[2])
        above.made += 1
        above.cversion += 1
        above.pzxid = self.zxid
        if owner:
            self.sessions[owner].owns.add(path)
        self._tell(Event.CREATED, path)
        self._tell(Event.CHILD, parent(path))
        return path

    def _granted(self, acls: tuple[Acl, ...], ids: set[tuple[str, str]]) -> tuple[Acl, ...]:
        """`auth` stands for whoever makes it."""
        if not acls:
            raise Refused(Err.INVALID_ACL)
        made: list[Acl] = []
        for acl in acls:
            if acl.scheme != "auth":
                made.append(acl)
                continue
            own = [item for item in ids if item[0] == "digest"]
            if not own:
                raise Refused(Err.INVALID_ACL)
            made += [Acl(acl.perms, scheme, name) for scheme, name in own]
        return tuple(made)

    def delete(self, path: str, version: int, ids: set[tuple[str, str]]) -> None:
        node = self.find(path)
        self.allow(self.find(parent(path)), Perm.DELETE, ids)
        if path == "/":
            raise Refused(Err.BAD_ARGUMENTS)
        if version not in (ANY_VERSION, node.version):
            raise Refused(Err.BAD_VERSION)
        if node.children:
            raise Refused(Err.NOT_EMPTY)
        self.zxid += 1
        if node.owner in self.sessions:
            self.sessions[node.owner].owns.discard(path)
        self._drop(path)

    def _drop(self, path: str) -> None:
        if self.nodes.pop(path, None) is None:
            return
        above = self.nodes.get(parent(path))
        if above is not None:
            above.children.discard(path.rpartition("/")[2])
            above.cversion += 1
            above.pzxid = self.zxid
        self._tell(Event.DELETED, path)
        self._tell(Event.CHILD, parent(path))

    def set(self, path: str, data: bytes, version: int, ids: set[tuple[str, str]], now_ms: int) -> Stat:
        node = self.find(path)
        self.allow(node, Perm.WRITE, ids)
        if version not in (ANY_VERSION, node.version):
            raise Refused(Err.BAD_VERSION)
        if len(data) > DATA_MOST:
            raise Refused(Err.BAD_ARGUMENTS)
        self.zxid += 1
        node.data, node.version, node.mzxid, node.mtime = data, node.version + 1, self.zxid, now_ms
        self._tell(Event.CHANGED, path)
        return node.stat()

    def check(self, path: str, version: int) -> None:
        if version not in (ANY_VERSION, self.find(path).version):
            raise Refused(Err.BAD_VERSION)

    def snapshot(self) -> Tree:
        """A copy without listeners, for a transaction that may be undone or a service restored from it."""
        copy = Tree()
        copy.zxid = self.zxid
        copy.nodes = {
            path: Node(
                node.data, node.acls, node.owner, node.czxid, node.ctime, node.mzxid, node.mtime, node.pzxid,
                node.version, node.cversion, node.made, set(node.children),
            )
            for path, node in self.nodes.items()
        }  # fmt: skip
        copy.sessions = {
            item.id: Session(item.id, item.password, item.timeout_ms, item.heard_ms, set(item.owns))
            for item in self.sessions.values()
        }
        copy._random.setstate(self._random.getstate())
        return copy

    def become(self, other: Tree) -> None:
        """Hold what another holds; nobody is told."""
        self.nodes, self.sessions, self.zxid = other.nodes, other.sessions, other.zxid

    def _tell(self, event: Event, path: str) -> None:
        for listener in self.changed:
            listener(event, path, self.zxid)
