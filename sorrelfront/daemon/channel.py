"""Messages between the supervisor and an instance: JSON, one per packet, with attached descriptors.

A packet arrives whole or not at all (SOCK_SEQPACKET, unix(7)), so no framing is needed, and end of file is
seen when either process dies, however it dies. A message that is too long for a packet is sent in a sealed
memory descriptor (memfd_create(2), F_ADD_SEALS), which its sender cannot change while it is read.
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

MAX_PACKET_BYTES = 64 * 1024  # bytes of a packet; longer messages are sent in a memory descriptor
MAX_MESSAGE_BYTES = 16 * 1024 * 1024  # bytes; 10,000 servers with their estimates take less than four million
MAX_DESCRIPTORS = 40  # twice the listeners, during a reload, and a memory descriptor
SEALS = fcntl.F_SEAL_SEAL | fcntl.F_SEAL_SHRINK | fcntl.F_SEAL_GROW | fcntl.F_SEAL_WRITE
CREDENTIALS = struct.Struct("3i")  # pid, uid, gid: struct ucred
Message = dict[str, Any]

_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder()


class BadMessage(SorrelfrontError):
    """A packet that is not a valid message."""

    remedy = "Start supervisor and instances from one version of the program, by `serve --replace`."


def socket_pair() -> tuple[socket.socket, socket.socket]:
    """Return two connected non-blocking sockets."""
    ours, theirs = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    for end in (ours, theirs):
        configure_socket(end)
    return ours, theirs


def configure_socket(sock: socket.socket) -> None:
    """Make the socket non-blocking, with buffers for several packets."""
    sock.setblocking(False)
    for option in (socket.SO_SNDBUF, socket.SO_RCVBUF):
        sock.setsockopt(socket.SOL_SOCKET, option, 8 * MAX_PACKET_BYTES)


def bind_private(kind: socket.SocketKind, path: Path) -> socket.socket:
    """Bind a Unix socket to which only its owner may connect (mode 0600). Raises OSError."""
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


def peer_credentials(sock: socket.socket) -> tuple[int, int]:
    """Return process id and user id of the peer, as the kernel reports them (SO_PEERCRED).

    For a connection to a listening socket this is the process that listens. Raises OSError.
    """
    raw = sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, CREDENTIALS.size)
    pid, uid, _ = CREDENTIALS.unpack(raw)
    return pid, uid


def is_owner(sock: socket.socket) -> bool:
    """Whether the peer runs as this program's user, or as root."""
    return peer_credentials(sock)[1] in (0, os.geteuid())


def _seal_in_memory(data: bytes) -> int:
    """Return a memory descriptor with these bytes that cannot be changed. Raises OSError."""
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
    """Send a message with descriptors; return whether it was sent.

    False if the peer does not read or has ended: its hang or end is detected elsewhere. Raises ValueError if
    the message is too long.
    """
    data = _encoder.encode(message)
    if len(data) > MAX_MESSAGE_BYTES:
        raise ValueError(f"the message is too long: {len(data)} bytes")
    attached = list(descriptors or [])
    memory = -1
    try:
        if len(data) > MAX_PACKET_BYTES:
            memory = _seal_in_memory(data)
            attached.insert(0, memory)
            data = _encoder.encode({"op": "sealed", "bytes": len(data)})
        rights = [(socket.SOL_SOCKET, socket.SCM_RIGHTS, array.array("i", attached))] if attached else []
        sock.sendmsg([data], rights)
    except OSError:
        return False
    finally:
        if memory >= 0:
            os.close(memory)
    return True


def _read_sealed(descriptor: int, size: Any) -> bytes:
    """Read a memory descriptor. Raises BadMessage if its sender could still change it, OSError."""
    if not isinstance(size, int) or not 0 < size <= MAX_MESSAGE_BYTES:
        raise BadMessage("a sealed message has no valid size")
    # A descriptor that is not memory, or not sealed, could be changed or truncated while it is read.
    if fcntl.fcntl(descriptor, fcntl.F_GET_SEALS) & SEALS != SEALS or os.fstat(descriptor).st_size != size:
        raise BadMessage("the descriptor of a message is not sealed, or has another size")
    return os.pread(descriptor, size, 0)


def receive(sock: socket.socket) -> tuple[Message, list[int]] | None:
    """Return the next message and its descriptors, which the caller owns; None at end of file.

    Raises BadMessage, and BlockingIOError if there is no message.
    """
    try:
        data, descriptors, flags, _ = socket.recv_fds(sock, MAX_PACKET_BYTES, MAX_DESCRIPTORS)
    except ConnectionError:
        return None
    if not data and not descriptors:
        return None
    try:
        if flags & (socket.MSG_TRUNC | socket.MSG_CTRUNC):
            raise BadMessage("a packet is too long")
        message = _decode_object(data)
        if message.get("op") == "sealed":
            if not descriptors:
                raise BadMessage("a sealed message without its descriptor")
            memory = descriptors.pop(0)
            try:
                message = _decode_object(_read_sealed(memory, message.get("bytes")))
            finally:
                os.close(memory)
    except (BadMessage, OSError) as fault:
        for descriptor in descriptors:
            os.close(descriptor)
        raise BadMessage(str(fault)) from None
    return message, descriptors


def _decode_object(data: bytes) -> Message:
    try:
        message = _decoder.decode(data)
    except (msgspec.DecodeError, RecursionError):
        message = None
    if not isinstance(message, dict):
        raise BadMessage("a packet is not a JSON object")
    return message
