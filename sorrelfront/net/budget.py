"""What the agent may hold at once: descriptors, and bytes of buffered bodies."""

from __future__ import annotations

import asyncio

OTHER_DESCRIPTORS = 32  # standard streams, the event loop's own, listener, discovery, and some to spare
CLIENT_SHARE = 0.6  # of the rest; clients must never take what reaches backends

BODY_MOST = 65_536  # the longest body that is held whole, of a request or an answer
STREAM_MOST = 32 * 1024 * 1024  # the longest body of all: what is longer goes on while it comes
SMALL_BODY = 4_096  # what every request may hold without asking: small ones never wait behind long ones
BASE_MEMORY = 28 * 1024 * 1024  # the interpreter, connections, small bodies and answers under way
BODY_MEMORY_SHARE = 0.4  # of the rest; the allocator rounds up, a growing body moves, heads take some too
BODY_MEMORY_LEAST = 32 * BODY_MOST  # 2 MB: below the least memory an agent is given, and enough to go on


class Descriptors:
    """The sockets that clients and backends may hold, each with a share of its own. Risk: a crowd of clients
    takes the last descriptor, and nothing it asks can reach a backend."""

    def __init__(self, sockets: int) -> None:
        usable = max(8, sockets - OTHER_DESCRIPTORS)
        self.clients = int(usable * CLIENT_SHARE)
        self.backends = usable - self.clients
        self.asking = sockets // 3  # the most that clients hold for requests, by the terms of deployment


class BodyBudget:
    """Bytes of bodies in memory. Who is short of it stops reading its client.

    Risk: deadlock, many long bodies each waiting for the rest. So a body's worth is kept for the oldest that
    still grows, and what is whole ends by its deadline and gives its bytes back.
    """

    def __init__(self, memory_bytes: int) -> None:
        self.held = 0
        self._growing: dict[BodyShare, None] = {}  # longer than small, not yet whole: oldest first
        self._freed = asyncio.Event()
        self.resize(memory_bytes)

    def resize(self, memory_bytes: int) -> None:
        """Take on another limit; what is held over a lower one goes as its requests end."""
        self.most = max(BODY_MEMORY_LEAST, int((memory_bytes - BASE_MEMORY) * BODY_MEMORY_SHARE))
        self._freed.set()

    def share(self) -> BodyShare:
        return BodyShare(self)

    def fits(self, share: BodyShare) -> bool:
        kept = 0 if next(iter(self._growing)) is share else BODY_MOST
        return self.held + kept < self.most

    async def room(self, share: BodyShare) -> None:
        """Wait until this body may grow."""
        self._growing.setdefault(share)
        while not self.fits(share):
            self._freed.clear()
            await self._freed.wait()

    def change(self, by: int) -> None:
        self.held += by
        if by < 0:
            self._freed.set()

    def stop_growing(self, share: BodyShare) -> None:
        if share in self._growing:
            del self._growing[share]
            self._freed.set()


class BodyShare:
    """What one message holds of the budget."""

    __slots__ = ("_budget", "held")

    def __init__(self, budget: BodyBudget) -> None:
        self._budget = budget
        self.held = 0

    async def room(self) -> None:
        """Wait until more may be read; a small body never waits."""
        if self.held >= SMALL_BODY:
            await self._budget.room(self)

    def must_wait(self) -> bool:
        """Whether `room` might."""
        return self.held >= SMALL_BODY and self._budget.held + BODY_MOST >= self._budget.most

    def add(self, count: int) -> None:
        self.held += count
        self._budget.change(count)

    def whole(self) -> None:
        """It has all come: it holds its bytes but grows no more."""
        self._budget.stop_growing(self)

    def release(self) -> None:
        self._budget.stop_growing(self)
        self._budget.change(-self.held)
        self.held = 0
