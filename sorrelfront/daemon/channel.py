"""Messages between the supervisor and an instance: JSON, one a packet, with descriptors beside it.

A packet arrives whole or not at all (SOCK_SEQPACKET), so there is nothing to frame, and its end is seen when
either process dies, however it dies.
"""

from __future__ import annotations

import array
import json
import socket
from typing import Any

PACKET_MOST = 128 * 1024  # bytes; a sender's table is bounded below it
DESCRIPTORS_MOST = 16  # listeners
Message = dict[str, Any]


class BadMessage(Exception):
    """A packet that does not say what it must."""


def pair() -> tuple[socket.socket, socket.socket]:
    """Both ends, not blocking."""
    ours, theirs = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    for end in (ours, theirs):
        end.setblocking(False)
        for option in (socket.SO_SNDBUF, socket.SO_RCVBUF):
            end.setsockopt(socket.SOL_SOCKET, option, 4 * PACKET_MOST)
    return ours, theirs


def send(sock: socket.socket, message: Message, descriptors: list[int] | None = None) -> bool:
    """Whether it went. False if the peer does not read or is gone: it is then found hung, or ended.
    Raises ValueError if the message is too long."""
    data = json.dumps(message, separators=(",", ":")).encode()
    if len(data) > PACKET_MOST:
        raise ValueError(f"a message of {len(data)} bytes")
    beside = []
    if descriptors:
        beside = [(socket.SOL_SOCKET, socket.SCM_RIGHTS, array.array("i", descriptors))]
    try:
        sock.sendmsg([data], beside)
    except OSError:
        return False
    return True


def receive(sock: socket.socket) -> tuple[Message, list[int]] | None:
    """The next message and its descriptors, which the caller owns; None at the peer's end. Raises BadMessage,
    and BlockingIOError if nothing is there."""
    try:
        data, descriptors, flags, _ = socket.recv_fds(sock, PACKET_MOST, DESCRIPTORS_MOST)
    except ConnectionError:
        return None
    if not data:
        return None
    try:
        message = json.loads(data)
    except (ValueError, RecursionError):
        message = None
    if flags & (socket.MSG_TRUNC | socket.MSG_CTRUNC) or not isinstance(message, dict):
        for descriptor in descriptors:
            socket.close(descriptor)
        raise BadMessage("a packet that is no message")
    return message, descriptors
