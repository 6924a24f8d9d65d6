"""Limits on the resources that the agent holds: descriptors, and bytes of buffered bodies."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

RESERVED_DESCRIPTORS = 32  # standard streams, event loop, listener, discovery, and a reserve
CLIENT_SHARE = 0.6  # of the rest; clients must never use up the descriptors for backends

MAX_BUFFERED_BODY = 65_536  # the longest body that is buffered whole, of a request or an answer
MAX_STREAMED_BODY = 32 * 1024 * 1024  # the longest body accepted; above MAX_BUFFERED_BODY it is streamed
SMALL_BODY = 4_096  # bytes per request that need no wait, so that short bodies never wait behind long ones
# A client that has sent nothing for this long in the middle of its body may have to make room for others; a
# lost packet is sent again after 0.2 s.
MIN_STALL_S = 0.25
BASE_MEMORY = 28 * 1024 * 1024  # the interpreter, connections, small bodies and answers in flight
BODY_MEMORY_SHARE = 0.4  # of the rest; the allocator rounds up, a growing body is copied, heads take some too
MIN_BODY_MEMORY = (
    32 * MAX_BUFFERED_BODY
)  # 2 MB: below the least memory of an agent, and enough to make progress


class Descriptors:
    """Limits on the sockets of clients and of backends, each with a share of its own.

    With one common limit, a surge of clients could take the last descriptor, and none of its requests could
    reach a backend.
    """

    def __init__(self, sockets: int) -> None:
        usable = max(8, sockets - RESERVED_DESCRIPTORS)
        self.clients = int(usable * CLIENT_SHARE)
        self.backends = usable - self.clients
        self.max_active = (
            sockets // 3
        )  # the most that clients hold for requests, as the deployment guarantees


class MemoryBudget:
    """Limit on the bytes of buffered bodies. A connection that gets no share stops reading its client.

    Many long bodies that each wait for memory would deadlock. So the size of one body is reserved for the
    oldest one that still grows, and a complete one ends by its deadline and releases its bytes. Clients that
    stop in the middle of a body would keep all others waiting: they hold no reserve, and where others need
    room, those that have sent nothing for the longest time are ended.
    """

    def __init__(self, memory_bytes: int) -> None:
        self.held = 0
        # Longer than SMALL_BODY and incomplete, with bytes to be read: waiting for room or just given some;
        # oldest first
        self._growing: dict[MemoryShare, None] = {}
        self._stalled: dict[MemoryShare, float] = {}  # whose clients have sent nothing more, and since when
        self._freed = asyncio.Event()
        self._stall_check: asyncio.TimerHandle | None = None  # while bodies wait for room
        self.resize(memory_bytes)

    def resize(self, memory_bytes: int) -> None:
        """Apply a new limit. Bytes held above a lower one are released as their requests end."""
        self.max_bytes = max(MIN_BODY_MEMORY, int((memory_bytes - BASE_MEMORY) * BODY_MEMORY_SHARE))
        self._freed.set()

    def describe(self) -> str:
        """Return for the log what is held, of how much, and by how many incomplete bodies of which kind."""
        return f"{self.held} of {self.max_bytes} B, {len(self._growing)} grow, {len(self._stalled)} stalled"

    def share(self) -> MemoryShare:
        """Return an empty share for one message."""
        return MemoryShare(self)

    def fits(self, share: MemoryShare) -> bool:
        """Return whether this growing body may grow now."""
        reserved = 0 if next(iter(self._growing)) is share else MAX_BUFFERED_BODY
        return self.held + reserved < self.max_bytes

    async def wait_for_room(self, share: MemoryShare) -> None:
        """Wait until this body may grow, or is released. Ends stalled bodies if there is no room else."""
        self._growing.setdefault(share)
        while share in self._growing and not self.fits(share):
            if self._end_stalled():
                continue
            if self._stall_check is None:
                loop = asyncio.get_running_loop()
                self._stall_check = loop.call_later(MIN_STALL_S, self._check_stalled)
            self._freed.clear()
            await self._freed.wait()

    def _check_stalled(self) -> None:
        """Wake the waiting bodies: another one may have been stalled for long enough."""
        self._stall_check = None
        self._freed.set()

    def _end_stalled(self) -> bool:
        """End the body that has been stalled for the longest time. Returns whether there was one to end."""
        before = time.monotonic() - MIN_STALL_S
        for share, since in [*self._stalled.items()]:
            if since > before:
                return False
            if share.end_stalled():
                return True
        return False

    def stall(self, share: MemoryShare) -> None:
        """Note that the client of this incomplete body has sent nothing more."""
        self.stop_growing(share)
        self._stalled[share] = time.monotonic()

    def adjust(self, by: int) -> None:
        """Add `by` bytes, which may be negative, to what is held."""
        self.held += by
        if by < 0:
            self._freed.set()

    def stop_growing(self, share: MemoryShare) -> None:
        """Remove the share from the growing and the stalled ones, if it is one of them."""
        self._stalled.pop(share, None)
        if share in self._growing:
            del self._growing[share]
            self._freed.set()


class MemoryShare:
    """The part of the budget that one message holds."""

    __slots__ = ("_budget", "_on_end", "held")

    def __init__(self, budget: MemoryBudget) -> None:
        self._budget = budget
        self._on_end: Callable[[], bool] | None = None
        self.held = 0

    def stall(self, on_end: Callable[[], bool]) -> None:
        """Note that more of the body is awaited from its client.

        `on_end` is called if others need the room: it ends the body and returns True, or returns False if the
        client has sent something after all. Nothing is noted for a body that holds nothing.
        """
        if self.held:
            self._on_end = on_end
            self._budget.stall(self)

    def resume(self) -> None:
        """Note that the client has sent something, or that nothing more is awaited."""
        self._on_end = None
        self._budget.stop_growing(self)

    def end_stalled(self) -> bool:
        """End a stalled body, and return whether it was ended."""
        return self._on_end is not None and self._on_end()

    async def wait_for_room(self) -> None:
        """Wait until more may be read. A small body never waits."""
        if self.held >= SMALL_BODY:
            await self._budget.wait_for_room(self)

    def has_room(self) -> bool:
        """Return whether `wait_for_room` returns at once, whichever body is the oldest."""
        return self.held < SMALL_BODY or self._budget.held + MAX_BUFFERED_BODY < self._budget.max_bytes

    def add(self, count: int) -> None:
        """Account for `count` more buffered bytes."""
        self.held += count
        self._budget.adjust(count)

    def complete(self) -> None:
        """Mark the body as fully received: it keeps its bytes but no longer grows."""
        self.resume()

    def release(self) -> None:
        """Return all bytes to the budget. A second call has no effect."""
        self.resume()
        self._budget.adjust(-self.held)
        self.held = 0
