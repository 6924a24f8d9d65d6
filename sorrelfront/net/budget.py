"""Limits on the resources that the agent holds: descriptors, and bytes of buffered bodies."""

from __future__ import annotations

import asyncio

RESERVED_DESCRIPTORS = 32  # standard streams, event loop, listener, discovery, and a reserve
CLIENT_SHARE = 0.6  # of the rest; clients must never use up the descriptors for backends

MAX_BUFFERED_BODY = 65_536  # the longest body that is buffered whole, of a request or an answer
MAX_STREAMED_BODY = 32 * 1024 * 1024  # the longest body accepted; above MAX_BUFFERED_BODY it is streamed
SMALL_BODY = 4_096  # bytes per request that need no wait, so that short bodies never wait behind long ones
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


class BodyBudget:
    """Limit on the bytes of buffered bodies. A connection that gets no share stops reading its client.

    Many long bodies that each wait for memory would deadlock. So the size of one body is reserved for the
    oldest one that still grows, and a complete one ends by its deadline and releases its bytes.
    """

    def __init__(self, memory_bytes: int) -> None:
        self.held = 0
        self._growing: dict[BodyShare, None] = {}  # longer than SMALL_BODY and incomplete, oldest first
        self._freed = asyncio.Event()
        self.resize(memory_bytes)

    def resize(self, memory_bytes: int) -> None:
        """Apply a new limit. Bytes held above a lower one are released as their requests end."""
        self.max_bytes = max(MIN_BODY_MEMORY, int((memory_bytes - BASE_MEMORY) * BODY_MEMORY_SHARE))
        self._freed.set()

    def describe(self) -> str:
        """Return for the log what is held, of how much, and how many incomplete bodies want more."""
        return f"{self.held} of {self.max_bytes} bytes, {len(self._growing)} incomplete"

    def share(self) -> BodyShare:
        """Return an empty share for one message."""
        return BodyShare(self)

    def fits(self, share: BodyShare) -> bool:
        """Return whether this growing body may grow now."""
        reserved = 0 if next(iter(self._growing)) is share else MAX_BUFFERED_BODY
        return self.held + reserved < self.max_bytes

    async def wait_for_room(self, share: BodyShare) -> None:
        """Wait until this body may grow."""
        self._growing.setdefault(share)
        while not self.fits(share):
            self._freed.clear()
            await self._freed.wait()

    def adjust(self, by: int) -> None:
        """Add `by` bytes, which may be negative, to what is held."""
        self.held += by
        if by < 0:
            self._freed.set()

    def stop_growing(self, share: BodyShare) -> None:
        """Remove the share from the growing ones, if it is one of them."""
        if share in self._growing:
            del self._growing[share]
            self._freed.set()


class BodyShare:
    """The part of the budget that one message holds."""

    __slots__ = ("_budget", "held")

    def __init__(self, budget: BodyBudget) -> None:
        self._budget = budget
        self.held = 0

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
        self._budget.stop_growing(self)

    def release(self) -> None:
        """Return all bytes to the budget. A second call has no effect."""
        self._budget.stop_growing(self)
        self._budget.adjust(-self.held)
        self.held = 0
