"""Encode and decode Jute, the record format of the ZooKeeper client protocol. No I/O.

Used by the client and by the test service.

Sources: zookeeper.jute of Apache ZooKeeper 3.9 (records and the order of their fields), the programmer's
guide (sessions, watches, access control) and ZooDefs/KeeperException (operation and error codes).

All numbers are big-endian. A buffer, string or vector is a 32-bit length followed by its content; -1 means
null. Every length is checked against the remaining bytes before anything is read or allocated.
"""

from __future__ import annotations

import struct
from enum import IntEnum
from typing import NamedTuple

MAX_FRAME_BYTES = 1_048_576 + 1_024  # bytes: the default `jute.maxbuffer` of 0xfffff, plus the header
MAX_VECTOR_ELEMENTS = 65_536  # children of a node, or watches to set again
ANY_VERSION = -1
PASSWORD_BYTES = 16

XID_WATCH = -1
XID_PING = -2
XID_AUTH = -4
XID_SET_WATCHES = -8


class Op(IntEnum):
    """Operation codes of requests."""

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
    """Error codes of responses."""

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
    """Types of watch events."""

    CREATED = 1
    DELETED = 2
    CHANGED = 3
    CHILD = 4


class Flag(IntEnum):
    """Creation modes of a node."""

    PERSISTENT = 0
    EPHEMERAL = 1
    SEQUENTIAL = 2
    EPHEMERAL_SEQUENTIAL = 3


class Perm(IntEnum):
    """Permission bits of an ACL entry."""

    READ = 1
    WRITE = 2
    CREATE = 4
    DELETE = 8
    ADMIN = 16
    ALL = 31


class Malformed(Exception):
    """Bytes that do not encode the expected record."""


class Acl(NamedTuple):
    """An entry of an access control list."""

    perms: int
    scheme: str
    id: str


OPEN_ACL_UNSAFE = (Acl(Perm.ALL, "world", "anyone"),)


class Stat(NamedTuple):
    """Metadata of a node.

    `ctime` and `mtime` are in milliseconds since 1970. `ephemeral_owner` is the session that owns an
    ephemeral node, or 0.
    """

    czxid: int
    mzxid: int
    ctime: int
    mtime: int
    version: int
    cversion: int
    aversion: int
    ephemeral_owner: int
    data_length: int
    num_children: int
    pzxid: int


_INT = struct.Struct(">i")
_LONG = struct.Struct(">q")
_STAT = struct.Struct(">qqqqiiiqiiq")


class Writer:
    """Encodes a record. Each method appends one value and returns the writer."""

    __slots__ = ("_parts",)

    def __init__(self) -> None:
        self._parts: list[bytes] = []

    def int32(self, value: int) -> Writer:
        """Append a 32-bit integer."""
        self._parts.append(_INT.pack(value))
        return self

    def int64(self, value: int) -> Writer:
        """Append a 64-bit integer."""
        self._parts.append(_LONG.pack(value))
        return self

    def flag(self, value: bool) -> Writer:
        """Append a boolean."""
        self._parts.append(b"\x01" if value else b"\x00")
        return self

    def buffer(self, value: bytes | None) -> Writer:
        """Append a byte buffer, or null."""
        if value is None:
            return self.int32(-1)
        self._parts += (_INT.pack(len(value)), value)
        return self

    def text(self, value: str | None) -> Writer:
        """Append a UTF-8 string, or null."""
        return self.buffer(None if value is None else value.encode())

    def texts(self, values: list[str]) -> Writer:
        """Append a vector of strings."""
        self.int32(len(values))
        for value in values:
            self.text(value)
        return self

    def acls(self, values: tuple[Acl, ...]) -> Writer:
        """Append a vector of ACL entries."""
        self.int32(len(values))
        for acl in values:
            self.int32(acl.perms).text(acl.scheme).text(acl.id)
        return self

    def stat(self, value: Stat) -> Writer:
        """Append the metadata of a node."""
        self._parts.append(_STAT.pack(*value))
        return self

    def raw(self, data: bytes) -> Writer:
        """Append bytes that are already encoded."""
        self._parts.append(data)
        return self

    def record(self) -> bytes:
        """Return the encoded record without its length."""
        return b"".join(self._parts)

    def frame(self) -> bytes:
        """Return the encoded record preceded by its length, as it is sent."""
        record = self.record()
        return _INT.pack(len(record)) + record


class Reader:
    """Decodes a record. Every method raises Malformed if the bytes do not encode the requested value."""

    __slots__ = ("_cursor", "_data")

    def __init__(self, data: bytes) -> None:
        self._data = data
        self._cursor = 0

    @property
    def remaining_bytes(self) -> int:
        """The number of bytes not read yet."""
        return len(self._data) - self._cursor

    def _take(self, count: int) -> bytes:
        if count < 0 or count > self.remaining_bytes:
            raise Malformed(f"{count} bytes expected, {self.remaining_bytes} left")
        start = self._cursor
        self._cursor += count
        return self._data[start : self._cursor]

    def int32(self) -> int:
        """Read a 32-bit integer."""
        return int(_INT.unpack(self._take(4))[0])

    def int64(self) -> int:
        """Read a 64-bit integer."""
        return int(_LONG.unpack(self._take(8))[0])

    def flag(self) -> bool:
        """Read a boolean."""
        byte = self._take(1)
        if byte not in (b"\x00", b"\x01"):
            raise Malformed("a boolean that is neither 0 nor 1")
        return byte == b"\x01"

    def buffer(self) -> bytes | None:
        """Read a byte buffer, or null."""
        length = self.int32()
        return None if length == -1 else self._take(length)

    def text(self) -> str:
        """Read a UTF-8 string; null is read as an empty string."""
        try:
            return (self.buffer() or b"").decode()
        except UnicodeDecodeError:
            raise Malformed("a string that is not UTF-8") from None

    def vector_length(self, min_element_bytes: int) -> int:
        """Read the length of a vector whose elements take at least `min_element_bytes` each.

        The length is checked here: otherwise a length of two billion would be iterated over before the
        missing bytes are noticed.
        """
        count = self.int32()
        if count == -1:
            return 0
        if count < 0 or count > MAX_VECTOR_ELEMENTS or count * min_element_bytes > self.remaining_bytes:
            raise Malformed(f"vector length {count}")
        return count

    def texts(self) -> list[str]:
        """Read a vector of strings."""
        return [self.text() for _ in range(self.vector_length(4))]

    def acls(self) -> tuple[Acl, ...]:
        """Read a vector of ACL entries."""
        return tuple(Acl(self.int32(), self.text(), self.text()) for _ in range(self.vector_length(12)))

    def stat(self) -> Stat:
        """Read the metadata of a node."""
        return Stat(*_STAT.unpack(self._take(_STAT.size)))

    def rest(self) -> bytes:
        """Read all remaining bytes."""
        return self._take(self.remaining_bytes)

    def end(self) -> None:
        """Check that the record ends here. Raises Malformed if bytes follow."""
        if self.remaining_bytes:
            raise Malformed(f"{self.remaining_bytes} bytes after the record")


def frame_length(head: bytes) -> int:
    """Decode the length prefix of a frame. Raises Malformed if it is negative or above MAX_FRAME_BYTES."""
    length = int(_INT.unpack(head)[0])
    if not 0 <= length <= MAX_FRAME_BYTES:
        raise Malformed(f"frame length {length}")
    return length


def validated_path(path: str) -> str:
    """Return an absolute path that ZooKeeper accepts. Raises Malformed for any other."""
    if path == "/":
        return path
    parts = path.split("/")
    if parts[0] != "" or not path or any(part in ("", ".", "..") for part in parts[1:]) or "\x00" in path:
        raise Malformed(f"invalid path: {path[:80]!r}")
    return path


def parent_path(path: str) -> str:
    """Return the path of the parent node; the parent of the root is the root."""
    return path.rpartition("/")[0] or "/"
