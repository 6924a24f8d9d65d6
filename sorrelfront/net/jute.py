"""Jute, the records of ZooKeeper's client protocol: what client and stand-in both write and read. No I/O.

Sources: zookeeper.jute of Apache ZooKeeper 3.9 (records, in their order of fields), the programmer's guide
(sessions, watches, access control) and ZooDefs/KeeperException (numbers of operations and errors).

Everything is big-endian. A buffer, text or vector is a 32-bit length and what it counts; -1 stands for none.
Every length is checked against what is there before anything is taken or made.
"""

from __future__ import annotations

import struct
from enum import IntEnum
from typing import NamedTuple

FRAME_MOST = 1_048_576 + 1_024  # bytes: `jute.maxbuffer` is 0xfffff by default, beside the header
VECTOR_MOST = 65_536  # elements: children of one node, watches set again
ANY_VERSION = -1
PASSWORD_BYTES = 16

XID_WATCH = -1
XID_PING = -2
XID_AUTH = -4
XID_SET_WATCHES = -8


class Op(IntEnum):
    CREATE = 1
    DELETE = 2
    EXISTS = 3
    GET_DATA = 4
    SET_DATA = 5
    GET_ACL = 6
    SET_ACL = 7
    GET_CHILDREN = 8
    SYNC = 9
    PING = 11
    GET_CHILDREN2 = 12
    CHECK = 13
    MULTI = 14
    CREATE2 = 15
    AUTH = 100
    SET_WATCHES = 101
    CLOSE = -11
    ERROR = -1


class Err(IntEnum):
    OK = 0
    RUNTIME_INCONSISTENCY = -2
    CONNECTION_LOSS = -4
    MARSHALLING = -5
    UNIMPLEMENTED = -6
    BAD_ARGUMENTS = -8
    NO_NODE = -101
    NO_AUTH = -102
    BAD_VERSION = -103
    NO_CHILDREN_FOR_EPHEMERALS = -108
    NODE_EXISTS = -110
    NOT_EMPTY = -111
    SESSION_EXPIRED = -112
    INVALID_ACL = -114
    AUTH_FAILED = -115
    NOT_READ_ONLY = -119


class Event(IntEnum):
    CREATED = 1
    DELETED = 2
    CHANGED = 3
    CHILD = 4


class Flag(IntEnum):
    PERSISTENT = 0
    EPHEMERAL = 1
    SEQUENTIAL = 2
    EPHEMERAL_SEQUENTIAL = 3


class Perm(IntEnum):
    READ = 1
    WRITE = 2
    CREATE = 4
    DELETE = 8
    ADMIN = 16
    ALL = 31


class Malformed(Exception):
    """Bytes that are not the record they should be."""


class Acl(NamedTuple):
    perms: int
    scheme: str
    id: str


OPEN_TO_ALL = (Acl(Perm.ALL, "world", "anyone"),)


class Stat(NamedTuple):
    """What is known of a node beside its data; times in milliseconds since 1970, `owner` a session or 0."""

    czxid: int
    mzxid: int
    ctime: int
    mtime: int
    version: int
    cversion: int
    aversion: int
    owner: int
    data_length: int
    children: int
    pzxid: int


_INT = struct.Struct(">i")
_LONG = struct.Struct(">q")
_STAT = struct.Struct(">qqqqiiiqiiq")


class Writer:
    """A record that is being written."""

    __slots__ = ("_parts",)

    def __init__(self) -> None:
        self._parts: list[bytes] = []

    def int32(self, value: int) -> Writer:
        self._parts.append(_INT.pack(value))
        return self

    def int64(self, value: int) -> Writer:
        self._parts.append(_LONG.pack(value))
        return self

    def flag(self, value: bool) -> Writer:
        self._parts.append(b"\x01" if value else b"\x00")
        return self

    def buffer(self, value: bytes | None) -> Writer:
        if value is None:
            return self.int32(-1)
        self._parts += (_INT.pack(len(value)), value)
        return self

    def text(self, value: str | None) -> Writer:
        return self.buffer(None if value is None else value.encode())

    def texts(self, values: list[str]) -> Writer:
        self.int32(len(values))
        for value in values:
            self.text(value)
        return self

    def acls(self, values: tuple[Acl, ...]) -> Writer:
        self.int32(len(values))
        for acl in values:
            self.int32(acl.perms).text(acl.scheme).text(acl.id)
        return self

    def stat(self, value: Stat) -> Writer:
        self._parts.append(_STAT.pack(*value))
        return self

    def raw(self, data: bytes) -> Writer:
        self._parts.append(data)
        return self

    def record(self) -> bytes:
        return b"".join(self._parts)

    def frame(self) -> bytes:
        """The record behind its length, as it goes on the wire."""
        record = self.record()
        return _INT.pack(len(record)) + record


class Reader:
    """A record that is being read. Every method raises Malformed if the bytes do not hold what is asked."""

    __slots__ = ("_at", "_data")

    def __init__(self, data: bytes) -> None:
        self._data = data
        self._at = 0

    @property
    def left(self) -> int:
        return len(self._data) - self._at

    def _take(self, count: int) -> bytes:
        if count < 0 or count > self.left:
            raise Malformed(f"{count} bytes wanted, {self.left} left")
        start = self._at
        self._at += count
        return self._data[start : self._at]

    def int32(self) -> int:
        return int(_INT.unpack(self._take(4))[0])

    def int64(self) -> int:
        return int(_LONG.unpack(self._take(8))[0])

    def flag(self) -> bool:
        byte = self._take(1)
        if byte not in (b"\x00", b"\x01"):
            raise Malformed("a flag that is neither true nor false")
        return byte == b"\x01"

    def buffer(self) -> bytes | None:
        length = self.int32()
        return None if length == -1 else self._take(length)

    def text(self) -> str:
        try:
            return (self.buffer() or b"").decode()
        except UnicodeDecodeError:
            raise Malformed("a text that is not UTF-8") from None

    def count(self, least_bytes: int) -> int:
        """Of a vector whose elements have so many bytes at least. Risk: a count of two thousand million would
        be walked before the bytes are found to be missing."""
        count = self.int32()
        if count == -1:
            return 0
        if count < 0 or count > VECTOR_MOST or count * least_bytes > self.left:
            raise Malformed(f"a vector of {count} elements")
        return count

    def texts(self) -> list[str]:
        return [self.text() for _ in range(self.count(4))]

    def acls(self) -> tuple[Acl, ...]:
        return tuple(Acl(self.int32(), self.text(), self.text()) for _ in range(self.count(12)))

    def stat(self) -> Stat:
        return Stat(*_STAT.unpack(self._take(_STAT.size)))

    def rest(self) -> bytes:
        return self._take(self.left)

    def end(self) -> None:
        if self.left:
            raise Malformed(f"{self.left} bytes behind the record")


def frame_length(head: bytes) -> int:
    """The length that stands ahead of a frame. Raises Malformed for one that none may have."""
    length = int(_INT.unpack(head)[0])
    if not 0 <= length <= FRAME_MOST:
        raise Malformed(f"a frame of {length} bytes")
    return length


def checked_path(path: str) -> str:
    """An absolute path as ZooKeeper takes it. Raises Malformed."""
    if path == "/":
        return path
    parts = path.split("/")
    if parts[0] != "" or not path or any(part in ("", ".", "..") for part in parts[1:]) or "\x00" in path:
        raise Malformed(f"not a path: {path[:80]!r}")
    return path


def parent(path: str) -> str:
    return path.rpartition("/")[0] or "/"
