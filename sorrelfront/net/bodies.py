"""Streaming of a request body from the front, which feeds it as it arrives, to the attempt that sends it.

A body of up to MAX_BUFFERED_BODY bytes is buffered whole before anything is decided, so that it can be sent
again. A longer one is streamed: only its prefix is buffered. Until an attempt has read something past the
prefix, another attempt can start over. After that no attempt can, whatever the decisions ask for.

Each body buffers at most one chunk beyond its prefix, and its client is not read meanwhile: backpressure from
the server reaches the client (RFC 9293, 3.8.6). The share that holds the prefix holds each chunk too, from
its arrival until it is written.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from sorrelfront.net.budget import MemoryShare

# The most of a body that may lie between a client's last write and this process: what the client's kernel
# keeps to send (Linux, the default maximum of tcp_wmem), and the receive buffer here, doubled by the kernel.
MAX_UNSEEN_BYTES = 4 * 1024 * 1024 + 2 * 131_072
CLIENT_IDLE_S = 0.02  # a read that waits for this long shows that the client has not sent everything


class BodyAborted(ConnectionError):
    """The rest of a body will not arrive."""


class UnreadTime:
    """Upper bound on how long a complete request may have lain unread while its client was not read.

    A client's time counts from its last byte. While the client is not read, that byte may lie in a kernel's
    buffer, unseen, and the client's time runs. So each pause in reading counts, but for two kinds. Before the
    rest of the body fits into the kernels' buffers, its last byte cannot have been written. And once a read
    has to wait for the client, the last byte was not written during any pause before.

    All times are seconds on the monotonic clock.
    """

    __slots__ = ("_earlier", "_length", "_paused_at", "_recent", "_span")

    def __init__(self, length: int | None) -> None:
        """Start for a body of this length in bytes, None if it is not declared."""
        self._length = length
        self._paused_at: float | None = None
        # The pauses while the last MAX_UNSEEN_BYTES bytes or more were read: those of the current span of so
        # many bytes, and of the span before it.
        self._recent = self._earlier = 0.0
        self._span = 0

    def pause(self, now: float, received: int) -> None:
        """Note that the client is not read from now on, with so many bytes of the body received."""
        if self._length is not None:
            if self._length - received <= MAX_UNSEEN_BYTES:
                self._paused_at = now
            return
        span = received // MAX_UNSEEN_BYTES
        if span != self._span:
            self._earlier = self._recent if span == self._span + 1 else 0.0
            self._recent = 0.0
            self._span = span
        self._paused_at = now

    def resume(self, now: float) -> None:
        """Note that the client is read again."""
        if self._paused_at is not None:
            self._recent += now - self._paused_at
            self._paused_at = None

    def client_was_read_dry(self) -> None:
        """Note that a read has waited for the client: what it had written was read by then."""
        self._recent = self._earlier = 0.0

    @property
    def paused(self) -> bool:
        """Whether the time counts now."""
        return self._paused_at is not None

    def seconds(self, now: float) -> float:
        """Return for how long the complete request may have lain unread so far."""
        current = 0.0 if self._paused_at is None else now - self._paused_at
        return self._earlier + self._recent + current


class Upload:
    """One streamed request body, with one producer and one consumer at a time."""

    def __init__(
        self, prefix: bytes | bytearray, length: int | None, unread: UnreadTime, share: MemoryShare
    ) -> None:
        """Start with the bytes received so far.

        Args:
            prefix: The bytes received so far.
            length: The length of the whole body in bytes; None if it is not known in advance.
            unread: For how long the request may have lain unread; the producer goes on with it.
            share: Holds the prefix already.
        """
        self.length = length
        self.unread = unread
        self.received = len(prefix)
        self.completed_at: float | None = None  # when the last byte arrived, on the monotonic clock
        self._prefix = bytes(prefix)
        self._share = share
        self._chunk = b""  # waits to be read
        self._taken = 0  # bytes of the chunk that the consumer has read, and not yet passed on
        self._started = False  # the consumer has read the prefix
        self._consumed = False  # something past the prefix has been read
        self._discarded = False
        self._aborted = False
        self._on_stop: Callable[[], None] | None = None
        self._changed = asyncio.Event()

    # Producer

    def has_room(self) -> bool:
        """Return whether the next chunk may be fed now."""
        return not self._chunk or self._discarded

    async def wait_for_room(self) -> None:
        """Wait until the next chunk may be fed."""
        while not self.has_room():
            self._changed.clear()
            await self._changed.wait()

    def feed(self, data: bytes) -> None:
        """Append received bytes; they are dropped if the body is discarded."""
        self.received += len(data)
        if not self._discarded:
            self._chunk += data
            self._share.add(len(data))
            self._changed.set()

    def end(self) -> None:
        """Mark the body as complete."""
        self.completed_at = time.monotonic()
        self._changed.set()

    def abort(self) -> None:
        """Fail the consumer because the rest will not arrive. Does nothing if the body is complete."""
        if self.completed_at is None:
            self.expire()

    def expire(self) -> None:
        """Fail the consumer, also if the body is complete: the time of its client is over."""
        self._aborted = True
        self._drop()
        self._stop()

    def discard(self) -> None:
        """Drop what is buffered and whatever still arrives: nobody will read it."""
        self._discarded = True
        self._drop()
        self._stop()

    def _drop(self) -> None:
        self._share.add(-len(self._chunk) - len(self._prefix))
        self._chunk = self._prefix = b""

    def _stop(self) -> None:
        self._changed.set()
        if self._on_stop is not None:
            self._on_stop()

    # Consumer

    def begin(self) -> bool:
        """Restart reading from the first byte. Returns False if that is no longer possible."""
        self._started = False
        return not (self._consumed or self._discarded or self._aborted)

    def on_stop(self, callback: Callable[[], None] | None) -> None:
        """Have the callback called once nothing more may be sent: the consumer may not wait in `read`."""
        self._on_stop = callback

    async def read(self) -> bytes:
        """Return the next chunk, empty at the end. Raises BodyAborted if the rest will not arrive."""
        self._share.add(-self._taken)
        self._taken = 0
        if not (self._started or self._aborted or self._discarded):
            self._started = True
            return self._prefix
        while True:
            if self._aborted or self._discarded:
                raise BodyAborted("the rest of the request body will not arrive")
            if self._chunk:
                return self._take_chunk()
            if self.completed_at is not None:
                return b""
            self._changed.clear()
            await self._changed.wait()

    def _take_chunk(self) -> bytes:
        self._consumed = True
        self._share.add(-len(self._prefix))
        self._prefix = b""
        chunk, self._chunk = self._chunk, b""
        self._taken = len(chunk)
        self._changed.set()
        return chunk
