"""The state of an ensemble: nodes, sessions and the order of changes. It does no I/O and reads no clock.

Every change has a zxid, one higher than the last. Watches belong to the members that clients are connected
to; the tree reports each change as an event, and each member fires its own watches.

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
    OPEN_ACL_UNSAFE,
    PASSWORD_BYTES,
    Acl,
    Err,
    Event,
    Flag,
    Perm,
    Stat,
    parent_path,
    validated_path,
)

MAX_NODES = 200_000
MAX_SESSIONS = 20_000
MAX_DATA_BYTES = 1_048_576  # of one node
MIN_TIMEOUT_MS, MAX_TIMEOUT_MS = 200, 40_000  # of a session; a real ensemble allows 2 to 20 ticks


class Refused(Exception):
    """An operation was rejected; `err` is its error code."""

    def __init__(self, err: Err) -> None:
        super().__init__(err.name)
        self.err = err


@dataclass(slots=True)
class Node:
    """A node of the tree, with the metadata of its `Stat`."""

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
    children_created: int = 0  # so far, for sequence numbers
    children: set[str] = field(default_factory=set)

    def stat(self) -> Stat:
        """Return the node's metadata as the protocol has it."""
        return Stat(
            self.czxid, self.mzxid, self.ctime, self.mtime, self.version, self.cversion, 0, self.owner,
            len(self.data), len(self.children), self.pzxid,
        )  # fmt: skip


@dataclass(slots=True)
class Session:
    """A client's session and the paths of the ephemeral nodes that it owns."""

    id: int
    password: bytes
    timeout_ms: int
    last_heard_ms: int
    ephemeral_paths: set[str] = field(default_factory=set)


def digest(user: str, password: str) -> str:
    """Return the id of the digest scheme: the user, and the SHA-1 of `user:password` in base 64."""
    hashed = hashlib.sha1(f"{user}:{password}".encode()).digest()
    return f"{user}:{base64.b64encode(hashed).decode()}"


class Tree:
    """Nodes and sessions; listeners in `changed` get each event, path and zxid in the order of changes."""

    def __init__(self, seed: int = 1, first_zxid: int = 0) -> None:
        self.zxid = first_zxid
        self.listeners: list[Callable[[Event, str, int], None]] = []
        self.nodes = {"/": Node(b"", OPEN_ACL_UNSAFE, 0, 0, 0)}
        self.sessions: dict[int, Session] = {}
        self._random = Random(seed)

    # Sessions

    def open(self, timeout_ms: int, now_ms: int) -> Session:
        """Open a session; its timeout is clamped. Raises Refused if there are too many."""
        if len(self.sessions) >= MAX_SESSIONS:
            raise Refused(Err.RUNTIME_INCONSISTENCY)
        timeout_ms = min(MAX_TIMEOUT_MS, max(MIN_TIMEOUT_MS, timeout_ms))
        number = self._random.getrandbits(62) | 1
        session = Session(number, self._random.randbytes(PASSWORD_BYTES), timeout_ms, now_ms)
        self.sessions[number] = session
        self.zxid += 1
        return session

    def resume(self, number: int, password: bytes, now_ms: int) -> Session | None:
        """Return the session of this id if it is alive and the password is correct, and renew it."""
        session = self.sessions.get(number)
        if session is None or session.password != password:
            return None
        session.last_heard_ms = now_ms
        return session

    def close(self, number: int) -> None:
        """End a session and delete the nodes that it owns, in one change."""
        session = self.sessions.pop(number, None)
        if session is None:
            return
        self.zxid += 1
        for path in sorted(session.ephemeral_paths):
            self._remove(path)

    def expired_sessions(self, now_ms: int) -> list[int]:
        """Return the ids of the sessions that sent nothing for longer than their timeout."""
        return [item.id for item in self.sessions.values() if now_ms - item.last_heard_ms > item.timeout_ms]

    # Reading

    def find(self, path: str) -> Node:
        """Return the node at `path`. Raises Refused with NO_NODE."""
        node = self.nodes.get(path)
        if node is None:
            raise Refused(Err.NO_NODE)
        return node

    def check_access(self, node: Node, perm: Perm, ids: set[tuple[str, str]]) -> None:
        """Check that the node's ACL grants `perm` to one of `ids`. Raises Refused with NO_AUTH."""
        everyone = ids | {("world", "anyone")}
        if any(acl.perms & perm and (acl.scheme, acl.id) in everyone for acl in node.acls):
            return
        raise Refused(Err.NO_AUTH)

    # Changing

    def create(
        self, path: str, data: bytes, acls: tuple[Acl, ...], flags: int, session: int,
        ids: set[tuple[str, str]], now_ms: int,
    ) -> str:  # fmt: skip
        """Create a node and return its path; a sequential one has its number appended. Raises Refused."""
        if flags not in (0, 1, 2, 3) or len(data) > MAX_DATA_BYTES:
            raise Refused(Err.BAD_ARGUMENTS)
        if len(self.nodes) >= MAX_NODES:
            raise Refused(Err.RUNTIME_INCONSISTENCY)
        parent_node = self.find(parent_path(path.rstrip("/") or "/"))
        self.check_access(parent_node, Perm.CREATE, ids)
        if parent_node.owner:
            raise Refused(Err.NO_CHILDREN_FOR_EPHEMERALS)
        if flags & Flag.SEQUENTIAL:
            path = f"{path}{parent_node.children_created:010d}"
        validated_path(path)
        if path in self.nodes:
            raise Refused(Err.NODE_EXISTS)
        owner = session if flags & Flag.EPHEMERAL else 0
        if owner and owner not in self.sessions:
            raise Refused(Err.SESSION_EXPIRED)
        self.zxid += 1
        self.nodes[path] = Node(
            data, self._resolve_acls(acls, ids), owner, self.zxid, now_ms, self.zxid, now_ms, self.zxid
        )
        parent_node.children.add(path.rpartition("/")[2])
        parent_node.children_created += 1
        parent_node.cversion += 1
        parent_node.pzxid = self.zxid
        if owner:
            self.sessions[owner].ephemeral_paths.add(path)
        self._notify(Event.CREATED, path)
        self._notify(Event.CHILD, parent_path(path))
        return path

    def _resolve_acls(self, acls: tuple[Acl, ...], ids: set[tuple[str, str]]) -> tuple[Acl, ...]:
        """Replace the `auth` scheme by the digest ids of the creator. Raises Refused with INVALID_ACL."""
        if not acls:
            raise Refused(Err.INVALID_ACL)
        resolved: list[Acl] = []
        for acl in acls:
            if acl.scheme != "auth":
                resolved.append(acl)
                continue
            own = [item for item in ids if item[0] == "digest"]
            if not own:
                raise Refused(Err.INVALID_ACL)
            resolved += [Acl(acl.perms, scheme, name) for scheme, name in own]
        return tuple(resolved)

    def delete(self, path: str, version: int, ids: set[tuple[str, str]]) -> None:
        """Delete a node that has no children. Raises Refused."""
        node = self.find(path)
        self.check_access(self.find(parent_path(path)), Perm.DELETE, ids)
        if path == "/":
            raise Refused(Err.BAD_ARGUMENTS)
        if version not in (ANY_VERSION, node.version):
            raise Refused(Err.BAD_VERSION)
        if node.children:
            raise Refused(Err.NOT_EMPTY)
        self.zxid += 1
        if node.owner in self.sessions:
            self.sessions[node.owner].ephemeral_paths.discard(path)
        self._remove(path)

    def _remove(self, path: str) -> None:
        if self.nodes.pop(path, None) is None:
            return
        parent_node = self.nodes.get(parent_path(path))
        if parent_node is not None:
            parent_node.children.discard(path.rpartition("/")[2])
            parent_node.cversion += 1
            parent_node.pzxid = self.zxid
        self._notify(Event.DELETED, path)
        self._notify(Event.CHILD, parent_path(path))

    def set(self, path: str, data: bytes, version: int, ids: set[tuple[str, str]], now_ms: int) -> Stat:
        """Replace a node's data and return its new metadata. Raises Refused."""
        node = self.find(path)
        self.check_access(node, Perm.WRITE, ids)
        if version not in (ANY_VERSION, node.version):
            raise Refused(Err.BAD_VERSION)
        if len(data) > MAX_DATA_BYTES:
            raise Refused(Err.BAD_ARGUMENTS)
        self.zxid += 1
        node.data, node.version, node.mzxid, node.mtime = data, node.version + 1, self.zxid, now_ms
        self._notify(Event.CHANGED, path)
        return node.stat()

    def check(self, path: str, version: int) -> None:
        """Check that the node has this version, or any with ANY_VERSION. Raises Refused."""
        if version not in (ANY_VERSION, self.find(path).version):
            raise Refused(Err.BAD_VERSION)

    def snapshot(self) -> Tree:
        """Return a copy without listeners, to roll back a transaction or to serve stale data from."""
        copy = Tree()
        copy.zxid = self.zxid
        copy.nodes = {
            path: Node(
                node.data, node.acls, node.owner, node.czxid, node.ctime, node.mzxid, node.mtime, node.pzxid,
                node.version, node.cversion, node.children_created, set(node.children),
            )
            for path, node in self.nodes.items()
        }  # fmt: skip
        copy.sessions = {
            item.id: Session(
                item.id, item.password, item.timeout_ms, item.last_heard_ms, set(item.ephemeral_paths)
            )
            for item in self.sessions.values()
        }
        copy._random.setstate(self._random.getstate())
        return copy

    def restore(self, other: Tree) -> None:
        """Take over the state of another tree, without events."""
        self.nodes, self.sessions, self.zxid = other.nodes, other.sessions, other.zxid

    def _notify(self, event: Event, path: str) -> None:
        for listener in self.listeners:
            listener(event, path, self.zxid)
