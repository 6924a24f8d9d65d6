"""HTTP/1.1 over non-blocking sockets, which asyncio's event loop watches.

Plain messages are parsed by llhttp (`heads.py`) and framed directly; all others are parsed and framed by h11.

No asyncio transports are used, so there are no hidden buffers: a byte counts as written once the kernel has
it, bytes that are not asked for are not read, and the peer sees that as backpressure.
"""

from __future__ import annotations

import asyncio
import contextlib
import fcntl
import select
import socket
import struct
import termios
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Protocol

import h11

from sorrelfront.messages import Headers
from sorrelfront.net.budget import RECEIVE_BYTES
from sorrelfront.net.heads import MAX_HEAD_BYTES as MAX_HEAD_BYTES

SEND_BYTES = 65_536  # per write, so that a stall within a long body is noticed
MIN_PROGRESS_BYTES = 4_096  # that a peer has to take within the time after which it counts as stalled
# Chunks parsed before the event loop runs other tasks. One read may hold ten thousand chunks of one byte.
MAX_CHUNKS_PER_TURN = 64
# Bytes per socket buffer; autotuned ones would grow to megabytes per connection
SOCKET_BUFFER_BYTES = 131_072

# Headers of the connection, not of the message (RFC 9110, 7.6.1), and of the framing, which is redone.
HOP_BY_HOP = frozenset(
    (b"connection", b"keep-alive", b"proxy-connection", b"te", b"trailer", b"transfer-encoding", b"upgrade",
     b"content-length", b"expect")
)  # fmt: skip

# Reads go here and are copied: `recv` allocates as much as may come, and most reads are short. All event
# loops run in one thread, and nothing else runs between the read and the copy.
_receive_buffer = memoryview(bytearray(RECEIVE_BYTES))


class InputMemory(Protocol):
    """Limits what a connection reads, and counts what it has read."""

    def read_limit(self) -> int:
        """Return how many bytes may be read now, at least one."""
        ...

    def hold(self, count: int) -> None:
        """Account for `count` more bytes, fewer if negative."""
        ...


class Wire:
    """A connected non-blocking socket.

    A reader callback reads from the kernel, and only while a caller waits. The bytes are then buffered here
    until `receive` returns them. If a future carried them, a reader cancelled in between would lose them, and
    code that decides whether to close would not see them.
    """

    __slots__ = (
        "_fd", "_loop", "_on_data", "_on_idle_event", "_reader_added", "_received", "_waiter", "closed",
        "memory", "shortcut", "sock",
    )  # fmt: skip

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.closed = False
        # Called with the received bytes before the waiting caller is woken. True if they are consumed: the
        # caller then keeps waiting, and no iteration of the event loop is spent on waking it.
        self.shortcut: Callable[[bytes], bool] | None = None
        self.memory: InputMemory | None = None  # None: reads of RECEIVE_BYTES, which are not counted
        self._fd = sock.fileno()  # as a number: given the socket object, the loop would format its repr
        self._loop = asyncio.get_running_loop()
        self._received: bytes | OSError | None = None  # read from the kernel, not yet returned
        self._waiter: asyncio.Future[None] | None = None
        self._on_idle_event: Callable[[], None] | None = None
        self._on_data: Callable[[bytes | OSError], None] | None = None
        # The reader stays registered from the first wait on: registered for each wait, it would cost two
        # system calls per message. Input that nobody waits for unregisters it until the next wait.
        self._reader_added = False
        # With Nagle's algorithm the last byte of a request, sent alone, would wait for a delayed ACK.
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    async def receive(self, timeout_s: float | None = None) -> bytes:
        """Return the next bytes, at most RECEIVE_BYTES; empty at end of stream. One caller at a time.

        Always suspends unless bytes are buffered. Cancellation loses nothing: the next call returns what was
        read. Raises OSError of the socket, and TimeoutError if nothing has arrived in `timeout_s` seconds.
        """
        if self._received is None:
            waiter = self._waiter = self._loop.create_future()
            self._watch()
            timer = None if timeout_s is None else self._loop.call_later(timeout_s, self._time_out, waiter)
            try:
                await waiter
            finally:
                self._waiter = None
                if timer is not None:
                    timer.cancel()
        return self._take_received()

    async def wait_for_input(self) -> None:
        """Wait until input is unread: bytes, an end of stream or an error. Nothing is read."""
        if not self.nothing_unread():
            return
        arrived: asyncio.Future[None] = self._loop.create_future()

        def on_input() -> None:
            if not arrived.done():
                arrived.set_result(None)

        self.watch_idle(on_input)
        try:
            await arrived
        finally:
            self.unwatch_idle()

    def receive_now(self) -> bytes:
        """Return what has arrived, without waiting.

        Empty if nothing has, or at end of stream. Raises OSError.
        """
        if self._received is None:
            try:
                return self._read()
            except (BlockingIOError, InterruptedError):
                return b""
        return self._take_received()

    def _read(self) -> bytes:
        limit = RECEIVE_BYTES if self.memory is None else self.memory.read_limit()
        count = self.sock.recv_into(_receive_buffer, limit)
        return _receive_buffer[:count].tobytes()

    def watch_idle(self, on_event: Callable[[], None]) -> None:
        """Watch an idle connection: `on_event` is called, once, when the peer sends something or closes."""
        self._on_idle_event = on_event
        self._watch()

    def unwatch_idle(self) -> None:
        """Stop watching as idle; the connection is in use again."""
        self._on_idle_event = None

    def on_receive(self, on_data: Callable[[bytes | OSError], None] | None) -> None:
        """Deliver input to a callback instead of `receive`, within the reader callback that reads it.

        The callback gets bytes, empty at end of stream, or the error. That takes no future and no further
        iteration of the event loop. None switches back to `receive`.
        """
        self._on_data = on_data
        if on_data is not None:
            self._watch()

    def _deliver(self, on_data: Callable[[bytes | OSError], None]) -> None:
        data: bytes | OSError
        try:
            data = self._read()
        except (BlockingIOError, InterruptedError):
            return
        except OSError as error:
            data = error
        if not data or isinstance(data, OSError):
            self._unwatch()  # end of stream stays readable
        on_data(data)

    def _take_received(self) -> bytes:
        received, self._received = self._received, None
        if isinstance(received, OSError):
            raise received
        assert received is not None
        if self.memory is not None:
            self.memory.hold(-len(received))
        return received

    def _watch(self) -> None:
        if not self._reader_added and not self.closed:
            self._reader_added = True
            self._loop.add_reader(self._fd, self._readable)

    def _unwatch(self) -> None:
        if self._reader_added:
            self._reader_added = False
            self._loop.remove_reader(self._fd)

    def _readable(self) -> None:
        if self._on_data is not None:
            self._deliver(self._on_data)
            return
        waiter = self._waiter
        if waiter is None or waiter.done():
            # Otherwise a peer that keeps sending would wake the loop forever, or fill memory if it were read.
            self._unwatch()
            on_event, self._on_idle_event = self._on_idle_event, None
            if on_event is not None:
                on_event()
            return
        try:
            data = self._read()
        except (BlockingIOError, InterruptedError):
            return
        except OSError as error:
            self._received = error
        else:
            if data and self.shortcut is not None and self.shortcut(data):
                return
            self._received = data
            if self.memory is not None:
                self.memory.hold(len(data))
        if not self._received or isinstance(self._received, OSError):
            self._unwatch()  # end of stream stays readable
        waiter.set_result(None)

    def _time_out(self, waiter: asyncio.Future[None]) -> None:
        if not waiter.done():
            waiter.set_exception(TimeoutError())

    def send_now(self, data: bytes | bytearray | memoryview) -> int:
        """Send without waiting and return how many bytes the kernel took. Raises OSError."""
        try:
            return self.sock.send(data)
        except (BlockingIOError, InterruptedError):
            return 0

    async def send(self, data: bytes | bytearray | memoryview, stall_s: float | None = None) -> None:
        """Return once the kernel has all of the data.

        Raises OSError of the socket, and TimeoutError if the peer takes less than MIN_PROGRESS_BYTES in
        `stall_s` seconds.
        """
        sent = self.send_now(data)  # most data fits, and needs neither a wait nor a timer
        view = memoryview(data)
        while sent < len(view):
            await self._wait_writable(stall_s)
            sent += self.send_now(view[sent : sent + SEND_BYTES])

    async def _wait_writable(self, stall_s: float | None) -> None:
        """Wait until the kernel takes more.

        It says so only when a good part of its buffer, which may hold megabytes, is free. A slow peer needs
        longer for that, so it counts as stalled only if it has taken hardly anything of that meanwhile.
        """
        while True:
            held = self._held_by_kernel()
            writable: asyncio.Future[None] = self._loop.create_future()
            self._loop.add_writer(self._fd, _set_done, writable)
            try:
                async with asyncio.timeout(stall_s):
                    await writable
                return
            except TimeoutError:
                if held - self._held_by_kernel() < MIN_PROGRESS_BYTES:
                    raise
            finally:
                if not self.closed:
                    self._loop.remove_writer(self._fd)

    def _held_by_kernel(self) -> int:
        """Return how many sent bytes the peer's kernel has not acknowledged; 0 if that is not told."""
        try:
            (count,) = struct.unpack("i", fcntl.ioctl(self._fd, termios.TIOCOUTQ, bytes(4)))
        except OSError:
            return 0
        return int(count)

    def nothing_unread(self) -> bool:
        """Return whether no input is unread: no bytes, no end of stream, no error."""
        if self._received is not None:
            return False
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def hung_up(self) -> bool:
        """Return whether the peer has closed its sending side or reset, also behind unread bytes."""
        if self.closed:
            return True
        if self._received is not None and (not self._received or isinstance(self._received, OSError)):
            return True
        try:
            if not self.sock.recv(1, socket.MSG_PEEK):
                return True
        except (BlockingIOError, InterruptedError):
            return False
        except OSError:
            return True
        return self._end_has_arrived()

    def _end_has_arrived(self) -> bool:
        """Return whether the kernel has a close or reset behind unread bytes (poll(2), POLLRDHUP)."""
        poller = select.poll()
        poller.register(self._fd, select.POLLRDHUP)
        ended = select.POLLRDHUP | select.POLLHUP | select.POLLERR
        return any(events & ended for _, events in poller.poll(0))

    def shutdown(self, how: int) -> None:
        """Shut down one or both directions; errors are ignored."""
        with contextlib.suppress(OSError):
            self.sock.shutdown(how)

    def close(self, abort: bool = False) -> None:
        """Close, with a reset if `abort`: the peer then cannot mistake what it has for a whole message."""
        if self.closed:
            return
        self.closed = True
        # Now, because a waiter's cleanup runs later, when the descriptor number may belong to another socket.
        self._unwatch()
        self._loop.remove_writer(self._fd)
        self._on_idle_event = self.shortcut = self._on_data = None
        if self.memory is not None and isinstance(self._received, bytes):
            self.memory.hold(-len(self._received))
        self.memory = None
        with contextlib.suppress(OSError):
            if abort:
                self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            self.sock.close()


def _set_done(waiter: asyncio.Future[None]) -> None:
    if not waiter.done():
        waiter.set_result(None)


@dataclass(slots=True)
class Payload:
    """The HTTP part of a request, which is forwarded to a backend."""

    method: bytes
    target: bytes
    headers: Headers  # the end-to-end ones, forwarded unchanged
    body: bytearray = field(default_factory=bytearray)


def frame_events(parser: h11.Connection, *events: h11.Event) -> bytes:
    """Return the bytes of these events as `parser` frames them."""
    return b"".join(parser.send(event) or b"" for event in events)


def end_to_end(headers: Iterable[tuple[bytes, bytes]]) -> Headers:
    """Return the headers that a proxy forwards: no hop-by-hop ones, none that Connection names."""
    headers = list(headers)
    options = [value for name, value in headers if name == b"connection"]
    named = {option.strip().lower() for value in options for option in value.split(b",")}
    return [(name, value) for name, value in headers if name not in HOP_BY_HOP and name not in named]
