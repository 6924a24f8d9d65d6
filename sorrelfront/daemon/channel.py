"""Messages between the supervisor and an instance: JSON, one a packet, with descriptors beside it.

A packet arrives whole or not at all (SOCK_SEQPACKET, unix(7)), so there is nothing to frame, and its end is
seen when either process dies, however it dies. A message that is longer than a packet should be travels in a
sealed memory descriptor (memfd_create(2), F_ADD_SEALS): its sender cannot change it while it is read.
"""

from __future__ import annotations

import array
import fcntl
import os
import socket
import struct
from pathlib import Path
from typing import Any

import msgspec

from sorrelfront.errors import SorrelfrontError

PACKET_MOST = 64 * 1024  # bytes of a packet; longer messages go in a memory descriptor
MESSAGE_MOST = 16 * 1024 * 1024  # bytes; 10,000 servers with their estimates have below four million
DESCRIPTORS_MOST = 40  # twice the listeners, in the middle of a reload, and a memory descriptor
SEALS = fcntl.F_SEAL_SEAL | fcntl.F_SEAL_SHRINK | fcntl.F_SEAL_GROW | fcntl.F_SEAL_WRITE
CREDENTIALS = struct.Struct("3i")  # pid, uid, gid: struct ucred
Message = dict[str, Any]

_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder()


class BadMessage(SorrelfrontError):
    """A packet that does not say what it must."""

    remedy = "Start supervisor and instances from one version of the program, by `serve --replace`."


def pair() -> tuple[socket.socket, socket.socket]:
    """Both ends, not blocking."""
    ours, theirs = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    for end in (ours, theirs):
        prepare(end)
    return ours, theirs


def prepare(sock: socket.socket) -> None:
    """Not blocking, with room for some packets."""
    sock.setblocking(False)
    for option in (socket.SO_SNDBUF, socket.SO_RCVBUF):
        sock.setsockopt(socket.SOL_SOCKET, option, 8 * PACKET_MOST)


def bind_private(kind: socket.SocketKind, path: Path) -> socket.socket:
    """A Unix socket at this path that only its owner may connect to (mode 0600). Raises OSError."""
    sock = socket.socket(socket.AF_UNIX, kind)
    before = os.umask(0o177)
    try:
        sock.bind(str(path))
    except BaseException:
        sock.close()
        raise
    finally:
        os.umask(before)
    return sock


def peer(sock: socket.socket) -> tuple[int, int]:
    """Process and user at the other end, by the kernel's word: SO_PEERCRED. Of a connection to a listening
    socket it is the process that listens. Raises OSError."""
    raw = sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, CREDENTIALS.size)
    pid, uid, _ = CREDENTIALS.unpack(raw)
    return pid, uid


def is_owner(sock: socket.socket) -> bool:
    """Whether the peer is this program's own user, or root."""
    return peer(sock)[1] in (0, os.geteuid())


def _sealed(data: bytes) -> int:
    """A memory descriptor with these bytes that nobody can change. Raises OSError."""
    descriptor = os.memfd_create("sorrelfront-message", os.MFD_CLOEXEC | os.MFD_ALLOW_SEALING)
    try:
        view = memoryview(data)
        while view:
            view = view[os.write(descriptor, view) :]
        fcntl.fcntl(descriptor, fcntl.F_ADD_SEALS, SEALS)
    except BaseException:
        os.close(descriptor)
        raise
    return descriptor


def send(sock: socket.socket, message: Message, descriptors: list[int] | None = None) -> bool:
    """Whether it went. False if the peer does not read or is gone: it is then found hung, or ended.
    Raises ValueError if the message is too long."""
    data = _encoder.encode(message)
    if len(data) > MESSAGE_MOST:
        raise ValueError(f"a message of {len(data)} bytes")
    beside = list(descriptors or [])
    memory = -1
    try:
        if len(data) > PACKET_MOST:
            memory = _sealed(data)
            beside.insert(0, memory)
            data = _encoder.encode({"op": "sealed", "bytes": len(data)})
        rights = [(socket.SOL_SOCKET, socket.SCM_RIGHTS, array.array("i", beside))] if beside else []
        sock.sendmsg([data], rights)
    except OSError:
        return False
    finally:
        if memory >= 0:
            os.close(memory)
    return True


def _read_sealed(descriptor: int, size: Any) -> bytes:
    """The bytes of a memory descriptor. Raises BadMessage if its sender could still change them, OSError."""
    if not isinstance(size, int) or not 0 < size <= MESSAGE_MOST:
        raise BadMessage("a sealed message of no known size")
    # Risk: a descriptor that is no memory, or not sealed, is changed or cut off while it is read.
    if fcntl.fcntl(descriptor, fcntl.F_GET_SEALS) & SEALS != SEALS or os.fstat(descriptor).st_size != size:
        raise BadMessage("a message in a descriptor that is not sealed")
    return os.pread(descriptor, size, 0)


def receive(sock: socket.socket) -> tuple[Message, list[int]] | None:
    """The next message and its descriptors, which the caller owns; None at the peer's end. Raises BadMessage,
    and BlockingIOError if nothing is there."""
    try:
        data, descriptors, flags, _ = socket.recv_fds(sock, PACKET_MOST, DESCRIPTORS_MOST)
    except ConnectionError:
        return None
    if not data and not descriptors:
        return None
    try:
        if flags & (socket.MSG_TRUNC | socket.MSG_CTRUNC):
            raise BadMessage("a packet that is too long")
        message = _object(data)
        if message.get("op") == "sealed":
            if not descriptors:
                raise BadMessage("a sealed message without its descriptor")
            memory = descriptors.pop(0)
            try:
                message = _object(_read_sealed(memory, message.get("bytes")))
            finally:
                os.close(memory)
    except (BadMessage, OSError) as fault:
        for descriptor in descriptors:
            os.close(descriptor)
        raise BadMessage(str(fault)) from None
    return message, descriptors


def _object(data: bytes) -> Message:
    try:
        message = _decoder.decode(data)
    except (msgspec.DecodeError, RecursionError):
        message = None
    if not isinstance(message, dict):
        raise BadMessage("a packet that is no message")
    return message
