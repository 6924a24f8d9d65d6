"""HTTP/1.1 over non-blocking sockets: asyncio's socket calls move the bytes. Plain messages are parsed by
llhttp (`heads.py`) and framed directly; what is not plain is parsed and framed by h11.

There are no transports in between, so nothing is buffered out of sight: a byte counts as written once the
kernel has it, what is not asked for is not read, and the peer feels that as backpressure.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import h11

from sorrelfront.messages import Headers
from sorrelfront.net.heads import HEAD_MOST as HEAD_MOST

RECEIVE_BYTES = 65_536  # read at once: a few pieces to the megabyte, and the most a stream holds
SEND_BYTES = 65_536  # handed to the kernel at once, so that progress shows within a long body
# Pieces of a body taken before the loop is let go on. Risk: chunks of one byte, ten thousand to a read.
PIECES_IN_A_ROW = 64
KERNEL_BUFFER = 131_072  # a socket's buffers. Risk: left to grow, they would hold megabytes a connection

# Of one connection, not of the message (RFC 9110, 7.6.1); and the framing, which is made anew.
HOP_BY_HOP = frozenset(
    (b"connection", b"keep-alive", b"proxy-connection", b"te", b"trailer", b"transfer-encoding", b"upgrade",
     b"content-length", b"expect")
)  # fmt: skip


class Wire:
    """A connected socket.

    Bytes leave the kernel in a reader callback, and only while somebody waits for them. From then on they
    are held here until `receive` hands them over in a step of its caller's. Risk: a read whose result travels
    in a future loses it when the reader is cancelled in between, and who decides to close sees nothing of it.
    """

    __slots__ = (
        "_at_rest", "_fd", "_hears", "_inbox", "_loop", "_waiter", "_watched", "closed", "shortcut", "sock",
    )  # fmt: skip

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.closed = False
        # Shown what has come before the waiting caller is woken; True if it is done with, and the caller
        # goes on waiting. What takes no wait at all then takes no turn of the loop either.
        self.shortcut: Callable[[bytes], bool] | None = None
        self._fd = sock.fileno()  # by number: given the socket, the loop would write out its name
        self._loop = asyncio.get_running_loop()
        self._inbox: bytes | OSError | None = None  # taken from the kernel, and by nobody from here
        self._waiter: asyncio.Future[None] | None = None
        self._at_rest: Callable[[], None] | None = None
        self._hears: Callable[[bytes | OSError], None] | None = None
        # The loop watches for input from the first wait to the end: asked for each wait anew, it would cost
        # two calls to the kernel a message. Input that nobody waits for stops the watch until the next wait.
        self._watched = False
        # Risk: the last byte of a request, sent by itself, would wait for the peer's delayed acknowledgement.
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    async def receive(self, timeout_s: float | None = None) -> bytes:
        """The next bytes, at most RECEIVE_BYTES, empty at the peer's end. One caller at a time.

        Always suspends unless bytes are held. Cancelled, it loses nothing: what was read is had by the next
        call. Raises OSError of the socket, and TimeoutError if nothing has come in `timeout_s` seconds.
        """
        if self._inbox is None:
            waiter = self._waiter = self._loop.create_future()
            self._watch()
            timer = None if timeout_s is None else self._loop.call_later(timeout_s, self._overdue, waiter)
            try:
                await waiter
            finally:
                self._waiter = None
                if timer is not None:
                    timer.cancel()
        return self._take()

    def unread(self) -> bytes:
        """What has come by now, without a wait; empty if nothing has, or only the end. Raises OSError."""
        if self._inbox is None:
            try:
                return self.sock.recv(RECEIVE_BYTES)
            except (BlockingIOError, InterruptedError):
                return b""
        return self._take()

    def rest(self, disturbed: Callable[[], None]) -> None:
        """Nobody receives for now. `disturbed` is called, once, when the peer says something or ends."""
        self._at_rest = disturbed
        self._watch()

    def wake(self) -> None:
        """The rest is over."""
        self._at_rest = None

    def listen(self, hears: Callable[[bytes | OSError], None] | None) -> None:
        """Have what comes handed over in the loop's callback that reads it: bytes, none at the peer's end, or
        what is wrong. It takes no future and no turn of the loop. None: for `receive` again."""
        self._hears = hears
        if hears is not None:
            self._watch()

    def _hear(self, hears: Callable[[bytes | OSError], None]) -> None:
        data: bytes | OSError
        try:
            data = self.sock.recv(RECEIVE_BYTES)
        except (BlockingIOError, InterruptedError):
            return
        except OSError as fault:
            data = fault
        if not data or isinstance(data, OSError):
            self._unwatch()  # an end stays readable
        hears(data)

    def _take(self) -> bytes:
        inbox, self._inbox = self._inbox, None
        if isinstance(inbox, OSError):
            raise inbox
        assert inbox is not None
        return inbox

    def _watch(self) -> None:
        if not self._watched and not self.closed:
            self._watched = True
            self._loop.add_reader(self._fd, self._readable)

    def _unwatch(self) -> None:
        if self._watched:
            self._watched = False
            self._loop.remove_reader(self._fd)

    def _readable(self) -> None:
        if self._hears is not None:
            self._hear(self._hears)
            return
        waiter = self._waiter
        if waiter is None or waiter.done():
            # Risk: a peer that sends on unread would wake the loop for ever, and fill memory if it were read.
            self._unwatch()
            disturbed, self._at_rest = self._at_rest, None
            if disturbed is not None:
                disturbed()
            return
        try:
            data = self.sock.recv(RECEIVE_BYTES)
        except (BlockingIOError, InterruptedError):
            return
        except OSError as fault:
            self._inbox = fault
        else:
            if data and self.shortcut is not None and self.shortcut(data):
                return
            self._inbox = data
        if not self._inbox or isinstance(self._inbox, OSError):
            self._unwatch()  # an end stays readable
        waiter.set_result(None)

    def _overdue(self, waiter: asyncio.Future[None]) -> None:
        if not waiter.done():
            waiter.set_exception(TimeoutError())

    def send_now(self, data: bytes | bytearray | memoryview) -> int:
        """How much of it the kernel takes at once. Raises OSError."""
        try:
            return self.sock.send(data)
        except (BlockingIOError, InterruptedError):
            return 0

    async def send(self, data: bytes | bytearray | memoryview, stall_s: float | None = None) -> None:
        """Return once the kernel has it all. A piece that takes longer than `stall_s` raises TimeoutError."""
        sent = self.send_now(data)  # most of what goes out fits, and needs neither a wait nor a timer
        view = memoryview(data)
        for start in range(sent, len(view), SEND_BYTES):
            async with asyncio.timeout(stall_s):
                await self._loop.sock_sendall(self.sock, view[start : start + SEND_BYTES])

    def quiet(self) -> bool:
        """Whether nothing has come in that was not received: no bytes, no end, no error."""
        if self._inbox is not None:
            return False
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def hung_up(self) -> bool:
        """Whether the peer has ended its sending, or broken off, with nothing unread ahead of that end."""
        if self.closed or self._inbox is not None:
            return self.closed or not self._inbox or isinstance(self._inbox, OSError)
        try:
            return not self.sock.recv(1, socket.MSG_PEEK)
        except (BlockingIOError, InterruptedError):
            return False
        except OSError:
            return True

    def shutdown(self, how: int) -> None:
        with contextlib.suppress(OSError):
            self.sock.shutdown(how)

    def close(self, abort: bool = False) -> None:
        """Close, with a reset if `abort`: the peer then cannot take what it has for a whole message."""
        if self.closed:
            return
        self.closed = True
        # Risk: a waiter's clean-up runs later and would unregister whoever got this descriptor's number next.
        self._unwatch()
        self._loop.remove_writer(self._fd)
        self._at_rest = self.shortcut = self._hears = None
        with contextlib.suppress(OSError):
            if abort:
                self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            self.sock.close()


@dataclass(slots=True)
class Payload:
    """What of a request is HTTP's alone and goes on to a backend."""

    method: bytes
    target: bytes
    headers: Headers  # the end-to-end ones that go on unchanged
    body: bytearray = field(default_factory=bytearray)


def frame(parser: h11.Connection, *events: h11.Event) -> bytes:
    """What these events are on the wire."""
    return b"".join(parser.send(event) or b"" for event in events)


def end_to_end(headers: Iterable[tuple[bytes, bytes]]) -> Headers:
    """The headers that a proxy passes on."""
    headers = list(headers)
    options = [value for name, value in headers if name == b"connection"]
    named = {option.strip().lower() for value in options for option in value.split(b",")}
    return [(name, value) for name, value in headers if name not in HOP_BY_HOP and name not in named]
