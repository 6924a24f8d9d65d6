"""Limits on the resources that the agent holds: descriptors, and bytes held for clients and servers."""

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
RECEIVE_BYTES = 65_536  # per read: a few reads per megabyte, and the most that a stream buffers
MIN_READ_BYTES = 1_024  # of a body past SMALL_BODY that found the room taken when its bytes came
USABLE_MEMORY_SHARE = 0.9  # of the limit, beyond which the process is killed
PROCESS_BYTES = 17 * 1024 * 1024  # the interpreter, the program and its list of servers
SOCKET_BYTES = 6 * 1024  # objects of a connection and its request, and SMALL_BODY
BUDGET_SHARE = 0.85  # of the rest; blocks are rounded up to pages, and shorter ones leave gaps
MIN_BUDGET = 32 * MAX_BUFFERED_BODY  # 2 MiB: enough to make progress
# Parts of the budget. What one kind may not take is left to the others, whoever is slow: requests still get
# in while clients do not read their answers, and answers still come while bodies wait.
MAX_REQUEST_SHARE = 0.75
MAX_ANSWER_SHARE = 0.5
MAX_STREAM_SHARE = 0.25  # of answers, up to which a streamed one is read in pieces of RECEIVE_BYTES
USUAL_FIELDS = 32  # header fields of a message that SOCKET_BYTES covers, as it does SMALL_BODY bytes of them
FIELD_BYTES = 200  # objects of a further one: two strings, a tuple and its place in lists
PIPELINED_REQUEST_BYTES = 8 * 1024  # objects of a request behind another one on its connection


def head_bytes(size: int, fields: int) -> int:
    """Return how many bytes a head of this size and with so many fields is counted as; usual ones as none."""
    return max(0, size - SMALL_BODY) + max(0, fields - USUAL_FIELDS) * FIELD_BYTES


class Descriptors:
    """Limits on the sockets of clients and of backends, each with a share of its own.

    With one common limit, a surge of clients could take the last descriptor, and none of its requests could
    reach a backend.
    """

    def __init__(self, sockets: int) -> None:
        self.sockets = sockets
        usable = max(8, sockets - RESERVED_DESCRIPTORS)
        self.clients = int(usable * CLIENT_SHARE)
        self.backends = usable - self.clients
        self.max_active = (
            sockets // 3
        )  # the most that clients hold for requests, as the deployment guarantees


class MemoryBudget:
    """Limit on the bytes that the process holds for clients and servers.

    Requests are held from the read that brings them to their answers. One whose connection gets no share
    waits, unread. Answers do not wait, or requests would never end: without room they are read, and passed
    on, in pieces of SMALL_BODY.

    Many long bodies that each wait for memory would deadlock. So the size of one body is reserved for the
    oldest one that still grows, and a complete one ends by its deadline and releases its bytes. Clients that
    stop in the middle of a body would keep all others waiting: they hold no reserve, and where others need
    room, those that have sent nothing for the longest time are ended.
    """

    def __init__(self, memory_bytes: int, sockets: int, process_bytes: int | None = None) -> None:
        """Start with the limits of the process: its memory in bytes, and its descriptors.

        `process_bytes` is what the process takes for itself now, if that is known.
        """
        self.requests_held = 0
        self.answers_held = 0
        self._process_bytes = max(PROCESS_BYTES, process_bytes or 0)
        # Longer than SMALL_BODY and incomplete, with bytes to be read, and waiting for room; oldest first
        self._growing: dict[MemoryShare, None] = {}
        self._stalled: dict[MemoryShare, float] = {}  # whose clients have sent nothing more, and since when
        self._freed = asyncio.Event()
        self._stall_check: asyncio.TimerHandle | None = None  # while bodies wait for room
        self.resize(memory_bytes, sockets)

    def resize(self, memory_bytes: int, sockets: int) -> None:
        """Apply new limits. Bytes held above a lower one are released as their requests end."""
        spare = memory_bytes * USABLE_MEMORY_SHARE - self._process_bytes - sockets * SOCKET_BYTES
        self.max_bytes = max(MIN_BUDGET, int(spare * BUDGET_SHARE))
        self._freed.set()

    @property
    def max_bytes(self) -> int:
        """The most that requests and answers may hold, in bytes."""
        return self._max_bytes

    @max_bytes.setter
    def max_bytes(self, value: int) -> None:
        self._max_bytes = value
        self._max_request_bytes = value * MAX_REQUEST_SHARE
        self._max_answer_bytes = value * MAX_ANSWER_SHARE
        self._max_stream_bytes = value * MAX_STREAM_SHARE
        # With less held, any read may be one of RECEIVE_BYTES, and most need no look at the limits above.
        self._ample_bytes = min(self._max_stream_bytes, self._max_request_bytes) - 2 * RECEIVE_BYTES

    @property
    def held(self) -> int:
        """Bytes held now, of requests and answers."""
        return self.requests_held + self.answers_held

    def describe(self) -> str:
        """Return for the log what is held, of how much, and by how many incomplete bodies of which kind."""
        return f"{self.held} of {self.max_bytes} B, {len(self._growing)} grow, {len(self._stalled)} stalled"

    def share(self) -> MemoryShare:
        """Return an empty share for one request."""
        return MemoryShare(self)

    def answer_share(self) -> AnswerShare:
        """Return an empty share for one answer."""
        return AnswerShare(self)

    def has_request_room(self, reserved: int = MAX_BUFFERED_BODY) -> bool:
        """Return whether requests may grow while this many bytes are kept free."""
        requests = self.requests_held + reserved
        return requests < self._max_request_bytes and requests + self.answers_held < self._max_bytes

    def has_answer_room(self, streamed: bool) -> bool:
        """Return whether an answer may grow by a whole read; one that is streamed, in smaller pieces."""
        answers = self.answers_held + RECEIVE_BYTES
        limit = self._max_stream_bytes if streamed else self._max_answer_bytes
        return answers < limit and answers + self.requests_held < self._max_bytes

    def request_read_limit(self, held: int) -> int:
        """Return how much of a request that holds `held` bytes may be read now, at least MIN_READ_BYTES."""
        if self.requests_held + self.answers_held < self._ample_bytes:
            return RECEIVE_BYTES
        return RECEIVE_BYTES if self.has_request_room() else max(SMALL_BODY - held, MIN_READ_BYTES)

    def answer_read_limit(self, streamed: bool) -> int:
        """Return how much of an answer may be read now."""
        if self.requests_held + self.answers_held < self._ample_bytes:
            return RECEIVE_BYTES
        return RECEIVE_BYTES if self.has_answer_room(streamed) else SMALL_BODY

    def upload_read_limit(self) -> int:
        """Return how much of a streamed request body may be read now."""
        return RECEIVE_BYTES if self.has_request_room(2 * MAX_BUFFERED_BODY) else SMALL_BODY

    def fits(self, share: MemoryShare, wanted: int) -> bool:
        """Return whether this growing body may grow by `wanted` bytes now."""
        oldest = next(iter(self._growing)) is share
        return self.has_request_room(0 if oldest else wanted + MAX_BUFFERED_BODY)

    async def wait_for_room(self, share: MemoryShare, wanted: int) -> None:
        """Wait until this body may grow by `wanted` bytes, or is released.

        Ends stalled bodies if there is no room else.
        """
        self._growing.setdefault(share)
        while share in self._growing and not self.fits(share, wanted):
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
        """Add `by` bytes, which may be negative, to what requests hold."""
        self.requests_held += by
        if by < 0 and self._growing:
            self._freed.set()

    def adjust_answers(self, by: int) -> None:
        """Add `by` bytes, which may be negative, to what answers hold."""
        self.answers_held += by
        if by < 0 and self._growing:
            self._freed.set()

    def stop_growing(self, share: MemoryShare) -> None:
        """Remove the share from the growing and the stalled ones, if it is one of them."""
        self._stalled.pop(share, None)
        if share in self._growing:
            del self._growing[share]
            self._freed.set()


class MemoryShare:
    """The part of the budget that one request holds."""

    __slots__ = ("_budget", "_noted", "_on_end", "_released", "_reserved", "held")

    def __init__(self, budget: MemoryBudget) -> None:
        self._budget = budget
        self._on_end: Callable[[], bool] | None = None
        self._noted = False  # the budget may count it among the growing or the stalled ones
        self._released = False
        self._reserved = 0  # bytes that may be added without a further wait
        self.held = 0

    def stall(self, on_end: Callable[[], bool]) -> None:
        """Note that more of the body is awaited from its client.

        `on_end` is called if others need the room: it ends the body and returns True, or returns False if the
        client has sent something after all. Nothing is noted for a body that holds nothing.
        """
        if self.held:
            self._on_end = on_end
            self._noted = True
            self._budget.stall(self)

    def resume(self) -> None:
        """Note that the client has sent something, or that nothing more is awaited."""
        if self._noted:
            self._noted = False
            self._on_end = None
            self._budget.stop_growing(self)

    def end_stalled(self) -> bool:
        """End a stalled body, and return whether it was ended."""
        return self._on_end is not None and self._on_end()

    async def wait_for_room(self, wanted: int) -> None:
        """Wait until `wanted` bytes more may be read, and reserve them. A small body never waits.

        Without the reservation, all bodies that wait would be given the same room, and one that comes in
        pieces would wait again for each.
        """
        if self.held >= SMALL_BODY:
            self._noted = True
            await self._budget.wait_for_room(self, wanted)
            if not self._released:
                self._budget.adjust(wanted - self._reserved)
                self._reserved = wanted
                self._budget.stop_growing(self)

    def read_limit(self) -> int:
        """Return how many bytes may be read now, at least MIN_READ_BYTES."""
        return max(self._reserved, self._budget.request_read_limit(self.held))

    def has_room(self) -> bool:
        """Return whether `wait_for_room` returns at once, whichever body is the oldest."""
        return self.held < SMALL_BODY or self._reserved > 0 or self._budget.has_request_room()

    def add(self, count: int) -> None:
        """Account for `count` more buffered bytes, fewer if negative. No effect once released."""
        if self._released:
            return
        self.held += count
        reserved = min(max(count, 0), self._reserved)
        self._reserved -= reserved
        self._budget.adjust(count - reserved)

    def complete(self) -> None:
        """Mark the body as fully received: it keeps its bytes but no longer grows."""
        self.resume()
        if self._reserved:
            self._budget.adjust(-self._reserved)
            self._reserved = 0

    def release(self) -> None:
        """Return all bytes to the budget. A second call has no effect."""
        if self._released:
            return
        self.resume()
        self._released = True
        self._budget.adjust(-self.held - self._reserved)
        self.held = self._reserved = 0


class AnswerShare:
    """The part of the budget that one answer holds, and the request while its server is slow to take it."""

    __slots__ = ("_budget", "held", "streamed")

    def __init__(self, budget: MemoryBudget) -> None:
        self._budget = budget
        self.held = 0
        self.streamed = False  # whether it is passed on in pieces

    def has_room(self) -> bool:
        """Return whether the answer may grow by a whole read."""
        return self._budget.has_answer_room(self.streamed)

    def read_limit(self) -> int:
        """Return how many bytes may be read now."""
        return self._budget.answer_read_limit(self.streamed)

    def hold(self, count: int) -> None:
        """Account for `count` more bytes, fewer if negative."""
        if count < -self.held:
            count = -self.held
        self.held += count
        self._budget.adjust_answers(count)

    def release(self) -> None:
        """Return all bytes to the budget."""
        if self.held:
            self._budget.adjust_answers(-self.held)
            self.held = 0
