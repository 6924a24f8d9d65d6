"""HTTP/1.1 over non-blocking sockets: h11 parses and frames, asyncio's socket calls move the bytes.

There are no transports in between, so nothing is buffered out of sight: a byte counts as written once the
kernel has it, what is not asked for is not read, and the peer feels that as backpressure.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from collections.abc import Iterable

import h11

from clayscale.messages import Headers

RECEIVE_BYTES = 65_536  # read at once: a few pieces to the megabyte, and the most a stream holds
SEND_BYTES = 65_536  # handed to the kernel at once, so that progress shows within a long body
HEAD_MOST = 16_384  # the longest message head: heads here have hundreds of bytes, a flood has no end
IN_A_ROW = 8  # reads that may succeed without a wait before the loop is let go on
# Pieces of a body taken before the loop is let go on. Risk: chunks of one byte, ten thousand to a read.
PIECES_IN_A_ROW = 64
KERNEL_BUFFER = 131_072  # a socket's buffers. Risk: left to grow, they would hold megabytes a connection

# Of one connection, not of the message (RFC 9110, 7.6.1); and the framing, which is made anew.
HOP_BY_HOP = frozenset(
    (b"connection", b"keep-alive", b"proxy-connection", b"te", b"trailer", b"transfer-encoding", b"upgrade",
     b"content-length", b"expect")
)  # fmt: skip


class Wire:
    """A connected socket."""

    __slots__ = ("_in_a_row", "_loop", "closed", "sock")

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.closed = False
        self._loop = asyncio.get_running_loop()
        self._in_a_row = 0
        # Risk: the last byte of a request, sent by itself, would wait for the peer's delayed acknowledgement.
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    async def receive(self) -> bytes:
        """The next bytes, empty at the end of the peer's sending. Risk: asyncio's read does not suspend while
        bytes are there, so a peer that sends as fast as it is read would have the loop to itself."""
        self._in_a_row += 1
        if self._in_a_row % IN_A_ROW == 0:
            await asyncio.sleep(0)
        return await self._loop.sock_recv(self.sock, RECEIVE_BYTES)

    async def send(self, data: bytes | bytearray | memoryview, stall_s: float | None = None) -> None:
        """Return once the kernel has it all. A piece that takes longer than `stall_s` raises TimeoutError."""
        try:
            sent = self.sock.send(data)  # most of what goes out fits, and needs neither a wait nor a timer
        except BlockingIOError:
            sent = 0
        view = memoryview(data)
        for start in range(sent, len(view), SEND_BYTES):
            async with asyncio.timeout(stall_s):
                await self._loop.sock_sendall(self.sock, view[start : start + SEND_BYTES])

    def quiet(self) -> bool:
        """Whether nothing has come in: no bytes, no end, no error."""
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def shutdown(self, how: int) -> None:
        with contextlib.suppress(OSError):
            self.sock.shutdown(how)

    def close(self, abort: bool = False) -> None:
        """Close, with a reset if `abort`: the peer then cannot take what it has for a whole message."""
        if self.closed:
            return
        self.closed = True
        # Risk: a waiter's clean-up runs later and would unregister whoever got this descriptor's number next.
        self._loop.remove_reader(self.sock.fileno())
        self._loop.remove_writer(self.sock.fileno())
        with contextlib.suppress(OSError):
            if abort:
                self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            self.sock.close()


def frame(parser: h11.Connection, *events: h11.Event) -> bytes:
    """What these events are on the wire."""
    return b"".join(parser.send(event) or b"" for event in events)


def end_to_end(headers: Iterable[tuple[bytes, bytes]]) -> Headers:
    """The headers that a proxy passes on."""
    headers = list(headers)
    options = [value for name, value in headers if name == b"connection"]
    named = {option.strip().lower() for value in options for option in value.split(b",")}
    return [(name, value) for name, value in headers if name not in HOP_BY_HOP and name not in named]
